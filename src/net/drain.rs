//! The switch with which operators send clients away from a conductor that keeps running.

use tokio::sync::watch;

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
        self.0.send_if_modified(|now| std::mem::replace(now, draining) != draining)
    }
}

#[cfg(test)]
mod tests;
