//! Admission on a paused clock.

use super::*;
use rstest::rstest;
use tokio::time::advance;

/// Latest arrival of a request, after the request to stop, that may be unanswered when the process is killed.
const LATE_FROM: Duration = Duration::from_millis(700);
/// How long a process may be held up.
const MAX_STALL: Duration = Duration::from_millis(150);
/// New connections keep coming for so long after the request to stop.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(400);

fn stopping(at: Instant, clock: Clock) -> Shutdown {
    let request = StopRequest::default();
    request.record(at);
    Shutdown::new(request, clock)
}

#[rstest]
#[case::at_once(Duration::ZERO, true)]
#[case::last_new_connections(NEW_CONNECTIONS_FOR, true)]
#[case::last_admitted(ADMISSION_PERIOD - Duration::from_millis(1), true)]
#[case::late(ADMISSION_PERIOD, false)]
#[case::near_the_kill(Duration::from_millis(3_600), false)]
#[tokio::test(start_paused = true)]
async fn admission_ends_a_fixed_time_after_the_request_to_stop(
    #[case] after: Duration,
    #[case] is_admitted: bool,
) {
    let clock = Clock::start();
    let shutdown = stopping(tokio::time::Instant::now().into_std(), clock);
    advance(after).await;
    assert_eq!(shutdown.permit_admission().is_ok(), is_admitted);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_denied_before_a_request_to_stop() {
    let shutdown = Shutdown::new(StopRequest::default(), Clock::start());
    advance(Duration::from_secs(3_600)).await;
    assert!(shutdown.permit_admission().is_ok());
}

/// A signal during the start counts from when it came, not from when the process serves.
#[tokio::test(start_paused = true)]
async fn a_request_to_stop_from_before_the_clock_counts_from_its_own_time() {
    let requested = tokio::time::Instant::now().into_std();
    advance(Duration::from_secs(2)).await;
    let shutdown = stopping(requested, Clock::start());
    assert_eq!(shutdown.elapsed(), Some(Duration::from_secs(2)));
    let denial = shutdown.permit_admission().unwrap_err();
    assert_eq!(denial.since_request, Duration::from_secs(2));
}

/// Guards against a span that begins anew when connections close: what is to be handed over was so up to 0.7 s late.
#[tokio::test(start_paused = true)]
async fn a_span_of_the_shutdown_runs_from_the_request_to_stop() {
    let clock = Clock::start();
    let shutdown = stopping(tokio::time::Instant::now().into_std(), clock);
    advance(ACCEPT_PERIOD).await;
    assert!(shutdown.has_lasted(ACCEPT_PERIOD));
    assert!(!shutdown.has_lasted(ACCEPT_PERIOD + Duration::from_millis(1)));
    let running = Shutdown::new(StopRequest::default(), clock);
    assert!(!running.has_lasted(Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn the_first_request_to_stop_counts() {
    let request = StopRequest::default();
    let first = Instant::now();
    request.record(first);
    request.record(first + Duration::from_secs(1));
    assert_eq!(request.0.get(), Some(&first));
}

/// A process that notices the signal as late as it may still admits nothing that came late, and all that comes on new
/// connections.
#[test]
fn the_span_covers_new_connections_and_a_stall() {
    const { assert!(ADMISSION_PERIOD.as_millis() > NEW_CONNECTIONS_FOR.as_millis()) };
    const { assert!(ADMISSION_PERIOD.as_millis() + MAX_STALL.as_millis() < LATE_FROM.as_millis()) };
}
