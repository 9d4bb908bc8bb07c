//! The replicated state of all sites: which sites are lost, how far a return has come, and whether all routers act by
//! the latest change.
//!
//! One [`SiteTable`] is part of the state that the Raft log is applied to. It reads no clock. Every command that
//! changes what routers do raises the epoch. Commands that pace a return name the epoch they were made for and are
//! refused in any other epoch, so that none is applied twice, late or out of order.

use super::plan::{Allocation, Loss, Missing, PlanError, Plans};
use super::ramp;
use crate::fleet::{NameError, SiteName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const MAX_SITES: usize = 16;
const MAX_RETURN_STEPS: usize = 20_000;
/// Maximum number of changes that may be pending before all routers have adopted them; further changes wait.
const MAX_PENDING_CHANGES: usize = 4;
/// The full share of a load, in millionths.
const FULL_SHARE: u32 = 1_000_000;

/// A proposal about sites, decided through the Raft log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Puts another set of plans in force. Refused while any site is not healthy.
    InstallPlans {
        /// [`Plans::fingerprint`] of the new plans.
        plans: u64,
        /// Every site in the order of the configuration file, with the load share of each step of its return, in
        /// millionths.
        sites: Vec<(SiteName, Vec<u32>)>,
    },
    /// Routers of one site report which part of another site is missing, or that nothing is missing any more.
    ReportMissing {
        /// Site of the router that makes the report.
        observer: SiteName,
        /// The site that the report is about.
        site: SiteName,
        /// The part of the site that is missing.
        missing: Missing,
        /// [`Plans::fingerprint`] of the reporting router's plans; reports made under other plans are refused.
        plans: u64,
    },
    /// Every router either acts by this epoch or has lost its right to act, so that the next change may come.
    Settle {
        /// The epoch that all routers have adopted; refused if it is not the current one.
        epoch: u64,
    },
    /// Tries the next step of a return.
    TryStep {
        /// The epoch that this command was made for; refused in any other epoch.
        epoch: u64,
        /// The returning site; refused unless its current step is confirmed and another step follows.
        site: SiteName,
    },
    /// Confirms the step that was tried. A return never falls back below a confirmed step.
    HoldStep {
        /// The epoch that this command was made for; refused in any other epoch.
        epoch: u64,
        /// The returning site; refused unless it has a step that is tried but not confirmed.
        site: SiteName,
    },
    /// Gives up the step that is being tried and falls back to the last confirmed one.
    StepBack {
        /// The epoch that this command was made for; refused in any other epoch.
        epoch: u64,
        /// The returning site; refused unless it has a step that is tried but not confirmed.
        site: SiteName,
    },
}

impl Command {
    /// The command that puts these plans in force.
    ///
    /// # Errors
    /// A site's name is not a valid [`SiteName`].
    pub fn install_plans(plans: &Plans) -> Result<Command, NameError> {
        let fleet = plans.fleet();
        let site = |site: usize| {
            let shares = ramp::return_steps(fleet, site).into_iter();
            let shares = shares
                .map(|s| (s.share * f64::from(FULL_SHARE)).floor() as u32)
                .collect();
            Ok((SiteName::try_from(fleet.site_name(site))?, shares))
        };
        let sites = (0..fleet.site_count())
            .map(site)
            .collect::<Result<_, _>>()?;
        Ok(Command::InstallPlans {
            plans: plans.fingerprint(),
            sites,
        })
    }
}

/// The agreed state of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SiteState {
    /// All routers and model hosts of the site serve.
    #[default]
    Healthy,
    /// Part of the site, or all of it, is missing.
    Lost(Missing),
    /// Nothing is missing any more, and the site's load returns step by step.
    Returning {
        /// The part of its model hosts that was missing and still gets no load at step 0.
        from: Missing,
        /// The step in force, counted from 1; 0 before the first step.
        step: u16,
        /// The last confirmed step; 0 if none is.
        held: u16,
        /// Number of steps given up since the return began.
        step_backs: u32,
    },
}

/// For each site the missing part, and the share of that part's load that has returned, in millionths.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Condition(pub Vec<(Missing, u32)>);

impl Condition {
    fn healthy(sites: usize) -> Self {
        Condition(vec![(Missing::Nothing, FULL_SHARE); sites])
    }

    /// The missing part of each site, regardless of how much of its load has returned.
    pub fn loss(&self) -> Loss {
        Loss(self.0.iter().map(|(m, _)| *m).collect())
    }

