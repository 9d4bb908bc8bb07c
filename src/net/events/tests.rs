use super::super::http1_framing::OpenPart;
use super::*;
use rstest::rstest;

#[rstest]
#[case::complete_events(
    "data: a\n\n: hi\r\nevent: x\r\ndata: b\r\n\r\ndata\nid:1\n\n",
    "",
    false
)]
#[case::incomplete("data: a\n\ndata: b\n", "data: b\n", false)]
#[case::a_chunk_head("data: a\n\n\r\n2f\r\ndata: b\n\n", "", true)]
#[case::unknown_field("data: a\n\nx\u{7f}\n", "", true)]
fn only_complete_events_pass_and_they_are_unchanged(
    #[case] body: &str,
    #[case] incomplete: &str,
    #[case] is_corrupt: bool,
) {
    for cut in 0..body.len() {
        let mut filter = EventFilter::new(&Budget::new(1024 * 1024));
        let mut events = Vec::new();
        let mut failed = false;
        for chunk in [&body[..cut], &body[cut..]] {
            match filter.push(chunk.as_bytes(), None) {
                Ok(received) => events.extend_from_slice(&received.blocks),
                Err(_) => failed = true,
            }
        }
        assert_eq!(failed, is_corrupt, "cut at {cut}");
        assert!(events.ends_with(b"\n") || events.is_empty());
        if !is_corrupt {
            assert_eq!(
                events,
                body.strip_suffix(incomplete).unwrap().as_bytes(),
                "cut at {cut}"
            );
            let remainder = filter.remainder().unwrap().unwrap_or_default();
            assert_eq!(remainder.blocks, incomplete);
        }
    }
}

#[test]
fn an_event_that_exceeds_the_limit_is_an_error() {
    let mut filter = EventFilter::new(&Budget::new(1024 * 1024));
    let chunk = Bytes::from(vec![b'a'; 1024]);
    assert!(filter.push(b"data: ", None).is_ok());
    assert!((0..200).any(|_| filter.push(&chunk, None).is_err()));
}

fn filter() -> EventFilter {
    EventFilter::new(&Budget::new(1024 * 1024))
}

/// Guards against blocks that are taken for events although they have no data.
#[rstest]
#[case::comment(": ping\n\n", false)]
#[case::blank_line("\r\n", false)]
#[case::id("id: 7\n\n", false)]
#[case::event_type("event: ping\n\n", false)]
#[case::retry("retry: 10\n\n", false)]
#[case::empty_data("data:\n\n", false)]
#[case::data_without_a_value("data\n\n", false)]
#[case::white_space("data:  \r\n\r\n", false)]
#[case::data("event: x\ndata: a\nid: 1\n\n", true)]
fn a_block_is_an_event_if_it_has_data(#[case] block: &str, #[case] is_event: bool) {
    let mut filter = filter();
    let before = filter.push(block.as_bytes(), None).unwrap();
    assert_eq!(before.has_event, is_event);
    assert_eq!(
        !before.blocks.is_empty(),
        is_event,
        "before the first event"
    );
    let first = filter.push(b"data: x\n\n", None).unwrap();
    assert!(first.has_event);
    let after = filter.push(block.as_bytes(), None).unwrap();
    assert_eq!(
        (&after.blocks[..], after.has_event),
        (block.as_bytes(), is_event)
    );
    assert_eq!(after.partial_data, 0);
    let all = [before.blocks, first.blocks].concat();
    assert_eq!(all, format!("{block}data: x\n\n").as_bytes());
}

#[test]
fn only_data_of_an_incomplete_event_counts_as_partial_data() {
    let mut filter = filter();
    let mut push = |bytes: &str| filter.push(bytes.as_bytes(), None).unwrap().partial_data;
    assert_eq!(push("data: a\n\ndata: 123"), 3);
    assert_eq!(push("4567"), 4);
    assert_eq!(push("\n: a long comment\nevent: x\n"), 0);
    assert_eq!(push("data:89"), 2);
    assert_eq!(push("\n\n"), 0);
    assert_eq!(push(": a comment"), 0);
}

#[rstest]
#[case::nothing("", false)]
#[case::a_comment(": ping\n\n: ping", false)]
#[case::an_event_without_its_blank_line("data: a", true)]
fn a_stream_without_an_event_ends_with_none(#[case] body: &str, #[case] has_event: bool) {
    let mut filter = filter();
    assert!(
        filter
            .push(body.as_bytes(), None)
            .unwrap()
            .blocks
            .is_empty()
    );
    let remainder = filter.remainder().unwrap();
    assert_eq!(remainder.is_some_and(|last| last.has_event), has_event);
}

fn open_chunk(body_offset: u64) -> Option<OpenFrame> {
    Some(OpenFrame {
        since: tokio::time::Instant::now(),
        part: OpenPart::Data {
            body_offset,
            size: 1_000,
            left: 1,
        },
    })
}

/// Guards against an answer that begins with an event of a chunk that may never be whole.
#[test]
fn the_first_event_is_kept_back_until_its_chunk_is_complete() {
    let mut filter = filter();
    let received = filter.push(b": hi\n\ndata: a\n\n", open_chunk(0)).unwrap();
    assert!(!received.has_event && received.blocks.is_empty());
    let received = filter.push(b"data: b\n", open_chunk(0)).unwrap();
    assert!(!received.has_event && received.blocks.is_empty());
    let received = filter.push(b"\ndata: c\n\n", None).unwrap();
    assert!(received.has_event);
    assert_eq!(received.blocks, ": hi\n\ndata: a\n\ndata: b\n\ndata: c\n\n");
    // From then on events are passed on as they come.
    let received = filter.push(b"data: d\n\n", open_chunk(36)).unwrap();
    assert!(received.has_event && received.blocks == "data: d\n\n");
}

#[test]
fn an_event_before_the_incomplete_chunk_is_passed_on() {
    let mut filter = filter();
    let received = filter.push(b"data: a\n\ndata: b", open_chunk(9)).unwrap();
    assert!(received.has_event && received.blocks == "data: a\n\n");
}

/// Guards against spoilt events that reach a client since their chunk is longer than an event may be.
#[test]
fn a_chunk_longer_than_the_longest_event_is_kept_back_as_well() {
    let mut filter = filter();
    let event = format!("data: {}\n\n", "x".repeat(30_000));
    for _ in 0..8 {
        let received = filter.push(event.as_bytes(), open_chunk(0)).unwrap();
        assert!(!received.has_event && received.blocks.is_empty());
    }
    let received = filter.push(event.as_bytes(), None).unwrap();
    assert_eq!(received.blocks, event.repeat(9));
}
