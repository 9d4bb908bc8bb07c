//! The view: what this member believes of all others (SWIM with suspicion, and Lifeguard's refinements).
//!
//! [`View`] is a machine without clock, sockets or random source of its own. Each period it probes one member, in a
//! shuffled round; one that answers neither directly nor through helpers is suspected, and dead once the suspicion has
//! run out unrefuted. News ride on probes and answers. Why it is built so, with figures: `docs/design/view.md`.
//!
//! What is believed of whom:
//!
//! - **A new member or a new life**: from its own mouth only. Hearsay of one is a reason to ping it. Where it can't be
//!   reached, two members who say the same are enough.
//! - **A refutation** (alive, raised within a life): from anybody, as long as it rises by no more than [`MOST_RISE`].
//! - **Suspicion**: from anybody. The suspected can refute it.
//! - **Death and leave**: hearsay of either is only a suspicion. Dead is a member whose suspicion ran out here; left is
//!   one that said so itself, or whose suspicion after such hearsay ran out here.
//! - **Of one held dead or left** nothing is believed but that it lives, once it has refuted.

use super::{Incarnation, MemberName, SiteName};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most by which one claim raises a refutation. So no claim brings a live member's refutation to the end of its
/// range, after which it could refute no more.
pub const MAX_REFUTATION_INCREASE: u32 = 1024;
/// The most news that are looked at in one datagram.
pub const MAX_UPDATES_PER_DATAGRAM: usize = 128;
/// The most indirect probes served at the same time.
pub const MAX_INDIRECT_PROBES: usize = 64;
/// The most push-pulls answered in a period.
pub const MAX_PUSH_PULLS_PER_PERIOD: u32 = 64;
/// How many pings a hearsay is worth.
const TRIES: u32 = 3;
/// How many seeds a joining member asks in a period.
const SEEDS_AT_ONCE: usize = 3;

/// Who this member is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalMember {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
}

/// How the view works. Times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// A protocol period: one member is probed in each.
    pub period_ms: u64,
    /// How long the answer to a direct ping is waited for before helpers are asked. Below half a period.
    pub probe_timeout_ms: u64,
    /// How many helpers are asked for an indirect probe.
    #[serde(rename = "indirect")]
    pub indirect_probes: usize,
    /// The shortest suspicion: so many periods for each power of ten of the fleet's size, and never fewer than that.
    pub suspicion_multiplier: u32,
    /// The longest suspicion, in shortest ones: an unconfirmed one lasts that long.
    #[serde(rename = "suspicion_longest")]
    pub suspicion_max_multiplier: u32,
    /// How many further members must suspect the same one until its suspicion is at the shortest.
    pub confirmations: u32,
    /// How often a piece of news is sent: so many times for each power of ten of the fleet's size, rounded up.
    pub retransmit_multiplier: u32,
    /// How often whole tables are exchanged with a random live member; less often above 32 members. 0: never.
    pub push_pull_ms: u64,
    /// How often one that is held dead or left, or a seed that is not known to live, is pinged. It is told that it is held
    /// dead and can refute, so partitions heal. 0: never.
    pub reconnect_ms: u64,
    /// How many members are pinged in a period to see whether hearsay of them is true.
    #[serde(rename = "verify")]
    pub max_verification_pings: u32,
    /// How long the dead and the left are kept in the table.
    #[serde(rename = "forget_ms")]
    pub reap_after_ms: u64,
    /// The most that a member's own bad health slows its probes: by so many periods.
    #[serde(rename = "most_health")]
    pub max_health_multiplier: u32,
    /// The most members in the table, this one included.
    #[serde(rename = "most_members")]
    pub max_members: usize,
    /// The most bytes of a message that goes out as a datagram.
    #[serde(rename = "most_bytes")]
    pub max_datagram_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            period_ms: 500,
            probe_timeout_ms: 150,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            suspicion_max_multiplier: 6,
            confirmations: 3,
            retransmit_multiplier: 4,
            push_pull_ms: 30_000,
            reconnect_ms: 2_000,
            max_verification_pings: 16,
            reap_after_ms: 86_400_000,
            max_health_multiplier: 8,
            max_members: 1024,
            max_datagram_bytes: 1200,
        }
    }
}

/// Settings that can't work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("view settings: {0}")]
pub struct ConfigError(pub &'static str);

impl Config {
    /// Says what can't work in them. The view itself runs with any settings and takes the nearest that can.
    pub fn validate(&self) -> Result<(), ConfigError> {
        let wrong = |bad: bool, what| {
            if bad { Err(ConfigError(what)) } else { Ok(()) }
        };
        wrong(self.period_ms == 0, "period_ms must be above 0")?;
        wrong(
            self.period_ms > 3_600_000,
            "period_ms must be at most an hour",
        )?;
        wrong(
            self.probe_timeout_ms == 0,
            "probe_timeout_ms must be above 0",
        )?;
        wrong(
            self.probe_timeout_ms * 2 >= self.period_ms,
            "probe_timeout_ms must be below half of period_ms",
        )?;
        wrong(
            self.suspicion_multiplier == 0,
            "suspicion_multiplier must be above 0",
        )?;
        wrong(
            self.suspicion_max_multiplier == 0,
            "suspicion_longest must be above 0",
        )?;
        wrong(
            self.retransmit_multiplier == 0,
            "retransmit_multiplier must be above 0",
        )?;
        wrong(self.max_members < 2, "most_members must be at least 2")?;
        wrong(
            self.max_members > 65_536,
            "most_members must be at most 65536",
        )?;
        wrong(
            self.max_datagram_bytes < 512,
            "most_bytes must be at least 512",
        )?;
        wrong(
            self.max_datagram_bytes > 65_000,
            "most_bytes must be at most 65000",
        )
    }

    fn micros(ms: u64) -> Micros {
        ms.saturating_mul(1000).clamp(1, 1 << 50)
    }

    fn period(&self) -> Micros {
        Config::micros(self.period_ms)
    }

    fn probe_timeout(&self) -> Micros {
        Config::micros(self.probe_timeout_ms).min((self.period() / 2).max(1))
    }

    /// The shortest and the longest suspicion in a fleet of `members`.
    pub fn suspicion(&self, members: usize) -> (Micros, Micros) {
        let tens = (members.max(10) as f64).log10();
        let least =
            (f64::from(self.suspicion_multiplier.max(1)) * tens * self.period() as f64) as Micros;
        let least = least.min(1 << 56);
        (
            least,
            least
                .saturating_mul(u64::from(self.suspicion_max_multiplier.max(1)))
                .min(1 << 57),
        )
    }

    /// How often a piece of news is sent in a fleet of `members`.
    pub fn retransmits(&self, members: usize) -> u32 {
        let tens = ((members + 1) as f64).log10().ceil() as u32;
        self.retransmit_multiplier.saturating_mul(tens.max(1))
    }
}

/// What a member is held to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer; it can refute that.
    Suspect,
    /// It did not refute in time. It comes back as soon as it is heard to refute.
    Dead,
    /// It said that it goes.
    Left,
}

