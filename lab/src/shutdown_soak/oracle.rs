//! Holds the records of a round against the rules of a shutdown.

use super::clients::{Ending, RequestRecord};
use super::model_hosts::Forward;
use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

/// What comes whole later than this after SIGTERM has to have its final answer when the process is killed.
const LATE_AFTER: Duration = Duration::from_millis(700);
/// New connections have to be accepted for so long after SIGTERM.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(400);
/// A close crosses a request that began to be sent no longer before the close was seen: a hold-up of the router, and 100 ms
/// of this machine.
const CROSSING: Duration = Duration::from_millis(250);

/// What a round has seen beside the clients' records.
pub struct Evidence {
    /// SIGTERM had been sent.
    pub terminated: Instant,
    /// SIGKILL was about to be sent.
    pub killed: Instant,
    /// What reached the model hosts.
    pub forwards: Vec<Forward>,
    /// Idle clients fill the descriptors: new connections may be closed unread.
    pub has_crowd: bool,
    /// The router was told to stop as it started: it need not have listened.
    pub is_started_late: bool,
    /// How the router ended by itself, where that was not in order.
    pub failed_exit: Option<String>,
}

impl Evidence {
    /// What hosts saw of a request.
    pub fn forwards_of<'a>(&'a self, record: &RequestRecord) -> Vec<&'a Forward> {
        let all = self.forwards.iter();
        all.filter(|forward| forward.mark == record.mark).collect()
    }
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that came late was forwarded and under way at SIGKILL.
    LateAndCut,
    /// A request that came late had no answer at SIGKILL.
    LateAndUnanswered,
    /// A request that was forwarded ended without an answer before SIGKILL.
    ForwardedWithoutAnswer,
    /// A request whose connection had time to be read ended without an answer.
    TakenWithoutAnswer,
    /// A stream broke off before SIGKILL.
    BrokenOff,
    /// A request that must not run twice was rejected after it had reached a decode worker.
    RejectedAfterRun,
    /// A request that must not run twice reached decode workers twice.
    RunTwice,
    /// A new connection was refused too early.
    ConnectionRefused,
    /// The router ended by itself with a failure.
    FailedExit,
}

/// What the oracle says of a round.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Rules that were broken, and how often.
    pub broken: BTreeMap<Rule, usize>,
    /// Requests in all.
    pub requests: usize,
    /// Requests that came late.
    pub late: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that came in time and were under way at SIGKILL.
    pub cut_in_time: usize,
    /// Requests that a close crossed.
    pub crossed: usize,
}

impl Verdict {
    /// Whether every rule held.
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Verdict {
            broken,
            requests,
            late,
            rejected,
            cut_in_time,
            crossed,
        } = self;
        let kept = if self.is_kept() { "kept" } else { "BROKEN" };
        write!(
            f,
            "{kept}; {requests} requests, {late} late, {rejected} rejected, {crossed} crossed by a close, {cut_in_time} that came in time cut"
        )?;
        for (rule, count) in broken {
            write!(f, ", {rule:?} {count}")?;
        }
        Ok(())
    }
}

/// Judges all requests of a round.
pub fn judge(records: &[RequestRecord], evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict {
        requests: records.len(),
        ..Verdict::default()
    };
    for record in records {
        if let Some(rule) = broken_rule(record, evidence) {
            *verdict.broken.entry(rule).or_default() += 1;
        }
        let is_cut = record.ended >= evidence.killed;
        let has_no_end = matches!(record.ending, Ending::BrokeOff | Ending::NoAnswer);
        verdict.late += usize::from(is_late(record, evidence));
        verdict.rejected += usize::from(is_rejected(record));
        verdict.cut_in_time += usize::from(has_no_end && is_cut && !is_late(record, evidence));
        verdict.crossed += usize::from(record.ending == Ending::NoAnswer && !is_cut);
    }
    if evidence.failed_exit.is_some() {
        verdict.broken.insert(Rule::FailedExit, 1);
    }
    verdict
}

fn is_late(record: &RequestRecord, evidence: &Evidence) -> bool {
    let sent = !matches!(record.ending, Ending::NotConnected(_) | Ending::NotSent);
    sent && record.last_byte > evidence.terminated + LATE_AFTER
}

fn is_rejected(record: &RequestRecord) -> bool {
    matches!(record.ending, Ending::Answered { status: 429 | 503 })
}

/// The rule that a request shows to be broken, if any.
pub fn broken_rule(record: &RequestRecord, evidence: &Evidence) -> Option<Rule> {
    let forwards = evidence.forwards_of(record);
    let runs = forwards.iter().filter(|forward| forward.is_decode).count();
    if record.is_unsafe && runs > 1 {
        return Some(Rule::RunTwice);
    }
    let is_cut = record.ended >= evidence.killed;
    match record.ending {
        Ending::NotConnected(_) => {
            let begun = record.connect_begun.unwrap_or(record.first_byte);
            let is_early = begun < evidence.terminated + NEW_CONNECTIONS_FOR;
            let may_be_closed = evidence.has_crowd || evidence.is_started_late;
            (is_early && !may_be_closed).then_some(Rule::ConnectionRefused)
        }
        Ending::Answered { .. } => {
            let is_wrong = is_rejected(record) && record.is_unsafe && runs > 0;
            is_wrong.then_some(Rule::RejectedAfterRun)
        }
        Ending::BrokeOff | Ending::NoAnswer | Ending::NotSent if is_cut => {
            if !is_late(record, evidence) {
                None
            } else if forwards.is_empty() {
                Some(Rule::LateAndUnanswered)
            } else {
                Some(Rule::LateAndCut)
            }
        }
        Ending::BrokeOff => Some(Rule::BrokenOff),
        Ending::NoAnswer | Ending::NotSent if !forwards.is_empty() => {
            Some(Rule::ForwardedWithoutAnswer)
        }
        Ending::NotSent => None,
        Ending::NoAnswer => {
            let had_time = record.ended.saturating_duration_since(record.first_byte) > CROSSING;
            (had_time && !evidence.has_crowd).then_some(Rule::TakenWithoutAnswer)
        }
    }
}

#[cfg(test)]
mod tests;
