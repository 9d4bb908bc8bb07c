//! The driver: feeds the module events, carries out its actions, owns the timers and the table of requests.
//!
//! It knows no wire. Requests come in through a [`CoreHandle`], what goes out goes through [`Outbound`], and
//! how it went comes back as [`Input`]. Everything runs on one thread and in the order of one queue.

mod monitor;

use crate::counters::Counters;
use crate::exchange::{AnswerHandle, Call, Feed, ServerSide, open};
use crate::routing::policy::Policy;
use crate::routing::policy::call_permit::ReleaseHistory;
use crate::routing::types::*;
use monitor::{Monitor, Violation};
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

/// Timers and guards that are kept without looking whether anything still needs them.
const MOST_DUE: usize = 1024;

/// What the clock shows at the start of a process: long enough ago for all spans that are looked back on.
const AT_START: Micros = 1_000_000_000_000;

/// The conductor's clock: microseconds of the monotonic clock. Its zero means nothing, and a step of the wall clock
/// doesn't move it; starts of model hosts are set against it by [`crate::net::host_starts`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    at_origin: Micros,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
            at_origin: AT_START,
        }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.at_origin + self.origin.elapsed().as_micros() as Micros
    }

    /// A moment as the runtime counts it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.at_origin))
    }

    /// Waits for a moment; without one, for ever.
    pub async fn reach(&self, at: Option<Micros>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}

/// One send of a request, for the client side to carry out.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Where it goes.
    pub worker: WorkerId,
    /// What is sent.
    pub call: Rc<Call>,
    /// Attempts allowed for the request, by the settings it began under.
    pub most_attempts: u32,
    /// When to stop waiting for the first event.
    pub until: Micros,
    /// What it must keep to; nothing is sent without one.
    pub permit: SendPermit,
    /// A release to wait for: one that comes while a read is out could take what it leaves. It goes on whatever becomes
    /// of this attempt, which may never arrive.
    pub after: Option<Rc<Releasing>>,
    /// Resolves, or its other end is dropped, when the attempt is to be dropped.
    pub cancelled: oneshot::Receiver<()>,
    /// Set as soon as the client has left, before the core hears of it, and where attempts may not be dropped as well:
    /// nothing is sent for one that has gone.
    pub gone: Rc<Cell<bool>>,
}

/// A release in progress, as seen from both ends.
#[derive(Default)]
pub struct Releasing {
    stopped: Cell<bool>,
    done: Cell<bool>,
    changed: Notify,
}

impl Releasing {
    /// Ends it: going on would do harm.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.changed.notify_waiters();
    }

    /// Some model host has taken it.
    pub fn set_done(&self) {
        self.done.set(true);
        self.changed.notify_waiters();
    }

    /// Whether it was neither stopped nor taken yet.
    pub fn is_going(&self) -> bool {
        !self.stopped.get() && !self.done.get()
    }

    /// Whether it was stopped before any model host had taken it.
    pub fn is_cut_short(&self) -> bool {
        self.stopped.get() && !self.done.get()
    }

    /// Waits until some model host has taken it, or it was stopped.
    pub async fn over(&self) {
        let changed = self.changed.notified();
        if self.is_going() {
            changed.await;
        }
    }
}

/// What the client side does for the core. Nothing here waits; results come back as [`Input`].
pub trait Outbound {
    /// Sends a request. Answered by one [`Input::Ended`].
    fn send(&self, attempt: Attempt);
    /// Lets go of all that is held for a request, at whichever model host; stops trying when told.
    fn release(&self, call: Rc<Call>, permit: ReleasePermit, releasing: Rc<Releasing>);
    /// Asks discovery for its changes from now on.
    fn subscribe(&self);
}

