//! The log in memory: a snapshot and the entries after it.

use super::{Entry, Index, Payload, Snapshot, Term, Voters};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Log {
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    /// The latest configuration in `entries` or `snapshot`, and where it stands.
    voters: Option<(Index, Voters)>,
}

impl Log {
    /// Entries that do not follow the snapshot or one another are left out, with all after them.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Log {
        let mut log = Log {
            snapshot,
            entries: Vec::new(),
            voters: None,
        };
        let base = log.base();
        for entry in entries.into_iter().filter(|e| e.index > base) {
            if entry.index.0 != log.last().0 + 1 {
                break;
            }
            log.entries.push(entry);
        }
        log.find_voters();
        log
    }

    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub fn voters(&self) -> Option<&Voters> {
        self.voters.as_ref().map(|(_, v)| v)
    }

    /// Where the latest configuration stands.
    pub fn voters_at(&self) -> Option<Index> {
        self.voters.as_ref().map(|(i, _)| *i)
    }

    /// The last entry in the snapshot.
    pub fn base(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }

    pub fn last(&self) -> Index {
        Index(self.base().0 + self.entries.len() as u64)
    }

    pub fn last_term(&self) -> Term {
        self.term_at(self.last()).unwrap_or_default()
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        let at = index.0.checked_sub(self.base().0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The term of an entry, also of the snapshot's last one and of the nothing before the first.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        match &self.snapshot {
            Some(s) if s.index == index => Some(s.term),
            None if index.0 == 0 => Some(Term(0)),
            _ => self.get(index).map(|e| e.term),
        }
    }

    /// Drops all from the first of `entries` on and appends them.
    pub fn put(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.cut(first.index);
        let put = |e: &Entry| matches!(e.payload, Payload::Voters(_));
        self.entries.extend_from_slice(entries);
        if entries.iter().any(put) {
            self.find_voters();
        }
    }

    /// Drops all entries from `from` on.
    pub fn cut(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base().0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        if self.voters.as_ref().is_some_and(|(i, _)| *i >= from) {
            self.find_voters();
        }
    }

    /// Entries from `from` to `until`, bounded; at least one if there is one.
    pub fn slice(&self, from: Index, until: Index, most: usize, most_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while index <= until && entries.len() < most.max(1) {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.weight();
            if bytes > most_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index.0 += 1;
        }
        entries
    }

    /// The first entry of the run of entries with the same term that ends at `index`.
    pub fn first_of_term(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first.0 > self.base().0 + 1 && self.term_at(Index(first.0 - 1)) == term {
            first.0 -= 1;
        }
        first
    }

    /// The last entry up to `until` with a term of at most `term`.
    pub fn last_up_to(&self, term: Term, until: Index) -> Index {
        let mut index = until.min(self.last());
        while index > self.base() && self.term_at(index).is_some_and(|t| t > term) {
            index.0 -= 1;
        }
        index
    }

    /// Replaces the entries up to `index` by a snapshot.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.get(index)?.term;
        let up_to = (index.0 - self.base().0) as usize;
        let voters = self.entries[..up_to].iter().rev().find_map(voters_of);
        let voters = voters
            .or(self.snapshot.as_ref().map(|s| s.voters.clone()))
            .unwrap_or_default();
        self.entries.drain(..up_to);
        self.snapshot = Some(Snapshot {
            index,
            term,
            voters,
            data,
        });
        self.find_voters();
        self.snapshot.clone()
    }

    /// Takes a snapshot in. Says whether the entries after it could be kept.
    pub fn restore(&mut self, snapshot: Snapshot) -> bool {
        let keep = self.term_at(snapshot.index) == Some(snapshot.term);
        if keep {
            self.entries.retain(|e| e.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
        self.find_voters();
        keep
    }

    fn find_voters(&mut self) {
        let found = self
            .entries
            .iter()
            .rev()
            .find_map(|e| Some((e.index, voters_of(e)?)));
        self.voters = found.or(self.snapshot.as_ref().map(|s| (s.index, s.voters.clone())));
    }
}

fn voters_of(entry: &Entry) -> Option<Voters> {
    match &entry.payload {
        Payload::Voters(voters) => Some(voters.clone()),
        _ => None,
    }
}

impl Entry {
    /// About how many bytes it takes in a message.
    fn weight(&self) -> usize {
        24 + match &self.payload {
            Payload::Noop => 0,
            Payload::Voters(v) => 64 * (v.wanted.len() + v.now.len() + v.founders.len()),
            Payload::Data(data) => data.len(),
        }
    }
}
