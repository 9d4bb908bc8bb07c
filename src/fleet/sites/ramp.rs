//! Pacing of a site's return: when to settle a change, try a step, confirm it, or step back.
//!
//! Every router runs a [`Ramp`]. One router at a time is the pacer (the Raft leader, or the holder of a lease) and
//! proposes all of these commands. The other routers propose only steps back, from the outcomes that they see at the
//! returning site themselves.

use super::describe::{Fleet, RampSettings};
use super::epoch::{Command, SiteState, SiteTable};
use crate::routing::types::Micros;

/// A step is bad if its late or refused outcomes exceed the allowed share by this many standard deviations, which
/// chance alone rarely explains.
const STANDARD_DEVIATIONS: f64 = 3.0;

/// One step of a return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Share of their usual load that the returning site's hosts get.
    pub share: f64,
    /// Seconds since the return began before which the step is not tried.
    pub earliest_s: f64,
}

/// The steps of a site's return. Each step stays within the capacity that the site's hosts have by then if all of them
/// started when the return began. The last step is the full load.
pub fn return_steps(fleet: &Fleet, site: usize) -> Vec<Step> {
    let ramp = &fleet.tables.ramp;
    let step_s = ramp.step_ms as f64 / 1e3;
    let mut steps = Vec::new();
    // The loop ends: the share is 1 once `ramp.steps` steps have passed and the hosts are warm.
    for k in 1.. {
        let earliest_s = f64::from(k - 1) * step_s;
        let warm_share = fleet.warm_share(site, earliest_s);
        let planned_share = (f64::from(k) / f64::from(ramp.steps)).min(1.0);
        let share = if warm_share < 1.0 {
            planned_share.min(warm_share * ramp.cold_part)
        } else {
            planned_share
        };
        steps.push(Step { share, earliest_s });
        if share >= 1.0 {
            break;
        }
    }
    steps
}

/// Counts of outcomes at the returning site's hosts since the previous report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct OutcomeCounts {
    /// Requests that ended or reached their first token there.
    pub total: u32,
    /// First tokens that came later than the objective.
    pub late: u32,
    /// Requests that hosts refused, or that failed there.
    pub refused: u32,
}

