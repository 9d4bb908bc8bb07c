//! What a leader does: entries and snapshots to the voters, commitment, changes of voters; and what each voter does
//! for learners.

use super::{
    Action, Body, Doing, Entry, Group, Index, MOST_VOTERS, MemberName, Micros, Outcome, Part,
    Payload, Proposed, Refusal, Role, Term, VoterId, Voters, Write,
};
use std::collections::{BTreeMap, BTreeSet};

/// A leader's knowledge of the other voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Lead {
    pub beat_at: Micros,
    since: Micros,
    /// Its first entry of its term.
    first: Index,
    voters: BTreeMap<VoterId, Progress>,
    /// Who shall lead after it.
    successor: Option<VoterId>,
    /// When it gives up handing over.
    hand_over_until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Progress {
    /// Its log is the leader's up to here.
    matched: Index,
    /// What to send next.
    next: Index,
    /// Not yet known where its log parts from the leader's: one message at a time.
    probing: bool,
    /// A probe, or a piece of the snapshot, is under way.
    sent: bool,
    /// It has answered since the last heartbeat.
    answered: bool,
    heard: Micros,
    /// The snapshot it is being sent, and the byte it needs next.
    taking: Option<(Index, u64)>,
}

/// A member that pulls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Learner {
    store: u64,
    founded: bool,
    next: Index,
    heard: Micros,
    /// It is owed an answer when there is something new.
    waiting: bool,
}

impl Progress {
    fn new(next: Index, now: Micros) -> Progress {
        let matched = Index(0);
        Progress {
            matched,
            next,
            probing: true,
            sent: false,
            answered: false,
            heard: now,
            taking: None,
        }
    }

    /// Begins anew from what is known to match.
    fn probe(&mut self) {
        self.next = Index(self.matched.0 + 1);
        self.probing = true;
        self.sent = false;
    }
}

impl Group {
    /// This member has won its election.
    pub(super) fn lead(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next = Index(self.log.last().0 + 1);
        let voters = self
            .others()
            .into_iter()
            .map(|v| (v, Progress::new(next, now)))
            .collect();
        let (successor, hand_over_until) = (None, 0);
        self.doing = Doing::Lead(Lead {
            beat_at: now,
            since: now,
            first: next,
            voters,
            successor,
            hand_over_until,
        });
        self.leader = Some(self.me.name.clone());
        self.incoming = None;
        let payload = match (self.log.voters(), &self.hard.founded) {
            (None, Some(founded)) => Payload::Voters(founded.clone()),
            _ => Payload::Noop,
        };
        self.add(now, payload, out);
        self.beat(now, out);
    }

    /// Whether this member leads and has applied all that was committed before its term.
    pub fn is_established(&self) -> bool {
        matches!(&self.doing, Doing::Lead(lead) if self.applied >= lead.first)
    }

    /// Whether a majority was heard from lately.
    pub(super) fn in_touch(&self, lead: &Lead, now: Micros) -> bool {
        self.voters()
            .is_some_and(|v| self.in_touch_with(lead, v, now) >= v.majority())
    }

    fn in_touch_with(&self, lead: &Lead, voters: &Voters, now: Micros) -> usize {
        let lately = |heard: Micros| now.saturating_sub(heard) <= self.settings.election_us;
        let heard = |v: &&VoterId| match lead.voters.get(v) {
            Some(progress) => lately(progress.heard),
            // About to be made a voter.
            None => self
                .learners
                .get(&v.name)
                .is_some_and(|l| l.store == v.store && lately(l.heard)),
        };
        let heard = |v: &&VoterId| **v == self.me || heard(v);
        voters.now.iter().filter(heard).count()
    }

    /// Heartbeat: steps down if a majority is gone, else lets all voters hear of it.
    pub(super) fn beat(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        if !self.in_touch(lead, now) {
            return self.follow(now, self.hard.term, None, out);
        }
        let Doing::Lead(lead) = &mut self.doing else {
            return;
        };
        lead.beat_at = now.saturating_add(self.settings.heartbeat_us);
        if now > lead.hand_over_until {
            lead.successor = None;
        }
        for progress in lead.voters.values_mut() {
            let owes = progress.matched.0 + 1 < progress.next.0
                || progress.probing
                || progress.taking.is_some();
            if owes && !std::mem::take(&mut progress.answered) {
                progress.probe();
            }
        }
        for voter in self.others() {
            if !self.feed(&voter, out) {
                self.append(&voter, &[], out);
            }
        }
        self.advance(now, out);
    }

    /// Appends an entry of its own, and sends it.
    fn add(&mut self, now: Micros, payload: Payload, out: &mut Vec<Action>) {
        let index = Index(self.log.last().0 + 1);
        let entries = vec![Entry {
            term: self.hard.term,
            index,
            payload,
        }];
        self.log.put(&entries);
        out.push(Action::Persist(Write::Entries {
            first: index,
            entries,
        }));
        self.match_voters(now, index);
        for voter in self.others() {
            self.feed(&voter, out);
        }
        self.advance(now, out);
    }

