//! The `[fleet]`, `[store]`, `[takeover]` and `[policy]` tables of an operator's file.

use super::policy_epoch::MAX_CONTENT_BYTES;
use super::transport::admin::ADMINISTRATOR;
use super::{MAX_NAME_LENGTH, MemberName, SiteName, lease, node};
use crate::config::{ConfigError, Limits};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What a conductor does with new requests while its right to act has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WhenCutOff {
    /// Refuse them with 503 and `Retry-After`.
    #[default]
    Refuse,
    /// Take them all the same: reach before one policy everywhere.
    Serve,
}

/// Where the log of the fleet's group is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreConfig {
    /// Its directory; of one conductor alone.
    pub path: PathBuf,
    /// The most bytes that it may take.
    pub most_bytes: u64,
}

/// How work in hand is recorded for others to take over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeoverConfig {
    /// Most records in the whole fleet, named requests and sends.
    pub most_records: u64,
    /// Most bytes of all records.
    pub most_bytes: u64,
    /// The longest answer whose text is kept with its record, in bytes.
    pub most_text_bytes: usize,
    /// Most questions to the group that wait at this conductor.
    pub most_waiting: usize,
    /// How long a send or a tool call may wait for its record, in milliseconds; then it is not made.
    pub record_within_ms: u64,
    /// How long a client that comes again may wait for a conductor that may be dying, in milliseconds.
    pub claim_within_ms: u64,
    /// How long after SIGTERM what is in hand may run on here before it is handed over, in milliseconds.
    pub hand_over_after_ms: u64,
}

/// How a change of policy goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyConfig {
    /// A proposal that is not decided within this is in force nowhere, in milliseconds by the leader's clock.
    pub within_ms: u64,
    /// How long a new request may wait while a change goes through, in milliseconds.
    pub hold_ms: u64,
    /// Most new requests that wait so.
    pub most_held: usize,
}

impl PolicyConfig {
    fn read(value: Value) -> Result<Self, ConfigError> {
        let mut table = Table::new("policy", value)?;
        let config = PolicyConfig {
            within_ms: table.bounded("within_ms", 30_000, 100, 3_600_000)?,
            hold_ms: table.bounded("hold_ms", 8_000, 10, 600_000)?,
            most_held: table.bounded("most_held", 256, 1, 100_000)?,
        };
        table.end()?;
        Ok(config)
    }
}

/// What a conductor is told of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Its own name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Its own peer address: UDP for the view, TCP for the rest.
    pub peer: SocketAddr,
    /// The file with the shared key.
    pub key_file: PathBuf,
    /// The members that keep the log: 1, 3 or 5.
    pub voters: BTreeSet<MemberName>,
    /// The other members' addresses as this one reaches them; they win over what members say of themselves.
    pub peers: BTreeMap<MemberName, SocketAddr>,
    /// Members that this one learns from and renews through before it turns to the voters, the nearest first.
    pub relays: Vec<MemberName>,
    /// The most members that are known at once, this one included.
    pub most_members: usize,
    /// The most bytes that wait for one peer.
    pub most_queue_bytes: usize,
    /// The most frames that are taken from one peer in a second.
    pub most_frames_per_s: u32,
    /// What is done with new requests while the right to act has ended.
    pub when_cut_off: WhenCutOff,
    /// How often the holder of `discovery-refresh` does its duty, in milliseconds.
    pub refresh_period_ms: u64,
    /// Of the machines.
    pub settings: node::Config,
    /// Where the log is kept.
    pub store: StoreConfig,
    /// How work in hand is recorded, if it is.
    pub takeover: Option<TakeoverConfig>,
    /// How policies change, if they are the fleet's.
    pub policy: Option<PolicyConfig>,
}

/// The part of `limits.memory_mb` that the fleet's tables and queues may take.
const MEMORY_PART: usize = 8;
/// The part of `limits.sockets` that peers may take.
const SOCKETS_PART: usize = 4;
/// Descriptors beside two for each peer: the UDP socket, the listener, the log, and those who ask for the status.
const OWN_SOCKETS: usize = 12;
/// What is around entries in a message, and a member's row in a table that members exchange.
const AROUND: usize = 8 * 1024;
const ROW: usize = 2 * MAX_NAME_LENGTH + 64;
/// The longest payload of an entry, and bytes of entries in a message, unless the file says otherwise.
const PAYLOAD: usize = 96 * 1024;

