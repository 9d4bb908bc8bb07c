//! The group's very machine under a model checker: every order of a few events, three voters.
//!
//! The network keeps whatever was sent and may deliver it at any time, again and again or never: loss, duplication and
//! reordering in one. Durations are zero, so that an election or a heartbeat may come at any time. A crash restarts a
//! member from its disk at once (being down is the same as not being delivered to), with all writes or without the
//! last ones. Pre-votes may be forged: safety must not hang on them.
//!
//! Larger bounds by hand: `cargo test --release -p whinhaven-lab --test model_group -- --ignored --nocapture`.

mod group;

use group::{Ledger, Wrong, logs_match, name};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;
use whinhaven::fleet::raft::{
    Action, Body, Event, Group, HardState, Message, Payload, Restored, Role, Settings, VoterId,
    Voters, Write,
};
use whinhaven::fleet::{Index, Term};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is broken on purpose, around the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// The vote is not written.
    VotesUnwritten,
    /// Entries are acknowledged but not written.
    EntriesUnwritten,
    /// Voters do not look at how far the candidate's log goes.
    AnyLogWins,
    /// Followers take entries whatever comes before them.
    AnyEntryBefore,
    /// A leader takes an entry of an older term for committed when a majority has it.
    CommitsOldTerms,
    /// A voter with an emptied disk goes on under its old number, as one that has founded the group.
    EmptiedRemembers,
    /// Members pledge to any store of a name.
    PledgesAnew,
}

/// A scenario: what may happen, how often.
#[derive(Clone, Debug)]
struct Scenario {
    flaw: Flaw,
    /// The group starts from empty disks instead of founded ones.
    founding: bool,
    /// With `founding`: the first two have founded already and the first leads by the second's vote; the third has
    /// only pledged.
    half: bool,
    /// Elections go through their pre-votes.
    pre_votes: bool,
    /// Learners' messages travel too.
    pulls: bool,
    terms: u64,
    proposals: u8,
    crashes: u8,
    empties: u8,
    /// Changes of voters that the leader is asked for: without the third member, with it.
    changes: u8,
    compactions: u8,
    /// Leaders' heartbeats, else only messages that follow from something.
    beats: u8,
    /// Members that may stand for election.
    stand: &'static [usize],
    /// The only member whose disk may be emptied.
    loser: Option<usize>,
    /// Those of `stand` take turns, the first one in term 2.
    turns: bool,
    /// The first two members do not hear each other.
    cut: bool,
    /// The most entries in a message.
    most_entries: usize,
    /// Begins when the first member leads.
    led: bool,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            flaw: Flaw::None,
            founding: false,
            half: false,
            pre_votes: false,
            pulls: false,
            terms: 2,
            proposals: 1,
            crashes: 0,
            empties: 0,
            changes: 0,
            compactions: 0,
            beats: 0,
            stand: &[0, 1, 2],
            loser: None,
            turns: false,
            cut: false,
            most_entries: 4,
            led: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    /// Of all below, so that a state need not be gone through again to be told from others.
    digest: u64,
    store: u64,
    disk: Restored,
    group: Group,
    /// Digest of what was applied, and up to where.
    app: (Index, Term, u64),
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Arc<Node>>,
    /// All that was ever sent, by a digest of it.
    sent: BTreeMap<u64, Arc<(usize, usize, Message)>>,
    ledger: Ledger,
    wrong: Option<Wrong>,
    proposals: u8,
    crashes: u8,
    empties: u8,
    changes: u8,
    compactions: u8,
    beats: u8,
    /// Exploration has begun.
    led: bool,
}

impl Node {
    fn sum(&mut self) {
        self.digest = digest(&(self.store, &self.disk, &self.group, &self.app));
    }
}

