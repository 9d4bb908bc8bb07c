//! Placement of decodes: near the KV state if memory, links and worker health allow it.

use super::{LOAD_HALF_LIFE, PREFIX_TTL, Policy, STREAM_HALF_LIFE};
use crate::routing::model::{Distance, Request, Worker, decay, hash_to_unit};
use crate::routing::types::{Idempotency, LoadReport, RequestId, Role, WorkerId};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum excess of a near worker's cost, in memory share, over the best worker's at which the near worker
/// is still preferred: about one long request.
const MEMORY_SHARE_TOLERANCE: f64 = 0.1;
/// Ratio of the first-token times over a link and within a cell above which the link counts as slow. Sites
/// state ratios of up to 2.7.
const SLOW_LINK_FACTOR: f64 = 3.0;
/// Number of ordinary streams that is added to each worker's statistics, because a few streams say little.
const STREAM_PRIOR_COMPLETIONS: f64 = 2.0;
/// Maximum ratio of a worker's stream duration to the usual one that counts as normal, because response
/// lengths differ by as much.
const SLOW_STREAM_FACTOR: f64 = 2.0;
/// Slowdown below which a difference counts as random. Reacting to it would only move KV state farther.
const MIN_STREAM_SLOWDOWN: f64 = 0.3;
/// Number of received answers that offset one lost answer in the loss rate of decode workers.
const RECEIVED_PER_LOST: f64 = 2.0;
/// Decayed number of timeouts outside the cell from which decodes stay near the KV state.
const REMOTE_TIMEOUT_THRESHOLD: f64 = 0.5;
/// Decayed number of completions from which a worker's streams are included in the usual duration.
const MIN_COMPLETIONS: f64 = 0.5;

/// Usable decode workers for one placement decision.
struct DecodeCandidates<'a> {
    policy: &'a Policy,
    request: RequestId,
    ids: &'a [WorkerId],
    slowdown: BTreeMap<&'a WorkerId, f64>,
    /// Projected memory share plus penalties for failures and slowness, on the same scale.
    cost: BTreeMap<&'a WorkerId, f64>,
}

impl<'a> DecodeCandidates<'a> {
    fn new(policy: &'a Policy, id: RequestId, request: &Request, ids: &'a [WorkerId]) -> Self {
        let slowdown = policy.stream_slowdowns(ids);
        // Lost answers, for example due to a slow link, cost as much as full memory.
        let cost = |id: &WorkerId| {
            policy.projected_memory_share(id)
                + policy.loss_rate(id, request.class, RECEIVED_PER_LOST)
                + slowdown[id]
                + policy.failure_risk(id, request)
        };
        let cost = ids.iter().map(|id| (id, cost(id))).collect();
        DecodeCandidates {
            policy,
            request: id,
            ids,
            slowdown,
            cost,
        }
    }

    /// The cheapest worker with a property. Ties are broken at random, because otherwise all routers would
    /// pick the same worker.
    fn cheapest(&self, has_property: &dyn Fn(&Worker) -> bool) -> Option<&'a WorkerId> {
        let seed = self.request.0 ^ self.policy.seed;
        let draw = |id: &WorkerId| xxh3_64_with_seed(id.0.as_bytes(), seed);
        (self.ids.iter())
            .filter(|id| self.policy.workers.get(*id).is_some_and(has_property))
            .min_by(|a, b| {
                self.cost[a]
                    .total_cmp(&self.cost[b])
                    .then_with(|| draw(a).cmp(&draw(b)))
            })
    }

    /// The first worker with a property, regardless of its cost.
    fn first(&self, has_property: &dyn Fn(&Worker) -> bool) -> Option<&'a WorkerId> {
        (self.ids.iter()).find(|id| self.policy.workers.get(*id).is_some_and(has_property))
    }
}

impl Policy {
    /// Picks the worker that streams the response. `holder` is the prefill worker that holds the KV state, if
    /// any.
    pub(super) fn pick_decode_worker(
        &self,
        id: RequestId,
        holder: Option<&WorkerId>,
    ) -> Option<WorkerId> {
        let request = self.requests.get(&id)?;
        let mut usable = self.usable_workers(Role::Decode, id);
        usable.extend(self.usable_workers(Role::Mixed, id));
        let candidates = DecodeCandidates::new(self, id, request, &usable);
        let best = candidates.cheapest(&|_| true)?;
        let Some(holder_worker) = holder.and_then(|id| self.workers.get(id)) else {
            return Some(best.clone());
        };
        let best_distance = self
            .workers
            .get(best)
            .map_or(Distance::Remote, |worker| self.distance(holder, worker));
        let draw = self.locality_draw(id);
        let local_health = self.local_decode_health();
        for (distance, candidate) in self.near_candidates(&candidates, holder_worker) {
            let Some(candidate) = candidate else {
                continue;
            };
            let tolerance = MEMORY_SHARE_TOLERANCE * self.link_slowdown(distance, best_distance);
            let has_memory = candidates.cost[candidate] <= candidates.cost[best] + tolerance;
            let local_share = match distance {
                Distance::SameCell => holder_worker.local_decode_share.cell,
                _ => holder_worker.local_decode_share.zone,
            };
            let link_slowdown = self.link_slowdown(distance, distance.next_larger());
            // Only as many decodes stay near as corresponds to the near workers' share of all decode
            // capacity; see `balance_kv_transfers`.
            let share =
                local_share * link_slowdown.min(1.0 + MEMORY_SHARE_TOLERANCE) * local_health;
            if candidates.slowdown[candidate] == 0.0 && has_memory && draw < share {
                return Some(candidate.clone());
            }
        }
        let has_memory =
            |id: &&WorkerId| candidates.cost[*id] <= candidates.cost[best] + MEMORY_SHARE_TOLERANCE;
        candidates
            .cheapest(&has_spare_decode_capacity)
            .filter(has_memory)
            .or(Some(best))
            .cloned()
    }

