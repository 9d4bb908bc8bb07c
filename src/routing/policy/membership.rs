//! The endpoint list: updates, restarted workers, and how KV transfers are balanced over cells and zones.

use super::{EWMA_WEIGHT, MAX_BACKOFF_DOUBLINGS, Policy};
use crate::routing::model::{Ewma, LocalDecodeShare, Worker, hash_to_unit};
use crate::routing::types::{Endpoint, EndpointUpdate, Micros, Role, Status};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time that discovery, one service for all routers, may need for one fetch of the list.
const FETCH_INTERVAL: Micros = 20_000;
/// Longest delay of a retry. Endpoint changes count as known after 6 s, and it takes half of that to notice
/// that a fetch or a watch is lost.
const MAX_FETCH_DELAY: Micros = 2_000_000;
/// Memory of a worker whose kind states none, in tokens.
const DEFAULT_MEMORY_TOKENS: f64 = 1e6;

/// The workers around a worker: those of its zone, or only those of its cell in that zone.
type Neighbourhood = (String, Option<u64>);

/// Decode and prefill capacity of some workers.
#[derive(Clone, Copy, Default)]
struct StageCapacity {
    decode: f64,
    prefill: f64,
}

impl StageCapacity {
    fn add(&mut self, role: Role, capacity: f64) {
        if role != Role::Prefill {
            self.decode += capacity;
        }
        if role != Role::Decode {
            self.prefill += capacity;
        }
    }
}

impl Policy {
    pub(super) fn apply_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.schedule_endpoint_fetch(update);
        if update == EndpointUpdate::Failed {
            return;
        }
        if update != EndpointUpdate::Incremental {
            for worker in self.workers.values_mut() {
                worker.status = Status::Gone;
            }
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint);
        }
        self.balance_kv_transfers();
        // A worker that is gone stays known while attempts of this router are in flight there.
        self.in_flight.retain(|_, attempts| !attempts.is_empty());
        self.workers
            .retain(|id, worker| worker.status != Status::Gone || self.in_flight.contains_key(id));
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            self.max_ready[role] = self.max_ready[role].max(self.ready(role).count());
            self.learn_median_latency_factor(role);
        }
    }

    /// Schedules the retry of a failed fetch, at a random moment of a span in which all routers can fetch
    /// one after another; the span doubles with each failure.
    fn schedule_endpoint_fetch(&mut self, update: EndpointUpdate) {
        let failures = if update == EndpointUpdate::Failed {
            self.endpoint_fetch.failures + 1
        } else {
            0
        };
        self.endpoint_fetch.failures = failures.min(MAX_BACKOFF_DOUBLINGS);
        let needs_fetch = matches!(update, EndpointUpdate::Failed | EndpointUpdate::Restored);
        if needs_fetch && self.config.endpoints_require_subscription {
            let all_routers = FETCH_INTERVAL * Micros::from(self.config.routers);
            let span = MAX_FETCH_DELAY.min(all_routers << self.endpoint_fetch.failures);
            let draw = hash_to_unit(xxh3_64_with_seed(&self.now.to_le_bytes(), self.seed));
            self.endpoint_fetch.due = Some(self.now + (span as f64 * draw) as Micros);
        }
    }

    fn apply_endpoint(&mut self, endpoint: Endpoint) {
        let kind = (self.config.kinds.iter()).find(|kind| kind.name == endpoint.kind);
        let role = kind.map_or(Role::Mixed, |kind| kind.role);
        let memory_tokens = kind
            .and_then(|kind| kind.memory_tokens)
            .map_or(DEFAULT_MEMORY_TOKENS, |tokens| tokens.max(1) as f64);
        let has_restarted = self
            .workers
            .get(&endpoint.worker)
            .is_none_or(|worker| worker.started != endpoint.started || worker.role != role);
        if has_restarted {
            // A new process: nothing cached, nothing learned, in slow start if it began lately.
            self.prefix_cache.forget(&endpoint.worker);
            let worker = Worker {
                // Weighted so that one outlier says little.
                latency_factor: Ewma::from_prior(1.0, 1.0 / EWMA_WEIGHT),
                role,
                memory_tokens,
                started: endpoint.started,
                ..Worker::default()
            };
            self.workers.insert(endpoint.worker.clone(), worker);
        }
        if let Some(worker) = self.workers.get_mut(&endpoint.worker) {
            worker.zone = endpoint.zone;
            worker.cell = endpoint.cell;
            worker.status = endpoint.status;
            worker.weight = if endpoint.weight.is_finite() && endpoint.weight > 0.0 {
                endpoint.weight
            } else {
                1.0
            };
        }
    }

    /// Sets each worker's share of the KV transfers that stay in its cell and zone, from the endpoint list
    /// alone, so that all routers agree on it.
    fn balance_kv_transfers(&mut self) {
        let cell = |worker: &Worker| -> Neighbourhood { (worker.zone.clone(), Some(worker.cell)) };
        let zone = |worker: &Worker| -> Neighbourhood { (worker.zone.clone(), None) };
        let mut fleet = StageCapacity::default();
        let mut by_neighbourhood = BTreeMap::<Neighbourhood, StageCapacity>::new();
        for worker in self.workers.values() {
            if worker.status != Status::Ready {
                continue;
            }
            let capacity = self.capacity(worker);
            fleet.add(worker.role, capacity);
            for neighbourhood in [cell(worker), zone(worker)] {
                let local = by_neighbourhood.entry(neighbourhood).or_default();
                local.add(worker.role, capacity);
            }
        }
        let decode_share = |neighbourhood: &Neighbourhood| {
            by_neighbourhood.get(neighbourhood).map_or(1.0, |local| {
                local.decode * fleet.prefill / (local.prefill * fleet.decode).max(1e-9)
            })
        };
        for worker in self.workers.values_mut() {
            worker.local_decode_share = LocalDecodeShare {
                cell: decode_share(&cell(worker)),
                zone: decode_share(&zone(worker)),
            };
        }
    }
}
