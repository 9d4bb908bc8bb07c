//! Work in hand, carried out: asks the fleet before something goes out, and releases what ended lives have left.
//!
//! [`Work`] drives [`WorkRecorder`] with the program's clock and proposals. [`Recording`] stands
//! between the dispatcher and the client side: what goes to a model host is written down first, and taken off the record when
//! nothing of its request is left.

use super::history::History;
use super::{Fleet, Told};
use crate::dispatch::{
    Attempt, Clock, DispatcherEvent, DispatcherHandle, Outbound, ReleaseProgress,
};
use crate::exchange::UpstreamRequest;
use crate::fleet::MemberInstance;
use crate::fleet::config::TakeoverConfig;
use crate::fleet::state::{Command, ProposalRejection as Unlooked, ProposalResult, StateChange};
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

/// How often sends are looked at of which nothing is left.
const SWEEP: Duration = Duration::from_millis(50);
/// Before what nobody waits for is proposed anew.
const AGAIN: Duration = Duration::from_millis(200);
/// The span from which each member draws how long it waits before it adopts, for each member that there may be.
const ADOPT_SPAN_US: u64 = 4_000;
/// Tries at all hosts, of some 0.4 s each.
const RELEASE_TRIES: u32 = 10;
/// Releases of adopted sends that are out at once.
const MOST_RELEASES: usize = 32;

/// Told the name of a request that another conductor has taken over.
type Moved = Box<dyn Fn(&str)>;

/// The fleet's records of work in hand, as the rest of the program asks them.
pub struct Work {
    fleet: Fleet,
    clock: Clock,
    settings: TakeoverConfig,
    hands: RefCell<WorkRecorder>,
    verdicts: RefCell<HashMap<OperationId, oneshot::Sender<Decision>>>,
    written: RefCell<HashMap<OperationId, oneshot::Sender<()>>>,
    next: Cell<u64>,
    woken: Notify,
    moved: RefCell<Vec<Moved>>,
    /// Ended lives whose things wait to be adopted, as far as heard.
    orphaned: RefCell<VecDeque<MemberInstance>>,
    orphans: Notify,
}

impl Work {
    /// Begins to listen to the fleet.
    pub fn start(fleet: Fleet, clock: Clock, settings: TakeoverConfig) -> Rc<Self> {
        let hands = WorkRecorder::new(fleet.who(), settings.most_waiting);
        let work = Rc::new(Work {
            fleet: fleet.clone(),
            clock,
            settings,
            hands: RefCell::new(hands),
            verdicts: RefCell::default(),
            written: RefCell::default(),
            next: Cell::new(1),
            woken: Notify::new(),
            moved: RefCell::default(),
            orphaned: RefCell::default(),
            orphans: Notify::new(),
        });
        // What happened before this could listen.
        work.handle(Event::LeaseValid(fleet.lives()));
        let listener = Rc::downgrade(&work);
        fleet.listen(Box::new(move |told| {
            if let Some(work) = listener.upgrade() {
                work.told(told);
            }
        }));
        tokio::task::spawn_local(work.clone().keep_time());
        work
    }

    /// Room, as this conductor's settings allow it.
    pub fn bounds(&self) -> Capacity {
        Capacity {
            records: self.settings.most_records,
            bytes: self.settings.most_bytes,
        }
    }

    /// The settings.
    pub fn settings(&self) -> &TakeoverConfig {
        &self.settings
    }

    /// Whether this conductor may act at this very moment.
    pub fn may_act(&self) -> bool {
        self.fleet.lives()
    }

    /// This conductor's history.
    pub fn history(&self) -> History {
        History(self.fleet.who())
    }

    /// Has a function called with the name of each request that another conductor has taken over.
    pub fn on_moved(&self, moved: impl Fn(&str) + 'static) {
        self.moved.borrow_mut().push(Box::new(moved));
    }

    /// Asks whether something may go out, and waits for the answer until `until` at the latest.
    pub async fn ask(self: &Rc<Self>, command: work::Command, until: Micros) -> Decision {
        let ticket = self.ticket();
        let (answer, answered) = oneshot::channel();
        self.verdicts.borrow_mut().insert(ticket, answer);
        self.handle(Event::Request {
            operation: ticket,
            command,
            deadline: until,
        });
        let verdict = answered.await.unwrap_or(Decision::LeaseLost);
        // The machine's word may be as old as the last event: the clock is read anew before anything is let out.
        if verdict == Decision::Proceed && !self.may_act() {
            Decision::LeaseLost
        } else {
            verdict
        }
    }

