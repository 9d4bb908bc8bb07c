//! The prefix table: which readers are taken to keep which shared texts and sessions, and how often each text is
//! asked for. Entries age; what follows from them is decided in `src/routing/policy.rs`.

use super::DecayingSum;
use crate::routing::types::{Micros, RequestSpec, WorkerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tokens that a reader is credited with, and since when.
#[derive(Clone, Copy)]
struct Credit {
    tokens: u64,
    at: Micros,
}

/// What this router has sent to readers of late, and what it was asked for.
#[derive(Default)]
pub(crate) struct PrefixTable {
    prefixes: BTreeMap<Arc<str>, BTreeMap<WorkerId, Credit>>,
    sessions: BTreeMap<Arc<str>, (WorkerId, Credit)>,
    requests: DecayingSum,
    requests_by_prefix: BTreeMap<Arc<str>, DecayingSum>,
}

impl PrefixTable {
    /// Counts a request that has come.
    pub fn record_request(&mut self, spec: &RequestSpec, now: Micros, half_life: Micros) {
        self.requests.add(now, half_life, 1.0);
        if let Some(prefix) = spec.prefix.clone() {
            self.requests_by_prefix
                .entry(prefix)
                .or_default()
                .add(now, half_life, 1.0);
        }
    }

    /// The part of all requests of late that have this one's prefix, without the request itself.
    pub fn share(&self, spec: &RequestSpec, now: Micros, half_life: Micros) -> f64 {
        let requests = spec
            .prefix
            .as_ref()
            .and_then(|prefix| self.requests_by_prefix.get(prefix));
        let requests = requests.map_or(0.0, |requests| requests.value_at(now, half_life));
        (requests - 1.0).max(0.0) / self.requests.value_at(now, half_life).max(1.0)
    }

    /// Credits a reader that a request is sent to with the request's prefix and session.
    pub fn credit(&mut self, spec: &RequestSpec, worker: &WorkerId, at: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let credit = Credit {
                tokens: spec.prefix_tokens,
                at,
            };
            self.prefixes
                .entry(prefix)
                .or_default()
                .insert(worker.clone(), credit);
        }
        if let Some(session) = spec.session.clone() {
            let credit = Credit {
                tokens: spec.prompt_tokens,
                at,
            };
            self.sessions.insert(session, (worker.clone(), credit));
        }
    }

    /// Tokens of a prompt that a reader is credited with since then: the longer of prefix and session.
    pub fn cached_tokens(&self, spec: &RequestSpec, worker: &WorkerId, since: Micros) -> f64 {
        let prefix = (spec.prefix.as_ref())
            .and_then(|prefix| self.prefixes.get(prefix)?.get(worker))
            .filter(|credit| credit.at >= since)
            .map_or(0, |credit| credit.tokens.min(spec.prefix_tokens));
        let session = (spec.session.as_ref())
            .and_then(|session| self.sessions.get(session))
            .filter(|(reader, credit)| reader == worker && credit.at >= since)
            .map_or(0, |(_, credit)| credit.tokens);
        prefix.max(session).min(spec.prompt_tokens) as f64
    }

    /// Whether a reader of the request's session is known.
    pub fn knows_session(&self, spec: &RequestSpec) -> bool {
        spec.session
            .as_ref()
            .is_some_and(|session| self.sessions.contains_key(session))
    }

    /// Tokens of all prefixes that a reader is credited with.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        let credits = self
            .prefixes
            .values()
            .filter_map(|holders| holders.get(worker));
        credits.map(|credit| credit.tokens as f64).sum()
    }

    /// Forgets what is older than that.
    pub fn expire(&mut self, before: Micros) {
        self.prefixes.retain(|_, holders| {
            holders.retain(|_, credit| credit.at >= before);
            !holders.is_empty()
        });
        self.sessions.retain(|_, (_, credit)| credit.at >= before);
        self.requests_by_prefix
            .retain(|_, requests| requests.updated_at() >= before);
    }

    /// Forgets a reader, whose new process keeps nothing.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.prefixes.values_mut().for_each(|holders| {
            holders.remove(worker);
        });
        self.sessions.retain(|_, (reader, _)| reader != worker);
    }
}

#[cfg(test)]
mod tests;
