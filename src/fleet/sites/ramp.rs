//! The pace of a return.

use super::describe::Fleet;

/// One step of a return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The part of its usual load that the returning site's hosts get.
    pub share: f64,
    /// Seconds after the return has begun before which it is not tried.
    pub at_s: f64,
}

/// The steps of a site's return: each at most what its hosts, all of them just started when the return begins, bear
/// then. The last one is the whole.
pub fn steps(fleet: &Fleet, site: usize) -> Vec<Step> {
    let ramp = &fleet.tables.ramp;
    let every = ramp.step_ms as f64 / 1e3;
    let mut steps = Vec::new();
    // Bounded: the parts end after `ramp.steps` and the cold hosts' bound when they are warm.
    for k in 1.. {
        let at_s = f64::from(k - 1) * every;
        let bears = fleet.bears(site, at_s);
        let part = (f64::from(k) / f64::from(ramp.steps)).min(1.0);
        let share = if bears < 1.0 { part.min(bears * ramp.cold_part) } else { part };
        steps.push(Step { share, at_s });
        if share >= 1.0 {
            break;
        }
    }
    steps
}
