//! The site logic of one router: it combines what the router observes, the agreed table and the plans, and decides
//! what to propose and which allocation to act by.

use super::epoch::{Command, SiteState, SiteTable};
use super::plan::{Allocation, Missing, PlanError, Plans};
use super::ramp::{self, OutcomeCounts, Ramp};
use super::refuse::RouterAllocation;
use super::watch::{self, Change, Status, Watch};
use crate::routing::types::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Reports are spread over this time: all routers of a site observe much the same at once, and one report is enough.
const REPORT_SPREAD: Micros = 200_000;

/// A timer tick, an observation or a change of the agreed state, passed to [`Member::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; due at [`Member::timeout`].
    Tick,
    /// An observation about a site or the leader.
    Observed(watch::Event),
    /// The agreed table has changed.
    Table(Box<SiteTable>),
    /// Whether this router paces returns.
    Pacing(bool),
    /// Outcomes of requests at the hosts of a site.
    Outcomes {
        /// Index of the site, in the order of the configuration file. Ignored unless the site is returning.
        site: usize,
        /// Counts since the previous report.
        counts: OutcomeCounts,
    },
}

/// An action that the caller of [`Member::handle`] carries out, or news that it records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose a command to the Raft group.
    Propose(Command),
    /// Act by this allocation from now on.
    Allocation(Box<RouterAllocation>),
    /// Try to reach a model host of the site, not by a client's request, and report the result as
    /// [`watch::Event::Host`].
    Probe {
        /// Index of the site, in the order of the configuration file.
        site: usize,
    },
    /// This router's view of a site changed; for the history.
    Changed(Change),
    /// A message for the operators: there is no plan for what is missing. The previous allocation stays in force.
    NoPlan(String),
}

/// The inputs that an allocation is derived from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Basis {
    epoch: u64,
    leader_known: bool,
    /// For each site, the status and missing part that the allocation depends on.
    observed: Vec<(Status, Missing)>,
}

/// The site logic of one router. The plans are passed in by the caller, because they are the same for all routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    own_site: usize,
    seed: u64,
    watch: Watch,
    ramp: Ramp,
    table: SiteTable,
    leader_known: bool,
    pacing: bool,
    /// When this router last proposed to put its plans in force.
    install_proposed_at: Option<Micros>,
    allocation: RouterAllocation,
    /// For each site, how the report of this router's own site differs from what this router observes.
    disagreements: Vec<Disagreement>,
    /// The inputs that the current allocation was derived from; `None` before the first one.
    allocation_basis: Option<Basis>,
    lost_after: Micros,
    hold_down: Micros,
    /// Time after which a proposal that has had no effect is made again.
    agree: Micros,
}

/// The difference between what this router observes of a site and what its own site has reported.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disagreement {
    /// The missing part that is observed, the one that was reported, and since when they are these two.
    difference: Option<(Missing, Missing, Micros)>,
    /// When this router last proposed a report.
    last_report: Option<Micros>,
    /// Set when this router ends its own hold-down of the site, until it sees the report in the table agree.
    held_down: bool,
}

impl Member {
    /// A router of the site with index `own_site`, before it knows the agreed table. `seed` spreads the reports of the
    /// routers of a site over time.
    pub fn new(plans: &Plans, own_site: usize, seed: u64) -> Self {
        let fleet = plans.fleet();
        Member {
            own_site,
            seed,
            watch: Watch::new(fleet.tables.watch.clone(), fleet.site_count(), own_site),
            ramp: Ramp::new(fleet),
            table: SiteTable::default(),
            leader_known: true,
            pacing: false,
            install_proposed_at: None,
            allocation: RouterAllocation::default(),
            disagreements: vec![Disagreement::default(); fleet.site_count()],
            lost_after: fleet.tables.watch.lost_after_ms * 1_000,
            allocation_basis: None,
            hold_down: fleet.tables.watch.hold_down_ms * 1_000,
            agree: fleet.tables.ramp.agree_ms * 1_000,
        }
    }

