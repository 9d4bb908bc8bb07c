//! The leader: heartbeats, log replication (Raft paper 5.3), commitment (5.4.2), and leadership transfer.

use super::node::{ProposalOrigin, RoleState};
use super::progress::Progress;
use super::{
    Action, AppendOutcome, EntryPayload, LogEntry, MessageBody, ProposalPayload, Raft, Rejection,
    SnapshotOffset, StorageWrite, VoterConfig, VoterId,
};
use crate::fleet::{Index, Term};
use crate::routing::types::Micros;
use std::collections::BTreeMap;

/// State of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaderState {
    /// When the next heartbeat is due.
    pub(super) heartbeat_deadline: Micros,
    /// When it was elected.
    pub(super) elected_at: Micros,
    /// Index of the first entry of its term.
    pub(super) first_index: Index,
    /// Replication progress of the other voters.
    pub(super) progress: BTreeMap<VoterId, Progress>,
    /// The voter that leadership is being transferred to.
    pub(super) transfer_target: Option<VoterId>,
    /// When the transfer is abandoned.
    transfer_deadline: Micros,
}

/// A received append response, without its sender.
pub(super) struct AppendResponse {
    /// Term of the message.
    pub(super) term: Term,
    pub(super) bootstrapped: bool,
    pub(super) outcome: AppendOutcome,
}

impl Raft {
    /// Takes over leadership after a won election.
    pub(super) fn become_leader(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next = Index(self.log.last_index().0 + 1);
        let others = self.other_voters().into_iter();
        let progress = others.map(|voter| (voter, Progress::new(next, now)));
        self.role_state = RoleState::Leader(LeaderState {
            heartbeat_deadline: now,
            elected_at: now,
            first_index: next,
            progress: progress.collect(),
            transfer_target: None,
            transfer_deadline: 0,
        });
        self.leader = Some(self.id.name.clone());
        self.incoming_snapshot = None;
        let payload = match (self.log.config(), &self.hard_state.bootstrap_config) {
            (None, Some(config)) => EntryPayload::ConfigChange(config.clone()),
            _ => EntryPayload::Noop,
        };
        self.append_own_entry(now, payload, out);
        self.broadcast_heartbeats(now, out);
    }

    /// Whether this member leads and has applied all entries committed in earlier terms.
    pub fn is_established_leader(&self) -> bool {
        self.role_state
            .leader()
            .is_some_and(|leader| self.applied_index >= leader.first_index)
    }

    /// Whether the leader has heard from a majority within the election timeout (CheckQuorum).
    pub(super) fn has_quorum_contact(&self, leader: &LeaderState, now: Micros) -> bool {
        self.voter_config().is_some_and(|config| {
            self.count_recently_heard(leader, config, now) >= config.majority()
        })
    }

    /// Number of voters of `config` that the leader has heard from within the election timeout, itself included.
    pub(super) fn count_recently_heard(
        &self,
        leader: &LeaderState,
        config: &VoterConfig,
        now: Micros,
    ) -> usize {
        let was_heard = |voter: &VoterId| {
            if *voter == self.id {
                return true;
            }
            if let Some(progress) = leader.progress.get(voter) {
                return self.is_recent(now, progress.heard_at);
            }
            // A learner that is about to become a voter.
            self.learners.get(&voter.name).is_some_and(|learner| {
                learner.store == voter.store && self.is_recent(now, learner.heard_at)
            })
        };
        config
            .voters
            .iter()
            .filter(|voter| was_heard(voter))
            .count()
    }

    /// Sends heartbeats (or missing entries) to all voters; steps down if a majority is silent.
    pub(super) fn broadcast_heartbeats(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        if !self.has_quorum_contact(leader, now) {
            return self.become_follower(now, self.hard_state.term, None, out);
        }
        let Some(leader) = self.role_state.leader_mut() else {
            return;
        };
        leader.heartbeat_deadline = now.saturating_add(self.config.heartbeat_interval_us);
        if now > leader.transfer_deadline {
            leader.transfer_target = None;
        }
        for progress in leader.progress.values_mut() {
            if progress.has_unacknowledged() && !std::mem::take(&mut progress.has_responded) {
                progress.start_probing();
            }
        }
        for voter in self.other_voters() {
            if !self.replicate_to(&voter, out) {
                self.send_append(&voter, Vec::new(), out);
            }
        }
        self.advance_commit(now, out);
    }

