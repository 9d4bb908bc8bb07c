//! Messages between Raft members.
//!
//! They are encoded by position (postcard): fields and variants keep their order.

use super::types::{LogEntry, VoterConfig};
use crate::fleet::{Index, MemberName, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Content of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalPayload {
    /// A command for the replicated state machine.
    Data(Vec<u8>),
    /// Names of the members that should be voters.
    TargetVoters(BTreeSet<MemberName>),
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The configuration as of that entry.
    pub config: VoterConfig,
    /// Size of the snapshot's data, in bytes.
    pub total: u64,
    /// Offset of `data` in the snapshot's data, in bytes.
    pub offset: u64,
    /// The bytes of this chunk.
    pub data: Vec<u8>,
}

/// How much of a snapshot was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotOffset {
    /// Index of the snapshot.
    pub index: Index,
    /// Offset of the byte that is needed next.
    pub offset: u64,
}

/// Result of [`MessageBody::AppendEntries`] or [`MessageBody::InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The sender's term is older than the receiver's.
    StaleTerm,
    /// The log matches the leader's up to this index.
    Matched(Index),
    /// The log lacks the entry before the first one sent, or has one of another term there.
    Conflict {
        /// Index of that entry.
        prev_index: Index,
        /// The receiver's term at that index, if it has an entry there.
        term: Option<Term>,
        /// The receiver's first entry of that term, or the first index that it lacks.
        first_index: Index,
    },
    /// A snapshot is being received.
    InstallingSnapshot {
        /// Index of the snapshot.
        index: Index,
        /// Offset of the byte that is needed next.
        offset: u64,
    },
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Bootstrap: an initial voter without history asks for a permanent vote for its store.
    BootstrapVoteRequest {
        /// The initial voters according to the sender's configuration.
        initial_voters: BTreeSet<MemberName>,
    },
    /// Answer to the bootstrap vote request; a granted vote is durable before it is sent.
    BootstrapVoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// RequestVote. A pre-vote asks about the term after the message's term; a real vote is for the message's term.
    VoteRequest {
        /// Whether this is a pre-vote, which binds nobody.
        pre_vote: bool,
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader transfers leadership: voters then vote although they hear from a leader.
        leadership_transfer: bool,
    },
    /// Answer to the vote request.
    VoteResponse {
        /// As in the request.
        pre_vote: bool,
        /// The term that the vote is for.
        vote_term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// AppendEntries; without entries it is a heartbeat.
    AppendEntries {
        /// Index of the entry before `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// InstallSnapshot: a part of the leader's snapshot.
    InstallSnapshot(SnapshotChunk),
    /// Answer to `AppendEntries` and `InstallSnapshot`.
    AppendResponse(AppendOutcome),
    /// A learner asks for committed entries.
    PullRequest {
        /// The first index that it lacks.
        next: Index,
        /// The snapshot that it is receiving, if any.
        snapshot: Option<SnapshotOffset>,
    },
    /// Committed entries for a learner.
    PullResponse {
        /// Consecutive entries.
        entries: Vec<LogEntry>,
        /// The sender's commit index.
        commit: Index,
        /// The leader of the message's term, if the sender knows it.
        leader: Option<MemberName>,
    },
    /// A part of the sender's snapshot for a learner.
    PullSnapshot(SnapshotChunk),
    /// A proposal forwarded to the leader.
    Propose(ProposalPayload),
    /// TimeoutNow: the leader transfers leadership; the receiver campaigns at once.
    TimeoutNow,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's store.
    pub from_store: u64,
    /// The receiver's store, or 0 for any. A member with another store ignores the message.
    pub to_store: u64,
    /// Whether the sender has completed bootstrap.
    pub bootstrapped: bool,
    /// The sender's term.
    pub term: Term,
    /// Content.
    pub body: MessageBody,
}
