//! Membership and failure detection: SWIM with suspicion, Lifeguard's refinements and memberlist's push-pull.
//!
//! [`Membership`] is a state machine without clock, sockets or random source of its own: it takes an [`Event`] and the
//! time, and appends [`Action`]s. In each protocol period it probes one member of a shuffled round. A member that
//! answers neither the direct nor the indirect pings is suspected, and dead once the suspicion has timed out without a
//! refutation. Updates are piggybacked on pings and acks. Reasons and figures: `docs/design/view.md`.
//!
//! Which statements are believed:
//!
//! - **A new member or a new incarnation**: from the member itself only. A report of another member makes the local one
//!   ping it; if it cannot be reached, two members that report the same are enough.
//! - **A refutation** (alive, raised within an incarnation): from any member, as long as it rises by no more than
//!   [`MAX_REFUTATION_INCREASE`].
//! - **A suspicion**: from any member. The suspected one can refute it.
//! - **Death and leave**: a report of either is only a suspicion. A member is dead when its suspicion has timed out
//!   locally. It has left when it said so itself, or when a suspicion after such a report has timed out locally.
//! - **From a dead or left member** nothing is believed but its own refutation.
//!
//! Unlike in SWIM, the incarnation identifies a run of the process, and refutations are counted separately within it.

mod config;
mod dissemination;
mod message;
mod probe;
mod push_pull;
mod suspicion;
mod table;
mod types;
mod updates;
mod verification;

pub use config::{Config, ConfigError, SuspicionTimeouts};
pub use message::{MemberRecord, MemberUpdate, Message, MessageKind, UpdateKind};
pub use types::{Action, Cause, Counters, Event, LocalMember, Member, Status, StatusChange};

use super::MemberName;
use crate::routing::types::Micros;
use dissemination::BroadcastQueue;
use probe::{IndirectProbe, Probe, ProbeRound};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use suspicion::Suspicion;
use table::Random;
use verification::UnverifiedMember;

/// The most by which one update raises a refutation. So no update brings a live member's refutation to the end of its
/// range, after which it could refute no more.
pub const MAX_REFUTATION_INCREASE: u32 = 1024;
/// Most updates read from one datagram.
pub const MAX_UPDATES_PER_DATAGRAM: usize = 128;
/// Most indirect pings served at the same time.
pub const MAX_INDIRECT_PROBES: usize = 64;
/// Most push-pulls answered in a period.
pub const MAX_PUSH_PULLS_PER_PERIOD: u32 = 64;
/// Seeds that a joining member contacts in a period.
const SEEDS_PER_PERIOD: usize = 3;

/// One member's state of the membership protocol: see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    local_name: MemberName,
    config: Config,
    random: Random,
    now: Micros,
    started: bool,
    left: bool,
    members: BTreeMap<MemberName, Member>,
    round: ProbeRound,
    probe: Option<Probe>,
    next_probe: Micros,
    /// When budgets are renewed and verification pings are sent; not slowed by the health multiplier.
    next_period: Micros,
    last_probe_number: u32,
    indirect_probes: Vec<IndirectProbe>,
    suspicions: BTreeMap<MemberName, Suspicion>,
    unverified: BTreeMap<MemberName, UnverifiedMember>,
    /// Verification pings left in this period.
    verification_budget: u32,
    /// Push-pulls that may still be answered in this period.
    push_pull_budget: u32,
    /// Whether this period's push-pull with a member that comes back is still to be had.
    may_push_pull_on_return: bool,
    broadcasts: BroadcastQueue,
    next_push_pull: Option<Micros>,
    next_reconnect: Option<Micros>,
    health: u32,
    /// Whether the local member has refuted since the last ack. Only the first refutation worsens its health.
    refuted_since_ack: bool,
    seeds: BTreeMap<MemberName, SocketAddr>,
    /// Whether a table has been received in reply since the join.
    joined: bool,
    counters: Counters,
}

impl Membership {
    /// A membership that knows the local member only. `seed` determines all random choices.
    pub fn new(local: LocalMember, config: Config, seed: u64) -> Membership {
        let member = Member {
            name: local.name.clone(),
            site: local.site,
            address: local.address,
            incarnation: local.incarnation,
            refutation: 0,
            status: Status::Alive,
            since: 0,
        };
        Membership {
            members: BTreeMap::from([(local.name.clone(), member)]),
            local_name: local.name,
            random: Random::new(seed),
            now: 0,
            started: false,
            left: false,
            round: ProbeRound::default(),
            probe: None,
            next_probe: 0,
            next_period: 0,
            last_probe_number: 0,
            indirect_probes: Vec::new(),
            suspicions: BTreeMap::new(),
            unverified: BTreeMap::new(),
            verification_budget: config.max_verification_pings,
            push_pull_budget: MAX_PUSH_PULLS_PER_PERIOD,
            may_push_pull_on_return: true,
            broadcasts: BroadcastQueue::new(),
            next_push_pull: None,
            next_reconnect: None,
            health: 0,
            refuted_since_ack: false,
            seeds: BTreeMap::new(),
            joined: false,
            counters: Counters::default(),
            config,
        }
    }

