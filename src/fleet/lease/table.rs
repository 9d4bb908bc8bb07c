//! The replicated table of leases: commands, and what applying them does.
//!
//! Commands, grants and records are stored by position (postcard): fields and variants keep their order.

use super::session::{SESSION_LEASE_PREFIX, is_session_lease, session_lease};
use crate::fleet::state::{Bounds, Origin};
use crate::fleet::{Incarnation, Index, LeaseName, MemberInstance, MemberName, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A command about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The proposer wants the lease, or to wait for it.
    Acquire {
        /// The lease.
        name: LeaseName,
        /// Requested duration, in milliseconds.
        duration_ms: u64,
    },
    /// The proposer renews the lease that it holds, or accepts the one that was offered to it.
    Renew {
        /// The lease.
        name: LeaseName,
        /// The grant that is renewed.
        token: Token,
    },
    /// The proposer neither holds nor wants the lease any more. If it is its session lease, all its leases end.
    Release {
        /// The lease.
        name: LeaseName,
    },
    /// The proposer has waited for the whole expiry duration since it applied this renewal. No effect if the lease was
    /// renewed since.
    Expire {
        /// The lease.
        name: LeaseName,
        /// The grant that has expired.
        token: Token,
        /// Number of renewals that the proposer has seen.
        renewals: u64,
    },
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The proposer holds the lease (granted or renewed).
    Held(Token),
    /// The proposer waits for it.
    Waiting,
    /// The lease was released or has expired.
    Ended,
    /// Nothing to do: not held under this token, or renewed since.
    NoEffect,
    /// Not granted.
    Rejected(LeaseRejection),
}

/// Why a lease was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseRejection {
    /// The session lease of another member, or of an incarnation whose session has ended.
    NotOwner,
    /// The proposer has no session lease.
    NoSession,
    /// [`Bounds::max_leases`] is reached.
    TooManyLeases,
    /// [`Bounds::max_waiters`] is reached.
    TooManyWaiters,
    /// The duration is zero or exceeds [`Bounds::max_lease_duration_ms`].
    InvalidDuration,
}

/// A change of a lease in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct LeaseChange {
    /// The lease.
    pub name: LeaseName,
    /// Token of the grant.
    pub token: Token,
    /// Holder of the grant.
    pub holder: MemberInstance,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: LeaseChangeKind,
}

/// What happened to a lease in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseChangeKind {
    /// Offered to the first waiting member, which has to accept it before it is valid.
    Offered,
    /// Granted, or accepted.
    Granted,
    /// Renewed.
    Renewed,
    /// Released by its holder.
    Released,
    /// Ended by the leader because it was not renewed. Of a session lease: the end of that session.
    Expired,
    /// Ended along with the session of its holder.
    #[serde(rename = "life_ended")]
    SessionEnded,
}

/// A grant of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Who holds it.
    pub holder: MemberInstance,
    /// Fencing token: the index of the entry that granted it, so that tokens rise without a record of past grants.
    pub token: Token,
    /// How long each request makes it valid, in milliseconds.
    pub duration_ms: u64,
    /// Number of renewals.
    pub renewals: u64,
    /// False while it is only offered.
    pub is_accepted: bool,
    /// Sequence number of the holder's request that it is based on.
    pub request: u64,
}

/// A member that waits for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiter {
    /// The member.
    pub member: MemberInstance,
    /// Requested duration, in milliseconds.
    pub duration_ms: u64,
    /// Sequence number of its request.
    pub request: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct LeaseRecord {
    grant: Grant,
    /// In the order of their requests.
    waiters: VecDeque<Waiter>,
}

/// All granted leases, the members that wait for them, and the sessions that have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    records: BTreeMap<LeaseName, LeaseRecord>,
    /// The last incarnation of each member whose session has ended.
    ended: BTreeMap<MemberName, Incarnation>,
    /// Sessions up to this incarnation have ended, of all members that are not in `ended`.
    forgotten: Incarnation,
}

impl Table {
    /// The grant of a lease.
    pub fn grant(&self, name: &LeaseName) -> Option<&Grant> {
        self.records.get(name).map(|record| &record.grant)
    }

    /// The members that wait for a lease, in order.
    pub fn waiters(&self, name: &LeaseName) -> impl Iterator<Item = &Waiter> {
        self.records
            .get(name)
            .into_iter()
            .flat_map(|record| &record.waiters)
    }

    /// All grants, by name.
    pub fn grants(&self) -> impl Iterator<Item = (&LeaseName, &Grant)> {
        self.records
            .iter()
            .map(|(name, record)| (name, &record.grant))
    }

    /// The grant of a member's session lease.
    pub fn session(&self, member: &MemberName) -> Option<&Grant> {
        self.grant(&session_lease(member)?)
    }

