//! Attempts that may arrive long after they were given up: which hosts to ask about them, and when, without I/O.
//!
//! A request that was written to a host which had fallen silent waits on the way. Closing its connection doesn't take it
//! back: when the host can be heard again the request may still arrive, and a reader then holds a state for a request
//! that is over, or was released meanwhile, and that nobody asks for any more. So each attempt that ends with nothing
//! heard of it is remembered here. The host is asked at once, by a release of that very
//! request. If it answers it was never silent, and the release that follows every such end has done its work. If it does
//! not, it is asked again and again; when it answers, all requests remembered are released there, and once more after
//! what has just arrived may have been read.

use crate::routing::types::WorkerId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Between two calls to a host that is silent.
const ASK_AGAIN: Duration = Duration::from_millis(200);
/// A call that has no answer by then shows that its host is silent.
pub const LATE_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Between the two releases of what a silent host may have got late: a read may take that long, and what it leaves may
/// be held for longer.
const RELEASE_AGAIN: Duration = Duration::from_millis(300);
/// How often what a silent host may have got is released once it answers.
const ROUNDS: u32 = 2;
/// What was given up is remembered for so long.
const REMEMBER: Duration = Duration::from_secs(30);
/// Requests remembered for each host.
const MOST_REQUESTS: usize = 256;

/// What to do for one host now.
#[derive(Debug, PartialEq, Eq)]
pub struct Round {
    /// The host.
    pub worker: WorkerId,
    /// The requests to release there.
    pub requests: Vec<String>,
}

/// What is known of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Asked for the first time, or to be: it may be well.
    Asking,
    /// It has not answered.
    Silent,
    /// It has answered after it was silent: what it may have got is released, so many times more.
    Back { rounds: u32 },
}

#[derive(Debug)]
struct Host {
    phase: Phase,
    requests: VecDeque<(Instant, String)>,
    /// When it is to be asked next; `None` while a call is out.
    due: Option<Instant>,
}

/// All attempts that may arrive late.
#[derive(Debug, Default)]
pub struct LateArrivals {
    hosts: BTreeMap<WorkerId, Host>,
}

impl LateArrivals {
    /// An attempt of `request` has ended, written and with nothing heard of it.
    pub fn abandoned(&mut self, worker: &WorkerId, request: String, now: Instant) {
        let fresh = || Host {
            phase: Phase::Asking,
            requests: VecDeque::new(),
            due: Some(now),
        };
        let host = self.hosts.entry(worker.clone()).or_insert_with(fresh);
        if host.requests.len() >= MOST_REQUESTS {
            host.requests.pop_front();
        }
        host.requests.push_back((now, request));
    }

    /// Whether no host is asked any more.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// When [`LateArrivals::next`] has something to do.
    pub fn due(&self) -> Option<Instant> {
        self.hosts.values().filter_map(|host| host.due).min()
    }

    /// What to do now: one host, to be answered by [`LateArrivals::answered`], [`LateArrivals::unanswered`] or
    /// [`LateArrivals::gone`].
    pub fn next(&mut self, now: Instant) -> Option<Round> {
        self.forget_old(now);
        let is_due = |host: &&mut Host| host.due.is_some_and(|due| due <= now);
        let (worker, host) = self.hosts.iter_mut().find(|(_, host)| is_due(host))?;
        host.due = None;
        let most = if matches!(host.phase, Phase::Back { .. }) {
            MOST_REQUESTS
        } else {
            1
        };
        let requests = host
            .requests
            .iter()
            .rev()
            .take(most)
            .map(|(_, request)| request.clone())
            .collect();
        Some(Round {
            worker: worker.clone(),
            requests,
        })
    }

    /// The host has answered.
    pub fn answered(&mut self, worker: &WorkerId, now: Instant) {
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        let rounds = match host.phase {
            // It runs, and did when the attempts were given up: they have arrived, or never will.
            Phase::Asking | Phase::Back { rounds: 1 } => {
                self.hosts.remove(worker);
                return;
            }
            Phase::Silent => ROUNDS,
            Phase::Back { rounds } => rounds.saturating_sub(1),
        };
        let wait = if rounds == ROUNDS {
            Duration::ZERO
        } else {
            RELEASE_AGAIN
        };
        (host.phase, host.due) = (Phase::Back { rounds }, Some(now + wait));
    }

    /// The host has not answered in time.
    pub fn unanswered(&mut self, worker: &WorkerId, now: Instant) {
        if let Some(host) = self.hosts.get_mut(worker) {
            (host.phase, host.due) = (Phase::Silent, Some(now + ASK_AGAIN));
        }
    }

    /// The host refuses connections, or is no longer listed: what waited on the way to it has nowhere to arrive.
    pub fn gone(&mut self, worker: &WorkerId) {
        self.hosts.remove(worker);
    }

    fn forget_old(&mut self, now: Instant) {
        for host in self.hosts.values_mut() {
            host.requests.retain(|(at, _)| *at + REMEMBER > now);
        }
        self.hosts
            .retain(|_, host| !host.requests.is_empty() || host.due.is_none());
    }
}

#[cfg(test)]
mod tests;
