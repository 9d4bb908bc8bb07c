//! Messages and updates: which statements about a member are believed.
//!
//! A direct update comes from the member that it is about, an indirect one from any other member.

use super::message::{MemberRecord, MemberUpdate, Message, MessageKind, UpdateKind};
use super::probe::ProbeTarget;
use super::suspicion::{Accusation, SuspicionSource};
use super::types::{Action, Cause, Member, Status, StatusChange};
use super::{MAX_REFUTATION_INCREASE, MAX_UPDATES_PER_DATAGRAM, Membership};
use crate::fleet::MemberName;

impl Membership {
    pub(super) fn on_message(&mut self, from: MemberName, message: Message, out: &mut Vec<Action>) {
        if from == self.local_name {
            self.counters.invalid_updates += 1;
            return;
        }
        if !self.apply_direct_update(&from, &message, out) {
            return;
        }
        let trusted = self.is_active(&from);
        let mut updates = message.updates.into_iter().take(MAX_UPDATES_PER_DATAGRAM);
        if trusted {
            for update in updates {
                self.apply_indirect_update(&from, update, out);
            }
        } else if let Some(update) = updates.find(|update| update.member == self.local_name) {
            // A sender held dead or left is told so by the reply and can refute. Refuting what it says of the local
            // member tells it likewise.
            self.refute(&from, &update, out);
        }
        let sender = ProbeTarget {
            name: from,
            address: message.sender.address,
        };
        self.on_message_kind(sender, message.kind, trusted, out);
    }

    fn on_message_kind(
        &mut self,
        sender: ProbeTarget,
        kind: MessageKind,
        trusted: bool,
        out: &mut Vec<Action>,
    ) {
        match kind {
            MessageKind::Ping { probe } => {
                let ack = MessageKind::Ack { probe };
                self.send_datagram(&sender.name, sender.address, ack, out);
            }
            MessageKind::IndirectPing {
                probe,
                target,
                address,
            } => {
                let target = ProbeTarget {
                    name: target,
                    address,
                };
                self.on_indirect_ping(sender, probe, target, out);
            }
            MessageKind::Ack { probe } => self.on_ack(&sender.name, probe, out),
            MessageKind::Nack { probe } => self.on_nack(sender.name, probe),
            MessageKind::PushPull {
                table,
                reply_wanted,
            } => {
                if trusted {
                    self.merge_table(&sender.name, table, reply_wanted, out);
                }
                if reply_wanted {
                    self.answer_push_pull(&sender, out);
                }
            }
            MessageKind::Leave => {}
        }
    }

    /// Applies what the message says about its sender. False if the rest of the message is to be ignored.
    fn apply_direct_update(
        &mut self,
        from: &MemberName,
        message: &Message,
        out: &mut Vec<Action>,
    ) -> bool {
        let version = message.sender.version();
        let Some(member) = self.members.get_mut(from) else {
            if message.kind == MessageKind::Leave {
                return false;
            }
            self.mark_alive(from, message.sender.clone(), Cause::Heard, out);
            return self.members.contains_key(from);
        };
        if version.incarnation < member.incarnation {
            self.counters.stale_messages += 1;
            return false;
        }
        if message.kind == MessageKind::Leave {
            if version >= member.version() && member.status != Status::Left {
                member.incarnation = version.incarnation;
                member.refutation = version.refutation;
                self.transition(from, Status::Left, Cause::Leaving, out);
            }
            return false;
        }
        if version > member.version() {
            self.mark_alive(from, message.sender.clone(), Cause::Heard, out);
        } else if version == member.version() {
            let is_ping = matches!(message.kind, MessageKind::Ping { .. });
            if member.status > Status::Alive && !is_ping {
                self.request_refutation(from, out);
            }
            if let Some(member) = self.members.get_mut(from) {
                member.address = message.sender.address;
            }
        }
        true
    }

    /// Applies what `reporter` says about another member.
    pub(super) fn apply_indirect_update(
        &mut self,
        reporter: &MemberName,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) {
        if update.member == self.local_name {
            return self.refute(reporter, &update, out);
        }
        if update.member == *reporter {
            return;
        }
        let Some(member) = self
            .members
            .get(&update.member)
            .filter(|member| member.incarnation >= update.incarnation)
        else {
            return self.on_unknown_incarnation(reporter, update, out);
        };
        if update.incarnation < member.incarnation || update.refutation < member.refutation {
            return;
        }
        if update.refutation - member.refutation > MAX_REFUTATION_INCREASE {
            self.counters.invalid_updates += 1;
            return;
        }
        match update.kind {
            UpdateKind::Alive { .. } => self.on_reported_alive(reporter, update, out),
            UpdateKind::Suspect { by } => {
                let accusation = Accusation {
                    refutation: update.refutation,
                    cause: Cause::ReportedBy(by.clone()),
                    source: SuspicionSource {
                        accuser: by,
                        reporter: reporter.clone(),
                    },
                    outcome: Status::Dead,
                };
                self.suspect(&update.member, accusation, out);
            }
            UpdateKind::Dead => self.on_reported_gone(reporter, update, Status::Dead, out),
            UpdateKind::Left => self.on_reported_gone(reporter, update, Status::Left, out),
        }
    }

