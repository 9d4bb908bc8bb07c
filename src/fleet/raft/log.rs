//! The log in memory: a snapshot and the entries after it.

use super::{EntryPayload, LogEntry, Snapshot, VoterConfig};
use crate::fleet::{Index, Term};

/// Estimated size of an entry without its payload, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Estimated size of a voter or member name in a configuration, in bytes.
const VOTER_BYTES: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    snapshot: Option<Snapshot>,
    entries: Vec<LogEntry>,
    /// The latest configuration in `entries` or `snapshot`, and its index.
    config: Option<(Index, VoterConfig)>,
}

impl Log {
    /// A log from stored parts. Entries that don't follow the snapshot consecutively are dropped, with all after them.
    pub(super) fn new(snapshot: Option<Snapshot>, entries: Vec<LogEntry>) -> Log {
        let mut log = Log {
            snapshot,
            entries: Vec::new(),
            config: None,
        };
        let snapshot_index = log.snapshot_index();
        for entry in entries
            .into_iter()
            .filter(|entry| entry.index > snapshot_index)
        {
            if entry.index.0 != log.last_index().0 + 1 {
                break;
            }
            log.entries.push(entry);
        }
        log.update_config();
        log
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// The latest configuration.
    pub(super) fn config(&self) -> Option<&VoterConfig> {
        self.config.as_ref().map(|(_, config)| config)
    }

    /// Whether there is a configuration and it is committed.
    pub(super) fn is_config_committed(&self, commit_index: Index) -> bool {
        let config_index = self.config.as_ref().map(|(index, _)| *index);
        config_index.is_some_and(|index| index <= commit_index)
    }

    /// Index of the last entry that the snapshot includes; 0 without a snapshot.
    pub(super) fn snapshot_index(&self) -> Index {
        self.snapshot
            .as_ref()
            .map_or(Index(0), |snapshot| snapshot.index)
    }

    pub(super) fn last_index(&self) -> Index {
        Index(self.snapshot_index().0 + self.entries.len() as u64)
    }

    pub(super) fn last_term(&self) -> Term {
        self.term_at(self.last_index()).unwrap_or_default()
    }

    pub(super) fn get(&self, index: Index) -> Option<&LogEntry> {
        let position = index.0.checked_sub(self.snapshot_index().0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// The term of an entry, also of the last one in the snapshot; 0 for index 0 of a log without a snapshot.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        match &self.snapshot {
            Some(snapshot) if snapshot.index == index => Some(snapshot.term),
            None if index.0 == 0 => Some(Term(0)),
            _ => self.get(index).map(|entry| entry.term),
        }
    }

    /// Removes all entries from the first of `entries` on, then appends `entries`.
    pub(super) fn truncate_and_append(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else { return };
        self.truncate_from(first.index);
        self.entries.extend_from_slice(entries);
        if entries.iter().any(|entry| config_in(entry).is_some()) {
            self.update_config();
        }
    }

    /// Removes all entries from `first` on.
    fn truncate_from(&mut self, first: Index) {
        let kept = first.0.saturating_sub(self.snapshot_index().0 + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        if self
            .config
            .as_ref()
            .is_some_and(|(index, _)| *index >= first)
        {
            self.update_config();
        }
    }

    /// Entries from `first` to `last`, within the limits; at least one if there is one.
    pub(super) fn slice(
        &self,
        first: Index,
        last: Index,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while index <= last && entries.len() < max_entries.max(1) {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.estimated_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index.0 += 1;
        }
        entries
    }

    /// The first index of the run of entries with the same term that ends at `index`.
    pub(super) fn first_index_of_term_run(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first.0 > self.snapshot_index().0 + 1 && self.term_at(Index(first.0 - 1)) == term {
            first.0 -= 1;
        }
        first
    }

    /// The last index up to `last` whose entry has a term of at most `term`.
    pub(super) fn last_index_up_to_term(&self, term: Term, last: Index) -> Index {
        let mut index = last.min(self.last_index());
        while index > self.snapshot_index() && self.term_at(index).is_some_and(|other| other > term)
        {
            index.0 -= 1;
        }
        index
    }

    /// Replaces the entries up to `index` by a snapshot, and returns it. `None` if there is no such entry.
    pub(super) fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.get(index)?.term;
        let count = (index.0 - self.snapshot_index().0) as usize;
        let config_in_entries = self.entries[..count].iter().rev().find_map(config_in);
        let config_in_snapshot = self.snapshot.as_ref().map(|snapshot| &snapshot.config);
        let config = config_in_entries
            .or(config_in_snapshot)
            .cloned()
            .unwrap_or_default();
        self.entries.drain(..count);
        self.snapshot = Some(Snapshot {
            index,
            term,
            config,
            data,
        });
        self.update_config();
        self.snapshot.clone()
    }

    /// Replaces the log up to the snapshot's index. Returns whether the entries after it were kept: they are dropped
    /// if this log has another entry than the snapshot's last one at its index.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let is_prefix = self.term_at(snapshot.index) == Some(snapshot.term);
        if is_prefix {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
        self.update_config();
        is_prefix
    }

    fn update_config(&mut self) {
        let in_entries = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| Some((entry.index, config_in(entry)?.clone())));
        let in_snapshot = || {
            let snapshot = self.snapshot.as_ref()?;
            Some((snapshot.index, snapshot.config.clone()))
        };
        self.config = in_entries.or_else(in_snapshot);
    }
}

fn config_in(entry: &LogEntry) -> Option<&VoterConfig> {
    match &entry.payload {
        EntryPayload::ConfigChange(config) => Some(config),
        EntryPayload::Noop | EntryPayload::Data(_) => None,
    }
}

impl LogEntry {
    /// Approximate size in a message.
    fn estimated_bytes(&self) -> usize {
        let payload_bytes = match &self.payload {
            EntryPayload::Noop => 0,
            EntryPayload::ConfigChange(config) => {
                let voters =
                    config.target.len() + config.voters.len() + config.bootstrap_voters.len();
                VOTER_BYTES * voters
            }
            EntryPayload::Data(data) => data.len(),
        };
        ENTRY_OVERHEAD_BYTES + payload_bytes
    }
}
