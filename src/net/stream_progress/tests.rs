use super::*;
use rstest::rstest;

/// Writes `bytes` of an incomplete event each `period` until the stream is considered broken or `until` has passed since the
/// last event; returns the time from the last event to the end.
fn trickle(bytes: usize, period: Duration, until: Duration) -> Duration {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let mut at = begin;
    while at + period < progress.deadline() && at + period < begin + until {
        at += period;
        progress.on_partial_data(bytes, None, at);
    }
    progress.deadline().min(begin + until) - begin
}

#[rstest]
#[case::a_byte_each_100_ms(1, 100, 4_600)]
#[case::a_byte_each_second(1, 1_000, 4_600)]
#[case::half_the_least_rate(32, 250, 4_750)]
fn a_trickle_ends_with_the_idle_timeout(
    #[case] bytes: usize,
    #[case] period_ms: u64,
    #[case] latest_ms: u64,
) {
    let ended = trickle(bytes, Duration::from_millis(period_ms), MAX_EVENT_DURATION);
    assert!(ended >= STREAM_IDLE_TIMEOUT, "{ended:?}");
    assert!(ended <= Duration::from_millis(latest_ms), "{ended:?}");
}

#[rstest]
#[case::kilobyte_a_second(250, 250)]
#[case::five_kilobytes_a_second(1_250, 250)]
#[case::in_lumps(2_000, 1_800)]
fn an_event_that_is_still_being_written_is_waited_for(#[case] bytes: usize, #[case] period: u64) {
    let until = Duration::from_secs(20);
    assert_eq!(trickle(bytes, Duration::from_millis(period), until), until);
}

#[test]
fn an_event_without_end_is_not_waited_for_longer_than_the_longest_event() {
    let endless = trickle(4_000, Duration::from_millis(100), Duration::from_secs(600));
    assert_eq!(endless, MAX_EVENT_DURATION);
}

#[test]
fn half_an_event_and_then_silence_ends_with_the_idle_timeout() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    progress.on_partial_data(100_000, None, begin + Duration::from_secs(2));
    assert_eq!(progress.deadline(), begin + STREAM_IDLE_TIMEOUT);
}

#[test]
fn the_host_of_a_client_that_read_slowly_has_time_to_write_again() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let pause = Duration::from_secs(20);
    progress.on_reading_resumed(pause, None, begin + pause);
    assert_eq!(progress.deadline(), begin + pause + HOST_RESUME_GRACE);
}

/// Guards against a limit that each delivery moves on, whatever was delivered.
#[test]
fn a_client_that_reads_at_once_extends_nothing() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    progress.on_reading_resumed(Duration::ZERO, None, begin + Duration::from_millis(4_400));
    assert_eq!(progress.deadline(), begin + STREAM_IDLE_TIMEOUT);
}

fn frame(since: Instant, part: OpenPart) -> OpenFrame {
    OpenFrame { since, part }
}

const CHUNK: OpenPart = OpenPart::Data {
    body_offset: 0,
    size: 1_000,
    left: 500,
};

/// Guards against events that keep a stream open for ever inside a chunk that is never whole.
#[test]
fn a_chunk_with_a_complete_event_is_waited_for_as_long_as_a_silent_host() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let chunk = frame(begin, CHUNK);
    assert_eq!(progress.frame_deadline(chunk, true), None);
    for number in 1..20 {
        let now = begin + Duration::from_millis(300) * number;
        progress.on_event(now);
        progress.on_event_in_chunk(chunk, now);
        let deadline = progress.frame_deadline(chunk, true);
        assert_eq!(deadline, Some(begin + STREAM_IDLE_TIMEOUT));
    }
    let next = frame(begin + Duration::from_secs(6), CHUNK);
    assert_eq!(progress.frame_deadline(next, true), None);
}

