//! Tests of the routing policy alone: each test feeds events to a [`Policy`] and checks the resulting actions.

use rstest::rstest;
use std::sync::Arc;
use whinhaven::Policy;
use whinhaven::routing::types::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn class(name: &str, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        name: name.into(),
        idempotency,
        deduplication_window: 5 * SECOND,
        ttft_objective: SECOND,
        inter_token_objective: 60 * MS,
        client_timeout: 8 * SECOND,
        priority_weight: 1.0,
        ..RequestClass::default()
    }
}

fn base_config() -> RoutingConfig {
    let kind = |name: &str, role| WorkerKind {
        name: name.into(),
        role,
        memory_tokens: Some(150_000),
    };
    RoutingConfig {
        routers: 2,
        zone: "z".into(),
        kinds: vec![
            kind("r", Role::Prefill),
            kind("w", Role::Decode),
            kind("m", Role::Mixed),
        ],
        classes: vec![
            class("safe", Idempotency::Idempotent),
            class("once", Idempotency::NonIdempotent),
            class("cell", Idempotency::WithKey(DeduplicationScope::Cell)),
        ],
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

/// A policy under test with its clock, all actions so far and the timers that are set.
struct Rig {
    policy: Policy,
    now: Micros,
    actions: Vec<Action>,
    timers: Vec<Micros>,
}

/// Time that a new process waits before it sends to workers in slow start: one overload window and one connect timeout.
const SLOW_START_PAUSE: Micros = SECOND + 250 * MS;
/// Time at which each test starts.
const START_TIME: Micros = 100 * SECOND;

/// Creates the policy of a router that has no other process, so that it may send to workers in slow start.
fn new_policy(config: RoutingConfig, seed: u64) -> Policy {
    let mut policy = Policy::new(config, seed);
    policy.handle(
        START_TIME,
        Event::SlowStart { allowed: true },
        &mut Vec::new(),
    );
    policy
}

impl Rig {
    fn new(config: RoutingConfig) -> Self {
        let policy = new_policy(config, 7);
        Rig {
            policy,
            now: START_TIME,
            actions: Vec::new(),
            timers: Vec::new(),
        }
    }

    /// A rig with two prefill workers and three decode workers in two cells of one zone.
    fn fleet(config: RoutingConfig) -> Self {
        let mut rig = Rig::new(config);
        let list = [("r1", 0), ("r2", 1), ("w1", 0), ("w2", 1), ("w3", 1)];
        rig.update_endpoints(
            EndpointUpdate::Restored,
            list.iter()
                .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None))
                .collect(),
        );
        rig
    }

    /// Passes an event to the policy and returns the resulting actions.
    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.handle(self.now, event, &mut out);
        self.timers
            .extend(out.iter().filter_map(|action| match action {
                Action::Timer { at, .. } => Some(*at),
                _ => None,
            }));
        self.actions.extend(out.iter().cloned());
        out
    }

    fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
        self.event(Event::EndpointsUpdated { update, endpoints })
    }

    fn request(&mut self, id: u64, class: &str) -> Vec<Action> {
        self.request_with(RequestSpec {
            request: RequestId(id),
            ..request_spec(self.now, class)
        })
    }

    fn request_with(&mut self, spec: RequestSpec) -> Vec<Action> {
        self.event(Event::RequestArrived(spec))
    }

    fn complete(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome) -> Vec<Action> {
        let request_finished = outcome == AttemptOutcome::Served;
        self.event(Event::AttemptCompleted(AttemptCompleted {
            request: RequestId(id),
            attempt: AttemptIndex(attempt),
            outcome,
            elapsed: 50 * MS,
            request_finished,
            cached_tokens: 0,
            report: None,
        }))
    }

    /// Advances the clock by `duration` and fires the timers that become due.
    fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let (until, mut out) = (self.now + duration, Vec::new());
        loop {
            self.timers.sort_unstable();
            if self.timers.first().is_none_or(|at| *at > until) {
                break;
            }
            self.now = self.now.max(self.timers.remove(0));
            out.extend(self.event(Event::Timer(TimerId(1))));
        }
        self.now = until;
        out
    }
}

fn request_spec(now: Micros, class: &str) -> RequestSpec {
    RequestSpec {
        request: RequestId(0),
        deadline: now + 4 * SECOND,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 2_000,
        max_tokens: 300,
        duration_hint: None,
        class: class.into(),
        tenant: None,
    }
}

/// An endpoint whose kind is given by the first letter of its name: r for prefill, w for decode, m for mixed workers.
fn endpoint(name: &str, cell: u64, status: Status, started: Option<Micros>) -> Endpoint {
    let worker = WorkerId(Arc::from(name));
    let kind = name[..1].to_owned();
    Endpoint {
        worker,
        zone: "z".into(),
        kind,
        cell,
        status,
        weight: 1.0,
        started,
    }
}

/// Whether an action fails the request with this id.
fn is_failure_of(id: u64) -> impl Fn(&Action) -> bool {
    move |action| matches!(action, Action::Fail { request, .. } if request.0 == id)
}

/// The workers to which requests are sent, in the order of the actions.
fn sent_to(actions: &[Action]) -> Vec<&str> {
    let worker_of_send = |action: &'_ Action| {
        if let Action::Send { worker, .. } = action {
            Some(worker.0.clone())
        } else {
            None
        }
    };
    let names: Vec<Arc<str>> = actions.iter().filter_map(worker_of_send).collect();
    names
        .iter()
        .map(|name| {
            [
                "r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6", "m1", "r3", "r4", "r5", "r6",
            ]
            .into_iter()
            .find(|known| **name == **known)
            .unwrap()
        })
        .collect()
}

/// The number of rejections and failures.
fn final_answer_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
        .count()
}

fn release_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Release { .. }))
        .count()
}

#[test]
fn request_is_prefilled_and_then_decoded_near_its_kv_state() {
    let mut rig = Rig::fleet(base_config());
    let prefill = rig.request(1, "safe");
    let prefill_worker = sent_to(&prefill)[0].to_owned();
    let decode = rig.complete(1, 0, AttemptOutcome::Prefilled);
    let decode_worker = sent_to(&decode)[0];
    assert_eq!(
        decode_worker == "w1",
        prefill_worker == "r1",
        "{prefill_worker} then {decode_worker}"
    );
    assert_eq!(
        final_answer_count(&rig.complete(1, 1, AttemptOutcome::Served)),
        0
    );
}

#[test]
fn prefix_has_the_same_owner_at_every_router_and_keeps_it() {
    let mut owners = Vec::new();
    for index in 0..2 {
        let mut rig = Rig::fleet(RoutingConfig {
            index: Some(index),
            ..base_config()
        });
        let spec = |now| RequestSpec {
            prefix: Some(Arc::from("p")),
            prefix_tokens: 1_900,
            ..request_spec(now, "safe")
        };
        let first = rig.request_with(spec(rig.now));
        rig.complete(0, 0, AttemptOutcome::Prefilled);
        rig.complete(0, 1, AttemptOutcome::Served);
        let again = rig.request_with(RequestSpec {
            request: RequestId(2),
            ..spec(rig.now)
        });
        assert_eq!(sent_to(&first), sent_to(&again));
        owners.push(sent_to(&first)[0].to_owned());
    }
    assert_eq!(owners[0], owners[1]);
}

#[test]
fn session_is_prefilled_where_it_was_prefilled_before() {
    let mut rig = Rig::fleet(base_config());
    let mut prefill_workers = Vec::new();
    for id in 1..6 {
        let session = Some(Arc::from("s"));
        let prefill = rig.request_with(RequestSpec {
            request: RequestId(id),
            session,
            ..request_spec(rig.now, "safe")
        });
        prefill_workers.push(sent_to(&prefill)[0].to_owned());
        // Another request adds load to the prefill workers.
        rig.request(100 + id, "safe");
        rig.complete(id, 0, AttemptOutcome::Prefilled);
        rig.complete(id, 1, AttemptOutcome::Served);
        rig.complete(100 + id, 0, AttemptOutcome::Prefilled);
        rig.complete(100 + id, 1, AttemptOutcome::Served);
    }
    assert!(
        prefill_workers
            .iter()
            .all(|worker| *worker == prefill_workers[0]),
        "{prefill_workers:?}"
    );
}

