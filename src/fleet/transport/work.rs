//! Records requests and sends in the fleet's log before they are carried out, and releases the KV state that ended
//! incarnations have left at model hosts.
//!
//! [`TakeoverClient`] runs [`WorkRecorder`] with this process's clock and proposals. [`RecordingOutbound`] sits between
//! the dispatcher and the client of the model hosts: it records each send before the send goes out, and completes the
//! record when its request is finished.

use super::history::History;
use super::{Fleet, FleetEvent};
use crate::dispatch::{
    Attempt, Clock, DispatcherEvent, DispatcherHandle, Outbound, ReleaseProgress,
};
use crate::exchange::UpstreamRequest;
use crate::fleet::MemberInstance;
use crate::fleet::config::TakeoverConfig;
use crate::fleet::state::{Command, ProposalRejection, ProposalResult, StateChange};
use crate::fleet::work::recorder::{Action, Decision, Event, OperationId, WorkRecorder};
use crate::fleet::work::{self, Capacity, MAX_IDS_PER_COMMAND, RecordChange, Rejection, Reply};
use crate::routing::policy::call_permit::ReleaseHistory;
use crate::routing::types::{AttemptOutcome, Micros, ReleasePermit, ReleaseReason, WorkerId};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

/// Interval at which finished sends are collected.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a command without an answer is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum random delay before a member takes over an ended incarnation's sends, in microseconds per member that the
/// fleet may have.
const MAX_TAKEOVER_DELAY_US_PER_MEMBER: u64 = 4_000;
/// Rounds of attempts to release a send; each tries all hosts and takes about 0.4 s.
const RELEASE_ROUNDS: u32 = 10;
/// Maximum number of releases in progress at once, for taken-over sends and for own late ones each.
const MAX_CONCURRENT_RELEASES: usize = 32;

/// Callback that receives the name of a request that another router has taken over.
type MovedCallback = Box<dyn Fn(&str)>;

/// Access to the fleet's records of requests and sends for the rest of the program.
pub struct TakeoverClient {
    fleet: Fleet,
    clock: Clock,
    settings: TakeoverConfig,
    recorder: RefCell<WorkRecorder>,
    decisions: RefCell<HashMap<OperationId, oneshot::Sender<Decision>>>,
    write_waiters: RefCell<HashMap<OperationId, oneshot::Sender<()>>>,
    next_operation: Cell<u64>,
    timer_changed: Notify,
    moved_callbacks: RefCell<Vec<MovedCallback>>,
    /// Ended incarnations whose sends nobody has taken over yet, as far as this member has applied the log.
    orphaned_incarnations: RefCell<VecDeque<MemberInstance>>,
    orphan_added: Notify,
}

impl TakeoverClient {
    /// Starts to follow the fleet's events.
    pub fn start(fleet: Fleet, clock: Clock, settings: TakeoverConfig) -> Rc<Self> {
        let recorder = WorkRecorder::new(fleet.instance(), settings.most_waiting);
        let work = Rc::new(TakeoverClient {
            fleet: fleet.clone(),
            clock,
            settings,
            recorder: RefCell::new(recorder),
            decisions: RefCell::default(),
            write_waiters: RefCell::default(),
            next_operation: Cell::new(1),
            timer_changed: Notify::new(),
            moved_callbacks: RefCell::default(),
            orphaned_incarnations: RefCell::default(),
            orphan_added: Notify::new(),
        });
        // The session lease may have become valid before the listener was added.
        work.handle(Event::LeaseValid(fleet.session_valid()));
        let listener = Rc::downgrade(&work);
        fleet.add_listener(Box::new(move |event| {
            if let Some(work) = listener.upgrade() {
                work.on_fleet_event(event);
            }
        }));
        tokio::task::spawn_local(work.clone().run_timers());
        work
    }

    /// The numbers and bytes of records that this router's settings allow.
    pub fn capacity(&self) -> Capacity {
        Capacity {
            records: self.settings.most_records,
            bytes: self.settings.most_bytes,
        }
    }

    /// The `[takeover]` settings of this router.
    pub fn settings(&self) -> &TakeoverConfig {
        &self.settings
    }

