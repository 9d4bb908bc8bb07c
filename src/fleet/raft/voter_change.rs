//! Configuration changes: the leader moves from the current voters to the target, one voter at a time (dissertation
//! 4.1), and starts the next step only when the last one is committed.

use super::leader::LeaderState;
use super::pull_server::Learner;
use super::{Action, EntryPayload, MAX_VOTERS, Raft, Rejection, VoterConfig, VoterId};
use crate::fleet::{Index, MemberName};
use crate::routing::types::Micros;
use std::collections::BTreeSet;

/// A leader waits for this many election timeouts before it replaces a voter that has not completed bootstrap.
const BOOTSTRAP_GRACE_ELECTION_TIMEOUTS: u64 = 2;

impl Raft {
    /// The configuration entry for a new target: the current voters stay, and change step by step afterwards.
    pub(super) fn check_target_voters(
        &self,
        leader: &LeaderState,
        target: BTreeSet<MemberName>,
    ) -> Result<EntryPayload, Rejection> {
        let is_settled = self.log.is_config_committed(self.commit_index);
        let has_committed_own_term = self.commit_index >= leader.first_index;
        let is_valid_size = (1..=MAX_VOTERS).contains(&target.len());
        match self.voter_config() {
            Some(config) if is_settled && has_committed_own_term && is_valid_size => {
                Ok(EntryPayload::ConfigChange(VoterConfig {
                    target,
                    ..config.clone()
                }))
            }
            _ => Err(Rejection::VoterChangeNotAllowed),
        }
    }

    /// As leader, takes the next step towards the target voters if the last one is committed.
    pub(super) fn advance_voter_change(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leader) = self.role_state.leader() else {
            return;
        };
        let is_settled = self.log.is_config_committed(self.commit_index);
        let has_committed_own_term = self.commit_index >= leader.first_index;
        if !is_settled || !has_committed_own_term || leader.transfer_target.is_some() {
            return;
        }
        let Some(config) = self.voter_config() else {
            return;
        };
        let Some(next) = self.next_config(leader, config, now) else {
            return;
        };
        // A configuration of which a majority is silent would stop the log.
        if self.count_recently_heard(leader, &next, now) >= next.majority() {
            self.append_own_entry(now, EntryPayload::ConfigChange(next), out);
        }
    }

    /// The configuration after the next step, if there is one that can be taken now: replacing a voter whose store is
    /// gone comes first, then adding a target voter that has caught up, then removing one that is not in the target.
    fn next_config(
        &self,
        leader: &LeaderState,
        config: &VoterConfig,
        now: Micros,
    ) -> Option<VoterConfig> {
        let bootstrap_grace = self
            .config
            .election_timeout_us
            .saturating_mul(BOOTSTRAP_GRACE_ELECTION_TIMEOUTS);
        let is_grace_over = now.saturating_sub(leader.elected_at) > bootstrap_grace;
        let candidates = self.learners.iter().filter(|(name, learner)| {
            config.target.contains(*name) && self.has_caught_up(learner, now)
        });
        for (name, learner) in candidates {
            let learner_id = VoterId {
                name: name.clone(),
                store: learner.store,
            };
            let Some(voter) = config.voter_named(name) else {
                let mut next = config.clone();
                next.voters.insert(learner_id);
                return Some(next);
            };
            let is_recent_voter = || {
                let progress = leader.progress.get(voter);
                progress.is_some_and(|progress| self.is_recent(now, progress.heard_at))
            };
            // The member's disk was wiped: first the old store is removed, then the new one added.
            let has_lost_store = *voter != learner_id && !is_recent_voter();
            // The member is a bootstrap voter that can't complete bootstrap: its votes went to an earlier store.
            let cannot_bootstrap = *voter == learner_id
                && !config.counts(voter, learner.bootstrapped)
                && is_grace_over;
            if has_lost_store || cannot_bootstrap {
                return without_voter(config, voter);
            }
        }
        self.next_removal(config)
    }

    /// Whether a learner was heard lately and lacks no more than one message of entries.
    fn has_caught_up(&self, learner: &Learner, now: Micros) -> bool {
        let max_lag = self.config.max_entries_per_message as u64;
        let Index(next) = learner.next;
        self.is_recent(now, learner.heard_at) && next.saturating_add(max_lag) > self.commit_index.0
    }

    /// Removes a voter that is not in the target, once all target members are voters; the leader itself comes last.
    fn next_removal(&self, config: &VoterConfig) -> Option<VoterConfig> {
        let is_complete = config
            .target
            .iter()
            .all(|name| config.voter_named(name).is_some());
        if !is_complete {
            return None;
        }
        let voter = config
            .voters
            .iter()
            .filter(|voter| !config.target.contains(&voter.name))
            .min_by_key(|voter| **voter == self.id)?;
        without_voter(config, voter)
    }
}

/// The configuration without `voter`; `None` if no voter would be left.
fn without_voter(config: &VoterConfig, voter: &VoterId) -> Option<VoterConfig> {
    let mut next = config.clone();
    next.voters.remove(voter);
    next.bootstrap_voters.remove(voter);
    (!next.voters.is_empty()).then_some(next)
}