impl TakeoverConfig {
    fn read(value: Value) -> Result<Self, ConfigError> {
        let mut table = Table::new("takeover", value)?;
        let config = TakeoverConfig {
            most_records: table.bounded("most_records", 10_000, 16, 1_000_000)?,
            most_bytes: table.bounded("most_bytes", 4 << 20, 64 << 10, 1 << 30)?,
            most_text_bytes: table.bounded("most_text_bytes", 16 << 10, 0, 32 << 10)?,
            most_waiting: table.bounded("most_waiting", 512, 8, 100_000)?,
            record_within_ms: table.bounded("record_within_ms", 1_000, 10, 60_000)?,
            claim_within_ms: table.bounded("claim_within_ms", 8_000, 10, 600_000)?,
            hand_over_after_ms: table.bounded("hand_over_after_ms", 5_000, 0, 3_600_000)?,
        };
        table.end()?;
        Ok(config)
    }
}

impl FleetConfig {
    /// Reads the four tables. `name` is the conductor's. `None` without a `[fleet]` table.
    ///
    /// # Errors
    /// Names the field at fault.
    pub(crate) fn read(
        name: &str,
        fleet: Option<Value>,
        store: Option<Value>,
        takeover: Option<Value>,
        policy: Option<Value>,
        limits: &Limits,
    ) -> Result<Option<Self>, ConfigError> {
        let Some(fleet) = fleet else {
            let useless = |name| {
                Err(ConfigError(format!(
                    "{name}: of no use without a [fleet] table"
                )))
            };
            return match (store, takeover, policy) {
                (Some(_), ..) => useless("store"),
                (_, Some(_), _) => useless("takeover"),
                (.., Some(_)) => useless("policy"),
                (None, None, None) => Ok(None),
            };
        };
        let takeover = takeover.map(TakeoverConfig::read).transpose()?;
        let policy = policy.map(PolicyConfig::read).transpose()?;
        let (mut fleet, mut store) = (
            Table::new("fleet", fleet)?,
            Table::new("store", store.unwrap_or_default())?,
        );
        let own = match fleet.optional::<String>("name")? {
            Some(name) => name,
            None => name.to_owned(),
        };
        let name =
            MemberName::try_from(own).map_err(|e| ConfigError(format!("fleet.name: {e}")))?;
        let mut settings = node::Config::default();
        settings.raft.max_payload_bytes = PAYLOAD;
        settings.raft.max_bytes_per_message = PAYLOAD;
        settings.membership = fleet.settings("view", settings.membership)?;
        settings.raft = fleet.settings("group", settings.raft)?;
        settings.lease = fleet.settings("lease", settings.lease)?;
        settings.bounds = fleet.settings("bounds", settings.bounds)?;
        settings.node = fleet.settings("node", settings.node)?;
        if let Some(policy) = &policy {
            settings.node.settings_proposal_timeout_ms = policy.within_ms;
        }
        let most_members: usize = fleet.bounded("most_members", 32, 1, 16_384)?;
        settings.membership.max_members = most_members.max(2);
        settings.raft.max_learners = most_members;
        let config = FleetConfig {
            site: fleet.required("site")?,
            peer: fleet.required("peer")?,
            key_file: fleet.required("key_file")?,
            voters: fleet.required("voters")?,
            peers: fleet.optional("peers")?.unwrap_or_default(),
            relays: fleet.optional("relays")?.unwrap_or_default(),
            most_members,
            most_queue_bytes: fleet.bounded("most_queue_bytes", 256 * 1024, 1, 1 << 30)?,
            most_frames_per_s: fleet.bounded("most_frames_per_s", 2_000, 50, 1_000_000)?,
            when_cut_off: fleet.optional("when_cut_off")?.unwrap_or_default(),
            refresh_period_ms: fleet.bounded("refresh_period_ms", 1_000, 10, 3_600_000)?,
            store: StoreConfig {
                path: store.required("path")?,
                most_bytes: store.bounded("most_bytes", 64 << 20, 1 << 20, 1 << 40)?,
            },
            settings,
            name,
            takeover,
            policy,
        };
        fleet.end()?;
        store.end()?;
        config
            .check(limits)
            .map_err(|(field, what)| ConfigError(format!("{field}: {what}")))?;
        Ok(Some(config))
    }

