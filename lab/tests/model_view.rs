//! The very view that runs, in every order of messages: from any pattern of cuts, with loss, duplication, reordering, a
//! crash and a restart, the fleet settles.

use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use whinhaven::fleet::membership::{
    Action, Config, Event, LocalMember, Membership, Message, Status,
};
use whinhaven::fleet::{Incarnation, MemberName, SiteName};
use whinhaven::routing::types::Micros;
use whinhaven_lab::sim::views::{address, name};

const PERIOD_MS: u64 = 10;
/// How long the fair schedule may take from any state.
const SETTLES: Micros = 60 * PERIOD_MS * 1000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    views: Vec<Option<Membership>>,
    lives: Vec<u64>,
    /// What is on its way, encoded, and how often.
    network: BTreeMap<(usize, usize, Vec<u8>), u8>,
    crashes: u8,
    restarts: u8,
    duplicates: u8,
    /// A life or a refutation went back, or a datagram was too large.
    broke: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(usize, usize, Vec<u8>),
    Duplicate(usize, usize, Vec<u8>),
    /// Time passes to the next timer, and that member's ticks.
    Tick(usize),
    Crash(usize),
    Restart(usize),
}

struct Fleet {
    members: usize,
    /// For how many periods cuts last before the search begins.
    cut_periods: Vec<u64>,
    crashes: u8,
    duplicates: u8,
    /// A broken build: members never hear what is held of them.
    deaf: bool,
}

fn settings() -> Config {
    Config {
        period_ms: PERIOD_MS,
        probe_timeout_ms: 3,
        indirect_probes: 1,
        suspicion_multiplier: 1,
        suspicion_max_multiplier: 2,
        push_pull_ms: 0,
        reconnect_ms: PERIOD_MS,
        ..Config::default()
    }
}

fn node(member: &MemberName) -> usize {
    member.as_str()[1..].parse().expect("a node's name")
}

impl Fleet {
    fn event(&self, state: &mut State, at: usize, mut event: Event) {
        let now = state.now;
        let Some(view) = state.views[at].as_mut() else {
            return;
        };
        if let (true, Event::Message { message, .. }) = (self.deaf, &mut event) {
            message.updates.retain(|news| news.member != name(at));
        }
        let stands = |view: &Membership| -> BTreeMap<MemberName, (Incarnation, u32)> {
            view.members()
                .map(|peer| (peer.name.clone(), (peer.incarnation, peer.refutation)))
                .collect()
        };
        let before = stands(view);
        let mut actions = Vec::new();
        view.handle(now, event, &mut actions);
        let after = stands(view);
        state.broke |= before
            .iter()
            .any(|(name, stand)| after.get(name).is_none_or(|now| now < stand));
        for action in actions {
            if let Action::Send {
                to,
                message,
                reliable,
                ..
            } = action
            {
                let message = postcard::to_allocvec(&message).expect("encodes");
                state.broke |= !reliable && message.len() > settings().max_datagram_bytes;
                *state.network.entry((at, node(&to), message)).or_default() += 1;
            }
        }
    }

    fn arrives(&self, state: &mut State, from: usize, to: usize, message: &[u8]) {
        let message: Message = postcard::from_bytes(message).expect("decodes");
        self.event(
            state,
            to,
            Event::Message {
                from: name(from),
                message,
            },
        );
    }

    fn start(&self, state: &mut State, at: usize) {
        state.lives[at] += 1;
        let site = SiteName::try_from("here").expect("a plain name");
        let incarnation = Incarnation(state.lives[at]);
        let me = LocalMember {
            name: name(at),
            site,
            address: address(at),
            incarnation,
        };
        state.views[at] = Some(Membership::new(
            me,
            settings(),
            at as u64 + 7 * state.lives[at],
        ));
        let seeds = (0..self.members)
            .map(|node| (name(node), address(node)))
            .collect();
        self.event(state, at, Event::Join { seeds });
    }

    /// MemberInstance ticks next, and when.
    fn due(&self, state: &State) -> Option<(Micros, usize)> {
        let timeout = |at: usize| Some((state.views[at].as_ref()?.timeout()?.max(state.now), at));
        (0..self.members).filter_map(timeout).min()
    }

    /// One step of the fair schedule: what is on its way arrives, but over cut links, before time passes.
    fn fair(&self, state: &mut State, cuts: &BTreeSet<(usize, usize)>) {
        if let Some(((from, to, message), count)) = state.network.pop_first() {
            for _ in 0..count {
                if !cuts.contains(&(from, to)) {
                    self.arrives(state, from, to, &message);
                }
            }
        } else if let Some((at, node)) = self.due(state) {
            state.now = at;
            self.event(state, node, Event::Tick);
        }
    }

    fn agreed(&self, state: &State) -> bool {
        let holds = |view: &Membership, at: usize| {
            let held = view
                .member(&name(at))
                .map(|peer| (peer.status, peer.incarnation.0));
            match state.views[at] {
                Some(_) => held == Some((Status::Alive, state.lives[at])),
                None => held.is_none_or(|(status, _)| status > Status::Suspect),
            }
        };
        state
            .views
            .iter()
            .flatten()
            .all(|view| (0..self.members).all(|at| holds(view, at)))
    }