    /// The allocation of all routers together in this condition, and the upper bound of what they admit.
    ///
    /// # Errors
    /// As for [`super::plan::compute_plan`], if a loss has no prepared plan and none can be computed.
    pub fn allocations(&self, plans: &mut Plans) -> Result<(Allocation, Allocation), PlanError> {
        let (loss, sites) = (self.loss(), self.0.len());
        let allocation_for =
            |plans: &mut Plans, loss: &Loss| -> Result<(Allocation, Allocation), PlanError> {
                let plan = plans.get_or_compute(loss)?.allocation.clone();
                let upper = plans.upper_bound(loss).unwrap_or_else(|| plan.clone());
                Ok((plan, upper))
            };
        let (mut plan, mut upper) = allocation_for(plans, &loss)?;
        for site in 0..sites {
            let returned = self.0[site].1;
            if self.0[site].0 != Missing::Nothing && returned > 0 {
                let (to, to_upper) = allocation_for(plans, &loss.with(site, Missing::Nothing))?;
                let returned = f64::from(returned) / f64::from(FULL_SHARE);
                (plan, upper) = (
                    plan.interpolate(&to, returned),
                    upper.interpolate(&to_upper, returned),
                );
            }
        }
        Ok((plan, upper))
    }
}

/// A consequence of an applied command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The agreed state of a site changed.
    SiteChanged {
        /// The first epoch in which the new state is in force.
        epoch: u64,
        /// Name of the site whose state changed.
        site: SiteName,
        /// State of the site before `epoch`.
        from: SiteState,
        /// State of the site from `epoch` on, until its next change.
        to: SiteState,
    },
    /// All routers act by the latest change.
    Settled {
        /// The epoch in which no change is pending any more.
        epoch: u64,
    },
    /// The command changed nothing: it was made for another epoch or other plans, names an unknown site, or is not the
    /// next step of a return.
    Refused(Command),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Row {
    /// What each other site has reported as missing, by the index of the reporting site.
    reported: BTreeMap<usize, Missing>,
    state: SiteState,
}

/// The agreed state of all sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteTable {
    names: Vec<SiteName>,
    /// For each site the load share of each step of its return, in millionths.
    steps: Vec<Vec<u32>>,
    plans: u64,
    epoch: u64,
    rows: Vec<Row>,
    /// The conditions by which routers may still act, oldest first. All routers move to the last one.
    transition: Vec<Condition>,
}

impl SiteTable {
    /// A table in which all sites are healthy under these plans.
    ///
    /// # Errors
    /// A site's name is not a valid [`SiteName`].
    pub fn new(plans: &Plans) -> Result<Self, NameError> {
        let mut table = SiteTable::default();
        table.apply(Command::install_plans(plans)?, &mut Vec::new());
        Ok(table)
    }

    /// The fingerprint of the plans in force, or 0 if none are agreed on yet. Reports made under other plans are
    /// refused.
    pub fn plans(&self) -> u64 {
        self.plans
    }

    /// The current epoch. It rises with every change of what routers do.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The names of the sites, in the order of their indexes.
    pub fn names(&self) -> &[SiteName] {
        &self.names
    }

    /// The agreed state of a site; [`SiteState::Healthy`] for an unknown index.
    pub fn state(&self, site: usize) -> SiteState {
        self.rows.get(site).map_or(SiteState::Healthy, |r| r.state)
    }

    /// The part of `site` that the routers of the site `observer` have reported as missing.
    pub fn reported(&self, observer: usize, site: usize) -> Missing {
        self.rows
            .get(site)
            .and_then(|r| r.reported.get(&observer))
            .copied()
            .unwrap_or_default()
    }

    /// Whether all routers have adopted the latest change.
    pub fn settled(&self) -> bool {
        self.transition.len() <= 1
    }

    /// The conditions by which routers may still act, oldest first. All routers move to the last one.
    pub fn transition(&self) -> &[Condition] {
        &self.transition
    }

