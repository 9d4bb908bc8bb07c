//! The lab's command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::experiments::{ALL, Options};
use whinhaven_lab::history;
use whinhaven_lab::play::Play;

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
    /// Runs an experiment; without a name, lists them.
    Experiment {
        /// Its name.
        name: Option<String>,
        /// For all that is random.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Fewer sizes and rounds: seconds instead of minutes.
        #[arg(long)]
        quick: bool,
        /// Where plots and tables go.
        #[arg(long, default_value = "target/experiments")]
        out: PathBuf,
    },
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
        Task::Experiment { name: None, .. } => {
            ALL.iter().for_each(|e| println!("{:<16} {}", e.name, e.about));
            Ok(true)
        }
        Task::Experiment { name: Some(name), seed, quick, out } => {
            match ALL.iter().find(|e| e.name == name) {
                Some(experiment) => (experiment.run)(&Options { seed, quick, out }).map(|()| true),
                None => Err(format!("no experiment {name:?}; `whinhaven-lab experiment` lists them")),
            }
        }
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
