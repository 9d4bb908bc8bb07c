//! A Raft member: its state, and the dispatch of events and messages.

use super::election::{Campaign, CampaignKind, VoteRequest, VoteResponse};
use super::follower::{AppendRequest, IncomingSnapshot};
use super::leader::{AppendResponse, LeaderState};
use super::learner::PullResponse;
use super::log::Log;
use super::pull_server::Learner;
use super::{
    Action, Config, Event, HardState, LogEntry, MAX_VOTERS, Message, MessageBody, ProposalPayload,
    Rejection, RestoredState, Role, Snapshot, StorageWrite, VoterConfig, VoterId,
};
use crate::fleet::{Index, MemberName, Term};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The state of a member's role. A member that is no voter is a `Follower` here; [`Raft::role`] tells them apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum RoleState {
    Follower,
    Candidate(Campaign),
    Leader(LeaderState),
}

impl RoleState {
    pub(super) fn leader(&self) -> Option<&LeaderState> {
        match self {
            RoleState::Leader(leader) => Some(leader),
            RoleState::Follower | RoleState::Candidate(_) => None,
        }
    }

    pub(super) fn leader_mut(&mut self) -> Option<&mut LeaderState> {
        match self {
            RoleState::Leader(leader) => Some(leader),
            RoleState::Follower | RoleState::Candidate(_) => None,
        }
    }
}

/// Where a proposal comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProposalOrigin {
    /// This member: a rejection is reported, and a follower forwards the proposal to the leader.
    Local,
    /// Forwarded by another member: a rejection is silent, the proposer retries.
    Forwarded,
}

/// One member: voter or learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft {
    pub(super) id: VoterId,
    /// Names of the initial configuration, from the operator's file.
    pub(super) initial_voters: BTreeSet<MemberName>,
    pub(super) config: Config,
    seed: u64,
    /// Number of random values drawn so far.
    draws: u64,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) commit_index: Index,
    pub(super) applied_index: Index,
    pub(super) role_state: RoleState,
    pub(super) leader: Option<MemberName>,
    /// When it last received a message from `leader` as a follower.
    pub(super) leader_heard_at: Micros,
    election_deadline: Micros,
    pub(super) pull_deadline: Micros,
    /// Stores of the initial voters that have granted this store their bootstrap vote.
    pub(super) bootstrap_votes_received: BTreeMap<MemberName, u64>,
    pub(super) learners: BTreeMap<MemberName, Learner>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Position of the member to pull from in the list of sources, modulo its length.
    pub(super) pull_source: u64,
    /// When that source last gave a useful answer, or became the source.
    pub(super) pull_source_heard_at: Micros,
    /// The last [`Action::LeaderChanged`].
    reported_leader: (Option<MemberName>, Term),
    /// Whether the restored snapshot still has to be handed to the state machine.
    restore_pending: bool,
    /// Members to pull from in preference to voters, nearest first.
    pub(super) relays: Vec<MemberName>,
    /// When `pull_source` last changed.
    pub(super) pull_source_changed_at: Micros,
}

impl Raft {
    /// A member after start. `initial_voters` are the names of the initial configuration, from the operator's file;
    /// they matter only until the log has a configuration. `restored` are the contents of the store named in `id`.
    pub fn new(
        id: VoterId,
        initial_voters: &BTreeSet<MemberName>,
        config: Config,
        seed: u64,
        restored: RestoredState,
        now: Micros,
    ) -> Raft {
        let log = Log::new(restored.snapshot, restored.entries);
        let snapshot_index = log.snapshot_index();
        let mut raft = Raft {
            id,
            initial_voters: initial_voters.clone(),
            config,
            seed,
            draws: 0,
            hard_state: restored.hard_state,
            restore_pending: snapshot_index.0 > 0,
            log,
            commit_index: snapshot_index,
            applied_index: snapshot_index,
            role_state: RoleState::Follower,
            leader: None,
            leader_heard_at: now,
            election_deadline: now,
            pull_deadline: now,
            bootstrap_votes_received: BTreeMap::new(),
            learners: BTreeMap::new(),
            incoming_snapshot: None,
            pull_source: 0,
            pull_source_heard_at: now,
            reported_leader: (None, Term(0)),
            relays: Vec::new(),
            pull_source_changed_at: now,
        };
        raft.hard_state.term = raft.hard_state.term.max(raft.log.last_term());
        raft.pull_source = raft.random_below(MAX_VOTERS as u64);
        raft.reset_election_timer(now);
        raft
    }

