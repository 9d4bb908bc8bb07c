//! One customer's settings for another: a class is what its settings say, not its name nor its place among the
//! others, and what was seen of one class is not held against another when the settings change.

use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use whinhaven::Policy;
use whinhaven::routing::types::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const READERS: [&str; 4] = ["r1", "r2", "r3", "r4"];
const WRITERS: [&str; 4] = ["w1", "w2", "w3", "w4"];

/// How a customer calls the three classes, and in which order its settings list them.
#[derive(Clone, Copy)]
struct Customer {
    names: [&'static str; 3],
    order: [usize; 3],
}

const NOTES: Customer = Customer {
    names: ["draft", "publish", "fill"],
    order: [0, 1, 2],
};
const FORMS: Customer = Customer {
    names: ["ask", "sign", "save"],
    order: [2, 0, 1],
};

impl Customer {
    /// The same customer with its classes in the next order of their six.
    fn reordered(self, step: u64) -> Self {
        let [a, b, c] = self.order;
        Customer {
            order: if step.is_multiple_of(2) {
                [b, a, c]
            } else {
                [a, c, b]
            },
            ..self
        }
    }

    /// The name under which a request of a class comes; a fourth class is named in no settings.
    fn name(&self, class: usize) -> String {
        self.names
            .get(class)
            .copied()
            .unwrap_or("unheard-of")
            .to_owned()
    }

    fn settings(&self) -> RoutingConfig {
        let kind = |name: &str, role| WorkerKind {
            name: name.into(),
            role,
            memory_tokens: Some(150_000),
        };
        let class = |i: usize| {
            let (effect, aim, worth) = [
                (Idempotency::Idempotent, SECOND, 1.0),
                (Idempotency::NonIdempotent, 2 * SECOND, 3.0),
                (
                    Idempotency::WithKey(DeduplicationScope::Cell),
                    1_500 * MS,
                    2.0,
                ),
            ][i];
            RequestClass {
                name: self.name(i),
                idempotency: effect,
                deduplication_window: 5 * SECOND,
                ttft_objective: aim,
                ttft_objective_per_1000_tokens: 40 * MS,
                inter_token_objective: 60 * MS,
                client_timeout: 4 * aim,
                priority_weight: worth,
                late_value_share: 0.2,
            }
        };
        RoutingConfig {
            routers: 2,
            zone: "z".into(),
            kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode)],
            classes: self.order.map(class).to_vec(),
            tenants: vec![Tenant {
                name: "small".into(),
                quota_per_s: 4.0,
            }],
            over_quota_weight: 0.1,
            max_attempts: 5,
            cancellation_allowed: true,
            advises_retry_after: true,
            max_retry_after: 500 * MS,
            connect_timeout: 250 * MS,
            batch_interval: 2 * MS,
            kv_state_hold_limit: 500 * MS,
            response_grace: 16 * MS,
            drain_grace: 500 * MS,
            slow_start_initial_capacity: 0.33,
            slow_start_duration: 10 * SECOND,
            overload_factor: 2.5,
            overload_window: SECOND,
            ..RoutingConfig::default()
        }
    }
}

fn entry(name: &str, status: Status) -> Endpoint {
    let cell = u64::from(name.as_bytes()[1]) % 2;
    let worker = WorkerId(Arc::from(name));
    Endpoint {
        worker,
        zone: "z".into(),
        kind: name[..1].to_owned(),
        cell,
        status,
        weight: 1.0,
        started: None,
    }
}

fn list() -> Event {
    let entries = READERS
        .iter()
        .chain(&WRITERS)
        .map(|w| entry(w, Status::Ready))
        .collect();
    Event::EndpointsUpdated {
        update: EndpointUpdate::Restored,
        endpoints: entries,
    }
}

/// A request of some class; its client's name for that class is still to be filled in.
fn ask(id: u64, now: Micros, patience: Micros) -> RequestSpec {
    RequestSpec {
        request: RequestId(id),
        deadline: now + patience,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 2_000,
        max_tokens: 300,
        duration_hint: None,
        class: String::new(),
        tenant: None,
    }
}

fn ended(id: u64, attempt: u32, outcome: AttemptOutcome, elapsed: Micros) -> Event {
    let (request, attempt) = (RequestId(id), AttemptIndex(attempt));
    let settled = outcome == AttemptOutcome::Served;
    Event::AttemptCompleted(AttemptCompleted {
        request,
        attempt,
        outcome,
        elapsed,
        request_finished: settled,
        cached_tokens: 0,
        report: None,
    })
}

/// An attempt that is out.
struct Out {
    id: u64,
    attempt: u32,
    worker: String,
    sent: Micros,
    begun: bool,
    dropped: bool,
}

