//! Hosts that fall silent behind connections which stay open: real sockets, and hosts that stop reading on command.

mod support;

use rstest::rstest;
use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, mpsc};
use support::*;

/// What the hosts saw, in its order.
#[derive(Clone, Debug, PartialEq)]
enum Seen {
    /// A reader that runs ended a read well: its state is held from now on.
    Read(String),
    /// The system of a silent writer took a request that the writer itself has not.
    Buffered(String),
    /// The connection of such a request was closed.
    Closed(String),
    /// A host that runs took the release of a state.
    Released(String),
}

#[derive(Clone)]
struct Report(Arc<Mutex<mpsc::Sender<Seen>>>);

impl Report {
    fn new() -> (Report, mpsc::Receiver<Seen>) {
        let (sender, seen) = mpsc::channel();
        (Report(Arc::new(Mutex::new(sender))), seen)
    }

    fn note(&self, seen: Seen) {
        let _ = self.0.lock().unwrap().send(seen);
    }
}

fn request_id(message: &Message) -> String {
    let path = message.path().strip_prefix("/internal/reservations/");
    path.or(message.header("x-request-id"))
        .unwrap_or("")
        .to_owned()
}

/// Whether hosts are silent, for all of them and the test.
#[derive(Default)]
struct Silence {
    is_on: Mutex<bool>,
    over: Condvar,
}

impl Silence {
    fn is_on(&self) -> bool {
        *self.is_on.lock().unwrap()
    }

    fn set(&self, is_on: bool) {
        *self.is_on.lock().unwrap() = is_on;
        self.over.notify_all();
    }

    fn wait_until_over(&self) {
        drop(
            self.over
                .wait_while(self.is_on.lock().unwrap(), |is_on| *is_on)
                .unwrap(),
        );
    }
}

/// Takes reads and releases at once.
fn reader(report: Report) -> Peer {
    late_reader(Arc::default(), report)
}

/// Streams while it is not silent; once silent, what comes to it is lost to it, and its connections stay open.
fn writer(silent: Arc<Silence>, report: Report) -> Peer {
    Peer::start(move |message, conn| {
        if silent.is_on() {
            let id = request_id(message);
            if message.method() == "POST" {
                report.note(Seen::Buffered(id.clone()));
            }
            while !conn.is_closed() {}
            if message.method() == "POST" {
                report.note(Seen::Closed(id));
            }
            return false;
        }
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    })
}

/// Guards against a request that was written to a connection being taken for one that has arrived: the state is held
/// at its reader for as long as the attempt waits for an answer, and nobody has taken it or lets go of it. The rule
/// watched: a send that has not arrived does not stop the clock of what the first stage holds.
#[rstest]
#[case::repeatable("explain")]
#[case::unsafe_to_repeat("send")]
fn a_state_is_let_go_while_the_only_send_lies_at_a_silent_writer(#[case] class: &str) {
    let (report, seen) = Report::new();
    let silent = Arc::<Silence>::default();
    let readers: Vec<Peer> = (0..2).map(|_| reader(report.clone())).collect();
    let writers: Vec<Peer> = (0..3)
        .map(|_| writer(silent.clone(), report.clone()))
        .collect();
    let addresses = |peers: &[Peer]| peers.iter().map(|p| p.address).collect::<Vec<_>>();
    let conductor = Conductor::start(&operator_file(
        &addresses(&readers),
        &addresses(&writers),
        "",
    ));
    // So that connections are kept that look alive.
    for warm in 0..12 {
        assert_eq!(conductor.ask(&format!("warm-{warm}"), class).status(), 200);
    }
    silent.set(true);
    let mut client = conductor.connect();
    client
        .write_all(request("lost-1", class, "hello").as_bytes())
        .unwrap();
    let mut released = BTreeSet::new();
    let id = "lost-1".to_owned();
    let mut buffered = 0;
    loop {
        match seen
            .recv_timeout(STUCK)
            .expect("neither released nor closed")
        {
            Seen::Buffered(at) if at == id => {
                buffered += 1;
                released.remove(&id);
            }
            Seen::Released(at) => _ = released.insert(at),
            Seen::Closed(at) if at == id => {
                assert!(
                    released.contains(&id),
                    "closed after {buffered} sends, and the state was held meanwhile"
                );
                break;
            }
            _ => {}
        }
    }
}

/// A reader that, while it is silent, takes nothing; what waited on its connections arrives when it is back.
fn late_reader(silent: Arc<Silence>, report: Report) -> Peer {
    Peer::start(move |message, conn| {
        let id = request_id(message);
        if silent.is_on() && message.method() == "POST" {
            report.note(Seen::Buffered(id.clone()));
        }
        silent.wait_until_over();
        if message.method() == "DELETE" {
            report.note(Seen::Released(id));
            conn.answer("204 No Content", "", "");
        } else {
            report.note(Seen::Read(id));
            conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#);
        }
        true
    })
}

/// Guards against a state that nobody releases, since its read arrived after the request was over. The rule watched: what
/// is held is let go in time, also where a connection was silent with no error and is heard again.
#[test]
fn a_read_that_arrives_after_its_request_is_over_is_released() {
    let (report, seen) = Report::new();
    let silent = Arc::<Silence>::default();
    let readers = [late_reader(silent.clone(), report.clone())];
    let writers = [writer(Arc::default(), report.clone())];
    let addresses = |peers: &[Peer]| peers.iter().map(|p| p.address).collect::<Vec<_>>();
    let conductor = Conductor::start(&operator_file(
        &addresses(&readers),
        &addresses(&writers),
        "",
    ));
    assert_eq!(conductor.ask("warm-1", "explain").status(), 200);
    silent.set(true);
    let late =
        request("late-1", "explain", "hello").replace("x-deadline: 8000m", "x-deadline: 700m");
    assert_eq!(conductor.raw(late.as_bytes()).status(), 503);
    silent.set(false);
    let mut was_read = false;
    loop {
        match seen
            .recv_timeout(STUCK)
            .expect("the late read is never released")
        {
            Seen::Read(id) if id == "late-1" => was_read = true,
            Seen::Released(id) if id == "late-1" && was_read => break,
            _ => {}
        }
    }
}
