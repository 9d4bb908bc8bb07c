//! What the group agrees on: which sites are lost, how far a return has come, and whether all conductors have stepped.
//!
//! One [`Table`] is part of the group's applied state. It has no clock. Every command that changes what conductors do
//! raises the epoch; those that pace something name the epoch they were made for and are refused under any other, so
//! that none is applied twice, late or out of order.

use super::plan::{Course, Loss, Missing, PlanError, Plans};
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
const WHOLE: u32 = 1_000_000;

/// Something to agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Other plans are in force from now on; refused while any site is not sound.
    Plans {
        /// Their fingerprint.
        plans: u64,
        /// Each site, in the order of the file, with the shares of the steps of its return in millionths.
        sites: Vec<(SiteName, Vec<u32>)>,
    },
    /// A site's conductors see that something is missing of another site, or that nothing is any more.
    Say {
        /// The site that sees it.
        by: SiteName,
        /// The site that it is about.
        of: SiteName,
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
    Step {
        /// The epoch that this was made for.
        epoch: u64,
        /// The returning site.
        site: SiteName,
    },
    /// The step that was tried has held; it is never gone back behind.
    Hold {
        /// The epoch that this was made for.
        epoch: u64,
        /// The returning site.
        site: SiteName,
    },
    /// The step that is tried is bad: back to the last one that held.
    Back {
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
    pub fn plans(plans: &Plans) -> Result<Command, NameError> {
        let fleet = plans.fleet();
        let site = |site: usize| {
            let shares = ramp::steps(fleet, site).into_iter();
            let shares = shares
                .map(|s| (s.share * f64::from(WHOLE)).floor() as u32)
                .collect();
            Ok((SiteName::try_from(fleet.site_name(site))?, shares))
        };
        let sites = (0..fleet.sites()).map(site).collect::<Result<_, _>>()?;
        Ok(Command::Plans {
            plans: plans.fingerprint(),
            sites,
        })
    }
}

/// What is agreed of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// All of it serves.
    #[default]
    Sound,
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
pub struct Stand(pub Vec<(Missing, u32)>);

impl Stand {
    fn sound(sites: usize) -> Self {
        Stand(vec![(Missing::Nothing, WHOLE); sites])
    }

    /// What is missing, whatever has come back of it.
    pub fn loss(&self) -> Loss {
        Loss(self.0.iter().map(|(m, _)| *m).collect())
    }

    /// What all conductors do while this is in force, and what they take at the most.
    ///
    /// # Errors
    /// As [`super::plan::make`], for a loss that was not prepared.
    pub fn courses(&self, plans: &mut Plans) -> Result<(Course, Course), PlanError> {
        let (loss, sites) = (self.loss(), self.0.len());
        let course = |plans: &mut Plans, loss: &Loss| -> Result<(Course, Course), PlanError> {
            let plan = plans.get_or_make(loss)?.course.clone();
            let most = plans.most(loss).unwrap_or_else(|| plan.clone());
            Ok((plan, most))
        };
        let (mut plan, mut most) = course(plans, &loss)?;
        for site in 0..sites {
            let share = self.0[site].1;
            if self.0[site].0 != Missing::Nothing && share > 0 {
                let (to, to_most) = course(plans, &loss.with(site, Missing::Nothing))?;
                let part = f64::from(share) / f64::from(WHOLE);
                (plan, most) = (plan.toward(&to, part), most.toward(&to_most, part));
            }
        }
        Ok((plan, most))
    }
}

/// Something that came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// A site stands otherwise.
    Standing {
        /// The epoch from which on.
        epoch: u64,
        /// The site.
        site: SiteName,
        /// Before.
        from: Standing,
        /// Now.
        to: Standing,
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
    said: BTreeMap<usize, Missing>,
    standing: Standing,
}

/// The agreed state of all sites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    names: Vec<SiteName>,
    /// For each site the shares of the steps of its return, in millionths.
    steps: Vec<Vec<u32>>,
    plans: u64,
    epoch: u64,
    rows: Vec<Row>,
    /// What conductors may still be acting by, oldest first; the last is where all go.
    chain: Vec<Stand>,
}

