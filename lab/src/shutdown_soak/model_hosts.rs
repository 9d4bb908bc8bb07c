//! Model hosts of the shutdown soak: they record what reaches them.

use super::plan::{HostKind, Plan};
use crate::peer::{Conn, Message, Peer, Silent};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two events of a stream.
const EVENT_PERIOD: Duration = Duration::from_millis(50);
/// A prompt takes this long to be read.
const PREFILL: Duration = Duration::from_millis(8);

/// A request that reached a host.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The client's mark of the request.
    pub mark: String,
    /// When.
    pub at: Instant,
    /// Whether a decode worker got it.
    pub is_decode: bool,
}

/// What clients write into a prompt: the request's mark and how long its stream lasts.
pub fn prompt(mark: &str, stream_ms: u64) -> String {
    format!("mark={mark};stream_ms={stream_ms};")
}

fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(name).nth(1)?.split(';').next()
}

type Forwards = Arc<Mutex<Vec<Forward>>>;

/// The hosts of a round.
pub struct ModelHosts {
    peers: Vec<Peer>,
    silent: Vec<Silent>,
    prefill: Vec<SocketAddr>,
    decode: Vec<SocketAddr>,
    forwards: Forwards,
}

impl ModelHosts {
    /// Starts the hosts of a plan.
    pub fn start(plan: &Plan) -> ModelHosts {
        let mut hosts = ModelHosts {
            peers: Vec::new(),
            silent: Vec::new(),
            prefill: Vec::new(),
            decode: Vec::new(),
            forwards: Arc::default(),
        };
        for kind in &plan.prefill_hosts {
            let address = hosts.start_one(*kind, false);
            hosts.prefill.push(address);
        }
        for kind in &plan.decode_hosts {
            let address = hosts.start_one(*kind, true);
            hosts.decode.push(address);
        }
        hosts
    }

    fn start_one(&mut self, kind: HostKind, is_decode: bool) -> SocketAddr {
        if kind == HostKind::NeverUp {
            let silent = Silent::start();
            let address = silent.address;
            self.silent.push(silent);
            return address;
        }
        let forwards = self.forwards.clone();
        let peer = Peer::start(move |message, conn| {
            if message.method() == "DELETE" {
                conn.answer("204 No Content", "", "");
                return true;
            }
            let text = message.text();
            note(&forwards, &text, is_decode);
            if kind == HostKind::Hangs {
                return !conn.is_closed();
            }
            if is_decode {
                stream(&text, conn)
            } else {
                answer_prefill(message, conn)
            }
        });
        let address = peer.address;
        self.peers.push(peer);
        address
    }

    /// Addresses of the prefill workers.
    pub fn prefill(&self) -> &[SocketAddr] {
        &self.prefill
    }

    /// Addresses of the decode workers.
    pub fn decode(&self) -> &[SocketAddr] {
        &self.decode
    }

    /// All requests that have reached a host.
    pub fn forwards(&self) -> Vec<Forward> {
        let forwards = self.forwards.lock().unwrap_or_else(PoisonError::into_inner);
        forwards.clone()
    }
}

fn note(forwards: &Forwards, text: &str, is_decode: bool) {
    let forward = Forward {
        mark: field(text, "mark=").unwrap_or_default().to_owned(),
        at: Instant::now(),
        is_decode,
    };
    let mut forwards = forwards.lock().unwrap_or_else(PoisonError::into_inner);
    forwards.push(forward);
}

fn answer_prefill(_: &Message, conn: &mut Conn) -> bool {
    std::thread::sleep(PREFILL);
    conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#);
    true
}

fn stream(text: &str, conn: &mut Conn) -> bool {
    let lasts = field(text, "stream_ms=").and_then(|ms| ms.parse().ok());
    let until = Instant::now() + Duration::from_millis(lasts.unwrap_or_default());
    conn.begin_stream();
    while Instant::now() < until {
        if !conn.delta("more") {
            return false;
        }
        let left = until.saturating_duration_since(Instant::now());
        std::thread::sleep(left.min(EVENT_PERIOD));
    }
    conn.end_stream();
    true
}
