//! Streams whose HTTP framing states a length that never comes true, or does not end, and sound streams that look like them.

mod support;

use rstest::rstest;
use std::io::Write;
use std::sync::{Mutex, mpsc};
use std::time::Duration;
use support::*;

/// The pause between two events inside a spoilt frame.
const EVENT_PERIOD: Duration = Duration::from_millis(250);
/// After so many events a host gives up waiting for the router to close: 5 s, when a client may be gone.
const MAX_EVENTS: usize = 20;
/// The number of events before the spoilt frame.
const EVENTS_BEFORE: usize = 3;
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

/// How the connection of a spoilt stream ended.
#[derive(Debug, PartialEq, Eq)]
enum HostEnd {
    /// The router closed it.
    ClosedByRouter,
    /// The router was still there after [`MAX_EVENTS`].
    GaveUp,
}

/// What a host writes, again and again, inside a frame that never ends.
#[derive(Clone, Copy, Debug)]
struct Frame {
    /// Written once, in place of a chunk's size line.
    begin: &'static str,
    /// Written each [`EVENT_PERIOD`].
    piece: &'static str,
}

const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"spoilt\"}}]}\n\n";
const EVENT_AND_COMMENT: &str = ": working\n\ndata: {\"content\":\"spoilt\"}\n\n";

fn write(conn: &mut Conn, text: &str) {
    let _ = conn.0.write_all(text.as_bytes());
}

/// A decode worker that begins each stream with `beginning` and `events` events, and goes on with `frame`; it tells how each
/// connection ended.
fn spoilt_writer(
    beginning: &'static str,
    events: usize,
    frame: Frame,
) -> (Peer, mpsc::Receiver<HostEnd>) {
    let (tell, ends) = mpsc::channel();
    let tell = Mutex::new(tell);
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        write(conn, HEAD);
        write(conn, beginning);
        for _ in 0..events {
            conn.delta("one");
        }
        write(conn, frame.begin);
        let closed = (0..MAX_EVENTS).any(|_| {
            write(conn, frame.piece);
            conn.closes_within(EVENT_PERIOD)
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

fn platform(class: &str, deadline_ms: u64) -> String {
    let deadline = format!("x-deadline: {deadline_ms}m");
    request("framing-1", class, "hello").replace("x-deadline: 8000m", &deadline)
}

fn json_rpc(class: &str, deadline_ms: u64) -> String {
    rpc_request(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"request":"framing-1","deadline_ms":{deadline_ms},"messages":[]}}}}"#
    ))
}

fn start_router(writers: &[&Peer]) -> (Conductor, Peer) {
    let reader = Peer::reader();
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let writers: Vec<_> = writers.iter().map(|writer| writer.address).collect();
    let file = operator_file(&[reader.address], &writers, &tools);
    (Conductor::start(&file), reader)
}

/// Guards against clients that are left waiting on a stream whose events lie in a chunk that can never be whole.
#[rstest]
fn a_stream_in_a_frame_that_never_ends_is_ended(
    #[values(
        Frame { begin: "c0000000\r\n", piece: EVENT },
        Frame { begin: "1000000000000000\r\n", piece: EVENT },
        Frame { begin: "5f5e100\r\n", piece: EVENT },
        Frame { begin: "100000\r\n", piece: EVENT },
        Frame { begin: "40001\r\n", piece: EVENT },
        Frame { begin: "40000\r\n", piece: EVENT },
        Frame { begin: "3000\r\n", piece: EVENT },
        Frame { begin: "c0000000;a=b\r\n", piece: EVENT },
        Frame { begin: "0000c0000000\r\n", piece: EVENT },
        Frame { begin: "c0000000\r\n", piece: EVENT_AND_COMMENT },
        Frame { begin: "3000;a=b\r\n", piece: EVENT_AND_COMMENT },
        Frame { begin: "0", piece: "0" },
        Frame { begin: "5", piece: " " },
        Frame { begin: "5;a=", piece: "b" },
        Frame { begin: "0\r\na:", piece: "b" }
    )]
    frame: Frame,
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let (writer, ends) = spoilt_writer(CHUNKED, EVENTS_BEFORE, frame);
    let (router, _reader) = start_router(&[&writer]);
    let answer = router.raw(front("send", 8_000).as_bytes());
    assert_eq!(ends.recv_timeout(STUCK), Ok(HostEnd::ClosedByRouter));
    assert_eq!((answer.status(), answer.whole), (200, false));
    assert_eq!(answer.text().matches("one").count(), EVENTS_BEFORE);
    assert!(router.stop().get("streams_broken") > 0);
}

/// Guards against events that reach a client although their stream is spoilt from its first chunk on: that is a failed attempt.
#[rstest]
fn a_stream_spoilt_from_its_first_chunk_is_a_failed_attempt(
    #[values(
        "transfer-encoding: chunked\r\n\r\nc0000000\r\n",
        "transfer-encoding: chunked\r\n\r\n40001\r\n",
        "transfer-encoding: chunked\r\n\r\n3000\r\n",
        "content-length: 3000000000\r\n\r\n"
    )]
    beginning: &'static str,
    #[values("explain", "send")] class: &str,
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let frame = Frame {
        begin: "",
        piece: EVENT,
    };
    let (writer, ends) = spoilt_writer(beginning, 0, frame);
    let (router, _reader) = start_router(&[&writer]);
    let answer = router.raw(front(class, 1_500).as_bytes());
    assert_eq!(ends.recv_timeout(STUCK), Ok(HostEnd::ClosedByRouter));
    assert!(!answer.text().contains("spoilt"), "{answer:?}");
    let expected = if class == "send" { 502 } else { 503 };
    assert_eq!((answer.status(), answer.whole), (expected, true));
    assert_eq!(router.stop().get("answered_stream"), 0);
}

