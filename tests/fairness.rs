//! Who is refused: the share of the longest prompts that is answered against that of their class, and sessions of which
//! no turn is. As many modules as a fleet has, fed by one random stream on one clock, no bench, fixed seeds.

#[path = "support/agenda.rs"]
mod agenda;

use agenda::{Agenda, Random};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use whinhaven::Policy;
use whinhaven::routing::types::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const BEGIN: Micros = 100 * SECOND;
/// Workers of each role, in three cells.
const WORKERS: u64 = 6;
const SESSIONS: usize = 240;
const TEXTS: f64 = 40.0;
/// What a reader does before its first token, and for each one that it does not keep.
const READ: Micros = 10 * MS;
const READ_TOKEN: f64 = 40.0;
/// What a state takes to be moved, for each token.
const MOVE_TOKEN: f64 = 2.0;
/// Queues longer than this turn away.
const QUEUE: Micros = 3 * SECOND;
/// How long a client waits for one try, and for all.
const TRY: Micros = 3 * SECOND;
const PATIENCE: Micros = 6 * SECOND;
const LONGEST: f64 = 40_000.0;
const CLASSES: [&str; 2] = ["chat", "order"];
/// Half as much again comes in this part of the day.
const BURST: std::ops::Range<f64> = 0.5..0.6;
/// Writers' capacity over readers': reads are what there is too little of.
const WRITERS_SPARE: f64 = 1.25;

fn settings(index: u32, routers: u32, reports: LoadReporting, flat: Micros) -> RoutingConfig {
    let kind = |name: &str, role| WorkerKind {
        name: name.into(),
        role,
        memory_tokens: Some(400_000),
    };
    let class = |name: &str, effect, aim, aim_per_1000_tokens| RequestClass {
        name: name.into(),
        idempotency: effect,
        ttft_objective: aim,
        ttft_objective_per_1000_tokens: aim_per_1000_tokens,
        inter_token_objective: 60 * MS,
        client_timeout: PATIENCE,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    RoutingConfig {
        index: Some(index),
        routers,
        zone: "z".into(),
        kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode)],
        classes: vec![
            class(CLASSES[0], Idempotency::Idempotent, SECOND, 60 * MS),
            class(CLASSES[1], Idempotency::NonIdempotent, flat, 0),
        ],
        over_quota_weight: 1.0,
        load_reporting: reports,
        max_attempts: 5,
        advises_retry_after: true,
        max_retry_after: 500 * MS,
        connect_timeout: 250 * MS,
        batch_interval: 2 * MS,
        kv_state_hold_limit: 500 * MS,
        response_grace: 16 * MS,
        drain_grace: 500 * MS,
        slow_start_initial_capacity: 1.0,
        slow_start_duration: SECOND,
        overload_factor: 10.0,
        overload_window: SECOND,
        ..RoutingConfig::default()
    }
}

/// Lognormal, of this median and spread.
fn spread(random: &mut Random, median: f64, sigma: f64) -> f64 {
    let normal =
        (-2.0 * (1.0 - random.unit()).ln()).sqrt() * (std::f64::consts::TAU * random.unit()).cos();
    median * (sigma * normal).exp()
}

/// A turn's prompt holds those of the turns before it.
struct Turn {
    prompt: u64,
    stream: Micros,
    answered: bool,
}

struct Session {
    class: usize,
    text: u64,
    text_tokens: u64,
    turns: Vec<Turn>,
}

impl Session {
    fn new(random: &mut Random) -> Session {
        let text = (TEXTS.powf(random.unit()) - 1.0) as u64;
        let text_tokens = 300 + text * 37 % 600;
        let (size, turns) = (spread(random, 800.0, 1.1), 2 + (random.unit() * 5.0) as u64);
        let mut prompt = text_tokens as f64;
        let mut turn = |_| {
            prompt = (prompt + spread(random, size, 0.9)).min(LONGEST);
            let stream = SECOND / 10 + (random.unit() * SECOND as f64 / 3.0) as Micros;
            Turn {
                prompt: prompt as u64,
                stream,
                answered: false,
            }
        };
        let turns = (0..turns).map(&mut turn).collect();
        Session {
            class: usize::from(random.unit() < 0.4),
            text,
            text_tokens,
            turns,
        }
    }

    /// What its reads take where nothing is read twice but the text.
    fn work(&self) -> Micros {
        let last = self.turns.last().map_or(0, |t| t.prompt) - self.text_tokens;
        self.turns.len() as Micros * READ + (last as f64 * READ_TOKEN) as Micros
    }
}

