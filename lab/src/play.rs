//! `whinhaven-lab play`: a fleet on loopback to try faults on, with load, a live status line and a report.

use crate::checker::facts::Fact;
use crate::checker::view::Views;
use crate::checker::{Limits, acts, check};
use crate::clients::{Counts, Load};
use crate::fleet::{Fleet, FleetSettings};
use crate::history::{Record, STUCK};
use crate::hosts::{HostRole, HostSettings};
use crate::plot::Chart;
use crate::script::{self, Command, Line};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, IsTerminal, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::time::{Duration, Instant};

/// Between two samples of the status.
const SAMPLE: Duration = Duration::from_millis(250);

/// What to play.
#[derive(Clone, Debug, clap::Args)]
pub struct Play {
    /// How many conductors.
    #[arg(long, default_value_t = 5)]
    pub conductors: usize,
    /// How many of them vote; 0 for conductors that share nothing.
    #[arg(long)]
    pub voters: Option<usize>,
    /// How many sites they and the hosts are dealt out to.
    #[arg(long, default_value_t = 1)]
    pub sites: usize,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub load: f64,
    /// Commands to carry out; the keyboard works besides.
    #[arg(long)]
    pub script: Option<PathBuf>,
    /// Ends by itself after so many seconds.
    #[arg(long = "for", value_name = "SECONDS")]
    pub seconds: Option<f64>,
    /// Drawn from for all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the conductors' files, the history and the plot go.
    #[arg(long, default_value = "target/play")]
    pub out: PathBuf,
}

/// How a fleet stands, as its history tells it.
#[derive(Default)]
struct Board {
    seen: usize,
    processes: BTreeMap<String, &'static str>,
    leader: Option<(u64, String)>,
    holders: BTreeMap<String, (u64, String)>,
    views: Views,
    runs: BTreeMap<String, u64>,
    twice: u64,
    marks: Vec<(u64, String)>,
}

impl Board {
    fn take(&mut self, records: &[Record]) {
        self.seen += records.len();
        for act in acts(records).0 {
            self.views.take(&act);
            let mut mark = |what: String| self.marks.push((act.at_us, what));
            match &act.fact {
                Fact::Started { member } => _ = self.processes.insert(member.clone(), "up"),
                Fact::Kill { member } => {
                    mark(format!("kill {member}"));
                    self.processes.insert(member.clone(), "killed");
                }
                Fact::Term { member } => {
                    mark(format!("term {member}"));
                    self.processes.insert(member.clone(), "ended");
                }
                Fact::Stop { member } => {
                    mark(format!("stop {member}"));
                    self.processes.insert(member.clone(), "stopped");
                }
                Fact::Cont { member } => {
                    mark(format!("cont {member}"));
                    self.processes.insert(member.clone(), "up");
                }
                Fact::HostKilled { .. } => mark(format!("{} dies", act.source)),
                Fact::Cut {} => mark("cut".to_owned()),
                Fact::Links {} => mark("links".to_owned()),
                Fact::Heal {} => mark("heal".to_owned()),
                Fact::GroupLeading {
                    leader: Some(leader),
                    term,
                } if self.leader.as_ref().is_none_or(|(t, _)| t <= term) => {
                    self.leader = Some((*term, leader.clone()));
                }
                Fact::LeaseGranted(fact) if !fact.lease.starts_with("life/") => {
                    self.holders
                        .insert(fact.lease.clone(), (fact.token, act.source.clone()));
                }
                Fact::LeaseLost(fact) | Fact::LeaseReleased(fact)
                    if self
                        .holders
                        .get(&fact.lease)
                        .is_some_and(|(t, _)| *t == fact.token) =>
                {
                    self.holders.remove(&fact.lease);
                }
                Fact::ToolRan { call } => {
                    let runs = self.runs.entry(call.clone()).or_default();
                    *runs += 1;
                    self.twice += u64::from(*runs == 2);
                }
                _ => {}
            }
        }
    }

    fn up(&self) -> BTreeSet<String> {
        self.processes
            .iter()
            .filter(|(_, s)| **s == "up")
            .map(|(n, _)| n.clone())
            .collect()
    }

    fn line(&self, fleet: &Fleet, counts: &Counts) -> String {
        let n = |c: &AtomicU64| c.load(Ordering::Relaxed);
        let processes: Vec<String> = self
            .processes
            .iter()
            .map(|(n, s)| format!("{n} {s}"))
            .collect();
        let mut line = processes.join(", ");
        if fleet.is_fleet() {
            let views = if self.views.difference(&self.up()).is_none() {
                "agree"
            } else {
                "differ"
            };
            let leader = self
                .leader
                .as_ref()
                .map_or("none".to_owned(), |(t, l)| format!("{l} (term {t})"));
            line += &format!(" | views {views} | leader {leader}");
            for (lease, (token, holder)) in &self.holders {
                line += &format!(" | {lease}: {holder} ({token})");
            }
        }
        line += &format!(
            " | asked {}, right {}, wrong {}, failed {} | tools ran {}, twice {} | held {}",
            n(&counts.asked),
            n(&counts.right),
            n(&counts.wrong),
            n(&counts.failed) + n(&counts.given_up),
            self.runs.len(),
            self.twice,
            fleet.states.held().len()
        );
        line
    }
}