#[test]
fn failed_prefill_adds_no_cache_entry() {
    let mut rig = Rig::fleet(base_config());
    let session = || Some(Arc::from("s"));
    let first = rig.request_with(RequestSpec {
        request: RequestId(1),
        session: session(),
        ..request_spec(rig.now, "safe")
    });
    let failed_worker = sent_to(&first)[0].to_owned();
    let second = rig.complete(1, 0, AttemptOutcome::Error);
    assert_eq!(
        sent_to(&second).len(),
        1,
        "a failed prefill may always be retried"
    );
    rig.complete(1, 1, AttemptOutcome::Error);
    rig.complete(1, 2, AttemptOutcome::Error);
    // Both prefill workers failed and neither has cached the session, so the next prompt may go to either.
    rig.advance(10 * SECOND);
    let next = rig.request_with(RequestSpec {
        request: RequestId(2),
        session: session(),
        ..request_spec(rig.now, "safe")
    });
    assert_eq!(sent_to(&next).len(), 1, "{failed_worker}");
}

#[test]
fn request_without_workers_gets_one_answer_in_time() {
    let mut rig = Rig::new(base_config());
    rig.update_endpoints(EndpointUpdate::Restored, Vec::new());
    let on_arrival = rig.request(1, "safe");
    let afterwards = rig.advance(4 * SECOND);
    assert_eq!(
        final_answer_count(&on_arrival) + final_answer_count(&afterwards),
        1
    );
    assert!(sent_to(&rig.actions).is_empty());
}

#[test]
fn failing_workers_lead_to_one_answer_within_max_attempts() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "safe");
    for attempt in 0..5 {
        rig.complete(1, attempt, AttemptOutcome::Error);
        rig.advance(100 * MS);
    }
    rig.advance(5 * SECOND);
    assert!(sent_to(&rig.actions).len() <= 5);
    assert_eq!(final_answer_count(&rig.actions), 1);
}

#[test]
fn unanswered_attempt_ends_the_request_at_its_deadline() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "safe");
    rig.advance(5 * SECOND);
    assert_eq!(final_answer_count(&rig.actions), 1);
}

#[test]
fn non_idempotent_request_of_unknown_fate_fails_without_retry() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let mut rig = Rig::fleet(base_config());
        rig.request(1, "once");
        rig.complete(1, 0, AttemptOutcome::Prefilled);
        let after = rig.complete(1, 1, outcome);
        assert!(sent_to(&after).is_empty());
        assert!(after.iter().any(is_failure_of(1)), "{outcome:?}: {after:?}");
        assert_eq!(
            release_count(&after),
            1,
            "its KV state is released immediately"
        );
        assert_eq!(final_answer_count(&rig.advance(5 * SECOND)), 0);
    }
}

#[test]
fn non_idempotent_request_that_did_not_run_goes_to_another_decode_worker() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "once");
    let first = rig.complete(1, 0, AttemptOutcome::Prefilled);
    let second = rig.complete(1, 1, AttemptOutcome::Rejected);
    assert_eq!(sent_to(&second).len(), 1);
    assert_ne!(sent_to(&first), sent_to(&second));
}

#[test]
fn decodes_avoid_near_workers_while_they_hang() {
    // Guards against an overload of one cell's decode workers while those of other cells idle: the overload is not
    // reported, and KV state is preferably decoded within its cell.
    let mut rig = Rig::new(base_config());
    let cell = |worker: &str| u64::from(["r2", "w4", "w5", "w6"].contains(&worker));
    let names = ["r1", "r2", "w1", "w2", "w3", "w4", "w5", "w6"];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        names
            .iter()
            .map(|name| endpoint(name, cell(name), Status::Ready, None))
            .collect(),
    );
    let mut id = 0;
    // Returns how many requests are both prefilled and decoded in the first cell.
    let mut count_local_decodes = |rig: &mut Rig, hangs: bool| {
        let mut local_decodes = 0;
        for _ in 0..40 {
            id += 1;
            let prefilled_by = sent_to(&rig.request(id, "safe"))[0].to_owned();
            let decoded_by = sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled))[0].to_owned();
            let is_local = cell(&prefilled_by) == 0 && cell(&decoded_by) == 0;
            local_decodes += u32::from(is_local);
            // Every second local decode times out, so that no single worker fails often enough to be ejected.
            if hangs && is_local && local_decodes % 2 == 0 {
                rig.complete(id, 1, AttemptOutcome::TimedOut);
                rig.complete(id, 2, AttemptOutcome::Served);
            } else {
                rig.complete(id, 1, AttemptOutcome::Served);
            }
        }
        local_decodes
    };
    let before = count_local_decodes(&mut rig, false);
    count_local_decodes(&mut rig, true);
    let after = count_local_decodes(&mut rig, false);
    assert!(
        (1..=before / 2).contains(&after),
        "{before} local decodes before, {after} after"
    );
}

#[test]
fn keyed_request_is_retried_only_in_its_deduplication_scope_and_window() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "cell");
    let first = sent_to(&rig.complete(1, 0, AttemptOutcome::Prefilled))[0].to_owned();
    let after = rig.complete(1, 1, AttemptOutcome::Error);
    match first.as_str() {
        "w1" => assert!(sent_to(&after).iter().all(|worker| *worker == "w1")),
        _ => assert!(
            sent_to(&after)
                .iter()
                .all(|worker| *worker == "w2" || *worker == "w3")
        ),
    }
    let mut rig = Rig::fleet(base_config());
    rig.request_with(RequestSpec {
        request: RequestId(1),
        deadline: rig.now + 60 * SECOND,
        ..request_spec(rig.now, "cell")
    });
    rig.complete(1, 0, AttemptOutcome::Prefilled);
    rig.now += 6 * SECOND;
    let late = rig.complete(1, 1, AttemptOutcome::TimedOut);
    assert!(
        sent_to(&late).is_empty(),
        "the deduplication window has passed: {late:?}"
    );
    assert!(late.iter().any(is_failure_of(1)));
}

/// Guards against a retry that is decided within the deduplication window and written after it.
#[test]
fn retry_permit_carries_its_write_deadline() {
    let send_by = |actions: &[Action]| {
        actions.iter().find_map(|action| {
            if let Action::Send { permit, .. } = action {
                Some(permit.send_by())
            } else {
                None
            }
        })
    };
    let mut rig = Rig::fleet(base_config());
    let window = base_config()
        .classes
        .iter()
        .find(|class| class.name == "cell")
        .unwrap()
        .deduplication_window;
    assert_eq!(send_by(&rig.request(1, "cell")), Some(None));
    assert_eq!(
        send_by(&rig.complete(1, 0, AttemptOutcome::Prefilled)),
        Some(None),
        "a prefill alone has no effect"
    );
    let first_sent_at = rig.now;
    rig.now += 100 * MS;
    assert_eq!(
        send_by(&rig.complete(1, 1, AttemptOutcome::Error)),
        Some(Some(first_sent_at + window))
    );
}

#[test]
fn draining_and_gone_workers_get_no_sends() {
    let mut rig = Rig::fleet(base_config());
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![
            endpoint("r1", 0, Status::Draining, None),
            endpoint("w1", 0, Status::Gone, None),
        ],
    );
    for id in 1..20 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Prefilled);
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    assert!(
        !sent_to(&rig.actions)
            .iter()
            .any(|worker| *worker == "r1" || *worker == "w1")
    );
}

#[test]
fn worker_missing_from_full_update_is_gone() {
    let mut rig = Rig::fleet(base_config());
    rig.update_endpoints(
        EndpointUpdate::Full,
        vec![
            endpoint("r2", 1, Status::Ready, None),
            endpoint("w2", 1, Status::Ready, None),
        ],
    );
    for id in 1..10 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Prefilled);
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    assert!(
        sent_to(&rig.actions)
            .iter()
            .all(|worker| *worker == "r2" || *worker == "w2")
    );
}

#[test]
fn prefill_worker_in_slow_start_gets_few_sends_when_peers_reject_all() {
    // Guards against a budget that is derived from the number of sends instead of completed requests, which retries
    // inflate.
    let mut rig = Rig::fleet(base_config());
    let started = rig.now;
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![endpoint("r1", 0, Status::Ready, Some(started))],
    );
    for id in 1..200 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Rejected);
        rig.now += 5 * MS;
    }
    let slow_start_sends = sent_to(&rig.actions)
        .iter()
        .filter(|worker| **worker == "r1")
        .count();
    assert!(
        slow_start_sends <= 1,
        "{slow_start_sends} sends within a second to a worker that just started"
    );
}

