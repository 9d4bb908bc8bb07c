//! One member of a fleet: view, group, state and leases put together, without I/O.
//!
//! The driver hands in events with the time on this member's own monotonic clock, and carries the actions out in
//! order: an [`Action::Persist`] is durable before any later action is begun. [`Node::timeout`] says when to call with
//! [`Event::Tick`]. Who may act is asked of [`lease::LeaseView`], which the driver keeps by [`Action::Lease`] as it comes
//! to it, with the clock read just before the act.

use crate::fleet::lease::{self, ExpiryTracker, Holder, LeaseStatusChange};
use crate::fleet::membership::{self, Membership};
use crate::fleet::message::Message;
use crate::fleet::raft::{self, Raft};
use crate::fleet::renewal::{self, LeaderConfirmation, LeaseRenewal, RenewalBatch};
use crate::fleet::state::{Bounds, Command, FleetState, Proposal, ProposalResult, StateChange};
use crate::fleet::{
    Incarnation, Index, LeaseName, MemberInstance, MemberName, SiteName, Term, Token, policy_epoch,
    work,
};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The settings of a member's machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Of the view.
    #[serde(rename = "view")]
    pub membership: membership::Config,
    /// Of the group.
    #[serde(rename = "group")]
    pub raft: raft::Config,
    /// Of the leases.
    pub lease: lease::Config,
    /// Of the state's tables; a leader puts its own in force.
    pub bounds: Bounds,
    /// Of this machine.
    pub node: Limits,
}

/// What this member itself keeps at most.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Most leases that this member wants at once, its life lease included.
    #[serde(rename = "most_wants")]
    pub max_wanted_leases: usize,
    /// Most proposals of other parts that wait for an answer.
    #[serde(rename = "most_proposals")]
    pub max_pending_proposals: usize,
    /// A proposal without an answer is given up after this, in milliseconds.
    #[serde(rename = "give_up_ms")]
    pub proposal_timeout_ms: u64,
    /// How long a record of work is remembered that nobody has in hand, in milliseconds; at least.
    #[serde(rename = "remember_ms")]
    pub work_retention_ms: u64,
    /// The leader ends a proposal of a policy that is not decided within this, in milliseconds.
    #[serde(rename = "policy_within_ms")]
    pub settings_proposal_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_wanted_leases: 64,
            max_pending_proposals: 1_024,
            proposal_timeout_ms: 10_000,
            work_retention_ms: 900_000,
            settings_proposal_timeout_ms: 30_000,
        }
    }
}

/// Who a member is and what it remembers at its start.
#[derive(Clone, Debug)]
pub struct NodeStart {
    /// This member, in this life.
    pub local: membership::LocalMember,
    /// The number that its store drew when it was formatted.
    pub store: u64,
    /// The voters of the first configuration, from the operator's file.
    pub voters: BTreeSet<MemberName>,
    /// What its disk holds of the group.
    pub restored: raft::RestoredState,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Members to learn from and to renew through before the voters, the nearest first.
    pub relays: Vec<MemberName>,
}

/// What a member is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Look for the others at these addresses.
    Join {
        /// From the operator's file.
        seeds: Vec<(MemberName, SocketAddr)>,
    },
    /// A message came whose sender is proven.
    Message {
        /// The sender.
        from: MemberName,
        /// What it says.
        message: Message,
    },
    /// Hold this lease when it can be had, until `Unwant`.
    AcquireLease(LeaseName),
    /// Give this lease up.
    ReleaseLease(LeaseName),
    /// Put a command into the log; [`Action::Done`] has the answer.
    Propose {
        /// The caller's number for it.
        request_id: u64,
        /// What is to be done.
        command: Command,
    },
    /// These members shall vote.
    ChangeVoters(BTreeSet<MemberName>),
    /// A planned stop: act no more, give all leases up, leave the view. [`Node::left`] says when that is done.
    Leave,
}

