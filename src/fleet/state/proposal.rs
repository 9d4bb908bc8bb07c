//! Proposals to the replicated state, and what comes of them.

use super::bounds::Bounds;
use super::origin::Origin;
use crate::fleet::{lease, policy_epoch, sites, work};
use serde::{Deserialize, Serialize};

/// A command on its way into the log. Stored by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Identity of the proposal.
    pub origin: Origin,
    /// The proposer waits for none of its proposals below this sequence number; late copies of those are rejected.
    pub settled_below: u64,
    /// The command.
    pub command: Command,
}

impl Proposal {
    /// Encodes the proposal as the payload of a log entry.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the payload of a log entry; `None` if it is not a proposal.
    pub fn decode(payload: &[u8]) -> Option<Proposal> {
        postcard::from_bytes(payload).ok()
    }
}

/// A command to the replicated state. Variants are only ever added at the end: the log outlives the program.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the bounds: the leader's settings differ from those in force.
    Bounds(Bounds),
    /// About a lease.
    Lease(lease::Command),
    /// About recorded work.
    Takeover(work::Command),
    /// About a lost or a returning site.
    Sites(sites::epoch::Command),
    /// About the policy.
    Policy(policy_epoch::Command),
}

/// Result of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResult {
    /// The command was not applied.
    Rejected(ProposalRejection),
    /// The command was applied.
    Done,
    /// Result of the table of leases.
    Lease(lease::Outcome),
    /// Result of the records of work.
    Takeover(work::Reply),
    /// Result of a command about the policy.
    Policy(policy_epoch::Reply),
}

/// Why a proposal was rejected without applying its command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalRejection {
    /// A later incarnation of the member has proposed since, or incarnations as old as this are not remembered.
    StaleIncarnation,
    /// It was applied before, or the proposer had settled it.
    Duplicate,
    /// [`Bounds::max_members`] members have proposed, and all of them are live.
    TooManyMembers,
    /// A bound is zero.
    InvalidBounds,
}

/// A change that applying an entry made, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StateChange {
    /// A proposal was decided; its proposer waits for this.
    ProposalDecided {
        /// Identity of the proposal.
        origin: Origin,
        /// Its result.
        result: ProposalResult,
    },
    /// A lease changed.
    Lease(lease::LeaseChange),
    /// A record of work changed in a way that others wait for.
    Takeover(work::RecordChange),
    /// The policy, or a proposal of one, changed.
    Policy(policy_epoch::Notice),
    /// Other bounds are in force.
    Bounds(Bounds),
    /// The agreed state of the sites changed.
    Sites(sites::epoch::Effect),
}
