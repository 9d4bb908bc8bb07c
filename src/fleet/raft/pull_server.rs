//! The other side of [`super::learner`]: what a member serves to the learners that pull from it.

use super::{Action, MessageBody, Raft, Role, SnapshotChunk, SnapshotOffset, VoterId};
use crate::fleet::{Index, MemberName};
use crate::routing::types::Micros;
use std::collections::BTreeSet;

/// A learner that has been silent for this many election timeouts is forgotten.
const LEARNER_EXPIRY_ELECTION_TIMEOUTS: u64 = 4;

/// A member that pulls from this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Learner {
    pub(super) store: u64,
    pub(super) bootstrapped: bool,
    /// The first index that it lacks.
    pub(super) next: Index,
    pub(super) heard_at: Micros,
    /// Whether its request is still unanswered because nothing new was committed.
    pub(super) is_waiting: bool,
}

impl Raft {
    pub(super) fn on_pull_request(
        &mut self,
        now: Micros,
        from: VoterId,
        bootstrapped: bool,
        next: Index,
        snapshot: Option<SnapshotOffset>,
        out: &mut Vec<Action>,
    ) {
        let mut learner = Learner {
            store: from.store,
            bootstrapped,
            next,
            heard_at: now,
            is_waiting: false,
        };
        if next <= self.log.snapshot_index() {
            let offset = snapshot
                .filter(|snapshot| snapshot.index == self.log.snapshot_index())
                .map_or(0, |snapshot| snapshot.offset);
            if let Some(chunk) = self.snapshot_chunk(offset) {
                let body = MessageBody::PullSnapshot(chunk);
                self.send(from.name.clone(), from.store, body, out);
            }
        } else {
            learner.is_waiting = next > self.commit_index;
            let has_advanced = self
                .learners
                .get(&from.name)
                .is_some_and(|known| known.store != from.store || known.next != next);
            // A learner that has just received all entries needs no answer that there are no more.
            if !learner.is_waiting || !has_advanced {
                self.send_committed(now, &from.name, &learner, out);
            }
        }
        self.track_learner(from.name, learner);
    }

    fn track_learner(&mut self, name: MemberName, learner: Learner) {
        if self.learners.contains_key(&name) || self.learners.len() < self.config.max_learners {
            self.learners.insert(name, learner);
        }
    }

    fn send_committed(
        &self,
        now: Micros,
        to: &MemberName,
        learner: &Learner,
        out: &mut Vec<Action>,
    ) {
        let entries = self.entries_for_message(learner.next, self.commit_index);
        let knows_leader = self.role() != Role::Learner || self.may_pass_on_leader(now);
        let body = MessageBody::PullResponse {
            entries,
            commit: self.commit_index,
            leader: self.leader.clone().filter(|_| knows_leader),
        };
        self.send(to.clone(), learner.store, body, out);
    }

    /// Whether this learner may tell others who leads: it pulls from voters itself, heard one lately, and is neither
    /// an initial nor a target voter, from which voters' learners may pull. Otherwise two learners could keep outdated
    /// knowledge alive between them.
    fn may_pass_on_leader(&self, now: Micros) -> bool {
        let is_plain_learner =
            !self.initial_voters.contains(&self.id.name) && !self.is_target_voter();
        is_plain_learner && self.is_recent(now, self.pull_source_heard_at) && self.relays.is_empty()
    }

    /// Sends newly committed entries to the learners that wait for them, and forgets silent learners.
    pub(super) fn serve_learners(&mut self, now: Micros, out: &mut Vec<Action>) {
        let expiry = self
            .config
            .election_timeout_us
            .saturating_mul(LEARNER_EXPIRY_ELECTION_TIMEOUTS);
        self.learners
            .retain(|_, learner| now.saturating_sub(learner.heard_at) <= expiry);
        let mut to_serve: BTreeSet<MemberName> = BTreeSet::new();
        for (name, learner) in &mut self.learners {
            let has_news =
                learner.next <= self.commit_index && learner.next > self.log.snapshot_index();
            if learner.is_waiting && has_news {
                learner.is_waiting = false;
                to_serve.insert(name.clone());
            }
        }
        for name in to_serve {
            if let Some(learner) = self.learners.get(&name) {
                self.send_committed(now, &name, learner, out);
            }
        }
    }

    /// The chunk of this member's snapshot that begins at `offset`.
    pub(super) fn snapshot_chunk(&self, offset: u64) -> Option<SnapshotChunk> {
        let snapshot = self.log.snapshot()?;
        let size = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(size);
        let max_bytes = self.config.max_bytes_per_message.max(1);
        let end = start.saturating_add(max_bytes).min(size);
        Some(SnapshotChunk {
            index: snapshot.index,
            term: snapshot.term,
            config: snapshot.config.clone(),
            total: size as u64,
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
        })
    }
}
