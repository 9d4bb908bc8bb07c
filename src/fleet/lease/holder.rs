//! A member's own side of its leases: it asks, renews, and says whether it may act now.

use super::rights::{Cause, LeaseChange, Standing};
use super::table::{Command, Grant, Outcome, Table};
use super::{LIFE, RenewalPath, Settings, life};
use crate::fleet::renewal::Renewal;
use crate::fleet::state::{self, Answer, Origin, Outbox, Proposal};
use crate::fleet::{LeaseName, MemberInstance, Token};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests of one lease whose moment of sending is remembered while their answers are out.
const MOST_SENT: usize = 4;
/// How often a renewal that the leader does not answer is sent in a third of the lease's time.
const TRIES_A_THIRD: Micros = 3;

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
    me: MemberInstance,
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
    pub fn new(me: MemberInstance, settings: Settings, most_wants: usize, seed: u64) -> Self {
        let life = life(&me.name);
        let outbox = Outbox::new(me.clone(), settings.retry.clone(), seed);
        let mine = life
            .iter()
            .map(|name| (name.clone(), Mine::new()))
            .collect();
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
        self.mine
            .iter()
            .filter(|(_, mine)| mine.wanted)
            .map(|(name, _)| name)
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
        self.outbox
            .open()
            .map(|seq| self.outbox.origin(seq))
            .collect()
    }

    /// Takes an event at `now`, with the table as applied so far, and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, table: &Table, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Want(name) => {
                let room =
                    self.mine.len() < self.most_wants.max(1) || self.mine.contains_key(&name);
                let life = name.as_str().starts_with(LIFE);
                if room && !life && !self.ended && !self.leaving {
                    self.mine
                        .entry(name.clone())
                        .or_insert_with(Mine::new)
                        .wanted = true;
                    self.settle(now, &name, table, Cause::Wanted, out);
                }
            }
            Event::Unwant(name) => {
                if let Some(mine) = self
                    .mine
                    .get_mut(&name)
                    .filter(|_| self.life.as_ref() != Some(&name))
                {
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
        self.mine.retain(|name, mine| {
            !gone(mine) || table.waiters(name).any(|waiter| waiter.who == *me)
        });
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
            Some((token, Some(base)))
                if mine.wanted && mine.given_up != Some(token) && !self.ended =>
            {
                base.saturating_add(self.settings.hold())
            }
            _ => 0,
        }
    }

    fn answered(
        &mut self,
        now: Micros,
        seq: u64,
        answer: Answer,
        table: &Table,
        out: &mut Vec<Action>,
    ) {
        self.outbox.settle(seq);
        self.ended |= answer == Answer::Refused(state::Refusal::OldLife);
        self.look_for_end(table);
        let asked = self
            .mine
            .iter_mut()
            .find(|(_, mine)| mine.open == Some(seq));
        let Some((name, mine)) = asked else { return };
        mine.open = None;
        if matches!(
            answer,
            Answer::Lease(Outcome::Refused(_)) | Answer::Refused(state::Refusal::MostMembers)
        ) {
            mine.refusals += 1;
            let step = self
                .settings
                .retry
                .first_ms
                .saturating_mul(1000 << mine.refusals.min(10));
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
        let Some(mine) = self.mine.get_mut(&renewal.name) else {
            return;
        };
        let sent = mine
            .sent
            .iter()
            .find(|(number, _)| *number == renewal.number)
            .map(|(_, at)| *at);
        let Some((token, Some(base))) = mine.held else {
            return;
        };
        let Some(sent) = sent.filter(|sent| token == renewal.token && *sent > base) else {
            return;
        };
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
    fn settle(
        &mut self,
        now: Micros,
        name: &LeaseName,
        table: &Table,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let Some(mine) = self.mine.get_mut(name) else {
            return;
        };
        let grant = table.grant(name).filter(|grant| grant.holder == self.me);
        let lost = mine
            .held
            .is_some_and(|(token, _)| grant.is_none_or(|grant| grant.token != token));
        let before = mine.held.and_then(|(token, base)| Some((token, base?)));
        if let Some(grant) = grant {
            // The right rests on the moment at which the request was first sent, however late its commit is seen.
            let sent = mine
                .sent
                .iter()
                .find(|(seq, _)| *seq == grant.by)
                .map(|(_, at)| *at);
            let base = sent.filter(|_| grant.taken);
            if base.is_some() {
                mine.sent.retain(|(seq, _)| *seq >= grant.by);
            }
            let known = before
                .filter(|(token, _)| *token == grant.token)
                .map(|(_, base)| base);
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
        let Some(mine) = self.mine.get_mut(name) else {
            return;
        };
        mine.next = missing.as_ref().map(|(due, _)| *due);
        let Some((_, command)) = missing.filter(|(due, _)| *due <= now) else {
            return;
        };
        if let Some(seq) = mine.open.take() {
            self.outbox.settle(seq);
        }
        if matches!(command, Command::Release { .. }) {
            mine.given_up = mine.held.map(|(token, _)| token);
        }
        let seq = match command {
            Command::Renew { name, token } if mine.renews_at_leader(self.settings.renewal) => {
                let number = self.outbox.reserve();
                let renewal = Renewal {
                    holder: self.me.name.clone(),
                    name,
                    token,
                    number,
                };
                self.renewals.push(Action::Renew {
                    renewal,
                    unanswered: mine.unanswered,
                });
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
        let living = table
            .life(&self.me.name)
            .is_some_and(|grant| grant.taken && grant.holder == self.me);
        if self.ended || !(is_life || (living && !self.leaving)) {
            return None;
        }
        let mine = self.mine.get(name)?;
        let waits = table.waiters(name).any(|waiter| waiter.who == self.me);
        let given_up = |token: Token| mine.given_up == Some(token);
        let renew = self.settings.renew();
        let at_leader = mine.renews_at_leader(self.settings.renewal);
        let patience = if at_leader {
            renew / TRIES_A_THIRD
        } else {
            renew
        };
        let again = mine
            .open
            .and(mine.sent.back())
            .map(|(_, at)| at.saturating_add(patience));
        let name = name.clone();
        match mine.held {
            Some((token, base)) if mine.wanted && !given_up(token) => {
                let third = base.map_or(0, |base| base.saturating_add(renew));
                Some((
                    again.unwrap_or(third).max(mine.pause),
                    Command::Renew { name, token },
                ))
            }
            None if mine.wanted && waits => None,
            None if mine.wanted => {
                let granted_for_ms = self.settings.granted_for_ms;
                Some((
                    again.unwrap_or(0).max(mine.pause),
                    Command::Acquire {
                        name,
                        granted_for_ms,
                    },
                ))
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
        let Some(mine) = self.mine.get_mut(name) else {
            return;
        };
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
