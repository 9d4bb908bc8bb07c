//! Pins what members write for each other and for later versions: messages, the log, the store, frames and settings.
//!
//! The files in `tests/golden/fleet/` are fixed. A change that fails here can't be read by members of earlier versions,
//! or can't read what they have kept. Only the names of types and fields in the constructors may change with the code.

mod golden;

use golden::{commands, hex_lines, log, member, messages, site, who};
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use whinhaven::config::Config;
use whinhaven::fleet::config::{FleetConfig, PolicyConfig, TakeoverConfig, WhenCutOff};
use whinhaven::fleet::lease::RenewalPath;
use whinhaven::fleet::message::Message;
use whinhaven::fleet::raft::{HardState, LogEntry, RestoredState, Snapshot};
use whinhaven::fleet::state::{FleetState, Proposal, ProposalResult, StateChange};
use whinhaven::fleet::transport::disk::{Disk, OpenedStore};
use whinhaven::fleet::transport::seal;
use whinhaven::fleet::{Incarnation, lease, node, policy_epoch, sites, work};
use whinhaven::storage;

const MESSAGES: &str = include_str!("golden/fleet/messages.hex");
const PROPOSALS: &str = include_str!("golden/fleet/proposals.hex");
const ENTRIES: &str = include_str!("golden/fleet/entries.hex");
const HARD_STATE: &str = include_str!("golden/fleet/hard_state.hex");
const SNAPSHOT: &str = include_str!("golden/fleet/snapshot.hex");
const STATE: &str = include_str!("golden/fleet/state.hex");
const FRAMES: &str = include_str!("golden/fleet/frames.hex");
const SETTINGS: &str = include_str!("golden/fleet/settings.json");
const STORE_SETTINGS: &str = include_str!("golden/fleet/store_settings.json");
const SEAL_BOUNDS: &str = include_str!("golden/fleet/seal_bounds.json");
const CONDUCTOR: &str = include_str!("golden/fleet/conductor.toml");
const FIRST_CONDUCTOR: &str = include_str!("../deploy/fleet/c1.toml");

/// The number that the store in `tests/golden/fleet/store` drew when it was formatted.
const STORE_ID: u64 = 2616993041278543433;
/// The incarnation in which that store was written.
const LAST_INCARNATION: u64 = 1_700_000_000_000_001;

/// The bytes of each line of a data file.
fn lines(file: &str) -> Vec<Vec<u8>> {
    file.lines().map(line_bytes).collect()
}

fn line_bytes(line: &str) -> Vec<u8> {
    let (_, digits) = line.split_once(' ').unwrap();
    let starts = (0..digits.len()).step_by(2);
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).unwrap();
    starts.map(byte).collect()
}

fn postcard_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

fn json<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap();
    text.push('\n');
    text
}

#[test]
fn peer_messages_keep_their_encoding() {
    let written = hex_lines(&messages::examples(), Message::encode);
    assert_eq!(written, MESSAGES);
}

#[test]
fn kept_peer_messages_decode_to_the_same_values() {
    let kept = lines(MESSAGES);
    assert_eq!(kept.len(), messages::examples().len());
    for (bytes, (name, message)) in kept.iter().zip(messages::examples()) {
        assert_eq!(Message::decode(bytes), Some(message), "{name}");
    }
}

#[test]
fn proposals_keep_their_encoding() {
    let written = hex_lines(&commands::examples(), Proposal::encode);
    assert_eq!(written, PROPOSALS);
}

#[test]
fn kept_proposals_decode_to_the_same_values() {
    let kept = lines(PROPOSALS);
    assert_eq!(kept.len(), commands::examples().len());
    for (bytes, (name, proposal)) in kept.iter().zip(commands::examples()) {
        assert_eq!(Proposal::decode(bytes), Some(proposal), "{name}");
    }
}

#[test]
fn log_entries_keep_their_encoding() {
    let written = hex_lines(&log::entry_examples(), postcard_bytes);
    assert_eq!(written, ENTRIES);
    let read = |bytes: &Vec<u8>| postcard::from_bytes::<LogEntry>(bytes).unwrap();
    let kept: Vec<LogEntry> = lines(ENTRIES).iter().map(read).collect();
    assert_eq!(kept, log::entries());
}

#[test]
fn the_hard_state_keeps_its_encoding() {
    let written = hex_lines(&[("hard-state", log::hard_state())], postcard_bytes);
    assert_eq!(written, HARD_STATE);
    let kept: HardState = postcard::from_bytes(&line_bytes(HARD_STATE.trim_end())).unwrap();
    assert_eq!(kept, log::hard_state());
}

