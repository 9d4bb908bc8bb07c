//! `whinhaven-lab soak`: real conductors under random faults that overlap in time, held against the invariants.
//!
//! One round starts a fleet on loopback, asks on and on, and lets a drawn [`schedule`] of faults run: hosts that fall
//! silent behind open connections, slow links, processes that are killed, restarted, stopped for a moment, hosts that
//! drain, wall clocks that are stepped. The [`invariants`] read the history of the stand-in hosts, the clients and the conductors, and nothing else.
//! A round follows from its seed, but for the timing of the machine.

pub mod invariants;
pub mod lateness;
pub mod load;
pub mod schedule;

use crate::fleet::{Fleet, FleetError, FleetSettings};
use crate::history::Record;
use crate::hosts::{HostRole, HostSettings};
use crate::process::{StartError, WallClock, fault_shim};
use invariants::{Outcome, Rules, stops};
use lateness::Lateness;
use load::Load;
use schedule::Schedule;
use std::ffi::OsString;
use std::fmt;
use std::time::{Duration, Instant};

/// What the conductors wait for after a round's last fault: the longest deadline and the time that states may be held.
const AFTERMATH: Duration = Duration::from_secs(6);

/// How a soak runs.
#[derive(Clone, Debug, clap::Args)]
pub struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many rounds, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// Conductors in each round, one process each.
    #[arg(long, default_value_t = 10)]
    pub conductors: usize,
    /// Seconds of faults in each round.
    #[arg(long, default_value_t = 15)]
    pub seconds: u64,
    /// Hold what the history shows against its rules without their times: for machines that do other work beside.
    #[arg(long)]
    pub without_times: bool,
    /// Make every so many system calls of the conductors fail: `CALL:ERRNO:EVERY`, separated by commas.
    #[arg(long)]
    pub system_calls: Option<String>,
}

/// What a round has come to.
#[derive(Debug)]
pub struct Round {
    /// Its seed.
    pub seed: u64,
    /// What the invariants say.
    pub outcome: Outcome,
    /// Faults that were begun.
    pub faults: usize,
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {}",
            self.seed, self.faults, self.outcome
        )
    }
}

fn fleet_settings(args: &SoakArgs, seed: u64, wall_clock: &WallClock) -> FleetSettings {
    let host = HostSettings {
        slots: 256,
        tokens_per_s: 1_000.0,
        ..HostSettings::quick("", HostRole::Reader, ([127, 0, 0, 1], 0).into())
    };
    let mut environment = environment(args.system_calls.as_deref().unwrap_or_default());
    environment.push(wall_clock.variable());
    FleetSettings {
        conductors: args.conductors,
        sites: 3,
        readers: 6,
        writers: 9,
        host,
        discovery: true,
        seed,
        environment,
        ..FleetSettings::default()
    }
}

/// What a conductor is started with so that these system calls of it fail.
pub fn environment(system_calls: &str) -> Vec<(&'static str, OsString)> {
    vec![
        ("LD_PRELOAD", fault_shim().into()),
        ("FAULT_SHIM", system_calls.into()),
    ]
}

/// Plays one round.
///
/// # Errors
/// The fleet can't be started, or a process does not come back.
pub fn play(args: &SoakArgs, seed: u64) -> Result<Round, FleetError> {
    let wall_clock = WallClock::new()?;
    let fleet = Fleet::start(fleet_settings(args, seed, &wall_clock))?;
    let lateness = Lateness::start();
    let load = Load::start(&fleet.client(), seed);
    let schedule = Schedule::draw(seed, Duration::from_secs(args.seconds), &fleet);
    let faults = schedule.len();
    schedule.run(&fleet, &wall_clock)?;
    fleet.network.heal();
    load.stop();
    wait_for_the_aftermath(&fleet);
    let failed_exits = end_all(&fleet)?;
    let records: Vec<Record> = fleet.history.records();
    let rules = Rules {
        lateness: lateness.stop(),
        failed_exits,
        stops: stops(&records),
        judges_times: !args.without_times,
    };
    let outcome = rules.judge(&records);
    if !outcome.is_kept() {
        let kept = std::env::temp_dir().join(format!("whinhaven-soak-{seed}.jsonl"));
        fleet.history.save(&kept)?;
        log::warn!("seed {seed}: the history is in {}", kept.display());
    }
    Ok(Round {
        seed,
        outcome,
        faults,
    })
}

/// Ends all conductors in order, beside each other; the names of those that did not end well.
fn end_all(fleet: &Fleet) -> Result<Vec<String>, FleetError> {
    std::thread::scope(|scope| {
        let ends: Vec<_> = fleet
            .conductors
            .iter()
            .map(|(name, c)| (name, scope.spawn(|| c.terminate())))
            .collect();
        let mut failed = Vec::new();
        for (name, end) in ends {
            let status = end
                .join()
                .expect("it only waits")
                .map_err(StartError::Silent)?;
            if status.is_some_and(|status| !status.success()) {
                failed.push(name.clone());
            }
        }
        Ok(failed)
    })
}

/// Waits until nothing is held any more, at most as long as anything may be.
fn wait_for_the_aftermath(fleet: &Fleet) {
    let until = Instant::now() + AFTERMATH;
    while Instant::now() < until && !fleet.states.held().is_empty() {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Plays all rounds and prints each; whether every invariant held.
///
/// # Errors
/// A round can't be played.
pub fn run(args: &SoakArgs) -> Result<bool, FleetError> {
    let mut is_kept = true;
    for seed in args.seed..args.seed + args.rounds {
        let round = play(args, seed)?;
        println!("{round}");
        is_kept &= round.outcome.is_kept();
    }
    Ok(is_kept)
}
