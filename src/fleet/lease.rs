//! Leases: rights that end by themselves, with rising tokens.
//!
//! Three machines. [`Table`] is what the log says of leases; it knows no time. [`Holder`] is a member's own side: it
//! asks, renews, and says with [`Holder::may_act`] whether the member may act now, by the member's own clock, counted
//! from the moment at which it sent the request. [`Watch`] is the leader's side: it counts by its own clock from the
//! moment at which it applied a grant, and asks the log to end it. Why two holders never act at once:
//! `docs/design/leases.md`.

use crate::fleet::renewal::Renewal;
use crate::fleet::state::{self, Answer, Bounds, Origin, Outbox, Proposal, Retry};
use crate::fleet::{Incarnation, Index, LeaseName, MOST_NAME, MemberName, Token, Who};
use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What the names of life leases begin with.
pub const LIFE: &str = "life/";
/// Requests of one lease whose moment of sending is remembered while their answers are out.
const MOST_SENT: usize = 4;
/// How often a renewal that the leader does not answer is sent in a third of the lease's time.
const TRIES_A_THIRD: Micros = 3;

/// The life lease of a member: its right to act as itself. `None` if the name is too long to have one.
pub fn life(member: &MemberName) -> Option<LeaseName> {
    LeaseName::try_from(format!("{LIFE}{member}")).ok()
}

/// The longest name of a member that can have a life lease, in bytes.
pub const MOST_MEMBER_NAME: usize = MOST_NAME - LIFE.len();

/// How a holder renews.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RenewalPath {
    /// By an entry of the log.
    #[default]
    Log,
    /// By a message that the leader answers; see [`crate::fleet::renewal`].
    Leader,
}

/// How leases are asked for, held and ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// For how long a lease is granted, in milliseconds. It travels with the request, so members may differ.
    pub granted_for_ms: u64,
    /// How far any member's clock may run too fast or too slow, in millionths.
    pub drift_ppm: u32,
    /// The holder stops this much earlier and the leader waits this much longer, in milliseconds: at least the time
    /// from the holder's last look at the clock to the end of its act.
    pub margin_ms: u64,
    /// A lease handed to the next in line that it does not take up within this time goes on to the one after, in
    /// milliseconds. Nobody acts on it before, so it needs no margin.
    pub offer_ms: u64,
    /// When a request without an answer is sent again.
    pub retry: Retry,
    /// How a lease that is held is renewed.
    pub renewal: RenewalPath,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            granted_for_ms: 5_000,
            drift_ppm: 1_000,
            margin_ms: 250,
            offer_ms: 1_000,
            retry: Retry::default(),
            renewal: RenewalPath::Log,
        }
    }
}

impl Settings {
    /// How long a holder may act after it sent a request, by its own clock, in microseconds.
    pub fn hold(&self) -> Micros {
        let span = self.granted_for_ms.saturating_mul(1000);
        span.saturating_sub(drift(span, self.drift_ppm)).saturating_sub(self.margin_ms.saturating_mul(1000))
    }

    /// How long a leader waits after it applied a grant of `granted_for_ms`, by its own clock, in microseconds.
    pub fn wait(&self, granted_for_ms: u64) -> Micros {
        let span = granted_for_ms.saturating_mul(1000);
        span.saturating_add(drift(span, self.drift_ppm)).saturating_add(self.margin_ms.saturating_mul(1000))
    }

    /// When a holder renews, counted from the request that its right rests on, in microseconds.
    pub fn renew(&self) -> Micros {
        self.granted_for_ms.saturating_mul(1000) / 3
    }
}

/// What a span may be off by, rounded up.
fn drift(span: Micros, ppm: u32) -> Micros {
    (span as u128 * ppm as u128).div_ceil(1_000_000).min(u64::MAX as u128) as u64
}

