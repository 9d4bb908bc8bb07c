//! Voters, log entries, persistent state, and the events and actions of a member.
//!
//! Stored types are encoded by position (postcard): fields and variants keep their order.

use super::message::Message;
use crate::fleet::{Index, MemberName, Term};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of voters in a configuration.
pub const MAX_VOTERS: usize = 9;

/// A voter: a member with a certain store. After its disk was wiped, the same member is a different voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// The member.
    pub name: MemberName,
    /// Random number of its store, drawn when the directory was created. Not 0.
    pub store: u64,
}

/// A configuration: the voters, and the target that the leader moves towards by one voter at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VoterConfig {
    /// Names of the members that should be voters.
    pub target: BTreeSet<MemberName>,
    /// The current voters.
    pub voters: BTreeSet<VoterId>,
    /// Those of `voters` that stem from the initial configuration: they count only once they have bootstrapped.
    pub bootstrap_voters: BTreeSet<VoterId>,
}

impl VoterConfig {
    /// Whether a vote or acknowledgement of `voter` counts, given whether that voter has bootstrapped.
    pub(super) fn counts(&self, voter: &VoterId, bootstrapped: bool) -> bool {
        self.voters.contains(voter) && (bootstrapped || !self.bootstrap_voters.contains(voter))
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The voter of this member's name, whatever its store.
    pub(super) fn voter_named(&self, name: &MemberName) -> Option<&VoterId> {
        self.voters.iter().find(|voter| voter.name == *name)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Empty: the first entry of a new leader's term.
    Noop,
    /// A new configuration, in force as soon as it is in the log (not when it is committed).
    ConfigChange(VoterConfig),
    /// A command for the replicated state machine.
    Data(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that created it.
    pub term: Term,
    /// Position in the log, from 1.
    pub index: Index,
    /// Content.
    pub payload: EntryPayload,
}

/// The replicated state after an entry; it replaces all entries up to that one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The configuration as of that entry.
    pub config: VoterConfig,
    /// The encoded state machine.
    pub data: Vec<u8>,
}

/// Persistent state of a member beside its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this member voted for in `term`.
    pub voted_for: Option<VoterId>,
    /// Bootstrap votes granted: for each other initial voter, its store. A vote is never changed once granted.
    pub bootstrap_votes: BTreeMap<MemberName, u64>,
    /// The initial configuration, once all other initial voters have granted this store their bootstrap vote.
    pub bootstrap_config: Option<VoterConfig>,
}

/// Contents of a member's store, as read at start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RestoredState {
    /// The last hard state written.
    pub hard_state: HardState,
    /// The last snapshot written.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl RestoredState {
    /// Changes this into what the store holds after `write`.
    pub fn apply(&mut self, write: StorageWrite) {
        match write {
            StorageWrite::HardState(hard_state) => self.hard_state = hard_state,
            StorageWrite::Entries { first, entries } => {
                self.entries.retain(|entry| entry.index < first);
                self.entries.extend(entries);
            }
            StorageWrite::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
    }
}

/// A write that must be durable before any later action is carried out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StorageWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Removes all entries from `first` on, then appends `entries`.
    Entries {
        /// Index of the first entry, also if `entries` is empty.
        first: Index,
        /// Consecutive entries from `first` on.
        entries: Vec<LogEntry>,
    },
    /// Replaces the snapshot and all entries up to its index.
    Snapshot(Snapshot),
}

/// Input of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The time given by [`super::Raft::timeout`] has come.
    Tick,
    /// A message was received.
    Message {
        /// The sender.
        from: MemberName,
        /// The message.
        message: Message,
    },
    /// Append this to the log, or forward it to the leader. It may get lost, or be appended twice if proposed again.
    Propose {
        /// The entry's data.
        payload: Vec<u8>,
    },
    /// Compact the log: `data` is the state after entry `index`, which was applied here.
    Compact {
        /// The last entry included.
        index: Index,
        /// The encoded state machine.
        data: Vec<u8>,
    },
    /// Make these members the target voters (1 to [`MAX_VOTERS`]).
    ChangeVoters(BTreeSet<MemberName>),
    /// Planned stop: if this member leads, transfer leadership to another voter.
    TransferLeadership,
}

/// Why a request to this member was rejected. A proposal may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// No leader is known.
    NoLeader,
    /// The leader's log is at its limit.
    LogFull,
    /// The payload exceeds [`super::Config::max_payload_bytes`].
    PayloadTooLarge,
    /// The set of voters is not valid, or the last configuration change is not committed yet.
    VoterChangeNotAllowed,
    /// Another initial voter is configured with different initial voters: bootstrap is impossible.
    InitialVotersDiffer,
    /// The snapshot's entry was not applied here, or the snapshot exceeds [`super::Config::max_snapshot_bytes`].
    InvalidSnapshot,
}

/// Output of a member, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Write to disk. If this fails, no later action may be carried out.
    Persist(StorageWrite),
    /// Send a message.
    Send {
        /// The receiver.
        to: MemberName,
        /// The message.
        message: Message,
    },
    /// Apply this committed entry to the state machine. Entries come in order, each once per process start.
    Apply(LogEntry),
    /// Replace the state machine by this snapshot; the entries after it follow.
    Restore(Snapshot),
    /// The known leader or its term has changed.
    LeaderChanged(Option<MemberName>, Term),
    /// A proposal, compaction or bootstrap was rejected.
    Rejected(Rejection),
}

/// Role of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Doesn't vote; pulls committed entries.
    Learner,
    /// Votes and replicates the leader's log.
    Follower,
    /// Campaigns for election (or for pre-votes).
    Candidate,
    /// Replicates its log to the voters.
    Leader,
}
