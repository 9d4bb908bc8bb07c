//! Pins the simulator's wire and the decisions behind it: recorded transcripts give the recorded actions, byte for
//! byte.
//!
//! The transcripts in `tests/golden/simulator/` are fixed. Code that answers one of them otherwise has changed a
//! decision or the wire, and is at fault; the files are not to be recorded anew for it.

use rstest::rstest;
use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::thread;

const SHORT_DAY_INPUT: &str = include_str!("golden/simulator/short_day.input.txt");
const SHORT_DAY_EXPECTED: &str = include_str!("golden/simulator/short_day.expected.txt");
const BUSY_DAY_INPUT: &str = include_str!("golden/simulator/busy_day.input.txt");
const BUSY_DAY_EXPECTED: &str = include_str!("golden/simulator/busy_day.expected.txt");

/// Hosts of the busy day that have just started when the lists first name them.
const FRESH_HOSTS: [&str; 3] = ["10.1.0.4:70", "10.2.0.5:80", "10.3.0.3:90"];

fn start_adapter() -> Child {
    Command::new(env!("CARGO_BIN_EXE_whinhaven-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap()
}

/// What the adapter writes for the transcript.
fn replies(transcript: &'static str) -> String {
    let mut adapter = start_adapter();
    let mut input = adapter.stdin.take().unwrap();
    // The pipes hold less than a transcript: written and read at the same time.
    let writer = thread::spawn(move || input.write_all(transcript.as_bytes()));
    let output = adapter.wait_with_output().unwrap();
    writer.join().unwrap().unwrap();
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

fn first_difference(found: &str, expected: &str) -> Option<String> {
    let number = found
        .lines()
        .zip(expected.lines())
        .position(|(found, expected)| found != expected)?;
    let line = |text: &str| text.lines().nth(number).unwrap_or_default().to_owned();
    Some(format!(
        "line {}: found {:?}, expected {:?}",
        number + 1,
        line(found),
        line(expected)
    ))
}

/// The values of one field, counted from 0, over all lines with this message.
fn values<'a>(text: &'a str, message: &str, field: usize) -> BTreeSet<&'a str> {
    text.lines()
        .map(|line| line.split('\t').collect::<Vec<_>>())
        .filter(|fields| fields[0] == message)
        .map(|fields| fields[field])
        .collect()
}

#[rstest]
#[case::short_day(SHORT_DAY_INPUT, SHORT_DAY_EXPECTED)]
#[case::busy_day(BUSY_DAY_INPUT, BUSY_DAY_EXPECTED)]
fn transcript_gives_the_recorded_actions(#[case] transcript: &'static str, #[case] expected: &str) {
    let found = replies(transcript);
    let difference = first_difference(&found, expected);
    assert_eq!(difference, None);
    assert!(found == expected, "one is the beginning of the other");
}

#[test]
fn transcripts_hold_every_outcome_class_and_kind_of_list() {
    let outcomes = [
        "called_off",
        "connection_lost",
        "half_done",
        "no_answer",
        "no_connection",
        "not_sent",
        "served",
        "server_error",
        "turned_away",
    ];
    assert_eq!(values(BUSY_DAY_INPUT, "CLOSED_ATTEMPT", 5), outcomes.into());
    let lists = ["FAILED", "FULL", "INCREMENTAL", "SAVED"];
    assert_eq!(values(BUSY_DAY_INPUT, "MEMBERSHIP", 2), lists.into());
    let classes = ["celled", "note", "pay", "talk", "zoned"];
    assert_eq!(values(BUSY_DAY_INPUT, "ASK", 11), classes.into());
    let statuses = ["in_service", "terminated", "terminating"];
    assert_eq!(values(BUSY_DAY_INPUT, "ENTRY", 5), statuses.into());
}

#[test]
fn transcripts_hold_every_message_of_both_sides() {
    let messages = |text| -> BTreeSet<&'static str> {
        str::lines(text)
            .filter_map(|line| line.split('\t').next())
            .collect()
    };
    let received = [
        "ALARM",
        "ASK",
        "CLIENT_LEFT",
        "CLOSED_ATTEMPT",
        "ENTRY",
        "EOB",
        "INIT",
        "MEMBERSHIP",
        "PEER_DATA",
        "PROBED",
        "SEAT_NEWS",
        "SHUTDOWN",
        "TICK",
        "UNDER_WAY",
    ];
    let sent = [
        "AFTER",
        "DECLINE",
        "DELIVER",
        "DROP_ATTEMPT",
        "DROP_STATE",
        "FAIL",
        "OK",
        "TRACK",
    ];
    for input in [SHORT_DAY_INPUT, BUSY_DAY_INPUT] {
        assert_eq!(messages(input), received.into());
    }
    for expected in [SHORT_DAY_EXPECTED, BUSY_DAY_EXPECTED] {
        assert_eq!(messages(expected), sent.into());
    }
}

#[test]
fn hosts_that_have_just_started_get_work_in_the_busy_day() {
    let targets = values(BUSY_DAY_EXPECTED, "DELIVER", 3);
    for host in FRESH_HOSTS {
        assert!(targets.contains(host), "{host}");
    }
}
