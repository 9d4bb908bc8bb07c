//! Followers: AppendEntries (Raft paper 5.3) and InstallSnapshot (7), and the parts of both that learners share.

use super::node::RoleState;
use super::{
    Action, AppendOutcome, EntryPayload, LogEntry, MessageBody, Raft, Snapshot, SnapshotChunk,
    SnapshotOffset, StorageWrite, VoterConfig, VoterId,
};
use crate::fleet::{Index, Term};
use crate::routing::types::Micros;

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    from: VoterId,
    index: Index,
    term: Term,
    config: VoterConfig,
    /// Size of the whole snapshot, in bytes.
    total: u64,
    /// The bytes received so far.
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(from: &VoterId, chunk: &SnapshotChunk) -> IncomingSnapshot {
        IncomingSnapshot {
            from: from.clone(),
            index: chunk.index,
            term: chunk.term,
            config: chunk.config.clone(),
            total: chunk.total,
            data: Vec::new(),
        }
    }

    fn continues_with(&self, from: &VoterId, chunk: &SnapshotChunk) -> bool {
        self.from == *from
            && self.index == chunk.index
            && self.term == chunk.term
            && self.total == chunk.total
    }

    /// The index of the snapshot and the offset of the byte that is needed next.
    pub(super) fn offset(&self) -> SnapshotOffset {
        SnapshotOffset {
            index: self.index,
            offset: self.data.len() as u64,
        }
    }
}

/// A received AppendEntries message, without its sender and term.
pub(super) struct AppendRequest {
    pub(super) prev_index: Index,
    pub(super) prev_term: Term,
    pub(super) entries: Vec<LogEntry>,
    /// The leader's commit index.
    pub(super) commit: Index,
}

impl Raft {
    /// Follows the sender of a leader's message. False if the message is from an older term.
    pub(super) fn accept_leader(
        &mut self,
        now: Micros,
        from: &VoterId,
        term: Term,
        out: &mut Vec<Action>,
    ) -> bool {
        if term < self.hard_state.term {
            self.send_append_response(from, AppendOutcome::StaleTerm, out);
            return false;
        }
        if term == self.hard_state.term && matches!(self.role_state, RoleState::Leader(_)) {
            return false;
        }
        self.become_follower(now, term, Some(from.name.clone()), out);
        self.leader_heard_at = now;
        self.reset_election_timer(now);
        true
    }

    fn send_append_response(&self, to: &VoterId, outcome: AppendOutcome, out: &mut Vec<Action>) {
        let body = MessageBody::AppendResponse(outcome);
        self.send(to.name.clone(), to.store, body, out);
    }

    pub(super) fn on_append_entries(
        &mut self,
        from: &VoterId,
        request: AppendRequest,
        out: &mut Vec<Action>,
    ) {
        let AppendRequest {
            prev_index,
            prev_term,
            entries,
            commit,
        } = request;
        if !are_consecutive(prev_index, prev_term, &entries, self.hard_state.term) {
            return;
        }
        let local_term = self.log.term_at(prev_index);
        let is_committed = prev_index <= self.commit_index;
        let outcome = if is_committed || local_term == Some(prev_term) {
            let matched = self.append_entries(prev_index, entries, out);
            self.commit_index = self.commit_index.max(commit.min(matched));
            AppendOutcome::Matched(matched.max(self.commit_index))
        } else {
            let first_index = match local_term {
                Some(_) => {
                    let first_uncommitted = Index(self.commit_index.0 + 1);
                    self.log
                        .first_index_of_term_run(prev_index)
                        .max(first_uncommitted)
                }
                None => Index(self.log.last_index().0 + 1),
            };
            AppendOutcome::Conflict {
                prev_index,
                term: local_term,
                first_index,
            }
        };
        self.send_append_response(from, outcome, out);
    }

