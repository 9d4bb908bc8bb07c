//! Placement of prefills: by cached prefix if that saves work, else by load; and ownership of prefixes.

use super::{LOAD_HALF_LIFE, MAX_LOAD_IMBALANCE, PREFIX_TTL, Policy, STAGE_SHARE};
use crate::routing::model::{Attempt, Request, affinity_key, decay, hash_to_unit};
use crate::routing::types::{LoadReport, RequestSpec, Role, WorkerId};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prefill time per token, in microseconds, of a slow worker. Used if the objectives do not depend on the
/// prompt's length.
const DEFAULT_PREFILL_US_PER_TOKEN: f64 = 70.0;
/// Maximum fraction of the time-to-first-token objective that a prefill on a worker in slow start may take.
const MAX_WARMING_UP_PREFILL_SHARE: f64 = 0.75;
/// Minimum number of prefill workers per owner of a prefix. The most popular prefixes make up a sixth of all
/// prefill work.
const MIN_PREFILL_WORKERS_PER_OWNER: u64 = 8;
/// Minimum ratio of the whole prompt to its uncached part at which the holder of a cached prefix is picked.
const MIN_CACHE_GAIN: f64 = 2.0;

/// A prefill worker as a candidate for one placement decision.
struct PrefillCandidate<'a> {
    id: &'a WorkerId,
    latency_factor: f64,
    /// Queued tokens plus the cost of lost answers, in tokens at a worker of normal speed.
    load: f64,
    /// Prompt tokens that the worker has not cached.
    uncached_tokens: f64,
    /// Tie-breaker that is the same at all routers, so that the next turn of a session finds its prefix
    /// cached.
    rank: u64,
}

impl Policy {
    /// Picks the prefill worker. Returns it with the number of prompt tokens that it has not cached.
    pub(super) fn pick_prefill_worker(
        &self,
        request: &Request,
        usable: &[WorkerId],
    ) -> Option<(WorkerId, f64)> {
        let spec = &request.spec;
        let prompt = spec.prompt_tokens as f64;
        let warm: Vec<WorkerId> = (usable.iter())
            .filter(|id| !self.is_id_warming_up(id))
            .cloned()
            .collect();
        if let Some(worker) = self.pick_warming_up_worker(request, usable, &warm) {
            return Some((worker, prompt));
        }
        let owner = self.rendezvous_owner(spec, &warm)?;
        let mean_queue = self.mean_reported_queue(usable);
        let candidates = self.prefill_candidates(request, &warm, &owner, mean_queue);
        let loads = candidates.iter().map(|candidate| candidate.load);
        let mean_load = loads.sum::<f64>() / candidates.len() as f64;
        let holder = (candidates.iter())
            .filter(|candidate| candidate.uncached_tokens < prompt || *candidate.id == owner)
            .max_by(|a, b| {
                (b.uncached_tokens.total_cmp(&a.uncached_tokens))
                    .then(b.load.total_cmp(&a.load))
                    .then(a.rank.cmp(&b.rank))
            });
        if let Some(holder) = holder {
            // On a slow worker the uncached part costs more. The owner of a prefix counts as its holder.
            let uncached = holder.uncached_tokens;
            let saves_work = prompt > MIN_CACHE_GAIN * uncached * holder.latency_factor;
            let has_capacity = holder.load <= MAX_LOAD_IMBALANCE * (mean_load + uncached);
            if (saves_work || *holder.id == owner) && has_capacity {
                return Some((holder.id.clone(), uncached));
            }
        }
        candidates
            .iter()
            .min_by(|a, b| {
                let (cost, other_cost) = (self.prefill_cost(a), self.prefill_cost(b));
                cost.total_cmp(&other_cost).then(b.rank.cmp(&a.rank))
            })
            .map(|candidate| (candidate.id.clone(), candidate.uncached_tokens))
    }

    /// The worker in slow start that gets the prefill, if any. A prefill that would take long there goes to a
    /// warm worker, since the prefix is cached elsewhere and other prefills would queue behind it. Without
    /// warm workers, the owner of the prefix gets it.
    fn pick_warming_up_worker(
        &self,
        request: &Request,
        usable: &[WorkerId],
        warm: &[WorkerId],
    ) -> Option<WorkerId> {
        if warm.is_empty() {
            return self.rendezvous_owner(&request.spec, usable);
        }
        let prompt = request.spec.prompt_tokens as f64;
        let limit = self.ttft_objective(request) as f64 * MAX_WARMING_UP_PREFILL_SHARE;
        let takes_long = |id: &WorkerId| {
            prompt * self.expected_prefill_us_per_token() * self.latency_factor(id) > limit
        };
        usable
            .iter()
            .find(|id| self.is_id_warming_up(id) && !takes_long(id))
            .cloned()
    }

