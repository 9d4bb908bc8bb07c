//! What crosses the conductor's own end: signals, requests and streams at once.

mod support;

use rstest::rstest;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, mpsc};
use support::*;

/// A channel that scripts may share.
fn news() -> (Arc<dyn Fn(String) + Send + Sync>, mpsc::Receiver<String>) {
    let (tx, rx) = mpsc::channel();
    let tx = Mutex::new(tx);
    (Arc::new(move |text| _ = tx.lock().unwrap().send(text)), rx)
}

/// A writer whose streams wait for a word after their first event, and then end as told.
fn waiting_writer(
    end: impl Fn(&mut Conn) -> bool + Send + Sync + 'static,
) -> (Peer, mpsc::Sender<()>) {
    let (go, gone) = mpsc::channel();
    let gone = Mutex::new(gone);
    let writer = Peer::start(move |message, conn| {
        if message.line.starts_with("DELETE") {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        gone.lock().unwrap().recv_timeout(STUCK).unwrap();
        end(conn)
    });
    (writer, go)
}

/// A client whose stream has begun.
fn begin(conductor: &Conductor, id: &str) -> BufReader<TcpStream> {
    let mut client = BufReader::new(conductor.connect());
    client
        .get_mut()
        .write_all(request(id, "send", "hello").as_bytes())
        .unwrap();
    client.fill_buf().unwrap();
    client
}

const EVENTS: usize = 400;

fn whole(conn: &mut Conn) -> bool {
    for _ in 0..EVENTS {
        conn.delta("more");
    }
    conn.end_stream();
    true
}

fn broken(conn: &mut Conn) -> bool {
    for _ in 0..EVENTS {
        conn.delta("more");
    }
    false
}

/// Guards against answers that a reset takes along: requests cross the end of the last answer on their connection,
/// and the socket was closed over them. Nothing is sent on for them.
#[rstest]
#[case::ends(whole, true)]
#[case::breaks(broken, false)]
fn a_stream_comes_to_its_end_though_a_request_crosses_it(
    #[case] end: fn(&mut Conn) -> bool,
    #[case] is_whole: bool,
) {
    let ((writer, go), reader) = (waiting_writer(end), Peer::reader());
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = begin(&conductor, "id-1");
    let mut resting = conductor.connect();
    conductor.signal("-TERM");
    // Those that rest are closed: the end has begun.
    assert_eq!(resting.read(&mut [0]).unwrap(), 0);
    // More than is read of it while the stream runs.
    client
        .get_mut()
        .write_all(request("id-2", "send", &"x".repeat(100_000)).as_bytes())
        .unwrap();
    go.send(()).unwrap();
    let counters = Counters(conductor.wait_for("stopped; counters:"));
    let answer = Message::read(&mut client).unwrap();
    assert_eq!(
        (answer.whole, answer.text().matches("more").count()),
        (is_whole, EVENTS)
    );
    // In order, and nothing behind it.
    assert_eq!(client.read(&mut [0]).expect("a reset"), 0);
    assert_eq!(counters.get("taken"), 1);
}

/// Guards against an end that a second signal cuts short.
#[test]
fn signals_during_the_end_do_not_hurry_it() {
    let ((writer, go), reader) = (waiting_writer(whole), Peer::reader());
    let file = operator_file(&[reader.address], &[writer.address], "");
    let conductor = Conductor::start(&file);
    let mut client = begin(&conductor, "id-1");
    let mut resting = conductor.connect();
    conductor.signal("-TERM");
    conductor.wait_for("stopping");
    for signal in ["-TERM", "-INT", "-USR1"] {
        conductor.signal(signal);
    }
    conductor.wait_for("] counters: ");
    conductor.signal("-HUP");
    conductor.wait_for("reload: discovery stays");
    conductor.reload("listen = ");
    conductor.wait_for("keeping the current configuration");
    assert_eq!(resting.read(&mut [0]).unwrap(), 0);
    conductor.signal("-TERM");
    go.send(()).unwrap();
    assert!(Message::read(&mut client).unwrap().whole);
    assert_eq!(conductor.stop().get("ended_served"), 1);
}

/// After SIGTERM clients use the connections that they have for as long as those stay open: what is taken is
/// answered whole, what comes too late is rejected and ends its connection, and a connection that ends without an answer
/// has had nothing sent on.
#[test]
fn each_request_sent_while_the_conductor_ends_is_answered_or_never_taken() {
    let reader = Peer::reader();
    let writer = Peer::start(|_, conn| {
        conn.begin_stream();
        conn.end_stream();
        true
    });
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    let address = conductor.address;
    let (begun, begins) = news();
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let (mut client, begun) = (BufReader::new(conductor.connect()), begun.clone());
            std::thread::spawn(move || {
                let (mut answered, mut rejected) = (0, 0);
                for i in 0.. {
                    let request = request(&format!("id-{c}-{i}"), "send", "hello");
                    if client.get_mut().write_all(request.as_bytes()).is_err() {
                        break;
                    }
                    let Some(answer) = Message::read(&mut client) else {
                        break;
                    };
                    assert!(answer.whole, "{}", answer.line);
                    if answer.status() == 503 {
                        rejected += 1;
                        break;
                    }
                    assert_eq!(answer.status(), 200, "{}", answer.line);
                    answered += 1;
                    if answer.header("connection") == Some("close") {
                        break;
                    }
                    begun(String::new());
                }
                (answered, rejected)
            })
        })
        .collect();
    for _ in 0..8 {
        begins.recv_timeout(STUCK).unwrap();
    }
    conductor.signal("-TERM");
    let end = Counters(conductor.wait_for("stopped; counters:"));
    let ended: Vec<(u64, u64)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let answered: u64 = ended.iter().map(|(answered, _)| answered).sum();
    let rejected: u64 = ended.iter().map(|(_, rejected)| rejected).sum();
    assert_eq!(
        ["taken", "answered_stream", "rejected_stopping"].map(|c| end.get(c)),
        [answered, answered, rejected],
        "{}",
        end.0
    );
    assert_eq!(end.get("answered_refused"), 0, "{}", end.0);
    // Nobody listens any more.
    assert!(TcpStream::connect(address).is_err());
}

