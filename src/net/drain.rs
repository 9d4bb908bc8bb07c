//! The switch with which operators send clients away from a conductor that keeps running, and what follows it.

use super::server::Stage;
use std::time::Duration;
use tokio::sync::watch;

/// Connections that were closed sooner would come straight back: a front asks for the health every 0.1 s, and new
/// connections keep coming for 0.2 s after its first no.
const CLOSE_DELAY: Duration = Duration::from_millis(400);

/// Whether the conductor drains, for whoever switches it and for whoever has to act on it.
#[derive(Debug)]
pub struct DrainSwitch(watch::Sender<bool>);

impl Default for DrainSwitch {
    fn default() -> Self {
        DrainSwitch(watch::Sender::new(false))
    }
}

impl DrainSwitch {
    /// Begins a drain; whether none was under way.
    pub fn start(&self) -> bool {
        self.set(true)
    }

    /// Ends the drain; whether one was under way.
    pub fn stop(&self) -> bool {
        self.set(false)
    }

    /// Whether a drain is under way.
    pub fn is_draining(&self) -> bool {
        *self.0.borrow()
    }

    /// Follows the switch; the receiver has its present position.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.0.subscribe()
    }

    fn set(&self, draining: bool) -> bool {
        self.0
            .send_if_modified(|now| std::mem::replace(now, draining) != draining)
    }
}

/// Has client connections follow the switch: they are closed in order from `CLOSE_DELAY` after the start of a
/// drain on, and kept again from its stop on. Nothing moves once the conductor itself ends.
pub async fn apply_to_connections(mut switch: watch::Receiver<bool>, stage: watch::Sender<Stage>) {
    while switch.wait_for(|draining| *draining).await.is_ok() {
        log::info!(
            "drain: not ready any more; connections close in {} ms",
            CLOSE_DELAY.as_millis()
        );
        let stopped = async |switch: &mut watch::Receiver<bool>| {
            _ = switch.wait_for(|draining| !*draining).await;
        };
        if tokio::time::timeout(CLOSE_DELAY, stopped(&mut switch))
            .await
            .is_err()
        {
            advance_stage(&stage, Stage::Open, Stage::Draining);
            stopped(&mut switch).await;
            advance_stage(&stage, Stage::Draining, Stage::Open);
        }
        log::info!("drain: over, connections are kept again");
    }
}

/// Sets the stage, unless it has moved on meanwhile.
fn advance_stage(stage: &watch::Sender<Stage>, from: Stage, to: Stage) {
    stage.send_if_modified(|now| {
        let is_due = *now == from;
        if is_due {
            *now = to;
        }
        is_due
    });
}

#[cfg(test)]
mod tests;
