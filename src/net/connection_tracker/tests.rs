use super::*;

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
