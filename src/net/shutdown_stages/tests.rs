//! The stages of a shutdown on a paused clock.

use super::*;
use crate::dispatch::Clock;
use crate::shutdown::StopRequest;
use tokio::time::Instant;

/// Each stage, and when after the request to stop it was entered.
async fn stages(successor_after: Option<Duration>, seen_after: Duration) -> Vec<(Stage, u128)> {
    let request = StopRequest::default();
    let began = Instant::now();
    request.record(began.into_std());
    let shutdown = Shutdown::new(request, Clock::start());
    tokio::time::advance(seen_after).await;
    let (stage, mut stages) = watch::channel(Stage::Open);
    let other_process_serves = Cell::new(false);
    let connections = Connections::default();
    let mut entered = Vec::new();
    let record = async {
        while stages.changed().await.is_ok() {
            let now = *stages.borrow_and_update();
            entered.push((now, began.elapsed().as_millis()));
            if now == Stage::Closing {
                return;
            }
        }
    };
    let start_successor = async {
        if let Some(after) = successor_after {
            tokio::time::sleep_until(began + after).await;
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

/// The times allow for the steps in which timers and the successor are looked at.
fn assert_entered(entered: &[(Stage, u128)], expected: &[(Stage, u128)]) {
    let names = |all: &[(Stage, u128)]| all.iter().map(|(stage, _)| *stage).collect::<Vec<_>>();
    assert_eq!(names(entered), names(expected), "{entered:?}");
    for ((_, at), (_, wanted)) in entered.iter().zip(expected) {
        assert!((*wanted..wanted + 25).contains(at), "{entered:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_rejected_before_the_listener_closes() {
    let entered = stages(None, Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Rejecting, 500), (Stage::Closing, 700)]);
}

#[tokio::test(start_paused = true)]
async fn a_signal_that_is_seen_late_gets_no_longer_stages() {
    let entered = stages(None, Duration::from_secs(2)).await;
    // Both times are over by then.
    assert_entered(&entered, &[(Stage::Closing, 2_000)]);
}

#[tokio::test(start_paused = true)]
async fn the_listener_is_left_to_a_successor() {
    let entered = stages(Some(Duration::from_millis(200)), Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Leaving, 200), (Stage::Closing, 500)]);
}

#[tokio::test(start_paused = true)]
async fn a_successor_that_comes_while_requests_are_rejected_ends_the_accepting() {
    let entered = stages(Some(Duration::from_millis(600)), Duration::ZERO).await;
    assert_entered(&entered, &[(Stage::Rejecting, 500), (Stage::Closing, 600)]);
}
