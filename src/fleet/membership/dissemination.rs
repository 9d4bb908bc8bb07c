//! Dissemination: updates are piggybacked on pings and acks (SWIM, section 4.1), those sent least often first.

use super::message::{self, MemberRecord, MemberUpdate, Message, MessageKind};
use super::types::{Action, Status};
use super::{MAX_UPDATES_PER_DATAGRAM, Membership};
use crate::fleet::MemberName;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Position of an update in the queue: the one sent least often first, among those the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct QueueKey {
    transmissions: u32,
    /// Counts down, so that newer updates come first.
    sequence: u64,
}

/// Updates that are still to be sent, at most one for each member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct BroadcastQueue {
    updates: BTreeMap<QueueKey, MemberUpdate>,
    key_of: BTreeMap<MemberName, QueueKey>,
    next_sequence: u64,
}

impl BroadcastQueue {
    pub fn new() -> BroadcastQueue {
        BroadcastQueue {
            updates: BTreeMap::new(),
            key_of: BTreeMap::new(),
            next_sequence: u64::MAX,
        }
    }

    /// Queues an update; it replaces an older one about the same member.
    pub fn push(&mut self, update: MemberUpdate) {
        self.remove(&update.member);
        self.next_sequence -= 1;
        let key = QueueKey {
            transmissions: 0,
            sequence: self.next_sequence,
        };
        self.insert(key, update);
    }

    /// Removes the update about a member.
    pub fn remove(&mut self, member: &MemberName) {
        if let Some(key) = self.key_of.remove(member) {
            self.updates.remove(&key);
        }
    }

    /// Takes the updates that fit into `budget` bytes of a datagram to `receiver`. Each is dropped from the queue once
    /// it has been taken `transmit_limit` times.
    fn take(
        &mut self,
        receiver: &MemberName,
        mut budget: usize,
        transmit_limit: u32,
    ) -> Vec<MemberUpdate> {
        let mut taken = Vec::new();
        let mut keys = Vec::new();
        // One place is left for the update about the receiver.
        for (key, update) in self.updates.iter().take(MAX_UPDATES_PER_DATAGRAM - 1) {
            // A status held against the receiver is sent separately; that it is alive it knows.
            if update.member == *receiver {
                continue;
            }
            let length = update.max_encoded_len();
            if length > budget {
                break;
            }
            budget -= length;
            taken.push(update.clone());
            keys.push(*key);
        }
        for key in keys {
            self.count_transmission(key, transmit_limit);
        }
        taken
    }

    fn count_transmission(&mut self, key: QueueKey, transmit_limit: u32) {
        let Some(update) = self.updates.remove(&key) else {
            return;
        };
        self.key_of.remove(&update.member);
        let transmissions = key.transmissions + 1;
        if transmissions < transmit_limit {
            let key = QueueKey {
                transmissions,
                ..key
            };
            self.insert(key, update);
        }
    }

    fn insert(&mut self, key: QueueKey, update: MemberUpdate) {
        self.key_of.insert(update.member.clone(), key);
        self.updates.insert(key, update);
    }
}

impl Membership {
    /// Sends a ping and returns its probe number.
    pub(super) fn send_ping(
        &mut self,
        to: &MemberName,
        address: SocketAddr,
        out: &mut Vec<Action>,
    ) -> u32 {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let probe = self.last_probe_number;
        self.send_datagram(to, address, MessageKind::Ping { probe }, out);
        probe
    }

    /// Sends a datagram with as many updates as fit. A status held against the receiver goes first, so that it can
    /// refute (Lifeguard, "Buddy System").
    pub(super) fn send_datagram(
        &mut self,
        to: &MemberName,
        address: SocketAddr,
        kind: MessageKind,
        out: &mut Vec<Action>,
    ) {
        let sender = MemberRecord::from(self.local_member());
        let header = message::max_header_len(&sender, &kind);
        let mut budget = self.config.max_datagram_bytes.saturating_sub(header);
        let mut updates = Vec::new();
        if let Some(update) = self.status_against(to) {
            budget = budget.saturating_sub(update.max_encoded_len());
            updates.push(update);
        }
        let transmit_limit = self.config.retransmits(self.active_count());
        updates.extend(self.broadcasts.take(to, budget, transmit_limit));
        out.push(Action::Send {
            to: to.clone(),
            address,
            message: Message {
                sender,
                kind,
                updates,
            },
            reliable: false,
        });
    }

    /// Sends a message over a stream, without gossip but for a status held against the receiver.
    pub(super) fn send_reliable(
        &self,
        to: &MemberName,
        address: SocketAddr,
        kind: MessageKind,
        out: &mut Vec<Action>,
    ) {
        let message = Message {
            sender: MemberRecord::from(self.local_member()),
            kind,
            updates: self.status_against(to).into_iter().collect(),
        };
        out.push(Action::Send {
            to: to.clone(),
            address,
            message,
            reliable: true,
        });
    }

    fn status_against(&self, receiver: &MemberName) -> Option<MemberUpdate> {
        let member = self.members.get(receiver)?;
        let update = MemberUpdate::not_alive(member, &self.local_name);
        (member.status > Status::Alive).then_some(update)
    }
}
