//! Holds the records of a round against the rules, by what clients and hosts saw, and by the router's counters and log.

use super::behaviour::Behaviour;
use super::clients::{Ending, Request};
use super::hosts::{Forward, HostEnd};
use super::plan::ClientKind;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An answer may come this much after its deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A client may wait this long for the end of a stream after its last event.
const MAX_WAIT_FOR_END: Duration = Duration::from_secs(5);
/// No attempt may begin later than this after its client left.
const MAX_ATTEMPT_AFTER_LEAVE: Duration = Duration::from_millis(100);
/// A client that stops half way through a request has its answer or its end by then.
const MAX_STALL: Duration = Duration::from_secs(3);
/// What comes whole later than this after SIGTERM has to have its final answer when the process is killed.
const LATE_AFTER: Duration = Duration::from_millis(700);
/// What this machine and a hold-up of the router may add to a time.
const MACHINE: Duration = Duration::from_millis(250);

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No final answer, or too late.
    FinalAnswer,
    /// A client was left waiting on a stream that had stopped.
    LeftWaiting,
    /// A stream whose framing is spoilt was left open.
    LeftOnSpoilt,
    /// An event of a stream that was spoilt before it reached a client.
    SpoiltPassedOn,
    /// A stream was ended without a line in the log.
    Unlogged,
    /// Spoilt framing was not counted.
    Uncounted,
    /// A stream whose host was writing was cut off.
    CutOff,
    /// An answer with something of another request, or whole although its host had not ended it.
    Foreign,
    /// A request that must not run twice did.
    RunTwice,
    /// A request that may have run was rejected, which promises that it has not.
    RejectedAfterRun,
    /// An attempt began after its client had left.
    AttemptAfterLeave,
    /// A client that stopped half way through a request was left waiting.
    StalledClient,
    /// A request that came late in a shutdown was under way at the kill.
    LateAndCut,
    /// The router ended by itself with a failure, or was over its memory.
    Router,
}

/// What a round has seen beside the clients' records.
pub struct Evidence {
    /// What reached the model hosts.
    pub forwards: Vec<Forward>,
    /// All that happened, with the router's log.
    pub log: Vec<String>,
    /// When the router was asked for its counters.
    pub reported: Instant,
    /// SIGTERM had been sent.
    pub terminated: Instant,
    /// SIGKILL was about to be sent.
    pub killed: Instant,
    /// Whether the class `quote` must not run twice.
    pub is_quote_unsafe: bool,
    /// Idle clients fill the descriptors: connections may be closed unread.
    pub has_crowd: bool,
    /// What is wrong with the router's end.
    pub failure: Option<String>,
}

/// All broken rules, each with what shows it.
pub fn judge(requests: &[Request], evidence: &Evidence) -> Vec<(Rule, String)> {
    let mut by_mark: BTreeMap<&str, Vec<&Forward>> = BTreeMap::new();
    for forward in &evidence.forwards {
        by_mark.entry(&forward.mark).or_default().push(forward);
    }
    let mut broken = Vec::new();
    for request in requests {
        let forwards = by_mark
            .get(request.mark.as_str())
            .map_or(&[][..], Vec::as_slice);
        for rule in broken_rules(request, requests, forwards, evidence) {
            let after = |at: Instant| signed_ms(at, evidence.terminated);
            let what = format!(
                "begun {}, ended {} ms after SIGTERM: {request:?}, hosts: {forwards:?}",
                after(request.begun),
                after(request.ended)
            );
            broken.push((rule, what));
        }
    }
    broken.extend(uncounted_faults(requests, evidence).map(|what| (Rule::Uncounted, what)));
    broken.extend(
        evidence
            .failure
            .clone()
            .map(|failure| (Rule::Router, failure)),
    );
    broken
}

fn broken_rules(
    request: &Request,
    requests: &[Request],
    forwards: &[&Forward],
    evidence: &Evidence,
) -> Vec<Rule> {
    let is_unsafe = request.class == "send" || request.class == "quote" && evidence.is_quote_unsafe;
    let runs = forwards
        .iter()
        .filter(|forward| may_have_run(forward))
        .count();
    let is_cut = request.ended >= evidence.killed;
    let mut broken = Vec::new();
    if is_unsafe && runs > 1 {
        broken.push(Rule::RunTwice);
    }
    if is_unsafe && runs > 0 && is_rejected(request) {
        broken.push(Rule::RejectedAfterRun);
    }
    if request.ending == Ending::Left && attempt_after_leave(request, requests, forwards) {
        broken.push(Rule::AttemptAfterLeave);
    }
    if request.kind == ClientKind::Staller {
        if !is_cut && request.ended > request.begun + MAX_STALL + MACHINE {
            broken.push(Rule::StalledClient);
        }
        return broken;
    }
    broken.extend(check_spoilt_stream(request, forwards, evidence));
    broken.extend(check_answer(request, forwards, evidence));
    broken
}

