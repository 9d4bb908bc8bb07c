//! Suspicion (SWIM, section 4.2) with a timeout that shrinks as others confirm it (Lifeguard, "Local Health Aware
//! Suspicion").

use super::Membership;
use super::config::SuspicionTimeouts;
use super::message::MemberUpdate;
use super::types::{Action, Cause, Status, StatusChange};
use crate::fleet::MemberName;
use crate::routing::types::Micros;

/// Where a suspicion comes from. Each accuser and each reporter counts once, so that one faulty member is one
/// confirmation at most.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SuspicionSource {
    /// The member that suspects.
    pub accuser: MemberName,
    /// The member that passed it on.
    pub reporter: MemberName,
}

/// A suspicion under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Suspicion {
    pub started: Micros,
    pub deadline: Micros,
    pub sources: Vec<SuspicionSource>,
    /// The status that follows at the deadline: dead or left.
    pub outcome: Status,
}

impl Suspicion {
    fn shorten(&mut self, timeout: Micros) {
        self.deadline = self.deadline.min(self.started + timeout);
    }
}

/// A reason to suspect a member.
#[derive(Clone, Debug)]
pub(super) struct Accusation {
    /// The refutation of the member that it is about.
    pub refutation: u32,
    pub source: SuspicionSource,
    /// The status that follows if the member does not refute: dead or left.
    pub outcome: Status,
    pub cause: Cause,
}

impl Membership {
    /// Suspects a member, or confirms that it is suspected, and broadcasts it.
    pub(super) fn suspect(
        &mut self,
        name: &MemberName,
        accusation: Accusation,
        out: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let outdated = accusation.refutation <= member.refutation;
        if !member.status.is_active() && outdated {
            return;
        }
        let source = accusation.source.clone();
        if member.status == Status::Suspect && accusation.refutation == member.refutation {
            if !self.confirm_suspicion(name, &source) {
                return;
            }
        } else {
            self.start_suspicion(name, accusation, out);
        }
        let Some(member) = self.members.get(name) else {
            return;
        };
        let update = MemberUpdate::suspect(member, &source.accuser);
        self.broadcasts.push(update);
        if source.reporter == self.local_name {
            // The suspected member is told first (Lifeguard, "Buddy System").
            self.request_refutation(name, out);
        }
    }

    fn start_suspicion(
        &mut self,
        name: &MemberName,
        accusation: Accusation,
        out: &mut Vec<Action>,
    ) {
        let timeouts = self.suspicion_timeouts();
        let timeout = if self.expected_confirmations() == 0 {
            timeouts.shortest
        } else {
            timeouts.longest
        };
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.refutation = accusation.refutation;
        let status = member.status;
        let suspicion = Suspicion {
            started: self.now,
            deadline: self.now + timeout,
            sources: vec![accusation.source],
            outcome: accusation.outcome,
        };
        self.suspicions.insert(name.clone(), suspicion);
        if status != Status::Suspect {
            self.transition(name, Status::Suspect, accusation.cause, out);
        }
    }

    /// Counts a confirmation and shortens the timeout; false if it does not count.
    fn confirm_suspicion(&mut self, name: &MemberName, source: &SuspicionSource) -> bool {
        let SuspicionTimeouts { shortest, longest } = self.suspicion_timeouts();
        let expected = self.expected_confirmations();
        let Some(suspicion) = self.suspicions.get_mut(name) else {
            return false;
        };
        let counted = suspicion.sources.iter().any(|earlier| {
            earlier.accuser == source.accuser || earlier.reporter == source.reporter
        });
        if counted || suspicion.sources.len() > expected {
            return false;
        }
        suspicion.sources.push(source.clone());
        let confirmations = (suspicion.sources.len() - 1) as f64;
        let fraction = (confirmations + 1.0).ln() / (expected as f64 + 1.0).ln();
        let reduction = ((longest - shortest) as f64 * fraction) as Micros;
        suspicion.shorten(longest.saturating_sub(reduction).max(shortest));
        true
    }

    /// Another member holds a suspected one dead or left: no further confirmation is needed.
    pub(super) fn confirm_fully(
        &mut self,
        name: &MemberName,
        reporter: &MemberName,
        outcome: Status,
    ) {
        let shortest = self.suspicion_timeouts().shortest;
        let Some(suspicion) = self.suspicions.get_mut(name) else {
            return;
        };
        let counted = suspicion
            .sources
            .iter()
            .any(|source| source.accuser == *reporter || source.reporter == *reporter);
        if !counted {
            suspicion.outcome = suspicion.outcome.max(outcome);
            suspicion.shorten(shortest);
        }
    }

    /// Ends the suspicions whose deadline has passed.
    pub(super) fn expire_suspicions(&mut self, out: &mut Vec<Action>) {
        let expired: Vec<_> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline <= self.now)
            .map(|(name, suspicion)| (name.clone(), suspicion.outcome))
            .collect();
        for (name, outcome) in expired {
            self.transition(&name, outcome, Cause::SuspicionExpired, out);
        }
    }

    /// Changes the status of a known member and reports it; that one is dead or left is broadcast as well.
    pub(super) fn transition(
        &mut self,
        name: &MemberName,
        to: Status,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        let from = std::mem::replace(&mut member.status, to);
        member.since = self.now;
        let change = StatusChange {
            member: name.clone(),
            site: member.site.clone(),
            incarnation: member.incarnation,
            from: Some(from),
            to,
            cause,
        };
        if !to.is_active() {
            let update = MemberUpdate::not_alive(member, &self.local_name);
            self.suspicions.remove(name);
            if self.is_probed(name) {
                self.probe = None;
            }
            self.broadcasts.push(update);
        }
        out.push(Action::StatusChanged(change));
    }

    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        self.config.suspicion_timeouts(self.active_count())
    }

    /// How many confirmations bring a suspicion to the shortest timeout: no more than there are other members.
    fn expected_confirmations(&self) -> usize {
        let others = self.active_count().saturating_sub(2);
        (self.config.confirmations as usize).min(others)
    }
}