/// What comes to the core.
pub enum Input {
    /// A request was taken.
    Ask {
        /// What the module is told.
        ask: RequestSpec,
        /// What is passed on.
        call: Rc<Call>,
        /// For the final answer.
        answer: AnswerHandle,
        /// Set when the client leaves.
        gone: Rc<Cell<bool>>,
    },
    /// The client has left.
    Left(RequestId),
    /// The first event of a stream has come.
    First {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The stream.
        feed: Feed,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// How.
        outcome: AttemptOutcome,
        /// Prompt tokens found kept.
        kept: u64,
        /// The model host's load, if told.
        report: Option<LoadReport>,
    },
    /// New requests begin under these settings; those in hand end under theirs.
    Settings(Box<RoutingConfig>),
    /// News of the list.
    List {
        /// How it came.
        kind: EndpointUpdate,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// Whether this process may send to model hosts in slow start.
    SlowStart {
        /// Of two processes of one router, one may.
        allowed: bool,
    },
    /// How many listed model hosts does the module avoid now?
    CountAvoided(oneshot::Sender<usize>),
}

/// The way in to the core.
#[derive(Clone)]
pub struct CoreHandle {
    inputs: mpsc::UnboundedSender<Input>,
    next: Rc<Cell<u64>>,
    /// The clock that the core goes by.
    pub clock: Clock,
}

impl CoreHandle {
    /// A handle and what the core reads. The queue has no bound of its own: the requests in hand have one.
    pub fn channel(clock: Clock) -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (inputs, queue) = mpsc::unbounded_channel();
        (
            CoreHandle {
                inputs,
                next: Rc::new(Cell::new(1)),
                clock,
            },
            queue,
        )
    }

    /// Tells the core.
    pub fn tell(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Hands a request to the core; its number is filled in.
    pub fn ask(&self, mut ask: RequestSpec, call: Call) -> ServerSide {
        let request = RequestId(self.next.get());
        self.next.set(request.0 + 1);
        ask.request = request;
        let inputs = self.inputs.clone();
        let gone = Rc::<Cell<bool>>::default();
        let flag = gone.clone();
        let left = move || {
            flag.set(true);
            let _ = inputs.send(Input::Left(request));
        };
        let (server, answer) = open(Rc::new(left));
        self.tell(Input::Ask {
            ask,
            call: Rc::new(call),
            answer,
            gone,
        });
        server
    }
}

/// A request that has no final answer yet, or attempts still out.
struct Open {
    call: Rc<Call>,
    deadline: Micros,
    /// Gone once the final answer is given.
    answer: Option<AnswerHandle>,
    /// Whether its client has left.
    gone: Rc<Cell<bool>>,
    /// By the settings it began under.
    most_attempts: u32,
    attempts: Vec<Slot>,
    /// The last release, from its order until a stream has begun.
    releasing: Option<Rc<Releasing>>,
    /// What decides whether another one begins.
    release_history: ReleaseHistory,
    /// Its account, by which orders are checked.
    monitor: Monitor,
}

struct Slot {
    sent: Micros,
    cancel: Option<oneshot::Sender<()>>,
    outcome: Option<AttemptOutcome>,
    streaming: bool,
}

impl Open {
    fn out(&self) -> bool {
        self.attempts.iter().any(|s| s.outcome.is_none())
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(TimerId),
    /// The last moment for the answer to a request, whatever the module does.
    Guard(RequestId),
}

/// The driver of one module.
pub struct Core {
    policy: Policy,
    settings: RoutingConfig,
    clock: Clock,
    outbound: Rc<dyn Outbound>,
    counters: Rc<Counters>,
    open: HashMap<RequestId, Open>,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    actions: Vec<Action>,
    ended: Vec<RequestId>,
}

impl Core {
    /// A core around a fresh module.
    pub fn new(
        settings: RoutingConfig,
        seed: u64,
        clock: Clock,
        outbound: Rc<dyn Outbound>,
        counters: Rc<Counters>,
    ) -> Self {
        Core {
            policy: Policy::new(settings.clone(), seed),
            settings,
            clock,
            outbound,
            counters,
            open: HashMap::new(),
            due: BinaryHeap::new(),
            actions: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<Input>) {
        loop {
            let timer = self
                .clock
                .reach(self.due.peek().map(|Reverse((at, _))| *at));
            tokio::select! {
                biased;
                input = queue.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = timer => {}
            }
            // Also after an input: a queue that is never empty must not starve the timers.
            self.run_due();
        }
    }

    fn run_due(&mut self) {
        let now = self.clock.now();
        while self.due.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            match self.due.pop() {
                Some(Reverse((_, Due::Timer(timer)))) => {
                    self.handle(Event::Timer(timer));
                    self.check_held();
                }
                Some(Reverse((_, Due::Guard(request)))) => self.guard(request),
                None => {}
            }
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Ask {
                ask,
                call,
                answer,
                gone,
            } => self.ask(ask, call, answer, gone),
            Input::Left(request) => {
                let Some(open) = self.open.get_mut(&request) else {
                    return;
                };
                self.counters.clients_left.up();
                // Nobody is there to hear it; the handle's own failure goes nowhere.
                open.answer = None;
                for slot in open.attempts.iter_mut().filter(|s| s.streaming) {
                    slot.cancel = None;
                }
                self.handle(Event::ClientDisconnected { request });
                self.forget(request);
            }
            Input::First {
                request,
                attempt,
                feed,
            } => self.first(request, attempt, feed),
            Input::Ended {
                request,
                attempt,
                outcome,
                kept,
                report,
            } => {
                self.ended(request, attempt, outcome, kept, report);
            }
            Input::Settings(settings) => {
                self.policy.update_config((*settings).clone());
                self.settings = *settings;
            }
            Input::List { kind, entries } => {
                self.counters.lists.up();
                self.handle(Event::EndpointsUpdated { kind, entries });
            }
            Input::SlowStart { allowed } => self.handle(Event::SlowStart { allowed }),
            Input::CountAvoided(reply) => {
                let now = self.clock.now();
                let avoided = self
                    .policy
                    .workers
                    .values()
                    .filter(|w| w.is_avoided(now))
                    .count();
                let _ = reply.send(avoided);
            }
        }
    }

