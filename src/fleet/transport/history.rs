//! The history: one log line for each change of state, with key-values for whoever reads it by program.
//!
//! Every line has `event`, `at_us` (microseconds since 1970), `member` and `incarnation`. The lines are explained in
//! `docs/fleet.md`.

use crate::fleet::lease::{LeaseStatus, LeaseStatusChange, StatusChangeCause};
use crate::fleet::sites::{epoch::SiteState as Agreed, watch};
use crate::fleet::{Index, LeaseName, MemberInstance, MemberName, Term, Token, membership};
use crate::routing::types::Micros;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Where all but renewals go.
const TARGET: &str = "whinhaven::fleet";
/// Steps of single requests, for the same reason.
pub const WORK: &str = "whinhaven::fleet::work";
/// Renewals come all the time, so they can be turned off by themselves.
pub const RENEWALS: &str = "whinhaven::fleet::renewals";

/// Microseconds since 1970 by the system's clock. For the history only: all that is decided goes by the monotonic one.
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

/// Writes the history of one life.
#[derive(Clone, Debug)]
pub struct History(pub MemberInstance);

impl History {
    /// A life begins.
    pub fn start(&self, site: &str, peer: SocketAddr, store: u64, fresh: bool) {
        let (me, peer) = (&self.0, peer.to_string());
        let disk = if fresh { "an empty store" } else { "its store" };
        event!(self, info, TARGET, "fleet.start", at unix_us(),
            { site = site, peer = peer.as_str(), store = store, fresh = fresh },
            "fleet: {me} at site {site} begins from {disk}, peer address {peer}");
    }

    /// The life is over for this process.
    pub fn stop(&self, cause: &str) {
        event!(self, info, TARGET, "fleet.stop", at unix_us(), { cause = cause }, "fleet: {} stops: {cause}", self.0);
    }

    /// The store failed: this life is over.
    pub fn failed(&self, error: &str) {
        event!(self, error, TARGET, "fleet.stop", at unix_us(), { cause = "store", error = error },
            "fleet: the store failed: {error}; this conductor acts no more, and takes part again when the folder can be written to, or, where what it holds is wrong, \
             after a restart");
    }

    /// Another conductor has taken a request over, asked by its client.
    pub fn moved(&self, request: &str) {
        event!(self, info, TARGET, "work.moved", at unix_us(), { request = request },
            "takeover: request {request} goes on at another conductor");
    }

    /// A named request is in hand here.
    pub fn claimed(&self, request: &str, generation: u64) {
        event!(self, info, WORK, "work.claimed", at unix_us(), { request = request, generation = generation },
            "takeover: request {request} is in hand, generation {generation}");
    }

    /// A tool call is on record and goes out now.
    pub fn call_out(&self, request: &str, ordinal: u32) {
        event!(self, info, WORK, "call.out", at unix_us(), { request = request, ordinal = ordinal },
            "takeover: call {ordinal} of request {request} goes out");
    }

    /// A tool call's outcome is on record.
    pub fn call_ended(&self, request: &str, ordinal: u32) {
        event!(self, info, WORK, "call.ended", at unix_us(), { request = request, ordinal = ordinal },
            "takeover: call {ordinal} of request {request} has its outcome on record");
    }

    /// A request's final answer is on record.
    pub fn answered(&self, request: &str) {
        event!(self, info, WORK, "work.answered", at unix_us(), { request = request },
            "takeover: request {request} has its final answer on record");
    }

    /// This member releases what an ended life has left.
    pub fn adopted(&self, dead: &MemberInstance, sends: usize) {
        let (peer, life) = (dead.name.as_str(), dead.incarnation.0);
        event!(self, info, TARGET, "work.adopted", at unix_us(),
            { peer = peer, peer_incarnation = life, sends = sends },
            "takeover: adopts {sends} sends that {dead} has left at model hosts");
    }

    /// An adopted send was released, or no host took it.
    pub fn released(&self, id: &str, worker: &str) {
        event!(self, info, TARGET, "work.released", at unix_us(), { id = id, worker = worker },
            "takeover: released {id}, last sent to {worker}");
    }

    /// A belief about a member changed.
    pub fn view(&self, change: &membership::StatusChange) {
        let (peer, life, to) = (
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
            { peer = peer, peer_incarnation = life, site = site, from = from, to = to, cause = cause, by = by },
            "view: {peer}@{life} at {site} from {from} to {to} ({cause}{}{})",
            if by.is_some() { " by " } else { "" }, by.unwrap_or_default());
    }

    /// Another leader, or none.
    pub fn leading(&self, leader: Option<&MemberName>, term: Term) {
        let (leader, term) = (leader.map(MemberName::as_str), term.0);
        event!(self, info, TARGET, "group.leading", at unix_us(), { leader = leader, term = term },
            "group: {} leads in term {term}", leader.unwrap_or("nobody"));
    }

    /// This member's own standing to a lease changed. `until` is by the clock that reads `now`.
    pub fn lease(&self, change: &LeaseStatusChange, now: Micros) {
        let (at, lease, token) = (unix_us(), change.name.as_str(), change.token.map(|t| t.0));
        let until = (change.until > now).then(|| at + (change.until - now));
        let text = token.map_or("none".to_owned(), |t| t.to_string());
        match (change.from, change.to, change.cause) {
            (LeaseStatus::Held, LeaseStatus::Held, _) => {
                event!(self, info, RENEWALS, "lease.renewed", at at,
                    { lease = lease, token = token, until_us = until }, "lease {lease}: renewed, token {text}");
            }
            (_, LeaseStatus::Held, _) => {
                event!(self, info, TARGET, "lease.granted", at at,
                    { lease = lease, token = token, until_us = until }, "lease {lease}: granted, token {text}");
            }
            (LeaseStatus::Held, _, StatusChangeCause::Released) => {
                event!(self, info, TARGET, "lease.released", at at, { lease = lease, token = token },
                    "lease {lease}: released, token {text}");
            }
            (LeaseStatus::Held, _, cause) => {
                let cause = word(cause);
                event!(self, warn, TARGET, "lease.lost", at at, { lease = lease, token = token, cause = cause },
                    "lease {lease}: lost ({cause}), token {text}");
            }
            (_, to, cause) => {
                let (to, cause) = (
                    if to == LeaseStatus::Waiting {
                        "waiting"
                    } else {
                        "out"
                    },
                    word(cause),
                );
                event!(self, debug, TARGET, "lease.standing", at at, { lease = lease, to = to, cause = cause },
                    "lease {lease}: {to} ({cause})");
            }
        }
    }