/// A timer tick, a change of the agreed state or a report of outcomes, passed to [`Ramp::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; due at [`Ramp::timeout`].
    Tick,
    /// The agreed table has changed.
    Table(SiteTable),
    /// Whether this router is the pacer.
    Pacing(bool),
    /// Outcomes of requests at the hosts of a site.
    Outcomes {
        /// Index of the site, in the order of the configuration file. Ignored unless the site is returning.
        site: usize,
        /// Counts since the previous report.
        counts: OutcomeCounts,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct AgreedState {
    epoch: u64,
    since: Micros,
    settled: bool,
    returning: Option<Returning>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Returning {
    site: usize,
    step: u16,
    held: u16,
    step_backs: u32,
    /// When this router learnt of the return. A later pacer starts counting anew, which can only slow the return down.
    began_at: Micros,
}

/// The return pacing of one router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ramp {
    /// How long a step must stay good before it is confirmed.
    step_duration: Micros,
    /// Time after which a committed change is in force everywhere.
    agree: Micros,
    max_doublings: u32,
    min_outcomes: u32,
    /// Allowed shares of late first tokens and of refusals, in thousandths.
    allowed: [u32; 2],
    /// For each site and step, the earliest time since the return began at which the step may be tried.
    earliest: Vec<Vec<Micros>>,
    names: Vec<crate::fleet::SiteName>,
    pacing: bool,
    agreed: AgreedState,
    counts: OutcomeCounts,
    proposed: Option<(u64, Micros)>,
}

impl Ramp {
    /// A ramp while no site returns.
    pub fn new(fleet: &Fleet) -> Self {
        let RampSettings {
            step_ms,
            agree_ms,
            max_doublings,
            min_outcomes,
            max_late_share,
            max_refused_share,
            ..
        } = fleet.tables.ramp;
        let earliest = |site| {
            return_steps(fleet, site)
                .iter()
                .map(|s| (s.earliest_s * 1e6) as Micros)
                .collect()
        };
        Ramp {
            step_duration: step_ms * 1_000,
            agree: agree_ms * 1_000,
            max_doublings,
            min_outcomes,
            allowed: [max_late_share, max_refused_share].map(|v| (v * 1e3) as u32),
            earliest: (0..fleet.site_count()).map(earliest).collect(),
            names: Vec::new(),
            pacing: false,
            agreed: AgreedState {
                settled: true,
                ..AgreedState::default()
            },
            counts: OutcomeCounts::default(),
            proposed: None,
        }
    }

    /// When to send [`Event::Tick`] next; `None` if nothing depends on time.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let busy = !self.agreed.settled || self.agreed.returning.is_some();
        (busy && self.pacing).then_some(now + self.agree.clamp(1_000, 100_000))
    }

    /// Processes an input and appends the commands to propose to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Tick => {}
            Event::Table(table) => self.update_table(now, &table),
            Event::Pacing(pacing) => {
                if pacing && !self.pacing {
                    // A new pacer restarts both timers: since the latest change and since the return began.
                    self.agreed.since = now;
                    self.agreed
                        .returning
                        .iter_mut()
                        .for_each(|r| r.began_at = now);
                }
                self.pacing = pacing;
            }
            Event::Outcomes { site, counts } => {
                if self
                    .agreed
                    .returning
                    .as_ref()
                    .is_some_and(|r| r.site == site)
                {
                    let sum = &mut self.counts;
                    sum.total = sum.total.saturating_add(counts.total);
                    sum.late = sum.late.saturating_add(counts.late);
                    sum.refused = sum.refused.saturating_add(counts.refused);
                }
            }
        }
        self.decide(now, out);
    }

    fn update_table(&mut self, now: Micros, table: &SiteTable) {
        if table.epoch() == self.agreed.epoch {
            return;
        }
        self.names = table.names().to_vec();
        let old = self.agreed.returning.take();
        let returning = (0..table.names().len()).find_map(|site| match table.state(site) {
            SiteState::Returning {
                step,
                held,
                step_backs,
                ..
            } => {
                let continued = old
                    .as_ref()
                    .filter(|r| r.site == site && step + 1 >= r.step);
                let began_at = continued.map_or(now, |r| r.began_at);
                Some(Returning {
                    site,
                    step,
                    held,
                    step_backs,
                    began_at,
                })
            }
            _ => None,
        });
        // A new step is judged only by outcomes that follow it.
        if returning.as_ref().map(|r| (r.site, r.step)) != old.as_ref().map(|r| (r.site, r.step)) {
            self.counts = OutcomeCounts::default();
        }
        self.agreed = AgreedState {
            epoch: table.epoch(),
            since: now,
            settled: table.settled(),
            returning,
        };
        self.proposed = None;
    }

    fn step_is_bad(&self) -> bool {
        let counts = self.counts;
        if counts.total < self.min_outcomes.max(1) {
            return false;
        }
        let n = f64::from(counts.total);
        let exceeds = |count: u32, allowed: u32| {
            let share = f64::from(allowed) / 1e3;
            f64::from(count) > n * share + STANDARD_DEVIATIONS * (n * share * (1.0 - share)).sqrt()
        };
        exceeds(counts.late, self.allowed[0]) || exceeds(counts.refused, self.allowed[1])
    }

    fn decide(&mut self, now: Micros, out: &mut Vec<Command>) {
        let (epoch, waited) = (self.agreed.epoch, now.saturating_sub(self.agreed.since));
        // Proposes again only after `agree`, since a proposal may have been lost on its way.
        if self.proposed.is_some_and(|(proposed_epoch, at)| {
            proposed_epoch == epoch && now.saturating_sub(at) < self.agree
        }) {
            return;
        }
        let command = match &self.agreed.returning {
            Some(r) if r.step > r.held && self.step_is_bad() => Some(Command::StepBack {
                epoch,
                site: self.names[r.site].clone(),
            }),
            _ if !self.pacing => None,
            _ if !self.agreed.settled => {
                (waited >= self.agree).then_some(Command::Settle { epoch })
            }
            None => None,
            Some(r) => {
                let site = self.names[r.site].clone();
                let pause = self.step_duration << r.step_backs.min(self.max_doublings).min(16);
                if r.step > r.held {
                    (waited >= self.step_duration).then_some(Command::HoldStep { epoch, site })
                } else {
                    let earliest = self.earliest[r.site]
                        .get(usize::from(r.step))
                        .copied()
                        .unwrap_or(0);
                    let pause_over = r.step_backs == 0 || waited >= pause;
                    let due = now.saturating_sub(r.began_at) >= earliest && pause_over;
                    due.then_some(Command::TryStep { epoch, site })
                }
            }
        };
        if let Some(command) = command {
            self.proposed = Some((epoch, now));
            out.push(command);
        }
    }
}
