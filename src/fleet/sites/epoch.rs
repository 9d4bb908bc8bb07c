//! What the group agrees on: which sites are lost, how far a return has come, and whether all conductors have stepped.
//!
//! One [`SiteTable`] is part of the group's applied state. It has no clock. Every command that changes what conductors do
//! raises the epoch; those that pace something name the epoch they were made for and are refused under any other, so
//! that none is applied twice, late or out of order.

use super::plan::{Allocation, Loss, Missing, PlanError, Plans};
use super::ramp;
use crate::fleet::{NameError, SiteName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most sites, and most steps of a return.
const MOST_SITES: usize = 16;
const MOST_STEPS: usize = 20_000;
/// Most changes in a row before all conductors have stepped; further ones wait.
const MOST_CHANGES: usize = 4;
/// A whole share, in millionths.
const FULL_SHARE: u32 = 1_000_000;

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Other plans are in force from now on; refused while any site is not sound.
    InstallPlans {
        /// Their fingerprint.
        plans: u64,
        /// Each site, in the order of the file, with the shares of the steps of its return in millionths.
        sites: Vec<(SiteName, Vec<u32>)>,
    },
    /// A site's conductors see that something is missing of another site, or that nothing is any more.
    ReportMissing {
        /// The site that sees it.
        observer: SiteName,
        /// The site that it is about.
        site: SiteName,
        /// What is missing.
        missing: Missing,
        /// The fingerprint of the plans that the speaker has.
        plans: u64,
    },
    /// All conductors act under this epoch, or not at all: the next part may come.
    Settle {
        /// The epoch.
        epoch: u64,
    },
    /// Try the next step of a return.
    TryStep {
        /// The epoch that this was made for.
        epoch: u64,
        /// The returning site.
        site: SiteName,
    },
    /// The step that was tried has held; it is never gone back behind.
    HoldStep {
        /// The epoch that this was made for.
        epoch: u64,
        /// The returning site.
        site: SiteName,
    },
    /// The step that is tried is bad: back to the last one that held.
    StepBack {
        /// The epoch that this was made for.
        epoch: u64,
        /// The returning site.
        site: SiteName,
    },
}

impl Command {
    /// The command that puts plans in force.
    ///
    /// # Errors
    /// A site's name that can't be one.
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

/// What is agreed of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SiteState {
    /// All of it serves.
    #[default]
    Healthy,
    /// Something is missing.
    Lost(Missing),
    /// Nothing is missing any more, and its load comes back.
    Returning {
        /// What of its hosts was missing, and still gets no load at step 0.
        from: Missing,
        /// The step in force; 0 is none.
        step: u16,
        /// The last step that held.
        held: u16,
        /// Steps back so far.
        backs: u32,
    },
}

/// What is in force for each site: what is missing, and which part of that has come back, in millionths.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Condition(pub Vec<(Missing, u32)>);

impl Condition {
    fn healthy(sites: usize) -> Self {
        Condition(vec![(Missing::Nothing, FULL_SHARE); sites])
    }

    /// What is missing, whatever has come back of it.
    pub fn loss(&self) -> Loss {
        Loss(self.0.iter().map(|(m, _)| *m).collect())
    }

    /// What all conductors do while this is in force, and what they take at the most.
    ///
    /// # Errors
    /// As [`super::plan::make`], for a loss that was not prepared.
    pub fn allocations(&self, plans: &mut Plans) -> Result<(Allocation, Allocation), PlanError> {
        let (loss, sites) = (self.loss(), self.0.len());
        let allocation =
            |plans: &mut Plans, loss: &Loss| -> Result<(Allocation, Allocation), PlanError> {
                let plan = plans.get_or_compute(loss)?.allocation.clone();
                let most = plans.upper_bound(loss).unwrap_or_else(|| plan.clone());
                Ok((plan, most))
            };
        let (mut plan, mut most) = allocation(plans, &loss)?;
        for site in 0..sites {
            let share = self.0[site].1;
            if self.0[site].0 != Missing::Nothing && share > 0 {
                let (to, to_most) = allocation(plans, &loss.with(site, Missing::Nothing))?;
                let part = f64::from(share) / f64::from(FULL_SHARE);
                (plan, most) = (plan.toward(&to, part), most.toward(&to_most, part));
            }
        }
        Ok((plan, most))
    }
}

