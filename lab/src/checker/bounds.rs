//! Promise 7: within the limits; forged, replayed or garbled messages change nobody's state; without the shared key
//! nobody joins.

use super::facts::Fact;
use super::{Act, Limits, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// Holds a history against the promise.
pub fn check(acts: &[Act], limits: &Limits, verdict: &mut Verdict) {
    let mut strangers: BTreeSet<&str> = BTreeSet::new();
    let mut forging = false;
    let mut refusals: BTreeMap<(&str, u64, &str), u64> = BTreeMap::new();
    for act in acts {
        let stranger = |name: &str| strangers.contains(name);
        // What a stranger makes of the silence is its own affair, unless it believes to hold something.
        if stranger(&act.source) && !matches!(act.fact, Fact::LeaseGranted(_) | Fact::LifeGained {})
        {
            continue;
        }
        match &act.fact {
            Fact::Stranger { name } => {
                verdict.checked += 1;
                strangers.insert(name);
            }
            Fact::Forging {} => {
                verdict.checked += 1;
                forging = true;
            }
            Fact::Forged {} => forging = false,
            Fact::ViewChange { peer, to, .. } if stranger(peer) => {
                verdict.broken(
                    act.order,
                    format!("{} sees {peer} {to}, who has no key", act.source),
                );
            }
            Fact::GroupLeading {
                leader: Some(leader),
                ..
            } if stranger(leader) => {
                verdict.broken(
                    act.order,
                    format!("{} follows {leader}, who has no key", act.source),
                );
            }
            Fact::LeaseGranted(fact) if strangers.contains(act.source.as_str()) => {
                verdict.broken(
                    act.order,
                    format!("{}, who has no key, was granted {}", act.source, fact.lease),
                );
            }
            Fact::ViewChange { peer, to, .. } if forging => {
                let what = format!(
                    "{} sees {peer} {to} by messages that nobody sent",
                    act.source
                );
                verdict.broken(act.order, what);
            }
            Fact::GroupLeading { term, .. } if forging => {
                verdict.broken(
                    act.order,
                    format!(
                        "{} is in term {term} by messages that nobody sent",
                        act.source
                    ),
                );
            }
            Fact::LeaseLost(_) | Fact::LifeLost {} if forging => {
                verdict.broken(
                    act.order,
                    format!("{} lost a lease by messages that nobody sent", act.source),
                );
            }
            Fact::FleetRefused { peer, .. } => {
                verdict.checked += 1;
                verdict.count("refusals_told");
                let key = (act.source.as_str(), act.incarnation, peer.as_str());
                let before = refusals.insert(key, act.at_us);
                if before.is_some_and(|before| {
                    act.at_us.saturating_sub(before) < limits.refusals_apart_us
                }) {
                    let what = format!(
                        "{} tells of {peer}'s refused messages more than once a minute",
                        act.source
                    );
                    verdict.broken(act.order, what);
                }
            }
            Fact::Memory {
                member,
                bytes,
                limit,
            } => {
                verdict.checked += 1;
                verdict.most("most_memory_bytes", *bytes);
                if bytes > limit {
                    verdict.broken(
                        act.order,
                        format!("{member} has {bytes} bytes of memory, more than {limit}"),
                    );
                }
            }
            _ => {}
        }
    }
}
