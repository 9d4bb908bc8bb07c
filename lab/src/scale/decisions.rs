//! What one decision and one change of the list cost the deciding module, against the number of hosts.

use super::process::resident_bytes;
use hdrhistogram::Histogram;
use std::io;
use std::time::{Duration, Instant};
use whinhaven::Policy;
use whinhaven::routing::types::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const BEGIN: Micros = 100 * SECOND;
/// Time between two requests of one conductor: 46,000 a second over 1,400.
const BETWEEN: Micros = SECOND / 33;
/// One in so many hosts is in slow start where that is asked for.
const ONE_IN_SLOW_START: usize = 20;
const SLOW_START: Micros = 600 * SECOND;
const HOSTS_A_ZONE: usize = 24;
/// What the requests at one number of hosts may take together; then there are fewer of them.
const MOST_TIME: Duration = Duration::from_secs(5);
const LONGEST_NS: u64 = 60_000_000_000;

/// What was measured at one number of hosts.
#[derive(Clone, Debug)]
pub struct DecisionFigures {
    /// Hosts of the list.
    pub hosts: usize,
    /// Tenants of the settings.
    pub tenants: usize,
    /// How many hosts were in slow start.
    pub in_slow_start: usize,
    /// Taking the first list in, in microseconds.
    pub list_us: f64,
    /// Taking one changed entry in, in microseconds: the median.
    pub change_us: f64,
    /// Requests that were played.
    pub requests: u64,
    /// All events of one request, from asking to its end, in microseconds: the median.
    pub request_us: f64,
    /// The same, the 99th in 100.
    pub request_p99_us: f64,
    /// Memory of the module, in bytes.
    pub memory: f64,
}

/// Measures a module with so many hosts over so many requests.
///
/// # Errors
/// This process can't be looked at.
pub fn measure_decisions(
    hosts: usize,
    tenants: usize,
    with_slow_start: bool,
    requests: u64,
) -> io::Result<DecisionFigures> {
    let memory = resident_bytes()?;
    let mut module = Module::new(tenants);
    let entries: Vec<Endpoint> = (0..hosts)
        .map(|host| entry(host, with_slow_start))
        .collect();
    let in_slow_start = entries
        .iter()
        .filter(|entry| entry.started.is_some())
        .count();
    let list_us = module.time(Event::EndpointsUpdated {
        update: EndpointUpdate::Full,
        endpoints: entries,
    }) as f64
        / 1e3;
    let mut changes = new_histogram();
    let begun = Instant::now();
    for change in (0..200).take_while(|_| begun.elapsed() < MOST_TIME) {
        let mut changed = entry(change * 13 % hosts, with_slow_start);
        changed.status = if change % 2 == 0 {
            Status::Draining
        } else {
            Status::Ready
        };
        let event = Event::EndpointsUpdated {
            update: EndpointUpdate::Incremental,
            endpoints: vec![changed],
        };
        changes.saturating_record(module.time(event));
        module.now += MS;
    }
    let mut times = new_histogram();
    let begun = Instant::now();
    let in_time = |request: &u64| *request == 0 || begun.elapsed() < MOST_TIME;
    for request in (0..requests).take_while(in_time) {
        times.saturating_record(module.request(request, tenants));
        module.now += BETWEEN;
    }
    let micros = |histogram: &Histogram<u64>, part| histogram.value_at_quantile(part) as f64 / 1e3;
    Ok(DecisionFigures {
        hosts,
        tenants,
        in_slow_start,
        list_us,
        change_us: micros(&changes, 0.5),
        requests: times.len(),
        request_us: micros(&times, 0.5),
        request_p99_us: micros(&times, 0.99),
        memory: resident_bytes()?.saturating_sub(memory) as f64,
    })
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_NS, 3).expect("bounds that fit")
}

/// A host of the list: one in three reads, by the operators' figures.
fn entry(host: usize, with_slow_start: bool) -> Endpoint {
    let kind = if host.is_multiple_of(3) {
        "reader"
    } else {
        "writer"
    };
    let is_new = with_slow_start && host.is_multiple_of(ONE_IN_SLOW_START);
    Endpoint {
        worker: WorkerId(
            format!("10.{}.{}.{}:8000", host >> 16, host >> 8 & 255, host & 255).into(),
        ),
        zone: format!("zone{:02}", host / HOSTS_A_ZONE % 24),
        kind: kind.to_owned(),
        cell: (host / HOSTS_A_ZONE) as u64,
        status: Status::Ready,
        weight: 1.0,
        started: is_new.then_some(BEGIN),
    }
}