/// A worker that queues what it reads, or streams from slots; what finds no room is turned away.
#[derive(Default)]
struct Host {
    busy_until: Micros,
    streams: Vec<Micros>,
    sessions: BTreeMap<usize, u64>,
    texts: BTreeSet<u64>,
}

/// One try of a turn.
#[derive(Clone, Copy)]
struct Try {
    session: usize,
    turn: usize,
    count: u32,
    first: Micros,
}

enum Next {
    Arrives(Try),
    Event(usize, Event),
}

/// A fleet's day.
struct Day {
    now: Micros,
    random: Random,
    agenda: Agenda<Next>,
    policies: Vec<Policy>,
    reports: bool,
    hosts: BTreeMap<WorkerId, Host>,
    slots: usize,
    sessions: Vec<Session>,
    open: BTreeMap<u64, Try>,
    attempts: BTreeMap<u64, u32>,
}

/// What became of a class: the share answered of all, of the tenth with the longest prompts, of the next fifth; and
/// the part of its sessions that had no answer at all, beyond what the share of refusals gives by chance.
#[derive(Debug)]
struct Figures {
    all: f64,
    longest: f64,
    next: f64,
    shut_out: f64,
    /// The least prompt of the longest tenth, as a multiple of the median.
    spread: f64,
}

impl Day {
    fn arrives(&mut self, this: Try) {
        let session = &self.sessions[this.session];
        let request = RequestId(self.agenda.number());
        let ask = RequestSpec {
            request,
            deadline: self.now + TRY,
            session: Some(Arc::from(format!("s{}", this.session))),
            prefix: Some(Arc::from(format!("p{}", session.text))),
            prefix_tokens: session.text_tokens,
            prompt_tokens: session.turns[this.turn].prompt,
            max_tokens: 50,
            duration_hint: None,
            class: CLASSES[session.class].into(),
            tenant: None,
        };
        self.open.insert(request.0, this);
        let router = self.random.unit() * self.policies.len() as f64;
        self.event(router as usize, Event::RequestArrived(ask));
    }

