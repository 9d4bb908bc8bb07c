//! Reachability of model hosts. Decides, without I/O, in which order hosts are tried for a call that any of them can
//! handle.
//!
//! A release (`DELETE /internal/reservations/ID`) may go to any model host, and it has to reach a running one within
//! the release limit. When a zone is partitioned off or hosts stop responding, connecting to one of those costs the
//! whole connect time-out, and trying hosts in the order of the list can use up the release limit on them. This table
//! records for each host when it was last reached (a connection was opened or a complete response received) and when
//! reaching it last failed, so that recently reached hosts are tried first and unreachable ones last.

use crate::routing::types::WorkerId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Hosts reached within this time rank as equal.
const RECENTLY_REACHED: Duration = Duration::from_millis(500);
/// Observations older than this are ignored and removed.
pub const ENTRY_TTL: Duration = Duration::from_secs(30);

/// The times of the latest observations of one host.
#[derive(Clone, Copy, Debug, Default)]
struct Observations {
    /// A connection was opened or a complete response received.
    reached_at: Option<Instant>,
    /// A connect failed, or a call was not answered in time.
    unreachable_at: Option<Instant>,
    connect_failed_at: Option<Instant>,
    /// A complete response was received.
    response_at: Option<Instant>,
}

/// The reachability table: one entry for each host observed within [`ENTRY_TTL`].
///
/// Its size is bounded: only hosts that a connection was tried to get an entry, and [`Reachability::evict_old`] removes
/// entries older than [`ENTRY_TTL`].
#[derive(Debug, Default)]
pub struct Reachability {
    observations: HashMap<WorkerId, Observations>,
}

/// The rank of a host for a call that any host can handle; the lowest is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Reached, with no failure since. Holds the time since then: the most recently reached host ranks first.
    Reached(Duration),
    /// Neither reached nor found unreachable, as far as the table records.
    Unknown,
    /// Not reached since the last failure.
    Unreachable,
}

impl Reachability {
    /// Records that a connection to `worker` was opened. This shows that the machine accepts connections, but not that
    /// the process responds.
    pub fn note_connected(&mut self, worker: &WorkerId, now: Instant) {
        self.observations
            .entry(worker.clone())
            .or_default()
            .reached_at = Some(now);
    }

    /// Records a complete response of `worker`.
    pub fn note_response(&mut self, worker: &WorkerId, now: Instant) {
        self.note_connected(worker, now);
        self.observations
            .entry(worker.clone())
            .or_default()
            .response_at = Some(now);
    }

    /// Whether a complete response of `worker` was received after `since`.
    pub fn answered_since(&self, worker: &WorkerId, since: Instant) -> bool {
        self.observations.get(worker).is_some_and(|observations| {
            observations
                .response_at
                .is_some_and(|response_at| response_at > since)
        })
    }

    /// Records that `worker` did not answer in time.
    pub fn mark_unreachable(&mut self, worker: &WorkerId, now: Instant) {
        self.observations
            .entry(worker.clone())
            .or_default()
            .unreachable_at = Some(now);
    }

    /// Records that a connect to `worker` was refused or timed out. Idle connections to it are not reused until it has
    /// been reached again.
    pub fn note_connect_failed(&mut self, worker: &WorkerId, now: Instant) {
        self.mark_unreachable(worker, now);
        self.observations
            .entry(worker.clone())
            .or_default()
            .connect_failed_at = Some(now);
    }

    /// Whether a connect to `worker` failed and it has not been reached since.
    pub fn is_suspect(&self, worker: &WorkerId) -> bool {
        let Some(observations) = self.observations.get(worker) else {
            return false;
        };
        observations.connect_failed_at.is_some_and(|failed_at| {
            observations
                .reached_at
                .is_none_or(|reached_at| reached_at < failed_at)
        })
    }

    /// Removes observations that are older than [`ENTRY_TTL`] at `now`, and entries that have none left.
    pub fn evict_old(&mut self, now: Instant) {
        let fresh =
            |at: Option<Instant>| at.filter(|at| now.saturating_duration_since(*at) < ENTRY_TTL);
        self.observations.retain(|_, observations| {
            *observations = Observations {
                reached_at: fresh(observations.reached_at),
                unreachable_at: fresh(observations.unreachable_at),
                connect_failed_at: fresh(observations.connect_failed_at),
                response_at: fresh(observations.response_at),
            };
            observations.reached_at.is_some() || observations.unreachable_at.is_some()
        });
    }

    /// The number of hosts in the table.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    fn rank(&self, worker: &WorkerId, now: Instant) -> Rank {
        let Some(observations) = self.observations.get(worker) else {
            return Rank::Unknown;
        };
        let fresh =
            |at: Option<Instant>| at.filter(|at| now.saturating_duration_since(*at) < ENTRY_TTL);
        match (
            fresh(observations.reached_at),
            fresh(observations.unreachable_at),
        ) {
            (Some(reached_at), Some(unreachable_at)) if unreachable_at > reached_at => {
                Rank::Unreachable
            }
            (Some(reached_at), _) => Rank::Reached(now.saturating_duration_since(reached_at)),
            (None, Some(_)) => Rank::Unreachable,
            (None, None) => Rank::Unknown,
        }
    }

    /// Like [`Reachability::order`], but rotates the recently reached hosts at the front by `offset`, so that many
    /// simultaneous calls do not all go to the same host.
    pub fn order_spread(
        &self,
        candidates: Vec<(WorkerId, String)>,
        now: Instant,
        offset: u64,
    ) -> Vec<WorkerId> {
        let mut order = self.order(candidates, now);
        let is_recent = |worker: &&WorkerId| {
            matches!(
                self.rank(worker, now),
                Rank::Reached(elapsed) if elapsed < RECENTLY_REACHED
            )
        };
        let recent_hosts = order.iter().take_while(is_recent).count();
        if recent_hosts > 1 {
            order[..recent_hosts].rotate_left((offset % recent_hosts as u64) as usize);
        }
        order
    }

    /// Orders `candidates`, each given with its zone, for a call that any host can handle: the most recently reached
    /// hosts first, then hosts without observations in the given order, then unreachable hosts. Among the hosts that
    /// are not unreachable, zones alternate, because all recently reached hosts may be in a zone that has just been
    /// partitioned off.
    pub fn order(&self, mut candidates: Vec<(WorkerId, String)>, now: Instant) -> Vec<WorkerId> {
        // A stable sort, so that hosts of equal rank keep the given order.
        candidates.sort_by_cached_key(|(worker, _)| self.rank(worker, now));
        let mut next_turn_by_zone = HashMap::<String, usize>::new();
        let mut ranked: Vec<(bool, usize, WorkerId)> = candidates
            .into_iter()
            .map(|(worker, zone)| {
                let turn = next_turn_by_zone.entry(zone).or_default();
                *turn += 1;
                (self.rank(&worker, now) == Rank::Unreachable, *turn, worker)
            })
            .collect();
        ranked.sort_by_key(|(is_unreachable, turn, _)| (*is_unreachable, *turn));
        ranked.into_iter().map(|(_, _, worker)| worker).collect()
    }
}

#[cfg(test)]
mod tests;