    /// Whether this incarnation's session has ended; it can't come back.
    pub fn is_session_ended(&self, member: &MemberInstance) -> bool {
        let last_ended = self.ended.get(&member.name).unwrap_or(&self.forgotten);
        member.incarnation <= *last_ended
    }

    /// Applies a command from the log entry at `index`, and appends what changed.
    pub fn apply(
        &mut self,
        index: Index,
        origin: &Origin,
        command: Command,
        bounds: &Bounds,
        out: &mut Vec<LeaseChange>,
    ) -> Outcome {
        match command {
            Command::Acquire { name, duration_ms } => {
                let waiter = Waiter {
                    member: origin.proposer.clone(),
                    duration_ms,
                    request: origin.sequence,
                };
                self.acquire(index, name, waiter, bounds, out)
                    .unwrap_or_else(Outcome::Rejected)
            }
            Command::Renew { name, token } => self.renew(origin, &name, token, out),
            Command::Release { name } => self.release(index, &origin.proposer, &name, bounds, out),
            Command::Expire {
                name,
                token,
                renewals,
            } => self.expire(index, &name, token, renewals, bounds, out),
        }
    }

    fn acquire(
        &mut self,
        index: Index,
        name: LeaseName,
        waiter: Waiter,
        bounds: &Bounds,
        out: &mut Vec<LeaseChange>,
    ) -> Result<Outcome, LeaseRejection> {
        if waiter.duration_ms == 0 || waiter.duration_ms > bounds.max_lease_duration_ms {
            return Err(LeaseRejection::InvalidDuration);
        }
        self.check_eligible(&name, &waiter.member)?;
        let Some(record) = self.records.get_mut(&name) else {
            if self.records.len() >= bounds.max_leases as usize {
                return Err(LeaseRejection::TooManyLeases);
            }
            let grant = Grant::new(index, waiter, true);
            out.push(grant.change(&name, LeaseChangeKind::Granted));
            let waiters = VecDeque::new();
            self.records.insert(name, LeaseRecord { grant, waiters });
            return Ok(Outcome::Held(Token(index.0)));
        };
        if record.grant.holder == waiter.member {
            out.push(record.grant.renew(&name, waiter.request));
            return Ok(Outcome::Held(record.grant.token));
        }
        record.enqueue(waiter, bounds)?;
        Ok(Outcome::Waiting)
    }

    fn renew(
        &mut self,
        origin: &Origin,
        name: &LeaseName,
        token: Token,
        out: &mut Vec<LeaseChange>,
    ) -> Outcome {
        match self.records.get_mut(name) {
            Some(record)
                if record.grant.holder == origin.proposer && record.grant.token == token =>
            {
                out.push(record.grant.renew(name, origin.sequence));
                Outcome::Held(token)
            }
            _ => Outcome::NoEffect,
        }
    }

    fn release(
        &mut self,
        index: Index,
        member: &MemberInstance,
        name: &LeaseName,
        bounds: &Bounds,
        out: &mut Vec<LeaseChange>,
    ) -> Outcome {
        let Some(record) = self.records.get_mut(name) else {
            return Outcome::NoEffect;
        };
        record.waiters.retain(|waiter| waiter.member != *member);
        if record.grant.holder != *member {
            return Outcome::NoEffect;
        }
        self.end(index, name, LeaseChangeKind::Released, bounds, out);
        Outcome::Ended
    }

    fn expire(
        &mut self,
        index: Index,
        name: &LeaseName,
        token: Token,
        renewals: u64,
        bounds: &Bounds,
        out: &mut Vec<LeaseChange>,
    ) -> Outcome {
        match self.grant(name) {
            Some(grant) if grant.token == token && grant.renewals == renewals => {
                self.end(index, name, LeaseChangeKind::Expired, bounds, out);
                Outcome::Ended
            }
            _ => Outcome::NoEffect,
        }
    }

    /// Whether `member` may hold this lease: its own session lease, if that session has not ended; any other lease, if
    /// it has a session.
    fn check_eligible(
        &self,
        name: &LeaseName,
        member: &MemberInstance,
    ) -> Result<(), LeaseRejection> {
        if let Some(session_member) = name.as_str().strip_prefix(SESSION_LEASE_PREFIX) {
            let has_later_incarnation = self
                .grant(name)
                .is_some_and(|grant| grant.holder.incarnation > member.incarnation);
            let is_own = session_member == member.name.as_str();
            if is_own && !self.is_session_ended(member) && !has_later_incarnation {
                return Ok(());
            }
            return Err(LeaseRejection::NotOwner);
        }
        let has_session = self
            .session(&member.name)
            .is_some_and(|grant| grant.is_accepted && grant.holder == *member);
        if has_session {
            Ok(())
        } else {
            Err(LeaseRejection::NoSession)
        }
    }