fn digest(what: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.nodes.iter().for_each(|n| hasher.write_u64(n.digest));
        self.sent.keys().for_each(|k| hasher.write_u64(*k));
        (&self.ledger, &self.wrong).hash(hasher);
        let left = [
            self.proposals,
            self.crashes,
            self.empties,
            self.changes,
            self.compactions,
            self.beats,
        ];
        hasher.write(&left);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        digest(self) == digest(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Something happens at a member; with `lost`, it crashes before its write number `lost`.
    At(usize, What, Option<usize>),
    Crash(usize),
    Empty(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum What {
    Stand,
    Beat,
    Ask,
    Deliver(Arc<(usize, usize, Message)>),
    Propose,
    Change,
    Compact,
}

fn settings(most_entries: usize) -> Settings {
    Settings {
        election_us: 0,
        heartbeat_us: 0,
        pull_us: 0,
        most_entries_per_message: most_entries,
        snapshot_after: 1,
        ..Settings::default()
    }
}

fn start(i: usize, store: u64, disk: &Restored, most_entries: usize) -> Group {
    let voters = (0..3).map(name).collect();
    Group::new(
        VoterId {
            name: name(i),
            store,
        },
        &voters,
        settings(most_entries),
        0,
        disk.clone(),
        0,
    )
}

impl State {
    /// Leaves out messages that can change nothing any more: answers of earlier terms, and what earlier terms ask of
    /// a member if the asker already knows a term as late. (A crash may forget a term; only used after the last one.)
    fn forget_the_past(&mut self) {
        let terms: Vec<Term> = self.nodes.iter().map(|n| n.group.term()).collect();
        self.sent.retain(|_, sent| {
            let (from, to, message) = &**sent;
            let late = message.term >= terms[*to];
            match &message.body {
                Body::Voted { pre: false, .. } | Body::Appended(_) => late,
                Body::Vote { pre: false, .. } | Body::Append { .. } | Body::Install(_) => {
                    late || terms[*from] < terms[*to]
                }
                _ => true,
            }
        });
    }
}

impl Scenario {
    fn may_stand(&self, i: usize, term: Term) -> bool {
        let turn = !self.turns || self.stand.get(term.0.saturating_sub(1) as usize) == Some(&i);
        term.0 < self.terms && self.stand.contains(&i) && turn
    }

    /// The first member is elected, and all have its first entry, committed.
    fn lead_first(&self, state: &mut State) {
        self.act(state, 0, What::Stand, None);
        while let Some((_, sent)) = state.sent.pop_first() {
            self.act(state, sent.1, What::Deliver(sent), None);
        }
    }

    fn events(&self, state: &State, i: usize, what: &What) -> Vec<Event> {
        let node = &state.nodes[i];
        match what {
            What::Beat | What::Ask => vec![Event::Tick],
            What::Stand if self.pre_votes => vec![Event::Tick],
            What::Stand => {
                let voted = |j: usize| {
                    let vote_term = Term(node.group.term().0 + 1);
                    let body = Body::Voted {
                        pre: true,
                        vote_term,
                        granted: true,
                    };
                    let (store, term) = (state.nodes[j].store, node.group.term());
                    let message = Message {
                        store,
                        to_store: node.store,
                        founded: true,
                        term,
                        body,
                    };
                    Event::Message {
                        from: name(j),
                        message,
                    }
                };
                let others = (0..3).filter(|j| *j != i).map(voted);
                [Event::Tick].into_iter().chain(others).collect()
            }
            What::Deliver(sent) => {
                let (from, _, mut message) = (**sent).clone();
                match &mut message.body {
                    Body::Vote {
                        last, last_term, ..
                    } if self.flaw == Flaw::AnyLogWins => {
                        (*last, *last_term) = (Index(99), Term(99));
                    }
                    Body::Append {
                        before,
                        before_term,
                        ..
                    } if self.flaw == Flaw::AnyEntryBefore => {
                        let have = node.group.entries().iter().find(|e| e.index == *before);
                        *before_term = have.map_or(*before_term, |e| e.term);
                    }
                    Body::Pledge { granted } if self.flaw == Flaw::PledgesAnew => *granted = true,
                    _ => {}
                }
                vec![Event::Message {
                    from: name(from),
                    message,
                }]
            }
            What::Propose => vec![Event::Propose {
                payload: vec![state.proposals],
            }],
            What::Change => {
                let wanted = if state.changes == self.changes {
                    vec![0, 1]
                } else {
                    vec![0, 1, 2]
                };
                vec![Event::ChangeVoters(wanted.into_iter().map(name).collect())]
            }
            What::Compact => {
                let (index, term, digest) = node.app;
                let data = [index.0, term.0, digest]
                    .iter()
                    .flat_map(|n| n.to_le_bytes())
                    .collect();
                vec![Event::Compact { index, data }]
            }
        }
    }

    fn carry_out(
        &self,
        state: &mut State,
        i: usize,
        actions: Vec<Action>,
        lost: Option<usize>,
    ) -> bool {
        let mut writes = 0;
        for action in actions {
            match action {
                Action::Persist(write) => {
                    if lost == Some(writes) {
                        return true;
                    }
                    writes += 1;
                    match write {
                        Write::Hard(hard) if self.flaw == Flaw::VotesUnwritten => {
                            let hard = HardState {
                                voted: None,
                                ..hard
                            };
                            Arc::make_mut(&mut state.nodes[i])
                                .disk
                                .write(Write::Hard(hard));
                        }
                        Write::Entries { .. } if self.flaw == Flaw::EntriesUnwritten => {}
                        write => Arc::make_mut(&mut state.nodes[i]).disk.write(write),
                    }
                }
                Action::Send { to, message } => {
                    let skipped = match &message.body {
                        Body::Pull { .. } | Body::Pulled { .. } | Body::PulledPart(_) => {
                            !self.pulls
                        }
                        Body::Vote { pre, .. } | Body::Voted { pre, .. } => *pre && !self.pre_votes,
                        _ => false,
                    };
                    if let Some(to) = (0..3).find(|j| name(*j) == to)
                        && !skipped
                        && !(self.cut && state.led && i + to == 1)
                    {
                        let sent = (i, to, message);
                        state.sent.insert(digest(&sent), Arc::new(sent));
                    }
                }
                Action::Apply(entry) => {
                    let digest =
                        xxh3_64_with_seed(format!("{entry:?}").as_bytes(), state.nodes[i].app.2);
                    Arc::make_mut(&mut state.nodes[i]).app = (entry.index, entry.term, digest);
                    self.applied(state, i);
                }
                Action::Restore(snapshot) => {
                    let n = |k: usize| {
                        u64::from_le_bytes(snapshot.data[k * 8..k * 8 + 8].try_into().unwrap())
                    };
                    Arc::make_mut(&mut state.nodes[i]).app = (Index(n(0)), Term(n(1)), n(2));
                    self.applied(state, i);
                }
                Action::Leading(..) | Action::Refused(_) => {}
            }
        }
        false
    }

    fn applied(&self, state: &mut State, i: usize) {
        let (index, term, digest) = state.nodes[i].app;
        let in_term = state.nodes[i].group.term();
        let checked = state.ledger.applies(index, term, digest, in_term);
        state.wrong = state.wrong.take().or(checked.err());
    }

    fn restart(&self, state: &mut State, i: usize) {
        let node = Arc::make_mut(&mut state.nodes[i]);
        node.group = start(i, node.store, &node.disk, self.most_entries);
        node.app = (Index(0), Term(0), 0);
        node.sum();
    }

    /// As a leader would that counts copies of entries of any term.
    fn commit_by_count(&self, state: &mut State, i: usize) {
        let node = &state.nodes[i];
        if node.group.role() != Role::Leader {
            return;
        }
        let mut digest = 0;
        for entry in node.group.entries() {
            digest = xxh3_64_with_seed(format!("{entry:?}").as_bytes(), digest);
            let copies = state
                .nodes
                .iter()
                .filter(|n| n.disk.entries.contains(entry))
                .count();
            if copies < 2 {
                break;
            }
            let checked = state
                .ledger
                .applies(entry.index, entry.term, digest, node.group.term());
            state.wrong = state.wrong.take().or(checked.err());
        }
    }

    fn act(&self, state: &mut State, i: usize, what: What, lost: Option<usize>) {
        match what {
            What::Propose => state.proposals -= 1,
            What::Change => state.changes -= 1,
            What::Compact => state.compactions -= 1,
            What::Beat => state.beats -= 1,
            _ => {}
        }
        let mut actions = Vec::new();
        for event in self.events(state, i, &what) {
            let group = &mut Arc::make_mut(&mut state.nodes[i]).group;
            group.handle(0, event, &mut actions);
            let checked = state.ledger.leads(group);
            state.wrong = state.wrong.take().or(checked.err());
        }
        if self.carry_out(state, i, actions, lost) {
            state.crashes -= 1;
            self.restart(state, i);
        }
        Arc::make_mut(&mut state.nodes[i]).sum();
        if self.flaw == Flaw::CommitsOldTerms {
            self.commit_by_count(state, i);
        }
        if state.crashes == 0 {
            state.forget_the_past();
        }
        for j in 0..3 {
            let (a, b) = (&state.nodes[i].group, &state.nodes[j].group);
            let checked = logs_match(a.entries(), b.entries());
            state.wrong = state.wrong.take().or(checked.err());
        }
    }
}

impl Model for Scenario {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let voters: BTreeSet<VoterId> = (0..3)
            .map(|i| VoterId {
                name: name(i),
                store: i as u64 + 1,
            })
            .collect();
        let wanted = (0..3).map(name).collect();
        let founded = Voters {
            wanted,
            now: voters.clone(),
            founders: voters,
        };
        let nodes = (0..3)
            .map(|i| {
                let others = (0..3).filter(|j| *j != i);
                let pledges: BTreeMap<_, _> = others.map(|j| (name(j), j as u64 + 1)).collect();
                let hard = HardState {
                    founded: Some(founded.clone()),
                    pledges,
                    ..HardState::default()
                };
                let hard = match (self.founding, self.half) {
                    (false, _) => hard,
                    (true, true) => HardState {
                        founded: hard.founded.filter(|_| i < 2),
                        ..hard
                    },
                    (true, false) => HardState::default(),
                };
                let disk = Restored {
                    hard,
                    ..Restored::default()
                };
                let store = i as u64 + 1;
                let (group, app) = (
                    start(i, store, &disk, self.most_entries),
                    (Index(0), Term(0), 0),
                );
                let mut node = Node {
                    digest: 0,
                    store,
                    group,
                    disk,
                    app,
                };
                node.sum();
                Arc::new(node)
            })
            .collect();
        let mut state = State {
            nodes,
            sent: BTreeMap::new(),
            ledger: Ledger::default(),
            wrong: None,
            proposals: self.proposals,
            crashes: self.crashes,
            empties: self.empties,
            changes: self.changes,
            compactions: self.compactions,
            beats: self.beats,
            led: false,
        };
        if self.led {
            self.lead_first(&mut state);
        }
        if self.half {
            // The second member's vote made the first one lead; all else it sent got lost.
            self.act(&mut state, 0, What::Stand, None);
            while state.nodes[0].group.role() != Role::Leader {
                let Some((_, sent)) = state.sent.pop_first() else {
                    break;
                };
                if sent.0 + sent.1 == 1 {
                    let to = sent.1;
                    self.act(&mut state, to, What::Deliver(sent), None);
                }
            }
            state.sent.clear();
        }
        if self.founding {
            // All have asked each other for pledges; when that is heard is open.
            (0..3)
                .filter(|i| !self.half || *i == 2)
                .for_each(|i| self.act(&mut state, i, What::Ask, None));
        }
        state.led = true;
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.wrong.is_some() {
            return;
        }
        let mut whats: Vec<(usize, What)> = Vec::new();
        for (i, node) in state.nodes.iter().enumerate() {
            let role = node.group.role();
            match role {
                Role::Leader => {
                    whats.extend((state.beats > 0).then_some((i, What::Beat)));
                    whats.extend((state.proposals > 0).then_some((i, What::Propose)));
                    whats.extend((state.changes > 0).then_some((i, What::Change)));
                }
                Role::Learner => whats.push((i, What::Ask)),
                _ if self.may_stand(i, node.group.term()) => whats.push((i, What::Stand)),
                _ => {}
            }
            if state.compactions > 0 && node.group.wants_snapshot() {
                whats.push((i, What::Compact));
            }
            steps.extend((state.crashes > 0).then_some(Step::Crash(i)));
            let empties = state.empties > 0 && self.loser.is_none_or(|l| l == i);
            steps.extend(empties.then_some(Step::Empty(i)));
        }
        whats.extend(
            state
                .sent
                .values()
                .map(|m| (m.1, What::Deliver(Arc::clone(m)))),
        );
        for (i, what) in whats {
            if state.crashes > 0 {
                let mut actions = Vec::new();
                let mut group = state.nodes[i].group.clone();
                self.events(state, i, &what)
                    .into_iter()
                    .for_each(|e| group.handle(0, e, &mut actions));
                let writes = actions
                    .iter()
                    .filter(|a| matches!(a, Action::Persist(_)))
                    .count();
                steps.extend((0..writes).map(|lost| Step::At(i, what.clone(), Some(lost))));
            }
            steps.push(Step::At(i, what, None));
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::At(i, what, lost) => self.act(&mut state, i, what, lost),
            Step::Crash(i) => {
                state.crashes -= 1;
                self.restart(&mut state, i);
            }
            Step::Empty(i) => {
                state.empties -= 1;
                let node = Arc::make_mut(&mut state.nodes[i]);
                let founded = std::mem::take(&mut node.disk).hard.founded;
                if self.flaw == Flaw::EmptiedRemembers {
                    node.disk.hard.founded = founded;
                } else {
                    node.store += 10;
                }
                self.restart(&mut state, i);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn data(state: &State) -> bool {
            let data = |e: &whinhaven::fleet::raft::Entry| matches!(e.payload, Payload::Data(_));
            state.nodes.iter().any(|n| {
                n.group
                    .entries()
                    .iter()
                    .any(|e| data(e) && e.index <= n.group.commit())
            })
        }
        let mut all = vec![
            Property::<Self>::always("election safety", |_, s| {
                !matches!(s.wrong, Some(Wrong::Election(..)))
            }),
            Property::<Self>::always("leader completeness", |_, s| {
                !matches!(s.wrong, Some(Wrong::Completeness(..)))
            }),
            Property::<Self>::always("state machine safety", |_, s| {
                !matches!(s.wrong, Some(Wrong::StateMachine(_)))
            }),
            Property::<Self>::always("log matching", |_, s| {
                !matches!(s.wrong, Some(Wrong::Logs(_)))
            }),
            // On a majority of the disks, of which `empties` may be lost since.
            Property::<Self>::always("committed is kept", |m, s| {
                let lost = usize::from(m.empties - s.empties) + usize::from(m.changes > 0);
                s.ledger.applied.iter().all(|(index, (term, ..))| {
                    let has = |n: &&Arc<Node>| {
                        n.disk.snapshot.as_ref().is_some_and(|p| p.index >= *index)
                            || n.disk
                                .entries
                                .iter()
                                .any(|e| (e.index, e.term) == (*index, *term))
                    };
                    s.nodes.iter().filter(has).count() + lost >= 2
                })
            }),
            Property::<Self>::sometimes("a leader is elected", |_, s| !s.ledger.leaders.is_empty()),
        ];
        if self.founding {
            all.push(Property::<Self>::sometimes("one founds", |_, s| {
                s.nodes.iter().any(|n| n.disk.hard.founded.is_some())
            }));
        }
        if self.changes > 1 {
            all.push(Property::<Self>::sometimes(
                "an emptied voter votes again",
                |_, s| {
                    s.nodes
                        .iter()
                        .any(|n| n.store > 10 && n.group.role() == Role::Follower)
                },
            ));
        }
        if self.proposals > 0 {
            all.push(Property::<Self>::sometimes("an entry commits", |_, s| {
                data(s)
            }));
        }
        all
    }
}

/// Checks a scenario, up to a number of states; says how far it came.
fn check(what: &str, scenario: Scenario, most: usize, when: HasDiscoveries) -> Vec<&'static str> {
    let began = Instant::now();
    let threads = std::thread::available_parallelism()
        .map_or(1, |n| n.get())
        .min(3);
    let checker = scenario
        .checker()
        .threads(threads)
        .target_state_count(most)
        .finish_when(when);
    let checker = checker.spawn_bfs().join();
    let mut found: Vec<&str> = checker.discoveries().into_keys().collect();
    found.sort_unstable();
    let done = match found.iter().any(|f| !LIVE.contains(f)) {
        true => "up to the first failure",
        false if checker.state_count() < most => "all",
        false => "cut off there",
    };
    println!(
        "{what}: {} states ({done}), depth {}, {:.1} s: {found:?}",
        checker.unique_state_count(),
        checker.max_depth(),
        began.elapsed().as_secs_f64()
    );
    if std::env::var_os("GROUP_PATHS").is_some() {
        for (name, path) in checker.discoveries() {
            println!("{name}: {:#?}", path.into_actions());
        }
    }
    found
}

/// These shall be found.
const LIVE: [&str; 4] = [
    "a leader is elected",
    "an entry commits",
    "an emptied voter votes again",
    "one founds",
];

/// What the paper's figure 8 needs: c1 and c2, which do not hear each other, lead by turns.
fn old_terms() -> Scenario {
    Scenario {
        terms: 4,
        stand: &[1, 0, 1],
        turns: true,
        cut: true,
        most_entries: 1,
        ..Scenario::default()
    }
}

fn founding() -> Scenario {
    Scenario {
        founding: true,
        led: false,
        empties: 1,
        loser: Some(2),
        terms: 1,
        proposals: 0,
        ..Scenario::default()
    }
}

/// The second voter loses its disk after it has founded, the third has not founded yet.
fn half_founded() -> Scenario {
    Scenario {
        half: true,
        loser: Some(1),
        stand: &[2],
        ..founding()
    }
}

/// The third voter loses its disk, is taken out, pulls, and is put in again.
fn replaced() -> Scenario {
    Scenario {
        empties: 1,
        loser: Some(2),
        changes: 2,
        pulls: true,
        terms: 1,
        proposals: 0,
        ..Scenario::default()
    }
}

fn holds(what: &str, seen: &str, scenario: Scenario, most: usize) {
    let found = check(what, scenario, most, HasDiscoveries::AnyFailures);
    assert!(
        found.iter().all(|f| LIVE.contains(f)) && found.contains(&seen),
        "{found:?}"
    );
}

#[rstest]
#[case::elections("elections", "a leader is elected", 100_000, Scenario {
    terms: 1, proposals: 0, led: false, ..Scenario::default()
})]
#[case::old_terms("an old term's entry", "an entry commits", 100_000, old_terms())]
#[case::entry("an entry and a second leader", "an entry commits", 15_000, Scenario {
    stand: &[1], ..Scenario::default()
})]
#[case::crash("a crash", "an entry commits", 10_000, Scenario {
    crashes: 1, stand: &[1], ..Scenario::default()
})]
#[case::founding("founding, a disk emptied", "one founds", 15_000, Scenario { stand: &[0], ..founding() })]
#[case::half("a founder is emptied", "a leader is elected", 100_000, half_founded())]
#[case::changes(
    "an emptied voter is replaced",
    "a leader is elected",
    15_000,
    replaced()
)]
fn small_bounds_hold(
    #[case] what: &str,
    #[case] seen: &str,
    #[case] most: usize,
    #[case] scenario: Scenario,
) {
    holds(what, seen, scenario, most);
}