#[test]
fn restarted_fleet_gets_its_quota_share() {
    // Guards against a budget near zero for all workers when no warm worker is left whose completion rate could be
    // measured.
    let tenants = vec![Tenant {
        name: "t".into(),
        quota_per_s: 40.0,
    }];
    let mut rig = Rig::new(RoutingConfig {
        tenants,
        ..base_config()
    });
    let list = |started| {
        ["r1", "r2", "w1", "w2"]
            .map(|name| endpoint(name, 0, Status::Ready, started))
            .to_vec()
    };
    rig.update_endpoints(EndpointUpdate::Restored, list(None));
    // The previous process of this router may have sent until just before the start of this one.
    rig.now += SLOW_START_PAUSE;
    let started = list(Some(rig.now));
    rig.update_endpoints(EndpointUpdate::Full, started);
    for id in 1..100 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Prefilled);
        rig.complete(id, 1, AttemptOutcome::Served);
        rig.now += 10 * MS;
    }
    // This router's share: 2.5 x 0.33 x 40/s / 2 routers / 2 prefill workers = 8.25 per prefill worker and second.
    let prefills = sent_to(&rig.actions)
        .iter()
        .filter(|worker| worker.starts_with('r'))
        .count();
    assert!(
        (8..=16).contains(&prefills),
        "{prefills} prefills in the first second"
    );
}

#[test]
fn unfetched_kv_state_is_released_within_the_hold_limit() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "safe");
    let draining = |name: &str, cell| endpoint(name, cell, Status::Draining, None);
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![draining("w1", 0), draining("w2", 1), draining("w3", 1)],
    );
    rig.complete(1, 0, AttemptOutcome::Prefilled);
    let prefilled_at = rig.now;
    let actions = rig.advance(490 * MS);
    assert_eq!(
        release_count(&actions),
        1,
        "not released within {} us",
        rig.now - prefilled_at
    );
}

/// Guards against KV state that is held beyond its limit because each failed connection and each unanswered send
/// restarts the limit, and against KV state that is not released after a decode worker has answered that it can't find
/// it.
#[rstest]
#[case::connect_failures_after_the_prefill(&[], 3)]
#[case::connect_failures_after_an_answer(&[(AttemptOutcome::Error, 300)], 3)]
#[case::connect_failures_after_a_lost_connection(&[(AttemptOutcome::ConnectionLost, 100)], 3)]
#[case::connect_failures_after_an_unanswered_send(&[(AttemptOutcome::TimedOut, 570)], 3)]
#[case::kv_state_not_found(&[(AttemptOutcome::TimedOut, 570), (AttemptOutcome::ConnectFailed, 250)], 0)]
fn hold_limit_runs_on_while_connections_fail(
    #[case] earlier_sends: &[(AttemptOutcome, Micros)],
    #[case] connect_failures: u32,
) {
    let mut rig = Rig::fleet(RoutingConfig {
        max_attempts: 9,
        ..base_config()
    });
    let deadline = rig.now + 9 * SECOND;
    rig.request_with(RequestSpec {
        request: RequestId(1),
        deadline,
        ..request_spec(rig.now, "safe")
    });
    rig.complete(1, 0, AttemptOutcome::Prefilled);
    let mut limit_runs_from = rig.now;
    let (mut attempt, mut actions) = (0, Vec::new());
    let mut complete_after = |rig: &mut Rig, outcome, delay| {
        let mut actions = rig.advance(delay);
        attempt += 1;
        actions.extend(rig.complete(1, attempt, outcome));
        actions
    };
    for (outcome, delay) in earlier_sends {
        // During a send that is in flight for longer than the limit, exactly one release is ordered.
        let expected_releases = usize::from(delay * MS > base_config().kv_state_hold_limit);
        assert_eq!(
            release_count(&complete_after(&mut rig, *outcome, delay * MS)),
            expected_releases,
            "{outcome:?}"
        );
        limit_runs_from = if outcome.proves_arrival() || expected_releases > 0 {
            rig.now
        } else {
            limit_runs_from
        };
    }
    // A connection may take at most half of the time that remains until the limit.
    for _ in 0..connect_failures {
        let remaining =
            (limit_runs_from + base_config().kv_state_hold_limit).saturating_sub(rig.now);
        actions.extend(complete_after(
            &mut rig,
            AttemptOutcome::ConnectFailed,
            remaining / 2,
        ));
    }
    if connect_failures == 0 {
        actions = complete_after(&mut rig, AttemptOutcome::KvStateMissing, 2 * MS);
    }
    actions.extend(
        rig.advance((limit_runs_from + base_config().kv_state_hold_limit).saturating_sub(rig.now)),
    );
    let release = actions
        .iter()
        .position(|action| matches!(action, Action::Release { .. }))
        .expect("no release in time");
    assert!(
        sent_to(&actions[release..])
            .iter()
            .all(|worker| worker.starts_with('r')),
        "only prefills may follow the release: {actions:?}"
    );
}

/// Guards against a hold limit that is spent on one decode worker after another of a zone that is cut off: after a
/// failure, zones that have just answered are preferred.
#[test]
fn after_connect_failure_decode_goes_to_a_zone_that_just_answered() {
    let zone = |worker: &str| {
        if ["r1", "w1"].contains(&worker) {
            "near"
        } else {
            "far"
        }
    };
    for seed in 0..20 {
        let mut rig = Rig::new(base_config());
        rig.policy = new_policy(base_config(), seed);
        let list = ["r1", "w1", "w2", "w3", "w4", "w5", "w6"];
        let endpoint = |worker: &&str| Endpoint {
            zone: zone(worker).into(),
            ..endpoint(worker, 0, Status::Ready, None)
        };
        rig.update_endpoints(
            EndpointUpdate::Restored,
            list.iter().map(endpoint).collect(),
        );
        rig.request(1, "safe");
        if sent_to(&rig.complete(1, 0, AttemptOutcome::Prefilled)) != ["w1"] {
            rig.advance(200 * MS);
            assert_eq!(
                sent_to(&rig.complete(1, 1, AttemptOutcome::ConnectFailed)),
                ["w1"],
                "seed {seed}"
            );
        }
    }
}

#[test]
fn kv_state_of_disconnected_client_is_released() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "safe");
    rig.event(Event::ClientDisconnected {
        request: RequestId(1),
    });
    let after = rig.complete(1, 0, AttemptOutcome::Prefilled);
    assert_eq!(release_count(&after), 1);
    assert!(sent_to(&after).is_empty());
}

#[test]
fn fast_failing_prefill_worker_is_ejected() {
    let mut rig = Rig::fleet(base_config());
    let mut failures = 0;
    for id in 1..40 {
        let worker = sent_to(&rig.request(id, "safe"))[0].to_owned();
        if worker == "r1" {
            failures += 1;
            rig.complete(id, 0, AttemptOutcome::Error);
            rig.complete(id, 1, AttemptOutcome::Prefilled);
            rig.complete(id, 2, AttemptOutcome::Served);
        } else {
            rig.complete(id, 0, AttemptOutcome::Prefilled);
            rig.complete(id, 1, AttemptOutcome::Served);
        }
        rig.now += 10 * MS;
    }
    assert!(
        failures <= 4,
        "{failures} of 39 first sends went to the failing prefill worker"
    );
}

#[test]
fn ejection_never_empties_a_role() {
    let mut rig = Rig::fleet(base_config());
    for id in 1..10 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Error);
        rig.complete(id, 1, AttemptOutcome::Error);
        rig.now += 10 * MS;
    }
    assert_eq!(
        sent_to(&rig.request(50, "safe")).len(),
        1,
        "some worker is always tried"
    );
}

#[test]
fn decode_workers_that_prefill_replace_unreachable_prefill_workers() {
    // Guards against sending everything to prefill workers that have all died but are still listed as ready.
    let mut rig = Rig::fleet(RoutingConfig {
        decode_workers_prefill: true,
        ..base_config()
    });
    let mut answered_by_decode_workers = 0;
    for id in 1..30 {
        let mut actions = rig.request(id, "safe");
        for attempt in 0..5 {
            match sent_to(&actions).first().copied() {
                Some(worker) if worker.starts_with('r') => {
                    actions = rig.complete(id, attempt, AttemptOutcome::ConnectFailed);
                }
                Some(_) => {
                    answered_by_decode_workers += 1;
                    rig.complete(id, attempt, AttemptOutcome::Served);
                    break;
                }
                None => break,
            }
        }
        rig.now += 20 * MS;
    }
    assert!(
        answered_by_decode_workers >= 20,
        "only {answered_by_decode_workers} of 29 were answered by decode workers"
    );
}

