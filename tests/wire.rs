//! Transcripts through the host program.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Output, Stdio};
use whinhaven::wire::read_settings;

fn host(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_whinhaven-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(input.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

fn line(fields: &[&str]) -> String {
    fields.join("\t") + "\n"
}

const SETTINGS: [&str; 21] = [
    "classes.count=1",
    "classes.0.name=chat",
    "classes.0.effect=read_like",
    "classes.0.objective_us=1000000",
    "classes.0.give_up_us=8000000",
    "skus=rd,wr",
    "family_info.role_by_kind=read,write",
    "family_info.kv_tokens=200000,150000",
    "family_info.release_us=500000",
    "my_zone=here",
    "registry_mode=pushed",
    "replicas_of_me=2",
    "permissions.max_attempts=4",
    "permissions.may_cancel=true",
    "permissions.connect_timeout_us=250000",
    "rules.drain_grace_us=500000",
    "rules.cold_from=0.3",
    "rules.cold_us=9000000",
    "rules.fall_multiple=2.5",
    "rules.fall_us=1000000",
    "a.key.nobody.knows=1",
];

fn init(router: &str) -> String {
    let list = line(&["MEMBERSHIP", router, "SAVED", "1", "2"])
        + &line(&[
            "ENTRY",
            "10.0.0.1:1",
            "here",
            "rd",
            "0",
            "in_service",
            "1",
            "-",
        ])
        + &line(&[
            "ENTRY",
            "10.0.0.2:1",
            "here",
            "wr",
            "0",
            "in_service",
            "1",
            "-",
        ]);
    line(&[&["INIT", router, "7"], &SETTINGS[..]].concat()) + &list
}

fn ask(router: &str, id: &str) -> String {
    line(&[
        "ASK", router, id, "5000000", "-", "0", "-", "200", "900", "0", "-", "chat", "0",
    ])
}

fn batch(clock: &str, events: &str) -> String {
    format!("TICK\t{clock}\n{events}EOB\n")
}

#[test]
fn a_request_passes_both_stages() {
    let closed = |hop: &str, worker: &str, how: &str, settled: &str, load: &str| {
        line(&[
            "CLOSED_ATTEMPT",
            "3",
            "9",
            hop,
            worker,
            how,
            "40000",
            settled,
            "0",
            load,
        ])
    };
    let output = host(
        &(batch("1000000", "")
            + &batch("1001000", &(init("3") + &ask("3", "9")))
            + &batch(
                "1041000",
                &closed(
                    "0",
                    "10.0.0.1:1",
                    "half_done",
                    "0",
                    "busy_reqs:1,x0:0.2,novelty:3",
                ),
            )
            + &batch(
                "1060000",
                &line(&["UNDER_WAY", "3", "9", "10.0.0.2:1", "19000", "1"]),
            )
            + &batch("1900000", &closed("1", "10.0.0.2:1", "served", "1", "-"))),
    );
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let text = String::from_utf8(output.stdout).unwrap();
    let sends: Vec<&str> = text.lines().filter(|l| l.starts_with("DELIVER")).collect();
    assert_eq!(sends.len(), 2, "{text}");
    assert!(sends[0].starts_with("DELIVER\t3\t9\t10.0.0.1:1\t"));
    assert!(sends[1].starts_with("DELIVER\t3\t9\t10.0.0.2:1\t"));
    assert_eq!(text.lines().filter(|l| *l == "OK").count(), 5);
}

#[test]
fn instances_are_separate_and_restart_within_a_batch() {
    let events = init("1")
        + &init("2")
        + &ask("1", "5")
        + &line(&["SHUTDOWN", "1"])
        + &init("1")
        + &ask("2", "6");
    let late = line(&[
        "CLOSED_ATTEMPT",
        "1",
        "5",
        "0",
        "10.0.0.1:1",
        "half_done",
        "1",
        "0",
        "0",
        "-",
    ]);
    let output = host(&(batch("1000000", &events) + &batch("1002000", &late)));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("DELIVER\t1\t5\t") && text.contains("DELIVER\t2\t6\t"));
    assert!(
        text.ends_with("OK\nOK\n"),
        "the new life knows nothing of the old one's request: {text}"
    );
}

#[test]
fn the_same_transcript_gives_the_same_bytes() {
    let all: String = (0..50).map(|i| ask("1", &i.to_string())).collect();
    let input =
        batch("1000000", &(init("1") + &all)) + &batch("2000000", &line(&["ALARM", "1", "1"]));
    assert_eq!(host(&input).stdout, host(&input).stdout);
}

#[test]
fn malformed_input_names_line_and_field_and_fails() {
    let cases = [
        (batch("1000000", "WHATEVER\t1\n"), "line 2", "1"),
        (
            batch("1000000", &(init("1") + "WHATEVER\t1\n")),
            "line 6",
            "WHATEVER",
        ),
        (batch("x", ""), "line 1", "clock_us"),
        (
            batch("1000000", &(init("1") + "ASK\t1\tabc\n")),
            "line 6",
            "txn",
        ),
        (
            batch("1000000", &(init("1") + "ASK\t1\t4\n")),
            "line 6",
            "client_deadline_us",
        ),
        (batch("1000000", &ask("8", "1")), "line 2", "router"),
        ("TICK\t1000000\n".to_owned(), "line 2", "EOB"),
        (
            batch("1000000", &init("1").replace("my_zone=here\t", "")),
            "line 2",
            "my_zone",
        ),
        ("EOB\n".to_owned(), "line 1", "TICK"),
    ];
    for (input, place, what) in cases {
        let output = host(&input);
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success(), "{input:?} was accepted");
        assert!(
            error.contains(place) && error.contains(what),
            "{input:?}: {error}"
        );
    }
}

