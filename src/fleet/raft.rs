//! The group: one replicated log among the voters.
//!
//! Raft as in its paper (elections, replication, commitment, snapshots, one voter changed at a time), with pre-vote and
//! check-quorum, as a machine without input or output: [`Group::handle`] takes an event and the time, and appends
//! [`Action`]s, which must be carried out in their order. A [`Action::Persist`] is done when it is on the disk; if it
//! fails, nothing after it may be carried out, and this member is to stop.
//!
//! A voter is a name and a store ([`VoterId`]): a voter whose disk was emptied is another voter, whose votes and
//! acknowledgements nobody counts until a committed change of voters has named it. How the first configuration comes
//! about, and why that is safe, is in `docs/design/group.md`. Members that are no voters are learners: they pull
//! committed entries, or a snapshot, from a voter.

mod elect;
mod follow;
mod lead;
mod log;

use super::{Index, MemberName, Term};
use crate::routing::types::Micros;
use elect::Ballot;
use follow::Incoming;
use lead::{Lead, Learner};
use log::Log;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most voters that a configuration may want.
pub const MOST_VOTERS: usize = 9;

/// A voter: a member with one store. The same member with an emptied disk is another voter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// The member.
    pub name: MemberName,
    /// Number of its store, drawn when its directory was made. Not 0.
    pub store: u64,
}

/// Times and bounds of the group. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// A voter stands for election when it has heard of no leader for this time to twice this time; a leader that
    /// has not heard from a majority for this time steps down.
    pub election_us: Micros,
    /// A leader lets each voter hear from it this often; a fifth of `election_us` or less.
    pub heartbeat_us: Micros,
    /// A learner asks for news this often, and at once when it has got some.
    pub pull_us: Micros,
    /// The most entries in a message.
    pub most_entries_per_message: usize,
    /// The most bytes of entries, or of a snapshot, in a message; a single larger entry still goes.
    pub most_bytes_per_message: usize,
    /// The most entries that are under way to one voter.
    pub most_in_flight: u64,
    /// The most entries that a leader holds uncommitted; proposals above are refused.
    pub most_uncommitted: u64,
    /// The largest payload, in bytes.
    pub most_payload_bytes: usize,
    /// [`Group::wants_snapshot`] says yes when this many entries were applied since the last snapshot.
    pub snapshot_after: u64,
    /// The most entries kept after the snapshot; a leader refuses proposals above.
    pub most_entries: usize,
    /// The largest snapshot that is taken in, in bytes.
    pub most_snapshot_bytes: usize,
    /// The most learners that a voter keeps in mind.
    pub most_learners: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            election_us: 1_000_000,
            heartbeat_us: 150_000,
            pull_us: 250_000,
            most_entries_per_message: 64,
            most_bytes_per_message: 64 << 10,
            most_in_flight: 256,
            most_uncommitted: 1_024,
            most_payload_bytes: 256 << 10,
            snapshot_after: 1_024,
            most_entries: 16_384,
            most_snapshot_bytes: 16 << 20,
            most_learners: 1_024,
        }
    }
}

/// A configuration: who votes, and who shall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voters {
    /// The members that shall vote. The leader goes there, one voter a step.
    pub wanted: BTreeSet<MemberName>,
    /// The voters.
    pub now: BTreeSet<VoterId>,
    /// Those of `now` that stem from the first configuration: they count only if they have founded the group.
    pub founders: BTreeSet<VoterId>,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Noop,
    /// From here on these are the voters.
    Voters(Voters),
    /// Something for the state above.
    Data(Vec<u8>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it says.
    pub payload: Payload,
}

/// The state after an entry, in the place of all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The voters after it.
    pub voters: Voters,
    /// The state above.
    pub data: Vec<u8>,
}

/// What a voter must remember beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term it knows of.
    pub term: Term,
    /// Whom it voted for in that term.
    pub voted: Option<VoterId>,
    /// The store that it pledged to, for each other first voter. Never changed once made.
    pub pledges: BTreeMap<MemberName, u64>,
    /// The first configuration, once all other first voters have pledged to this store.
    pub founded: Option<Voters>,
}

