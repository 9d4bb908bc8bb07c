//! What the record of work in hand costs, and how long it takes until a dead conductor's work is another's.
//!
//! Three parts with real conductors: the first token with and without the record, by voters and link delay, at a low
//! load; requests a second by the number of clients, to the knee where writing records down limits them; and a
//! conductor's death with more and more requests in hand.

use crate::clients::{Ask, Client, Final, Got, Tried};
use crate::fleet::{Fleet, FleetSettings};
use crate::history::{Record, STUCK};
use crate::plot::Chart;
use hdrhistogram::Histogram;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct TakeoverArgs {
    /// Numbers of voters; there are as many conductors, and at least three.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 5])]
    pub voters: Vec<usize>,
    /// Delays of the links between conductors, one way, in milliseconds.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 1, 5])]
    pub delays: Vec<u64>,
    /// Clients at once, each with its next request as soon as one has ended.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 4, 8, 16, 32, 64])]
    pub clients: Vec<usize>,
    /// Requests in hand at a conductor that dies.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 20, 60])]
    pub in_hand: Vec<usize>,
    /// Deaths for each number in hand.
    #[arg(long, default_value_t = 3)]
    pub deaths: usize,
    /// Seconds for each point of the first two parts.
    #[arg(long, default_value_t = 5)]
    pub seconds: u64,
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the plots go.
    #[arg(long, default_value = "target/experiments")]
    pub out: PathBuf,
}

type Failed = Box<dyn std::error::Error>;

/// Clients of the part at a low load.
const FEW: usize = 2;

/// What a span of load showed.
struct Load {
    first_us: Histogram<u64>,
    per_s: f64,
    not_whole: u64,
    /// Bytes a second between all conductors.
    peer_bytes_per_s: f64,
}

impl Load {
    fn first_ms(&self, quantile: f64) -> f64 {
        self.first_us.value_at_quantile(quantile) as f64 / 1e3
    }

    fn line(&self, head: &str) -> String {
        format!(
            "{head} {:>9} {:>9.1} {:>9.2} {:>9.2} {:>9} {:>12.0} {:>12.0}",
            self.first_us.len(),
            self.per_s,
            self.first_ms(0.5),
            self.first_ms(0.99),
            self.not_whole,
            self.peer_bytes_per_s,
            self.peer_bytes_per_s / self.per_s.max(1e-9)
        )
    }
}

/// Runs all parts, prints their tables and plots them.
///
/// # Errors
/// A fleet does not start, or a file can't be written.
pub fn run(args: &TakeoverArgs) -> Result<(), Failed> {
    std::fs::create_dir_all(&args.out)?;
    println!(
        "{:<28} {:>9} {:>9} {:>9} {:>9} {:>9} {:>12} {:>12}",
        "", "requests", "per s", "p50 ms", "p99 ms", "not whole", "peer B/s", "B/request"
    );
    cost(args)?;
    knee(args)?;
    deaths(args)
}

fn fleet(voters: usize, takeover: bool, args: &TakeoverArgs) -> Result<Fleet, Failed> {
    let more = if takeover { "[takeover]\n" } else { "" };
    let mut settings = FleetSettings {
        conductors: voters.max(3),
        voters,
        seed: args.seed,
        more: more.to_owned(),
        folder: Some(args.out.join(format!("takeover-{voters}-{takeover}"))),
        ..FleetSettings::default()
    };
    (settings.host.slots, settings.host.waiting) = (1024, 1024);
    let fleet = Fleet::start(settings)?;
    agree(&fleet)?;
    Ok(fleet)
}

fn agree(fleet: &Fleet) -> Result<(), Failed> {
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    Ok(fleet.wait_for_views(&names)?)
}

/// Bytes that the conductors have sent each other.
fn carried(fleet: &Fleet) -> u64 {
    let names = fleet.names();
    let pairs = names
        .iter()
        .flat_map(|a| names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b);
    pairs
        .map(|(a, b)| fleet.network.carried(a, b))
        .map(|c| c[1] + c[4])
        .sum()
}

/// Clients of the unsafe class without tool calls, each with its next request as soon as one has ended.
fn load(fleet: &Fleet, clients: usize, label: &str, seconds: u64) -> Result<Load, Failed> {
    let whole = Mutex::new((Histogram::<u64>::new(3)?, 0u64));
    let (begun, before, client) = (Instant::now(), carried(fleet), fleet.client());
    let until = begun + Duration::from_secs(seconds);
    std::thread::scope(|scope| {
        for c in 0..clients {
            let (client, whole) = (&client, &whole);
            scope.spawn(move || one_client(client, c, label, until, whole));
        }
    });
    let time = begun.elapsed().as_secs_f64();
    let (first_us, not_whole) = whole.into_inner().map_err(|e| e.to_string())?;
    let per_s = first_us.len() as f64 / time;
    let peer_bytes_per_s = (carried(fleet) - before) as f64 / time;
    Ok(Load {
        first_us,
        per_s,
        not_whole,
        peer_bytes_per_s,
    })
}

