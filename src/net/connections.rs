//! The client connections that are open, and which of them go where places are short.

use super::framing::{Standing, Watch};
use super::server::{DAWDLES, SETTLED};
use crate::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How many client connections stand how.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionSummary {
    idle: usize,
    arriving: usize,
    in_hand: usize,
}

impl std::fmt::Display for ConnectionSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ConnectionSummary {
            idle,
            arriving,
            in_hand,
        } = self;
        write!(
            f,
            "{idle} idle, {arriving} with a request in part, {in_hand} with a request in hand"
        )
    }
}

/// The client connections that are open.
#[derive(Default)]
pub struct Connections {
    all: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
    /// The most that there may be now, where that is less than the listener's own bound.
    pub(super) most: Cell<Option<usize>>,
}

impl Connections {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }

    /// Moves the bound, never above the listener's own. What is idle goes at once, as far as it is over the bound.
    pub fn bound_to(&self, most: usize, counters: &Counters) {
        self.most.set(Some(most));
        for _ in most..self.count() {
            if !self.make_room(counters) {
                return;
            }
        }
    }

    /// How many stand how.
    pub fn summary(&self) -> ConnectionSummary {
        let mut summary = ConnectionSummary::default();
        for watch in self.all.borrow().values() {
            match watch.standing() {
                Standing::Idle(_) => summary.idle += 1,
                Standing::Arriving(_) => summary.arriving += 1,
                Standing::InHand => summary.in_hand += 1,
            }
        }
        summary
    }

    pub(super) fn enter(self: &Rc<Self>, watch: Rc<Watch>) -> Place {
        let number = self.next.get();
        self.next.set(number + 1);
        self.all.borrow_mut().insert(number, watch);
        Place(self.clone(), number)
    }

    /// Makes room: the longest idle connection goes, else the one that takes longest to send its request. Guards
    /// against clients that connect by the hundred and say nothing, or never all.
    pub(super) fn make_room(&self, counters: &Counters) -> bool {
        let all = self.all.borrow();
        let idle = |w: &Watch| match w.standing() {
            Standing::Idle(since) => Some((0, since)).filter(|_| since.elapsed() >= SETTLED),
            Standing::Arriving(since) => Some((1, since)).filter(|_| since.elapsed() >= DAWDLES),
            Standing::InHand => None,
        };
        let found = all.values().filter(|w| !w.is_unwanted() && !w.is_blocked());
        let found = found
            .filter_map(|w| idle(w).map(|since| (since, w)))
            .min_by_key(|(since, _)| *since);
        let found = found.inspect(|(_, w)| w.evict());
        if found.is_some() {
            counters.connections_evicted.up();
        }
        found.is_some()
    }
}

/// A connection's place among them, given back when dropped.
pub(super) struct Place(Rc<Connections>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.all.borrow_mut().remove(&self.1);
    }
}
