//! One conductor's part in all of it: what it sees, what it says to the group, and the allocation that it acts by.

use super::epoch::{Command, SiteState, SiteTable};
use super::plan::{Allocation, Missing, PlanError, Plans};
use super::ramp::{self, OutcomeCounts, Ramp};
use super::refuse::RouterAllocation;
use super::watch::{self, Change, Status, Watch};
use crate::routing::types::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// All conductors of a site see much the same at once; one of them is enough to say it.
const SPREAD: Micros = 200_000;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Something was seen.
    Observed(watch::Event),
    /// The agreed table has changed.
    Table(Box<SiteTable>),
    /// This conductor paces returns, or does no longer.
    Pacing(bool),
    /// Outcomes at hosts of a site.
    Outcomes {
        /// The site.
        site: usize,
        /// Counts since the last report.
        counts: OutcomeCounts,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose it to the group.
    Propose(Command),
    /// Act by these allocation from now on.
    Allocation(Box<RouterAllocation>),
    /// Try a connection to a host of the site, without a request, and say whether it was reached.
    Probe {
        /// The site.
        site: usize,
    },
    /// For the history: what this conductor takes a site for has changed.
    Changed(Change),
    /// A line for the operators: no plan for what is missing; the allocation stand, without what can't be reached.
    NoPlan(String),
}

/// What allocation follow from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Basis {
    epoch: u64,
    leader_known: bool,
    seen: Vec<(Status, Missing)>,
}

/// The state machine of one conductor. The plans are handed in: they are the same for all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    entry: usize,
    seed: u64,
    watch: Watch,
    ramp: Ramp,
    table: SiteTable,
    leader_known: bool,
    pacing: bool,
    /// When the plans here were last proposed to be in force.
    installed: Option<Micros>,
    allocation: RouterAllocation,
    /// For each site how its word in the table differs from what is seen here.
    differs: Vec<Differs>,
    /// What the allocation were made from.
    made_from: Option<Basis>,
    lost_after: Micros,
    hold_down: Micros,
    agree: Micros,
}

/// What is seen here of a site, against what this conductor's own site has reported of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Differs {
    /// What is seen here, what was reported, since when they are these two.
    both: Option<(Missing, Missing, Micros)>,
    /// When this conductor last reported it.
    last: Option<Micros>,
    /// This conductor has held the site down itself, and has not seen its site's word agree since.
    held_down: bool,
}

impl Member {
    /// A conductor of the site `entry` that has not heard of the agreed table yet.
    pub fn new(plans: &Plans, entry: usize, seed: u64) -> Self {
        let fleet = plans.fleet();
        Member {
            entry,
            seed,
            watch: Watch::new(fleet.tables.watch.clone(), fleet.site_count(), entry),
            ramp: Ramp::new(fleet),
            table: SiteTable::default(),
            leader_known: true,
            pacing: false,
            installed: None,
            allocation: RouterAllocation::default(),
            differs: vec![Differs::default(); fleet.site_count()],
            lost_after: fleet.tables.watch.lost_after_ms * 1_000,
            made_from: None,
            hold_down: fleet.tables.watch.hold_down_ms * 1_000,
            agree: fleet.tables.ramp.agree_ms * 1_000,
        }
    }

    /// The allocation in force.
    pub fn allocation(&self) -> &RouterAllocation {
        &self.allocation
    }

    /// What this conductor takes a site for.
    pub fn watch(&self) -> &Watch {
        &self.watch
    }

