//! Stand-ins, faults, a checker of histories and experiments for fleets of conductors.

pub mod sim;