/// One fleet and one flow of requests, met by the modules of two customers. The hosts' answers depend on the class,
/// so that there is something to learn of each.
struct Pair {
    customers: [Customer; 2],
    modules: [Policy; 2],
    random: u64,
    now: Micros,
    timers: BTreeSet<(Micros, u64)>,
    out: Vec<Out>,
    /// The class of each request, and how often it was sent.
    asked: BTreeMap<u64, (usize, u32)>,
    /// Attempts turned away and not answered, of each class; a class without settings is hardly ever sent.
    seen: [[u32; 2]; 4],
}

impl Pair {
    fn new(customers: [Customer; 2], seed: u64) -> Self {
        let modules = customers.map(|c| Policy::new(c.settings(), 7));
        let (timers, out, asked) = (BTreeSet::new(), Vec::new(), BTreeMap::new());
        let (random, now) = (seed * 0x9E37_79B9 + 1, 100 * SECOND);
        let mut pair = Pair {
            customers,
            modules,
            random,
            now,
            timers,
            out,
            asked,
            seen: [[0; 2]; 4],
        };
        pair.both(&list());
        pair
    }

    fn draw(&mut self, of: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % of
    }

    /// Tells both the same, and holds that both do the same.
    fn both(&mut self, event: &Event) {
        let (asked, now) = (&self.asked, self.now);
        let mut acts = [Vec::new(), Vec::new()];
        for ((module, customer), acts) in
            self.modules.iter_mut().zip(&self.customers).zip(&mut acts)
        {
            let event = match event {
                Event::RequestArrived(ask) => Event::RequestArrived(RequestSpec {
                    class: customer.name(asked[&ask.request.0].0),
                    ..ask.clone()
                }),
                other => other.clone(),
            };
            module.handle(now, event, acts);
        }
        let [one, other] = acts;
        assert_eq!(one, other, "at {now} after {event:?}");
        for action in one {
            match action {
                Action::Send {
                    request: RequestId(id),
                    worker,
                    ..
                } => {
                    let sends = &mut self.asked.get_mut(&id).expect("it was asked").1;
                    let (attempt, worker) = (*sends, worker.0.to_string());
                    *sends += 1;
                    self.out.push(Out {
                        id,
                        attempt,
                        worker,
                        sent: now,
                        begun: false,
                        dropped: false,
                    });
                }
                Action::Cancel {
                    request: RequestId(id),
                    attempt,
                } => {
                    let dropped = self
                        .out
                        .iter_mut()
                        .filter(|o| o.id == id && o.attempt == attempt.0);
                    dropped.for_each(|o| o.dropped = true);
                }
                Action::Timer { at, timer } => {
                    self.timers.insert((at, timer.0));
                }
                _ => {}
            }
        }
    }

    /// Lets some time pass, with the timers that come due.
    fn pass(&mut self, time: Micros) {
        let until = self.now + time;
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= until) {
            self.timers.remove(&(at, timer));
            self.now = self.now.max(at);
            self.both(&Event::Timer(TimerId(timer)));
        }
        self.now = until;
    }

    fn ask(&mut self) {
        let (id, class) = (
            self.asked.len() as u64,
            [0, 0, 1, 1, 2, 2, 3][self.draw(7) as usize],
        );
        self.asked.insert(id, (class, 0));
        let patience = (1 + self.draw(6)) * SECOND;
        let prefix = Some(self.draw(6))
            .filter(|p| *p < 4)
            .map(|p| Arc::from(format!("text-{p}")));
        let session = Some(self.draw(40))
            .filter(|s| *s < 30)
            .map(|s| Arc::from(format!("session-{s}")));
        let tenant = Some(self.draw(3))
            .filter(|t| *t == 0)
            .map(|_| "small".to_owned());
        let prefix_tokens = if prefix.is_some() { 1_500 } else { 0 };
        let ask = RequestSpec {
            session,
            prefix,
            prefix_tokens,
            tenant,
            ..ask(id, self.now, patience)
        };
        self.both(&Event::RequestArrived(ask));
    }

    /// Something comes of an attempt that is out.
    fn hear(&mut self) {
        if self.out.is_empty() {
            return;
        }
        let which = self.draw(self.out.len() as u64) as usize;
        let mut out = self.out.swap_remove(which);
        let (id, attempt, elapsed) = (out.id, out.attempt, self.now - out.sent);
        let class = self.asked[&id].0;
        let at = out.worker.as_bytes()[1] as usize % 4;
        let reads = out.worker.starts_with('r');
        let outcome = match self.draw(10) {
            _ if out.dropped => AttemptOutcome::Cancelled,
            0 if out.begun => AttemptOutcome::ConnectionLost,
            _ if out.begun => AttemptOutcome::Served,
            0 => [
                AttemptOutcome::Error,
                AttemptOutcome::ConnectFailed,
                AttemptOutcome::NotSent,
                AttemptOutcome::Rejected,
            ][self.draw(4) as usize],
            // One host of each stage has no room for a class, and the answers of another are lost.
            1..7 if at == class => AttemptOutcome::Rejected,
            1..7 if at == (class + 1) % 4 => AttemptOutcome::TimedOut,
            _ if reads => AttemptOutcome::Prefilled,
            _ => {
                out.begun = true;
                self.out.push(out);
                let (request, attempt) = (RequestId(id), AttemptIndex(attempt));
                return self.both(&Event::StreamStarted {
                    request,
                    attempt,
                    elapsed,
                });
            }
        };
        self.seen[class][0] += u32::from(outcome == AttemptOutcome::Rejected);
        self.seen[class][1] += u32::from(outcome == AttemptOutcome::TimedOut);
        self.both(&ended(id, attempt, outcome, elapsed));
    }

    fn host_changes(&mut self) {
        let host = READERS
            .iter()
            .chain(&WRITERS)
            .nth(self.draw(8) as usize)
            .expect("eight hosts");
        let status = if self.draw(3) == 0 {
            Status::Draining
        } else {
            Status::Ready
        };
        self.both(&Event::EndpointsUpdated {
            update: EndpointUpdate::Incremental,
            endpoints: vec![entry(host, status)],
        });
    }

    fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            let time = self.draw(25) * MS;
            self.pass(time);
            match self.draw(40) {
                0 => self.host_changes(),
                1 if !self.asked.is_empty() => {
                    let request = RequestId(self.draw(self.asked.len() as u64));
                    self.both(&Event::ClientDisconnected { request });
                }
                2..10 => self.ask(),
                _ => self.hear(),
            }
        }
    }

    fn assert_much_was_seen(&self) {
        assert!(self.asked.len() > 400, "{} requests", self.asked.len());
        assert!(
            self.seen[..3].iter().flatten().all(|n| *n > 10),
            "{:?}",
            self.seen
        );
    }
}

