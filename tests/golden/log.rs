//! What a member keeps of the log: entries, the hard state and a snapshot.

use super::{Example, member};
use std::collections::{BTreeMap, BTreeSet};
use whinhaven::fleet::raft::{EntryPayload, HardState, LogEntry, Snapshot, VoterConfig, VoterId};
use whinhaven::fleet::{Index, Term};

fn voter(name: &str, store: u64) -> VoterId {
    VoterId {
        name: member(name),
        store,
    }
}

pub fn voters() -> VoterConfig {
    VoterConfig {
        target: BTreeSet::from([member("c1"), member("c2"), member("c4")]),
        voters: BTreeSet::from([voter("c1", 901), voter("c2", 902), voter("c3", 903)]),
        bootstrap_voters: BTreeSet::from([voter("c1", 901), voter("c3", 903)]),
    }
}

/// One entry with each payload; they follow one another.
pub fn entries() -> Vec<LogEntry> {
    let payloads = [
        EntryPayload::Noop,
        EntryPayload::ConfigChange(voters()),
        EntryPayload::Data(vec![0, 1, 128, 255]),
    ];
    let entry = |(index, payload)| LogEntry {
        term: Term(76),
        index: Index(index),
        payload,
    };
    (504..).zip(payloads).map(entry).collect()
}

pub fn entry_examples() -> Vec<Example<LogEntry>> {
    let names = ["entry-noop", "entry-voters", "entry-data"];
    names.into_iter().zip(entries()).collect()
}

pub fn hard_state() -> HardState {
    HardState {
        term: Term(76),
        voted_for: Some(voter("c2", 902)),
        bootstrap_votes: BTreeMap::from([(member("c2"), 902), (member("c3"), 903)]),
        bootstrap_config: Some(voters()),
    }
}

pub fn snapshot() -> Snapshot {
    Snapshot {
        index: Index(503),
        term: Term(75),
        config: voters(),
        data: vec![5, 6, 7, 200],
    }
}
