//! Verification of indirect updates: a member or an incarnation that is only reported is pinged before it is admitted;
//! and a member that is suspected, dead or left is pinged so that it can refute.

use super::message::MemberRecord;
use super::types::{Action, Cause, Status};
use super::{MAX_REFUTATION_INCREASE, Membership};
use crate::fleet::MemberName;

/// Pings to a member that does not answer.
const MAX_VERIFICATION_ATTEMPTS: u32 = 3;
/// Members that have to agree on a new member that the local one cannot reach.
const REPORTERS_REQUIRED: usize = 2;

/// A member that is being pinged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct UnverifiedMember {
    pub record: MemberRecord,
    /// Up to [`REPORTERS_REQUIRED`] members that reported this incarnation; none if only a refutation is requested.
    pub reporters: Vec<MemberName>,
    /// Pings sent.
    pub attempts: u32,
}

impl UnverifiedMember {
    fn new(record: MemberRecord) -> UnverifiedMember {
        UnverifiedMember {
            record,
            reporters: Vec::new(),
            attempts: 0,
        }
    }
}

impl Membership {
    /// Keeps a report of an unknown member or incarnation, and pings it.
    pub(super) fn verify_reported(
        &mut self,
        reporter: &MemberName,
        name: MemberName,
        record: MemberRecord,
        out: &mut Vec<Action>,
    ) {
        if !self.unverified.contains_key(&name) && !self.has_room_for_unverified() {
            return;
        }
        let incarnation = record.incarnation;
        let reported = UnverifiedMember::new(record);
        let unverified = self
            .unverified
            .entry(name.clone())
            .or_insert_with(|| reported.clone());
        let repeated = unverified.reporters.contains(reporter);
        if unverified.record.incarnation < incarnation && !repeated {
            *unverified = reported;
        }
        if unverified.record.incarnation == incarnation
            && unverified.reporters.len() < REPORTERS_REQUIRED
            && !repeated
        {
            unverified.reporters.push(reporter.clone());
        }
        if unverified.attempts == 0 {
            self.send_verification_ping(&name, out);
        }
    }

    /// Pings a known member: the ping carries the status that is held against it, so that it can refute.
    pub(super) fn request_refutation(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        if self.unverified.contains_key(name) || !self.has_room_for_unverified() {
            return;
        }
        let unverified = UnverifiedMember::new(MemberRecord::from(member));
        self.unverified.insert(name.clone(), unverified);
        self.send_verification_ping(name, out);
    }

    /// The period's verification pings. They start at a random member, so that not all members ping the same one.
    pub(super) fn run_verification(&mut self, out: &mut Vec<Action>) {
        if self.unverified.is_empty() {
            return;
        }
        let mut names: Vec<_> = self.unverified.keys().cloned().collect();
        let first = self.random.below(names.len() as u64) as usize;
        names.rotate_left(first);
        for name in names {
            if self.should_ping_again(&name) {
                self.send_verification_ping(&name, out);
            } else if let Some(unverified) = self.unverified.remove(&name) {
                self.admit_if_confirmed(&name, unverified, out);
            }
        }
    }

    /// A suspected member is pinged for as long as it is suspected.
    fn should_ping_again(&self, name: &MemberName) -> bool {
        let suspected = self
            .members
            .get(name)
            .is_some_and(|member| member.status == Status::Suspect);
        let attempts_left = self
            .unverified
            .get(name)
            .is_some_and(|unverified| unverified.attempts < MAX_VERIFICATION_ATTEMPTS);
        suspected || attempts_left
    }

    /// Admits a member that did not answer, if enough others reported it.
    fn admit_if_confirmed(
        &mut self,
        name: &MemberName,
        unverified: UnverifiedMember,
        out: &mut Vec<Action>,
    ) {
        let is_newer = self
            .members
            .get(name)
            .is_none_or(|member| member.incarnation < unverified.record.incarnation);
        if let [_, second] = unverified.reporters.as_slice()
            && is_newer
        {
            let cause = Cause::ReportedBy(second.clone());
            let mut record = unverified.record;
            record.refutation = record.refutation.min(MAX_REFUTATION_INCREASE);
            self.mark_alive(name, record, cause, out);
        }
    }

    fn send_verification_ping(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        if self.verification_budget == 0 {
            return;
        }
        if let Some(unverified) = self.unverified.get_mut(name) {
            self.verification_budget -= 1;
            unverified.attempts += 1;
            let address = unverified.record.address;
            self.send_ping(name, address, out);
        }
    }

    fn has_room_for_unverified(&self) -> bool {
        self.unverified.len() < self.config.max_members
    }
}
