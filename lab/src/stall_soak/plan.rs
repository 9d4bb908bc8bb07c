//! What a round of the stall soak does, drawn from its seed.

use crate::shutdown_soak::Signal;
use rand::{Rng, RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Idle clients of a round with a crowd.
const CROWD: usize = 150;
/// The longest deadline that counts for the time of SIGKILL.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);

/// Blocks that are no events, and data that is none after the last event.
const TRICKLES: [&str; 7] = [
    ": ping\n\n",
    "\n",
    "id: 7\n\n",
    "event: ping\n\n",
    "data:\n\n",
    ": half",
    "data: x",
];

/// What a decode worker does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Streams events with this pause between them, and comments in the pauses if `comments`.
    Stream {
        events: u32,
        pause_ms: u64,
        comments: bool,
    },
    /// Writes one event of `bytes` within `span_ms`.
    SlowEvent { bytes: usize, span_ms: u64 },
    /// Streams some events, then sends `piece` again and again.
    Trickle { events: u32, piece: &'static str },
    /// Streams some events and falls silent, in the middle of an event or chunk if there is a beginning.
    Silent {
        events: u32,
        beginning: &'static str,
    },
    /// Streams some events and breaks its connection.
    BreakOff { events: u32 },
    /// Refuses: the request has not run.
    NotRun,
    /// Fails: it may have run.
    Fail,
}

impl Behaviour {
    /// Draws what happens to one request.
    pub fn draw(random: &mut impl Rng, spoilt_percent: u32) -> Behaviour {
        let events = random.random_range(0..4);
        if random.random_range(0..100) >= spoilt_percent {
            return match random.random_range(0..10) {
                0..6 => Behaviour::Stream {
                    events: 6,
                    pause_ms: 30,
                    comments: false,
                },
                6..8 => Behaviour::Stream {
                    events: 3,
                    pause_ms: random.random_range(500..3_800),
                    comments: random.random(),
                },
                8 => Behaviour::SlowEvent {
                    bytes: random.random_range(6_000..40_000),
                    span_ms: random.random_range(2_000..8_000),
                },
                _ => Behaviour::NotRun,
            };
        }
        match random.random_range(0..8) {
            0..4 => Behaviour::Trickle {
                events,
                piece: TRICKLES[random.random_range(0..TRICKLES.len())],
            },
            4 | 5 => Behaviour::Silent {
                events,
                beginning: ["", "data: {\"cho", ": half"][random.random_range(0..3)],
            },
            6 => Behaviour::BreakOff { events },
            _ => Behaviour::Fail,
        }
    }
}

/// What a client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Asks again and again on a kept connection.
    Keeper,
    /// Leaves some time after it has sent its request, and comes again with the same one.
    Leaver,
    /// Writes its requests in pieces.
    SlowWriter,
    /// Stops half way through a request and stays.
    Staller,
    /// Reads its answers slowly.
    SlowReader,
    /// Sends several requests at once and leaves over what it has not read.
    Pipeliner,
}

const KINDS: [ClientKind; 6] = [
    ClientKind::Keeper,
    ClientKind::Leaver,
    ClientKind::SlowWriter,
    ClientKind::Staller,
    ClientKind::SlowReader,
    ClientKind::Pipeliner,
];

/// A round.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// For each decode worker, how many in a hundred of its requests it spoils.
    pub spoilt_percent: Vec<u32>,
    /// For each prefill worker, whether it reads requests slowly.
    pub slow_prefill: Vec<bool>,
    /// The clients, half of them on either front.
    pub clients: Vec<ClientKind>,
    /// Idle clients.
    pub crowd: usize,
    /// The effect and the window of the class `quote`.
    pub quote_effect: &'static str,
    /// The window in which its repeats are dropped, in microseconds.
    pub quote_window_us: u64,
    /// The clients' deadlines.
    pub deadlines_ms: Vec<u64>,
    /// How long clients are there before SIGTERM.
    pub lead: Duration,
    /// Signals behind SIGTERM, with their times after it.
    pub signals: Vec<(u64, Signal)>,
}

impl Plan {
    /// Draws a round.
    pub fn draw(seed: u64) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let decode = random.random_range(3..6);
        let spoilt_percent = (0..decode).map(|_| [5, 10, 30, 60][random.random_range(0..4)]);
        let spoilt_percent = spoilt_percent.collect();
        let slow_prefill = (0..3).map(|n| n == 2 && random.random()).collect();
        let clients = (0..24).map(|n| KINDS[n / 2 % KINDS.len()]).collect();
        let effects = ["read_like", "non_idempotent", "idempotency_key"];
        let series = [Signal::Reload, Signal::Report, Signal::Terminate];
        let signals = (0..4).map(|_| {
            (
                random.random_range(20..1_200),
                series[random.random_range(0..3)],
            )
        });
        let mut signals: Vec<(u64, Signal)> = signals.collect();
        let hold_up = random.random_range(100..900);
        signals.extend([(hold_up, Signal::Stop), (hold_up + 150, Signal::Continue)]);
        signals.sort_by_key(|(at, _)| *at);
        Plan {
            seed,
            spoilt_percent,
            slow_prefill,
            clients,
            crowd: if random.random_range(0..4) == 0 {
                CROWD
            } else {
                0
            },
            quote_effect: effects[random.random_range(0..3)],
            quote_window_us: random.random_range(1_000_000..5_000_000),
            deadlines_ms: (0..3).map(|_| random.random_range(1_500..6_000)).collect(),
            lead: Duration::from_millis(random.random_range(9_000..11_000)),
            signals,
        }
    }

    /// The earliest SIGKILL after SIGTERM.
    pub fn kill_after(&self) -> Duration {
        let longest = self.deadlines_ms.iter().max().copied().unwrap_or_default();
        MAX_KILL_DEADLINE.min(Duration::from_millis(longest)) + Duration::from_millis(700)
    }

    /// A source of random numbers for one part of the round.
    pub fn random(&self, part: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(part + 1);
        let _ = random.next_u64();
        random
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "spoilt {:?}%, quote {} {} ms, deadlines {:?} ms, crowd {}",
            self.spoilt_percent,
            self.quote_effect,
            self.quote_window_us / 1_000,
            self.deadlines_ms,
            self.crowd
        )
    }
}
