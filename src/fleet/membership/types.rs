//! Members, their status, and the events and actions of [`super::Membership`].

use super::message::Message;
use crate::fleet::{Incarnation, MemberName, SiteName};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of the local member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalMember {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Its incarnation: one run of the process.
    pub incarnation: Incarnation,
}

/// The status of a member. The order is used: above [`Status::Suspect`] a member counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It did not answer a probe; it can still refute that.
    Suspect,
    /// It did not refute in time. It comes back as soon as it refutes.
    Dead,
    /// It left the fleet.
    Left,
}

impl Status {
    /// The name used in logs and in `fleet status`.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Suspect => "suspect",
            Status::Dead => "dead",
            Status::Left => "left",
        }
    }

    /// Whether it takes part in the protocol: alive or suspected.
    pub(super) fn is_active(self) -> bool {
        self <= Status::Suspect
    }
}

/// What orders statements about a member: its incarnation, then its refutations within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Version {
    pub incarnation: Incarnation,
    pub refutation: u32,
}

/// A member as the local one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// The address that it announced.
    pub address: SocketAddr,
    /// Its latest known incarnation: one run of the process. Unlike SWIM's, a refutation does not raise it.
    pub incarnation: Incarnation,
    /// How often it has refuted within that incarnation (SWIM's incarnation number).
    pub refutation: u32,
    /// Its status.
    pub status: Status,
    /// When the status was entered, on the local clock.
    pub since: Micros,
}

impl Member {
    pub(super) fn version(&self) -> Version {
        Version {
            incarnation: self.incarnation,
            refutation: self.refutation,
        }
    }
}

/// Why a status changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// A message came from the member itself.
    Heard,
    /// It answered neither the direct nor the indirect pings.
    #[serde(rename = "unanswered")]
    ProbeFailed,
    /// The named member reported it.
    #[serde(rename = "told")]
    ReportedBy(MemberName),
    /// The suspicion timed out.
    #[serde(rename = "expired")]
    SuspicionExpired,
    /// The member announced that it leaves.
    Leaving,
    /// The local member refuted what the named member said of it.
    Refuted(MemberName),
}

impl Cause {
    /// The name used in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Cause::Heard => "heard",
            Cause::ProbeFailed => "unanswered",
            Cause::ReportedBy(_) => "told",
            Cause::SuspicionExpired => "expired",
            Cause::Leaving => "leaving",
            Cause::Refuted(_) => "refuted",
        }
    }
}

/// A member changed its status. For the local member: it left, or (from alive to alive) it refuted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusChange {
    /// The member.
    pub member: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The previous status; `None` if the member was not known.
    pub from: Option<Status>,
    /// The new status.
    pub to: Status,
    /// Why it changed.
    pub cause: Cause,
}

/// An input of [`super::Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Join the fleet through seeds. They are kept and contacted again whenever they are not known to be alive.
    Join {
        /// Names and addresses; the local member's own is ignored.
        seeds: Vec<(MemberName, SocketAddr)>,
    },
    /// A message arrived.
    Message {
        /// The sender, authenticated by the transport.
        from: MemberName,
        /// The message.
        message: Message,
    },
    /// Leave the fleet: announce it, then stay silent.
    Leave,
    /// Another channel has just heard from that member.
    ContactedElsewhere(MemberName),
}

/// An output of [`super::Membership`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message; delivery is not guaranteed.
    Send {
        /// The receiver.
        to: MemberName,
        /// The address that the receiver announced.
        address: SocketAddr,
        /// The message.
        message: Message,
        /// Whether to send over a stream: the message may be larger than a datagram.
        reliable: bool,
    },
    /// A status has changed.
    StatusChanged(StatusChange),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counters {
    /// Probes started.
    pub probes: u64,
    /// Probes without an answer.
    pub failed_probes: u64,
    /// Refutations by the local member.
    pub refutations: u64,
    /// Updates ignored as impossible: a refutation that rises too far, or a later incarnation of the local member.
    pub invalid_updates: u64,
    /// Messages ignored because they came from an earlier incarnation of their sender.
    pub stale_messages: u64,
    /// Members not admitted because the table is full.
    pub rejected_members: u64,
    /// Times the local process itself had stalled.
    pub stalls: u64,
}
