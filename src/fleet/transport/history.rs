//! The history: one structured log line per change of state. Event names, keys, values and targets are an interface for
//! programs that read the log; the text is for people.
//!
//! Every line has `event`, `at_us` (microseconds since 1970), `member` and `incarnation`. The events are described in
//! `docs/fleet.md`.

use crate::fleet::lease::{LeaseStatus, LeaseStatusChange, StatusChangeCause};
use crate::fleet::sites::{epoch::SiteState as AgreedState, watch};
use crate::fleet::{Index, LeaseName, MemberInstance, MemberName, Term, Token, membership};
use crate::routing::types::Micros;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Log target of all events but the frequent ones, which have targets of their own so that they can be disabled.
const TARGET: &str = "whinhaven::fleet";
/// Log target of the steps of single requests.
pub const WORK_TARGET: &str = "whinhaven::fleet::work";
/// Log target of lease renewals, which occur several times per lease duration.
pub const RENEWALS_TARGET: &str = "whinhaven::fleet::renewals";

/// Microseconds since 1970 by the system's clock. For the history and for new incarnation numbers; all timing uses the
/// monotonic clock.
pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

macro_rules! event {
    ($self:ident, $level:ident, $target:expr, $event:literal, at $at:expr, { $($values:tt)* }, $($text:tt)*) => {
        log::$level!(target: $target, event = $event, at_us = $at, member = $self.0.name.as_str(),
            incarnation = $self.0.incarnation.0, $($values)*; $($text)*)
    };
}

/// Writes the history of one member in one incarnation.
#[derive(Clone, Debug)]
pub struct History(pub MemberInstance);

impl History {
    /// An incarnation starts. `fresh` tells whether its store was just formatted.
    pub fn started(&self, site: &str, peer: SocketAddr, store: u64, fresh: bool) {
        let (me, peer) = (&self.0, peer.to_string());
        let store_kind = if fresh {
            "a new store"
        } else {
            "its existing store"
        };
        event!(self, info, TARGET, "fleet.start", at unix_us(),
            { site = site, peer = peer.as_str(), store = store, fresh = fresh },
            "fleet: {me} at site {site} starts from {store_kind}, peer address {peer}");
    }

    /// The member stops for good in this process.
    pub fn stopped(&self, cause: &str) {
        event!(self, info, TARGET, "fleet.stop", at unix_us(), { cause = cause }, "fleet: {} stops: {cause}", self.0);
    }

    /// The store failed, which ends the incarnation.
    pub fn store_failed(&self, error: &str) {
        event!(self, error, TARGET, "fleet.stop", at unix_us(), { cause = "store", error = error },
            "fleet: the store failed: {error}; this router stops acting. It rejoins once the store's directory can be \
             written again, or after a restart if the store's content is invalid");
    }

    /// A client has sent its request to another router, which has taken it over.
    pub fn request_moved(&self, request: &str) {
        event!(self, info, TARGET, "work.moved", at unix_us(), { request = request },
            "takeover: another router has taken over request {request}");
    }

    /// This router has claimed a request with an idempotency key.
    pub fn request_claimed(&self, request: &str, generation: u64) {
        event!(self, info, WORK_TARGET, "work.claimed", at unix_us(), { request = request, generation = generation },
            "takeover: claimed request {request}, generation {generation}");
    }

    /// A tool call is recorded in the log and is sent now.
    pub fn tool_call_started(&self, request: &str, ordinal: u32) {
        event!(self, info, WORK_TARGET, "call.out", at unix_us(), { request = request, ordinal = ordinal },
            "takeover: sending tool call {ordinal} of request {request}");
    }

    /// A tool call's outcome is recorded in the log.
    pub fn tool_call_recorded(&self, request: &str, ordinal: u32) {
        event!(self, info, WORK_TARGET, "call.ended", at unix_us(), { request = request, ordinal = ordinal },
            "takeover: recorded the outcome of tool call {ordinal} of request {request}");
    }

    /// A request's final answer is recorded in the log.
    pub fn answer_recorded(&self, request: &str) {
        event!(self, info, WORK_TARGET, "work.answered", at unix_us(), { request = request },
            "takeover: recorded the final answer of request {request}");
    }

    /// This member takes over the unfinished sends of an ended incarnation, to release their KV state.
    pub fn orphans_adopted(&self, ended: &MemberInstance, sends: usize) {
        let (peer, incarnation) = (ended.name.as_str(), ended.incarnation.0);
        event!(self, info, TARGET, "work.adopted", at unix_us(),
            { peer = peer, peer_incarnation = incarnation, sends = sends },
            "takeover: takes over {sends} sends of {ended}, which has ended, and releases them at the model hosts");
    }