    fn is_id_warming_up(&self, id: &WorkerId) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| self.is_warming_up(worker))
    }

    fn prefill_candidates<'a>(
        &self,
        request: &Request,
        warm: &'a [WorkerId],
        owner: &WorkerId,
        mean_queue: f64,
    ) -> Vec<PrefillCandidate<'a>> {
        let spec = &request.spec;
        let prompt = spec.prompt_tokens as f64;
        // Other routers send the same prefix to its owner as well, so it is assumed to be cached there.
        let assumed_at_owner = (spec.prefix_tokens as f64).min(prompt);
        let key = affinity_key(spec, self.seed, self.rendezvous_owner_count(spec));
        // A lost answer costs as many tokens as could be prefilled until its timeout.
        let us_per_token = self.learned.prefill_us_per_token.value_or(f64::MAX);
        let loss_cost =
            self.ttft_objective(request) as f64 * (1.0 - STAGE_SHARE) / us_per_token.max(1e-9);
        let since = self.now.saturating_sub(PREFIX_TTL);
        let candidate = |id: &'a WorkerId| {
            let latency_factor = self.latency_factor(id);
            let assumed = if id == owner { assumed_at_owner } else { 0.0 };
            let cached = self.prefix_cache.cached_tokens(spec, id, since);
            let load = self.queued_tokens(id, mean_queue) * latency_factor
                + self.loss_rate(id, request.class, 0.0) * loss_cost;
            PrefillCandidate {
                id,
                latency_factor,
                load,
                uncached_tokens: prompt - cached.max(assumed),
                rank: xxh3_64_with_seed(id.0.as_bytes(), key),
            }
        };
        warm.iter().map(candidate).collect()
    }

    /// Cost of a prefill at a worker, in tokens. The prefill's uncached tokens are counted once for each
    /// prefill that is queued there, because they delay all of them. Otherwise a prefill would be moved from
    /// its holder to a worker with an equally long queue, where it adds more work than it avoids.
    fn prefill_cost(&self, candidate: &PrefillCandidate) -> f64 {
        let queued = self
            .in_flight_at(candidate.id)
            .filter(|attempt| !attempt.is_decode);
        let affected_prefills = 1.0 + queued.count() as f64;
        candidate.load
            + self.eviction_cost(candidate.id, candidate.uncached_tokens)
            + candidate.uncached_tokens * candidate.latency_factor * affected_prefills
    }

    /// Expected prefill time per token, in microseconds: the part of the objectives that grows with the
    /// prompt, or a default if there is none.
    pub(super) fn expected_prefill_us_per_token(&self) -> f64 {
        let per_1000_tokens = (self.config.classes.iter())
            .map(|class| class.ttft_objective_per_1000_tokens)
            .max()
            .unwrap_or(0);
        if per_1000_tokens > 0 {
            per_1000_tokens as f64 / 1000.0
        } else {
            DEFAULT_PREFILL_US_PER_TOKEN
        }
    }

    /// Expected number of cached tokens that a prefill would evict, estimated from the worker's memory share
    /// and the memory that the prefill needs.
    fn eviction_cost(&self, id: &WorkerId, uncached_tokens: f64) -> f64 {
        let Some(worker) = self.workers.get(id) else {
            return 0.0;
        };
        let cached = self.prefix_cache.total_cached_tokens(id);
        let memory_share = worker
            .report
            .and_then(|(_, report)| report.memory_share)
            .unwrap_or(cached / worker.memory_tokens)
            .clamp(0.0, 1.0);
        cached * memory_share * (uncached_tokens / worker.memory_tokens).min(1.0)
    }

    /// The prefill worker that owns a request's prefix, by rendezvous hashing weighted by capacity. All
    /// routers of a zone compute the same owner. As many prefixes as the zone's share of all prefill capacity
    /// allows have an owner within the zone.
    pub(super) fn rendezvous_owner(
        &self,
        spec: &RequestSpec,
        usable: &[WorkerId],
    ) -> Option<WorkerId> {
        let key = affinity_key(spec, self.seed, self.rendezvous_owner_count(spec));
        let is_in_zone = |id: &WorkerId| self.workers[id].zone == self.config.zone;
        let score = |id: &WorkerId| {
            let draw = hash_to_unit(xxh3_64_with_seed(id.0.as_bytes(), key));
            -self.capacity(&self.workers[id]) / draw.ln()
        };
        let best = |zone_only: bool| {
            (usable.iter())
                .filter(|id| !zone_only || is_in_zone(id))
                .max_by(|a, b| score(a).total_cmp(&score(b)).then(b.cmp(a)))
        };
        let stays_in_zone = hash_to_unit(key ^ 1) < self.zone_prefill_share();
        best(stays_in_zone).or_else(|| best(false)).cloned()
    }

    /// Ratio of the prefill capacity of this router's zone to the mean over all zones.
    fn zone_prefill_share(&self) -> f64 {
        let zones: BTreeSet<&str> = (self.workers.values())
            .map(|worker| worker.zone.as_str())
            .collect();
        let ready = || self.ready_workers(Role::Prefill).map(|(_, worker)| worker);
        let zone_capacity: f64 = ready()
            .filter(|worker| worker.zone == self.config.zone)
            .map(|worker| self.capacity(worker))
            .sum();
        let total_capacity: f64 = ready().map(|worker| self.capacity(worker)).sum();
        zone_capacity * zones.len() as f64 / total_capacity.max(1e-9)
    }

    /// Number of owners over which the sessions of a request's prefix are spread: the prefix's share of all
    /// requests, as a number of prefill workers. It is limited because each owner prefills the prefix once,
    /// and it grows with the share because a frequent prefix exceeds the capacity of one worker.
    fn rendezvous_owner_count(&self, spec: &RequestSpec) -> u64 {
        let workers = self.max_ready[Role::Prefill] as u64;
        let share = self.prefix_cache.request_share(spec, self.now, PREFIX_TTL);
        ((share * workers as f64).round() as u64)
            .min(workers / MIN_PREFILL_WORKERS_PER_OWNER)
            .max(1)
    }

    /// This router's attempts at a worker that have no outcome yet.
    pub(super) fn in_flight_at(&self, id: &WorkerId) -> impl Iterator<Item = &Attempt> {
        let in_flight = self.in_flight.get(id).into_iter().flatten();
        in_flight.filter_map(|(id, index)| self.requests.get(id)?.attempts.get(*index))
    }

    /// Tokens queued at a prefill worker: those of this router, those inferred from timeouts, and those
    /// reported. An aging report decays to `mean_queue` rather than to an empty queue, which would attract
    /// prompts away from the holders of their prefixes.
    pub(super) fn queued_tokens(&self, id: &WorkerId, mean_queue: f64) -> f64 {
        let own: f64 = (self.in_flight_at(id))
            .filter(|attempt| !attempt.is_decode)
            .map(|attempt| attempt.load_tokens)
            .sum();
        let (reported, trust) = self.reported_queue(id);
        let inferred = self.workers.get(id).map_or(0.0, |worker| {
            worker
                .inferred_queued_tokens
                .value_at(self.now, LOAD_HALF_LIFE)
        });
        own + inferred + trust * reported + (1.0 - trust) * mean_queue
    }

    /// Uncached tokens that a worker reported as queued, and the weight of that report, from 0 to 1.
    fn reported_queue(&self, id: &WorkerId) -> (f64, f64) {
        let report = self.workers.get(id).and_then(|worker| worker.report);
        let Some((
            reported_at,
            LoadReport {
                queued_tokens: Some(queued_tokens),
                ..
            },
        )) = report
        else {
            return (0.0, 0.0);
        };
        // Reports include cached tokens.
        let uncached_share = self.learned.uncached_tokens.value_or(1.0)
            / self.learned.prompt_tokens.value_or(1.0).max(1.0);
        let trust = decay(self.now, reported_at, LOAD_HALF_LIFE);
        (queued_tokens * uncached_share.min(1.0), trust)
    }

    /// Mean of the reported queues, weighted by the reports' age.
    fn mean_reported_queue(&self, workers: &[WorkerId]) -> f64 {
        let mut sum = 0.0;
        let mut total_trust = 1e-9;
        for id in workers {
            let (reported, trust) = self.reported_queue(id);
            sum += reported * trust;
            total_trust += trust;
        }
        sum / total_trust
    }
}