    /// Ends a grant. With a session lease, all that its member holds or waits for ends in the same entry: it acted on
    /// those only while its session lease was valid.
    fn end(
        &mut self,
        index: Index,
        name: &LeaseName,
        kind: LeaseChangeKind,
        bounds: &Bounds,
        out: &mut Vec<LeaseChange>,
    ) {
        let Some(record) = self.records.get(name) else {
            return;
        };
        if is_session_lease(name) {
            let member = record.grant.holder.clone();
            self.record_session_end(&member, bounds);
            self.end_leases_of(index, &member, name, out);
        }
        self.offer_to_next(index, name, kind, out);
    }

    /// Ends all that `member` holds or waits for, except its session lease.
    fn end_leases_of(
        &mut self,
        index: Index,
        member: &MemberInstance,
        session: &LeaseName,
        out: &mut Vec<LeaseChange>,
    ) {
        for record in self.records.values_mut() {
            record.waiters.retain(|waiter| waiter.member != *member);
        }
        let held: Vec<LeaseName> = self
            .grants()
            .filter(|(name, grant)| *name != session && grant.holder == *member)
            .map(|(name, _)| name.clone())
            .collect();
        for name in held {
            self.offer_to_next(index, &name, LeaseChangeKind::SessionEnded, out);
        }
    }

    /// Ends a grant, and offers the lease to the first waiting member that is eligible.
    fn offer_to_next(
        &mut self,
        index: Index,
        name: &LeaseName,
        kind: LeaseChangeKind,
        out: &mut Vec<LeaseChange>,
    ) {
        let Some(mut record) = self.records.remove(name) else {
            return;
        };
        out.push(record.grant.change(name, kind));
        while let Some(waiter) = record.waiters.pop_front() {
            if self.check_eligible(name, &waiter.member).is_ok() {
                record.grant = Grant::new(index, waiter, false);
                out.push(record.grant.change(name, LeaseChangeKind::Offered));
                self.records.insert(name.clone(), record);
                return;
            }
        }
    }

    /// Remembers the end of a session; beyond the bound, the lowest incarnations are merged into `forgotten`.
    fn record_session_end(&mut self, member: &MemberInstance, bounds: &Bounds) {
        let last_ended = self
            .ended
            .entry(member.name.clone())
            .or_insert(member.incarnation);
        *last_ended = member.incarnation.max(*last_ended);
        while self.ended.len() > bounds.max_members.max(1) as usize {
            let lowest = self
                .ended
                .iter()
                .min_by_key(|(_, incarnation)| **incarnation);
            let Some(name) = lowest.map(|(name, _)| name.clone()) else {
                return;
            };
            let incarnation = self.ended.remove(&name).unwrap_or_default();
            self.forgotten = self.forgotten.max(incarnation);
        }
    }
}

impl LeaseRecord {
    /// Adds a waiter, or replaces its earlier request. Of one member, only the latest incarnation waits.
    fn enqueue(&mut self, waiter: Waiter, bounds: &Bounds) -> Result<(), LeaseRejection> {
        self.waiters.retain(|other| {
            other.member.name != waiter.member.name
                || other.member.incarnation >= waiter.member.incarnation
        });
        let is_full = self.waiters.len() >= bounds.max_waiters as usize;
        let same_name = self
            .waiters
            .iter_mut()
            .find(|other| other.member.name == waiter.member.name);
        match same_name {
            Some(other) if other.member == waiter.member => *other = waiter,
            Some(_) => return Err(LeaseRejection::NotOwner),
            None if is_full => return Err(LeaseRejection::TooManyWaiters),
            None => self.waiters.push_back(waiter),
        }
        Ok(())
    }
}

impl Grant {
    fn new(index: Index, waiter: Waiter, is_accepted: bool) -> Self {
        Grant {
            holder: waiter.member,
            token: Token(index.0),
            duration_ms: waiter.duration_ms,
            renewals: 0,
            is_accepted,
            request: waiter.request,
        }
    }

    fn renew(&mut self, name: &LeaseName, request: u64) -> LeaseChange {
        let kind = if self.is_accepted {
            LeaseChangeKind::Renewed
        } else {
            LeaseChangeKind::Granted
        };
        self.is_accepted = true;
        self.renewals += 1;
        self.request = request;
        self.change(name, kind)
    }

    fn change(&self, name: &LeaseName, kind: LeaseChangeKind) -> LeaseChange {
        LeaseChange {
            name: name.clone(),
            token: self.token,
            holder: self.holder.clone(),
            kind,
        }
    }
}
