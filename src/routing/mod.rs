//! Routing: which worker prefills a prompt, which one streams the response, and which requests are retried
//! or rejected.
//!
//! [`policy::Policy`] is a state machine without I/O: the caller hands it events and the time, and carries
//! out the actions that it appends. The same events always give the same actions.

mod model;
pub mod policy;
pub mod types;
