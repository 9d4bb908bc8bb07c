//! The upstream client: runs attempts at model hosts, and the calls that accompany them.

use super::answer::{AttemptEnd, HostResponse, MAX_RESPONSE_BYTES};
use super::discovery::Directory;
use super::event_memory::EventMemory;
use super::pool::{ConnectError, Connection, Pool, Target};
use super::release_calls::LateArrivalTracker;
use super::stream_progress::STREAM_IDLE_TIMEOUT;
use crate::counters::Counters;
use crate::dispatch::{
    Attempt, Clock, DispatcherEvent, DispatcherHandle, Outbound, ReleaseProgress,
};
use crate::exchange::{Reply, UpstreamRequest, WeakFrameSender};
use crate::routing::types::{
    AttemptIndex, AttemptOutcome, CallDenial, CallState, Micros, ReleasePermit, RequestId,
    SendDenial, WorkerId, WritePermit, WriteState, permit_call,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tower::{Service, ServiceExt};

/// Timeout of a call that carries a tool result, while which the stream waits.
const TOOL_RESULT_TIMEOUT: Duration = STREAM_IDLE_TIMEOUT;
/// Limit from the first byte of a response head to its last.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Ample time for a connection's close to reach its model host. Bytes on different connections are not ordered, so a
/// call that must not overtake the close is sent this much later.
pub(super) const CLOSE_PROPAGATION_DELAY: Duration = Duration::from_millis(5);
/// How long a prefill waits for an earlier release of the same request: by then the release has been sent to about
/// fifteen hosts over all zones.
const PRIOR_RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// The upstream client: the dispatcher's [`Outbound`].
#[derive(Clone)]
pub struct HostClient {
    /// Addresses and states of the model hosts, kept up to date by discovery.
    pub directory: Rc<Directory>,
    /// Pool of connections to model hosts.
    pub pool: Pool,
    /// Receives the outcomes of attempts.
    pub dispatcher: DispatcherHandle,
    /// Counters of the process, which attempts and releases update.
    pub counters: Rc<Counters>,
    /// Notified when the dispatcher wants the discovery watch to be opened again.
    pub resubscribe: Rc<Notify>,
    /// Number of releases in progress, for which shutdown waits.
    pub pending_releases: Rc<PendingReleases>,
    /// Abandoned attempts whose request may still reach its model host.
    pub late_arrivals: Rc<LateArrivalTracker>,
    /// Gives memory to long events of streams.
    pub event_memory: Rc<EventMemory>,
}

/// Counts releases in progress, so that shutdown can wait for them.
#[derive(Default)]
pub struct PendingReleases {
    count: Cell<usize>,
    all_done: Notify,
}

impl PendingReleases {
    fn guard(self: &Rc<Self>) -> ReleaseGuard {
        self.count.set(self.count.get() + 1);
        ReleaseGuard(self.clone())
    }

    /// Resolves when no release is in progress.
    pub async fn wait_until_done(&self) {
        while self.count.get() > 0 {
            self.all_done.notified().await;
        }
    }
}

/// Counts one release as in progress until dropped.
struct ReleaseGuard(Rc<PendingReleases>);

impl Drop for ReleaseGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.all_done.notify_one();
    }
}

/// Why a call other than an attempt (a release, a tool result) has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The directory has no address for the worker.
    #[error("the model host has no known address")]
    NoAddress,
    /// No connection could be obtained.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The call was not allowed by the time that the connection was up.
    #[error("call not written: {0}")]
    NotPermitted(#[from] CallDenial),
    /// The connection broke, or the response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response body is too long or incomplete.
    #[error("{0}")]
    Body(String),
}