    /// A model host has accepted the release of a send.
    pub fn send_released(&self, id: &str, worker: &str) {
        event!(self, info, TARGET, "work.released", at unix_us(), { id = id, worker = worker },
            "takeover: released the KV state of {id}, last sent to {worker}");
    }

    /// The membership status of a member changed.
    pub fn membership_changed(&self, change: &membership::StatusChange) {
        let (peer, incarnation, to) = (
            change.member.as_str(),
            change.incarnation.0,
            change.to.as_str(),
        );
        let (from, cause) = (
            change.from.map_or("unknown", membership::Status::as_str),
            change.cause.as_str(),
        );
        let by = match &change.cause {
            membership::Cause::ReportedBy(by) | membership::Cause::Refuted(by) => Some(by.as_str()),
            _ => None,
        };
        let site = change.site.as_str();
        event!(self, info, TARGET, "view.change", at unix_us(),
            { peer = peer, peer_incarnation = incarnation, site = site, from = from, to = to, cause = cause, by = by },
            "membership: {peer}@{incarnation} at {site} changed from {from} to {to} ({cause}{}{})",
            if by.is_some() { " by " } else { "" }, by.unwrap_or_default());
    }

    /// The known leader changed; `None`: no leader is known.
    pub fn leader_changed(&self, leader: Option<&MemberName>, term: Term) {
        let (leader, term) = (leader.map(MemberName::as_str), term.0);
        event!(self, info, TARGET, "group.leading", at unix_us(), { leader = leader, term = term },
            "raft: the leader in term {term} is {}", leader.unwrap_or("unknown"));
    }

    /// This member's status in a lease changed. `now` and the lease's end are read from the same monotonic clock.
    pub fn lease_changed(&self, change: &LeaseStatusChange, now: Micros) {
        let (at, lease, token) = (unix_us(), change.name.as_str(), change.token.map(|t| t.0));
        let until = (change.until > now).then(|| at + (change.until - now));
        let token_text = token.map_or("none".to_owned(), |t| t.to_string());
        match (change.from, change.to, change.cause) {
            (LeaseStatus::Held, LeaseStatus::Held, _) => {
                event!(self, info, RENEWALS_TARGET, "lease.renewed", at at,
                    { lease = lease, token = token, until_us = until }, "lease {lease}: renewed, token {token_text}");
            }
            (_, LeaseStatus::Held, _) => {
                event!(self, info, TARGET, "lease.granted", at at,
                    { lease = lease, token = token, until_us = until }, "lease {lease}: granted, token {token_text}");
            }
            (LeaseStatus::Held, _, StatusChangeCause::Released) => {
                event!(self, info, TARGET, "lease.released", at at, { lease = lease, token = token },
                    "lease {lease}: released, token {token_text}");
            }
            (LeaseStatus::Held, _, cause) => {
                let cause = cause_text(cause);
                event!(self, warn, TARGET, "lease.lost", at at, { lease = lease, token = token, cause = cause },
                    "lease {lease}: lost ({cause}), token {token_text}");
            }
            (_, to, cause) => {
                let (to, cause) = (
                    if to == LeaseStatus::Waiting {
                        "waiting"
                    } else {
                        "out"
                    },
                    cause_text(cause),
                );
                event!(self, debug, TARGET, "lease.standing", at at, { lease = lease, to = to, cause = cause },
                    "lease {lease}: not held, {to} ({cause})");
            }
        }
    }

    /// This member's session lease became valid or invalid.
    pub fn session_changed(&self, token: Option<Token>, gained: bool) {
        let token = token.map(|t| t.0);
        if gained {
            event!(self, info, TARGET, "life.gained", at unix_us(), { token = token },
                "session: the session lease is valid; this router may act");
        } else {
            event!(self, warn, TARGET, "life.lost", at unix_us(), { token = token },
                "session: the session lease is not valid; this router may not act and takes no new requests");
        }
    }

    /// An action was performed under a lease. `at` is the time just before the lease was checked.
    pub fn lease_acted(&self, at: u64, lease: &LeaseName, token: Token) {
        let (lease, token) = (lease.as_str(), token.0);
        event!(self, info, ACTS_TARGET, "lease.act", at at, { lease = lease, token = token },
            "lease {lease}: acted, token {token}");
    }

