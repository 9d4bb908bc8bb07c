//! Routing: decides which worker prefills a prompt, which worker streams the response, and which requests are
//! retried or rejected.
//!
//! [`policy::Policy`] is a deterministic state machine without I/O. The caller passes in events with the
//! current time and executes the actions that the policy appends; the same events always produce the same
//! actions.

mod model;
pub mod policy;
pub mod types;
