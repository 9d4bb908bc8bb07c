//! Bootstrap: how the initial voters agree on the initial configuration.
//!
//! Each initial voter without history asks all others for a bootstrap vote for its store. A member grants one vote per
//! name, permanently. A member that has the votes of all others knows the store of each initial voter, so all members
//! that complete bootstrap have the same initial configuration. A member whose disk was wiped during bootstrap can't
//! collect the votes again, and so can't complete it with an empty log. The argument is in `docs/design/group.md`.

use super::{Action, MessageBody, Raft, Rejection, VoterConfig, VoterId};
use crate::fleet::MemberName;
use crate::routing::types::Micros;
use std::collections::BTreeSet;

impl Raft {
    /// Whether this member is an initial voter that has not bootstrapped and whose log doesn't say otherwise.
    fn may_bootstrap(&self) -> bool {
        let is_bootstrap_voter = |config: &VoterConfig| config.bootstrap_voters.contains(&self.id);
        self.hard_state.bootstrap_config.is_none()
            && self.initial_voters.contains(&self.id.name)
            && self.log.config().is_none_or(is_bootstrap_voter)
    }

    /// Asks the initial voters whose bootstrap vote is missing.
    pub(super) fn request_bootstrap_votes(&self, out: &mut Vec<Action>) {
        if !self.may_bootstrap() {
            return;
        }
        for name in &self.initial_voters {
            if *name == self.id.name || self.bootstrap_votes_received.contains_key(name) {
                continue;
            }
            let initial_voters = self.initial_voters.clone();
            let body = MessageBody::BootstrapVoteRequest { initial_voters };
            self.send(name.clone(), 0, body, out);
        }
    }

    /// Grants one store per name a permanent vote, unless the log shows that the configuration has changed without it.
    pub(super) fn on_bootstrap_vote_request(
        &mut self,
        from: VoterId,
        initial_voters: BTreeSet<MemberName>,
        out: &mut Vec<Action>,
    ) {
        if !self.initial_voters.contains(&self.id.name) {
            return;
        }
        if initial_voters != self.initial_voters {
            return out.push(Action::Rejected(Rejection::InitialVotersDiffer));
        }
        let granted_store = self.hard_state.bootstrap_votes.get(&from.name).copied();
        let log_allows = self
            .log
            .config()
            .is_none_or(|config| config.bootstrap_voters.contains(&from));
        let granted = self.initial_voters.contains(&from.name)
            && log_allows
            && granted_store.is_none_or(|store| store == from.store);
        if granted && granted_store.is_none() {
            self.hard_state
                .bootstrap_votes
                .insert(from.name.clone(), from.store);
            self.persist_hard_state(out);
        }
        let body = MessageBody::BootstrapVoteResponse { granted };
        self.send(from.name, from.store, body, out);
    }

    pub(super) fn on_bootstrap_vote_response(
        &mut self,
        now: Micros,
        from: VoterId,
        granted: bool,
        out: &mut Vec<Action>,
    ) {
        if granted && self.initial_voters.contains(&from.name) && self.may_bootstrap() {
            self.bootstrap_votes_received.insert(from.name, from.store);
            self.try_bootstrap(now, out);
        }
    }

    /// Completes bootstrap for this store once all other initial voters have voted for it.
    pub(super) fn try_bootstrap(&mut self, now: Micros, out: &mut Vec<Action>) {
        let has_all_votes = self
            .initial_voters
            .iter()
            .all(|name| *name == self.id.name || self.bootstrap_votes_received.contains_key(name));
        if !has_all_votes || !self.may_bootstrap() {
            return;
        }
        let others = self
            .bootstrap_votes_received
            .iter()
            .map(|(name, store)| VoterId {
                name: name.clone(),
                store: *store,
            });
        let voters: BTreeSet<VoterId> = others.chain([self.id.clone()]).collect();
        self.hard_state.bootstrap_config = Some(VoterConfig {
            target: self.initial_voters.clone(),
            voters: voters.clone(),
            bootstrap_voters: voters,
        });
        self.bootstrap_votes_received.clear();
        self.persist_hard_state(out);
        self.reset_election_timer(now);
    }
}