/// What a member's store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Restored {
    /// The last hard state written.
    pub hard: HardState,
    /// The last snapshot written.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// Something that must be on the disk before anything after it happens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// In the place of the last hard state.
    Hard(HardState),
    /// Drop all entries from `first` on, then write these.
    Entries {
        /// The first entry's place, also if there is none.
        first: Index,
        /// They follow one another from `first` on.
        entries: Vec<Entry>,
    },
    /// In the place of the last snapshot and of all entries up to its index.
    Snapshot(Snapshot),
}

impl Restored {
    /// What the store holds after `write`.
    pub fn write(&mut self, write: Write) {
        match write {
            Write::Hard(hard) => self.hard = hard,
            Write::Entries { first, entries } => {
                self.entries.retain(|e| e.index < first);
                self.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                self.entries.retain(|e| e.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
    }
}

/// Something proposed to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Proposed {
    /// An entry for the state above.
    Data(Vec<u8>),
    /// Members that shall vote.
    Voters(BTreeSet<MemberName>),
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// As in the snapshot.
    pub index: Index,
    /// As in the snapshot.
    pub term: Term,
    /// As in the snapshot.
    pub voters: Voters,
    /// Bytes of its data in all.
    pub total: u64,
    /// Where `data` begins in it.
    pub offset: u64,
    /// The piece.
    pub data: Vec<u8>,
}

/// How a voter took entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The sender's term is over.
    Stale,
    /// Its log is the leader's up to here.
    Matched(Index),
    /// It has not the entry before the first one sent.
    Conflict {
        /// That entry's place.
        before: Index,
        /// The term it has there, if any.
        term: Option<Term>,
        /// The first entry it has of that term, or the first it lacks.
        first: Index,
    },
    /// It takes the snapshot up to `index` in, and needs it from `offset` on.
    Taking {
        /// The snapshot's index.
        index: Index,
        /// The byte it needs next.
        offset: u64,
    },
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// A first voter without a past asks for a pledge to its store.
    Ask {
        /// The first voters by the sender's settings.
        voters: BTreeSet<MemberName>,
    },
    /// The answer; on the disk before it is sent.
    Pledge {
        /// True if the sender pledged to the store that asked.
        granted: bool,
    },
    /// A candidate asks for a vote: in the message's term or, before it goes there, in the next one.
    Vote {
        /// True if the vote is not yet meant: would you, in the term after mine?
        pre: bool,
        /// The last entry of the candidate.
        last: Index,
        /// Its term.
        last_term: Term,
        /// The leader has asked it to stand: voters that hear from the leader vote nevertheless.
        forced: bool,
    },
    /// The answer.
    Voted {
        /// As asked.
        pre: bool,
        /// The term that the vote is for.
        vote_term: Term,
        /// Whether it has the vote.
        granted: bool,
    },
    /// The leader's entries, or none to be heard.
    Append {
        /// The entry before the first one.
        before: Index,
        /// Its term.
        before_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// A piece of the leader's snapshot.
    Install(Part),
    /// The answer to `Append` and to `Install`.
    Appended(Outcome),
    /// A learner asks for committed entries from `next` on.
    Pull {
        /// The first entry it lacks.
        next: Index,
        /// The snapshot it is taking in, and the byte of it that it needs next.
        taking: Option<(Index, u64)>,
    },
    /// Committed entries for a learner.
    Pulled {
        /// The entries.
        entries: Vec<Entry>,
        /// The sender's commit index.
        commit: Index,
        /// Who leads in the message's term.
        leader: Option<MemberName>,
    },
    /// A piece of a voter's snapshot for a learner.
    PulledPart(Part),
    /// For the leader.
    Propose(Proposed),
    /// From a leader that wants to hand over: stand for election now.
    Stand,
}

/// A message between two members of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's store.
    pub store: u64,
    /// The receiver's store, 0 if whichever. Another store of the same member takes no notice of it.
    pub to_store: u64,
    /// Whether the sender has founded the group.
    pub founded: bool,
    /// The sender's term.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The time of [`Group::timeout`] has come.
    Tick,
    /// A message came.
    Message {
        /// The sender.
        from: MemberName,
        /// What it sent.
        message: Message,
    },
    /// Put this into the log, or ask the leader to. It may get lost or, if proposed again, be there twice.
    Propose {
        /// What the entry says.
        payload: Vec<u8>,
    },
    /// The state after entry `index`, which was applied here; the entries up to it are dropped.
    Compact {
        /// The last entry in it.
        index: Index,
        /// The state.
        data: Vec<u8>,
    },
    /// These members shall vote (1 to [`MOST_VOTERS`]).
    ChangeVoters(BTreeSet<MemberName>),
    /// Planned stop: if this member leads, another one shall.
    HandOver,
}

/// Why a proposal was not taken. It may be proposed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No leader is known here.
    NoLeader,
    /// The leader holds as many entries as it may.
    Full,
    /// The payload is larger than it may be.
    TooLarge,
    /// Not a set of voters, or the last change of voters is not committed yet.
    Voters,
    /// Another first voter's settings name other first voters: this group cannot start.
    FirstVotersDiffer,
    /// The snapshot is of no entry that was applied here, or larger than it may be.
    Snapshot,
}