    /// The allocation of all routers together in this epoch, and the upper bound of what they admit. While some
    /// routers have not adopted the latest change yet, this is an intermediate allocation: no limit is exceeded,
    /// whatever mix of this epoch and the pending ones before it the routers act by.
    ///
    /// # Errors
    /// As for [`super::plan::compute_plan`], if a loss has no prepared plan and none can be computed.
    pub fn allocations(&self, plans: &mut Plans) -> Result<(Allocation, Allocation), PlanError> {
        if let Some(allocations) = plans.cached_allocations(&self.transition) {
            return Ok(allocations);
        }
        let mut conditions = self.transition.iter();
        let first = conditions
            .next()
            .cloned()
            .unwrap_or_else(|| Condition::healthy(self.rows.len()));
        let (mut plan, upper) = first.allocations(plans)?;
        let mut pending = vec![upper.clone()];
        let mut current = upper;
        for condition in conditions {
            let (to_plan, to_upper) = condition.allocations(plans)?;
            let loss = condition.loss();
            let from: Vec<&Allocation> = pending.iter().collect();
            current = plans.intermediate(&loss, &from, &to_upper);
            plan = if current == to_upper {
                to_plan
            } else {
                current.clone()
            };
            pending.push(current.clone());
        }
        let allocations = (plan, current);
        plans.cache_allocations(&self.transition, &allocations);
        Ok(allocations)
    }

    /// Applies a command that the Raft log has committed and appends its effects to `out`. A command that
    /// changes nothing yields only [`Effect::Refused`].
    pub fn apply(&mut self, command: Command, out: &mut Vec<Effect>) {
        let applied = match &command {
            Command::InstallPlans { plans, sites } => self.install(*plans, sites, out),
            Command::ReportMissing {
                observer,
                site,
                missing,
                plans,
            } => self.report_missing(observer, site, *missing, *plans, out),
            Command::Settle { epoch } => self.settle(*epoch, out),
            Command::TryStep { epoch, site } => {
                self.change_return(*epoch, site, out, |row, last| match row {
                    SiteState::Returning { step, held, .. } if *step == *held && *step < last => {
                        *step += 1;
                        true
                    }
                    _ => false,
                })
            }
            Command::HoldStep { epoch, site } => {
                self.change_return(*epoch, site, out, |row, last| match row {
                    SiteState::Returning { step, held, .. } if *step > *held => {
                        *held = *step;
                        if *step == last {
                            *row = SiteState::Healthy;
                        }
                        true
                    }
                    _ => false,
                })
            }
            Command::StepBack { epoch, site } => {
                self.change_return(*epoch, site, out, |row, _| match row {
                    SiteState::Returning {
                        step,
                        held,
                        step_backs,
                        ..
                    } if *step > *held => {
                        *step = *held;
                        *step_backs = step_backs.saturating_add(1);
                        true
                    }
                    _ => false,
                })
            }
        };
        if !applied {
            out.push(Effect::Refused(command));
        }
    }

    fn index(&self, name: &SiteName) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    fn install(
        &mut self,
        plans: u64,
        sites: &[(SiteName, Vec<u32>)],
        out: &mut Vec<Effect>,
    ) -> bool {
        let all_healthy =
            self.rows.iter().all(|r| r.state == SiteState::Healthy) && self.transition.len() <= 1;
        let bounded = (2..=MAX_SITES).contains(&sites.len())
            && sites
                .iter()
                .all(|(_, steps)| !steps.is_empty() && steps.len() <= MAX_RETURN_STEPS);
        if !all_healthy || !bounded || plans == self.plans {
            return false;
        }
        self.names = sites.iter().map(|(name, _)| name.clone()).collect();
        self.steps = sites.iter().map(|(_, steps)| steps.clone()).collect();
        self.rows = vec![Row::default(); sites.len()];
        self.transition = vec![Condition::healthy(sites.len())];
        self.plans = plans;
        self.epoch += 1;
        out.push(Effect::Settled { epoch: self.epoch });
        true
    }

    fn report_missing(
        &mut self,
        observer: &SiteName,
        site: &SiteName,
        missing: Missing,
        plans: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let (Some(observer), Some(site)) = (self.index(observer), self.index(site)) else {
            return false;
        };
        if observer == site || plans != self.plans {
            return false;
        }
        self.rows[site].reported.insert(observer, missing);
        self.apply_reports(out);
        true
    }

    fn settle(&mut self, epoch: u64, out: &mut Vec<Effect>) -> bool {
        if epoch != self.epoch || self.settled() {
            return false;
        }
        self.transition.drain(..self.transition.len() - 1);
        self.epoch += 1;
        out.push(Effect::Settled { epoch: self.epoch });
        // Acts on reports that arrived while too many changes were pending.
        self.apply_reports(out);
        true
    }

