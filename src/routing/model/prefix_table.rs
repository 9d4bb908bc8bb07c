//! The prefix table: which prefill workers are assumed to have cached which prefixes and sessions, and how
//! often each prefix is requested. Entries expire. Decisions based on them are in `src/routing/policy.rs`.

use super::DecayingSum;
use crate::routing::types::{Micros, RequestSpec, WorkerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tokens that a worker is assumed to have cached.
#[derive(Clone, Copy)]
struct CacheEntry {
    tokens: u64,
    /// Time of the latest send that made the worker cache them.
    sent_at: Micros,
}

/// Prefixes and sessions that this router recently sent to prefill workers, and the request rate of each
/// prefix.
#[derive(Default)]
pub(crate) struct PrefixTable {
    prefixes: BTreeMap<Arc<str>, BTreeMap<WorkerId, CacheEntry>>,
    sessions: BTreeMap<Arc<str>, (WorkerId, CacheEntry)>,
    requests: DecayingSum,
    requests_by_prefix: BTreeMap<Arc<str>, DecayingSum>,
}

impl PrefixTable {
    /// Counts a request on its arrival.
    pub fn record_request(&mut self, spec: &RequestSpec, now: Micros, half_life: Micros) {
        self.requests.add(now, half_life, 1.0);
        if let Some(prefix) = spec.prefix.clone() {
            self.requests_by_prefix
                .entry(prefix)
                .or_default()
                .add(now, half_life, 1.0);
        }
    }

    /// Fraction of recent requests that have the same prefix as this one, not counting the request itself.
    pub fn request_share(&self, spec: &RequestSpec, now: Micros, half_life: Micros) -> f64 {
        let requests = spec
            .prefix
            .as_ref()
            .and_then(|prefix| self.requests_by_prefix.get(prefix));
        let requests = requests.map_or(0.0, |requests| requests.value_at(now, half_life));
        (requests - 1.0).max(0.0) / self.requests.value_at(now, half_life).max(1.0)
    }

    /// Records that a worker will cache the prefix and the session of a request that is sent to it now.
    pub fn insert(&mut self, spec: &RequestSpec, worker: &WorkerId, now: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let entry = CacheEntry {
                tokens: spec.prefix_tokens,
                sent_at: now,
            };
            self.prefixes
                .entry(prefix)
                .or_default()
                .insert(worker.clone(), entry);
        }
        if let Some(session) = spec.session.clone() {
            let entry = CacheEntry {
                tokens: spec.prompt_tokens,
                sent_at: now,
            };
            self.sessions.insert(session, (worker.clone(), entry));
        }
    }

    /// Prompt tokens that a worker is assumed to have cached, according to entries not older than `since`. If
    /// both prefix and session match, the longer match counts.
    pub fn cached_tokens(&self, spec: &RequestSpec, worker: &WorkerId, since: Micros) -> f64 {
        let prefix = (spec.prefix.as_ref())
            .and_then(|prefix| self.prefixes.get(prefix)?.get(worker))
            .filter(|entry| entry.sent_at >= since)
            .map_or(0, |entry| entry.tokens.min(spec.prefix_tokens));
        let session = (spec.session.as_ref())
            .and_then(|session| self.sessions.get(session))
            .filter(|(holder, entry)| holder == worker && entry.sent_at >= since)
            .map_or(0, |(_, entry)| entry.tokens);
        prefix.max(session).min(spec.prompt_tokens) as f64
    }

    /// Whether some worker is assumed to have cached the request's session.
    pub fn has_session(&self, spec: &RequestSpec) -> bool {
        spec.session
            .as_ref()
            .is_some_and(|session| self.sessions.contains_key(session))
    }

    /// Total tokens of all prefixes that a worker is assumed to have cached.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        let entries = self
            .prefixes
            .values()
            .filter_map(|holders| holders.get(worker));
        entries.map(|entry| entry.tokens as f64).sum()
    }

    /// Removes entries that are older than `before`.
    pub fn expire(&mut self, before: Micros) {
        self.prefixes.retain(|_, holders| {
            holders.retain(|_, entry| entry.sent_at >= before);
            !holders.is_empty()
        });
        self.sessions
            .retain(|_, (_, entry)| entry.sent_at >= before);
        self.requests_by_prefix
            .retain(|_, requests| requests.updated_at() >= before);
    }

    /// Removes all entries of a worker whose process has restarted with an empty cache.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        self.prefixes.values_mut().for_each(|holders| {
            holders.remove(worker);
        });
        self.sessions.retain(|_, (holder, _)| holder != worker);
    }
}

#[cfg(test)]
mod tests;
