//! The list of workers: entries, new lives, and how the flow of states divides over zones.

use super::*;

/// What a call for the list may take at discovery, one service for all routers; and the longest wait for one:
/// a change counts as told after 6 s, and it takes half of them to see that a call or a watch is lost.
const CALL: Micros = 20_000;
const CALL_WITHIN: Micros = 2_000_000;

impl Policy {
    pub(super) fn list(&mut self, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        let failures = if kind == EndpointUpdate::Failed {
            self.call_failures + 1
        } else {
            0
        };
        self.call_failures = failures.min(MAX_DOUBLINGS);
        if matches!(kind, EndpointUpdate::Failed | EndpointUpdate::Restored)
            && self.set.endpoints_on_request
        {
            // A span for all routers' calls one by one, doubled with each failure: in step they never end.
            let span =
                CALL_WITHIN.min((CALL * Micros::from(self.set.routers)) << self.call_failures);
            let drawn = unit(xxh3_64_with_seed(&self.now.to_le_bytes(), self.seed));
            self.call_due = Some(self.now + (span as f64 * drawn) as Micros);
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
            self.entry(e);
        }
        self.balance();
        // A gone worker stays known while something of ours is out there.
        self.out.retain(|_, attempts| !attempts.is_empty());
        let busy = |id: &WorkerId| self.out.contains_key(id);
        self.workers
            .retain(|id, w| w.status != Status::Gone || busy(id));
        for role in [Role::Prefill, Role::Decode, Role::Mixed] {
            self.most[role as usize] = self.most[role as usize].max(self.ready(role).count());
            self.learn_slowness(role);
        }
    }

    pub(super) fn entry(&mut self, e: Endpoint) {
        let kind = self.set.kinds.iter().find(|k| k.name == e.kind);
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
            self.kept.forget(&e.worker);
            let slowness = Average::from_prior(1.0, 1.0 / LEARN); // one odd answer says little
            let fresh = Worker {
                slowness,
                role,
                memory,
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
    pub(super) fn balance(&mut self) {
        let groups = |w: &Worker| [(w.zone.clone(), Some(w.cell)), (w.zone.clone(), None)];
        let (mut parts, mut all) = (BTreeMap::<_, [f64; 2]>::new(), [0.0; 2]);
        for w in self.workers.values().filter(|w| w.status == Status::Ready) {
            let others = [(0, Role::Decode), (1, Role::Prefill)]
                .into_iter()
                .filter(|o| o.1 != w.role);
            for (i, _) in others {
                all[i] += self.can(w);
                groups(w)
                    .into_iter()
                    .for_each(|g| parts.entry(g).or_default()[i] += self.can(w));
            }
        }
        let part = |g| {
            parts
                .get(&g)
                .map_or(1.0, |p| p[1] * all[0] / (p[0] * all[1]).max(1e-9))
        };
        self.workers
            .values_mut()
            .for_each(|w| w.keep = groups(w).map(part));
    }
}