impl Status {
    /// As log lines have it.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Suspect => "suspect",
            Status::Dead => "dead",
            Status::Left => "left",
        }
    }
}

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Where it says that it is reached.
    pub address: SocketAddr,
    /// Its latest known life.
    pub incarnation: Incarnation,
    /// How often it has refuted within that life.
    pub refutation: u32,
    /// What it is held to be.
    pub status: Status,
    /// Since when, on this member's clock.
    pub since: Micros,
}

/// Why a belief changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Cause {
    /// The member itself was heard.
    Heard,
    /// It answered neither a ping nor the helpers.
    #[serde(rename = "unanswered")]
    ProbeFailed,
    /// That member said so.
    #[serde(rename = "told")]
    ReportedBy(MemberName),
    /// Its suspicion ran out.
    #[serde(rename = "expired")]
    SuspicionExpired,
    /// It said that it leaves.
    Leaving,
    /// It refuted what that member said of it.
    Refuted(MemberName),
}

impl Cause {
    /// As log lines have it.
    pub fn as_str(&self) -> &'static str {
        match self {
            Cause::Heard => "heard",
            Cause::ProbeFailed => "unanswered",
            Cause::ReportedBy(_) => "told",
            Cause::SuspicionExpired => "expired",
            Cause::Leaving => "leaving",
            Cause::Refuted(_) => "refuted",
        }
    }
}

/// A belief changed. The member's own entry changes at its leave, and from alive to alive when it refutes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusChange {
    /// Of whom.
    pub member: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it was held to be; none if it was not known.
    pub from: Option<Status>,
    /// What it is held to be now.
    pub to: Status,
    /// Why.
    pub cause: Cause,
}

/// What a message's sender says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its site.
    pub site: SiteName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its life.
    pub incarnation: Incarnation,
    /// How often it has refuted within that life.
    pub refutation: u32,
}

/// What one member claims of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UpdateKind {
    /// It lives, there.
    Alive {
        /// Its site.
        site: SiteName,
        /// Where it is reached.
        address: SocketAddr,
    },
    /// It did not answer that member.
    Suspect {
        /// MemberInstance suspects it.
        by: MemberName,
    },
    /// It did not refute in time.
    Dead,
    /// It said that it goes.
    Left,
}

/// A claim, with the life and the refutation that it is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Of whom.
    pub member: MemberName,
    /// Which life.
    pub incarnation: Incarnation,
    /// How often it had refuted.
    pub refutation: u32,
    /// What.
    pub kind: UpdateKind,
}

impl MemberUpdate {
    /// No fewer bytes than it takes encoded.
    fn bytes(&self) -> usize {
        let claim = match &self.kind {
            UpdateKind::Alive { site, address } => 1 + site.as_str().len() + address_bytes(address),
            UpdateKind::Suspect { by } => 1 + by.as_str().len(),
            UpdateKind::Dead | UpdateKind::Left => 0,
        };
        1 + self.member.as_str().len() + 10 + 5 + 1 + claim
    }
}

fn address_bytes(address: &SocketAddr) -> usize {
    if address.is_ipv4() { 8 } else { 20 }
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks for an answer.
    Ping {
        /// The sender's number of it.
        probe: u32,
    },
    /// Asks the receiver to ping somebody for the sender.
    IndirectPing {
        /// The sender's number of it.
        probe: u32,
        /// Whom.
        target: MemberName,
        /// Where.
        address: SocketAddr,
    },
    /// Answers a ping, or tells that the one asked for has answered.
    Ack {
        /// The asker's number.
        probe: u32,
    },
    /// Tells that the one asked for has not answered in time.
    Nack {
        /// The asker's number.
        probe: u32,
    },
    /// Push-pull: the sender's whole table.
    PushPull {
        /// The table.
        table: Vec<MemberUpdate>,
        /// Whether the receiver's is wanted in return.
        reply_wanted: bool,
    },
    /// The sender goes.
    Leave,
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender, of itself. The transport vouches for its name.
    pub sender: MemberRecord,
    /// What for.
    pub kind: MessageKind,
    /// News that ride along.
    pub updates: Vec<MemberUpdate>,
}

/// What happens to the view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Joins the fleet through these. They are kept, and tried whenever they are not known to live.
    Join {
        /// Names and addresses; this member's own is passed over.
        seeds: Vec<(MemberName, SocketAddr)>,
    },
    /// A message came.
    Message {
        /// From whom: the transport vouches for it.
        from: MemberName,
        /// What.
        message: Message,
    },
    /// Leaves: tells all, and then keeps silent.
    Leave,
    /// Another channel has just heard that member.
    ContactedElsewhere(MemberName),
}

/// What the view wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this. Whether it arrives is not asked.
    Send {
        /// To whom.
        to: MemberName,
        /// Where it says that it is reached.
        address: SocketAddr,
        /// What.
        message: Message,
        /// Over a stream: it may be larger than a datagram.
        reliable: bool,
    },
    /// A belief has changed.
    StatusChanged(StatusChange),
}

