//! Progress of a release of KV state, shared by the dispatcher and the upstream side.

use std::cell::Cell;
use tokio::sync::Notify;

/// Progress of a release. The release ends when a model host has accepted it or when it is stopped.
#[derive(Default)]
pub struct ReleaseProgress {
    stopped: Cell<bool>,
    done: Cell<bool>,
    changed: Notify,
}

impl ReleaseProgress {
    /// Stops the release. If it arrived later, it could release the KV state of the next prefill.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify_waiters();
    }

    /// Records that a model host has accepted the release.
    pub fn set_done(&self) {
        self.done.set(true);
        self.changed.notify_waiters();
    }

    /// Whether the release has been neither stopped nor accepted.
    pub fn is_active(&self) -> bool {
        !self.stopped.get() && !self.done.get()
    }

    /// Whether the release was stopped before a model host accepted it.
    pub fn was_stopped_early(&self) -> bool {
        self.stopped.get() && !self.done.get()
    }

    /// Waits until a model host has accepted the release or it was stopped.
    pub async fn ended(&self) {
        let changed = self.changed.notified();
        if self.is_active() {
            changed.await;
        }
    }
}
