//! What a round of the shutdown soak does, drawn from its seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;

/// How long a router may be held up.
const HOLD_UP_MS: i64 = 150;
/// Idle clients, and the router's descriptors that they fill.
const CROWD: usize = 190;
/// System calls that fail now and then: ECONNABORTED, EADDRNOTAVAIL, interrupted and short reads, writes and waits.
const FAILING_CALLS: &str = "accept4:103:7,connect:99:9,recv:4:11,writev:short:5,epoll_wait:4:13";
/// Clients of each kind.
const KEEPERS: usize = 14;
const DRIPPERS: usize = 26;
const NEWCOMERS: usize = 14;

/// The routers of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topology {
    /// One router.
    Alone,
    /// One that is told to stop as it starts.
    Starting,
    /// One that another process takes over from.
    WithSuccessor,
    /// A member of a fleet of three, with records of requests in flight and fleet-wide settings.
    Fleet,
    /// A member of a fleet of three without these.
    PlainFleet,
}

/// A signal, or a call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP.
    Reload,
    /// SIGUSR1.
    Report,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Continue,
    /// The operators send clients away.
    StartDrain,
    /// They no longer do.
    StopDrain,
}

/// A signal and its time against the first SIGTERM, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SignalStep {
    /// When.
    pub after_ms: i64,
    /// Which.
    pub signal: Signal,
}

/// The protocol that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Front {
    /// The platform's.
    Platform,
    /// JSON-RPC with tool calls.
    JsonRpc,
}

/// What one client does. Times are milliseconds against SIGTERM.
#[derive(Clone, Debug)]
pub enum ClientPlan {
    /// Asks on and on over one connection until it is closed.
    Keeper {
        /// Its protocol.
        front: Front,
        /// Between an answer and the next request.
        pause_ms: u64,
        /// How long its streams last.
        stream_ms: Vec<u64>,
        /// Between the two pieces of each request.
        gap_ms: u64,
    },
    /// Sends one request in two pieces.
    Dripper {
        /// Its protocol.
        front: Front,
        /// When it connects.
        connect_at: i64,
        /// When it sends the first piece.
        first_at: i64,
        /// When it sends the last piece.
        last_at: i64,
        /// Bytes of the last piece.
        last_bytes: usize,
        /// How long its stream lasts.
        stream_ms: u64,
    },
    /// Connects after SIGTERM and sends one request at once.
    Newcomer {
        /// Its protocol.
        front: Front,
        /// When.
        connect_at: i64,
        /// How long its stream lasts.
        stream_ms: u64,
    },
}

/// What model hosts of a round do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostKind {
    /// They answer.
    Well,
    /// They take requests and never answer.
    Hangs,
    /// Connections to them never come up.
    NeverUp,
}

/// What a round does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The routers.
    pub topology: Topology,
    /// Idle clients.
    pub crowd: usize,
    /// Signals in the order of their times.
    pub signals: Vec<SignalStep>,
    /// Prefill workers.
    pub prefill_hosts: Vec<HostKind>,
    /// Decode workers.
    pub decode_hosts: Vec<HostKind>,
    /// Clients.
    pub clients: Vec<ClientPlan>,
    /// System calls of the routers that fail, as the fault shim is told.
    pub failing_calls: Option<&'static str>,
}

impl Plan {
    /// Draws a round.
    pub fn draw(seed: u64) -> Plan {
        let random = &mut ChaCha8Rng::seed_from_u64(seed);
        let topology = match random.random_range(0..10) {
            0..5 => Topology::Alone,
            5 => Topology::Starting,
            6 | 7 => Topology::WithSuccessor,
            8 => Topology::Fleet,
            _ => Topology::PlainFleet,
        };
        let has_crowd = topology == Topology::Alone && random.random_bool(0.4);
        Plan {
            topology,
            crowd: if has_crowd { CROWD } else { 0 },
            signals: draw_signals(random, topology),
            prefill_hosts: draw_hosts(random),
            decode_hosts: draw_hosts(random),
            clients: draw_clients(random, topology),
            failing_calls: random.random_bool(0.3).then_some(FAILING_CALLS),
        }
    }
}

