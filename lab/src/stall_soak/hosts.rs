//! Model hosts of the stall soak: they record what reached them and how it ended.

use super::answers::{Answer, ToolResults};
use super::behaviour::{Behaviour, SoundFraming};
use super::plan::Plan;
use crate::peer::Peer;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How a request ended at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEnd {
    /// The host has said all that it wanted to.
    Done,
    /// The router closed the connection before.
    Closed,
    /// It is under way.
    UnderWay,
}

/// A request that reached a host whole.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The client's mark of the request.
    pub mark: String,
    /// When.
    pub at: Instant,
    /// What a decode worker did with it; `None` at a prefill worker.
    pub behaviour: Option<Behaviour>,
    /// When its first spoilt byte was written.
    pub spoilt: Option<Instant>,
    /// How it ended.
    pub end: HostEnd,
    /// When it ended.
    pub ended: Option<Instant>,
}

type Forwards = Arc<Mutex<Vec<Forward>>>;

/// What the decode workers of a round share.
#[derive(Clone, Default)]
struct Shared {
    forwards: Forwards,
    tool_results: Arc<ToolResults>,
}

/// The hosts of a round.
pub struct Hosts {
    /// Addresses of the prefill workers.
    pub prefill: Vec<SocketAddr>,
    /// Addresses of the decode workers.
    pub decode: Vec<SocketAddr>,
    peers: Vec<Peer>,
    forwards: Forwards,
    /// Address of the tool server.
    pub tools: SocketAddr,
}

impl Hosts {
    /// Starts the hosts of a plan.
    pub fn start(plan: &Plan) -> Hosts {
        let shared = Shared::default();
        let forwards = shared.forwards.clone();
        let tools = tool_server(Duration::from_millis(plan.tool_ms));
        let prefill: Vec<Peer> = plan
            .slow_prefill
            .iter()
            .map(|is_slow| prefill_worker(*is_slow, forwards.clone()))
            .collect();
        let decode: Vec<Peer> = plan
            .spoilt_percent
            .iter()
            .enumerate()
            .map(|(number, percent)| decode_worker(plan.random(number as u64), *percent, &shared))
            .collect();
        let addresses = |peers: &[Peer]| peers.iter().map(|peer| peer.address).collect();
        Hosts {
            prefill: addresses(&prefill),
            decode: addresses(&decode),
            tools: tools.address,
            peers: prefill.into_iter().chain(decode).chain([tools]).collect(),
            forwards,
        }
    }

    /// Breaks all connections, and returns all requests that have reached a host.
    pub fn end(self) -> Vec<Forward> {
        self.peers.iter().for_each(Peer::close);
        lock(&self.forwards).clone()
    }
}

fn lock(forwards: &Forwards) -> std::sync::MutexGuard<'_, Vec<Forward>> {
    forwards.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The mark that a client wrote into its prompt.
fn mark_of(text: &str) -> String {
    let mark = text
        .split("mark=")
        .nth(1)
        .and_then(|rest| rest.split(';').next());
    mark.unwrap_or_default().to_owned()
}

fn note(forwards: &Forwards, mark: &str, behaviour: Option<Behaviour>) -> usize {
    let mut forwards = lock(forwards);
    forwards.push(Forward {
        mark: mark.to_owned(),
        at: Instant::now(),
        behaviour,
        spoilt: None,
        end: HostEnd::UnderWay,
        ended: None,
    });
    forwards.len() - 1
}

fn note_end(forwards: &Forwards, index: usize, end: HostEnd) {
    let mut forwards = lock(forwards);
    forwards[index].end = end;
    forwards[index].ended = Some(Instant::now());
}

/// A tool server that answers each call after `pause`.
fn tool_server(pause: Duration) -> Peer {
    Peer::start(move |message, conn| {
        let key = message.header("idempotency-key").unwrap_or_default();
        if conn.closes_within(pause.max(Duration::from_millis(1))) {
            return false;
        }
        let result = format!(r#"{{"jsonrpc":"2.0","id":"{key}","result":1}}"#);
        conn.answer("200 OK", "", &result);
        true
    })
}

fn prefill_worker(is_slow: bool, forwards: Forwards) -> Peer {
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        let index = note(&forwards, &mark_of(&message.text()), None);
        let pause = if is_slow { 900 } else { 10 };
        if conn.closes_within(Duration::from_millis(pause)) {
            note_end(&forwards, index, HostEnd::Closed);
            return false;
        }
        conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#);
        note_end(&forwards, index, HostEnd::Done);
        true
    })
}

fn decode_worker(random: ChaCha8Rng, spoilt_percent: u32, shared: &Shared) -> Peer {
    let random = Mutex::new(random);
    let shared = shared.clone();
    Peer::start(move |message, conn| {
        if let Some(id) = message.path().strip_prefix("/internal/tool-results/") {
            shared.tool_results.put(id);
            conn.answer("204 No Content", "", "");
            return true;
        }
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        let mark = mark_of(&message.text());
        let behaviour = {
            let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
            Behaviour::draw(&mut *random, spoilt_percent)
        };
        let forwards = &shared.forwards;
        let index = note(forwards, &mark, Some(behaviour));
        let mut answer = Answer {
            conn,
            mark: &mark,
            id: message.header("x-request-id").unwrap_or_default(),
            tool_results: &shared.tool_results,
            on_spoilt: &|| lock(forwards)[index].spoilt = Some(Instant::now()),
        };
        let end = answer.play(behaviour);
        note_end(forwards, index, end);
        end == HostEnd::Done && is_kept(behaviour)
    })
}

/// Whether the connection can carry another request.
fn is_kept(behaviour: Behaviour) -> bool {
    match behaviour {
        Behaviour::Unusual(framing) => framing != SoundFraming::SecondAnswer,
        _ => behaviour.is_sound() || behaviour == Behaviour::NotRun,
    }
}
