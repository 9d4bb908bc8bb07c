//! What the group's log makes when it is applied in order.
//!
//! The state is the same at every member that has applied the same entries: no clock, no random numbers, and every
//! bound that decides anything is itself in the log ([`Bounds`]). A further part of the fleet adds one variant each
//! to [`Command`], [`Answer`] and [`Effect`], a field to [`FleetState`], and one arm in [`FleetState::apply`].

use crate::fleet::{
    Incarnation, Index, LeaseName, MemberInstance, MemberName, lease, policy_epoch, sites, work,
};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most answered proposals that are remembered of a member beyond those it has settled.
const MOST_SEEN: usize = 1024;

/// Who proposed, and which of its proposals: repeats carry the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The proposing member in its life.
    pub who: MemberInstance,
    /// Counted from 1 in each life.
    pub seq: u64,
}

/// A command on its way into the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Whose it is.
    pub origin: Origin,
    /// The proposer waits for none of its proposals below this one; copies of those that come late are refused.
    pub settled: u64,
    /// What is to be done.
    pub command: Command,
}

impl Proposal {
    /// The proposal as a payload of the group's log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a payload; `None` if it is not a proposal.
    pub fn decode(payload: &[u8]) -> Option<Proposal> {
        postcard::from_bytes(payload).ok()
    }
}

/// What a member may ask the log to do. Variants are only ever added at the end: the log outlives the program.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The leader's settings differ from the bounds in force.
    Bounds(Bounds),
    /// About a lease.
    Lease(lease::Command),
    /// About work in hand.
    Takeover(work::Command),
    /// About a lost or a returning site.
    Sites(sites::epoch::Command),
    /// About the policy.
    Policy(policy_epoch::Command),
}

/// What came of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Not looked at.
    Refused(Refusal),
    /// It took effect.
    Done,
    /// What the table of leases says.
    Lease(lease::Outcome),
    /// What the records of work in hand say.
    Takeover(work::Reply),
    /// What came of a command about the policy.
    Policy(policy_epoch::Reply),
}

/// Why a proposal was not looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// A later life of the same member has proposed since, or the fleet has forgotten lives as old as this.
    OldLife,
    /// The proposer had settled it, or it has been applied before.
    Repeated,
    /// As many members as the bounds allow have proposed, and all of them live.
    MostMembers,
    /// A bound is zero.
    BadBounds,
}

/// What applying an entry did, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// A proposal was decided; its proposer waits for this.
    Answered {
        /// Whose it was.
        origin: Origin,
        /// The decision.
        answer: Answer,
    },
    /// A lease changed.
    Lease(lease::Change),
    /// A record of work in hand changed in a way that others wait for.
    Takeover(work::RecordChange),
    /// The policy, or a proposal of one, went on.
    Policy(policy_epoch::Notice),
    /// Other bounds are in force.
    Bounds(Bounds),
    /// What is agreed of the sites has changed.
    Sites(sites::epoch::Effect),
}

/// The bounds of the state's tables. They decide what is refused, so they are part of the state: a leader whose
/// settings differ proposes its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Most members that are remembered, living and past.
    pub most_members: u32,
    /// Most leases that are held at once, life leases included.
    pub most_leases: u32,
    /// Most members that wait for one lease.
    pub most_waiters: u32,
    /// The longest time that a lease may be granted for, in milliseconds.
    pub most_granted_for_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            most_members: 256,
            most_leases: 1024,
            most_waiters: 64,
            most_granted_for_ms: 60_000,
        }
    }
}

/// What is known of a member's proposals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    incarnation: Incarnation,
    settled: u64,
    seen: BTreeSet<u64>,
    last: Index,
}

/// All that the log has made so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetState {
    bounds: Bounds,
    sessions: BTreeMap<MemberName, Session>,
    /// The highest life that was forgotten to make room; lives up to it are refused of members not remembered.
    forgotten: Incarnation,
    leases: lease::Table,
    work: work::Table,
    policy: policy_epoch::Table,
    applied: Index,
    sites: sites::epoch::Table,
}

impl FleetState {
    /// The state before the first entry.
    pub fn new() -> Self {
        FleetState::default()
    }

    /// The last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The bounds in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The leases.
    pub fn leases(&self) -> &lease::Table {
        &self.leases
    }

    /// The records of work in hand.
    pub fn work(&self) -> &work::Table {
        &self.work
    }

    /// The policy's epoch and proposals.
    pub fn policy(&self) -> &policy_epoch::Table {
        &self.policy
    }

