//! The client side: carries out attempts at model hosts and the calls around them.

use super::answer::{Answered, End, MAX_RESPONSE_BYTES, Stream, Tail};
use super::discovery::Directory;
use super::pool::{ConnectError, Connection, Pool, Target};
use super::release_calls::LateArrivalTracker;
use crate::counters::Counters;
use crate::dispatch::{
    Attempt, Clock, DispatcherEvent, DispatcherHandle, Outbound, ReleaseProgress,
};
use crate::exchange::{Frame, Reply, StreamSender, UpstreamRequest, stream_channel};
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
use tokio::sync::mpsc::WeakSender;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

/// A stream without an event for this long is dead, whatever its connection says: a machine that vanished
/// says nothing, and a client left waiting 5 s has lost its answer.
const STALLED: Duration = Duration::from_millis(4500);
/// The head of an answer comes whole, from its first byte on.
const HEAD_WHOLE: Duration = Duration::from_millis(500);
/// A client that takes nothing of its stream for this long is gone.
const CLIENT_STALLED: Duration = Duration::from_secs(30);
/// What a connection's close takes to reach its model host, with much to spare. Two connections are not in order with
/// each other: what follows on another one waits this long, or it may overtake the close.
pub(super) const SETTLE: Duration = Duration::from_millis(5);
/// How long a read waits for a release before it: within that time some fifteen hosts of all zones are asked.
const RELEASE_FIRST: Duration = Duration::from_millis(250);

/// The client side: an [`Outbound`] for the dispatcher, and a tower service for one call at one model host.
#[derive(Clone)]
pub struct HostClient {
    /// Where model hosts are.
    pub directory: Rc<Directory>,
    /// Connections to them.
    pub pool: Pool,
    /// Whom outcomes are told.
    pub dispatcher: DispatcherHandle,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Asks for a new watch.
    pub resubscribe: Rc<Notify>,
    /// Releases under way.
    pub pending_releases: Rc<PendingReleases>,
    /// Attempts given up that may arrive late.
    pub late_arrivals: Rc<LateArrivalTracker>,
}

/// Counts releases under way, so that the process doesn't end before they have.
#[derive(Default)]
pub struct PendingReleases {
    count: Cell<usize>,
    none: Notify,
}

impl PendingReleases {
    fn enter(self: &Rc<Self>) -> Entered {
        self.count.set(self.count.get() + 1);
        Entered(self.clone())
    }

    /// Waits until none is under way.
    pub async fn wait_until_done(&self) {
        while self.count.get() > 0 {
            self.none.notified().await;
        }
    }
}

/// One release's place among those under way, given back however it ends.
struct Entered(Rc<PendingReleases>);

impl Drop for Entered {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.none.notify_one();
    }
}

/// Why a call beside the attempts has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The directory doesn't know its host.
    #[error("no address")]
    NoAddress,
    /// There is no connection.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// It was not written.
    #[error("not written: {0}")]
    NotPermitted(#[from] CallDenial),
    /// The connection broke, or its answer can't be read.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Its answer is too long, or its body broke off.
    #[error("{0}")]
    Body(String),
}

