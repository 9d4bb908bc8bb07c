//! `whinhaven sites plan FILE --lose SITE`: prints, and draws, what a plan does.

use super::describe::{Fleet, SitesConfigError};
use super::plan::{Limit, Loss, Missing, Plan, PlanError, Plans};
use super::ramp;
use super::svg::Svg;
use crate::config::{Config, ConfigError};
use clap::{Args, Subcommand, ValueEnum};
use std::fmt::Write as _;
use std::path::PathBuf;

/// The plans for the loss of a site.
#[derive(Clone, Debug, Args)]
pub struct SitesArgs {
    /// What to do.
    #[command(subcommand)]
    pub command: SitesCommand,
}

/// What `whinhaven sites` does.
#[derive(Clone, Debug, Subcommand)]
pub enum SitesCommand {
    /// Print where a lost site's load goes, what is refused first, and how its return is paced.
    Plan(PlanArgs),
}

/// What to plan for.
#[derive(Clone, Debug, Args)]
pub struct PlanArgs {
    /// An operator's file with the tables of its sites.
    pub file: PathBuf,
    /// A site that is lost; may be given more than once.
    #[arg(long = "lose", value_name = "SITE")]
    pub lose: Vec<String>,
    /// What of it is lost.
    #[arg(long, value_enum, default_value = "all")]
    pub part: Part,
    /// Draw the plan into this file.
    #[arg(long, value_name = "OUT")]
    pub svg: Option<PathBuf>,
}

/// What of a site is lost.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Part {
    /// Routers and hosts.
    All,
    /// Its hosts.
    Hosts,
    /// Half of its hosts.
    Half,
    /// Its conductors.
    Routers,
}

