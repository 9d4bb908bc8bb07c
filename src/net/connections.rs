//! The client connections that are open, and which of them go where places are short.

use super::framing::{ConnectionTracker, RequestPhase};
use super::server::{MIN_ARRIVAL_BEFORE_EVICTION, MIN_IDLE_BEFORE_EVICTION};
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
    by_id: RefCell<BTreeMap<u64, Rc<ConnectionTracker>>>,
    next_id: Cell<u64>,
    /// The most that there may be now, where that is less than the listener's own bound.
    pub(super) limit: Cell<Option<usize>>,
}

impl Connections {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Moves the bound, never above the listener's own. What is idle goes at once, as far as it is over the bound.
    pub fn set_limit(&self, limit: usize, counters: &Counters) {
        self.limit.set(Some(limit));
        for _ in limit..self.count() {
            if !self.evict_one(counters) {
                return;
            }
        }
    }

    /// How many stand how.
    pub fn summary(&self) -> ConnectionSummary {
        let mut summary = ConnectionSummary::default();
        for tracker in self.by_id.borrow().values() {
            match tracker.phase() {
                RequestPhase::Idle(_) => summary.idle += 1,
                RequestPhase::Arriving(_) => summary.arriving += 1,
                RequestPhase::InProgress => summary.in_hand += 1,
            }
        }
        summary
    }

    pub(super) fn register(self: &Rc<Self>, tracker: Rc<ConnectionTracker>) -> ConnectionEntry {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.by_id.borrow_mut().insert(id, tracker);
        ConnectionEntry(self.clone(), id)
    }

    /// Makes room: the longest idle connection goes, else the one that takes longest to send its request. Guards
    /// against clients that connect by the hundred and say nothing, or never all.
    pub(super) fn evict_one(&self, counters: &Counters) -> bool {
        let trackers = self.by_id.borrow();
        let eviction_order = |tracker: &ConnectionTracker| match tracker.phase() {
            RequestPhase::Idle(since) => {
                Some((0, since)).filter(|_| since.elapsed() >= MIN_IDLE_BEFORE_EVICTION)
            }
            RequestPhase::Arriving(since) => {
                Some((1, since)).filter(|_| since.elapsed() >= MIN_ARRIVAL_BEFORE_EVICTION)
            }
            RequestPhase::InProgress => None,
        };
        let victim = trackers
            .values()
            .filter(|tracker| !tracker.is_evicted() && !tracker.is_write_blocked());
        let victim = victim
            .filter_map(|tracker| eviction_order(tracker).map(|order| (order, tracker)))
            .min_by_key(|(order, _)| *order);
        let victim = victim.inspect(|(_, tracker)| tracker.evict());
        if victim.is_some() {
            counters.connections_evicted.up();
        }
        victim.is_some()
    }
}

/// A connection's place among them, given back when dropped.
pub(super) struct ConnectionEntry(Rc<Connections>, u64);

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.0.by_id.borrow_mut().remove(&self.1);
    }
}