#[rstest]
#[case::entry("an entry and a second leader", "an entry commits", Scenario {
    stand: &[1], ..Scenario::default()
})]
#[case::founding("founding, a disk emptied", "one founds", Scenario { stand: &[0], ..founding() })]
#[case::half("a founder is emptied, with heartbeats and an entry", "an entry commits", Scenario {
    beats: 1, proposals: 1, ..half_founded()
})]
#[case::founding_all("founding, a disk emptied, all stand", "one founds", Scenario {
    crashes: 1, ..founding()
})]
#[case::replaced("an emptied voter is replaced", "a leader is elected", replaced())]
#[case::crash("a crash", "an entry commits", Scenario { crashes: 1, stand: &[1], ..Scenario::default() })]
#[case::emptied("an emptied disk", "an entry commits", Scenario {
    empties: 1, stand: &[1, 2], ..Scenario::default()
})]
#[case::snapshots("snapshots", "an entry commits", Scenario {
    compactions: 1, stand: &[1], ..Scenario::default()
})]
#[case::beats("heartbeats", "an entry commits", Scenario { beats: 2, stand: &[1], ..Scenario::default() })]
#[case::pre_votes("elections with pre-votes", "a leader is elected", Scenario {
    terms: 1, proposals: 0, led: false, pre_votes: true, stand: &[0, 1], ..Scenario::default()
})]
#[case::elections("elections in two terms", "a leader is elected", Scenario {
    terms: 2, proposals: 0, led: false, ..Scenario::default()
})]
#[case::entries("entries in three terms", "an entry commits", Scenario {
    terms: 3, proposals: 2, ..Scenario::default()
})]
#[ignore = "larger bounds, by hand"]
fn larger_bounds_hold(#[case] what: &str, #[case] seen: &str, #[case] scenario: Scenario) {
    let most = std::env::var("GROUP_STATES")
        .ok()
        .and_then(|n| n.parse().ok());
    holds(what, seen, scenario, most.unwrap_or(10_000_000));
}

