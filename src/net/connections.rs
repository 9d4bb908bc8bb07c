//! Table of open client connections; chooses which one to evict when capacity is short.

use super::connection_tracker::{ConnectionTracker, RequestPhase};
use super::server::{MIN_ARRIVAL_BEFORE_EVICTION, MIN_IDLE_BEFORE_EVICTION};
use crate::counters::Counters;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Number of client connections per request phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionSummary {
    idle: usize,
    arriving: usize,
    in_progress: usize,
}

impl std::fmt::Display for ConnectionSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ConnectionSummary {
            idle,
            arriving,
            in_progress,
        } = self;
        write!(
            f,
            "{idle} idle, {arriving} with an incomplete request, {in_progress} with a request in progress"
        )
    }
}

/// Table of the open client connections.
#[derive(Default)]
pub struct Connections {
    by_id: RefCell<BTreeMap<u64, Rc<ConnectionTracker>>>,
    next_id: Cell<u64>,
    /// Temporary limit, if lower than the listener's own.
    pub(super) limit: Cell<Option<usize>>,
}

impl Connections {
    /// Number of open client connections, whether idle or with a request.
    pub fn count(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Sets a temporary limit, which never exceeds the listener's own. Evicts idle connections above the limit at
    /// once.
    pub fn set_limit(&self, limit: usize, counters: &Counters) {
        self.limit.set(Some(limit));
        for _ in limit..self.count() {
            if !self.evict_one(counters) {
                return;
            }
        }
    }

    /// Counts the connections per request phase.
    pub fn summary(&self) -> ConnectionSummary {
        let mut summary = ConnectionSummary::default();
        for tracker in self.by_id.borrow().values() {
            match tracker.phase() {
                RequestPhase::Idle(_) => summary.idle += 1,
                RequestPhase::Arriving(_) => summary.arriving += 1,
                RequestPhase::InProgress => summary.in_progress += 1,
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

    /// Evicts the connection that has been idle for longest or, if none is idle, the one whose request has been
    /// arriving for longest; returns whether there was one. Guards against clients that open hundreds of connections
    /// and send nothing or never a complete request.
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

impl Connections {
    /// Since when the client that has not read its response for longest has stalled.
    pub(super) fn longest_stalled_since(&self) -> Option<Instant> {
        self.longest_stalled().map(|(since, _)| since)
    }

    /// Closes the connection of the client that has not read its response for longest, if it stalled at `limit` or earlier;
    /// returns whether there was one.
    pub(super) fn abort_stalled(&self, limit: Instant) -> bool {
        let stalled = self.longest_stalled().filter(|(since, _)| *since <= limit);
        stalled.inspect(|(_, tracker)| tracker.abort()).is_some()
    }

    fn longest_stalled(&self) -> Option<(Instant, Rc<ConnectionTracker>)> {
        let trackers = self.by_id.borrow();
        let stalled = trackers
            .values()
            .filter(|tracker| !tracker.is_aborted())
            .filter_map(|tracker| Some((tracker.write_blocked_since()?, tracker.clone())));
        stalled.min_by_key(|(since, _)| *since)
    }
}

/// A connection's entry in the table, removed on drop.
pub(super) struct ConnectionEntry(Rc<Connections>, u64);

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.0.by_id.borrow_mut().remove(&self.1);
    }
}