fn draw_signals(random: &mut ChaCha8Rng, topology: Topology) -> Vec<SignalStep> {
    let mut steps = vec![SignalStep {
        after_ms: 0,
        signal: Signal::Terminate,
    }];
    let mut add = |after_ms: i64, signal: Signal| steps.push(SignalStep { after_ms, signal });
    if random.random_bool(0.4) {
        for _ in 0..random.random_range(1..3) {
            add(random.random_range(1..1_500), Signal::Terminate);
        }
        add(random.random_range(1..1_500), Signal::Interrupt);
    }
    if random.random_bool(0.3) {
        add(-random.random_range(1..40), Signal::Reload);
    }
    if random.random_bool(0.3) {
        add(random.random_range(1..900), Signal::Reload);
        add(random.random_range(1..900), Signal::Report);
    }
    if random.random_bool(0.3) && topology != Topology::Starting {
        add(-random.random_range(20..600), Signal::StartDrain);
        if random.random_bool(0.5) {
            add(random.random_range(1..800), Signal::StopDrain);
        }
    }
    if random.random_bool(0.6) && topology != Topology::Starting {
        // From just before the signal on, or around one of the changes that follow it.
        let changes = [-10, -1, 1, 340, 400, 490, 540, 620, 690];
        let begin = changes[random.random_range(0..changes.len())];
        add(begin, Signal::Stop);
        add(begin + HOLD_UP_MS, Signal::Continue);
    }
    steps.sort_by_key(|step| step.after_ms);
    steps
}

fn draw_hosts(random: &mut ChaCha8Rng) -> Vec<HostKind> {
    let bad = match random.random_range(0..4) {
        0 => HostKind::Hangs,
        1 => HostKind::NeverUp,
        _ => HostKind::Well,
    };
    vec![HostKind::Well, HostKind::Well, HostKind::Well, bad]
}

fn draw_front(random: &mut ChaCha8Rng) -> Front {
    if random.random_bool(0.3) {
        Front::JsonRpc
    } else {
        Front::Platform
    }
}

/// Some streams are short, most outlast the kill.
fn draw_stream_ms(random: &mut ChaCha8Rng) -> u64 {
    if random.random_bool(0.4) {
        random.random_range(20..400)
    } else {
        random.random_range(3_000..5_000)
    }
}

fn draw_clients(random: &mut ChaCha8Rng, topology: Topology) -> Vec<ClientPlan> {
    // Nobody is served before the start.
    let is_early = topology != Topology::Starting;
    let mut clients = Vec::new();
    for _ in 0..KEEPERS {
        clients.push(ClientPlan::Keeper {
            front: draw_front(random),
            pause_ms: random.random_range(0..60),
            stream_ms: (0..4).map(|_| random.random_range(5..150)).collect(),
            gap_ms: if random.random_bool(0.3) {
                random.random_range(1..80)
            } else {
                0
            },
        });
    }
    for _ in 0..DRIPPERS {
        let last_at = if random.random_bool(0.7) {
            random.random_range(380..1_000)
        } else {
            random.random_range(1_000..2_300)
        };
        let earliest = if is_early { -500 } else { 0 };
        let connect_at = random.random_range(earliest..390);
        clients.push(ClientPlan::Dripper {
            front: draw_front(random),
            connect_at,
            first_at: connect_at + random.random_range(0..200),
            last_at: last_at.max(connect_at + 200),
            last_bytes: random.random_range(1..150),
            stream_ms: draw_stream_ms(random),
        });
    }
    for _ in 0..NEWCOMERS {
        clients.push(ClientPlan::Newcomer {
            front: draw_front(random),
            connect_at: random.random_range(0..395),
            stream_ms: draw_stream_ms(random),
        });
    }
    clients
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}", self.topology)?;
        if self.crowd > 0 {
            write!(f, " with a crowd")?;
        }
        for step in &self.signals {
            write!(f, ", {:?} {}", step.signal, step.after_ms)?;
        }
        if self.failing_calls.is_some() {
            write!(f, ", system calls fail")?;
        }
        for bad in [self.prefill_hosts.last(), self.decode_hosts.last()] {
            if let Some(kind) = bad.filter(|kind| **kind != HostKind::Well) {
                write!(f, ", a host {kind:?}")?;
            }
        }
        Ok(())
    }
}
