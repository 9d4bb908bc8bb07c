use super::*;
use crate::routing::types::{AttemptOutcome, Idempotency, RequestClass, WorkerId};

/// Guards against memory that grows with every tenant's name that a client makes up.
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

/// Guards against a repeat of what must not run twice, because the class was changed while it was in hand.
#[test]
fn requests_in_flight_keep_their_class_after_a_config_update() {
    let classes = |names: &[&str], effect| -> Vec<RequestClass> {
        names
            .iter()
            .map(|n| RequestClass {
                name: (*n).into(),
                idempotency: effect,
                ..RequestClass::default()
            })
            .collect()
    };
    let ask = |class: &str| RequestSpec {
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
    let mut all = merge_classes(
        &[],
        &classes(&["explain", "send"], Idempotency::NonIdempotent),
        [].iter_mut(),
    );
    for effect in [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Idempotent,
    ] {
        requests.push(Request::new(
            ask("send"),
            class_index(&all, "send"),
            0,
            false,
            6,
        ));
        all = merge_classes(
            &all,
            &classes(&["send", "new"], effect),
            requests.iter_mut(),
        );
    }
    let kept: Vec<Idempotency> = requests.iter().map(|r| all[r.class].idempotency).collect();
    assert_eq!(
        kept,
        [
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent
        ]
    );
    assert_eq!(
        all[class_index(&all, "send")].idempotency,
        Idempotency::Idempotent
    );
    // Those kept have no name, and a request without one does not find them either.
    assert_eq!(
        (class_index(&all, "explain"), class_index(&all, "")),
        (all.len() - 1, all.len() - 1)
    );
    // What no request in hand needs is gone, however often settings come.
    for _ in 0..9 {
        all = merge_classes(
            &all,
            &classes(&["send"], Idempotency::Idempotent),
            requests.iter_mut(),
        );
    }
    assert_eq!(all.len(), 1 + 3 + 1);
}

/// Guards against a second run of what a writer has taken, because its answer is one that only readers give.
#[test]
fn prefill_outcome_of_a_decode_worker_does_not_rule_out_a_run() {
    let attempt = |writes, outcome| Attempt {
        worker: WorkerId("w".into()),
        is_decode: writes,
        distance: Distance::SameCell,
        sent_at: 0,
        due_at: 1,
        tokens: 0.0,
        work: 0.0,
        outcome,
        first_token_at: None,
    };
    let ask = RequestSpec {
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
    let mut request = Request::new(ask, 0, 0, false, 6);
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
    for (writes, outcome, may_have_run) in cases {
        request.attempts = vec![attempt(writes, outcome)];
        assert_eq!(
            request.may_have_run(),
            may_have_run,
            "writes: {writes}, {outcome:?}"
        );
    }
}
