//! The decisions. Settings, events and actions: `src/interface.rs`. Why it is built so: `docs/design.md`.
//!
//! Preble's E2 decides the ordinary path; everything else answers a trouble and says which.

pub(crate) mod held_state;
pub(crate) mod permission;

use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A prefix not sent to a reader for this long is no longer credited there (the design's value).
const PREFIX_TTL: Micros = 30_000_000;
/// A reader whose load passes this multiple of the mean is not exploited (the design's value).
const IMBALANCE: f64 = 2.0;
/// A nearer writer is taken while it is no more of its memory fuller than the best: one long request's part.
const CLEARLY_FULLER: f64 = 0.1;
/// First tokens from afar that take this many times as long as near ones: sites state up to 2.7.
const SLOW_WAY: f64 = 3.0;
/// Weight of a new sample in every learned average: the last ten or so count, enough to outlast one outlier.
const LEARN: f64 = 0.1;
/// An attempt is overdue at this multiple of what it should take: more than other routers' queues explain.
const OVERDUE: f64 = 4.0;
/// The part of its aim that a read, and a writer's beginning, may take: the third is for another try.
const STAGE_PART: f64 = 1.0 / 3.0;
/// A worker is set aside when this share of its recent outcomes failed: most of them.
const SICK: f64 = 0.5;
/// Most trials of a sick worker in a row that double the wait before the next one.
const MAX_DOUBLINGS: u32 = 4;
/// Sweeps in each release limit: fine enough that nothing held comes near it.
const SWEEPS: Micros = 12;
/// Requests of a tenant that may come at once, and two seconds' worth at least: fewer are chance, not excess.
const BURST: f64 = 10.0;
/// News of load is worth half after this: the queues that workers hold without refusing are of seconds.
const HALF_LIFE: Micros = 2_000_000;
/// What is known of streams is worth half after this: they last for seconds.
const STREAMS_HALF_LIFE: Micros = 4 * HALF_LIFE;
/// Ends of streams that every writer is taken to have shown: fewer of its own are chance.
const FEW_ENDS: f64 = 2.0;
/// A writer's streams may last this multiple of what others' do: their lengths differ by as much.
const SLOW_STREAMS: f64 = 2.0;
/// Less drag than this is taken for chance: on calm days it would only send states further.
const SLIGHT_DRAG: f64 = 0.3;
/// What a call for the list may take at discovery, one service for all routers; and the longest wait for one:
/// a change counts as told after 6 s, and it takes half of them to see that a call or a watch is lost.
const CALL: Micros = 20_000;
const CALL_WITHIN: Micros = 2_000_000;
/// Microseconds in which a slow reader reads a token, and the part of the aim that a cold one may read for.
const READ_TOKEN: f64 = 70.0;
const COLD_PART: f64 = 0.75;
/// A worker in slow start that bears fewer calls than this may get three roots of them more, not two.
const FEW_CALLS: f64 = 30.0;
/// Readers for each home of a shared text at the least: the most asked for make up a sixth of what is read.
const READERS_A_HOME: u64 = 8;
const SWEEP: TimerId = TimerId(1);

/// The decision module of one router.
#[derive(Default)]
pub struct Policy {
    set: Settings,
    seed: u64,
    now: Micros,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    requests: BTreeMap<RequestId, Request>,
    kept: PrefixTable,
    tenants: BTreeMap<String, (f64, f64, Micros)>, // this router's part of the promised rate, level, since
    learned: Learned,
    hung_near: Fading, // sends to writers in the reader's cell that did not begin in time
    hung_far: Fading,  // states that did not reach a writer out of the reader's cell in time
    patience: [u32; 2],
    most: [usize; 3],        // workers of each role seen in service at once
    slow_start_from: Micros, // nothing goes to workers in slow start before: a predecessor may have sent
    swept: bool,
    call_failures: u32,
    call_due: Option<Micros>,
}

impl Request {
    fn growth(&self, class: &Class) -> f64 {
        let half = self.ask.max_tokens as f64 / 2.0;
        match self.ask.hint {
            Some(hint) if class.token_aim > 0 => (hint as f64 / class.token_aim as f64).min(half * 2.0),
            _ => half,
        }
    }
}

impl Policy {
    /// A module that knows nothing yet.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut policy = Policy { seed, slow_start_from: Micros::MAX, ..Policy::default() };
        policy.set(settings);
        policy
    }

    /// New requests begin under these settings; see `settle` for what those in hand keep.
    pub fn set(&mut self, settings: Settings) {
        self.tenants = levels(&settings, &self.tenants);
        self.workers.values_mut().for_each(|w| (w.answers, w.full) = Default::default());
        let requests = self.requests.values_mut();
        self.set = Settings { classes: settle(&self.set.classes, &settings.classes, requests), ..settings };
    }

    /// Takes one event in and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let ended = matches!(
            event,
            Event::Ended(_) | Event::Started { .. } | Event::List { .. } | Event::Probed { .. }
        );
        match event {
            Event::List { kind, entries } => self.list(kind, entries),
            Event::Ask(ask) => self.ask(ask, out),
            Event::Started { request, attempt, elapsed } => self.started(request, attempt, elapsed),
            Event::Ended(end) => self.ended(end, out),
            Event::Left { request } => self.close(request, out),
            Event::Timer(timer) if timer == SWEEP => self.sweep(out),
            Event::Probed { worker, report, .. } => self.heard(&worker, report),
            Event::SlowStart { allowed } => {
                let from = now.saturating_add(self.slow_start_window());
                self.slow_start_from = if allowed { from } else { Micros::MAX };
            }
            // Nothing is told to peers. Places are never held ahead: the writer is picked after the read.
            Event::Timer(_) | Event::Place { .. } | Event::Peer { .. } => {}
        }
        if ended {
            self.resume(false, out);
        }
        if !self.swept && (!self.requests.is_empty() || self.call_due.is_some()) {
            self.swept = true;
            out.push(Action::Timer { at: self.now + self.sweep_every(), timer: SWEEP });
        }
    }

    fn sweep_every(&self) -> Micros {
        (self.set.release / SWEEPS).clamp(self.set.tick.max(1_000), 100_000)
    }

    /// Looks after all that time alone changes: overdue answers, held states, waiting requests, old entries.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        self.swept = false;
        if self.call_due.is_some_and(|due| due <= self.now) {
            self.call_due = None;
            out.push(Action::Subscribe);
        }
        self.kept.expire(self.now.saturating_sub(PREFIX_TTL));
        self.resume(true, out);
    }

    /// Goes on with what waits, what is worth most first; at a sweep also with what may be overdue.
    fn resume(&mut self, all: bool, out: &mut Vec<Action>) {
        let mut open: Vec<(RequestId, f64)> = (self.requests.iter())
            .filter(|(_, r)| match r.phase {
                Phase::Waiting | Phase::Held => true,
                Phase::Reading | Phase::Writing => all,
                Phase::Streaming | Phase::Done => false,
            })
            .map(|(id, r)| (*id, if r.phase == Phase::Held { f64::MAX } else { self.worth(r) }))
            .collect();
        open.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        for (id, _) in open {
            self.step(id, out);
        }
    }

    fn ask(&mut self, ask: Ask, out: &mut Vec<Action>) {
        let id = ask.request;
        let class = class_of(&self.set.classes, &ask.class);
        let over_share = self.over_share(ask.tenant.as_deref());
        self.learned.prompt.add(ask.prompt_tokens as f64, LEARN);
        self.learn_rates();
        self.kept.asked(&ask, self.now, PREFIX_TTL);
        self.requests.insert(id, Request::new(ask, class, self.now, over_share, self.set.max_attempts));
        self.step(id, out);
    }

    fn over_share(&mut self, tenant: Option<&str>) -> bool {
        let Some((rate, level, at)) = tenant.and_then(|t| self.tenants.get_mut(t)) else { return false };
        let refill = *rate * (self.now - *at) as f64 / 1e6;
        (*level, *at) = ((*level + refill).min(BURST.max(*rate * 2.0)), self.now);
        let over = *level < 1.0;
        *level -= if over { 0.0 } else { 1.0 };
        over
    }

    fn worth(&self, r: &Request) -> f64 {
        let worth = self.set.classes[r.class].worth;
        if r.over_share { worth * self.set.over_share_worth } else { worth }
    }

    fn aim(&self, r: &Request) -> Micros {
        let class = &self.set.classes[r.class];
        let grown = class.aim_per_1000_tokens as f64 * r.ask.prompt_tokens as f64 / 1000.0;
        class.aim.saturating_add(grown as Micros)
    }

    /// Takes a request as far as it can go now.
    fn step(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let margin = 2 * self.sweep_every();
        // Of unknown fate, and no worker may repeat it: waiting gains its client nothing.
        let stuck = r.may_have_run() && !self.workers.values().any(|w| self.may_repeat_at(r, w));
        let hopeless = self.now + margin >= r.ask.deadline;
        match r.phase {
            Phase::Streaming | Phase::Done => {}
            // Its time-out is trimmed to the deadline and its outcome comes within the slack.
            Phase::Reading if self.now < r.ask.deadline => {}
            Phase::Writing if self.now < r.ask.deadline => self.release_behind_send(id, out),
            Phase::Reading | Phase::Writing => self.finish(id, EndReason::DeadlineNear, out),
            _ if hopeless => self.finish(id, EndReason::DeadlineNear, out),
            _ if r.spent() => self.finish(id, EndReason::AttemptsSpent, out),
            _ if stuck => self.finish(id, EndReason::NoRepeatAllowed, out),
            Phase::Waiting => self.begin(id, out),
            Phase::Held => {
                let release_at = r.held.release_by(
                    self.set.release.saturating_sub(self.release_margin(held_state::SWEEPS_BEFORE_RELEASE)),
                );
                if self.now >= release_at {
                    self.release(id, ReleaseReason::Untaken, out);
                    self.requests.entry(id).and_modify(|r| r.phase = Phase::Waiting);
                    self.begin(id, out);
                } else if let Some(writer) = self.pick_writer(id, r.held.reader()) {
                    self.send(id, &writer, None, out);
                }
            }
        }
    }

    /// Starts a request if both stages can be in time, or half its read at most is ahead; else waits or ends.
    fn begin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (readers, mixed) = (self.usable(Role::Reader, id), self.usable(Role::Mixed, id));
        let writers = self.usable(Role::Writer, id).len() + mixed.len();
        let Some(r) = self.requests.get(&id) else { return };
        let prompt = r.ask.prompt_tokens as f64;
        let short = prompt <= self.learned.prompt.or(0.0);
        let direct =
            !mixed.is_empty() && (short || readers.is_empty()) || readers.is_empty() && self.set.writers_read;
        let target = if direct {
            self.pick_writer(id, None).map(|w| (w, 0.0))
        } else {
            // A read whose writers can't take it would only gather states at the readers.
            self.pick_reader(r, &readers).filter(|_| writers > 0)
        };
        let Some((target, unread)) = target else { return };
        let ahead = self.ahead(&target, 0.0);
        let pace = self.learned.read_pace.or(0.0) * self.slowness(&target);
        let takes = |work: f64| pace * (work + self.learned.unread.or(0.0));
        let (aim, waited) = (self.aim(r) as f64, (self.now - r.arrived) as f64);
        let reads = 2.0 * ahead <= unread || takes(ahead + unread) <= aim * (1.0 - STAGE_PART);
        let coming: Vec<f64> = (self.requests.values())
            .filter(|r| matches!(r.phase, Phase::Reading | Phase::Held | Phase::Writing))
            .map(|r| r.ask.prompt_tokens as f64)
            .collect();
        let pace = if direct { self.learned.write_pace[2] } else { self.learned.first_pace };
        let first = |work: f64| pace.or(0.0) * (work + self.learned.prompt.or(0.0));
        let crowd = coming.iter().sum::<f64>() / writers.max(1) as f64;
        let writes = coming.len() < writers || first(crowd + prompt) <= aim * STAGE_PART;
        // Can't begin before its client leaves, or in time after a read that wasn't answered: another one
        // would feed the jam. Guards against short deadlines, and jams that grow by repeats of what is late.
        let left = r.ask.deadline.saturating_sub(self.now) as f64;
        let doomed = !coming.is_empty() && takes(ahead + unread) + first(prompt) > left;
        let late = waited + takes(unread) + first(prompt) > aim;
        let doomed = doomed || r.unanswered() && waited + takes(unread) > aim;
        if reads && writes && !doomed {
            self.send(id, &target, (!direct).then_some(unread), out);
        } else if doomed {
            self.finish(id, EndReason::Doomed, out);
        } else if late || r.over_share {
            self.finish(id, EndReason::NoRoom, out);
        }
    }

    /// The reader, and how much of the prompt it would have to read.
    fn pick_reader(&self, r: &Request, usable: &[WorkerId]) -> Option<(WorkerId, f64)> {
        let ask = &r.ask;
        let prompt = ask.prompt_tokens as f64;
        let cold = |id: &&WorkerId| self.workers.get(*id).is_some_and(|w| self.cold(w));
        // A cold reader would have it for too long: text is kept elsewhere, and others would wait behind it.
        let slow =
            |id: &WorkerId| prompt * self.read_token() * self.slowness(id) > self.aim(r) as f64 * COLD_PART;
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
        let (sum, trust) = reports.fold((0.0, 1e-9), |(s, t), (v, trust)| (s + v * trust, t + trust));
        let key = hash_key(ask, self.seed, self.homes(ask));
        // What a lost answer costs, as tokens read in the time that it is waited for.
        let wait = self.aim(r) as f64 * (1.0 - STAGE_PART) / self.learned.read_pace.or(f64::MAX).max(1e-9);
        let since = self.now.saturating_sub(PREFIX_TTL);
        let views: Vec<View> = (warm.iter())
            .map(|id| {
                let slow = self.slowness(id);
                let kept = self.kept.kept(ask, id, since).max(if *id == home { presumed } else { 0.0 });
                let rank = xxh3_64_with_seed(id.0.as_bytes(), key);
                let load = self.ahead(id, sum / trust) * slow + self.lossy(id, r.class, 0.0) * wait;
                View { id, slow, load, rest: prompt - kept, rank }
            })
            .collect();
        let mean = views.iter().map(|v| v.load).sum::<f64>() / views.len() as f64;
        let longest = |a: &&View, b: &&View| {
            b.rest.total_cmp(&a.rest).then(b.load.total_cmp(&a.load)).then(a.rank.cmp(&b.rank))
        };
        if let Some(holder) = views.iter().filter(|v| v.rest < prompt || *v.id == home).max_by(longest) {
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
    fn read_token(&self) -> f64 {
        let stated = self.set.classes.iter().map(|c| c.aim_per_1000_tokens).max().unwrap_or(0);
        if stated > 0 { stated as f64 / 1000.0 } else { READ_TOKEN }
    }

    /// What a read would push out: the credited tokens, by how full the reader is and how much it needs.
    fn eviction(&self, worker: &WorkerId, unread: f64) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 0.0 };
        let credited = self.kept.credited(worker);
        let share = w.report.and_then(|(_, r)| r.memory_share).unwrap_or(credited / w.memory).clamp(0.0, 1.0);
        credited * share * (unread / w.memory).min(1.0)
    }

    /// The reader to which a text belongs: rendezvous hashing by size, the same at every router of a zone,
    /// but for cold ones. A zone's own readers serve it as far as their part of all readers goes.
    fn home(&self, ask: &Ask, usable: &[WorkerId]) -> Option<WorkerId> {
        let key = hash_key(ask, self.seed, self.homes(ask));
        let zones: BTreeSet<&str> = self.workers.values().map(|w| w.zone.as_str()).collect();
        let here = |w: &&WorkerId| self.workers[*w].zone == self.set.zone;
        let can = |zone: &dyn Fn(&str) -> bool| -> f64 {
            self.ready(Role::Reader).filter(|(_, w)| zone(&w.zone)).map(|(_, w)| self.can(w)).sum()
        };
        let local = can(&|z| z == self.set.zone) * zones.len() as f64 / can(&|_| true).max(1e-9);
        let score =
            |w: &WorkerId| -self.can(&self.workers[w]) / unit(xxh3_64_with_seed(w.0.as_bytes(), key)).ln();
        let near = unit(key ^ 1) < local;
        let from = |near: bool| {
            let from = usable.iter().filter(move |w| !near || here(w));
            from.max_by(|a, b| score(a).total_cmp(&score(b)).then(b.cmp(a)))
        };
        from(near).or_else(|| from(false)).cloned()
    }

    /// Homes of a shared text, among which its sessions are spread: its part of all requests, in readers,
    /// where there are many. A rare one is read anew at each; a frequent one is more than a reader can take.
    fn homes(&self, ask: &Ask) -> u64 {
        let readers = self.most[Role::Reader as usize] as u64;
        let part = self.kept.share(ask, self.now, PREFIX_TTL);
        ((part * readers as f64).round() as u64).min(readers / READERS_A_HOME).max(1)
    }

    /// Unanswered attempts of this router at a worker.
    fn out_at(&self, worker: &WorkerId) -> impl Iterator<Item = &Attempt> {
        self.requests.values().flat_map(Request::out).filter(move |a| a.worker == *worker)
    }

    /// Tokens that wait at a reader: this router's, what time-outs tell of the others', and what is reported.
    /// An old report fades to the average one, not to an empty queue that would draw prompts from holders.
    fn ahead(&self, worker: &WorkerId, average: f64) -> f64 {
        let own: f64 = self.out_at(worker).filter(|a| !a.writes).map(|a| a.tokens).sum();
        let (reported, trust) = self.reported(worker);
        let told = self.workers.get(worker).map_or(0.0, |w| w.others.left(self.now, HALF_LIFE));
        own + told + trust * reported + (1.0 - trust) * average
    }

    /// Tokens reported to wait and the trust in them. What is kept counts as waiting, too.
    fn reported(&self, worker: &WorkerId) -> (f64, f64) {
        let report = self.workers.get(worker).and_then(|w| w.report);
        let Some((at, Report { tokens_waiting: Some(tokens), .. })) = report else { return (0.0, 0.0) };
        let unread = self.learned.unread.or(1.0) / self.learned.prompt.or(1.0).max(1.0);
        (tokens * unread.min(1.0), fade(self.now, at, HALF_LIFE))
    }

    fn pick_writer(&self, id: RequestId, reader: Option<&WorkerId>) -> Option<WorkerId> {
        let r = self.requests.get(&id)?;
        let mut usable = self.usable(Role::Writer, id);
        usable.extend(self.usable(Role::Mixed, id));
        // An answer lost, perhaps to a slow way, is as bad as a full memory.
        let drags = self.drags(&usable);
        let fill = |w| self.fill(w) + self.lossy(w, r.class, 2.0) + drags[w] + self.risk(w, r);
        let fill: BTreeMap<&WorkerId, f64> = usable.iter().map(|w| (w, fill(w))).collect();
        // Equals: by chance, or all routers would send to the same one.
        let chance = |w: &WorkerId| xxh3_64_with_seed(w.0.as_bytes(), id.0 ^ self.seed);
        let least = |near: &dyn Fn(&Worker) -> bool| {
            (usable.iter().filter(|w| self.workers.get(w).is_some_and(near)))
                .min_by(|a, b| fill[a].total_cmp(&fill[b]).then_with(|| chance(a).cmp(&chance(b))))
        };
        let best = least(&|_| true)?;
        let Some(near) = reader.and_then(|w| self.workers.get(w)) else { return Some(best.clone()) };
        // A slow link is seen as first tokens that take longer from afar: the nearer one is kept to the more.
        let pace = |far: usize| self.learned.write_pace[far].or(0.0);
        let worth = |far: usize, than: usize| (pace(than) / pace(far).max(1e-9)).max(1.0);
        let beyond = self.workers.get(best).map_or(2, |w| self.distance(reader, w));
        // Only the near writers' part of all writers is kept near of what near readers read: see `balance`.
        let luck = unit(xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed ^ 1));
        // While states from afar have just not come in time, near writers take all that they have room for.
        let luck = if self.hung_far.left(self.now, HALF_LIFE) >= 0.5 { 0.0 } else { luck };
        // While near writers have just not begun in time, and those afar have, the near ones are jammed: less
        // stays near with each, but never nothing, or nobody would see that they are well again. Not where
        // the way takes longer than distance alone explains: links are slow, and afar would be worse.
        let hung = |f: &Fading| f.left(self.now, HALF_LIFE);
        let slow_way = pace(2) > SLOW_WAY * pace(0);
        let jam = if slow_way { 0.0 } else { (hung(&self.hung_near) - hung(&self.hung_far)).max(0.0) };
        let well = 1.0 / (1.0 + jam);
        let (cell, zone) = (|w: &Worker| w.cell == near.cell, |w: &Worker| w.zone == near.zone);
        let swift = |w: &&WorkerId| drags[w] == 0.0;
        let roomy = |w: &Worker| w.keep[0] > 1.0;
        let in_zone = least(&|w| zone(w) && roomy(w)).or_else(|| least(&zone));
        let turn = |w: &Worker| self.cold(w) && (cell(w) || zone(w) && self.is_concentrated(w));
        let turn = usable.iter().find(|w| self.workers.get(w).is_some_and(turn));
        for (far, candidate) in [turn.or_else(|| least(&cell)), in_zone].into_iter().enumerate() {
            let fuller = CLEARLY_FULLER * worth(far, beyond);
            if let Some(w) = candidate.filter(swift).filter(|w| fill[w] <= fill[best] + fuller)
                && luck < near.keep[far] * worth(far, far + 1).min(1.0 + CLEARLY_FULLER) * well
            {
                return Some(w.clone());
            }
        }
        least(&roomy).filter(|w| fill[w] <= fill[best] + CLEARLY_FULLER).or(Some(best)).cloned()
    }

    /// How far a state moves to this worker: 0 within the cell, 1 within the zone, 2 beyond or not at all.
    fn distance(&self, reader: Option<&WorkerId>, to: &Worker) -> usize {
        match reader.and_then(|r| self.workers.get(r)) {
            Some(from) if from.cell == to.cell => 0,
            Some(from) if from.zone == to.zone => 1,
            _ => 2,
        }
    }

    /// Projected share of a writer's memory, by its slowness. Without a fresh report the others are taken to
    /// hold as much as this one.
    fn fill(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else { return f64::MAX };
        let routers = f64::from(self.set.routers);
        let routers = if self.cold(w) { routers.min(self.slow_start_budget(w)) } else { routers };
        let guess = self.out_at(worker).map(|a| a.tokens).sum::<f64>() * routers;
        let projected = match w.report {
            Some((at, Report { memory_share: Some(share), .. })) => {
                let since: f64 = self.out_at(worker).filter(|a| a.sent >= at).map(|a| a.tokens).sum();
                let trust = fade(self.now, at, HALF_LIFE);
                trust * (share * w.memory + since) + (1.0 - trust) * guess
            }
            _ => guess,
        };
        projected / w.memory * self.slowness(worker)
    }

    /// The part of a class's attempts there whose answers were lost of late, each that came making up for
    /// `forgiven` lost ones. Guards against workers that answer one class and not another: they are not sick.
    fn lossy(&self, worker: &WorkerId, class: usize, forgiven: f64) -> f64 {
        let seen = self.workers.get(worker).and_then(|w| w.answers.get(&class));
        let [lost, came] = seen.map_or([0.0; 2], |a| a.map(|f| f.left(self.now, HALF_LIFE)));
        (lost - forgiven * came).max(0.0) / (lost + came + 1.0)
    }

    /// What speaks against a writer: failures of late, and for what must not run twice that it never
    /// answered. Each of many routers has to meet a bad writer once: with a request that may be repeated, if
    /// it can be.
    fn risk(&self, worker: &WorkerId, r: &Request) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 0.0 };
        let [faults, came] = w.faults.map(|f| f.left(self.now, PREFIX_TTL));
        let unknown = self.set.classes[r.class].effect == Effect::Unsafe && w.last_good == 0;
        faults / (faults + came + 1.0) + if unknown { CLEARLY_FULLER / 2.0 } else { 0.0 }
    }

    /// How much longer each writer's streams last than is usual, from 0 for those within bounds to 1. Guards
    /// against writers that begin at once and then crawl; streams that still run tell of it first.
    fn drags<'a>(&self, writers: &'a [WorkerId]) -> BTreeMap<&'a WorkerId, f64> {
        let seen = |id: &WorkerId| {
            let streams = |w: &Worker| w.streams.map(|f| f.left(self.now, STREAMS_HALF_LIFE));
            let over = self.workers.get(id).map_or([0.0; 2], streams);
            let running = self.out_at(id).filter_map(|a| a.first).map(|at| (self.now - at) as f64);
            [over[0] + running.sum::<f64>(), over[1]]
        };
        let seen: Vec<[f64; 2]> = writers.iter().map(seen).collect();
        let known = seen.iter().filter(|[_, ends]| *ends >= 0.5);
        let mut each: Vec<f64> = known.map(|[time, ends]| time / ends.max(1.0)).collect();
        each.sort_by(f64::total_cmp);
        let usual = each.get(each.len().saturating_sub(1) / 2).map_or(f64::MAX, |t| t.max(1.0));
        let longer = |[time, ends]: [f64; 2]| (time / usual + FEW_ENDS) / (ends + FEW_ENDS);
        let drag = |s| Some(1.0 - SLOW_STREAMS / longer(s)).filter(|d| *d > SLIGHT_DRAG).unwrap_or(0.0);
        writers.iter().zip(seen).map(|(w, s)| (w, drag(s))).collect()
    }

    /// Sends, if every rule allows it: unanswered request, worker in service, attempts left, no second copy,
    /// no effect twice. Everything that goes to a worker goes through here.
    fn send(&mut self, id: RequestId, worker: &WorkerId, unread: Option<f64>, out: &mut Vec<Action>) {
        let writes = unread.is_none();
        let permit = match self.permit_send(id, worker, writes) {
            Ok(permit) => permit,
            Err(refusal) => {
                return out.push(Action::SendRefused { request: id, worker: worker.clone(), refusal });
            }
        };
        let (Some(r), Some(w)) = (self.requests.get(&id), self.workers.get(worker)) else { return };
        let class = &self.set.classes[r.class];
        let left = r.ask.deadline.saturating_sub(self.now);
        let prompt = r.ask.prompt_tokens as f64;
        let far = self.distance(r.held.reader(), w);
        let (tokens, work, pace) = if let Some(unread) = unread {
            let work = self.ahead(worker, 0.0) + unread + self.learned.unread.or(prompt);
            (unread, work, self.learned.read_pace)
        } else {
            let waiting = self.out_at(worker).filter(|a| a.first.is_none());
            let work = waiting.map(|a| a.tokens).sum::<f64>() + prompt + self.learned.prompt.or(0.0);
            (prompt + r.growth(class), work, self.learned.write_pace[far])
        };
        // Well past what this work takes, but leaving as long again for another try, if there may be one.
        let last = writes && class.effect != Effect::Safe;
        let takes = |work: f64| pace.or(0.0) * work * self.slowness(worker);
        let expected = (takes(work) as Micros) << self.patience[usize::from(writes)].saturating_sub(1);
        // Kept text may be gone: a read may have to do the whole prompt.
        let whole = (IMBALANCE * takes(work + prompt - unread.unwrap_or(prompt))) as Micros;
        let due = self.set.connect_timeout.saturating_add(whole.max((OVERDUE * expected as f64) as Micros));
        let part = if writes || !self.set.load_unknown() { STAGE_PART } else { 1.0 - STAGE_PART };
        // With much of the role cold, no other is better off, and a repeat reads the whole prompt anew:
        // guards against a jam that feeds itself.
        let (can, of) =
            self.ready(w.role).fold((0.0, 1e-9), |(c, a), (_, w)| (c + self.can(w), a + w.weight));
        let part = if writes { part } else { part * (of / can).powi(3).min(4.0) };
        let due = due.max((self.aim(r) as f64 * part) as Micros);
        let due = if left / 2 > expected { due.min(left - expected) } else { left };
        let timeout = (!last).then_some(due);
        if !writes {
            self.kept.credit(&r.ask, worker, self.now);
        }
        let (now, window) = (self.now, self.slow_start_window());
        self.workers.entry(worker.clone()).and_modify(|w| w.slow_start_sends.push(now, window));
        let (due, sent, outcome, first) = (self.now + due, self.now, None, None);
        let attempt =
            Attempt { worker: worker.clone(), writes, far, sent, due, tokens, work, outcome, first };
        if let Some(r) = self.requests.get_mut(&id) {
            r.attempts.push(attempt);
            r.phase = if writes { Phase::Writing } else { Phase::Reading };
            if !writes {
                r.held.clear();
            }
        }
        out.push(Action::Send { request: id, worker: worker.clone(), timeout, permit });
    }

    /// Gives the final answer, at once: a refusal with advice where trying again is harmless, else a failure.
    fn finish(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if matches!(r.phase, Phase::Done | Phase::Streaming) {
            return;
        }
        if self.may_refuse(r) {
            let retry_after = self.set.retry_advice.then(|| {
                // Spread, so that those refused together don't come back together.
                let spread = xxh3_64_with_seed(&id.0.to_le_bytes(), self.seed) % 1000;
                self.set.max_retry_after / 2 + self.set.max_retry_after / 2 * spread / 1000
            });
            out.push(Action::Refuse { request: id, reason, retry_after });
        } else {
            out.push(Action::Fail { request: id, reason });
        }
        self.close(id, out);
    }

    /// Lets go of all that an answered request still has.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(r) = self.requests.get_mut(&id) {
            r.phase = Phase::Done;
            if self.set.may_drop {
                let open = |a: &Attempt| a.outcome.is_none() && a.first.is_none();
                let open = (0..).zip(&r.attempts).filter(|(_, a)| open(a));
                out.extend(open.map(|(i, _)| Action::Drop { request: id, attempt: AttemptIndex(i) }));
            }
        }
        self.release(id, ReleaseReason::RequestOver, out);
        if self.requests.get(&id).is_some_and(|r| r.out().next().is_none()) {
            self.requests.remove(&id);
        }
    }

    fn started(&mut self, id: RequestId, attempt: AttemptIndex, elapsed: Micros) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt.0 as usize) else { return };
        a.first = Some(self.now);
        self.patience[1] = self.patience[1].saturating_sub(1);
        let (worker, work, pace, sent, class) = (a.worker.clone(), a.work, Some(a.far), a.sent, r.class);
        if r.phase != Phase::Done {
            r.phase = Phase::Streaming;
        }
        r.held.clear();
        self.good(&worker, sent, class);
        self.learn(&worker, pace, elapsed, work);
    }

    fn learn(&mut self, worker: &WorkerId, far: Option<usize>, elapsed: Micros, work: f64) {
        let pace = far.map_or(&mut self.learned.read_pace, |far| &mut self.learned.write_pace[far]);
        let sample = elapsed as f64 / work.max(1.0);
        // One that hangs says little of its peers: a sample counts as twice the average at the most.
        let bounded = sample.min(2.0 * pace.or(sample));
        if far.is_some() {
            self.learned.first_pace.add(bounded, LEARN);
        }
        let ratio = sample / pace.or(sample).max(1e-9);
        pace.add(bounded, LEARN);
        let Some(w) = self.workers.get_mut(worker) else { return };
        w.slowness.add(ratio.clamp(0.1, 10.0), LEARN);
        let role = w.role;
        self.learn_slowness(role);
    }

    fn ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let Ended { request: id, attempt, outcome, elapsed, settled, kept, report } = end;
        let (now, i) = (self.now, attempt.0 as usize);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(i).filter(|a| a.outcome.is_none()) else { return };
        a.outcome = Some(outcome);
        match outcome {
            Outcome::Read => self.patience[0] = self.patience[0].saturating_sub(1),
            Outcome::NoAnswer if a.first.is_none() => {
                let p = &mut self.patience[usize::from(a.writes)];
                *p = (*p + 1).min(MAX_DOUBLINGS);
            }
            _ => {}
        }
        if a.writes {
            r.held.send_ended(outcome, now);
        }
        let (worker, writes, work, sent) = (a.worker.clone(), a.writes, a.work, a.sent);
        let (far, first, tokens) = (a.far, a.first, a.tokens);
        let unread = r.ask.prompt_tokens.saturating_sub(kept) as f64;
        let (class, kind) = (r.class, (r.class, r.ask.tenant.clone()));
        if outcome == Outcome::Read && r.phase != Phase::Done {
            r.held.hold(worker.clone(), now);
        } else if outcome == Outcome::NoState || !writes && !outcome.never_ran() {
            // A read may have ended well as it was given up or broke; what this writer doesn't find may be
            // elsewhere. What is left is held like any state.
            r.held.clear();
            out.push(Action::Release { request: id, reason: ReleaseReason::AttemptEnded });
        }
        self.heard(&worker, report);
        if let (Some(at), Some(w)) = (first, self.workers.get_mut(&worker)) {
            let ended = f64::from(u8::from(outcome == Outcome::Served));
            w.streams[0].add(now, STREAMS_HALF_LIFE, (now - at) as f64);
            w.streams[1].add(now, STREAMS_HALF_LIFE, ended);
        }
        match outcome {
            Outcome::Read => {
                self.learned.unread.add(unread, LEARN);
                self.good(&worker, sent, class);
                self.learn(&worker, None, elapsed, work - tokens + unread);
            }
            Outcome::Served if first.is_none() => self.good(&worker, sent, class),
            // Full, perhaps for this kind of request alone: others may still go there.
            Outcome::TurnedAway => {
                let until = now + HALF_LIFE / 2;
                self.workers.entry(worker.clone()).and_modify(|w| w.turned_away(kind, now, until));
            }
            // One sent later was answered: this one doesn't wait there, its answer was lost on the way.
            // Guards against setting workers aside, or taking them to be full, while most answers come.
            Outcome::NoAnswer if self.workers.get(&worker).is_some_and(|w| w.good_sent > sent) => {
                if let Some(w) = self.workers.get_mut(&worker) {
                    w.answers.entry(class).or_default()[0].add(now, HALF_LIFE, 1.0);
                }
            }
            Outcome::NoAnswer => {
                self.learn(&worker, writes.then_some(far), elapsed, work);
                self.bad(&worker, sent);
                if writes {
                    let hung = if far > 0 { &mut self.hung_far } else { &mut self.hung_near };
                    hung.add(now, HALF_LIFE, 1.0);
                }
                // Without a report, it's as if it had told of so much work.
                let waiting = elapsed as f64 / self.learned.read_pace.or(f64::MAX).max(1e-9);
                if !writes && self.set.load_unknown() {
                    self.workers.entry(worker.clone()).and_modify(|w| w.others.add(now, HALF_LIFE, waiting));
                }
            }
            Outcome::Error | Outcome::ConnectionLost => {
                self.workers.entry(worker.clone()).and_modify(|w| w.faults[0].add(now, PREFIX_TTL, 1.0));
                self.bad(&worker, sent);
            }
            Outcome::NoConnection => {
                // Twice in a row: once may be a full table of connections.
                self.workers.entry(worker.clone()).and_modify(|w| {
                    (w.lost, w.unreached) = (w.lost || w.failing >= SICK, Some(now));
                });
                self.bad(&worker, sent);
            }
            Outcome::Served | Outcome::NoState | Outcome::Dropped | Outcome::NotSent => {}
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if settled || r.phase == Phase::Done {
            // Whatever the attempt left behind is let go, also what a drop or a late read left.
            if outcome != Outcome::Served {
                r.held.hold(worker, now);
            }
            self.close(id, out);
            return;
        }
        r.phase = if r.held.is_held() { Phase::Held } else { Phase::Waiting };
        self.step(id, out);
    }

    fn heard(&mut self, worker: &WorkerId, report: Option<Report>) {
        if let (Some(w), Some(report)) = (self.workers.get_mut(worker), report) {
            w.report = Some((self.now, sane(report)));
        }
    }

    fn good(&mut self, worker: &WorkerId, sent: Micros, class: usize) {
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
    fn bad(&mut self, worker: &WorkerId, sent: Micros) {
        let (now, base) = (self.now, self.set.connect_timeout.max(self.set.tick) * 4);
        if let Some(w) = self.workers.get_mut(worker) {
            w.failing += (1.0 - w.failing) * SICK;
            if (w.failing > SICK || w.lost) && sent >= w.sick_until {
                w.sick_until = now + (base << w.doublings);
                w.doublings = (w.doublings + 1).min(MAX_DOUBLINGS);
            }
        }
    }

    fn slowness(&self, worker: &WorkerId) -> f64 {
        let Some(w) = self.workers.get(worker) else { return 1.0 };
        let slow = w.slowness.or(1.0) / self.learned.slowness[w.role as usize].max(0.1);
        // Ordinary differences between workers are noise here.
        (if slow < 1.5 { 1.0 } else { slow }).max(1.0 / self.warmth(w))
    }

    fn learn_slowness(&mut self, role: Role) {
        let peers = self.workers.values().filter(|p| p.role == role);
        self.learned.slowness[role as usize] = median(peers.map(|p| p.slowness.or(1.0)));
    }

    /// The least part that a worker can do now of what it does when warm.
    fn warmth(&self, w: &Worker) -> f64 {
        let age = w.started.map_or(f64::MAX, |at| self.now.saturating_sub(at) as f64);
        let part = (age / (0.7 * self.set.cold.max(1) as f64)).min(1.0);
        (self.set.cold_from + (1.0 - self.set.cold_from) * part).max(0.05)
    }

    fn can(&self, w: &Worker) -> f64 {
        w.weight * self.warmth(w)
    }

    fn ready(&self, role: Role) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter().filter(move |(_, w)| w.role == role && w.status == Status::Ready)
    }

    /// Zones of which nothing has come since several workers there could not be reached. Guards against a try
    /// at each of them by each of many routers, before the list tells of it.
    fn lost_zones(&self) -> BTreeSet<&str> {
        let mut seen = BTreeMap::<&str, (u32, Micros, Micros)>::new();
        for w in self.workers.values() {
            let (count, last, good) = seen.entry(&w.zone).or_default();
            let fresh = w.unreached.filter(|at| at + 2 * HALF_LIFE > self.now);
            *count += u32::from(fresh.is_some());
            (*last, *good) = ((*last).max(fresh.unwrap_or(0)), (*good).max(w.last_good));
        }
        seen.into_iter().filter(|(_, (n, last, good))| *n > 1 && good < last).map(|(zone, _)| zone).collect()
    }

    /// The workers of a role that may be sent this request now, healthy ones first.
    fn usable(&self, role: Role, id: RequestId) -> Vec<WorkerId> {
        let request = self.requests.get(&id);
        let any_warm = self.ready(role).any(|(_, w)| !self.cold(w));
        let turn = request.filter(|_| role == Role::Reader && any_warm).map(|r| self.slow_start_reader(r));
        let mut ready: Vec<(&WorkerId, &Worker)> = (self.ready(role))
            .filter(|(_, w)| request.is_none_or(|r| !r.may_have_run() || self.may_repeat_at(r, w)))
            .filter(|(id, w)| {
                !self.cold(w) || self.has_room(id, w) && turn.as_ref().is_none_or(|t| t.as_ref() == Some(id))
            })
            .collect();
        let reached = ready.iter().filter(|(_, w)| !w.lost).count();
        let kind = request.map(|r| (r.class, r.ask.tenant.clone()));
        let full = |w: &Worker| kind.as_ref().is_some_and(|k| w.is_full(k, self.now));
        prefer(&mut ready, |(_, w)| !full(w));
        // Another one than those that have just failed it, and out of zones that seem lost.
        let lost = self.lost_zones();
        prefer(&mut ready, |(_, w)| !lost.contains(&*w.zone));
        prefer(&mut ready, |(id, _)| request.is_none_or(|r| !r.failed_at(id)));
        if request.is_some_and(Request::is_pressed) {
            // Where something just came from, as from the state's reader: a zone may be cut off.
            let just = self.workers.values().filter(|w| w.answered_within(self.now, self.set.release));
            let zones: BTreeSet<&str> = just.map(|w| &*w.zone).collect();
            prefer(&mut ready, |(_, w)| zones.contains(&*w.zone));
            prefer(&mut ready, |(_, w)| w.answered_within(self.now, 2 * HALF_LIFE));
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
        let stand_in = role == Role::Reader && self.set.writers_read;
        let all = ready.iter().filter(|(id, w)| !w.lost || reached == 0 && !stand_in || healthy.contains(id));
        all.map(|(id, _)| (*id).clone()).collect()
    }

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        let failures = if kind == ListKind::Failed { self.call_failures + 1 } else { 0 };
        self.call_failures = failures.min(MAX_DOUBLINGS);
        if matches!(kind, ListKind::Failed | ListKind::Saved) && self.set.list_on_request {
            // A span for all routers' calls one by one, doubled with each failure: in step they never end.
            let span = CALL_WITHIN.min((CALL * Micros::from(self.set.routers)) << self.call_failures);
            let drawn = unit(xxh3_64_with_seed(&self.now.to_le_bytes(), self.seed));
            self.call_due = Some(self.now + (span as f64 * drawn) as Micros);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            self.workers.values_mut().for_each(|w| w.status = Status::Gone);
        }
        for e in entries {
            self.entry(e);
        }
        self.balance();
        // A gone worker stays known while something of ours is out there.
        let requests = &self.requests;
        let busy = |id: &WorkerId| requests.values().flat_map(Request::out).any(|a| a.worker == *id);
        self.workers.retain(|id, w| w.status != Status::Gone || busy(id));
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            self.most[role as usize] = self.most[role as usize].max(self.ready(role).count());
            self.learn_slowness(role);
        }
    }

    fn entry(&mut self, e: Entry) {
        let kind = self.set.kinds.iter().find(|k| k.name == e.kind);
        let role = kind.map_or(Role::Mixed, |k| k.role);
        let memory = kind.and_then(|k| k.memory_tokens).map_or(1e6, |m| m.max(1) as f64);
        let weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
        if self.workers.get(&e.worker).is_none_or(|w| w.started != e.started || w.role != role) {
            // A new life: nothing kept, nothing learned, cold if it began lately.
            self.kept.forget(&e.worker);
            let slowness = Average::from_prior(1.0, 1.0 / LEARN); // one odd answer says little
            let fresh = Worker { slowness, role, memory, started: e.started, ..Worker::default() };
            self.workers.insert(e.worker.clone(), fresh);
        }
        if let Some(w) = self.workers.get_mut(&e.worker) {
            (w.zone, w.cell, w.status, w.weight) = (e.zone, e.cell, e.status, weight);
        }
    }

    /// The flow of states that all routers together should make, from the list alone: they stay in their cell
    /// and zone as far as the writers' part there goes (`keep`; above 1 there is room for others' states).
    fn balance(&mut self) {
        let groups = |w: &Worker| [(w.zone.clone(), Some(w.cell)), (w.zone.clone(), None)];
        let (mut parts, mut all) = (BTreeMap::<_, [f64; 2]>::new(), [0.0; 2]);
        for w in self.workers.values().filter(|w| w.status == Status::Ready) {
            let others = [(0, Role::Writer), (1, Role::Reader)].into_iter().filter(|o| o.1 != w.role);
            for (i, _) in others {
                all[i] += self.can(w);
                groups(w).into_iter().for_each(|g| parts.entry(g).or_default()[i] += self.can(w));
            }
        }
        let part = |g| parts.get(&g).map_or(1.0, |p| p[1] * all[0] / (p[0] * all[1]).max(1e-9));
        self.workers.values_mut().for_each(|w| w.keep = groups(w).map(part));
    }

    fn cold(&self, w: &Worker) -> bool {
        w.started.is_some_and(|at| self.now < at.saturating_add(self.set.cold))
    }

    /// The one reader in slow start that may get this request, once: one in whose budget this router is one
    /// of few with a share, for a session of which it knows no reader, else the home of its text.
    fn slow_start_reader(&self, r: &Request) -> Option<WorkerId> {
        let ready = || self.ready(Role::Reader);
        let rank = |id: &WorkerId| xxh3_64_with_seed(id.0.as_bytes(), hash_key(&r.ask, self.seed, 1));
        let shares = |id, w| self.cold(w) && self.is_concentrated(w) && self.has_room(id, w);
        let known = self.kept.knows_session(&r.ask);
        let one = ready().filter(|(id, w)| r.attempts.is_empty() && !known && shares(id, w));
        let one = one.max_by_key(|(id, _)| rank(id)).map(|(id, _)| id.clone());
        let home = || self.home(&r.ask, &ready().map(|(id, _)| id.clone()).collect::<Vec<_>>());
        one.or_else(home).filter(|id| r.attempts.iter().all(|a| a.worker != *id))
    }

    /// Learns what a warm worker of each role completes, as requests arrive; that stands while none is warm.
    fn learn_rates(&mut self) {
        for role in [Role::Reader, Role::Writer, Role::Mixed] {
            let warm = || self.ready(role).filter(|(_, w)| !self.cold(w)).map(|(_, w)| w);
            let done: f64 = warm().map(|w| w.done.left(self.now, HALF_LIFE)).sum();
            let size: f64 = warm().map(|w| w.weight).sum();
            if size > 0.0 {
                let rate = done / size * std::f64::consts::LN_2 / HALF_LIFE as f64;
                // Five times slower than else: one sample sums up only a few requests.
                self.learned.rates[role as usize].add(rate, LEARN / 5.0);
            }
        }
    }

    /// The sends that a worker in slow start may get from all routers within `fall`: what it bears by what
    /// warm ones complete or its part of the promised, and half of what the rule puts down to chance.
    fn slow_start_budget(&self, w: &Worker) -> f64 {
        let promised = self.tenants.values().map(|t| t.0).sum::<f64>() / 1e6;
        let role = w.role as usize;
        let each = self.learned.rates[role].or(0.0).max(promised / self.most[role].max(1) as f64) * w.weight;
        // What it could do at the beginning of the window: how it grows is not stated.
        let age = self.now.saturating_sub(w.started.unwrap_or(0)).saturating_sub(self.set.fall);
        let age = age as f64 / self.set.cold.max(1) as f64;
        let part = self.set.cold_from + (1.0 - self.set.cold_from) * age.min(1.0);
        let all = each * f64::from(self.set.routers) * part * self.set.fall as f64;
        let bears = (all * self.set.fall_multiple).max(1.0);
        // Where all are in slow start nothing is drawn, so nothing is put down to chance.
        let roots = match self.ready(w.role).any(|(_, p)| !self.cold(p)) {
            false => 0.0,
            true if bears < FEW_CALLS => 2.0,
            true => 1.0,
        };
        bears + roots * (bears.sqrt() + 1.0)
    }

    /// Sends are counted as they are decided, and written up to a connect time-out later.
    fn slow_start_window(&self) -> Micros {
        self.set.fall.max(1).saturating_add(self.set.connect_timeout)
    }

    /// Whether too many routers share a worker's budget for each to have a part of it.
    fn is_concentrated(&self, w: &Worker) -> bool {
        self.slow_start_budget(w) < f64::from(self.set.routers)
    }

    /// Whether a worker in slow start may get another send of this router: its share of the budget in a
    /// window, half of it in half of that. Of too many routers, some have one send each, in turns.
    fn has_room(&self, id: &WorkerId, w: &Worker) -> bool {
        let (routers, window) = (f64::from(self.set.routers.max(1)), self.slow_start_window());
        let budget = self.slow_start_budget(w);
        let senders = budget / self.set.fall_multiple.max(1.0) * window as f64 / self.set.fall.max(1) as f64;
        let start = unit(xxh3_64_with_seed(id.0.as_bytes(), w.started.unwrap_or(0)));
        let turn = |index| (f64::from(index) + self.now as f64 / window as f64) / routers + start;
        // A router without a number counts on no rest.
        let place = self.set.index.map_or(0.0, |index| turn(index).fract());
        let share =
            (if budget < routers { senders.min(budget).max(1.0) } else { budget } / routers + place) as usize;
        let room = |time, most| w.slow_start_sends.within(self.now, time) < most;
        self.now >= self.slow_start_from && room(window, share) && room(window / 2, share.div_ceil(2))
    }
}