    fn ask(
        &mut self,
        ask: RequestSpec,
        call: Rc<Call>,
        answer: AnswerHandle,
        gone: Rc<Cell<bool>>,
    ) {
        self.counters.taken.up();
        let class = self.settings.classes.iter().find(|c| c.name == ask.class);
        let monitor = Monitor::new(class.map_or(Idempotency::NonIdempotent, |c| c.idempotency));
        let (request, deadline) = (ask.request, ask.deadline);
        let most_attempts = self.settings.max_attempts;
        log::debug!("request {}: {ask:?}", call.id);
        let open = Open {
            call,
            deadline,
            answer: Some(answer),
            gone,
            most_attempts,
            attempts: Vec::new(),
            releasing: None,
            release_history: ReleaseHistory::default(),
            monitor,
        };
        self.open.insert(request, open);
        self.due.push(Reverse((
            deadline + self.settings.response_grace,
            Due::Guard(request),
        )));
        // Guards stand until their deadline, minutes away if the client says so, though most requests end long
        // before: those are cleared out once they are the most.
        if self.due.len() > 2 * self.open.len() + MOST_DUE {
            self.due.retain(|Reverse((_, due))| match due {
                Due::Timer(_) => true,
                Due::Guard(request) => self.open.contains_key(request),
            });
        }
        self.handle(Event::RequestArrived(ask));
    }

    fn first(&mut self, request: RequestId, attempt: AttemptIndex, feed: Feed) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(slot) = open.attempts.get_mut(attempt.0 as usize) else {
            return;
        };
        // An answer already given stands: the feed is dropped, and with it the attempt.
        let Some(answer) = open.answer.take() else {
            return;
        };
        slot.streaming = true;
        let elapsed = self.clock.now().saturating_sub(slot.sent);
        log::debug!(
            "request {}: attempt {} streams after {elapsed} us",
            open.call.id,
            attempt.0
        );
        self.counters.answered_stream.up();
        open.monitor.streams();
        if let Some(releasing) = open.releasing.take() {
            releasing.stop();
        }
        answer.stream(feed);
        self.handle(Event::StreamStarted {
            request,
            attempt,
            elapsed,
        });
    }