fn one_client(
    client: &Client,
    c: usize,
    label: &str,
    until: Instant,
    whole: &Mutex<(Histogram<u64>, u64)>,
) {
    for number in 0.. {
        let sent = Instant::now();
        if sent >= until {
            return;
        }
        let ask = Ask::send(&format!("{label}-{c}-{number}"), 2, 0);
        let mut got = Got::default();
        let tried = client.attempt(c, &ask, &mut got, false);
        let first = got.first_at.map(|at| (at - sent).as_micros() as u64);
        let Ok(mut whole) = whole.lock() else { return };
        match (tried, first) {
            (Tried::Final(Final::Text(_)), Some(us)) => _ = whole.0.record(us),
            _ => whole.1 += 1,
        }
    }
}

/// The first token at a low load.
fn cost(args: &TakeoverArgs) -> Result<(), Failed> {
    let mut lines = Vec::new();
    for (voters, takeover) in [(3, false)]
        .into_iter()
        .chain(args.voters.iter().map(|v| (*v, true)))
    {
        let fleet = fleet(voters, takeover, args)?;
        let (mut half, mut most) = (Vec::new(), Vec::new());
        let what = if takeover {
            format!("{voters} voters")
        } else {
            "no record".to_owned()
        };
        for &delay in &args.delays {
            between(&fleet, Duration::from_millis(delay));
            load(&fleet, FEW, &format!("warm-{delay}"), 1)?;
            let load = load(&fleet, FEW, &format!("cost-{delay}"), args.seconds)?;
            println!(
                "{}",
                load.line(&format!(
                    "{:<28}",
                    format!("{what}, {delay} ms, {FEW} clients")
                ))
            );
            half.push((delay as f64, load.first_ms(0.5)));
            most.push((delay as f64, load.first_ms(0.99)));
        }
        lines.push((format!("{what}, p50"), half));
        lines.push((format!("{what}, p99"), most));
    }
    save(
        args,
        "takeover-cost",
        "First token of a named request",
        "delay between conductors, ms",
        "ms",
        lines,
    )
}