    /// The allocation that this router acts by.
    pub fn allocation(&self) -> &RouterAllocation {
        &self.allocation
    }

    /// Returns the failure detector of this router, from which the status of each site can be read.
    pub fn watch(&self) -> &Watch {
        &self.watch
    }

    /// When to send [`Event::Tick`] next; `None` if nothing depends on time.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let report_pending =
            self.disagreements.iter().any(|d| d.difference.is_some()) || self.pacing;
        let own_timeout = report_pending.then_some(now + REPORT_SPREAD / 2);
        [self.watch.timeout(now), self.ramp.timeout(now), own_timeout]
            .into_iter()
            .flatten()
            .min()
    }

    /// Processes an input and appends the resulting actions to `out`. `plans` must be the plans that this member was
    /// created with.
    pub fn handle(&mut self, plans: &mut Plans, now: Micros, event: Event, out: &mut Vec<Action>) {
        let mut commands = Vec::new();
        let mut watch_actions = Vec::new();
        match event {
            Event::Tick => {
                self.watch
                    .handle(now, watch::Event::Tick, &mut watch_actions);
                self.ramp.handle(now, ramp::Event::Tick, &mut commands);
            }
            Event::Observed(event) => {
                if let watch::Event::Leader { known } = event {
                    self.leader_known = known;
                }
                self.watch.handle(now, event, &mut watch_actions);
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
            let retry_due = self
                .install_proposed_at
                .is_none_or(|at| now.saturating_sub(at) >= self.agree);
            if retry_due && let Ok(command) = Command::install_plans(plans) {
                self.install_proposed_at = Some(now);
                commands.push(command);
            }
        }
        for action in &watch_actions {
            if let watch::Action::Changed(change) = action {
                self.disagreements[change.site].held_down = change.to == Status::Returning;
            }
        }
        for site in 0..self.disagreements.len() {
            let restored = self.table.state(site) == SiteState::Healthy
                && self.table.reported(self.own_site, site) == Missing::Nothing;
            if restored && self.watch.status(site).0 == Status::Returning {
                self.watch.handle(
                    now,
                    watch::Event::FullyRestored { site },
                    &mut watch_actions,
                );
            }
            self.report_observation(now, site, plans.fingerprint(), &mut commands);
        }
        out.extend(watch_actions.into_iter().map(|action| match action {
            watch::Action::Changed(change) => Action::Changed(change),
            watch::Action::Probe { site } => Action::Probe { site },
        }));
        out.extend(commands.into_iter().map(Action::Propose));
        self.update_allocation(plans, out);
    }

    /// Proposes a report of what is observed of a site, if the table has another report by this router's own site.
    fn report_observation(&mut self, now: Micros, site: usize, plans: u64, out: &mut Vec<Command>) {
        let reported = self.table.reported(self.own_site, site);
        let (status, missing, _) = self.watch.status(site);
        let observed = match status {
            // Other routers of this site may already have seen for long enough that it is back.
            Status::Lost if self.watch.recovering(site) && reported != Missing::All => reported,
            Status::Lost => missing,
            Status::Suspect => reported,
            Status::Healthy | Status::Returning => Missing::Nothing,
        };
        let other_plans = self.table.plans() != plans;
        let disagreement = &mut self.disagreements[site];
        if site == self.own_site || observed == reported || other_plans || self.watch.isolated() {
            disagreement.difference = None;
            disagreement.held_down &= observed != reported;
            return;
        }
        if disagreement
            .difference
            .is_none_or(|(a, b, _)| (a, b) != (observed, reported))
        {
            disagreement.difference = Some((observed, reported, now));
        }
        let since = disagreement.difference.map_or(now, |(.., since)| since);
        // A first loss, and the recovery of a site that this router held down itself, are reported at once. A report
        // by another router of this site is contradicted only after a while, because that router may see more, or
        // earlier.
        let delay = match (reported, observed) {
            (Missing::Nothing, _) => 0,
            (_, Missing::Nothing) if disagreement.held_down => 0,
            (Missing::All, Missing::Hosts) if self.watch.recovering(site) => 0,
            (_, Missing::Nothing) => self.hold_down,
            _ => self.lost_after,
        };
        let spread = xxh3_64_with_seed(&(site as u64).to_le_bytes(), self.seed) % REPORT_SPREAD;
        let retry_due = disagreement
            .last_report
            .is_none_or(|at| now.saturating_sub(at) >= self.agree);
        if now >= since + delay + spread && retry_due {
            disagreement.last_report = Some(now);
            let names = self.table.names();
            let (observer, site) = (names[self.own_site].clone(), names[site].clone());
            out.push(Command::ReportMissing {
                observer,
                site,
                missing: observed,
                plans,
            });
        }
    }

    /// Recomputes the allocation if any of its inputs has changed.
    fn update_allocation(&mut self, plans: &mut Plans, out: &mut Vec<Action>) {
        let sites = self.disagreements.len();
        let relevant = |s| {
            let (status, missing, _) = self.watch.status(s);
            let matters = matches!(status, Status::Suspect | Status::Lost)
                && missing.remaining_hosts() <= 0.0;
            if matters {
                (status, missing)
            } else {
                (Status::Healthy, Missing::Nothing)
            }
        };
        let observed = (0..sites).map(relevant).collect();
        let basis = Basis {
            epoch: self.table.epoch(),
            leader_known: self.leader_known,
            observed,
        };
        if self.allocation_basis.as_ref() == Some(&basis) {
            return;
        }
        if self.table.plans() != plans.fingerprint() {
            // Until all routers agree on the same plans, the allocation stays as it is.
            if self.table.plans() != 0 {
                out.push(Action::NoPlan(
                    "the agreed plans differ from this router's plans, which follow from its [sites] tables; the allocation stays as it is".into(),
                ));
            }
            self.allocation_basis = Some(basis);
            return;
        }
        match self.effective_allocations(plans, &basis.observed) {
            Ok((plan, upper, degraded)) => {
                let allocation = RouterAllocation::for_router(
                    plans,
                    &plan,
                    &upper,
                    self.own_site,
                    self.table.epoch(),
                    degraded,
                );
                if allocation != self.allocation {
                    self.allocation = allocation.clone();
                    out.push(Action::Allocation(Box::new(allocation)));
                }
            }
            Err(error) => out.push(Action::NoPlan(error.to_string())),
        }
        self.allocation_basis = Some(basis);
    }

    /// The allocation and its upper bound that this router acts by: what is agreed, adjusted for what only this router
    /// observes. The flag tells whether that differs from normal operation.
    fn effective_allocations(
        &self,
        plans: &mut Plans,
        observed: &[(Status, Missing)],
    ) -> Result<(Allocation, Allocation, bool), PlanError> {
        let (mut plan, mut upper) = self.table.allocations(plans)?;
        let Some(condition) = self.table.transition().last() else {
            return Ok((plan, upper, false));
        };
        let mut loss = condition.loss();
        let normal = loss.0.iter().all(|m| *m == Missing::Nothing) && self.table.settled();
        let mut own_view_differs = false;
        for (site, (status, missing)) in observed.iter().enumerate() {
            if *missing == Missing::Nothing
                || loss.0[site].remaining_hosts() <= 0.0 && condition.0[site].1 == 0
            {
                continue;
            }
            own_view_differs = true;
            // The group can't be asked: act by the prepared plan, as far as that exceeds no limit together with
            // routers that have not adopted it.
            if *status == Status::Lost && !self.leader_known && !self.watch.isolated() {
                loss.0[site] = *missing;
                let to = plans.get_or_compute(&loss)?.allocation.clone();
                let to_upper = plans.upper_bound(&loss).unwrap_or_else(|| to.clone());
                upper = plans.intermediate(&loss, &[&upper], &to_upper);
                plan = if upper == to_upper { to } else { upper.clone() };
            } else {
                // Send nothing new to the site.
                plan = plans.avoiding_site(&loss, &plan, site);
                upper = plans.avoiding_site(&loss, &upper, site);
            }
        }
        Ok((plan, upper, own_view_differs || !normal))
    }
}