    /// The best candidates within the holder's cell and within its zone. A candidate in slow start that has
    /// budget left is preferred.
    fn near_candidates<'a>(
        &self,
        candidates: &DecodeCandidates<'a>,
        holder: &Worker,
    ) -> [(Distance, Option<&'a WorkerId>); 2] {
        let in_cell = |worker: &Worker| worker.cell == holder.cell;
        let in_zone = |worker: &Worker| worker.zone == holder.zone;
        let is_slow_start_pick = |worker: &Worker| {
            self.is_warming_up(worker)
                && (in_cell(worker) || in_zone(worker) && self.is_budget_concentrated(worker))
        };
        let cell_candidate = candidates
            .first(&is_slow_start_pick)
            .or_else(|| candidates.cheapest(&in_cell));
        let zone_candidate = candidates
            .cheapest(&|worker| in_zone(worker) && has_spare_decode_capacity(worker))
            .or_else(|| candidates.cheapest(&in_zone));
        [
            (Distance::SameCell, cell_candidate),
            (Distance::SameZone, zone_candidate),
        ]
    }

    /// Ratio of the first-token times over `far` and over `near`, at least 1. The slower a link, the more
    /// strongly nearer workers are preferred.
    fn link_slowdown(&self, near: Distance, far: Distance) -> f64 {
        let us_per_token =
            |distance: Distance| self.learned.first_token_us_per_token[distance].value_or(0.0);
        (us_per_token(far) / us_per_token(near).max(1e-9)).max(1.0)
    }

    /// A number drawn for a request from 0 to 1; the decode stays near the KV state if it is below the share
    /// that stays near. While KV transfers out of the cell have recently timed out it is 0, so that all
    /// decodes stay near.
    fn locality_draw(&self, id: RequestId) -> f64 {
        if self.decode_timeouts.other_cells(self.now, LOAD_HALF_LIFE) >= REMOTE_TIMEOUT_THRESHOLD {
            return 0.0;
        }
        hash_to_unit(xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed ^ 1))
    }

    /// Health of decodes within the cell: 1 if healthy, less with each timeout there in excess of those
    /// outside the cell. Never 0, because a recovery would then go unnoticed. Always 1 if links out of the
    /// cell are slow, since workers outside the cell would be worse.
    fn local_decode_health(&self) -> f64 {
        let us_per_token =
            |distance: Distance| self.learned.first_token_us_per_token[distance].value_or(0.0);
        let is_link_slow =
            us_per_token(Distance::Remote) > SLOW_LINK_FACTOR * us_per_token(Distance::SameCell);
        let excess_timeouts = if is_link_slow {
            0.0
        } else {
            let same_cell = self.decode_timeouts.same_cell(self.now, LOAD_HALF_LIFE);
            let other_cells = self.decode_timeouts.other_cells(self.now, LOAD_HALF_LIFE);
            (same_cell - other_cells).max(0.0)
        };
        1.0 / (1.0 + excess_timeouts)
    }

    /// Distance over which KV state would be transferred from its holder to this worker.
    pub(super) fn distance(&self, holder: Option<&WorkerId>, target: &Worker) -> Distance {
        match holder.and_then(|id| self.workers.get(id)) {
            Some(source) if source.cell == target.cell => Distance::SameCell,
            Some(source) if source.zone == target.zone => Distance::SameZone,
            _ => Distance::Remote,
        }
    }

    /// Projected memory share of a decode worker, multiplied by its latency factor. Without a fresh report,
    /// each other router is assumed to use as much memory there as this one.
    fn projected_memory_share(&self, id: &WorkerId) -> f64 {
        let Some(worker) = self.workers.get(id) else {
            return f64::MAX;
        };
        let all_routers = f64::from(self.config.routers);
        let routers = if self.is_warming_up(worker) {
            all_routers.min(self.slow_start_budget(worker))
        } else {
            all_routers
        };
        let own_tokens = self.in_flight_at(id).map(|attempt| attempt.load_tokens);
        let estimated_tokens = own_tokens.sum::<f64>() * routers;
        let projected_tokens = match worker.report {
            Some((
                reported_at,
                LoadReport {
                    memory_share: Some(share),
                    ..
                },
            )) => {
                let sent_since: f64 = (self.in_flight_at(id))
                    .filter(|attempt| attempt.sent_at >= reported_at)
                    .map(|attempt| attempt.load_tokens)
                    .sum();
                let trust = decay(self.now, reported_at, LOAD_HALF_LIFE);
                trust * (share * worker.memory_tokens + sent_since)
                    + (1.0 - trust) * estimated_tokens
            }
            _ => estimated_tokens,
        };
        projected_tokens / worker.memory_tokens * self.latency_factor(id)
    }

    /// Fraction of a class's recent attempts at a worker whose answers were lost. Each received answer
    /// offsets `received_per_lost` lost answers. Detects workers that answer some classes but not others,
    /// whose overall failure rate is low.
    pub(super) fn loss_rate(&self, id: &WorkerId, class: usize, received_per_lost: f64) -> f64 {
        let worker = self.workers.get(id);
        let Some(answers) = worker.and_then(|worker| worker.answers_by_class.get(&class)) else {
            return 0.0;
        };
        let lost = answers.failures.value_at(self.now, LOAD_HALF_LIFE);
        let received = answers.successes.value_at(self.now, LOAD_HALF_LIFE);
        (lost - received_per_lost * received).max(0.0) / (lost + received + 1.0)
    }

    /// Penalty for a decode worker's recent failures and, with non-idempotent requests, for having never
    /// answered this router. Each router finds out about a bad worker by one failed request, which should be
    /// one that can be retried.
    fn failure_risk(&self, id: &WorkerId, request: &Request) -> f64 {
        let Some(worker) = self.workers.get(id) else {
            return 0.0;
        };
        let failures = worker.outcomes.failures.value_at(self.now, PREFIX_TTL);
        let successes = worker.outcomes.successes.value_at(self.now, PREFIX_TTL);
        let idempotency = self.config.classes[request.class].idempotency;
        let is_untried = worker.last_success_at == 0;
        let untried_penalty = if idempotency == Idempotency::NonIdempotent && is_untried {
            MEMORY_SHARE_TOLERANCE / 2.0
        } else {
            0.0
        };
        failures / (failures + successes + 1.0) + untried_penalty
    }

    /// How much longer each decode worker's streams take than usual, from 0 (normal) to 1. Detects workers
    /// that start streams immediately and then decode slowly. Running streams are included, because they show
    /// it first.
    fn stream_slowdowns<'a>(&self, ids: &'a [WorkerId]) -> BTreeMap<&'a WorkerId, f64> {
        let streams: Vec<Streams> = ids.iter().map(|id| self.streams_at(id)).collect();
        let mut means: Vec<f64> = (streams.iter())
            .filter(|streams| streams.completions >= MIN_COMPLETIONS)
            .map(|streams| streams.duration / streams.completions.max(1.0))
            .collect();
        means.sort_by(f64::total_cmp);
        let usual_duration = means
            .get(means.len().saturating_sub(1) / 2)
            .map_or(f64::MAX, |mean| mean.max(1.0));
        let slowdowns = streams
            .iter()
            .map(|streams| streams.slowdown(usual_duration));
        ids.iter().zip(slowdowns).collect()
    }

    fn streams_at(&self, id: &WorkerId) -> Streams {
        let (ended_duration, completions) = self.workers.get(id).map_or((0.0, 0.0), |worker| {
            let duration = worker.streams.duration;
            let completions = worker.streams.completions;
            (
                duration.value_at(self.now, STREAM_HALF_LIFE),
                completions.value_at(self.now, STREAM_HALF_LIFE),
            )
        });
        let running = (self.in_flight_at(id))
            .filter_map(|attempt| attempt.first_token_at)
            .map(|first_token_at| (self.now - first_token_at) as f64);
        Streams {
            duration: ended_duration + running.sum::<f64>(),
            completions,
        }
    }
}

/// Statistics of one decode worker's streams, including running ones.
struct Streams {
    /// Sum of the streams' durations, in microseconds.
    duration: f64,
    /// Number of streams that were served completely.
    completions: f64,
}

impl Streams {
    fn slowdown(&self, usual_duration: f64) -> f64 {
        let ratio = (self.duration / usual_duration + STREAM_PRIOR_COMPLETIONS)
            / (self.completions + STREAM_PRIOR_COMPLETIONS);
        let slowdown = 1.0 - SLOW_STREAM_FACTOR / ratio;
        if slowdown > MIN_STREAM_SLOWDOWN {
            slowdown
        } else {
            0.0
        }
    }
}

/// Whether a worker's cell has more decode than prefill capacity, each relative to all workers.
fn has_spare_decode_capacity(worker: &Worker) -> bool {
    worker.local_decode_share.cell > 1.0
}
