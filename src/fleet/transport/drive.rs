//! Event loop of the member that this process runs: passes events to the [`Node`] and carries out its actions in order,
//! one incarnation after the other.
//!
//! Membership messages are sent at once. All other actions wait in one queue, so that an action that follows a write
//! is carried out only after the write is durable.

use super::disk::{Disk, DiskError, OpenedStore};
use super::history::{self, History};
use super::links::{LinkSettings, Links};
use super::reception::{Incoming, Reception};
use super::seal::{FrameError, Sealer, TokenBucket, max_frame_bytes};
use super::{Fleet, MESSAGE_FRAME, admin, frame_limits, store_settings};
use crate::fleet::config::FleetConfig;
use crate::fleet::lease::{LeaseChangeKind, LeaseStatus, session_lease};
use crate::fleet::message::Message;
use crate::fleet::node::{Action, Event, Node, NodeStart, ProposalError};
use crate::fleet::raft::{MAX_VOTERS, Role};
use crate::fleet::sites::epoch::SiteTable;
use crate::fleet::state::{Command, FleetState, ProposalResult, StateChange};
use crate::fleet::{Index, LeaseName, MemberInstance, MemberName, membership, policy_epoch, raft};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Queued actions above which messages from connections are no longer read: the queue waits for the disk.
const MAX_QUEUED_ACTIONS: usize = 4_096;
/// Seconds after which a write that has not completed counts as failed.
const MAX_WRITE_SECONDS: u32 = 10;
/// Interval at which state of members that the membership has forgotten is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Datagrams per second whose seal is checked, per member that the fleet may have. Bounds the time spent on MACs.
const DATAGRAM_CHECKS_PER_MEMBER: u32 = 1_000;

/// An incarnation that ends sooner than this counts as short. From the second short one in a row on, the next
/// incarnation starts after a pause that doubles each time.
const SHORT_INCARNATION: Micros = 10_000_000;
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// A request of this process to its member.
pub enum LocalRequest {
    /// Acquire this lease whenever it is not held.
    AcquireLease(LeaseName),
    /// Leave the fleet for a planned stop; the sender is signalled when the other members know.
    Leave(oneshot::Sender<()>),
    /// Propose a command to the log and send the result.
    Propose(
        Command,
        oneshot::Sender<Result<ProposalResult, ProposalError>>,
    ),
}