    /// Sets the members to pull from in preference to voters, nearest first.
    pub fn with_relays(mut self, relays: Vec<MemberName>) -> Raft {
        if !relays.is_empty() {
            self.pull_source = 0;
        }
        self.relays = relays;
        self
    }

    /// Handles an event, and appends the actions that follow from it, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.restore_pending) {
            out.extend(self.log.snapshot().cloned().map(Action::Restore));
        }
        match event {
            Event::Tick => self.on_tick(now, out),
            Event::Message { from, message } => self.on_message(now, from, message, out),
            Event::Propose { payload } => {
                let proposal = ProposalPayload::Data(payload);
                self.propose(now, proposal, ProposalOrigin::Local, out);
            }
            Event::ChangeVoters(names) => {
                let proposal = ProposalPayload::TargetVoters(names);
                self.propose(now, proposal, ProposalOrigin::Local, out);
            }
            Event::Compact { index, data } => self.compact(index, data, out),
            Event::TransferLeadership => self.transfer_leadership(now, out),
        }
        self.advance_voter_change(now, out);
        self.apply_committed(out);
        self.serve_learners(now, out);
        self.report_leader(out);
    }

    /// When to call [`Raft::handle`] with [`Event::Tick`] at the latest.
    pub fn timeout(&self) -> Option<Micros> {
        let pull = (self.role() == Role::Learner).then_some(self.pull_deadline);
        let role = match &self.role_state {
            RoleState::Leader(leader) => Some(leader.heartbeat_deadline),
            _ => self.is_voter().then_some(self.election_deadline),
        };
        pull.into_iter().chain(role).min()
    }

    /// This member as a voter.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// The leader, as far as this member knows.
    pub fn leader(&self) -> Option<&MemberName> {
        self.leader.as_ref()
    }

    /// Whether this member follows `leader` in `term` as a voter, and so has voted for no candidate of a later term.
    pub fn confirms_leader(&self, leader: &MemberName, term: Term) -> bool {
        let is_follower = matches!(self.role_state, RoleState::Follower);
        let follows = is_follower && self.leader.as_ref() == Some(leader);
        follows && self.is_voter() && self.hard_state.term == term
    }

    /// This member's role.
    pub fn role(&self) -> Role {
        match &self.role_state {
            RoleState::Leader(_) => Role::Leader,
            _ if !self.is_voter() => Role::Learner,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Follower => Role::Follower,
        }
    }

    /// The highest term this member has seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry handed out to be applied.
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// Index of the last entry in this member's log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The latest configuration in this member's log, or the initial one; `None` before bootstrap.
    pub fn voter_config(&self) -> Option<&VoterConfig> {
        self.log
            .config()
            .or(self.hard_state.bootstrap_config.as_ref())
    }

    /// Whether it is time for [`Event::Compact`] with the state after entry [`Raft::applied_index`].
    pub fn should_compact(&self) -> bool {
        let applied_since_snapshot = self.applied_index.0 - self.log.snapshot_index().0;
        applied_since_snapshot >= self.config.compact_after_entries.max(1)
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        self.log.entries()
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot()
    }

    /// Whether this member votes and may lead: it is in the configuration and, as a bootstrap voter, has bootstrapped.
    pub(super) fn is_voter(&self) -> bool {
        self.counts_voter(&self.id, self.hard_state.bootstrap_config.is_some())
    }

    /// Whether a vote or acknowledgement of `voter` counts in the latest configuration.
    pub(super) fn counts_voter(&self, voter: &VoterId, bootstrapped: bool) -> bool {
        self.voter_config()
            .is_some_and(|config| config.counts(voter, bootstrapped))
    }

    /// Whether something heard at `heard_at` is less than an election timeout old.
    pub(super) fn is_recent(&self, now: Micros, heard_at: Micros) -> bool {
        now.saturating_sub(heard_at) <= self.config.election_timeout_us
    }

    /// Entries from `first` to `last`, as many as fit into a message.
    pub(super) fn entries_for_message(&self, first: Index, last: Index) -> Vec<LogEntry> {
        let max_entries = self.config.max_entries_per_message;
        let max_bytes = self.config.max_bytes_per_message;
        self.log.slice(first, last, max_entries, max_bytes)
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        if bound == 0 {
            return 0;
        }
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed) % bound
    }

    /// Starts a new election timeout, drawn from one to two times the configured one.
    pub(super) fn reset_election_timer(&mut self, now: Micros) {
        let election_timeout = self.config.election_timeout_us;
        let jitter = self.random_below(election_timeout);
        self.election_deadline = now.saturating_add(election_timeout).saturating_add(jitter);
    }

    pub(super) fn send(
        &self,
        to: MemberName,
        to_store: u64,
        body: MessageBody,
        out: &mut Vec<Action>,
    ) {
        let message = Message {
            from_store: self.id.store,
            to_store,
            bootstrapped: self.hard_state.bootstrap_config.is_some(),
            term: self.hard_state.term,
            body,
        };
        out.push(Action::Send { to, message });
    }

    pub(super) fn persist_hard_state(&self, out: &mut Vec<Action>) {
        let hard_state = self.hard_state.clone();
        out.push(Action::Persist(StorageWrite::HardState(hard_state)));
    }

    fn on_tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let RoleState::Leader(leader) = &self.role_state {
            if now >= leader.heartbeat_deadline {
                self.broadcast_heartbeats(now, out);
            }
        } else if !self.is_voter() {
            if now >= self.pull_deadline {
                self.request_bootstrap_votes(out);
                self.pull(now, out);
            }
            // A single initial voter waits for nobody's vote.
            self.try_bootstrap(now, out);
        } else if now >= self.election_deadline {
            self.campaign(now, CampaignKind::PreVote, out);
            // It may have been removed from the voters without having learned of it. A single voter leads by now.
            if !matches!(self.role_state, RoleState::Leader(_)) {
                self.pull(now, out);
            }
        }
    }

    /// Dispatches a message. Longer than other functions because it has one arm per kind of message.
    fn on_message(
        &mut self,
        now: Micros,
        from: MemberName,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        let is_for_other_store = message.to_store != 0 && message.to_store != self.id.store;
        if from == self.id.name || is_for_other_store {
            return;
        }
        let from = VoterId {
            name: from,
            store: message.from_store,
        };
        let (term, bootstrapped) = (message.term, message.bootstrapped);
        match message.body {
            MessageBody::BootstrapVoteRequest { initial_voters } => {
                self.on_bootstrap_vote_request(from, initial_voters, out);
            }
            MessageBody::BootstrapVoteResponse { granted } => {
                self.on_bootstrap_vote_response(now, from, granted, out);
            }
            MessageBody::VoteRequest {
                pre_vote,
                last_index,
                last_term,
                leadership_transfer,
            } => {
                let request = VoteRequest {
                    term,
                    pre_vote,
                    leadership_transfer,
                    last_index,
                    last_term,
                };
                self.on_vote_request(now, from, request, out);
            }
            MessageBody::VoteResponse {
                pre_vote,
                vote_term,
                granted,
            } => {
                let response = VoteResponse {
                    term,
                    bootstrapped,
                    pre_vote,
                    vote_term,
                    granted,
                };
                self.on_vote_response(now, from, response, out);
            }
            MessageBody::AppendEntries {
                prev_index,
                prev_term,
                entries,
                commit,
            } => {
                if self.accept_leader(now, &from, term, out) {
                    let request = AppendRequest {
                        prev_index,
                        prev_term,
                        entries,
                        commit,
                    };
                    self.on_append_entries(&from, request, out);
                }
            }
            MessageBody::InstallSnapshot(chunk) => {
                if self.accept_leader(now, &from, term, out) {
                    self.on_install_snapshot(&from, chunk, out);
                }
            }
            MessageBody::AppendResponse(outcome) => {
                let response = AppendResponse {
                    term,
                    bootstrapped,
                    outcome,
                };
                self.on_append_response(now, from, response, out);
            }
            MessageBody::PullRequest { next, snapshot } => {
                self.on_pull_request(now, from, bootstrapped, next, snapshot, out);
            }
            MessageBody::PullResponse {
                entries,
                commit,
                leader,
            } => {
                let response = PullResponse {
                    term,
                    entries,
                    commit,
                    leader,
                };
                self.on_pull_response(now, from, response, out);
            }
            MessageBody::PullSnapshot(chunk) => self.on_pull_snapshot(now, from, chunk, out),
            MessageBody::Propose(proposal) => {
                self.propose(now, proposal, ProposalOrigin::Forwarded, out);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(now, &from, term, out),
        }
    }

    /// Campaigns at the leader's request, without a pre-vote.
    fn on_timeout_now(&mut self, now: Micros, from: &VoterId, term: Term, out: &mut Vec<Action>) {
        let is_from_leader =
            self.leader.as_ref() == Some(&from.name) && term == self.hard_state.term;
        let is_follower = matches!(self.role_state, RoleState::Follower);
        if is_from_leader && is_follower && self.is_voter() {
            self.campaign(now, CampaignKind::LeadershipTransfer, out);
        }
    }

    fn propose(
        &mut self,
        now: Micros,
        proposal: ProposalPayload,
        origin: ProposalOrigin,
        out: &mut Vec<Action>,
    ) {
        if matches!(self.role_state, RoleState::Leader(_)) {
            return self.propose_as_leader(now, proposal, origin, out);
        }
        if origin == ProposalOrigin::Forwarded {
            return;
        }
        match &self.leader {
            Some(leader) => self.send(leader.clone(), 0, MessageBody::Propose(proposal), out),
            None => out.push(Action::Rejected(Rejection::NoLeader)),
        }
    }

    fn compact(&mut self, index: Index, data: Vec<u8>, out: &mut Vec<Action>) {
        if index <= self.log.snapshot_index() {
            return;
        }
        if index > self.applied_index || data.len() > self.config.max_snapshot_bytes {
            return out.push(Action::Rejected(Rejection::InvalidSnapshot));
        }
        match self.log.compact(index, data) {
            Some(snapshot) => out.push(Action::Persist(StorageWrite::Snapshot(snapshot))),
            None => out.push(Action::Rejected(Rejection::InvalidSnapshot)),
        }
    }

    fn apply_committed(&mut self, out: &mut Vec<Action>) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(Index(self.applied_index.0 + 1)) else {
                break;
            };
            self.applied_index = entry.index;
            out.push(Action::Apply(entry.clone()));
        }
    }

    /// Reports a changed leader, or a changed term of a known leader.
    fn report_leader(&mut self, out: &mut Vec<Action>) {
        let (reported_leader, reported_term) = &self.reported_leader;
        let has_new_term = self.leader.is_some() && *reported_term != self.hard_state.term;
        if *reported_leader != self.leader || has_new_term {
            self.reported_leader = (self.leader.clone(), self.hard_state.term);
            out.push(Action::LeaderChanged(
                self.leader.clone(),
                self.hard_state.term,
            ));
        }
    }
}
