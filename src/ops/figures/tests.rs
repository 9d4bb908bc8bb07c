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

fn lines(figures: &Figures, known: &[RequestClass]) -> Vec<String> {
    figures
        .report(known, Gauges::default())
        .to_string()
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn a_report_names_each_class_of_the_settings_before_anything_of_it_has_ended() {
    let figures = Rc::new(Figures::default());
    let gauges = Gauges {
        upstream_tries: 1,
        known_model_hosts: 2,
        skipped_model_hosts: 3,
        loads: 4,
        load_errors: 5,
    };
    let wanted = "conductor.passed.chat=0\nconductor.dropped.chat=0\nconductor.bad_gateway.chat=0\n\
                  conductor.upstream_tries=1\nconductor.in_progress=0\nconductor.known_model_hosts=2\n\
                  conductor.skipped_model_hosts=3\nconductor.loads=4\nconductor.load_errors=5\n";
    assert_eq!(
        figures.report(&classes(&["chat"]), gauges).to_string(),
        wanted
    );
}

#[test]
fn a_request_is_counted_once_and_in_progress_from_its_last_byte_to_its_end() {
    let (figures, known) = (Rc::new(Figures::default()), classes(&["chat"]));
    let tally = figures.begin(Some("chat"), &known);
    assert!(lines(&figures, &known).contains(&"conductor.in_progress=0".into()));
    tally.take();
    tally.take();
    assert!(lines(&figures, &known).contains(&"conductor.in_progress=1".into()));
    tally.end(Ending::Passed);
    tally.end(Ending::BadGateway);
    tally.take();
    drop(tally);
    let lines = lines(&figures, &known);
    for line in ["passed.chat=1", "bad_gateway.chat=0", "in_progress=0"] {
        assert!(lines.contains(&format!("conductor.{line}")), "{lines:?}");
    }
}

#[test]
fn one_whose_client_left_is_no_longer_in_progress_and_not_counted() {
    let (figures, known) = (Rc::new(Figures::default()), classes(&["chat"]));
    let tally = figures.begin(Some("chat"), &known);
    tally.take();
    drop(tally);
    assert!(
        lines(&figures, &known)
            .iter()
            .all(|line| line.ends_with("=0"))
    );
}

/// Guards against memory that grows with each name that a client makes up, and against counts lost at a
/// reload.
#[test]
fn classes_that_are_unknown_leave_nothing_and_those_that_went_keep_their_counts() {
    let (figures, known) = (Rc::new(Figures::default()), classes(&["chat"]));
    figures
        .begin(Some("nobody's"), &known)
        .end(Ending::BadGateway);
    figures.begin(None, &known).end(Ending::BadGateway);
    assert!(
        lines(&figures, &known)
            .iter()
            .all(|line| line.ends_with("=0") && !line.contains("nobody"))
    );
    figures.begin(Some("chat"), &known).end(Ending::Dropped);
    let lines = lines(&figures, &classes(&["batch"]));
    for line in ["dropped.chat=1", "dropped.batch=0"] {
        assert!(lines.contains(&format!("conductor.{line}")), "{lines:?}");
    }
}

#[test]
fn only_429_and_503_are_refusals() {
    let of = |status| Ending::of_status(StatusCode::from_u16(status).unwrap());
    assert_eq!([429, 503].map(of), [Ending::Dropped; 2]);
    assert_eq!(
        [400, 409, 413, 500, 502, 504].map(of),
        [Ending::BadGateway; 6]
    );
}
