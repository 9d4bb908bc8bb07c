//! Pins the fixed formats that the program speaks on sockets: what model hosts and discovery are sent, what clients
//! get, the JSON-RPC front with a relayed tool call, and the operators' address.
//!
//! The data files in `tests/golden/protocol/` are fixed: they state what peers of other versions rely on and are
//! never edited. Names of types and fields in this file may follow the code; what it compares may not change.
//! Each value that varies from run to run is replaced by a placeholder, by a function named `normalise_...`.

mod support;

use rstest::rstest;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, mpsc};
use support::*;
use whinhaven::net::discovery::{ListMessage, Listing};
use whinhaven::routing::types::{Endpoint, Status, WorkerId};

/// The body of a client's request.
const PROMPT: &str = r#"{"model":"chat","stream":true,"messages":[]}"#;
/// The answer of a model host that has read a prompt.
const PROMPT_READ: &str = r#"{"cached_tokens":4}"#;
/// The event with which a model host calls a tool.
const TOOL_CALL: &str =
    r#"{"jsonrpc":"2.0","id":"call-1","method":"weather.get","params":{"city":"Bergen"}}"#;
/// A client's request at the JSON-RPC front.
const SEND: &str = r#"{"jsonrpc":"2.0","id":1,"method":"send","params":{"request":"request-1","deadline_ms":8000,"messages":[]}}"#;
/// The setting that opens the operators' address.
const OPERATORS_ADDRESS: &str = "ops = \"127.0.0.1:0\"";

// ---------------------------------------------------------------- data files

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/protocol");
    let path = folder.join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn assert_golden(name: &str, actual: &str) {
    assert_eq!(actual, golden(name), "differs from {name}");
}

// ---------------------------------------------------------------- normalisation

/// Replaces the values of headers that vary by run: addresses, dates and times that are left.
fn normalise_header(name: &str, value: &str) -> String {
    match name {
        "host" if value.starts_with("127.0.0.1:") => "<address>".into(),
        "date" => "<date>".into(),
        "x-deadline" => normalise_duration(value),
        "retry-after" => normalise_digits(value),
        _ => value.into(),
    }
}

/// Replaces the number before a unit of time.
fn normalise_duration(value: &str) -> String {
    let unit = value.trim_start_matches(|c: char| c.is_ascii_digit());
    assert!(unit.len() < value.len(), "no number in {value:?}");
    format!("<number>{unit}")
}

/// Replaces each digit, so that the form of a decimal number is kept.
fn normalise_digits(value: &str) -> String {
    value
        .chars()
        .map(|c| if c.is_ascii_digit() { '0' } else { c })
        .collect()
}

/// Replaces an id that the program has made up.
fn normalise_id(text: &str, id: &str, placeholder: &str) -> String {
    assert!(!id.is_empty());
    text.replace(id, placeholder)
}

/// A message with its headers in the order in which they came.
fn normalise_message(message: &Message) -> String {
    let mut text = format!("{}\n", message.line);
    for (name, value) in &message.headers {
        let value = normalise_header(name, value);
        writeln!(text, "{name}: {value}").unwrap();
    }
    let body_end = if message.whole { "whole" } else { "broken" };
    write!(text, "\n{}\n<{body_end}>\n", message.text()).unwrap();
    text
}

// ---------------------------------------------------------------- peers

/// Starts a peer that records each message before its script answers it.
fn recording(
    script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Receiver<Message>) {
    let (record, recorded) = mpsc::channel();
    let record = Mutex::new(record);
    let peer = Peer::start(move |message, conn| {
        let _ = record.lock().unwrap().send(message.clone());
        script(message, conn)
    });
    (peer, recorded)
}

fn first_with_method(messages: &mpsc::Receiver<Message>, method: &str) -> Message {
    loop {
        let message = messages.recv_timeout(STUCK).expect("the message comes");
        if message.method() == method {
            return message;
        }
    }
}

fn answer_prefill(_: &Message, conn: &mut Conn) -> bool {
    conn.answer("202 Accepted", "", PROMPT_READ);
    true
}

fn answer_decode(_: &Message, conn: &mut Conn) -> bool {
    conn.begin_stream();
    conn.delta("one");
    conn.end_stream();
    true
}

/// Reads the first request that it gets and fails the second one.
fn fail_decode() -> impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static {
    let posts = AtomicU32::new(0);
    move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
        } else if posts.fetch_add(1, Ordering::SeqCst) == 0 {
            conn.answer("202 Accepted", "", PROMPT_READ);
        } else {
            conn.answer("500 Internal Server Error", "", "");
        }
        true
    }
}

fn prompt_request() -> String {
    request("id-1", "send", PROMPT)
}

// ---------------------------------------------------------------- platform protocol

