use super::*;
use crate::routing::types::{AttemptOutcome, Idempotency, RequestClass, WorkerId};

/// Guards against unbounded memory: clients choose tenant names, and each name that a worker rejects adds an
/// entry.
#[test]
fn expired_full_marks_of_tenants_are_removed() {
    let mut worker = Worker::default();
    for i in 0..10_000 {
        worker.mark_full(
            CapacityKey {
                class: 0,
                tenant: Some(i.to_string()),
            },
            i,
            i + 10,
        );
        assert!(worker.is_full(
            &CapacityKey {
                class: 0,
                tenant: Some(i.to_string()),
            },
            i
        ));
    }
    assert!(worker.full_until.len() <= 10, "{}", worker.full_until.len());
}

/// Guards against a retry of a non-idempotent request after an update has made its class idempotent while the
/// request was in flight.
#[test]
fn requests_in_flight_keep_their_class_after_a_config_update() {
    let classes = |names: &[&str], idempotency| -> Vec<RequestClass> {
        names
            .iter()
            .map(|name| RequestClass {
                name: (*name).into(),
                idempotency,
                ..RequestClass::default()
            })
            .collect()
    };
    let spec = |class: &str| RequestSpec {
        request: RequestId(1),
        deadline: 1,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 0,
        duration_hint: None,
        class: class.into(),
        tenant: None,
    };
    let mut requests = Vec::new();
    let mut merged = merge_classes(
        &[],
        &classes(&["explain", "send"], Idempotency::NonIdempotent),
        [].iter_mut(),
    );
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Idempotent,
    ] {
        requests.push(Request::new(
            spec("send"),
            class_index(&merged, "send"),
            0,
            false,
            6,
        ));
        merged = merge_classes(
            &merged,
            &classes(&["send", "new"], idempotency),
            requests.iter_mut(),
        );
    }
    let of_requests: Vec<Idempotency> = requests
        .iter()
        .map(|request| merged[request.class].idempotency)
        .collect();
    assert_eq!(
        of_requests,
        [
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(
        merged[class_index(&merged, "send")].idempotency,
        Idempotency::Idempotent
    );
    // Classes kept for requests in flight have no name, and a request without a class name does not match
    // them.
    assert_eq!(
        (class_index(&merged, "explain"), class_index(&merged, "")),
        (merged.len() - 1, merged.len() - 1)
    );
    // Repeated updates leave no classes that no request in flight uses.
    for _ in 0..9 {
        merged = merge_classes(
            &merged,
            &classes(&["send"], Idempotency::Idempotent),
            requests.iter_mut(),
        );
    }
    assert_eq!(merged.len(), 1 + 3 + 1);
}

/// Guards against a second run of a request that a decode worker has accepted and then answered with an
/// outcome that is meant for prefill workers only.
#[test]
fn prefill_outcome_of_a_decode_worker_does_not_rule_out_a_run() {
    let attempt = |is_decode, outcome| Attempt {
        worker: WorkerId("w".into()),
        is_decode,
        distance: Distance::SameCell,
        sent_at: 0,
        due_at: 1,
        load_tokens: 0.0,
        work_tokens: 0.0,
        outcome,
        first_token_at: None,
    };
    let spec = RequestSpec {
        request: RequestId(1),
        deadline: 1,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 1,
        max_tokens: 0,
        duration_hint: None,
        class: String::new(),
        tenant: None,
    };
    let mut request = Request::new(spec, 0, 0, false, 6);
    let cases = [
        (false, None, true),
        (false, Some(AttemptOutcome::Prefilled), false),
        (false, Some(AttemptOutcome::TimedOut), false),
        (true, None, true),
        (true, Some(AttemptOutcome::Prefilled), true),
        (true, Some(AttemptOutcome::TimedOut), true),
        (true, Some(AttemptOutcome::KvStateMissing), false),
        (true, Some(AttemptOutcome::Rejected), false),
        (true, Some(AttemptOutcome::ConnectFailed), false),
    ];
    for (is_decode, outcome, may_have_run) in cases {
        request.attempts = vec![attempt(is_decode, outcome)];
        assert_eq!(
            request.may_have_run(),
            may_have_run,
            "is_decode: {is_decode}, {outcome:?}"
        );
    }
}
