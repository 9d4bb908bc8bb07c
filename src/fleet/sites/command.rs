//! The command `whinhaven sites plan FILE --lose SITE`: prints a plan and, if asked, draws it.

use super::describe::{Fleet, SitesConfigError};
use super::plan::{Limit, Loss, Missing, Plan, PlanError, Plans};
use super::ramp;
use super::svg::Svg;
use crate::config::{Config, ConfigError};
use clap::{Args, Subcommand, ValueEnum};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Inspect the plans for the loss of sites.
#[derive(Clone, Debug, Args)]
pub struct SitesArgs {
    /// What to do with the plans.
    #[command(subcommand)]
    pub command: SitesCommand,
}

/// The subcommands of `whinhaven sites`.
#[derive(Clone, Debug, Subcommand)]
pub enum SitesCommand {
    /// Print where a lost site's load goes, what is refused first, and how its return is paced.
    Plan(PlanArgs),
}

/// The arguments of `whinhaven sites plan`.
#[derive(Clone, Debug, Args)]
pub struct PlanArgs {
    /// Operator's configuration file, with the tables of its sites.
    pub file: PathBuf,
    /// Site that is lost; may be given more than once.
    #[arg(long = "lose", value_name = "SITE")]
    pub lose: Vec<String>,
    /// Which part of each lost site is lost.
    #[arg(long, value_enum, default_value = "all")]
    pub part: Part,
    /// Write a drawing of the plan to this SVG file.
    #[arg(long, value_name = "OUT")]
    pub svg: Option<PathBuf>,
}

/// The part of a site that is lost.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Part {
    /// The whole site: its routers and all its model hosts.
    All,
    /// All model hosts; the routers still accept clients.
    Hosts,
    /// Half of the model hosts.
    Half,
    /// All routers; the model hosts still serve.
    #[value(name = "conductors")]
    Routers,
}

