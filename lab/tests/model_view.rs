//! Model check of the membership protocol: from any pattern of one-way partitions, with loss, duplication, reordering,
//! a crash and a restart, members converge.

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
/// Upper bound of the time to convergence from any state.
const MAX_CONVERGENCE: Micros = 60 * PERIOD_MS * 1000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Micros,
    memberships: Vec<Option<Membership>>,
    incarnations: Vec<u64>,
    /// Messages in flight, encoded, with their number of copies.
    network: BTreeMap<(usize, usize, Vec<u8>), u8>,
    crashes: u8,
    restarts: u8,
    duplicates: u8,
    /// A version went back, or a datagram was too large.
    violated: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(usize, usize, Vec<u8>),
    Duplicate(usize, usize, Vec<u8>),
    /// Time passes to the next timer, which is that member's.
    Tick(usize),
    Crash(usize),
    Restart(usize),
}

struct Fleet {
    members: usize,
    /// How many periods partitions last before the search begins.
    partition_periods: Vec<u64>,
    crashes: u8,
    duplicates: u8,
    /// A faulty implementation: members drop updates about themselves.
    never_refutes: bool,
}

fn config() -> Config {
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
        let Some(membership) = state.memberships[at].as_mut() else {
            return;
        };
        if let (true, Event::Message { message, .. }) = (self.never_refutes, &mut event) {
            message.updates.retain(|news| news.member != name(at));
        }
        let versions = |membership: &Membership| -> BTreeMap<MemberName, (Incarnation, u32)> {
            membership
                .members()
                .map(|member| (member.name.clone(), (member.incarnation, member.refutation)))
                .collect()
        };
        let before = versions(membership);
        let mut actions = Vec::new();
        membership.handle(now, event, &mut actions);
        let after = versions(membership);
        state.violated |= before
            .iter()
            .any(|(name, version)| after.get(name).is_none_or(|now| now < version));
        for action in actions {
            if let Action::Send {
                to,
                message,
                reliable,
                ..
            } = action
            {
                let message = postcard::to_allocvec(&message).expect("encodes");
                state.violated |= !reliable && message.len() > config().max_datagram_bytes;
                *state.network.entry((at, node(&to), message)).or_default() += 1;
            }
        }
    }

    fn deliver(&self, state: &mut State, from: usize, to: usize, message: &[u8]) {
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
        state.incarnations[at] += 1;
        let site = SiteName::try_from("here").expect("a plain name");
        let incarnation = Incarnation(state.incarnations[at]);
        let local = LocalMember {
            name: name(at),
            site,
            address: address(at),
            incarnation,
        };
        state.memberships[at] = Some(Membership::new(
            local,
            config(),
            at as u64 + 7 * state.incarnations[at],
        ));
        let seeds = (0..self.members)
            .map(|node| (name(node), address(node)))
            .collect();
        self.event(state, at, Event::Join { seeds });
    }

    /// The member whose timer is next, and when.
    fn due(&self, state: &State) -> Option<(Micros, usize)> {
        let timeout = |at: usize| {
            Some((
                state.memberships[at].as_ref()?.timeout()?.max(state.now),
                at,
            ))
        };
        (0..self.members).filter_map(timeout).min()
    }

    /// One step of the fair schedule: messages in flight arrive, except over cut links, before time passes.
    fn step_fairly(&self, state: &mut State, cuts: &BTreeSet<(usize, usize)>) {
        if let Some(((from, to, message), count)) = state.network.pop_first() {
            for _ in 0..count {
                if !cuts.contains(&(from, to)) {
                    self.deliver(state, from, to, &message);
                }
            }
        } else if let Some((at, node)) = self.due(state) {
            state.now = at;
            self.event(state, node, Event::Tick);
        }
    }

    fn has_converged(&self, state: &State) -> bool {
        let holds = |membership: &Membership, at: usize| {
            let seen = membership
                .member(&name(at))
                .map(|member| (member.status, member.incarnation.0));
            match state.memberships[at] {
                Some(_) => seen == Some((Status::Alive, state.incarnations[at])),
                None => seen.is_none_or(|(status, _)| status > Status::Suspect),
            }
        };
        state
            .memberships
            .iter()
            .flatten()
            .all(|membership| (0..self.members).all(|at| holds(membership, at)))
    }

    fn converges(&self, state: &State, loses_all: bool) -> bool {
        let mut state = state.clone();
        if loses_all {
            state.network.clear();
        }
        let end = state.now + MAX_CONVERGENCE;
        while state.now < end {
            if state.network.is_empty() && self.has_converged(&state) {
                return true;
            }
            self.step_fairly(&mut state, &BTreeSet::new());
        }
        false
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    /// All patterns of one-way partitions of a converged fleet.
    fn init_states(&self) -> Vec<State> {
        let n = self.members;
        let mut state = State {
            now: 0,
            memberships: vec![None; n],
            incarnations: vec![0; n],
            network: BTreeMap::new(),
            crashes: self.crashes,
            restarts: self.crashes,
            duplicates: self.duplicates,
            violated: false,
        };
        (0..n).for_each(|at| self.start(&mut state, at));
        while !self.has_converged(&state) {
            self.step_fairly(&mut state, &BTreeSet::new());
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
            for periods in &self.partition_periods {
                let mut cut_off = state.clone();
                let until = state.now + periods * PERIOD_MS * 1000;
                while cut_off.now < until {
                    self.step_fairly(&mut cut_off, &cuts);
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
        let runs = |at: &usize| state.memberships[*at].is_some();
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
                self.deliver(&mut state, from, to, &key.2);
            }
            Step::Duplicate(from, to, message) => {
                state.duplicates -= 1;
                self.deliver(&mut state, from, to, &message);
            }
            Step::Tick(at) => {
                state.now = self.due(&state)?.0;
                self.event(&mut state, at, Event::Tick);
            }
            Step::Crash(at) => {
                state.crashes -= 1;
                state.memberships[at] = None;
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
                "converges when messages in flight arrive",
                |fleet: &Fleet, state| fleet.converges(state, false),
            ),
            Property::always(
                "converges when messages in flight are lost",
                |fleet: &Fleet, state| fleet.converges(state, true),
            ),
            Property::always("versions never go back", |_, state: &State| !state.violated),
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
fn three_members_converge() {
    let fleet = Fleet {
        members: 3,
        partition_periods: vec![6],
        crashes: 1,
        duplicates: 1,
        never_refutes: false,
    };
    check(fleet, 5).assert_properties();
}

/// The search detects a faulty implementation: members that never refute stay dead for the others.
#[test]
fn members_that_never_refute_do_not_converge() {
    let fleet = Fleet {
        members: 3,
        partition_periods: vec![6],
        crashes: 0,
        duplicates: 0,
        never_refutes: true,
    };
    let checker = check(fleet, 2);
    assert!(
        checker
            .discovery("converges when messages in flight are lost")
            .is_some()
    );
}

/// By hand, in a release build: `cargo test --release -p whinhaven-lab --test model_view -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn three_members_converge_after_longer_partitions() {
    let fleet = Fleet {
        members: 3,
        partition_periods: vec![2, 4, 6, 8],
        crashes: 1,
        duplicates: 1,
        never_refutes: false,
    };
    check(fleet, 6).assert_properties();
}

/// By hand, as above.
#[test]
#[ignore = "minutes"]
fn four_members_converge() {
    let fleet = Fleet {
        members: 4,
        partition_periods: vec![8],
        crashes: 1,
        duplicates: 0,
        never_refutes: false,
    };
    check(fleet, 3).assert_properties();
}