    /// Whether this router's session lease is valid now, by a fresh reading of the clock.
    pub fn session_valid(&self) -> bool {
        self.fleet.session_valid()
    }

    /// The history of this router's current incarnation.
    pub fn history(&self) -> History {
        History(self.fleet.instance())
    }

    /// Registers a callback that receives the name of each request that another router has taken over.
    pub fn on_request_moved(&self, moved: impl Fn(&str) + 'static) {
        self.moved_callbacks.borrow_mut().push(Box::new(moved));
    }

    /// Records `command` in the log and returns whether the caller may proceed. Waits until `deadline` at the latest.
    pub async fn request_until(
        self: &Rc<Self>,
        command: work::Command,
        deadline: Micros,
    ) -> Decision {
        let operation = self.new_operation();
        let (decision_sender, decision_receiver) = oneshot::channel();
        self.decisions
            .borrow_mut()
            .insert(operation, decision_sender);
        self.handle(Event::Request {
            operation,
            command,
            deadline,
        });
        let decision = decision_receiver.await.unwrap_or(Decision::LeaseLost);
        // The recorder knows the time only as of its last event, so the lease is checked against the clock again.
        if decision == Decision::Proceed && !self.session_valid() {
            Decision::LeaseLost
        } else {
            decision
        }
    }

    /// Like [`Self::request_until`], within the configured time for writing a record.
    pub async fn request_record(self: &Rc<Self>, command: work::Command) -> Decision {
        let deadline = self.clock.now() + self.settings.record_within_ms * 1_000;
        self.request_until(command, deadline).await
    }

    /// Like [`Self::request_until`], within the configured time for claiming a request, which allows for the end of the
    /// incarnation of a router that may have failed; not past the client's `deadline`.
    pub async fn request_claim(
        self: &Rc<Self>,
        command: work::Command,
        deadline: Micros,
    ) -> Decision {
        let claim_deadline = self.clock.now() + self.settings.claim_within_ms * 1_000;
        self.request_until(command, claim_deadline.min(deadline))
            .await
    }

    /// Like [`Self::request_record`], with additional time given by the caller.
    pub async fn request_with_extra_wait(
        self: &Rc<Self>,
        command: work::Command,
        extra_wait: Duration,
    ) -> Decision {
        let record_time = Duration::from_millis(self.settings.record_within_ms);
        let deadline = self.clock.now() + (record_time + extra_wait).as_micros() as Micros;
        self.request_until(command, deadline).await
    }

    /// Reports `command` until it is in the log. Waits for that within the configured time for writing a record.
    pub async fn report_and_wait(self: &Rc<Self>, command: work::Command) {
        let (sender, receiver) = oneshot::channel();
        let operation = self.new_operation();
        self.write_waiters.borrow_mut().insert(operation, sender);
        self.handle(Event::Report { operation, command });
        let time_limit = Duration::from_millis(self.settings.record_within_ms);
        let _ = tokio::time::timeout(time_limit, receiver).await;
        self.write_waiters.borrow_mut().remove(&operation);
    }

    /// Reports `command` until it is in the log, without waiting.
    pub fn report(self: &Rc<Self>, command: work::Command) {
        let operation = self.new_operation();
        self.handle(Event::Report { operation, command });
    }

