//! Placement of decodes: near the KV state where memory, links and health allow.

use super::{LOAD_HALF_LIFE, PREFIX_TTL, Policy, STREAM_HALF_LIFE};
use crate::routing::model::{Distance, Request, Worker, decay, hash_to_unit};
use crate::routing::types::{Idempotency, LoadReport, RequestId, Role, WorkerId};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A nearer worker is preferred while its memory share exceeds the best one's by no more than this: about
/// one long request.
const MEMORY_SHARE_TOLERANCE: f64 = 0.1;
/// A link is slow if first tokens over it take this many times as long as within the cell: sites state up
/// to 2.7.
const SLOW_LINK_FACTOR: f64 = 3.0;
/// Completed streams with which every worker starts: fewer of its own are chance.
const STREAM_PRIOR_COMPLETIONS: f64 = 2.0;
/// A worker's streams may last this multiple of what others' do: their lengths differ by as much.
const SLOW_STREAM_FACTOR: f64 = 2.0;
/// A slowdown below this is chance: on calm days it would only move KV state further.
const MIN_STREAM_SLOWDOWN: f64 = 0.3;
/// Answers received that make up for one lost, in the loss rate of decode workers.
const RECEIVED_PER_LOST: f64 = 2.0;
/// Decayed number of remote timeouts from which decodes stay near the KV state.
const REMOTE_TIMEOUT_THRESHOLD: f64 = 0.5;
/// Decayed number of completions from which a worker's streams count for the usual duration.
const MIN_COMPLETIONS: f64 = 0.5;

/// The usable decode workers of one decision.
struct DecodeCandidates<'a> {
    policy: &'a Policy,
    request: RequestId,
    ids: &'a [WorkerId],
    slowdown: BTreeMap<&'a WorkerId, f64>,
    /// Projected memory share and everything that speaks against a worker, on the same scale.
    cost: BTreeMap<&'a WorkerId, f64>,
}

impl<'a> DecodeCandidates<'a> {
    fn new(policy: &'a Policy, id: RequestId, request: &Request, ids: &'a [WorkerId]) -> Self {
        let slowdown = policy.stream_slowdowns(ids);
        // A lost answer, perhaps over a slow link, is as bad as full memory.
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

    /// The cheapest worker with a property. Ties are broken at random, or all routers would pick the same
    /// one.
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

    /// The first worker with a property, whatever its cost.
    fn first(&self, has_property: &dyn Fn(&Worker) -> bool) -> Option<&'a WorkerId> {
        (self.ids.iter()).find(|id| self.policy.workers.get(*id).is_some_and(has_property))
    }
}

impl Policy {
    /// Picks the worker that streams the response; `holder`: the prefill worker that holds the KV state.
    pub(super) fn pick_decode_worker(
        &self,
        id: RequestId,
        holder: Option<&WorkerId>,
    ) -> Option<WorkerId> {
        let request = self.requests.get(&id)?;
        let mut usable = self.usable(Role::Decode, id);
        usable.extend(self.usable(Role::Mixed, id));
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
            let link_slowdown = self.link_slowdown(distance, distance.farther());
            // Only the near decode workers' share of the fleet stays near: see `balance_kv_transfers`.
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

    /// The candidates within the holder's cell and within its zone. One in slow start takes its turn first.
    fn near_candidates<'a>(
        &self,
        candidates: &DecodeCandidates<'a>,
        holder: &Worker,
    ) -> [(Distance, Option<&'a WorkerId>); 2] {
        let in_cell = |worker: &Worker| worker.cell == holder.cell;
        let in_zone = |worker: &Worker| worker.zone == holder.zone;
        let takes_turn = |worker: &Worker| {
            self.is_warming_up(worker)
                && (in_cell(worker) || in_zone(worker) && self.is_budget_concentrated(worker))
        };
        let cell_candidate = candidates
            .first(&takes_turn)
            .or_else(|| candidates.cheapest(&in_cell));
        let zone_candidate = candidates
            .cheapest(&|worker| in_zone(worker) && has_spare_decode_capacity(worker))
            .or_else(|| candidates.cheapest(&in_zone));
        [
            (Distance::SameCell, cell_candidate),
            (Distance::SameZone, zone_candidate),
        ]
    }

    /// How much longer first tokens take over one distance than over a nearer one, at least 1: over a slow
    /// link, nearer workers are preferred the more.
    fn link_slowdown(&self, near: Distance, far: Distance) -> f64 {
        let us_per_token = |d: Distance| self.learned.first_token_us_per_token[d].value_or(0.0);
        (us_per_token(far) / us_per_token(near).max(1e-9)).max(1.0)
    }

    /// A request's random draw against the share of decodes that stay near: 0, which always stays near,
    /// while remote KV transfers have just timed out.
    fn locality_draw(&self, id: RequestId) -> f64 {
        if self.decode_timeouts.farther(self.now, LOAD_HALF_LIFE) >= REMOTE_TIMEOUT_THRESHOLD {
            return 0.0;
        }
        hash_to_unit(xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed ^ 1))
    }

