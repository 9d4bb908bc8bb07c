//! Promise 4: each named request ends in one final answer, the same wherever it is asked for; no tool call runs twice;
//! what must not run twice is not sent again; states are let go in time.

use super::facts::{Fact, HeldFact};
use super::{Act, Limits, Verdict};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct Request<'a> {
    /// Somebody was told of it, or something ran for it that must not run twice.
    counts: bool,
    gave_up: Option<u64>,
    answer: Option<(&'a str, Option<&'a str>, Option<i64>, &'a str)>,
    fresh_runs: u64,
    runs: u64,
}

/// Holds a history against the promise.
pub fn check(acts: &[Act], limits: &Limits, verdict: &mut Verdict) {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    let mut tools: BTreeMap<&str, u64> = BTreeMap::new();
    for act in acts {
        match &act.fact {
            Fact::ClientTaken { name } => requests.entry(name).or_default().counts = true,
            Fact::ClientGaveUp { name } => {
                requests.entry(name).or_default().gave_up = Some(act.order);
            }
            Fact::ClientFinal {
                name,
                at,
                kind,
                text,
                code,
            } => {
                let request = requests.entry(name).or_default();
                let answer = (kind.as_str(), text.as_deref(), *code, at.as_str());
                let (k, t, c, first) = *request.answer.get_or_insert(answer);
                if (k, t, c) != (answer.0, answer.1, answer.2) {
                    let told = |text: Option<&str>, code: Option<i64>| match (text, code) {
                        (Some(text), _) => format!("{text:?}"),
                        (None, code) => format!("error {}", code.unwrap_or(0)),
                    };
                    let what = format!(
                        "{name}: {first} answered {}, {at} answered {}",
                        told(t, c),
                        told(answer.1, answer.2)
                    );
                    verdict.broken(act.order, what);
                }
            }
            Fact::ToolRan { call } => {
                let runs = tools.entry(call).or_default();
                *runs += 1;
                if *runs > 1 {
                    verdict.broken(act.order, format!("tool call {call} ran {runs} times"));
                }
                if let Some((name, _)) = call.rsplit_once('/') {
                    requests.entry(name).or_default().counts = true;
                }
            }
            Fact::RunBegun {
                name,
                class,
                resumed,
            } => {
                let request = requests.entry(name).or_default();
                if !limits.unsafe_classes.contains(class) {
                    continue;
                }
                request.counts = true;
                if !resumed && request.runs > 0 {
                    verdict.broken(
                        act.order,
                        format!("{name} of class {class} was sent again after it had run"),
                    );
                }
                request.runs += 1;
                request.fresh_runs += u64::from(!resumed);
                if request.runs > 1 && *resumed {
                    verdict.count("resumed_runs");
                }
            }
            _ => {}
        }
    }
    verdict.figures.insert("tool_calls", tools.len() as u64);
    for (name, request) in requests.iter().filter(|(_, r)| r.counts) {
        verdict.checked += 1;
        match (&request.answer, request.gave_up) {
            (Some(_), _) => {}
            (None, Some(order)) => verdict.broken(order, format!("{name} has no final answer")),
            (None, None) => verdict.open += 1,
        }
    }
    states(acts, limits, verdict);
}

/// States: each one taken or let go in time. While a fault lasts time does not run: a conductor that is dead or cut off
/// has to be found dead first.
fn states(acts: &[Act], limits: &Limits, verdict: &mut Verdict) {
    let mut held: BTreeMap<&str, (u64, &str, u64)> = BTreeMap::new();
    let mut killed: BTreeSet<&str> = BTreeSet::new();
    let end = acts.last().map_or(0, |a| a.at_us);
    let late = |(since, name, order): (u64, &str, u64), now: u64, verdict: &mut Verdict| {
        let time = now.saturating_sub(since);
        verdict.most("state_held_us", time);
        if time > limits.release_us {
            verdict.broken(
                order,
                format!("{name}: its state was held for {time} us with no fault meanwhile"),
            );
        }
    };
    for act in acts {
        match &act.fact {
            Fact::StateHeld(HeldFact { id, name }) => {
                verdict.count("states");
                held.insert(id, (act.at_us, name, act.order));
            }
            Fact::StateTaken(HeldFact { id, .. }) | Fact::StateReleased(HeldFact { id, .. }) => {
                if let Some(state) = held.remove(id.as_str()) {
                    late(state, act.at_us, verdict);
                }
            }
            Fact::HostKilled { lost } => lost.iter().for_each(|id| _ = held.remove(id.as_str())),
            fact if fact.is_fault() => {
                if let Fact::Kill { member } = fact {
                    killed.insert(member);
                }
                held.values_mut()
                    .for_each(|(since, _, _)| *since = act.at_us);
            }
            _ => {}
        }
    }
    for state in held.into_values() {
        if end.saturating_sub(state.0) > limits.release_us {
            late(state, end, verdict);
        } else {
            verdict.open += 1;
            verdict.count("states_held_at_the_end");
        }
    }
    verdict
        .figures
        .insert("members_killed", killed.len() as u64);
}
