//! Streams on which nothing comes that the client waits for, although their connection is not silent.

mod support;

use rstest::rstest;
use std::io::Write;
use std::sync::{Mutex, mpsc};
use std::time::Duration;
use support::*;

/// The pause between two pieces that a trickling host writes.
const TRICKLE_PERIOD: Duration = Duration::from_millis(250);
/// After so many pieces a host gives up waiting for the router to close: over three times the idle limit of a stream.
const MAX_PIECES: usize = 60;
/// The number of events before a host begins to trickle.
const EVENTS: usize = 3;

/// How a trickling host's connection ended.
#[derive(Debug, PartialEq, Eq)]
enum HostEnd {
    /// The router closed it.
    ClosedByRouter,
    /// The router was still there after [`MAX_PIECES`].
    GaveUp,
}

/// A decode worker that sends `events` events and then `piece` over and over; it tells how each connection ended.
fn trickling_writer(events: usize, piece: &'static str) -> (Peer, mpsc::Receiver<HostEnd>) {
    let (tell, ends) = mpsc::channel();
    let tell = Mutex::new(tell);
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        for _ in 0..events {
            conn.delta("one");
        }
        let closed = (0..MAX_PIECES).any(|_| {
            conn.chunk(piece);
            conn.closes_within(TRICKLE_PERIOD)
        });
        let end = if closed {
            HostEnd::ClosedByRouter
        } else {
            HostEnd::GaveUp
        };
        let _ = tell.lock().unwrap().send(end);
        false
    });
    (writer, ends)
}

fn platform(id: &str, deadline_ms: u64) -> String {
    let deadline = format!("x-deadline: {deadline_ms}m");
    request(id, "explain", "hello").replace("x-deadline: 8000m", &deadline)
}

fn json_rpc(id: &str, deadline_ms: u64) -> String {
    rpc_request(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"explain","params":{{"request":"{id}","deadline_ms":{deadline_ms},"messages":[]}}}}"#
    ))
}

fn start_router(writer: &Peer) -> (Conductor, Peer) {
    let reader = Peer::reader();
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let file = operator_file(&[reader.address], &[writer.address], &tools);
    (Conductor::start(&file), reader)
}

/// Guards against clients that are left waiting on a stream whose host sends bytes but no event with data.
#[rstest]
fn a_stream_without_further_data_is_ended(
    #[values(
        ": ping\n\n",
        "\n",
        "id: 7\n\n",
        "event: ping\n\n",
        "retry: 10\n\n",
        "data:\n\n",
        "data\n\n",
        ": ping\n",
        "data: [DONE]\n\n",
        "data: x"
    )]
    piece: &'static str,
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let (writer, ends) = trickling_writer(EVENTS, piece);
    let (router, _reader) = start_router(&writer);
    let answer = router.raw(front("left-1", 8_000).as_bytes());
    assert_eq!(ends.recv_timeout(STUCK), Ok(HostEnd::ClosedByRouter));
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert_eq!(answer.text().matches("one").count(), EVENTS);
    assert!(router.stop().get("streams_broken") > 0);
}

/// Guards against a first event that is none: the deadline and the attempts at other hosts must not end with it.
#[rstest]
fn blocks_without_data_are_no_first_event(
    #[values(": ping\n\n", "\n", "id: 7\n\n", "data:\n\n")] piece: &'static str,
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let (writer, ends) = trickling_writer(0, piece);
    let (router, _reader) = start_router(&writer);
    let mut client = router.connect();
    client.write_all(front("left-1", 1_500).as_bytes()).unwrap();
    let answer = Message::read(&mut std::io::BufReader::new(client)).unwrap();
    assert_eq!(ends.recv_timeout(STUCK), Ok(HostEnd::ClosedByRouter));
    assert_eq!((answer.status(), answer.whole), (503, true), "{answer:?}");
    assert_eq!(router.stop().get("answered_stream"), 0);
}

/// A decode worker whose answer has one event of `bytes` bytes that it writes in `pieces` pieces.
fn slow_writer(bytes: usize, pieces: usize) -> Peer {
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        conn.chunk(r#"data: {"choices":[{"index":0,"delta":{"content":""#);
        for _ in 0..pieces {
            conn.chunk(&"x".repeat(bytes / pieces));
            if conn.closes_within(TRICKLE_PERIOD) {
                return false;
            }
        }
        conn.chunk("\"},\"finish_reason\":null}]}\n\n");
        conn.end_stream();
        true
    })
}

/// Guards against long answers that are cut off while their host is still writing them, slowly.
#[rstest]
fn a_long_event_that_is_written_slowly_is_served_whole(
    #[values((40_000, 32), (6_000, 24))] (bytes, pieces): (usize, usize),
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let writer = slow_writer(bytes, pieces);
    let (router, _reader) = start_router(&writer);
    let answer = router.raw(front("slow-1", 8_000).as_bytes());
    assert_eq!((answer.status(), answer.whole), (200, true));
    let longest = "x".repeat(bytes / pieces * pieces);
    assert!(answer.text().contains(&longest));
}