impl Table {
    /// All sites are sound under these plans.
    ///
    /// # Errors
    /// A site's name that can't be one.
    pub fn new(plans: &Plans) -> Result<Self, NameError> {
        let mut table = Table::default();
        table.apply(Command::plans(plans)?, &mut Vec::new());
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
    pub fn standing(&self, site: usize) -> Standing {
        self.rows.get(site).map_or(Standing::Sound, |r| r.standing)
    }

    /// What a site has said is missing of another.
    pub fn said(&self, by: usize, of: usize) -> Missing {
        self.rows
            .get(of)
            .and_then(|r| r.said.get(&by))
            .copied()
            .unwrap_or_default()
    }

    /// Whether all conductors have stepped to where the last change leads.
    pub fn settled(&self) -> bool {
        self.chain.len() <= 1
    }

    /// What is in force, oldest first; the last is where all go.
    pub fn chain(&self) -> &[Stand] {
        &self.chain
    }

    /// What conductors do in this epoch, and what they take at the most. While not all have stepped that is on the
    /// way: whatever mix of this epoch and of those before it conductors act by, no limit is broken.
    ///
    /// # Errors
    /// As [`super::plan::make`], for a loss that was not prepared.
    pub fn courses(&self, plans: &mut Plans) -> Result<(Course, Course), PlanError> {
        if let Some(courses) = plans.kept_courses(&self.chain) {
            return Ok(courses);
        }
        let mut stands = self.chain.iter();
        let first = stands
            .next()
            .cloned()
            .unwrap_or_else(|| Stand::sound(self.rows.len()));
        let (mut plan, most) = first.courses(plans)?;
        let mut in_force = vec![most.clone()];
        let mut here = most;
        for stand in stands {
            let (to_plan, to_most) = stand.courses(plans)?;
            let loss = stand.loss();
            let from: Vec<&Course> = in_force.iter().collect();
            here = plans.between(&loss, &from, &to_most);
            plan = if here == to_most {
                to_plan
            } else {
                here.clone()
            };
            in_force.push(here.clone());
        }
        let courses = (plan, here);
        plans.keep_courses(&self.chain, &courses);
        Ok(courses)
    }

    /// Applies a command of the log.
    pub fn apply(&mut self, command: Command, out: &mut Vec<Effect>) {
        let applied = match &command {
            Command::Plans { plans, sites } => self.install(*plans, sites, out),
            Command::Say {
                by,
                of,
                missing,
                plans,
            } => self.say(by, of, *missing, *plans, out),
            Command::Settle { epoch } => self.settle(*epoch, out),
            Command::Step { epoch, site } => self.pace(*epoch, site, out, |row, last| match row {
                Standing::Returning { step, held, .. } if *step == *held && *step < last => {
                    *step += 1;
                    true
                }
                _ => false,
            }),
            Command::Hold { epoch, site } => self.pace(*epoch, site, out, |row, last| match row {
                Standing::Returning { step, held, .. } if *step > *held => {
                    *held = *step;
                    if *step == last {
                        *row = Standing::Sound;
                    }
                    true
                }
                _ => false,
            }),
            Command::Back { epoch, site } => self.pace(*epoch, site, out, |row, _| match row {
                Standing::Returning {
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

    fn number(&self, name: &SiteName) -> Option<usize> {
        self.names.iter().position(|n| n == name)
    }

    fn install(
        &mut self,
        plans: u64,
        sites: &[(SiteName, Vec<u32>)],
        out: &mut Vec<Effect>,
    ) -> bool {
        let sound =
            self.rows.iter().all(|r| r.standing == Standing::Sound) && self.chain.len() <= 1;
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
        self.chain = vec![Stand::sound(sites.len())];
        self.plans = plans;
        self.epoch += 1;
        out.push(Effect::Settled { epoch: self.epoch });
        true
    }

    fn say(
        &mut self,
        by: &SiteName,
        of: &SiteName,
        missing: Missing,
        plans: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let (Some(by), Some(of)) = (self.number(by), self.number(of)) else {
            return false;
        };
        if by == of || plans != self.plans {
            return false;
        }
        self.rows[of].said.insert(by, missing);
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
        // What was said meanwhile and had to wait.
        self.review(out);
        true
    }

    fn pace(
        &mut self,
        epoch: u64,
        site: &SiteName,
        out: &mut Vec<Effect>,
        change: impl Fn(&mut Standing, u16) -> bool,
    ) -> bool {
        let Some(site) = self.number(site) else {
            return false;
        };
        // A step back may be agreed on before all have stepped up.
        if epoch != self.epoch || self.chain.len() >= MOST_CHANGES {
            return false;
        }
        let (from, last) = (self.rows[site].standing, self.steps[site].len() as u16);
        let mut to = from;
        if !change(&mut to, last) {
            return false;
        }
        self.stand(site, to, out);
        if to == Standing::Sound {
            self.review(out);
        }
        true
    }

    /// What a majority of the sites that are not missing themselves says is missing of a site.
    fn agreed(&self, of: usize) -> Missing {
        let whole =
            |site: usize| !matches!(self.rows[site].standing, Standing::Lost(m) if m.entries());
        let voices: Vec<usize> = (0..self.rows.len())
            .filter(|s| *s != of && whole(*s))
            .collect();
        let most = |says: &dyn Fn(Missing) -> bool| {
            let count = voices.iter().filter(|by| says(self.said(**by, of))).count();
            count > 0 && count * 2 > voices.len()
        };
        let entries = most(&|m| m.entries());
        match (
            entries,
            most(&|m| m.hosts_left() <= 0.0),
            most(&|m| m.hosts_left() < 1.0),
        ) {
            (true, true, _) => Missing::All,
            // Nobody says of hosts that half of them serves while the conductors are gone: it counts as the whole.
            (true, false, true) => Missing::All,
            (true, false, false) => Missing::Entries,
            (false, true, _) => Missing::Hosts,
            (false, false, true) => Missing::HalfHosts,
            (false, false, false) => Missing::Nothing,
        }
    }

    /// Draws the consequences of what is said, as far as the chain has room.
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
                .any(|(s, r)| s != site && matches!(r.standing, Standing::Returning { .. }));
            let to = match (self.rows[site].standing, agreed) {
                (Standing::Sound | Standing::Returning { .. }, Missing::Nothing) => {
                    continue;
                }
                (Standing::Lost(m), agreed) if m == agreed => continue,
                (Standing::Lost(Missing::Entries), Missing::Nothing) => Standing::Sound,
                (Standing::Lost(m), Missing::Nothing) => {
                    if other_returns {
                        continue;
                    }
                    let from = if m == Missing::HalfHosts {
                        m
                    } else {
                        Missing::Hosts
                    };
                    Standing::Returning {
                        from,
                        step: 0,
                        held: 0,
                        backs: 0,
                    }
                }
                (_, missing) => Standing::Lost(missing),
            };
            self.stand(site, to, out);
        }
    }

    fn stand(&mut self, site: usize, to: Standing, out: &mut Vec<Effect>) {
        let from = std::mem::replace(&mut self.rows[site].standing, to);
        self.epoch += 1;
        out.push(Effect::Standing {
            epoch: self.epoch,
            site: self.names[site].clone(),
            from,
            to,
        });
        let of = |(site, row): (usize, &Row)| match row.standing {
            Standing::Sound => (Missing::Nothing, WHOLE),
            Standing::Lost(missing) => (missing, 0),
            Standing::Returning { from, step, .. } => {
                let share = step
                    .checked_sub(1)
                    .and_then(|k| self.steps[site].get(usize::from(k)));
                (from, share.copied().unwrap_or(0))
            }
        };
        let stand = Stand(self.rows.iter().enumerate().map(of).collect());
        if self.chain.last() != Some(&stand) {
            self.chain.push(stand);
        }
    }
}