#[test]
fn a_clean_end_is_a_success() {
    let output = host(&batch("1000000", ""));
    assert!(output.status.success());
    assert_eq!(output.stdout, b"OK\n");
}

/// Guards against settings from which nonsense follows: they are turned down whole, and the line names the field.
#[rstest]
fn settings_with_figures_that_can_t_be_are_turned_down(
    #[values(
        "family_info.kv_tokens=0,150000",
        "family_info.kv_tokens=-5,150000",
        "family_info.kv_tokens=1e30,150000",
        "family_info.aim_us_per_1000_prompt_tokens=-1",
        "family_info.token_aim_us=inf",
        "family_info.release_us=-500000",
        "classes.0.objective_us=NaN",
        "classes.0.give_up_us=1e300",
        "classes.0.repeat_window_us=-1",
        "classes.0.value=-3",
        "classes.0.late_share=NaN",
        "rules.cold_from=1.5",
        "rules.cold_from=NaN",
        "rules.cold_us=-9",
        "rules.fall_multiple=0",
        "rules.fall_multiple=inf",
        "rules.fall_us=NaN",
        "over_share_worth=-0.1"
    )]
    wrong: &str,
) {
    let (field, _) = wrong.split_once('=').unwrap();
    let pairs = SETTINGS
        .into_iter()
        .chain([wrong])
        .filter_map(|pair| pair.split_once('='));
    let error = read_settings(pairs).unwrap_err();
    assert!(error.contains(field) && !error.contains('\n'), "{error}");
}

#[rstest]
#[case("0")]
#[case("-1")]
#[case("inf")]
fn a_tenants_rate_that_can_t_be_is_turned_down(#[case] rate: &str) {
    let rate = format!("tenants.0.quota_rps={rate}");
    let tenant = ["tenants.count=1", "tenants.0.name=t", &rate];
    let pairs = SETTINGS
        .into_iter()
        .chain(tenant)
        .filter_map(|pair| pair.split_once('='));
    assert!(
        read_settings(pairs)
            .unwrap_err()
            .contains("tenants.0.quota_rps")
    );
}

/// Guards against an estimate without its settings: what none of them states has a default.
#[test]
fn settings_without_aims_by_length_memory_or_number_are_enough() {
    let bare = SETTINGS
        .into_iter()
        .filter(|pair| !pair.starts_with("family_info.kv_tokens"));
    let settings = read_settings(bare.filter_map(|pair| pair.split_once('='))).unwrap();
    assert_eq!(settings.index, None);
    assert_eq!(settings.kinds[0].memory_tokens, None);
    assert_eq!(settings.classes[0].ttft_objective_per_1000_tokens, 0);
}