/// A module with its clock; stand-in hosts answer at once and in time.
struct Module {
    policy: Policy,
    now: Micros,
}

impl Module {
    fn new(tenants: usize) -> Module {
        let mut policy = Policy::new(settings(tenants), 7);
        policy.handle(
            BEGIN - 10 * SECOND,
            Event::SlowStart { allowed: true },
            &mut Vec::new(),
        );
        Module { policy, now: BEGIN }
    }

    /// Hands an event in; the nanoseconds that it took.
    fn time(&mut self, event: Event) -> u64 {
        self.handle(event).0
    }

    fn handle(&mut self, event: Event) -> (u64, Vec<Action>) {
        let mut out = Vec::new();
        let begun = Instant::now();
        self.policy.handle(self.now, event, &mut out);
        (begun.elapsed().as_nanos() as u64, out)
    }

    /// Plays one request to its end; the nanoseconds that its events took together.
    fn request(&mut self, number: u64, tenants: usize) -> u64 {
        let text = number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        let request = RequestId(number);
        let ask = RequestSpec {
            request,
            deadline: self.now + 10 * SECOND,
            session: Some(format!("session{}", text % 5_000).into()),
            prefix: Some(format!("prefix{}", text % 200).into()),
            prefix_tokens: 4_000,
            prompt_tokens: 5_000,
            max_tokens: 300,
            duration_hint: None,
            class: "chat".into(),
            tenant: Some(format!("tenant{}", text as usize % tenants.max(1))),
        };
        let (mut spent, mut actions) = self.handle(Event::RequestArrived(ask));
        let mut attempt = 0;
        while let Some(writes) = self.next_send(&actions) {
            self.now += 20 * MS;
            if writes {
                let started = Event::StreamStarted {
                    request,
                    attempt: AttemptIndex(attempt),
                    elapsed: 20 * MS,
                };
                spent += self.time(started);
            }
            let outcome = if writes {
                AttemptOutcome::Served
            } else {
                AttemptOutcome::Prefilled
            };
            let (time, next) = self.handle(ended(request, attempt, outcome));
            spent += time;
            actions = next;
            attempt += 1;
        }
        spent
    }

    /// Whether the actions send to a writer; none if they send nothing.
    fn next_send(&self, actions: &[Action]) -> Option<bool> {
        let worker = actions.iter().find_map(|action| match action {
            Action::Send { worker, .. } => Some(worker),
            _ => None,
        })?;
        let number = worker
            .0
            .trim_end_matches(":8000")
            .rsplit('.')
            .take(3)
            .enumerate();
        let host: usize = number
            .map(|(i, part)| part.parse::<usize>().unwrap_or(0) << (8 * i))
            .sum();
        Some(!host.is_multiple_of(3))
    }
}

fn ended(request: RequestId, attempt: u32, outcome: AttemptOutcome) -> Event {
    let settled = outcome == AttemptOutcome::Served;
    let attempt = AttemptIndex(attempt);
    let (elapsed, kept, report) = (20 * MS, 4_000, None);
    Event::AttemptCompleted(AttemptCompleted {
        request,
        attempt,
        outcome,
        elapsed,
        request_finished: settled,
        cached_tokens: kept,
        report,
    })
}

fn settings(tenants: usize) -> RoutingConfig {
    let kind = |name: &str, role| WorkerKind {
        name: name.to_owned(),
        role,
        memory_tokens: Some(3_800_000),
    };
    let class = RequestClass {
        name: "chat".to_owned(),
        idempotency: Idempotency::Idempotent,
        ttft_objective: 440 * MS,
        ttft_objective_per_1000_tokens: 20 * MS,
        inter_token_objective: 65 * MS,
        client_timeout: 10 * SECOND,
        priority_weight: 1.0,
        late_value_share: 0.3,
        ..RequestClass::default()
    };
    let tenant = |number| Tenant {
        name: format!("tenant{number}"),
        quota_per_s: 35.0,
    };
    RoutingConfig {
        index: Some(7),
        routers: 1_400,
        zone: "zone00".to_owned(),
        kinds: vec![kind("reader", Role::Prefill), kind("writer", Role::Decode)],
        classes: vec![class],
        tenants: (0..tenants).map(tenant).collect(),
        max_attempts: 4,
        advises_retry_after: true,
        max_retry_after: 500 * MS,
        kv_state_hold_limit: 500 * MS,
        batch_interval: 2 * MS,
        connect_timeout: 250 * MS,
        slow_start_duration: SLOW_START,
        slow_start_initial_capacity: 0.3,
        overload_window: 3 * SECOND,
        overload_factor: 2.0,
        ..RoutingConfig::default()
    }
}
