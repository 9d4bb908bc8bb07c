//! Real conductors with the settings of service: how soon a death is seen, a lease moves, views agree again, and what the
//! fleet's own messages cost, against size and loss.

use crate::fleet::{Fleet, FleetSettings};
use crate::history::{Record, STUCK, unix_micros};
use crate::plot::Chart;
use std::path::PathBuf;
use std::time::Duration;

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct GroundArgs {
    /// Fleet sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5, 9])]
    pub sizes: Vec<usize>,
    /// Parts of messages lost, in percent.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 30])]
    pub losses: Vec<u32>,
    /// Deaths and cuts of each fleet.
    #[arg(long, default_value_t = 5)]
    pub rounds: usize,
    /// Seconds over which messages are counted.
    #[arg(long, default_value_t = 10)]
    pub quiet: u64,
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the plot and the histories go.
    #[arg(long, default_value = "target/experiments")]
    pub out: PathBuf,
}

const DUTY: &str = "discovery-refresh";

/// What one fleet showed; times in seconds, one a round.
#[derive(Default)]
struct Figures {
    members: usize,
    loss: u32,
    first_suspicion: Vec<f64>,
    dead_at_all: Vec<f64>,
    new_holder: Vec<f64>,
    back_at_all: Vec<f64>,
    agreed_after_heal: Vec<f64>,
    datagrams_per_s: f64,
    bytes_per_s: f64,
    connection_bytes_per_s: f64,
    false_deaths: usize,
}

/// Runs a fleet of each size at each loss, prints a table and plots it.
///
/// # Errors
/// A fleet does not start or comes to no agreement, or a file can't be written.
pub fn run(args: &GroundArgs) -> Result<(), Failed> {
    std::fs::create_dir_all(&args.out)?;
    let mut all = Vec::new();
    println!(
        "{:>7} {:>5} {:>10} {:>10} {:>10} {:>10} {:>10} {:>12} {:>10} {:>12} {:>12}",
        "members",
        "loss",
        "suspect",
        "dead",
        "holder",
        "back",
        "healed",
        "datagrams/s",
        "bytes/s",
        "tcp bytes/s",
        "false deaths"
    );
    for &members in &args.sizes {
        for &loss in &args.losses {
            let figures = measure(members, loss, args)
                .map_err(|e| format!("{members} conductors, loss {loss}%: {e}"))?;
            println!("{}", figures.line());
            all.push(figures);
        }
    }
    println!(
        "times in seconds, median (most) of {} rounds; rates of one member, sent",
        args.rounds
    );
    let lines = |loss: u32| {
        let of = |name: &str, value: fn(&Figures) -> f64| {
            let points = all
                .iter()
                .filter(|f| f.loss == loss)
                .map(|f| (f.members as f64, value(f)));
            (format!("{name}, loss {loss}%"), points.collect::<Vec<_>>())
        };
        [
            of("dead at all", |f| median(&f.dead_at_all)),
            of("new holder acts", |f| median(&f.new_holder)),
            of("views agree after a heal", |f| median(&f.agreed_after_heal)),
        ]
    };
    let chart = Chart {
        title: "Real conductors: time after a fault".to_owned(),
        x: "members".to_owned(),
        y: "seconds (median)".to_owned(),
        lines: args.losses.iter().flat_map(|loss| lines(*loss)).collect(),
        marks: Vec::new(),
    };
    let file = args.out.join("ground.svg");
    chart.save(&file)?;
    println!("plot: {}", file.display());
    Ok(())
}

impl Figures {
    fn line(&self) -> String {
        let time = |all: &[f64]| {
            format!(
                "{:.2} ({:.1})",
                median(all),
                all.iter().copied().fold(0.0, f64::max)
            )
        };
        format!(
            "{:>7} {:>5} {:>10} {:>10} {:>10} {:>10} {:>10} {:>12.1} {:>10.0} {:>12.0} {:>12}",
            self.members,
            self.loss,
            time(&self.first_suspicion),
            time(&self.dead_at_all),
            time(&self.new_holder),
            time(&self.back_at_all),
            time(&self.agreed_after_heal),
            self.datagrams_per_s,
            self.bytes_per_s,
            self.connection_bytes_per_s,
            self.false_deaths
        )
    }
}