    /// The members whose life leases are in force.
    pub fn living(&self) -> BTreeSet<MemberInstance> {
        let of_life = |(name, grant): (&LeaseName, &lease::Grant)| {
            lease::life(&grant.holder.name)
                .is_some_and(|life| life == *name)
                .then(|| grant.holder.clone())
        };
        self.leases.grants().filter_map(of_life).collect()
    }

    /// What is agreed of the sites.
    pub fn sites(&self) -> &sites::epoch::Table {
        &self.sites
    }

    /// Whether this proposal has been decided (or would be refused as settled).
    pub fn decided(&self, origin: &Origin) -> bool {
        match self.sessions.get(&origin.who.name) {
            Some(s) if s.incarnation == origin.who.incarnation => {
                origin.seq < s.settled || s.seen.contains(&origin.seq)
            }
            Some(s) => s.incarnation > origin.who.incarnation,
            None => origin.who.incarnation <= self.forgotten,
        }
    }

    /// Applies the entry at `index`. An entry at or below the last one applied changes nothing.
    pub fn apply(&mut self, index: Index, proposal: Proposal, out: &mut Vec<Effect>) {
        if index <= self.applied {
            return;
        }
        self.applied = index;
        let Proposal {
            origin,
            settled,
            command,
        } = proposal;
        let answer = match self.admit(index, &origin, settled) {
            Err(refusal) => Answer::Refused(refusal),
            Ok(()) => match command {
                Command::Bounds(bounds) if bounds.most_members == 0 || bounds.most_leases == 0 => {
                    Answer::Refused(Refusal::BadBounds)
                }
                Command::Bounds(bounds) => {
                    if bounds != self.bounds {
                        self.bounds = bounds.clone();
                        out.push(Effect::Bounds(bounds));
                    }
                    Answer::Done
                }
                Command::Lease(command) => {
                    let mut changes = Vec::new();
                    let outcome =
                        self.leases
                            .apply(index, &origin, command, &self.bounds, &mut changes);
                    let changed = !changes.is_empty();
                    for change in changes {
                        self.lives(index, change, out);
                    }
                    if changed && self.policy.open().is_some() {
                        let mut notices = Vec::new();
                        self.policy.settle(&self.living(), &mut notices);
                        out.extend(notices.into_iter().map(Effect::Policy));
                    }
                    Answer::Lease(outcome)
                }
                Command::Takeover(command) => {
                    let who = &origin.who;
                    let alive = self
                        .leases
                        .life(&who.name)
                        .is_some_and(|grant| grant.holder == *who);
                    let mut notices = Vec::new();
                    let reply = self.work.apply(index, who, alive, command, &mut notices);
                    out.extend(notices.into_iter().map(Effect::Takeover));
                    Answer::Takeover(reply)
                }
                Command::Sites(command) => {
                    let mut effects = Vec::new();
                    self.sites.apply(command, &mut effects);
                    out.extend(effects.into_iter().map(Effect::Sites));
                    Answer::Done
                }
                Command::Policy(command) => {
                    let (living, mut notices) = (self.living(), Vec::new());
                    let reply = self
                        .policy
                        .apply(&origin.who, &living, command, &mut notices);
                    out.extend(notices.into_iter().map(Effect::Policy));
                    Answer::Policy(reply)
                }
            },
        };
        out.push(Effect::Answered { origin, answer });
    }

    /// Passes a change of a lease on. With the end of a life, what it had in hand is settled in the same entry.
    fn lives(&mut self, index: Index, change: lease::Change, out: &mut Vec<Effect>) {
        let of_life = lease::life(&change.holder.name).is_some_and(|name| name == change.name);
        let dead = change.holder.clone();
        out.push(Effect::Lease(change));
        if of_life && self.leases.ended(&dead) {
            let mut notices = Vec::new();
            self.work.on_incarnation_ended(index, &dead, &mut notices);
            out.extend(notices.into_iter().map(Effect::Takeover));
        }
    }

    /// An entry that is no proposal (the group's own, or one from a later version) moves the index only.
    pub fn skip(&mut self, index: Index) {
        self.applied = self.applied.max(index);
    }

    /// The whole state as bytes, for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a snapshot; `None` if it is not one.
    pub fn decode(data: &[u8]) -> Option<FleetState> {
        postcard::from_bytes(data).ok()
    }

