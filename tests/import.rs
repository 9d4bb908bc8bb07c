//! HAProxy's configuration, imported by the program and started from.

mod support;

use rstest::rstest;
use std::process::{Command, Output};
use support::*;

fn import(text: &str) -> Output {
    static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("haproxy-{}-{number}.cfg", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let done = Command::new(env!("CARGO_BIN_EXE_whinhaven"))
        .args(["import", "haproxy"])
        .arg(&file)
        .output();
    std::fs::remove_file(&file).unwrap();
    done.unwrap()
}

#[test]
fn the_program_starts_from_what_was_imported_and_serves() {
    let host = Peer::start(|message, conn| {
        if message.line.starts_with("POST") {
            conn.begin_stream();
            conn.delta("one");
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    });
    let (bind, dead) = (Peer::nobody(), Peer::nobody());
    let text = format!(
        "# a comment\nglobal\n    maxconn 500\n    daemon\n\ndefaults\n    mode http\n    timeout connect 150ms\n    \
         timeout server 1m\n    timeout client 30s\n    retries 5\n\nfrontend \"in\"\n    bind {bind}\n    \
         default_backend models\n    use_backend other if {{ path /x }}\n\nbackend models\n    balance leastconn\n    \
         server a {} check weight 20\n    server off {dead} disabled\n\nbackend other\n    server x {dead}\n",
        host.address,
    );
    let done = import(&text);
    let (file, told) = (
        String::from_utf8(done.stdout).unwrap(),
        String::from_utf8(done.stderr).unwrap(),
    );
    assert!(done.status.success(), "{told}");
    for left in [
        "line 4", "line 10", "line 16", "line 19", "line 20", "line 23",
    ] {
        assert!(
            told.contains(left) && file.contains(&format!("# {left},")),
            "{left}: {told}\n{file}"
        );
    }
    for carried in [
        "connect_timeout_us = 150000",
        "give_up_us = 60000000",
        "max_attempts = 6",
        "share = 20.0",
        "sockets = 1064",
    ] {
        assert!(file.contains(carried), "{carried}: {file}");
    }
    let conductor = Conductor::start(&file);
    assert_eq!(conductor.address, bind);
    let answer = conductor.ask("id-1", "default");
    assert!(answer.status() == 200 && answer.whole, "{answer:?}");
}

#[rstest]
#[case::outside("maxconn 5\n", "line 1")]
#[case::quote("global\n  log \"x\n", "line 2")]
#[case::unit("defaults\n  timeout server 5parsecs\n", "line 2")]
#[case::huge("defaults\n  timeout server 99999999999999d\n", "line 2")]
#[case::port("listen a\n  bind 127.0.0.1:99999\n", "line 2")]
#[case::no_port("listen a\n  bind 127.0.0.1\n", "line 2")]
#[case::server("listen a\n  bind 127.0.0.1:1\n  server s\n", "line 3")]
#[case::weight(
    "listen a\n  bind 127.0.0.1:1\n  server s 127.0.0.1:2 weight\n",
    "line 3"
)]
#[case::twice("backend a\nbackend a\n", "line 2")]
#[case::backend("frontend a\n  bind 127.0.0.1:1\n  default_backend b\n", "line 3")]
#[case::no_name("frontend\n", "line 1")]
#[case::from("listen a from d\n", "line 1")]
#[case::no_servers("listen a\n  bind 127.0.0.1:1\n", "line 3")]
#[case::empty("", "line 1")]
fn malformed_input_says_where_and_fails(#[case] text: &str, #[case] place: &str) {
    let done = import(text);
    let error = String::from_utf8(done.stderr).unwrap();
    assert!(!done.status.success() && done.stdout.is_empty());
    assert!(
        error.lines().count() == 1 && error.contains(&format!("{place}:")),
        "{error}"
    );
}

#[test]
fn the_operators_file_in_deploy_is_one_the_program_starts_from() {
    let text = include_str!("../deploy/operator.toml").replace("127.0.0.1:8080", "127.0.0.1:0");
    let conductor = Conductor::start(&text);
    assert_eq!(conductor.rpc("[]").status(), 400);
}
