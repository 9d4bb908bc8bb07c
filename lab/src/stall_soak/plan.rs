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
    /// How long the tool server takes, in milliseconds.
    pub tool_ms: u64,
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
            tool_ms: random.random_range(0..3_000),
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
