//! Requests that may reach their host long after their attempt was abandoned. Decides, without I/O, which hosts to call
//! about them, and when.
//!
//! A request written to a host that has stopped responding may be queued in the network or at the host. Closing the
//! connection does not recall it: when the host responds again, the request may still arrive, and a prefill worker then
//! holds KV state for a request that has ended or was already released, and that nobody will release. So each attempt
//! that ends without a response is recorded here, and its host is called at once with a release of that request. If the
//! host answers, it was responsive, and the regular release that follows such an end has been effective. If not, it is
//! called again and again until it answers; then all recorded requests are released there, and once more after a
//! prefill that has just arrived may have finished.

use crate::routing::types::WorkerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Interval between calls to an unresponsive host.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time-out of a call; a host that has not answered by then counts as unresponsive.
pub const LATE_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the second release of the requests that an unresponsive host may have received late: a prefill may take
/// that long, and its KV state is created only then.
const SECOND_RELEASE_DELAY: Duration = Duration::from_millis(300);
/// How often the requests of an unresponsive host are released once it answers.
const RELEASE_ROUNDS: u32 = 2;
/// How long an abandoned request is recorded.
const REQUEST_TTL: Duration = Duration::from_secs(30);
/// Maximum number of requests recorded for a host; the oldest is dropped first.
const MAX_REQUESTS_PER_HOST: usize = 256;

/// The requests to release at one host now.
#[derive(Debug, PartialEq, Eq)]
pub struct ReleaseRound {
    /// Host that receives the release call.
    pub worker: WorkerId,
    /// Ids of the requests to release there, the latest first.
    pub requests: Vec<String>,
}

/// What is known about a host's responsiveness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first call has not been made or not been answered yet: the host may be responsive.
    Unconfirmed,
    /// The last call was not answered.
    Unresponsive,
    /// It has answered after it was unresponsive: its requests are released in this many more rounds.
    Recovered { rounds_left: u32 },
}

#[derive(Debug)]
struct HostState {
    phase: Phase,
    /// When each request was abandoned, and its id; the oldest first.
    requests: VecDeque<(Instant, String)>,
    /// When it is to be called next; `None` while a round is in progress.
    next_call_at: Option<Instant>,
}

/// The requests that may arrive late, by host.
#[derive(Debug, Default)]
pub struct LateArrivals {
    hosts: BTreeMap<WorkerId, HostState>,
}

impl LateArrivals {
    /// Records an attempt of `request` that was written and abandoned without a response. A first call is due at once.
    pub fn note_abandoned(&mut self, worker: &WorkerId, request: String, now: Instant) {
        let new_host = || HostState {
            phase: Phase::Unconfirmed,
            requests: VecDeque::new(),
            next_call_at: Some(now),
        };
        let host = self.hosts.entry(worker.clone()).or_insert_with(new_host);
        if host.requests.len() >= MAX_REQUESTS_PER_HOST {
            host.requests.pop_front();
        }
        host.requests.push_back((now, request));
    }

    /// Whether no host has recorded requests.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// When [`LateArrivals::next_round`] has to be called; `None` while no host has a call scheduled.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.hosts
            .values()
            .filter_map(|host| host.next_call_at)
            .min()
    }

    /// Returns a round that is due. Its result is to be reported by [`LateArrivals::note_answered`],
    /// [`LateArrivals::note_unanswered`] or [`LateArrivals::note_gone`].
    pub fn next_round(&mut self, now: Instant) -> Option<ReleaseRound> {
        self.evict_old(now);
        let is_due = |host: &&mut HostState| {
            host.next_call_at
                .is_some_and(|next_call_at| next_call_at <= now)
        };
        let (worker, host) = self.hosts.iter_mut().find(|(_, host)| is_due(host))?;
        host.next_call_at = None;
        let max_requests = if matches!(host.phase, Phase::Recovered { .. }) {
            MAX_REQUESTS_PER_HOST
        } else {
            1
        };
        let requests = host
            .requests
            .iter()
            .rev()
            .take(max_requests)
            .map(|(_, request)| request.clone())
            .collect();
        Some(ReleaseRound {
            worker: worker.clone(),
            requests,
        })
    }

    /// Records that the host has answered all calls of its round.
    pub fn note_answered(&mut self, worker: &WorkerId, now: Instant) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let rounds_left = match host.phase {
            // It was responsive when the attempts were abandoned, so their requests have arrived or never will; or the
            // last round is complete.
            Phase::Unconfirmed | Phase::Recovered { rounds_left: 1 } => {
                self.hosts.remove(worker);
                return;
            }
            Phase::Unresponsive => RELEASE_ROUNDS,
            Phase::Recovered { rounds_left } => rounds_left.saturating_sub(1),
        };
        let delay = if rounds_left == RELEASE_ROUNDS {
            Duration::ZERO
        } else {
            SECOND_RELEASE_DELAY
        };
        (host.phase, host.next_call_at) = (Phase::Recovered { rounds_left }, Some(now + delay));
    }

    /// Records that the host has not answered in time.
    pub fn note_unanswered(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(host) = self.hosts.get_mut(worker) {
            (host.phase, host.next_call_at) = (Phase::Unresponsive, Some(now + PROBE_INTERVAL));
        }
    }

    /// Removes a host that refuses connections or is no longer listed: its process has ended, and no request can
    /// arrive.
    pub fn note_gone(&mut self, worker: &WorkerId) {
        self.hosts.remove(worker);
    }

    fn evict_old(&mut self, now: Instant) {
        for host in self.hosts.values_mut() {
            host.requests
                .retain(|(abandoned_at, _)| *abandoned_at + REQUEST_TTL > now);
        }
        self.hosts
            .retain(|_, host| !host.requests.is_empty() || host.next_call_at.is_none());
    }
}

#[cfg(test)]
mod tests;