fn between(fleet: &Fleet, delay: Duration) {
    let names = fleet.names();
    for (a, b) in names
        .iter()
        .flat_map(|a| names.iter().map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
    {
        fleet.network.set(a, b, |f| f.delay = delay);
    }
}

/// Requests a second by the number of clients.
fn knee(args: &TakeoverArgs) -> Result<(), Failed> {
    let (mut rates, mut firsts) = (Vec::new(), Vec::new());
    for takeover in [false, true] {
        let fleet = fleet(3, takeover, args)?;
        let (mut rate, mut first) = (Vec::new(), Vec::new());
        let what = if takeover { "3 voters" } else { "no record" };
        load(&fleet, FEW, "warm", 1)?;
        for &clients in &args.clients {
            let load = load(&fleet, clients, &format!("knee-{clients}"), args.seconds)?;
            println!(
                "{}",
                load.line(&format!(
                    "{:<28}",
                    format!("{what}, 0 ms, {clients} clients")
                ))
            );
            rate.push((clients as f64, load.per_s));
            first.push((load.per_s, load.first_ms(0.5)));
        }
        rates.push((what.to_owned(), rate));
        firsts.push((what.to_owned(), first));
    }
    save(
        args,
        "takeover-knee",
        "Requests a second, 3 conductors",
        "clients at once",
        "requests a second",
        rates,
    )?;
    save(
        args,
        "takeover-first",
        "First token by load, 3 conductors",
        "requests a second",
        "first token, p50, ms",
        firsts,
    )
}

/// A conductor dies with states held at readers.
fn deaths(args: &TakeoverArgs) -> Result<(), Failed> {
    println!(
        "{:>8} {:>10} {:>10} {:>10} {:>10}",
        "in hand", "ended", "adopted", "released", "answered"
    );
    let mut lines: [Vec<(f64, f64)>; 4] = Default::default();
    let fleet = fleet(3, true, args)?;
    for &in_hand in &args.in_hand {
        let mut times: [Vec<f64>; 4] = Default::default();
        for death in 0..args.deaths {
            let one = one_death(&fleet, in_hand, &format!("death-{in_hand}-{death}"))?;
            times
                .iter_mut()
                .zip(one)
                .for_each(|(all, one)| all.push(one));
        }
        let medians = times.each_ref().map(|t| median(t));
        println!(
            "{in_hand:>8} {:>10.2} {:>10.2} {:>10.2} {:>10.2}",
            medians[0], medians[1], medians[2], medians[3]
        );
        lines
            .iter_mut()
            .zip(medians)
            .for_each(|(l, t)| l.push((in_hand as f64, t)));
    }
    println!(
        "seconds since SIGKILL, median of {} deaths; released and answered: the last one",
        args.deaths
    );
    let names = [
        "its life is ended by the log",
        "adopted",
        "all its states released",
        "all its clients answered",
    ];
    let lines = names.map(str::to_owned).into_iter().zip(lines).collect();
    save(
        args,
        "takeover-death",
        "After the death of 1 of 3 conductors",
        "requests in hand",
        "seconds",
        lines,
    )
}

/// Seconds from a SIGKILL to: the end of the life, adopted, the last state released, the last client's answer.
fn one_death(fleet: &Fleet, in_hand: usize, label: &str) -> Result<[f64; 4], Failed> {
    let client = fleet.client();
    // What is read at readers stays there: its conductor does not come through to the writers.
    let writers = || fleet.hosts.keys().filter(|name| name.starts_with("writer"));
    writers().for_each(|writer| fleet.network.cut("c1", writer));
    let from = fleet.history.len();
    let answered = std::thread::scope(|scope| -> Result<_, Failed> {
        let asking: Vec<_> = (0..in_hand)
            .map(|n| {
                let (client, ask) = (&client, Ask::explain(&format!("{label}-{n}"), 4));
                scope.spawn(move || client.ask(&ask, 0).answer.is_some())
            })
            .collect();
        let all_held = |all: &[Record]| {
            let held = all[from..]
                .iter()
                .filter(|r| r.event == "state.held")
                .count();
            (held >= in_hand).then_some(())
        };
        let held = fleet.history.wait_until(STUCK, all_held);
        fleet.conductor("c1").kill();
        let answered = asking
            .into_iter()
            .map(|t| t.join().unwrap_or(false))
            .filter(|a| *a)
            .count();
        held.ok_or("not all states came to be held")?;
        Ok(answered)
    })?;
    if answered < in_hand {
        return Err(format!("{label}: {} requests without an answer", in_hand - answered).into());
    }
    let kill = fleet.wait_for(from, |r| r.event == "fault.kill")?.at_us;
    let after = |at_us: u64| at_us.saturating_sub(kill) as f64 / 1e6;
    let of = |event: &'static str| move |r: &Record| r.event == event && r.text("peer") == "c1";
    let ended = fleet.wait_for(from, of("life.ended"))?;
    let adopted = fleet.wait_for(from, of("work.adopted"))?;
    let sends = adopted.number("sends").unwrap_or(0) as usize;
    let last = |event: &'static str, count: usize| {
        let found = fleet.history.wait_until(STUCK, |all: &[Record]| {
            let of: Vec<u64> = all[from..]
                .iter()
                .filter(|r| r.event == event)
                .map(|r| r.at_us)
                .collect();
            (of.len() >= count).then(|| of.into_iter().max().unwrap_or(kill))
        });
        found.ok_or(format!("{label}: less than {count} times {event}"))
    };
    let (released, answered) = (
        last("work.released", sends)?,
        last("client.final", in_hand)?,
    );
    fleet.wait_for_release()?;
    fleet.network.heal();
    let before = fleet.history.len();
    fleet.restart("c1", false)?;
    fleet.wait_for(before, |r| r.is("c1", "life.gained"))?;
    agree(fleet)?;
    Ok([ended.at_us, adopted.at_us, released, answered].map(after))
}

fn median(all: &[f64]) -> f64 {
    let mut all = all.to_vec();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

fn save(
    args: &TakeoverArgs,
    name: &str,
    title: &str,
    x: &str,
    y: &str,
    lines: Vec<(String, Vec<(f64, f64)>)>,
) -> Result<(), Failed> {
    let chart = Chart {
        title: title.into(),
        x: x.into(),
        y: y.into(),
        lines,
        marks: Vec::new(),
    };
    let file = args.out.join(format!("{name}.svg"));
    chart.save(&file)?;
    println!("plot: {}", file.display());
    Ok(())
}
