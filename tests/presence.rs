//! Clients that come and go: what is sent for them, and who is served meanwhile.

mod support;

use rstest::rstest;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;
use support::*;

/// A channel that scripts may share.
fn news() -> (Arc<dyn Fn(String) + Send + Sync>, mpsc::Receiver<String>) {
    let (tx, rx) = mpsc::channel();
    let tx = Mutex::new(tx);
    (Arc::new(move |text| _ = tx.lock().unwrap().send(text)), rx)
}

/// Stands for far more than any buffer holds.
const MUCH: &str = "much";

fn writer() -> Peer {
    Peer::start(|message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    })
}

fn counters(conductor: &Conductor) -> Counters {
    conductor.signal("-USR1");
    Counters(conductor.wait_for("counters:"))
}

/// Ends its sending, and goes on reading: nothing else says that it has gone.
fn finish(client: TcpStream) -> Option<TcpStream> {
    client.shutdown(Shutdown::Write).unwrap();
    Some(client)
}

fn reset(client: TcpStream) -> Option<TcpStream> {
    SockRef::from(&client)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    None
}

/// Guards against attempts that go on for a client that has gone: with a byte behind the request in hand hyper read
/// no further, and the end behind that byte was never seen.
#[rstest]
#[case::a_beginning("POST /v1")]
#[case::a_second_request("GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::much(MUCH)]
#[case::nothing("")]
fn a_client_that_goes_is_seen_behind_what_it_has_sent(
    #[case] behind: &str,
    #[values(finish, reset)] go: fn(TcpStream) -> Option<TcpStream>,
    #[values(false, true)] at_once: bool,
) {
    let (tell, told) = news();
    // The attempt hangs until the conductor ends it.
    let host = Peer::start(move |message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        tell("begun".into());
        conn.is_closed();
        false
    });
    let conductor = Conductor::start(&operator_file(&[host.address], &[host.address], ""));
    let mut client = conductor.connect();
    // Much is not taken at all where it is not read.
    client
        .set_write_timeout(Some(Duration::from_millis(500)))
        .unwrap();
    let request = request("id-1", "explain", "hello");
    let behind = behind.replace(
        MUCH,
        &format!("GET / HTTP/1.1\r\n{}", "a: b\r\n".repeat(2_000_000)),
    );
    if at_once {
        let _ = client.write_all(format!("{request}{behind}").as_bytes());
        told.recv_timeout(STUCK).unwrap();
    } else {
        client.write_all(request.as_bytes()).unwrap();
        told.recv_timeout(STUCK).unwrap();
        let _ = client.write_all(behind.as_bytes());
    }
    let _open = go(client);
    let counters = conductor.stop();
    let counts = ["taken", "sent", "clients_left", "ended_no_answer"].map(|c| counters.get(c));
    assert_eq!(counts, [1, 1, 1, 0], "{}", counters.0);
}

/// Guards against requests sent on for clients that sent them and went at once, and against others left waiting
/// behind those.
#[rstest]
fn a_hundred_clients_that_send_and_go_at_once_cost_the_others_nothing(
    #[values("", "POST /v1")] behind: &str,
    #[values(finish, reset)] go: fn(TcpStream) -> Option<TcpStream>,
) {
    let (reader, writer) = (Peer::reader(), writer());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut clients: Vec<_> = (0..100).map(|_| conductor.connect()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        let request = request(&format!("gone-{i}"), "explain", "hello");
        client
            .write_all(format!("{request}{behind}").as_bytes())
            .unwrap();
    }
    let _open: Vec<_> = clients.into_iter().map(go).collect();
    assert_eq!(conductor.ask("id-1", "send").status(), 200);
    // All that was taken has ended, in one way or the other.
    let settled = loop {
        let now = counters(&conductor);
        let [taken, served, left] =
            ["taken", "answered_stream", "clients_left"].map(|c| now.get(c));
        if now.get("connections_in") == 101 && served + left >= taken {
            break now;
        }
    };
    assert_eq!(conductor.ask("id-2", "send").status(), 200);
    let end = conductor.stop();
    assert_eq!(end.get("sent"), settled.get("sent") + 2, "{}", end.0);
    assert_eq!(end.get("taken"), settled.get("taken") + 1, "{}", end.0);
}

/// Clients that connect, say nothing and hold on.
fn idle(conductor: &Conductor, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| conductor.connect()).collect()
}

