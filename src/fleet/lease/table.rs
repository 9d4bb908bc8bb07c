//! What the log says of leases.

use super::{LIFE, life};
use crate::fleet::state::{Bounds, Origin};
use crate::fleet::{Incarnation, Index, LeaseName, MemberInstance, MemberName, Token};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What may be asked of the log about a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// The proposer wants the lease, or to wait for it.
    Acquire {
        /// Which.
        name: LeaseName,
        /// For how long, in milliseconds.
        granted_for_ms: u64,
    },
    /// The proposer goes on holding it, or takes up what was offered to it.
    Renew {
        /// Which.
        name: LeaseName,
        /// The grant that is renewed.
        token: Token,
    },
    /// The proposer neither holds it nor waits for it any more. Of its life lease: it gives up all that it holds.
    Release {
        /// Which.
        name: LeaseName,
    },
    /// The proposer has waited for the whole time since it applied this very renewal. Void if another came between.
    Expire {
        /// Which.
        name: LeaseName,
        /// The grant that has run out.
        token: Token,
        /// How many renewals the proposer had seen.
        renewals: u64,
    },
}

/// What the log answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The proposer holds the lease (granted or renewed).
    Held(Token),
    /// It waits in line.
    Waiting,
    /// It was given up, by its holder or by the leader.
    Ended,
    /// Nothing to do: not held any more under this token, or renewed since.
    Void,
    /// Not granted.
    Refused(Refusal),
}

/// Why a lease was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Another member's life lease, or one of a life that has ended.
    NotYours,
    /// The proposer has no life lease.
    NoLife,
    /// As many leases are held as the bounds allow.
    MostLeases,
    /// As many wait as the bounds allow.
    MostWaiters,
    /// Asked for no time, or for longer than the bounds allow.
    BadTime,
}

/// A lease changed in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct Change {
    /// Which.
    pub name: LeaseName,
    /// Under which grant.
    pub token: Token,
    /// Whose it is or was.
    pub holder: MemberInstance,
    /// What happened.
    pub what: What,
}

/// What happened to a lease in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Handed to the next in line, which has to take it up before it acts.
    Offered,
    /// Granted, or taken up.
    Granted,
    /// Renewed.
    Renewed,
    /// Given up by its holder.
    Released,
    /// Ended because its time was over. Of a life lease: the death of that life.
    Expired,
    /// Ended with the life of its holder.
    LifeEnded,
}

/// A grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Who holds it.
    pub holder: MemberInstance,
    /// Its token: the index of the entry that granted it, so that tokens rise with no memory of past grants.
    pub token: Token,
    /// For how long each request of the holder's makes it good, in milliseconds.
    pub granted_for_ms: u64,
    /// How often it was renewed.
    pub renewals: u64,
    /// False while it is only offered.
    pub taken: bool,
    /// The holder's request that it rests on.
    pub by: u64,
}

/// Who waits for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Waiter {
    /// The member.
    pub who: MemberInstance,
    /// For how long it wants it, in milliseconds.
    pub granted_for_ms: u64,
    /// Its request.
    pub by: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Row {
    grant: Grant,
    queue: VecDeque<Waiter>,
}

/// All leases that are held, and who waits for them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    rows: BTreeMap<LeaseName, Row>,
    /// The last life of each member that has ended.
    ended: BTreeMap<MemberName, Incarnation>,
    /// Lives up to this one have ended of all members not in `ended`.
    forgotten: Incarnation,
}

impl Table {
    /// The grant of a lease.
    pub fn grant(&self, name: &LeaseName) -> Option<&Grant> {
        self.rows.get(name).map(|row| &row.grant)
    }

    /// Who waits for a lease, first come first.
    pub fn waiters(&self, name: &LeaseName) -> impl Iterator<Item = &Waiter> {
        self.rows.get(name).into_iter().flat_map(|row| &row.queue)
    }

    /// All grants, by name.
    pub fn grants(&self) -> impl Iterator<Item = (&LeaseName, &Grant)> {
        self.rows.iter().map(|(name, row)| (name, &row.grant))
    }

    /// The life of a member that the log counts as living.
    pub fn life(&self, member: &MemberName) -> Option<&Grant> {
        self.grant(&life(member)?)
    }

    /// Whether the log has ended this life; it can't come back.
    pub fn ended(&self, who: &MemberInstance) -> bool {
        who.incarnation <= self.ended.get(&who.name).copied().unwrap_or(self.forgotten)
    }

    /// Applies a command from the entry at `index`.
    pub fn apply(
        &mut self,
        index: Index,
        origin: &Origin,
        command: Command,
        bounds: &Bounds,
        out: &mut Vec<Change>,
    ) -> Outcome {
        let who = &origin.who;
        match command {
            Command::Acquire {
                name,
                granted_for_ms,
            } => {
                if granted_for_ms == 0 || granted_for_ms > bounds.most_granted_for_ms {
                    return Outcome::Refused(Refusal::BadTime);
                }
                let waiter = Waiter {
                    who: who.clone(),
                    granted_for_ms,
                    by: origin.seq,
                };
                match self.may_hold(&name, who) {
                    Ok(()) => self.acquire(index, name, waiter, bounds, out),
                    Err(refusal) => Outcome::Refused(refusal),
                }
            }
            Command::Renew { name, token } => match self.rows.get_mut(&name) {
                Some(row) if row.grant.holder == *who && row.grant.token == token => {
                    out.push(row.grant.renew(&name, origin.seq));
                    Outcome::Held(token)
                }
                _ => Outcome::Void,
            },
            Command::Release { name } => {
                let Some(row) = self.rows.get_mut(&name) else {
                    return Outcome::Void;
                };
                row.queue.retain(|waiter| waiter.who != *who);
                if row.grant.holder != *who {
                    return Outcome::Void;
                }
                self.end(index, &name, What::Released, bounds, out);
                Outcome::Ended
            }
            Command::Expire {
                name,
                token,
                renewals,
            } => match self.grant(&name) {
                Some(grant) if grant.token == token && grant.renewals == renewals => {
                    self.end(index, &name, What::Expired, bounds, out);
                    Outcome::Ended
                }
                _ => Outcome::Void,
            },
        }
    }