#[test]
fn prefills_beyond_their_share_of_the_objective_queue_and_are_rejected_in_time() {
    let mut rig = Rig::fleet(base_config());
    // Makes the policy learn a slow prefill rate: 2,000 tokens take 600 ms.
    for id in 1..20 {
        rig.request(id, "safe");
        rig.now += 600 * MS;
        rig.event(Event::AttemptCompleted(AttemptCompleted {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: AttemptOutcome::Prefilled,
            elapsed: 600 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    let before = sent_to(&rig.actions).len();
    for id in 100..120 {
        rig.request(id, "safe");
    }
    let in_flight = sent_to(&rig.actions).len() - before;
    assert!(
        in_flight <= 4,
        "{in_flight} prefills in flight at two slow prefill workers"
    );
    let arrived_at = rig.now;
    rig.advance(SECOND);
    let rejected = final_answer_count(&rig.actions);
    assert!(
        rejected >= 14,
        "only {rejected} were rejected within {} us",
        rig.now - arrived_at
    );
    let has_advice = |action: &Action| matches!(action, Action::Reject { retry_after: Some(delay), .. } if *delay > 0);
    assert!(
        rig.actions
            .iter()
            .filter(|action| matches!(action, Action::Reject { .. }))
            .all(has_advice)
    );
}

#[test]
fn request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    // Guards against prefills that are wasted on clients whose deadline is shorter than a prefill.
    let mut rig = Rig::fleet(base_config());
    for id in 1..5 {
        rig.request(id, "safe");
        rig.now += 300 * MS;
        rig.event(Event::AttemptCompleted(AttemptCompleted {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: AttemptOutcome::Prefilled,
            elapsed: 300 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    // With another request in flight, this one is not needed as a probe of the current speed.
    rig.request(50, "safe");
    let short_deadline = RequestSpec {
        request: RequestId(51),
        deadline: rig.now + 150 * MS,
        ..request_spec(rig.now, "safe")
    };
    let actions = rig.request_with(short_deadline);
    assert_eq!(
        (sent_to(&actions).len(), final_answer_count(&actions)),
        (0, 1),
        "{actions:?}"
    );
}

#[test]
fn short_prompts_go_to_mixed_workers_and_long_ones_to_prefill_workers() {
    let mut rig = Rig::new(base_config());
    let list = ["r1", "m1"]
        .map(|name| endpoint(name, 0, Status::Ready, None))
        .to_vec();
    rig.update_endpoints(EndpointUpdate::Full, list);
    let spec = |id, prompt_tokens, now| RequestSpec {
        request: RequestId(id),
        prompt_tokens,
        ..request_spec(now, "safe")
    };
    assert_eq!(sent_to(&rig.request_with(spec(1, 1_000, rig.now))), ["m1"]);
    assert_eq!(sent_to(&rig.request_with(spec(2, 9_000, rig.now))), ["r1"]);
    assert_eq!(
        sent_to(&rig.complete(2, 0, AttemptOutcome::Prefilled)),
        ["m1"],
        "a mixed worker decodes a prefilled request"
    );
    assert_eq!(sent_to(&rig.request_with(spec(3, 500, rig.now))), ["m1"]);
}

#[test]
fn tenant_over_quota_is_rejected_while_others_wait() {
    let tenants = vec![Tenant {
        name: "small".into(),
        quota_per_s: 2.0,
    }];
    let mut rig = Rig::fleet(RoutingConfig {
        tenants,
        ..base_config()
    });
    for id in 1..5 {
        rig.request(id, "safe");
        rig.now += 900 * MS;
        rig.event(Event::AttemptCompleted(AttemptCompleted {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: AttemptOutcome::Prefilled,
            elapsed: 900 * MS,
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    for id in 10..40 {
        let tenant = Some("small".to_owned());
        rig.request_with(RequestSpec {
            request: RequestId(id),
            tenant,
            ..request_spec(rig.now, "safe")
        });
    }
    let rejected = final_answer_count(&rig.actions);
    assert!(
        rejected >= 10,
        "only {rejected} of 30 simultaneous requests, far beyond the quota, were rejected"
    );
}

/// Guards against rejections of random bursts: each of many routers sees only a few requests of a tenant.
#[test]
fn small_burst_is_within_quota_at_one_of_many_routers() {
    let tenants = vec![Tenant {
        name: "small".into(),
        quota_per_s: 2.0,
    }];
    let mut rig = Rig::fleet(RoutingConfig {
        routers: 200,
        tenants,
        ..base_config()
    });
    for id in 1..6 {
        let tenant = Some("small".to_owned());
        rig.request_with(RequestSpec {
            request: RequestId(id),
            tenant,
            ..request_spec(rig.now, "safe")
        });
    }
    assert_eq!(final_answer_count(&rig.actions), 0);
}

/// Guards against many routers that learn of a restarted worker at the same time and all send to it immediately.
#[test]
fn many_routers_take_turns_at_a_worker_in_slow_start() {
    let mut sends_per_router = Vec::new();
    for seed in 0..20 {
        let config = RoutingConfig {
            routers: 100,
            ..base_config()
        };
        let mut rig = Rig {
            policy: new_policy(config.clone(), seed),
            ..Rig::new(config)
        };
        let warm = [
            endpoint("w1", 0, Status::Ready, None),
            endpoint("w2", 0, Status::Ready, None),
        ];
        rig.update_endpoints(EndpointUpdate::Restored, warm.to_vec());
        rig.update_endpoints(
            EndpointUpdate::Incremental,
            vec![endpoint("r1", 0, Status::Ready, Some(rig.now))],
        );
        rig.request_with(RequestSpec {
            deadline: rig.now + 20 * SECOND,
            ..request_spec(rig.now, "safe")
        });
        let sent = rig
            .actions
            .iter()
            .filter(|action| matches!(action, Action::Send { .. }))
            .count();
        sends_per_router.push(sent);
    }
    let immediate_sends: usize = sends_per_router.iter().sum();
    assert!(
        immediate_sends <= 2,
        "{immediate_sends} of 20 routers sent to the worker in slow start immediately"
    );
}

/// A rig of one of a hundred routers, in which four of six workers of each role have just started.
fn rig_with_restarted_workers(seed: u64) -> Rig {
    let config = RoutingConfig {
        routers: 100,
        index: Some(seed as u32),
        ..base_config()
    };
    let mut rig = Rig {
        policy: new_policy(config.clone(), seed),
        ..Rig::new(config)
    };
    let names = |role| (1..7).map(move |i| (format!("{role}{i}"), i));
    let list = |started: Option<Micros>| {
        let started_at = |i| started.filter(|_| i > 2);
        names("r")
            .chain(names("w"))
            .map(|(name, i)| endpoint(&name, 0, Status::Ready, started_at(i)))
            .collect()
    };
    rig.update_endpoints(EndpointUpdate::Restored, list(None));
    // The previous process of this router may have sent until just before the start of this one.
    rig.now += SLOW_START_PAUSE;
    let started = list(Some(rig.now));
    rig.update_endpoints(EndpointUpdate::Incremental, started);
    rig
}

/// Guards against spending this router's share twice: during a worker's slow start the router's process is restarted,
/// and its previous process may have used the share just before.
#[test]
fn new_process_sends_nothing_to_workers_in_slow_start_for_one_window() {
    let mut rig = Rig::new(RoutingConfig {
        index: Some(0),
        routers: 1,
        ..base_config()
    });
    let started = rig.now - SECOND;
    let list = vec![
        endpoint("w1", 0, Status::Ready, None),
        endpoint("r1", 0, Status::Ready, Some(started)),
    ];
    rig.update_endpoints(EndpointUpdate::Restored, list);
    assert_eq!(sent_to(&rig.request(1, "safe")).len(), 0);
    rig.now += SLOW_START_PAUSE - MS;
    assert_eq!(sent_to(&rig.request(2, "safe")).len(), 0);
    rig.now += MS;
    assert_eq!(sent_to(&rig.request(3, "safe")).len(), 1);
}

/// Guards against two processes of one router that both use its budget: the older one sends nothing once it is no
/// longer allowed to, and the newer one starts one window after it is allowed to.
#[test]
fn at_most_one_process_of_a_router_sends_to_workers_in_slow_start() {
    let prefill_count = |rig: &mut Rig, id| sent_to(&rig.request(id, "safe")).len();
    let mut rig = Rig::new(RoutingConfig {
        index: Some(0),
        routers: 1,
        ..base_config()
    });
    rig.update_endpoints(
        EndpointUpdate::Restored,
        vec![endpoint("w1", 0, Status::Ready, None)],
    );
    rig.now += 2 * SECOND;
    let started = rig.now;
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![endpoint("r1", 0, Status::Ready, Some(started))],
    );
    assert_eq!(prefill_count(&mut rig, 1), 1);
    rig.event(Event::SlowStart { allowed: false });
    rig.now += 2 * SECOND;
    assert_eq!(prefill_count(&mut rig, 2), 0);
    rig.event(Event::SlowStart { allowed: true });
    rig.now += SLOW_START_PAUSE - MS;
    assert_eq!(prefill_count(&mut rig, 3), 0);
    rig.now += MS;
    assert_eq!(prefill_count(&mut rig, 4), 1);
}

/// Guards against a popular prefix that overloads a single prefill worker although each router sees only a few of its
/// requests. With few prefill workers it keeps one owner.
#[test]
fn prefix_has_several_owners_only_in_a_large_fleet() {
    for (worker_count, owner_counts) in [(6, 1..2), (32, 3..5)] {
        let mut rig = Rig::new(RoutingConfig {
            routers: 100,
            ..base_config()
        });
        let name = |i: usize| format!("r{i}");
        let list = (0..worker_count).map(|i| endpoint(&name(i), 0, Status::Ready, None));
        let list = list
            .chain([endpoint("w1", 0, Status::Ready, None)])
            .collect();
        rig.update_endpoints(EndpointUpdate::Restored, list);
        let mut owners = std::collections::BTreeSet::new();
        for id in 1..200 {
            let (session, prefix) = (Some(Arc::from(format!("s{id}"))), Some(Arc::from("hot")));
            let spec = RequestSpec {
                request: RequestId(id),
                session,
                prefix,
                prefix_tokens: 1_900,
                ..request_spec(rig.now, "safe")
            };
            let worker = rig
                .request_with(spec)
                .into_iter()
                .find_map(|action| match action {
                    Action::Send { worker, .. } => Some(worker),
                    _ => None,
                });
            owners.insert(worker.expect("every request is sent to a prefill worker"));
            rig.complete(id, 0, AttemptOutcome::Prefilled);
            rig.complete(id, 1, AttemptOutcome::Served);
        }
        assert!(
            owner_counts.contains(&owners.len()),
            "{worker_count} prefill workers: {owners:?}"
        );
    }
}

/// Guards against many routers that each try every dead worker of a lost zone until no attempts are left.
#[test]
fn zone_is_avoided_after_two_connect_failures() {
    let mut rig = Rig::new(RoutingConfig {
        routers: 100,
        max_attempts: 6,
        ..base_config()
    });
    let zone = |worker: &str, zone: &str| Endpoint {
        zone: zone.into(),
        ..endpoint(worker, 0, Status::Ready, None)
    };
    let near = ["r1", "r2", "r3", "r4", "r5", "w1", "w2"].map(|worker| zone(worker, "z"));
    let list = near
        .into_iter()
        .chain([zone("r6", "far"), zone("w3", "far")])
        .collect();
    rig.update_endpoints(EndpointUpdate::Restored, list);
    for id in 1..4 {
        rig.request(id, "safe");
        while sent_to(&rig.actions).last() != Some(&"r6") {
            let attempt = rig
                .actions
                .iter()
                .filter(|action| matches!(action, Action::Send { request, .. } if request.0 == id));
            let attempt = attempt.count() as u32 - 1;
            assert!(attempt < 2, "{:?}", sent_to(&rig.actions));
            rig.complete(id, attempt, AttemptOutcome::ConnectFailed);
        }
    }
    rig.advance(5 * SECOND);
    assert!(
        (10..30).any(|id| sent_to(&rig.request(id, "safe"))
            .iter()
            .any(|worker| *worker != "r6")),
        "the zone is tried again after a while"
    );
}

/// Guards against workers in slow start that are busy for seconds with one long prompt, which then misses its
/// objective.
#[test]
fn long_prompts_avoid_prefill_workers_in_slow_start() {
    let (mut long, mut short) = (Vec::new(), Vec::new());
    for seed in 0..50 {
        for (prompt_tokens, workers) in [(16_000, &mut long), (300, &mut short)] {
            let mut rig = rig_with_restarted_workers(seed);
            let session = Some(Arc::from(format!("s{seed}")));
            let spec = RequestSpec {
                session,
                prompt_tokens,
                deadline: rig.now + 20 * SECOND,
                ..request_spec(rig.now, "safe")
            };
            workers.push(sent_to(&rig.request_with(spec))[0].to_owned());
        }
    }
    assert!(
        long.iter().all(|worker| worker == "r1" || worker == "r2"),
        "{long:?}"
    );
    assert!(
        short.iter().any(|worker| worker != "r1" && worker != "r2"),
        "{short:?}"
    );
}

/// Guards against overload that sustains itself: while most prefill workers are in slow start, prefills that were well
/// under way timed out, and each retry prefilled the whole prompt again.
#[test]
fn prefill_timeout_grows_while_many_workers_are_in_slow_start() {
    let prefill_timeout = |rig: &mut Rig| {
        let actions = rig.request_with(RequestSpec {
            deadline: rig.now + 20 * SECOND,
            ..request_spec(rig.now, "safe")
        });
        let timeout = |action: &Action| {
            if let Action::Send { timeout, .. } = action {
                *timeout
            } else {
                None
            }
        };
        actions
            .iter()
            .find_map(timeout)
            .expect("a prefill with a timeout is sent")
    };
    let warm = prefill_timeout(&mut Rig::fleet(RoutingConfig {
        routers: 100,
        ..base_config()
    }));
    assert!(prefill_timeout(&mut rig_with_restarted_workers(1)) > 2 * warm);
}

/// Guards against overload that sustains itself: timed-out prefills were retried at other workers although their
/// requests were already late, and each retry prefilled the whole prompt again.
#[test]
fn prefill_timeout_past_the_objective_rejects_without_retry() {
    let mut rig = Rig::fleet(base_config());
    rig.request(1, "safe");
    rig.now += 3 * SECOND;
    let after = rig.complete(1, 0, AttemptOutcome::TimedOut);
    assert!(sent_to(&after).is_empty());
    assert_eq!(final_answer_count(&after), 1);
}

/// Guards against bad workers that cost each of many routers a non-idempotent request, and against a prefill that is
/// retried at the same failing worker until no attempts are left.
#[test]
fn non_idempotent_request_prefers_proven_workers_and_no_retry_goes_to_a_failed_one() {
    let mut rig = rig_with_restarted_workers(1);
    for id in 1..30 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Error);
        rig.complete(id, 1, AttemptOutcome::Prefilled);
        rig.complete(id, 2, AttemptOutcome::Error);
        rig.complete(id, 3, AttemptOutcome::Served);
        let actions = std::mem::take(&mut rig.actions);
        let workers = sent_to(&actions);
        assert!(
            workers[0] != workers[1] && workers[2] != workers[3],
            "{workers:?}"
        );
    }
    let mut rig = Rig::new(base_config());
    let list = ["r1", "w1", "w2", "w3", "w4", "w5"];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        list.iter()
            .map(|name| endpoint(name, 0, Status::Ready, None))
            .collect(),
    );
    let mut decode_workers = Vec::new();
    for (id, class) in (1..).zip(["safe", "once", "once", "once", "once"]) {
        rig.request(id, class);
        decode_workers.push(sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled))[0].to_owned());
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    assert!(
        decode_workers
            .iter()
            .all(|worker| *worker == decode_workers[0]),
        "{decode_workers:?}"
    );
}

/// Guards against a full prefill of a session's next turn because another router sends it to another worker: all
/// routers pick the same prefill worker for a session.
#[test]
fn next_turn_at_another_router_goes_to_the_same_prefill_worker() {
    let mut prefill_workers = Vec::new();
    for seed in 0..8 {
        let config = RoutingConfig {
            routers: 100,
            ..base_config()
        };
        let mut rig = Rig {
            policy: new_policy(config.clone(), seed),
            ..Rig::new(config)
        };
        let list = [("r1", 0), ("r2", 1), ("r3", 1), ("w1", 0)];
        rig.update_endpoints(
            EndpointUpdate::Restored,
            list.iter()
                .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None))
                .collect(),
        );
        let session = Some(Arc::from("s"));
        let prompt_tokens = 2_000 + seed * 500;
        let prefill = rig.request_with(RequestSpec {
            session,
            prompt_tokens,
            ..request_spec(rig.now, "safe")
        });
        prefill_workers.push(sent_to(&prefill)[0].to_owned());
    }
    assert!(
        prefill_workers
            .iter()
            .all(|worker| *worker == prefill_workers[0]),
        "{prefill_workers:?}"
    );
}

/// Guards against a single decode worker near many prefill workers that gets all of their KV state: only its share of
/// the decodes stays near.
#[test]
fn lone_decode_worker_does_not_get_all_local_kv_state() {
    let mut local_decodes = 0;
    for seed in 0..40 {
        let config = RoutingConfig {
            routers: 100,
            ..base_config()
        };
        let mut rig = Rig {
            policy: new_policy(config.clone(), seed),
            ..Rig::new(config)
        };
        let list = [
            ("r1", 0),
            ("r2", 0),
            ("r3", 0),
            ("w1", 0),
            ("w2", 1),
            ("w3", 1),
        ];
        rig.update_endpoints(
            EndpointUpdate::Restored,
            list.iter()
                .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None))
                .collect(),
        );
        rig.request(seed, "safe");
        local_decodes +=
            usize::from(sent_to(&rig.complete(seed, 0, AttemptOutcome::Prefilled)) == ["w1"]);
    }
    assert!(
        (5..25).contains(&local_decodes),
        "{local_decodes} of 40 decodes are local"
    );
}

/// Guards against synchronized fetches: many routers that start at the same time, or whose fetches fail at the same
/// time, overload discovery permanently. The total delay of a fetch is tested in `tests/list_calls.rs`.
#[test]
fn endpoint_fetches_are_spread_over_routers_and_back_off_after_failures() {
    let mut fetch_delays: Vec<Vec<Micros>> = vec![Vec::new(); 2];
    for seed in 0..50 {
        let config = RoutingConfig {
            endpoints_require_subscription: true,
            routers: 50,
            ..base_config()
        };
        let mut rig = Rig {
            policy: new_policy(config.clone(), seed),
            ..Rig::new(config)
        };
        for (update, fetch_delays) in [EndpointUpdate::Restored, EndpointUpdate::Failed]
            .into_iter()
            .zip(&mut fetch_delays)
        {
            assert!(
                !rig.update_endpoints(update, Vec::new())
                    .contains(&Action::Subscribe),
                "no fetch may be made immediately"
            );
            let updated_at = rig.now;
            let mut fetches = 0;
            while fetches == 0 && rig.now < updated_at + 60 * SECOND {
                let actions = rig.advance(SECOND / 10);
                fetches = actions
                    .iter()
                    .filter(|action| **action == Action::Subscribe)
                    .count();
            }
            assert_eq!(fetches, 1);
            fetch_delays.push(rig.now - updated_at);
        }
    }
    for (fetch_delays, seconds) in fetch_delays.iter().zip([1, 2]) {
        let max_per_second = (0..seconds)
            .map(|second| {
                fetch_delays
                    .iter()
                    .filter(|delay| **delay / SECOND == second)
                    .count()
            })
            .max();
        assert!(
            max_per_second < Some(75 / seconds as usize),
            "{max_per_second:?} in a second"
        );
        assert!(
            fetch_delays
                .iter()
                .all(|delay| *delay <= seconds * SECOND + SECOND / 5)
        );
    }
}

#[test]
fn invalid_events_cause_no_panic_and_each_request_gets_one_answer() {
    let mut rig = Rig::fleet(base_config());
    let huge_values = RequestSpec {
        prompt_tokens: u64::MAX,
        prefix_tokens: u64::MAX,
        max_tokens: u64::MAX,
        ..request_spec(rig.now, "?")
    };
    rig.request_with(RequestSpec {
        duration_hint: Some(u64::MAX),
        ..huge_values
    });
    rig.request_with(RequestSpec {
        request: RequestId(2),
        prompt_tokens: 0,
        deadline: 0,
        ..request_spec(rig.now, "safe")
    });
    rig.event(Event::AttemptCompleted(AttemptCompleted {
        request: RequestId(0),
        attempt: AttemptIndex(0),
        outcome: AttemptOutcome::Prefilled,
        elapsed: u64::MAX,
        request_finished: false,
        cached_tokens: u64::MAX,
        report: Some(LoadReport {
            memory_share: Some(f64::NAN),
            queued_tokens: Some(-1.0),
            ..LoadReport::default()
        }),
    }));
    rig.complete(77, 0, AttemptOutcome::Prefilled);
    rig.complete(0, 99, AttemptOutcome::Prefilled);
    rig.event(Event::ClientDisconnected {
        request: RequestId(99),
    });
    let listed_twice = vec![
        endpoint("r1", 0, Status::Ready, Some(u64::MAX)),
        endpoint("r1", 5, Status::Draining, None),
    ];
    rig.update_endpoints(EndpointUpdate::Full, listed_twice);
    rig.request(5, "safe");
    rig.advance(6 * SECOND);
    assert_eq!(final_answer_count(&rig.actions), 3);
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::fleet(base_config());
        for id in 1..30 {
            rig.request(id, if id % 3 == 0 { "once" } else { "safe" });
            rig.complete(
                id,
                0,
                if id % 7 == 0 {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Prefilled
                },
            );
            rig.advance(30 * MS);
        }
        rig.actions
    };
    assert_eq!(run(), run());
}

/// Guards against many routers that know nothing of the workers' load and all pick the same decode worker.
#[test]
fn routers_break_ties_between_decode_workers_differently() {
    let mut picked_workers = std::collections::BTreeSet::new();
    for seed in 0..16 {
        let mut rig = Rig {
            policy: new_policy(base_config(), seed),
            ..Rig::new(base_config())
        };
        let list = [("r1", 0), ("w1", 1), ("w2", 1), ("w3", 1)];
        let endpoints = list
            .iter()
            .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None))
            .collect();
        rig.update_endpoints(EndpointUpdate::Restored, endpoints);
        rig.request(1, "safe");
        picked_workers
            .insert(sent_to(&rig.complete(1, 0, AttemptOutcome::Prefilled))[0].to_owned());
    }
    assert_eq!(picked_workers.len(), 3, "{picked_workers:?}");
}

