//! A member's side of its leases: it acquires and renews them, and tells whether they are valid now.

mod lease;
mod requests;

use super::config::Config;
use super::session::{is_session_lease, session_lease};
use super::table::{Grant, Outcome, Table};
use super::view::{LeaseStatus, LeaseStatusChange, StatusChangeCause};

use crate::fleet::renewal::LeaseRenewal;
use crate::fleet::state::{self, Origin, Outbox, Proposal, ProposalResult};
use crate::fleet::{LeaseName, MemberInstance, Token};
use crate::routing::types::Micros;
use lease::{HeldGrant, HolderLease};
use requests::backoff;
use std::collections::BTreeMap;

/// Input of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The time given by [`Holder::timeout`] has come.
    Tick,
    /// Acquire this lease and hold it.
    Acquire(LeaseName),
    /// Release this lease.
    Release(LeaseName),
    /// The log decided this member's proposal of this sequence number.
    ProposalDecided(u64, ProposalResult),
    /// The leader renewed a lease at this member's request.
    Renewed(LeaseRenewal),
    /// The table's record of this lease changed.
    LeaseChanged(LeaseName),
    /// The table was replaced by a snapshot.
    TableReplaced,
    /// Planned stop: release all leases, for good.
    Shutdown,
}

/// Output of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose this to the Raft log.
    Propose(Proposal),
    /// Send a renewal to the leader or to a relay.
    Renew {
        /// The renewal.
        renewal: LeaseRenewal,
        /// Number of renewals before it that were not answered.
        unanswered: u32,
    },
    /// The status of a lease changed.
    StatusChanged(LeaseStatusChange),
}

/// A member's side of all its leases, its session lease among them.
///
/// It owns the member's [`Outbox`]: other parts propose through [`Holder::propose`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    member: MemberInstance,
    config: Config,
    seed: u64,
    session: Option<LeaseName>,
    outbox: Outbox,
    leases: BTreeMap<LeaseName, HolderLease>,
    max_leases: usize,
    is_session_ended: bool,
    is_shutting_down: bool,
    /// Renewals to be sent to the leader.
    renewals: Vec<Action>,
}

impl Holder {
    /// The holder of a new incarnation: it wants its session lease from the start. At most `max_leases` are held or
    /// requested at once.
    pub fn new(member: MemberInstance, config: Config, max_leases: usize, seed: u64) -> Self {
        let session = session_lease(&member.name);
        let outbox = Outbox::new(member.clone(), config.retry.clone(), seed);
        let leases = session
            .iter()
            .map(|name| (name.clone(), HolderLease::new()))
            .collect();
        Holder {
            member,
            config,
            seed,
            session,
            outbox,
            leases,
            max_leases,
            is_session_ended: false,
            is_shutting_down: false,
            renewals: Vec::new(),
        }
    }

    /// The token to act under, if this lease and the session lease are valid at `now`: this member's own clock, read
    /// just before the operation.
    ///
    /// It needs nothing but the clock: after a pause of any length, the first answer is already right.
    pub fn valid_token(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        self.session_token(now)?;
        self.unexpired_token(name, now)
    }

    /// The token of the session lease, if it is valid at `now`.
    pub fn session_token(&self, now: Micros) -> Option<Token> {
        self.unexpired_token(self.session.as_ref()?, now)
    }

    /// Until when a lease is valid if nothing further is heard; 0 if it is not.
    pub fn valid_until(&self, name: &LeaseName) -> Micros {
        let session_until = self
            .session
            .as_ref()
            .map_or(0, |session| self.lease_valid_until(session));
        self.lease_valid_until(name).min(session_until)
    }

    /// Whether the log has ended this incarnation's session. The member has to come back as a new incarnation.
    pub fn is_session_ended(&self) -> bool {
        self.is_session_ended
    }