/// Something that came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// A site conditions otherwise.
    SiteChanged {
        /// The epoch from which on.
        epoch: u64,
        /// The site.
        site: SiteName,
        /// Before.
        from: SiteState,
        /// Now.
        to: SiteState,
    },
    /// All conductors have stepped.
    Settled {
        /// The new epoch.
        epoch: u64,
    },
    /// The command changed nothing: made for another epoch, or of or by no site, or not the next step.
    Refused(Command),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Row {
    /// What each other site says is missing of it.
    reported: BTreeMap<usize, Missing>,
    state: SiteState,
}

/// The agreed state of all sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteTable {
    names: Vec<SiteName>,
    /// For each site the shares of the steps of its return, in millionths.
    steps: Vec<Vec<u32>>,
    plans: u64,
    epoch: u64,
    rows: Vec<Row>,
    /// What conductors may still be acting by, oldest first; the last is where all go.
    chain: Vec<Condition>,
}

impl SiteTable {
    /// All sites are sound under these plans.
    ///
    /// # Errors
    /// A site's name that can't be one.
    pub fn new(plans: &Plans) -> Result<Self, NameError> {
        let mut table = SiteTable::default();
        table.apply(Command::install_plans(plans)?, &mut Vec::new());
        Ok(table)
    }

    /// The fingerprint of the plans in force; who has others is not heard. 0: none are agreed on yet.
    pub fn plans(&self) -> u64 {
        self.plans
    }

    /// The epoch: rises with every change of what conductors do.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The names of the sites, by number.
    pub fn names(&self) -> &[SiteName] {
        &self.names
    }

    /// What is agreed of a site.
    pub fn state(&self, site: usize) -> SiteState {
        self.rows.get(site).map_or(SiteState::Healthy, |r| r.state)
    }

    /// What a site has reported is missing of another.
    pub fn reported(&self, by: usize, of: usize) -> Missing {
        self.rows
            .get(of)
            .and_then(|r| r.reported.get(&by))
            .copied()
            .unwrap_or_default()
    }

    /// Whether all conductors have stepped to where the last change leads.
    pub fn settled(&self) -> bool {
        self.chain.len() <= 1
    }

    /// What is in force, oldest first; the last is where all go.
    pub fn chain(&self) -> &[Condition] {
        &self.chain
    }

    /// What conductors do in this epoch, and what they take at the most. While not all have stepped that is on the
    /// way: whatever mix of this epoch and of those before it conductors act by, no limit is broken.
    ///
    /// # Errors
    /// As [`super::plan::make`], for a loss that was not prepared.
    pub fn allocations(&self, plans: &mut Plans) -> Result<(Allocation, Allocation), PlanError> {
        if let Some(allocations) = plans.kept_courses(&self.chain) {
            return Ok(allocations);
        }
        let mut conditions = self.chain.iter();
        let first = conditions
            .next()
            .cloned()
            .unwrap_or_else(|| Condition::healthy(self.rows.len()));
        let (mut plan, most) = first.allocations(plans)?;
        let mut in_force = vec![most.clone()];
        let mut here = most;
        for stand in conditions {
            let (to_plan, to_most) = stand.allocations(plans)?;
            let loss = stand.loss();
            let from: Vec<&Allocation> = in_force.iter().collect();
            here = plans.intermediate(&loss, &from, &to_most);
            plan = if here == to_most {
                to_plan
            } else {
                here.clone()
            };
            in_force.push(here.clone());
        }
        let allocations = (plan, here);
        plans.keep_courses(&self.chain, &allocations);
        Ok(allocations)
    }

