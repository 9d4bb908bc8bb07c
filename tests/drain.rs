//! Drains over real processes: clients are sent away from a conductor that runs on.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::Instant;
use support::*;

const DOOR: &str = "ops = \"127.0.0.1:0\"";
const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

fn drain(conductor: &Conductor, switch: &str) {
    assert_eq!(
        conductor
            .call("POST", &format!("/ops/drain/{switch}"))
            .status(),
        200,
        "{switch}"
    );
}

fn health(conductor: &Conductor) -> u16 {
    conductor.raw(HEALTH).status()
}

/// Whether a front would send clients on; a connection refused says no.
fn is_ready(conductor: &Conductor) -> bool {
    let Ok(mut front) = TcpStream::connect(conductor.address) else {
        return false;
    };
    front.set_read_timeout(Some(STUCK)).unwrap();
    _ = front.write_all(HEALTH);
    Message::read(&mut BufReader::new(front)).is_some_and(|answer| answer.status() == 200)
}

/// Waits for the end of a connection; nothing else comes on it.
fn ends(client: &mut impl Read) {
    assert_eq!(client.read(&mut [0]).expect("ended in order"), 0);
}

/// A connection that rests: one request has been answered on it.
fn resting(conductor: &Conductor) -> BufReader<TcpStream> {
    let mut client = BufReader::new(conductor.connect());
    client.get_mut().write_all(HEALTH).unwrap();
    assert_eq!(
        Message::read(&mut client).unwrap().header("connection"),
        None
    );
    client
}

/// A writer that answers at once.
fn prompt_writer() -> Peer {
    Peer::start(|_, conn| {
        conn.begin_stream();
        conn.end_stream();
        true
    })
}

/// A writer whose streams wait for a word after their first event.
fn waiting_writer() -> (Peer, mpsc::Sender<()>) {
    let (go, gone) = mpsc::channel();
    let gone = Mutex::new(gone);
    let writer = Peer::start(move |_, conn| {
        conn.begin_stream();
        conn.delta("one");
        gone.lock().unwrap().recv_timeout(STUCK).unwrap();
        conn.delta("two");
        conn.end_stream();
        true
    });
    (writer, go)
}

/// Sends a request on a kept connection; its answer, if it was taken.
fn ask(client: &mut BufReader<TcpStream>, id: &str) -> Option<Message> {
    client
        .get_mut()
        .write_all(request(id, "send", "hello").as_bytes())
        .ok()?;
    let answer = Message::read(client)?;
    assert!(answer.whole && answer.status() == 200, "{}", answer.line);
    Some(answer)
}

/// Clients that ask again and again on the connections that they have, until those close; how many answers each got.
/// Returns once every one of them has had its first.
fn busy_clients(conductor: &Conductor, name: &str) -> Vec<JoinHandle<u64>> {
    let (begun, begins) = mpsc::channel();
    let client = |number| {
        let mut client = BufReader::new(conductor.connect());
        let (begun, name) = (begun.clone(), format!("{name}-{number}"));
        std::thread::spawn(move || {
            let (mut answered, since) = (0, Instant::now());
            while let Some(answer) = ask(&mut client, &format!("{name}-{answered}")) {
                answered += 1;
                _ = begun.send(());
                assert!(since.elapsed() < STUCK, "the connection is kept");
                if answer.header("connection") == Some("close") {
                    break;
                }
            }
            ends(&mut client);
            answered
        })
    };
    let clients = (0..8).map(client).collect();
    for _ in 0..8 {
        begins.recv_timeout(STUCK).unwrap();
    }
    clients
}

fn answers(clients: Vec<JoinHandle<u64>>) -> u64 {
    clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum()
}