    fn check(&self, limits: &Limits) -> Result<(), (&'static str, String)> {
        if ![1, 3, 5].contains(&self.voters.len()) {
            return Err((
                "fleet.voters",
                format!("1, 3 or 5 are needed, not {}", self.voters.len()),
            ));
        }
        if let Some(voter) = self
            .voters
            .iter()
            .find(|v| **v != self.name && !self.peers.contains_key(v))
        {
            return Err((
                "fleet.voters",
                format!("{voter} has no address in fleet.peers"),
            ));
        }
        self.check_relays().map_err(|what| ("fleet.relays", what))?;
        if self.name.as_str() == ADMINISTRATOR
            || self.name.as_str().len() > lease::MAX_MEMBER_NAME_LENGTH
        {
            let most = lease::MAX_MEMBER_NAME_LENGTH;
            return Err((
                "fleet.name",
                format!(
                    "{} can't be one: at most {most} bytes, not {ADMINISTRATOR}",
                    self.name
                ),
            ));
        }
        if let Err(error) = self.settings.membership.validate() {
            return Err(("fleet.view", error.to_string()));
        }
        let group = &self.settings.raft;
        if group.heartbeat_interval_us == 0
            || group.heartbeat_interval_us.saturating_mul(5) > group.election_timeout_us
        {
            return Err((
                "fleet.group.heartbeat_us",
                "must be above 0 and at most a fifth of election_us".into(),
            ));
        }
        let group_payload = group.max_payload_bytes;
        if self.policy.is_some() && group_payload < MAX_CONTENT_BYTES + AROUND {
            let what = format!(
                "{group_payload} are too few for a [policy]: {} are needed",
                MAX_CONTENT_BYTES + AROUND
            );
            return Err(("fleet.group.most_payload_bytes", what));
        }
        let lease = &self.settings.lease;
        if lease.holder_duration() <= lease.renewal_interval() {
            let what = "nothing is left to act in after a third, drift_ppm and margin_ms";
            return Err(("fleet.lease.granted_for_ms", what.into()));
        }
        if lease.duration_ms > self.settings.bounds.max_lease_duration_ms {
            return Err((
                "fleet.lease.granted_for_ms",
                "is above fleet.bounds.most_granted_for_ms".into(),
            ));
        }
        if self.peer.port() == 0 || self.peer.ip().is_unspecified() {
            return Err(("fleet.peer", format!("others can't reach {}", self.peer)));
        }
        if let Some(own) = self.peers.get(&self.name).filter(|own| **own != self.peer) {
            return Err((
                "fleet.peers",
                format!(
                    "{} is this conductor, at {}, not {own}",
                    self.name, self.peer
                ),
            ));
        }
        let mut seen = BTreeMap::new();
        for (name, address) in self.peers.iter().filter(|(name, _)| **name != self.name) {
            if *address == self.peer {
                return Err((
                    "fleet.peers",
                    format!("{name} has this conductor's own address {address}"),
                ));
            }
            if let Some(other) = seen.insert(address, name) {
                return Err((
                    "fleet.peers",
                    format!("{other} and {name} have the same address {address}"),
                ));
            }
        }
        let members = self.peers.len() + usize::from(!self.peers.contains_key(&self.name));
        if self.most_members < members {
            return Err(("fleet.most_members", format!("{members} members are named")));
        }
        if self.sockets() > limits.sockets / SOCKETS_PART {
            let most = (limits.sockets / SOCKETS_PART).saturating_sub(OWN_SOCKETS) / 2;
            return Err((
                "fleet.most_members",
                format!("limits.sockets have room for {most} members"),
            ));
        }
        let frame = self.most_frame_bytes();
        if self.most_queue_bytes < frame {
            return Err((
                "fleet.most_queue_bytes",
                format!("the longest message has {frame}"),
            ));
        }
        // Each peer has a queue on its way out and a frame on its way in.
        let memory = limits.memory_mb * 1024 * 1024 / MEMORY_PART;
        if self.most_members * (self.most_queue_bytes + frame) > memory {
            let most = (memory / self.most_members).saturating_sub(frame);
            let what = format!(
                "limits.memory_mb have room for {most} for each of {} members",
                self.most_members
            );
            return Err(("fleet.most_queue_bytes", what));
        }
        Ok(())
    }