    /// A member or an incarnation that is not known is verified before it is admitted.
    fn on_unknown_incarnation(
        &mut self,
        reporter: &MemberName,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) {
        if let UpdateKind::Alive { site, address } = update.kind {
            let record = MemberRecord {
                site,
                address,
                incarnation: update.incarnation,
                refutation: update.refutation,
            };
            self.verify_reported(reporter, update.member, record, out);
        } else if let Some(unverified) = self.unverified.get_mut(&update.member)
            && unverified.record.incarnation == update.incarnation
        {
            // It may have ended already: only an answer of its own counts now.
            unverified.reporters.clear();
        }
    }

    /// The update is about the known incarnation and not older than what is known.
    fn on_reported_alive(
        &mut self,
        reporter: &MemberName,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) {
        let member = &self.members[&update.member];
        if update.refutation > member.refutation {
            let record = MemberRecord {
                refutation: update.refutation,
                ..MemberRecord::from(member)
            };
            let cause = Cause::ReportedBy(reporter.clone());
            self.mark_alive(&update.member, record, cause, out);
        } else if !member.status.is_active() {
            // Both are about the same version and differ: the member itself decides.
            self.request_refutation(&update.member, out);
        }
    }

    /// A report of death or leave is only a suspicion. The update is about the known incarnation and not older than
    /// what is known.
    fn on_reported_gone(
        &mut self,
        reporter: &MemberName,
        update: MemberUpdate,
        reported: Status,
        out: &mut Vec<Action>,
    ) {
        let member = &self.members[&update.member];
        let status = member.status;
        let same_refutation = update.refutation == member.refutation;
        let cause = Cause::ReportedBy(reporter.clone());
        if status == Status::Suspect && same_refutation {
            self.confirm_fully(&update.member, reporter, reported);
        } else if reported == Status::Left && status == Status::Dead && same_refutation {
            self.transition(&update.member, Status::Left, cause, out);
        } else if status.is_active() || !same_refutation {
            let accusation = Accusation {
                refutation: update.refutation,
                source: SuspicionSource {
                    accuser: reporter.clone(),
                    reporter: reporter.clone(),
                },
                outcome: reported,
                cause,
            };
            self.suspect(&update.member, accusation, out);
            self.request_refutation(&update.member, out);
        }
    }

    /// Admits a member, or brings it back, at a version above the known one.
    pub(super) fn mark_alive(
        &mut self,
        name: &MemberName,
        record: MemberRecord,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let known = self.members.get(name);
        let from = known.map(|member| member.status);
        let same_incarnation = known.is_some_and(|member| member.incarnation == record.incarnation);
        let stays_alive = from == Some(Status::Alive) && same_incarnation;
        let since = known
            .filter(|_| stays_alive)
            .map_or(self.now, |member| member.since);
        if known.is_none() && !self.make_room() {
            self.counters.rejected_members += 1;
            return;
        }
        let address = record.address;
        let member = Member {
            name: name.clone(),
            site: record.site,
            address,
            incarnation: record.incarnation,
            refutation: record.refutation,
            status: Status::Alive,
            since,
        };
        self.broadcasts.push(MemberUpdate::alive(&member));
        if !stays_alive {
            out.push(Action::StatusChanged(StatusChange {
                member: name.clone(),
                site: member.site.clone(),
                incarnation: member.incarnation,
                from,
                to: Status::Alive,
                cause: cause.clone(),
            }));
        }
        self.members.insert(name.clone(), member);
        self.suspicions.remove(name);
        self.unverified.remove(name);
        let was_active = from.is_some_and(Status::is_active);
        let max_round = self.config.max_members.saturating_mul(2);
        if !was_active && self.round.order.len() < max_round {
            self.insert_into_round(name.clone());
        }
        // A member that comes back knows what its side of a partition knows.
        if from == Some(Status::Dead) && cause == Cause::Heard && self.may_push_pull_on_return {
            self.may_push_pull_on_return = false;
            self.send_push_pull(name, address, true, out);
        }
    }

    /// Refutes what `reporter` says about the local member, by raising its refutation (SWIM, section 4.2).
    fn refute(&mut self, reporter: &MemberName, update: &MemberUpdate, out: &mut Vec<Action>) {
        let Some(local) = self.members.get_mut(&self.local_name) else {
            return;
        };
        if update.incarnation > local.incarnation {
            self.counters.invalid_updates += 1;
            return;
        }
        let says_alive = matches!(update.kind, UpdateKind::Alive { .. });
        let outdated = if says_alive {
            update.refutation <= local.refutation
        } else {
            update.refutation < local.refutation
        };
        if update.incarnation < local.incarnation || outdated {
            return;
        }
        let max_refutation = local.refutation.saturating_add(MAX_REFUTATION_INCREASE);
        local.refutation = update.refutation.min(max_refutation).saturating_add(1);
        let change = StatusChange {
            member: local.name.clone(),
            site: local.site.clone(),
            incarnation: local.incarnation,
            from: Some(Status::Alive),
            to: Status::Alive,
            cause: Cause::Refuted(reporter.clone()),
        };
        self.counters.refutations += 1;
        if !self.refuted_since_ack {
            self.refuted_since_ack = true;
            self.adjust_health(1);
        }
        out.push(Action::StatusChanged(change));
        self.spread_refutation(out);
    }

    /// A refutation races the suspicions: some members hear it at once, within the period's budget of pings.
    fn spread_refutation(&mut self, out: &mut Vec<Action>) {
        let is_alive = |member: &Member| member.status == Status::Alive;
        for target in self.sample(self.config.indirect_probes, is_alive) {
            if self.verification_budget > 0 {
                self.verification_budget -= 1;
                self.send_ping(&target.name, target.address, out);
            }
        }
    }
}