#[test]
fn snapshots_keep_their_encoding() {
    let written = hex_lines(&[("snapshot", log::snapshot())], postcard_bytes);
    assert_eq!(written, SNAPSHOT);
    let kept: Snapshot = postcard::from_bytes(&line_bytes(SNAPSHOT.trim_end())).unwrap();
    assert_eq!(kept, log::snapshot());
}

#[test]
fn the_applied_state_keeps_its_encoding() {
    let (state, _) = commands::state();
    let written = hex_lines(&[("state", state.clone())], FleetState::encode);
    assert_eq!(written, STATE);
    let kept = FleetState::decode(&line_bytes(STATE.trim_end()));
    assert_eq!(kept, Some(state));
}

/// Otherwise the state above would pin less than it seems to.
#[test]
fn no_proposal_of_the_applied_state_is_refused() {
    let (_, effects) = commands::state();
    for effect in &effects {
        assert!(!is_refusal(effect), "{effect:?}");
    }
}

fn is_refusal(effect: &StateChange) -> bool {
    match effect {
        StateChange::ProposalDecided { result: answer, .. } => matches!(
            answer,
            ProposalResult::Rejected(_)
                | ProposalResult::Lease(lease::Outcome::Rejected(_) | lease::Outcome::NoEffect)
                | ProposalResult::Takeover(work::Reply::Rejected(_))
                | ProposalResult::Policy(policy_epoch::Reply::Refused(_))
        ),
        StateChange::Sites(effect) => matches!(effect, sites::epoch::Effect::Refused(_)),
        _ => false,
    }
}

fn keys() -> seal::Keys {
    seal::Keys::parse(&"0123456789abcdef".repeat(4)).unwrap()
}

const SESSION: seal::ConnectionNonce = seal::ConnectionNonce([7; 16]);

fn frames() -> Vec<golden::Example<Vec<u8>>> {
    let bounds = seal::FrameLimits::default();
    let (from, to) = (who("c1", 11), member("c2"));
    let mut datagrams = seal::Sealer::new(from.clone(), keys(), &bounds);
    let mut stream = seal::StreamSealer::new(from, to.clone(), keys(), &bounds, SESSION);
    vec![
        ("datagram", datagrams.seal(&to, 3, b"payload").unwrap()),
        ("stream-first", stream.seal(4, b"first").unwrap()),
        ("stream-second", stream.seal(5, b"second").unwrap()),
    ]
}

#[test]
fn sealed_frames_keep_their_bytes() {
    assert_eq!(hex_lines(&frames(), Vec::clone), FRAMES);
}

#[test]
fn kept_frames_are_opened() {
    let kept = lines(FRAMES);
    let mut opener = seal::Opener::new(member("c2"), keys(), seal::FrameLimits::default());
    let mut inbound = seal::Inbound::new(SESSION);
    let datagram = opener.open_datagram(0, &kept[0]).unwrap();
    assert_eq!(datagram, opened(3, 1, b"payload"));
    let first = opener.open_stream_frame(0, &mut inbound, &kept[1]).unwrap();
    assert_eq!(first, opened(4, 1, b"first"));
    let second = opener.open_stream_frame(0, &mut inbound, &kept[2]).unwrap();
    assert_eq!(second, opened(5, 2, b"second"));
}

fn opened(kind: u8, sequence: u64, payload: &[u8]) -> seal::OpenedFrame<'_> {
    seal::OpenedFrame {
        from: who("c1", 11),
        kind,
        sequence,
        payload,
    }
}

/// A copy of the kept store, removed at the end of a test.
struct StoreCopy(PathBuf);

impl StoreCopy {
    fn new() -> Self {
        let name = format!("whinhaven-golden-store-{}", std::process::id());
        let copy = StoreCopy(std::env::temp_dir().join(name));
        let _ = std::fs::remove_dir_all(&copy.0);
        std::fs::create_dir(&copy.0).unwrap();
        let kept = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/fleet/store");
        for file in std::fs::read_dir(kept).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), copy.0.join(file.file_name())).unwrap();
        }
        copy
    }

    fn open(&self) -> OpenedStore {
        Disk::open(&self.0, storage::StoreConfig::default(), 0).unwrap()
    }
}

impl Drop for StoreCopy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_kept_store_is_read_as_it_was_written() {
    let copy = StoreCopy::new();
    let found = copy.open();
    let written = RestoredState {
        hard_state: log::hard_state(),
        snapshot: Some(log::snapshot()),
        entries: log::entries(),
    };
    assert_eq!(found.restored, written);
    assert_eq!(found.store_id, STORE_ID);
    assert!(!found.newly_formatted);
    assert_eq!(found.torn_tail, None);
    let next_incarnation = Incarnation(LAST_INCARNATION + 1);
    assert_eq!(found.disk.incarnation(), next_incarnation);
}