/// What has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counters {
    /// Probes begun.
    pub probes: u64,
    /// Probes that went unanswered.
    pub failed_probes: u64,
    /// Times this member refuted.
    pub refutations: u64,
    /// Claims that were not believed for being absurd: an impossible refutation, a later life of this very member.
    pub invalid_updates: u64,
    /// Messages passed over since they came from an earlier life of their sender.
    pub stale_messages: u64,
    /// Members not taken in since the table is full.
    pub rejected_members: u64,
    /// Times this member itself had stood still.
    pub stalls: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probe {
    target: MemberName,
    number: u32,
    /// When helpers are asked; none once they are.
    ask_at: Option<Micros>,
    helpers: Vec<MemberName>,
    /// Those of the helpers that said that they got no answer either.
    nacks: Vec<MemberName>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Relay {
    number: u32,
    target: MemberName,
    asker: MemberName,
    address: SocketAddr,
    askers_number: u32,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Suspicion {
    begun: Micros,
    until: Micros,
    /// MemberInstance suspects, and who told so: each of either counts once, so one liar is one confirmation.
    by: Vec<(MemberName, MemberName)>,
    /// What follows: dead or left.
    then: Status,
}

/// Hearsay that is to be seen true.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rumour {
    site: SiteName,
    address: SocketAddr,
    incarnation: Incarnation,
    refutation: u32,
    /// Up to two members who said so.
    vouchers: Vec<MemberName>,
    tries: u32,
}

/// The view: see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    local_member: MemberName,
    settings: Config,
    seed: u64,
    draws: u64,
    now: Micros,
    started: bool,
    left: bool,
    members: BTreeMap<MemberName, Member>,
    round: Vec<MemberName>,
    place: usize,
    probe: Option<Probe>,
    next_probe: Micros,
    /// The next period's budgets and pings on hearsay: own bad health does not slow these.
    next_period: Micros,
    numbers: u32,
    relays: Vec<Relay>,
    suspicions: BTreeMap<MemberName, Suspicion>,
    rumours: BTreeMap<MemberName, Rumour>,
    verify_left: u32,
    syncs_left: u32,
    heal_sync: bool,
    /// News by how often they were sent, the newest first.
    queue: BTreeMap<(u32, u64), MemberUpdate>,
    queued: BTreeMap<MemberName, (u32, u64)>,
    queue_numbers: u64,
    next_push_pull: Option<Micros>,
    next_reconnect: Option<Micros>,
    health: u32,
    /// Whether a refutation has worsened the health since the last answer to a probe: one does, not each.
    worsened: bool,
    seeds: BTreeMap<MemberName, SocketAddr>,
    /// Whether a table has come in return since the join.
    joined: bool,
    counters: Counters,
}

impl Membership {
    /// A view that knows this member only. `seed` decides all that is drawn.
    pub fn new(me: LocalMember, settings: Config, seed: u64) -> Membership {
        let own = Member {
            name: me.name.clone(),
            site: me.site,
            address: me.address,
            incarnation: me.incarnation,
            refutation: 0,
            status: Status::Alive,
            since: 0,
        };
        Membership {
            members: BTreeMap::from([(me.name.clone(), own)]),
            local_member: me.name,
            seed,
            draws: 0,
            now: 0,
            started: false,
            left: false,
            round: Vec::new(),
            place: 0,
            probe: None,
            next_probe: 0,
            next_period: 0,
            numbers: 0,
            relays: Vec::new(),
            suspicions: BTreeMap::new(),
            rumours: BTreeMap::new(),
            verify_left: settings.max_verification_pings,
            syncs_left: MAX_PUSH_PULLS_PER_PERIOD,
            heal_sync: true,
            queue: BTreeMap::new(),
            queued: BTreeMap::new(),
            queue_numbers: u64::MAX,
            next_push_pull: None,
            next_reconnect: None,
            health: 0,
            worsened: false,
            seeds: BTreeMap::new(),
            joined: false,
            counters: Counters::default(),
            settings,
        }
    }

    /// All members known, this one included, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One member.
    pub fn member(&self, name: &MemberName) -> Option<&Member> {
        self.members.get(name)
    }

    /// This member.
    pub fn local_member(&self) -> &Member {
        &self.members[&self.local_member]
    }

    /// How badly this member itself does: 0 is well, [`Settings::most_health`] the worst. Its probes are that many
    /// periods slower.
    pub fn health_multiplier(&self) -> u32 {
        self.health
    }

    /// What has been counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// When it wants to be called with [`Event::Tick`]; none after the leave.
    pub fn timeout(&self) -> Option<Micros> {
        if self.left {
            return None;
        }
        if !self.started {
            return Some(0);
        }
        let probe = self.probe.as_ref().and_then(|probe| probe.ask_at);
        let relays = self.relays.iter().map(|relay| relay.until);
        let suspicions = self.suspicions.values().map(|suspicion| suspicion.until);
        let others = [probe, self.next_push_pull, self.next_reconnect]
            .into_iter()
            .flatten();
        others
            .chain(relays)
            .chain(suspicions)
            .chain([self.next_probe, self.next_period])
            .min()
    }

