//! Limits of the replicated tables.

use serde::{Deserialize, Serialize};

/// Limits of the replicated tables. They decide what is rejected, so they are part of the replicated state themselves:
/// a leader with other settings proposes its own.
///
/// Stored by position (postcard): the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Maximum number of members whose proposals are remembered, live and past ones.
    #[serde(rename = "most_members")]
    pub max_members: u32,
    /// Maximum number of leases held at once, session leases included.
    #[serde(rename = "most_leases")]
    pub max_leases: u32,
    /// Maximum number of members that wait for one lease.
    #[serde(rename = "most_waiters")]
    pub max_waiters: u32,
    /// Maximum duration of a lease, in milliseconds.
    #[serde(rename = "most_granted_for_ms")]
    pub max_lease_duration_ms: u64,
}

impl Bounds {
    pub(super) fn is_valid(&self) -> bool {
        self.max_members != 0 && self.max_leases != 0
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            max_members: 256,
            max_leases: 1024,
            max_waiters: 64,
            max_lease_duration_ms: 60_000,
        }
    }
}
