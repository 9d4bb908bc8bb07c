//! `whinhaven-lab shutdown-soak`: a router that is told to stop under load and killed as early as it may be.
//!
//! One round starts a router on loopback, lets clients use it, sends SIGTERM and a drawn series of further signals, and sends
//! SIGKILL at the earliest moment that operators allow. Clients go on with the connections that they have until then, send
//! requests in pieces, and ask for streams that outlast the kill. The [`oracle`] reads the records of clients and model hosts
//! alone. A round follows from its seed, but for the timing of the machine.

mod clients;
mod model_hosts;
pub mod oracle;
mod plan;
mod router;

use crate::history::{History, Record, STUCK};
use clients::{Clients, RequestRecord};
use model_hosts::ModelHosts;
use oracle::{Evidence, Verdict};
pub use plan::Signal;
use plan::{Plan, Topology};
use router::Routers;
use std::fmt;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The earliest SIGKILL after SIGTERM, for a longest deadline of 3 s or more.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Clients are there for so long before SIGTERM.
const LEAD: Duration = Duration::from_millis(700);

/// How the soak runs.
#[derive(Clone, Debug, clap::Args)]
pub struct ShutdownSoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many rounds, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// Print the log of the router and the records of the requests that broke a rule.
    #[arg(long)]
    pub trace: bool,
}

/// A round can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ShutdownSoakError {
    /// A file or a socket of the lab.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A router does not start.
    #[error(transparent)]
    Start(#[from] crate::process::StartError),
    /// A router does not come to serve.
    #[error("{0} is not ready")]
    NotReady(String),
}

/// The moments of a round that its clients need.
#[derive(Debug, Default)]
pub struct Moments {
    /// SIGTERM has been sent.
    terminated: OnceLock<Instant>,
    /// SIGKILL is about to be sent.
    killed: OnceLock<Instant>,
}

/// What a round has come to.
#[derive(Debug)]
pub struct Round {
    /// Its seed.
    pub seed: u64,
    /// What was drawn.
    plan: Plan,
    /// What the oracle says.
    pub verdict: Verdict,
    /// Lines of the routers and the requests that broke a rule.
    trace: Vec<String>,
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "seed {}: {}: {}", self.seed, self.plan, self.verdict)
    }
}

/// Plays one round.
///
/// # Errors
/// A router can't be started, or does not come to serve.
pub fn play(seed: u64) -> Result<Round, ShutdownSoakError> {
    let plan = Plan::draw(seed);
    let hosts = ModelHosts::start(&plan);
    let history = History::new();
    let routers = Routers::start(&plan, &hosts, &history).inspect_err(|error| {
        let lines: Vec<String> = history.records().iter().map(Record::to_string).collect();
        log::warn!("seed {seed}: {plan}: {error}: {lines:#?}");
    })?;
    let moments = Moments::default();
    let begin = Instant::now();
    let terminate_at = begin + LEAD;
    let (records, status) = std::thread::scope(|scope| {
        let clients = Clients::start(scope, &plan, &routers, &moments, terminate_at);
        let status = shut_down(&plan, &routers, &moments, terminate_at);
        (clients.join(), status)
    });
    let evidence = Evidence {
        terminated: *moments.terminated.get().unwrap_or(&terminate_at),
        killed: *moments.killed.get().unwrap_or(&terminate_at),
        forwards: hosts.forwards(),
        has_crowd: plan.crowd > 0,
        is_started_late: plan.topology == Topology::Starting,
        failed_exit: status,
    };
    let verdict = oracle::judge(&records, &evidence);
    let trace = if verdict.is_kept() {
        Vec::new()
    } else {
        trace(&history, &records, &evidence)
    };
    Ok(Round {
        seed,
        plan,
        verdict,
        trace,
    })
}

/// Sends the signals of the plan and at last SIGKILL; how the router has ended before that, where it was not in order.
fn shut_down(
    plan: &Plan,
    routers: &Routers,
    moments: &Moments,
    terminate_at: Instant,
) -> Option<String> {
    let router = routers.stopping();
    for step in &plan.signals {
        let at = signed_offset(terminate_at, step.after_ms);
        sleep_until(at);
        match step.signal {
            Signal::Terminate => {
                router.begin_to_terminate();
                let _ = moments.terminated.set(Instant::now());
            }
            Signal::Interrupt => router.interrupt(),
            Signal::Reload => router.reload(),
            Signal::Report => router.report(),
            Signal::Stop => router.stop(),
            Signal::Continue => router.cont(),
            Signal::StartDrain => routers.call_admin("POST", "/ops/drain/start"),
            Signal::StopDrain => routers.call_admin("POST", "/ops/drain/stop"),
        }
    }
    sleep_until(moments.terminated.get().unwrap_or(&terminate_at).to_owned() + KILL_AFTER);
    let status = router.exit_status();
    let _ = moments.killed.set(Instant::now());
    router.kill();
    status
        .filter(|status| !status.success())
        .map(|status| status.to_string())
}

fn signed_offset(from: Instant, after_ms: i64) -> Instant {
    let span = Duration::from_millis(after_ms.unsigned_abs());
    if after_ms < 0 {
        from.checked_sub(span).unwrap_or(from)
    } else {
        from + span
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Lines of the routers, and the requests that broke a rule with what the hosts saw of them.
fn trace(history: &History, records: &[RequestRecord], evidence: &Evidence) -> Vec<String> {
    let lines = history.records().into_iter();
    let logged = lines
        .filter(|record| record.event != "event")
        .map(|record| format!("{} {record}", record.at_us));
    let broken = records
        .iter()
        .filter(|record| oracle::broken_rule(record, evidence).is_some())
        .map(|record| format!("{:?}, hosts: {:?}", record, evidence.forwards_of(record)));
    logged.chain(broken).collect()
}

/// Plays all rounds and prints each; whether every rule held.
///
/// # Errors
/// A round can't be played.
pub fn run(args: &ShutdownSoakArgs) -> Result<bool, ShutdownSoakError> {
    let mut is_kept = true;
    for seed in args.seed..args.seed + args.rounds {
        let round = play(seed)?;
        println!("{round}");
        if args.trace {
            round.trace.iter().for_each(|line| println!("  {line}"));
        }
        is_kept &= round.verdict.is_kept();
    }
    Ok(is_kept)
}

/// How long a client waits for an answer that neither comes nor breaks off.
const ANSWER_WITHIN: Duration = STUCK;