    fn ended(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: AttemptOutcome,
        kept: u64,
        report: Option<LoadReport>,
    ) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(slot) = open
            .attempts
            .get_mut(attempt.0 as usize)
            .filter(|s| s.outcome.is_none())
        else {
            return;
        };
        slot.outcome = Some(outcome);
        slot.cancel = None;
        let elapsed = self.clock.now().saturating_sub(slot.sent);
        log::debug!(
            "request {}: attempt {} ended {outcome:?} after {elapsed} us, {kept} kept",
            open.call.id,
            attempt.0
        );
        let settled = open.answer.is_none();
        open.monitor
            .ended(attempt.0 as usize, outcome, self.clock.now());
        open.release_history.attempt_ended(outcome);
        let c = &self.counters;
        let count = match outcome {
            AttemptOutcome::Prefilled => &c.ended_read,
            AttemptOutcome::Served => &c.ended_served,
            AttemptOutcome::Rejected | AttemptOutcome::KvStateMissing => &c.ended_turned_away,
            AttemptOutcome::ConnectFailed => &c.ended_no_connection,
            AttemptOutcome::ConnectionLost => &c.ended_lost,
            AttemptOutcome::TimedOut => &c.ended_no_answer,
            AttemptOutcome::Error => &c.ended_error,
            AttemptOutcome::Cancelled => &c.ended_dropped,
            AttemptOutcome::NotSent => &c.ended_not_sent,
        };
        count.up();
        self.handle(Event::AttemptCompleted(AttemptCompleted {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished: settled,
            cached_tokens: kept,
            report,
        }));
        self.forget(request);
    }

    /// Guards against a module that has lost a request (after a panic, say): the client gets an answer all the
    /// same, a refusal only if nothing can have run.
    fn guard(&mut self, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(answer) = open.answer.take() else {
            return;
        };
        log::warn!(
            "request {}: no decision by its deadline, ended by the driver",
            open.call.id
        );
        let harmless = open.monitor.check_refusal().is_ok();
        if harmless {
            self.counters.answered_refused.up();
            answer.refuse(None);
        } else {
            self.counters.answered_failed.up();
            answer.fail();
        }
        open.attempts.iter_mut().for_each(|s| s.cancel = None);
        self.release(request, ReleaseReason::RequestFinished);
        self.handle(Event::ClientDisconnected { request });
        self.forget(request);
    }

    fn forget(&mut self, request: RequestId) {
        if self
            .open
            .get(&request)
            .is_some_and(|o| o.answer.is_none() && !o.out())
        {
            self.open.remove(&request);
        }
    }

