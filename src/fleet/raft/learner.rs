//! Learners pull committed entries, or a snapshot, from a voter or relay.
//!
//! A voter that stands for election pulls as well: it may have been removed without having learned of it.

use super::follower::are_consecutive;
use super::node::RoleState;
use super::{
    Action, AppendOutcome, LogEntry, MessageBody, Raft, SnapshotChunk, SnapshotOffset, VoterId,
};
use crate::fleet::{Index, MemberName, Term};
use crate::routing::types::Micros;
use std::collections::BTreeSet;

/// A learner that pulls from another member than its first relay tries the first one again after this time.
const FIRST_RELAY_RETRY_US: Micros = 30_000_000;

/// A received pull response, without its sender.
pub(super) struct PullResponse {
    /// Term of the message.
    pub(super) term: Term,
    pub(super) entries: Vec<LogEntry>,
    /// The sender's commit index.
    pub(super) commit: Index,
    pub(super) leader: Option<MemberName>,
}

impl Raft {
    /// Requests committed entries from the pull source; changes the source if it has not answered for an election
    /// timeout.
    pub(super) fn pull(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.pull_deadline = now.saturating_add(self.config.pull_interval_us);
        let election_timeout = self.config.election_timeout_us;
        let source_is_silent = now.saturating_sub(self.pull_source_heard_at) > election_timeout;
        let source_age = now.saturating_sub(self.pull_source_changed_at);
        if source_is_silent {
            self.pull_source += 1;
            self.pull_source_heard_at = now;
            self.leader = None;
            self.pull_source_changed_at = now;
        } else if !self.relays.is_empty() && source_age > FIRST_RELAY_RETRY_US {
            self.pull_source = 0;
            self.pull_source_changed_at = now;
        }
        let snapshot = self
            .incoming_snapshot
            .as_ref()
            .map(super::follower::IncomingSnapshot::offset);
        if let Some(source) = self.pull_source_name() {
            let next = Index(self.commit_index.0 + 1);
            self.send(source, 0, MessageBody::PullRequest { next, snapshot }, out);
        }
    }

    /// The member to pull from: the leader, for a target voter, so that the leader knows when it has caught up; else
    /// any relay or voter.
    fn pull_source_name(&self) -> Option<MemberName> {
        if let Some(leader) = &self.leader
            && self.is_target_voter()
        {
            return Some(leader.clone());
        }
        // The known configuration may be so old that all its voters are gone; the initial voters may know a later one.
        let mut voters: BTreeSet<&MemberName> = self.initial_voters.iter().collect();
        if let Some(config) = self.voter_config() {
            voters.extend(config.voters.iter().map(|voter| &voter.name));
            voters.extend(&config.target);
        }
        let voters = voters
            .into_iter()
            .filter(|name| !self.relays.contains(name));
        let sources: Vec<&MemberName> = self
            .relays
            .iter()
            .chain(voters)
            .filter(|name| **name != self.id.name)
            .collect();
        let position = (self.pull_source % sources.len().max(1) as u64) as usize;
        sources.get(position).map(|name| (*name).clone())
    }

    /// Whether this member is a voter of the target configuration.
    pub(super) fn is_target_voter(&self) -> bool {
        self.voter_config()
            .map_or(&self.initial_voters, |config| &config.target)
            .contains(&self.id.name)
    }

    /// Whether pulled data may change the log: a candidate's log must stay as announced in its vote request.
    fn accepts_pulled_data(&self) -> bool {
        match &self.role_state {
            RoleState::Follower => true,
            RoleState::Candidate(campaign) => campaign.is_pre_vote(),
            RoleState::Leader(_) => false,
        }
    }

    pub(super) fn on_pull_response(
        &mut self,
        now: Micros,
        from: VoterId,
        response: PullResponse,
        out: &mut Vec<Action>,
    ) {
        if !self.accepts_pulled_data() {
            return;
        }
        if !self.is_voter() {
            self.note_pull_source(now, &response, out);
        }
        let PullResponse {
            entries, commit, ..
        } = response;
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        let Some(prev_index) = first.0.checked_sub(1).map(Index) else {
            return;
        };
        let max_term = entries
            .iter()
            .map(|entry| entry.term)
            .max()
            .unwrap_or_default();
        if prev_index > self.commit_index
            || !are_consecutive(prev_index, Term(0), &entries, max_term)
        {
            return;
        }
        self.advance_term(max_term, out);
        let matched = self.append_entries(prev_index, entries, out);
        self.commit_index = self.commit_index.max(commit.min(matched));
        if !self.is_voter() {
            let body = MessageBody::PullRequest {
                next: Index(matched.0 + 1),
                snapshot: None,
            };
            self.send(from.name, from.store, body, out);
        }
    }

    /// Records that the source is useful, and the leader that it knows.
    ///
    /// A source that knows no leader and has no new entries may be as far behind as this member: it doesn't count as
    /// heard, so that another one is asked. A target voter needs the leader itself.
    fn note_pull_source(&mut self, now: Micros, response: &PullResponse, out: &mut Vec<Action>) {
        let has_new_entries = response
            .entries
            .last()
            .is_some_and(|entry| entry.index > self.commit_index);
        if response.leader.is_some() || (has_new_entries && !self.is_target_voter()) {
            self.pull_source_heard_at = now;
        }
        let Some(leader) = &response.leader else {
            return;
        };
        if *leader != self.id.name && response.term >= self.hard_state.term {
            self.advance_term(response.term, out);
            self.leader = Some(leader.clone());
        }
    }

    pub(super) fn on_pull_snapshot(
        &mut self,
        now: Micros,
        from: VoterId,
        chunk: SnapshotChunk,
        out: &mut Vec<Action>,
    ) {
        if !self.accepts_pulled_data() {
            return;
        }
        self.pull_source_heard_at = now;
        let offset_before = self
            .incoming_snapshot
            .as_ref()
            .map(|incoming| incoming.offset().offset);
        let snapshot = match self.receive_snapshot_chunk(&from, chunk, out) {
            AppendOutcome::InstallingSnapshot { offset, .. } if offset_before == Some(offset) => {
                return;
            }
            AppendOutcome::InstallingSnapshot { index, offset } => {
                Some(SnapshotOffset { index, offset })
            }
            _ => None,
        };
        let next = Index(self.commit_index.0 + 1);
        let body = MessageBody::PullRequest { next, snapshot };
        self.send(from.name, from.store, body, out);
    }
}
