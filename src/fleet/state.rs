//! The replicated state of the fleet: what the Raft log makes when its entries are applied in order.
//!
//! The state is the same at every member that has applied the same entries: no clock, no random numbers, and every
//! limit that decides anything is itself in the log ([`Bounds`]). A further part of the fleet adds a variant to
//! [`Command`], [`ProposalResult`] and [`StateChange`], a field to [`FleetState`], and an arm to `FleetState::execute`.
//!
//! Proposals are delivered at least once; [`FleetState`] applies each once, by its [`Origin`].

mod bounds;
mod fleet_state;
mod origin;
mod outbox;
mod proposal;
mod retry;

pub use bounds::Bounds;
pub use fleet_state::FleetState;
pub use origin::Origin;
pub use outbox::Outbox;
pub use proposal::{Command, Proposal, ProposalRejection, ProposalResult, StateChange};
pub use retry::Retry;