    fn new_operation(&self) -> OperationId {
        let id = self.next_operation.get();
        self.next_operation.set(id + 1);
        OperationId(id)
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.recorder
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Propose { operation, command } => self.propose(operation, command),
                Action::Decided {
                    operation,
                    decision,
                } => {
                    if let Some(sender) = self.decisions.borrow_mut().remove(&operation) {
                        let _ = sender.send(decision);
                    }
                }
                Action::RequestMoved { name } => {
                    self.history().request_moved(&name);
                    self.moved_callbacks
                        .borrow()
                        .iter()
                        .for_each(|moved| moved(&name));
                }
            }
        }
        self.timer_changed.notify_one();
    }

    fn propose(self: &Rc<Self>, operation: OperationId, command: work::Command) {
        let work = self.clone();
        let me = self.fleet.instance();
        tokio::task::spawn_local(async move {
            let reply = match work.fleet.propose(Command::Takeover(command)).await {
                Ok(ProposalResult::Takeover(reply)) => Some(reply),
                // The log rejects all commands of this incarnation: it has ended.
                Ok(ProposalResult::Rejected(
                    ProposalRejection::StaleIncarnation | ProposalRejection::TooManyMembers,
                )) => Some(Reply::Rejected(Rejection::IncarnationEnded)),
                _ => None,
            };
            if reply.is_none() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            // The recorder of a newer incarnation does not know this operation.
            if work.fleet.instance() == me {
                if reply.is_some()
                    && let Some(waiter) = work.write_waiters.borrow_mut().remove(&operation)
                {
                    let _ = waiter.send(());
                }
                work.handle(Event::Reply { operation, reply });
            }
        });
    }

    fn on_fleet_event(self: &Rc<Self>, event: &FleetEvent) {
        match event {
            FleetEvent::IncarnationStarted(instance) => {
                *self.recorder.borrow_mut() =
                    WorkRecorder::new((*instance).clone(), self.settings.most_waiting);
                // Dropping the senders tells callers of the previous incarnation that the lease is lost.
                self.decisions.borrow_mut().clear();
            }
            FleetEvent::SessionValid(valid) => self.handle(Event::LeaseValid(*valid)),
            FleetEvent::StateChanged(_, StateChange::Takeover(change)) => {
                match change {
                    RecordChange::Orphaned { ended, .. } => self.add_orphan(ended.clone()),
                    RecordChange::TakenOver { ended, .. } => {
                        self.orphaned_incarnations
                            .borrow_mut()
                            .retain(|instance| instance != ended);
                    }
                    _ => {}
                }
                self.handle(Event::RecordChanged(change.clone()));
            }
            FleetEvent::SnapshotRestored(state) => {
                let work = state.work();
                self.orphaned_incarnations.borrow_mut().clear();
                work.orphaned_incarnations()
                    .for_each(|ended| self.add_orphan(ended.clone()));
                // Awaited changes may have happened in the log entries that the snapshot replaces.
                self.handle(Event::SnapshotRestored);
            }
            FleetEvent::MembershipChanged(_)
            | FleetEvent::StateChanged(..)
            | FleetEvent::LeaderChanged(_)
            | FleetEvent::SitesChanged(_) => {}
        }
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next_timer = self.recorder.borrow().timeout();
            let timer_changed = self.timer_changed.notified();
            tokio::select! {
                () = self.clock.sleep_until(next_timer) => self.handle(Event::Tick),
                () = timer_changed => {}
            }
        }
    }

    fn add_orphan(&self, ended: MemberInstance) {
        let mut orphaned_incarnations = self.orphaned_incarnations.borrow_mut();
        if !orphaned_incarnations.contains(&ended) {
            orphaned_incarnations.push_back(ended);
            self.orphan_added.notify_one();
        }
    }

    /// Takes over the sends that ended incarnations have left at model hosts, and releases them. Each member first
    /// waits for a different delay, so that mostly one of them proposes the takeover; the log grants it to one only.
    pub async fn adopt_orphans(self: Rc<Self>, members: usize, outbound: Rc<dyn Outbound>) {
        loop {
            let oldest = self.orphaned_incarnations.borrow().front().cloned();
            let Some(ended) = oldest else {
                self.orphan_added.notified().await;
                continue;
            };
            let me = self.fleet.instance();
            let delay = xxh3_64(format!("{me} {ended}").as_bytes())
                % (MAX_TAKEOVER_DELAY_US_PER_MEMBER * members.max(1) as u64);
            tokio::time::sleep(Duration::from_micros(delay)).await;
            if !self.orphaned_incarnations.borrow().contains(&ended) {
                continue;
            }
            let reply = self
                .fleet
                .propose(Command::Takeover(work::Command::TakeOver {
                    ended: ended.clone(),
                }))
                .await;
            match reply {
                Ok(ProposalResult::Takeover(Reply::TakenOver(sends))) => {
                    self.orphaned_incarnations
                        .borrow_mut()
                        .retain(|instance| *instance != ended);
                    History(me).orphans_adopted(&ended, sends.len());
                    self.release_all(sends, &outbound).await;
                }
                Ok(ProposalResult::Takeover(Reply::Rejected(Rejection::NothingToTakeOver))) => {
                    self.orphaned_incarnations
                        .borrow_mut()
                        .retain(|instance| *instance != ended);
                }
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn release_all(
        self: &Rc<Self>,
        sends: Vec<(String, String)>,
        outbound: &Rc<dyn Outbound>,
    ) {
        let mut waiting: VecDeque<_> = sends.into();
        let mut running = tokio::task::JoinSet::new();
        let mut finished = Vec::new();
        loop {
            while running.len() < MAX_CONCURRENT_RELEASES
                && let Some((id, worker)) = waiting.pop_front()
            {
                let (work, outbound) = (self.clone(), outbound.clone());
                running.spawn_local(async move {
                    work.release(&id, &worker, &*outbound).await;
                    id
                });
            }
            match running.join_next().await {
                Some(Ok(id)) => finished.push(id),
                Some(Err(_)) => {}
                None => break,
            }
        }
        for ids in finished.chunks(MAX_IDS_PER_COMMAND) {
            self.report(work::Command::CompleteSends { ids: ids.to_vec() });
        }
    }

    /// Tries model hosts until one accepts the release. If none does, the host that holds the state drops it by itself
    /// after some time without requests for it.
    async fn release(&self, id: &str, worker: &str, outbound: &dyn Outbound) {
        for _ in 0..RELEASE_ROUNDS {
            if self.release_once(id, worker, outbound).await {
                return;
            }
        }
        log::warn!(
            "takeover: no model host accepted the release of {id}, last sent to {worker}; leaving it to the host's \
             own timeout"
        );
    }

    /// Tries the release once at all hosts. Returns whether one accepted it within the time limits of the client.
    async fn release_once(&self, id: &str, worker: &str, outbound: &dyn Outbound) -> bool {
        let (target, body) = (String::new(), Bytes::new());
        let call = UpstreamRequest {
            id: id.into(),
            target,
            headers: hyper::HeaderMap::new(),
            body: body.into(),
            lifetime_guards: None,
            run_record: None,
            claim_key: None,
        };
        let release = Rc::new(ReleaseProgress::default());
        let Ok(permit) = ReleaseHistory::default().permit(ReleaseReason::RouterFailed, false)
        else {
            return false;
        };
        outbound.release(Rc::new(call), permit, release.clone());
        release.ended().await;
        let released = !release.was_stopped_early();
        if released {
            self.history().send_released(id, worker);
        }
        released
    }
}

/// An [`Outbound`] that records each send in the log before it goes out.
pub struct RecordingOutbound {
    inner: Rc<dyn Outbound>,
    work: Rc<TakeoverClient>,
    dispatcher: DispatcherHandle,
    prefills_only: Box<dyn Fn(&WorkerId) -> bool>,
    /// Sends recorded in the fleet's log that are not completed yet, by request id.
    recorded: RefCell<HashMap<String, RecordedSend>>,
}

/// A send that is recorded in the fleet's log, so that another member can take it over.
struct RecordedSend {
    /// The request; the record is completed once it is dropped.
    call: Weak<UpstreamRequest>,
    /// The worker that it was last sent to.
    worker: WorkerId,
    /// The release since that send, if there was one.
    release: Option<Rc<ReleaseProgress>>,
}

impl RecordingOutbound {
    /// Creates a wrapper around `inner` and starts to collect finished sends. `prefills_only` returns whether a worker
    /// is a prefill worker.
    pub fn start(
        inner: Rc<dyn Outbound>,
        work: Rc<TakeoverClient>,
        dispatcher: DispatcherHandle,
        prefills_only: Box<dyn Fn(&WorkerId) -> bool>,
    ) -> Rc<Self> {
        let recorded = RefCell::default();
        let recording = Rc::new(RecordingOutbound {
            inner,
            work,
            dispatcher,
            prefills_only,
            recorded,
        });
        tokio::task::spawn_local(recording.clone().complete_finished_sends());
        recording
    }

    /// Completes the records of finished requests. A send whose release no host has accepted stays recorded and its
    /// release is repeated until a host accepts it; if this incarnation ends first, another member takes it over.
    async fn complete_finished_sends(self: Rc<Self>) {
        let (mut to_release, mut running) = (VecDeque::new(), tokio::task::JoinSet::new());
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let mut finished = Vec::new();
            self.recorded.borrow_mut().retain(|id, recorded| {
                let unfinished = recorded.call.strong_count() > 0;
                if !unfinished
                    && recorded
                        .release
                        .as_ref()
                        .is_some_and(|r| r.was_stopped_early())
                {
                    to_release.push_back((id.clone(), recorded.worker.0.to_string()));
                } else if !unfinished {
                    finished.push(id.clone());
                }
                unfinished
            });
            while let Some(outcome) = running.try_join_next() {
                match outcome {
                    Ok((id, _, true)) => finished.push(id),
                    Ok((id, worker, false)) => to_release.push_back((id, worker)),
                    Err(_) => {}
                }
            }
            while running.len() < MAX_CONCURRENT_RELEASES
                && let Some((id, worker)) = to_release.pop_front()
            {
                let (work, inner) = (self.work.clone(), self.inner.clone());
                running.spawn_local(async move {
                    let released = work.release_once(&id, &worker, &*inner).await;
                    (id, worker, released)
                });
            }
            for ids in finished.chunks(MAX_IDS_PER_COMMAND) {
                self.work
                    .report(work::Command::CompleteSends { ids: ids.to_vec() });
            }
        }
    }
}

/// What a send needs after [`Outbound::send`] has returned.
struct PendingSend {
    inner: Rc<dyn Outbound>,
    work: Rc<TakeoverClient>,
    dispatcher: DispatcherHandle,
}

impl PendingSend {
    async fn send(self, mut attempt: Attempt, command: work::Command) {
        let attempt_deadline = attempt.first_event_deadline;
        let record_deadline =
            self.dispatcher.clock.now() + self.work.settings.record_within_ms * 1_000;
        let decision = tokio::select! {
            biased;
            _ = &mut attempt.cancelled => return self.not_sent(&attempt, AttemptOutcome::Cancelled),
            decision = self.work.request_until(command, record_deadline.min(attempt_deadline)) => decision,
        };
        match decision {
            Decision::Proceed => self.inner.send(attempt),
            other => {
                log::info!(
                    "request {}: not sent, because the send could not be recorded: {other:?}",
                    attempt.upstream_request.id
                );
                self.not_sent(&attempt, AttemptOutcome::NotSent);
            }
        }
    }

    fn not_sent(&self, attempt: &Attempt, outcome: AttemptOutcome) {
        let (request, attempt) = (attempt.request, attempt.attempt);
        self.dispatcher.send(DispatcherEvent::AttemptCompleted {
            request,
            attempt,
            outcome,
            cached_tokens: 0,
            load_report: None,
        });
    }
}

impl Outbound for RecordingOutbound {
    fn send(&self, attempt: Attempt) {
        let call = &attempt.upstream_request;
        let (worker, release) = (attempt.worker.clone(), None);
        let new_record = RecordedSend {
            call: Rc::downgrade(call),
            worker,
            release,
        };
        let was_recorded = self
            .recorded
            .borrow_mut()
            .insert(call.id.clone(), new_record)
            .is_some();
        // One record covers all sends under an id, unless the request has a claim key: its sends are counted.
        if was_recorded && call.claim_key.is_none() {
            return self.inner.send(attempt);
        }
        let command = work::Command::StartSend {
            id: call.id.clone(),
            worker: attempt.worker.0.to_string(),
            name: call.claim_key.clone(),
            read_only: (self.prefills_only)(&attempt.worker),
            max_attempts: attempt.max_attempts,
            capacity: self.work.capacity(),
        };
        let pending = PendingSend {
            inner: self.inner.clone(),
            work: self.work.clone(),
            dispatcher: self.dispatcher.clone(),
        };
        tokio::task::spawn_local(pending.send(attempt, command));
    }

    fn release(
        &self,
        call: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        release: Rc<ReleaseProgress>,
    ) {
        if let Some(recorded) = self.recorded.borrow_mut().get_mut(&call.id) {
            recorded.release = Some(release.clone());
        }
        self.inner.release(call, permit, release);
    }

    fn subscribe(&self) {
        self.inner.subscribe();
    }
}
