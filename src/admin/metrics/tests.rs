use super::*;

fn classes(names: &[&str]) -> Vec<RequestClass> {
    names
        .iter()
        .map(|name| RequestClass {
            name: (*name).into(),
            ..RequestClass::default()
        })
        .collect()
}

fn lines(metrics: &Metrics, known: &[RequestClass]) -> Vec<String> {
    metrics
        .report(known, Gauges::default())
        .to_string()
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn report_lists_all_configured_classes_before_any_request_has_ended() {
    let metrics = Rc::new(Metrics::default());
    let gauges = Gauges {
        upstream_tries: 1,
        known_model_hosts: 2,
        skipped_model_hosts: 3,
        loads: 4,
        load_errors: 5,
    };
    let expected = "conductor.passed.chat=0\nconductor.dropped.chat=0\nconductor.bad_gateway.chat=0\n\
                  conductor.upstream_tries=1\nconductor.in_progress=0\nconductor.known_model_hosts=2\n\
                  conductor.skipped_model_hosts=3\nconductor.loads=4\nconductor.load_errors=5\n";
    assert_eq!(
        metrics.report(&classes(&["chat"]), gauges).to_string(),
        expected
    );
}

#[test]
fn request_is_counted_once_and_in_progress_from_its_last_byte_to_its_end() {
    let (metrics, known) = (Rc::new(Metrics::default()), classes(&["chat"]));
    let request = metrics.begin(Some("chat"), &known);
    assert!(lines(&metrics, &known).contains(&"conductor.in_progress=0".into()));
    request.begin_progress();
    request.begin_progress();
    assert!(lines(&metrics, &known).contains(&"conductor.in_progress=1".into()));
    request.end(RequestOutcome::Served);
    request.end(RequestOutcome::Failed);
    request.begin_progress();
    drop(request);
    let lines = lines(&metrics, &known);
    for line in ["passed.chat=1", "bad_gateway.chat=0", "in_progress=0"] {
        assert!(lines.contains(&format!("conductor.{line}")), "{lines:?}");
    }
}

#[test]
fn disconnected_request_is_neither_in_progress_nor_counted() {
    let (metrics, known) = (Rc::new(Metrics::default()), classes(&["chat"]));
    let request = metrics.begin(Some("chat"), &known);
    request.begin_progress();
    drop(request);
    assert!(
        lines(&metrics, &known)
            .iter()
            .all(|line| line.ends_with("=0"))
    );
}

/// Guards against memory that grows with every class name that clients invent, and against counts lost at a reload.
#[test]
fn unknown_classes_are_not_counted_and_removed_classes_keep_their_counts() {
    let (metrics, known) = (Rc::new(Metrics::default()), classes(&["chat"]));
    metrics
        .begin(Some("nobody's"), &known)
        .end(RequestOutcome::Failed);
    metrics.begin(None, &known).end(RequestOutcome::Failed);
    assert!(
        lines(&metrics, &known)
            .iter()
            .all(|line| line.ends_with("=0") && !line.contains("nobody"))
    );
    metrics
        .begin(Some("chat"), &known)
        .end(RequestOutcome::Rejected);
    let lines = lines(&metrics, &classes(&["batch"]));
    for line in ["dropped.chat=1", "dropped.batch=0"] {
        assert!(lines.contains(&format!("conductor.{line}")), "{lines:?}");
    }
}

#[test]
fn only_429_and_503_count_as_rejected() {
    let outcome_of = |status| RequestOutcome::of_status(StatusCode::from_u16(status).unwrap());
    assert_eq!([429, 503].map(outcome_of), [RequestOutcome::Rejected; 2]);
    assert_eq!(
        [400, 409, 413, 500, 502, 504].map(outcome_of),
        [RequestOutcome::Failed; 6]
    );
}