enum Input {
    Line(String),
    ScriptDone(Result<(), String>),
    Interrupted,
    Closed,
}

impl Play {
    /// Plays until told to end; whether the checker found all promises kept.
    ///
    /// # Errors
    /// The fleet can't be started or a file can't be written, in one line.
    pub fn run(&self) -> Result<bool, String> {
        let text = self
            .script
            .as_ref()
            .map(std::fs::read_to_string)
            .transpose();
        let text = text.map_err(|e| format!("script: {e}"))?;
        let script = text
            .as_deref()
            .map(script::read)
            .transpose()
            .map_err(|e| format!("script: {e}"))?;
        let host = HostSettings {
            tokens_per_s: 400.0,
            ..HostSettings::quick("", HostRole::Reader, ([127, 0, 0, 1], 0).into())
        };
        let settings = FleetSettings {
            conductors: self.conductors.clamp(1, 60),
            voters: self.voters.unwrap_or_else(|| {
                if self.conductors < 5 {
                    self.conductors.min(3)
                } else {
                    5
                }
            }),
            sites: self.sites,
            readers: 3 * self.sites.max(1),
            writers: 4 * self.sites.max(1),
            host,
            seed: self.seed,
            folder: Some(self.out.clone()),
            ..FleetSettings::default()
        };
        let fleet =
            Arc::new(Fleet::start(settings).map_err(|e| format!("the fleet does not start: {e}"))?);
        println!(
            "{} conductors; files, history and plot in {}",
            self.conductors,
            self.out.display()
        );
        println!(
            "commands: kill c2, stop c2, cont c2, cut c1 c2, isolate c1, heal, restart c2, status, quit"
        );
        let load = Load::start(
            &fleet.client(),
            (self.load * 4.0).clamp(1.0, 64.0) as usize,
            self.load,
            self.seed,
        );
        let inputs = inputs(&fleet, script);
        let (mut board, samples, begun_us) = self.watch(&fleet, &load, &inputs);
        println!("ending: the load finishes what it has in hand");
        fleet.tool.release();
        let counts = load.stop();
        board.take(&fleet.history.since(board.seen));
        if fleet.is_fleet() {
            println!("links are healed; waiting for the views to agree");
            fleet.network.heal();
            let up = board.up();
            let up: Vec<&str> = up.iter().map(String::as_str).collect();
            fleet.quiet(&up, STUCK * 2);
            // The verdict says it too, with the reason.
            let _ = fleet.wait_for_views(&up);
        }
        fleet.note_memory();
        fleet.history.note("lab", "lab.end", serde_json::json!({}));
        self.report(&fleet, &counts, &board, &samples, begun_us)
    }

    fn watch(
        &self,
        fleet: &Arc<Fleet>,
        load: &Load,
        inputs: &mpsc::Receiver<Input>,
    ) -> (Board, Samples, u64) {
        let (begun, begun_us) = (Instant::now(), crate::history::unix_micros());
        let until = self
            .seconds
            .map(|s| begun + Duration::from_secs_f64(s.max(0.0)));
        let (mut board, mut samples) = (Board::default(), Samples::default());
        let live = std::io::stdout().is_terminal();
        let mut told = Instant::now();
        loop {
            let input = inputs.recv_timeout(SAMPLE);
            board.take(&fleet.history.since(board.seen));
            match input {
                Ok(Input::Line(line)) => match line.parse::<Command>() {
                    Ok(Command::Quit) => break,
                    Ok(Command::Status) => println!("\n{}", board.line(fleet, load.counts())),
                    Ok(command) => {
                        // Beside the status: a restart may take its time.
                        let fleet = fleet.clone();
                        std::thread::spawn(move || {
                            if let Err(error) = command.carry_out(&fleet) {
                                println!("\n{error}");
                            }
                        });
                    }
                    Err(error) => println!("\n{error}"),
                },
                Ok(Input::ScriptDone(done)) => {
                    match done {
                        Ok(()) => println!("\nthe script is done"),
                        Err(error) => println!("\nscript: {error}"),
                    }
                    if self.seconds.is_none() && !std::io::stdin().is_terminal() {
                        break;
                    }
                }
                Ok(Input::Interrupted) => break,
                Ok(Input::Closed) if self.seconds.is_none() && self.script.is_none() => break,
                Ok(Input::Closed) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => std::thread::sleep(SAMPLE),
            }
            samples.take(begun.elapsed().as_secs_f64(), load.counts());
            if live {
                print!("\r\x1b[K{}", board.line(fleet, load.counts()));
                let _ = std::io::stdout().flush();
            } else if told.elapsed() > Duration::from_secs(2) {
                told = Instant::now();
                println!("{}", board.line(fleet, load.counts()));
            }
            if until.is_some_and(|until| Instant::now() >= until) {
                break;
            }
        }
        println!();
        (board, samples, begun_us)
    }