    /// Appends an entry of this leader to the log and replicates it.
    pub(super) fn append_own_entry(
        &mut self,
        now: Micros,
        payload: EntryPayload,
        out: &mut Vec<Action>,
    ) {
        let index = Index(self.log.last_index().0 + 1);
        let entries = vec![LogEntry {
            term: self.hard_state.term,
            index,
            payload,
        }];
        self.log.truncate_and_append(&entries);
        let first = index;
        out.push(Action::Persist(StorageWrite::Entries { first, entries }));
        self.track_voters(now, index);
        for voter in self.other_voters() {
            self.replicate_to(&voter, out);
        }
        self.advance_commit(now, out);
    }

    /// Tracks the progress of exactly the other voters of the latest configuration; new ones are probed at `next`.
    fn track_voters(&mut self, now: Micros, next: Index) {
        let others = self.other_voters();
        let Some(leader) = self.role_state.leader_mut() else {
            return;
        };
        leader.progress.retain(|voter, _| others.contains(voter));
        for voter in others {
            leader
                .progress
                .entry(voter)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Sends a voter the entries or the snapshot chunk that it lacks, within the limits. False if nothing was sent.
    fn replicate_to(&mut self, voter: &VoterId, out: &mut Vec<Action>) -> bool {
        let mut has_sent = false;
        loop {
            let Some(progress) = self.progress_of(voter) else {
                return has_sent;
            };
            if progress.next <= self.log.snapshot_index() || progress.snapshot.is_some() {
                return self.send_snapshot_chunk(voter, out) || has_sent;
            }
            let is_up_to_date = progress.next > self.log.last_index();
            if is_up_to_date || progress.is_paused(self.config.max_in_flight) {
                return has_sent;
            }
            let entries = self.entries_for_message(progress.next, self.log.last_index());
            let count = entries.len() as u64;
            self.send_append(voter, entries, out);
            has_sent = true;
            let Some(progress) = self.progress_of_mut(voter) else {
                return has_sent;
            };
            if progress.is_probing {
                progress.is_awaiting_response = true;
                return has_sent;
            }
            progress.next.0 += count;
        }
    }

    fn progress_of(&self, voter: &VoterId) -> Option<&Progress> {
        self.role_state.leader()?.progress.get(voter)
    }

    fn progress_of_mut(&mut self, voter: &VoterId) -> Option<&mut Progress> {
        self.role_state.leader_mut()?.progress.get_mut(voter)
    }

    /// Sends AppendEntries with `entries`, which begin at the voter's next index; empty as a heartbeat.
    fn send_append(&self, voter: &VoterId, entries: Vec<LogEntry>, out: &mut Vec<Action>) {
        let Some(progress) = self.progress_of(voter) else {
            return;
        };
        let prev_index = Index(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let body = MessageBody::AppendEntries {
            prev_index,
            prev_term,
            entries,
            commit: self.commit_index,
        };
        self.send(voter.name.clone(), voter.store, body, out);
    }

    /// Sends the next chunk of the snapshot, unless one is in flight. False if nothing was sent.
    fn send_snapshot_chunk(&mut self, voter: &VoterId, out: &mut Vec<Action>) -> bool {
        let snapshot_index = self.log.snapshot_index();
        let Some(progress) = self.progress_of_mut(voter) else {
            return false;
        };
        let offset = match progress.snapshot {
            Some(snapshot) if snapshot.index == snapshot_index => snapshot.offset,
            _ => {
                progress.snapshot = Some(SnapshotOffset {
                    index: snapshot_index,
                    offset: 0,
                });
                progress.is_awaiting_response = false;
                0
            }
        };
        if std::mem::replace(&mut progress.is_awaiting_response, true) {
            return false;
        }
        let Some(chunk) = self.snapshot_chunk(offset) else {
            return false;
        };
        let body = MessageBody::InstallSnapshot(chunk);
        self.send(voter.name.clone(), voter.store, body, out);
        true
    }

    pub(super) fn on_append_response(
        &mut self,
        now: Micros,
        from: VoterId,
        response: AppendResponse,
        out: &mut Vec<Action>,
    ) {
        if !self.counts_voter(&from, response.bootstrapped) {
            return;
        }
        if response.term > self.hard_state.term {
            return self.become_follower(now, response.term, None, out);
        }
        if response.term < self.hard_state.term {
            return;
        }
        let last_index = self.log.last_index();
        let Some(progress) = self.progress_of_mut(&from) else {
            return;
        };
        progress.heard_at = now;
        match response.outcome {
            AppendOutcome::StaleTerm => {}
            AppendOutcome::Matched(index) if index <= last_index => progress.on_matched(index),
            AppendOutcome::Matched(_) => {}
            AppendOutcome::Conflict {
                prev_index,
                term,
                first_index,
            } => self.on_conflict(&from, prev_index, term, first_index),
            AppendOutcome::InstallingSnapshot { index, offset } => {
                progress.on_snapshot_offset(SnapshotOffset { index, offset });
            }
        }
        self.advance_commit(now, out);
        self.replicate_to(&from, out);
        self.send_timeout_now(&from, out);
    }

    /// Moves a voter's next index back after a conflict, by whole terms (Raft paper 5.3, end).
    fn on_conflict(
        &mut self,
        voter: &VoterId,
        prev_index: Index,
        conflict_term: Option<Term>,
        first_index: Index,
    ) {
        // The last entry here that may match: of the voter's term or an older one, up to `prev_index`.
        let candidate = conflict_term.map_or(prev_index, |term| {
            self.log.last_index_up_to_term(term, prev_index)
        });
        let has_conflict_term =
            conflict_term.is_some() && self.log.term_at(candidate) == conflict_term;
        let after_candidate = Index(candidate.0 + 1);
        let next = if has_conflict_term {
            after_candidate
        } else {
            after_candidate.min(first_index)
        };
        let next = next.min(prev_index);
        let Some(progress) = self.progress_of_mut(voter) else {
            return;
        };
        if prev_index > progress.matched && prev_index < progress.next {
            progress.has_responded = true;
            progress.start_probing();
            progress.next = next.max(progress.next);
        }
    }

    /// Commits what a majority has, if it is of this leader's term; older entries are committed along with it (5.4.2).
    fn advance_commit(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        let Some(config) = self.voter_config() else {
            return;
        };
        let matched_by = |voter: &VoterId| {
            if *voter == self.id {
                return self.log.last_index();
            }
            leader
                .progress
                .get(voter)
                .map_or(Index(0), |progress| progress.matched)
        };
        let mut matched: Vec<Index> = config.voters.iter().map(matched_by).collect();
        matched.sort_unstable();
        let Some(&index) = matched.get(matched.len() - config.majority()) else {
            return;
        };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        let is_removed = !config.voters.contains(&self.id);
        self.commit_index = index;
        for voter in self.other_voters() {
            self.send_append(&voter, Vec::new(), out);
        }
        if is_removed && self.log.is_config_committed(self.commit_index) {
            self.become_follower(now, self.hard_state.term, None, out);
        }
    }

    /// Handles a proposal at the leader. Rejections are reported only for this member's own proposals.
    pub(super) fn propose_as_leader(
        &mut self,
        now: Micros,
        proposal: ProposalPayload,
        origin: ProposalOrigin,
        out: &mut Vec<Action>,
    ) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        match self.check_proposal(leader, proposal) {
            Ok(payload) => self.append_own_entry(now, payload, out),
            Err(rejection) if origin == ProposalOrigin::Local => {
                out.push(Action::Rejected(rejection));
            }
            Err(_) => {}
        }
    }

    fn check_proposal(
        &self,
        leader: &LeaderState,
        proposal: ProposalPayload,
    ) -> Result<EntryPayload, Rejection> {
        if leader.transfer_target.is_some() {
            return Err(Rejection::NoLeader);
        }
        let uncommitted = self.log.last_index().0 - self.commit_index.0;
        let retained = self.log.last_index().0 - self.log.snapshot_index().0;
        if uncommitted >= self.config.max_uncommitted
            || retained >= self.config.max_log_entries as u64
        {
            return Err(Rejection::LogFull);
        }
        match proposal {
            ProposalPayload::Data(data) if data.len() > self.config.max_payload_bytes => {
                Err(Rejection::PayloadTooLarge)
            }
            ProposalPayload::Data(data) => Ok(EntryPayload::Data(data)),
            ProposalPayload::TargetVoters(target) => self.check_target_voters(leader, target),
        }
    }

    /// Starts a leadership transfer to the voter with the longest log; it is told to campaign once it has all entries.
    pub(super) fn transfer_leadership(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        let target = leader
            .progress
            .iter()
            .filter(|(_, progress)| self.is_recent(now, progress.heard_at))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(voter, _)| voter.clone());
        let Some(target) = target else { return };
        let Some(leader) = self.role_state.leader_mut() else {
            return;
        };
        leader.transfer_target = Some(target.clone());
        leader.transfer_deadline = now.saturating_add(self.config.election_timeout_us);
        self.send_timeout_now(&target, out);
    }

    /// Tells the transfer target to campaign if it has this leader's whole log.
    fn send_timeout_now(&self, voter: &VoterId, out: &mut Vec<Action>) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        let has_whole_log = leader
            .progress
            .get(voter)
            .is_some_and(|progress| progress.matched == self.log.last_index());
        if leader.transfer_target.as_ref() == Some(voter) && has_whole_log {
            self.send(
                voter.name.clone(),
                voter.store,
                MessageBody::TimeoutNow,
                out,
            );
        }
    }
}
