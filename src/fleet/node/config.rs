//! Configuration of a member's state machines.

use crate::fleet::state::Bounds;
use crate::fleet::{lease, membership, raft};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1000;

/// Configuration of a member's state machines. The serde names are operators' settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Of the membership protocol.
    #[serde(rename = "view")]
    pub membership: membership::Config,
    /// Of the Raft log.
    #[serde(rename = "group")]
    pub raft: raft::Config,
    /// Of the leases.
    pub lease: lease::Config,
    /// Limits of the replicated state; a leader proposes its own.
    pub bounds: Bounds,
    /// Limits of the node itself.
    pub node: Limits,
}

/// Limits of one member. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most leases that the member acquires at once, its session lease included.
    #[serde(rename = "most_wants")]
    pub max_wanted_leases: usize,
    /// Most proposals of callers without a result.
    #[serde(rename = "most_proposals")]
    pub max_pending_proposals: usize,
    /// A proposal without a result is given up after this.
    #[serde(rename = "give_up_ms")]
    pub proposal_timeout_ms: u64,
    /// A record of a request without an owner is kept at least this long.
    #[serde(rename = "remember_ms")]
    pub work_retention_ms: u64,
    /// The leader aborts a proposal of settings that is not decided within this.
    #[serde(rename = "policy_within_ms")]
    pub settings_proposal_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_wanted_leases: 64,
            max_pending_proposals: 1_024,
            proposal_timeout_ms: 10_000,
            work_retention_ms: 900_000,
            settings_proposal_timeout_ms: 30_000,
        }
    }
}

impl Limits {
    /// When a proposal made at `now` is given up.
    pub(super) fn proposal_deadline(&self, now: Micros) -> Micros {
        now.saturating_add(self.proposal_timeout_ms.saturating_mul(MICROS_PER_MILLI))
    }

    /// When the leader aborts a proposal of settings seen first at `now`.
    pub(super) fn settings_deadline(&self, now: Micros) -> Micros {
        let timeout = self.settings_proposal_timeout_ms;
        now.saturating_add(timeout.saturating_mul(MICROS_PER_MILLI))
    }

    pub(super) fn work_retention(&self) -> Micros {
        self.work_retention_ms.saturating_mul(MICROS_PER_MILLI)
    }
}
