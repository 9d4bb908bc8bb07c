//! Raft consensus: one replicated log among the voters of the fleet.
//!
//! This is Raft as in the paper (leader election 5.2, log replication 5.3, commitment 5.4, log compaction 7) with
//! membership changes of one server at a time (dissertation 4.1), PreVote and CheckQuorum (dissertation 9.6, 6.2) and
//! leadership transfer (dissertation 3.10).
//!
//! [`Raft`] is a state machine without I/O: [`Raft::handle`] takes an event and the time, and appends [`Action`]s,
//! which the caller carries out in order. An [`Action::Persist`] is complete when the data is on disk; if it fails,
//! nothing after it may be carried out and the member must stop.
//!
//! A voter is identified by name and store ([`VoterId`]): after its disk was wiped, a member is a new voter, whose
//! votes and acknowledgements don't count until a committed configuration names it. Members that are not voters are
//! learners: they pull committed entries or a snapshot, instead of having them pushed by the leader. How the initial
//! configuration is agreed ("bootstrap"), and why that is safe, is described in `docs/design/group.md`.

mod bootstrap;
mod config;
mod election;
mod follower;
mod leader;
mod learner;
mod log;
mod message;
mod node;
mod progress;
mod pull_server;
mod types;
mod voter_change;

pub use config::Config;
pub use message::{
    AppendOutcome, Message, MessageBody, ProposalPayload, SnapshotChunk, SnapshotOffset,
};
pub use node::Raft;
pub use types::{
    Action, EntryPayload, Event, HardState, LogEntry, MAX_VOTERS, Rejection, RestoredState, Role,
    Snapshot, StorageWrite, VoterConfig, VoterId,
};
