//! The Raft state machine under a model checker: three voters, every order of a few events.
//!
//! The network keeps whatever was sent and may deliver it at any time, again and again or never: loss, duplication and
//! reordering in one. Durations are zero, so that an election or a heartbeat may come at any time. A crash restarts a
//! member from its disk at once (being down is the same as not being delivered to), with all writes or without the
//! last ones. Pre-votes may be forged: safety must not hang on them.
//!
//! Larger bounds by hand: `cargo test --release -p whinhaven-lab --test model_group -- --ignored --nocapture`.

mod group;

use group::{Ledger, Violation, logs_match, name};
use rstest::rstest;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;
use whinhaven::fleet::raft::{
    Action, Config, EntryPayload, Event, HardState, Message, MessageBody, Raft, RestoredState,
    Role, StorageWrite, VoterConfig, VoterId,
};
use whinhaven::fleet::{Index, Term};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Input is broken on purpose, around the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// The vote is not written.
    VoteNotPersisted,
    /// Entries are acknowledged but not written.
    EntriesNotPersisted,
    /// VoterConfig do not look at how far the candidate's log goes.
    IgnoresCandidateLog,
    /// Followers take entries whatever comes before them.
    IgnoresPrevEntry,
    /// A leader takes an entry of an older term for committed when a majority has it.
    CommitsEntriesOfOldTerms,
    /// A voter with an emptied disk goes on under its old number, as one that has bootstrapped.
    WipedVoterKeepsIdentity,
    /// Members grant their bootstrap vote for a name again, to any store.
    RepeatsBootstrapVote,
}

/// A scenario: which inputs may occur, and how often.
#[derive(Clone, Debug)]
struct Scenario {
    flaw: Flaw,
    /// The members start from empty disks instead of bootstrapped ones.
    bootstrap: bool,
    /// With `bootstrap`: the first two have bootstrapped already and the first leads by the second's vote; the third has
    /// only pledged.
    partial_bootstrap: bool,
    /// Elections go through their pre-votes.
    pre_votes: bool,
    /// Learners' messages travel too.
    pulls: bool,
    terms: u64,
    proposals: u8,
    crashes: u8,
    disk_wipes: u8,
    /// Changes of voters that the leader is asked for: without the third member, with it.
    changes: u8,
    compactions: u8,
    /// Leaders' heartbeats, else only messages that follow from something.
    heartbeats: u8,
    /// Members that may stand for election.
    stand: &'static [usize],
    /// The only member whose disk may be emptied.
    wiped_member: Option<usize>,
    /// Those of `stand` take turns, the first one in term 2.
    turns: bool,
    /// The first two members do not hear each other.
    is_partitioned: bool,
    /// The most entries in a message.
    max_entries: usize,
    /// Begins when the first member leads.
    is_led: bool,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            flaw: Flaw::None,
            bootstrap: false,
            partial_bootstrap: false,
            pre_votes: false,
            pulls: false,
            terms: 2,
            proposals: 1,
            crashes: 0,
            disk_wipes: 0,
            changes: 0,
            compactions: 0,
            heartbeats: 0,
            stand: &[0, 1, 2],
            wiped_member: None,
            turns: false,
            is_partitioned: false,
            max_entries: 4,
            is_led: true,
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    /// Digest of the fields below, to compare states cheaply.
    digest: u64,
    store: u64,
    disk: RestoredState,
    raft: Raft,
    /// Digest of what was applied, and up to where.
    app: (Index, Term, u64),
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Arc<Node>>,
    /// All that was ever sent, by a digest of it.
    sent: BTreeMap<u64, Arc<(usize, usize, Message)>>,
    ledger: Ledger,
    violation: Option<Violation>,
    proposals: u8,
    crashes: u8,
    disk_wipes: u8,
    changes: u8,
    compactions: u8,
    heartbeats: u8,
    /// Exploration has begun.
    is_led: bool,
}

