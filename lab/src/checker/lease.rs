//! Promise 2: no two holders of one name act at overlapping times; tokens rise strictly.
//!
//! Acts are put in order by the one clock of the machine. Where every act carries a token at least as high as all
//! before it, and equal ones come from one holder, the times in which holders act can't overlap.

use super::facts::{Fact, LeaseFact};
use super::{Act, Limits, Verdict};
use std::collections::{BTreeMap, BTreeSet};

/// A member in one life.
type Holder = (String, u64);

/// Holds a history against the promise.
pub fn check(acts: &[Act], _: &Limits, verdict: &mut Verdict) {
    let mut granted: BTreeMap<(&str, u64), Holder> = BTreeMap::new();
    let mut last: BTreeMap<(&str, Holder), u64> = BTreeMap::new();
    let mut ended: BTreeSet<(&str, u64, Holder)> = BTreeSet::new();
    let mut dead: BTreeSet<Holder> = BTreeSet::new();
    let mut buried: BTreeMap<Holder, u64> = BTreeMap::new();
    let mut done: Vec<(&Act, &LeaseFact)> = Vec::new();
    for act in acts {
        let holder: Holder = (act.source.clone(), act.incarnation);
        // The right to act is the life lease; what a member says of it besides may come a moment later.
        let is_life = |lease: &str| lease.strip_prefix("life/") == Some(act.source.as_str());
        match &act.fact {
            Fact::LeaseGranted(LeaseFact { lease, token }) => {
                verdict.checked += 1;
                verdict.count("grants");
                if is_life(lease) {
                    dead.remove(&holder);
                }
                let first = granted
                    .entry((lease.as_str(), *token))
                    .or_insert_with(|| holder.clone());
                if *first != holder {
                    let (name, life) = first;
                    let what = format!(
                        "{lease}: token {token} was granted to {name}@{life} and to {}@{}",
                        act.source, act.incarnation
                    );
                    verdict.broken(act.order, what);
                }
                // The same one again: it ran out at its holder, and the group had renewed it all the while.
                ended.remove(&(lease.as_str(), *token, holder.clone()));
                let before = last.insert((lease.as_str(), holder.clone()), *token);
                if before.is_some_and(|before| before > *token) {
                    let what = format!(
                        "{lease}: {} was granted token {token} after {before:?}",
                        act.source
                    );
                    verdict.broken(act.order, what);
                }
            }
            Fact::LeaseLost(LeaseFact { lease, token })
            | Fact::LeaseReleased(LeaseFact { lease, token }) => {
                if is_life(lease) {
                    dead.insert(holder.clone());
                }
                ended.insert((lease.as_str(), *token, holder));
            }
            Fact::LifeEnded {
                peer,
                peer_incarnation,
            } => {
                let at = buried
                    .entry((peer.clone(), *peer_incarnation))
                    .or_insert(act.at_us);
                *at = act.at_us.min(*at);
            }
            Fact::LifeGained {} => _ = dead.remove(&holder),
            Fact::LifeLost {} => _ = dead.insert(holder),
            Fact::LeaseAct(fact) => {
                let LeaseFact { lease, token } = fact;
                verdict.checked += 1;
                verdict.count("acts");
                let who = format!("{}@{}", act.source, act.incarnation);
                if granted.get(&(lease.as_str(), *token)) != Some(&holder) {
                    verdict.broken(
                        act.order,
                        format!("{lease}: {who} acted under token {token}, never granted to it"),
                    );
                }
                if ended.contains(&(lease.as_str(), *token, holder.clone())) {
                    verdict.broken(
                        act.order,
                        format!("{lease}: {who} acted under token {token} after it had ended"),
                    );
                }
                if dead.contains(&holder) {
                    verdict.broken(
                        act.order,
                        format!("{lease}: {who} acted though it may not act"),
                    );
                }
                done.push((act, fact));
            }
            _ => {}
        }
    }
    done.sort_by_key(|(act, _)| (act.at_us, act.order));
    let mut acting: BTreeMap<&str, (u64, &Act)> = BTreeMap::new();
    for (act, LeaseFact { lease, token }) in done {
        if buried
            .get(&(act.source.clone(), act.incarnation))
            .is_some_and(|at| act.at_us > *at)
        {
            let what = format!(
                "{lease}: {}@{} acted after its life was ended",
                act.source, act.incarnation
            );
            verdict.broken(act.order, what);
        }
        if let Some((before, other)) = acting.get(lease.as_str()) {
            let same = (&act.source, act.incarnation) == (&other.source, other.incarnation);
            if token < before || token == before && !same {
                let what = format!(
                    "{lease}: {}@{} acted under token {token} after {}@{} had under {before}: two holders at a time",
                    act.source, act.incarnation, other.source, other.incarnation
                );
                verdict.broken(act.order, what);
                continue;
            }
            if token > before && !same {
                verdict.count("moves");
            }
        }
        acting.insert(lease, (*token, act));
    }
}
