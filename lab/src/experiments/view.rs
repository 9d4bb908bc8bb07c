//! The view in figures: time to detect, time to settle after a heal, false deaths, messages and bytes, against size and
//! loss; next to `foca` on the same network and to what the SWIM paper expects.

use crate::sim::bed::Bed;
use crate::sim::foca::FocaFleet;
use crate::sim::network::Link;
use crate::sim::views::{Fleet, Plan};
use clap::Args;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};
use whinhaven::fleet::membership::{Config, Status};
use whinhaven::routing::types::Micros;

/// What is measured.
#[derive(Args, Clone, Debug)]
pub struct ViewArgs {
    /// Fleet sizes.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 10, 30, 100, 300, 1000])]
    pub sizes: Vec<usize>,
    /// Parts of messages lost, in percent.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 10, 20, 30])]
    pub losses: Vec<u32>,
    /// Crashes per point of small fleets; large ones take fewer.
    #[arg(long, default_value_t = 30)]
    pub runs: u64,
    /// Where the SVG figures go.
    #[arg(long, default_value = "docs/figures")]
    pub figures: PathBuf,
}

/// Whose members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whose {
    Ours,
    Foca,
    FocaQuiet,
}

impl Whose {
    const ALL: [Whose; 3] = [Whose::Ours, Whose::Foca, Whose::FocaQuiet];

    fn name(self) -> &'static str {
        match self {
            Whose::Ours => "ours",
            Whose::Foca => "foca",
            Whose::FocaQuiet => "foca, no gossip timer",
        }
    }

    fn bed(self, members: usize, loss: u32, seed: u64) -> Box<dyn Bed> {
        let mut plan = Plan::new(members, seed);
        plan.link = link(loss);
        match self {
            Whose::Ours => Box::new(Fleet::new(plan)),
            Whose::Foca | Whose::FocaQuiet => {
                let gossip = self == Whose::Foca;
                Box::new(FocaFleet::new(
                    members,
                    &plan.config,
                    plan.link,
                    seed,
                    gossip,
                ))
            }
        }
    }

    /// All members run and know each other.
    fn settled(self, members: usize, loss: u32, seed: u64) -> Option<Box<dyn Bed>> {
        let mut bed = self.bed(members, 0, seed);
        (0..members).for_each(|node| bed.start(node));
        bed.until_agreed(period(), 600 * period())?;
        bed.set_link(link(loss));
        // The news of the joins are out.
        let quiet = bed.now() + 40 * period();
        bed.run(quiet);
        bed.heard();
        Some(bed)
    }
}

fn link(loss: u32) -> Link {
    Link {
        loss: f64::from(loss) / 100.0,
        ..Link::default()
    }
}

fn period() -> Micros {
    Config::default().period_ms * 1000
}

/// What was measured at one point.
#[derive(Clone, Debug, Default)]
struct Point {
    /// From the crash to the first suspicion, in periods (ours only: foca does not tell).
    suspected: Vec<f64>,
    /// From the crash until the first holds it dead, in periods.
    first: Vec<f64>,
    /// From the crash until all hold it dead, in periods.
    all: Vec<f64>,
    /// From the first suspicion to the last, in periods: how fast news go round.
    spread: Vec<f64>,
    /// From its start until all know a new member, in periods.
    joined: Vec<f64>,
    /// From the heal of a split in halves until all agree, in periods; none: not within 600.
    healed: Vec<Option<f64>>,
    /// Live members held dead, per member and hour.
    false_deaths: f64,
    /// Messages that a member sends in a second.
    messages: f64,
    /// Bytes that a member sends in a second, frames included.
    bytes: f64,
}

fn mean(of: &[f64]) -> f64 {
    if of.is_empty() {
        f64::NAN
    } else {
        of.iter().sum::<f64>() / of.len() as f64
    }
}

fn worst(of: &[f64]) -> f64 {
    of.iter().copied().fold(f64::NAN, f64::max)
}