impl Node {
    fn sum(&mut self) {
        self.digest = digest(&(self.store, &self.disk, &self.raft, &self.app));
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
        (&self.ledger, &self.violation).hash(hasher);
        let left = [
            self.proposals,
            self.crashes,
            self.disk_wipes,
            self.changes,
            self.compactions,
            self.heartbeats,
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
    At(usize, Input, Option<usize>),
    Crash(usize),
    Empty(usize),
}

#[derive(Clone, Debug, PartialEq)]
enum Input {
    Campaign,
    Heartbeat,
    Pull,
    Deliver(Arc<(usize, usize, Message)>),
    Propose,
    ChangeVoters,
    Compact,
}

fn settings(max_entries: usize) -> Config {
    Config {
        election_timeout_us: 0,
        heartbeat_interval_us: 0,
        pull_interval_us: 0,
        max_entries_per_message: max_entries,
        compact_after_entries: 1,
        ..Config::default()
    }
}

fn start(i: usize, store: u64, disk: &RestoredState, max_entries: usize) -> Raft {
    let voters = (0..3).map(name).collect();
    Raft::new(
        VoterId {
            name: name(i),
            store,
        },
        &voters,
        settings(max_entries),
        0,
        disk.clone(),
        0,
    )
}

impl State {
    /// Leaves out messages that can change nothing any more: answers of earlier terms, and what earlier terms ask of
    /// a member if the asker already knows a term as late. (A crash may forget a term; only used after the last one.)
    fn drop_obsolete_messages(&mut self) {
        let terms: Vec<Term> = self.nodes.iter().map(|n| n.raft.term()).collect();
        self.sent.retain(|_, sent| {
            let (from, to, message) = &**sent;
            let late = message.term >= terms[*to];
            match &message.body {
                MessageBody::VoteResponse {
                    pre_vote: false, ..
                }
                | MessageBody::AppendResponse(_) => late,
                MessageBody::VoteRequest {
                    pre_vote: false, ..
                }
                | MessageBody::AppendEntries { .. }
                | MessageBody::InstallSnapshot(_) => late || terms[*from] < terms[*to],
                _ => true,
            }
        });
    }
}

impl Scenario {
    fn may_campaign(&self, i: usize, term: Term) -> bool {
        let turn = !self.turns || self.stand.get(term.0.saturating_sub(1) as usize) == Some(&i);
        term.0 < self.terms && self.stand.contains(&i) && turn
    }

    /// The first member is elected, and all have its first entry, committed.
    fn elect_first_member(&self, state: &mut State) {
        self.act(state, 0, Input::Campaign, None);
        while let Some((_, sent)) = state.sent.pop_first() {
            self.act(state, sent.1, Input::Deliver(sent), None);
        }
    }

    fn events(&self, state: &State, i: usize, what: &Input) -> Vec<Event> {
        let node = &state.nodes[i];
        match what {
            Input::Heartbeat | Input::Pull => vec![Event::Tick],
            Input::Campaign if self.pre_votes => vec![Event::Tick],
            Input::Campaign => {
                let voted = |j: usize| {
                    let vote_term = Term(node.raft.term().0 + 1);
                    let body = MessageBody::VoteResponse {
                        pre_vote: true,
                        vote_term,
                        granted: true,
                    };
                    let (store, term) = (state.nodes[j].store, node.raft.term());
                    let message = Message {
                        from_store: store,
                        to_store: node.store,
                        bootstrapped: true,
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
            Input::Deliver(sent) => {
                let (from, _, mut message) = (**sent).clone();
                match &mut message.body {
                    MessageBody::VoteRequest {
                        last_index,
                        last_term,
                        ..
                    } if self.flaw == Flaw::IgnoresCandidateLog => {
                        (*last_index, *last_term) = (Index(99), Term(99));
                    }
                    MessageBody::AppendEntries {
                        prev_index,
                        prev_term,
                        ..
                    } if self.flaw == Flaw::IgnoresPrevEntry => {
                        let have = node.raft.entries().iter().find(|e| e.index == *prev_index);
                        *prev_term = have.map_or(*prev_term, |e| e.term);
                    }
                    MessageBody::BootstrapVoteResponse { granted }
                        if self.flaw == Flaw::RepeatsBootstrapVote =>
                    {
                        *granted = true;
                    }
                    _ => {}
                }
                vec![Event::Message {
                    from: name(from),
                    message,
                }]
            }
            Input::Propose => vec![Event::Propose {
                payload: vec![state.proposals],
            }],
            Input::ChangeVoters => {
                let wanted = if state.changes == self.changes {
                    vec![0, 1]
                } else {
                    vec![0, 1, 2]
                };
                vec![Event::ChangeVoters(wanted.into_iter().map(name).collect())]
            }
            Input::Compact => {
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
                        StorageWrite::HardState(hard) if self.flaw == Flaw::VoteNotPersisted => {
                            let hard = HardState {
                                voted_for: None,
                                ..hard
                            };
                            Arc::make_mut(&mut state.nodes[i])
                                .disk
                                .apply(StorageWrite::HardState(hard));
                        }
                        StorageWrite::Entries { .. } if self.flaw == Flaw::EntriesNotPersisted => {}
                        write => Arc::make_mut(&mut state.nodes[i]).disk.apply(write),
                    }
                }
                Action::Send { to, message } => {
                    let skipped = match &message.body {
                        MessageBody::PullRequest { .. }
                        | MessageBody::PullResponse { .. }
                        | MessageBody::PullSnapshot(_) => !self.pulls,
                        MessageBody::VoteRequest { pre_vote, .. }
                        | MessageBody::VoteResponse { pre_vote, .. } => {
                            *pre_vote && !self.pre_votes
                        }
                        _ => false,
                    };
                    if let Some(to) = (0..3).find(|j| name(*j) == to)
                        && !skipped
                        && !(self.is_partitioned && state.is_led && i + to == 1)
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
                Action::LeaderChanged(..) | Action::Rejected(_) => {}
            }
        }
        false
    }

    fn applied(&self, state: &mut State, i: usize) {
        let (index, term, digest) = state.nodes[i].app;
        let in_term = state.nodes[i].raft.term();
        let checked = state.ledger.applies(index, term, digest, in_term);
        state.violation = state.violation.take().or(checked.err());
    }

    fn restart(&self, state: &mut State, i: usize) {
        let node = Arc::make_mut(&mut state.nodes[i]);
        node.raft = start(i, node.store, &node.disk, self.max_entries);
        node.app = (Index(0), Term(0), 0);
        node.sum();
    }

    /// As a leader would that counts copies of entries of any term.
    fn commit_by_count(&self, state: &mut State, i: usize) {
        let node = &state.nodes[i];
        if node.raft.role() != Role::Leader {
            return;
        }
        let mut digest = 0;
        for entry in node.raft.entries() {
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
                .applies(entry.index, entry.term, digest, node.raft.term());
            state.violation = state.violation.take().or(checked.err());
        }
    }

    fn act(&self, state: &mut State, i: usize, what: Input, lost: Option<usize>) {
        match what {
            Input::Propose => state.proposals -= 1,
            Input::ChangeVoters => state.changes -= 1,
            Input::Compact => state.compactions -= 1,
            Input::Heartbeat => state.heartbeats -= 1,
            _ => {}
        }
        let mut actions = Vec::new();
        for event in self.events(state, i, &what) {
            let raft = &mut Arc::make_mut(&mut state.nodes[i]).raft;
            raft.handle(0, event, &mut actions);
            let checked = state.ledger.leads(raft);
            state.violation = state.violation.take().or(checked.err());
        }
        if self.carry_out(state, i, actions, lost) {
            state.crashes -= 1;
            self.restart(state, i);
        }
        Arc::make_mut(&mut state.nodes[i]).sum();
        if self.flaw == Flaw::CommitsEntriesOfOldTerms {
            self.commit_by_count(state, i);
        }
        if state.crashes == 0 {
            state.drop_obsolete_messages();
        }
        for j in 0..3 {
            let (a, b) = (&state.nodes[i].raft, &state.nodes[j].raft);
            let checked = logs_match(a.entries(), b.entries());
            state.violation = state.violation.take().or(checked.err());
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
        let founded = VoterConfig {
            target: wanted,
            voters: voters.clone(),
            bootstrap_voters: voters,
        };
        let nodes = (0..3)
            .map(|i| {
                let others = (0..3).filter(|j| *j != i);
                let pledges: BTreeMap<_, _> = others.map(|j| (name(j), j as u64 + 1)).collect();
                let hard = HardState {
                    bootstrap_config: Some(founded.clone()),
                    bootstrap_votes: pledges,
                    ..HardState::default()
                };
                let hard = match (self.bootstrap, self.partial_bootstrap) {
                    (false, _) => hard,
                    (true, true) => HardState {
                        bootstrap_config: hard.bootstrap_config.filter(|_| i < 2),
                        ..hard
                    },
                    (true, false) => HardState::default(),
                };
                let disk = RestoredState {
                    hard_state: hard,
                    ..RestoredState::default()
                };
                let store = i as u64 + 1;
                let (raft, app) = (
                    start(i, store, &disk, self.max_entries),
                    (Index(0), Term(0), 0),
                );
                let mut node = Node {
                    digest: 0,
                    store,
                    raft,
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
            violation: None,
            proposals: self.proposals,
            crashes: self.crashes,
            disk_wipes: self.disk_wipes,
            changes: self.changes,
            compactions: self.compactions,
            heartbeats: self.heartbeats,
            is_led: false,
        };
        if self.is_led {
            self.elect_first_member(&mut state);
        }
        if self.partial_bootstrap {
            // The second member's vote made the first one lead; all else it sent got lost.
            self.act(&mut state, 0, Input::Campaign, None);
            while state.nodes[0].raft.role() != Role::Leader {
                let Some((_, sent)) = state.sent.pop_first() else {
                    break;
                };
                if sent.0 + sent.1 == 1 {
                    let to = sent.1;
                    self.act(&mut state, to, Input::Deliver(sent), None);
                }
            }
            state.sent.clear();
        }
        if self.bootstrap {
            // All have asked each other for pledges; when that is heard is open.
            (0..3)
                .filter(|i| !self.partial_bootstrap || *i == 2)
                .for_each(|i| self.act(&mut state, i, Input::Pull, None));
        }
        state.is_led = true;
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        let mut whats: Vec<(usize, Input)> = Vec::new();
        for (i, node) in state.nodes.iter().enumerate() {
            let role = node.raft.role();
            match role {
                Role::Leader => {
                    whats.extend((state.heartbeats > 0).then_some((i, Input::Heartbeat)));
                    whats.extend((state.proposals > 0).then_some((i, Input::Propose)));
                    whats.extend((state.changes > 0).then_some((i, Input::ChangeVoters)));
                }
                Role::Learner => whats.push((i, Input::Pull)),
                _ if self.may_campaign(i, node.raft.term()) => whats.push((i, Input::Campaign)),
                _ => {}
            }
            if state.compactions > 0 && node.raft.should_compact() {
                whats.push((i, Input::Compact));
            }
            steps.extend((state.crashes > 0).then_some(Step::Crash(i)));
            let disk_wipes = state.disk_wipes > 0 && self.wiped_member.is_none_or(|l| l == i);
            steps.extend(disk_wipes.then_some(Step::Empty(i)));
        }
        whats.extend(
            state
                .sent
                .values()
                .map(|m| (m.1, Input::Deliver(Arc::clone(m)))),
        );
        for (i, what) in whats {
            if state.crashes > 0 {
                let mut actions = Vec::new();
                let mut raft = state.nodes[i].raft.clone();
                self.events(state, i, &what)
                    .into_iter()
                    .for_each(|e| raft.handle(0, e, &mut actions));
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
                state.disk_wipes -= 1;
                let node = Arc::make_mut(&mut state.nodes[i]);
                let founded = std::mem::take(&mut node.disk).hard_state.bootstrap_config;
                if self.flaw == Flaw::WipedVoterKeepsIdentity {
                    node.disk.hard_state.bootstrap_config = founded;
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
            let data =
                |e: &whinhaven::fleet::raft::LogEntry| matches!(e.payload, EntryPayload::Data(_));
            state.nodes.iter().any(|n| {
                n.raft
                    .entries()
                    .iter()
                    .any(|e| data(e) && e.index <= n.raft.commit_index())
            })
        }
        let mut all = vec![
            Property::<Self>::always("election safety", |_, s| {
                !matches!(s.violation, Some(Violation::ElectionSafety(..)))
            }),
            Property::<Self>::always("leader completeness", |_, s| {
                !matches!(s.violation, Some(Violation::LeaderCompleteness(..)))
            }),
            Property::<Self>::always("state machine safety", |_, s| {
                !matches!(s.violation, Some(Violation::StateMachineSafety(_)))
            }),
            Property::<Self>::always("log matching", |_, s| {
                !matches!(s.violation, Some(Violation::LogMatching(_)))
            }),
            // On a majority of the disks, of which `disk_wipes` may be lost since.
            Property::<Self>::always("durability", |m, s| {
                let lost = usize::from(m.disk_wipes - s.disk_wipes) + usize::from(m.changes > 0);
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
        if self.bootstrap {
            all.push(Property::<Self>::sometimes(
                "a member bootstraps",
                |_, s| {
                    s.nodes
                        .iter()
                        .any(|n| n.disk.hard_state.bootstrap_config.is_some())
                },
            ));
        }
        if self.changes > 1 {
            all.push(Property::<Self>::sometimes(
                "a wiped voter votes again",
                |_, s| {
                    s.nodes
                        .iter()
                        .any(|n| n.store > 10 && n.raft.role() == Role::Follower)
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
        .map_or(1, std::num::NonZero::get)
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

/// Reachability properties: an example has to be found.
const LIVE: [&str; 4] = [
    "a leader is elected",
    "an entry commits",
    "a wiped voter votes again",
    "a member bootstraps",
];

/// What figure 8 of the paper needs: c1 and c2, which do not hear each other, lead by turns.
fn old_terms() -> Scenario {
    Scenario {
        terms: 4,
        stand: &[1, 0, 1],
        turns: true,
        is_partitioned: true,
        max_entries: 1,
        ..Scenario::default()
    }
}

fn bootstrap() -> Scenario {
    Scenario {
        bootstrap: true,
        is_led: false,
        disk_wipes: 1,
        wiped_member: Some(2),
        terms: 1,
        proposals: 0,
        ..Scenario::default()
    }
}

/// The second voter loses its disk after it has founded, the third has not founded yet.
fn partly_bootstrapped() -> Scenario {
    Scenario {
        partial_bootstrap: true,
        wiped_member: Some(1),
        stand: &[2],
        ..bootstrap()
    }
}

/// The third voter loses its disk, is taken out, pulls, and is put in again.
fn replaced() -> Scenario {
    Scenario {
        disk_wipes: 1,
        wiped_member: Some(2),
        changes: 2,
        pulls: true,
        terms: 1,
        proposals: 0,
        ..Scenario::default()
    }
}

fn assert_holds(what: &str, seen: &str, scenario: Scenario, most: usize) {
    let found = check(what, scenario, most, HasDiscoveries::AnyFailures);
    assert!(
        found.iter().all(|f| LIVE.contains(f)) && found.contains(&seen),
        "{found:?}"
    );
}

#[rstest]
#[case::elections("elections", "a leader is elected", 100_000, Scenario {
    terms: 1, proposals: 0, is_led: false, ..Scenario::default()
})]
#[case::old_terms("an old term's entry", "an entry commits", 100_000, old_terms())]
#[case::entry("an entry and a second leader", "an entry commits", 15_000, Scenario {
    stand: &[1], ..Scenario::default()
})]
#[case::crash("a crash", "an entry commits", 10_000, Scenario {
    crashes: 1, stand: &[1], ..Scenario::default()
})]
#[case::bootstrap("bootstrap, a disk wiped", "a member bootstraps", 15_000, Scenario { stand: &[0], ..bootstrap() })]
#[case::partial_bootstrap(
    "a bootstrap voter is wiped",
    "a leader is elected",
    100_000,
    partly_bootstrapped()
)]
#[case::changes("a wiped voter is replaced", "a leader is elected", 15_000, replaced())]
fn invariants_hold_within_small_bounds(
    #[case] what: &str,
    #[case] seen: &str,
    #[case] most: usize,
    #[case] scenario: Scenario,
) {
    assert_holds(what, seen, scenario, most);
}

#[rstest]
#[case::entry("an entry and a second leader", "an entry commits", Scenario {
    stand: &[1], ..Scenario::default()
})]
#[case::bootstrap("bootstrap, a disk wiped", "a member bootstraps", Scenario { stand: &[0], ..bootstrap() })]
#[case::partial_bootstrap("a bootstrap voter is wiped, with heartbeats and an entry", "an entry commits", Scenario {
    heartbeats: 1, proposals: 1, ..partly_bootstrapped()
})]
#[case::bootstrap_all("bootstrap, a disk wiped, all stand", "a member bootstraps", Scenario {
    crashes: 1, ..bootstrap()
})]
#[case::replaced("a wiped voter is replaced", "a leader is elected", replaced())]
#[case::crash("a crash", "an entry commits", Scenario { crashes: 1, stand: &[1], ..Scenario::default() })]
#[case::emptied("a wiped disk", "an entry commits", Scenario {
    disk_wipes: 1, stand: &[1, 2], ..Scenario::default()
})]
#[case::snapshots("snapshots", "an entry commits", Scenario {
    compactions: 1, stand: &[1], ..Scenario::default()
})]
#[case::heartbeats("heartbeats", "an entry commits", Scenario { heartbeats: 2, stand: &[1], ..Scenario::default() })]
#[case::pre_votes("elections with pre-votes", "a leader is elected", Scenario {
    terms: 1, proposals: 0, is_led: false, pre_votes: true, stand: &[0, 1], ..Scenario::default()
})]
#[case::elections("elections in two terms", "a leader is elected", Scenario {
    terms: 2, proposals: 0, is_led: false, ..Scenario::default()
})]
#[case::entries("entries in three terms", "an entry commits", Scenario {
    terms: 3, proposals: 2, ..Scenario::default()
})]
#[ignore = "larger bounds, by hand"]
fn invariants_hold_within_larger_bounds(
    #[case] what: &str,
    #[case] seen: &str,
    #[case] scenario: Scenario,
) {
    let most = std::env::var("GROUP_STATES")
        .ok()
        .and_then(|n| n.parse().ok());
    assert_holds(what, seen, scenario, most.unwrap_or(10_000_000));
}

