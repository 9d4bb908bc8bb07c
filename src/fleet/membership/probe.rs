//! Failure detection: direct and indirect pings (SWIM, sections 3.1 and 4.3), the local health multiplier and nacks
//! (Lifeguard, "Local Health Aware Probe").

use super::message::{MemberUpdate, MessageKind};
use super::suspicion::{Accusation, SuspicionSource};
use super::types::{Action, Cause, Status};
use super::{MAX_INDIRECT_PROBES, Membership};
use crate::fleet::MemberName;
use crate::routing::types::Micros;
use std::net::SocketAddr;

/// A member and the address that it announced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ProbeTarget {
    pub name: MemberName,
    pub address: SocketAddr,
}

/// The probe of the current protocol period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Probe {
    pub target: MemberName,
    pub number: u32,
    /// When indirect pings are sent; `None` once they are.
    pub indirect_at: Option<Micros>,
    /// Members that were asked for an indirect ping.
    pub helpers: Vec<MemberName>,
    /// Helpers that reported that they got no answer either.
    pub nacks: Vec<MemberName>,
}

/// An indirect ping that the local member serves for another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IndirectProbe {
    /// The local number of the ping.
    pub number: u32,
    pub target: MemberName,
    pub requester: ProbeTarget,
    /// The requester's number of its probe.
    pub requester_probe: u32,
    /// When a nack is sent.
    pub deadline: Micros,
}

/// The order in which members are probed: shuffled anew for each round, so that each is probed once a round.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ProbeRound {
    pub order: Vec<MemberName>,
    pub next: usize,
}

impl Membership {
    /// Ends the last probe and starts the next one.
    pub(super) fn start_probe(&mut self, out: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take() {
            self.on_probe_failed(probe, out);
        }
        let slowdown = u64::from(self.health) + 1;
        self.next_probe = self.now + self.config.period().saturating_mul(slowdown);
        let Some(target) = self.next_target() else {
            return;
        };
        self.counters.probes += 1;
        let number = self.send_ping(&target.name, target.address, out);
        let timeout = self.config.probe_timeout().saturating_mul(slowdown);
        self.probe = Some(Probe {
            target: target.name,
            number,
            indirect_at: Some(self.now + timeout),
            helpers: Vec::new(),
            nacks: Vec::new(),
        });
    }

    fn on_probe_failed(&mut self, probe: Probe, out: &mut Vec<Action>) {
        self.counters.failed_probes += 1;
        let missing_nacks = probe.helpers.len().saturating_sub(probe.nacks.len());
        let penalty = if probe.helpers.is_empty() {
            1
        } else {
            missing_nacks as i64
        };
        self.adjust_health(penalty);
        let Some(target) = self.members.get(&probe.target) else {
            return;
        };
        let accusation = Accusation {
            refutation: target.refutation,
            source: SuspicionSource {
                accuser: self.local_name.clone(),
                reporter: self.local_name.clone(),
            },
            outcome: Status::Dead,
            cause: Cause::ProbeFailed,
        };
        self.suspect(&probe.target, accusation, out);
    }

    /// The next active member of the round; a new round is shuffled when this one is over.
    fn next_target(&mut self) -> Option<ProbeTarget> {
        if let Some(target) = self.next_of_round() {
            return Some(target);
        }
        self.shuffle_round();
        self.next_of_round()
    }

    fn next_of_round(&mut self) -> Option<ProbeTarget> {
        while let Some(name) = self.round.order.get(self.round.next) {
            self.round.next += 1;
            if let Some(member) = self.members.get(name)
                && member.status.is_active()
            {
                return Some(ProbeTarget {
                    name: member.name.clone(),
                    address: member.address,
                });
            }
        }
        None
    }

    /// Fisher-Yates over all other active members.
    fn shuffle_round(&mut self) {
        let others = self
            .members
            .values()
            .filter(|member| member.name != self.local_name && member.status.is_active());
        let mut order: Vec<_> = others.map(|member| member.name.clone()).collect();
        for index in (1..order.len()).rev() {
            let other = self.random.below(index as u64 + 1) as usize;
            order.swap(index, other);
        }
        self.round = ProbeRound { order, next: 0 };
    }