    /// When to tick next.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let waits = self.differs.iter().any(|d| d.both.is_some()) || self.pacing;
        let own = waits.then_some(now + SPREAD / 2);
        [self.watch.timeout(now), self.ramp.timeout(now), own]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, plans: &mut Plans, now: Micros, event: Event, out: &mut Vec<Action>) {
        let mut commands = Vec::new();
        let mut seen = Vec::new();
        match event {
            Event::Tick => {
                self.watch.handle(now, watch::Event::Tick, &mut seen);
                self.ramp.handle(now, ramp::Event::Tick, &mut commands);
            }
            Event::Observed(event) => {
                if let watch::Event::Leader { known } = event {
                    self.leader_known = known;
                }
                self.watch.handle(now, event, &mut seen);
            }
            Event::Table(table) => {
                self.table = *table;
                self.ramp
                    .handle(now, ramp::Event::Table(self.table.clone()), &mut commands);
            }
            Event::Pacing(pacing) => {
                self.pacing = pacing;
                self.ramp
                    .handle(now, ramp::Event::Pacing(pacing), &mut commands);
            }
            Event::Outcomes { site, counts } => {
                self.ramp
                    .handle(now, ramp::Event::Outcomes { site, counts }, &mut commands);
            }
        }
        if self.pacing && self.table.plans() != plans.fingerprint() {
            let again = self
                .installed
                .is_none_or(|at| now.saturating_sub(at) >= self.agree);
            if again && let Ok(command) = Command::install_plans(plans) {
                self.installed = Some(now);
                commands.push(command);
            }
        }
        for action in &seen {
            if let watch::Action::Changed(change) = action {
                self.differs[change.site].held_down = change.to == Status::Returning;
            }
        }
        for site in 0..self.differs.len() {
            let back = self.table.state(site) == SiteState::Healthy
                && self.table.reported(self.entry, site) == Missing::Nothing;
            if back && self.watch.status(site).0 == Status::Returning {
                self.watch
                    .handle(now, watch::Event::FullyRestored { site }, &mut seen);
            }
            self.speak(now, site, plans.fingerprint(), &mut commands);
        }
        out.extend(seen.into_iter().map(|action| match action {
            watch::Action::Changed(change) => Action::Changed(change),
            watch::Action::Probe { site } => Action::Probe { site },
        }));
        out.extend(commands.into_iter().map(Action::Propose));
        self.order(plans, out);
    }

    /// Says to the group what is seen here, if the table has something else of this site.
    fn speak(&mut self, now: Micros, site: usize, plans: u64, out: &mut Vec<Command>) {
        let reported = self.table.reported(self.entry, site);
        let (status, missing, _) = self.watch.status(site);
        let sees = match status {
            // Others of this site may have seen for long enough already that it is back.
            Status::Lost if self.watch.recovering(site) && reported != Missing::All => reported,
            Status::Lost => missing,
            Status::Suspect => reported,
            Status::Healthy | Status::Returning => Missing::Nothing,
        };
        let other_plans = self.table.plans() != plans;
        let differs = &mut self.differs[site];
        if site == self.entry || sees == reported || other_plans || self.watch.isolated() {
            differs.both = None;
            differs.held_down &= sees != reported;
            return;
        }
        if differs
            .both
            .is_none_or(|(a, b, _)| (a, b) != (sees, reported))
        {
            differs.both = Some((sees, reported, now));
        }
        let since = differs.both.map_or(now, |(.., since)| since);
        // A first loss is reported at once, and the end of one that was held down here. What another conductor of this
        // site has seen otherwise is contradicted only after a while: it may see more, or earlier.
        let patience = match (reported, sees) {
            (Missing::Nothing, _) => 0,
            (_, Missing::Nothing) if differs.held_down => 0,
            (Missing::All, Missing::Hosts) if self.watch.recovering(site) => 0,
            (_, Missing::Nothing) => self.hold_down,
            _ => self.lost_after,
        };
        let spread = xxh3_64_with_seed(&(site as u64).to_le_bytes(), self.seed) % SPREAD;
        let again = differs
            .last
            .is_none_or(|at| now.saturating_sub(at) >= self.agree);
        if now >= since + patience + spread && again {
            differs.last = Some(now);
            let names = self.table.names();
            let (observer, site) = (names[self.entry].clone(), names[site].clone());
            out.push(Command::ReportMissing {
                observer,
                site,
                missing: sees,
                plans,
            });
        }
    }

    /// Makes the allocation anew where anything that they follow from has changed.
    fn order(&mut self, plans: &mut Plans, out: &mut Vec<Action>) {
        let sites = self.differs.len();
        let seen = |s| {
            let (status, missing, _) = self.watch.status(s);
            let matters = matches!(status, Status::Suspect | Status::Lost)
                && missing.remaining_hosts() <= 0.0;
            if matters {
                (status, missing)
            } else {
                (Status::Healthy, Missing::Nothing)
            }
        };
        let seen = (0..sites).map(seen).collect();
        let from = Basis {
            epoch: self.table.epoch(),
            leader_known: self.leader_known,
            seen,
        };
        if self.made_from.as_ref() == Some(&from) {
            return;
        }
        if self.table.plans() != plans.fingerprint() {
            // Until the same plans are agreed on, everything goes as ever.
            if self.table.plans() != 0 {
                out.push(Action::NoPlan(
                    "the plans agreed on are others than this conductor's".into(),
                ));
            }
            self.made_from = Some(from);
            return;
        }
        match self.effective_allocations(plans, &from.seen) {
            Ok((plan, most, unusual)) => {
                let allocation = RouterAllocation::for_router(
                    plans,
                    &plan,
                    &most,
                    self.entry,
                    self.table.epoch(),
                    unusual,
                );
                if allocation != self.allocation {
                    self.allocation = allocation.clone();
                    out.push(Action::Allocation(Box::new(allocation)));
                }
            }
            Err(error) => out.push(Action::NoPlan(error.to_string())),
        }
        self.made_from = Some(from);
    }

    /// What this conductor does: what is agreed, and on top of it what it sees alone.
    fn effective_allocations(
        &self,
        plans: &mut Plans,
        seen: &[(Status, Missing)],
    ) -> Result<(Allocation, Allocation, bool), PlanError> {
        let (mut plan, mut most) = self.table.allocations(plans)?;
        let Some(stand) = self.table.chain().last() else {
            return Ok((plan, most, false));
        };
        let mut loss = stand.loss();
        let usual = loss.0.iter().all(|m| *m == Missing::Nothing) && self.table.settled();
        let mut alone = false;
        for (site, (status, missing)) in seen.iter().enumerate() {
            if *missing == Missing::Nothing
                || loss.0[site].remaining_hosts() <= 0.0 && stand.0[site].1 == 0
            {
                continue;
            }
            alone = true;
            // The group can't be asked: by the prepared plan, as far as it harms nobody who has not stepped.
            if *status == Status::Lost && !self.leader_known && !self.watch.isolated() {
                loss.0[site] = *missing;
                let to = plans.get_or_compute(&loss)?.allocation.clone();
                let to_most = plans.upper_bound(&loss).unwrap_or_else(|| to.clone());
                most = plans.intermediate(&loss, &[&most], &to_most);
                plan = if most == to_most { to } else { most.clone() };
            } else {
                // Send nothing new there.
                plan = plans.without(&loss, &plan, site);
                most = plans.without(&loss, &most, site);
            }
        }
        Ok((plan, most, alone || !usual))
    }
}
