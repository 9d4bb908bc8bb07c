//! How the group is founded, and how a leader is elected.

use super::{
    Action, Body, Doing, Group, Index, MemberName, Micros, Refusal, Term, VoterId, Voters,
};
use std::collections::BTreeSet;

/// A candidate's votes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Ballot {
    /// True if it only asks whether it would be voted for.
    pre: bool,
    forced: bool,
    votes: BTreeSet<VoterId>,
}

impl Ballot {
    pub fn is_pre(&self) -> bool {
        self.pre
    }
}

impl Group {
    /// A first voter may found the group: it has no log that says otherwise.
    fn may_found(&self) -> bool {
        let open = |v: &Voters| v.founders.contains(&self.me);
        self.hard.founded.is_none()
            && self.first.contains(&self.me.name)
            && self.log.voters().is_none_or(open)
    }

    /// Asks the other first voters to pledge to this store.
    pub(super) fn ask(&self, out: &mut Vec<Action>) {
        if self.may_found() {
            for name in self.first.iter().filter(|n| !self.pledged.contains_key(*n)) {
                if *name != self.me.name {
                    self.send(
                        name.clone(),
                        0,
                        Body::Ask {
                            voters: self.first.clone(),
                        },
                        out,
                    );
                }
            }
        }
    }

    /// Pledges to one store for each name, for ever; not if a log tells that the group has gone on without that store.
    pub(super) fn pledge(
        &mut self,
        from: VoterId,
        voters: BTreeSet<MemberName>,
        out: &mut Vec<Action>,
    ) {
        if !self.first.contains(&self.me.name) {
            return;
        }
        if voters != self.first {
            return out.push(Action::Refused(Refusal::FirstVotersDiffer));
        }
        let known = self.hard.pledges.get(&from.name).copied();
        let open = self.log.voters().is_none_or(|v| v.founders.contains(&from));
        let granted = self.first.contains(&from.name)
            && open
            && known.is_none_or(|store| store == from.store);
        if granted && known.is_none() {
            self.hard.pledges.insert(from.name.clone(), from.store);
            self.save(out);
        }
        self.send(from.name, from.store, Body::Pledge { granted }, out);
    }

    pub(super) fn on_pledge(
        &mut self,
        now: Micros,
        from: VoterId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if granted && self.first.contains(&from.name) && self.may_found() {
            self.pledged.insert(from.name, from.store);
            self.found(now, out);
        }
    }

    /// Founds the group, as far as this store goes, when all other first voters have pledged to it.
    pub(super) fn found(&mut self, now: Micros, out: &mut Vec<Action>) {
        let all = self
            .first
            .iter()
            .all(|n| *n == self.me.name || self.pledged.contains_key(n));
        if !all || !self.may_found() {
            return;
        }
        let others = self.pledged.iter().map(|(n, s)| VoterId {
            name: n.clone(),
            store: *s,
        });
        let voters: BTreeSet<VoterId> = others.chain([self.me.clone()]).collect();
        self.hard.founded = Some(Voters {
            wanted: self.first.clone(),
            now: voters.clone(),
            founders: voters,
        });
        self.pledged.clear();
        self.save(out);
        self.rest(now);
    }

    /// Goes to a later term, and follows `leader` in it if one is known.
    pub(super) fn follow(
        &mut self,
        now: Micros,
        term: Term,
        leader: Option<MemberName>,
        out: &mut Vec<Action>,
    ) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.voted = None;
            self.save(out);
        }
        if !matches!(self.doing, Doing::Follow) {
            self.doing = Doing::Follow;
            self.rest(now);
        }
        self.leader = leader;
    }

    /// Stands for election; with `pre`, asks first whether it would be elected.
    pub(super) fn stand(&mut self, now: Micros, pre: bool, forced: bool, out: &mut Vec<Action>) {
        self.leader = None;
        self.rest(now);
        if !pre {
            self.hard.term = Term(self.hard.term.0.saturating_add(1));
            self.hard.voted = Some(self.me.clone());
            self.save(out);
        }
        self.doing = Doing::Stand(Ballot {
            pre,
            forced,
            votes: [self.me.clone()].into(),
        });
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for voter in self.others() {
            self.send(
                voter.name,
                voter.store,
                Body::Vote {
                    pre,
                    last,
                    last_term,
                    forced,
                },
                out,
            );
        }
        self.count(now, out);
    }

    /// The other voters of the latest configuration.
    pub(super) fn others(&self) -> Vec<VoterId> {
        self.voters().map_or(Vec::new(), |v| {
            v.now.iter().filter(|v| **v != self.me).cloned().collect()
        })
    }

    /// Whether a leader is there, as far as this member can tell: it need not help to elect another.
    fn is_led(&self, now: Micros) -> bool {
        match &self.doing {
            Doing::Lead(lead) => self.in_touch(lead, now),
            _ => {
                self.leader.is_some() && now < self.heard.saturating_add(self.settings.election_us)
            }
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: Micros,
        from: VoterId,
        term: Term,
        (pre, forced): (bool, bool),
        last: (Term, Index),
        out: &mut Vec<Action>,
    ) {
        if !forced && self.is_led(now) {
            return;
        }
        if !pre && term > self.hard.term {
            self.follow(now, term, None, out);
        }
        let vote_term = if pre {
            Term(term.0.saturating_add(1))
        } else {
            term
        };
        let free = match &self.hard.voted {
            _ if pre => vote_term > self.hard.term,
            Some(voted) => vote_term == self.hard.term && *voted == from,
            None => vote_term == self.hard.term,
        };
        let granted = free && last >= (self.log.last_term(), self.log.last());
        if granted && !pre {
            if self.hard.voted.is_none() {
                self.hard.voted = Some(from.clone());
                self.save(out);
            }
            self.rest(now);
        }
        self.send(
            from.name,
            from.store,
            Body::Voted {
                pre,
                vote_term,
                granted,
            },
            out,
        );
    }

    pub(super) fn on_voted(
        &mut self,
        now: Micros,
        from: VoterId,
        founded: bool,
        term: Term,
        (was_pre, vote_term, granted): (bool, Term, bool),
        out: &mut Vec<Action>,
    ) {
        if !self.voters().is_some_and(|v| v.counts(&from, founded)) {
            return;
        }
        if term > self.hard.term {
            return self.follow(now, term, None, out);
        }
        let Doing::Stand(ballot) = &mut self.doing else {
            return;
        };
        let asked = Term(self.hard.term.0.saturating_add(u64::from(ballot.pre)));
        if granted && was_pre == ballot.pre && vote_term == asked {
            ballot.votes.insert(from);
            self.count(now, out);
        }
    }

    /// Goes on when a majority has voted for this member.
    fn count(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (Doing::Stand(ballot), Some(voters)) = (&self.doing, self.voters()) else {
            return;
        };
        let votes = ballot
            .votes
            .iter()
            .filter(|v| voters.now.contains(v))
            .count();
        if votes < voters.majority() {
            return;
        }
        match (ballot.pre, ballot.forced) {
            (true, forced) => self.stand(now, false, forced, out),
            (false, _) => self.lead(now, out),
        }
    }
}
