//! `whinhaven-lab stall-soak`: hosts and clients that trickle, stall, comment, spoil their framing, read slowly, leave and
//! come back.
//!
//! One round starts a router on loopback with both fronts, lets hosts and clients of all kinds at it, then sends SIGTERM and
//! further signals, and SIGKILL at the earliest moment that operators allow. The [`oracle`] reads the records of clients
//! and model hosts, and the router's counters and log. A round follows from its seed, but for the timing of the machine.

mod answers;
mod behaviour;
mod clients;
mod hosts;
pub mod oracle;
mod plan;

use crate::fleet::SETTINGS;
use crate::history::History;
use crate::process::{Conductor, Folder};
use crate::shutdown_soak::{ShutdownSoakError, Signal};
use clients::{Client, Request};
use hosts::Hosts;
use oracle::{Evidence, Rule};
use plan::Plan;
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Memory limit of the router, in megabytes.
const MEMORY_MB: u64 = 96;

/// How the soak runs.
#[derive(Clone, Debug, clap::Args)]
pub struct StallSoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How many rounds, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    pub rounds: u64,
    /// Print the records that broke a rule, and the router's log.
    #[arg(long)]
    pub trace: bool,
}

/// What a round has come to.
#[derive(Debug)]
pub struct Round {
    plan: Plan,
    /// Requests in all.
    pub requests: usize,
    /// Streams that were broken off.
    pub broken_off: usize,
    /// The router's peak memory, in kilobytes.
    pub peak_kb: u64,
    /// Rules that were broken, each with what shows it.
    pub broken: Vec<(Rule, String)>,
    log: Vec<String>,
}

impl Round {
    /// Whether every rule held.
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for Round {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut counts = BTreeMap::<Rule, usize>::new();
        self.broken
            .iter()
            .for_each(|(rule, _)| *counts.entry(*rule).or_default() += 1);
        let kept = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(
            f,
            "seed {}: {}: {kept}; {} requests, {} broken off, {} kB at most {counts:?}",
            self.plan.seed, self.plan, self.requests, self.broken_off, self.peak_kb
        )
    }
}

/// Plays one round.
///
/// # Errors
/// The router can't be started.
pub fn play(seed: u64) -> Result<Round, ShutdownSoakError> {
    let plan = Plan::draw(seed);
    let hosts = Hosts::start(&plan);
    let (history, folder) = (History::new(), Folder::temporary()?);
    let file = folder.path().join("router.toml");
    std::fs::write(&file, operator_file(&plan, &hosts))?;
    let mut router = Conductor::new("router", file, &[], history.clone());
    router.environment.push(("TMPDIR", folder.path().into()));
    let line = router.start()?;
    let address = address_in(line.text("line"))
        .ok_or_else(|| ShutdownSoakError::NotReady("the router".to_owned()))?;
    let is_over = AtomicBool::new(false);
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok();
    let crowd: Vec<TcpStream> = (0..plan.crowd).filter_map(connect).collect();
    let (requests, mut evidence) = std::thread::scope(|scope| {
        let clients: Vec<_> = plan
            .clients
            .iter()
            .enumerate()
            .map(|(number, kind)| Client {
                number,
                kind: *kind,
                plan: &plan,
                address,
                is_over: &is_over,
            })
            .map(|client| scope.spawn(move || client.run()))
            .collect();
        let evidence = shut_down(&plan, &router, &is_over);
        let requests = clients
            .into_iter()
            .flat_map(|client| client.join().expect("a client panicked"));
        (requests.collect::<Vec<Request>>(), evidence)
    });
    drop(crowd);
    evidence.evidence.forwards = hosts.end();
    let log: Vec<String> = history.records().iter().map(ToString::to_string).collect();
    evidence.evidence.log.clone_from(&log);
    let broken = oracle::judge(&requests, &evidence.evidence);
    let broken_off = requests
        .iter()
        .filter(|r| r.ending == clients::Ending::BrokeOff)
        .count();
    Ok(Round {
        requests: requests.len(),
        broken_off,
        peak_kb: evidence.peak_kb,
        broken,
        log,
        plan,
    })
}