fn measure(whose: Whose, members: usize, loss: u32, runs: u64) -> Point {
    let mut point = Point::default();
    let mut member_hours = 0.0;
    let mut deaths = 0;
    for seed in 0..runs {
        let Some(mut bed) = whose.settled(members, loss, seed) else {
            continue;
        };
        // Quiet: traffic and false deaths.
        let periods = if members > 100 { 40 } else { 240 };
        let before: Vec<_> = (0..members).map(|node| bed.sent(node)).collect();
        let until = bed.now() + periods * period();
        bed.run(until);
        let seconds = (periods * period()) as f64 / 1e6;
        let after = |node: usize| bed.sent(node);
        let messages: u64 = (0..members)
            .map(|node| after(node).messages - before[node].messages)
            .sum();
        let bytes: u64 = (0..members)
            .map(|node| after(node).bytes - before[node].bytes)
            .sum();
        point.messages += messages as f64 / seconds / members as f64 / runs as f64;
        point.bytes += bytes as f64 / seconds / members as f64 / runs as f64;
        member_hours += members as f64 * seconds / 3600.0;
        deaths += bed
            .heard()
            .iter()
            .filter(|(_, _, _, to)| *to == Status::Dead)
            .count();

        // A crash.
        let lost = members - 1;
        let at = bed.now();
        bed.crash(lost);
        let survivors = members - 1;
        let mut dead = std::collections::BTreeMap::new();
        let mut suspects = std::collections::BTreeMap::new();
        while dead.len() < survivors && bed.now() < at + 600 * period() {
            let until = bed.now() + period();
            bed.run(until);
            for (when, by, of, to) in bed.heard() {
                let after = (when - at) as f64 / period() as f64;
                match to {
                    Status::Suspect if of == lost => drop(suspects.entry(by).or_insert(after)),
                    Status::Dead if of == lost => drop(dead.entry(by).or_insert(after)),
                    Status::Alive if of == lost => drop(dead.remove(&by)),
                    _ => {}
                }
            }
        }
        let least =
            |of: &std::collections::BTreeMap<usize, f64>| of.values().copied().reduce(f64::min);
        let most =
            |of: &std::collections::BTreeMap<usize, f64>| of.values().copied().reduce(f64::max);
        point.suspected.extend(least(&suspects));
        point.first.extend(least(&dead));
        if dead.len() == survivors {
            point.all.extend(most(&dead));
        }
        point.spread.extend(
            least(&suspects)
                .zip(most(&suspects))
                .map(|(first, last)| last - first),
        );

        // A new life of it joins. Without loss: the spread of news is what is asked.
        if loss == 0 {
            bed.start(lost);
            let took = bed.until_agreed(period() / 10, 600 * period());
            point
                .joined
                .extend(took.map(|took| took as f64 / period() as f64));
        }
        // A split in halves for a minute, and its heal.
        for one in (0..members).filter(|one| one % 2 == 0) {
            for other in (0..members).filter(|other| other % 2 == 1) {
                bed.cut(one, other);
                bed.cut(other, one);
            }
        }
        let until = bed.now() + 120 * period();
        bed.run(until);
        bed.heal();
        let took = bed.until_agreed(period() / 4, 600 * period());
        point
            .healed
            .push(took.map(|took| took as f64 / period() as f64));
    }
    point.false_deaths = deaths as f64 / member_hours;
    point
}

type Row = (Whose, usize, u32, Point);

/// Measures, prints tables and draws figures.
///
/// # Errors
/// A figure could not be written.
pub fn run(args: &ViewArgs) -> Result<(), Box<dyn Error>> {
    println!(
        "times in periods of {} ms; mean / worst over the runs",
        period() / 1000
    );
    println!(
        "{:<22}{:>6}{:>6}{:>12}{:>14}{:>14}{:>12}{:>14}{:>16}{:>13}{:>9}{:>9}",
        "whose",
        "n",
        "loss",
        "suspected",
        "first dead",
        "all dead",
        "spread",
        "join",
        "healed",
        "false/h",
        "msg/s",
        "B/s"
    );
    let mut rows: Vec<Row> = Vec::new();
    let small = args.sizes.iter().copied().min().unwrap_or(5);
    let middle = args
        .sizes
        .iter()
        .copied()
        .filter(|size| *size <= 30)
        .max()
        .unwrap_or(small);
    for whose in Whose::ALL {
        let by_size = args.sizes.iter().map(|size| (*size, 0));
        let lossy = args.losses.iter().filter(|loss| **loss > 0);
        let by_loss = lossy.flat_map(|loss| [(small, *loss), (middle, *loss)]);
        for (size, loss) in by_size.chain(by_loss) {
            let runs = (args.runs * 30 / size as u64).clamp(2.min(args.runs), args.runs);
            let point = measure(whose, size, loss, runs);
            print_row(whose, size, loss, &point);
            rows.push((whose, size, loss, point));
        }
    }
    std::fs::create_dir_all(&args.figures)?;
    figures(&args.figures, &rows, small)
}

