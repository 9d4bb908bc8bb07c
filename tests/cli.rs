//! The command line: what it refuses in one line, what it validates, and how it logs.

mod support;

use rstest::rstest;
use std::process::{Command, Output};
use support::*;

fn whinhaven(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_whinhaven"));
    command
        .args(arguments)
        .env_remove("NODE_CONFIG")
        .output()
        .unwrap()
}

fn check(text: &str) -> Output {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("check-{}-{number}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let done = whinhaven(&["check", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    done
}

fn one_line_error(done: &Output) -> String {
    let error = String::from_utf8(done.stderr.clone()).unwrap();
    assert_eq!(done.status.code(), Some(1), "{error}");
    assert!(
        done.stdout.is_empty() && error.lines().count() == 1 && error.starts_with("whinhaven: "),
        "{error}"
    );
    error
}

#[rstest]
#[case::platform_without_configuration(&[], "NODE_CONFIG is not set")]
#[case::unknown(&["sevre"], "sevre")]
#[case::too_few(&["serve"], "<FILE>")]
#[case::too_many(&["check", "a", "b"], "'b'")]
#[case::no_import(&["import"], "command is missing")]
#[case::no_ask(&["fleet"], "command is missing")]
#[case::log_format(&["--log-format", "xml", "serve", "a"], "xml")]
#[case::no_file(&["check", "/nowhere/a.toml"], "/nowhere/a.toml")]
fn a_wrong_command_line_is_one_line_and_a_failure(#[case] arguments: &[&str], #[case] names: &str) {
    let error = one_line_error(&whinhaven(arguments));
    assert!(error.contains(names), "{error}");
}

/// An operator's file with the tables of a fleet, one line of which is replaced.
fn fleet_file(line: &str, instead: &str) -> String {
    let tables = r#"---
[fleet]
name = "c1"
site = "north"
peer = "127.0.0.1:7101"
key_file = "fleet.key"
voters = ["c1", "c2", "c3"]
peers = { c2 = "127.0.0.1:7102", c3 = "127.0.0.1:7103" }
[store]
path = "c1"
"#;
    assert!(line.is_empty() || tables.contains(line));
    operator_file(
        &["127.0.0.1:1".parse().unwrap()],
        &[],
        &tables.replace(line, instead),
    )
}

#[test]
fn check_says_what_a_good_file_sets_up() {
    let done = check(&fleet_file("name = \"c1\"", "name = \"c1\""));
    let said = String::from_utf8(done.stdout).unwrap();
    assert!(done.status.success() && done.stderr.is_empty() && said.lines().count() == 1);
    assert!(
        said.contains("a voter of 3 at site north, peer address 127.0.0.1:7101"),
        "{said}"
    );
}

#[rstest]
#[case("name = \"c1\"", "name = \"c 1\"", "fleet.name")]
#[case("site = \"north\"", "", "fleet.site: is missing")]
#[case("peer = \"127.0.0.1:7101\"", "peer = \"127.0.0.1\"", "fleet.peer")]
#[case(
    "peer = \"127.0.0.1:7101\"",
    "peer = \"127.0.0.1:7102\"",
    "fleet.peers: c2"
)]
#[case(
    "key_file = \"fleet.key\"",
    "key_fil = \"fleet.key\"",
    "fleet.key_file: is missing"
)]
#[case(
    "key_file = \"fleet.key\"",
    "key_file = \"fleet.key\"\nspeed = 1",
    "fleet.speed: there is no such field"
)]
#[case(
    "[\"c1\", \"c2\", \"c3\"]",
    "[\"c1\", \"c2\"]",
    "fleet.voters: 1, 3 or 5"
)]
#[case(
    "[\"c1\", \"c2\", \"c3\"]",
    "[\"c1\", \"c2\", \"c4\"]",
    "fleet.voters: c4"
)]
#[case("127.0.0.1:7103", "127.0.0.1:7102", "fleet.peers: c2 and c3")]
#[case(
    "site = \"north\"",
    "site = \"north\"\nmost_members = 2",
    "fleet.most_members: 3"
)]
#[case(
    "site = \"north\"",
    "site = \"north\"\nmost_members = 500",
    "fleet.most_members: limits.sockets"
)]
#[case(
    "site = \"north\"",
    "site = \"north\"\nmost_queue_bytes = 1000000",
    "fleet.most_queue_bytes: limits.memory_mb"
)]
#[case(
    "site = \"north\"",
    "site = \"north\"\nwhen_cut_off = \"panic\"",
    "fleet.when_cut_off"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.view]\nperiod_ms = 0",
    "fleet.view: period_ms"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.view]\nperiod_ms = \"x\"",
    "fleet.view.period_ms"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.group]\nspeed = 1",
    "fleet.group.speed: there is no such field"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.group]\nheartbeat_us = 900000",
    "fleet.group.heartbeat_us"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.lease]\nmargin_ms = 9000",
    "fleet.lease.granted_for_ms"
)]
#[case("path = \"c1\"", "", "store.path: is missing")]
#[case(
    "site = \"north\"",
    "site = \"north\"\nrelays = [\"c2\", \"c2\"]",
    "fleet.relays: c2 is named twice"
)]
#[case(
    "site = \"north\"",
    "site = \"north\"\nrelays = [\"c1\"]",
    "fleet.relays: c1 is this conductor"
)]
#[case(
    "site = \"north\"",
    "site = \"north\"\nrelays = [\"c9\"]",
    "fleet.relays: c9 has no address"
)]
#[case(
    "path = \"c1\"",
    "path = \"c1\"\n[fleet.lease]\nrenewal = \"gossip\"",
    "fleet.lease.renewal"
)]
#[case("path = \"c1\"", "path = \"c1\"\nmost_bytes = 5", "store.most_bytes")]
fn a_fault_in_the_fleets_tables_is_one_line_that_names_the_field(
    #[case] line: &str,
    #[case] instead: &str,
    #[case] names: &str,
) {
    let error = one_line_error(&check(&fleet_file(line, instead)));
    assert!(error.contains(names), "{error}");
}
