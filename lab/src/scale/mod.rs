//! `whinhaven-lab scale`: what each part costs against its size, as tables (CSV, Markdown) and plots.
//!
//! Hollow members in simulation, real processes on loopback, and the deciding module by itself. The page that is made
//! of the figures is `docs/CAPACITY.md`.

pub mod decisions;
pub mod hollow;
pub mod layout;
pub mod process;
pub mod real;
pub mod report;
pub mod simulated;
pub mod slope;

use layout::Layout;
use std::error::Error;
use std::path::PathBuf;
use whinhaven::fleet::lease::RenewalPath;
use whinhaven::fleet::node::Config;

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct ScaleArgs {
    /// Sizes of simulated fleets; none: they are left out.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 30, 100, 300, 600, 1000, 1400])]
    pub members: Vec<usize>,
    /// Sizes of fleets of real processes; 0: they are left out.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 6, 9, 12, 15])]
    pub processes: Vec<usize>,
    /// Numbers of hosts at the deciding module; 0: it is left out.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 11000])]
    pub hosts: Vec<usize>,
    /// Tenants of its settings.
    #[arg(long, default_value_t = 1300)]
    pub tenants: usize,
    /// Requests that it decides at each number of hosts.
    #[arg(long, default_value_t = 2000)]
    pub requests: u64,
    /// Seconds over which messages are counted.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where tables and plots go.
    #[arg(long, default_value = "docs/figures")]
    pub out: PathBuf,
    /// How leases are renewed.
    #[arg(long, value_enum, default_value_t = Renewals::Log)]
    pub renewals: Renewals,
    /// How many members are relays; conductors learn from them and renew through them.
    #[arg(long, default_value_t = 0)]
    pub relays: usize,
    /// What the files of this run are called.
    #[arg(long, default_value = "scale")]
    pub name: String,
}

/// How leases are renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Renewals {
    /// By an entry of the log.
    Log,
    /// By a message that the leader answers.
    Leader,
}

impl Renewals {
    /// As the setting `renewal` has it.
    pub fn name(self) -> &'static str {
        match self {
            Renewals::Log => "log",
            Renewals::Leader => "leader",
        }
    }
}

/// The settings of service, with bounds that take a fleet of this size in.
pub fn settings_for(layout: Layout, renewals: Renewals) -> Config {
    let mut settings = Config::default();
    let members = layout.members as u32;
    settings.membership.max_members = layout.members + 1;
    settings.raft.max_learners = layout.members;
    settings.lease.renewal = match renewals {
        Renewals::Log => RenewalPath::Log,
        Renewals::Leader => RenewalPath::Leader,
    };
    settings.bounds.max_members = members * 2;
    settings.bounds.max_leases = members * 2 + 64;
    settings
}

/// Measures all that is asked for, prints tables as they are made, and writes the files.
///
/// # Errors
/// A fleet does not settle or start, or a file can't be written.
pub fn run(args: &ScaleArgs) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(&args.out)?;
    let report = report::Report::new(&args.out, &args.name);
    let mut fleets = Vec::new();
    for members in args.members.iter().copied().filter(|members| *members > 0) {
        let layout = Layout {
            members,
            relays: args.relays,
        };
        let settings = settings_for(layout, args.renewals);
        let figures = simulated::measure_fleet(layout, settings, args.seed, args.seconds)?;
        println!("{}", report::fleet_line(&figures));
        fleets.push(figures);
    }
    report.fleets(&fleets)?;
    let mut processes = Vec::new();
    for members in args
        .processes
        .iter()
        .copied()
        .filter(|members| *members > 0)
    {
        let figures =
            real::measure_processes(members, args.relays, args.renewals, args.seconds, args.seed)?;
        println!("{figures:?}");
        processes.push(figures);
    }
    report.processes(&processes)?;
    let mut decisions = Vec::new();
    for hosts in args.hosts.iter().copied().filter(|hosts| *hosts > 0) {
        for with_slow_start in [false, true] {
            let figures =
                decisions::measure_decisions(hosts, args.tenants, with_slow_start, args.requests)?;
            println!("{figures:?}");
            decisions.push(figures);
        }
    }
    report.decisions(&decisions)
}