fn entry(host: &str, class: &str, at: std::net::SocketAddr) -> String {
    format!(r#"{{"host":"{host}","dial":"{at}","health":"ready","class":"{class}","site":"here"}}"#)
}

/// Guards against descriptors that idle clients take while discovery is down: its return, a reload, model hosts and
/// a new client need some, and they are to be had at once.
#[test]
fn idle_clients_leave_descriptors_for_all_else() {
    let (reader, old, new) = (Peer::reader(), writer(), writer());
    let at = Peer::nobody();
    let file = operator_file(
        &[reader.address],
        &[old.address],
        &format!("discovery = \"{at}\"\nlimits = {{ sockets = 256, memory_mb = 64 }}"),
    );
    let conductor = Conductor::start(&file);
    conductor.limit_descriptors(256);
    let holding = idle(&conductor, 250);
    let (reads, writes) = (
        entry("prompt-0", "prompt", reader.address),
        entry("answer-9", "answer", new.address),
    );
    let discovery = Peer::start_at(at, move |message, conn| {
        if message.line.contains("watch") {
            conn.begin_stream();
            conn.chunk(&format!("{{\"seq\":7,\"hosts\":[{reads},{writes}]}}\n"));
            return !conn.is_closed();
        }
        conn.answer(
            "200 OK",
            "",
            &format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{reads}]}}"),
        );
        true
    });
    let discovery = discovery.unwrap();
    conductor.wait_for("answer-9");
    conductor.reload(&file);
    conductor.wait_for("reload: discovery stays");
    let more = idle(&conductor, 250);
    while conductor.ask("id-1", "send").status() != 200 {}
    drop((holding, more));
    let counters = conductor.stop();
    assert_eq!(
        ["reloads", "reloads_failed"].map(|c| counters.get(c)),
        [1, 0],
        "{}",
        counters.0
    );
    drop(discovery);
}

/// Guards against a conductor that takes nobody in any more once the system has refused it a descriptor.
#[test]
fn clients_are_accepted_again_once_there_are_descriptors() {
    let (reader, writer) = (Peer::reader(), writer());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    conductor.limit_descriptors(40);
    let holding = idle(&conductor, 60);
    conductor.wait_for("accept: ");
    drop(holding);
    while conductor.ask("id-1", "send").status() != 200 {}
    conductor.stop();
}

/// Guards against a conductor that can't be seen to be ready: discovery says nothing, and connections that say
/// nothing come without end.
#[test]
fn a_start_is_seen_to_be_ready_under_a_flood_while_discovery_is_silent() {
    let (reader, writer, silent) = (Peer::reader(), writer(), Silent::start());
    let more = format!(
        "discovery = \"{}\"\nlimits = {{ sockets = 256, memory_mb = 64 }}",
        silent.address
    );
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], &more));
    let (address, over) = (conductor.address, Arc::new(AtomicBool::new(false)));
    let ends = over.clone();
    let flood = std::thread::spawn(move || {
        let mut held = std::collections::VecDeque::new();
        while !ends.load(Ordering::SeqCst) {
            held.extend(TcpStream::connect(address));
            if held.len() > 250 {
                held.pop_front();
            }
        }
    });
    while conductor
        .raw(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
        .status()
        != 200
    {}
    while conductor.ask("id-1", "send").status() != 200 {}
    // It ends under the flood, too.
    assert!(conductor.stop().get("connections_evicted") > 0);
    over.store(true, Ordering::SeqCst);
    flood.join().unwrap();
}

/// Guards against events held back, in a buffer or behind a neighbour that takes nothing of its own stream: each
/// event is read before the next one is written.
#[test]
fn each_event_is_read_before_the_next_is_written_though_a_neighbour_reads_nothing() {
    let (go, gone) = news();
    let gone = Mutex::new(gone);
    let (full, fills) = news();
    let writer = Peer::start(move |message, conn| {
        conn.begin_stream();
        if message.header("x-request-id") == Some("slow") {
            let _ = conn.0.set_write_timeout(Some(Duration::from_millis(300)));
            while conn.delta(&"x".repeat(60_000)) {}
            full(String::new());
            conn.is_closed();
            return false;
        }
        for i in 0..40 {
            conn.delta(&format!("event-{i}-"));
            gone.lock().unwrap().recv_timeout(STUCK).unwrap();
        }
        // In lumps, and cut anywhere: the end comes with the rest.
        for _ in 0..200 {
            conn.delta("lump");
        }
        conn.end_stream();
        true
    });
    let reader = Peer::reader();
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut slow = conductor.connect();
    slow.write_all(request("slow", "send", "hello").as_bytes())
        .unwrap();
    fills.recv_timeout(STUCK).unwrap();
    let mut client = conductor.connect();
    client
        .write_all(request("id-1", "send", "hello").as_bytes())
        .unwrap();
    let mut come = Vec::new();
    for i in 0..40 {
        let wanted = format!("event-{i}-");
        while !String::from_utf8_lossy(&come).contains(&wanted) {
            let mut piece = [0; 4096];
            let n = client.read(&mut piece).unwrap();
            assert!(n > 0, "the stream ended before event {i}");
            come.extend_from_slice(&piece[..n]);
        }
        go(wanted);
    }
    let mut rest = BufReader::new(std::io::Cursor::new(come).chain(client));
    let answer = Message::read(&mut rest).unwrap();
    assert!(answer.whole && answer.text().matches("lump").count() == 200);
    drop(slow);
}
