//! Admission on a paused clock.

use super::*;
use rstest::rstest;
use tokio::time::advance;

/// Latest arrival, after the request to stop, of a request that may be unanswered when the process is killed.
/// Requests that arrive later need an answer by then.
const LAST_ARRIVAL_WITHOUT_ANSWER: Duration = Duration::from_millis(700);
/// How long a process may be stalled.
const MAX_STALL: Duration = Duration::from_millis(150);
/// How long new connections arrive after the request to stop.
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
async fn requests_are_admitted_without_a_request_to_stop() {
    let shutdown = Shutdown::new(StopRequest::default(), Clock::start());
    advance(Duration::from_secs(3_600)).await;
    assert!(shutdown.permit_admission().is_ok());
}

/// A signal during start-up counts from its own time, not from when the router begins to serve.
#[tokio::test(start_paused = true)]
async fn request_to_stop_before_the_clock_start_counts_from_its_own_time() {
    let requested = tokio::time::Instant::now().into_std();
    advance(Duration::from_secs(2)).await;
    let shutdown = stopping(requested, Clock::start());
    assert_eq!(shutdown.elapsed(), Some(Duration::from_secs(2)));
    let denial = shutdown.permit_admission().unwrap_err();
    assert_eq!(denial.since_request, Duration::from_secs(2));
}

/// Guards against a period that starts again when connections close: requests were handed over up to 0.7 s late.
#[tokio::test(start_paused = true)]
async fn shutdown_time_runs_from_the_request_to_stop() {
    let clock = Clock::start();
    let shutdown = stopping(tokio::time::Instant::now().into_std(), clock);
    advance(ACCEPT_PERIOD).await;
    assert!(shutdown.has_lasted(ACCEPT_PERIOD));
    assert!(!shutdown.has_lasted(ACCEPT_PERIOD + Duration::from_millis(1)));
    let running = Shutdown::new(StopRequest::default(), clock);
    assert!(!running.has_lasted(Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn first_request_to_stop_counts() {
    let request = StopRequest::default();
    let first = Instant::now();
    request.record(first);
    request.record(first + Duration::from_secs(1));
    assert_eq!(request.0.get(), Some(&first));
}

/// Even if the process notices the signal as late as it may, it admits no request that arrived too late to be left
/// unanswered, and it admits all requests on the connections that clients open.
#[test]
fn admission_period_covers_new_connections_and_a_stall() {
    const { assert!(ADMISSION_PERIOD.as_millis() > NEW_CONNECTIONS_FOR.as_millis()) };
    const {
        assert!(
            ADMISSION_PERIOD.as_millis() + MAX_STALL.as_millis()
                < LAST_ARRIVAL_WITHOUT_ANSWER.as_millis()
        );
    };
}