/// A worker that rejects one tenant is not considered full for other tenants, and is not tried again immediately for
/// the rejected one.
#[test]
fn worker_full_for_one_tenant_serves_the_others() {
    let mut rig = Rig::fleet(base_config());
    let spec = |id, tenant: &str, now| RequestSpec {
        request: RequestId(id),
        tenant: Some(tenant.to_owned()),
        prefix: Some(Arc::from("p")),
        prefix_tokens: 1_900,
        ..request_spec(now, "safe")
    };
    let owner = sent_to(&rig.request_with(spec(1, "a", rig.now)))[0].to_owned();
    let retry = rig.complete(1, 0, AttemptOutcome::Rejected);
    assert_ne!(sent_to(&retry), [owner.as_str()]);
    assert_eq!(
        sent_to(&rig.request_with(spec(2, "b", rig.now))),
        [owner.as_str()]
    );
    assert_ne!(
        sent_to(&rig.request_with(spec(3, "a", rig.now))),
        [owner.as_str()]
    );
}

/// Guards against a worker that counts as slow because of a single late answer, the first that the router got from it.
#[test]
fn one_late_answer_does_not_raise_the_latency_factor() {
    let timeout = |actions: &[Action]| {
        actions.iter().find_map(|action| {
            if let Action::Send { timeout, .. } = action {
                *timeout
            } else {
                None
            }
        })
    };
    let mut rig = Rig::new(base_config());
    let list = [("r1", 0), ("r3", 0), ("w1", 0), ("w2", 0)];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        list.iter()
            .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None))
            .collect(),
    );
    for id in 10..20 {
        rig.request(id, "safe");
        rig.complete(id, 0, AttemptOutcome::Prefilled);
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![endpoint("r2", 0, Status::Ready, None)],
    );
    let mut timeouts = Vec::new();
    for id in 100..140 {
        let session = Some(Arc::from(format!("s{id}")));
        let prefill = rig.request_with(RequestSpec {
            request: RequestId(id),
            session,
            ..request_spec(rig.now, "safe")
        });
        let is_new_worker = sent_to(&prefill) == ["r2"];
        if is_new_worker {
            timeouts.push(timeout(&prefill));
        }
        rig.event(Event::AttemptCompleted(AttemptCompleted {
            request: RequestId(id),
            attempt: AttemptIndex(0),
            outcome: AttemptOutcome::Prefilled,
            elapsed: if is_new_worker { 800 * MS } else { 50 * MS },
            request_finished: false,
            cached_tokens: 0,
            report: None,
        }));
        rig.complete(id, 1, AttemptOutcome::Served);
        if timeouts.len() == 2 {
            break;
        }
    }
    let [Some(before), Some(after)] = timeouts[..] else {
        panic!("{timeouts:?}")
    };
    assert!(
        after < before * 3,
        "the timeout grew from {before} to {after}"
    );
}

