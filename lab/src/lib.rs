//! Stand-ins, faults, a checker of histories and experiments for fleets of conductors. How to use it: `docs/lab.md`.

pub mod checker;
pub mod clients;
pub mod discovery;
pub mod experiments;
pub mod explore;
pub mod fleet;
pub mod history;
pub mod hosts;
pub mod network;
pub mod peer;
pub mod play;
pub mod plot;
pub mod process;
pub mod rolling_upgrade;
pub mod scale;
pub mod script;
pub mod shutdown_soak;
pub mod sim;
pub mod sim_sites;
pub mod soak;
pub mod stall_soak;
pub mod steps;
pub mod tools;
