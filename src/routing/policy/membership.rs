//! The list of workers: entries, new lives, and how the flow of states divides over zones.

use super::*;

/// What a call for the list may take at discovery, one service for all routers; and the longest wait for one:
/// a change counts as told after 6 s, and it takes half of them to see that a call or a watch is lost.
const FETCH_INTERVAL: Micros = 20_000;
const MAX_FETCH_DELAY: Micros = 2_000_000;

impl Policy {
    pub(super) fn apply_endpoints(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        let failures = if kind == EndpointUpdate::Failed {
            self.endpoint_fetch_failures + 1
        } else {
            0
        };
        self.endpoint_fetch_failures = failures.min(MAX_BACKOFF_DOUBLINGS);
        if matches!(kind, EndpointUpdate::Failed | EndpointUpdate::Restored)
            && self.config.endpoints_on_request
        {
            // A span for all routers' calls one by one, doubled with each failure: in step they never end.
            let span = MAX_FETCH_DELAY.min(
                (FETCH_INTERVAL * Micros::from(self.config.routers))
                    << self.endpoint_fetch_failures,
            );
            let drawn = hash_to_unit(xxh3_64_with_seed(&self.now.to_le_bytes(), self.seed));
            self.endpoint_fetch_due = Some(self.now + (span as f64 * drawn) as Micros);
        }
        if kind == EndpointUpdate::Failed {
            return;
        }
        if kind != EndpointUpdate::Incremental {
            self.workers
                .values_mut()
                .for_each(|w| w.status = Status::Gone);
        }
        for e in entries {
            self.apply_endpoint(e);
        }
        self.balance_kv_transfers();
        // A gone worker stays known while something of ours is out there.
        self.in_flight.retain(|_, attempts| !attempts.is_empty());
        let busy = |id: &WorkerId| self.in_flight.contains_key(id);
        self.workers
            .retain(|id, w| w.status != Status::Gone || busy(id));
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            self.max_ready[role as usize] =
                self.max_ready[role as usize].max(self.ready(role).count());
            self.learn_median_latency_factor(role);
        }
    }

    pub(super) fn apply_endpoint(&mut self, e: Endpoint) {
        let kind = self.config.kinds.iter().find(|k| k.name == e.kind);
        let role = kind.map_or(Role::Mixed, |k| k.role);
        let memory = kind
            .and_then(|k| k.memory_tokens)
            .map_or(1e6, |m| m.max(1) as f64);
        let weight = if e.weight.is_finite() && e.weight > 0.0 {
            e.weight
        } else {
            1.0
        };
        if self
            .workers
            .get(&e.worker)
            .is_none_or(|w| w.started != e.started || w.role != role)
        {
            // A new life: nothing kept, nothing learned, cold if it began lately.
            self.prefix_cache.forget(&e.worker);
            let slowness = Ewma::from_prior(1.0, 1.0 / EWMA_WEIGHT); // one odd answer says little
            let fresh = Worker {
                latency_factor: slowness,
                role,
                memory_tokens: memory,
                started: e.started,
                ..Worker::default()
            };
            self.workers.insert(e.worker.clone(), fresh);
        }
        if let Some(w) = self.workers.get_mut(&e.worker) {
            (w.zone, w.cell, w.status, w.weight) = (e.zone, e.cell, e.status, weight);
        }
    }

    /// The flow of states that all routers together should make, from the list alone: they stay in their cell
    /// and zone as far as the writers' part there goes (`keep`; above 1 there is room for others' states).
    pub(super) fn balance_kv_transfers(&mut self) {
        let groups = |w: &Worker| [(w.zone.clone(), Some(w.cell)), (w.zone.clone(), None)];
        let (mut parts, mut all) = (BTreeMap::<_, [f64; 2]>::new(), [0.0; 2]);
        for w in self.workers.values().filter(|w| w.status == Status::Ready) {
            let others = [(0, Role::Decode), (1, Role::Prefill)]
                .into_iter()
                .filter(|o| o.1 != w.role);
            for (i, _) in others {
                all[i] += self.capacity(w);
                groups(w)
                    .into_iter()
                    .for_each(|g| parts.entry(g).or_default()[i] += self.capacity(w));
            }
        }
        let part = |g| {
            parts
                .get(&g)
                .map_or(1.0, |p| p[1] * all[0] / (p[0] * all[1]).max(1e-9))
        };
        self.workers
            .values_mut()
            .for_each(|w| w.local_decode_share = groups(w).map(part));
    }
}
