//! The admin endpoint: an HTTP listener for operators with readiness, metrics and the drain switch.

mod connections;
pub mod metrics;
pub mod server;
