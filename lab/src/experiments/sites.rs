//! The loss of one of five sites, with the plan and without: 300 conductors and 100 hosts in memory.

use super::Options;
use crate::plot::Chart;
use crate::sim_sites::{Day, Outcome, Rule, run};

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
    (0..outcome.seconds.len().saturating_sub(6)).map(|t| (t as f64, of(t))).collect()
}

fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get(((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

/// Runs the experiment.
///
/// # Errors
/// There is no plan, or a file can't be written.
pub fn sites(options: &Options) -> Result<(), String> {
    let day = if options.quick { Day::small(options.seed) } else { Day::large(options.seed) };
    let folder = options.folder().map_err(|e| e.to_string())?;
    let marks = || vec![(day.lost_at as f64, "lost".to_owned()), (day.back_at as f64, "back".to_owned())];
    let mut worth = Vec::new();
    println!(
        "{} sites, {} conductors, {} hosts, seed {}: site-0 is lost at {} s and back, cold, at {} s",
        day.sites,
        day.sites * day.conductors as usize,
        day.sites as u32 * (day.readers + day.readers * 3 / 2),
        day.seed,
        day.lost_at,
        day.back_at
    );
    println!("worth served of what was asked for; hosts of sites that stayed, and of site-0, that fell over");
    println!(
        "{:<10}{:>8}{:>8}{:>8}{:>8}{:>10}{:>10}",
        "rule", "before", "lost", "return", "all", "survivors", "site-0"
    );
    for rule in [Rule::Plan, Rule::Near, Rule::Even] {
        let outcome = run(&day, rule)?;
        let (from, end) = (5, day.end - 10);
        let fell: u32 = outcome.fell.iter().skip(1).sum();
        println!(
            "{:<10}{:>8.3}{:>8.3}{:>8.3}{:>8.3}{:>10}{:>10}",
            name(rule),
            outcome.part(from, day.lost_at),
            outcome.part(day.lost_at, day.back_at),
            outcome.part(day.back_at, end),
            outcome.part(from, end),
            fell,
            outcome.fell[0]
        );
        let usual = outcome.part(from, day.lost_at);
        let held = outcome.part((day.lost_at + day.back_at) / 2, day.back_at);
        let after = |seconds: Option<u64>| seconds.map_or("never".into(), |s| format!("{s} s"));
        println!(
            "          steady {} after the loss (within 3% of {held:.3}); full {} after the return (97% of {usual:.3})",
            after(outcome.steady(day.lost_at, held * 0.97, day.back_at)),
            after(outcome.steady(day.back_at, usual * 0.97, end))
        );
        if rule == Rule::Plan {
            let agreed: Vec<String> =
                outcome.standings().iter().map(|(at, what)| format!("{what} {at:.1} s")).collect();
            println!(
                "          agreed: {}; refused out of order: {}",
                agreed.join(", "),
                outcome.out_of_order
            );
        }
        let part = |t: usize| {
            if outcome.seconds[t].asked > 0.0 {
                outcome.seconds[t].served / outcome.seconds[t].asked
            } else {
                0.0
            }
        };
        worth.push((name(rule).to_owned(), smooth(by_second(&outcome, part))));
        let refused = |c: usize| smooth(by_second(&outcome, |t| f64::from(outcome.seconds[t].refused[c])));
        let classes = day.fleet().tables.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        let file = |what: &str| folder.join(format!("sites-{what}-{}.svg", name(rule).replace(' ', "-")));
        let save = |chart: Chart, what: &str| chart.save(&file(what)).map_err(|e| e.to_string());
        save(
            Chart {
                title: format!("Refused by class: {}", name(rule)),
                x: "seconds".into(),
                y: "requests a second".into(),
                lines: classes.into_iter().enumerate().map(|(c, name)| (name, refused(c))).collect(),
                marks: marks(),
            },
            "refused",
        )?;
        let sites = |of: &dyn Fn(usize, usize) -> f64| -> Vec<(String, Vec<(f64, f64)>)> {
            (0..day.sites).map(|s| (format!("site-{s}"), smooth(by_second(&outcome, |t| of(t, s))))).collect()
        };
        save(
            Chart {
                title: format!("Load of readers by site: {}", name(rule)),
                x: "seconds".into(),
                y: "sent, as a part of what they can do warm".into(),
                lines: sites(&|t, s| outcome.seconds[t].load[s][0]),
                marks: marks(),
            },
            "load",
        )?;
        save(
            Chart {
                title: format!("First tokens by site, 95 of 100 within: {}", name(rule)),
                x: "seconds".into(),
                y: "seconds to the first token".into(),
                lines: sites(&|t, s| quantile(&outcome.seconds[t].first[s], 0.95)),
                marks: marks(),
            },
            "first",
        )?;
    }
    let chart = Chart {
        title: "Worth served of what was asked for".into(),
        x: "seconds".into(),
        y: "part of the worth".into(),
        lines: worth,
        marks: marks(),
    };
    chart.save(&folder.join("sites-worth.svg")).map_err(|e| e.to_string())
}