    /// Keeps track of the voters of the latest configuration, and of no others.
    fn match_voters(&mut self, now: Micros, next: Index) {
        let others = self.others();
        let Doing::Lead(lead) = &mut self.doing else {
            return;
        };
        lead.voters.retain(|v, _| others.contains(v));
        for voter in others {
            lead.voters
                .entry(voter)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Sends a voter what it lacks, as far as the bounds go. False if nothing was sent.
    fn feed(&mut self, voter: &VoterId, out: &mut Vec<Action>) -> bool {
        let mut any = false;
        loop {
            let Doing::Lead(lead) = &self.doing else {
                return any;
            };
            let Some(progress) = lead.voters.get(voter) else {
                return any;
            };
            if progress.next <= self.log.base() || progress.taking.is_some() {
                return self.feed_part(voter, out) || any;
            }
            let in_flight = progress.next.0 - 1 - progress.matched.0;
            let held = if progress.probing {
                progress.sent
            } else {
                in_flight >= self.settings.most_in_flight.max(1)
            };
            if held || progress.next > self.log.last() {
                return any;
            }
            let (most, most_bytes) = (
                self.settings.most_entries_per_message,
                self.settings.most_bytes_per_message,
            );
            let entries = self
                .log
                .slice(progress.next, self.log.last(), most, most_bytes);
            self.append(voter, &entries, out);
            any = true;
            let Doing::Lead(lead) = &mut self.doing else {
                return any;
            };
            let Some(progress) = lead.voters.get_mut(voter) else {
                return any;
            };
            if progress.probing {
                progress.sent = true;
                return any;
            }
            progress.next.0 += entries.len() as u64;
        }
    }

    fn append(&self, voter: &VoterId, entries: &[Entry], out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        let Some(progress) = lead.voters.get(voter) else {
            return;
        };
        let before = Index(progress.next.0 - 1);
        let Some(before_term) = self.log.term_at(before) else {
            return;
        };
        let (entries, commit) = (entries.to_vec(), self.commit);
        self.send(
            voter.name.clone(),
            voter.store,
            Body::Append {
                before,
                before_term,
                entries,
                commit,
            },
            out,
        );
    }

    fn feed_part(&mut self, voter: &VoterId, out: &mut Vec<Action>) -> bool {
        let index = self.log.base();
        let Doing::Lead(lead) = &mut self.doing else {
            return false;
        };
        let Some(progress) = lead.voters.get_mut(voter) else {
            return false;
        };
        if progress.taking.is_none_or(|(i, _)| i != index) {
            progress.taking = Some((index, 0));
            progress.sent = false;
        }
        if std::mem::replace(&mut progress.sent, true) {
            return false;
        }
        let offset = progress.taking.map_or(0, |(_, o)| o);
        match self.part(offset) {
            Some(part) => self.send(voter.name.clone(), voter.store, Body::Install(part), out),
            None => return false,
        }
        true
    }

    /// A piece of the snapshot.
    fn part(&self, offset: u64) -> Option<Part> {
        let s = self.log.snapshot()?;
        let from = usize::try_from(offset)
            .unwrap_or(usize::MAX)
            .min(s.data.len());
        let to = from
            .saturating_add(self.settings.most_bytes_per_message.max(1))
            .min(s.data.len());
        let (offset, data) = (from as u64, s.data[from..to].to_vec());
        let total = s.data.len() as u64;
        Some(Part {
            index: s.index,
            term: s.term,
            voters: s.voters.clone(),
            total,
            offset,
            data,
        })
    }

    pub(super) fn on_appended(
        &mut self,
        now: Micros,
        from: VoterId,
        founded: bool,
        term: Term,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if !self.voters().is_some_and(|v| v.counts(&from, founded)) {
            return;
        }
        if term > self.hard.term {
            return self.follow(now, term, None, out);
        }
        let last = self.log.last();
        let Doing::Lead(lead) = &mut self.doing else {
            return;
        };
        let Some(progress) = lead
            .voters
            .get_mut(&from)
            .filter(|_| term == self.hard.term)
        else {
            return;
        };
        progress.heard = now;
        match outcome {
            Outcome::Stale => {}
            Outcome::Matched(index) if index <= last => {
                progress.answered = true;
                progress.matched = progress.matched.max(index);
                progress.next = progress.next.max(Index(index.0 + 1));
                progress.probing = false;
                progress.sent = false;
                progress.taking = None;
            }
            Outcome::Matched(_) => {}
            Outcome::Conflict {
                before,
                term,
                first,
            } => {
                if before > progress.matched && before < progress.next {
                    let ours = term.map_or(before, |t| self.log.last_up_to(t, before));
                    let alike = term.is_some() && self.log.term_at(ours) == term;
                    let after = Index(ours.0 + 1);
                    let hint = if alike { after } else { after.min(first) }.min(before);
                    progress.answered = true;
                    progress.probe();
                    progress.next = hint.max(progress.next);
                }
            }
            Outcome::Taking { index, offset } => {
                if let Some((i, at)) = progress.taking
                    && i == index
                    && offset != at
                {
                    progress.answered = true;
                    progress.sent = false;
                    progress.taking = Some((index, offset));
                }
            }
        }
        self.advance(now, out);
        self.feed(&from, out);
        self.crown(&from, out);
    }

    /// Commits what a majority has, if it is of this leader's own term; older entries are committed along with it.
    fn advance(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        let Some(voters) = self.voters() else { return };
        let has = |v: &VoterId| match *v == self.me {
            true => self.log.last(),
            false => lead.voters.get(v).map_or(Index(0), |p| p.matched),
        };
        let mut matched: Vec<Index> = voters.now.iter().map(has).collect();
        matched.sort_unstable();
        let Some(&index) = matched.get(matched.len() - voters.majority()) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        let gone = !voters.now.contains(&self.me);
        self.commit = index;
        for voter in self.others() {
            self.append(&voter, &[], out);
        }
        if gone && self.log.voters_at().is_some_and(|at| at <= self.commit) {
            self.follow(now, self.hard.term, None, out);
        }
    }

    pub(super) fn propose_here(
        &mut self,
        now: Micros,
        proposed: Proposed,
        own: bool,
        out: &mut Vec<Action>,
    ) {
        let settled = self.log.voters_at().is_some_and(|at| at <= self.commit);
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        let (own_term, handing) = (self.commit >= lead.first, lead.successor.is_some());
        let uncommitted = self.log.last().0 - self.commit.0;
        let kept = self.log.last().0 - self.log.base().0;
        let payload = match proposed {
            _ if handing => Err(Refusal::NoLeader),
            _ if uncommitted >= self.settings.most_uncommitted => Err(Refusal::Full),
            _ if kept >= self.settings.most_entries as u64 => Err(Refusal::Full),
            Proposed::Data(data) if data.len() > self.settings.most_payload_bytes => {
                Err(Refusal::TooLarge)
            }
            Proposed::Data(data) => Ok(Payload::Data(data)),
            Proposed::Voters(wanted) => match self.voters() {
                Some(v) if settled && own_term && (1..=MOST_VOTERS).contains(&wanted.len()) => {
                    Ok(Payload::Voters(Voters {
                        wanted,
                        ..v.clone()
                    }))
                }
                _ => Err(Refusal::Voters),
            },
        };
        match payload {
            Ok(payload) => self.add(now, payload, out),
            Err(refusal) if own => out.push(Action::Refused(refusal)),
            Err(_) => {}
        }
    }

    /// One step from the voters there are to those wanted, when the last step is committed.
    pub(super) fn reshape(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        let settled = self.log.voters_at().is_some_and(|at| at <= self.commit);
        if !settled || self.commit < lead.first || lead.successor.is_some() {
            return;
        }
        let Some(voters) = self.voters() else { return };
        let Some(next) = self.next_voters(lead, voters, now) else {
            return;
        };
        // Never to voters of whom a majority is away.
        if self.in_touch_with(lead, &next, now) >= next.majority() {
            self.add(now, Payload::Voters(next), out);
        }
    }

    fn next_voters(&self, lead: &Lead, voters: &Voters, now: Micros) -> Option<Voters> {
        let without = |gone: &VoterId| {
            let mut next = voters.clone();
            next.now.remove(gone);
            next.founders.remove(gone);
            (!next.now.is_empty()).then_some(next)
        };
        let lately = |heard: Micros| now.saturating_sub(heard) <= self.settings.election_us;
        let patient = now.saturating_sub(lead.since) > self.settings.election_us.saturating_mul(2);
        let lag = self.settings.most_entries_per_message as u64;
        let ready = |l: &Learner| lately(l.heard) && l.next.0.saturating_add(lag) > self.commit.0;
        for (name, learner) in self
            .learners
            .iter()
            .filter(|(n, l)| voters.wanted.contains(*n) && ready(l))
        {
            let id = VoterId {
                name: name.clone(),
                store: learner.store,
            };
            match voters.of(name) {
                // Its disk was emptied: first without the old store, then with the new one.
                Some(old)
                    if *old != id && !lead.voters.get(old).is_some_and(|p| lately(p.heard)) =>
                {
                    return without(old);
                }
                // Named as a founder, but its store was made after another of its name was pledged to.
                Some(old) if *old == id && !voters.counts(old, learner.founded) && patient => {
                    return without(old);
                }
                Some(_) => {}
                None => {
                    let mut next = voters.clone();
                    next.now.insert(id);
                    return Some(next);
                }
            }
        }
        let unwanted = |v: &&VoterId| !voters.wanted.contains(&v.name);
        let complete = voters.wanted.iter().all(|n| voters.of(n).is_some());
        let mut gone: Vec<&VoterId> = voters.now.iter().filter(unwanted).collect();
        gone.sort_by_key(|v| **v == self.me);
        gone.first().filter(|_| complete).and_then(|v| without(v))
    }

    /// Planned stop of a leader: the voter that has most leads next, once it has all.
    pub(super) fn hand_over(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &mut self.doing else {
            return;
        };
        let lately = |p: &Progress| now.saturating_sub(p.heard) <= self.settings.election_us;
        let best = lead
            .voters
            .iter()
            .filter(|(_, p)| lately(p))
            .max_by_key(|(_, p)| p.matched);
        let Some(best) = best.map(|(v, _)| v.clone()) else {
            return;
        };
        lead.successor = Some(best.clone());
        lead.hand_over_until = now.saturating_add(self.settings.election_us);
        self.crown(&best, out);
    }

    /// Asks the successor to stand when it has all of the leader's log.
    fn crown(&self, voter: &VoterId, out: &mut Vec<Action>) {
        let Doing::Lead(lead) = &self.doing else {
            return;
        };
        if lead.successor.as_ref() == Some(voter)
            && lead
                .voters
                .get(voter)
                .is_some_and(|p| p.matched == self.log.last())
        {
            self.send(voter.name.clone(), voter.store, Body::Stand, out);
        }
    }

    pub(super) fn on_pull(
        &mut self,
        now: Micros,
        from: VoterId,
        founded: bool,
        next: Index,
        taking: Option<(Index, u64)>,
        out: &mut Vec<Action>,
    ) {
        let learner = Learner {
            store: from.store,
            founded,
            next,
            heard: now,
            waiting: true,
        };
        if next <= self.log.base() {
            let offset = taking
                .filter(|(i, _)| *i == self.log.base())
                .map_or(0, |(_, o)| o);
            if let Some(part) = self.part(offset) {
                self.send(from.name.clone(), from.store, Body::PulledPart(part), out);
            }
            self.remember(
                from.name,
                Learner {
                    waiting: false,
                    ..learner
                },
            );
        } else {
            let known = self.learners.get(&from.name);
            let waiting = next > self.commit;
            // One that has just taken in what it was given need not be told that there is nothing new.
            if !waiting || known.is_none_or(|l| (l.store, l.next) == (from.store, next)) {
                self.give(now, &from.name, &learner, out);
            }
            self.remember(from.name, Learner { waiting, ..learner });
        }
    }

    fn remember(&mut self, name: MemberName, learner: Learner) {
        if self.learners.contains_key(&name) || self.learners.len() < self.settings.most_learners {
            self.learners.insert(name, learner);
        }
    }

    fn give(&self, now: Micros, to: &MemberName, learner: &Learner, out: &mut Vec<Action>) {
        let (most, most_bytes) = (
            self.settings.most_entries_per_message,
            self.settings.most_bytes_per_message,
        );
        let entries = self.log.slice(learner.next, self.commit, most, most_bytes);
        let knows = self.role() != Role::Learner || self.vouches_for_leader(now);
        let (commit, leader) = (self.commit, self.leader.clone().filter(|_| knows));
        self.send(
            to.clone(),
            learner.store,
            Body::Pulled {
                entries,
                commit,
                leader,
            },
            out,
        );
    }

    /// Whether this learner's word on the leader goes on: it pulls from voters itself, which were heard lately, and is
    /// no former or future voter, from which voters' learners may pull. Else two could keep an old word alive.
    fn vouches_for_leader(&self, now: Micros) -> bool {
        let is_plain = !self.first.contains(&self.me.name) && !self.shall_vote();
        let is_fresh = now.saturating_sub(self.source_heard) <= self.settings.election_us;
        is_plain && is_fresh && self.relays.is_empty()
    }

    /// Gives the learners that wait what is newly committed.
    pub(super) fn serve_learners(&mut self, now: Micros, out: &mut Vec<Action>) {
        let election = self.settings.election_us;
        let commit = self.commit;
        self.learners
            .retain(|_, l| now.saturating_sub(l.heard) <= election.saturating_mul(4));
        let mut owed: BTreeSet<MemberName> = BTreeSet::new();
        for (name, learner) in &mut self.learners {
            if learner.waiting && learner.next <= commit && learner.next > self.log.base() {
                learner.waiting = false;
                owed.insert(name.clone());
            }
        }
        for name in owed {
            if let Some(learner) = self.learners.get(&name) {
                self.give(now, &name, learner, out);
            }
        }
    }
}
