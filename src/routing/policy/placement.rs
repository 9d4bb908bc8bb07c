//! Where a request goes: which reader reads its prompt, and which writer takes its state.

use super::*;

/// A nearer writer is taken while it is no more of its memory fuller than the best: one long request's part.
const CLEARLY_FULLER: f64 = 0.1;
/// First tokens from afar that take this many times as long as near ones: sites state up to 2.7.
const SLOW_WAY: f64 = 3.0;
/// Ends of streams that every writer is taken to have shown: fewer of its own are chance.
const FEW_ENDS: f64 = 2.0;
/// A writer's streams may last this multiple of what others' do: their lengths differ by as much.
const SLOW_STREAMS: f64 = 2.0;
/// Less drag than this is taken for chance: on calm days it would only send states further.
const SLIGHT_DRAG: f64 = 0.3;
/// Microseconds in which a slow reader reads a token, and the part of the aim that a cold one may read for.
const READ_TOKEN: f64 = 70.0;
const COLD_PART: f64 = 0.75;
/// Readers for each home of a shared text at the least: the most asked for make up a sixth of what is read.
const READERS_A_HOME: u64 = 8;

impl Policy {
    /// The reader, and how much of the prompt it would have to read.
    pub(super) fn pick_reader(&self, r: &Request, usable: &[WorkerId]) -> Option<(WorkerId, f64)> {
        let ask = &r.ask;
        let prompt = ask.prompt_tokens as f64;
        let cold = |id: &&WorkerId| self.workers.get(*id).is_some_and(|w| self.cold(w));
        // A cold reader would have it for too long: text is kept elsewhere, and others would wait behind it.
        let slow = |id: &WorkerId| {
            prompt * self.read_token() * self.slowness(id) > self.aim(r) as f64 * COLD_PART
        };
        let warm: Vec<WorkerId> = usable.iter().filter(|id| !cold(id)).cloned().collect();
        let turn = match warm.is_empty() {
            true => self.home(ask, usable),
            false => usable.iter().find(|id| cold(id) && !slow(id)).cloned(),
        };
        if let Some(turn) = turn {
            return Some((turn, prompt));
        }
        // Other routers send the same text to its home, too: it is taken to be kept there.
        let presumed = (ask.prefix_tokens as f64).min(prompt);
        let home = self.home(ask, &warm)?;
        let reports = usable.iter().map(|w| self.reported(w));
        let (sum, trust) =
            reports.fold((0.0, 1e-9), |(s, t), (v, trust)| (s + v * trust, t + trust));
        let key = hash_key(ask, self.seed, self.homes(ask));
        // What a lost answer costs, as tokens read in the time that it is waited for.
        let wait =
            self.aim(r) as f64 * (1.0 - STAGE_PART) / self.learned.read_pace.or(f64::MAX).max(1e-9);
        let since = self.now.saturating_sub(PREFIX_TTL);
        let views: Vec<View> = (warm.iter())
            .map(|id| {
                let slow = self.slowness(id);
                let kept =
                    self.kept
                        .kept(ask, id, since)
                        .max(if *id == home { presumed } else { 0.0 });
                let rank = xxh3_64_with_seed(id.0.as_bytes(), key);
                let load = self.ahead(id, sum / trust) * slow + self.lossy(id, r.class, 0.0) * wait;
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
            if outweighs && holder.load <= IMBALANCE * (mean + holder.rest) {
                return Some((holder.id.clone(), holder.rest));
            }
        }
        // Every read that waits at a reader pays for tokens read anew there: a prompt moved off its holder to
        // one as crowded feeds the very queue that it flees. Who waits elsewhere doesn't pay.
        let crowd = |v: &View| 1.0 + self.out_at(v.id).filter(|a| !a.writes).count() as f64;
        let cost = |v: &View| v.load + self.eviction(v.id, v.rest) + v.rest * v.slow * crowd(v);
        // Equals: by a hash that all routers share, so that a session's next turn finds its text again.
        let least = |a: &&View, b: &&View| cost(a).total_cmp(&cost(b)).then(b.rank.cmp(&a.rank));
        views.iter().min_by(least).map(|v| (v.id.clone(), v.rest))
    }

    /// Microseconds in which a reader is expected to read a token: what prompts add to the aim, if they do.
    pub(super) fn read_token(&self) -> f64 {
        let stated = self
            .set
            .classes
            .iter()
            .map(|c| c.ttft_objective_per_1000_tokens)
            .max()
            .unwrap_or(0);
        if stated > 0 {
            stated as f64 / 1000.0
        } else {
            READ_TOKEN
        }
    }

    /// What a read would push out: the credited tokens, by how full the reader is and how much it needs.
    pub(super) fn eviction(&self, worker: &WorkerId, unread: f64) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 0.0;
        };
        let credited = self.kept.credited(worker);
        let share = w
            .report
            .and_then(|(_, r)| r.memory_share)
            .unwrap_or(credited / w.memory)
            .clamp(0.0, 1.0);
        credited * share * (unread / w.memory).min(1.0)
    }

    /// The reader to which a text belongs: rendezvous hashing by size, the same at every router of a zone,
    /// but for cold ones. A zone's own readers serve it as far as their part of all readers goes.
    pub(super) fn home(&self, ask: &RequestSpec, usable: &[WorkerId]) -> Option<WorkerId> {
        let key = hash_key(ask, self.seed, self.homes(ask));
        let zones: BTreeSet<&str> = self.workers.values().map(|w| w.zone.as_str()).collect();
        let here = |w: &&WorkerId| self.workers[*w].zone == self.set.zone;
        let can = |zone: &dyn Fn(&str) -> bool| -> f64 {
            self.ready(Role::Prefill)
                .filter(|(_, w)| zone(&w.zone))
                .map(|(_, w)| self.can(w))
                .sum()
        };
        let local = can(&|z| z == self.set.zone) * zones.len() as f64 / can(&|_| true).max(1e-9);
        let score = |w: &WorkerId| {
            -self.can(&self.workers[w]) / unit(xxh3_64_with_seed(w.0.as_bytes(), key)).ln()
        };
        let near = unit(key ^ 1) < local;
        let from = |near: bool| {
            let from = usable.iter().filter(move |w| !near || here(w));
            from.max_by(|a, b| score(a).total_cmp(&score(b)).then(b.cmp(a)))
        };
        from(near).or_else(|| from(false)).cloned()
    }

    /// Homes of a shared text, among which its sessions are spread: its part of all requests, in readers,
    /// where there are many. A rare one is read anew at each; a frequent one is more than a reader can take.
    pub(super) fn homes(&self, ask: &RequestSpec) -> u64 {
        let readers = self.most[Role::Prefill as usize] as u64;
        let part = self.kept.share(ask, self.now, PREFIX_TTL);
        ((part * readers as f64).round() as u64)
            .min(readers / READERS_A_HOME)
            .max(1)
    }

    /// Unanswered attempts of this router at a worker.
    pub(super) fn out_at(&self, worker: &WorkerId) -> impl Iterator<Item = &Attempt> {
        let out = self.out.get(worker).into_iter().flatten();
        out.filter_map(|(id, index)| self.requests.get(id)?.attempts.get(*index))
    }

    /// Tokens that wait at a reader: this router's, what time-outs tell of the others', and what is reported.
    /// An old report fades to the average one, not to an empty queue that would draw prompts from holders.
    pub(super) fn ahead(&self, worker: &WorkerId, average: f64) -> f64 {
        let own: f64 = self
            .out_at(worker)
            .filter(|a| !a.writes)
            .map(|a| a.tokens)
            .sum();
        let (reported, trust) = self.reported(worker);
        let told = self
            .workers
            .get(worker)
            .map_or(0.0, |w| w.others.left(self.now, HALF_LIFE));
        own + told + trust * reported + (1.0 - trust) * average
    }

    /// Tokens reported to wait and the trust in them. What is kept counts as waiting, too.
    pub(super) fn reported(&self, worker: &WorkerId) -> (f64, f64) {
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
        let unread = self.learned.unread.or(1.0) / self.learned.prompt.or(1.0).max(1.0);
        (tokens * unread.min(1.0), fade(self.now, at, HALF_LIFE))
    }

    pub(super) fn pick_writer(&self, id: RequestId, reader: Option<&WorkerId>) -> Option<WorkerId> {
        let r = self.requests.get(&id)?;
        let mut usable = self.usable(Role::Decode, id);
        usable.extend(self.usable(Role::Mixed, id));
        // An answer lost, perhaps to a slow way, is as bad as a full memory.
        let drags = self.drags(&usable);
        let fill = |w| self.fill(w) + self.lossy(w, r.class, 2.0) + drags[w] + self.risk(w, r);
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
        let pace = |far: usize| self.learned.write_pace[far].or(0.0);
        let worth = |far: usize, than: usize| (pace(than) / pace(far).max(1e-9)).max(1.0);
        let beyond = self
            .workers
            .get(best)
            .map_or(2, |w| self.distance(reader, w));
        // Only the near writers' part of all writers is kept near of what near readers read: see `balance`.
        let luck = unit(xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed ^ 1));
        // While states from afar have just not come in time, near writers take all that they have room for.
        let luck = if self.hung_far.left(self.now, HALF_LIFE) >= 0.5 {
            0.0
        } else {
            luck
        };
        // While near writers have just not begun in time, and those afar have, the near ones are jammed: less
        // stays near with each, but never nothing, or nobody would see that they are well again. Not where
        // the way takes longer than distance alone explains: links are slow, and afar would be worse.
        let hung = |f: &Fading| f.left(self.now, HALF_LIFE);
        let slow_way = pace(2) > SLOW_WAY * pace(0);
        let jam = if slow_way {
            0.0
        } else {
            (hung(&self.hung_near) - hung(&self.hung_far)).max(0.0)
        };
        let well = 1.0 / (1.0 + jam);
        let (cell, zone) = (
            |w: &Worker| w.cell == near.cell,
            |w: &Worker| w.zone == near.zone,
        );
        let swift = |w: &&WorkerId| drags[w] == 0.0;
        let roomy = |w: &Worker| w.keep[0] > 1.0;
        let in_zone = least(&|w| zone(w) && roomy(w)).or_else(|| least(&zone));
        let turn = |w: &Worker| self.cold(w) && (cell(w) || zone(w) && self.is_concentrated(w));
        let turn = usable
            .iter()
            .find(|w| self.workers.get(w).is_some_and(turn));
        for (far, candidate) in [turn.or_else(|| least(&cell)), in_zone]
            .into_iter()
            .enumerate()
        {
            let fuller = CLEARLY_FULLER * worth(far, beyond);
            if let Some(w) = candidate
                .filter(swift)
                .filter(|w| fill[w] <= fill[best] + fuller)
                && luck < near.keep[far] * worth(far, far + 1).min(1.0 + CLEARLY_FULLER) * well
            {
                return Some(w.clone());
            }
        }
        least(&roomy)
            .filter(|w| fill[w] <= fill[best] + CLEARLY_FULLER)
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
    pub(super) fn fill(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return f64::MAX;
        };
        let routers = f64::from(self.set.routers);
        let routers = if self.cold(w) {
            routers.min(self.slow_start_budget(w))
        } else {
            routers
        };
        let guess = self.out_at(worker).map(|a| a.tokens).sum::<f64>() * routers;
        let projected = match w.report {
            Some((
                at,
                LoadReport {
                    memory_share: Some(share),
                    ..
                },
            )) => {
                let since: f64 = self
                    .out_at(worker)
                    .filter(|a| a.sent >= at)
                    .map(|a| a.tokens)
                    .sum();
                let trust = fade(self.now, at, HALF_LIFE);
                trust * (share * w.memory + since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / w.memory * self.slowness(worker)
    }

    /// The part of a class's attempts there whose answers were lost of late, each that came making up for
    /// `forgiven` lost ones. Guards against workers that answer one class and not another: they are not sick.
    pub(super) fn lossy(&self, worker: &WorkerId, class: usize, forgiven: f64) -> f64 {
        let seen = self.workers.get(worker).and_then(|w| w.answers.get(&class));
        let [lost, came] = seen.map_or([0.0; 2], |a| a.map(|f| f.left(self.now, HALF_LIFE)));
        (lost - forgiven * came).max(0.0) / (lost + came + 1.0)
    }

    /// What speaks against a writer: failures of late, and for what must not run twice that it never
    /// answered. Each of many routers has to meet a bad writer once: with a request that may be repeated, if
    /// it can be.
    pub(super) fn risk(&self, worker: &WorkerId, r: &Request) -> f64 {
        let Some(w) = self.workers.get(worker) else {
            return 0.0;
        };
        let [faults, came] = w.faults.map(|f| f.left(self.now, PREFIX_TTL));
        let unknown =
            self.set.classes[r.class].idempotency == Idempotency::NonIdempotent && w.last_good == 0;
        faults / (faults + came + 1.0) + if unknown { CLEARLY_FULLER / 2.0 } else { 0.0 }
    }

    /// How much longer each writer's streams last than is usual, from 0 for those within bounds to 1. Guards
    /// against writers that begin at once and then crawl; streams that still run tell of it first.
    pub(super) fn drags<'a>(&self, writers: &'a [WorkerId]) -> BTreeMap<&'a WorkerId, f64> {
        let seen = |id: &WorkerId| {
            let streams = |w: &Worker| w.streams.map(|f| f.left(self.now, STREAMS_HALF_LIFE));
            let over = self.workers.get(id).map_or([0.0; 2], streams);
            let running = self
                .out_at(id)
                .filter_map(|a| a.first)
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
        let longer = |[time, ends]: [f64; 2]| (time / usual + FEW_ENDS) / (ends + FEW_ENDS);
        let drag = |s| {
            Some(1.0 - SLOW_STREAMS / longer(s))
                .filter(|d| *d > SLIGHT_DRAG)
                .unwrap_or(0.0)
        };
        writers
            .iter()
            .zip(seen)
            .map(|(w, s)| (w, drag(s)))
            .collect()
    }
}