    /// Applies a command of the log.
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
                self.pace(*epoch, site, out, |row, last| match row {
                    SiteState::Returning { step, held, .. } if *step == *held && *step < last => {
                        *step += 1;
                        true
                    }
                    _ => false,
                })
            }
            Command::HoldStep { epoch, site } => {
                self.pace(*epoch, site, out, |row, last| match row {
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
            Command::StepBack { epoch, site } => self.pace(*epoch, site, out, |row, _| match row {
                SiteState::Returning {
                    step, held, backs, ..
                } if *step > *held => {
                    *step = *held;
                    *backs = backs.saturating_add(1);
                    true
                }
                _ => false,
            }),
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
        let sound =
            self.rows.iter().all(|r| r.state == SiteState::Healthy) && self.chain.len() <= 1;
        let bounded = (2..=MOST_SITES).contains(&sites.len())
            && sites
                .iter()
                .all(|(_, steps)| !steps.is_empty() && steps.len() <= MOST_STEPS);
        if !sound || !bounded || plans == self.plans {
            return false;
        }
        self.names = sites.iter().map(|(name, _)| name.clone()).collect();
        self.steps = sites.iter().map(|(_, steps)| steps.clone()).collect();
        self.rows = vec![Row::default(); sites.len()];
        self.chain = vec![Condition::healthy(sites.len())];
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
        self.review(out);
        true
    }

    fn settle(&mut self, epoch: u64, out: &mut Vec<Effect>) -> bool {
        if epoch != self.epoch || self.settled() {
            return false;
        }
        self.chain.drain(..self.chain.len() - 1);
        self.epoch += 1;
        out.push(Effect::Settled { epoch: self.epoch });
        // What was reported meanwhile and had to wait.
        self.review(out);
        true
    }

    fn pace(
        &mut self,
        epoch: u64,
        site: &SiteName,
        out: &mut Vec<Effect>,
        change: impl Fn(&mut SiteState, u16) -> bool,
    ) -> bool {
        let Some(site) = self.index(site) else {
            return false;
        };
        // A step back may be agreed on before all have stepped up.
        if epoch != self.epoch || self.chain.len() >= MOST_CHANGES {
            return false;
        }
        let (from, last) = (self.rows[site].state, self.steps[site].len() as u16);
        let mut to = from;
        if !change(&mut to, last) {
            return false;
        }
        self.stand(site, to, out);
        if to == SiteState::Healthy {
            self.review(out);
        }
        true
    }

    /// What a majority of the sites that are not missing themselves says is missing of a site.
    fn agreed(&self, of: usize) -> Missing {
        let whole = |site: usize| !matches!(self.rows[site].state, SiteState::Lost(m) if m.routers_missing());
        let voices: Vec<usize> = (0..self.rows.len())
            .filter(|s| *s != of && whole(*s))
            .collect();
        let most = |says: &dyn Fn(Missing) -> bool| {
            let count = voices
                .iter()
                .filter(|by| says(self.reported(**by, of)))
                .count();
            count > 0 && count * 2 > voices.len()
        };
        let entries = most(&|m| m.routers_missing());
        match (
            entries,
            most(&|m| m.remaining_hosts() <= 0.0),
            most(&|m| m.remaining_hosts() < 1.0),
        ) {
            (true, true, _) => Missing::All,
            // Nobody says of hosts that half of them serves while the conductors are gone: it counts as the whole.
            (true, false, true) => Missing::All,
            (true, false, false) => Missing::Routers,
            (false, true, _) => Missing::Hosts,
            (false, false, true) => Missing::HalfHosts,
            (false, false, false) => Missing::Nothing,
        }
    }

    /// Draws the consequences of what is reported, as far as the chain has room.
    fn review(&mut self, out: &mut Vec<Effect>) {
        for site in 0..self.rows.len() {
            if self.chain.len() >= MOST_CHANGES {
                return;
            }
            let agreed = self.agreed(site);
            // One site at a time comes back.
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
                        backs: 0,
                    }
                }
                (_, missing) => SiteState::Lost(missing),
            };
            self.stand(site, to, out);
        }
    }

    fn stand(&mut self, site: usize, to: SiteState, out: &mut Vec<Effect>) {
        let from = std::mem::replace(&mut self.rows[site].state, to);
        self.epoch += 1;
        out.push(Effect::SiteChanged {
            epoch: self.epoch,
            site: self.names[site].clone(),
            from,
            to,
        });
        let of = |(site, row): (usize, &Row)| match row.state {
            SiteState::Healthy => (Missing::Nothing, FULL_SHARE),
            SiteState::Lost(missing) => (missing, 0),
            SiteState::Returning { from, step, .. } => {
                let share = step
                    .checked_sub(1)
                    .and_then(|k| self.steps[site].get(usize::from(k)));
                (from, share.copied().unwrap_or(0))
            }
        };
        let stand = Condition(self.rows.iter().enumerate().map(of).collect());
        if self.chain.last() != Some(&stand) {
            self.chain.push(stand);
        }
    }
}
