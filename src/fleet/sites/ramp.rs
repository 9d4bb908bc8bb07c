//! The pace of a return: when to settle, to try a step, to hold it, to step back.
//!
//! Every conductor runs one. The pacer (the group's leader, or the holder of a lease) proposes all of it; the others
//! propose steps back only, from what they see of the returning site themselves.

use super::describe::{Fleet, RampSettings};
use super::epoch::{Command, SiteState, SiteTable};
use crate::routing::types::Micros;

/// A part of outcomes that chance alone rarely explains lies this many standard deviations over the allowed one.
const DEVIATIONS: f64 = 3.0;

/// One step of a return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The part of its usual load that the returning site's hosts get.
    pub share: f64,
    /// Seconds after the return has begun before which it is not tried.
    pub earliest_s: f64,
}

/// The steps of a site's return: each at most what its hosts, all of them just started when the return begins, bear
/// then. The last one is the whole.
pub fn return_steps(fleet: &Fleet, site: usize) -> Vec<Step> {
    let ramp = &fleet.tables.ramp;
    let every = ramp.step_ms as f64 / 1e3;
    let mut steps = Vec::new();
    // Bounded: the parts end after `ramp.steps` and the cold hosts' bound when they are warm.
    for k in 1.. {
        let earliest_s = f64::from(k - 1) * every;
        let bears = fleet.warm_share(site, earliest_s);
        let part = (f64::from(k) / f64::from(ramp.steps)).min(1.0);
        let share = if bears < 1.0 {
            part.min(bears * ramp.cold_part)
        } else {
            part
        };
        steps.push(Step { share, earliest_s });
        if share >= 1.0 {
            break;
        }
    }
    steps
}

/// What came back from the returning site's hosts, counted since the last time it was reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct OutcomeCounts {
    /// Requests that came to an end or to their first token there.
    pub total: u32,
    /// First tokens that were late.
    pub late: u32,
    /// Requests that hosts turned away, or that failed there.
    pub refused: u32,
}

/// What goes into it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The table has changed.
    Table(SiteTable),
    /// This conductor paces, or does no longer.
    Pacing(bool),
    /// Outcomes at hosts of a site.
    Outcomes {
        /// The site.
        site: usize,
        /// Counts since the last report.
        counts: OutcomeCounts,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seen {
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
    backs: u32,
    /// When this conductor learnt of the return; a later pacer counts anew, which is only slower.
    begun: Micros,
}

/// The state machine of one conductor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ramp {
    step: Micros,
    agree: Micros,
    most_doublings: u32,
    few: u32,
    /// Allowed parts of late first tokens and of refusals, in thousandths.
    most: [u32; 2],
    /// For each site when each step may be tried, after the return has begun.
    at: Vec<Vec<Micros>>,
    names: Vec<crate::fleet::SiteName>,
    pacing: bool,
    seen: Seen,
    measured: OutcomeCounts,
    proposed: Option<(u64, Micros)>,
}

impl Ramp {
    /// Nothing returns.
    pub fn new(fleet: &Fleet) -> Self {
        let RampSettings {
            step_ms,
            agree_ms,
            most_doublings,
            few,
            most_late,
            most_refused,
            ..
        } = fleet.tables.ramp;
        let at = |site| {
            return_steps(fleet, site)
                .iter()
                .map(|s| (s.earliest_s * 1e6) as Micros)
                .collect()
        };
        Ramp {
            step: step_ms * 1_000,
            agree: agree_ms * 1_000,
            most_doublings,
            few,
            most: [most_late, most_refused].map(|v| (v * 1e3) as u32),
            at: (0..fleet.site_count()).map(at).collect(),
            names: Vec::new(),
            pacing: false,
            seen: Seen {
                settled: true,
                ..Seen::default()
            },
            measured: OutcomeCounts::default(),
            proposed: None,
        }
    }

    /// When to tick next.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let busy = !self.seen.settled || self.seen.returning.is_some();
        (busy && self.pacing).then_some(now + self.agree.clamp(1_000, 100_000))
    }

    /// Takes in what has happened and appends what is to be proposed to the group.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        match event {
            Event::Tick => {}
            Event::Table(table) => self.table(now, &table),
            Event::Pacing(pacing) => {
                if pacing && !self.pacing {
                    // What a former pacer had waited for is waited for again.
                    self.seen.since = now;
                    self.seen.returning.iter_mut().for_each(|r| r.begun = now);
                }
                self.pacing = pacing;
            }
            Event::Outcomes { site, counts } => {
                if self.seen.returning.as_ref().is_some_and(|r| r.site == site) {
                    let m = &mut self.measured;
                    m.total = m.total.saturating_add(counts.total);
                    m.late = m.late.saturating_add(counts.late);
                    m.refused = m.refused.saturating_add(counts.refused);
                }
            }
        }
        self.decide(now, out);
    }

    fn table(&mut self, now: Micros, table: &SiteTable) {
        if table.epoch() == self.seen.epoch {
            return;
        }
        self.names = table.names().to_vec();
        let old = self.seen.returning.take();
        let returning = (0..table.names().len()).find_map(|site| match table.state(site) {
            SiteState::Returning {
                step, held, backs, ..
            } => {
                let same = old
                    .as_ref()
                    .filter(|r| r.site == site && step + 1 >= r.step);
                let begun = same.map_or(now, |r| r.begun);
                Some(Returning {
                    site,
                    step,
                    held,
                    backs,
                    begun,
                })
            }
            _ => None,
        });
        // A new step is judged by its own outcomes.
        if returning.as_ref().map(|r| (r.site, r.step)) != old.as_ref().map(|r| (r.site, r.step)) {
            self.measured = OutcomeCounts::default();
        }
        self.seen = Seen {
            epoch: table.epoch(),
            since: now,
            settled: table.settled(),
            returning,
        };
        self.proposed = None;
    }

    fn bad(&self) -> bool {
        let m = self.measured;
        if m.total < self.few.max(1) {
            return false;
        }
        let n = f64::from(m.total);
        let over = |count: u32, most: u32| {
            let part = f64::from(most) / 1e3;
            f64::from(count) > n * part + DEVIATIONS * (n * part * (1.0 - part)).sqrt()
        };
        over(m.late, self.most[0]) || over(m.refused, self.most[1])
    }

    fn decide(&mut self, now: Micros, out: &mut Vec<Command>) {
        let (epoch, waited) = (self.seen.epoch, now.saturating_sub(self.seen.since));
        // What was proposed may have been lost on its way.
        if self
            .proposed
            .is_some_and(|(of, at)| of == epoch && now.saturating_sub(at) < self.agree)
        {
            return;
        }
        let command = match &self.seen.returning {
            Some(r) if r.step > r.held && self.bad() => Some(Command::StepBack {
                epoch,
                site: self.names[r.site].clone(),
            }),
            _ if !self.pacing => None,
            _ if !self.seen.settled => (waited >= self.agree).then_some(Command::Settle { epoch }),
            None => None,
            Some(r) => {
                let site = self.names[r.site].clone();
                let pause = self.step << r.backs.min(self.most_doublings).min(16);
                if r.step > r.held {
                    (waited >= self.step).then_some(Command::HoldStep { epoch, site })
                } else {
                    let at = self.at[r.site]
                        .get(usize::from(r.step))
                        .copied()
                        .unwrap_or(0);
                    let rested = r.backs == 0 || waited >= pause;
                    let due = now.saturating_sub(r.begun) >= at && rested;
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