    /// All known members by name, the local one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member by its name.
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.members.get(name)
    }

    /// The local member.
    pub fn local_member(&self) -> &Member {
        &self.members[&self.local_name]
    }

    /// The local health multiplier (Lifeguard): 0 is healthy, [`Config::max_health_multiplier`] the worst. Probes are
    /// slowed by that many periods.
    pub fn health_multiplier(&self) -> u32 {
        self.health
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// When [`Membership::handle`] is to be called with [`Event::Tick`]; `None` after the leave.
    pub fn timeout(&self) -> Option<Micros> {
        if self.left {
            return None;
        }
        if !self.started {
            return Some(0);
        }
        let probe = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        let indirect_probes = self.indirect_probes.iter().map(|probe| probe.deadline);
        let suspicions = self.suspicions.values().map(|suspicion| suspicion.deadline);
        [probe, self.next_push_pull, self.next_reconnect]
            .into_iter()
            .flatten()
            .chain(indirect_probes)
            .chain(suspicions)
            .chain([self.next_probe, self.next_period])
            .min()
    }

    /// Handles an event and appends the actions that follow. `now` never goes back. After a leave nothing happens.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.now = self.now.max(now);
        if self.started {
            self.compensate_stall();
        } else {
            self.start_timers();
        }
        match event {
            Event::Tick => {}
            Event::Join { seeds } => self.join(seeds, out),
            Event::Message { from, message } => self.on_message(from, message, out),
            Event::Leave => return self.leave(out),
            Event::ContactedElsewhere(name) => self.on_contacted_elsewhere(&name, out),
        }
        self.run_timers(out);
    }

    /// Sets all timers, at random offsets so that members do not act in step.
    fn start_timers(&mut self) {
        self.started = true;
        let now = self.now;
        if let Some(local) = self.members.get_mut(&self.local_name) {
            local.since = now;
        }
        self.next_probe = now + self.random.below(self.config.period());
        self.next_period = self.next_probe;
        if let Some(interval) = self.config.push_pull_interval() {
            self.next_push_pull = Some(now + interval / 2 + self.random.below(interval));
        }
        if let Some(interval) = self.config.reconnect_interval() {
            self.next_reconnect = Some(now + interval / 2 + self.random.below(interval));
        }
    }

    /// If the local process itself stood still for longer than a period, suspected members get that time back.
    fn compensate_stall(&mut self) {
        let Some(due) = self.timeout() else { return };
        let stalled_for = self.now.saturating_sub(due);
        if stalled_for <= self.config.period() {
            return;
        }
        self.counters.stalls += 1;
        self.adjust_health(1);
        for suspicion in self.suspicions.values_mut() {
            suspicion.started += stalled_for;
            suspicion.deadline += stalled_for;
        }
        // Pings from before the stall tell nothing: their acks may have come and gone.
        self.probe = None;
        self.indirect_probes.clear();
    }

    fn run_timers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let is_due = |at: Option<Micros>| at.is_some_and(|at| at <= now);
        if is_due(self.probe.as_ref().and_then(|probe| probe.indirect_at)) {
            self.send_indirect_pings(out);
        }
        self.expire_indirect_probes(out);
        self.expire_suspicions(out);
        if self.next_period <= now {
            self.start_period(out);
        }
        if self.next_probe <= now {
            self.start_probe(out);
        }
        if is_due(self.next_push_pull) {
            self.run_push_pull(out);
        }
        if is_due(self.next_reconnect) {
            self.reconnect(out);
        }
    }

    /// Starts a protocol period: renews the budgets, and does what does not depend on the local health.
    fn start_period(&mut self, out: &mut Vec<Action>) {
        self.next_period = self.now + self.config.period();
        self.verification_budget = self.config.max_verification_pings;
        self.push_pull_budget = MAX_PUSH_PULLS_PER_PERIOD;
        self.may_push_pull_on_return = true;
        self.reap();
        if !self.joined && !self.seeds.is_empty() {
            self.contact_seeds(out);
        }
        self.run_verification(out);
    }

    /// Another channel heard from the member: that answers a probe, and is a reason to let it refute.
    fn on_contacted_elsewhere(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        if self.is_probed(name) {
            self.on_probe_answered();
        }
        if let Some(member) = self.members.get(name)
            && member.status > Status::Alive
        {
            self.request_refutation(name, out);
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        let others: Vec<_> = self
            .members
            .values()
            .filter(|member| member.name != self.local_name && member.status.is_active())
            .map(|member| (member.name.clone(), member.address))
            .collect();
        for (name, address) in others {
            self.send_datagram(&name, address, MessageKind::Leave, out);
        }
        let local_name = self.local_name.clone();
        self.transition(&local_name, Status::Left, Cause::Leaving, out);
        self.left = true;
    }
}
