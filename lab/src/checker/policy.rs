//! Promise 5: no request begins under an epoch after any conductor has begun one under a later epoch, all hold the same
//! policy under one number, and who does not hold an epoch begins nothing under it.

use super::facts::Fact;
use super::{Act, Limits, Verdict};
use std::collections::BTreeMap;

/// Checks a history.
pub fn check(acts: &[Act], _: &Limits, verdict: &mut Verdict) {
    let mut digests: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    let mut held: BTreeMap<(&str, u64), u64> = BTreeMap::new();
    let mut begins = Vec::new();
    for act in acts {
        let life = (act.source.as_str(), act.incarnation);
        let who = || format!("{}@{}", act.source, act.incarnation);
        match &act.fact {
            Fact::PolicyEpoch { epoch, digest } => {
                let (first, other) = *digests.entry(*epoch).or_insert((digest, &act.source));
                if first != digest {
                    let what = format!(
                        "epoch {epoch} is {first} at {other} and {digest} at {}",
                        act.source
                    );
                    verdict.broken(act.order, what);
                }
                if let Some(before) = held.insert(life, *epoch).filter(|before| before >= epoch) {
                    verdict.broken(
                        act.order,
                        format!("{} went from epoch {before} to {epoch}", who()),
                    );
                }
                verdict.most("epochs", *epoch);
            }
            Fact::PolicyBegin { epoch } => {
                verdict.checked += 1;
                if held.get(&life) != Some(epoch) {
                    let has = held.get(&life).map_or("none".to_owned(), u64::to_string);
                    let what = format!(
                        "{} began a request under epoch {epoch} and holds {has}",
                        who()
                    );
                    verdict.broken(act.order, what);
                }
                begins.push((act, *epoch));
            }
            _ => {}
        }
    }
    begins.sort_by_key(|(act, _)| (act.at_us, act.order));
    let mut latest: Option<(u64, &Act)> = None;
    for (act, epoch) in begins {
        match latest {
            Some((later, first)) if later > epoch => {
                let what = format!(
                    "{} began a request under epoch {epoch} after {} had begun one under {later}",
                    act.source, first.source
                );
                verdict.broken(act.order, what);
            }
            Some((same, _)) if same == epoch => {}
            _ => latest = Some((epoch, act)),
        }
    }
}
