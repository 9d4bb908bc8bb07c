//! The dispatcher: passes events to the routing policy, executes its actions, and owns the timers and the table of open
//! requests.

use super::invariants::InvariantViolation;
use super::open_request::OpenRequest;
use super::timers::{Timer, TimerQueue};
use super::{Clock, DispatcherEvent, Outbound, ReleaseProgress};
use crate::counters::{Count, Counters};
use crate::exchange::{AnswerHandle, StreamReceiver, UpstreamRequest};
use crate::routing::policy::Policy;
use crate::routing::types::{
    Action, AttemptCompleted, AttemptIndex, AttemptOutcome, EndReason, Event, Idempotency, Micros,
    ReleaseReason, RequestId, RequestSpec, RoutingConfig, SendPermit, WorkerId,
};
use std::cell::Cell;
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Runs one instance of the routing policy.
pub struct Dispatcher {
    policy: Policy,
    config: RoutingConfig,
    clock: Clock,
    outbound: Rc<dyn Outbound>,
    counters: Rc<Counters>,
    pub(super) open_requests: HashMap<RequestId, OpenRequest>,
    pub(super) timers: TimerQueue,
    /// Buffer for the actions of one event, kept to reuse its allocation.
    actions: Vec<Action>,
    /// Requests that were answered while the actions of the current event were executed.
    answered: Vec<RequestId>,
}

impl Dispatcher {
    /// Creates a dispatcher with a new routing policy.
    pub fn new(
        config: RoutingConfig,
        seed: u64,
        clock: Clock,
        outbound: Rc<dyn Outbound>,
        counters: Rc<Counters>,
    ) -> Self {
        Dispatcher {
            policy: Policy::new(config.clone(), seed),
            config,
            clock,
            outbound,
            counters,
            open_requests: HashMap::new(),
            timers: TimerQueue::default(),
            actions: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Processes events and timers until all handles are dropped.
    pub async fn run(mut self, mut queue: mpsc::UnboundedReceiver<DispatcherEvent>) {
        loop {
            let next_timer = self.clock.sleep_until(self.timers.next_due());
            tokio::select! {
                biased;
                event = queue.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = next_timer => {}
            }
            // Fires timers after events as well, because a queue that is never empty would otherwise starve them.
            self.fire_due_timers();
        }
    }

    fn fire_due_timers(&mut self) {
        let now = self.clock.now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Routing(timer) => {
                    self.route(Event::Timer(timer));
                    self.check_held_kv_state();
                }
                Timer::AnswerDeadline(request) => self.on_answer_deadline(request),
            }
        }
    }

    pub(super) fn on_event(&mut self, event: DispatcherEvent) {
        match event {
            DispatcherEvent::RequestArrived {
                spec,
                upstream_request,
                answer,
                client_disconnected,
            } => self.on_request_arrived(spec, upstream_request, answer, client_disconnected),
            DispatcherEvent::ClientDisconnected(request) => self.on_client_disconnected(request),
            DispatcherEvent::StreamStarted {
                request,
                attempt,
                stream,
            } => self.on_stream_started(request, attempt, stream),
            DispatcherEvent::AttemptCompleted {
                request,
                attempt,
                outcome,
                cached_tokens,
                load_report,
            } => self.on_attempt_completed(AttemptCompleted {
                request,
                attempt,
                outcome,
                cached_tokens,
                report: load_report,
                elapsed: 0,
                request_finished: false,
            }),
            DispatcherEvent::ConfigChanged(config) => {
                self.policy.update_config((*config).clone());
                self.config = *config;
            }
            DispatcherEvent::EndpointsUpdated { update, endpoints } => {
                self.counters.lists.up();
                self.route(Event::EndpointsUpdated { update, endpoints });
            }
            DispatcherEvent::SlowStart { allowed } => self.route(Event::SlowStart { allowed }),
            DispatcherEvent::CountAvoidedWorkers(reply) => {
                let now = self.clock.now();
                let workers = self.policy.workers.values();
                let avoided = workers.filter(|worker| worker.is_avoided(now)).count();
                let _ = reply.send(avoided);
            }
        }
    }

    fn on_request_arrived(
        &mut self,
        spec: RequestSpec,
        upstream_request: Rc<UpstreamRequest>,
        answer: AnswerHandle,
        client_disconnected: Rc<Cell<bool>>,
    ) {
        self.counters.taken.up();
        log::debug!("request {}: accepted: {spec:?}", upstream_request.id);
        let class = self
            .config
            .classes
            .iter()
            .find(|class| class.name == spec.class);
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        let max_attempts = self.config.max_attempts;
        let (request, deadline) = (spec.request, spec.deadline);
        let open = OpenRequest::new(
            upstream_request,
            deadline,
            answer,
            client_disconnected,
            max_attempts,
            idempotency,
        );
        self.open_requests.insert(request, open);
        let answer_deadline = deadline + self.config.response_grace;
        self.timers
            .set(answer_deadline, Timer::AnswerDeadline(request));
        let open_requests = &self.open_requests;
        self.timers.purge_deadlines(open_requests.len(), |request| {
            open_requests.contains_key(request)
        });
        self.route(Event::RequestArrived(spec));
    }

