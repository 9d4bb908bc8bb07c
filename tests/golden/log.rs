//! What a member keeps of the log: entries, the hard state and a snapshot.

use super::{Example, member};
use std::collections::{BTreeMap, BTreeSet};
use whinhaven::fleet::raft::{Entry, HardState, Payload, Snapshot, VoterId, Voters};
use whinhaven::fleet::{Index, Term};

fn voter(name: &str, store: u64) -> VoterId {
    VoterId {
        name: member(name),
        store,
    }
}

pub fn voters() -> Voters {
    Voters {
        wanted: BTreeSet::from([member("c1"), member("c2"), member("c4")]),
        now: BTreeSet::from([voter("c1", 901), voter("c2", 902), voter("c3", 903)]),
        founders: BTreeSet::from([voter("c1", 901), voter("c3", 903)]),
    }
}

/// One entry with each payload; they follow one another.
pub fn entries() -> Vec<Entry> {
    let payloads = [
        Payload::Noop,
        Payload::Voters(voters()),
        Payload::Data(vec![0, 1, 128, 255]),
    ];
    let entry = |(index, payload)| Entry {
        term: Term(76),
        index: Index(index),
        payload,
    };
    (504..).zip(payloads).map(entry).collect()
}

pub fn entry_examples() -> Vec<Example<Entry>> {
    let names = ["entry-noop", "entry-voters", "entry-data"];
    names.into_iter().zip(entries()).collect()
}

pub fn hard_state() -> HardState {
    HardState {
        term: Term(76),
        voted: Some(voter("c2", 902)),
        pledges: BTreeMap::from([(member("c2"), 902), (member("c3"), 903)]),
        founded: Some(voters()),
    }
}

pub fn snapshot() -> Snapshot {
    Snapshot {
        index: Index(503),
        term: Term(75),
        voters: voters(),
        data: vec![5, 6, 7, 200],
    }
}