// ---------------------------------------------------------------- what the log says

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
    pub holder: Who,
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
    pub holder: Who,
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
    pub who: Who,
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
    pub fn ended(&self, who: &Who) -> bool {
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
            Command::Acquire { name, granted_for_ms } => {
                if granted_for_ms == 0 || granted_for_ms > bounds.most_granted_for_ms {
                    return Outcome::Refused(Refusal::BadTime);
                }
                let waiter = Waiter { who: who.clone(), granted_for_ms, by: origin.seq };
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
                let Some(row) = self.rows.get_mut(&name) else { return Outcome::Void };
                row.queue.retain(|waiter| waiter.who != *who);
                if row.grant.holder != *who {
                    return Outcome::Void;
                }
                self.end(index, &name, What::Released, bounds, out);
                Outcome::Ended
            }
            Command::Expire { name, token, renewals } => match self.grant(&name) {
                Some(grant) if grant.token == token && grant.renewals == renewals => {
                    self.end(index, &name, What::Expired, bounds, out);
                    Outcome::Ended
                }
                _ => Outcome::Void,
            },
        }
    }

    /// A life lease is for the member itself, in a life that has not ended; all others are for the living.
    fn may_hold(&self, name: &LeaseName, who: &Who) -> Result<(), Refusal> {
        if let Some(member) = name.as_str().strip_prefix(LIFE) {
            let later = self.grant(name).is_some_and(|grant| grant.holder.incarnation > who.incarnation);
            let own = member == who.name.as_str() && !self.ended(who) && !later;
            return if own { Ok(()) } else { Err(Refusal::NotYours) };
        }
        let living = self.life(&who.name).is_some_and(|grant| grant.taken && grant.holder == *who);
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
            self.rows.insert(name, Row { grant, queue: VecDeque::new() });
            return Outcome::Held(Token(index.0));
        };
        if row.grant.holder == waiter.who {
            out.push(row.grant.renew(&name, waiter.by));
            return Outcome::Held(row.grant.token);
        }
        // Of one member, only its latest life waits.
        row.queue.retain(|w| w.who.name != waiter.who.name || w.who.incarnation >= waiter.who.incarnation);
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
    fn end(&mut self, index: Index, name: &LeaseName, what: What, bounds: &Bounds, out: &mut Vec<Change>) {
        let Some(row) = self.rows.get(name) else { return };
        let holder = row.grant.holder.clone();
        if name.as_str().starts_with(LIFE) {
            self.remember_end(&holder, bounds);
            for row in self.rows.values_mut() {
                row.queue.retain(|waiter| waiter.who != holder);
            }
            let held = self.rows.iter().filter(|(n, row)| *n != name && row.grant.holder == holder);
            for other in held.map(|(n, _)| n.clone()).collect::<Vec<_>>() {
                self.pass_on(index, &other, What::LifeEnded, out);
            }
        }
        self.pass_on(index, name, what, out);
    }

    /// The next in line whose life the log counts gets the lease, as an offer.
    fn pass_on(&mut self, index: Index, name: &LeaseName, what: What, out: &mut Vec<Change>) {
        let Some(mut row) = self.rows.remove(name) else { return };
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

    fn remember_end(&mut self, who: &Who, bounds: &Bounds) {
        let last = self.ended.entry(who.name.clone()).or_insert(who.incarnation);
        *last = who.incarnation.max(*last);
        while self.ended.len() > bounds.most_members.max(1) as usize {
            let oldest = self.ended.iter().min_by_key(|(_, incarnation)| **incarnation);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else { return };
            let incarnation = self.ended.remove(&name).unwrap_or_default();
            self.forgotten = self.forgotten.max(incarnation);
        }
    }
}

impl Grant {
    fn new(index: Index, waiter: Waiter, taken: bool) -> Self {
        let Waiter { who, granted_for_ms, by } = waiter;
        Grant { holder: who, token: Token(index.0), granted_for_ms, renewals: 0, taken, by }
    }

    fn renew(&mut self, name: &LeaseName, by: u64) -> Change {
        let what = if self.taken { What::Renewed } else { What::Granted };
        self.taken = true;
        self.renewals += 1;
        self.by = by;
        self.change(name, what)
    }

    fn change(&self, name: &LeaseName, what: What) -> Change {
        Change { name: name.clone(), token: self.token, holder: self.holder.clone(), what }
    }
}

// ---------------------------------------------------------------- the side that is acted on

/// What is acted on under leases keeps the highest token that it has seen, and refuses lower ones. This closes what no
/// clock can: an act that was checked in time and was sent after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guard {
    highest: BTreeMap<LeaseName, Token>,
}

impl Guard {
    /// Whether an act under this token may go ahead. At most `most` names are kept; acts under further ones may not.
    pub fn admit(&mut self, name: &LeaseName, token: Token, most: usize) -> bool {
        let lower = self.highest.get(name).is_some_and(|highest| *highest > token);
        let full = !self.highest.contains_key(name) && self.highest.len() >= most;
        if lower || full {
            return false;
        }
        self.highest.insert(name.clone(), token);
        true
    }
}