    fn event(&mut self, router: usize, event: Event) {
        let mut out = Vec::new();
        self.policies[router].handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send {
                    request,
                    worker,
                    timeout,
                    ..
                } => self.send(router, request, worker, timeout),
                Action::Timer { at, timer } => {
                    self.agenda
                        .enter(at.max(self.now), Next::Event(router, Event::Timer(timer)));
                }
                Action::Reject {
                    request,
                    retry_after,
                    ..
                } => self.refused(request, retry_after),
                Action::Fail { request, .. } => {
                    let this = self.open.remove(&request.0).expect("one end");
                    self.goes_on(this, self.now);
                }
                _ => {}
            }
        }
    }

    /// A client tries twice more, in its patience; then its session goes on without this answer.
    fn refused(&mut self, request: RequestId, retry_after: Option<Micros>) {
        let this = self.open.remove(&request.0).expect("one end");
        let at = self.now + retry_after.unwrap_or(50 * MS);
        if this.count < 3 && at < this.first + PATIENCE {
            self.agenda.enter(
                at,
                Next::Arrives(Try {
                    count: this.count + 1,
                    ..this
                }),
            );
        } else {
            self.goes_on(this, self.now);
        }
    }

    fn goes_on(&mut self, this: Try, from: Micros) {
        if this.turn + 1 < self.sessions[this.session].turns.len() {
            let first = from + SECOND / 10 + (self.random.unit() * SECOND as f64 / 4.0) as Micros;
            self.agenda.enter(
                first,
                Next::Arrives(Try {
                    turn: this.turn + 1,
                    count: 1,
                    first,
                    ..this
                }),
            );
        }
    }

    /// When a worker is done with a read or begins a stream, and what it kept of the prompt; `None`: no room.
    fn takes(&mut self, this: Try, worker: &WorkerId, reads: bool) -> Option<(Micros, u64)> {
        let (now, session) = (self.now, &self.sessions[this.session]);
        let Turn { prompt, stream, .. } = session.turns[this.turn];
        let host = self.hosts.get_mut(worker).expect("a worker of the list");
        if reads {
            host.busy_until = host.busy_until.max(now);
            (host.busy_until < now + QUEUE).then(|| {
                let text = if host.texts.insert(session.text) {
                    0
                } else {
                    session.text_tokens
                };
                let kept = host
                    .sessions
                    .insert(this.session, prompt)
                    .unwrap_or(0)
                    .max(text)
                    .min(prompt);
                host.busy_until += READ + ((prompt - kept) as f64 * READ_TOKEN) as Micros;
                (host.busy_until, kept)
            })
        } else {
            host.streams.retain(|end| *end > now);
            (host.streams.len() < self.slots).then(|| {
                let begins = now + READ + (prompt as f64 * MOVE_TOKEN) as Micros;
                host.streams.push(begins + stream);
                (begins, 0)
            })
        }
    }

    fn send(
        &mut self,
        router: usize,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
    ) {
        let attempt = self.attempts.entry(request.0).or_default();
        let (index, reads, now) = (AttemptIndex(*attempt), worker.0.starts_with('r'), self.now);
        *attempt += 1;
        let this = *self
            .open
            .get(&request.0)
            .expect("sent while its client waits");
        let done = self.takes(this, &worker, reads);
        let host = &self.hosts[&worker];
        let waiting = host.busy_until.saturating_sub(now) as f64 / READ_TOKEN;
        let share = host.streams.len() as f64 / self.slots as f64;
        let told = LoadReport {
            memory_share: Some(share),
            queued_tokens: Some(waiting),
            ..LoadReport::default()
        };
        let report = self.reports.then_some(told);
        let end = |at, outcome, kept| {
            let (settled, elapsed) = (outcome == AttemptOutcome::Served, at - now);
            let report = report.filter(|_| outcome != AttemptOutcome::TimedOut);
            (
                at,
                Event::AttemptCompleted(AttemptCompleted {
                    request,
                    attempt: index,
                    outcome,
                    elapsed,
                    request_finished: settled,
                    cached_tokens: kept,
                    report,
                }),
            )
        };
        let limit = now + timeout.unwrap_or(TRY);
        let events = match done {
            None => vec![end(now + MS, AttemptOutcome::Rejected, 0)],
            Some((at, _)) if at > limit => vec![end(limit, AttemptOutcome::TimedOut, 0)],
            Some((at, kept)) if reads => vec![end(at, AttemptOutcome::Prefilled, kept)],
            Some((at, _)) => {
                let turn = &self.sessions[this.session].turns[this.turn];
                let started = Event::StreamStarted {
                    request,
                    attempt: index,
                    elapsed: at - now,
                };
                vec![
                    (at, started),
                    end(at + turn.stream, AttemptOutcome::Served, 0),
                ]
            }
        };
        for (at, event) in events {
            self.agenda.enter(at, Next::Event(router, event));
        }
    }

    /// Plays a day on which this part of the readers' capacity is asked for, and in a short burst half as much again.
    fn play(routers: u32, load: f64, reports: LoadReporting, flat: Micros, seed: u64) -> Day {
        let mut random = Random(seed);
        let extra = (SESSIONS as f64 * (BURST.end - BURST.start) / 2.0) as usize;
        let sessions: Vec<Session> = (0..SESSIONS + extra)
            .map(|_| Session::new(&mut random))
            .collect();
        let work: Micros = sessions[..SESSIONS].iter().map(Session::work).sum();
        let streams: Micros = sessions[..SESSIONS]
            .iter()
            .flat_map(|s| &s.turns)
            .map(|t| t.stream)
            .sum();
        let policy = |i| {
            Policy::new(
                settings(i, routers, reports, flat),
                u64::from(i) * 7_919 + 1,
            )
        };
        let entry = |(role, i): (&str, u64)| Endpoint {
            worker: WorkerId(Arc::from(format!("{role}{i}"))),
            zone: "z".into(),
            kind: role.into(),
            cell: i % 3,
            status: Status::Ready,
            weight: 1.0,
            started: None,
        };
        let workers = ["r", "w"]
            .into_iter()
            .flat_map(|role| (0..WORKERS).map(move |i| (role, i)));
        let entries: Vec<Endpoint> = workers.map(entry).collect();
        let mut day = Day {
            now: BEGIN,
            random,
            agenda: Agenda::new(),
            policies: (0..routers).map(policy).collect(),
            reports: reports == LoadReporting::Responses,
            hosts: entries
                .iter()
                .map(|e| (e.worker.clone(), Host::default()))
                .collect(),
            slots: (streams as f64 / work as f64 * WRITERS_SPARE).ceil() as usize,
            sessions,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
        };
        for router in 0..routers as usize {
            let entries = entries.clone();
            day.agenda.enter(
                BEGIN,
                Next::Event(
                    router,
                    Event::EndpointsUpdated {
                        update: EndpointUpdate::Full,
                        endpoints: entries,
                    },
                ),
            );
        }
        let length = work as f64 / (load * WORKERS as f64);
        for session in 0..SESSIONS + extra {
            let part = day.random.unit();
            let burst = BURST.start + part * (BURST.end - BURST.start);
            let part = if session < SESSIONS { part } else { burst };
            let first = BEGIN + 1 + (part * length) as Micros;
            day.agenda.enter(
                first,
                Next::Arrives(Try {
                    session,
                    turn: 0,
                    count: 1,
                    first,
                }),
            );
        }
        day.run();
        day
    }

    fn run(&mut self) {
        while let Some((at, what)) = self.agenda.next() {
            self.now = at;
            match what {
                Next::Arrives(this) => self.arrives(this),
                Next::Event(router, event) => {
                    if let Event::StreamStarted { request, .. } = event {
                        let this = self.open.remove(&request.0).expect("one end");
                        let turn = &mut self.sessions[this.session].turns[this.turn];
                        turn.answered = true;
                        let ends = at + turn.stream;
                        self.goes_on(this, ends);
                    }
                    self.event(router, event);
                }
            }
        }
        assert!(
            self.open.is_empty(),
            "requests without an end: {}",
            self.open.len()
        );
    }

    fn figures(&self, class: usize) -> Figures {
        let sessions: Vec<&Session> = self.sessions.iter().filter(|s| s.class == class).collect();
        let mut turns: Vec<&Turn> = sessions.iter().flat_map(|s| &s.turns).collect();
        turns.sort_by_key(|t| Reverse(t.prompt));
        let share = |turns: &[&Turn]| {
            turns.iter().filter(|t| t.answered).count() as f64 / turns.len() as f64
        };
        let (all, tenth) = (share(&turns), turns.len() / 10);
        let shut_out = sessions
            .iter()
            .filter(|s| s.turns.iter().all(|t| !t.answered))
            .count() as f64;
        let chance: f64 = sessions
            .iter()
            .map(|s| (1.0 - all).powi(s.turns.len() as i32))
            .sum();
        Figures {
            all,
            longest: share(&turns[..tenth]),
            next: share(&turns[tenth..3 * tenth]),
            shut_out: (shut_out - chance) / sessions.len() as f64,
            spread: turns[tenth].prompt as f64 / turns[turns.len() / 2].prompt as f64,
        }
    }
}