/// Something to carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// To the disk. If it fails, carry out nothing more.
    Persist(Write),
    /// To a member.
    Send {
        /// The receiver.
        to: MemberName,
        /// What to send.
        message: Message,
    },
    /// Committed: apply this entry to the state above. Each comes once a life, in order.
    Apply(Entry),
    /// Put this in the place of the state above; entries after it follow.
    Restore(Snapshot),
    /// Who leads now, and in which term.
    Leading(Option<MemberName>, Term),
    /// A proposal was not taken, or the group cannot start.
    Refused(Refusal),
}

/// What a member is in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Does not vote: pulls what is committed.
    Learner,
    /// Votes.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a voter is doing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Follow,
    Stand(Ballot),
    Lead(Lead),
}

/// One member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Group {
    me: VoterId,
    first: BTreeSet<MemberName>,
    settings: Settings,
    seed: u64,
    draws: u64,
    hard: HardState,
    log: Log,
    commit: Index,
    applied: Index,
    doing: Doing,
    leader: Option<MemberName>,
    /// When it last heard from `leader`.
    heard: Micros,
    election_at: Micros,
    pull_at: Micros,
    /// Stores that have pledged to this one.
    pledged: BTreeMap<MemberName, u64>,
    learners: BTreeMap<MemberName, Learner>,
    incoming: Option<Incoming>,
    /// Which voter to pull from, and since when it has not answered.
    source: u64,
    source_heard: Micros,
    /// What was last told by `Leading`.
    told: (Option<MemberName>, Term),
    restoring: bool,
    /// Members to pull from before the voters, the nearest first.
    relays: Vec<MemberName>,
    /// Since when it has pulled from another one than the first.
    away_since: Micros,
}

impl Group {
    /// A member of the group at the start of its life. `voters` are the names of the first configuration, from the
    /// operator's file; they matter until a log tells the voters. `restored` is what the store named in `me` holds.
    pub fn new(
        me: VoterId,
        voters: &BTreeSet<MemberName>,
        settings: Settings,
        seed: u64,
        restored: Restored,
        now: Micros,
    ) -> Group {
        let log = Log::new(restored.snapshot, restored.entries);
        let base = log.base();
        let mut group = Group {
            me,
            first: voters.clone(),
            settings,
            seed,
            draws: 0,
            hard: restored.hard,
            restoring: base.0 > 0,
            log,
            commit: base,
            applied: base,
            doing: Doing::Follow,
            leader: None,
            heard: now,
            election_at: now,
            pull_at: now,
            pledged: BTreeMap::new(),
            learners: BTreeMap::new(),
            incoming: None,
            source: 0,
            source_heard: now,
            told: (None, Term(0)),
            relays: Vec::new(),
            away_since: now,
        };
        group.hard.term = group.hard.term.max(group.log.last_term());
        group.source = group.draw(MOST_VOTERS as u64);
        group.rest(now);
        group
    }