// ---------------------------------------------------------------- the leader's side

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Count {
    token: Token,
    renewals: u64,
    due: Micros,
}

/// What the leader watches: how long ago it saw each grant or renewal applied.
///
/// Ending too late is always safe, so a new leader counts the whole time anew, and whoever restarts does too. An
/// `Expire` that arrives late is void by its count of renewals, so a leader that was voted out does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    settings: Settings,
    leading: bool,
    counts: BTreeMap<LeaseName, Count>,
    due: BTreeSet<(Micros, LeaseName)>,
}

impl Watch {
    /// Watches nothing until it leads.
    pub fn new(settings: Settings) -> Self {
        Watch { settings, leading: false, counts: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// This member leads or stopped leading, or the table was replaced: everything is counted anew.
    pub fn lead(&mut self, now: Micros, leading: bool, table: &Table) {
        self.leading = leading;
        self.counts.clear();
        self.due.clear();
        if leading {
            for (name, grant) in table.grants() {
                self.count(now, name, grant);
            }
        }
    }

    /// The table's entry of this name changed just now.
    pub fn changed(&mut self, now: Micros, name: &LeaseName, table: &Table) {
        if let Some(count) = self.counts.remove(name) {
            self.due.remove(&(count.due, name.clone()));
        }
        if let (true, Some(grant)) = (self.leading, table.grant(name)) {
            self.count(now, name, grant);
        }
    }

    /// Appends what has run out; again after a while for as long as the table says that it is held.
    pub fn expire(&mut self, now: Micros, out: &mut Vec<Command>) {
        let again = now.saturating_add(self.settings.retry.most_ms.max(1).saturating_mul(1000));
        while let Some((_, name)) = self.due.first().filter(|(due, _)| *due <= now).cloned() {
            self.due.pop_first();
            let Some(count) = self.counts.get_mut(&name) else { continue };
            count.due = again;
            let (token, renewals) = (count.token, count.renewals);
            self.due.insert((again, name.clone()));
            out.push(Command::Expire { name, token, renewals });
        }
    }

    /// When [`Watch::expire`] has something next.
    pub fn timeout(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    fn count(&mut self, now: Micros, name: &LeaseName, grant: &Grant) {
        let wait = if grant.taken {
            self.settings.wait(grant.granted_for_ms)
        } else {
            self.settings.offer_ms.saturating_mul(1000)
        };
        let due = now.saturating_add(wait);
        self.due.insert((due, name.clone()));
        self.counts.insert(name.clone(), Count { token: grant.token, renewals: grant.renewals, due });
    }
}

// ---------------------------------------------------------------- a member's own side

/// How a member stands to a lease that it wants or wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Neither held nor waited for.
    Out,
    /// Asked for.
    Waiting,
    /// May act.
    Acting,
}

/// Why a member's standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The operator's file or the program wants it.
    Wanted,
    /// The log granted it.
    Granted,
    /// The log renewed it; it may act for longer.
    Renewed,
    /// Its time ran out by this member's clock without a renewal.
    RanOut,
    /// The log ended it.
    Ended,
    /// The life lease does not allow it any more.
    Life,
    /// Given up.
    Released,
}

/// A member's own standing to a lease changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct LeaseChange {
    /// Which lease.
    pub name: LeaseName,
    /// Under which grant, if it holds or held one.
    pub token: Option<Token>,
    /// This member.
    pub holder: Who,
    /// How it stood.
    pub from: Standing,
    /// How it stands.
    pub to: Standing,
    /// Why.
    pub cause: Cause,
    /// Until when this lease by itself is good, by the member's own clock (the life lease may end sooner); 0 if it is
    /// not.
    pub until: Micros,
}

/// The rights of a member as its driver has carried them out so far: what the parts that act ask.
///
/// A holder's own answers may run ahead of what is on the disk; these follow [`Action::Changed`] in the order of the
/// actions, and need nothing but the clock. After a pause of any length the first question has the right answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    good: BTreeMap<LeaseName, (Token, Micros)>,
}

impl Rights {
    /// Carries a change out.
    pub fn change(&mut self, change: &LeaseChange) {
        match change.token {
            Some(token) if change.until > 0 => self.good.insert(change.name.clone(), (token, change.until)),
            _ => self.good.remove(&change.name),
        };
    }

