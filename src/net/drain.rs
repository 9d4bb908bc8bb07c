//! The operators' drain switch, and its effect on client connections. A draining router keeps running.

use super::server::Stage;
use std::time::Duration;
use tokio::sync::watch;

/// Time between the start of a drain and the closing of connections. The load balancer in front checks readiness
/// every 0.1 s and opens new connections for up to 0.2 s after the first failed check, so clients whose connections
/// are closed sooner would reconnect to this router.
const CLOSE_DELAY: Duration = Duration::from_millis(400);

/// Whether the router is draining. Shared between the admin endpoint, which sets it, and the parts that act on it.
#[derive(Debug)]
pub struct DrainSwitch(watch::Sender<bool>);

impl Default for DrainSwitch {
    fn default() -> Self {
        DrainSwitch(watch::Sender::new(false))
    }
}

impl DrainSwitch {
    /// Starts a drain. Returns `false` if one was in progress.
    pub fn start(&self) -> bool {
        self.set(true)
    }

    /// Ends the drain. Returns `false` if none was in progress.
    pub fn stop(&self) -> bool {
        self.set(false)
    }

    /// Whether a drain is in progress.
    pub fn is_draining(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns a receiver that holds the current position and is notified of changes.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.0.subscribe()
    }

    fn set(&self, draining: bool) -> bool {
        self.0
            .send_if_modified(|current| std::mem::replace(current, draining) != draining)
    }
}

/// Applies the switch to client connections: they are closed from `CLOSE_DELAY` after the start of a drain, and kept
/// again once it stops. Has no effect once the router is shutting down.
pub async fn apply_to_connections(mut switch: watch::Receiver<bool>, stage: watch::Sender<Stage>) {
    while switch.wait_for(|draining| *draining).await.is_ok() {
        log::info!(
            "drain: reporting not ready; closing client connections in {} ms",
            CLOSE_DELAY.as_millis()
        );
        let stopped = async |switch: &mut watch::Receiver<bool>| {
            _ = switch.wait_for(|draining| !*draining).await;
        };
        if tokio::time::timeout(CLOSE_DELAY, stopped(&mut switch))
            .await
            .is_err()
        {
            change_stage(&stage, Stage::Open, Stage::Draining);
            stopped(&mut switch).await;
            change_stage(&stage, Stage::Draining, Stage::Open);
        }
        log::info!("drain: ended; client connections are kept open again");
    }
}

/// Moves the stage from `from` to `to`, unless something else has changed it in the meantime.
fn change_stage(stage: &watch::Sender<Stage>, from: Stage, to: Stage) {
    stage.send_if_modified(|current| {
        let is_expected = *current == from;
        if is_expected {
            *current = to;
        }
        is_expected
    });
}

#[cfg(test)]
mod tests;