    /// Appends the entries that this log lacks, replacing conflicting ones; the log matches the sender's at
    /// `prev_index`. Returns the index up to which the logs match now.
    pub(super) fn append_entries(
        &mut self,
        prev_index: Index,
        mut entries: Vec<LogEntry>,
        out: &mut Vec<Action>,
    ) -> Index {
        let max_index = self.log.snapshot_index().0 + self.config.max_log_entries as u64;
        let room = max_index.saturating_sub(prev_index.0);
        entries.truncate(usize::try_from(room).unwrap_or(usize::MAX));
        let matched = Index(prev_index.0 + entries.len() as u64);
        let is_present = |entry: &LogEntry| {
            entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term)
        };
        let present = entries
            .iter()
            .position(|entry| !is_present(entry))
            .unwrap_or(entries.len());
        entries.drain(..present);
        if let Some(first) = entries.first().map(|entry| entry.index) {
            self.log.truncate_and_append(&entries);
            out.push(Action::Persist(StorageWrite::Entries { first, entries }));
        }
        matched
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: &VoterId,
        chunk: SnapshotChunk,
        out: &mut Vec<Action>,
    ) {
        let outcome = self.receive_snapshot_chunk(from, chunk, out);
        self.send_append_response(from, outcome, out);
    }

    /// Takes in a chunk of a snapshot, and installs the snapshot once it is complete.
    pub(super) fn receive_snapshot_chunk(
        &mut self,
        from: &VoterId,
        chunk: SnapshotChunk,
        out: &mut Vec<Action>,
    ) -> AppendOutcome {
        if chunk.index <= self.commit_index {
            self.incoming_snapshot = None;
            return AppendOutcome::Matched(self.commit_index);
        }
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(|incoming| incoming.continues_with(from, &chunk))
            .unwrap_or_else(|| IncomingSnapshot::new(from, &chunk));
        let (received, total) = (incoming.data.len() as u64, chunk.total);
        let is_acceptable =
            total <= self.config.max_snapshot_bytes as u64 && !chunk.config.voters.is_empty();
        let is_next = chunk.offset == received && chunk.data.len() as u64 <= total - received;
        if is_acceptable && is_next {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let SnapshotOffset { index, offset } = incoming.offset();
        if !is_acceptable || offset < total {
            self.incoming_snapshot = Some(incoming);
            return AppendOutcome::InstallingSnapshot { index, offset };
        }
        let snapshot = Snapshot {
            index,
            term: incoming.term,
            config: incoming.config,
            data: incoming.data,
        };
        self.install_snapshot(snapshot, out);
        AppendOutcome::Matched(index)
    }

    fn install_snapshot(&mut self, snapshot: Snapshot, out: &mut Vec<Action>) {
        let index = snapshot.index;
        self.advance_term(snapshot.term, out);
        // Only entries after the snapshot have to be removed from the store, and only if there are any: a write of
        // entries may not begin after the end of the stored log.
        let has_later_entries = self.log.last_index() > index;
        let kept_later_entries = self.log.install_snapshot(snapshot.clone());
        if !kept_later_entries && has_later_entries {
            out.push(Action::Persist(StorageWrite::Entries {
                first: Index(index.0 + 1),
                entries: Vec::new(),
            }));
        }
        out.push(Action::Persist(StorageWrite::Snapshot(snapshot.clone())));
        self.commit_index = index;
        self.applied_index = index;
        out.push(Action::Restore(snapshot));
    }
}

/// Whether `entries` are valid after the entry at `prev_index`: consecutive indexes, terms that never decrease and
/// don't exceed `max_term`, and no configuration without voters.
pub(super) fn are_consecutive(
    prev_index: Index,
    prev_term: Term,
    entries: &[LogEntry],
    max_term: Term,
) -> bool {
    let (mut index, mut term) = (prev_index, prev_term);
    for entry in entries {
        let is_next = index.0.checked_add(1) == Some(entry.index.0);
        let is_term_valid = entry.term >= term && entry.term <= max_term;
        let has_voters = match &entry.payload {
            EntryPayload::ConfigChange(config) => !config.voters.is_empty(),
            EntryPayload::Noop | EntryPayload::Data(_) => true,
        };
        if !is_next || !is_term_valid || !has_voters {
            return false;
        }
        (index, term) = (entry.index, entry.term);
    }
    true
}