/// Configurations with zero or a thousand routers, tenants that are not configured, and invalid load reports.
#[test]
fn unusual_configuration_and_invalid_reports_lose_no_answer() {
    for routers in [0, 1, 1_000] {
        for is_allowed in [false, true] {
            let tenants = vec![Tenant {
                name: "t".into(),
                quota_per_s: 0.0,
            }];
            let config = RoutingConfig {
                routers,
                tenants,
                gossip_allowed: is_allowed,
                health_checks_allowed: is_allowed,
                ..base_config()
            };
            let mut rig = Rig::fleet(RoutingConfig {
                load_reporting: LoadReporting::Responses,
                ..config
            });
            for id in 1..30 {
                let tenant = Some(if id % 2 == 0 { "t" } else { "stranger" }.to_owned());
                rig.request_with(RequestSpec {
                    request: RequestId(id),
                    tenant,
                    ..request_spec(rig.now, "safe")
                });
                let report = Some(LoadReport {
                    memory_share: Some(f64::NAN),
                    queued_tokens: Some(if id % 3 == 0 { -1.0 } else { 1e300 }),
                    ..LoadReport::default()
                });
                for name in ["r1", "r2", "w1", "nobody"] {
                    let worker = WorkerId(Arc::from(name));
                    rig.event(Event::HealthCheckCompleted {
                        worker,
                        outcome: AttemptOutcome::TimedOut,
                        report,
                    });
                }
                rig.advance(20 * MS);
            }
            // No worker ever answers, so each request has exactly one final answer by its deadline.
            rig.advance(6 * SECOND);
            assert_eq!(final_answer_count(&rig.actions), 29, "{routers} routers");
        }
    }
}