    fn report(
        &self,
        fleet: &Fleet,
        counts: &Counts,
        board: &Board,
        samples: &Samples,
        begun_us: u64,
    ) -> Result<bool, String> {
        let n = |c: &AtomicU64| c.load(Ordering::Relaxed);
        println!(
            "\nrequests: {} asked, {} right, {} wrong, {} ended in an error, {} given up; {} tries beyond the first",
            n(&counts.asked),
            n(&counts.right),
            n(&counts.wrong),
            n(&counts.failed),
            n(&counts.given_up),
            n(&counts.repeats)
        );
        let runs = fleet.tool.runs();
        println!(
            "tool calls: {}, run more than once: {}",
            runs.len(),
            runs.values().filter(|n| **n > 1).count()
        );
        println!("states left at hosts: {}", fleet.states.held().len());
        fleet.history.flush();
        let report = check(&fleet.history.records(), &Limits::default());
        print!("{report}");
        let plot = self.out.join("play.svg");
        samples
            .chart(&board.marks, begun_us)
            .save(&plot)
            .map_err(|e| e.to_string())?;
        println!(
            "history: {}; plot: {}",
            self.out.join("history.jsonl").display(),
            plot.display()
        );
        Ok(report.is_kept())
    }
}

/// The keyboard, interrupts and the script, as one stream.
fn inputs(fleet: &Arc<Fleet>, script: Option<Vec<Line>>) -> mpsc::Receiver<Input> {
    let (tell, inputs) = mpsc::channel();
    let keyboard = tell.clone();
    std::thread::spawn(move || {
        let lines = std::io::stdin()
            .lock()
            .lines()
            .map_while(Result::ok)
            .filter(|l| !l.trim().is_empty());
        let sent = lines
            .map(|l| keyboard.send(Input::Line(l.trim().to_owned())))
            .all(|s| s.is_ok());
        if sent {
            let _ = keyboard.send(Input::Closed);
        }
    });
    let interrupts = tell.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let Ok(runtime) = runtime else { return };
        runtime.block_on(async {
            use tokio::signal::unix::{SignalKind, signal};
            let Ok(mut term) = signal(SignalKind::terminate()) else {
                return;
            };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = term.recv() => {}
            }
        });
        let _ = interrupts.send(Input::Interrupted);
    });
    if let Some(script) = script {
        let fleet = fleet.clone();
        std::thread::spawn(move || {
            let done = script::run(&fleet, &script).map_err(|e| e.to_string());
            let _ = tell.send(Input::ScriptDone(done));
        });
    }
    inputs
}

/// Counts over time.
#[derive(Default)]
struct Samples(Vec<(f64, [u64; 3])>);

impl Samples {
    fn take(&mut self, at: f64, counts: &Counts) {
        let n = |c: &AtomicU64| c.load(Ordering::Relaxed);
        let bad = n(&counts.wrong) + n(&counts.failed) + n(&counts.given_up);
        self.0
            .push((at, [n(&counts.right), bad, n(&counts.repeats)]));
    }

    fn chart(&self, marks: &[(u64, String)], begun_us: u64) -> Chart {
        // Over a second: one sample has few answers.
        let over = 4;
        let rate = |which: usize| -> Vec<(f64, f64)> {
            let pairs = self.0.iter().zip(self.0.iter().skip(over));
            pairs
                .map(|(a, b)| {
                    (
                        b.0,
                        (b.1[which] - a.1[which]) as f64 / (b.0 - a.0).max(1e-3),
                    )
                })
                .collect()
        };
        let lines = [
            ("right answers", 0),
            ("errors, wrong answers, given up", 1),
            ("tries beyond the first", 2),
        ];
        Chart {
            title: "Answers while parts of the fleet fail".to_owned(),
            x: "time (s)".to_owned(),
            y: "a second".to_owned(),
            lines: lines
                .map(|(name, which)| (name.to_owned(), rate(which)))
                .to_vec(),
            marks: marks
                .iter()
                .filter_map(|(at, what)| {
                    Some((at.checked_sub(begun_us)? as f64 / 1e6, what.clone()))
                })
                .collect(),
        }
    }
}