/// Reports an attempt's end however its task ends: a panic in it must not leave the request without an outcome.
struct Ending {
    dispatcher: DispatcherHandle,
    request: RequestId,
    attempt: AttemptIndex,
    end: Option<End>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        let End {
            outcome,
            kept,
            report,
        } = self
            .end
            .take()
            .unwrap_or(AttemptOutcome::ConnectionLost.into());
        let (request, attempt) = (self.request, self.attempt);
        self.dispatcher.send(DispatcherEvent::AttemptCompleted {
            request,
            attempt,
            outcome,
            cached_tokens: kept,
            load_report: report,
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

    async fn attempt(self, mut attempt: Attempt) {
        let mut ending = Ending {
            dispatcher: self.dispatcher.clone(),
            request: attempt.request,
            attempt: attempt.attempt,
            end: None,
        };
        ending.end = Some(self.carry_out(&mut attempt).await);
    }

    async fn carry_out(&self, attempt: &mut Attempt) -> End {
        // Given up in time for its end to be told by then (see `abandon`).
        let give_up_at = attempt
            .first_event_deadline
            .saturating_sub(SETTLE.as_micros() as u64);
        match self.connect_for(attempt, give_up_at).await {
            Ok((target, connection)) => {
                let Some(permit) = self.may_write(attempt) else {
                    return AttemptOutcome::NotSent.into();
                };
                let end = self
                    .exchange(attempt, target, connection, permit, give_up_at)
                    .await;
                self.note_if_it_may_arrive_late(attempt, end.outcome);
                end
            }
            Err(outcome) => outcome.into(),
        }
    }

    /// Waits for a release that goes first, and connects.
    async fn connect_for(
        &self,
        attempt: &mut Attempt,
        give_up_at: Micros,
    ) -> Result<(Target, Connection), AttemptOutcome> {
        let clock: Clock = self.dispatcher.clock;
        let mut target = self
            .target(&attempt.worker)
            .ok_or(AttemptOutcome::NotSent)?;
        if let Some(releasing) = &attempt.wait_for_release {
            // A release that arrives while a read is out takes the state that this read will leave: the writer
            // would find nothing. So it goes first.
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => return Err(AttemptOutcome::Cancelled),
                () = releasing.ended() => {}
                () = tokio::time::sleep(RELEASE_FIRST) => {}
            }
        }
        // A repeat counts when it arrives: on a kept connection that has fallen silent it would come behind its window.
        target.requires_new = attempt.permit.send_by().is_some();
        target.connect_timeout = attempt
            .permit
            .connect_by()
            .map(|by| Duration::from_micros(by.saturating_sub(clock.now())));
        let connecting = self.connect(&target);
        let connected = tokio::select! {
            biased;
            _ = &mut attempt.cancelled => return Err(AttemptOutcome::Cancelled),
            connected = connecting => connected,
            () = clock.sleep_until(Some(give_up_at)) => return Err(AttemptOutcome::ConnectFailed),
        };
        match connected {
            Ok(connection) => Ok((target, connection)),
            Err(error @ (ConnectError::OverBound | ConnectError::Local(_))) => {
                log::info!(
                    "request {}: not sent to {}: {error}",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                Err(AttemptOutcome::NotSent)
            }
            Err(error) => {
                log::info!(
                    "request {}: {} not reached: {error}",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                Err(AttemptOutcome::ConnectFailed)
            }
        }
    }

    /// Writes an attempt and waits for its end.
    async fn exchange(
        &self,
        attempt: &mut Attempt,
        target: Target,
        mut connection: Connection,
        permit: WritePermit,
        give_up_at: Micros,
    ) -> End {
        let clock: Clock = self.dispatcher.clock;
        let left = give_up_at.saturating_sub(clock.now());
        let Some(request) = passed_on(&attempt.upstream_request, left) else {
            return AttemptOutcome::NotSent.into();
        };
        self.counters.sent.up();
        let (body, counters, meter) = (
            attempt.upstream_request.body.len(),
            self.counters.clone(),
            connection.meter(),
        );
        // What never left whole has never run.
        let cut_off = |outcome: AttemptOutcome| {
            if meter.complete() {
                outcome
            } else {
                AttemptOutcome::ConnectFailed
            }
        };
        let answering = async {
            let response = tokio::select! {
                // First: until it has begun, the meter tells of the answer before.
                biased;
                response = connection.send_attempt(request, body, counters, permit) => response?,
                () = meter.overdue(HEAD_WHOLE) => return Err("a head that doesn't end".into()),
            };
            Answered::read(response).await
        };
        let send_by = attempt.permit.send_by();
        // What is not written whole by then, to a host that doesn't read, must not be any more.
        let unwritten = async {
            clock.sleep_until(send_by).await;
            if meter.complete() {
                std::future::pending::<()>().await;
            }
        };
        let answered = tokio::select! {
            biased;
            answered = answering => answered,
            _ = &mut attempt.cancelled => return cut_off(AttemptOutcome::Cancelled).into(),
            () = clock.sleep_until(Some(give_up_at)) => {
                log::info!("request {}: no answer of {} in time", attempt.upstream_request.id, attempt.worker.0);
                // It may be cut off, with a kept connection that looks alive.
                self.pool.mark_unreachable(&attempt.worker);
                abandon(connection).await;
                return cut_off(AttemptOutcome::TimedOut).into();
            }
            () = unwritten => {
                log::info!("request {}: {} took it too slowly for a repeat", attempt.upstream_request.id, attempt.worker.0);
                self.counters.repeats_held_back.up();
                abandon(connection).await;
                return cut_off(AttemptOutcome::TimedOut).into();
            }
        };
        match answered {
            Err(error) => {
                log::info!(
                    "request {}: {} broke off: {error}",
                    attempt.upstream_request.id,
                    attempt.worker.0
                );
                self.pool.note_broken(&connection);
                abandon(connection).await;
                cut_off(AttemptOutcome::ConnectionLost).into()
            }
            Ok(Answered::Whole {
                end,
                reusable: true,
            }) => {
                self.pool.put_back(&target, connection);
                end
            }
            Ok(Answered::Whole {
                end,
                reusable: false,
            }) => {
                abandon(connection).await;
                end
            }
            Ok(Answered::Stream(stream)) => {
                let (end, reusable) = self.stream(attempt, stream).await;
                if reusable {
                    self.pool.put_back(&target, connection);
                }
                end
            }
        }
    }

    /// Whether an attempt may be written now. It was decided a connection's time ago: since then the list may have told
    /// that the host drains, the client may have left, or the time in which a repeat is dropped may be over.
    fn may_write(&self, attempt: &Attempt) -> Option<WritePermit> {
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

    /// Passes a stream on: its events as they come, unchanged, no deadline, until one side ends it.
    async fn stream(&self, attempt: &mut Attempt, stream: Stream) -> (End, bool) {
        let Stream {
            first,
            mut events,
            content_type,
            framed,
        } = stream;
        let (
            StreamSender {
                frames,
                mut replies,
                paused,
            },
            feed,
        ) = stream_channel(content_type);
        let (request, index) = (attempt.request, attempt.attempt);
        self.dispatcher.send(DispatcherEvent::StreamStarted {
            request,
            attempt: index,
            stream: feed,
        });
        let mut tail = Tail::new();
        let mut next = Some(first);
        let mut heard = Instant::now();
        loop {
            if let Some(data) = next.take() {
                tail.keep(&data);
                // The channel is short: a slow client makes the model host wait, not this memory grow.
                match tokio::time::timeout(CLIENT_STALLED, frames.send(Frame::Data(data))).await {
                    Ok(Ok(())) => heard = Instant::now(),
                    _ => return (AttemptOutcome::Cancelled.into(), false),
                }
            }
            tokio::select! {
                biased;
                _ = &mut attempt.cancelled => return (AttemptOutcome::Cancelled.into(), false),
                () = frames.closed() => return (AttemptOutcome::Cancelled.into(), false),
                Some(reply) = replies.recv() => {
                    heard = Instant::now();
                    self.reply(attempt, reply, frames.downgrade());
                }
                // From the last whole event on: bytes that make none are no sign of life.
                came = tokio::time::timeout_at(heard + STALLED, events.next()) => match came {
                    Ok(Ok(Some(data))) => next = Some(data),
                    Ok(Ok(None)) if framed || tail.ends_done() => {
                        let _ = frames.send(Frame::End).await;
                        return (End { outcome: AttemptOutcome::Served, kept: tail.kept_tokens(), report: None }, framed);
                    }
                    // A writer that waits for a tool's result has nothing to say.
                    Err(_) if paused.get() => heard = Instant::now(),
                    // Dropping the sender without the end breaks the client's stream off, without its last chunk.
                    broken => {
                        self.counters.streams_broken.up();
                        let why = match broken {
                            Err(_) => "fell silent".to_owned(),
                            Ok(Err(spoilt)) => format!("broke: {spoilt}"),
                            Ok(Ok(_)) => "broke: it ended early".to_owned(),
                        };
                        log::info!("request {}: stream of {} {why}", attempt.upstream_request.id, attempt.worker.0);
                        return (AttemptOutcome::ConnectionLost.into(), false);
                    }
                },
            }
        }
    }

    /// Sends what the server side has for the writer, beside the stream, for as long as that has an end to go to.
    fn reply(&self, attempt: &Attempt, reply: Reply, stream: WeakSender<Frame>) {
        let target = format!("/internal/tool-results/{}", attempt.upstream_request.id);
        let request = Request::post(target)
            .header("host", "model-host")
            .header("content-type", "application/json");
        let body = reply.body.len();
        let Ok(request) = request.body(Full::new(reply.body)) else {
            return;
        };
        let (hosts, target) = (self.clone(), self.target(&attempt.worker));
        tokio::task::spawn_local(async move {
            let is_streaming = || stream.upgrade().is_some_and(|frames| !frames.is_closed());
            let state = || CallState::ToolResult {
                is_streaming: is_streaming(),
            };
            let calling = hosts.small_call(target.as_ref(), request, body, state);
            let answer = tokio::time::timeout(STALLED, calling).await;
            let _ = reply
                .accepted
                .send(matches!(answer, Ok(Ok(status)) if status.is_success()));
        });
    }

    /// A call without a stream, on a connection of its own meanwhile. `state` tells what is known once that is up.
    pub(super) async fn small_call(
        &self,
        target: Option<&Target>,
        request: Request<Full<Bytes>>,
        body: usize,
        state: impl Fn() -> CallState,
    ) -> Result<StatusCode, CallError> {
        let target = target.ok_or(CallError::NoAddress)?;
        let mut connection = self.connect(target).await?;
        let permit = permit_call(state()).inspect_err(|_| self.counters.calls_refused.up())?;
        let response = connection.send_call(request, body, permit).await?;
        let (head, body) = response.into_parts();
        Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|e| CallError::Body(e.to_string()))?;
        self.pool.put_back(target, connection);
        Ok(head.status)
    }
}

/// Closes the connection of an attempt that is given up, and lets the close reach its host before the end is told. The
/// module answers an end at once, with another send or a refusal, and that must not be seen before the close: the
/// attempt would still be out then, and may run beside its repeat.
async fn abandon(connection: Connection) {
    connection.close().await;
    tokio::time::sleep(SETTLE).await;
}

/// The request as model hosts want it.
fn passed_on(call: &UpstreamRequest, left: u64) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::post(&call.target)
        .header("host", "model-host")
        .header("x-request-id", &call.id)
        .header("x-deadline", format!("{left}u"));
    if let Some(headers) = request.headers_mut() {
        headers.extend(call.headers.clone());
    }
    request.body(Full::new(call.body.clone())).ok()
}

impl Outbound for HostClient {
    fn send(&self, attempt: Attempt) {
        tokio::task::spawn_local(self.clone().attempt(attempt));
    }

    fn release(
        &self,
        call: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        releasing: Rc<ReleaseProgress>,
    ) {
        let (hosts, entered) = (self.clone(), self.pending_releases.enter());
        tokio::task::spawn_local(async move {
            let _entered = entered;
            hosts.release_now(&call, permit, releasing).await;
        });
    }

    fn subscribe(&self) {
        self.resubscribe.notify_one();
    }
}

#[cfg(test)]
mod tests;