    /// This member gained or lost its right to act.
    pub fn life(&self, token: Option<Token>, gained: bool) {
        let token = token.map(|t| t.0);
        if gained {
            event!(self, info, TARGET, "life.gained", at unix_us(), { token = token },
                "life: this conductor may act");
        } else {
            event!(self, warn, TARGET, "life.lost", at unix_us(), { token = token },
                "life: this conductor may not act; it takes nothing new");
        }
    }

    /// Something was done under a lease. `at` was read before the right was looked up.
    pub fn act(&self, at: u64, lease: &LeaseName, token: Token) {
        let (lease, token) = (lease.as_str(), token.0);
        event!(self, info, ACTS, "lease.act", at at, { lease = lease, token = token },
            "lease {lease}: acted, token {token}");
    }

    /// The log has ended a life of a member.
    pub fn death(&self, who: &MemberInstance, index: Index) {
        let (peer, life, index) = (who.name.as_str(), who.incarnation.0, index.0);
        event!(self, info, TARGET, "life.ended", at unix_us(),
            { peer = peer, peer_incarnation = life, index = index }, "life: {who} has ended, entry {index}");
    }

    /// Frames of a source were refused since the last such line.
    pub fn refused(&self, peer: &str, reason: &str, times: u64) {
        event!(self, warn, TARGET, "fleet.refused", at unix_us(),
            { peer = peer, reason = reason, times = times },
            "fleet: {times} frames of {peer} refused, the last one for {reason}");
    }

    /// A change of policy is looked at.
    pub fn policy_proposed(&self, proposal: u64, digest: u64) {
        let digest = format!("{digest:016x}");
        event!(self, info, TARGET, "policy.proposed", at unix_us(),
            { proposal = proposal, digest = digest.as_str() },
            "policy: proposal {proposal}, digest {digest}, is looked at");
    }

    /// All have voted yes: nothing begins here until the change is decided.
    pub fn policy_closing(&self, proposal: u64) {
        event!(self, info, TARGET, "policy.closing", at unix_us(), { proposal = proposal },
            "policy: proposal {proposal} closes: new requests wait");
    }

    /// A change of policy is in force nowhere.
    pub fn policy_refused(&self, proposal: u64, why: &str) {
        event!(self, info, TARGET, "policy.refused", at unix_us(), { proposal = proposal, why = why },
            "policy: proposal {proposal} is in force nowhere: {why}");
    }

    /// This member has gone over.
    pub fn policy_epoch(&self, epoch: u64, digest: u64) {
        let digest = format!("{digest:016x}");
        event!(self, info, TARGET, "policy.epoch", at unix_us(), { epoch = epoch, digest = digest.as_str() },
            "policy: epoch {epoch}, digest {digest}, is in force here");
    }

    /// A request begins. `at` was read before it was looked up whether it may.
    pub fn policy_begin(&self, at: u64, epoch: u64) {
        event!(self, info, BEGINS, "policy.begin", at at, { epoch = epoch },
            "policy: a request begins under epoch {epoch}");
    }

    /// This member takes a site for something else.
    pub fn site(&self, site: &str, change: &watch::Change) {
        let (from, to) = (change.from.as_str(), change.to.as_str());
        let (missing, cause) = (change.missing.as_str(), change.cause.as_str());
        event!(self, info, TARGET, "site.state", at unix_us(),
            { site = site, from = from, to = to, missing = missing, cause = cause },
            "sites: {site} from {from} to {to}, missing {missing} ({cause})");
    }

    /// The group has agreed on something about a site.
    pub fn site_epoch(&self, epoch: u64, site: &str, from: Agreed, to: Agreed) {
        let [(from, _), (to, step)] = [from, to].map(|standing| match standing {
            Agreed::Healthy => ("sound", None),
            Agreed::Lost(_) => ("lost", None),
            Agreed::Returning { step, .. } => ("returning", Some(step)),
        });
        event!(self, info, TARGET, "site.epoch", at unix_us(),
            { epoch = epoch, site = site, from = from, to = to, step = step },
            "sites: epoch {epoch}: {site} from {from} to {to}, step {}", step.unwrap_or_default());
    }

    /// All conductors have stepped.
    pub fn site_settled(&self, epoch: u64) {
        event!(self, info, TARGET, "site.settled", at unix_us(), { epoch = epoch },
            "sites: epoch {epoch}: all have stepped");
    }

    /// Something else that is to be known.
    pub fn note(&self, what: &str) {
        event!(self, warn, TARGET, "fleet.note", at unix_us(), { what = what }, "fleet: {what}");
    }
}

/// Beginnings of requests come all the time, so they can be turned off by themselves.
pub const BEGINS: &str = "whinhaven::fleet::begins";
/// Acts come once a period, so they can be turned off by themselves.
pub const ACTS: &str = "whinhaven::fleet::acts";

fn word(cause: StatusChangeCause) -> &'static str {
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