#[test]
fn prefill_and_decode_requests_and_the_served_stream_keep_their_form() {
    let (prefill, prefill_requests) = recording(answer_prefill);
    let (decode, decode_requests) = recording(answer_decode);
    let file = operator_file(&[prefill.address], &[decode.address], "");
    let conductor = Conductor::start(&file);
    let answer = conductor.raw(prompt_request().as_bytes());
    let prefill_request = first_with_method(&prefill_requests, "POST");
    let decode_request = first_with_method(&decode_requests, "POST");
    assert_golden("prefill-request.txt", &normalise_message(&prefill_request));
    assert_golden("decode-request.txt", &normalise_message(&decode_request));
    assert_golden("answer-served.txt", &normalise_message(&answer));
}

#[test]
fn a_release_and_the_answer_to_a_failed_request_keep_their_form() {
    let (host, requests) = recording(fail_decode());
    let conductor = Conductor::start(&operator_file(&[host.address], &[host.address], ""));
    let answer = conductor.raw(prompt_request().as_bytes());
    let release = first_with_method(&requests, "DELETE");
    assert_golden("release-request.txt", &normalise_message(&release));
    assert_golden("answer-failed.txt", &normalise_message(&answer));
}

#[test]
fn a_refusal_keeps_its_form() {
    let file = operator_file(&[Peer::nobody()], &[Peer::nobody()], "");
    let answer = Conductor::start(&file).raw(prompt_request().as_bytes());
    assert_golden("answer-refused.txt", &normalise_message(&answer));
}

#[rstest]
#[case::of_an_unknown_class("x-class: send", "x-class: unknown", "answer-bad-class.txt")]
#[case::with_a_bad_deadline("x-deadline: 8000m", "x-deadline: soon", "answer-bad-deadline.txt")]
#[case::without_an_id("x-request-id: id-1", "x-other: 1", "answer-no-request-id.txt")]
#[case::for_an_unknown_path("/v1/chat/completions", "/v1/unknown", "answer-unknown-path.txt")]
fn the_answer_to_a_bad_request_keeps_its_form(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] file: &str,
) {
    let hosts = operator_file(&[Peer::nobody()], &[Peer::nobody()], "");
    let request = prompt_request().replace(good, bad);
    let answer = Conductor::start(&hosts).raw(request.as_bytes());
    assert_golden(file, &normalise_message(&answer));
}

// ---------------------------------------------------------------- discovery

/// Answers a watch by a stream that stays open, and a call for the list by the list of the data file.
fn answer_discovery(message: &Message, conn: &mut Conn) -> bool {
    if message.path().contains("watch=1") {
        conn.begin_stream();
        conn.chunk("\n");
        conn.is_closed();
        return false;
    }
    conn.answer("200 OK", "", &golden("discovery-list.json"));
    false
}

/// A discovery that is new to the program is asked for its whole list before its changes.
#[test]
fn requests_to_discovery_keep_their_form() {
    let (first, first_requests) = recording(answer_discovery);
    let (second, second_requests) = recording(answer_discovery);
    let file = |address| {
        let setting = format!("discovery = \"{address}\"");
        operator_file(&[Peer::nobody()], &[Peer::nobody()], &setting)
    };
    let conductor = Conductor::start(&file(first.address));
    let first_watch = first_with_method(&first_requests, "GET");
    conductor.reload(&file(second.address));
    let list = first_with_method(&second_requests, "GET");
    let watch = first_with_method(&second_requests, "GET");
    let requests = [first_watch, list, watch].map(|message| normalise_message(&message));
    assert_golden("discovery-requests.txt", &requests.concat());
}

fn listing(file: &str) -> Listing {
    let message: ListMessage = serde_json::from_str(&golden(file)).unwrap();
    message.into()
}

fn first_host(status: Status) -> Endpoint {
    Endpoint {
        worker: WorkerId("model-host-1".into()),
        zone: "here".into(),
        kind: "prompt".into(),
        cell: 3,
        status,
        weight: 1.0,
        started: None,
    }
}

fn second_host() -> Endpoint {
    Endpoint {
        worker: WorkerId("model-host-2".into()),
        zone: "there".into(),
        kind: "answer".into(),
        cell: 4,
        status: Status::Draining,
        weight: 0.5,
        started: Some(1_700_000_000_000_000),
    }
}

/// Compares by the debugging form, which has each field: entries have no equality.
fn assert_entries(listing: &Listing, expected: &[(Endpoint, &str)]) {
    let address = |text: &str| -> Option<SocketAddr> { text.parse().ok() };
    let expected: Vec<(Endpoint, Option<SocketAddr>)> = expected
        .iter()
        .map(|(entry, text)| (entry.clone(), address(text)))
        .collect();
    assert_eq!(format!("{:?}", listing.entries), format!("{expected:?}"));
}