#[test]
fn default_settings_keep_their_names_and_values() {
    assert_eq!(json(&node::Config::default()), SETTINGS);
    assert_eq!(json(&storage::StoreConfig::default()), STORE_SETTINGS);
    assert_eq!(json(&seal::FrameLimits::default()), SEAL_BOUNDS);
}

#[test]
fn kept_settings_are_read() {
    let settings: node::Config = serde_json::from_str(SETTINGS).unwrap();
    assert_eq!(settings, node::Config::default());
    let store: storage::StoreConfig = serde_json::from_str(STORE_SETTINGS).unwrap();
    assert_eq!(store, storage::StoreConfig::default());
    let bounds: seal::FrameLimits = serde_json::from_str(SEAL_BOUNDS).unwrap();
    assert_eq!(bounds, seal::FrameLimits::default());
}

fn fleet_of(file: &str) -> FleetConfig {
    Config::from_toml(file).unwrap().fleet.unwrap()
}

#[test]
fn every_field_of_the_fleet_table_is_read() {
    let fleet = fleet_of(CONDUCTOR);
    assert_eq!(fleet.name, member("c2"));
    assert_eq!(fleet.site, site("south"));
    assert_eq!(fleet.peer, "127.0.0.1:7102".parse().unwrap());
    assert_eq!(fleet.key_file, Path::new("fleet.key"));
    let voters = BTreeSet::from([member("c1"), member("c2"), member("c3")]);
    assert_eq!(fleet.voters, voters);
    let third = "127.0.0.1:7103".parse().unwrap();
    assert_eq!(fleet.peers[&member("c3")], third);
    assert_eq!(fleet.relays, [member("c3")]);
    assert_eq!(fleet.most_members, 33);
    assert_eq!(fleet.most_queue_bytes, 300_000);
    assert_eq!(fleet.most_frames_per_s, 2001);
    assert_eq!(fleet.when_cut_off, WhenCutOff::Serve);
    assert_eq!(fleet.refresh_period_ms, 1002);
}

#[test]
fn every_table_of_settings_in_the_fleet_table_is_read() {
    let settings = fleet_of(CONDUCTOR).settings;
    assert_eq!(settings.membership.period_ms, 600);
    assert_eq!(settings.raft.election_timeout_us, 1_100_000);
    assert_eq!(settings.lease.renewal, RenewalPath::Leader);
    assert_eq!(settings.lease.retry.initial_delay_ms, 110);
    assert_eq!(settings.lease.retry.max_delay_ms, 1100);
    assert_eq!(settings.bounds.max_waiters, 65);
    assert_eq!(settings.node.max_wanted_leases, 66);
    assert_eq!(settings.node.settings_proposal_timeout_ms, 30_001);
}

#[test]
fn every_field_of_the_store_table_is_read() {
    let store = fleet_of(CONDUCTOR).store;
    assert_eq!(store.path, Path::new("data/c2"));
    assert_eq!(store.most_bytes, 50_000_000);
}

#[test]
fn every_field_of_the_takeover_table_is_read() {
    let takeover = TakeoverConfig {
        most_records: 10_001,
        most_bytes: 4_000_001,
        most_text_bytes: 16_001,
        most_waiting: 513,
        record_within_ms: 1001,
        claim_within_ms: 8001,
        hand_over_after_ms: 5001,
    };
    assert_eq!(fleet_of(CONDUCTOR).takeover, Some(takeover));
}

#[test]
fn every_field_of_the_policy_table_is_read() {
    let policy = PolicyConfig {
        within_ms: 30_001,
        hold_ms: 8002,
        most_held: 257,
    };
    assert_eq!(fleet_of(CONDUCTOR).policy, Some(policy));
}

#[test]
fn the_deployed_file_is_read() {
    let config = Config::from_toml(FIRST_CONDUCTOR).unwrap();
    assert_eq!(config.name, "c1");
    assert_eq!(config.listen, "127.0.0.1:8081".parse().unwrap());
    assert_eq!(config.limits.memory_mb, 192);
    assert!(config.tools.is_some());
    let fleet = config.fleet.unwrap();
    assert_eq!(fleet.name, member("c1"));
    assert_eq!(fleet.site, site("north"));
    assert_eq!(fleet.peer, "127.0.0.1:7101".parse().unwrap());
    assert_eq!(fleet.voters.len(), 5);
    assert_eq!(fleet.peers.len(), 5);
    assert_eq!(fleet.when_cut_off, WhenCutOff::Refuse);
    assert_eq!(fleet.store.path, Path::new("data/c1"));
    assert!(fleet.takeover.is_some());
    assert!(fleet.policy.is_some());
}