    /// The token to act under, if `who` may act under this lease at `now`: its own clock, read just before the act.
    pub fn may_act(&self, who: &Who, name: &LeaseName, now: Micros) -> Option<Token> {
        let good =
            |name: &LeaseName| self.good.get(name).filter(|(_, until)| now < *until).map(|(token, _)| *token);
        good(&life(&who.name)?)?;
        good(name)
    }
}

/// What a holder is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Ask for this lease, and hold it.
    Want(LeaseName),
    /// Give it up.
    Unwant(LeaseName),
    /// The log answered this member's proposal of this number.
    Answered(u64, Answer),
    /// The leader renewed a lease on this member's request.
    Renewed(Renewal),
    /// The table changed at this name.
    Changed(LeaseName),
    /// The table was replaced by a snapshot.
    Restored,
    /// A planned stop: stop acting, give everything up, for good.
    Leave,
}

/// What a holder wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Hand it to the group.
    Propose(Proposal),
    /// Send it to the leader or to a relay.
    Renew {
        /// What is asked for.
        renewal: Renewal,
        /// How many requests before it have stayed without an answer.
        unanswered: u32,
    },
    /// Tell the program and the history.
    Changed(LeaseChange),
}

/// What a member wants, asked for and holds of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mine {
    wanted: bool,
    /// The request whose answer is waited for.
    open: Option<u64>,
    /// When the latest requests were first sent.
    sent: VecDeque<(u64, Micros)>,
    /// The grant, once the log has said so, and the sending time that it rests on.
    held: Option<(Token, Option<Micros>)>,
    /// The grant that this member asked to give up: it never acts under it again, whatever comes of that request.
    given_up: Option<Token>,
    /// No new request before this.
    pause: Micros,
    /// When the next request is due, if one is.
    next: Option<Micros>,
    refusals: u32,
    /// Renewals that the leader has not answered, since the last one that it has.
    unanswered: u32,
    standing: Standing,
    until: Micros,
}

/// A member's side of all its leases, its life lease among them.
///
/// It owns the member's [`Outbox`]: other parts propose through [`Holder::propose`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    me: Who,
    settings: Settings,
    seed: u64,
    life: Option<LeaseName>,
    outbox: Outbox,
    mine: BTreeMap<LeaseName, Mine>,
    most_wants: usize,
    ended: bool,
    leaving: bool,
    /// Renewals on their way to the leader.
    renewals: Vec<Action>,
}

impl Holder {
    /// A new life: it wants its life lease from the start. At most `most_wants` leases are held or asked for at once.
    pub fn new(me: Who, settings: Settings, most_wants: usize, seed: u64) -> Self {
        let life = life(&me.name);
        let outbox = Outbox::new(me.clone(), settings.retry.clone(), seed);
        let mine = life.iter().map(|name| (name.clone(), Mine::new())).collect();
        Holder {
            me,
            settings,
            seed,
            life,
            outbox,
            mine,
            most_wants,
            ended: false,
            leaving: false,
            renewals: Vec::new(),
        }
    }

    /// The token to act under, if this member may act under this lease at `now`, its own clock read just before.
    ///
    /// It needs nothing but the clock: after a pause of any length the first question already has the right answer.
    pub fn may_act(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        self.life_token(now)?;
        let mine = self.mine.get(name)?;
        (now < self.until(mine)).then_some(mine.held?.0)
    }

    /// The token of the life lease, if it is good at `now`.
    pub fn life_token(&self, now: Micros) -> Option<Token> {
        let mine = self.mine.get(self.life.as_ref()?)?;
        (now < self.until(mine)).then_some(mine.held?.0)
    }

    /// Until when the member may act under a lease if nothing further is heard; 0 if it may not.
    pub fn acts_until(&self, name: &LeaseName) -> Micros {
        let life = self.life.as_ref().and_then(|life| self.mine.get(life));
        let until = self.mine.get(name).map_or(0, |mine| self.until(mine));
        until.min(life.map_or(0, |mine| self.until(mine)))
    }

    /// Whether the log has ended this life. It stays so; the member comes back as a new incarnation.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// The leases that are wanted, the life lease included.
    pub fn wants(&self) -> impl Iterator<Item = &LeaseName> {
        self.mine.iter().filter(|(_, mine)| mine.wanted).map(|(name, _)| name)
    }