/// Each property has a flaw that it catches.
#[rstest]
#[case::two_leaders("election safety", Scenario {
    flaw: Flaw::VoteNotPersisted, crashes: 1, is_led: false, proposals: 0, terms: 1, stand: &[0, 1], ..Scenario::default()
})]
#[case::any_log("leader completeness", Scenario {
    flaw: Flaw::IgnoresCandidateLog, stand: &[1], ..Scenario::default()
})]
#[case::unwritten("durability", Scenario { flaw: Flaw::EntriesNotPersisted, ..Scenario::default() })]
#[case::any_entry("log matching", Scenario {
    flaw: Flaw::IgnoresPrevEntry, terms: 3, stand: &[1, 2], turns: true, is_partitioned: true, ..Scenario::default()
})]
#[case::old_terms("leader completeness", Scenario { flaw: Flaw::CommitsEntriesOfOldTerms, ..old_terms() })]
#[case::emptied("leader completeness", Scenario {
    flaw: Flaw::WipedVoterKeepsIdentity, disk_wipes: 1, stand: &[2], ..Scenario::default()
})]
#[case::repeated_bootstrap_vote("election safety", Scenario { flaw: Flaw::RepeatsBootstrapVote, ..partly_bootstrapped() })]
fn broken_protocol_violates_the_invariant(
    #[case] property: &'static str,
    #[case] scenario: Scenario,
) {
    let what = format!("{:?}", scenario.flaw);
    let found = check(&what, scenario, 400_000, HasDiscoveries::AnyFailures);
    assert!(found.contains(&property), "{found:?}");
}
