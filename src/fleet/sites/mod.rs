//! Plans for the loss of a whole site: where its load goes, which requests are refused first, and how load returns.
//!
//! [`describe`] reads an operator's `[sites]` tables, [`plan`] computes an allocation for each loss ahead of time,
//! [`refuse`] admits or refuses new requests, [`watch`] detects which sites are lost, [`epoch`] is the state that the
//! routers agree on through the Raft log, [`ramp`] paces the return of load, and [`member`] combines these for one
//! router. These modules do no I/O and read no clock. See `docs/sites.md` and `docs/design/sites.md`.

pub mod command;
pub mod describe;
pub mod epoch;
mod lp;
pub mod member;
pub mod plan;
pub mod ramp;
pub mod refuse;
mod svg;
#[cfg(test)]
mod tests;
pub mod watch;