#[test]
fn a_chunk_may_go_on_for_a_moment_behind_an_event_that_was_written_slowly() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let (chunk, completed) = (frame(begin, CHUNK), begin + Duration::from_secs(8));
    for number in 0..5 {
        let now = completed + Duration::from_millis(100) * number;
        progress.on_event(now);
        progress.on_event_in_chunk(chunk, now);
    }
    let deadline = progress.frame_deadline(chunk, true);
    assert_eq!(deadline, Some(completed + CHUNK_REST_GRACE));
}

#[rstest]
#[case::size_line(OpenPart::SizeLine, true, STREAM_IDLE_TIMEOUT)]
#[case::trailer(OpenPart::Trailer, true, STREAM_IDLE_TIMEOUT)]
#[case::chunk_of_another_body(CHUNK, false, MAX_UNCHECKED_CHUNK_DURATION)]
fn an_incomplete_part_is_waited_for_from_its_first_byte(
    #[case] part: OpenPart,
    #[case] is_event_stream: bool,
    #[case] limit: Duration,
) {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let since = begin + Duration::from_secs(1);
    progress.on_event(begin + Duration::from_secs(3));
    let deadline = progress.frame_deadline(frame(since, part), is_event_stream);
    assert_eq!(deadline, Some(since + limit));
}

/// Guards against a host that is cut off since its client did not read.
#[test]
fn the_time_in_which_the_host_was_not_read_does_not_count_for_a_chunk() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let since = begin + Duration::from_secs(1);
    let chunk = frame(since, CHUNK);
    progress.on_event_in_chunk(chunk, since);
    let pause = Duration::from_secs(3);
    // The first pause began before the chunk, by one second.
    progress.on_reading_resumed(pause, Some(chunk), begin + pause);
    progress.on_reading_resumed(pause, Some(chunk), begin + 3 * pause);
    let deadline = since + STREAM_IDLE_TIMEOUT + Duration::from_secs(5);
    assert_eq!(progress.frame_deadline(chunk, true), Some(deadline));
}

/// Writes a chunk of `size` bytes that holds one event, `bytes` each quarter of a second; returns how long the stream waits for
/// it, or `None` if the chunk becomes whole.
fn write_chunk(size: u64, bytes: u64) -> Option<Duration> {
    let period = Duration::from_millis(250);
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let (mut now, mut left) = (begin, size);
    loop {
        left = left.saturating_sub(bytes);
        if left == 0 {
            return None;
        }
        let part = OpenPart::Data {
            body_offset: 0,
            size,
            left,
        };
        progress.on_partial_data(bytes as usize, Some(frame(begin, part)), now);
        if progress.deadline() < now + period {
            return Some(progress.deadline() - begin);
        }
        now += period;
    }
}

/// Guards against short events that are cut off while a slow host writes them.
#[rstest]
#[case::twenty_bytes_a_second(117, 5)]
#[case::fifty_bytes_a_second(477, 13)]
#[case::two_hundred_bytes_a_second(1_077, 50)]
#[case::in_just_under_the_longest_time(110, 1)]
fn an_event_in_a_chunk_that_becomes_whole_is_waited_for(#[case] size: u64, #[case] bytes: u64) {
    assert_eq!(write_chunk(size, bytes), None);
}

/// After this long without an event a client counts its response as lost.
const MAX_CLIENT_WAIT: Duration = Duration::from_secs(5);

/// Guards against a trickle in a chunk that can't become whole in time.
#[rstest]
#[case::short(1_000, 1)]
#[case::long(200_000, 40)]
fn an_event_in_a_chunk_that_comes_too_slowly_is_not_waited_for(
    #[case] size: u64,
    #[case] bytes: u64,
) {
    let waited = write_chunk(size, bytes).unwrap();
    assert!(waited >= STREAM_IDLE_TIMEOUT && waited < MAX_CLIENT_WAIT);
}

#[test]
fn a_host_that_stops_in_the_middle_of_a_chunk_is_waited_for_a_moment_longer() {
    let begin = Instant::now();
    let mut progress = StreamProgress::new(begin);
    let now = begin + Duration::from_secs(4);
    progress.on_partial_data(10, Some(frame(begin, CHUNK)), now);
    assert_eq!(progress.deadline(), now + MAX_WRITE_PAUSE);
}