/// How the router came to its end.
struct RouterEnd {
    evidence: Evidence,
    peak_kb: u64,
}

/// Lets the round run, sends the signals and at last SIGKILL.
fn shut_down(plan: &Plan, router: &Conductor, is_over: &AtomicBool) -> RouterEnd {
    std::thread::sleep(plan.lead);
    router.report();
    let reported = Instant::now();
    let peak_kb = router.id().and_then(peak_memory_kb);
    let exited_early = router.exit_status();
    router.begin_to_terminate();
    let terminated = Instant::now();
    for (after_ms, signal) in &plan.signals {
        sleep_until(terminated + Duration::from_millis(*after_ms));
        match signal {
            Signal::Terminate => router.begin_to_terminate(),
            Signal::Reload => router.reload(),
            Signal::Stop => router.stop(),
            Signal::Continue => router.cont(),
            _ => router.report(),
        }
    }
    sleep_until(terminated + plan.kill_after());
    let status = router.exit_status();
    let killed = Instant::now();
    router.kill();
    is_over.store(true, Ordering::SeqCst);
    let failed_exit = status
        .filter(|status| !status.success())
        .map(|s| s.to_string());
    let over_memory = peak_kb
        .filter(|kb| *kb > MEMORY_MB * 1024)
        .map(|kb| format!("{kb} kB"));
    let early = exited_early.map(|status| format!("ended before SIGTERM: {status}"));
    RouterEnd {
        peak_kb: peak_kb.unwrap_or_default(),
        evidence: Evidence {
            forwards: Vec::new(),
            log: Vec::new(),
            reported,
            terminated,
            killed,
            has_crowd: plan.crowd > 0,
            is_quote_unsafe: plan.quote_effect == "non_idempotent",
            failure: early.or(failed_exit).or(over_memory),
        },
    }
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn peak_memory_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn address_in(line: &str) -> Option<SocketAddr> {
    line.split("serves on ")
        .nth(1)?
        .split(',')
        .next()?
        .parse()
        .ok()
}

fn operator_file(plan: &Plan, hosts: &Hosts) -> String {
    let mut file = format!(
        "name = \"router\"\nlisten = \"127.0.0.1:0\"\n[limits]\nsockets = 640\nmemory_mb = {MEMORY_MB}\n[tools]\ndial = \"{}\"\n",
        hosts.tools
    );
    file += SETTINGS;
    let _ = writeln!(
        file,
        "[[settings.classes]]\nname = \"quote\"\neffect = \"{}\"\nrepeat_window_us = {}\ndedup_scope = \"all\"\nobjective_us = 2000000\ngive_up_us = 8000000\nvalue = 2.0",
        plan.quote_effect, plan.quote_window_us
    );
    file += "[known]\nseq = 1\nwhole = true\n";
    for (class, dials) in [("prompt", &hosts.prefill), ("answer", &hosts.decode)] {
        for (number, dial) in dials.iter().enumerate() {
            let _ = writeln!(
                file,
                "[[known.hosts]]\nhost = \"{class}-{number}\"\ndial = \"{dial}\"\nsite = \"here\"\nclass = \"{class}\"\nhealth = \"ready\""
            );
        }
    }
    file
}

/// Plays all rounds and prints each; whether every rule held.
///
/// # Errors
/// A round can't be played.
pub fn run(args: &StallSoakArgs) -> Result<bool, ShutdownSoakError> {
    let mut is_kept = true;
    for seed in args.seed..args.seed + args.rounds {
        let round = play(seed)?;
        println!("{round}");
        if args.trace && !round.is_kept() {
            round
                .broken
                .iter()
                .for_each(|(rule, what)| println!("  {rule:?}: {what}"));
            round.log.iter().for_each(|line| println!("  {line}"));
        }
        is_kept &= round.is_kept();
    }
    Ok(is_kept)
}
