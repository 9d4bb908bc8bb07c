use super::*;

/// Guards against valid responses that time out because an earlier 1xx head was counted as their start.
#[tokio::test(start_paused = true)]
async fn head_is_timed_from_its_first_byte_and_1xx_heads_are_skipped() {
    let interim = b"HTTP/1.1 102 Processing\r\na: b\r\n\r\n";
    let bytes = [&interim[..], b"HTTP/1.1 200 OK\r\n\r\n"].concat();
    for cut in 1..bytes.len() {
        let meter = IoMeter::default();
        let begin = Instant::now();
        meter.note_received(&bytes[..cut]);
        let between = cut == interim.len();
        let since = if between { None } else { Some(begin) };
        assert_eq!(meter.head_since.get(), since, "cut at {cut}");
        tokio::time::advance(Duration::from_millis(100)).await;
        meter.note_received(&bytes[cut..]);
        let is_late = cut <= interim.len();
        let since = if is_late { Instant::now() } else { begin };
        assert_eq!(meter.head_since.get(), Some(since), "cut at {cut}");
        assert!(meter.framing.borrow().is_in_body(), "cut at {cut}");
    }
}

#[test]
fn a_request_counts_as_written_with_its_last_byte_and_not_before() {
    let meter = IoMeter::default();
    let bytes = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 1..bytes.len() {
        let counters = Rc::<Counters>::default();
        meter.begin_request(4, Some(counters.clone()));
        meter.note_written(&bytes[..cut]);
        assert!(!meter.is_written(), "after {cut} bytes");
        assert_eq!(counters.written_whole.get(), 0, "after {cut} bytes");
        meter.note_written(&bytes[cut..]);
        assert!(meter.is_written(), "cut at {cut}");
        assert_eq!(counters.written_whole.get(), 1, "cut at {cut}");
    }
}

/// Guards against releases and probes that are counted as attempts, and against an incomplete attempt that is counted
/// when the next request is complete.
#[test]
fn only_attempts_are_counted_as_written() {
    let (meter, counters) = (IoMeter::default(), Rc::<Counters>::default());
    let bytes = b"DELETE / HTTP/1.1\r\nA: b\r\n\r\n";
    meter.begin_request(0, Some(counters.clone()));
    meter.note_written(&bytes[..9]);
    meter.begin_request(0, None);
    meter.note_written(bytes);
    assert!(meter.is_written());
    assert_eq!(counters.written_whole.get(), 0);
}