/// Why no plan could be printed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The configuration file is invalid.
    #[error("{}", .0.0)]
    Config(#[from] ConfigError),
    /// The file's `[sites]` tables are invalid.
    #[error(transparent)]
    SitesConfig(#[from] SitesConfigError),
    /// A plan could not be computed.
    #[error("sites: {0}")]
    Plan(#[from] PlanError),
    /// A file could not be read or written: its path and the error.
    #[error("{0}: {1}")]
    File(String, std::io::Error),
    /// A site given by `--lose` is not in the file: its name and the names in the file.
    #[error("--lose {0}: the file has no site of this name; its sites are {1}")]
    NoSite(String, String),
}

impl SitesArgs {
    /// Runs the subcommand, which prints to standard output.
    ///
    /// # Errors
    /// The file can't be read or is invalid, a site is unknown, a plan can't be computed, or the drawing can't be
    /// written.
    pub fn run(&self) -> Result<(), CommandError> {
        match &self.command {
            SitesCommand::Plan(plan) => plan.run(),
        }
    }
}

impl PlanArgs {
    /// Computes the plans of the file, prints the one for the given loss, and draws it if a path was given.
    ///
    /// # Errors
    /// The file can't be read or is invalid, a site is unknown, a plan can't be computed, or the drawing can't be
    /// written.
    pub fn run(&self) -> Result<(), CommandError> {
        let file_error = |path: &PathBuf, e| CommandError::File(path.display().to_string(), e);
        let text = std::fs::read_to_string(&self.file).map_err(|e| file_error(&self.file, e))?;
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
            std::fs::write(path, draw(&plans, &loss)).map_err(|e| file_error(path, e))?;
        }
        Ok(())
    }
}

fn percent(share: f64) -> String {
    format!("{:.0}%", share * 100.0)
}

/// A rate with one decimal below 1,000 and none from there on.
fn rate(per_second: f64) -> String {
    if per_second >= 1_000.0 {
        format!("{per_second:.0}")
    } else {
        format!("{per_second:.1}")
    }
}

fn title(fleet: &Fleet, loss: &Loss) -> String {
    let describe = |(site, missing): (usize, &Missing)| {
        let name = fleet.site_name(site);
        match missing {
            Missing::Nothing => None,
            Missing::Routers => Some(format!("{name} (its routers)")),
            Missing::HalfHosts => Some(format!("{name} (half of its hosts)")),
            Missing::Hosts => Some(format!("{name} (its hosts)")),
            Missing::All => Some(format!("{name} (routers and hosts)")),
        }
    };
    let parts: Vec<String> = loss.0.iter().enumerate().filter_map(describe).collect();
    if parts.is_empty() {
        "Nothing is lost".into()
    } else {
        format!("Loss of {}", parts.join(" and "))
    }
}

/// The text report on the plan for a loss; empty if that plan was not computed.
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
        line("With more than one site affected, half of the hosts counts as all hosts, and lost routers as the whole site.".into());
    }
    let kept = if plan.worth_offered > 0.0 {
        plan.worth_kept / plan.worth_offered
    } else {
        1.0
    };
    line(format!(
        "Worth kept: {:.1} of {:.1} a second, {:.1}%. Routes cost {:.1} a second.",
        plan.worth_kept,
        plan.worth_offered,
        kept * 100.0,
        plan.route_cost
    ));

    line(String::new());
    line("LIMITS THAT CAN'T ALL BE MET".into());
    if plan.shortfalls.is_empty() {
        line("  none: every guaranteed rate is served".into());
    }
    for shortfall in &plan.shortfalls {
        line(format!(
            "  guaranteed rate of {}, {}: {} of {} a second can't be served",
            fleet.tenants[shortfall.tenant],
            fleet.tables.classes[shortfall.class].name,
            rate(shortfall.refused),
            rate(shortfall.guaranteed),
        ));
    }
    if !plan.shortfalls.is_empty() {
        let full: Vec<String> = plan
            .binding_limits()
            .iter()
            .map(|l| l.limit.name(fleet))
            .collect();
        line(format!(
            "  full limits: {}",
            if full.is_empty() {
                "none; there is no route".into()
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
            let name = limit.name(fleet);
            let name = name.split(" at ").next().unwrap_or_default();
            let first_row = matches!(limit, Limit::PrefillRate(_));
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
                    "   full: it limits guaranteed requests".into()
                }
            });
            line(format!(
                "  {:<16}{:<22}{:>7}{:>7}{full}",
                if first_row { fleet.site_name(s) } else { "" },
                name,
                percent(before.utilization()),
                after.map_or("lost".into(), |l| percent(l.utilization())),
            ));
        }
    }
    for l in plan
        .loads
        .iter()
        .filter(|l| matches!(l.limit, Limit::Link(..)))
    {
        let before = usual
            .load(l.limit)
            .map_or(0.0, super::plan::Load::utilization);
        if l.utilization() > 0.0005 || before > 0.0005 {
            let full = if l.price > 1e-6 { "   full" } else { "" };
            line(format!(
                "  {:<38}{:>7}{:>7}{full}   {} tokens of KV state a second",
                l.limit.name(fleet),
                percent(before),
                percent(l.utilization()),
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
        let entry_shares = plan.entry_shares(fleet, site);
        for (c, class) in fleet.tables.classes.iter().enumerate() {
            let offered: f64 = fleet.demand[c].iter().map(|t| t[site]).sum();
            if offered <= 0.0 {
                continue;
            }
            line(format!("  {}: {} a second", class.name, rate(offered)));
            let mut refused = offered;
            for (e, part) in entry_shares
                .iter()
                .enumerate()
                .filter(|(_, part)| **part > 0.0)
            {
                // These clients take the routes of all clients of this entry, as far as their tenants are admitted.
                let admitted: f64 = (fleet.demand[c].iter().zip(&plan.allocation.levels[c]))
                    .map(|(d, l)| d[site] * part * l[e])
                    .sum();
                refused -= admitted;
                let entry_rate = plan.allocation.admitted_rate(c, e);
                for (route, route_rate) in plan
                    .allocation
                    .routes()
                    .filter(|(route, _)| route[0] == c && route[1] == e)
                {
                    let name = |s: usize| fleet.site_name(s);
                    let mut links: Vec<String> = Vec::new();
                    for (a, b) in [(e, route[2]), (route[2], route[3])] {
                        if a != b {
                            links.push(format!("{}>{}", name(a), name(b)));
                        }
                    }
                    let link_text = if links.is_empty() {
                        String::new()
                    } else {
                        format!(", over {}", links.join(" and "))
                    };
                    line(format!(
                        "    {:>8}  enter at {}, prefill at {}, decode at {}{link_text}",
                        rate(route_rate / entry_rate * admitted),
                        name(e),
                        name(route[2]),
                        name(route[3])
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
    for (i, r) in plan.refusal_order.iter().enumerate() {
        let kind = if r.guaranteed {
            "guaranteed"
        } else {
            "beyond guarantees"
        };
        let ratio = if r.worth_to_cost > 1e3 || !plan.shortfalls.is_empty() {
            "-".into()
        } else {
            format!("{:.2}", r.worth_to_cost)
        };
        line(format!(
            "  {:>2}. {:<40}{:>8}{:>9}/s{:>14}",
            i + 1,
            format!("{}, {kind}", fleet.tables.classes[r.class].name),
            rate(r.refused),
            rate(r.offered),
            ratio
        ));
    }
    line(
        "  never: admitted requests that are unsafe to repeat, and all others already admitted"
            .into(),
    );

    if loss.0.iter().any(|m| *m != Missing::Nothing) {
        let upper = plans
            .upper_bound(&Loss::none(fleet.site_count()))
            .unwrap_or_else(|| usual.allocation.clone());
        let intermediate = plans.intermediate(&plan.loss, &[&upper], &plan.allocation);
        line(String::new());
        line("UNTIL ALL CONDUCTORS HAVE AGREED".into());
        line(format!(
            "  worth kept: {:.1} a second; no limit is exceeded by any mix of routers at the usual plan, this intermediate one and the plan for the loss",
            plans.admitted_worth(&plan.loss, &intermediate)
        ));
    }
    for (site, _) in plan
        .loss
        .0
        .iter()
        .enumerate()
        .filter(|(_, m)| m.remaining_hosts() < 1.0)
    {
        let (watch, ramp) = (&fleet.tables.watch, &fleet.tables.ramp);
        line(String::new());
        line(format!(
            "THE RETURN OF {}",
            fleet.site_name(site).to_uppercase()
        ));
        line(format!(
            "  first all signals must be good for {:.1} s; each loss during or soon after a return doubles that, up to {:.1} s",
            watch.hold_down_ms as f64 / 1e3,
            (watch.hold_down_ms << watch.max_doublings.min(16)) as f64 / 1e3
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
            "  each step must stay good for {:.1} s, with at most {} of first tokens late and {} of requests refused; otherwise the site goes back at once to the last confirmed step",
            ramp.step_ms as f64 / 1e3,
            percent(ramp.max_late_share),
            percent(ramp.max_refused_share)
        ));
    }
    out
}

// Colours of the drawing.
const BEFORE: &str = "#9db4c0";
const AFTER: &str = "#33658a";
const LOST: &str = "#c8553d";
const GRID: &str = "#cccccc";

/// The plan for a loss as an SVG drawing: loads before and after, routes of the lost load, refusals, and the return.
/// Empty if that plan was not computed.
pub fn draw(plans: &Plans, loss: &Loss) -> String {
    let fleet = plans.fleet();
    let (Some(plan), Some(usual)) = (plans.get(loss), plans.get(&Loss::none(fleet.site_count())))
    else {
        return Svg::new(10.0, 10.0).finish();
    };
    let sites = fleet.site_count();
    let loads_height = 40.0 + sites as f64 * 74.0;
    let refusals_height = 50.0 + plan.refusal_order.len().min(24) as f64 * 18.0;
    let top = 60.0;
    let mut svg = Svg::new(1000.0, top + loads_height + refusals_height + 40.0);
    svg.text((20.0, 28.0), 18.0, "start", &title(fleet, &plan.loss));
    svg.text(
        (20.0, 48.0),
        12.0,
        "start",
        &format!(
            "worth kept {:.1} of {:.1} a second",
            plan.worth_kept, plan.worth_offered
        ),
    );
    draw_loads(&mut svg, fleet, usual, plan, top);
    draw_routes(&mut svg, fleet, plan, (560.0, top, loads_height));
    draw_refusals(&mut svg, fleet, plan, top + loads_height);
    draw_return(
        &mut svg,
        fleet,
        plan,
        (560.0, top + loads_height, refusals_height.max(170.0)),
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
            let utilization = |p: &Plan| p.load(limit).map(|l| l.utilization().min(1.2));
            svg.rect(
                (left, y),
                (width * utilization(usual).unwrap_or(0.0), 5.0),
                BEFORE,
            );
            match utilization(plan) {
                Some(share) => svg.rect((left, y + 6.0), (width * share, 6.0), AFTER),
                None => svg.text((left + 4.0, y + 13.0), 9.0, "start", "lost"),
            }
        }
        let fill = left + width * fleet.tables.fill;
        svg.line((fill, y - 2.0), (fill, y + 62.0), 1.0, LOST);
    }
}

fn draw_routes(svg: &mut Svg, fleet: &Fleet, plan: &Plan, (left, top, height): (f64, f64, f64)) {
    svg.text(
        (left, top + 14.0),
        13.0,
        "start",
        "Clients of lost sites: entry, prefill site, decode site",
    );
    let sites = fleet.site_count();
    let position = |column: f64, site: usize| {
        (
            left + 30.0 + column * 120.0,
            top + 50.0 + site as f64 * (height - 70.0) / sites as f64,
        )
    };
    let lost: Vec<usize> = (0..sites)
        .filter(|s| plan.loss.0[*s] != Missing::Nothing)
        .collect();
    // Rates by column, from site, and to site.
    let mut band_rates: std::collections::BTreeMap<(u8, usize, usize), f64> =
        std::collections::BTreeMap::new();
    for site in &lost {
        let entry_shares = plan.entry_shares(fleet, *site);
        for (c, demand) in fleet.demand.iter().enumerate() {
            for (e, part) in entry_shares
                .iter()
                .enumerate()
                .filter(|(_, part)| **part > 0.0)
            {
                let levels = demand.iter().zip(&plan.allocation.levels[c]);
                let admitted: f64 = levels.map(|(d, l)| d[*site] * part * l[e]).sum();
                let entry_rate = plan.allocation.admitted_rate(c, e).max(1e-9);
                for (route, route_rate) in plan
                    .allocation
                    .routes()
                    .filter(|(route, _)| route[0] == c && route[1] == e)
                {
                    let per_second = route_rate / entry_rate * admitted;
                    for band in [(0, *site, e), (1, e, route[2]), (2, route[2], route[3])] {
                        *band_rates.entry(band).or_insert(0.0) += per_second;
                    }
                }
            }
        }
    }
    let max_rate = band_rates.values().copied().fold(1e-9, f64::max);
    for ((column, from, to), per_second) in band_rates {
        let (a, b) = (
            position(f64::from(column), from),
            position(f64::from(column) + 1.0, to),
        );
        svg.band(
            a,
            b,
            (per_second / max_rate * 22.0).max(0.6),
            if column == 0 { LOST } else { AFTER },
        );
        svg.text(
            ((a.0 + b.0) / 2.0, (a.1 + b.1) / 2.0 - 3.0),
            9.0,
            "middle",
            &format!("{}/s", rate(per_second)),
        );
    }
    for column in 0..4 {
        for s in (0..sites).filter(|s| match column {
            0 => lost.contains(s),
            1 => !plan.loss.0[*s].routers_missing(),
            _ => plan.loss.0[*s].remaining_hosts() > 0.0,
        }) {
            let (x, y) = position(f64::from(column), s);
            svg.text((x, y - 14.0), 10.0, "middle", fleet.site_name(s));
        }
    }
}

fn draw_refusals(svg: &mut Svg, fleet: &Fleet, plan: &Plan, top: f64) {
    svg.text(
        (20.0, top + 14.0),
        13.0,
        "start",
        "Refused, first to last (of what is asked, a second)",
    );
    let max_rate = plan
        .refusal_order
        .iter()
        .map(|r| r.offered)
        .fold(1e-9, f64::max);
    for (i, r) in plan.refusal_order.iter().take(24).enumerate() {
        let y = top + 28.0 + i as f64 * 18.0;
        let kind = if r.guaranteed { ", guaranteed" } else { "" };
        let name = format!("{}{kind}", fleet.tables.classes[r.class].name);
        svg.text((214.0, y + 10.0), 10.0, "end", &name);
        svg.rect((220.0, y), (240.0 * r.offered / max_rate, 12.0), BEFORE);
        svg.rect((220.0, y), (240.0 * r.refused / max_rate, 12.0), LOST);
        svg.text(
            (466.0, y + 10.0),
            9.0,
            "start",
            &format!("{} of {}", rate(r.refused), rate(r.offered)),
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
        &format!("Return of {name}: share of its usual load over time"),
    );
    let step_s = fleet.tables.ramp.step_ms as f64 / 1e3;
    let duration_s = steps.last().map_or(1.0, |s| s.earliest_s) + step_s;
    let (x0, y0, w, h) = (left + 30.0, top + height - 30.0, 360.0, height - 60.0);
    svg.line((x0, y0), (x0 + w, y0), 1.0, GRID);
    svg.line((x0, y0 - h), (x0 + w, y0 - h), 1.0, GRID);
    svg.text((x0 - 4.0, y0 - h + 4.0), 9.0, "end", "100%");
    for (i, step) in steps.iter().enumerate() {
        let until = steps.get(i + 1).map_or(duration_s, |s| s.earliest_s);
        let bar_height = h * step.share;
        svg.rect(
            (x0 + w * step.earliest_s / duration_s, y0 - bar_height),
            (w * (until - step.earliest_s) / duration_s, bar_height),
            AFTER,
        );
    }
    let segments = 40;
    for i in 0..segments {
        let point = |i: i32| {
            let t = duration_s * f64::from(i) / f64::from(segments);
            (x0 + w * t / duration_s, y0 - h * fleet.warm_share(site, t))
        };
        svg.line(point(i), point(i + 1), 1.5, LOST);
    }
    svg.text(
        (x0 + w, y0 + 14.0),
        9.0,
        "end",
        &format!("{duration_s:.0} s"),
    );
    svg.text(
        (x0, y0 + 14.0),
        9.0,
        "start",
        "0 s; red: capacity of hosts that start then",
    );
}