    /// The log entry at `index` ended an incarnation of a member.
    pub fn incarnation_ended(&self, instance: &MemberInstance, index: Index) {
        let (peer, incarnation, index) = (instance.name.as_str(), instance.incarnation.0, index.0);
        event!(self, info, TARGET, "life.ended", at unix_us(),
            { peer = peer, peer_incarnation = incarnation, index = index }, "session: incarnation {instance} was ended by log entry {index}");
    }

    /// Frames from a source were refused since the last such line for it.
    pub fn frames_refused(&self, peer: &str, reason: &str, times: u64) {
        event!(self, warn, TARGET, "fleet.refused", at unix_us(),
            { peer = peer, reason = reason, times = times },
            "fleet: refused {times} frames from {peer}; reason of the last one: {reason}");
    }

    /// A proposed policy is staged: all members vote on it.
    pub fn policy_proposed(&self, proposal: u64, digest: u64) {
        let digest = format!("{digest:016x}");
        event!(self, info, TARGET, "policy.proposed", at unix_us(),
            { proposal = proposal, digest = digest.as_str() },
            "policy: proposal {proposal}, digest {digest}, is staged for votes");
    }

    /// All members have accepted the proposal: new requests wait here until it is decided.
    pub fn policy_closing(&self, proposal: u64) {
        event!(self, info, TARGET, "policy.closing", at unix_us(), { proposal = proposal },
            "policy: all members accept proposal {proposal}; new requests wait for the switch");
    }

    /// A proposal ended without effect: rejected, aborted or only checked.
    pub fn policy_rejected(&self, proposal: u64, why: &str) {
        event!(self, info, TARGET, "policy.refused", at unix_us(), { proposal = proposal, why = why },
            "policy: proposal {proposal} ended without effect: {why}");
    }

    /// This member has switched to a policy epoch.
    pub fn policy_switched(&self, epoch: u64, digest: u64) {
        let digest = format!("{digest:016x}");
        event!(self, info, TARGET, "policy.epoch", at unix_us(), { epoch = epoch, digest = digest.as_str() },
            "policy: switched to epoch {epoch}, digest {digest}");
    }

    /// A request is admitted. `at` is the time just before the check.
    pub fn request_admitted(&self, at: u64, epoch: u64) {
        event!(self, info, BEGINS_TARGET, "policy.begin", at at, { epoch = epoch },
            "policy: admitted a request under epoch {epoch}");
    }

    /// This member's assessment of a site changed.
    pub fn site_status_changed(&self, site: &str, change: &watch::Change) {
        let (from, to) = (change.from.as_str(), change.to.as_str());
        let (missing, cause) = (change.missing.as_str(), change.cause.as_str());
        event!(self, info, TARGET, "site.state", at unix_us(),
            { site = site, from = from, to = to, missing = missing, cause = cause },
            "sites: {site} changed from {from} to {to}, missing {missing} ({cause})");
    }

    /// The fleet has agreed on another standing of a site.
    pub fn site_standing_changed(
        &self,
        epoch: u64,
        site: &str,
        from: AgreedState,
        to: AgreedState,
    ) {
        let [(from, _), (to, step)] = [from, to].map(|standing| match standing {
            AgreedState::Healthy => ("sound", None),
            AgreedState::Lost(_) => ("lost", None),
            AgreedState::Returning { step, .. } => ("returning", Some(step)),
        });
        event!(self, info, TARGET, "site.epoch", at unix_us(),
            { epoch = epoch, site = site, from = from, to = to, step = step },
            "sites: epoch {epoch}: agreed that {site} changes from {from} to {to}, step {}", step.unwrap_or_default());
    }

    /// All routers have applied a site epoch.
    pub fn site_settled(&self, epoch: u64) {
        event!(self, info, TARGET, "site.settled", at unix_us(), { epoch = epoch },
            "sites: epoch {epoch}: applied by all routers");
    }

    /// A warning that has no event of its own.
    pub fn note(&self, what: &str) {
        event!(self, warn, TARGET, "fleet.note", at unix_us(), { what = what }, "fleet: {what}");
    }
}

/// Log target of admissions of requests, one line each.
pub const BEGINS_TARGET: &str = "whinhaven::fleet::begins";
/// Log target of periodic actions under a lease.
pub const ACTS_TARGET: &str = "whinhaven::fleet::acts";

fn cause_text(cause: StatusChangeCause) -> &'static str {
    match cause {
        StatusChangeCause::Wanted => "wanted",
        StatusChangeCause::Granted => "granted",
        StatusChangeCause::Renewed => "renewed",
        StatusChangeCause::TimedOut => "ran_out",
        StatusChangeCause::Ended => "ended",
        StatusChangeCause::SessionLost => "life",
        StatusChangeCause::Released => "released",
    }
}
