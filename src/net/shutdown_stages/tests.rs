//! Stages of a shutdown on a paused clock.

use super::*;
use crate::dispatch::Clock;
use crate::shutdown::StopRequest;
use tokio::time::Instant;

/// Runs a shutdown; returns each stage with the time in ms after the request to stop at which it was entered.
async fn run_stages(
    successor_after: Option<Duration>,
    handled_after: Duration,
) -> Vec<(Stage, u128)> {
    let request = StopRequest::default();
    let requested = Instant::now();
    request.record(requested.into_std());
    let shutdown = Shutdown::new(request, Clock::start());
    tokio::time::advance(handled_after).await;
    let (stage, mut stages) = watch::channel(Stage::Open);
    let other_process_serves = Cell::new(false);
    let connections = Connections::default();
    let mut entered = Vec::new();
    let record = async {
        while stages.changed().await.is_ok() {
            let now = *stages.borrow_and_update();
            entered.push((now, requested.elapsed().as_millis()));
            if now == Stage::Closing {
                return;
            }
        }
    };
    let start_successor = async {
        if let Some(after) = successor_after {
            tokio::time::sleep_until(requested + after).await;
            other_process_serves.set(true);
        }
    };
    tokio::join!(
        advance_stages(&shutdown, &other_process_serves, &connections, &stage),
        record,
        start_successor
    );
    entered
}

/// The tolerance covers the intervals at which timers and the successor are checked.
fn assert_entered(entered: &[(Stage, u128)], expected: &[(Stage, u128)]) {
    let names =
        |stages: &[(Stage, u128)]| stages.iter().map(|(stage, _)| *stage).collect::<Vec<_>>();
    assert_eq!(names(entered), names(expected), "{entered:?}");
    for ((_, at), (_, expected_at)) in entered.iter().zip(expected) {
        assert!((*expected_at..expected_at + 25).contains(at), "{entered:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_rejected_before_the_listener_closes() {
    let entered = run_stages(None, Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Rejecting, 500), (Stage::Closing, 700)]);
}

#[tokio::test(start_paused = true)]
async fn late_handling_of_the_signal_does_not_extend_the_stages() {
    let entered = run_stages(None, Duration::from_secs(2)).await;
    // Both periods have ended by then.
    assert_entered(&entered, &[(Stage::Closing, 2_000)]);
}

#[tokio::test(start_paused = true)]
async fn listener_closes_when_another_process_serves() {
    let entered = run_stages(Some(Duration::from_millis(200)), Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Leaving, 200), (Stage::Closing, 500)]);
}

#[tokio::test(start_paused = true)]
async fn successor_during_rejection_ends_accepting() {
    let entered = run_stages(Some(Duration::from_millis(600)), Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Rejecting, 500), (Stage::Closing, 600)]);
}
