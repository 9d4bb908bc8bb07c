//! The faults of a round: drawn from its seed, begun and ended at moments of their own, so that they overlap.

use crate::fleet::{Fleet, FleetError};
use crate::network::Faults;
use crate::process::{StartError, WallClock};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::{Duration, Instant};

/// Between the begins of two faults, in the mean.
const MEAN_GAP: Duration = Duration::from_millis(700);
/// How long a conductor may be held up.
const HOLD_UP: Duration = Duration::from_millis(100);

/// How far wall clocks are stepped.
const CLOCK_STEP_SECONDS: i64 = 3_600;

/// One fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Hosts fall silent to all conductors behind connections that stay open.
    Silence(Vec<String>),
    /// A host is silent to one conductor, one way.
    SilentWay(String, String),
    /// Whatever goes to a host or comes from it takes long.
    Slow(String, Duration),
    /// A host's process dies and is started again.
    HostDies(String),
    /// A host drains, and is in service again.
    Drain(String),
    /// A conductor is told to end (SIGTERM) and started again.
    Terminate(String),
    /// A conductor dies (SIGKILL) and is started again.
    Kill(String),
    /// A conductor does not run for a moment (SIGSTOP).
    HoldUp(String),
    /// The wall clocks of all conductors are stepped by so many seconds; those that start meanwhile have the stepped time.
    StepClock(i64),
}

#[derive(Debug)]
enum Step {
    Begin(Fault),
    End(Fault),
}

/// All faults of a round in their order.
pub struct Schedule {
    steps: Vec<(Duration, Step)>,
}

impl Schedule {
    /// Draws a round of this length.
    pub fn draw(seed: u64, length: Duration, fleet: &Fleet) -> Schedule {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = Duration::from_secs(1);
        while at < length {
            let fault = draw_fault(&mut random, fleet);
            let lasts = match fault {
                Fault::HoldUp(_) => HOLD_UP,
                _ => Duration::from_millis(random.random_range(500..5_000)),
            };
            steps.push((at, Step::Begin(fault.clone())));
            steps.push(((at + lasts).min(length), Step::End(fault)));
            at += MEAN_GAP.mul_f64(random.random_range(0.2..1.8));
        }
        steps.sort_by_key(|(at, _)| *at);
        Schedule { steps }
    }

    /// How many faults it begins.
    pub fn len(&self) -> usize {
        self.steps.len() / 2
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Carries it out; returns after its last step.
    ///
    /// # Errors
    /// A process does not come back.
    pub fn run(self, fleet: &Fleet, wall_clock: &WallClock) -> Result<(), FleetError> {
        let begun = Instant::now();
        for (at, step) in self.steps {
            std::thread::sleep((begun + at).saturating_duration_since(Instant::now()));
            match step {
                Step::Begin(fault) => begin(&fault, fleet, wall_clock)?,
                Step::End(fault) => end(&fault, fleet, wall_clock)?,
            }
        }
        Ok(())
    }
}

fn any_of(random: &mut ChaCha8Rng, names: &[String]) -> String {
    names[random.random_range(0..names.len())].clone()
}

fn draw_fault(random: &mut ChaCha8Rng, fleet: &Fleet) -> Fault {
    let hosts: Vec<String> = fleet.hosts.keys().cloned().collect();
    let conductors = fleet.names();
    match random.random_range(0..12) {
        0..=3 => Fault::Silence(draw_silent(random, &hosts)),
        4 => Fault::SilentWay(any_of(random, &conductors), any_of(random, &hosts)),
        5 => Fault::Slow(
            any_of(random, &hosts),
            Duration::from_millis(random.random_range(20..300)),
        ),
        6 => Fault::HostDies(any_of(random, &hosts)),
        7 => Fault::Drain(any_of(random, &hosts)),
        8 => Fault::Terminate(any_of(random, &conductors)),
        9 => Fault::Kill(any_of(random, &conductors)),
        10 => Fault::HoldUp(any_of(random, &conductors)),
        _ if random.random() => Fault::StepClock(CLOCK_STEP_SECONDS),
        _ => Fault::StepClock(-CLOCK_STEP_SECONDS),
    }
}

/// One host, a third of all, or most of one role.
fn draw_silent(random: &mut ChaCha8Rng, hosts: &[String]) -> Vec<String> {
    let role = if random.random() { "reader" } else { "writer" };
    let mut some: Vec<String> = match random.random_range(0..3) {
        0 => return vec![any_of(random, hosts)],
        1 => hosts.to_vec(),
        _ => hosts
            .iter()
            .filter(|h| h.starts_with(role))
            .cloned()
            .collect(),
    };
    some.shuffle(random);
    some.truncate(if some.len() == hosts.len() {
        hosts.len() / 3
    } else {
        some.len() * 4 / 5
    });
    some
}

fn begin(fault: &Fault, fleet: &Fleet, wall_clock: &WallClock) -> Result<(), FleetError> {
    fleet.history.note(
        "lab",
        "soak.begin",
        json!({ "fault": format!("{fault:?}") }),
    );
    match fault {
        Fault::Silence(hosts) => hosts.iter().for_each(|host| fleet.network.cut("*", host)),
        Fault::SilentWay(conductor, host) => fleet.network.cut_one_way(conductor, host),
        Fault::Slow(host, delay) => {
            fleet
                .network
                .set_both("*", host, |f| (f.delay, f.jitter) = (*delay, *delay / 2));
        }
        Fault::HostDies(host) => fleet.hosts[host].kill(),
        Fault::Drain(host) => fleet.discovery.set_health(host, "draining"),
        Fault::Terminate(conductor) => fleet.conductor(conductor).begin_to_terminate(),
        Fault::Kill(conductor) => fleet.conductor(conductor).kill(),
        Fault::HoldUp(conductor) => fleet.conductor(conductor).stop(),
        Fault::StepClock(seconds) => wall_clock.step(*seconds)?,
    }
    Ok(())
}

fn end(fault: &Fault, fleet: &Fleet, wall_clock: &WallClock) -> Result<(), FleetError> {
    fleet
        .history
        .note("lab", "soak.end", json!({ "fault": format!("{fault:?}") }));
    match fault {
        Fault::Silence(hosts) => {
            hosts.iter().for_each(|host| {
                fleet
                    .network
                    .set_both("*", host, |f| *f = Faults::default());
            });
        }
        Fault::SilentWay(conductor, host) => {
            fleet
                .network
                .set_both(conductor, host, |f| *f = Faults::default());
        }
        Fault::Slow(host, _) => fleet
            .network
            .set_both("*", host, |f| *f = Faults::default()),
        Fault::HostDies(host) => {
            if !fleet.hosts[host].is_running() {
                fleet.hosts[host].restart()?;
            }
        }
        Fault::Drain(host) => fleet.discovery.set_health(host, "ready"),
        Fault::Terminate(conductor) => {
            let conductor = fleet.conductor(conductor);
            conductor.terminate().map_err(StartError::Silent)?;
            conductor.start()?;
        }
        Fault::Kill(conductor) => {
            let conductor = fleet.conductor(conductor);
            if conductor.id().is_none() {
                conductor.start()?;
            }
        }
        Fault::HoldUp(conductor) => fleet.conductor(conductor).cont(),
        Fault::StepClock(_) => wall_clock.step(0)?,
    }
    Ok(())
}
