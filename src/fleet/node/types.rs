//! Start, events, actions and errors of [`super::Node`].

use crate::fleet::lease::LeaseStatusChange;
use crate::fleet::message::Message;
use crate::fleet::state::{Command, ProposalResult, StateChange};
use crate::fleet::{Index, LeaseName, MemberName, Term, membership, raft};
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Identity and stored state of a member at its start.
#[derive(Clone, Debug)]
pub struct NodeStart {
    /// The local member in this incarnation.
    pub local: membership::LocalMember,
    /// The random id of its store, drawn when the store was formatted.
    pub store: u64,
    /// The voters of the initial configuration, from the operator's file.
    pub voters: BTreeSet<MemberName>,
    /// The stored Raft state.
    pub restored: raft::RestoredState,
    /// The seed of all random choices.
    pub seed: u64,
    /// Members to learn the log from and to renew leases through before the voters, the nearest first.
    pub relays: Vec<MemberName>,
}

/// An input of [`super::Node`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Join the fleet through seeds.
    Join {
        /// Names and addresses, from the operator's file.
        seeds: Vec<(MemberName, SocketAddr)>,
    },
    /// A message arrived; its sender is authenticated.
    Message {
        /// The sender.
        from: MemberName,
        /// The message.
        message: Message,
    },
    /// Acquire this lease and hold it until [`Event::ReleaseLease`].
    AcquireLease(LeaseName),
    /// Release this lease.
    ReleaseLease(LeaseName),
    /// Propose a command; [`Action::ProposalCompleted`] has the result.
    Propose {
        /// The caller's id of the proposal.
        request_id: u64,
        /// The command.
        command: Command,
    },
    /// Change the voters to these members.
    ChangeVoters(BTreeSet<MemberName>),
    /// A planned stop: release all leases and leave the fleet. [`super::Node::left`] returns when that is done.
    Leave,
}

/// An output of [`super::Node`]. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: MemberName,
        /// The address in the membership table; one in the operator's file takes precedence. `None` if not known.
        address: Option<SocketAddr>,
        /// The message.
        message: Message,
        /// Whether to send over the ordered connection instead of a datagram.
        reliable: bool,
    },
    /// Make this durable before any later action is started.
    Persist(raft::StorageWrite),
    /// The status of a member changed.
    MembershipChanged(membership::StatusChange),
    /// The local member's status of a lease changed: update [`crate::fleet::lease::LeaseView`] and the history.
    LeaseChanged(LeaseStatusChange),
    /// The known leader changed.
    LeaderChanged {
        /// The leader.
        leader: Option<MemberName>,
        /// Its term.
        term: Term,
    },
    /// A proposal has completed.
    ProposalCompleted {
        /// The caller's id of the proposal.
        request_id: u64,
        /// The result, or why there is none.
        result: Result<ProposalResult, ProposalError>,
    },
    /// The session lease became valid (true) or invalid.
    SessionValid(bool),
    /// The log has ended this incarnation: start a new one, or stop.
    IncarnationEnded,
    /// The replicated state changed. Each member sees the effects of the entries that it applies, in log order; those of
    /// entries covered by a snapshot are not reported, see [`Action::SnapshotRestored`].
    Effect {
        /// The entry.
        index: Index,
        /// Its effect.
        effect: StateChange,
    },
    /// The state was replaced by a snapshot: read it with [`super::Node::state`].
    SnapshotRestored {
        /// The last entry that it covers.
        index: Index,
    },
    /// Raft rejected a request. Proposals are sent again by themselves.
    Rejected(raft::Rejection),
}

/// Why a proposal has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProposalError {
    /// Too many proposals wait already; it was not sent.
    #[error("too many proposals wait")]
    #[serde(rename = "full")]
    QueueFull,
    /// There was no result in time. It may still be applied.
    #[error("no answer in time; it may still be applied")]
    #[serde(rename = "gave_up")]
    TimedOut,
    /// It was decided in an entry covered by a snapshot: read the state.
    #[error("decided; look at the state")]
    #[serde(rename = "hidden")]
    ReplyLost,
}
