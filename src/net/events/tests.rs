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
            match filter.push(chunk.as_bytes()) {
                Ok(bytes) => events.extend_from_slice(&bytes),
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
            assert_eq!(filter.remainder().unwrap(), incomplete);
        }
    }
}

#[test]
fn an_event_that_exceeds_the_limit_is_an_error() {
    let mut filter = EventFilter::new(&Budget::new(1024 * 1024));
    let chunk = Bytes::from(vec![b'a'; 1024]);
    assert!(filter.push(b"data: ").is_ok());
    assert!((0..200).any(|_| filter.push(&chunk).is_err()));
}