/// What a member wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: MemberName,
        /// Where the view saw it last; the operator's file goes first. `None`: only the file knows.
        address: Option<SocketAddr>,
        /// What.
        message: Message,
        /// Over the ordered channel; else a datagram does.
        reliable: bool,
    },
    /// Write to the store before anything that follows.
    Persist(raft::StorageWrite),
    /// The view of a member changed.
    MembershipChanged(membership::StatusChange),
    /// This member's own standing to a lease changed: carry it to [`lease::LeaseView`] and into the history.
    LeaseChanged(LeaseStatusChange),
    /// Who leads the group, as far as this member knows.
    LeaderChanged {
        /// The leader.
        leader: Option<MemberName>,
        /// Its term.
        term: Term,
    },
    /// A proposal came to its end.
    ProposalCompleted {
        /// The caller's number.
        request_id: u64,
        /// What came of it.
        result: Result<ProposalResult, ProposalError>,
    },
    /// This member gained (true) or lost its right to act as itself.
    SessionValid(bool),
    /// The log has ended this life: come back as a new incarnation, or stop.
    IncarnationEnded,
    /// The state changed. Each member sees each effect of the entries that it applies, in one order; those covered
    /// by a snapshot are not seen one by one, see [`Action::Restored`].
    Effect {
        /// The entry.
        index: Index,
        /// What it did.
        effect: StateChange,
    },
    /// The state was replaced by a snapshot: read it anew with [`Node::state`].
    SnapshotRestored {
        /// The last entry that it covers.
        index: Index,
    },
    /// The group refused what was asked of it. Proposals are sent again by themselves.
    Rejected(raft::Rejection),
}

/// Why there is no answer to a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum ProposalError {
    /// Too many wait already; it was not sent.
    #[error("too many proposals wait")]
    #[serde(rename = "full")]
    QueueFull,
    /// No answer came in time. It may still be applied.
    #[error("no answer in time; it may still be applied")]
    #[serde(rename = "gave_up")]
    TimedOut,
    /// It was decided, but a snapshot hid the answer: look at the state.
    #[error("decided; look at the state")]
    #[serde(rename = "hidden")]
    ReplyLost,
}

/// What `whinhaven fleet status` shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// This member.
    #[serde(rename = "me")]
    pub local: MemberInstance,
    /// Its site.
    pub site: SiteName,
    /// How it stands to its life lease: `acting`, `waiting` or `ended`.
    #[serde(rename = "life")]
    pub session: String,
    /// The token of its life lease, if it has one.
    #[serde(rename = "life_token")]
    pub session_token: Option<Token>,
    /// The leader it knows.
    pub leader: Option<MemberName>,
    /// The group's term.
    pub term: Term,
    /// The last committed entry it knows.
    pub commit: Index,
    /// The last entry applied.
    pub applied: Index,
    /// All members in the view.
    pub members: Vec<MemberStatus>,
    /// All leases in the log as applied here.
    pub leases: Vec<LeaseStatus>,
    /// The policy's epoch; 0 before the first.
    pub epoch: u64,
}

/// A member as the view has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it is reached.
    pub address: SocketAddr,
    /// `alive`, `suspect`, `dead` or `left`.
    pub status: String,
}

/// A lease as the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Its name.
    pub name: LeaseName,
    /// Who holds it.
    pub holder: MemberInstance,
    /// Under which token.
    pub token: Token,
    /// How often it was renewed.
    pub renewals: u64,
    /// False while it is only offered.
    pub taken: bool,
    /// How many wait for it.
    pub waiters: usize,
}

/// One member: see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    me: membership::LocalMember,
    instance: MemberInstance,
    bounds: Bounds,
    limits: Limits,
    membership: Membership,
    raft: Raft,
    state: FleetState,
    holder: Holder,
    watch: ExpiryTracker,
    leading: bool,
    /// The callers' numbers of proposals that wait, by this member's, and when they are given up.
    tickets: BTreeMap<u64, (u64, Micros)>,
    /// The leader's requests to end a lease that wait for an answer.
    expiring: BTreeMap<LeaseName, u64>,
    session_valid: bool,
    life_ended: bool,
    leaving: bool,
    keeper: work::RetentionTracker,
    /// When the leader looks next for records that may be forgotten.
    keep_at: Micros,
    /// The proposal of a policy that this leader has seen under way, and when it ends it.
    policy_due: Option<(u64, Micros)>,
    relays: Vec<MemberName>,
    /// Renewals of this member that are to be sent, and how many before each stayed without an answer.
    renewing: Vec<(LeaseRenewal, u32)>,
    /// As leader: renewals that wait for the voters.
    confirmation: LeaderConfirmation,
    /// As relay: renewals of others.
    gathering: RenewalBatch,
}

/// How often the leader looks for records of work that may be forgotten, and the most at once.
const RETENTION_CHECK_INTERVAL: Micros = 1_000_000;
const MAX_FORGOTTEN_PER_CHECK: usize = 64;

