//! The prefix cache table: which prefill workers are taken to have cached which prefixes and sessions, and
//! how often each prefix is requested. Entries expire; what follows from them is decided in
//! `src/routing/policy.rs`.

use super::DecayingSum;
use crate::routing::types::{Micros, RequestSpec, WorkerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Tokens that a worker is taken to have cached, and since when.
#[derive(Clone, Copy)]
struct CacheEntry {
    tokens: u64,
    at: Micros,
}

/// What this router has recently sent to prefill workers, and what was requested.
#[derive(Default)]
pub(crate) struct PrefixTable {
    prefixes: BTreeMap<Arc<str>, BTreeMap<WorkerId, CacheEntry>>,
    sessions: BTreeMap<Arc<str>, (WorkerId, CacheEntry)>,
    requests: DecayingSum,
    requests_by_prefix: BTreeMap<Arc<str>, DecayingSum>,
}

impl PrefixTable {
    /// Counts a request that has arrived.
    pub fn record_request(&mut self, spec: &RequestSpec, now: Micros, half_life: Micros) {
        self.requests.add(now, half_life, 1.0);
        if let Some(prefix) = spec.prefix.clone() {
            self.requests_by_prefix
                .entry(prefix)
                .or_default()
                .add(now, half_life, 1.0);
        }
    }

    /// Share of recent requests that have this one's prefix, the request itself left out.
    pub fn share(&self, spec: &RequestSpec, now: Micros, half_life: Micros) -> f64 {
        let requests = spec
            .prefix
            .as_ref()
            .and_then(|prefix| self.requests_by_prefix.get(prefix));
        let requests = requests.map_or(0.0, |requests| requests.value_at(now, half_life));
        (requests - 1.0).max(0.0) / self.requests.value_at(now, half_life).max(1.0)
    }

    /// Records that a worker is about to cache a request's prefix and session.
    pub fn insert(&mut self, spec: &RequestSpec, worker: &WorkerId, at: Micros) {
        if let Some(prefix) = spec.prefix.clone() {
            let entry = CacheEntry {
                tokens: spec.prefix_tokens,
                at,
            };
            self.prefixes
                .entry(prefix)
                .or_default()
                .insert(worker.clone(), entry);
        }
        if let Some(session) = spec.session.clone() {
            let entry = CacheEntry {
                tokens: spec.prompt_tokens,
                at,
            };
            self.sessions.insert(session, (worker.clone(), entry));
        }
    }

    /// Tokens of a prompt taken to be cached at a worker by entries not older than `since`: the longer
    /// match of prefix and session.
    pub fn cached_tokens(&self, spec: &RequestSpec, worker: &WorkerId, since: Micros) -> f64 {
        let prefix = (spec.prefix.as_ref())
            .and_then(|prefix| self.prefixes.get(prefix)?.get(worker))
            .filter(|entry| entry.at >= since)
            .map_or(0, |entry| entry.tokens.min(spec.prefix_tokens));
        let session = (spec.session.as_ref())
            .and_then(|session| self.sessions.get(session))
            .filter(|(holder, entry)| holder == worker && entry.at >= since)
            .map_or(0, |(_, entry)| entry.tokens);
        prefix.max(session).min(spec.prompt_tokens) as f64
    }

    /// Whether a worker with the request's session is known.
    pub fn knows_session(&self, spec: &RequestSpec) -> bool {
        spec.session
            .as_ref()
            .is_some_and(|session| self.sessions.contains_key(session))
    }

    /// Tokens of all prefixes taken to be cached at a worker.
    pub fn total_cached_tokens(&self, worker: &WorkerId) -> f64 {
        let entries = self
            .prefixes
            .values()
            .filter_map(|holders| holders.get(worker));
        entries.map(|entry| entry.tokens as f64).sum()
    }

    /// Removes entries older than `before`.
    pub fn expire(&mut self, before: Micros) {
        self.prefixes.retain(|_, holders| {
            holders.retain(|_, entry| entry.at >= before);
            !holders.is_empty()
        });
        self.sessions.retain(|_, (_, entry)| entry.at >= before);
        self.requests_by_prefix
            .retain(|_, requests| requests.updated_at() >= before);
    }

    /// Removes a worker, whose new process has nothing cached.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.prefixes.values_mut().for_each(|holders| {
            holders.remove(worker);
        });
        self.sessions.retain(|_, (holder, _)| holder != worker);
    }
}

#[cfg(test)]
mod tests;
