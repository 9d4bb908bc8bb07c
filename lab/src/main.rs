//! The lab's command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::experiments::Experiment;
use whinhaven_lab::history;
use whinhaven_lab::play::Play;
use whinhaven_lab::rolling_upgrade::{self, RollingUpgradeArgs};
use whinhaven_lab::scale::{self, ScaleArgs};
use whinhaven_lab::shutdown_soak::{self, ShutdownSoakArgs};
use whinhaven_lab::soak::{self, SoakArgs};
use whinhaven_lab::stall_soak::{self, StallSoakArgs};

/// Fleets of conductors on loopback: faults to try, histories to check, experiments.
#[derive(Parser)]
#[command(name = "whinhaven-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Starts a fleet with stand-in hosts and load; takes faults from the keyboard or a script; ends with a report.
    Play(Play),
    /// Holds a history against the promises; exits 1 where one is broken.
    Check {
        /// The history's file, a JSON line a record.
        history: PathBuf,
    },
    /// Measures one thing, prints its figures and plots them.
    Experiment {
        /// Which.
        #[command(subcommand)]
        which: Experiment,
    },
    /// Plays rounds of random faults on real conductors and holds each against the invariants; exits 1 where one breaks.
    Soak(SoakArgs),
    /// Stops a router under load with signals in series, kills it as early as it may be, and holds what came of it against
    /// the rules of a shutdown; exits 1 where one breaks.
    ShutdownSoak(ShutdownSoakArgs),
    /// Hosts and clients that trickle, stall, read slowly, leave and come back.
    StallSoak(StallSoakArgs),
    /// Measures what each part costs against its size: hollow members, real processes, the deciding module.
    Scale(ScaleArgs),
    /// Replaces the conductors of a fleet under load, one by one, by another build and back; exits 1 where anything is lost.
    RollingUpgrade(RollingUpgradeArgs),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let done = match Arguments::parse().command {
        Task::Play(play) => play.run(),
        Task::Check { history } => match history::read(&history) {
            Ok(records) => {
                let report = check(&records, &Limits::default());
                print!("{report}");
                Ok(report.is_kept())
            }
            Err(error) => Err(format!("{}: {error}", history.display())),
        },
        Task::Soak(args) => soak::run(&args).map_err(|e| e.to_string()),
        Task::StallSoak(args) => stall_soak::run(&args).map_err(|e| e.to_string()),
        Task::ShutdownSoak(args) => shutdown_soak::run(&args).map_err(|e| e.to_string()),
        Task::Scale(args) => scale::run(&args).map(|()| true).map_err(|e| e.to_string()),
        Task::RollingUpgrade(args) => rolling_upgrade::run(&args).map_err(|e| e.to_string()),
        Task::Experiment { which } => which.run().map(|()| true).map_err(|e| e.to_string()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("whinhaven-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