impl Node {
    /// A member at the start of its life. It wants its life lease at once; it looks for the others at [`Event::Join`].
    pub fn new(start: NodeStart, settings: Config, now: Micros) -> Node {
        let NodeStart {
            local: me,
            store,
            voters,
            restored,
            seed,
            relays,
        } = start;
        let who = MemberInstance {
            name: me.name.clone(),
            incarnation: me.incarnation,
        };
        let draw = |part: u64| xxh3_64_with_seed(&part.to_le_bytes(), seed);
        let voter = raft::VoterId {
            name: me.name.clone(),
            store,
        };
        let most_wants = settings.node.max_wanted_leases;
        Node {
            membership: Membership::new(me.clone(), settings.membership, draw(1)),
            raft: Raft::new(voter, &voters, settings.raft, draw(2), restored, now)
                .with_relays(relays.clone()),
            state: FleetState::new(),
            holder: Holder::new(who.clone(), settings.lease.clone(), most_wants, draw(3)),
            watch: ExpiryTracker::new(settings.lease),
            me,
            instance: who,
            bounds: settings.bounds,
            limits: settings.node,
            leading: false,
            tickets: BTreeMap::new(),
            expiring: BTreeMap::new(),
            session_valid: false,
            life_ended: false,
            leaving: false,
            keeper: work::RetentionTracker::default(),
            keep_at: now.saturating_add(RETENTION_CHECK_INTERVAL),
            policy_due: None,
            relays,
            renewing: Vec::new(),
            confirmation: LeaderConfirmation::default(),
            gathering: RenewalBatch::default(),
        }
    }