    /// Lets each proposal through once, and none of an older life.
    fn admit(&mut self, index: Index, origin: &Origin, settled: u64) -> Result<(), Refusal> {
        let MemberInstance { name, incarnation } = &origin.who;
        if self.decided(origin) {
            let same = self
                .sessions
                .get(name)
                .is_some_and(|s| s.incarnation == *incarnation);
            return Err(if same {
                Refusal::Repeated
            } else {
                Refusal::OldLife
            });
        }
        if !self.sessions.contains_key(name)
            && self.sessions.len() >= self.bounds.most_members as usize
        {
            self.forget_one()?;
        }
        let fresh = || Session {
            incarnation: *incarnation,
            settled: 0,
            seen: BTreeSet::new(),
            last: index,
        };
        let session = self.sessions.entry(name.clone()).or_insert_with(fresh);
        if session.incarnation != *incarnation {
            *session = fresh();
        }
        session.last = index;
        session.seen.insert(origin.seq);
        session.settled = session.settled.max(settled.min(origin.seq));
        while session.seen.len() > MOST_SEEN {
            let first = session.seen.pop_first().unwrap_or(0);
            session.settled = session.settled.max(first + 1);
        }
        session.seen = session.seen.split_off(&session.settled);
        Ok(())
    }

    /// Makes room for another member: the one that was silent for longest and holds no life goes.
    fn forget_one(&mut self) -> Result<(), Refusal> {
        let living = |name: &MemberName| self.leases.life(name).is_some();
        let oldest = self
            .sessions
            .iter()
            .filter(|(name, _)| !living(name))
            .min_by_key(|(_, s)| s.last);
        let name = oldest
            .map(|(name, _)| name.clone())
            .ok_or(Refusal::MostMembers)?;
        if let Some(session) = self.sessions.remove(&name) {
            self.forgotten = self.forgotten.max(session.incarnation);
        }
        Ok(())
    }
}

/// When a proposal without an answer is sent again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Retry {
    /// The first wait, in milliseconds; each later one is twice as long, and all are drawn from the upper half.
    pub first_ms: u64,
    /// The longest wait, in milliseconds.
    pub most_ms: u64,
}

impl Default for Retry {
    fn default() -> Self {
        Retry {
            first_ms: 100,
            most_ms: 1000,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Open {
    command: Command,
    tries: u32,
    due: Micros,
}

/// A member's proposals that wait for their answers, each sent again until then under its one number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outbox {
    who: MemberInstance,
    retry: Retry,
    seed: u64,
    draws: u64,
    next: u64,
    open: BTreeMap<u64, Open>,
}

impl Outbox {
    /// An empty one for this life of a member.
    pub fn new(who: MemberInstance, retry: Retry, seed: u64) -> Self {
        Outbox {
            who,
            retry,
            seed,
            draws: 0,
            next: 1,
            open: BTreeMap::new(),
        }
    }

    /// Takes a command on and returns its number; [`Outbox::due`] sends it at once.
    pub fn put(&mut self, now: Micros, command: Command) -> u64 {
        let seq = self.reserve();
        self.open.insert(
            seq,
            Open {
                command,
                tries: 0,
                due: now,
            },
        );
        seq
    }

    /// A number for a request that goes another way than the log.
    pub fn reserve(&mut self) -> u64 {
        let seq = self.next;
        self.next += 1;
        seq
    }

    /// The answer came, or nobody waits for it any more. False if it was not open.
    pub fn settle(&mut self, seq: u64) -> bool {
        self.open.remove(&seq).is_some()
    }

    /// The numbers that wait for an answer.
    pub fn open(&self) -> impl Iterator<Item = u64> + '_ {
        self.open.keys().copied()
    }

    /// The origin of one of this member's proposals.
    pub fn origin(&self, seq: u64) -> Origin {
        Origin {
            who: self.who.clone(),
            seq,
        }
    }

    /// Appends what has to be sent now, first or again.
    pub fn due(&mut self, now: Micros, out: &mut Vec<Proposal>) {
        let settled = self.open.keys().next().copied().unwrap_or(self.next);
        for (&seq, open) in self.open.iter_mut().filter(|(_, open)| open.due <= now) {
            let doubled = self.retry.first_ms.saturating_mul(1 << open.tries.min(16));
            let wait = doubled.min(self.retry.most_ms).clamp(1, 3_600_000) * 1000;
            self.draws += 1;
            let draw = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
            open.due = now + wait / 2 + draw % (wait / 2);
            open.tries += 1;
            let origin = Origin {
                who: self.who.clone(),
                seq,
            };
            out.push(Proposal {
                origin,
                settled,
                command: open.command.clone(),
            });
        }
    }

    /// Everything is due now: there is somebody new to send it to.
    pub fn hurry(&mut self, now: Micros) {
        for open in self.open.values_mut() {
            open.tries = 0;
            open.due = now;
        }
    }

    /// When [`Outbox::due`] has something to send next.
    pub fn timeout(&self) -> Option<Micros> {
        self.open.values().map(|open| open.due).min()
    }
}
