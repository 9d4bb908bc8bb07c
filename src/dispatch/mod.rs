//! Dispatch: drives routing. It hands events to the [policy](crate::routing), carries out its actions, and owns the timers
//! and the table of open requests.
//!
//! Dispatch knows no wire protocol. Requests come in through a [`DispatcherHandle`], attempts and releases go out through
//! [`Outbound`], and results come back as [`DispatcherEvent`]s. Everything runs on one thread, in the order of one queue.

mod clock;
mod dispatcher;
mod handle;
mod invariants;
mod open_request;
mod outbound;
mod release_progress;
#[cfg(test)]
mod tests;
mod timers;

pub use clock::Clock;
pub use dispatcher::Dispatcher;
pub use handle::{DispatcherEvent, DispatcherHandle};
pub use outbound::{Attempt, Outbound};
pub use release_progress::ReleaseProgress;
