//! Where a request goes: which reader reads its prompt, and which writer takes its state.

use super::*;

/// A nearer writer is taken while it is no more of its memory fuller than the best: one long request's part.
const MEMORY_SHARE_TOLERANCE: f64 = 0.1;
/// First tokens from afar that take this many times as long as near ones: sites state up to 2.7.
const SLOW_LINK_FACTOR: f64 = 3.0;
/// Ends of streams that every writer is taken to have shown: fewer of its own are chance.
const STREAM_PRIOR_COMPLETIONS: f64 = 2.0;
/// A writer's streams may last this multiple of what others' do: their lengths differ by as much.
const SLOW_STREAM_FACTOR: f64 = 2.0;
/// Less drag than this is taken for chance: on calm days it would only send states further.
const MIN_STREAM_SLOWDOWN: f64 = 0.3;
/// Microseconds in which a slow reader reads a token, and the part of the aim that a cold one may read for.
const DEFAULT_PREFILL_US_PER_TOKEN: f64 = 70.0;
const WARMING_UP_PREFILL_SHARE: f64 = 0.75;
/// Readers for each home of a shared text at the least: the most asked for make up a sixth of what is read.
const MIN_PREFILL_WORKERS_PER_OWNER: u64 = 8;

impl Policy {
    /// The reader, and how much of the prompt it would have to read.
    pub(super) fn pick_prefill_worker(
        &self,
        r: &Request,
        usable: &[WorkerId],
    ) -> Option<(WorkerId, f64)> {
        let ask = &r.spec;
        let prompt = ask.prompt_tokens as f64;
        let cold = |id: &&WorkerId| self.workers.get(*id).is_some_and(|w| self.is_warming_up(w));
        // A cold reader would have it for too long: text is kept elsewhere, and others would wait behind it.
        let slow = |id: &WorkerId| {
            prompt * self.expected_prefill_us_per_token() * self.latency_factor(id)
                > self.ttft_objective(r) as f64 * WARMING_UP_PREFILL_SHARE
        };
        let warm: Vec<WorkerId> = usable.iter().filter(|id| !cold(id)).cloned().collect();
        let turn = match warm.is_empty() {
            true => self.rendezvous_owner(ask, usable),
            false => usable.iter().find(|id| cold(id) && !slow(id)).cloned(),
        };
        if let Some(turn) = turn {
            return Some((turn, prompt));
        }
        // Other routers send the same text to its home, too: it is taken to be kept there.
        let presumed = (ask.prefix_tokens as f64).min(prompt);
        let home = self.rendezvous_owner(ask, &warm)?;
        let reports = usable.iter().map(|w| self.reported_queue(w));
        let (sum, trust) =
            reports.fold((0.0, 1e-9), |(s, t), (v, trust)| (s + v * trust, t + trust));
        let key = affinity_key(ask, self.seed, self.rendezvous_owner_count(ask));
        // What a lost answer costs, as tokens read in the time that it is waited for.
        let wait = self.ttft_objective(r) as f64 * (1.0 - STAGE_SHARE)
            / self
                .learned
                .prefill_us_per_token
                .value_or(f64::MAX)
                .max(1e-9);
        let since = self.now.saturating_sub(PREFIX_TTL);
        let views: Vec<View> = (warm.iter())
            .map(|id| {
                let slow = self.latency_factor(id);
                let kept = self
                    .prefix_cache
                    .cached_tokens(ask, id, since)
                    .max(if *id == home { presumed } else { 0.0 });
                let rank = xxh3_64_with_seed(id.0.as_bytes(), key);
                let load = self.queued_tokens(id, sum / trust) * slow
                    + self.loss_rate(id, r.class, 0.0) * wait;
                View {
                    id,
                    slow,
                    load,
                    rest: prompt - kept,
                    rank,
                }
            })
            .collect();
        let mean = views.iter().map(|v| v.load).sum::<f64>() / views.len() as f64;
        let longest = |a: &&View, b: &&View| {
            b.rest
                .total_cmp(&a.rest)
                .then(b.load.total_cmp(&a.load))
                .then(a.rank.cmp(&b.rank))
        };
        if let Some(holder) = views
            .iter()
            .filter(|v| v.rest < prompt || *v.id == home)
            .max_by(longest)
        {
            // On a slow reader the rest weighs as much as its slowness makes it. A text's home is its holder.
            let outweighs = prompt > 2.0 * holder.rest * holder.slow || *holder.id == home;
            if outweighs && holder.load <= MAX_LOAD_IMBALANCE * (mean + holder.rest) {
                return Some((holder.id.clone(), holder.rest));
            }
        }
        // Every read that waits at a reader pays for tokens read anew there: a prompt moved off its holder to
        // one as crowded feeds the very queue that it flees. Who waits elsewhere doesn't pay.
        let crowd =
            |v: &View| 1.0 + self.in_flight_at(v.id).filter(|a| !a.is_decode).count() as f64;
        let cost =
            |v: &View| v.load + self.eviction_cost(v.id, v.rest) + v.rest * v.slow * crowd(v);
        // Equals: by a hash that all routers share, so that a session's next turn finds its text again.
        let least = |a: &&View, b: &&View| cost(a).total_cmp(&cost(b)).then(b.rank.cmp(&a.rank));
        views.iter().min_by(least).map(|v| (v.id.clone(), v.rest))
    }

