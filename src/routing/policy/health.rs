//! Which workers may be used: what their answers, failures and silences say of them.

use super::*;

impl Policy {
    pub(super) fn heard(&mut self, worker: &WorkerId, report: Option<LoadReport>) {
        if let (Some(w), Some(report)) = (self.workers.get_mut(worker), report) {
            w.report = Some((self.now, sane(report)));
        }
    }

    pub(super) fn good(&mut self, worker: &WorkerId, sent: Micros, class: usize) {
        if let Some(w) = self.workers.get_mut(worker) {
            w.answers.entry(class).or_default()[1].add(self.now, HALF_LIFE, 1.0);
            w.last_good = self.now;
            w.faults[1].add(self.now, PREFIX_TTL, 1.0);
            w.good_sent = w.good_sent.max(sent);
            w.lost = false;
            w.done.add(self.now, HALF_LIFE, 1.0);
            w.failing *= SICK;
            if w.failing < SICK {
                (w.doublings, w.sick_until) = (0, 0);
            }
        }
    }

    /// Failures set a worker aside for a few connection time-outs, twice as long after each failed trial.
    pub(super) fn bad(&mut self, worker: &WorkerId, sent: Micros) {
        let (now, base) = (
            self.now,
            self.set.connect_timeout.max(self.set.batch_interval) * 4,
        );
        if let Some(w) = self.workers.get_mut(worker) {
            w.failing += (1.0 - w.failing) * SICK;
            if (w.failing > SICK || w.lost) && sent >= w.sick_until {
                w.sick_until = now + (base << w.doublings);
                w.doublings = (w.doublings + 1).min(MAX_DOUBLINGS);
            }
        }
    }

    pub(super) fn slowness(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 1.0;
        };
        let slow = w.slowness.or(1.0) / self.learned.slowness[w.role as usize].max(0.1);
        // Ordinary differences between workers are noise here.
        (if slow < 1.5 { 1.0 } else { slow }).max(1.0 / self.warmth(w))
    }

    pub(super) fn learn_slowness(&mut self, role: Role) {
        let peers = self.workers.values().filter(|p| p.role == role);
        self.learned.slowness[role as usize] = median(peers.map(|p| p.slowness.or(1.0)));
    }

    pub(super) fn ready(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers
            .iter()
            .filter(move |(_, w)| w.role == role && w.status == Status::Ready)
    }

    /// Zones of which nothing has come since several workers there could not be reached. Guards against a try
    /// at each of them by each of many routers, before the list tells of it.
    pub(super) fn lost_zones(&self) -> BTreeSet<&str> {
        let mut seen = BTreeMap::<&str, (u32, Micros, Micros)>::new();
        for w in self.workers.values() {
            let (count, last, good) = seen.entry(&w.zone).or_default();
            let fresh = w.unreached.filter(|at| at + 2 * HALF_LIFE > self.now);
            *count += u32::from(fresh.is_some());
            (*last, *good) = ((*last).max(fresh.unwrap_or(0)), (*good).max(w.last_good));
        }
        seen.into_iter()
            .filter(|(_, (n, last, good))| *n > 1 && good < last)
            .map(|(zone, _)| zone)
            .collect()
    }

    /// The workers of a role that may be sent this request now, healthy ones first.
    pub(super) fn usable(&self, role: Role, id: RequestId) -> Vec<WorkerId> {
        let request = self.requests.get(&id);
        let any_warm = self.ready(role).any(|(_, w)| !self.cold(w));
        let turn = request
            .filter(|_| role == Role::Prefill && any_warm)
            .map(|r| self.slow_start_reader(r));
        let mut ready: Vec<(&WorkerId, &Worker)> = (self.ready(role))
            .filter(|(_, w)| request.is_none_or(|r| !r.may_have_run() || self.may_repeat_at(r, w)))
            .filter(|(id, w)| {
                !self.cold(w)
                    || self.has_room(id, w) && turn.as_ref().is_none_or(|t| t.as_ref() == Some(id))
            })
            .collect();
        let reached = ready.iter().filter(|(_, w)| !w.lost).count();
        let kind = request.map(|r| (r.class, r.ask.tenant.clone()));
        let full = |w: &Worker| kind.as_ref().is_some_and(|k| w.is_full(k, self.now));
        prefer(&mut ready, |(_, w)| !full(w));
        // Another one than those that have just failed it, and out of zones that seem lost.
        let lost = self.lost_zones();
        prefer(&mut ready, |(_, w)| !lost.contains(&*w.zone));
        prefer(&mut ready, |(id, _)| {
            request.is_none_or(|r| !r.failed_at(id))
        });
        if request.is_some_and(Request::is_pressed) {
            // Where something just came from, as from the state's reader: a zone may be cut off.
            let just = self
                .workers
                .values()
                .filter(|w| w.answered_within(self.now, self.set.kv_state_hold_limit));
            let zones: BTreeSet<&str> = just.map(|w| &*w.zone).collect();
            prefer(&mut ready, |(_, w)| zones.contains(&*w.zone));
            prefer(&mut ready, |(_, w)| {
                w.answered_within(self.now, 2 * HALF_LIFE)
            });
        }
        let healthy: Vec<WorkerId> = (ready.iter())
            .filter(|(id, w)| {
                // A trial is out, or an answer is overdue and nothing good has come since: hung, cut off.
                let on_trial = w.failing > SICK || w.lost;
                let bad = |a: &Attempt| on_trial || a.due <= self.now && w.last_good <= a.sent;
                w.sick_until <= self.now && !self.out_at(id).any(|a| a.first.is_none() && bad(a))
            })
            .map(|(id, _)| (*id).clone())
            .collect();
        // When most of a role looks bad the cause is elsewhere (a link, the load), and all are used again.
        // Those that can't be reached stay out all the same, but for their trials, while any other is left.
        if healthy.len() * 2 >= reached && !healthy.is_empty() {
            return healthy;
        }
        // Writers that read by themselves stand in for readers of which none can be reached.
        let stand_in = role == Role::Prefill && self.set.decode_workers_prefill;
        let all = ready
            .iter()
            .filter(|(id, w)| !w.lost || reached == 0 && !stand_in || healthy.contains(id));
        all.map(|(id, _)| (*id).clone()).collect()
    }
}
