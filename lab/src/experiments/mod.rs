//! Experiments: each measures one thing by itself, prints its figures as a table and plots them (SVG).
//!
//! `whinhaven-lab experiment NAME` runs one. A new experiment is a module here and a variant of [`Experiment`].

pub mod ground;
pub mod sites;
pub mod takeover;
pub mod view;

use std::error::Error;

/// All experiments, by name.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum Experiment {
    /// Real conductors: time to see a death, to move a lease, to agree after a heal; cost of the fleet's messages.
    Ground(ground::GroundArgs),
    /// The loss of one of five sites and its return, with the plan, without, and spread evenly.
    Sites(sites::SitesArgs),
    /// Real conductors: what the record of work in hand costs, and how long a dead one's work takes to be another's.
    Takeover(takeover::TakeoverArgs),
    /// The view in simulation: time to detect, to settle, false deaths, messages and bytes, against size and loss.
    View(view::ViewArgs),
}

impl Experiment {
    /// Runs it.
    ///
    /// # Errors
    /// It can't be carried out or its files can't be written, in one line.
    pub fn run(&self) -> Result<(), Box<dyn Error>> {
        match self {
            Experiment::Ground(args) => ground::run(args),
            Experiment::Sites(args) => sites::run(args),
            Experiment::Takeover(args) => takeover::run(args),
            Experiment::View(args) => view::run(args),
        }
    }
}
