use super::*;
use rstest::rstest;
use serde_json::{Value, json};

fn record(at_ms: u64, source: &str, event: &str, fields: Value) -> Record {
    let Value::Object(fields) = fields else {
        panic!("an object")
    };
    Record {
        order: 0,
        at_us: at_ms * MILLISECOND,
        source: source.into(),
        event: event.into(),
        fields,
    }
}

fn asked(class: &str) -> Record {
    record(
        0,
        "client",
        "client.sent",
        json!({ "name": "r", "at": "c1", "class": class, "deadline_us": 2_000_000 }),
    )
}

fn answered(at_ms: u64, status: u64) -> Record {
    record(
        at_ms,
        "client",
        "client.platform",
        json!({ "name": "r", "at": "c1", "status": status }),
    )
}

fn host(at_ms: u64, event: &str) -> Record {
    record(at_ms, "host/reader-1", event, json!({ "id": "r" }))
}

fn judge(records: &[Record]) -> Outcome {
    Rules {
        lateness: Vec::new(),
        failed_exits: Vec::new(),
        stops: Vec::new(),
        judges_times: true,
    }
    .judge(records)
}

/// Guards against an oracle that lets a broken history pass.
#[rstest]
#[case::held_too_long(vec![host(10, "state.held"), host(1_500, "state.released")])]
#[case::held_a_little_too_long(vec![host(10, "state.held"), host(900, "state.released")])]
#[case::held_to_the_end(vec![host(10, "state.held"), answered(20, 502)])]
#[case::ran_twice(vec![host(10, "run.begun"), host(20, "run.begun")])]
#[case::refused_and_ran(vec![host(10, "run.begun"), answered(20, 503)])]
#[case::no_answer(vec![answered(20, 0)])]
#[case::late(vec![answered(3_000, 502)])]
#[case::own_account(vec![record(10, "c1", "log", json!({ "line": "request r: rule broken: sent again though it may have run" }))])]
#[case::caught_panics(vec![record(10, "c1", "log", json!({ "line": "stopped; counters: taken=1 panics=2" }))])]
#[case::panicked(vec![record(10, "c1", "log", json!({ "line": "thread 'main' panicked at" }))])]
fn a_broken_invariant_is_seen(#[case] history: Vec<Record>) {
    let all: Vec<Record> = [asked("send")].into_iter().chain(history).collect();
    assert_eq!(judge(&all).broken.len(), 1, "{:?}", judge(&all).broken);
}

#[rstest]
#[case::taken(vec![host(10, "state.held"), host(500, "state.taken"), host(501, "run.begun"), answered(600, 200)])]
#[case::failed(vec![host(10, "run.begun"), answered(20, 502)])]
#[case::died_with_its_reader(vec![
    host(10, "state.held"),
    record(2_000, "host/reader-1", "host.killed", json!({ "lost": ["r"] })),
])]
#[case::its_conductor_was_killed(vec![
    host(10, "state.held"),
    record(20, "lab", "fault.kill", json!({ "member": "c1" })),
    answered(30, 0),
])]
#[case::its_conductor_was_killed_before_the_read_arrived(vec![
    record(20, "lab", "fault.kill", json!({ "member": "c1" })),
    host(30, "state.held"),
    host(2_000, "state.released"),
    answered(2_010, 0),
])]
#[case::no_host_at_all_could_be_heard(vec![
    host(1, "host.started"),
    host(10, "state.held"),
    record(200, "lab", "soak.begin", json!({ "fault": "Silence([\"reader-1\"])" })),
    record(2_000, "lab", "soak.end", json!({ "fault": "Silence([\"reader-1\"])" })),
    host(2_500, "state.released"),
])]
#[case::its_reader_could_not_be_heard(vec![
    record(5, "lab", "soak.begin", json!({ "fault": "Silence([\"reader-1\"])" })),
    host(10, "state.held"),
    host(3_000, "state.released"),
])]
fn what_is_kept_is_not_called_broken(#[case] history: Vec<Record>) {
    let all: Vec<Record> = [asked("send")].into_iter().chain(history).collect();
    assert_eq!(judge(&all).broken, Vec::<String>::new());
}

#[test]
fn a_machine_that_ran_late_gives_that_much_more_time() {
    let late = Late {
        at_us: 800 * MILLISECOND,
        by_us: 900 * MILLISECOND,
    };
    let rules = Rules {
        lateness: vec![late],
        failed_exits: Vec::new(),
        stops: Vec::new(),
        judges_times: true,
    };
    let all = [
        asked("send"),
        host(10, "state.held"),
        host(1_500, "state.released"),
    ];
    assert!(rules.judge(&all).is_kept());
}

/// Guards against a verdict of the machine's load: without times, only what never happened is broken.
#[test]
fn without_times_a_late_release_is_not_judged_and_a_missing_one_is() {
    let rules = Rules {
        lateness: Vec::new(),
        failed_exits: Vec::new(),
        stops: Vec::new(),
        judges_times: false,
    };
    assert!(
        rules
            .judge(&[
                asked("send"),
                host(10, "state.held"),
                host(5_000, "state.released")
            ])
            .is_kept()
    );
    assert!(
        !rules
            .judge(&[asked("send"), host(10, "state.held"), answered(5_000, 502)])
            .is_kept()
    );
}
