//! A new version takes over from a running one: two real processes at one address.

mod support;

use rstest::rstest;
use std::fs::{self, File};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use support::*;

const CLIENTS: u64 = 6;

/// One address, model hosts behind it, and a temporary folder that its processes share.
struct Service {
    address: SocketAddr,
    folder: PathBuf,
    reader: Peer,
    writer: Peer,
}

impl Service {
    fn new(name: &str) -> Service {
        let folder =
            std::env::temp_dir().join(format!("whinhaven-upgrade-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        // The system gives a port that was just free to nobody else for a while.
        let address = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let writer = Peer::start(|_, conn| {
            conn.begin_stream();
            conn.delta("one");
            conn.end_stream();
            true
        });
        Service {
            address,
            folder,
            reader: Peer::reader(),
            writer,
        }
    }

    fn file(&self, readers: &[SocketAddr], writers: &[SocketAddr]) -> String {
        operator_file(readers, writers, "").replace("127.0.0.1:0", &self.address.to_string())
    }

    /// Starts a process that can serve.
    fn launch(&self) -> Conductor {
        Conductor::launch(
            &self.file(&[self.reader.address], &[self.writer.address]),
            &self.folder,
        )
    }

    fn seat(&self, number: usize) -> PathBuf {
        self.folder
            .join(format!("whinhaven-{}.seat{number}", self.address))
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Clients that ask one request after the other: half of them each on a new connection, half on one that they keep
/// for as long as it stays open.
struct Clients {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(address: SocketAddr) -> Clients {
        let (stop, answered) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let client = |number: u64| {
            let (stop, answered) = (stop.clone(), answered.clone());
            thread::spawn(move || {
                let mut client = Client {
                    address,
                    keeps: number.is_multiple_of(2),
                    kept: None,
                };
                for turn in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    client.ask(&format!("id-{number}-{turn}"));
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Clients {
            stop,
            answered,
            threads,
        }
    }

    /// Waits until some more requests have been answered.
    fn go_on(&self) {
        let until = self.answered.load(Ordering::SeqCst) + 20 * CLIENTS;
        while self.answered.load(Ordering::SeqCst) < until {
            assert!(
                self.threads.iter().all(|t| !t.is_finished()),
                "a client has failed"
            );
            thread::yield_now();
        }
    }

    /// Ends them; each one's requests have all been answered.
    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
    }
}

struct Client {
    address: SocketAddr,
    keeps: bool,
    kept: Option<BufReader<TcpStream>>,
}

impl Client {
    fn ask(&mut self, id: &str) {
        let request = request(id, "explain", "hello");
        // A connection that was closed between two requests leads to a new one, as the protocol has it.
        let kept = self
            .kept
            .take()
            .and_then(|kept| Self::try_ask(kept, &request));
        let (answer, connection) = kept.unwrap_or_else(|| {
            let new = TcpStream::connect(self.address).expect("let in");
            new.set_read_timeout(Some(STUCK)).unwrap();
            Self::try_ask(BufReader::new(new), &request).expect("answered")
        });
        assert!(answer.status() == 200 && answer.whole, "{id}: {answer:?}");
        let closes = answer.header("connection") == Some("close");
        self.kept = Some(connection).filter(|_| self.keeps && !closes);
    }

    fn try_ask(
        mut connection: BufReader<TcpStream>,
        request: &str,
    ) -> Option<(Message, BufReader<TcpStream>)> {
        connection.get_mut().write_all(request.as_bytes()).ok()?;
        let answer = Message::read(&mut connection)?;
        Some((answer, connection))
    }
}

/// Guards against a second process that finds the address taken, and against clients that are reset on the way from
/// one to the other.
#[test]
fn two_upgrades_in_a_row_lose_no_request() {
    let service = Service::new("steady");
    let mut running = service.launch().serving();
    let clients = Clients::start(service.address);
    clients.go_on();
    for _ in 0..2 {
        let new = service.launch().serving();
        clients.go_on();
        running.signal("-TERM");
        let stopped = running.wait_for("stopped; counters:");
        assert!(running.ends_well());
        assert!(Counters(stopped).get("taken") > 0);
        clients.go_on();
        running = new;
    }
    clients.stop();
    assert!(running.stop().get("taken") > 0);
}

/// The front stops at the first no, and the address is served on.
#[test]
fn a_process_that_leaves_the_address_to_another_one_still_says_that_it_is_served() {
    let service = Service::new("healthz");
    let running = service.launch().serving();
    let mut kept = BufReader::new(running.connect());
    let mut ask = || {
        kept.get_mut()
            .write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n")
            .unwrap();
        Message::read(&mut kept).unwrap()
    };
    assert_eq!(ask().status(), 200);
    let _new = service.launch().serving();
    running.signal("-TERM");
    running.wait_for("stopping: another process serves");
    let answer = ask();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, Some("close"))
    );
}

/// Guards against requests that the system hands to a process with nowhere to send them.
#[test]
fn a_start_that_never_can_serve_leaves_the_running_process_alone() {
    let service = Service::new("hostless");
    let running = service.launch().serving();
    let new = Conductor::launch(&service.file(&[], &[]), &service.folder);
    new.wait_for("two processes share the limits");
    for number in 0..32 {
        assert_eq!(
            running.ask(&format!("id-{number}"), "explain").status(),
            200
        );
    }
    new.signal("-TERM");
    assert!(new.ends_well());
    assert_eq!(running.stop().get("taken"), 32);
}

#[test]
fn a_start_with_a_broken_file_leaves_the_running_process_alone() {
    let service = Service::new("broken");
    let running = service.launch().serving();
    let new = Conductor::launch("listen = ", &service.folder);
    new.wait_for("configuration: ");
    assert!(!new.ends_well());
    assert_eq!(running.ask("id-1", "explain").status(), 200);
    assert_eq!(running.stop().get("taken"), 1);
}

#[test]
fn a_running_process_that_is_killed_leaves_all_to_the_new_one() {
    let service = Service::new("killed");
    let running = service.launch().serving();
    let new = service.launch().serving();
    running.signal("-KILL");
    assert!(!running.ends_well());
    new.wait_for("this process is the only one");
    assert_eq!(new.ask("id-1", "explain").status(), 200);
    assert_eq!(new.stop().get("taken"), 1);
}

#[test]
fn another_program_at_the_address_is_not_joined() {
    let service = Service::new("other");
    let _running = service.launch().serving();
    let elsewhere = service.folder.join("elsewhere");
    fs::create_dir(&elsewhere).unwrap();
    let file = service.file(&[service.reader.address], &[service.writer.address]);
    let stranger = Conductor::launch(&file, &elsewhere);
    stranger.wait_for("configuration: listen ");
    assert!(!stranger.ends_well());
}

#[rstest]
#[case::stale("whinhaven-seat-1 serving 1024\n", false)]
#[case::foreign("who knows what", false)]
#[case::foreign_and_held("who knows what", true)]
fn a_file_in_the_place_of_a_seat_does_no_harm(#[case] text: &str, #[case] is_held: bool) {
    let service = Service::new(&format!("file-{}-{is_held}", text.len()));
    for number in [0, 1] {
        fs::write(service.seat(number), text).unwrap();
    }
    let foreign = File::open(service.seat(0)).unwrap();
    if is_held {
        foreign.lock().unwrap();
    }
    let running = service.launch();
    if is_held {
        running.wait_for("not a status line of this version; ignored");
    }
    let running = running.serving();
    assert_eq!(running.ask("id-1", "explain").status(), 200);
    assert_eq!(running.stop().get("taken"), 1);
}

#[test]
fn without_a_usable_seat_it_serves_alone() {
    let service = Service::new("unusable");
    fs::create_dir(service.seat(0)).unwrap();
    let running = service.launch();
    running.wait_for("no second process can serve");
    let running = running.serving();
    let second = service.launch();
    second.wait_for("configuration: listen ");
    assert!(!second.ends_well());
    assert_eq!(running.ask("id-1", "explain").status(), 200);
}
