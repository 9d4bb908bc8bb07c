//! What operators reach: a listener of its own with readiness, figures and the drain switch.

pub mod door;
pub mod figures;
