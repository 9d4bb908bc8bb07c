//! Leader election (Raft paper 5.2, 5.4.1) with PreVote.

use super::node::RoleState;
use super::{Action, MessageBody, Raft, VoterId};
use crate::fleet::{Index, MemberName, Term};
use crate::routing::types::Micros;
use std::collections::BTreeSet;

/// What a candidate asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum CampaignKind {
    /// Whether it would be elected in the next term; its own term doesn't change.
    PreVote,
    /// Votes in a new term, after a successful pre-vote.
    Election,
    /// Votes in a new term at the leader's request: no pre-vote, and voters don't wait for the leader to be silent.
    LeadershipTransfer,
}

impl CampaignKind {
    fn is_pre_vote(self) -> bool {
        self == CampaignKind::PreVote
    }
}

/// A campaign and the votes granted so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Campaign {
    kind: CampaignKind,
    votes: BTreeSet<VoterId>,
}

impl Campaign {
    pub(super) fn is_pre_vote(&self) -> bool {
        self.kind.is_pre_vote()
    }
}

/// A received vote request, without its sender.
pub(super) struct VoteRequest {
    /// Term of the message.
    pub(super) term: Term,
    pub(super) pre_vote: bool,
    pub(super) leadership_transfer: bool,
    pub(super) last_index: Index,
    pub(super) last_term: Term,
}

/// A received vote response, without its sender.
pub(super) struct VoteResponse {
    /// Term of the message.
    pub(super) term: Term,
    pub(super) bootstrapped: bool,
    pub(super) pre_vote: bool,
    pub(super) vote_term: Term,
    pub(super) granted: bool,
}

impl Raft {
    /// Moves to `term` if it is higher than this member's; the vote of the old term is forgotten.
    pub(super) fn advance_term(&mut self, term: Term, out: &mut Vec<Action>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.persist_hard_state(out);
        }
    }

    /// Becomes a follower in `term`, of `leader` if it is known.
    pub(super) fn become_follower(
        &mut self,
        now: Micros,
        term: Term,
        leader: Option<MemberName>,
        out: &mut Vec<Action>,
    ) {
        self.advance_term(term, out);
        if !matches!(self.role_state, RoleState::Follower) {
            self.role_state = RoleState::Follower;
            self.reset_election_timer(now);
        }
        self.leader = leader;
    }

    /// Becomes a candidate and asks the other voters for (pre-)votes.
    pub(super) fn campaign(&mut self, now: Micros, kind: CampaignKind, out: &mut Vec<Action>) {
        self.leader = None;
        self.reset_election_timer(now);
        if !kind.is_pre_vote() {
            self.hard_state.term = Term(self.hard_state.term.0.saturating_add(1));
            self.hard_state.voted_for = Some(self.id.clone());
            self.persist_hard_state(out);
        }
        self.role_state = RoleState::Candidate(Campaign {
            kind,
            votes: [self.id.clone()].into(),
        });
        for voter in self.other_voters() {
            let body = MessageBody::VoteRequest {
                pre_vote: kind.is_pre_vote(),
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                leadership_transfer: kind == CampaignKind::LeadershipTransfer,
            };
            self.send(voter.name, voter.store, body, out);
        }
        self.count_votes(now, out);
    }

    /// The other voters of the latest configuration.
    pub(super) fn other_voters(&self) -> Vec<VoterId> {
        let Some(config) = self.voter_config() else {
            return Vec::new();
        };
        let others = config.voters.iter().filter(|voter| **voter != self.id);
        others.cloned().collect()
    }

    /// Whether this member is in contact with a leader (or, as the leader, with a majority): then it doesn't help to
    /// elect another one.
    fn has_active_leader(&self, now: Micros) -> bool {
        if let RoleState::Leader(leader) = &self.role_state {
            self.has_quorum_contact(leader, now)
        } else {
            let election_timeout = self.config.election_timeout_us;
            self.leader.is_some() && now < self.leader_heard_at.saturating_add(election_timeout)
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Micros,
        from: VoterId,
        request: VoteRequest,
        out: &mut Vec<Action>,
    ) {
        if !request.leadership_transfer && self.has_active_leader(now) {
            return;
        }
        let pre_vote = request.pre_vote;
        if !pre_vote && request.term > self.hard_state.term {
            self.become_follower(now, request.term, None, out);
        }
        let vote_term = if pre_vote {
            Term(request.term.0.saturating_add(1))
        } else {
            request.term
        };
        let may_vote = match &self.hard_state.voted_for {
            _ if pre_vote => vote_term > self.hard_state.term,
            Some(voted_for) => vote_term == self.hard_state.term && *voted_for == from,
            None => vote_term == self.hard_state.term,
        };
        let log_is_up_to_date = (request.last_term, request.last_index)
            >= (self.log.last_term(), self.log.last_index());
        let granted = may_vote && log_is_up_to_date;
        if granted && !pre_vote {
            if self.hard_state.voted_for.is_none() {
                self.hard_state.voted_for = Some(from.clone());
                self.persist_hard_state(out);
            }
            self.reset_election_timer(now);
        }
        let body = MessageBody::VoteResponse {
            pre_vote,
            vote_term,
            granted,
        };
        self.send(from.name, from.store, body, out);
    }

    pub(super) fn on_vote_response(
        &mut self,
        now: Micros,
        from: VoterId,
        response: VoteResponse,
        out: &mut Vec<Action>,
    ) {
        if !self.counts_voter(&from, response.bootstrapped) {
            return;
        }
        if response.term > self.hard_state.term {
            return self.become_follower(now, response.term, None, out);
        }
        let RoleState::Candidate(campaign) = &mut self.role_state else {
            return;
        };
        let pre_vote = campaign.is_pre_vote();
        let campaign_term = Term(self.hard_state.term.0.saturating_add(u64::from(pre_vote)));
        let is_for_campaign = response.pre_vote == pre_vote && response.vote_term == campaign_term;
        if response.granted && is_for_campaign {
            campaign.votes.insert(from);
            self.count_votes(now, out);
        }
    }

    /// Continues once a majority has granted its vote: from the pre-vote to the election, and from there to leading.
    fn count_votes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (RoleState::Candidate(campaign), Some(config)) =
            (&self.role_state, self.voter_config())
        else {
            return;
        };
        let votes = campaign.votes.intersection(&config.voters).count();
        if votes < config.majority() {
            return;
        }
        if campaign.is_pre_vote() {
            self.campaign(now, CampaignKind::Election, out);
        } else {
            self.become_leader(now, out);
        }
    }
}