    /// 1 if decodes within the cell are healthy, less with each timeout there while those beyond are
    /// answered. Never 0, or recovery would go unnoticed. 1 over slow links, where workers beyond would be
    /// worse.
    fn local_decode_health(&self) -> f64 {
        let us_per_token = |d: Distance| self.learned.first_token_us_per_token[d].value_or(0.0);
        let is_link_slow =
            us_per_token(Distance::Remote) > SLOW_LINK_FACTOR * us_per_token(Distance::SameCell);
        let excess_timeouts = if is_link_slow {
            0.0
        } else {
            let same_cell = self.decode_timeouts.same_cell(self.now, LOAD_HALF_LIFE);
            let farther = self.decode_timeouts.farther(self.now, LOAD_HALF_LIFE);
            (same_cell - farther).max(0.0)
        };
        1.0 / (1.0 + excess_timeouts)
    }

    /// How far KV state would move from its holder to this worker.
    pub(super) fn distance(&self, holder: Option<&WorkerId>, to: &Worker) -> Distance {
        match holder.and_then(|id| self.workers.get(id)) {
            Some(from) if from.cell == to.cell => Distance::SameCell,
            Some(from) if from.zone == to.zone => Distance::SameZone,
            _ => Distance::Remote,
        }
    }

    /// Projected memory share of a decode worker, multiplied by its latency factor. Without a fresh report
    /// the other routers are taken to hold as much there as this one.
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
        let own_tokens = self.in_flight_at(id).map(|attempt| attempt.tokens);
        let guess = own_tokens.sum::<f64>() * routers;
        let projected = match worker.report {
            Some((
                reported_at,
                LoadReport {
                    memory_share: Some(share),
                    ..
                },
            )) => {
                let sent_since: f64 = (self.in_flight_at(id))
                    .filter(|attempt| attempt.sent_at >= reported_at)
                    .map(|attempt| attempt.tokens)
                    .sum();
                let trust = decay(self.now, reported_at, LOAD_HALF_LIFE);
                trust * (share * worker.memory_tokens + sent_since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / worker.memory_tokens * self.latency_factor(id)
    }

    /// Share of a class's attempts at a worker whose answers were lost of late, each received answer making
    /// up for `received_per_lost` lost ones. Guards against workers that answer one class and not another:
    /// their failure rate is low.
    pub(super) fn loss_rate(&self, id: &WorkerId, class: usize, received_per_lost: f64) -> f64 {
        let worker = self.workers.get(id);
        let Some(answers) = worker.and_then(|worker| worker.answers_by_class.get(&class)) else {
            return 0.0;
        };
        let lost = answers.failures.value_at(self.now, LOAD_HALF_LIFE);
        let received = answers.successes.value_at(self.now, LOAD_HALF_LIFE);
        (lost - received_per_lost * received).max(0.0) / (lost + received + 1.0)
    }

    /// What speaks against a decode worker: recent failures, and for non-idempotent requests that it has
    /// never answered. Each of many routers has to meet a bad worker once: with a retryable request, if
    /// possible.
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

    /// How much longer each decode worker's streams last than is usual, from 0 (within bounds) to 1. Guards
    /// against workers that start streams at once and then crawl; streams still running show it first.
    fn stream_slowdowns<'a>(&self, ids: &'a [WorkerId]) -> BTreeMap<&'a WorkerId, f64> {
        let streams: Vec<Streams> = ids.iter().map(|id| self.streams_at(id)).collect();
        let mut means: Vec<f64> = (streams.iter())
            .filter(|streams| streams.completions >= MIN_COMPLETIONS)
            .map(|streams| streams.duration / streams.completions.max(1.0))
            .collect();
        means.sort_by(f64::total_cmp);
        let usual = means
            .get(means.len().saturating_sub(1) / 2)
            .map_or(f64::MAX, |mean| mean.max(1.0));
        let slowdowns = streams.iter().map(|streams| streams.slowdown(usual));
        ids.iter().zip(slowdowns).collect()
    }

    fn streams_at(&self, id: &WorkerId) -> Streams {
        let (ended, completions) = self.workers.get(id).map_or((0.0, 0.0), |worker| {
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
            duration: ended + running.sum::<f64>(),
            completions,
        }
    }
}

/// Streams of one decode worker, those that still run included.
struct Streams {
    /// Sum of their durations, in microseconds.
    duration: f64,
    /// Streams served to their end.
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

/// Whether there is more decode than prefill capacity in a worker's cell.
fn has_spare_decode_capacity(worker: &Worker) -> bool {
    worker.local_decode_share.cell > 1.0
}