    /// Takes an event at `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // The clock goes first: after a pause, the rights that have run out are taken back before anything else.
        let mut asks = VecDeque::new();
        self.hold(now, lease::Event::Tick, &mut asks, out);
        self.say_rights(now, out);
        match event {
            Event::Tick => {
                self.look(now, membership::Event::Tick, out);
                asks.push_back(raft::Event::Tick);
                self.end_leases(now, &mut asks);
                self.forget_work(now, &mut asks);
                self.end_policy(now, &mut asks);
                self.give_up(now, out);
            }
            Event::Join { seeds } => self.look(now, membership::Event::Join { seeds }, out),
            Event::Message {
                from,
                message: Message::Membership(message),
            } => {
                self.look(now, membership::Event::Message { from, message }, out);
            }
            Event::Message {
                from,
                message: Message::Renewal(message),
            } => {
                self.look(
                    now,
                    membership::Event::ContactedElsewhere(from.clone()),
                    out,
                );
                self.hear_renewal(now, from, message, &mut asks, out);
            }
            Event::Message {
                message: Message::Raft(message),
                ..
            } if ends_a_lease(&message) => {}
            Event::Message {
                from,
                message: Message::Raft(message),
            } => {
                self.look(
                    now,
                    membership::Event::ContactedElsewhere(from.clone()),
                    out,
                );
                asks.push_back(raft::Event::Message { from, message });
            }
            Event::AcquireLease(name) => {
                self.hold(now, lease::Event::Acquire(name), &mut asks, out)
            }
            Event::ReleaseLease(name) => {
                self.hold(now, lease::Event::Release(name), &mut asks, out)
            }
            Event::Propose {
                request_id: ticket,
                command,
            } => {
                if self.tickets.len() >= self.limits.max_pending_proposals || self.leaving {
                    out.push(Action::ProposalCompleted {
                        request_id: ticket,
                        result: Err(ProposalError::QueueFull),
                    });
                } else {
                    let give_up =
                        now.saturating_add(self.limits.proposal_timeout_ms.saturating_mul(1000));
                    let seq = self.propose(now, command, &mut asks);
                    self.tickets.insert(seq, (ticket, give_up));
                }
            }
            Event::ChangeVoters(names) => asks.push_back(raft::Event::ChangeVoters(names)),
            Event::Leave => {
                self.leaving = true;
                self.hold(now, lease::Event::Shutdown, &mut asks, out);
                self.look(now, membership::Event::Leave, out);
                asks.push_back(raft::Event::TransferLeadership);
            }
        }
        self.work(now, asks, out);
        self.renew(now, out);
        self.watch_policy(now);
        self.say_rights(now, out);
    }

    /// When to call with [`Event::Tick`] at the latest.
    pub fn timeout(&self) -> Option<Micros> {
        let give_up = self.tickets.first_key_value().map(|(_, (_, at))| *at);
        let parts = [
            self.membership.timeout(),
            self.raft.timeout(),
            self.holder.timeout(),
            self.watch.timeout().filter(|_| self.leading),
            Some(self.keep_at).filter(|_| self.leading && !self.state.work().is_empty()),
            self.policy_due.map(|(_, at)| at),
            give_up,
            self.confirmation.timeout(),
            self.gathering.timeout(),
        ];
        parts.into_iter().flatten().min()
    }

    /// This member, in its life.
    pub fn instance(&self) -> &MemberInstance {
        &self.instance
    }

    /// What this member believes of the others.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Its part of the replicated log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// What the log has made, as far as applied here.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The token to act under at `now`. It may run ahead of the disk; the driver asks [`lease::LeaseView`] instead.
    pub fn lease_token(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        self.holder.valid_token(name, now)
    }

    /// Whether a planned stop is complete as far as it can be seen here: the log has ended this life, and somebody
    /// else leads. Whoever stops does not wait for it for ever.
    pub fn left(&self) -> bool {
        self.leaving && !self.leading && self.state.leases().is_session_ended(&self.instance)
    }

    /// What there is to show.
    pub fn status(&self, now: Micros) -> NodeStatus {
        let life_token = self.holder.session_token(now);
        let life = match (self.holder.is_session_ended(), life_token) {
            (true, _) => "ended",
            (false, Some(_)) => "acting",
            (false, None) => "waiting",
        };
        let member = |peer: &membership::Member| MemberStatus {
            name: peer.name.clone(),
            site: peer.site.clone(),
            incarnation: peer.incarnation,
            address: peer.address,
            status: peer.status.as_str().to_owned(),
        };
        let table = self.state.leases();
        let lease = |(name, grant): (&LeaseName, &lease::Grant)| LeaseStatus {
            name: name.clone(),
            holder: grant.holder.clone(),
            token: grant.token,
            renewals: grant.renewals,
            taken: grant.is_accepted,
            waiters: table.waiters(name).count(),
        };
        NodeStatus {
            local: self.instance.clone(),
            site: self.me.site.clone(),
            session: life.to_owned(),
            session_token: life_token,
            leader: self.raft.leader().cloned(),
            term: self.raft.term(),
            commit: self.raft.commit_index(),
            applied: self.state.applied(),
            members: self.membership.members().map(member).collect(),
            leases: table.grants().map(lease).collect(),
            epoch: self.state.policy().epoch(),
        }
    }

    // ------------------------------------------------------------ the parts

    fn look(&mut self, now: Micros, event: membership::Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.membership.handle(now, event, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            membership::Action::Send {
                to,
                address,
                message,
                reliable,
            } => Action::Send {
                to,
                address: Some(address),
                message: Message::Membership(message),
                reliable,
            },
            membership::Action::StatusChanged(change) => Action::MembershipChanged(change),
        }));
    }

    fn hold(
        &mut self,
        now: Micros,
        event: lease::Event,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.holder
            .handle(now, event, self.state.leases(), &mut actions);
        self.held(actions, asks, out);
    }

    fn held(
        &mut self,
        actions: Vec<lease::Action>,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                lease::Action::Propose(proposal) => {
                    asks.push_back(raft::Event::Propose {
                        payload: proposal.encode(),
                    });
                }
                lease::Action::Renew {
                    renewal,
                    unanswered,
                } => self.renewing.push((renewal, unanswered)),
                lease::Action::StatusChanged(change) => out.push(Action::LeaseChanged(change)),
            }
        }
    }

    fn propose(&mut self, now: Micros, command: Command, asks: &mut VecDeque<raft::Event>) -> u64 {
        let mut actions = Vec::new();
        let seq = self.holder.propose(now, command, &mut actions);
        self.held(actions, asks, &mut Vec::new());
        seq
    }

    /// Gives the group what there is for it, until nothing more comes of it.
    fn work(&mut self, now: Micros, mut asks: VecDeque<raft::Event>, out: &mut Vec<Action>) {
        let mut compacted = false;
        while let Some(event) = asks.pop_front() {
            let mut actions = Vec::new();
            self.raft.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    raft::Action::Persist(write) => out.push(Action::Persist(write)),
                    raft::Action::Send { to, message } => {
                        let address = self.membership.member(&to).map(|peer| peer.address);
                        out.push(Action::Send {
                            to,
                            address,
                            message: Message::Raft(message),
                            reliable: true,
                        });
                    }
                    raft::Action::Apply(entry) => self.apply(now, entry, &mut asks, out),
                    raft::Action::Restore(snapshot) => self.restore(now, snapshot, &mut asks, out),
                    raft::Action::LeaderChanged(leader, term) => {
                        self.lead(now, leader, term, &mut asks, out)
                    }
                    raft::Action::Rejected(refusal) => out.push(Action::Rejected(refusal)),
                }
            }
            if asks.is_empty() && !compacted && self.raft.should_compact() {
                compacted = true;
                let (index, data) = (self.state.applied(), self.state.encode());
                asks.push_back(raft::Event::Compact { index, data });
            }
        }
    }

    fn apply(
        &mut self,
        now: Micros,
        entry: raft::LogEntry,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let proposal = match &entry.payload {
            raft::EntryPayload::Data(payload) => Proposal::decode(payload),
            _ => None,
        };
        let mut effects = Vec::new();
        match proposal {
            Some(proposal) => self.state.apply(entry.index, proposal, &mut effects),
            None => self.state.skip(entry.index),
        }
        for effect in effects {
            out.push(Action::Effect {
                index: entry.index,
                effect: effect.clone(),
            });
            match effect {
                StateChange::Lease(change) => {
                    self.watch.on_change(now, &change.name, self.state.leases());
                    self.hold(now, lease::Event::LeaseChanged(change.name), asks, out);
                }
                StateChange::ProposalDecided {
                    origin,
                    result: answer,
                } if origin.proposer == self.instance => {
                    if let Some((ticket, _)) = self.tickets.remove(&origin.sequence) {
                        out.push(Action::ProposalCompleted {
                            request_id: ticket,
                            result: Ok(answer.clone()),
                        });
                    }
                    self.expiring.retain(|_, seq| *seq != origin.sequence);
                    self.hold(
                        now,
                        lease::Event::ProposalDecided(origin.sequence, answer),
                        asks,
                        out,
                    );
                }
                StateChange::ProposalDecided { .. }
                | StateChange::Bounds(_)
                | StateChange::Takeover(_)
                | StateChange::Policy(_)
                | StateChange::Sites(_) => {}
            }
        }
    }

    /// A snapshot takes the place of the state. Answers that it hides are looked up in it.
    fn restore(
        &mut self,
        now: Micros,
        snapshot: raft::Snapshot,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = FleetState::decode(&snapshot.data) else {
            return;
        };
        self.state = state;
        self.state.skip(snapshot.index);
        out.push(Action::SnapshotRestored {
            index: snapshot.index,
        });
        self.watch
            .set_leading(now, self.leading, self.state.leases());
        for origin in self.holder.pending_proposals() {
            if self.state.is_decided(&origin) {
                if let Some((ticket, _)) = self.tickets.remove(&origin.sequence) {
                    out.push(Action::ProposalCompleted {
                        request_id: ticket,
                        result: Err(ProposalError::ReplyLost),
                    });
                }
                self.hold(
                    now,
                    lease::Event::ProposalDecided(origin.sequence, ProposalResult::Done),
                    asks,
                    out,
                );
            }
        }
        self.hold(now, lease::Event::TableReplaced, asks, out);
    }

    fn lead(
        &mut self,
        now: Micros,
        leader: Option<MemberName>,
        term: Term,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let leading = leader.as_ref() == Some(&self.instance.name);
        if leading != self.leading {
            self.leading = leading;
            self.confirmation.reset();
            self.watch.set_leading(now, leading, self.state.leases());
            for (_, seq) in std::mem::take(&mut self.expiring) {
                self.holder.abandon(seq);
            }
        }
        if leading && self.bounds != *self.state.bounds() {
            self.propose(now, Command::Bounds(self.bounds.clone()), asks);
        }
        if leader.is_some() {
            let mut actions = Vec::new();
            self.holder.retry_now(now, &mut actions);
            self.held(actions, asks, out);
        }
        out.push(Action::LeaderChanged { leader, term });
    }

    // ------------------------------------------------------------ renewals off the log

    fn hear_renewal(
        &mut self,
        now: Micros,
        from: MemberName,
        message: renewal::Message,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        match message {
            renewal::Message::Renew { renewals, relayed } => {
                self.hear_renew(now, from, renewals, relayed)
            }
            renewal::Message::Renewed(renewals) => self.hear_renewed(now, renewals, asks, out),
            renewal::Message::ConfirmLeader { term, round } => {
                if self.raft.confirms_leader(&from, term) {
                    let store = self.raft.id().store;
                    self.send_renewal(
                        from,
                        renewal::Message::LeaderConfirmed { term, round, store },
                        out,
                    );
                }
            }
            renewal::Message::LeaderConfirmed { term, round, store } => {
                if self.leading && term == self.raft.term() {
                    self.confirmation
                        .on_confirmed(raft::VoterId { name: from, store }, round);
                }
            }
        }
    }

    /// Renewals have come: a leader counts their time anew, another one sends them on, once.
    fn hear_renew(
        &mut self,
        now: Micros,
        from: MemberName,
        renewals: Vec<LeaseRenewal>,
        relayed: bool,
    ) {
        if !self.leading {
            if !relayed && renewals.len() <= renewal::MAX_RENEWALS {
                self.gathering.add(now, renewals);
            }
            return;
        }
        if !self.raft.is_established_leader() {
            return;
        }
        for renewal in renewals {
            // One whose end is in the log already may come too late: the log decides.
            if self.is_good(&renewal) && !self.expiring.contains_key(&renewal.name) {
                self.watch
                    .on_change(now, &renewal.name, self.state.leases());
                self.confirmation.add(from.clone(), renewal);
            }
        }
    }

    fn is_good(&self, renewal: &LeaseRenewal) -> bool {
        self.state
            .leases()
            .grant(&renewal.name)
            .is_some_and(|grant| {
                grant.is_accepted
                    && grant.token == renewal.token
                    && grant.holder.name == renewal.holder
            })
    }

    /// Answers have come: this member takes its own, and sends the others on to their holders.
    fn hear_renewed(
        &mut self,
        now: Micros,
        renewals: Vec<LeaseRenewal>,
        asks: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        for renewal in renewals {
            if renewal.holder == self.instance.name {
                self.hold(now, lease::Event::Renewed(renewal), asks, out);
            } else {
                let holder = renewal.holder.clone();
                self.send_renewal(holder, renewal::Message::Renewed(vec![renewal]), out);
            }
        }
    }

    /// Sends this member's own renewals, those that it has gathered, and the answers that are confirmed.
    fn renew(&mut self, now: Micros, out: &mut Vec<Action>) {
        for (renewal, unanswered) in std::mem::take(&mut self.renewing) {
            match self.renew_through(unanswered) {
                Some(to) if to == self.instance.name => {
                    self.hear_renew(now, to, vec![renewal], true)
                }
                Some(to) => {
                    let message = renewal::Message::Renew {
                        renewals: vec![renewal],
                        relayed: false,
                    };
                    self.send_renewal(to, message, out);
                }
                None => {}
            }
        }
        // Where nobody leads they are dropped: their holders ask again.
        if let Some(message) = self.gathering.take_due(now)
            && let Some(leader) = self.raft.leader().cloned()
        {
            self.send_renewal(leader, message, out);
        }
        if self.leading {
            self.confirm(now, out);
        }
    }

    /// Lets the leader answer what its voters have confirmed.
    fn confirm(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(voters) = self.raft.voter_config().cloned() else {
            return;
        };
        let mut outgoing = Vec::new();
        self.confirmation.advance(
            now,
            self.raft.id(),
            self.raft.term(),
            &voters,
            &mut outgoing,
        );
        let mut asks = VecDeque::new();
        for renewal::Outgoing { to, message } in outgoing {
            match message {
                renewal::Message::Renewed(renewals) if to == self.instance.name => {
                    self.hear_renewed(now, renewals, &mut asks, out);
                }
                message => self.send_renewal(to, message, out),
            }
        }
        self.work(now, asks, out);
    }

    /// Whom the next renewal goes to: relays that seem to live and then the leader, each after one that did not answer.
    fn renew_through(&self, unanswered: u32) -> Option<MemberName> {
        if self.leading {
            return Some(self.instance.name.clone());
        }
        let lives = |name: &&MemberName| {
            self.membership
                .member(name)
                .is_some_and(|peer| peer.status == membership::Status::Alive)
        };
        let ways: Vec<&MemberName> = self
            .relays
            .iter()
            .filter(lives)
            .chain(self.raft.leader())
            .collect();
        ways.get(unanswered as usize % ways.len().max(1))
            .map(|name| (*name).clone())
    }

    fn send_renewal(&self, to: MemberName, message: renewal::Message, out: &mut Vec<Action>) {
        let address = self.membership.member(&to).map(|peer| peer.address);
        out.push(Action::Send {
            to,
            address,
            message: Message::Renewal(message),
            reliable: true,
        });
    }

    /// As leader, asks the log to end what has run out by this member's clock.
    fn end_leases(&mut self, now: Micros, asks: &mut VecDeque<raft::Event>) {
        let mut commands = Vec::new();
        if self.leading {
            self.watch.take_expired(now, &mut commands);
        }
        for command in commands {
            let lease::Command::Expire { name, .. } = &command else {
                continue;
            };
            let name = name.clone();
            let seq = self.propose(now, Command::Lease(command), asks);
            if let Some(before) = self.expiring.insert(name, seq) {
                self.holder.abandon(before);
            }
        }
    }

    /// As leader, asks the log to forget records that have rested for the time set by this member's clock.
    fn forget_work(&mut self, now: Micros, asks: &mut VecDeque<raft::Event>) {
        if !self.leading {
            return self.keeper.clear();
        }
        if now < self.keep_at {
            return;
        }
        self.keep_at = now.saturating_add(RETENTION_CHECK_INTERVAL);
        let remember = self.limits.work_retention_ms.saturating_mul(1000);
        for command in self
            .keeper
            .due(now, remember, MAX_FORGOTTEN_PER_CHECK, self.state.work())
        {
            self.propose(now, Command::Takeover(command), asks);
        }
    }

    /// As leader, counts the time of the proposal of a policy that is under way; a new leader counts it anew.
    fn watch_policy(&mut self, now: Micros) {
        let open = self
            .state
            .policy()
            .open()
            .filter(|_| self.leading)
            .map(|open| open.proposal);
        if open != self.policy_due.map(|(proposal, _)| proposal) {
            let within = self
                .limits
                .settings_proposal_timeout_ms
                .saturating_mul(1000);
            self.policy_due = open.map(|proposal| (proposal, now.saturating_add(within)));
        }
    }

    /// As leader, ends a proposal of a policy whose time is up.
    fn end_policy(&mut self, now: Micros, asks: &mut VecDeque<raft::Event>) {
        let Some((proposal, _)) = self.policy_due.filter(|(_, at)| *at <= now) else {
            return;
        };
        let missing = self.state.policy().missing(&self.state.live_members());
        let names: Vec<&str> = missing.iter().map(|who| who.name.as_str()).collect();
        let cause = format!("not decided in time: no word of {}", names.join(", "));
        // Proposals are sent again by themselves; this one once more only where it was lost altogether.
        self.policy_due = Some((
            proposal,
            now.saturating_add(self.limits.proposal_timeout_ms.saturating_mul(1000)),
        ));
        self.propose(
            now,
            Command::Policy(policy_epoch::Command::Abort { proposal, cause }),
            asks,
        );
    }

    fn give_up(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(entry) = self
            .tickets
            .first_entry()
            .filter(|entry| entry.get().1 <= now)
        {
            let (seq, (ticket, _)) = entry.remove_entry();
            self.holder.abandon(seq);
            out.push(Action::ProposalCompleted {
                request_id: ticket,
                result: Err(ProposalError::TimedOut),
            });
        }
    }

    /// Says when this member gains or loses its right to act as itself.
    fn say_rights(&mut self, now: Micros, out: &mut Vec<Action>) {
        let may_act = self.holder.session_token(now).is_some();
        if may_act != self.session_valid {
            self.session_valid = may_act;
            out.push(Action::SessionValid(may_act));
        }
        if self.holder.is_session_ended() && !self.life_ended {
            self.life_ended = true;
            out.push(Action::IncarnationEnded);
        }
    }
}

/// Whether it asks for the end of a lease. Only a leader may, of itself: it alone knows which renewals it has answered.
fn ends_a_lease(message: &raft::Message) -> bool {
    let raft::MessageBody::Propose(raft::ProposalPayload::Data(payload)) = &message.body else {
        return false;
    };
    let command = Proposal::decode(payload).map(|proposal| proposal.command);
    matches!(command, Some(Command::Lease(lease::Command::Expire { .. })))
}

#[cfg(test)]
mod tests;