    fn on_client_disconnected(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        self.counters.clients_left.up();
        // No client is left to receive an answer.
        open.answer = None;
        let streaming_attempts = open
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.is_streaming);
        streaming_attempts.for_each(super::open_request::AttemptState::cancel);
        self.route(Event::ClientDisconnected { request });
        self.remove_if_finished(request);
    }

    fn on_stream_started(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        stream: StreamReceiver,
    ) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let Some(state) = open.attempts.get_mut(attempt.0 as usize) else {
            return;
        };
        // If the request has been answered already, dropping the stream ends the attempt.
        let Some(answer) = open.answer.take() else {
            return;
        };
        state.is_streaming = true;
        // Nothing is sent again after the first event, and an answer may stream for long.
        open.upstream_request.body.release();
        let elapsed = self.clock.now().saturating_sub(state.sent_at);
        log::debug!(
            "request {}: attempt {} started to stream after {elapsed} us",
            open.upstream_request.id,
            attempt.0
        );
        self.counters.answered_stream.up();
        open.monitor.stream_started();
        open.note_stream_started();
        if let Some(release) = open.release.take() {
            release.stop();
        }
        answer.stream(stream);
        self.route(Event::StreamStarted {
            request,
            attempt,
            elapsed,
        });
    }

    /// Completes the event with the dispatcher's data on the attempt and passes it to the policy.
    fn on_attempt_completed(&mut self, mut completed: AttemptCompleted) {
        let AttemptCompleted {
            request,
            attempt,
            outcome,
            cached_tokens,
            ..
        } = completed;
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let state = open.attempts.get_mut(attempt.0 as usize);
        let Some(state) = state.filter(|state| state.outcome.is_none()) else {
            return;
        };
        state.outcome = Some(outcome);
        state.cancel();
        completed.elapsed = self.clock.now().saturating_sub(state.sent_at);
        completed.request_finished = open.answer.is_none();
        log::debug!(
            "request {}: attempt {} ended with {outcome:?} after {} us; {cached_tokens} prompt tokens were cached",
            open.upstream_request.id,
            attempt.0,
            completed.elapsed
        );
        open.monitor
            .attempt_completed(attempt.0 as usize, outcome, self.clock.now());
        open.note_possible_run();
        open.release_history.attempt_ended(outcome);
        outcome_counter(&self.counters, outcome).up();
        self.route(Event::AttemptCompleted(completed));
        self.remove_if_finished(request);
    }

    /// Answers a request that the policy has lost, for example after a panic. It is rejected if it can't have run, else
    /// failed.
    fn on_answer_deadline(&mut self, request: RequestId) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let Some(answer) = open.answer.take() else {
            return;
        };
        log::warn!(
            "request {}: the routing policy gave no answer by the deadline; the dispatcher ends the request",
            open.upstream_request.id
        );
        if open.monitor.check_rejection().is_ok() {
            self.counters.answered_refused.up();
            answer.reject(open.monitor.may_have_run(), None);
        } else {
            self.counters.answered_failed.up();
            answer.fail();
        }
        for attempt in &mut open.attempts {
            attempt.cancel();
        }
        self.release(request, ReleaseReason::RequestFinished);
        self.route(Event::ClientDisconnected { request });
        self.remove_if_finished(request);
    }

    fn remove_if_finished(&mut self, request: RequestId) {
        let open = self.open_requests.get(&request);
        if open.is_some_and(OpenRequest::is_finished) {
            let finished = self.open_requests.remove(&request);
            finished.iter().for_each(OpenRequest::note_attempts_ended);
        }
    }

    /// Passes an event to the policy and executes the resulting actions. A panic of the policy affects only this event;
    /// requests that are lost by it are answered at their deadlines.
    fn route(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        let now = self.clock.now();
        let (policy, out) = (&mut self.policy, &mut actions);
        if catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, out))).is_err() {
            self.counters.panics.up();
            log::error!("the routing policy panicked; the event is skipped");
        }
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
        // Removes answered requests only now, because a release that follows the answer needs the request's entry.
        while let Some(request) = self.answered.pop() {
            self.remove_if_finished(request);
        }
    }

    fn execute(&mut self, action: Action) {
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
                denial,
            } => {
                let open = self.open_requests.get(&request);
                let id = open.map_or("", |open| &open.upstream_request.id);
                self.counters.sends_refused.up();
                log::info!("request {id}: not sent to {}: {denial}", worker.0);
            }
            Action::Reject {
                request,
                reason,
                retry_after,
            } => self.reject(request, reason, retry_after),
            Action::Fail { request, reason } => self.fail(request, reason),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Release { request, reason } => self.release(request, reason),
            Action::Timer { at, timer } => self.timers.set(at, Timer::Routing(timer)),
            Action::Subscribe => self.outbound.subscribe(),
        }
    }

    fn reject(&mut self, request: RequestId, reason: EndReason, retry_after: Option<Micros>) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let Some(answer) = open.answer.take() else {
            return;
        };
        log::debug!("request {}: rejected: {reason:?}", open.upstream_request.id);
        if let Err(violation) = open.monitor.check_rejection() {
            report_violation(&self.counters, &open.upstream_request.id, violation);
        }
        self.counters.answered_refused.up();
        answer.reject(open.monitor.may_have_run(), retry_after);
        self.answered.push(request);
    }

    fn fail(&mut self, request: RequestId, reason: EndReason) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        let Some(answer) = open.answer.take() else {
            return;
        };
        log::debug!("request {}: failed: {reason:?}", open.upstream_request.id);
        self.counters.answered_failed.up();
        answer.fail();
        self.answered.push(request);
    }

    /// Cancels an attempt unless it is streaming.
    fn cancel(&mut self, request: RequestId, attempt: AttemptIndex) {
        let open = self.open_requests.get_mut(&request);
        let state = open.and_then(|open| open.attempts.get_mut(attempt.0 as usize));
        if let Some(state) = state.filter(|state| !state.is_streaming) {
            state.cancel();
        }
    }

    fn send(
        &mut self,
        request: RequestId,
        worker: WorkerId,
        timeout: Option<Micros>,
        permit: SendPermit,
    ) {
        let now = self.clock.now();
        let open = self.open_requests.get_mut(&request);
        let Some(open) = open.filter(|open| open.answer.is_some()) else {
            return;
        };
        if let Err(violation) = open.monitor.sent(permit.is_prefill()) {
            report_violation(&self.counters, &open.upstream_request.id, violation);
        }
        open.note_possible_run();
        let first_event_deadline = timeout.map_or(open.deadline, |timeout| {
            open.deadline.min(now.saturating_add(timeout))
        });
        let attempt = open.begin_attempt(request, worker, now, first_event_deadline, permit);
        log::debug!(
            "request {}: sending attempt {} to {}, timeout {} us",
            attempt.upstream_request.id,
            attempt.attempt.0,
            attempt.worker.0,
            first_event_deadline.saturating_sub(now)
        );
        self.outbound.send(attempt);
    }

    fn release(&mut self, request: RequestId, reason: ReleaseReason) {
        let Some(open) = self.open_requests.get_mut(&request) else {
            return;
        };
        open.monitor.released();
        let is_releasing = open.is_releasing();
        let permit = match open.release_history.permit(reason, is_releasing) {
            Ok(permit) => permit,
            Err(denial) => {
                return log::debug!(
                    "request {}: release for {reason:?} not started: {denial}",
                    open.upstream_request.id
                );
            }
        };
        if let Some(previous) = &open.release {
            previous.stop();
        }
        let progress = Rc::<ReleaseProgress>::default();
        self.counters.releases.up();
        if reason == ReleaseReason::SendUnanswered {
            self.counters.releases_behind_sends.up();
            log::info!(
                "request {}: release ordered near the hold limit, its send is not answered yet",
                open.upstream_request.id
            );
        } else {
            log::debug!(
                "request {}: release ordered: {reason:?}",
                open.upstream_request.id
            );
        }
        self.outbound
            .release(open.upstream_request.clone(), permit, progress.clone());
        open.release = Some(progress);
    }

    /// Reports KV state that is held beyond its limit.
    fn check_held_kv_state(&mut self) {
        let now = self.clock.now();
        let limit = self.config.kv_state_hold_limit;
        for open in self.open_requests.values_mut() {
            if let Err(violation) = open.monitor.check_held(now, limit) {
                report_violation(&self.counters, &open.upstream_request.id, violation);
            }
        }
    }
}

/// The counter for attempts with this outcome.
fn outcome_counter(counters: &Counters, outcome: AttemptOutcome) -> &Count {
    match outcome {
        AttemptOutcome::Prefilled => &counters.ended_read,
        AttemptOutcome::Served => &counters.ended_served,
        AttemptOutcome::Rejected | AttemptOutcome::KvStateMissing => &counters.ended_turned_away,
        AttemptOutcome::ConnectFailed => &counters.ended_no_connection,
        AttemptOutcome::ConnectionLost => &counters.ended_lost,
        AttemptOutcome::TimedOut => &counters.ended_no_answer,
        AttemptOutcome::Error => &counters.ended_error,
        AttemptOutcome::Cancelled => &counters.ended_dropped,
        AttemptOutcome::NotSent => &counters.ended_not_sent,
    }
}

/// Counts and logs a violation. With debug assertions it panics, unless a stall of the process may explain the
/// violation.
fn report_violation(counters: &Counters, id: &str, violation: InvariantViolation) {
    counters.violations.up();
    log::error!("request {id}: rule broken: {violation}");
    debug_assert!(
        violation.may_be_due_to_a_stall(),
        "request {id}: {violation}"
    );
}
