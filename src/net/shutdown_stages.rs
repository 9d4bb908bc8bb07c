//! Moves client connections through the stages of a shutdown.

use super::connections::Connections;
use super::server::Stage;
use crate::shutdown::{ACCEPT_FOR, ADMIT_FOR, Shutdown};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;

/// How often another process at the address is looked for.
const LOOK_FOR_SUCCESSOR: Duration = Duration::from_millis(10);

/// Moves connections on from the request to stop up to [`Stage::Closing`]. A listener is left at once where another process
/// serves its address.
pub async fn follow(
    shutdown: &Shutdown,
    other_serves: &Cell<bool>,
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
        () = successor(other_serves) => {
            enter(Stage::Leaving);
            shutdown.reach(ADMIT_FOR).await;
        }
        () = shutdown.reach(ADMIT_FOR) => {
            enter(Stage::Rejecting);
            tokio::select! {
                () = shutdown.reach(ACCEPT_FOR) => {}
                () = successor(other_serves) => {}
            }
        }
    }
    enter(Stage::Closing);
}

/// Waits until another process serves the address.
async fn successor(other_serves: &Cell<bool>) {
    while !other_serves.get() {
        tokio::time::sleep(LOOK_FOR_SUCCESSOR).await;
    }
}

#[cfg(test)]
mod tests;
