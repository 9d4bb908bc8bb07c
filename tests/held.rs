//! What is held for requests, over random ends of their attempts: the module and its driver on a clock of their own,
//! between a client side that plays hosts and connections. No host, no socket, no bench.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout};
use whinhaven::dispatch::{
    Attempt, Clock, Dispatcher, DispatcherEvent, DispatcherHandle, Outbound, ReleaseProgress,
};
use whinhaven::exchange::{Answer, Frame, UpstreamRequest, stream_channel};
use whinhaven::routing::types::*;
use whinhaven::shutdown::{Shutdown, StopRequest};

const MS: Micros = 1_000;
const RELEASE: Micros = 500 * MS;
/// What the platform allows beyond the settings.
const SLACK: Micros = 300 * MS;

/// What hosts may hold for one request.
#[derive(Default)]
struct Held {
    /// A read has ended there, or may have.
    some: bool,
    /// Attempts that have reached a host and not ended.
    out: u32,
    /// The last end of one of those.
    since: Micros,
}

struct World {
    dispatcher: DispatcherHandle,
    held: RefCell<BTreeMap<String, Held>>,
    random: Cell<u64>,
    /// How many of ten connections don't come up.
    silent: u64,
    /// How many of ten sends are lost on a connection that stays open and says nothing.
    lost: u64,
    broken: RefCell<Vec<String>>,
    releases: Cell<u32>,
    served: Cell<u32>,
}

impl World {
    fn draw(&self, of: u64) -> u64 {
        let mut x = self.random.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.set(x);
        x % of
    }

    /// What is held for a request, after a look whether that has been for too long.
    fn look(&self, id: &str, change: impl FnOnce(&mut Held)) {
        let (mut all, now) = (self.held.borrow_mut(), self.dispatcher.clock.now());
        let held = all.entry(id.to_owned()).or_default();
        if held.some && held.out == 0 && now > held.since + RELEASE + SLACK {
            self.broken
                .borrow_mut()
                .push(format!("{id}: held for {} ms", (now - held.since) / MS));
            held.some = false;
        }
        change(held);
    }

    async fn attempt(&self, attempt: &mut Attempt) -> AttemptOutcome {
        let clock = self.dispatcher.clock;
        if let Some(releasing) = &attempt.wait_for_release {
            let _ = timeout(Duration::from_millis(250), releasing.ended()).await;
        }
        let by = attempt
            .permit
            .connect_by()
            .map_or(250 * MS, |by| by.saturating_sub(clock.now()).min(250 * MS));
        if self.draw(10) < self.silent {
            sleep(Duration::from_micros(by)).await;
            return AttemptOutcome::ConnectFailed;
        }
        sleep(Duration::from_micros((1 + self.draw(20)) * MS)).await;
        if self.draw(20) == 0 {
            return AttemptOutcome::NotSent;
        }
        let id = attempt.upstream_request.id.clone();
        if self.draw(10) < self.lost {
            // It has been written and never arrives: to the hosts it is not out.
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => return AttemptOutcome::Cancelled,
                () = sleep_until(clock.instant(attempt.first_event_deadline)) => return AttemptOutcome::TimedOut,
            }
        }
        self.look(&id, |held| held.out += 1);
        let reads = attempt.worker.0.starts_with('r');
        let until = sleep_until(clock.instant(attempt.first_event_deadline));
        let work = sleep(Duration::from_millis(20 + self.draw(200)));
        let outcome = match self.draw(8) {
            0 => AttemptOutcome::TimedOut,
            1 => AttemptOutcome::ConnectionLost,
            2 => AttemptOutcome::Error,
            3 => AttemptOutcome::Rejected,
            4 if !reads => AttemptOutcome::KvStateMissing,
            _ if reads => AttemptOutcome::Prefilled,
            _ => AttemptOutcome::Served,
        };
        let outcome = tokio::select! {
            biased;
            _ = &mut attempt.cancelled => AttemptOutcome::Cancelled,
            () = until => AttemptOutcome::TimedOut,
            () = work, if outcome != AttemptOutcome::TimedOut => outcome,
        };
        if outcome == AttemptOutcome::Served {
            let (source, feed) = stream_channel(None);
            self.look(&id, |held| held.some = false);
            self.dispatcher.send(DispatcherEvent::StreamStarted {
                request: attempt.request,
                attempt: attempt.attempt,
                stream: feed,
            });
            let _ = source.frames.send(Frame::End).await;
        }
        let now = clock.now();
        self.look(&id, |held| {
            (held.out, held.since) = (held.out - 1, now);
            // A read may have ended well however its connection did.
            held.some |= reads && !matches!(outcome, AttemptOutcome::Rejected);
        });
        outcome
    }
}

#[derive(Clone)]
struct Hosts(Rc<World>);

impl Outbound for Hosts {
    fn send(&self, mut attempt: Attempt) {
        let world = self.0.clone();
        tokio::task::spawn_local(async move {
            let outcome = world.attempt(&mut attempt).await;
            let (request, attempt) = (attempt.request, attempt.attempt);
            world.dispatcher.send(DispatcherEvent::AttemptCompleted {
                request,
                attempt,
                outcome,
                cached_tokens: 0,
                load_report: None,
            });
        });
    }

    fn release(&self, call: Rc<UpstreamRequest>, _: ReleasePermit, releasing: Rc<ReleaseProgress>) {
        let world = self.0.clone();
        tokio::task::spawn_local(async move {
            // The hosts asked first may be silent.
            let taken = sleep(Duration::from_millis(5 + world.draw(180)));
            tokio::select! {
                biased;
                () = releasing.ended() => return,
                () = taken => {}
            }
            // What an attempt that is out waits for, or will leave, is not let go.
            world.look(&call.id, |held| held.some &= held.out > 0);
            world.releases.set(world.releases.get() + 1);
            releasing.set_done();
        });
    }