/// Guards against refusals that follow from a prompt's length or from the hash of a session, which hit the same clients
/// again and again: of the longest prompts at least two thirds of their class's share are answered on a quiet day and
/// half on others, and on a quiet day no more than 0.12 of a class's sessions beyond chance have no answer at all.
#[rstest]
#[case(4, 0.5, LoadReporting::None)]
#[case(4, 0.5, LoadReporting::Responses)]
#[case(100, 0.5, LoadReporting::None)]
#[case(100, 0.5, LoadReporting::Responses)]
#[case(4, 1.2, LoadReporting::None)]
#[case(100, 1.2, LoadReporting::None)]
#[case(100, 1.2, LoadReporting::Responses)]
fn rejections_are_spread_evenly(
    #[case] routers: u32,
    #[case] load: f64,
    #[case] reports: LoadReporting,
) {
    check(
        &Day::play(routers, load, reports, 2 * SECOND, 1),
        load < 1.0,
    );
}

/// Guards against long prompts that only an idle reader would take: their own reads are most of a flat aim, or more.
#[rstest]
#[case(4, 2)]
#[case(4, 4)]
#[case(100, 4)]
fn tight_objective_does_not_starve_long_prompts(#[case] routers: u32, #[case] seed: u64) {
    check(
        &Day::play(routers, 0.5, LoadReporting::Responses, SECOND, seed),
        true,
    );
}

fn check(day: &Day, quiet: bool) {
    for (class, name) in CLASSES.into_iter().enumerate() {
        let f = day.figures(class);
        println!(
            "{} routers, quiet: {quiet}, {name}: {f:.2?}",
            day.policies.len()
        );
        assert!(
            (4.0..8.0).contains(&f.spread),
            "not the intended prompts: {f:.2?}"
        );
        let least = f.all * if quiet { 2.0 / 3.0 } else { 0.5 };
        assert!(f.longest >= least && f.next >= least, "{name}: {f:.2?}");
        assert!(!quiet || f.shut_out <= 0.12, "{name}: {f:.2?}");
        assert!(!quiet || f.all > 0.5, "hardly anybody is answered: {f:.2?}");
    }
}