/// Guards against what is read ahead while a stream runs: it is the next request, each byte of it in its place, and
/// more than is kept is no request at all.
#[rstest]
#[case::kept(40_000, 2)]
#[case::too_much(200_000, 1)]
fn a_request_behind_the_one_in_hand_comes_after_it_unchanged(
    #[case] length: usize,
    #[case] taken: u64,
) {
    let (tell, told) = news();
    let reader = Peer::start(move |message, conn| {
        tell(message.text());
        conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#);
        true
    });
    let (writer, go) = waiting_writer(whole);
    let conductor = Conductor::start(&operator_file(&[reader.address], &[writer.address], ""));
    let mut client = begin(&conductor, "id-1");
    assert_eq!(told.recv_timeout(STUCK).unwrap(), "hello");
    let body: String = (0..length)
        .map(|i| char::from(b'a' + (i % 23) as u8))
        .collect();
    for piece in request("id-2", "send", &body).as_bytes().chunks(7_000) {
        client.get_mut().write_all(piece).unwrap();
    }
    let mut other = begin(&conductor, "id-3");
    assert_eq!(told.recv_timeout(STUCK).unwrap(), "hello");
    for _ in 0..3 {
        go.send(()).unwrap();
    }
    assert!(Message::read(&mut client).unwrap().whole);
    assert!(Message::read(&mut other).unwrap().whole);
    let answer = Message::read(&mut client).unwrap();
    if taken == 2 {
        assert!(answer.whole);
        assert_eq!(told.recv_timeout(STUCK).unwrap(), body);
    } else {
        assert_eq!(answer.status(), 400);
    }
    drop((client, other));
    assert_eq!(conductor.stop().get("taken"), taken + 1);
}