fn print_row(whose: Whose, size: usize, loss: u32, point: &Point) {
    let pair = |of: &[f64]| format!("{:.1} / {:.1}", mean(of), worst(of));
    let healed: Vec<f64> = point.healed.iter().flatten().copied().collect();
    let never = point.healed.len() - healed.len();
    let healed = if never > 0 {
        format!("{} ({never} not)", pair(&healed))
    } else {
        pair(&healed)
    };
    println!(
        "{:<22}{size:>6}{loss:>5}%{:>12}{:>14}{:>14}{:>12}{:>14}{healed:>16}{:>13.2}{:>9.1}{:>9.0}",
        whose.name(),
        pair(&point.suspected),
        pair(&point.first),
        pair(&point.all),
        pair(&point.spread),
        pair(&point.joined),
        point.false_deaths,
        point.messages,
        point.bytes,
    );
}

struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
}

fn figures(folder: &Path, rows: &[Row], small: usize) -> Result<(), Box<dyn Error>> {
    let by_size = |name: &str, whose: Whose, value: &dyn Fn(&Point) -> f64| Curve {
        name: format!("{}: {name}", whose.name()),
        points: (rows
            .iter()
            .filter(|(w, _, loss, _)| *w == whose && *loss == 0))
        .map(|(_, size, _, point)| ((*size as f64).log10(), value(point)))
        .filter(|(_, value)| value.is_finite())
        .collect(),
    };
    let sizes: Vec<f64> = by_size("", Whose::Ours, &|_| 0.0)
        .points
        .iter()
        .map(|(size, _)| *size)
        .collect();
    let expected = std::f64::consts::E / (std::f64::consts::E - 1.0);
    let constant = |name: &str, value: f64| Curve {
        name: name.to_owned(),
        points: sizes.iter().map(|size| (*size, value)).collect(),
    };
    let x = "members, power of ten";
    let healed = |point: &Point| mean(&point.healed.iter().flatten().copied().collect::<Vec<_>>());
    let mut curves = vec![
        by_size("first suspicion", Whose::Ours, &|point| {
            mean(&point.suspected)
        }),
        constant("SWIM paper: e/(e-1)", expected),
    ];
    curves.extend(
        Whose::ALL.map(|whose| by_size("held dead by all", whose, &|point| mean(&point.all))),
    );
    draw(
        &folder.join("view-detect.svg"),
        "Time to detect a crash",
        x,
        "periods",
        &curves,
    )?;
    let curves = Whose::ALL.map(|whose| by_size("all agree", whose, &healed));
    draw(
        &folder.join("view-heal.svg"),
        "Time to settle after a split in halves heals",
        x,
        "periods",
        &curves,
    )?;
    let curves = Whose::ALL.map(|whose| by_size("sent", whose, &|point| point.bytes / 1000.0));
    draw(
        &folder.join("view-bytes.svg"),
        "Traffic of a member at rest",
        x,
        "kB/s",
        &curves,
    )?;
    let curves = [
        by_size("a crash's suspicion", Whose::Ours, &|point| {
            mean(&point.spread)
        }),
        by_size("a join", Whose::Ours, &|point| mean(&point.joined)),
        by_size("a join", Whose::Foca, &|point| mean(&point.joined)),
        Curve {
            name: "log2 n".to_owned(),
            points: sizes
                .iter()
                .map(|size| (*size, size * 10_f64.log2()))
                .collect(),
        },
    ];
    draw(
        &folder.join("view-spread.svg"),
        "Time for a change to reach all",
        x,
        "periods",
        &curves,
    )?;
    let curves = Whose::ALL.map(|whose| Curve {
        name: whose.name().to_owned(),
        points: (rows
            .iter()
            .filter(|(w, size, ..)| *w == whose && *size == small))
        .map(|(_, _, loss, point)| (f64::from(*loss), point.false_deaths))
        .collect(),
    });
    let title = format!("Live members held dead, at {small} members");
    draw(
        &folder.join("view-false.svg"),
        &title,
        "loss, percent",
        "a member and hour",
        &curves,
    )
}

fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    curves: &[Curve],
) -> Result<(), Box<dyn Error>> {
    let all = || curves.iter().flat_map(|curve| &curve.points);
    let right = all().map(|point| point.0).fold(0.1, f64::max);
    let top = all().map(|point| point.1).fold(0.1, f64::max);
    let left = all().map(|point| point.0).fold(right, f64::min);
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(left..right * 1.02, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    for (number, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let line = LineSeries::new(curve.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)?
            .label(&curve.name)
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2))
            });
    }
    let mut legend = chart.configure_series_labels();
    legend.position(SeriesLabelPosition::UpperLeft);
    legend
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}