/// Reports the end of an attempt when dropped, so that a request gets its outcome even if the attempt's task panics.
struct CompletionGuard {
    dispatcher: DispatcherHandle,
    request: RequestId,
    attempt: AttemptIndex,
    end: Option<AttemptEnd>,
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        let AttemptEnd {
            outcome,
            cached_tokens,
            load,
        } = self
            .end
            .take()
            .unwrap_or(AttemptOutcome::ConnectionLost.into());
        let (request, attempt) = (self.request, self.attempt);
        self.dispatcher.send(DispatcherEvent::AttemptCompleted {
            request,
            attempt,
            outcome,
            cached_tokens,
            load_report: load,
        });
    }
}

impl HostClient {
    pub(super) fn target(&self, worker: &WorkerId) -> Option<Target> {
        let (worker, address) = (worker.clone(), self.directory.address(worker)?);
        Some(Target {
            worker,
            address,
            connect_timeout: None,
            may_use_reserve: false,
            requires_new: false,
        })
    }

    async fn connect(&self, target: &Target) -> Result<Connection, ConnectError> {
        self.pool.clone().ready().await?.call(target.clone()).await
    }

    async fn run_attempt(self, mut attempt: Attempt) {
        let mut completion = CompletionGuard {
            dispatcher: self.dispatcher.clone(),
            request: attempt.request,
            attempt: attempt.attempt,
            end: None,
        };
        completion.end = Some(self.execute(&mut attempt).await);
    }

    async fn execute(&self, attempt: &mut Attempt) -> AttemptEnd {
        // Leaves time for `close_abandoned`, so that the outcome is reported by the deadline.
        let give_up_at = attempt
            .first_event_deadline
            .saturating_sub(CLOSE_PROPAGATION_DELAY.as_micros() as u64);
        match self.connect_for_attempt(attempt, give_up_at).await {
            Ok((target, connection)) => {
                let Some(permit) = self.write_permit(attempt) else {
                    return AttemptOutcome::NotSent.into();
                };
                let end = self
                    .exchange(attempt, target, connection, permit, give_up_at)
                    .await;
                self.track_late_arrival(attempt, end.outcome);
                end
            }
            Err(outcome) => outcome.into(),
        }
    }

