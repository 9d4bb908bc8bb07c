//! One conductor's part in all of it: what it sees, what it says to the group, and the orders that it acts by.

use super::epoch::{Command, Standing, Table};
use super::plan::{Course, Missing, PlanError, Plans};
use super::ramp::{self, Measured, Ramp};
use super::refuse::Orders;
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
    Seen(watch::Event),
    /// The agreed table has changed.
    Table(Box<Table>),
    /// This conductor paces returns, or does no longer.
    Pacing(bool),
    /// Outcomes at hosts of a site.
    Measured {
        /// The site.
        site: usize,
        /// What came.
        measured: Measured,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose it to the group.
    Propose(Command),
    /// Act by these orders from now on.
    Orders(Box<Orders>),
    /// Try a connection to a host of the site, without a request, and say whether it was reached.
    Probe {
        /// The site.
        site: usize,
    },
    /// For the history: what this conductor takes a site for has changed.
    Changed(Change),
    /// A line for the operators: no plan for what is missing; the orders stand, without what can't be reached.
    NoPlan(String),
}

/// What orders follow from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Basis {
    epoch: u64,
    in_touch: bool,
    seen: Vec<(Status, Missing)>,
}

/// The state machine of one conductor. The plans are handed in: they are the same for all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    entry: usize,
    seed: u64,
    watch: Watch,
    ramp: Ramp,
    table: Table,
    in_touch: bool,
    pacing: bool,
    /// When the plans here were last proposed to be in force.
    installed: Option<Micros>,
    orders: Orders,
    /// For each site how its word in the table differs from what is seen here.
    differs: Vec<Differs>,
    /// What the orders were made from.
    made_from: Option<Basis>,
    lost_after: Micros,
    hold_down: Micros,
    agree: Micros,
}

/// What is seen here of a site, against what this conductor's own site has said of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Differs {
    /// What is seen here, what was said, since when they are these two.
    both: Option<(Missing, Missing, Micros)>,
    /// When this conductor last said it.
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
            watch: Watch::new(fleet.tables.watch.clone(), fleet.sites(), entry),
            ramp: Ramp::new(fleet),
            table: Table::default(),
            in_touch: true,
            pacing: false,
            installed: None,
            orders: Orders::default(),
            differs: vec![Differs::default(); fleet.sites()],
            lost_after: fleet.tables.watch.lost_after_ms * 1_000,
            made_from: None,
            hold_down: fleet.tables.watch.hold_down_ms * 1_000,
            agree: fleet.tables.ramp.agree_ms * 1_000,
        }
    }

    /// The orders in force.
    pub fn orders(&self) -> &Orders {
        &self.orders
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
            Event::Seen(event) => {
                if let watch::Event::Group { in_touch } = event {
                    self.in_touch = in_touch;
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
            Event::Measured { site, measured } => {
                self.ramp
                    .handle(now, ramp::Event::Measured { site, measured }, &mut commands);
            }
        }
        if self.pacing && self.table.plans() != plans.fingerprint() {
            let again = self
                .installed
                .is_none_or(|at| now.saturating_sub(at) >= self.agree);
            if again && let Ok(command) = Command::plans(plans) {
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
            let back = self.table.standing(site) == Standing::Sound
                && self.table.said(self.entry, site) == Missing::Nothing;
            if back && self.watch.status(site).0 == Status::Returning {
                self.watch
                    .handle(now, watch::Event::Whole { site }, &mut seen);
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
        let said = self.table.said(self.entry, site);
        let (status, missing, _) = self.watch.status(site);
        let sees = match status {
            // Others of this site may have seen for long enough already that it is back.
            Status::Lost if self.watch.recovering(site) && said != Missing::All => said,
            Status::Lost => missing,
            Status::Doubted => said,
            Status::Sound | Status::Returning => Missing::Nothing,
        };
        let other_plans = self.table.plans() != plans;
        let differs = &mut self.differs[site];
        if site == self.entry || sees == said || other_plans || self.watch.cut_off() {
            differs.both = None;
            differs.held_down &= sees != said;
            return;
        }
        if differs.both.is_none_or(|(a, b, _)| (a, b) != (sees, said)) {
            differs.both = Some((sees, said, now));
        }
        let since = differs.both.map_or(now, |(.., since)| since);
        // A first loss is said at once, and the end of one that was held down here. What another conductor of this
        // site has seen otherwise is contradicted only after a while: it may see more, or earlier.
        let patience = match (said, sees) {
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
            let (by, of) = (names[self.entry].clone(), names[site].clone());
            out.push(Command::Say {
                by,
                of,
                missing: sees,
                plans,
            });
        }
    }

    /// Makes the orders anew where anything that they follow from has changed.
    fn order(&mut self, plans: &mut Plans, out: &mut Vec<Action>) {
        let sites = self.differs.len();
        let seen = |s| {
            let (status, missing, _) = self.watch.status(s);
            let matters =
                matches!(status, Status::Doubted | Status::Lost) && missing.hosts_left() <= 0.0;
            if matters {
                (status, missing)
            } else {
                (Status::Sound, Missing::Nothing)
            }
        };
        let seen = (0..sites).map(seen).collect();
        let from = Basis {
            epoch: self.table.epoch(),
            in_touch: self.in_touch,
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
        match self.course(plans, &from.seen) {
            Ok((plan, most, unusual)) => {
                let orders =
                    Orders::of(plans, &plan, &most, self.entry, self.table.epoch(), unusual);
                if orders != self.orders {
                    self.orders = orders.clone();
                    out.push(Action::Orders(Box::new(orders)));
                }
            }
            Err(error) => out.push(Action::NoPlan(error.to_string())),
        }
        self.made_from = Some(from);
    }

    /// What this conductor does: what is agreed, and on top of it what it sees alone.
    fn course(
        &self,
        plans: &mut Plans,
        seen: &[(Status, Missing)],
    ) -> Result<(Course, Course, bool), PlanError> {
        let (mut plan, mut most) = self.table.courses(plans)?;
        let Some(stand) = self.table.chain().last() else {
            return Ok((plan, most, false));
        };
        let mut loss = stand.loss();
        let usual = loss.0.iter().all(|m| *m == Missing::Nothing) && self.table.settled();
        let mut alone = false;
        for (site, (status, missing)) in seen.iter().enumerate() {
            if *missing == Missing::Nothing
                || loss.0[site].hosts_left() <= 0.0 && stand.0[site].1 == 0
            {
                continue;
            }
            alone = true;
            // The group can't be asked: by the prepared plan, as far as it harms nobody who has not stepped.
            if *status == Status::Lost && !self.in_touch && !self.watch.cut_off() {
                loss.0[site] = *missing;
                let to = plans.get_or_make(&loss)?.course.clone();
                let to_most = plans.most(&loss).unwrap_or_else(|| to.clone());
                most = plans.between(&loss, &[&most], &to_most);
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
