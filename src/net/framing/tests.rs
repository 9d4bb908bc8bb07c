use super::*;
use rstest::rstest;

#[rstest]
#[case::plain("Content-Length: 3\r\n\r\nabc", &[true])]
#[case::repeated_length("Content-Length: 3\r\ncontent-length:3\r\n\r\nabc", &[true])]
#[case::conflicting_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", &[false])]
#[case::negative("Content-Length: -3\r\n\r\n", &[false])]
#[case::huge("Content-Length: 99999999999999999999999\r\n\r\n", &[false])]
#[case::length_before_coding("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::coding_before_length("transfer-encoding: chunked\nCONTENT-LENGTH: 3\n\n", &[false])]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", &[true])]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", &[false])]
#[case::chunked_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::second_request("Content-Length: 1\r\n\r\na\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", &[true, false])]
fn ambiguous_framing_is_detected_wherever_the_input_is_split(
    #[case] headers: &str,
    #[case] expected: &[bool],
) {
    let input = format!("\r\nPOST /a:b HTTP/1.1\r\nHost: a\r\n{headers}");
    for split in 0..input.len() {
        let mut framing = FramingScan::default();
        framing.scan(&input.as_bytes()[..split]);
        framing.scan(&input.as_bytes()[split..]);
        assert_eq!(framing.verdicts, expected, "split at {split}");
    }
}

/// Guards against a client that holds its place by reading a few bytes now and then.
#[tokio::test(start_paused = true)]
async fn a_client_that_reads_a_trickle_counts_as_stalled_since_it_began() {
    let (tracker, begin) = (ConnectionTracker::new(), Instant::now());
    for _ in 0..5 {
        tracker.note_write_blocked();
        assert_eq!(tracker.write_blocked_since(), Some(begin));
        tokio::time::advance(Duration::from_secs(10)).await;
        tracker.note_written(MIN_READ_BYTES / 10);
        assert!(!tracker.is_write_blocked());
    }
    // One that reads on, slowly, does not.
    tracker.note_written(MIN_READ_BYTES);
    tracker.note_write_blocked();
    assert_eq!(tracker.write_blocked_since(), Some(Instant::now()));
}
