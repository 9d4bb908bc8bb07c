//! Requests whose last byte comes late in a shutdown, on connections that are still open.

mod support;

use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, mpsc};
use support::*;

const TOOLS: &str = "---[tools]\ndial = \"127.0.0.1:1\"\n";

/// A prefill worker that reports the id of each request that it is sent.
fn reporting_reader() -> (Peer, mpsc::Receiver<String>) {
    let (report, forwarded) = mpsc::channel();
    let report = Mutex::new(report);
    let reader = Peer::start(move |message, conn| {
        if message.method() == "POST" {
            let id = message.header("x-request-id").unwrap_or_default();
            let _ = report.lock().unwrap().send(id.to_owned());
            conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#);
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    });
    (reader, forwarded)
}

/// A decode worker whose streams end after a word of the test.
fn waiting_writer() -> (Peer, mpsc::Sender<()>) {
    let (go, gone) = mpsc::channel();
    let gone = Arc::new(Mutex::new(gone));
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        // Without a word: the test is over.
        let _ = gone.lock().unwrap().recv_timeout(STUCK);
        conn.end_stream();
        true
    });
    (writer, go)
}

/// Connects and sends all of a request but its last bytes; these are returned with the connection.
fn send_in_part(conductor: &Conductor, request: &str, kept_back: usize) -> (TcpStream, String) {
    let mut client = conductor.connect();
    let (first, last) = request.split_at(request.len() - kept_back);
    client.write_all(first.as_bytes()).unwrap();
    (client, last.to_owned())
}

/// Waits until connections that rest are closed.
fn wait_until_resting_connections_close(mut resting: TcpStream) {
    assert_eq!(resting.read(&mut [0]).unwrap(), 0);
}

fn rpc(request: &str, more: &str) -> String {
    rpc_request(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"send","params":{{"request":"{request}","deadline_ms":8000,"messages":[]{more}}}}}"#
    ))
}

/// Guards against requests that are forwarded late in a shutdown and cut by SIGKILL.
#[rstest]
#[case::body(&request("late-1", "send", "hello"), 1, &["-TERM"])]
#[case::head(&request("late-1", "send", "hello"), 20, &["-TERM"])]
#[case::tool_calls(&rpc("late-1", ""), 1, &["-TERM"])]
#[case::second_signal(&request("late-1", "send", "hello"), 1, &["-TERM", "-TERM", "-INT"])]
#[case::reload_before(&request("late-1", "send", "hello"), 1, &["-HUP", "-TERM"])]
#[case::reload_behind(&request("late-1", "send", "hello"), 1, &["-TERM", "-HUP"])]
fn a_request_that_comes_whole_late_in_a_shutdown_is_rejected(
    #[case] request: &str,
    #[case] kept_back: usize,
    #[case] signals: &[&str],
) {
    let ((reader, forwarded), (writer, _go)) = (reporting_reader(), waiting_writer());
    let file = operator_file(&[reader.address], &[writer.address], TOOLS);
    let conductor = Conductor::start(&file);
    let (mut client, last) = send_in_part(&conductor, request, kept_back);
    let resting = conductor.connect();
    for signal in signals {
        conductor.signal(signal);
    }
    wait_until_resting_connections_close(resting);
    client.write_all(last.as_bytes()).unwrap();
    let mut client = BufReader::new(client);
    let answer = Message::read_head(&mut client).expect("an answer");
    assert_eq!(answer.status(), 503, "{}", answer.line);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(answer.header("retry-after").is_some());
    drop(client);
    let counters = Counters(conductor.wait_for("stopped; counters:"));
    assert!(conductor.ends_well());
    assert_eq!(counters.get("taken"), 0);
    assert!(forwarded.try_recv().is_err(), "forwarded all the same");
}

/// Guards against a stream that a late request for its rest takes away from its client.
#[test]
fn a_late_request_for_the_rest_of_a_stream_leaves_the_stream_alone() {
    let ((reader, _forwarded), (writer, go)) = (reporting_reader(), waiting_writer());
    let file = operator_file(&[reader.address], &[writer.address], TOOLS);
    let conductor = Conductor::start(&file);
    let mut streaming = BufReader::new(conductor.connect());
    let first = rpc("order-1", "");
    streaming.get_mut().write_all(first.as_bytes()).unwrap();
    let mut answer = Message::read_head(&mut streaming).expect("an answer");
    let resume = rpc("order-1", r#","resume":{"text":"one","calls":0}"#);
    let (mut late, last) = send_in_part(&conductor, &resume, 1);
    let resting = conductor.connect();
    conductor.signal("-TERM");
    wait_until_resting_connections_close(resting);
    late.write_all(last.as_bytes()).unwrap();
    let rejected = Message::read_head(&mut BufReader::new(late)).expect("an answer");
    assert_eq!(rejected.status(), 503, "{}", rejected.line);
    go.send(()).unwrap();
    answer.read_body(&mut streaming, |_| {});
    assert!(answer.whole, "{}", answer.text());
}