/// The same fleet and the same flow under other names in another order: the same decisions, event by event.
#[rstest]
fn class_names_and_order_do_not_affect_decisions(#[values(1, 2, 3)] seed: u64) {
    let mut pair = Pair::new([NOTES, FORMS], seed);
    pair.run(2_500);
    pair.assert_much_was_seen();
}

/// The one customer's settings change all the time, in nothing but the order of their classes; the other's are
/// taken in anew as they are. What either has seen of a class must not turn up under another.
#[rstest]
fn reordering_classes_in_use_does_not_affect_decisions(#[values(1, 2, 3)] seed: u64) {
    let mut pair = Pair::new([NOTES, FORMS], seed);
    for step in 0..60 {
        pair.run(40);
        pair.customers[0] = pair.customers[0].reordered(step);
        for (module, customer) in pair.modules.iter_mut().zip(&pair.customers) {
            module.update_config(customer.settings());
        }
    }
    pair.assert_much_was_seen();
}

/// The reader of a shared text has no room for one class, or its answers to it are lost. New settings put another
/// class in that one's place: it is read there as before.
#[rstest]
#[case::no_room(AttemptOutcome::Rejected)]
#[case::answers_lost(AttemptOutcome::TimedOut)]
fn statistics_of_a_class_are_not_applied_to_its_replacement(#[case] outcome: AttemptOutcome) {
    let mut policy = Policy::new(NOTES.settings(), 7);
    let mut now = 100 * SECOND;
    let mut tell = |policy: &mut Policy, time: Micros, event: &dyn Fn(Micros) -> Event| {
        now += time;
        let mut out = Vec::new();
        policy.handle(now, event(now), &mut out);
        let to = out.into_iter().find_map(|a| {
            if let Action::Send { worker, .. } = a {
                Some(worker)
            } else {
                None
            }
        });
        to.map(|w| w.0.to_string())
    };
    let of = |id: u64, class: usize| {
        move |now: Micros| {
            let prefix = Some(Arc::from("text"));
            let class = NOTES.name(class);
            Event::RequestArrived(RequestSpec {
                prefix,
                prefix_tokens: 1_900,
                class,
                ..ask(id, now, 4 * SECOND)
            })
        }
    };
    tell(&mut policy, 0, &|_| list());
    let home = tell(&mut policy, 0, &of(1, 0));
    assert!(home.is_some());
    assert_eq!(tell(&mut policy, MS, &of(2, 0)), home);
    assert_eq!(tell(&mut policy, MS, &of(3, 1)), home);
    tell(&mut policy, 0, &|_| {
        ended(3, 0, AttemptOutcome::Prefilled, 50 * MS)
    });
    for id in [1, 2] {
        tell(&mut policy, 300 * MS, &|_| ended(id, 0, outcome, 600 * MS));
    }
    assert_ne!(
        tell(&mut policy, 0, &of(4, 0)),
        home,
        "it is known of its own class"
    );
    policy.update_config(
        Customer {
            order: [1, 0, 2],
            ..NOTES
        }
        .settings(),
    );
    assert_eq!(tell(&mut policy, 0, &of(5, 1)), home);
}
