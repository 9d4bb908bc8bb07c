//! Stand-ins, faults, a checker of histories and experiments for fleets of conductors.

pub mod experiments;
pub mod sim;