    /// Takes an event and appends what is to be done. `now` never goes back.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.left {
            return;
        }
        self.now = self.now.max(now);
        self.wake();
        match event {
            Event::Tick => {}
            Event::Join { seeds } => {
                let most = self.settings.max_members;
                for (name, address) in seeds {
                    if name != self.local_member
                        && (self.seeds.len() < most || self.seeds.contains_key(&name))
                    {
                        self.seeds.insert(name, address);
                    }
                }
                self.joined = false;
                self.ask_seeds(out);
            }
            Event::Message { from, message } => self.message(from, message, out),
            Event::Leave => return self.leave(out),
            Event::ContactedElsewhere(name) => self.reached(&name, out),
        }
        self.timers(out);
    }

    /// At the first event sets the timers; after a stand-still of this very member gives all others the time back.
    fn wake(&mut self) {
        let period = self.settings.period();
        if !self.started {
            self.started = true;
            let now = self.now;
            if let Some(own) = self.members.get_mut(&self.local_member) {
                own.since = now;
            }
            self.next_probe = now + self.below(period);
            self.next_period = self.next_probe;
            let later = |ms| Config::micros(ms);
            if self.settings.push_pull_ms > 0 {
                let spread = later(self.settings.push_pull_ms);
                self.next_push_pull = Some(now + spread / 2 + self.below(spread));
            }
            if self.settings.reconnect_ms > 0 {
                let spread = later(self.settings.reconnect_ms);
                self.next_reconnect = Some(now + spread / 2 + self.below(spread));
            }
            return;
        }
        let Some(due) = self.timeout() else { return };
        let gap = self.now.saturating_sub(due);
        if gap > period {
            self.counters.stalls += 1;
            self.health_changes(1);
            for suspicion in self.suspicions.values_mut() {
                suspicion.begun += gap;
                suspicion.until += gap;
            }
            // What this member asked before tells nothing: the answers may have come and gone.
            self.probe = None;
            self.relays.clear();
        }
    }

    fn timers(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.ask_at.is_some_and(|at| at <= now))
        {
            self.ask_helpers(out);
        }
        while let Some(late) = self.relays.iter().position(|relay| relay.until <= now) {
            let relay = self.relays.remove(late);
            self.send(
                &relay.asker,
                relay.address,
                MessageKind::Nack {
                    probe: relay.askers_number,
                },
                false,
                out,
            );
        }
        let ended = self
            .suspicions
            .iter()
            .filter(|(_, s)| s.until <= now)
            .map(|(name, s)| (name.clone(), s.then));
        for (name, then) in ended.collect::<Vec<_>>() {
            self.becomes(&name, then, Cause::SuspicionExpired, out);
        }
        if self.next_period <= now {
            self.period(out);
        }
        if self.next_probe <= now {
            self.probe(out);
        }
        if self.next_push_pull.is_some_and(|at| at <= now) {
            let doubled = (self.living() / 32).max(1).ilog2() + 1;
            let every =
                Config::micros(self.settings.push_pull_ms).saturating_mul(u64::from(doubled));
            self.next_push_pull = Some(now + every);
            if let Some((name, address)) = self.some(1, |peer| peer.status == Status::Alive).pop() {
                self.sync(&name, address, true, out);
            }
        }
        if self.next_reconnect.is_some_and(|at| at <= now) {
            self.next_reconnect = Some(now + Config::micros(self.settings.reconnect_ms));
            let mut lost = self.some(1, |peer| peer.status > Status::Suspect);
            if lost.is_empty() {
                let away = |name| {
                    self.members
                        .get(name)
                        .is_none_or(|peer| peer.status > Status::Suspect)
                };
                let seeds = self.seeds.iter().filter(|(name, _)| away(name));
                lost = seeds
                    .map(|(name, address)| (name.clone(), *address))
                    .collect();
            }
            if !lost.is_empty() {
                let at = self.below(lost.len() as u64) as usize;
                let (name, address) = lost.swap_remove(at);
                self.ping(&name, address, out);
            }
        }
    }

    /// A new protocol period: budgets anew, and what does not wait for this member's health.
    fn period(&mut self, out: &mut Vec<Action>) {
        self.next_period = self.now + self.settings.period();
        self.verify_left = self.settings.max_verification_pings;
        self.syncs_left = MAX_PUSH_PULLS_PER_PERIOD;
        self.heal_sync = true;
        self.forget();
        if !self.joined && !self.seeds.is_empty() {
            self.ask_seeds(out);
        }
        self.verify(out);
    }

    /// Ends the last probe and begins the next.
    fn probe(&mut self, out: &mut Vec<Action>) {
        if let Some(probe) = self.probe.take() {
            self.counters.failed_probes += 1;
            let missing = probe.helpers.len().saturating_sub(probe.nacks.len());
            self.health_changes(if probe.helpers.is_empty() {
                1
            } else {
                missing as i64
            });
            let me = self.local_member.clone();
            if let Some(peer) = self.members.get(&probe.target) {
                let refutation = peer.refutation;
                self.suspect(
                    &probe.target,
                    refutation,
                    (&me, &me),
                    Status::Dead,
                    Cause::ProbeFailed,
                    out,
                );
            }
        }
        let slower = u64::from(self.health) + 1;
        self.next_probe = self.now + self.settings.period().saturating_mul(slower);
        if let Some((target, address)) = self.next_target() {
            self.counters.probes += 1;
            let number = self.ping(&target, address, out);
            let ask_at = Some(self.now + self.settings.probe_timeout().saturating_mul(slower));
            self.probe = Some(Probe {
                target,
                number,
                ask_at,
                helpers: Vec::new(),
                nacks: Vec::new(),
            });
        }
    }

    fn next_target(&mut self) -> Option<(MemberName, SocketAddr)> {
        for again in [false, true] {
            while let Some(name) = self.round.get(self.place) {
                self.place += 1;
                if let Some(peer) = self
                    .members
                    .get(name)
                    .filter(|peer| peer.status <= Status::Suspect)
                {
                    return Some((peer.name.clone(), peer.address));
                }
            }
            if again {
                break;
            }
            let all = self
                .members
                .values()
                .filter(|peer| peer.name != self.local_member && peer.status <= Status::Suspect);
            self.round = all.map(|peer| peer.name.clone()).collect();
            self.place = 0;
            for at in (1..self.round.len()).rev() {
                let other = self.below(at as u64 + 1) as usize;
                self.round.swap(at, other);
            }
        }
        None
    }

    fn ask_helpers(&mut self, out: &mut Vec<Action>) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        probe.ask_at = None;
        if let Some(address) = self.members.get(&probe.target).map(|peer| peer.address) {
            let target = probe.target.clone();
            for (helper, at) in self.some(self.settings.indirect_probes, |peer| {
                peer.status == Status::Alive && peer.name != target
            }) {
                let kind = MessageKind::IndirectPing {
                    probe: probe.number,
                    target: target.clone(),
                    address,
                };
                self.send(&helper, at, kind, false, out);
                probe.helpers.push(helper);
            }
        }
        self.probe = Some(probe);
    }

    /// The member answered, itself or through a helper.
    fn answered(&mut self) {
        self.worsened = false;
        self.probe = None;
        self.health_changes(-1);
    }

    fn message(&mut self, from: MemberName, message: Message, out: &mut Vec<Action>) {
        if from == self.local_member {
            self.counters.invalid_updates += 1;
            return;
        }
        if !self.first_hand(&from, &message, out) {
            return;
        }
        let believed = self
            .members
            .get(&from)
            .is_some_and(|peer| peer.status <= Status::Suspect);
        if believed {
            for news in message.updates.into_iter().take(MAX_UPDATES_PER_DATAGRAM) {
                self.hearsay(&from, news, out);
            }
        } else {
            // Held dead or left, it is told so and can refute; it is told so as well of what it says of this member.
            let of_me = message
                .updates
                .into_iter()
                .take(MAX_UPDATES_PER_DATAGRAM)
                .find(|news| news.member == self.local_member);
            of_me
                .into_iter()
                .for_each(|news| self.of_me(&from, &news, out));
        }
        let address = message.sender.address;
        match message.kind {
            MessageKind::Ping { probe } => {
                self.send(&from, address, MessageKind::Ack { probe }, false, out)
            }
            MessageKind::IndirectPing {
                probe,
                target,
                address: at,
            } => {
                if target == self.local_member {
                    return self.send(&from, address, MessageKind::Ack { probe }, false, out);
                }
                if self.relays.len() >= MAX_INDIRECT_PROBES {
                    return;
                }
                let at = self.members.get(&target).map_or(at, |peer| peer.address);
                let number = self.ping(&target, at, out);
                let until = self.now + self.settings.probe_timeout();
                self.relays.push(Relay {
                    number,
                    target,
                    asker: from,
                    address,
                    askers_number: probe,
                    until,
                });
            }
            MessageKind::Ack { probe: number } => {
                if let Some(at) = self
                    .relays
                    .iter()
                    .position(|relay| relay.number == number && relay.target == from)
                {
                    let relay = self.relays.remove(at);
                    // The answer's refutation goes with it.
                    if let Some(peer) = self
                        .members
                        .get(&from)
                        .filter(|peer| peer.status == Status::Alive)
                    {
                        let news = alive(peer);
                        self.queue_news(news);
                    }
                    self.send(
                        &relay.asker,
                        relay.address,
                        MessageKind::Ack {
                            probe: relay.askers_number,
                        },
                        false,
                        out,
                    );
                }
                let ours = |probe: &Probe| {
                    probe.number == number
                        && (probe.target == from || probe.helpers.contains(&from))
                };
                if self.probe.as_ref().is_some_and(ours) {
                    self.answered();
                }
            }
            MessageKind::Nack { probe: number } => {
                if let Some(probe) = self.probe.as_mut()
                    && probe.number == number
                    && probe.helpers.contains(&from)
                    && !probe.nacks.contains(&from)
                {
                    probe.nacks.push(from);
                }
            }
            MessageKind::PushPull {
                table,
                reply_wanted: answer,
            } => {
                if believed {
                    self.joined |= !answer;
                    for news in table.into_iter().take(self.settings.max_members) {
                        self.hearsay(&from, news, out);
                    }
                }
                if answer && self.syncs_left > 0 {
                    self.syncs_left -= 1;
                    self.sync(&from, address, false, out);
                }
            }
            MessageKind::Leave => {}
        }
    }

    /// What the message tells of its sender. False if it is not to be looked at further.
    fn first_hand(&mut self, from: &MemberName, message: &Message, out: &mut Vec<Action>) -> bool {
        let sender = &message.sender;
        let said = (sender.incarnation, sender.refutation);
        let known = self
            .members
            .get(from)
            .map(|peer| ((peer.incarnation, peer.refutation), peer.status));
        if known.is_some_and(|((incarnation, _), _)| sender.incarnation < incarnation) {
            self.counters.stale_messages += 1;
            return false;
        }
        if message.kind == MessageKind::Leave {
            if let Some((known, status)) = known
                && said >= known
                && status != Status::Left
                && let Some(peer) = self.members.get_mut(from)
            {
                (peer.incarnation, peer.refutation) = said;
                self.becomes(from, Status::Left, Cause::Leaving, out);
            }
            return false;
        }
        match known {
            Some((known, status)) if said <= known => {
                if status > Status::Alive
                    && said == known
                    && !matches!(message.kind, MessageKind::Ping { .. })
                {
                    self.tell(from, out);
                }
                if said == known
                    && let Some(peer) = self.members.get_mut(from)
                {
                    peer.address = sender.address;
                }
            }
            _ => self.lives(from, sender.clone(), Cause::Heard, out),
        }
        self.members.contains_key(from)
    }

    /// A member lives, with a life or a refutation above the known: it is taken in or comes back.
    fn lives(
        &mut self,
        name: &MemberName,
        record: MemberRecord,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let known = self
            .members
            .get(name)
            .map(|peer| (peer.incarnation, peer.status, peer.since));
        if known.is_none() && !self.make_room() {
            self.counters.rejected_members += 1;
            return;
        }
        let MemberRecord {
            site,
            address,
            incarnation,
            refutation,
        } = record;
        let from = known.map(|(_, status, _)| status);
        let same_life = known.is_some_and(|(life, _, _)| life == incarnation);
        let since = match known {
            Some((_, Status::Alive, since)) if same_life => since,
            _ => self.now,
        };
        let name = name.clone();
        let peer = Member {
            name: name.clone(),
            site,
            address,
            incarnation,
            refutation,
            status: Status::Alive,
            since,
        };
        self.queue_news(alive(&peer));
        if from != Some(Status::Alive) || !same_life {
            let (member, site) = (name.clone(), peer.site.clone());
            let to = Status::Alive;
            out.push(Action::StatusChanged(StatusChange {
                member,
                site,
                incarnation,
                from,
                to,
                cause: cause.clone(),
            }));
        }
        self.members.insert(name.clone(), peer);
        self.suspicions.remove(&name);
        self.rumours.remove(&name);
        let most = self.settings.max_members.saturating_mul(2);
        if from.is_none_or(|from| from > Status::Suspect) && self.round.len() < most {
            let at = self.place + self.below((self.round.len() - self.place) as u64 + 1) as usize;
            self.round.insert(at, name.clone());
        }
        // One that comes back brings what its side of a partition knows.
        if matches!(from, Some(Status::Dead)) && cause == Cause::Heard && self.heal_sync {
            self.heal_sync = false;
            self.sync(&name, address, true, out);
        }
    }

    /// What one member says of another.
    fn hearsay(&mut self, via: &MemberName, news: MemberUpdate, out: &mut Vec<Action>) {
        if news.member == self.local_member {
            return self.of_me(via, &news, out);
        }
        if news.member == *via {
            return;
        }
        let MemberUpdate {
            member,
            incarnation,
            refutation,
            kind: claim,
        } = news;
        let known = self
            .members
            .get(&member)
            .map(|peer| (peer.incarnation, peer.refutation, peer.status));
        let Some((life, held, status)) = known.filter(|known| known.0 >= incarnation) else {
            // A member or a life not known: seen to be true before it is taken in.
            if let UpdateKind::Alive { site, address } = claim {
                self.rumour(
                    via,
                    member,
                    MemberRecord {
                        site,
                        address,
                        incarnation,
                        refutation,
                    },
                    out,
                );
            } else if let Some(rumour) = self.rumours.get_mut(&member)
                && rumour.incarnation == incarnation
            {
                // It may have ended already: only its own mouth counts now.
                rumour.vouchers.clear();
            }
            return;
        };
        if incarnation < life || refutation < held {
            return;
        }
        if refutation - held > MAX_REFUTATION_INCREASE {
            self.counters.invalid_updates += 1;
            return;
        }
        match claim {
            UpdateKind::Alive { .. } if refutation > held => {
                let peer = &self.members[&member];
                let (site, address) = (peer.site.clone(), peer.address);
                let record = MemberRecord {
                    site,
                    address,
                    incarnation,
                    refutation,
                };
                self.lives(&member, record, Cause::ReportedBy(via.clone()), out);
            }
            // Both sides hold the same and differ: the member itself decides.
            UpdateKind::Alive { .. } if status > Status::Suspect => self.tell(&member, out),
            UpdateKind::Alive { .. } => {}
            UpdateKind::Suspect { by } => {
                let cause = Cause::ReportedBy(by.clone());
                self.suspect(&member, refutation, (&by, via), Status::Dead, cause, out);
            }
            UpdateKind::Dead | UpdateKind::Left => {
                let then = if claim == UpdateKind::Left {
                    Status::Left
                } else {
                    Status::Dead
                };
                let second = status == Status::Suspect && refutation == held;
                if second {
                    self.ended_there(&member, via, then);
                } else if then == Status::Left && status == Status::Dead && refutation == held {
                    self.becomes(&member, then, Cause::ReportedBy(via.clone()), out);
                } else if status < Status::Dead || refutation > held {
                    let cause = Cause::ReportedBy(via.clone());
                    self.suspect(&member, refutation, (via, via), then, cause, out);
                    self.tell(&member, out);
                }
            }
        }
    }

    /// What one member says of this one.
    fn of_me(&mut self, via: &MemberName, news: &MemberUpdate, out: &mut Vec<Action>) {
        let Some(own) = self.members.get_mut(&self.local_member) else {
            return;
        };
        if news.incarnation > own.incarnation {
            self.counters.invalid_updates += 1;
            return;
        }
        let bad = !matches!(news.kind, UpdateKind::Alive { .. });
        let behind = if bad {
            news.refutation >= own.refutation
        } else {
            news.refutation > own.refutation
        };
        if news.incarnation < own.incarnation || !behind {
            return;
        }
        own.refutation = news
            .refutation
            .min(own.refutation.saturating_add(MAX_REFUTATION_INCREASE))
            .saturating_add(1);
        self.counters.refutations += 1;
        let (site, incarnation) = (own.site.clone(), own.incarnation);
        if !std::mem::replace(&mut self.worsened, true) {
            self.health_changes(1);
        }
        let (member, to) = (self.local_member.clone(), Status::Alive);
        let cause = Cause::Refuted(via.clone());
        out.push(Action::StatusChanged(StatusChange {
            member,
            site,
            incarnation,
            from: Some(to),
            to,
            cause,
        }));
        // A refutation races the suspicions: some hear it at once, as far as the period's pings on hearsay reach.
        for (name, address) in self.some(self.settings.indirect_probes, |peer| {
            peer.status == Status::Alive
        }) {
            if self.verify_left > 0 {
                self.verify_left -= 1;
                self.ping(&name, address, out);
            }
        }
    }

    /// Suspects a member, or confirms that it is suspected. `by` are the one who suspects and the one who told so.
    fn suspect(
        &mut self,
        name: &MemberName,
        refutation: u32,
        by: (&MemberName, &MemberName),
        then: Status,
        cause: Cause,
        out: &mut Vec<Action>,
    ) {
        let (least, longest) = self.settings.suspicion(self.living());
        let enough = (self.settings.confirmations as usize).min(self.living().saturating_sub(2));
        let now = self.now;
        let Some(peer) = self.members.get_mut(name) else {
            return;
        };
        if peer.status > Status::Suspect && refutation <= peer.refutation {
            return;
        }
        if peer.status == Status::Suspect && refutation == peer.refutation {
            let Some(suspicion) = self.suspicions.get_mut(name) else {
                return;
            };
            let counted = suspicion.by.iter().any(|(b, v)| b == by.0 || v == by.1);
            if counted || suspicion.by.len() > enough {
                return;
            }
            suspicion.by.push((by.0.clone(), by.1.clone()));
            let more = (suspicion.by.len() - 1) as f64;
            let part = (more + 1.0).ln() / (enough as f64 + 1.0).ln();
            let lasts = longest
                .saturating_sub(((longest - least) as f64 * part) as Micros)
                .max(least);
            suspicion.until = suspicion.until.min(suspicion.begun + lasts);
        } else {
            peer.refutation = refutation;
            let lasts = if enough == 0 { least } else { longest };
            let by = vec![(by.0.clone(), by.1.clone())];
            self.suspicions.insert(
                name.clone(),
                Suspicion {
                    begun: now,
                    until: now + lasts,
                    by,
                    then,
                },
            );
            if peer.status != Status::Suspect {
                self.becomes(name, Status::Suspect, cause, out);
            }
        }
        let Some(peer) = self.members.get(name) else {
            return;
        };
        let (member, incarnation) = (name.clone(), peer.incarnation);
        let claim = UpdateKind::Suspect { by: by.0.clone() };
        self.queue_news(MemberUpdate {
            member,
            incarnation,
            refutation,
            kind: claim,
        });
        if by.1 == &self.local_member {
            // The suspected is told first.
            self.tell(name, out);
        }
    }

    /// Another holds a suspected member dead or left: no further confirmation is needed here.
    fn ended_there(&mut self, name: &MemberName, via: &MemberName, then: Status) {
        let (least, _) = self.settings.suspicion(self.living());
        if let Some(suspicion) = self.suspicions.get_mut(name)
            && !suspicion.by.iter().any(|(b, v)| b == via || v == via)
        {
            suspicion.then = suspicion.then.max(then);
            suspicion.until = suspicion.until.min(suspicion.begun + least);
        }
    }

    fn becomes(&mut self, name: &MemberName, to: Status, cause: Cause, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(peer) = self.members.get_mut(name) else {
            return;
        };
        let from = Some(peer.status);
        peer.status = to;
        peer.since = now;
        let (member, site, incarnation) = (name.clone(), peer.site.clone(), peer.incarnation);
        let refutation = peer.refutation;
        if to > Status::Suspect {
            self.suspicions.remove(name);
            if self
                .probe
                .as_ref()
                .is_some_and(|probe| probe.target == *name)
            {
                self.probe = None;
            }
            let claim = if to == Status::Left {
                UpdateKind::Left
            } else {
                UpdateKind::Dead
            };
            self.queue_news(MemberUpdate {
                member: member.clone(),
                incarnation,
                refutation,
                kind: claim,
            });
        }
        out.push(Action::StatusChanged(StatusChange {
            member,
            site,
            incarnation,
            from,
            to,
            cause,
        }));
    }

    fn reached(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.target == *name)
        {
            self.answered();
        }
        if self
            .members
            .get(name)
            .is_some_and(|peer| peer.status > Status::Alive)
        {
            self.tell(name, out);
        }
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        let others = self
            .members
            .values()
            .filter(|peer| peer.name != self.local_member && peer.status <= Status::Suspect);
        let others: Vec<_> = others
            .map(|peer| (peer.name.clone(), peer.address))
            .collect();
        for (name, address) in others {
            self.send(&name, address, MessageKind::Leave, false, out);
        }
        let me = self.local_member.clone();
        self.becomes(&me, Status::Left, Cause::Leaving, out);
        self.left = true;
    }

    /// Keeps hearsay of a member or a life that is not known, to see by a ping whether it is true.
    fn rumour(
        &mut self,
        via: &MemberName,
        name: MemberName,
        record: MemberRecord,
        out: &mut Vec<Action>,
    ) {
        let MemberRecord {
            site,
            address,
            incarnation,
            refutation,
        } = record;
        if !self.rumours.contains_key(&name) && self.rumours.len() >= self.settings.max_members {
            return;
        }
        let fresh = Rumour {
            site,
            address,
            incarnation,
            refutation,
            vouchers: Vec::new(),
            tries: 0,
        };
        let rumour = self
            .rumours
            .entry(name.clone())
            .or_insert_with(|| fresh.clone());
        if rumour.incarnation < incarnation && !rumour.vouchers.contains(via) {
            *rumour = fresh;
        }
        if rumour.incarnation == incarnation
            && rumour.vouchers.len() < 2
            && !rumour.vouchers.contains(via)
        {
            rumour.vouchers.push(via.clone());
        }
        if rumour.tries == 0 {
            self.try_rumour(&name, out);
        }
    }

    /// Pings a member soon to tell it what is held of it, so that it can refute.
    fn tell(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        let Some(peer) = self.members.get(name) else {
            return;
        };
        let Member {
            site,
            address,
            incarnation,
            refutation,
            ..
        } = peer.clone();
        if self.rumours.contains_key(name) || self.rumours.len() >= self.settings.max_members {
            return;
        }
        let rumour = Rumour {
            site,
            address,
            incarnation,
            refutation,
            vouchers: Vec::new(),
            tries: 0,
        };
        self.rumours.insert(name.clone(), rumour);
        self.try_rumour(name, out);
    }

    fn try_rumour(&mut self, name: &MemberName, out: &mut Vec<Action>) {
        if self.verify_left == 0 {
            return;
        }
        if let Some(rumour) = self.rumours.get_mut(name) {
            self.verify_left -= 1;
            rumour.tries += 1;
            let address = rumour.address;
            self.ping(name, address, out);
        }
    }

    /// The period's pings on hearsay, from a drawn place on so that not all members ping the same one.
    fn verify(&mut self, out: &mut Vec<Action>) {
        if self.rumours.is_empty() {
            return;
        }
        let mut names: Vec<_> = self.rumours.keys().cloned().collect();
        let from = self.below(names.len() as u64) as usize;
        names.rotate_left(from);
        for name in names {
            // One that is suspected is told for as long as it is.
            let suspected = self
                .members
                .get(&name)
                .is_some_and(|peer| peer.status == Status::Suspect);
            if suspected
                || self
                    .rumours
                    .get(&name)
                    .is_some_and(|rumour| rumour.tries < TRIES)
            {
                self.try_rumour(&name, out);
                continue;
            }
            let Some(rumour) = self.rumours.remove(&name) else {
                continue;
            };
            let newer = self
                .members
                .get(&name)
                .is_none_or(|peer| peer.incarnation < rumour.incarnation);
            if let (true, [_, second]) = (newer, rumour.vouchers.as_slice()) {
                let Rumour {
                    site,
                    address,
                    incarnation,
                    refutation,
                    ..
                } = rumour.clone();
                let record = MemberRecord {
                    site,
                    address,
                    incarnation,
                    refutation: refutation.min(MAX_REFUTATION_INCREASE),
                };
                self.lives(&name, record, Cause::ReportedBy(second.clone()), out);
            }
        }
    }

    fn ask_seeds(&mut self, out: &mut Vec<Action>) {
        let mut seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        for _ in 0..SEEDS_AT_ONCE.min(seeds.len()) {
            let at = self.below(seeds.len() as u64) as usize;
            let (name, address) = seeds.swap_remove(at);
            self.sync(&name, address, true, out);
        }
    }

    fn sync(&mut self, to: &MemberName, address: SocketAddr, answer: bool, out: &mut Vec<Action>) {
        let mut table = Vec::new();
        for peer in self
            .members
            .values()
            .filter(|peer| peer.name != self.local_member && peer.name != *to)
        {
            if peer.status <= Status::Suspect {
                table.push(alive(peer));
            }
            if peer.status > Status::Alive {
                table.push(held(peer, &self.local_member));
            }
        }
        table.truncate(self.settings.max_members);
        self.send(
            to,
            address,
            MessageKind::PushPull {
                table,
                reply_wanted: answer,
            },
            true,
            out,
        );
    }

    fn ping(&mut self, to: &MemberName, address: SocketAddr, out: &mut Vec<Action>) -> u32 {
        self.numbers = self.numbers.wrapping_add(1);
        let number = self.numbers;
        self.send(to, address, MessageKind::Ping { probe: number }, false, out);
        number
    }

    /// Sends, with what is held against the receiver first and then the news that were sent least.
    fn send(
        &mut self,
        to: &MemberName,
        address: SocketAddr,
        kind: MessageKind,
        reliable: bool,
        out: &mut Vec<Action>,
    ) {
        let own = &self.members[&self.local_member];
        let sender = MemberRecord {
            site: own.site.clone(),
            address: own.address,
            incarnation: own.incarnation,
            refutation: own.refutation,
        };
        let mut room = self.settings.max_datagram_bytes;
        let fixed = 1 + sender.site.as_str().len() + address_bytes(&sender.address) + 10 + 5 + 3;
        let more = match &kind {
            MessageKind::IndirectPing {
                target, address, ..
            } => 7 + target.as_str().len() + address_bytes(address),
            _ => 6,
        };
        room = room.saturating_sub(fixed + more);
        let mut news = Vec::new();
        if let Some(peer) = self
            .members
            .get(to)
            .filter(|peer| peer.status > Status::Alive)
        {
            let said = held(peer, &self.local_member);
            room = room.saturating_sub(said.bytes());
            news.push(said);
        }
        if !reliable {
            let limit = self.settings.retransmits(self.living());
            let mut sent = Vec::new();
            for (key, said) in self.queue.iter().take(MAX_UPDATES_PER_DATAGRAM - 1) {
                if said.member == *to {
                    // What is held of the receiver is there already, and that it lives it knows.
                    continue;
                }
                if said.bytes() > room {
                    break;
                }
                room -= said.bytes();
                news.push(said.clone());
                sent.push(*key);
            }
            for key in sent {
                let Some(said) = self.queue.remove(&key) else {
                    continue;
                };
                self.queued.remove(&said.member);
                if key.0 + 1 < limit {
                    let key = (key.0 + 1, key.1);
                    self.queued.insert(said.member.clone(), key);
                    self.queue.insert(key, said);
                }
            }
        }
        out.push(Action::Send {
            to: to.clone(),
            address,
            message: Message {
                sender,
                kind,
                updates: news,
            },
            reliable,
        });
    }

    /// News replace older ones of the same member.
    fn queue_news(&mut self, news: MemberUpdate) {
        if let Some(key) = self.queued.remove(&news.member) {
            self.queue.remove(&key);
        }
        self.queue_numbers -= 1;
        let key = (0, self.queue_numbers);
        self.queued.insert(news.member.clone(), key);
        self.queue.insert(key, news);
    }

    /// Room for one more member: if need be the one that is dead or left for longest goes.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.settings.max_members {
            return true;
        }
        let gone = self
            .members
            .values()
            .filter(|peer| peer.status > Status::Suspect);
        let Some(oldest) = gone
            .min_by_key(|peer| peer.since)
            .map(|peer| peer.name.clone())
        else {
            return false;
        };
        self.drop_peer(&oldest);
        true
    }

    fn forget(&mut self) {
        let keep = Config::micros(self.settings.reap_after_ms);
        let now = self.now;
        let old =
            |peer: &&Member| peer.status > Status::Suspect && now.saturating_sub(peer.since) > keep;
        let old: Vec<_> = self
            .members
            .values()
            .filter(old)
            .map(|peer| peer.name.clone())
            .collect();
        old.iter().for_each(|name| self.drop_peer(name));
    }

    fn drop_peer(&mut self, name: &MemberName) {
        self.members.remove(name);
        self.suspicions.remove(name);
        self.rumours.remove(name);
        if let Some(key) = self.queued.remove(name) {
            self.queue.remove(&key);
        }
    }

    fn living(&self) -> usize {
        self.members
            .values()
            .filter(|peer| peer.status <= Status::Suspect)
            .count()
    }

    fn health_changes(&mut self, by: i64) {
        let most = i64::from(self.settings.max_health_multiplier);
        self.health = (i64::from(self.health) + by).clamp(0, most) as u32;
    }

    /// Up to `count` others, drawn.
    fn some(
        &mut self,
        count: usize,
        of: impl Fn(&Member) -> bool,
    ) -> Vec<(MemberName, SocketAddr)> {
        let others = self
            .members
            .values()
            .filter(|peer| peer.name != self.local_member && of(peer));
        let mut others: Vec<_> = others
            .map(|peer| (peer.name.clone(), peer.address))
            .collect();
        let count = count.min(others.len());
        for at in 0..count {
            let other = at + self.below((others.len() - at) as u64) as usize;
            others.swap(at, other);
        }
        others.truncate(count);
        others
    }

    /// A drawn number below `bound`; 0 for 0.
    fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let drawn = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        ((u128::from(drawn) * u128::from(bound)) >> 64) as u64
    }
}

fn alive(peer: &Member) -> MemberUpdate {
    let claim = UpdateKind::Alive {
        site: peer.site.clone(),
        address: peer.address,
    };
    let (member, incarnation) = (peer.name.clone(), peer.incarnation);
    MemberUpdate {
        member,
        incarnation,
        refutation: peer.refutation,
        kind: claim,
    }
}

/// What is held against a member that is not alive.
fn held(peer: &Member, me: &MemberName) -> MemberUpdate {
    let claim = match peer.status {
        Status::Dead => UpdateKind::Dead,
        Status::Left => UpdateKind::Left,
        Status::Alive | Status::Suspect => UpdateKind::Suspect { by: me.clone() },
    };
    let (member, incarnation) = (peer.name.clone(), peer.incarnation);
    MemberUpdate {
        member,
        incarnation,
        refutation: peer.refutation,
        kind: claim,
    }
}
