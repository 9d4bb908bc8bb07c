//! Model hosts of the stall soak: they trickle, stall and comment, and record what reached them and how it ended.

use super::plan::{Behaviour, Plan};
use crate::peer::{Conn, Peer};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two pieces of a trickle.
const TRICKLE_PERIOD: Duration = Duration::from_millis(250);
/// A host that trickles or is silent waits this long for the router to close.
const PATIENCE: Duration = Duration::from_secs(30);

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
    /// How it ended.
    pub end: HostEnd,
    /// When it ended.
    pub ended: Option<Instant>,
}

type Forwards = Arc<Mutex<Vec<Forward>>>;

/// The hosts of a round.
pub struct Hosts {
    /// Addresses of the prefill workers.
    pub prefill: Vec<SocketAddr>,
    /// Addresses of the decode workers.
    pub decode: Vec<SocketAddr>,
    peers: Vec<Peer>,
    forwards: Forwards,
}

impl Hosts {
    /// Starts the hosts of a plan.
    pub fn start(plan: &Plan) -> Hosts {
        let forwards = Forwards::default();
        let prefill: Vec<Peer> = plan
            .slow_prefill
            .iter()
            .map(|is_slow| prefill_worker(*is_slow, forwards.clone()))
            .collect();
        let decode: Vec<Peer> = plan
            .spoilt_percent
            .iter()
            .enumerate()
            .map(|(number, percent)| {
                decode_worker(plan.random(number as u64), *percent, forwards.clone())
            })
            .collect();
        let addresses = |peers: &[Peer]| peers.iter().map(|peer| peer.address).collect();
        Hosts {
            prefill: addresses(&prefill),
            decode: addresses(&decode),
            peers: prefill.into_iter().chain(decode).collect(),
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

fn decode_worker(random: ChaCha8Rng, spoilt_percent: u32, forwards: Forwards) -> Peer {
    let random = Mutex::new(random);
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        let mark = mark_of(&message.text());
        let behaviour = {
            let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
            Behaviour::draw(&mut *random, spoilt_percent)
        };
        let index = note(&forwards, &mark, Some(behaviour));
        let end = play(behaviour, &mark, conn);
        note_end(&forwards, index, end);
        end == HostEnd::Done && matches!(behaviour, Behaviour::Stream { .. } | Behaviour::NotRun)
    })
}

fn ended_if(is_closed: bool) -> Result<(), HostEnd> {
    if is_closed {
        Err(HostEnd::Closed)
    } else {
        Ok(())
    }
}

fn play(behaviour: Behaviour, mark: &str, conn: &mut Conn) -> HostEnd {
    try_play(behaviour, mark, conn).map_or_else(|end| end, |()| HostEnd::Done)
}

fn try_play(behaviour: Behaviour, mark: &str, conn: &mut Conn) -> Result<(), HostEnd> {
    let text = format!("[{mark}]");
    let begin = |conn: &mut Conn, events| {
        conn.begin_stream();
        (0..events).try_for_each(|_| {
            conn.delta(&text);
            ended_if(conn.closes_within(Duration::from_millis(30)))
        })
    };
    match behaviour {
        Behaviour::Stream {
            events,
            pause_ms,
            comments,
        } => {
            conn.begin_stream();
            for _ in 0..events {
                conn.delta(&text);
                if comments {
                    ended_if(conn.closes_within(Duration::from_millis(pause_ms / 2)))?;
                    conn.chunk(": working\n\n");
                }
                let left = if comments { pause_ms / 2 } else { pause_ms };
                ended_if(conn.closes_within(Duration::from_millis(left)))?;
            }
            conn.end_stream();
        }
        Behaviour::SlowEvent { bytes, span_ms } => {
            begin(conn, 1)?;
            let pieces = (span_ms / 100) as usize;
            conn.chunk(&format!(
                r#"data: {{"choices":[{{"index":0,"delta":{{"content":"{text}"#
            ));
            for _ in 0..pieces {
                conn.chunk(&"x".repeat(bytes / pieces));
                ended_if(conn.closes_within(Duration::from_millis(100)))?;
            }
            conn.chunk("\"},\"finish_reason\":null}]}\n\n");
            conn.end_stream();
        }
        Behaviour::Trickle { events, piece } => {
            begin(conn, events)?;
            let until = Instant::now() + PATIENCE;
            while Instant::now() < until {
                conn.chunk(piece);
                ended_if(conn.closes_within(TRICKLE_PERIOD))?;
            }
        }
        Behaviour::Silent { events, beginning } => {
            begin(conn, events)?;
            if !beginning.is_empty() {
                conn.chunk(beginning);
            }
            ended_if(conn.closes_within(PATIENCE))?;
        }
        Behaviour::BreakOff { events } => begin(conn, events)?,
        Behaviour::NotRun => conn.answer("503 Service Unavailable", "x-not-run: 1\r\n", ""),
        Behaviour::Fail => conn.answer("500 Internal Server Error", "", ""),
    }
    Ok(())
}
