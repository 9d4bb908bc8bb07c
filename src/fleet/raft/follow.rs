//! What a follower does with the leader's entries and snapshots, and a learner with a voter's.

use super::{
    Action, Body, Doing, Entry, Group, Index, MemberName, Micros, Outcome, Part, Payload, Snapshot,
    Term, VoterId, Write,
};
use std::collections::BTreeSet;

/// A snapshot on its way in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Incoming {
    from: VoterId,
    head: Part,
    data: Vec<u8>,
}

/// A learner that pulls from another member than its first relay tries that one again after this.
const RETURN_AFTER: Micros = 30_000_000;

impl Group {
    /// Whether the message comes from the leader of this member's term, to which it may go for that.
    pub(super) fn hear_leader(
        &mut self,
        now: Micros,
        from: &VoterId,
        term: Term,
        out: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard.term {
            self.send(
                from.name.clone(),
                from.store,
                Body::Appended(Outcome::Stale),
                out,
            );
            return false;
        }
        if term == self.hard.term && matches!(self.doing, Doing::Lead(_)) {
            return false;
        }
        self.follow(now, term, Some(from.name.clone()), out);
        self.heard = now;
        self.rest(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: &VoterId,
        before: Index,
        before_term: Term,
        entries: Vec<Entry>,
        commit: Index,
        out: &mut Vec<Action>,
    ) {
        if !follows(before, before_term, &entries, self.hard.term) {
            return;
        }
        let have = self.log.term_at(before);
        let outcome = if before > self.commit && have != Some(before_term) {
            let first = match have {
                Some(_) => self.log.first_of_term(before).max(Index(self.commit.0 + 1)),
                None => Index(self.log.last().0 + 1),
            };
            Outcome::Conflict {
                before,
                term: have,
                first,
            }
        } else {
            let matched = self.put(before, entries, out);
            self.commit = self.commit.max(commit.min(matched));
            Outcome::Matched(matched.max(self.commit))
        };
        self.send(from.name.clone(), from.store, Body::Appended(outcome), out);
    }

    /// Takes in entries that follow `before`, where this log is the sender's. Says up to where it is now.
    fn put(&mut self, before: Index, mut entries: Vec<Entry>, out: &mut Vec<Action>) -> Index {
        let room = (self.log.base().0 + self.settings.most_entries as u64).saturating_sub(before.0);
        entries.truncate(usize::try_from(room).unwrap_or(usize::MAX));
        let matched = Index(before.0 + entries.len() as u64);
        let have = |e: &Entry| e.index <= self.commit || self.log.term_at(e.index) == Some(e.term);
        let new = entries
            .iter()
            .position(|e| !have(e))
            .unwrap_or(entries.len());
        entries.drain(..new);
        if let Some(first) = entries.first().map(|e| e.index) {
            self.log.put(&entries);
            out.push(Action::Persist(Write::Entries { first, entries }));
        }
        matched
    }

    pub(super) fn on_install(&mut self, from: &VoterId, part: Part, out: &mut Vec<Action>) {
        let outcome = self.take(from, part, out);
        self.send(from.name.clone(), from.store, Body::Appended(outcome), out);
    }

    /// Takes in a piece of a snapshot, and the snapshot when it is whole.
    fn take(&mut self, from: &VoterId, part: Part, out: &mut Vec<Action>) -> Outcome {
        if part.index <= self.commit {
            self.incoming = None;
            return Outcome::Matched(self.commit);
        }
        let index = part.index;
        let same = |i: &Incoming| {
            i.from == *from
                && (i.head.index, i.head.term, i.head.total) == (index, part.term, part.total)
        };
        if !self.incoming.as_ref().is_some_and(same) {
            let head = Part {
                data: Vec::new(),
                ..part.clone()
            };
            self.incoming = Some(Incoming {
                from: from.clone(),
                head,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return Outcome::Taking { index, offset: 0 };
        };
        let (have, total) = (incoming.data.len() as u64, part.total);
        let fits = total <= self.settings.most_snapshot_bytes as u64 && !part.voters.now.is_empty();
        if fits && part.offset == have && part.data.len() as u64 <= total - have {
            incoming.data.extend_from_slice(&part.data);
        }
        let offset = incoming.data.len() as u64;
        if !fits || offset < total {
            return Outcome::Taking { index, offset };
        }
        let Some(Incoming { head, data, .. }) = self.incoming.take() else {
            return Outcome::Taking { index, offset };
        };
        self.restore(
            Snapshot {
                index,
                term: head.term,
                voters: head.voters,
                data,
            },
            out,
        );
        Outcome::Matched(index)
    }

    fn restore(&mut self, snapshot: Snapshot, out: &mut Vec<Action>) {
        let index = snapshot.index;
        self.raise(snapshot.term, out);
        // A log that ends before the snapshot has no tail to drop, and a store takes no place beyond its end.
        let tail = self.log.last() > index;
        if !self.log.restore(snapshot.clone()) && tail {
            let first = Index(index.0 + 1);
            out.push(Action::Persist(Write::Entries {
                first,
                entries: Vec::new(),
            }));
        }
        out.push(Action::Persist(Write::Snapshot(snapshot.clone())));
        self.commit = index;
        self.applied = index;
        out.push(Action::Restore(snapshot));
    }

    /// A log's last term is never above its member's.
    fn raise(&mut self, term: Term, out: &mut Vec<Action>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.save(out);
        }
    }

    /// Asks a voter for what was committed.
    pub(super) fn pull(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.pull_at = now.saturating_add(self.settings.pull_us);
        if now.saturating_sub(self.source_heard) > self.settings.election_us {
            self.source += 1;
            self.source_heard = now;
            self.leader = None;
            self.away_since = now;
        } else if !self.relays.is_empty() && now.saturating_sub(self.away_since) > RETURN_AFTER {
            self.source = 0;
            self.away_since = now;
        }
        let next = Index(self.commit.0 + 1);
        let taking = self
            .incoming
            .as_ref()
            .map(|i| (i.head.index, i.data.len() as u64));
        if let Some(source) = self.pull_from() {
            self.send(source, 0, Body::Pull { next, taking }, out);
        }
    }

    /// Whom to pull from: the leader, for one that shall vote, so that the leader knows when it has caught up; any
    /// voter for others.
    fn pull_from(&self) -> Option<MemberName> {
        // Its configuration may be old, with all voters of it gone: the first ones may still know more.
        let names = self
            .voters()
            .into_iter()
            .flat_map(|v| v.now.iter().map(|v| &v.name).chain(&v.wanted));
        let names: BTreeSet<&MemberName> = names.chain(&self.first).collect();
        match &self.leader {
            Some(leader) if self.shall_vote() => Some(leader.clone()),
            _ => {
                let relays = self.relays.iter();
                let names = relays.chain(names.into_iter().filter(|n| !self.relays.contains(n)));
                let others: Vec<_> = names.filter(|n| **n != self.me.name).collect();
                let at = (self.source % others.len().max(1) as u64) as usize;
                others.get(at).map(|n| (*n).clone())
            }
        }
    }

    pub(super) fn shall_vote(&self) -> bool {
        self.voters()
            .map_or(&self.first, |v| &v.wanted)
            .contains(&self.me.name)
    }

    /// Whether this member may take in what it pulled: a candidate's log must stay as it was when it asked for votes.
    fn pulls(&self) -> bool {
        match &self.doing {
            Doing::Follow => true,
            Doing::Stand(ballot) => ballot.is_pre(),
            Doing::Lead(_) => false,
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_pulled(
        &mut self,
        now: Micros,
        from: VoterId,
        term: Term,
        entries: Vec<Entry>,
        commit: Index,
        leader: Option<MemberName>,
        out: &mut Vec<Action>,
    ) {
        if !self.pulls() {
            return;
        }
        if !self.is_voter() {
            // One that knows of no leader and has no news may be as far behind: another one is asked then. MemberInstance
            // shall vote needs the leader.
            let news = entries.last().is_some_and(|e| e.index > self.commit);
            if leader.is_some() || (news && !self.shall_vote()) {
                self.source_heard = now;
            }
            if leader.is_some() && leader.as_ref() != Some(&self.me.name) && term >= self.hard.term
            {
                self.raise(term, out);
                self.leader = leader;
            }
        }
        let Some(first) = entries.first().map(|e| e.index) else {
            return;
        };
        let Some(before) = first.0.checked_sub(1).map(Index) else {
            return;
        };
        let top = entries.iter().map(|e| e.term).max().unwrap_or_default();
        if before > self.commit || !follows(before, Term(0), &entries, top) {
            return;
        }
        self.raise(top, out);
        let matched = self.put(before, entries, out);
        self.commit = self.commit.max(commit.min(matched));
        if !self.is_voter() {
            self.send(
                from.name,
                from.store,
                Body::Pull {
                    next: Index(matched.0 + 1),
                    taking: None,
                },
                out,
            );
        }
    }

    pub(super) fn on_pulled_part(
        &mut self,
        now: Micros,
        from: VoterId,
        part: Part,
        out: &mut Vec<Action>,
    ) {
        if !self.pulls() {
            return;
        }
        self.source_heard = now;
        let had = self.incoming.as_ref().map(|i| i.data.len());
        let outcome = self.take(&from, part, out);
        let taking = match outcome {
            Outcome::Taking { offset, .. } if had == Some(offset as usize) => return,
            Outcome::Taking { index, offset } => Some((index, offset)),
            _ => None,
        };
        let next = Index(self.commit.0 + 1);
        self.send(from.name, from.store, Body::Pull { next, taking }, out);
    }
}

/// Whether `entries` follow one another and the entry before them, with terms that do not fall nor rise above `top`.
fn follows(before: Index, before_term: Term, entries: &[Entry], top: Term) -> bool {
    let (mut index, mut term) = (before, before_term);
    entries.iter().all(|e| {
        let next = index.0.checked_add(1) == Some(e.index.0) && e.term >= term && e.term <= top;
        (index, term) = (e.index, e.term);
        next && !matches!(&e.payload, Payload::Voters(v) if v.now.is_empty())
    })
}
