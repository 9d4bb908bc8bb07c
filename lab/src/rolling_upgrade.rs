//! `whinhaven-lab rolling-upgrade`: five routers under load, replaced one by one by another build, and back.
//!
//! The fleet has the tables of `deploy/fleet`: five voters, takeover and fleet-wide settings. Each router is ended with SIGTERM
//! and started again from its store with the other program. Routers of both builds so run side by side, read each
//! other's messages and logs, and open stores that the other build wrote. The history is then checked against the
//! promises, as any other history of the lab.

use crate::checker::{Limits, check};
use crate::clients::{Counts, Load};
use crate::fleet::{Fleet, FleetError, FleetSettings, StillDiffer};
use crate::history::{NotSeen, Record};
use crate::process::StartError;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

/// Routers in the fleet; all of them vote, as in `deploy/fleet`.
const ROUTERS: usize = 5;
/// Client threads, and the requests that they begin in a second.
const CLIENTS: usize = 6;
const REQUESTS_PER_SECOND: f64 = 40.0;
/// Records of requests in flight and fleet-wide settings, as in `deploy/fleet`.
const TABLES: &str = "[takeover]\n[policy]\n";

/// Which programs take turns.
#[derive(Clone, Debug, clap::Args)]
pub struct RollingUpgradeArgs {
    /// The program that the fleet starts with and comes back to.
    #[arg(long)]
    pub old: PathBuf,
    /// The program that it is upgraded to.
    #[arg(long)]
    pub new: PathBuf,
    /// Seed of the load and of the network.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// The trial could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum RollingUpgradeError {
    /// The fleet, or one of its routers, does not start.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A router did not do what was waited for.
    #[error(transparent)]
    NotSeen(#[from] NotSeen),
    /// The members' views do not come to agree.
    #[error(transparent)]
    Membership(#[from] StillDiffer),
}

/// What the trial found.
struct Findings {
    /// Routers that did not exit with status 0 on SIGTERM.
    failed_exits: Vec<String>,
    /// Routers that lost their session lease though it was not their turn.
    lost_sessions: Vec<String>,
    /// The epochs of the settings in force, in the order in which they were first seen.
    epochs: Vec<u64>,
}

impl Findings {
    fn is_clean(&self) -> bool {
        self.failed_exits.is_empty() && self.lost_sessions.is_empty() && self.epochs.len() == 1
    }
}

/// Plays the upgrade and the way back. `Ok(false)`: something was lost; the report on standard output says what.
///
/// # Errors
/// It can't be played to its end.
pub fn run(args: &RollingUpgradeArgs) -> Result<bool, RollingUpgradeError> {
    let mut fleet = start(args)?;
    let load = Load::start(&fleet.client(), CLIENTS, REQUESTS_PER_SECOND, args.seed);
    let mut findings = Findings {
        failed_exits: Vec::new(),
        lost_sessions: Vec::new(),
        epochs: Vec::new(),
    };
    for program in [&args.new, &args.old] {
        for name in fleet.names() {
            replace(&mut fleet, &name, program, &mut findings)?;
            println!("{name} runs {}", program.display());
        }
    }
    let counts = load.stop();
    fleet.wait_for_release()?;
    findings.epochs = epochs(&fleet.history.records());
    report(&fleet, &counts, &findings)
}

fn start(args: &RollingUpgradeArgs) -> Result<Fleet, RollingUpgradeError> {
    let settings = FleetSettings {
        conductors: ROUTERS,
        voters: ROUTERS,
        seed: args.seed,
        more: TABLES.to_owned(),
        program: Some(args.old.clone()),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings)?;
    for name in fleet.names() {
        fleet.wait_for(0, |r| r.is(&name, "policy.epoch"))?;
    }
    wait_for_agreement(&fleet)?;
    Ok(fleet)
}

/// Ends one router with SIGTERM, starts it again with `program` and waits until the whole fleet sees it and it may act.
fn replace(
    fleet: &mut Fleet,
    name: &str,
    program: &Path,
    findings: &mut Findings,
) -> Result<(), RollingUpgradeError> {
    let before = fleet.history.len();
    let exit = fleet.conductor(name).terminate()?;
    if !exit.is_some_and(|status| status.success()) {
        findings.failed_exits.push(name.to_owned());
    }
    let started_after = fleet.history.len();
    if let Some(conductor) = fleet.conductors.get_mut(name) {
        conductor.program = Some(program.to_owned());
        conductor.start().map_err(FleetError::from)?;
    }
    fleet.wait_for(started_after, |r| r.is(name, "life.gained"))?;
    fleet.wait_for(started_after, |r| r.is(name, "policy.epoch"))?;
    wait_for_agreement(fleet)?;
    let others = fleet.history.since(before);
    let lost = others
        .iter()
        .filter(|r| r.event == "life.lost" && r.source != name);
    findings
        .lost_sessions
        .extend(lost.map(|r| r.source.clone()));
    Ok(())
}

fn wait_for_agreement(fleet: &Fleet) -> Result<(), StillDiffer> {
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.wait_for_views(&names)
}

/// The different epochs that routers have said to hold, in their first order.
fn epochs(records: &[Record]) -> Vec<u64> {
    let mut epochs = Vec::new();
    let held = records
        .iter()
        .filter(|r| r.event == "policy.epoch")
        .filter_map(|r| r.number("epoch"));
    for epoch in held {
        if !epochs.contains(&epoch) {
            epochs.push(epoch);
        }
    }
    epochs
}

fn report(
    fleet: &Fleet,
    counts: &Counts,
    findings: &Findings,
) -> Result<bool, RollingUpgradeError> {
    let promises = check(&fleet.history.records(), &Limits::default());
    let count = |number: &std::sync::atomic::AtomicU64| number.load(Ordering::Relaxed);
    let lost = count(&counts.wrong) + count(&counts.failed) + count(&counts.given_up);
    println!("{counts:?}");
    println!(
        "requests lost: {lost}; routers that did not exit with 0: {:?}; sessions lost by others: {:?}; epochs: {:?}",
        findings.failed_exits, findings.lost_sessions, findings.epochs
    );
    print!("{promises}");
    let kept = lost == 0 && findings.is_clean() && promises.is_kept();
    if !kept {
        let path = std::env::temp_dir().join(format!(
            "whinhaven-rolling-upgrade-{}.jsonl",
            std::process::id()
        ));
        fleet
            .history
            .save(&path)
            .map_err(StartError::from)
            .map_err(FleetError::from)?;
        println!("history: {}", path.display());
    }
    Ok(kept)
}