#[test]
fn a_whole_list_of_discovery_is_read() {
    let list = listing("discovery-list.json");
    assert_eq!((list.seq, list.is_full), (41, true));
    let expected = [
        (first_host(Status::Ready), "127.0.0.1:8001"),
        (second_host(), "127.0.0.1:8002"),
    ];
    assert_entries(&list, &expected);
}

#[test]
fn a_change_of_discovery_is_read() {
    let change = listing("discovery-change.json");
    assert_eq!((change.seq, change.is_full), (43, false));
    assert_entries(&change, &[(first_host(Status::Gone), "127.0.0.1:8001")]);
}

// ---------------------------------------------------------------- JSON-RPC front

/// Calls a tool in the middle of its stream and goes on once it has the result.
fn call_tool() -> impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static {
    let (put_result, results) = mpsc::channel();
    let put_result = Mutex::new(put_result);
    let results = Mutex::new(results);
    move |message, conn| {
        if message.path().starts_with("/internal/tool-results/") {
            conn.answer("204 No Content", "", "");
            put_result.lock().unwrap().send(()).unwrap();
        } else if message.method() == "POST" {
            conn.begin_stream();
            conn.delta("before ");
            conn.event(TOOL_CALL);
            let result = results.lock().unwrap().recv_timeout(STUCK);
            result.expect("the tool's result comes");
            conn.delta("after");
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    }
}

fn answer_tool_call(message: &Message, conn: &mut Conn) -> bool {
    let key = message.header("idempotency-key").unwrap();
    let body = format!(r#"{{"jsonrpc":"2.0","id":"{key}","result":{{"sky":"rain"}}}}"#);
    conn.answer("200 OK", "", &body);
    true
}

/// The key of the tool's call is pinned as it is: it has to be the same over all resumes.
#[test]
fn a_send_with_a_tool_call_keeps_its_form_at_client_tool_and_model_host() {
    let (tool, tool_requests) = recording(answer_tool_call);
    let (decode, decode_requests) = recording(call_tool());
    let prefill = Peer::reader();
    let tools = format!("---[tools]\ndial = \"{}\"\n", tool.address);
    let file = operator_file(&[prefill.address], &[decode.address], &tools);
    let conductor = Conductor::start(&file);
    let answer = conductor.rpc(SEND);
    let decode_request = first_with_method(&decode_requests, "POST");
    let tool_request = first_with_method(&tool_requests, "POST");
    let tool_result = first_with_method(&decode_requests, "POST");
    let id = decode_request.header("x-request-id").unwrap();
    let normalise =
        |message: &Message| normalise_id(&normalise_message(message), id, "<request-id>");
    assert_golden("rpc-send-answer.txt", &normalise(&answer));
    assert_golden("rpc-decode-request.txt", &normalise(&decode_request));
    assert_golden("rpc-tool-request.txt", &normalise(&tool_request));
    assert_golden("rpc-tool-result.txt", &normalise(&tool_result));
}

// ---------------------------------------------------------------- operators' address

/// Replaces the number of each figure; names and order stay.
fn normalise_figures(report: &str) -> String {
    let mut text = String::new();
    for line in report.lines() {
        let (name, value) = line.split_once('=').expect("a figure has a value");
        value.parse::<u64>().expect("a figure's value is a number");
        writeln!(text, "{name}=<number>").unwrap();
    }
    text
}

/// The length of a report follows the values in it.
fn normalise_report(mut report: Message) -> String {
    report.body = normalise_figures(&report.text()).into_bytes();
    for (name, value) in &mut report.headers {
        if name == "content-length" {
            *value = "<length>".into();
        }
    }
    normalise_message(&report)
}

#[test]
fn answers_at_the_operators_address_keep_their_form() {
    let file = operator_file(&[Peer::nobody()], &[Peer::nobody()], OPERATORS_ADDRESS);
    let conductor = Conductor::start(&file);
    let readiness = conductor.call("GET", "/ops/readiness");
    let figures = conductor.call("GET", "/ops/stats");
    let unknown_path = conductor.call("GET", "/ops/unknown");
    let wrong_method = conductor.call("GET", "/ops/drain/start");
    assert_golden("operators-readiness.txt", &normalise_message(&readiness));
    assert_golden("operators-figures.txt", &normalise_report(figures));
    assert_golden(
        "operators-unknown-path.txt",
        &normalise_message(&unknown_path),
    );
    assert_golden(
        "operators-wrong-method.txt",
        &normalise_message(&wrong_method),
    );
}

#[test]
fn the_answer_to_a_health_check_keeps_its_form() {
    let file = operator_file(&[Peer::nobody()], &[Peer::nobody()], "");
    let answer = Conductor::start(&file).raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_golden("answer-health-check.txt", &normalise_message(&answer));
}