fn median(all: &[f64]) -> f64 {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

type Failed = Box<dyn std::error::Error>;

fn measure(members: usize, loss: u32, args: &GroundArgs) -> Result<Figures, Failed> {
    let voters = if members < 5 { 3 } else { 5 };
    let settings = FleetSettings {
        conductors: members,
        voters,
        readers: 1,
        writers: 1,
        fleet: "refresh_period_ms = 20\n".to_owned(),
        seed: args.seed,
        folder: Some(args.out.join(format!("ground-{members}-{loss}"))),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings)?;
    let names = fleet.names();
    let everybody: Vec<&str> = names.iter().map(String::as_str).collect();
    let all_agree = || fleet.wait_for_views(&everybody);
    all_agree()?;
    acted(&fleet, fleet.history.len(), "")?;
    for (a, b) in names
        .iter()
        .flat_map(|a| names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        fleet
            .network
            .set(a, b, |f| f.loss = f64::from(loss) / 100.0);
    }
    let mut figures = Figures {
        members,
        loss,
        ..Figures::default()
    };
    let carried = || {
        let pairs = names
            .iter()
            .flat_map(|a| names.iter().map(move |b| (a, b)))
            .filter(|(a, b)| a != b);
        pairs
            .map(|(a, b)| fleet.network.carried(a, b))
            .fold([0; 5], |sum, c| std::array::from_fn(|i| sum[i] + c[i]))
    };
    let (before, begun) = (carried(), unix_micros());
    std::thread::sleep(Duration::from_secs(args.quiet));
    let (after, time) = (carried(), (unix_micros() - begun) as f64 / 1e6);
    let rate = |i: usize| (after[i] - before[i]) as f64 / time / members as f64;
    (
        figures.datagrams_per_s,
        figures.bytes_per_s,
        figures.connection_bytes_per_s,
    ) = (rate(0), rate(1), rate(4));
    let mut struck: Vec<String> = Vec::new();
    for round in 0..args.rounds {
        // Whoever holds the lease dies, so that both are measured by one death.
        let holder = fleet.holder(DUTY).ok_or("nobody holds the lease")?;
        let from = fleet.history.len();
        let killed = unix_micros();
        fleet.conductor(&holder).kill();
        let others: Vec<&str> = everybody.iter().copied().filter(|n| *n != holder).collect();
        let seen = |to: &str| {
            let (holder, to) = (holder.clone(), to.to_owned());
            move |r: &Record| {
                r.event == "view.change" && r.text("peer") == holder && r.text("to") == to
            }
        };
        // Not every member comes to suspect first; somebody does.
        let suspected = fleet.wait_for(from, seen("suspect"))?;
        figures.first_suspicion.push(since(killed, &suspected));
        let mut last = 0.0f64;
        for other in &others {
            let is_dead = seen("dead");
            last = last.max(since(
                killed,
                &fleet.wait_for(from, |r| r.source == *other && is_dead(r))?,
            ));
        }
        figures.dead_at_all.push(last);
        figures
            .new_holder
            .push(since(killed, &acted(&fleet, from, &holder)?));
        let restarted = unix_micros();
        fleet.restart(&holder, false)?;
        all_agree()?;
        figures
            .back_at_all
            .push((unix_micros() - restarted) as f64 / 1e6);
        struck.push(holder);
        // Cut off until all others take it for dead, then healed.
        let victim = &names[round % names.len()];
        let from = fleet.history.len();
        fleet.isolate(victim);
        for other in everybody.iter().filter(|n| *n != victim) {
            let dead = |r: &Record| {
                r.is(other, "view.change") && r.text("peer") == victim && r.text("to") == "dead"
            };
            fleet.wait_for(from, dead)?;
        }
        let healed = unix_micros();
        for other in everybody.iter().filter(|n| *n != victim) {
            fleet.network.set_both(victim, other, |f| f.cut = false);
        }
        all_agree()?;
        figures
            .agreed_after_heal
            .push((unix_micros() - healed) as f64 / 1e6);
        struck.push(victim.clone());
    }
    let records = fleet.history.records();
    // A cut-off member takes all others for dead; those are no mistakes, nor are the deaths of those that were struck.
    let false_death = |r: &&Record| {
        let (peer, by) = (r.text("peer").to_owned(), &r.source);
        r.event == "view.change"
            && r.text("to") == "dead"
            && !struck.contains(&peer)
            && !struck.contains(by)
    };
    figures.false_deaths = records.iter().filter(false_death).count();
    Ok(figures)
}

fn since(from: u64, record: &Record) -> f64 {
    record.at_us.saturating_sub(from) as f64 / 1e6
}

/// The first act of anybody but one behind the first `after` records.
fn acted(fleet: &Fleet, after: usize, but: &str) -> Result<Record, Failed> {
    let acts = |r: &Record| r.event == "lease.act" && r.text("lease") == DUTY && r.source != but;
    Ok(fleet.history.wait_for(after, STUCK * 2, acts)?)
}