    /// Puts a new member at a random position of the rest of the round (SWIM, section 4.3).
    pub(super) fn insert_into_round(&mut self, name: MemberName) {
        let remaining = self.round.order.len() - self.round.next;
        let index = self.round.next + self.random.below(remaining as u64 + 1) as usize;
        self.round.order.insert(index, name);
    }

    /// Asks random members to ping the target of the current probe.
    pub(super) fn send_indirect_pings(&mut self, out: &mut Vec<Action>) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.indirect_at = None;
        if let Some(address) = self.members.get(&probe.target).map(|peer| peer.address) {
            let helpers = self.sample(self.config.indirect_probes, |member| {
                member.status == Status::Alive && member.name != probe.target
            });
            for helper in helpers {
                let kind = MessageKind::IndirectPing {
                    probe: probe.number,
                    target: probe.target.clone(),
                    address,
                };
                self.send_datagram(&helper.name, helper.address, kind, out);
                probe.helpers.push(helper.name);
            }
        }
        self.probe = Some(probe);
    }

    /// Pings `target` for another member, unless too many such pings are under way.
    pub(super) fn on_indirect_ping(
        &mut self,
        requester: ProbeTarget,
        requester_probe: u32,
        target: ProbeTarget,
        out: &mut Vec<Action>,
    ) {
        if target.name == self.local_name {
            let ack = MessageKind::Ack {
                probe: requester_probe,
            };
            return self.send_datagram(&requester.name, requester.address, ack, out);
        }
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let known_address = self.members.get(&target.name).map(|member| member.address);
        let address = known_address.unwrap_or(target.address);
        let number = self.send_ping(&target.name, address, out);
        self.indirect_probes.push(IndirectProbe {
            number,
            target: target.name,
            requester,
            requester_probe,
            deadline: self.now + self.config.probe_timeout(),
        });
    }

    pub(super) fn on_ack(&mut self, from: &MemberName, number: u32, out: &mut Vec<Action>) {
        let served = self
            .indirect_probes
            .iter()
            .position(|probe| probe.number == number && probe.target == *from);
        if let Some(index) = served {
            let probe = self.indirect_probes.remove(index);
            self.forward_ack(probe, out);
        }
        if self.probe.as_ref().is_some_and(|probe| {
            probe.number == number && (probe.target == *from || probe.helpers.contains(from))
        }) {
            self.on_probe_answered();
        }
    }

    fn forward_ack(&mut self, probe: IndirectProbe, out: &mut Vec<Action>) {
        // The target may have refuted in its ack: the requester hears that as well.
        if let Some(target) = self.members.get(&probe.target)
            && target.status == Status::Alive
        {
            self.broadcasts.push(MemberUpdate::alive(target));
        }
        let ack = MessageKind::Ack {
            probe: probe.requester_probe,
        };
        let requester = probe.requester;
        self.send_datagram(&requester.name, requester.address, ack, out);
    }

    pub(super) fn on_nack(&mut self, from: MemberName, number: u32) {
        if let Some(probe) = self.probe.as_mut()
            && probe.number == number
            && probe.helpers.contains(&from)
            && !probe.nacks.contains(&from)
        {
            probe.nacks.push(from);
        }
    }

    /// Sends nacks for indirect pings that were not answered in time.
    pub(super) fn expire_indirect_probes(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        while let Some(index) = self
            .indirect_probes
            .iter()
            .position(|probe| probe.deadline <= now)
        {
            let probe = self.indirect_probes.remove(index);
            let nack = MessageKind::Nack {
                probe: probe.requester_probe,
            };
            let requester = probe.requester;
            self.send_datagram(&requester.name, requester.address, nack, out);
        }
    }

    /// The target answered, directly or through a helper.
    pub(super) fn on_probe_answered(&mut self) {
        self.refuted_since_ack = false;
        self.probe = None;
        self.adjust_health(-1);
    }

    pub(super) fn is_probed(&self, name: &MemberName) -> bool {
        self.probe
            .as_ref()
            .is_some_and(|probe| probe.target == *name)
    }

    /// Moves the health multiplier within its bounds.
    pub(super) fn adjust_health(&mut self, delta: i64) {
        let max = i64::from(self.config.max_health_multiplier);
        self.health = (i64::from(self.health) + delta).clamp(0, max) as u32;
    }
}
