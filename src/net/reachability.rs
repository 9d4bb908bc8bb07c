//! Which model hosts were last seen reachable: decides, without I/O, whom a call that any host may take goes to
//! first.
//!
//! A release (`DELETE /internal/reservations/ID`) may go to any model host, and it has to reach a running one within
//! the release limit. When a zone is cut off, or hosts fall silent, a connection to one of those never comes up and
//! costs the whole connect time-out. Asking hosts in the list's order then spends the limit on silent hosts. This
//! table keeps, per host, when a connection to it last came up (or an answer came whole) and when one last failed
//! to, so that hosts just heard from are asked first and those that just failed last.

use crate::routing::types::WorkerId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts reached within this time are as good as each other.
const LATELY: Duration = Duration::from_millis(500);
/// What is older than this says nothing of a host any more, and is forgotten.
pub const REMEMBER: Duration = Duration::from_secs(30);

/// When a host was last reached, last answered and last found unreachable.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    reached: Option<Instant>,
    unreached: Option<Instant>,
    connect_failed: Option<Instant>,
    heard: Option<Instant>,
}

/// The table of reachability, one entry a host heard of within [`REMEMBER`].
///
/// Bounded: an entry is only made for a host that a connection was tried to, and entries older than [`REMEMBER`]
/// are dropped by [`Reachability::forget_old`], so it holds at most the hosts tried within that time.
#[derive(Debug, Default)]
pub struct Reachability {
    seen: HashMap<WorkerId, Seen>,
}

/// How a host ranks for a call that any host may take: lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Reached, and not failed since: the time since then breaks ties, newest first.
    Reached(Duration),
    /// Nothing known.
    Unknown,
    /// Failed to come up since it was last reached.
    Unreached,
}

impl Reachability {
    /// A connection to `worker` came up, at `now`. Its machine takes connections; whether its process runs is not said.
    pub fn reached(&mut self, worker: &WorkerId, now: Instant) {
        self.seen.entry(worker.clone()).or_default().reached = Some(now);
    }

    /// An answer of `worker` came whole, at `now`.
    pub fn heard(&mut self, worker: &WorkerId, now: Instant) {
        self.reached(worker, now);
        self.seen.entry(worker.clone()).or_default().heard = Some(now);
    }

    /// Whether an answer of `worker` came since a moment.
    pub fn answered_since(&self, worker: &WorkerId, since: Instant) -> bool {
        self.seen
            .get(worker)
            .is_some_and(|seen| seen.heard.is_some_and(|heard| heard > since))
    }

    /// Nothing was heard of `worker` where something should have been, at `now`.
    pub fn unreached(&mut self, worker: &WorkerId, now: Instant) {
        self.seen.entry(worker.clone()).or_default().unreached = Some(now);
    }

    /// A connection to `worker` was refused or did not come up in time, at `now`: no call to it gets a kept connection
    /// until it was reached again.
    pub fn connect_failed(&mut self, worker: &WorkerId, now: Instant) {
        self.unreached(worker, now);
        self.seen.entry(worker.clone()).or_default().connect_failed = Some(now);
    }

    /// Whether the last connection to `worker` failed and nothing has been heard of it since.
    pub fn is_suspect(&self, worker: &WorkerId) -> bool {
        let Some(seen) = self.seen.get(worker) else {
            return false;
        };
        seen.connect_failed
            .is_some_and(|failed| seen.reached.is_none_or(|reached| reached < failed))
    }

    /// Drops what is older than [`REMEMBER`] at `now`.
    pub fn forget_old(&mut self, now: Instant) {
        let fresh =
            |at: Option<Instant>| at.filter(|at| now.saturating_duration_since(*at) < REMEMBER);
        self.seen.retain(|_, seen| {
            *seen = Seen {
                reached: fresh(seen.reached),
                unreached: fresh(seen.unreached),
                connect_failed: fresh(seen.connect_failed),
                heard: fresh(seen.heard),
            };
            seen.reached.is_some() || seen.unreached.is_some()
        });
    }

    /// Hosts in the table, for bounds and tests.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    fn rank(&self, worker: &WorkerId, now: Instant) -> Rank {
        let Some(seen) = self.seen.get(worker) else {
            return Rank::Unknown;
        };
        let fresh =
            |at: Option<Instant>| at.filter(|at| now.saturating_duration_since(*at) < REMEMBER);
        match (fresh(seen.reached), fresh(seen.unreached)) {
            (Some(reached), Some(unreached)) if unreached > reached => Rank::Unreached,
            (Some(reached), _) => Rank::Reached(now.saturating_duration_since(reached)),
            (None, Some(_)) => Rank::Unreached,
            (None, None) => Rank::Unknown,
        }
    }

    /// The same order, in which the hosts at its head that were reached just now are turned by `spread`: many calls at
    /// the same moment must not all go to one of them.
    pub fn order_spread(
        &self,
        candidates: Vec<(WorkerId, String)>,
        now: Instant,
        spread: u64,
    ) -> Vec<WorkerId> {
        let mut order = self.order(candidates, now);
        let is_recent =
            |w: &&WorkerId| matches!(self.rank(w, now), Rank::Reached(ago) if ago < LATELY);
        let recent = order.iter().take_while(is_recent).count();
        if recent > 1 {
            order[..recent].rotate_left((spread % recent as u64) as usize);
        }
        order
    }

    /// Puts `candidates` (as the list gives them, each with its zone) in the order in which a call that any host may
    /// take should try them at `now`: hosts reached most lately first, then those of which nothing is known, in the
    /// order given, then those that failed to come up since they were last reached. Within the hosts that did not
    /// fail, zones take turns: all that was reached lately may be of a zone that has just been cut off.
    pub fn order(&self, mut candidates: Vec<(WorkerId, String)>, now: Instant) -> Vec<WorkerId> {
        // Stable: within a rank, the list's order stands.
        candidates.sort_by_cached_key(|(w, _)| self.rank(w, now));
        let mut turns = HashMap::<String, usize>::new();
        let mut ranked: Vec<(bool, usize, WorkerId)> = candidates
            .into_iter()
            .map(|(worker, zone)| {
                let turn = turns.entry(zone).or_default();
                *turn += 1;
                (self.rank(&worker, now) == Rank::Unreached, *turn, worker)
            })
            .collect();
        ranked.sort_by_key(|(unreached, turn, _)| (*unreached, *turn));
        ranked.into_iter().map(|(_, _, worker)| worker).collect()
    }
}

#[cfg(test)]
mod tests;
