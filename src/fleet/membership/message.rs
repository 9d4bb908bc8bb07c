//! Messages of the membership protocol. They are postcard on the wire: variants and fields count by position.

use super::types::{Member, Status, Version};
use crate::fleet::{Incarnation, MemberName, SiteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Upper bounds of encoded sizes, in bytes. A variable-length integer of 64 bits takes at most 10, of 32 bits at most 5;
/// a length prefix or an enum tag takes one.
const MAX_U64_BYTES: usize = 10;
const MAX_U32_BYTES: usize = 5;
const PREFIX_BYTES: usize = 1;
const IPV4_ADDRESS_BYTES: usize = 8;
const IPV6_ADDRESS_BYTES: usize = 20;
/// Tags and the number of updates of a message.
const MESSAGE_OVERHEAD_BYTES: usize = 3;

/// What the sender of a message says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its site.
    pub site: SiteName,
    /// The address at which peers reach it.
    pub address: SocketAddr,
    /// Its incarnation: one run of the process.
    pub incarnation: Incarnation,
    /// How often it has refuted within that incarnation.
    pub refutation: u32,
}

impl MemberRecord {
    pub(super) fn version(&self) -> Version {
        Version {
            incarnation: self.incarnation,
            refutation: self.refutation,
        }
    }

    fn max_encoded_len(&self) -> usize {
        PREFIX_BYTES
            + self.site.as_str().len()
            + encoded_address_len(&self.address)
            + MAX_U64_BYTES
            + MAX_U32_BYTES
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> MemberRecord {
        MemberRecord {
            site: member.site.clone(),
            address: member.address,
            incarnation: member.incarnation,
            refutation: member.refutation,
        }
    }
}

/// What an update says about a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UpdateKind {
    /// It is alive.
    Alive {
        /// Its site.
        site: SiteName,
        /// The address at which peers reach it.
        address: SocketAddr,
    },
    /// It did not answer a probe.
    Suspect {
        /// The member that suspects it.
        by: MemberName,
    },
    /// It did not refute a suspicion in time.
    Dead,
    /// It left the fleet.
    Left,
}

/// One piece of gossip: the status of a member, and the version that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: MemberName,
    /// The incarnation that the update is about.
    pub incarnation: Incarnation,
    /// How often the member had refuted within it.
    pub refutation: u32,
    /// The status.
    pub kind: UpdateKind,
}

impl MemberUpdate {
    fn new(member: &Member, kind: UpdateKind) -> MemberUpdate {
        MemberUpdate {
            member: member.name.clone(),
            incarnation: member.incarnation,
            refutation: member.refutation,
            kind,
        }
    }

    /// The update that says that `member` is alive.
    pub(super) fn alive(member: &Member) -> MemberUpdate {
        let kind = UpdateKind::Alive {
            site: member.site.clone(),
            address: member.address,
        };
        MemberUpdate::new(member, kind)
    }

    /// The update that says that `member` is suspected by `accuser`.
    pub(super) fn suspect(member: &Member, accuser: &MemberName) -> MemberUpdate {
        let by = accuser.clone();
        MemberUpdate::new(member, UpdateKind::Suspect { by })
    }

    /// The update for a member that is not alive; a suspicion is attributed to `accuser`.
    pub(super) fn not_alive(member: &Member, accuser: &MemberName) -> MemberUpdate {
        match member.status {
            Status::Dead => MemberUpdate::new(member, UpdateKind::Dead),
            Status::Left => MemberUpdate::new(member, UpdateKind::Left),
            Status::Alive | Status::Suspect => MemberUpdate::suspect(member, accuser),
        }
    }

    /// An upper bound of its encoded size, in bytes.
    pub(super) fn max_encoded_len(&self) -> usize {
        let kind = match &self.kind {
            UpdateKind::Alive { site, address } => {
                PREFIX_BYTES + site.as_str().len() + encoded_address_len(address)
            }
            UpdateKind::Suspect { by } => PREFIX_BYTES + by.as_str().len(),
            UpdateKind::Dead | UpdateKind::Left => 0,
        };
        let name = PREFIX_BYTES + self.member.as_str().len();
        name + MAX_U64_BYTES + MAX_U32_BYTES + PREFIX_BYTES + kind
    }
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an [`MessageKind::Ack`].
    Ping {
        /// The sender's probe number.
        probe: u32,
    },
    /// Asks the receiver to ping `target` on the sender's behalf (`ping-req` in the SWIM paper).
    IndirectPing {
        /// The sender's probe number.
        probe: u32,
        /// The member to ping.
        target: MemberName,
        /// Its address as the sender knows it.
        address: SocketAddr,
    },
    /// Answers a ping, or reports that the target of an indirect ping answered.
    Ack {
        /// The probe number of the member that asked.
        probe: u32,
    },
    /// Reports that the target of an indirect ping did not answer in time (Lifeguard).
    Nack {
        /// The probe number of the member that asked.
        probe: u32,
    },
    /// Push-pull: the sender's whole table.
    PushPull {
        /// The table.
        table: Vec<MemberUpdate>,
        /// Whether the receiver should send its own table back.
        reply_wanted: bool,
    },
    /// The sender leaves the fleet.
    Leave,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own record. The transport has authenticated its name.
    pub sender: MemberRecord,
    /// The purpose.
    pub kind: MessageKind,
    /// Piggybacked gossip.
    pub updates: Vec<MemberUpdate>,
}

/// An upper bound of the encoded size of a datagram without its updates, in bytes.
pub(super) fn max_header_len(sender: &MemberRecord, kind: &MessageKind) -> usize {
    let kind = match kind {
        MessageKind::IndirectPing {
            target, address, ..
        } => {
            2 * PREFIX_BYTES + MAX_U32_BYTES + target.as_str().len() + encoded_address_len(address)
        }
        _ => PREFIX_BYTES + MAX_U32_BYTES,
    };
    sender.max_encoded_len() + MESSAGE_OVERHEAD_BYTES + kind
}

fn encoded_address_len(address: &SocketAddr) -> usize {
    if address.is_ipv4() {
        IPV4_ADDRESS_BYTES
    } else {
        IPV6_ADDRESS_BYTES
    }
}