    fn subscribe(&self) {}
}

fn settings() -> RoutingConfig {
    let kind = |name: &str, role| WorkerKind {
        name: name.into(),
        role,
        memory_tokens: Some(150_000),
    };
    let class = |name: &str, effect| RequestClass {
        name: name.into(),
        idempotency: effect,
        ttft_objective: 1_500 * MS,
        inter_token_objective: 60 * MS,
        client_timeout: 8_000 * MS,
        priority_weight: 1.0,
        ..RequestClass::default()
    };
    RoutingConfig {
        routers: 20,
        zone: "a".into(),
        kinds: vec![kind("r", Role::Prefill), kind("w", Role::Decode)],
        classes: vec![
            class("explain", Idempotency::Idempotent),
            class("send", Idempotency::NonIdempotent),
        ],
        max_attempts: 6,
        cancellation_allowed: true,
        connect_timeout: 250 * MS,
        batch_interval: 2 * MS,
        kv_state_hold_limit: RELEASE,
        response_grace: 50 * MS,
        drain_grace: 1_000 * MS,
        slow_start_initial_capacity: 0.3,
        slow_start_duration: 10_000 * MS,
        overload_factor: 2.5,
        overload_window: 1_000 * MS,
        ..RoutingConfig::default()
    }
}

/// Guards against whatever may be held staying so beyond its time, by whichever ways a request's attempts end and
/// while whichever part of the hosts can't be reached.
#[tokio::test(start_paused = true)]
async fn kv_state_is_fetched_or_released_within_the_hold_limit() {
    random_ends([0, 0, 0]).await;
}

/// The same where sends are written to connections that look alive, and never arrive.
#[tokio::test(start_paused = true)]
async fn kv_state_is_released_in_time_when_sends_never_arrive() {
    random_ends([1, 2, 4]).await;
}

/// Plays requests over random ends of their attempts; so many of ten sends never arrive, a number for each third of the seeds.
async fn random_ends(lost: [u64; 3]) {
    let mut totals = [0; 2];
    for seed in 1..=90u64 {
        let local = tokio::task::LocalSet::new();
        let clock = Clock::start();
        let (dispatcher, queue) = DispatcherHandle::channel(clock);
        let shutdown = Shutdown::new(StopRequest::default(), clock);
        let world = Rc::new(World {
            dispatcher: dispatcher.clone(),
            held: RefCell::default(),
            random: Cell::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            silent: [2, 5, 8][seed as usize % 3],
            lost: lost[seed as usize / 3 % 3],
            broken: RefCell::default(),
            releases: Cell::new(0),
            served: Cell::new(0),
        });
        let driver = Dispatcher::new(
            settings(),
            seed,
            clock,
            Rc::new(Hosts(world.clone())),
            Rc::default(),
        );
        let run = async {
            tokio::task::spawn_local(driver.run(queue));
            let entries = (0..6).map(|i| Endpoint {
                worker: WorkerId(Arc::from(format!("{}{i}", if i < 3 { "r" } else { "w" }))),
                zone: ["a", "b", "c"][i % 3].into(),
                kind: if i < 3 { "r".into() } else { "w".into() },
                cell: i as u64 % 3,
                status: Status::Ready,
                weight: 1.0,
                started: None,
            });
            dispatcher.send(DispatcherEvent::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: entries.collect(),
            });
            for i in 0..40 {
                let ask = RequestSpec {
                    request: RequestId(0),
                    deadline: clock.now() + (1_000 + world.draw(6_000)) * MS,
                    session: None,
                    prefix: None,
                    prefix_tokens: 0,
                    prompt_tokens: 2_000,
                    max_tokens: 300,
                    duration_hint: None,
                    class: if world.draw(2) == 0 {
                        "explain".into()
                    } else {
                        "send".into()
                    },
                    tenant: None,
                };
                let (id, target, body) = (format!("{seed}-{i}"), String::new(), Bytes::new());
                let server = dispatcher.submit(
                    ask,
                    UpstreamRequest {
                        id,
                        target,
                        headers: hyper::HeaderMap::new(),
                        body: body.into(),
                        lifetime_guards: None,
                        run_record: None,
                        claim_key: None,
                    },
                    shutdown.permit_admission().unwrap(),
                );
                // Some clients leave early.
                let patience = if world.draw(8) == 0 {
                    100 + world.draw(900)
                } else {
                    20_000
                };
                let served = world.clone();
                tokio::task::spawn_local(async move {
                    let answered = timeout(Duration::from_millis(patience), server.answer()).await;
                    if let Ok((Answer::Stream(mut feed), _presence)) = answered {
                        while feed.next().await.is_some() {}
                        served.served.set(served.served.get() + 1);
                    }
                });
                sleep(Duration::from_millis(world.draw(400))).await;
            }
            sleep(Duration::from_secs(30)).await;
        };
        local.run_until(run).await;
        let ids: Vec<String> = world.held.borrow().keys().cloned().collect();
        ids.iter().for_each(|id| world.look(id, |_| {}));
        assert!(
            world.broken.borrow().is_empty(),
            "seed {seed}: {:?}",
            world.broken.borrow()
        );
        totals = [
            totals[0] + world.releases.get(),
            totals[1] + world.served.get(),
        ];
    }
    assert!(
        totals.iter().all(|n| *n > 200),
        "too little happened: {totals:?}"
    );
}
