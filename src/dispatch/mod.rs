//! Dispatch: runs the routing policy. It passes events to the [policy](crate::routing), executes the resulting actions,
//! and owns the timers and the table of open requests.
//!
//! Dispatch is independent of wire protocols. Requests are submitted through a [`DispatcherHandle`], attempts and
//! releases are sent through [`Outbound`], and results return as [`DispatcherEvent`]s. All events are processed on one
//! thread, in the order of one queue.

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