    /// Proposes a command of another part under this member's next number. The answer comes as an effect.
    pub fn propose(&mut self, now: Micros, command: state::Command, out: &mut Vec<Action>) -> u64 {
        let seq = self.outbox.put(now, command);
        self.send(now, out);
        seq
    }

    /// Another member leads: what waits for an answer is sent again at once.
    pub fn hurry(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.outbox.hurry(now);
        self.send(now, out);
    }

    /// Nobody waits for this proposal any more; it may still be applied.
    pub fn forget(&mut self, seq: u64) {
        self.outbox.settle(seq);
    }

    /// The proposals that wait for an answer.
    pub fn open(&self) -> Vec<Origin> {
        self.outbox.open().map(|seq| self.outbox.origin(seq)).collect()
    }

    /// Takes an event at `now`, with the table as applied so far, and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, table: &Table, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Want(name) => {
                let room = self.mine.len() < self.most_wants.max(1) || self.mine.contains_key(&name);
                let life = name.as_str().starts_with(LIFE);
                if room && !life && !self.ended && !self.leaving {
                    self.mine.entry(name.clone()).or_insert_with(Mine::new).wanted = true;
                    self.settle(now, &name, table, Cause::Wanted, out);
                }
            }
            Event::Unwant(name) => {
                if let Some(mine) = self.mine.get_mut(&name).filter(|_| self.life.as_ref() != Some(&name)) {
                    mine.give_up();
                    self.settle(now, &name, table, Cause::Released, out);
                }
            }
            Event::Answered(seq, outcome) => self.answered(now, seq, outcome, table, out),
            Event::Renewed(renewal) => self.renewed(now, &renewal, out),
            Event::Changed(name) => {
                self.look_for_end(table);
                self.settle(now, &name, table, Cause::Ended, out);
            }
            Event::Restored => {
                self.look_for_end(table);
                for name in self.mine.keys().cloned().collect::<Vec<_>>() {
                    self.settle(now, &name, table, Cause::Ended, out);
                }
            }
            Event::Leave => {
                self.leaving = true;
                for mine in self.mine.values_mut() {
                    mine.give_up();
                }
                for name in self.mine.keys().cloned().collect::<Vec<_>>() {
                    self.settle(now, &name, table, Cause::Released, out);
                }
            }
        }
        for name in self.mine.keys().cloned().collect::<Vec<_>>() {
            self.ask(now, &name, table);
            self.tell(now, &name, Cause::RanOut, out);
        }
        let gone = |mine: &Mine| !mine.wanted && mine.held.is_none() && mine.open.is_none();
        let me = &self.me;
        self.mine.retain(|name, mine| !gone(mine) || table.waiters(name).any(|waiter| waiter.who == *me));
        self.send(now, out);
    }

    /// When to call with [`Event::Tick`].
    pub fn timeout(&self) -> Option<Micros> {
        let own = self.mine.iter().flat_map(|(name, mine)| {
            let ends = (mine.standing == Standing::Acting).then(|| self.acts_until(name));
            [ends, mine.next]
        });
        own.flatten().chain(self.outbox.timeout()).min()
    }

    fn until(&self, mine: &Mine) -> Micros {
        match mine.held {
            Some((token, Some(base))) if mine.wanted && mine.given_up != Some(token) && !self.ended => {
                base.saturating_add(self.settings.hold())
            }
            _ => 0,
        }
    }

    fn answered(&mut self, now: Micros, seq: u64, answer: Answer, table: &Table, out: &mut Vec<Action>) {
        self.outbox.settle(seq);
        self.ended |= answer == Answer::Refused(state::Refusal::OldLife);
        self.look_for_end(table);
        let asked = self.mine.iter_mut().find(|(_, mine)| mine.open == Some(seq));
        let Some((name, mine)) = asked else { return };
        mine.open = None;
        if matches!(answer, Answer::Lease(Outcome::Refused(_)) | Answer::Refused(state::Refusal::MostMembers))
        {
            mine.refusals += 1;
            let step = self.settings.retry.first_ms.saturating_mul(1000 << mine.refusals.min(10));
            let wait = step.clamp(2, self.settings.retry.most_ms.saturating_mul(1000).max(2));
            let key = [seq.to_le_bytes(), (mine.refusals as u64).to_le_bytes()].concat();
            mine.pause = now + wait / 2 + xxh3_64_with_seed(&key, self.seed) % (wait / 2);
        } else {
            mine.refusals = 0;
        }
        let name = name.clone();
        self.settle(now, &name, table, Cause::Granted, out);
    }

    /// The leader has answered: the right rests on the moment at which the request was sent.
    fn renewed(&mut self, now: Micros, renewal: &Renewal, out: &mut Vec<Action>) {
        let Some(mine) = self.mine.get_mut(&renewal.name) else { return };
        let sent = mine.sent.iter().find(|(number, _)| *number == renewal.number).map(|(_, at)| *at);
        let Some((token, Some(base))) = mine.held else { return };
        let Some(sent) = sent.filter(|sent| token == renewal.token && *sent > base) else { return };
        mine.held = Some((token, Some(sent)));
        mine.sent.retain(|(number, _)| *number > renewal.number);
        mine.unanswered = 0;
        if mine.open == Some(renewal.number) {
            mine.open = None;
        }
        self.tell(now, &renewal.name, Cause::Renewed, out);
    }

    /// Whether the log has ended this life, or counts a later one.
    fn look_for_end(&mut self, table: &Table) {
        let later = |grant: &Grant| grant.holder.incarnation > self.me.incarnation;
        self.ended |= table.ended(&self.me) || table.life(&self.me.name).is_some_and(later);
    }

    /// Takes over what the table says of a lease.
    fn settle(&mut self, now: Micros, name: &LeaseName, table: &Table, cause: Cause, out: &mut Vec<Action>) {
        let Some(mine) = self.mine.get_mut(name) else { return };
        let grant = table.grant(name).filter(|grant| grant.holder == self.me);
        let lost = mine.held.is_some_and(|(token, _)| grant.is_none_or(|grant| grant.token != token));
        let before = mine.held.and_then(|(token, base)| Some((token, base?)));
        if let Some(grant) = grant {
            // The right rests on the moment at which the request was first sent, however late its commit is seen.
            let sent = mine.sent.iter().find(|(seq, _)| *seq == grant.by).map(|(_, at)| *at);
            let base = sent.filter(|_| grant.taken);
            if base.is_some() {
                mine.sent.retain(|(seq, _)| *seq >= grant.by);
            }
            let known = before.filter(|(token, _)| *token == grant.token).map(|(_, base)| base);
            mine.held = Some((grant.token, base.max(known)));
        } else {
            if lost {
                self.tell_lost(now, name, cause, out);
            }
            if let Some(mine) = self.mine.get_mut(name) {
                mine.held = None;
            }
        }
        let after = self.mine.get(name).and_then(|mine| mine.held);
        let cause = match (before, after) {
            (Some((old, was)), Some((new, Some(base)))) if old == new => {
                if base > was {
                    Cause::Renewed
                } else {
                    cause
                }
            }
            (_, Some((_, Some(_)))) => Cause::Granted,
            _ => cause,
        };
        self.tell(now, name, cause, out);
    }

    /// Sends the request that is missing between what is wanted and what the table says, if it is due.
    fn ask(&mut self, now: Micros, name: &LeaseName, table: &Table) {
        let missing = self.missing(name, table);
        let Some(mine) = self.mine.get_mut(name) else { return };
        mine.next = missing.as_ref().map(|(due, _)| *due);
        let Some((_, command)) = missing.filter(|(due, _)| *due <= now) else { return };
        if let Some(seq) = mine.open.take() {
            self.outbox.settle(seq);
        }
        if matches!(command, Command::Release { .. }) {
            mine.given_up = mine.held.map(|(token, _)| token);
        }
        let seq = match command {
            Command::Renew { name, token } if mine.renews_at_leader(self.settings.renewal) => {
                let number = self.outbox.reserve();
                let renewal = Renewal { holder: self.me.name.clone(), name, token, number };
                self.renewals.push(Action::Renew { renewal, unanswered: mine.unanswered });
                mine.unanswered = mine.unanswered.saturating_add(1);
                number
            }
            command => self.outbox.put(now, state::Command::Lease(command)),
        };
        mine.open = Some(seq);
        mine.sent.push_back((seq, now));
        while mine.sent.len() > MOST_SENT {
            mine.sent.pop_front();
        }
        let missing = self.missing(name, table);
        if let Some(mine) = self.mine.get_mut(name) {
            mine.next = missing.map(|(due, _)| due);
        }
    }

    /// The request that is missing, and when it is due: a third of the time after the one that the right rests on, or
    /// after one that stayed without answer. A release is repeated under its own number until it is answered.
    fn missing(&self, name: &LeaseName, table: &Table) -> Option<(Micros, Command)> {
        let is_life = self.life.as_ref() == Some(name);
        let living = table.life(&self.me.name).is_some_and(|grant| grant.taken && grant.holder == self.me);
        if self.ended || !(is_life || (living && !self.leaving)) {
            return None;
        }
        let mine = self.mine.get(name)?;
        let waits = table.waiters(name).any(|waiter| waiter.who == self.me);
        let given_up = |token: Token| mine.given_up == Some(token);
        let renew = self.settings.renew();
        let at_leader = mine.renews_at_leader(self.settings.renewal);
        let patience = if at_leader { renew / TRIES_A_THIRD } else { renew };
        let again = mine.open.and(mine.sent.back()).map(|(_, at)| at.saturating_add(patience));
        let name = name.clone();
        match mine.held {
            Some((token, base)) if mine.wanted && !given_up(token) => {
                let third = base.map_or(0, |base| base.saturating_add(renew));
                Some((again.unwrap_or(third).max(mine.pause), Command::Renew { name, token }))
            }
            None if mine.wanted && waits => None,
            None if mine.wanted => {
                let granted_for_ms = self.settings.granted_for_ms;
                Some((again.unwrap_or(0).max(mine.pause), Command::Acquire { name, granted_for_ms }))
            }
            held => {
                let asked = mine.open.is_some() || (held.is_none() && !waits);
                (!asked).then_some((mine.pause, Command::Release { name }))
            }
        }
    }

    /// Says so if the standing is another than was last said, or the right was prolonged.
    fn tell(&mut self, now: Micros, name: &LeaseName, cause: Cause, out: &mut Vec<Action>) {
        let token = self.may_act(name, now);
        let until = self.mine.get(name).map_or(0, |mine| self.until(mine));
        let until = if now < until { until } else { 0 };
        let life_good = self.life_token(now).is_some();
        let Some(mine) = self.mine.get_mut(name) else { return };
        let to = match (token, mine.wanted && !self.ended) {
            (Some(_), _) => Standing::Acting,
            (None, true) => Standing::Waiting,
            (None, false) => Standing::Out,
        };
        let renewed = cause == Cause::Renewed && until > mine.until;
        if to == mine.standing && !renewed {
            return;
        }
        let cause = match cause {
            Cause::RanOut if mine.standing == Standing::Out => Cause::Wanted,
            Cause::RanOut if self.ended || !life_good => Cause::Life,
            Cause::RanOut if to == Standing::Acting => Cause::Granted,
            cause => cause,
        };
        let (from, token) = (mine.standing, mine.held.map(|(token, _)| token));
        mine.standing = to;
        mine.until = until;
        out.push(Action::Changed(LeaseChange {
            name: name.clone(),
            token,
            holder: self.me.clone(),
            from,
            to,
            cause,
            until,
        }));
    }

    /// Says that a grant has gone, while its token is still known.
    fn tell_lost(&mut self, now: Micros, name: &LeaseName, cause: Cause, out: &mut Vec<Action>) {
        if let Some((_, base)) = self.mine.get_mut(name).and_then(|mine| mine.held.as_mut()) {
            *base = None;
        }
        self.tell(now, name, cause, out);
    }

    fn send(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        self.outbox.due(now, &mut due);
        out.append(&mut self.renewals);
        out.extend(due.into_iter().map(Action::Propose));
    }
}

impl Mine {
    /// Whether the next renewal is a message to the leader: only where the right is good by the log already.
    fn renews_at_leader(&self, path: RenewalPath) -> bool {
        path == RenewalPath::Leader && matches!(self.held, Some((_, Some(_))))
    }

    fn give_up(&mut self) {
        self.wanted = false;
        self.given_up = self.held.map(|(token, _)| token);
    }

    fn new() -> Self {
        Mine {
            wanted: true,
            open: None,
            sent: VecDeque::new(),
            held: None,
            given_up: None,
            pause: 0,
            next: None,
            refusals: 0,
            unanswered: 0,
            standing: Standing::Out,
            until: 0,
        }
    }
}