    /// The leases that are wanted, the session lease included.
    pub fn wanted_leases(&self) -> impl Iterator<Item = &LeaseName> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.is_wanted)
            .map(|(name, _)| name)
    }

    /// Proposes a command of another part of the member, and returns its sequence number. The result comes with
    /// [`state::StateChange::ProposalDecided`].
    pub fn propose(&mut self, now: Micros, command: state::Command, out: &mut Vec<Action>) -> u64 {
        let sequence = self.outbox.add(now, command);
        self.send_due(now, out);
        sequence
    }

    /// Another member leads: sends all pending proposals again at once.
    pub fn retry_now(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.outbox.retry_now(now);
        self.send_due(now, out);
    }

    /// Stops sending a proposal whose result nobody needs any more; it may still be applied.
    pub fn abandon(&mut self, sequence: u64) {
        self.outbox.settle(sequence);
    }

    /// The proposals that wait for their results.
    pub fn pending_proposals(&self) -> Vec<Origin> {
        self.outbox
            .pending()
            .map(|sequence| self.outbox.origin(sequence))
            .collect()
    }

    /// Handles an event at `now`, with the table as applied so far, and appends the actions that follow.
    pub fn handle(&mut self, now: Micros, event: Event, table: &Table, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Acquire(name) => self.on_acquire(now, name, table, out),
            Event::Release(name) => self.on_release(now, &name, table, out),
            Event::ProposalDecided(sequence, result) => {
                self.on_proposal_decided(now, sequence, result, table, out);
            }
            Event::Renewed(renewal) => self.on_renewed(now, &renewal, out),
            Event::LeaseChanged(name) => {
                self.check_session_end(table);
                self.sync_with_table(now, &name, table, StatusChangeCause::Ended, out);
            }
            Event::TableReplaced => {
                self.check_session_end(table);
                self.sync_all_with_table(now, table, StatusChangeCause::Ended, out);
            }
            Event::Shutdown => {
                self.is_shutting_down = true;
                self.leases.values_mut().for_each(HolderLease::release);
                self.sync_all_with_table(now, table, StatusChangeCause::Released, out);
            }
        }
        for name in self.lease_names() {
            self.request_if_due(now, &name, table);
            self.report_status(now, &name, StatusChangeCause::TimedOut, out);
        }
        let member = &self.member;
        self.leases.retain(|name, lease| {
            !lease.is_idle() || table.waiters(name).any(|waiter| waiter.member == *member)
        });
        self.send_due(now, out);
    }

    /// When to call [`Holder::handle`] with [`Event::Tick`].
    pub fn timeout(&self) -> Option<Micros> {
        let deadlines = self.leases.iter().flat_map(|(name, lease)| {
            let is_held = lease.status == LeaseStatus::Held;
            let expiry = is_held.then(|| self.valid_until(name));
            [expiry, lease.next_request_at]
        });
        deadlines.flatten().chain(self.outbox.timeout()).min()
    }

    fn lease_names(&self) -> Vec<LeaseName> {
        self.leases.keys().cloned().collect()
    }

    /// The token of a lease that is valid by itself at `now`, whatever the session lease.
    fn unexpired_token(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        let token = self.leases.get(name)?.token()?;
        (now < self.lease_valid_until(name)).then_some(token)
    }

    /// Until when a lease is valid by itself, whatever the session lease; 0 if it is not.
    fn lease_valid_until(&self, name: &LeaseName) -> Micros {
        let Some(lease) = self.leases.get(name) else {
            return 0;
        };
        let Some((token, based_on)) = lease.held.and_then(HeldGrant::with_base) else {
            return 0;
        };
        if !lease.is_wanted || lease.released == Some(token) || self.is_session_ended {
            return 0;
        }
        based_on.saturating_add(self.config.holder_duration())
    }

    fn on_acquire(&mut self, now: Micros, name: LeaseName, table: &Table, out: &mut Vec<Action>) {
        let has_room =
            self.leases.len() < self.max_leases.max(1) || self.leases.contains_key(&name);
        let is_stopping = self.is_session_ended || self.is_shutting_down;
        if !has_room || is_stopping || is_session_lease(&name) {
            return;
        }
        self.leases
            .entry(name.clone())
            .or_insert_with(HolderLease::new)
            .is_wanted = true;
        self.sync_with_table(now, &name, table, StatusChangeCause::Wanted, out);
    }

    fn on_release(&mut self, now: Micros, name: &LeaseName, table: &Table, out: &mut Vec<Action>) {
        if self.session.as_ref() == Some(name) {
            return;
        }
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        lease.release();
        self.sync_with_table(now, name, table, StatusChangeCause::Released, out);
    }

    fn on_proposal_decided(
        &mut self,
        now: Micros,
        sequence: u64,
        result: ProposalResult,
        table: &Table,
        out: &mut Vec<Action>,
    ) {
        self.outbox.settle(sequence);
        self.is_session_ended |=
            result == ProposalResult::Rejected(state::ProposalRejection::StaleIncarnation);
        self.check_session_end(table);
        let requested = self
            .leases
            .iter_mut()
            .find(|(_, lease)| lease.pending_request == Some(sequence));
        let Some((name, lease)) = requested else {
            return;
        };
        lease.pending_request = None;
        let is_rejected = matches!(
            result,
            ProposalResult::Lease(Outcome::Rejected(_))
                | ProposalResult::Rejected(state::ProposalRejection::TooManyMembers)
        );
        if is_rejected {
            lease.rejections += 1;
            let delay = backoff(&self.config, self.seed, sequence, lease.rejections);
            lease.backoff_until = now + delay;
        } else {
            lease.rejections = 0;
        }
        let name = name.clone();
        self.sync_with_table(now, &name, table, StatusChangeCause::Granted, out);
    }

    /// The leader has renewed: the lease is based on the moment at which the renewal was sent.
    fn on_renewed(&mut self, now: Micros, renewal: &LeaseRenewal, out: &mut Vec<Action>) {
        let Some(lease) = self.leases.get_mut(&renewal.name) else {
            return;
        };
        let Some((token, based_on)) = lease.held.and_then(HeldGrant::with_base) else {
            return;
        };
        let Some(sent_at) = lease.sent_at(renewal.sequence) else {
            return;
        };
        if token != renewal.token || sent_at <= based_on {
            return;
        }
        lease.held = Some(HeldGrant {
            token,
            based_on: Some(sent_at),
        });
        lease.forget_sent_before(renewal.sequence.saturating_add(1));
        lease.unanswered_renewals = 0;
        if lease.pending_request == Some(renewal.sequence) {
            lease.pending_request = None;
        }
        self.report_status(now, &renewal.name, StatusChangeCause::Renewed, out);
    }

    /// Notes whether the log has ended this incarnation's session, or grants a later incarnation's.
    fn check_session_end(&mut self, table: &Table) {
        let is_later = |grant: &Grant| grant.holder.incarnation > self.member.incarnation;
        self.is_session_ended |= table.is_session_ended(&self.member)
            || table.session(&self.member.name).is_some_and(is_later);
    }

    fn sync_all_with_table(
        &mut self,
        now: Micros,
        table: &Table,
        cause: StatusChangeCause,
        out: &mut Vec<Action>,
    ) {
        for name in self.lease_names() {
            self.sync_with_table(now, &name, table, cause, out);
        }
    }

    /// Takes over what the table says of a lease. `cause` is reported unless the table shows a grant or renewal.
    fn sync_with_table(
        &mut self,
        now: Micros,
        name: &LeaseName,
        table: &Table,
        cause: StatusChangeCause,
        out: &mut Vec<Action>,
    ) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        let before = lease.held.and_then(HeldGrant::with_base);
        let grant = table
            .grant(name)
            .filter(|grant| grant.holder == self.member);
        let Some(grant) = grant else {
            self.drop_grant(now, name, cause, out);
            return self.report_status(now, name, cause, out);
        };
        // However late the commit is seen, the lease is based on the moment at which the request was first sent.
        let requested_at = lease.sent_at(grant.request).filter(|_| grant.is_accepted);
        if requested_at.is_some() {
            lease.forget_sent_before(grant.request);
        }
        let known = before
            .filter(|(token, _)| *token == grant.token)
            .map(|(_, based_on)| based_on);
        let held = HeldGrant {
            token: grant.token,
            based_on: requested_at.max(known),
        };
        lease.held = Some(held);
        let cause = match (before, held.with_base()) {
            (Some((old_token, old_base)), Some((token, base))) if old_token == token => {
                if base > old_base {
                    StatusChangeCause::Renewed
                } else {
                    cause
                }
            }
            (_, Some(_)) => StatusChangeCause::Granted,
            (_, None) => cause,
        };
        self.report_status(now, name, cause, out);
    }

    /// Drops a grant that the table does not show any more. The change is reported while its token is still known.
    fn drop_grant(
        &mut self,
        now: Micros,
        name: &LeaseName,
        cause: StatusChangeCause,
        out: &mut Vec<Action>,
    ) {
        let held = self
            .leases
            .get_mut(name)
            .and_then(|lease| lease.held.as_mut());
        let Some(held) = held else {
            return;
        };
        held.based_on = None;
        self.report_status(now, name, cause, out);
        if let Some(lease) = self.leases.get_mut(name) {
            lease.held = None;
        }
    }

    /// Reports the status if it differs from the last report, or if the lease was prolonged.
    fn report_status(
        &mut self,
        now: Micros,
        name: &LeaseName,
        cause: StatusChangeCause,
        out: &mut Vec<Action>,
    ) {
        let is_valid = self.valid_token(name, now).is_some();
        let is_session_valid = self.session_token(now).is_some();
        let until = Some(self.lease_valid_until(name))
            .filter(|until| now < *until)
            .unwrap_or(0);
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        let to = if is_valid {
            LeaseStatus::Held
        } else if lease.is_wanted && !self.is_session_ended {
            LeaseStatus::Waiting
        } else {
            LeaseStatus::NotHeld
        };
        let is_prolonged = cause == StatusChangeCause::Renewed && until > lease.reported_until;
        if to == lease.status && !is_prolonged {
            return;
        }
        let from = lease.status;
        let cause = match cause {
            StatusChangeCause::TimedOut if from == LeaseStatus::NotHeld => {
                StatusChangeCause::Wanted
            }
            StatusChangeCause::TimedOut if self.is_session_ended || !is_session_valid => {
                StatusChangeCause::SessionLost
            }
            StatusChangeCause::TimedOut if to == LeaseStatus::Held => StatusChangeCause::Granted,
            cause => cause,
        };
        lease.status = to;
        lease.reported_until = until;
        out.push(Action::StatusChanged(LeaseStatusChange {
            name: name.clone(),
            token: lease.token(),
            holder: self.member.clone(),
            from,
            to,
            cause,
            until,
        }));
    }

    /// Sends renewals to the leader, and proposals that are due.
    fn send_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        self.outbox.take_due(now, &mut due);
        out.append(&mut self.renewals);
        out.extend(due.into_iter().map(Action::Propose));
    }
}