/// What is wrong with a stream that its host has spoilt.
fn check_spoilt_stream(
    request: &Request,
    forwards: &[&Forward],
    evidence: &Evidence,
) -> Option<Rule> {
    let mut behaviours = forwards.iter().filter_map(|forward| forward.behaviour);
    if request.text.contains("]!") && behaviours.all(Behaviour::hides_spoilt_events) {
        return Some(Rule::SpoiltPassedOn);
    }
    if matches!(request.ending, Ending::Left | Ending::NotSent) || request.status != Some(200) {
        return None;
    }
    let last = forwards.iter().rev().find(|forward| may_have_run(forward));
    let spoilt = last.and_then(|last| last.spoilt)?;
    let seen_until = request.ended.min(evidence.killed);
    let is_left = seen_until > spoilt + MAX_WAIT_FOR_END + MACHINE;
    if is_left && request.kind != ClientKind::SlowReader {
        return Some(Rule::LeftOnSpoilt);
    }
    // The platform's front passes on the client's id, which the log names.
    let is_platform = request.mark.split('-').next()?.parse::<usize>().ok()? % 2 == 0;
    let is_over = request.ended + MACHINE < evidence.terminated;
    if request.ending != Ending::BrokeOff || !is_platform || !is_over {
        return None;
    }
    let line = format!("request {}: stream from ", request.mark);
    let is_logged = evidence.log.iter().any(|entry| entry.contains(&line));
    (!is_logged).then_some(Rule::Unlogged)
}

/// Spoilt framing that the router did not count.
fn uncounted_faults(requests: &[Request], evidence: &Evidence) -> Option<String> {
    let stays = |mark: &str| {
        let mut own = requests.iter().filter(|request| request.mark == mark);
        own.all(|request| matches!(request.kind, ClientKind::Keeper | ClientKind::SlowWriter))
    };
    let is_counted = |forward: &&Forward| {
        let is_fault = forward.behaviour.is_some_and(Behaviour::has_framing_fault);
        let is_over = forward
            .ended
            .is_some_and(|ended| ended + MACHINE < evidence.reported);
        is_fault && is_over && stays(&forward.mark)
    };
    let faults = evidence.forwards.iter().filter(is_counted).count();
    let counted = evidence.log.iter().find_map(|entry| {
        let counters = entry.split("counters: ").nth(1)?;
        let value = counters.split("framing_faults=").nth(1)?;
        value.split(' ').next()?.parse::<usize>().ok()
    });
    let counted = counted.unwrap_or_default();
    (counted < faults).then(|| format!("{faults} faults of the framing, {counted} counted"))
}

/// The time from `from` to `at` in milliseconds.
fn signed_ms(at: Instant, from: Instant) -> i128 {
    let after = at.saturating_duration_since(from).as_millis() as i128;
    after - from.saturating_duration_since(at).as_millis() as i128
}

fn may_have_run(forward: &Forward) -> bool {
    !matches!(forward.behaviour, None | Some(Behaviour::NotRun))
}

fn is_rejected(request: &Request) -> bool {
    matches!(request.ending, Ending::Answered(429 | 503))
}

fn attempt_after_leave(request: &Request, requests: &[Request], forwards: &[&Forward]) -> bool {
    let came_again = requests
        .iter()
        .filter(|other| other.mark == request.mark && other.begun > request.ended)
        .map(|other| other.begun)
        .min();
    forwards.iter().any(|forward| {
        let is_own = came_again.is_none_or(|again| forward.at < again);
        is_own && forward.at > request.ended + MAX_ATTEMPT_AFTER_LEAVE + MACHINE
    })
}

fn check_answer(request: &Request, forwards: &[&Forward], evidence: &Evidence) -> Option<Rule> {
    let Some(sent) = request.sent else {
        // The connection ended while a sound client was still sending, though not for a shutdown or a crowd.
        let is_early = request.ended < evidence.terminated && request.answered.is_none();
        return (is_early && !evidence.has_crowd).then_some(Rule::FinalAnswer);
    };
    if matches!(request.ending, Ending::Left | Ending::NotSent) {
        return None;
    }
    let is_slow_reader = request.kind == ClientKind::SlowReader;
    let seen_until = request.ended.min(evidence.killed);
    let final_answer = match request.status {
        Some(200) => request.first_event,
        _ => request.answered,
    };
    let latest = sent + request.deadline + ANSWER_GRACE + MACHINE;
    if final_answer.unwrap_or(seen_until) > latest && !is_slow_reader {
        return Some(Rule::FinalAnswer);
    }
    let last = forwards.iter().rev().find(|forward| may_have_run(forward));
    let is_writing = last.is_some_and(|last| last.behaviour.is_some_and(Behaviour::is_slow_writer));
    let waited = request
        .last_event
        .map(|at| seen_until.saturating_duration_since(at));
    let is_left = waited.is_some_and(|waited| waited > MAX_WAIT_FOR_END + MACHINE);
    if is_left && !is_writing && !is_slow_reader {
        return Some(Rule::LeftWaiting);
    }
    if request.ended >= evidence.killed {
        let is_late = sent > evidence.terminated + LATE_AFTER && sent + MACHINE < evidence.killed;
        return is_late.then_some(Rule::LateAndCut);
    }
    if request.answered.is_none() {
        // A close may cross a request that the router has not read.
        let may_cross = forwards.is_empty() && request.ended < request.begun + MACHINE;
        return (!may_cross).then_some(Rule::FinalAnswer);
    }
    let own_marks = request.text.matches(&format!("[{}]", request.mark)).count();
    let all_marks =
        request.text.matches("content\":\"[").count() + request.text.matches("text\":\"[").count();
    let is_sound = |behaviour: Option<Behaviour>| behaviour.is_some_and(Behaviour::is_sound);
    match request.ending {
        Ending::Answered(200) => {
            let is_whole =
                last.is_some_and(|last| is_sound(last.behaviour) && last.end == HostEnd::Done);
            let is_own = own_marks > 0 && own_marks == all_marks;
            (!(is_whole && is_own)).then_some(Rule::Foreign)
        }
        Ending::BrokeOff => {
            let is_cut_off =
                last.is_some_and(|last| is_sound(last.behaviour) && last.end == HostEnd::Closed);
            is_cut_off.then_some(Rule::CutOff)
        }
        _ => None,
    }
}