    fn settles(&self, state: &State, loses_all: bool) -> bool {
        let mut state = state.clone();
        if loses_all {
            state.network.clear();
        }
        let end = state.now + SETTLES;
        while state.now < end {
            if state.network.is_empty() && self.agreed(&state) {
                return true;
            }
            self.fair(&mut state, &BTreeSet::new());
        }
        false
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    /// All patterns of one-way cuts, for some periods each, out of a settled fleet.
    fn init_states(&self) -> Vec<State> {
        let n = self.members;
        let mut state = State {
            now: 0,
            views: vec![None; n],
            lives: vec![0; n],
            network: BTreeMap::new(),
            crashes: self.crashes,
            restarts: self.crashes,
            duplicates: self.duplicates,
            broke: false,
        };
        (0..n).for_each(|at| self.start(&mut state, at));
        while !self.agreed(&state) {
            self.fair(&mut state, &BTreeSet::new());
        }
        let links: Vec<_> = (0..n * n)
            .map(|link| (link / n, link % n))
            .filter(|(a, b)| a != b)
            .collect();
        let mut states: Vec<State> = Vec::new();
        for pattern in 0..1_u32 << links.len() {
            let cut = links
                .iter()
                .enumerate()
                .filter(|(bit, _)| pattern >> bit & 1 == 1);
            let cuts: BTreeSet<_> = cut.map(|(_, link)| *link).collect();
            for periods in &self.cut_periods {
                let mut cut_off = state.clone();
                let until = state.now + periods * PERIOD_MS * 1000;
                while cut_off.now < until {
                    self.fair(&mut cut_off, &cuts);
                }
                if !states.contains(&cut_off) {
                    states.push(cut_off);
                }
            }
        }
        states
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (from, to, message) in state.network.keys() {
            actions.push(Step::Deliver(*from, *to, message.clone()));
            if state.duplicates > 0 {
                actions.push(Step::Duplicate(*from, *to, message.clone()));
            }
        }
        actions.extend(self.due(state).map(|(_, node)| Step::Tick(node)));
        let runs = |at: &usize| state.views[*at].is_some();
        if state.crashes > 0 {
            actions.extend((0..self.members).filter(runs).map(Step::Crash));
        }
        if state.restarts > 0 {
            actions.extend((0..self.members).filter(|at| !runs(at)).map(Step::Restart));
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut state = state.clone();
        match step {
            Step::Deliver(from, to, message) => {
                let key = (from, to, message);
                let left = state.network.remove(&key).unwrap_or(1) - 1;
                if left > 0 {
                    state.network.insert(key.clone(), left);
                }
                self.arrives(&mut state, from, to, &key.2);
            }
            Step::Duplicate(from, to, message) => {
                state.duplicates -= 1;
                self.arrives(&mut state, from, to, &message);
            }
            Step::Tick(at) => {
                state.now = self.due(&state)?.0;
                self.event(&mut state, at, Event::Tick);
            }
            Step::Crash(at) => {
                state.crashes -= 1;
                state.views[at] = None;
            }
            Step::Restart(at) => {
                state.restarts -= 1;
                self.start(&mut state, at);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "settles when all on its way arrives",
                |fleet: &Fleet, state| fleet.settles(state, false),
            ),
            Property::always(
                "settles when all on its way is lost",
                |fleet: &Fleet, state| fleet.settles(state, true),
            ),
            Property::always("nothing goes back", |_, state: &State| !state.broke),
        ]
    }
}

fn check(fleet: Fleet, depth: usize) -> impl Checker<Fleet> {
    let begun = Instant::now();
    let starts = fleet.init_states().len();
    let members = fleet.members;
    let checker = fleet
        .checker()
        .threads(2)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    println!(
        "{members} members, from {starts} starts, {depth} deep: {} states, {} unique, {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        begun.elapsed()
    );
    checker
}

#[test]
fn three_views_settle_from_everywhere() {
    let fleet = Fleet {
        members: 3,
        cut_periods: vec![6],
        crashes: 1,
        duplicates: 1,
        deaf: false,
    };
    check(fleet, 5).assert_properties();
}

/// The search would see it: members that never hear what is held of them stay dead to the others.
#[test]
fn a_view_that_never_refutes_is_caught() {
    let fleet = Fleet {
        members: 3,
        cut_periods: vec![6],
        crashes: 0,
        duplicates: 0,
        deaf: true,
    };
    let checker = check(fleet, 2);
    assert!(
        checker
            .discovery("settles when all on its way is lost")
            .is_some()
    );
}

/// By hand, in a release build: `cargo test --release -p whinhaven-lab --test model_view -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn three_views_settle_from_further_away() {
    let fleet = Fleet {
        members: 3,
        cut_periods: vec![2, 4, 6, 8],
        crashes: 1,
        duplicates: 1,
        deaf: false,
    };
    check(fleet, 6).assert_properties();
}

/// By hand, as above.
#[test]
#[ignore = "minutes"]
fn four_views_settle() {
    let fleet = Fleet {
        members: 4,
        cut_periods: vec![8],
        crashes: 1,
        duplicates: 0,
        deaf: false,
    };
    check(fleet, 3).assert_properties();
}