/// Guards against events of a chunk that lacks its last byte, though most of it has come at once.
#[rstest]
fn a_first_chunk_that_lacks_its_last_byte_is_a_failed_attempt(
    #[values(4_000, 140_000, 262_144)] size: usize,
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let events = EVENT.repeat(size.div_ceil(EVENT.len()));
    let part = format!("{CHUNKED}{size:x}\r\n{}", &events[..size - 1]);
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        write(conn, HEAD);
        write(conn, &part);
        conn.is_closed();
        false
    });
    let (router, _reader) = start_router(&[&writer]);
    let answer = router.raw(front("send", 1_500).as_bytes());
    assert_eq!((answer.status(), answer.whole), (502, true));
    assert!(!answer.text().contains("spoilt"));
}

/// A decode worker that answers each request with `answer` in pieces of `piece` bytes, each `period` after the one before.
fn writer_of(answer: Vec<u8>, piece: usize, period: Duration) -> Peer {
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        write(conn, HEAD);
        for piece in answer.chunks(piece) {
            if conn.0.write_all(piece).is_err() {
                return false;
            }
            if !period.is_zero() && conn.closes_within(period) {
                return false;
            }
        }
        true
    })
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn event(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

const DONE: &str = "data: [DONE]\n\n";

fn chunked(body: &str) -> String {
    format!("{CHUNKED}{body}{}0\r\n\r\n", chunk(DONE))
}

/// Sound streams with unusual framing: the events, the whole answer behind the first lines of its head.
fn many_events_in_a_chunk() -> (String, String) {
    let events: String = (0..40).map(|n| event(&format!("e{n}"))).collect();
    let answer = chunked(&chunk(&events));
    (events + DONE, answer)
}

fn chunk_of_100_kb() -> (String, String) {
    let events: String = (0..1_500).map(|n| event(&format!("e{n}"))).collect();
    let answer = chunked(&chunk(&events));
    (events + DONE, answer)
}

fn chunk_of_250_kb() -> (String, String) {
    let events: String = (0..3_600)
        .map(|n| event(&format!("event-{n:04}")))
        .collect();
    let answer = chunked(&chunk(&events));
    (events + DONE, answer)
}

fn chunks_of_a_byte() -> (String, String) {
    let events: String = (0..4).map(|n| event(&format!("e{n}"))).collect();
    let body: String = events.chars().map(|c| chunk(&c.to_string())).collect();
    (events + DONE, chunked(&body))
}

fn zeros_and_extension() -> (String, String) {
    let events: Vec<String> = (0..4).map(|n| event(&format!("e{n}"))).collect();
    let chunks = events
        .iter()
        .map(|event| format!("0000{:X} ; name=\"value\"\r\n{event}\r\n", event.len()));
    let body: String = chunks.collect();
    (events.concat() + DONE, chunked(&body))
}

fn interim_heads_and_trailer() -> (String, String) {
    let events: String = (0..4).map(|n| event(&format!("e{n}"))).collect();
    let answer = format!(
        "x-load: not-a-report\r\n{CHUNKED}{}{}0\r\ntrailing: 1\r\n\r\n",
        chunk(&events),
        chunk(DONE)
    );
    (events + DONE, answer)
}

fn content_length() -> (String, String) {
    let body: String = (0..4).map(|n| event(&format!("e{n}"))).collect();
    let body = body + DONE;
    let answer = format!("content-length: {}\r\n\r\n{body}", body.len());
    (body, answer)
}

/// Guards against sound streams that are cut off, or changed, for unusual framing.
#[rstest]
fn a_sound_stream_with_unusual_framing_is_served_whole(
    #[values(
        many_events_in_a_chunk,
        chunk_of_100_kb,
        chunk_of_250_kb,
        chunks_of_a_byte,
        zeros_and_extension,
        interim_heads_and_trailer,
        content_length
    )]
    stream: fn() -> (String, String),
) {
    let (events, answer) = stream();
    let writer = writer_of(answer.into_bytes(), 1_000_000, Duration::ZERO);
    let (router, _reader) = start_router(&[&writer]);
    let answer = router.raw(platform("send", 8_000).as_bytes());
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert!(answer.text() == events, "the events were changed");
    let answer = router.raw(json_rpc("explain", 8_000).as_bytes());
    assert_eq!((answer.status(), answer.whole), (200, true));
    let texts = events.matches("content").count();
    assert!(answer.text().matches("\"text\"").count() >= texts.min(1));
}

/// Guards against a sound host that writes one event, in one chunk, slowly.
#[rstest]
fn one_event_written_slowly_in_one_chunk_is_served_whole(
    #[values((6_000, 250), (1_077, 50), (477, 13), (117, 5))] (bytes, per_period): (usize, usize),
    #[values(platform, json_rpc)] front: fn(&str, u64) -> String,
) {
    let long = "x".repeat(bytes);
    let first = chunk(&event("one"));
    let slow = chunk(&event(&long));
    let last = format!("{}0\r\n\r\n", chunk(DONE));
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        write(conn, HEAD);
        write(conn, CHUNKED);
        write(conn, &first);
        for piece in slow.as_bytes().chunks(per_period) {
            if conn.0.write_all(piece).is_err() || conn.closes_within(EVENT_PERIOD) {
                return false;
            }
        }
        write(conn, &last);
        true
    });
    let (router, _reader) = start_router(&[&writer]);
    let answer = router.raw(front("send", 8_000).as_bytes());
    assert_eq!((answer.status(), answer.whole), (200, true));
    assert!(answer.text().contains(&long));
}
