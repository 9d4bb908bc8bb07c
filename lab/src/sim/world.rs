//! Runs machines over the simulated network.

use super::network::{Arrived, Network, Sent};
use std::collections::{BTreeSet, VecDeque};
use whinhaven::routing::types::Micros;

/// A machine as the simulation runs it: it takes messages and the time, and sends.
pub trait Machine {
    /// What machines say to each other.
    type Message: Clone;
    /// What a machine tells the outside.
    type Note;

    /// Time has passed.
    fn tick(&mut self, now: Micros, out: &mut Outbox<Self::Message, Self::Note>);
    /// A message came from another node.
    fn receive(
        &mut self,
        now: Micros,
        from: usize,
        message: Self::Message,
        out: &mut Outbox<Self::Message, Self::Note>,
    );
    /// When it wants its next tick.
    fn timeout(&self) -> Option<Micros>;
}

/// What a machine hands out.
pub struct Outbox<M, N> {
    /// Messages.
    pub sent: Vec<Sent<M>>,
    /// What it tells the outside.
    pub notes: Vec<N>,
}

/// The most messages that wait for a paused machine, as in a socket's buffer.
const MOST_HELD: usize = 512;

struct Node<T: Machine> {
    machine: Option<T>,
    paused: bool,
    held: VecDeque<Arrived<T::Message>>,
    due: Option<Micros>,
}

/// Machines, network and time.
pub struct World<T: Machine> {
    /// The network.
    pub network: Network<T::Message>,
    now: Micros,
    nodes: Vec<Node<T>>,
    due: BTreeSet<(Micros, usize)>,
    /// What has been told, until it is taken.
    notes: Vec<(Micros, usize, T::Note)>,
}

impl<T: Machine> World<T> {
    /// A world of `nodes` nodes on which nothing runs yet.
    pub fn new(network: Network<T::Message>, nodes: usize) -> World<T> {
        let node = |_| Node {
            machine: None,
            paused: false,
            held: VecDeque::new(),
            due: None,
        };
        let nodes = (0..nodes).map(node).collect();
        World {
            network,
            now: 0,
            nodes,
            due: BTreeSet::new(),
            notes: Vec::new(),
        }
    }

    /// The simulation's time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// A running machine, a paused one too.
    pub fn machine(&self, node: usize) -> Option<&T> {
        self.nodes[node].machine.as_ref()
    }

    /// Whether it is paused.
    pub fn paused(&self, node: usize) -> bool {
        self.nodes[node].paused
    }

    /// Starts a machine, in place of the one that ran there.
    pub fn start(&mut self, node: usize, machine: T) {
        self.crash(node);
        self.nodes[node].machine = Some(machine);
        self.schedule(node);
    }

    /// Ends a machine without a word.
    pub fn crash(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.machine = None;
        n.paused = false;
        n.held.clear();
        self.schedule(node);
    }

    /// Stops a machine; what arrives waits.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
        self.schedule(node);
    }

    /// Lets a stopped machine run on.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        while let Some(arrived) = self.nodes[node].held.pop_front() {
            self.deliver(arrived);
        }
        self.schedule(node);
    }

    /// Hands something to a running machine from outside.
    pub fn with(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut T, Micros, &mut Outbox<T::Message, T::Note>),
    ) {
        let mut out = Outbox {
            sent: Vec::new(),
            notes: Vec::new(),
        };
        if let Some(machine) = self.nodes[node].machine.as_mut() {
            call(machine, self.now, &mut out);
        }
        for sent in out.sent {
            self.network.send(self.now, node, sent);
        }
        self.notes
            .extend(out.notes.into_iter().map(|note| (self.now, node, note)));
        self.schedule(node);
    }

    /// What has been told since the last call, and when, and by which node.
    pub fn take_notes(&mut self) -> Vec<(Micros, usize, T::Note)> {
        std::mem::take(&mut self.notes)
    }

    /// Lets time pass up to `until`.
    pub fn run(&mut self, until: Micros) {
        loop {
            let arrival = self.network.next().unwrap_or(Micros::MAX);
            let tick = self.due.first().map_or(Micros::MAX, |(at, _)| *at);
            if arrival.min(tick) > until {
                break;
            }
            self.now = self.now.max(arrival.min(tick));
            if arrival <= tick {
                if let Some(arrived) = self.network.arrived(self.now) {
                    self.deliver(arrived);
                }
            } else if let Some((_, node)) = self.due.first().copied() {
                self.with(node, Machine::tick);
            }
        }
        self.now = self.now.max(until);
    }

    fn deliver(&mut self, arrived: Arrived<T::Message>) {
        let node = &mut self.nodes[arrived.to];
        if node.paused {
            if node.held.len() < MOST_HELD {
                node.held.push_back(arrived);
            }
            return;
        }
        let Arrived { from, to, message } = arrived;
        self.with(to, |machine, now, out| {
            machine.receive(now, from, message, out);
        });
    }

    fn schedule(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if let Some(due) = n.due.take() {
            self.due.remove(&(due, node));
        }
        if let Some(machine) = n.machine.as_ref().filter(|_| !n.paused) {
            n.due = machine.timeout().map(|at| at.max(self.now));
            self.due.extend(n.due.map(|due| (due, node)));
        }
    }
}