    /// Waits for an earlier release of the same request, if there is one, and connects.
    async fn connect_for_attempt(
        &self,
        attempt: &mut Attempt,
        give_up_at: Micros,
    ) -> Result<(Target, Connection), AttemptOutcome> {
        let clock: Clock = self.dispatcher.clock;
        let mut target = self
            .target(&attempt.worker)
            .ok_or(AttemptOutcome::NotSent)?;
        if let Some(progress) = &attempt.wait_for_release {
            // A release that arrives during the prefill would drop the KV state that this prefill creates, and the
            // decode worker would find none.
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => return Err(AttemptOutcome::Cancelled),
                () = progress.ended() => {}
                () = tokio::time::sleep(PRIOR_RELEASE_TIMEOUT) => {}
            }
        }
        // A repeat (an attempt of a request that may already have run) is dropped by the host as a duplicate only
        // within a window. Written to a reused connection that has gone silent, it could arrive after that.
        target.requires_new = attempt.permit.send_by().is_some();
        target.connect_timeout = attempt
            .permit
            .connect_by()
            .map(|deadline| Duration::from_micros(deadline.saturating_sub(clock.now())));
        let connecting = self.connect(&target);
        let connected = tokio::select! {
            biased;
            _ = &mut attempt.cancelled => return Err(AttemptOutcome::Cancelled),
            connected = connecting => connected,
            () = clock.sleep_until(Some(give_up_at)) => return Err(AttemptOutcome::ConnectFailed),
        };
        match connected {
            Ok(connection) => Ok((target, connection)),
            Err(error @ (ConnectError::SocketLimit | ConnectError::Local(_))) => {
                log::info!(
                    "request {}: not sent to {}: {error}",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                Err(AttemptOutcome::NotSent)
            }
            Err(error) => {
                log::info!(
                    "request {}: cannot connect to {}: {error}",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                Err(AttemptOutcome::ConnectFailed)
            }
        }
    }

    /// Writes an attempt's request and waits until the response has ended.
    async fn exchange(
        &self,
        attempt: &mut Attempt,
        target: Target,
        mut connection: Connection,
        permit: WritePermit,
        give_up_at: Micros,
    ) -> AttemptEnd {
        let clock: Clock = self.dispatcher.clock;
        let time_left = give_up_at.saturating_sub(clock.now());
        let Some(body) = attempt.upstream_request.body.get() else {
            return AttemptOutcome::NotSent.into();
        };
        let body_len = body.len();
        let Some(request) = host_request(&attempt.upstream_request, body, time_left) else {
            return AttemptOutcome::NotSent.into();
        };
        self.counters.sent.up();
        let (counters, meter) = (self.counters.clone(), connection.meter());
        // A request that was not completely written cannot have run.
        let if_fully_written = |outcome: AttemptOutcome| {
            if meter.is_written() {
                outcome
            } else {
                AttemptOutcome::ConnectFailed
            }
        };
        let read_response = async {
            let response = tokio::select! {
                // Polled first, because the meter describes the previous response until this request is started.
                biased;
                response = connection.send_attempt(request, body_len, counters, permit) => response?,
                () = meter.head_overdue(RESPONSE_HEAD_TIMEOUT) => {
                    return Err("the response head did not end in time".into());
                }
            };
            HostResponse::read(response, meter.clone(), self.event_memory.clone()).await
        };
        let send_by = attempt.permit.send_by();
        // A repeat that a stalled host has not read completely by `send_by` must not be written any further, since it
        // would arrive after its window.
        let not_written_in_time = async {
            clock.sleep_until(send_by).await;
            if meter.is_written() {
                std::future::pending::<()>().await;
            }
        };
        let result = tokio::select! {
            biased;
            result = read_response => result,
            _ = &mut attempt.cancelled => return if_fully_written(AttemptOutcome::Cancelled).into(),
            () = clock.sleep_until(Some(give_up_at)) => {
                log::info!(
                    "request {}: {} did not answer in time; attempt abandoned",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                // The host may be partitioned off while idle connections to it still look open.
                self.pool.mark_unreachable(&attempt.worker);
                close_abandoned(connection).await;
                return if_fully_written(AttemptOutcome::TimedOut).into();
            }
            () = not_written_in_time => {
                log::info!(
                    "request {}: {} did not read the repeat within its window; attempt abandoned",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                self.counters.repeats_held_back.up();
                close_abandoned(connection).await;
                return if_fully_written(AttemptOutcome::TimedOut).into();
            }
        };
        match result {
            Err(error) => {
                let fault = meter.framing_fault();
                let error = fault.map_or_else(|| error.to_string(), |fault| fault.to_string());
                log::info!(
                    "request {}: no valid response from {}: {error}; attempt abandoned",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                self.pool.note_broken(&connection);
                close_abandoned(connection).await;
                if_fully_written(AttemptOutcome::ConnectionLost).into()
            }
            Ok(HostResponse::Complete {
                end,
                is_reusable: true,
            }) => {
                self.pool.put_back(&target, connection);
                end
            }
            Ok(HostResponse::Complete {
                end,
                is_reusable: false,
            }) => {
                close_abandoned(connection).await;
                end
            }
            Ok(HostResponse::Stream(stream)) => {
                let (end, is_reusable) = self.relay_stream(attempt, *stream).await;
                if is_reusable {
                    self.pool.put_back(&target, connection);
                }
                end
            }
        }
    }

    /// Rechecks, once the connection is up, whether the attempt may still be written. Since it was ordered, the host
    /// may have begun to drain, the client may have disconnected, or the window in which the host drops repeats may
    /// have ended.
    fn write_permit(&self, attempt: &Attempt) -> Option<WritePermit> {
        let state = WriteState {
            now: self.dispatcher.clock.now(),
            is_in_service: self.directory.is_ready(&attempt.worker),
            is_client_disconnected: attempt.client_disconnected.get(),
        };
        let refusal = match attempt.permit.check_write(state) {
            Ok(permit) => return Some(permit),
            Err(refusal) => refusal,
        };
        log::info!(
            "request {}: not written to {}: {refusal}",
            attempt.upstream_request.id,
            attempt.worker.0
        );
        match refusal {
            SendDenial::MayHaveRun => self.counters.repeats_held_back.up(),
            _ => self.counters.held_back.up(),
        }
        None
    }

    /// Posts a tool result to the decode worker while its stream is open.
    pub(super) fn post_tool_result(
        &self,
        attempt: &Attempt,
        reply: Reply,
        stream: WeakFrameSender,
    ) {
        let target = format!("/internal/tool-results/{}", attempt.upstream_request.id);
        let request = Request::post(target)
            .header("host", "model-host")
            .header("content-type", "application/json");
        let body_len = reply.body.len();
        let Ok(request) = request.body(Full::new(reply.body)) else {
            return;
        };
        let (client, target) = (self.clone(), self.target(&attempt.worker));
        tokio::task::spawn_local(async move {
            let state = || CallState::ToolResult {
                is_streaming: stream.is_open(),
            };
            let pending_call = client.unary_call(target.as_ref(), request, body_len, state);
            let result = tokio::time::timeout(TOOL_RESULT_TIMEOUT, pending_call).await;
            let _ = reply
                .accepted
                .send(matches!(result, Ok(Ok(status)) if status.is_success()));
        });
    }

    /// Makes a call whose response is not a stream. `body_len` is the length of the request body. `state` is evaluated
    /// once the connection is up and decides whether the call may still be written.
    pub(super) async fn unary_call(
        &self,
        target: Option<&Target>,
        request: Request<Full<Bytes>>,
        body_len: usize,
        state: impl Fn() -> CallState,
    ) -> Result<StatusCode, CallError> {
        let target = target.ok_or(CallError::NoAddress)?;
        let mut connection = self.connect(target).await?;
        let permit = permit_call(state()).inspect_err(|_| self.counters.calls_refused.up())?;
        let response = connection.send_call(request, body_len, permit).await?;
        let (head, body) = response.into_parts();
        Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| CallError::Body(e.to_string()))?;
        self.pool.put_back(target, connection);
        Ok(head.status)
    }
}

/// Closes the connection of an abandoned attempt, and gives the close time to reach the host before the outcome is
/// reported. The dispatcher reacts to the outcome at once, with another send or a refusal. If that overtook the close,
/// the attempt would still be open at its host and could run at the same time as its repeat.
async fn close_abandoned(connection: Connection) {
    connection.close().await;
    tokio::time::sleep(CLOSE_PROPAGATION_DELAY).await;
}

/// Builds the request to a model host. `time_left` is the time until the deadline, in microseconds. `None` if the
/// call's target is not a valid URI.
fn host_request(
    call: &UpstreamRequest,
    body: Bytes,
    time_left: u64,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(&call.target)
        .header("host", "model-host")
        .header("x-request-id", &call.id)
        .header("x-deadline", format!("{time_left}u"));
    if let Some(headers) = request.headers_mut() {
        headers.extend(call.headers.clone());
    }
    request.body(Full::new(body)).ok()
}

impl Outbound for HostClient {
    fn send(&self, attempt: Attempt) {
        tokio::task::spawn_local(self.clone().run_attempt(attempt));
    }

    fn release(
        &self,
        call: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        progress: Rc<ReleaseProgress>,
    ) {
        let (client, release_guard) = (self.clone(), self.pending_releases.guard());
        tokio::task::spawn_local(async move {
            let _release_guard = release_guard;
            client.run_release(&call, permit, progress).await;
        });
    }

    fn subscribe(&self) {
        self.resubscribe.notify_one();
    }
}

#[cfg(test)]
mod tests;
