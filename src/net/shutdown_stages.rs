//! Moves client connections through the stages of a shutdown.

use super::connections::Connections;
use super::server::Stage;
use crate::shutdown::{ACCEPT_PERIOD, ADMISSION_PERIOD, Shutdown};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;

/// How often another process at the address is looked for.
const SUCCESSOR_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Moves connections on from the request to stop up to [`Stage::Closing`]. A listener is left at once where another process
/// serves its address.
pub async fn advance_stages(
    shutdown: &Shutdown,
    other_process_serves: &Cell<bool>,
    connections: &Connections,
    stage: &watch::Sender<Stage>,
) {
    let enter = |next: Stage| {
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
            enter(Stage::Leaving);
            shutdown.wait_until(ADMISSION_PERIOD).await;
        }
        () = shutdown.wait_until(ADMISSION_PERIOD) => {
            enter(Stage::Rejecting);
            tokio::select! {
                () = shutdown.wait_until(ACCEPT_PERIOD) => {}
                () = wait_for_successor(other_process_serves) => {}
            }
        }
    }
    enter(Stage::Closing);
}

/// Waits until another process serves the address.
async fn wait_for_successor(other_process_serves: &Cell<bool>) {
    while !other_process_serves.get() {
        tokio::time::sleep(SUCCESSOR_POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
