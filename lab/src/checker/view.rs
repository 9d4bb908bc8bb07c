//! Promise 1: once faults stop, all views agree in time; no live, reachable member stays dead.

use super::facts::Fact;
use super::{Act, Limits, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// What every member sees, as its own records tell it.
#[derive(Clone, Debug, Default)]
pub struct Views {
    lives: BTreeMap<String, u64>,
    seen: BTreeMap<String, BTreeMap<String, (u64, String)>>,
}

impl Views {
    /// Takes an act in.
    pub fn take(&mut self, act: &Act) {
        match &act.fact {
            Fact::FleetStart {} => {
                self.lives.insert(act.source.clone(), act.incarnation);
                self.seen.insert(act.source.clone(), BTreeMap::new());
            }
            Fact::ViewChange {
                peer,
                peer_incarnation,
                to,
            } => {
                let seen = self.seen.entry(act.source.clone()).or_default();
                seen.insert(peer.clone(), (*peer_incarnation, to.clone()));
            }
            _ => {}
        }
    }

    /// Where the views of `alive` differ from what is so: nothing if each sees the others alive in their present
    /// lives, and nobody else alive or suspect.
    pub fn difference(&self, alive: &BTreeSet<String>) -> Option<String> {
        for member in alive {
            let Some(seen) = self.seen.get(member) else {
                return Some(format!("{member} has not begun"));
            };
            for peer in alive.iter().filter(|p| *p != member) {
                let life = self.lives.get(peer).copied();
                match seen.get(peer) {
                    Some((incarnation, to)) if to == "alive" && Some(*incarnation) == life => {}
                    Some((incarnation, to)) => {
                        return Some(format!(
                            "{member} sees {peer} {to} in its life {incarnation}"
                        ));
                    }
                    None => return Some(format!("{member} does not see {peer}")),
                }
            }
            let others = seen
                .iter()
                .filter(|(p, _)| !alive.contains(*p) && *p != member);
            for (peer, (_, to)) in others {
                if to == "alive" || to == "suspect" {
                    return Some(format!("{member} sees {peer} {to}, and it is not running"));
                }
            }
        }
        None
    }
}

/// Holds a history against the promise.
pub fn check(acts: &[Act], limits: &Limits, verdict: &mut Verdict) {
    let mut views = Views::default();
    let mut quiet: Option<(u64, u64, u64, BTreeSet<String>)> = None;
    let mut agreed = false;
    let end = acts.last().map_or(0, |a| a.at_us);
    // Ends a quiet time: with nobody taken for dead who lives.
    let close = |views: &Views, alive: &BTreeSet<String>, order: u64, verdict: &mut Verdict| {
        for member in alive {
            let Some(seen) = views.seen.get(member) else {
                continue;
            };
            for (peer, (_, to)) in seen.iter().filter(|(p, _)| alive.contains(*p)) {
                if to == "dead" || to == "left" {
                    verdict.broken(
                        order,
                        format!("{member} still sees {peer} {to}, and it runs and is reachable"),
                    );
                }
            }
        }
    };
    for act in acts {
        if let Some((from, until, order, alive)) = quiet.take_if(|q| !agreed && act.at_us > q.1) {
            let why = views.difference(&alive).unwrap_or_default();
            verdict.broken(order, format!("no agreement in {} us: {why}", until - from));
        }
        if let Some((_, _, _, alive)) = quiet.take_if(|_| act.fact.is_fault()) {
            if agreed {
                close(&views, &alive, act.order, verdict);
            } else {
                verdict.open += 1;
            }
        }
        views.take(act);
        if let Fact::Quiet { alive, within_us } = &act.fact {
            let until = act.at_us + within_us.unwrap_or(limits.settle_us);
            quiet = Some((act.at_us, until, act.order, alive.iter().cloned().collect()));
            agreed = false;
            verdict.checked += 1;
        }
        if let Some((from, ..)) = quiet
            .as_ref()
            .filter(|q| !agreed && views.difference(&q.3).is_none())
        {
            agreed = true;
            verdict.most("settled_us", act.at_us - from);
        }
        if let Fact::ViewChange { to, .. } = &act.fact {
            verdict.count(match to.as_str() {
                "suspect" => "suspicions",
                "dead" => "deaths",
                _ => "other_changes",
            });
        }
    }
    if let Some((_, until, order, alive)) = quiet {
        if agreed {
            close(
                &views,
                &alive,
                acts.last().map_or(order, |a| a.order),
                verdict,
            );
        } else if end < until {
            verdict.open += 1;
        }
    }
}