    /// With members to pull from before the voters, the nearest first.
    pub fn with_relays(mut self, relays: Vec<MemberName>) -> Group {
        if !relays.is_empty() {
            self.source = 0;
        }
        self.relays = relays;
        self
    }

    /// Whether this member follows that leader in that term as a voter, and so has voted for no later one.
    pub fn confirms(&self, leader: &MemberName, term: Term) -> bool {
        let follows = matches!(self.doing, Doing::Follow) && self.leader.as_ref() == Some(leader);
        follows && self.is_voter() && self.hard.term == term
    }

    /// Takes an event in. Appends what to do, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.restoring) {
            out.extend(self.log.snapshot().cloned().map(Action::Restore));
        }
        match event {
            Event::Tick => self.tick(now, out),
            Event::Message { from, message } => self.message(now, from, message, out),
            Event::Propose { payload } => self.propose(now, Proposed::Data(payload), true, out),
            Event::ChangeVoters(names) => self.propose(now, Proposed::Voters(names), true, out),
            Event::Compact { index, data } => self.compact(index, data, out),
            Event::HandOver => self.hand_over(now, out),
        }
        self.settle(now, out);
    }

    /// When to call [`Group::handle`] with [`Event::Tick`] at the latest.
    pub fn timeout(&self) -> Option<Micros> {
        let pull = matches!(self.role(), Role::Learner).then_some(self.pull_at);
        let vote = match &self.doing {
            Doing::Lead(lead) => Some(lead.beat_at),
            _ => self.is_voter().then_some(self.election_at),
        };
        pull.into_iter().chain(vote).min()
    }

    /// This member as a voter.
    pub fn me(&self) -> &VoterId {
        &self.me
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<&MemberName> {
        self.leader.as_ref()
    }

    /// What this member is.
    pub fn role(&self) -> Role {
        match &self.doing {
            Doing::Lead(_) => Role::Leader,
            _ if !self.is_voter() => Role::Learner,
            Doing::Stand(_) => Role::Candidate,
            Doing::Follow => Role::Follower,
        }
    }

    /// The highest term this member knows of.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The last entry known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The last entry handed out to be applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The last entry in this member's log.
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// The latest configuration in this member's log, or the first one; none before the group is founded.
    pub fn voters(&self) -> Option<&Voters> {
        self.log.voters().or(self.hard.founded.as_ref())
    }

    /// True if it is time for [`Event::Compact`] with the state after entry [`Group::applied`].
    pub fn wants_snapshot(&self) -> bool {
        self.applied.0 - self.log.base().0 >= self.settings.snapshot_after.max(1)
    }

    /// The entries after the snapshot; for checks of the log from outside.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot()
    }

    /// Whether this member votes and may lead: named by the configuration and, if named as a founder, one.
    fn is_voter(&self) -> bool {
        self.voters()
            .is_some_and(|v| v.counts(&self.me, self.hard.founded.is_some()))
    }

    fn draw(&mut self, below: u64) -> u64 {
        if below == 0 {
            return 0;
        }
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) % below
    }

    /// Puts off the next election.
    fn rest(&mut self, now: Micros) {
        let election = self.settings.election_us;
        let more = self.draw(election);
        self.election_at = now.saturating_add(election).saturating_add(more);
    }

    fn send(&self, to: MemberName, to_store: u64, body: Body, out: &mut Vec<Action>) {
        let (founded, term) = (self.hard.founded.is_some(), self.hard.term);
        let message = Message {
            store: self.me.store,
            to_store,
            founded,
            term,
            body,
        };
        out.push(Action::Send { to, message });
    }

    fn save(&self, out: &mut Vec<Action>) {
        out.push(Action::Persist(Write::Hard(self.hard.clone())));
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.is_voter() && !matches!(self.doing, Doing::Lead(_)) {
            if now >= self.pull_at {
                self.ask(out);
                self.pull(now, out);
            }
            // The last pledge that was missing may have been this member's own, alone in its group.
            self.found(now, out);
        } else if let Doing::Lead(lead) = &self.doing {
            if now >= lead.beat_at {
                self.beat(now, out);
            }
        } else if now >= self.election_at {
            self.stand(now, true, false, out);
            // It may have been taken out of the voters without having heard of it. A voter alone leads by now.
            if !matches!(self.doing, Doing::Lead(_)) {
                self.pull(now, out);
            }
        }
    }

    fn message(&mut self, now: Micros, from: MemberName, message: Message, out: &mut Vec<Action>) {
        let Message {
            store,
            to_store,
            founded,
            term,
            body,
        } = message;
        if from == self.me.name || (to_store != 0 && to_store != self.me.store) {
            return;
        }
        let from = VoterId { name: from, store };
        match body {
            Body::Ask { voters } => self.pledge(from, voters, out),
            Body::Pledge { granted } => self.on_pledge(now, from, granted, out),
            Body::Vote {
                pre,
                last,
                last_term,
                forced,
            } => self.on_vote(now, from, term, (pre, forced), (last_term, last), out),
            Body::Voted {
                pre,
                vote_term,
                granted,
            } => self.on_voted(now, from, founded, term, (pre, vote_term, granted), out),
            Body::Append {
                before,
                before_term,
                entries,
                commit,
            } => {
                if self.hear_leader(now, &from, term, out) {
                    self.on_append(&from, before, before_term, entries, commit, out);
                }
            }
            Body::Install(part) => {
                if self.hear_leader(now, &from, term, out) {
                    self.on_install(&from, part, out);
                }
            }
            Body::Appended(outcome) => self.on_appended(now, from, founded, term, outcome, out),
            Body::Pull { next, taking } => self.on_pull(now, from, founded, next, taking, out),
            Body::Pulled {
                entries,
                commit,
                leader,
            } => self.on_pulled(now, from, term, entries, commit, leader, out),
            Body::PulledPart(part) => self.on_pulled_part(now, from, part, out),
            Body::Propose(proposed) => self.propose(now, proposed, false, out),
            Body::Stand => {
                let led = self.leader.as_ref() == Some(&from.name) && term == self.hard.term;
                if led && self.is_voter() && matches!(self.doing, Doing::Follow) {
                    self.stand(now, false, true, out);
                }
            }
        }
    }

    fn propose(&mut self, now: Micros, proposed: Proposed, own: bool, out: &mut Vec<Action>) {
        if matches!(self.doing, Doing::Lead(_)) {
            return self.propose_here(now, proposed, own, out);
        }
        match &self.leader {
            Some(leader) if own => self.send(leader.clone(), 0, Body::Propose(proposed), out),
            _ if own => out.push(Action::Refused(Refusal::NoLeader)),
            _ => {}
        }
    }

    fn compact(&mut self, index: Index, data: Vec<u8>, out: &mut Vec<Action>) {
        if index <= self.log.base() {
            return;
        }
        if index > self.applied || data.len() > self.settings.most_snapshot_bytes {
            return out.push(Action::Refused(Refusal::Snapshot));
        }
        match self.log.compact(index, data) {
            Some(snapshot) => out.push(Action::Persist(Write::Snapshot(snapshot))),
            None => out.push(Action::Refused(Refusal::Snapshot)),
        }
    }

    /// What follows from an event: entries to apply, learners to serve, voters to change, who leads.
    fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.reshape(now, out);
        while self.applied < self.commit {
            let Some(entry) = self.log.get(Index(self.applied.0 + 1)) else {
                break;
            };
            self.applied = entry.index;
            out.push(Action::Apply(entry.clone()));
        }
        self.serve_learners(now, out);
        if self.told.0 != self.leader || (self.leader.is_some() && self.told.1 != self.hard.term) {
            self.told = (self.leader.clone(), self.hard.term);
            out.push(Action::Leading(self.leader.clone(), self.hard.term));
        }
    }
}

impl Voters {
    /// Whether a vote or an acknowledgement of `voter` counts.
    fn counts(&self, voter: &VoterId, founded: bool) -> bool {
        self.now.contains(voter) && (founded || !self.founders.contains(voter))
    }

    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.now.len() / 2 + 1
    }

    fn of(&self, name: &MemberName) -> Option<&VoterId> {
        self.now.iter().find(|v| v.name == *name)
    }
}
