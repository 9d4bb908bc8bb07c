//! Timeouts and limits of a Raft member.

use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

/// Timeouts and limits of a Raft member. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Minimum election timeout; each timeout is drawn from this value up to twice this value. A leader that has not
    /// heard from a majority for this time steps down (CheckQuorum).
    #[serde(rename = "election_us")]
    pub election_timeout_us: Micros,
    /// Interval of a leader's heartbeats; at most a fifth of the election timeout.
    #[serde(rename = "heartbeat_us")]
    pub heartbeat_interval_us: Micros,
    /// Interval of a learner's pull requests. After receiving entries it pulls again at once.
    #[serde(rename = "pull_us")]
    pub pull_interval_us: Micros,
    /// Maximum number of entries in a message.
    #[serde(rename = "most_entries_per_message")]
    pub max_entries_per_message: usize,
    /// Maximum bytes of entries, or of snapshot data, in a message; a single larger entry is still sent.
    #[serde(rename = "most_bytes_per_message")]
    pub max_bytes_per_message: usize,
    /// Maximum number of unacknowledged entries sent to one voter.
    #[serde(rename = "most_in_flight")]
    pub max_in_flight: u64,
    /// Maximum number of uncommitted entries at the leader; it rejects further proposals.
    #[serde(rename = "most_uncommitted")]
    pub max_uncommitted: u64,
    /// Maximum size of a proposal's payload, in bytes.
    #[serde(rename = "most_payload_bytes")]
    pub max_payload_bytes: usize,
    /// [`super::Raft::should_compact`] is true when this many entries were applied since the last snapshot.
    #[serde(rename = "snapshot_after")]
    pub compact_after_entries: u64,
    /// Maximum number of entries kept after the snapshot; the leader rejects further proposals.
    #[serde(rename = "most_entries")]
    pub max_log_entries: usize,
    /// Maximum size of a snapshot, in bytes, taken here or received.
    #[serde(rename = "most_snapshot_bytes")]
    pub max_snapshot_bytes: usize,
    /// Maximum number of learners that a member tracks.
    #[serde(rename = "most_learners")]
    pub max_learners: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            election_timeout_us: 1_000_000,
            heartbeat_interval_us: 150_000,
            pull_interval_us: 250_000,
            max_entries_per_message: 64,
            max_bytes_per_message: 64 << 10,
            max_in_flight: 256,
            max_uncommitted: 1_024,
            max_payload_bytes: 256 << 10,
            compact_after_entries: 1_024,
            max_log_entries: 16_384,
            max_snapshot_bytes: 16 << 20,
            max_learners: 1_024,
        }
    }
}