/// Guards against transfers over a link that has become slow: rates that are learned over seconds keep KV state moving
/// out of its cell, where requests time out although the cell's decode worker has capacity.
#[test]
fn near_decode_worker_takes_all_after_remote_timeout() {
    let mut rig = Rig::fleet(base_config());
    let run_to_decode = |rig: &mut Rig, id: u64| {
        let prefill_worker = sent_to(&rig.request(id, "safe"))[0].to_owned();
        let decode_worker = sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled))[0].to_owned();
        (prefill_worker == "r1").then_some(decode_worker)
    };
    let first_remote = (1..200).find(|id| {
        let decode_worker = run_to_decode(&mut rig, *id);
        let is_remote = decode_worker.is_some_and(|worker| worker != "w1");
        if !is_remote {
            rig.complete(*id, 1, AttemptOutcome::Served);
        }
        is_remote
    });
    let retry = rig.complete(
        first_remote.expect("some KV states leave the cell of the only decode worker near them"),
        1,
        AttemptOutcome::TimedOut,
    );
    assert_eq!(sent_to(&retry), ["w1"], "r1 still holds the KV state");
    for id in 200..230 {
        let decode_worker = run_to_decode(&mut rig, id);
        assert!(decode_worker.is_none_or(|worker| worker == "w1"));
        rig.complete(id, 1, AttemptOutcome::Served);
    }
}

/// Guards against KV state that is never released, because a prefill completed just when it timed out or its connection
/// broke.
#[test]
fn timed_out_or_broken_prefill_is_released_before_the_next_one() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Error,
    ] {
        let mut rig = Rig::fleet(base_config());
        rig.request(1, "once");
        let actions = rig.complete(1, 0, outcome);
        let release = actions
            .iter()
            .position(|action| matches!(action, Action::Release { .. }));
        let send = actions
            .iter()
            .position(|action| matches!(action, Action::Send { .. }));
        assert!(
            release.is_some() && send.is_none_or(|send| release < Some(send)),
            "{outcome:?}: {actions:?}"
        );
    }
}

/// Guards against idle prefill workers next to one with a long queue, because any queued work elsewhere kept prompts
/// from being moved.
#[test]
fn overloaded_prefix_holder_sheds_prefills_to_idle_workers() {
    let mut rig = Rig::new(base_config());
    let list = ["r1", "r2", "r3", "r4", "r5", "r6", "w1", "w2"];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        list.iter()
            .map(|name| endpoint(name, 0, Status::Ready, None))
            .collect(),
    );
    let spec = |id, now| RequestSpec {
        request: RequestId(id),
        prefix: Some(Arc::from("p")),
        prefix_tokens: 1_900,
        ..request_spec(now, "safe")
    };
    let prefill_workers: Vec<String> = (0..16)
        .map(|id| sent_to(&rig.request_with(spec(id, rig.now))).join(" "))
        .collect();
    assert!(
        prefill_workers[..4]
            .iter()
            .all(|worker| *worker == prefill_workers[0]),
        "the first prefills go to the holder: {prefill_workers:?}"
    );
    assert!(
        prefill_workers
            .iter()
            .any(|worker| *worker != prefill_workers[0]),
        "other workers stay idle: {prefill_workers:?}"
    );
}

/// Guards against ejecting most prefill workers, and overloading the rest, because some answers are lost on the way: a
/// timeout counts as a failure only if the worker has not answered a later send.
#[test]
fn timeout_overtaken_by_a_later_answer_does_not_count_as_failure() {
    for later_send_is_answered in [true, false] {
        let mut rig = Rig::fleet(base_config());
        let spec = |id, now| RequestSpec {
            request: RequestId(id),
            prefix: Some(Arc::from("p")),
            prefix_tokens: 1_900,
            ..request_spec(now, "safe")
        };
        let mut owner = String::new();
        for id in 1..=4 {
            owner = sent_to(&rig.request_with(spec(id, rig.now)))[0].to_owned();
            rig.now += MS;
        }
        let (answered_id, lost_ids) = if later_send_is_answered {
            (4, [1, 2, 3])
        } else {
            (1, [2, 3, 4])
        };
        rig.complete(answered_id, 0, AttemptOutcome::Prefilled);
        rig.now += 900 * MS;
        for id in lost_ids {
            rig.complete(id, 0, AttemptOutcome::TimedOut);
        }
        assert_eq!(
            sent_to(&rig.request_with(spec(9, rig.now))) == [owner.as_str()],
            later_send_is_answered
        );
    }
}

/// Guards against a prefill worker that answers one class but not another: only the unanswered class is sent elsewhere.
#[test]
fn class_with_lost_answers_moves_away_and_other_classes_stay() {
    let mut rig = Rig::new(base_config());
    let list = ["r1", "r2", "r3", "r4", "r5", "r6", "w1", "w2"];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        list.iter()
            .map(|name| endpoint(name, 0, Status::Ready, None))
            .collect(),
    );
    let spec = |id, now, class| RequestSpec {
        request: RequestId(id),
        prefix: Some(Arc::from("p")),
        prefix_tokens: 1_900,
        ..request_spec(now, class)
    };
    let owner = sent_to(&rig.request_with(spec(1, rig.now, "safe"))).join(" ");
    rig.now += MS;
    assert_eq!(
        sent_to(&rig.request_with(spec(2, rig.now, "safe"))),
        [owner.as_str()]
    );
    rig.now += MS;
    assert_eq!(
        sent_to(&rig.request_with(spec(3, rig.now, "once"))),
        [owner.as_str()]
    );
    rig.complete(3, 0, AttemptOutcome::Prefilled);
    rig.now += 600 * MS;
    rig.complete(1, 0, AttemptOutcome::TimedOut);
    rig.complete(2, 0, AttemptOutcome::TimedOut);
    assert_ne!(
        sent_to(&rig.request_with(spec(4, rig.now, "safe"))),
        [owner.as_str()]
    );
    assert_eq!(
        sent_to(&rig.request_with(spec(5, rig.now, "once"))),
        [owner.as_str()]
    );
    // By now the cached prefix and the lost answers are forgotten.
    rig.advance(40 * SECOND);
    for (id, attempt) in [(4, 0), (5, 0)] {
        rig.complete(id, attempt, AttemptOutcome::Cancelled);
    }
    assert_eq!(
        sent_to(&rig.request_with(spec(6, rig.now, "safe"))),
        [owner.as_str()],
        "the worker is tried again"
    );
}

