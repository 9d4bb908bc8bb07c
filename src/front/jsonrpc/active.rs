//! The requests that are in progress, by the clients' names for them.

use super::Front;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// A named request that this router is processing.
pub(super) struct ActiveRequest {
    pub(super) stop: watch::Sender<StopSignal>,
    /// Whether the answer has started to stream; shared with the [`ActiveGuard`].
    pub(super) streaming: Rc<Cell<bool>>,
    /// Tells this request from a later one with the same name.
    pub(super) serial: u64,
}

/// Why a request has to stop.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum StopSignal {
    None,
    /// The client cancelled the request.
    Cancelled,
    /// The request continues elsewhere: in a newer request of the same name, or at another router.
    Moved,
}

/// Removes a request from [`Front::active`] on drop.
pub(super) struct ActiveGuard {
    pub(super) front: Rc<Front>,
    pub(super) name: Rc<str>,
    pub(super) serial: u64,
    pub(super) streaming: Rc<Cell<bool>>,
    pub(super) stop: watch::Receiver<StopSignal>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut active = self.front.active.borrow_mut();
        if active
            .get(&self.name)
            .is_some_and(|a| a.serial == self.serial)
        {
            active.remove(&self.name);
        }
    }
}