    /// Hands an event to the module and carries out its actions. A panic of the module costs that decision
    /// only: requests it loses by it are ended by their guards.
    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let (policy, list) = (&mut self.policy, &mut actions);
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, list))).is_err() {
            self.counters.panics.up();
            log::error!("the module panicked; the event is skipped");
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        // Only now: a release that follows the answer still has to find the request.
        while let Some(request) = self.ended.pop() {
            self.forget(request);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send {
                request,
                worker,
                timeout,
                permit,
            } => self.send(request, worker, timeout, permit),
            Action::SendDenied {
                request,
                worker,
                refusal,
            } => {
                let id = self.open.get(&request).map_or("", |open| &open.call.id);
                self.counters.sends_refused.up();
                log::info!("request {id}: not sent to {}: {refusal}", worker.0);
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => self.refuse(request, reason, retry_after),
            Action::Fail { request, reason } => {
                let Some(open) = self.open.get_mut(&request) else {
                    return;
                };
                let Some(answer) = open.answer.take() else {
                    return;
                };
                log::debug!("request {}: failed: {reason:?}", open.call.id);
                self.counters.answered_failed.up();
                answer.fail();
                self.ended.push(request);
            }
            Action::Cancel { request, attempt } => {
                let slot = self
                    .open
                    .get_mut(&request)
                    .and_then(|o| o.attempts.get_mut(attempt.0 as usize));
                if let Some(slot) = slot.filter(|s| !s.streaming) {
                    slot.cancel = None;
                }
            }
            Action::Release { request, reason } => self.release(request, reason),
            Action::Timer { at, timer } => self.due.push(Reverse((at, Due::Timer(timer)))),
            Action::Subscribe => self.outbound.subscribe(),
        }
    }

    fn refuse(&mut self, request: RequestId, reason: EndReason, retry_after: Option<Micros>) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(answer) = open.answer.take() else {
            return;
        };
        log::debug!("request {}: refused: {reason:?}", open.call.id);
        if let Err(violation) = open.monitor.check_refusal() {
            report(&self.counters, &open.call.id, violation);
        }
        self.counters.answered_refused.up();
        answer.refuse(retry_after);
        self.ended.push(request);
    }

    fn send(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
        permit: SendPermit,
    ) {
        let now = self.clock.now();
        let Some(open) = self.open.get_mut(&request).filter(|o| o.answer.is_some()) else {
            return;
        };
        if let Err(violation) = open.monitor.sent(permit.reads()) {
            report(&self.counters, &open.call.id, violation);
        }
        let until = timeout.map_or(open.deadline, |t| open.deadline.min(now.saturating_add(t)));
        let attempt = AttemptIndex(open.attempts.len() as u32);
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Slot {
            sent: now,
            cancel: Some(cancel),
            outcome: None,
            streaming: false,
        });
        let (call, gone, most_attempts) =
            (open.call.clone(), open.gone.clone(), open.most_attempts);
        let left = until.saturating_sub(now);
        log::debug!(
            "request {}: attempt {} to {}, {left} us",
            call.id,
            attempt.0,
            worker.0
        );
        let after = open
            .releasing
            .clone()
            .filter(|r| permit.reads() && r.is_going());
        let attempt = Attempt {
            request,
            attempt,
            worker,
            call,
            most_attempts,
            until,
            permit,
            after,
            cancelled,
            gone,
        };
        self.outbound.send(attempt);
    }

    fn release(&mut self, request: RequestId, reason: ReleaseReason) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.monitor.released();
        let is_under_way = open.releasing.as_ref().is_some_and(|last| last.is_going());
        let permit = match open.release_history.permit(reason, is_under_way) {
            Ok(permit) => permit,
            Err(refusal) => {
                return log::debug!(
                    "request {}: no release for {reason:?}: {refusal}",
                    open.call.id
                );
            }
        };
        if let Some(last) = &open.releasing {
            last.stop();
        }
        let releasing = Rc::<Releasing>::default();
        self.counters.releases.up();
        match reason {
            ReleaseReason::SendUnanswered => {
                self.counters.releases_behind_sends.up();
                log::info!(
                    "request {}: release ordered, its send is not answered yet",
                    open.call.id
                );
            }
            _ => log::debug!("request {}: release ordered: {reason:?}", open.call.id),
        }
        self.outbound
            .release(open.call.clone(), permit, releasing.clone());
        open.releasing = Some(releasing);
    }

    /// Looks whether anything is held beyond its time.
    fn check_held(&mut self) {
        let (now, limit) = (self.clock.now(), self.settings.kv_state_hold_limit);
        for open in self.open.values_mut() {
            if let Err(violation) = open.monitor.check_held(now, limit) {
                report(&self.counters, &open.call.id, violation);
            }
        }
    }
}

/// Counts and logs a broken rule.
fn report(counters: &Counters, id: &str, violation: Violation) {
    counters.violations.up();
    log::error!("request {id}: rule broken: {violation}");
    debug_assert!(
        violation.may_come_of_a_hold_up(),
        "request {id}: {violation}"
    );
}

#[cfg(test)]
mod tests;