/// Guards against requests lost in a drain, and against a drain that outlasts its stop.
#[test]
fn a_drain_sends_clients_away_and_loses_none_of_their_requests() {
    let (reader, writer) = (Peer::reader(), prompt_writer());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], DOOR));
    let mut answered = 0;
    for turn in ["first", "second"] {
        assert_eq!(health(&conductor), 200);
        let busy = busy_clients(&conductor, turn);
        let (mut silent, mut resting) = (conductor.connect(), BufReader::new(conductor.connect()));
        ask(&mut resting, &format!("{turn}-resting")).unwrap();
        drain(&conductor, "start");
        drain(&conductor, "start");
        assert_eq!(health(&conductor), 503);
        answered += answers(busy) + 1;
        ends(&mut resting);
        ends(&mut silent);
        // The process runs on: who comes late is answered, once.
        let mut late = BufReader::new(conductor.connect());
        let answer = ask(&mut late, &format!("{turn}-late")).unwrap();
        assert_eq!(answer.header("connection"), Some("close"));
        ends(&mut late);
        ends(&mut conductor.connect());
        assert_eq!(health(&conductor), 503);
        drain(&conductor, "stop");
        assert_eq!(health(&conductor), 200);
        let mut kept = BufReader::new(conductor.connect());
        for number in 0..3 {
            let answer = ask(&mut kept, &format!("{turn}-kept-{number}")).unwrap();
            assert_eq!(answer.header("connection"), None);
        }
        answered += 4;
    }
    let counters = conductor.stop();
    assert_eq!(
        ["taken", "answered_stream"].map(|name| counters.get(name)),
        [answered; 2],
        "{}",
        counters.0
    );
}

#[test]
fn a_stop_without_a_drain_changes_nothing() {
    let (reader, writer) = (Peer::reader(), prompt_writer());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], DOOR));
    let mut client = BufReader::new(conductor.connect());
    ask(&mut client, "id-1").unwrap();
    drain(&conductor, "stop");
    assert_eq!(health(&conductor), 200);
    assert_eq!(ask(&mut client, "id-2").unwrap().header("connection"), None);
}

/// Guards against a stream that a drain cuts off, and against a drain lost to a reload.
#[test]
fn a_stream_longer_than_the_drain_comes_to_its_end() {
    let (reader, (writer, go)) = (Peer::reader(), waiting_writer());
    let file = operator_file(&[reader.address], &[writer.address], DOOR);
    let conductor = Conductor::start(&file);
    let mut client = BufReader::new(conductor.connect());
    client
        .get_mut()
        .write_all(request("id-1", "send", "hello").as_bytes())
        .unwrap();
    client.fill_buf().unwrap();
    let mut resting = resting(&conductor);
    drain(&conductor, "start");
    ends(&mut resting);
    conductor.reload(&file);
    conductor.wait_for("reload: discovery stays");
    conductor.reload("listen = ");
    conductor.wait_for("keeping the current configuration");
    assert_eq!(health(&conductor), 503);
    drain(&conductor, "stop");
    assert_eq!(health(&conductor), 200);
    go.send(()).unwrap();
    let answer = Message::read(&mut client).unwrap();
    assert!(
        answer.whole && answer.text().contains("two"),
        "{}",
        answer.text()
    );
    // Kept or closed: the drain may have been over before it came to this connection, whose first answer this is.
    drop(client);
    assert_eq!(conductor.stop().get("ended_served"), 1);
}

/// Guards against a conductor whose end a drain holds up, or that serves on because the drain stops.
#[test]
fn a_conductor_that_drains_ends_in_order_all_the_same() {
    let (reader, (writer, go)) = (Peer::reader(), waiting_writer());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], DOOR));
    let mut client = BufReader::new(conductor.connect());
    client
        .get_mut()
        .write_all(request("id-1", "send", "hello").as_bytes())
        .unwrap();
    client.fill_buf().unwrap();
    let mut resting = resting(&conductor);
    drain(&conductor, "start");
    ends(&mut resting);
    conductor.signal("-TERM");
    conductor.wait_for("stopping");
    drain(&conductor, "stop");
    // At once, or when nobody listens any more.
    assert!(!is_ready(&conductor));
    go.send(()).unwrap();
    assert!(Message::read(&mut client).unwrap().whole);
    ends(&mut client);
    assert_eq!(conductor.stop().get("ended_served"), 1);
}