/// Each property has a flaw that it catches.
#[rstest]
#[case::two_leaders("election safety", Scenario {
    flaw: Flaw::VotesUnwritten, crashes: 1, led: false, proposals: 0, terms: 1, stand: &[0, 1], ..Scenario::default()
})]
#[case::any_log("leader completeness", Scenario {
    flaw: Flaw::AnyLogWins, stand: &[1], ..Scenario::default()
})]
#[case::unwritten("committed is kept", Scenario { flaw: Flaw::EntriesUnwritten, ..Scenario::default() })]
#[case::any_entry("log matching", Scenario {
    flaw: Flaw::AnyEntryBefore, terms: 3, stand: &[1, 2], turns: true, cut: true, ..Scenario::default()
})]
#[case::old_terms("leader completeness", Scenario { flaw: Flaw::CommitsOldTerms, ..old_terms() })]
#[case::emptied("leader completeness", Scenario {
    flaw: Flaw::EmptiedRemembers, empties: 1, stand: &[2], ..Scenario::default()
})]
#[case::pledges("election safety", Scenario { flaw: Flaw::PledgesAnew, ..half_founded() })]
fn a_flaw_is_caught(#[case] property: &'static str, #[case] scenario: Scenario) {
    let what = format!("{:?}", scenario.flaw);
    let found = check(&what, scenario, 400_000, HasDiscoveries::AnyFailures);
    assert!(found.contains(&property), "{found:?}");
}