    /// Asks, with the time that the settings give a record to be written.
    pub async fn ask_soon(self: &Rc<Self>, command: work::Command) -> Decision {
        let until = self.clock.now() + self.settings.record_within_ms * 1_000;
        self.ask(command, until).await
    }

    /// Asks, with the time that a client may wait for a conductor that may be dying, and not past its deadline.
    pub async fn ask_for(self: &Rc<Self>, command: work::Command, deadline: Micros) -> Decision {
        let within = self.clock.now() + self.settings.claim_within_ms * 1_000;
        self.ask(command, within.min(deadline)).await
    }

    /// Asks, with a wait of the asker's beside the time that a record takes.
    pub async fn ask_within(
        self: &Rc<Self>,
        command: work::Command,
        patience: Duration,
    ) -> Decision {
        let record = Duration::from_millis(self.settings.record_within_ms);
        let until = self.clock.now() + (record + patience).as_micros() as Micros;
        self.ask(command, until).await
    }

    /// Tells the group until it is written, and waits for that no longer than a record may take.
    pub async fn told_soon(self: &Rc<Self>, command: work::Command) {
        let (written, told) = oneshot::channel();
        let ticket = self.ticket();
        self.written.borrow_mut().insert(ticket, written);
        self.handle(Event::Report {
            operation: ticket,
            command,
        });
        let patience = Duration::from_millis(self.settings.record_within_ms);
        let _ = tokio::time::timeout(patience, told).await;
        self.written.borrow_mut().remove(&ticket);
    }

    /// Tells the group; nobody waits.
    pub fn tell(self: &Rc<Self>, command: work::Command) {
        let ticket = self.ticket();
        self.handle(Event::Report {
            operation: ticket,
            command,
        });
    }