/// Guards against a decode worker that answers one class but not another. For the unanswered class it counts as full.
#[test]
fn class_with_lost_answers_moves_to_another_decode_worker() {
    let mut rig = Rig::new(base_config());
    let list = ["r1", "w1", "w2"];
    rig.update_endpoints(
        EndpointUpdate::Restored,
        list.iter()
            .map(|name| endpoint(name, 0, Status::Ready, None))
            .collect(),
    );
    let run_to_decode = |rig: &mut Rig, id: u64, class| {
        rig.now += MS;
        rig.request(id, class);
        sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled))[0].to_owned()
    };
    // Each decode worker gets one request. Then w1 answers another class, but not the request that it got before.
    let first_workers = [
        run_to_decode(&mut rig, 1, "safe"),
        run_to_decode(&mut rig, 2, "safe"),
    ];
    let lost_id = 1 + first_workers
        .iter()
        .position(|worker| worker == "w1")
        .expect("the second request goes to the other decode worker") as u64;
    let answered = (10..100).find(|id| {
        let is_at_w1 = run_to_decode(&mut rig, *id, "cell") == "w1";
        rig.complete(*id, 1, AttemptOutcome::Served);
        is_at_w1
    });
    assert!(answered.is_some());
    rig.advance(600 * MS);
    assert_eq!(
        sent_to(&rig.complete(lost_id, 1, AttemptOutcome::TimedOut)),
        ["w2"],
        "the held KV state is decoded at the other worker"
    );
    rig.complete(lost_id, 2, AttemptOutcome::Served);
    rig.complete(3 - lost_id, 1, AttemptOutcome::Served);
    let count_at_w1 = |rig: &mut Rig, ids: std::ops::Range<u64>, class| {
        let at_w1 = ids.filter(|id| {
            let is_at_w1 = run_to_decode(rig, *id, class) == "w1";
            rig.complete(*id, 1, AttemptOutcome::Served);
            is_at_w1
        });
        at_w1.count()
    };
    assert_eq!(count_at_w1(&mut rig, 100..120, "safe"), 0);
    assert!(count_at_w1(&mut rig, 120..140, "cell") > 0);
}

/// Guards against a decode worker that starts its streams immediately and then decodes slowly. By its first tokens
/// alone it looks healthy, and it is near the prefill worker.
#[test]
fn decode_worker_with_slow_streams_is_avoided() {
    let mut rig = Rig::new(base_config());
    let list = [("r1", 0), ("w1", 0), ("w2", 0), ("w3", 1)];
    let list = list
        .iter()
        .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None));
    rig.update_endpoints(EndpointUpdate::Restored, list.collect());
    let start_stream = |rig: &mut Rig, id: u64| {
        rig.now += MS;
        rig.request(id, "safe");
        let decode_worker = sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled))[0].to_owned();
        let (request, attempt) = (RequestId(id), AttemptIndex(1));
        rig.event(Event::StreamStarted {
            request,
            attempt,
            elapsed: 20 * MS,
        });
        decode_worker
    };
    let placements: Vec<(u64, String)> =
        (1..20).map(|id| (id, start_stream(&mut rig, id))).collect();
    assert!(
        ["w1", "w2", "w3"]
            .iter()
            .all(|name| placements.iter().any(|(_, worker)| worker == name))
    );
    for (duration, is_slow) in [(500 * MS, false), (8 * SECOND, true)] {
        rig.advance(duration);
        for (id, _) in placements
            .iter()
            .filter(|(_, worker)| (worker == "w1") == is_slow)
        {
            rig.complete(*id, 1, AttemptOutcome::Served);
        }
    }
    // All streams have ended, and no decode worker has any load.
    for id in 100..120 {
        assert_ne!(start_stream(&mut rig, id), "w1");
        rig.now += 100 * MS;
        rig.complete(id, 1, AttemptOutcome::Served);
    }
}

/// Guards against decode workers that count as slow because they have running streams while others have none: there is
/// no usual duration before a stream has ended.
#[test]
fn no_stream_counts_as_slow_before_one_has_ended() {
    let mut rig = Rig::new(base_config());
    let list = [("r1", 0), ("r2", 1), ("w1", 0), ("w2", 1)];
    let list = list
        .iter()
        .map(|(name, cell)| endpoint(name, *cell, Status::Ready, None));
    rig.update_endpoints(EndpointUpdate::Restored, list.collect());
    for id in 1..5 {
        rig.now += 200 * MS;
        let prefill_worker = sent_to(&rig.request_with(RequestSpec {
            request: RequestId(id),
            prompt_tokens: 500,
            ..request_spec(rig.now, "safe")
        }))[0]
            .to_owned();
        let near_decode_worker = prefill_worker.replace('r', "w");
        assert_eq!(
            sent_to(&rig.complete(id, 0, AttemptOutcome::Prefilled)),
            [near_decode_worker.as_str()]
        );
        let (request, attempt) = (RequestId(id), AttemptIndex(1));
        rig.event(Event::StreamStarted {
            request,
            attempt,
            elapsed: 20 * MS,
        });
    }
}

/// Guards against limits that a large deployment reaches: at one of 350 routers, a full list of 1,024 workers and a
/// change of all of them.
#[test]
fn requests_are_served_across_updates_of_a_large_endpoint_list() {
    let mut rig = Rig::new(RoutingConfig {
        routers: 350,
        index: Some(349),
        ..base_config()
    });
    let list = |status, started| {
        let names = |role: &'static str| (0..512).map(move |i| (format!("{role}{i}"), i / 6));
        names("r")
            .chain(names("w"))
            .map(|(name, cell)| endpoint(&name, cell, status, started))
            .collect::<Vec<_>>()
    };
    let send_count = |actions: &[Action]| {
        actions
            .iter()
            .filter(|action| matches!(action, Action::Send { .. }))
            .count()
    };
    rig.update_endpoints(EndpointUpdate::Restored, list(Status::Ready, None));
    for id in 1..=64 {
        assert_eq!(send_count(&rig.request(id, "safe")), 1, "request {id}");
        assert_eq!(
            send_count(&rig.complete(id, 0, AttemptOutcome::Prefilled)),
            1,
            "request {id}"
        );
        rig.complete(id, 1, AttemptOutcome::Served);
    }
    rig.now += 2 * SECOND;
    let started = Some(rig.now);
    rig.update_endpoints(EndpointUpdate::Incremental, list(Status::Ready, started));
    rig.update_endpoints(EndpointUpdate::Incremental, list(Status::Draining, started));
    assert_eq!(send_count(&rig.request(65, "safe")), 0);
    rig.update_endpoints(EndpointUpdate::Full, list(Status::Ready, None));
    assert_eq!(send_count(&rig.request(66, "safe")), 1);
}

/// Guards against a process that spends all of its time on the queue, because each completed attempt leads to a pass
/// over all queued requests.
#[test]
fn long_queue_is_dispatched_in_batches() {
    let mut rig = Rig::fleet(base_config());
    // All prefill workers drain, so that later requests are queued.
    for id in 0..10 {
        rig.request(id, "safe");
    }
    let draining = |name: &str, cell| endpoint(name, cell, Status::Draining, None);
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        vec![draining("r1", 0), draining("r2", 1)],
    );
    for id in 100..200 {
        rig.request(id, "safe");
    }
    rig.update_endpoints(
        EndpointUpdate::Incremental,
        ["r1", "r2"]
            .map(|name| endpoint(name, 0, Status::Ready, None))
            .to_vec(),
    );
    let mut immediate_actions = Vec::new();
    for id in 0..10 {
        immediate_actions.extend(rig.complete(id, 0, AttemptOutcome::Prefilled));
    }
    let prefill_count = |actions: &[Action]| {
        sent_to(actions)
            .iter()
            .filter(|worker| worker.starts_with('r'))
            .count()
    };
    assert_eq!(prefill_count(&immediate_actions), 0);
    assert!(
        prefill_count(&rig.advance(10 * MS)) > 0,
        "the queue is not dispatched in time"
    );
}
