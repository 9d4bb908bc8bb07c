//! Moves client connections through the stages of a shutdown.

use super::connections::Connections;
use super::server::Stage;
use crate::shutdown::{ACCEPT_PERIOD, ADMISSION_PERIOD, Shutdown};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;

/// Interval at which the flag for another process at the address is checked.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Moves connections from the request to stop through to [`Stage::Closing`]. If another process serves the address,
/// the listener is closed at once.
pub async fn advance_stages(
    shutdown: &Shutdown,
    other_process_serves: &Cell<bool>,
    connections: &Connections,
    stage: &watch::Sender<Stage>,
) {
    let enter_stage = |next: Stage| {
        log::info!(
            "stopping: {} ms after the signal, connections go from {:?} to {next:?}: {}",
            shutdown.elapsed().unwrap_or_default().as_millis(),
            *stage.borrow(),
            connections.summary()
        );
        stage.send_replace(next);
    };
    tokio::select! {
        biased;
        () = wait_for_successor(other_process_serves) => {
            enter_stage(Stage::Leaving);
            shutdown.wait_until_elapsed(ADMISSION_PERIOD).await;
        }
        () = shutdown.wait_until_elapsed(ADMISSION_PERIOD) => {
            enter_stage(Stage::Rejecting);
            tokio::select! {
                () = shutdown.wait_until_elapsed(ACCEPT_PERIOD) => {}
                () = wait_for_successor(other_process_serves) => {}
            }
        }
    }
    enter_stage(Stage::Closing);
}

/// Waits until another process serves the address.
async fn wait_for_successor(other_process_serves: &Cell<bool>) {
    while !other_process_serves.get() {
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