    fn ticket(&self) -> OperationId {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        OperationId(ticket)
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.hands
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Propose {
                    operation: ticket,
                    command,
                } => self.propose(ticket, command),
                Action::Decided {
                    operation: ticket,
                    decision: verdict,
                } => {
                    if let Some(answer) = self.verdicts.borrow_mut().remove(&ticket) {
                        let _ = answer.send(verdict);
                    }
                }
                Action::RequestMoved { name } => {
                    self.history().moved(&name);
                    self.moved.borrow().iter().for_each(|moved| moved(&name));
                }
            }
        }
        self.woken.notify_one();
    }

    fn propose(self: &Rc<Self>, ticket: OperationId, command: work::Command) {
        let work = self.clone();
        let me = self.fleet.who();
        tokio::task::spawn_local(async move {
            let reply = match work.fleet.propose(Command::Takeover(command)).await {
                Ok(ProposalResult::Takeover(reply)) => Some(reply),
                // The log knows nothing more of it: this life is over.
                Ok(ProposalResult::Rejected(
                    Unlooked::StaleIncarnation | Unlooked::TooManyMembers,
                )) => Some(Reply::Rejected(Rejection::IncarnationEnded)),
                _ => None,
            };
            if reply.is_none() {
                tokio::time::sleep(AGAIN).await;
            }
            // Another life's machine has other questions.
            if work.fleet.who() == me {
                if reply.is_some()
                    && let Some(written) = work.written.borrow_mut().remove(&ticket)
                {
                    let _ = written.send(());
                }
                work.handle(Event::Reply {
                    operation: ticket,
                    reply,
                });
            }
        });
    }

    fn told(self: &Rc<Self>, told: &Told) {
        match told {
            Told::Life(who) => {
                *self.hands.borrow_mut() =
                    WorkRecorder::new((*who).clone(), self.settings.most_waiting);
                // Dropped unanswered: whoever asked in the life before hears that it may not act.
                self.verdicts.borrow_mut().clear();
            }
            Told::MayAct(may) => self.handle(Event::LeaseValid(*may)),
            Told::Effect(_, StateChange::Takeover(notice)) => {
                match notice {
                    RecordChange::Orphaned { ended: dead, .. } => self.orphan(dead.clone()),
                    RecordChange::TakenOver { ended: dead, .. } => {
                        self.orphaned.borrow_mut().retain(|d| d != dead);
                    }
                    _ => {}
                }
                self.handle(Event::RecordChanged(notice.clone()));
            }
            Told::Restored(state) => {
                let work = state.work();
                self.orphaned.borrow_mut().clear();
                work.orphaned_incarnations()
                    .for_each(|dead| self.orphan(dead.clone()));
                // What is waited for may have happened under the snapshot.
                self.handle(Event::SnapshotRestored);
            }
            Told::View(_) | Told::Effect(..) | Told::Leading(_) | Told::Sites(_) => {}
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.hands.borrow().timeout();
            let woken = self.woken.notified();
            tokio::select! {
                () = self.clock.sleep_until(next) => self.handle(Event::Tick),
                () = woken => {}
            }
        }
    }

    fn orphan(&self, dead: MemberInstance) {
        let mut orphaned = self.orphaned.borrow_mut();
        if !orphaned.contains(&dead) {
            orphaned.push_back(dead);
            self.orphans.notify_one();
        }
    }

    /// Adopts what ended lives have left at model hosts, and has it released. Each member waits for a time of its own
    /// first, so that mostly one asks; the log lets one have it.
    pub async fn adopt(self: Rc<Self>, members: usize, outbound: Rc<dyn Outbound>) {
        loop {
            let next = self.orphaned.borrow().front().cloned();
            let Some(dead) = next else {
                self.orphans.notified().await;
                continue;
            };
            let me = self.fleet.who();
            let drawn = xxh3_64(format!("{me} {dead}").as_bytes())
                % (ADOPT_SPAN_US * members.max(1) as u64);
            tokio::time::sleep(Duration::from_micros(drawn)).await;
            if !self.orphaned.borrow().contains(&dead) {
                continue;
            }
            let answer = self
                .fleet
                .propose(Command::Takeover(work::Command::TakeOver {
                    ended: dead.clone(),
                }))
                .await;
            match answer {
                Ok(ProposalResult::Takeover(Reply::TakenOver(sends))) => {
                    self.orphaned.borrow_mut().retain(|d| *d != dead);
                    History(me).adopted(&dead, sends.len());
                    self.release_all(sends, &outbound).await;
                }
                Ok(ProposalResult::Takeover(Reply::Rejected(Rejection::NothingToTakeOver))) => {
                    self.orphaned.borrow_mut().retain(|d| *d != dead);
                }
                _ => tokio::time::sleep(AGAIN).await,
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
        let mut over = Vec::new();
        loop {
            while running.len() < MOST_RELEASES
                && let Some((id, worker)) = waiting.pop_front()
            {
                let (work, outbound) = (self.clone(), outbound.clone());
                running.spawn_local(async move {
                    work.release(&id, &worker, &*outbound).await;
                    id
                });
            }
            match running.join_next().await {
                Some(Ok(id)) => over.push(id),
                Some(Err(_)) => {}
                None => break,
            }
        }
        for ids in over.chunks(MAX_IDS_PER_COMMAND) {
            self.tell(work::Command::CompleteSends { ids: ids.to_vec() });
        }
    }

    /// Asks hosts until one has taken it; a host that runs drops by itself what nobody asks for in the end.
    async fn release(&self, id: &str, worker: &str, outbound: &dyn Outbound) {
        for _ in 0..RELEASE_TRIES {
            if self.release_once(id, worker, outbound).await {
                return;
            }
        }
        log::warn!("takeover: no model host took the release of {id}, last sent to {worker}");
    }

    /// Whether a host took it within the client side's patience.
    async fn release_once(&self, id: &str, worker: &str, outbound: &dyn Outbound) -> bool {
        let (target, body) = (String::new(), Bytes::new());
        let call = UpstreamRequest {
            id: id.into(),
            target,
            headers: hyper::HeaderMap::new(),
            body,
            lifetime_guards: None,
            claim_key: None,
        };
        let releasing = Rc::new(ReleaseProgress::default());
        let Ok(permit) = ReleaseHistory::default().permit(ReleaseReason::RouterFailed, false)
        else {
            return false;
        };
        outbound.release(Rc::new(call), permit, releasing.clone());
        releasing.ended().await;
        let taken = !releasing.was_stopped_early();
        if taken {
            self.history().released(id, worker);
        }
        taken
    }
}

/// An [`Outbound`] that writes each send down before it goes out.
pub struct Recording {
    inner: Rc<dyn Outbound>,
    work: Rc<Work>,
    dispatcher: DispatcherHandle,
    reads: Box<dyn Fn(&WorkerId) -> bool>,
    /// What is on record, by id.
    noted: RefCell<HashMap<String, Noted>>,
}

/// A send on record.
struct Noted {
    /// Its end takes it off the record.
    call: Weak<UpstreamRequest>,
    /// Where it went last.
    worker: WorkerId,
    /// The release since then, if there was one.
    releasing: Option<Rc<ReleaseProgress>>,
}

impl Recording {
    /// Stands before `inner`; `reads` says whether a host only reads.
    pub fn start(
        inner: Rc<dyn Outbound>,
        work: Rc<Work>,
        dispatcher: DispatcherHandle,
        reads: Box<dyn Fn(&WorkerId) -> bool>,
    ) -> Rc<Self> {
        let noted = RefCell::default();
        let recording = Rc::new(Recording {
            inner,
            work,
            dispatcher,
            reads,
            noted,
        });
        tokio::task::spawn_local(recording.clone().sweep());
        recording
    }

    /// Takes off the record what has ended. What no host has let go of yet stays on it, is asked for again until one
    /// has, and is adopted should this life end before.
    async fn sweep(self: Rc<Self>) {
        let (mut late, mut running) = (VecDeque::new(), tokio::task::JoinSet::new());
        loop {
            tokio::time::sleep(SWEEP).await;
            let mut over = Vec::new();
            self.noted.borrow_mut().retain(|id, noted| {
                let kept = noted.call.strong_count() > 0;
                if !kept
                    && noted
                        .releasing
                        .as_ref()
                        .is_some_and(|r| r.was_stopped_early())
                {
                    late.push_back((id.clone(), noted.worker.0.to_string()));
                } else if !kept {
                    over.push(id.clone());
                }
                kept
            });
            while let Some(done) = running.try_join_next() {
                match done {
                    Ok((id, _, true)) => over.push(id),
                    Ok((id, worker, false)) => late.push_back((id, worker)),
                    Err(_) => {}
                }
            }
            while running.len() < MOST_RELEASES
                && let Some((id, worker)) = late.pop_front()
            {
                let (work, inner) = (self.work.clone(), self.inner.clone());
                running.spawn_local(async move {
                    let taken = work.release_once(&id, &worker, &*inner).await;
                    (id, worker, taken)
                });
            }
            for ids in over.chunks(MAX_IDS_PER_COMMAND) {
                self.work
                    .tell(work::Command::CompleteSends { ids: ids.to_vec() });
            }
        }
    }
}

/// A handle on itself, for what goes on after a call has returned.
struct Going {
    inner: Rc<dyn Outbound>,
    work: Rc<Work>,
    dispatcher: DispatcherHandle,
}

impl Going {
    async fn send(self, mut attempt: Attempt, command: work::Command) {
        let most = attempt.first_event_deadline;
        let within = self.dispatcher.clock.now() + self.work.settings.record_within_ms * 1_000;
        let verdict = tokio::select! {
            biased;
            _ = &mut attempt.cancelled => return self.not_sent(&attempt, AttemptOutcome::Cancelled),
            verdict = self.work.ask(command, within.min(most)) => verdict,
        };
        match verdict {
            Decision::Proceed => self.inner.send(attempt),
            other => {
                log::info!(
                    "request {}: not sent, not on record: {other:?}",
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

impl Outbound for Recording {
    fn send(&self, attempt: Attempt) {
        let call = &attempt.upstream_request;
        let (worker, releasing) = (attempt.worker.clone(), None);
        let now = Noted {
            call: Rc::downgrade(call),
            worker,
            releasing,
        };
        let noted = self
            .noted
            .borrow_mut()
            .insert(call.id.clone(), now)
            .is_some();
        // One record holds for all sends under an id, unless its name has them counted.
        if noted && call.claim_key.is_none() {
            return self.inner.send(attempt);
        }
        let command = work::Command::StartSend {
            id: call.id.clone(),
            worker: attempt.worker.0.to_string(),
            name: call.claim_key.clone(),
            read_only: (self.reads)(&attempt.worker),
            max_attempts: attempt.max_attempts,
            capacity: self.work.bounds(),
        };
        let going = Going {
            inner: self.inner.clone(),
            work: self.work.clone(),
            dispatcher: self.dispatcher.clone(),
        };
        tokio::task::spawn_local(going.send(attempt, command));
    }

    fn release(
        &self,
        call: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        releasing: Rc<ReleaseProgress>,
    ) {
        if let Some(noted) = self.noted.borrow_mut().get_mut(&call.id) {
            noted.releasing = Some(releasing.clone());
        }
        self.inner.release(call, permit, releasing);
    }

    fn subscribe(&self) {
        self.inner.subscribe();
    }
}
