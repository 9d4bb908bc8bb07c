//! The loss of one of five sites, with the plan and without: 300 conductors and 100 hosts in memory.

use crate::plot::Chart;
use crate::sim_sites::{Day, Outcome, Rule, run as play};
use std::error::Error;
use std::path::{Path, PathBuf};
use whinhaven::fleet::sites::plan::Plans;

/// What is measured.
#[derive(clap::Args, Clone, Debug)]
pub struct SitesArgs {
    /// For all that is random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// A small fleet: seconds instead of minutes.
    #[arg(long)]
    pub quick: bool,
    /// Where the plots go.
    #[arg(long, default_value = "target/experiments")]
    pub out: PathBuf,
}

impl SitesArgs {
    fn folder(&self) -> std::io::Result<&Path> {
        std::fs::create_dir_all(&self.out)?;
        Ok(&self.out)
    }
}

/// What a rule is called in plots.
fn name(rule: Rule) -> &'static str {
    match rule {
        Rule::Plan => "plan",
        Rule::Near => "no plan",
        Rule::Even => "evenly",
    }
}

fn smooth(points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    let mean = |i: usize| {
        let near = &points[i.saturating_sub(1)..(i + 2).min(points.len())];
        near.iter().map(|p| p.1).sum::<f64>() / near.len() as f64
    };
    (0..points.len()).map(|i| (points[i].0, mean(i))).collect()
}

fn by_second(outcome: &Outcome, of: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    (0..outcome.seconds.len().saturating_sub(6))
        .map(|t| (t as f64, of(t)))
        .collect()
}

fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get(((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// Demand as a part of what the sites were sized for. At 1.0 four of five sites bear what five did but for what their
/// readers have not kept of the newcomers; at 1.2 they don't.
const DEMANDS: [f64; 4] = [0.8, 1.0, 1.2, 1.3];
/// The one that is drawn.
const DRAWN: f64 = 1.2;

/// Runs the experiment.
///
/// # Errors
/// There is no plan, or a file can't be written.
pub fn run(options: &SitesArgs) -> Result<(), Box<dyn Error>> {
    let day = if options.quick {
        Day::small(options.seed)
    } else {
        Day::large(options.seed)
    };
    println!(
        "{} sites, {} conductors, {} hosts, seed {}: site-0 is lost at {} s and back, cold, at {} s",
        day.sites,
        day.sites * day.conductors as usize,
        day.sites as u32 * (day.readers + day.readers * 3 / 2),
        day.seed,
        day.lost_at,
        day.back_at
    );
    let start = std::time::Instant::now();
    let plans = Plans::new(day.fleet()).map_err(|e| e.to_string())?;
    println!(
        "{} plans were made in {:.0} ms",
        plans.iter().count(),
        start.elapsed().as_secs_f64() * 1e3
    );
    println!(
        "worth served of what was asked for; hosts that fell over, of sites that stayed and of site-0"
    );
    println!(
        "{:<8}{:<9}{:>8}{:>8}{:>8}{:>8}{:>10}{:>8}   steady after the loss, full after the return",
        "demand", "rule", "before", "lost", "return", "all", "survivors", "site-0"
    );
    for demand in DEMANDS {
        let day = Day {
            demand,
            ..day.clone()
        };
        let mut worth = Vec::new();
        for rule in [Rule::Plan, Rule::Near, Rule::Even] {
            let outcome = play(&day, rule)?;
            row(&day, rule, &outcome);
            if demand == DRAWN {
                draw(options, &day, rule, &outcome)?;
                let part = |t: usize| outcome.part(t as u64, t as u64 + 1);
                worth.push((name(rule).to_owned(), smooth(by_second(&outcome, part))));
            }
        }
        if demand == DRAWN {
            let chart = Chart {
                title: format!("Worth served of what was asked for, demand {demand}"),
                x: "seconds".into(),
                y: "part of the worth".into(),
                lines: worth,
                marks: marks(&day),
            };
            let folder = options.folder().map_err(|e| e.to_string())?;
            chart
                .save(&folder.join("sites-worth.svg"))
                .map_err(|e| e.to_string())?;
        }
    }
    Ok(())
}

fn marks(day: &Day) -> Vec<(f64, String)> {
    vec![
        (day.lost_at as f64, "lost".to_owned()),
        (day.back_at as f64, "back".to_owned()),
    ]
}

fn row(day: &Day, rule: Rule, outcome: &Outcome) {
    let (from, end) = (5, day.end - 10);
    let usual = outcome.part(from, day.lost_at);
    let held = outcome.part((day.lost_at + day.back_at) / 2, day.back_at);
    let after = |seconds: Option<u64>| seconds.map_or("never".into(), |s| format!("{s} s"));
    println!(
        "{:<8}{:<9}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>10}{:>8}   {}, {}",
        day.demand,
        name(rule),
        usual,
        outcome.part(day.lost_at, day.back_at),
        outcome.part(day.back_at, end),
        outcome.part(from, end),
        outcome.fell.iter().skip(1).sum::<u32>(),
        outcome.fell[0],
        after(outcome.steady(day.lost_at, held - 0.06..held + 0.06, day.back_at)),
        after(outcome.steady(day.back_at, usual * 0.97..f64::MAX, end)),
    );
    if rule == Rule::Plan {
        let agreed: Vec<String> = outcome
            .standings()
            .iter()
            .map(|(at, what)| format!("{what} {at:.1} s"))
            .collect();
        println!(
            "                 agreed: {}; refused out of order: {}",
            agreed.join(", "),
            outcome.out_of_order
        );
    }
}

fn draw(options: &SitesArgs, day: &Day, rule: Rule, outcome: &Outcome) -> Result<(), String> {
    let folder = options.folder().map_err(|e| e.to_string())?;
    let save = |what: &str, title: &str, y: &str, lines| {
        let chart = Chart {
            title: format!("{title}: {}", name(rule)),
            x: "seconds".into(),
            y: y.into(),
            lines,
            marks: marks(day),
        };
        let file = format!("sites-{what}-{}.svg", name(rule).replace(' ', "-"));
        chart.save(&folder.join(file)).map_err(|e| e.to_string())
    };
    let refused = |c: usize| {
        smooth(by_second(outcome, |t| {
            f64::from(outcome.seconds[t].refused[c])
        }))
    };
    let fleet = day.fleet();
    let classes = fleet
        .tables
        .classes
        .iter()
        .enumerate()
        .map(|(c, class)| (class.name.clone(), refused(c)));
    save(
        "refused",
        "Refused by class",
        "requests a second",
        classes.collect(),
    )?;
    let sites = |of: &dyn Fn(usize, usize) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
        (0..day.sites)
            .map(|s| {
                (
                    format!("site-{s}"),
                    smooth(by_second(outcome, |t| of(t, s))),
                )
            })
            .collect()
    };
    let load = sites(&|t, s| outcome.seconds[t].load[s][0]);
    save(
        "load",
        "Load of readers by site",
        "sent, as a part of what they can do warm",
        load,
    )?;
    let first = sites(&|t, s| quantile(&outcome.seconds[t].first[s], 0.95));
    save(
        "first",
        "First tokens by site, 95 of 100 within",
        "seconds",
        first,
    )
}
