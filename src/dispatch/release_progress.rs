//! State of a release that is in progress, shared by the dispatcher and the upstream side.

use std::cell::Cell;
use tokio::sync::Notify;

/// A release in progress. It ends when a model host has taken it, or when it is stopped.
#[derive(Default)]
pub struct ReleaseProgress {
    stopped: Cell<bool>,
    done: Cell<bool>,
    changed: Notify,
}

impl ReleaseProgress {
    /// Stops it: a release that arrives later could take the KV state of the next prefill.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify_waiters();
    }

    /// Records that a model host has taken it.
    pub fn set_done(&self) {
        self.done.set(true);
        self.changed.notify_waiters();
    }

    /// Whether it was neither stopped nor taken yet.
    pub fn is_active(&self) -> bool {
        !self.stopped.get() && !self.done.get()
    }

    /// Whether it was stopped before any model host had taken it.
    pub fn was_stopped_early(&self) -> bool {
        self.stopped.get() && !self.done.get()
    }

    /// Waits until a model host has taken it, or it was stopped.
    pub async fn ended(&self) {
        let changed = self.changed.notified();
        if self.is_active() {
            changed.await;
        }
    }
}