/// Why there is no plan to print.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The file can't be used.
    #[error("{}", .0.0)]
    Config(#[from] ConfigError),
    /// Its `[sites]` tables can't.
    #[error(transparent)]
    Describe(#[from] SitesConfigError),
    /// No plan was found.
    #[error("sites: {0}")]
    Plan(#[from] PlanError),
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// There is no such site.
    #[error("--lose {0}: the file has no such site; it has {1}")]
    NoSite(String, String),
}

impl SitesArgs {
    /// Does what was asked, on standard output.
    ///
    /// # Errors
    /// Says what is wrong with the file, or that there is no such site.
    pub fn run(&self) -> Result<(), CommandError> {
        match &self.command {
            SitesCommand::Plan(plan) => plan.run(),
        }
    }
}

impl PlanArgs {
    /// Makes the plans of the file, prints the one that was asked for, and draws it if that was asked.
    ///
    /// # Errors
    /// Says what is wrong with the file, or that there is no such site.
    pub fn run(&self) -> Result<(), CommandError> {
        let at = |path: &PathBuf, e| CommandError::File(path.display().to_string(), e);
        let text = std::fs::read_to_string(&self.file).map_err(|e| at(&self.file, e))?;
        let settings = Config::from_toml(&text)?.settings;
        let fleet = Fleet::from_toml(&text, &settings)?;
        let mut loss = Loss::none(fleet.site_count());
        for name in &self.lose {
            let names = || {
                fleet
                    .tables
                    .site
                    .iter()
                    .map(|s| s.name.as_str())
                    .collect::<Vec<_>>()
                    .join(", ")
            };
            let site = fleet
                .site_index(name)
                .ok_or_else(|| CommandError::NoSite(name.clone(), names()))?;
            loss.0[site] = match self.part {
                Part::All => Missing::All,
                Part::Hosts => Missing::Hosts,
                Part::Half => Missing::HalfHosts,
                Part::Routers => Missing::Routers,
            };
        }
        let mut plans = Plans::new(fleet)?;
        plans.get_or_compute(&loss)?;
        print!("{}", report(&plans, &loss));
        if let Some(path) = &self.svg {
            std::fs::write(path, draw(&plans, &loss)).map_err(|e| at(path, e))?;
        }
        Ok(())
    }
}

fn percent(part: f64) -> String {
    format!("{:.0}%", part * 100.0)
}

/// A rate with as many digits as it needs.
fn rate(v: f64) -> String {
    if v >= 1_000.0 {
        format!("{v:.0}")
    } else {
        format!("{v:.1}")
    }
}

fn title(fleet: &Fleet, loss: &Loss) -> String {
    let part = |(s, m): (usize, &Missing)| {
        let name = fleet.site_name(s);
        match m {
            Missing::Nothing => None,
            Missing::Routers => Some(format!("{name} (its conductors)")),
            Missing::HalfHosts => Some(format!("{name} (half of its hosts)")),
            Missing::Hosts => Some(format!("{name} (its hosts)")),
            Missing::All => Some(format!("{name} (conductors and hosts)")),
        }
    };
    let parts: Vec<String> = loss.0.iter().enumerate().filter_map(part).collect();
    if parts.is_empty() {
        "Nothing is lost".into()
    } else {
        format!("Loss of {}", parts.join(" and "))
    }
}

/// The plan for a loss in words and figures; empty if none was made.
pub fn report(plans: &Plans, loss: &Loss) -> String {
    let fleet = plans.fleet();
    let (Some(plan), Some(usual)) = (plans.get(loss), plans.get(&Loss::none(fleet.site_count())))
    else {
        return String::new();
    };
    let mut out = String::new();
    let mut line = |text: String| {
        let _ = writeln!(out, "{}", text.trim_end());
    };
    line(format!(
        "{}. Plans {:016x}.",
        title(fleet, &plan.loss),
        plans.fingerprint()
    ));
    if plan.loss != *loss {
        line("Where more than one site is touched, what is touched counts as lost whole.".into());
    }
    let kept = if plan.worth_asked > 0.0 {
        plan.worth_kept / plan.worth_asked
    } else {
        1.0
    };
    line(format!(
        "Worth kept: {:.1} of {:.1} a second, {:.1}%. Ways cost {:.1} a second.",
        plan.worth_kept,
        plan.worth_asked,
        kept * 100.0,
        plan.crossings
    ));

    line(String::new());
    line("LIMITS THAT CAN'T ALL BE MET".into());
    if plan.shortfalls.is_empty() {
        line("  none: every guaranteed share is borne".into());
    }
    for s in &plan.shortfalls {
        line(format!(
            "  guaranteed share of {}, {}: {} of {} a second can't be borne",
            fleet.tenants[s.tenant],
            fleet.tables.classes[s.class].name,
            rate(s.short),
            rate(s.guaranteed),
        ));
    }
    if !plan.shortfalls.is_empty() {
        let full: Vec<String> = plan.scarce().iter().map(|l| l.limit.name(fleet)).collect();
        line(format!(
            "  what is full: {}",
            if full.is_empty() {
                "no way leads there".into()
            } else {
                full.join(", ")
            }
        ));
    }

    line(String::new());
    line(format!(
        "LOAD              {:<22}{:>7}{:>7}   of {} at most",
        "",
        "before",
        "after",
        percent(fleet.tables.fill)
    ));
    for s in 0..fleet.site_count() {
        for limit in [
            Limit::PrefillRate(s),
            Limit::PrefillMemory(s),
            Limit::DecodeRate(s),
            Limit::DecodeMemory(s),
        ] {
            let (before, after) = (usual.load(limit), plan.load(limit));
            let Some(before) = before else { continue };
            let what = limit.name(fleet);
            let what = what.split(" at ").next().unwrap_or_default();
            let first = matches!(limit, Limit::PrefillRate(_));
            let full = after.filter(|l| l.price > 1e-6);
            let full = full.map_or(String::new(), |l| {
                if l.price < 0.5 {
                    "   full".into()
                } else if plan.shortfalls.is_empty() {
                    format!(
                        "   full: 1% more keeps {:.2} worth a second",
                        l.price / 100.0
                    )
                } else {
                    "   full: it holds guaranteed shares back".into()
                }
            });
            line(format!(
                "  {:<16}{:<22}{:>7}{:>7}{full}",
                if first { fleet.site_name(s) } else { "" },
                what,
                percent(before.part()),
                after.map_or("lost".into(), |l| percent(l.part())),
            ));
        }
    }
    for l in plan
        .loads
        .iter()
        .filter(|l| matches!(l.limit, Limit::Link(..)))
    {
        let before = usual.load(l.limit).map_or(0.0, super::plan::Load::part);
        if l.part() > 0.0005 || before > 0.0005 {
            let full = if l.price > 1e-6 { "   full" } else { "" };
            line(format!(
                "  {:<38}{:>7}{:>7}{full}   {} tokens of state a second",
                l.limit.name(fleet),
                percent(before),
                percent(l.part()),
                rate(l.used)
            ));
        }
    }

    for (site, _) in plan
        .loss
        .0
        .iter()
        .enumerate()
        .filter(|(_, m)| **m != Missing::Nothing)
    {
        line(String::new());
        line(format!(
            "WHERE THE CLIENTS OF {} GO",
            fleet.site_name(site).to_uppercase()
        ));
        let falls = plan.falls(fleet, site);
        for (c, class) in fleet.tables.classes.iter().enumerate() {
            let asks: f64 = fleet.demand[c].iter().map(|t| t[site]).sum();
            if asks <= 0.0 {
                continue;
            }
            line(format!("  {}: {} a second", class.name, rate(asks)));
            let mut refused = asks;
            for (e, part) in falls.iter().enumerate().filter(|(_, part)| **part > 0.0) {
                // Its clients go the ways of all that come in there, as far as their tenants are taken.
                let taken: f64 = (fleet.demand[c].iter().zip(&plan.allocation.levels[c]))
                    .map(|(d, l)| d[site] * part * l[e])
                    .sum();
                refused -= taken;
                let all = plan.allocation.taken(c, e);
                for (w, way) in plan
                    .allocation
                    .ways()
                    .filter(|(w, _)| w[0] == c && w[1] == e)
                {
                    let name = |s: usize| fleet.site_name(s);
                    let mut links: Vec<String> = Vec::new();
                    for (a, b) in [(e, w[2]), (w[2], w[3])] {
                        if a != b {
                            links.push(format!("{}>{}", name(a), name(b)));
                        }
                    }
                    let over = if links.is_empty() {
                        String::new()
                    } else {
                        format!(", over {}", links.join(" and "))
                    };
                    line(format!(
                        "    {:>8}  in at {}, read at {}, written at {}{over}",
                        rate(way / all * taken),
                        name(e),
                        name(w[2]),
                        name(w[3])
                    ));
                }
            }
            line(format!("    {:>8}  refused", rate(refused.max(0.0))));
        }
    }

    line(String::new());
    line(
        "REFUSED, FIRST TO LAST                        refused   of asked   worth over price"
            .into(),
    );
    for (i, r) in plan.order.iter().enumerate() {
        let whose = if r.guaranteed {
            "guaranteed"
        } else {
            "beyond guarantees"
        };
        let ratio = if r.ratio > 1e3 || !plan.shortfalls.is_empty() {
            "-".into()
        } else {
            format!("{:.2}", r.ratio)
        };
        line(format!(
            "  {:>2}. {:<40}{:>8}{:>9}/s{:>14}",
            i + 1,
            format!("{}, {whose}", fleet.tables.classes[r.class].name),
            rate(r.refused),
            rate(r.asked),
            ratio
        ));
    }
    line("  never: unsafe work in hand, and whatever else was taken before".into());

    if loss.0.iter().any(|m| *m != Missing::Nothing) {
        let most = plans
            .upper_bound(&Loss::none(fleet.site_count()))
            .unwrap_or_else(|| usual.allocation.clone());
        let first = plans.intermediate(&plan.loss, &[&most], &plan.allocation);
        line(String::new());
        line("UNTIL ALL CONDUCTORS HAVE AGREED".into());
        line(format!(
            "  worth kept: {:.1} a second; no limit is broken by any mix of conductors at the usual plan, here and at the loss's",
            plans.worth(&plan.loss, &first)
        ));
    }
    for (site, _) in plan
        .loss
        .0
        .iter()
        .enumerate()
        .filter(|(_, m)| m.remaining_hosts() < 1.0)
    {
        let (watch, set) = (&fleet.tables.watch, &fleet.tables.ramp);
        line(String::new());
        line(format!(
            "THE RETURN OF {}",
            fleet.site_name(site).to_uppercase()
        ));
        line(format!(
            "  first all signs are good for {:.1} s; each loss during or soon after a return doubles that, up to {:.1} s",
            watch.hold_down_ms as f64 / 1e3,
            (watch.hold_down_ms << watch.most_doublings.min(16)) as f64 / 1e3
        ));
        line("  step   its hosts' part of their usual load   not before".into());
        for (k, step) in ramp::return_steps(fleet, site).iter().enumerate() {
            line(format!(
                "  {:>4}   {:>36}   {:>7.1} s",
                k + 1,
                percent(step.share),
                step.earliest_s
            ));
        }
        line(format!(
            "  each step is held {:.1} s, first tokens late {} and turned away {} at most; else back at once to the last one",
            set.step_ms as f64 / 1e3,
            percent(set.most_late),
            percent(set.most_refused)
        ));
    }
    out
}

const BEFORE: &str = "#9db4c0";
const AFTER: &str = "#33658a";
const LOST: &str = "#c8553d";
const GRID: &str = "#cccccc";

/// The plan for a loss as a drawing: loads before and after, ways of the lost load, refusals, the return.
pub fn draw(plans: &Plans, loss: &Loss) -> String {
    let fleet = plans.fleet();
    let (Some(plan), Some(usual)) = (plans.get(loss), plans.get(&Loss::none(fleet.site_count())))
    else {
        return Svg::new(10.0, 10.0).finish();
    };
    let sites = fleet.site_count();
    let loads_height = 40.0 + sites as f64 * 74.0;
    let order_height = 50.0 + plan.order.len().min(24) as f64 * 18.0;
    let top = 60.0;
    let mut svg = Svg::new(1000.0, top + loads_height + order_height + 40.0);
    svg.text((20.0, 28.0), 18.0, "start", &title(fleet, &plan.loss));
    svg.text(
        (20.0, 48.0),
        12.0,
        "start",
        &format!(
            "worth kept {:.1} of {:.1} a second",
            plan.worth_kept, plan.worth_asked
        ),
    );
    draw_loads(&mut svg, fleet, usual, plan, top);
    draw_ways(&mut svg, fleet, plan, (560.0, top, loads_height));
    draw_order(&mut svg, fleet, plan, top + loads_height);
    draw_return(
        &mut svg,
        fleet,
        plan,
        (560.0, top + loads_height, order_height.max(170.0)),
    );
    svg.finish()
}

fn draw_loads(svg: &mut Svg, fleet: &Fleet, usual: &Plan, plan: &Plan, top: f64) {
    svg.text(
        (20.0, top + 14.0),
        13.0,
        "start",
        "Load before (light) and after (dark)",
    );
    let (left, width) = (190.0, 300.0);
    for s in 0..fleet.site_count() {
        let y = top + 28.0 + s as f64 * 74.0;
        svg.text((20.0, y + 14.0), 13.0, "start", fleet.site_name(s));
        let limits = [
            Limit::PrefillRate(s),
            Limit::PrefillMemory(s),
            Limit::DecodeRate(s),
            Limit::DecodeMemory(s),
        ];
        for (i, limit) in limits.into_iter().enumerate() {
            let y = y + i as f64 * 16.0;
            let name = limit.name(fleet);
            svg.text(
                (left - 6.0, y + 10.0),
                10.0,
                "end",
                name.split(" at ").next().unwrap_or_default(),
            );
            let part = |p: &Plan| p.load(limit).map(|l| l.part().min(1.2));
            svg.rect((left, y), (width * part(usual).unwrap_or(0.0), 5.0), BEFORE);
            match part(plan) {
                Some(part) => svg.rect((left, y + 6.0), (width * part, 6.0), AFTER),
                None => svg.text((left + 4.0, y + 13.0), 9.0, "start", "lost"),
            }
        }
        let fill = left + width * fleet.tables.fill;
        svg.line((fill, y - 2.0), (fill, y + 62.0), 1.0, LOST);
    }
}

fn draw_ways(svg: &mut Svg, fleet: &Fleet, plan: &Plan, (left, top, height): (f64, f64, f64)) {
    svg.text(
        (left, top + 14.0),
        13.0,
        "start",
        "Clients of what is lost: in at, read at, written at",
    );
    let n = fleet.site_count();
    let place = |column: f64, site: usize| {
        (
            left + 30.0 + column * 120.0,
            top + 50.0 + site as f64 * (height - 70.0) / n as f64,
        )
    };
    let lost: Vec<usize> = (0..n)
        .filter(|s| plan.loss.0[*s] != Missing::Nothing)
        .collect();
    // By column, from site, to site.
    let mut sums: std::collections::BTreeMap<(u8, usize, usize), f64> =
        std::collections::BTreeMap::new();
    for site in &lost {
        let falls = plan.falls(fleet, *site);
        for (c, demand) in fleet.demand.iter().enumerate() {
            for (e, part) in falls.iter().enumerate().filter(|(_, part)| **part > 0.0) {
                let levels = demand.iter().zip(&plan.allocation.levels[c]);
                let taken: f64 = levels.map(|(d, l)| d[*site] * part * l[e]).sum();
                let all = plan.allocation.taken(c, e).max(1e-9);
                for (w, way) in plan
                    .allocation
                    .ways()
                    .filter(|(w, _)| w[0] == c && w[1] == e)
                {
                    let v = way / all * taken;
                    for band in [(0, *site, e), (1, e, w[2]), (2, w[2], w[3])] {
                        *sums.entry(band).or_insert(0.0) += v;
                    }
                }
            }
        }
    }
    let most = sums.values().copied().fold(1e-9, f64::max);
    for ((column, from, to), v) in sums {
        let (a, b) = (
            place(f64::from(column), from),
            place(f64::from(column) + 1.0, to),
        );
        svg.band(
            a,
            b,
            (v / most * 22.0).max(0.6),
            if column == 0 { LOST } else { AFTER },
        );
        svg.text(
            ((a.0 + b.0) / 2.0, (a.1 + b.1) / 2.0 - 3.0),
            9.0,
            "middle",
            &format!("{}/s", rate(v)),
        );
    }
    for column in 0..4 {
        for s in (0..n).filter(|s| match column {
            0 => lost.contains(s),
            1 => !plan.loss.0[*s].routers_missing(),
            _ => plan.loss.0[*s].remaining_hosts() > 0.0,
        }) {
            let (x, y) = place(f64::from(column), s);
            svg.text((x, y - 14.0), 10.0, "middle", fleet.site_name(s));
        }
    }
}

fn draw_order(svg: &mut Svg, fleet: &Fleet, plan: &Plan, top: f64) {
    svg.text(
        (20.0, top + 14.0),
        13.0,
        "start",
        "Refused, first to last (of what is asked, a second)",
    );
    let most = plan.order.iter().map(|r| r.asked).fold(1e-9, f64::max);
    for (i, r) in plan.order.iter().take(24).enumerate() {
        let y = top + 28.0 + i as f64 * 18.0;
        let whose = if r.guaranteed { ", guaranteed" } else { "" };
        let name = format!("{}{whose}", fleet.tables.classes[r.class].name);
        svg.text((214.0, y + 10.0), 10.0, "end", &name);
        svg.rect((220.0, y), (240.0 * r.asked / most, 12.0), BEFORE);
        svg.rect((220.0, y), (240.0 * r.refused / most, 12.0), LOST);
        svg.text(
            (466.0, y + 10.0),
            9.0,
            "start",
            &format!("{} of {}", rate(r.refused), rate(r.asked)),
        );
    }
}

fn draw_return(svg: &mut Svg, fleet: &Fleet, plan: &Plan, (left, top, height): (f64, f64, f64)) {
    let Some(site) = (0..fleet.site_count()).find(|s| plan.loss.0[*s].remaining_hosts() < 1.0)
    else {
        return;
    };
    let steps = ramp::return_steps(fleet, site);
    let name = fleet.site_name(site);
    svg.text(
        (left, top + 14.0),
        13.0,
        "start",
        &format!("Return of {name}: part of its usual load, by seconds"),
    );
    let held = fleet.tables.ramp.step_ms as f64 / 1e3;
    let whole = steps.last().map_or(1.0, |s| s.earliest_s) + held;
    let (x0, y0, w, h) = (left + 30.0, top + height - 30.0, 360.0, height - 60.0);
    svg.line((x0, y0), (x0 + w, y0), 1.0, GRID);
    svg.line((x0, y0 - h), (x0 + w, y0 - h), 1.0, GRID);
    svg.text((x0 - 4.0, y0 - h + 4.0), 9.0, "end", "100%");
    for (i, step) in steps.iter().enumerate() {
        let until = steps.get(i + 1).map_or(whole, |s| s.earliest_s);
        let bars = h * step.share;
        svg.rect(
            (x0 + w * step.earliest_s / whole, y0 - bars),
            (w * (until - step.earliest_s) / whole, bars),
            AFTER,
        );
    }
    let marks = 40;
    for i in 0..marks {
        let at = |i: i32| {
            let t = whole * f64::from(i) / f64::from(marks);
            (x0 + w * t / whole, y0 - h * fleet.warm_share(site, t))
        };
        svg.line(at(i), at(i + 1), 1.5, LOST);
    }
    svg.text((x0 + w, y0 + 14.0), 9.0, "end", &format!("{whole:.0} s"));
    svg.text(
        (x0, y0 + 14.0),
        9.0,
        "start",
        "0 s; red: what hosts that start then bear",
    );
}
