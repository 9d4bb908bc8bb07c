//! Model hosts that read a large request slowly, or stop reading it.

mod support;

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use support::*;

/// The receive buffer of a host that does not read, so that a large request does not fit.
const RECEIVE_BUFFER: usize = 8 * 1024;
/// The length of the large request's text.
const PROMPT_BYTES: usize = 240_000;

/// How much of a request a host reads before it stops.
const PART_BYTES: usize = 100_000;
/// For how long the router is held up.
const HOLD_UP: Duration = Duration::from_millis(150);

/// A host that accepts connections and reads nothing of them, or a part.
struct DeafHost {
    address: SocketAddr,
    /// Tells of each connection whose part was read.
    parts: mpsc::Receiver<()>,
}

impl DeafHost {
    fn start() -> DeafHost {
        DeafHost::reading(0)
    }

    fn reading(bytes: usize) -> DeafHost {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).unwrap();
        socket.listen(64).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let (part, parts) = mpsc::channel();
        thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            for mut stream in listener.incoming().flatten() {
                if stream.read_exact(&mut vec![0; bytes]).is_ok() && part.send(()).is_err() {
                    break;
                }
                open.push(stream);
            }
        });
        DeafHost { address, parts }
    }
}

fn platform(class: &str) -> String {
    let request = request("large-1", class, &"p".repeat(PROMPT_BYTES));
    request.replace("x-deadline: 8000m", "x-deadline: 1500m")
}

fn json_rpc(class: &str) -> String {
    let text = "p".repeat(PROMPT_BYTES);
    rpc_request(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"request":"large-1","deadline_ms":1500,"messages":[{{"role":"user","content":"{text}"}}]}}}}"#
    ))
}

/// Guards against final answers that wait for a host to read a large request. A `send` whose last byte the host's system has taken
/// may have run, and fails.
#[rstest]
fn a_large_request_to_hosts_that_read_nothing_has_its_final_answer(
    #[values("explain", "send")] class: &str,
    #[values(platform, json_rpc)] front: fn(&str) -> String,
    #[values(true, false)] is_reader_deaf: bool,
) {
    let deaf = DeafHost::start();
    let sound = Peer::reader();
    let reader = if is_reader_deaf {
        deaf.address
    } else {
        sound.address
    };
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let router = Conductor::start(&operator_file(&[reader], &[deaf.address], &tools));
    let answer = router.raw(front(class).as_bytes());
    let allowed: &[u16] = if class == "send" { &[502, 503] } else { &[503] };
    assert!(
        answer.whole && allowed.contains(&answer.status()),
        "{answer:?}"
    );
}

/// What happens to the router while a host has read a part of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Nothing,
    Terminate,
    HoldUp,
}

/// Guards against final answers that wait for a host which stops in the middle of a large request, also while the router stops
/// or is held up.
#[rstest]
fn a_large_request_of_which_hosts_read_a_part_has_its_final_answer(
    #[values("explain", "send")] class: &str,
    #[values(platform, json_rpc)] front: fn(&str) -> String,
    #[values(Trouble::Nothing, Trouble::Terminate, Trouble::HoldUp)] trouble: Trouble,
) {
    let (deaf, sound) = (DeafHost::reading(PART_BYTES), Peer::reader());
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let file = operator_file(&[sound.address], &[deaf.address], &tools);
    let router = Conductor::start(&file);
    let mut client = router.connect();
    client.write_all(front(class).as_bytes()).unwrap();
    deaf.parts.recv_timeout(STUCK).unwrap();
    match trouble {
        Trouble::Nothing => {}
        Trouble::Terminate => router.signal("-TERM"),
        Trouble::HoldUp => {
            router.signal("-STOP");
            // The time is the trouble itself, not a wait for an event.
            let (_never, timer) = mpsc::channel::<()>();
            let _ = timer.recv_timeout(HOLD_UP);
            router.signal("-CONT");
        }
    }
    let answer = Message::read(&mut BufReader::new(client)).unwrap_or_default();
    let allowed: &[u16] = if class == "send" { &[502, 503] } else { &[503] };
    assert!(
        answer.whole && allowed.contains(&answer.status()),
        "{answer:?}"
    );
    if trouble == Trouble::Terminate {
        assert!(router.ends_well());
    }
}
