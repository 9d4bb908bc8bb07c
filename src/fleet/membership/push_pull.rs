//! Push-pull: exchange of whole tables (memberlist), for joins, for healed partitions and at long intervals.

use super::message::{MemberUpdate, MessageKind};
use super::probe::ProbeTarget;
use super::types::{Action, Status};
use super::{Membership, SEEDS_PER_PERIOD};
use crate::fleet::MemberName;
use std::net::SocketAddr;

/// Up to this number of members push-pull runs at the configured interval; the interval grows with each doubling.
const PUSH_PULL_SCALE_MEMBERS: usize = 32;

impl Membership {
    /// Remembers the seeds and contacts some of them.
    pub(super) fn join(&mut self, seeds: Vec<(MemberName, SocketAddr)>, out: &mut Vec<Action>) {
        for (name, address) in seeds {
            let has_room = self.seeds.len() < self.config.max_members;
            if name != self.local_name && (has_room || self.seeds.contains_key(&name)) {
                self.seeds.insert(name, address);
            }
        }
        self.joined = false;
        self.contact_seeds(out);
    }

    /// Sends the table to random seeds and asks for theirs.
    pub(super) fn contact_seeds(&mut self, out: &mut Vec<Action>) {
        let mut seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        for _ in 0..SEEDS_PER_PERIOD.min(seeds.len()) {
            let index = self.random.below(seeds.len() as u64) as usize;
            let (name, address) = seeds.swap_remove(index);
            self.send_push_pull(&name, address, true, out);
        }
    }

    /// The periodic push-pull with a random live member.
    pub(super) fn run_push_pull(&mut self, out: &mut Vec<Action>) {
        let Some(interval) = self.config.push_pull_interval() else {
            return;
        };
        let doublings = (self.active_count() / PUSH_PULL_SCALE_MEMBERS)
            .max(1)
            .ilog2();
        let interval = interval.saturating_mul(u64::from(doublings + 1));
        self.next_push_pull = Some(self.now + interval);
        let mut partners = self.sample(1, |member| member.status == Status::Alive);
        if let Some(partner) = partners.pop() {
            self.send_push_pull(&partner.name, partner.address, true, out);
        }
    }

    /// Pings a random dead or left member, or else a seed that is not known to be active.
    pub(super) fn reconnect(&mut self, out: &mut Vec<Action>) {
        let Some(interval) = self.config.reconnect_interval() else {
            return;
        };
        self.next_reconnect = Some(self.now + interval);
        let mut candidates = self.sample(1, |member| !member.status.is_active());
        if candidates.is_empty() {
            candidates = self
                .seeds
                .iter()
                .filter(|(name, _)| !self.is_active(name))
                .map(|(name, address)| ProbeTarget {
                    name: name.clone(),
                    address: *address,
                })
                .collect();
        }
        if !candidates.is_empty() {
            let index = self.random.below(candidates.len() as u64) as usize;
            let target = candidates.swap_remove(index);
            self.send_ping(&target.name, target.address, out);
        }
    }

    /// Applies a received table.
    pub(super) fn merge_table(
        &mut self,
        from: &MemberName,
        table: Vec<MemberUpdate>,
        reply_wanted: bool,
        out: &mut Vec<Action>,
    ) {
        let is_reply = !reply_wanted;
        self.joined |= is_reply;
        for update in table.into_iter().take(self.config.max_members) {
            self.apply_indirect_update(from, update, out);
        }
    }

    /// Answers with the local table, within the period's budget.
    pub(super) fn answer_push_pull(&mut self, requester: &ProbeTarget, out: &mut Vec<Action>) {
        if self.push_pull_budget > 0 {
            self.push_pull_budget -= 1;
            self.send_push_pull(&requester.name, requester.address, false, out);
        }
    }

    /// Sends the local table. A suspected member is in it twice: as alive, so that it becomes known, and as suspected.
    pub(super) fn send_push_pull(
        &self,
        to: &MemberName,
        address: SocketAddr,
        reply_wanted: bool,
        out: &mut Vec<Action>,
    ) {
        let mut table = Vec::new();
        for member in self.members.values() {
            if member.name == self.local_name || member.name == *to {
                continue;
            }
            if member.status.is_active() {
                table.push(MemberUpdate::alive(member));
            }
            if member.status > Status::Alive {
                table.push(MemberUpdate::not_alive(member, &self.local_name));
            }
        }
        table.truncate(self.config.max_members);
        let kind = MessageKind::PushPull {
            table,
            reply_wanted,
        };
        self.send_reliable(to, address, kind, out);
    }
}