    /// A life lease is for the member itself, in a life that has not ended; all others are for the living.
    fn may_hold(&self, name: &LeaseName, who: &MemberInstance) -> Result<(), Refusal> {
        if let Some(member) = name.as_str().strip_prefix(LIFE) {
            let later = self
                .grant(name)
                .is_some_and(|grant| grant.holder.incarnation > who.incarnation);
            let own = member == who.name.as_str() && !self.ended(who) && !later;
            return if own { Ok(()) } else { Err(Refusal::NotYours) };
        }
        let living = self
            .life(&who.name)
            .is_some_and(|grant| grant.taken && grant.holder == *who);
        if living { Ok(()) } else { Err(Refusal::NoLife) }
    }

    fn acquire(
        &mut self,
        index: Index,
        name: LeaseName,
        waiter: Waiter,
        bounds: &Bounds,
        out: &mut Vec<Change>,
    ) -> Outcome {
        let Some(row) = self.rows.get_mut(&name) else {
            if self.rows.len() >= bounds.most_leases as usize {
                return Outcome::Refused(Refusal::MostLeases);
            }
            let grant = Grant::new(index, waiter, true);
            out.push(grant.change(&name, What::Granted));
            self.rows.insert(
                name,
                Row {
                    grant,
                    queue: VecDeque::new(),
                },
            );
            return Outcome::Held(Token(index.0));
        };
        if row.grant.holder == waiter.who {
            out.push(row.grant.renew(&name, waiter.by));
            return Outcome::Held(row.grant.token);
        }
        // Of one member, only its latest life waits.
        row.queue.retain(|w| {
            w.who.name != waiter.who.name || w.who.incarnation >= waiter.who.incarnation
        });
        let full = row.queue.len() >= bounds.most_waiters as usize;
        match row.queue.iter_mut().find(|w| w.who.name == waiter.who.name) {
            Some(other) if other.who == waiter.who => *other = waiter,
            Some(_) => return Outcome::Refused(Refusal::NotYours),
            None if full => return Outcome::Refused(Refusal::MostWaiters),
            None => row.queue.push_back(waiter),
        }
        Outcome::Waiting
    }

    /// Ends a grant. With a life, all that its member holds or waits for ends in the same entry: it acted on those
    /// only while its life lease was good.
    fn end(
        &mut self,
        index: Index,
        name: &LeaseName,
        what: What,
        bounds: &Bounds,
        out: &mut Vec<Change>,
    ) {
        let Some(row) = self.rows.get(name) else {
            return;
        };
        let holder = row.grant.holder.clone();
        if name.as_str().starts_with(LIFE) {
            self.remember_end(&holder, bounds);
            for row in self.rows.values_mut() {
                row.queue.retain(|waiter| waiter.who != holder);
            }
            let held = self
                .rows
                .iter()
                .filter(|(n, row)| *n != name && row.grant.holder == holder);
            for other in held.map(|(n, _)| n.clone()).collect::<Vec<_>>() {
                self.pass_on(index, &other, What::LifeEnded, out);
            }
        }
        self.pass_on(index, name, what, out);
    }

    /// The next in line whose life the log counts gets the lease, as an offer.
    fn pass_on(&mut self, index: Index, name: &LeaseName, what: What, out: &mut Vec<Change>) {
        let Some(mut row) = self.rows.remove(name) else {
            return;
        };
        out.push(row.grant.change(name, what));
        while let Some(waiter) = row.queue.pop_front() {
            if self.may_hold(name, &waiter.who).is_ok() {
                row.grant = Grant::new(index, waiter, false);
                out.push(row.grant.change(name, What::Offered));
                self.rows.insert(name.clone(), row);
                return;
            }
        }
    }

    fn remember_end(&mut self, who: &MemberInstance, bounds: &Bounds) {
        let last = self
            .ended
            .entry(who.name.clone())
            .or_insert(who.incarnation);
        *last = who.incarnation.max(*last);
        while self.ended.len() > bounds.most_members.max(1) as usize {
            let oldest = self
                .ended
                .iter()
                .min_by_key(|(_, incarnation)| **incarnation);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            let incarnation = self.ended.remove(&name).unwrap_or_default();
            self.forgotten = self.forgotten.max(incarnation);
        }
    }
}

impl Grant {
    fn new(index: Index, waiter: Waiter, taken: bool) -> Self {
        let Waiter {
            who,
            granted_for_ms,
            by,
        } = waiter;
        Grant {
            holder: who,
            token: Token(index.0),
            granted_for_ms,
            renewals: 0,
            taken,
            by,
        }
    }

    fn renew(&mut self, name: &LeaseName, by: u64) -> Change {
        let what = if self.taken {
            What::Renewed
        } else {
            What::Granted
        };
        self.taken = true;
        self.renewals += 1;
        self.by = by;
        self.change(name, what)
    }

    fn change(&self, name: &LeaseName, what: What) -> Change {
        Change {
            name: name.clone(),
            token: self.token,
            holder: self.holder.clone(),
            what,
        }
    }
}