    /// Microseconds in which a reader is expected to read a token: what prompts add to the aim, if they do.
    pub(super) fn expected_prefill_us_per_token(&self) -> f64 {
        let stated = self
            .config
            .classes
            .iter()
            .map(|c| c.ttft_objective_per_1000_tokens)
            .max()
            .unwrap_or(0);
        if stated > 0 {
            stated as f64 / 1000.0
        } else {
            DEFAULT_PREFILL_US_PER_TOKEN
        }
    }

    /// What a read would push out: the credited tokens, by how full the reader is and how much it needs.
    pub(super) fn eviction_cost(&self, worker: &WorkerId, unread: f64) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 0.0;
        };
        let credited = self.prefix_cache.total_cached_tokens(worker);
        let share = w
            .report
            .and_then(|(_, r)| r.memory_share)
            .unwrap_or(credited / w.memory_tokens)
            .clamp(0.0, 1.0);
        credited * share * (unread / w.memory_tokens).min(1.0)
    }

    /// The reader to which a text belongs: rendezvous hashing by size, the same at every router of a zone,
    /// but for cold ones. A zone's own readers serve it as far as their part of all readers goes.
    pub(super) fn rendezvous_owner(
        &self,
        ask: &RequestSpec,
        usable: &[WorkerId],
    ) -> Option<WorkerId> {
        let key = affinity_key(ask, self.seed, self.rendezvous_owner_count(ask));
        let zones: BTreeSet<&str> = self.workers.values().map(|w| w.zone.as_str()).collect();
        let here = |w: &&WorkerId| self.workers[*w].zone == self.config.zone;
        let can = |zone: &dyn Fn(&str) -> bool| -> f64 {
            self.ready(Role::Prefill)
                .filter(|(_, w)| zone(&w.zone))
                .map(|(_, w)| self.capacity(w))
                .sum()
        };
        let local = can(&|z| z == self.config.zone) * zones.len() as f64 / can(&|_| true).max(1e-9);
        let score = |w: &WorkerId| {
            -self.capacity(&self.workers[w])
                / hash_to_unit(xxh3_64_with_seed(w.0.as_bytes(), key)).ln()
        };
        let near = hash_to_unit(key ^ 1) < local;
        let from = |near: bool| {
            let from = usable.iter().filter(move |w| !near || here(w));
            from.max_by(|a, b| score(a).total_cmp(&score(b)).then(b.cmp(a)))
        };
        from(near).or_else(|| from(false)).cloned()
    }

    /// Homes of a shared text, among which its sessions are spread: its part of all requests, in readers,
    /// where there are many. A rare one is read anew at each; a frequent one is more than a reader can take.
    pub(super) fn rendezvous_owner_count(&self, ask: &RequestSpec) -> u64 {
        let readers = self.max_ready[Role::Prefill as usize] as u64;
        let part = self.prefix_cache.share(ask, self.now, PREFIX_TTL);
        ((part * readers as f64).round() as u64)
            .min(readers / MIN_PREFILL_WORKERS_PER_OWNER)
            .max(1)
    }

    /// Unanswered attempts of this router at a worker.
    pub(super) fn in_flight_at(&self, worker: &WorkerId) -> impl Iterator<Item = &Attempt> {
        let out = self.in_flight.get(worker).into_iter().flatten();
        out.filter_map(|(id, index)| self.requests.get(id)?.attempts.get(*index))
    }

    /// Tokens that wait at a reader: this router's, what time-outs tell of the others', and what is reported.
    /// An old report fades to the average one, not to an empty queue that would draw prompts from holders.
    pub(super) fn queued_tokens(&self, worker: &WorkerId, average: f64) -> f64 {
        let own: f64 = self
            .in_flight_at(worker)
            .filter(|a| !a.is_decode)
            .map(|a| a.tokens)
            .sum();
        let (reported, trust) = self.reported_queue(worker);
        let told = self.workers.get(worker).map_or(0.0, |w| {
            w.inferred_queued_tokens.value_at(self.now, LOAD_HALF_LIFE)
        });
        own + told + trust * reported + (1.0 - trust) * average
    }

    /// Tokens reported to wait and the trust in them. What is kept counts as waiting, too.
    pub(super) fn reported_queue(&self, worker: &WorkerId) -> (f64, f64) {
        let report = self.workers.get(worker).and_then(|w| w.report);
        let Some((
            at,
            LoadReport {
                queued_tokens: Some(tokens),
                ..
            },
        )) = report
        else {
            return (0.0, 0.0);
        };
        let unread = self.learned.uncached_tokens.value_or(1.0)
            / self.learned.prompt_tokens.value_or(1.0).max(1.0);
        (
            tokens * unread.min(1.0),
            decay(self.now, at, LOAD_HALF_LIFE),
        )
    }

    pub(super) fn pick_decode_worker(
        &self,
        id: RequestId,
        reader: Option<&WorkerId>,
    ) -> Option<WorkerId> {
        let r = self.requests.get(&id)?;
        let mut usable = self.usable(Role::Decode, id);
        usable.extend(self.usable(Role::Mixed, id));
        // An answer lost, perhaps to a slow way, is as bad as a full memory.
        let drags = self.stream_slowdowns(&usable);
        let fill = |w| {
            self.projected_memory_share(w)
                + self.loss_rate(w, r.class, 2.0)
                + drags[w]
                + self.failure_risk(w, r)
        };
        let fill: BTreeMap<&WorkerId, f64> = usable.iter().map(|w| (w, fill(w))).collect();
        // Equals: by chance, or all routers would send to the same one.
        let chance = |w: &WorkerId| xxh3_64_with_seed(w.0.as_bytes(), id.0 ^ self.seed);
        let least = |near: &dyn Fn(&Worker) -> bool| {
            (usable
                .iter()
                .filter(|w| self.workers.get(w).is_some_and(near)))
            .min_by(|a, b| {
                fill[a]
                    .total_cmp(&fill[b])
                    .then_with(|| chance(a).cmp(&chance(b)))
            })
        };
        let best = least(&|_| true)?;
        let Some(near) = reader.and_then(|w| self.workers.get(w)) else {
            return Some(best.clone());
        };
        // A slow link is seen as first tokens that take longer from afar: the nearer one is kept to the more.
        let pace = |far: usize| self.learned.first_token_us_per_token[far].value_or(0.0);
        let worth = |far: usize, than: usize| (pace(than) / pace(far).max(1e-9)).max(1.0);
        let beyond = self
            .workers
            .get(best)
            .map_or(2, |w| self.distance(reader, w));
        // Only the near writers' part of all writers is kept near of what near readers read: see `balance`.
        let luck = hash_to_unit(xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed ^ 1));
        // While states from afar have just not come in time, near writers take all that they have room for.
        let luck = if self.remote_timeouts.value_at(self.now, LOAD_HALF_LIFE) >= 0.5 {
            0.0
        } else {
            luck
        };
        // While near writers have just not begun in time, and those afar have, the near ones are jammed: less
        // stays near with each, but never nothing, or nobody would see that they are well again. Not where
        // the way takes longer than distance alone explains: links are slow, and afar would be worse.
        let hung = |f: &DecayingSum| f.value_at(self.now, LOAD_HALF_LIFE);
        let slow_way = pace(2) > SLOW_LINK_FACTOR * pace(0);
        let jam = if slow_way {
            0.0
        } else {
            (hung(&self.local_timeouts) - hung(&self.remote_timeouts)).max(0.0)
        };
        let well = 1.0 / (1.0 + jam);
        let (cell, zone) = (
            |w: &Worker| w.cell == near.cell,
            |w: &Worker| w.zone == near.zone,
        );
        let swift = |w: &&WorkerId| drags[w] == 0.0;
        let roomy = |w: &Worker| w.local_decode_share[0] > 1.0;
        let in_zone = least(&|w| zone(w) && roomy(w)).or_else(|| least(&zone));
        let turn =
            |w: &Worker| self.is_warming_up(w) && (cell(w) || zone(w) && self.is_concentrated(w));
        let turn = usable
            .iter()
            .find(|w| self.workers.get(w).is_some_and(turn));
        for (far, candidate) in [turn.or_else(|| least(&cell)), in_zone]
            .into_iter()
            .enumerate()
        {
            let fuller = MEMORY_SHARE_TOLERANCE * worth(far, beyond);
            if let Some(w) = candidate
                .filter(swift)
                .filter(|w| fill[w] <= fill[best] + fuller)
                && luck
                    < near.local_decode_share[far]
                        * worth(far, far + 1).min(1.0 + MEMORY_SHARE_TOLERANCE)
                        * well
            {
                return Some(w.clone());
            }
        }
        least(&roomy)
            .filter(|w| fill[w] <= fill[best] + MEMORY_SHARE_TOLERANCE)
            .or(Some(best))
            .cloned()
    }

    /// How far a state moves to this worker: 0 within the cell, 1 within the zone, 2 beyond or not at all.
    pub(super) fn distance(&self, reader: Option<&WorkerId>, to: &Worker) -> usize {
        match reader.and_then(|r| self.workers.get(r)) {
            Some(from) if from.cell == to.cell => 0,
            Some(from) if from.zone == to.zone => 1,
            _ => 2,
        }
    }

    /// Projected share of a writer's memory, by its slowness. Without a fresh report the others are taken to
    /// hold as much as this one.
    pub(super) fn projected_memory_share(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return f64::MAX;
        };
        let routers = f64::from(self.config.routers);
        let routers = if self.is_warming_up(w) {
            routers.min(self.slow_start_budget(w))
        } else {
            routers
        };
        let guess = self.in_flight_at(worker).map(|a| a.tokens).sum::<f64>() * routers;
        let projected = match w.report {
            Some((
                at,
                LoadReport {
                    memory_share: Some(share),
                    ..
                },
            )) => {
                let since: f64 = self
                    .in_flight_at(worker)
                    .filter(|a| a.sent_at >= at)
                    .map(|a| a.tokens)
                    .sum();
                let trust = decay(self.now, at, LOAD_HALF_LIFE);
                trust * (share * w.memory_tokens + since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / w.memory_tokens * self.latency_factor(worker)
    }

    /// The part of a class's attempts there whose answers were lost of late, each that came making up for
    /// `forgiven` lost ones. Guards against workers that answer one class and not another: they are not sick.
    pub(super) fn loss_rate(&self, worker: &WorkerId, class: usize, forgiven: f64) -> f64 {
        let seen = self.workers.get(worker).and_then(|w| w.answers.get(&class));
        let [lost, came] = seen.map_or([0.0; 2], |a| {
            a.map(|f| f.value_at(self.now, LOAD_HALF_LIFE))
        });
        (lost - forgiven * came).max(0.0) / (lost + came + 1.0)
    }

    /// What speaks against a writer: failures of late, and for what must not run twice that it never
    /// answered. Each of many routers has to meet a bad writer once: with a request that may be repeated, if
    /// it can be.
    pub(super) fn failure_risk(&self, worker: &WorkerId, r: &Request) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 0.0;
        };
        let [faults, came] = w.faults.map(|f| f.value_at(self.now, PREFIX_TTL));
        let unknown = self.config.classes[r.class].idempotency == Idempotency::NonIdempotent
            && w.last_success_at == 0;
        faults / (faults + came + 1.0)
            + if unknown {
                MEMORY_SHARE_TOLERANCE / 2.0
            } else {
                0.0
            }
    }

    /// How much longer each writer's streams last than is usual, from 0 for those within bounds to 1. Guards
    /// against writers that begin at once and then crawl; streams that still run tell of it first.
    pub(super) fn stream_slowdowns<'a>(
        &self,
        writers: &'a [WorkerId],
    ) -> BTreeMap<&'a WorkerId, f64> {
        let seen = |id: &WorkerId| {
            let streams = |w: &Worker| w.streams.map(|f| f.value_at(self.now, STREAM_HALF_LIFE));
            let over = self.workers.get(id).map_or([0.0; 2], streams);
            let running = self
                .in_flight_at(id)
                .filter_map(|a| a.first_token_at)
                .map(|at| (self.now - at) as f64);
            [over[0] + running.sum::<f64>(), over[1]]
        };
        let seen: Vec<[f64; 2]> = writers.iter().map(seen).collect();
        let known = seen.iter().filter(|[_, ends]| *ends >= 0.5);
        let mut each: Vec<f64> = known.map(|[time, ends]| time / ends.max(1.0)).collect();
        each.sort_by(f64::total_cmp);
        let usual = each
            .get(each.len().saturating_sub(1) / 2)
            .map_or(f64::MAX, |t| t.max(1.0));
        let longer = |[time, ends]: [f64; 2]| {
            (time / usual + STREAM_PRIOR_COMPLETIONS) / (ends + STREAM_PRIOR_COMPLETIONS)
        };
        let drag = |s| {
            Some(1.0 - SLOW_STREAM_FACTOR / longer(s))
                .filter(|d| *d > MIN_STREAM_SLOWDOWN)
                .unwrap_or(0.0)
        };
        writers
            .iter()
            .zip(seen)
            .map(|(w, s)| (w, drag(s)))
            .collect()
    }
}