    fn change_return(
        &mut self,
        epoch: u64,
        site: &SiteName,
        out: &mut Vec<Effect>,
        change: impl Fn(&mut SiteState, u16) -> bool,
    ) -> bool {
        let Some(site) = self.index(site) else {
            return false;
        };
        // A step back may be agreed on before all routers have adopted the step up, so pending changes are allowed
        // here.
        if epoch != self.epoch || self.transition.len() >= MAX_PENDING_CHANGES {
            return false;
        }
        let (from, last) = (self.rows[site].state, self.steps[site].len() as u16);
        let mut to = from;
        if !change(&mut to, last) {
            return false;
        }
        self.set_state(site, to, out);
        if to == SiteState::Healthy {
            self.apply_reports(out);
        }
        true
    }

    /// The part of a site that is missing according to a majority of the sites whose own routers are not missing.
    fn agreed_missing(&self, site: usize) -> Missing {
        let routers_up = |observer: usize| !matches!(self.rows[observer].state, SiteState::Lost(m) if m.routers_missing());
        let observers: Vec<usize> = (0..self.rows.len())
            .filter(|s| *s != site && routers_up(*s))
            .collect();
        let majority_reports = |matches: &dyn Fn(Missing) -> bool| {
            let count = observers
                .iter()
                .filter(|observer| matches(self.reported(**observer, site)))
                .count();
            count > 0 && count * 2 > observers.len()
        };
        let routers_missing = majority_reports(&|m| m.routers_missing());
        match (
            routers_missing,
            majority_reports(&|m| m.remaining_hosts() <= 0.0),
            majority_reports(&|m| m.remaining_hosts() < 1.0),
        ) {
            (true, true, _) => Missing::All,
            // No observer reports half of the hosts as serving while the routers are gone, so this counts as the loss
            // of the whole site.
            (true, false, true) => Missing::All,
            (true, false, false) => Missing::Routers,
            (false, true, _) => Missing::Hosts,
            (false, false, true) => Missing::HalfHosts,
            (false, false, false) => Missing::Nothing,
        }
    }

    /// Applies the agreed reports to the state of each site, until too many changes are pending.
    fn apply_reports(&mut self, out: &mut Vec<Effect>) {
        for site in 0..self.rows.len() {
            if self.transition.len() >= MAX_PENDING_CHANGES {
                return;
            }
            let agreed = self.agreed_missing(site);
            // Only one site returns at a time.
            let other_returns = self
                .rows
                .iter()
                .enumerate()
                .any(|(s, r)| s != site && matches!(r.state, SiteState::Returning { .. }));
            let to = match (self.rows[site].state, agreed) {
                (SiteState::Healthy | SiteState::Returning { .. }, Missing::Nothing) => {
                    continue;
                }
                (SiteState::Lost(m), agreed) if m == agreed => continue,
                (SiteState::Lost(Missing::Routers), Missing::Nothing) => SiteState::Healthy,
                (SiteState::Lost(m), Missing::Nothing) => {
                    if other_returns {
                        continue;
                    }
                    let from = if m == Missing::HalfHosts {
                        m
                    } else {
                        Missing::Hosts
                    };
                    SiteState::Returning {
                        from,
                        step: 0,
                        held: 0,
                        step_backs: 0,
                    }
                }
                (_, missing) => SiteState::Lost(missing),
            };
            self.set_state(site, to, out);
        }
    }

    fn set_state(&mut self, site: usize, to: SiteState, out: &mut Vec<Effect>) {
        let from = std::mem::replace(&mut self.rows[site].state, to);
        self.epoch += 1;
        out.push(Effect::SiteChanged {
            epoch: self.epoch,
            site: self.names[site].clone(),
            from,
            to,
        });
        let site_condition = |(site, row): (usize, &Row)| match row.state {
            SiteState::Healthy => (Missing::Nothing, FULL_SHARE),
            SiteState::Lost(missing) => (missing, 0),
            SiteState::Returning { from, step, .. } => {
                let share = step
                    .checked_sub(1)
                    .and_then(|k| self.steps[site].get(usize::from(k)));
                (from, share.copied().unwrap_or(0))
            }
        };
        let condition = Condition(self.rows.iter().enumerate().map(site_condition).collect());
        if self.transition.last() != Some(&condition) {
            self.transition.push(condition);
        }
    }
}