/// Events of the fleet for other parts of the program, in order. Effects of log entries are reported once the entries
/// are durable at this member.
pub enum FleetEvent<'a> {
    /// A new incarnation of this member starts. The state is rebuilt from the log, so all earlier events are void.
    IncarnationStarted(&'a MemberInstance),
    /// The membership status of a member changed.
    MembershipChanged(&'a membership::StatusChange),
    /// This router's session lease became valid (`true`) or invalid (`false`).
    SessionValid(bool),
    /// The log entry at this index changed the replicated state.
    StateChanged(Index, &'a StateChange),
    /// The known leader changed; `None`: no leader is known.
    LeaderChanged(Option<&'a MemberName>),
    /// The agreed table of sites changed. Holds the current table, which may be newer than the change.
    SitesChanged(&'a SiteTable),
    /// A snapshot replaced the replicated state. Holds the current state, which may be newer than the snapshot.
    SnapshotRestored(&'a FleetState),
}

/// Runs one member until the process stops.
pub struct Driver {
    /// The fleet section of the configuration.
    pub config: FleetConfig,
    /// Handle that the rest of the program uses.
    pub fleet: Fleet,
    /// Accepts peer connections, and holds the opener of all frames.
    pub reception: Rc<Reception>,
    /// Socket that sends and receives the datagrams of the fleet.
    pub socket: UdpSocket,
    /// Messages of other members and requests of operators.
    pub incoming: mpsc::Receiver<Incoming>,
    /// Requests from other parts of this process, sent through [`Fleet`].
    pub local_requests: mpsc::Receiver<LocalRequest>,
    /// Seed of the pseudo-random numbers; mixed with the store's number and the incarnation.
    pub seed: u64,
}

/// Why an incarnation of the member is over.
enum IncarnationEnd {
    /// The log has ended it. The next incarnation has to have at least this number.
    EndedByLog(u64),
    /// The store returned an error or did not complete a write in time.
    StoreFailed(DiskError),
    /// All handles of the fleet are dropped: the process stops.
    HandleDropped,
}

/// The member left the fleet, or all handles of the fleet are dropped.
struct Stopping;

/// Pause before the next attempt; doubles with each failure, up to [`MAX_BACKOFF`].
fn backoff_delay(failures: u32) -> Duration {
    FIRST_BACKOFF
        .saturating_mul(1 << failures.min(8))
        .min(MAX_BACKOFF)
}

/// State of the store: available, in use by a writing thread, or in transition.
enum StoreState {
    Idle(Box<Disk>),
    /// A write is in progress on a blocking thread.
    Busy(JoinHandle<(Box<Disk>, Result<(), DiskError>)>),
    /// Placeholder while the store moves from `Idle` to `Busy`.
    Moving,
}

/// The member in one incarnation.
struct RunningMember {
    instance: MemberInstance,
    history: History,
    node: Node,
    sealer: Sealer,
    links: Links,
    store: StoreState,
    /// Actions to carry out in this order, each after the writes before it are durable.
    queued_actions: VecDeque<Action>,
    leave_done: Option<oneshot::Sender<()>>,
    leaving: bool,
    ended: bool,
    /// Proposals of this process and of operators that wait for their results, by request id.
    proposals: BTreeMap<u64, oneshot::Sender<Result<ProposalResult, ProposalError>>>,
    last_request_id: u64,
}

impl Driver {
    /// Runs incarnations until the process stops. After a failure of the store the member takes no part until the store
    /// can be opened again; after a failure that isn't transient it takes no part until the process stops.
    pub async fn run(mut self, mut opened_store: OpenedStore) {
        let mut wanted_leases = vec![];
        let mut short_incarnations = 0;
        loop {
            let started_at = self.now();
            let end = self.run_incarnation(opened_store, &mut wanted_leases).await;
            // Gives up all leases before anything else: this incarnation must not act any more.
            let last_token = self.fleet.lease_token(&self.fleet.0.session_lease);
            self.fleet.0.leases.take();
            let history = History(self.fleet.instance());
            let min_incarnation = match end {
                IncarnationEnd::HandleDropped => return,
                IncarnationEnd::EndedByLog(min_incarnation) => {
                    short_incarnations = if self.now() - started_at < SHORT_INCARNATION {
                        short_incarnations + 1
                    } else {
                        0
                    };
                    if short_incarnations > 1 {
                        history.note(
                            "incarnations end soon after they start: another process may run under this member's \
                             name; pausing before the next one",
                        );
                        if self
                            .pause(
                                "pausing between two incarnations",
                                backoff_delay(short_incarnations),
                                &mut wanted_leases,
                            )
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                    min_incarnation
                }
                IncarnationEnd::StoreFailed(error) => {
                    if let Some(token) = last_token {
                        history.session_changed(Some(token), false);
                        self.fleet
                            .notify_listeners(&FleetEvent::SessionValid(false));
                    }
                    history.store_failed(&error.to_string());
                    if !error.is_transient() {
                        return self.give_up(&error, &mut wanted_leases).await;
                    }
                    0
                }
            };
            opened_store = match self
                .reopen_with_retries(min_incarnation, &mut wanted_leases)
                .await
            {
                Some(reopened) => reopened,
                None => return,
            };
        }
    }

    /// Opens the store for the next incarnation, and retries while the failure is transient. `None`: the process stops.
    async fn reopen_with_retries(
        &mut self,
        min_incarnation: u64,
        wanted_leases: &mut Vec<LeaseName>,
    ) -> Option<OpenedStore> {
        let mut attempts = 0;
        loop {
            let error = match self.reopen(min_incarnation).await {
                Ok(opened_store) => return Some(opened_store),
                Err(error) => error,
            };
            let history = History(self.fleet.instance());
            if !error.is_transient() {
                history.store_failed(&error.to_string());
                self.give_up(&error, wanted_leases).await;
                return None;
            }
            history.note(&format!("the store can't be opened: {error}; retrying"));
            self.pause(
                &format!("the store failed: {error}"),
                backoff_delay(attempts),
                wanted_leases,
            )
            .await
            .ok()?;
            attempts += 1;
        }
    }

    /// Takes no part in the fleet until the process stops.
    async fn give_up(&mut self, error: &DiskError, wanted_leases: &mut Vec<LeaseName>) {
        self.fleet.0.stopped.set(true);
        self.refuse_requests(&format!("the store failed: {error}"), wanted_leases)
            .await;
    }

    /// Takes no part in the fleet for `duration`.
    async fn pause(
        &mut self,
        why: &str,
        duration: Duration,
        wanted_leases: &mut Vec<LeaseName>,
    ) -> Result<(), Stopping> {
        match tokio::time::timeout(duration, self.refuse_requests(why, wanted_leases)).await {
            Ok(()) => Err(Stopping),
            Err(_) => Ok(()),
        }
    }

    async fn reopen(&self, min_incarnation: u64) -> Result<OpenedStore, DiskError> {
        let (path, settings) = (self.config.store.path.clone(), store_settings(&self.config));
        let now = history::unix_us().max(min_incarnation);
        let opening = tokio::task::spawn_blocking(move || Disk::open(&path, settings, now));
        opening.await.unwrap_or(Err(DiskError::WriterThreadEnded))
    }

    /// Refuses operators' requests with `why` and discards all other messages, until the process stops. Leases that
    /// this process requests meanwhile are added to `wanted_leases`.
    async fn refuse_requests(&mut self, why: &str, wanted_leases: &mut Vec<LeaseName>) {
        loop {
            tokio::select! {
                incoming = self.incoming.recv() => match incoming {
                    Some(Incoming::AdminRequest(_, reply_sender)) => {
                        let _ = reply_sender.send(admin::Reply::Refused(why.to_owned()));
                    }
                    Some(Incoming::Message(..)) => {}
                    None => return,
                },
                request = self.local_requests.recv() => match request {
                    Some(LocalRequest::AcquireLease(name)) if !wanted_leases.contains(&name) => wanted_leases.push(name),
                    Some(LocalRequest::AcquireLease(_) | LocalRequest::Propose(..)) => {}
                    Some(LocalRequest::Leave(_)) | None => return,
                },
            }
        }
    }

    async fn run_incarnation(
        &mut self,
        opened_store: OpenedStore,
        wanted_leases: &mut Vec<LeaseName>,
    ) -> IncarnationEnd {
        let OpenedStore {
            disk,
            store_id,
            newly_formatted,
            restored,
            torn_tail,
        } = opened_store;
        let instance = MemberInstance {
            name: self.config.name.clone(),
            incarnation: disk.incarnation(),
        };
        let history = History(instance.clone());
        if let Some(torn_tail) = torn_tail {
            history.note(&format!("store: {torn_tail}"));
        }
        history.started(
            self.config.site.as_str(),
            self.config.peer,
            store_id,
            newly_formatted,
        );
        self.fleet.0.instance.replace(instance.clone());
        self.reception.me.replace(instance.clone());
        self.fleet
            .notify_listeners(&FleetEvent::IncarnationStarted(&instance));
        let key = [instance.incarnation.0.to_le_bytes(), store_id.to_le_bytes()].concat();
        let seed = xxh3_64_with_seed(&key, self.seed);
        let local_member = membership::LocalMember {
            name: instance.name.clone(),
            site: self.config.site.clone(),
            address: self.config.peer,
            incarnation: instance.incarnation,
        };
        let (voters, relays) = (self.config.voters.clone(), self.config.relays.clone());
        let start = NodeStart {
            local: local_member,
            store: store_id,
            voters,
            restored,
            seed,
            relays,
        };
        let (keys, limits) = (self.reception.keys.clone(), frame_limits(&self.config));
        let link_settings = LinkSettings {
            me: instance.clone(),
            keys: keys.clone(),
            limits: limits.clone(),
            max_queue_bytes: self.config.most_queue_bytes,
            max_links: self.config.most_members,
            seed: seed ^ 1,
        };
        let mut member = RunningMember {
            node: Node::new(start, self.config.settings.clone(), self.now()),
            sealer: Sealer::new(instance.clone(), keys, &limits),
            links: Links::new(link_settings, self.fleet.0.counters.clone()),
            store: StoreState::Idle(Box::new(disk)),
            queued_actions: VecDeque::new(),
            leave_done: None,
            leaving: false,
            ended: false,
            proposals: BTreeMap::new(),
            last_request_id: 0,
            instance,
            history,
        };
        let seeds = self
            .config
            .peers
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        self.handle_event(&mut member, Event::Join { seeds });
        for name in wanted_leases.iter() {
            self.handle_event(&mut member, Event::AcquireLease(name.clone()));
        }
        self.event_loop(member, wanted_leases).await
    }

    async fn event_loop(
        &mut self,
        mut member: RunningMember,
        wanted_leases: &mut Vec<LeaseName>,
    ) -> IncarnationEnd {
        let mut buffer =
            vec![0; max_frame_bytes(self.config.settings.membership.max_datagram_bytes) + 1];
        let checks_per_second =
            DATAGRAM_CHECKS_PER_MEMBER.saturating_mul(self.config.most_members as u32);
        let mut datagram_checks =
            TokenBucket::new(self.now(), checks_per_second, checks_per_second);
        let mut second_ticks = tokio::time::interval(Duration::from_secs(1));
        second_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut cleanup = tokio::time::interval(CLEANUP_INTERVAL);
        cleanup.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut write_seconds = 0;
        loop {
            self.run_queued_actions(&mut member);
            if member.ended
                && !member.leaving
                && matches!(member.store, StoreState::Idle(_))
                && member.queued_actions.is_empty()
            {
                let name = &member.instance.name;
                let last_incarnation = member
                    .node
                    .state()
                    .leases()
                    .session(name)
                    .map_or(0, |grant| grant.holder.incarnation.0);
                return IncarnationEnd::EndedByLog(last_incarnation.saturating_add(1));
            }
            let next_timer = member
                .node
                .timeout()
                .map(|at| self.fleet.0.clock.instant(at));
            let queue_full = member.queued_actions.len() >= MAX_QUEUED_ACTIONS;
            let write_in_progress = matches!(member.store, StoreState::Busy(_));
            // Timers come before messages, so that after a stall of the process expired leases end first.
            tokio::select! {
                biased;
                written = write_completed(&mut member.store), if write_in_progress => {
                    write_seconds = 0;
                    match written {
                        Ok(disk) => member.store = StoreState::Idle(disk),
                        Err(error) => return IncarnationEnd::StoreFailed(error),
                    }
                }
                () = tokio::time::sleep_until(next_timer.unwrap_or_else(Instant::now)), if next_timer.is_some() => {
                    self.handle_event(&mut member, Event::Tick);
                }
                _ = second_ticks.tick(), if write_in_progress => {
                    // Counts ticks instead of reading the clock: a process that was stopped has not waited for its
                    // disk.
                    write_seconds += 1;
                    if write_seconds > MAX_WRITE_SECONDS {
                        return IncarnationEnd::StoreFailed(DiskError::Stalled(MAX_WRITE_SECONDS));
                    }
                }
                _ = cleanup.tick() => self.cleanup(&mut member),
                wakeup = async {
                    tokio::select! {
                        request = self.local_requests.recv() => Wakeup::LocalRequest(request),
                        incoming = self.incoming.recv(), if !queue_full => Wakeup::Incoming(incoming),
                        datagram = self.socket.recv_from(&mut buffer) => Wakeup::Datagram(datagram),
                    }
                } => match wakeup {
                    Wakeup::LocalRequest(None) | Wakeup::Incoming(None) => return IncarnationEnd::HandleDropped,
                    Wakeup::LocalRequest(Some(LocalRequest::AcquireLease(name))) => {
                        if !wanted_leases.contains(&name) {
                            wanted_leases.push(name.clone());
                        }
                        self.handle_event(&mut member, Event::AcquireLease(name));
                    }
                    Wakeup::LocalRequest(Some(LocalRequest::Propose(command, reply_sender))) => {
                        member.last_request_id += 1;
                        member.proposals.insert(member.last_request_id, reply_sender);
                        let request_id = member.last_request_id;
                        self.handle_event(&mut member, Event::Propose { request_id, command });
                    }
                    Wakeup::LocalRequest(Some(LocalRequest::Leave(left))) => {
                        member.leaving = true;
                        member.leave_done = Some(left);
                        self.handle_event(&mut member, Event::Leave);
                    }
                    Wakeup::Incoming(Some(Incoming::Message(from, message))) => {
                        self.handle_event(&mut member, Event::Message { from, message });
                    }
                    Wakeup::Incoming(Some(Incoming::AdminRequest(admin::Request::Policy(command), reply_sender))) => {
                        self.propose_policy(&mut member, command, reply_sender);
                    }
                    Wakeup::Incoming(Some(Incoming::AdminRequest(request, reply_sender))) => {
                        let _ = reply_sender.send(self.answer_operator(&mut member, request));
                    }
                    Wakeup::Datagram(Ok((length, from))) => {
                        self.receive_datagram(&mut member, &buffer[..length], from, &mut datagram_checks);
                    }
                    // An earlier datagram could not be delivered: its receiver was not listening.
                    Wakeup::Datagram(Err(error)) => log::debug!("fleet: receiving a datagram on the peer address failed: {error}"),
                }
            }
        }
    }

    fn now(&self) -> Micros {
        self.fleet.0.clock.now()
    }

    fn handle_event(&self, member: &mut RunningMember, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        // Timers that are due run first, whatever woke this member up.
        if event != Event::Tick && member.node.timeout().is_some_and(|at| at <= now) {
            member.node.handle(now, Event::Tick, &mut actions);
        }
        member.node.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    message: message @ Message::Membership(_),
                    reliable,
                } => {
                    self.send(member, &to, address, &message, reliable);
                }
                Action::MembershipChanged(change) => {
                    self.fleet.0.counters.view_changes.up();
                    member.history.membership_changed(&change);
                    self.fleet
                        .notify_listeners(&FleetEvent::MembershipChanged(&change));
                }
                other => member.queued_actions.push_back(other),
            }
        }
        if member.leaving
            && member.node.left()
            && let Some(left) = member.leave_done.take()
        {
            let _ = left.send(());
        }
    }

    fn receive_datagram(
        &self,
        member: &mut RunningMember,
        frame: &[u8],
        from: SocketAddr,
        datagram_checks: &mut TokenBucket,
    ) {
        let now = self.now();
        if !datagram_checks.take(now) {
            return self
                .reception
                .report_frame_error(from.ip(), FrameError::Rate);
        }
        let opened = match self.reception.opener.borrow_mut().open_datagram(now, frame) {
            Ok(opened) => Ok((
                opened.from.name,
                opened.kind,
                Message::decode(opened.payload),
            )),
            Err(reason) => Err(reason),
        };
        match opened {
            Err(reason) => self.reception.report_frame_error(from.ip(), reason),
            Ok((from, MESSAGE_FRAME, Some(message @ Message::Membership(_)))) => {
                self.fleet.0.counters.datagrams_in.up();
                self.handle_event(member, Event::Message { from, message });
            }
            Ok((from, ..)) => self.reception.report_unreadable_payload(&from),
        }
    }

    fn send(
        &self,
        member: &mut RunningMember,
        to: &MemberName,
        address: Option<SocketAddr>,
        message: &Message,
        reliable: bool,
    ) {
        let Some(address) = self.config.peers.get(to).copied().or(address) else {
            return;
        };
        let payload = message.encode();
        if reliable || payload.len() > self.config.settings.membership.max_datagram_bytes {
            return member.links.send(to, address, payload);
        }
        let sealed = member.sealer.seal(to, MESSAGE_FRAME, &payload).ok();
        let counters = &self.fleet.0.counters;
        match sealed.and_then(|frame| self.socket.try_send_to(&frame, address).ok()) {
            Some(bytes) => {
                counters.datagrams_out.up();
                counters.bytes_out.add(bytes);
            }
            None => counters.datagrams_lost.up(),
        }
    }

    /// Carries out queued actions until a write is in progress.
    fn run_queued_actions(&self, member: &mut RunningMember) {
        while matches!(member.store, StoreState::Idle(_)) {
            let Some(action) = member.queued_actions.pop_front() else {
                return;
            };
            match action {
                Action::Persist(write) => self.write(member, write),
                other => self.run_action(member, other),
            }
        }
    }

    /// Hands a write, and the writes that directly follow it in the queue, to a blocking thread.
    fn write(&self, member: &mut RunningMember, first: raft::StorageWrite) {
        let mut writes = vec![first];
        while matches!(member.queued_actions.front(), Some(Action::Persist(_))) {
            if let Some(Action::Persist(write)) = member.queued_actions.pop_front() {
                writes.push(write);
            }
        }
        if let StoreState::Idle(mut disk) = std::mem::replace(&mut member.store, StoreState::Moving)
        {
            self.fleet.0.counters.writes.up();
            member.store = StoreState::Busy(tokio::task::spawn_blocking(move || {
                let done = disk.write(&writes);
                (disk, done)
            }));
        }
    }

    fn run_action(&self, member: &mut RunningMember, action: Action) {
        let shared = &self.fleet.0;
        match action {
            Action::Send {
                to,
                address,
                message,
                reliable,
            } => self.send(member, &to, address, &message, reliable),
            Action::LeaseChanged(change) => {
                let now = self.now();
                shared.leases.borrow_mut().apply(&change);
                match (change.from, change.to) {
                    (LeaseStatus::Held, LeaseStatus::Held) => {}
                    (_, LeaseStatus::Held) => shared.counters.leases_granted.up(),
                    (LeaseStatus::Held, _) => shared.counters.leases_lost.up(),
                    _ => {}
                }
                member.history.lease_changed(&change, now);
            }
            Action::LeaderChanged { leader, term } => {
                if leader.is_some() {
                    shared.counters.leaders.up();
                }
                member.history.leader_changed(leader.as_ref(), term);
                self.fleet
                    .notify_listeners(&FleetEvent::LeaderChanged(leader.as_ref()));
            }
            Action::SessionValid(gained) => {
                let table = member.node.state().leases();
                let token = table
                    .session(&member.instance.name)
                    .filter(|grant| grant.holder == member.instance);
                member
                    .history
                    .session_changed(token.map(|grant| grant.token), gained);
                self.fleet
                    .notify_listeners(&FleetEvent::SessionValid(gained));
            }
            Action::IncarnationEnded => member.ended = true,
            Action::Effect { index, effect } => {
                if let StateChange::Lease(change) = &effect {
                    let is_session_lease =
                        session_lease(&change.holder.name).is_some_and(|name| name == change.name);
                    if is_session_lease
                        && matches!(
                            change.kind,
                            LeaseChangeKind::Expired | LeaseChangeKind::Released
                        )
                    {
                        shared.counters.deaths.up();
                        member.history.incarnation_ended(&change.holder, index);
                    }
                }
                self.fleet
                    .notify_listeners(&FleetEvent::StateChanged(index, &effect));
                if matches!(effect, StateChange::Sites(_)) {
                    self.fleet
                        .notify_listeners(&FleetEvent::SitesChanged(member.node.state().sites()));
                }
            }
            Action::Rejected(raft::Rejection::InitialVotersDiffer) => {
                member.history
                    .note("another initial voter is configured with a different set of initial voters: the group can't \
                     start; set the same fleet.voters on all of them");
            }
            Action::Rejected(refusal) => {
                log::debug!("fleet: the Raft group rejected an input: {refusal:?}");
            }
            Action::ProposalCompleted { request_id, result } => {
                if let Some(reply_sender) = member.proposals.remove(&request_id) {
                    let _ = reply_sender.send(result);
                }
            }
            Action::SnapshotRestored { .. } => self
                .fleet
                .notify_listeners(&FleetEvent::SnapshotRestored(member.node.state())),
            Action::Persist(_) | Action::MembershipChanged(_) => {}
        }
    }

    /// Proposes an operator's policy command to the log, and replies with the result.
    fn propose_policy(
        &self,
        member: &mut RunningMember,
        command: policy_epoch::Command,
        reply_sender: oneshot::Sender<admin::Reply>,
    ) {
        let refused = match (&self.config.policy, &command) {
            (None, _) => Some("this router's configuration has no [policy] table"),
            (_, policy_epoch::Command::Propose { base: 0, .. }) => {
                Some("no policy epoch is in force yet; try again when the first one is")
            }
            (_, policy_epoch::Command::Propose { content, .. })
                if content.len() > policy_epoch::MAX_CONTENT_BYTES =>
            {
                Some("the policy's text is longer than 64 KiB")
            }
            (_, policy_epoch::Command::Propose { .. } | policy_epoch::Command::Abort { .. }) => {
                None
            }
            // Votes and confirmations are accepted from members only, each for itself.
            _ => Some("only members may send this command, not an operator"),
        };
        if let Some(why) = refused {
            let _ = reply_sender.send(admin::Reply::Refused(why.to_owned()));
            return;
        }
        let (done, decided) = oneshot::channel();
        member.last_request_id += 1;
        member.proposals.insert(member.last_request_id, done);
        let request_id = member.last_request_id;
        self.handle_event(
            member,
            Event::Propose {
                request_id,
                command: Command::Policy(command),
            },
        );
        tokio::task::spawn_local(async move {
            let reply = match decided.await {
                Ok(Ok(ProposalResult::Policy(reply))) => admin::Reply::Policy(reply),
                Ok(Err(error)) => admin::Reply::Refused(error.to_string()),
                _ => admin::Reply::Refused("the command was not applied to the log".to_owned()),
            };
            let _ = reply_sender.send(reply);
        });
    }

    fn answer_operator(&self, member: &mut RunningMember, request: admin::Request) -> admin::Reply {
        match request {
            admin::Request::Status => {
                let group = member.node.raft();
                let voters = group.voter_config();
                admin::Reply::Status(Box::new(admin::StatusReport {
                    status: member.node.status(self.now()),
                    role: match group.role() {
                        Role::Leader => "leader",
                        Role::Candidate => "candidate",
                        Role::Follower => "follower",
                        Role::Learner => "learner",
                    }
                    .to_owned(),
                    voters: voters
                        .map(|v| v.voters.iter().cloned().collect())
                        .unwrap_or_default(),
                    target_voters: voters
                        .map(|v| v.target.iter().cloned().collect())
                        .unwrap_or_default(),
                }))
            }
            admin::Request::Voters(names) if names.is_empty() || names.len() > MAX_VOTERS => {
                admin::Reply::Refused(format!(
                    "{} voters given; 1 to {MAX_VOTERS} are needed",
                    names.len()
                ))
            }
            admin::Request::Policy(_) => {
                admin::Reply::Refused("policy commands can't be handled now; try again".to_owned())
            }
            admin::Request::PolicyStatus => {
                let state = member.node.state();
                let (table, live_members) = (state.policy().clone(), state.live_members());
                admin::Reply::PolicyStatus(Box::new(admin::PolicyStatus {
                    member: member.instance.clone(),
                    table,
                    live_members,
                }))
            }
            admin::Request::Voters(names) => {
                self.handle_event(member, Event::ChangeVoters(names));
                admin::Reply::Accepted
            }
        }
    }

    /// Removes connections and replay windows of members that the membership has forgotten.
    fn cleanup(&self, member: &mut RunningMember) {
        let is_known = |name: &MemberName| {
            member.node.membership().member(name).is_some() || self.config.peers.contains_key(name)
        };
        let forgotten_links: Vec<MemberName> = member
            .links
            .names()
            .filter(|name| !is_known(name))
            .cloned()
            .collect();
        let forgotten_senders = self
            .reception
            .opener
            .borrow()
            .sender_names()
            .filter(|name| !is_known(name))
            .cloned()
            .collect::<Vec<_>>();
        for name in &forgotten_links {
            member.links.forget(name);
        }
        for name in &forgotten_senders {
            self.reception.opener.borrow_mut().forget(name);
        }
    }
}

/// What woke the event loop, besides timers and writes.
enum Wakeup {
    LocalRequest(Option<LocalRequest>),
    Incoming(Option<Incoming>),
    Datagram(std::io::Result<(usize, SocketAddr)>),
}

/// Waits for the write in progress. Never returns while there is none.
async fn write_completed(store: &mut StoreState) -> Result<Box<Disk>, DiskError> {
    let StoreState::Busy(task) = store else {
        return std::future::pending().await;
    };
    match task.await {
        Ok((disk, Ok(()))) => Ok(disk),
        Ok((_, Err(error))) => Err(error),
        Err(_) => Err(DiskError::WriterThreadEnded),
    }
}