    fn check_relays(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        for relay in &self.relays {
            if *relay == self.name {
                return Err(format!("{relay} is this conductor"));
            }
            if !self.peers.contains_key(relay) {
                return Err(format!("{relay} has no address in fleet.peers"));
            }
            if !seen.insert(relay) {
                return Err(format!("{relay} is named twice"));
            }
        }
        Ok(())
    }

    /// Bytes of the longest message over a connection.
    pub fn most_frame_bytes(&self) -> usize {
        let group = &self.settings.raft;
        let entries = group.max_bytes_per_message.max(group.max_payload_bytes);
        AROUND + entries.max(ROW * self.most_members)
    }

    /// The descriptors that are kept for peers.
    pub fn sockets(&self) -> usize {
        2 * self.most_members + OWN_SOCKETS
    }

    /// Has relative paths begin at a folder: that of the operator's file.
    pub fn begin_paths_at(&mut self, folder: &Path) {
        self.key_file = folder.join(&self.key_file);
        self.store.path = folder.join(&self.store.path);
    }
}

/// A table whose fields are taken out one by one, so that each error can name its field.
struct Table {
    name: &'static str,
    fields: Map<String, Value>,
}

impl Table {
    fn new(name: &'static str, value: Value) -> Result<Self, ConfigError> {
        match value {
            Value::Object(fields) => Ok(Table { name, fields }),
            Value::Null => Ok(Table {
                name,
                fields: Map::new(),
            }),
            _ => Err(ConfigError(format!("{name}: not a table"))),
        }
    }

    fn wrong(&self, field: &str, what: impl std::fmt::Display) -> ConfigError {
        ConfigError(format!("{}.{field}: {what}", self.name))
    }

    fn optional<T: DeserializeOwned>(&mut self, field: &str) -> Result<Option<T>, ConfigError> {
        let Some(value) = self.fields.remove(field) else {
            return Ok(None);
        };
        serde_json::from_value(value)
            .map(Some)
            .map_err(|e| self.wrong(field, e))
    }

    fn required<T: DeserializeOwned>(&mut self, field: &str) -> Result<T, ConfigError> {
        self.optional(field)?
            .ok_or_else(|| self.wrong(field, "is missing"))
    }

    fn bounded<T: TryFrom<u64>>(
        &mut self,
        field: &str,
        default: u64,
        least: u64,
        most: u64,
    ) -> Result<T, ConfigError> {
        let number = self.optional::<u64>(field)?.unwrap_or(default);
        let fits = Some(number)
            .filter(|n| (least..=most).contains(n))
            .and_then(|n| T::try_from(n).ok());
        fits.ok_or_else(|| self.wrong(field, format!("{number} is not in {least} to {most}")))
    }

    /// Takes a table of settings: what it names stands in for what `settings` has.
    fn settings<T: DeserializeOwned + Serialize>(
        &mut self,
        field: &str,
        settings: T,
    ) -> Result<T, ConfigError> {
        let Some(given) = self.optional::<Map<String, Value>>(field)? else {
            return Ok(settings);
        };
        let mut whole = serde_json::to_value(&settings).map_err(|e| self.wrong(field, e))?;
        let mut settings = settings;
        for (name, value) in given {
            let path = format!("{field}.{name}");
            let place = whole
                .get_mut(&name)
                .ok_or_else(|| self.wrong(&path, "there is no such field"))?;
            *place = value;
            // One at a time: the error is this field's.
            settings = serde_json::from_value(whole.clone()).map_err(|e| self.wrong(&path, e))?;
        }
        Ok(settings)
    }

    fn end(self) -> Result<(), ConfigError> {
        match self.fields.keys().next() {
            Some(field) => Err(self.wrong(field, "there is no such field")),
            None => Ok(()),
        }
    }
}
