//! Makes the release calls that [`super::release_fanout`] and [`super::late_arrivals`] decide on.

use super::client::{CLOSE_PROPAGATION_DELAY, CallError, HostClient};
use super::late_arrivals::{LATE_CALL_TIMEOUT, LateArrivals, ReleaseRound};
use super::pool::ConnectError;
use super::release_fanout::{HEDGE_DELAY, ReleaseFanout};
use crate::dispatch::{Attempt, ReleaseProgress};
use crate::exchange::UpstreamRequest;
use crate::routing::types::{AttemptOutcome, CallState, ReleasePermit, WorkerId};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Time-out of one release call. Its host may be called again in a later round.
const RELEASE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A release that no host has accepted is retried for this long, far beyond the release limit, because KV state that is
/// never released would occupy a worker's memory for good. The longest partition or hang on record ended within it.
const RELEASE_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum number of parallel calls to one host to release requests that may have arrived late.
const MAX_PARALLEL_LATE_CALLS: usize = 16;

/// The result of one release call for a request that may have arrived late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    /// The host answered, with any status.
    Answered,
    /// The call failed or timed out.
    NoResponse,
    /// The host refuses connections or is no longer listed: its process has ended.
    Gone,
}

/// Abandoned attempts whose request may still reach its host, and the state of the task that releases them.
#[derive(Default)]
pub struct LateArrivalTracker {
    arrivals: RefCell<LateArrivals>,
    /// Notified when the time of the next round may have changed.
    schedule_changed: Notify,
    /// Whether the task is running; it ends when no attempt is left.
    is_task_running: Cell<bool>,
}

impl LateArrivalTracker {
    fn update(&self, update: impl FnOnce(&mut LateArrivals)) {
        update(&mut self.arrivals.borrow_mut());
        self.schedule_changed.notify_one();
    }
}

impl HostClient {
    /// Releases a request's KV state: calls hosts as the fan-out decides until one accepts, `progress` is stopped, or
    /// [`RELEASE_DEADLINE`] has passed.
    pub(super) async fn run_release(
        &self,
        call: &UpstreamRequest,
        permit: ReleasePermit,
        progress: Rc<ReleaseProgress>,
    ) {
        tokio::time::sleep(CLOSE_PROPAGATION_DELAY).await;
        // Dropping the set aborts the calls. One that arrived later would release the KV state of the next prefill.
        let mut calls = tokio::task::JoinSet::new();
        let started_at = Instant::now();
        let mut fanout = ReleaseFanout::new(started_at);
        let offset = xxh3_64(call.id.as_bytes());
        while progress.is_active() && started_at.elapsed() < RELEASE_DEADLINE {
            // Recomputed for each wave, since reachability and the list of hosts may have changed.
            let hosts = self
                .pool
                .order_by_reachability(self.directory.release_targets(), offset);
            let answered_since = |worker: &WorkerId, since| self.pool.answered_since(worker, since);
            for worker in fanout.next_wave(Instant::now(), &hosts, answered_since) {
                calls.spawn_local(self.clone().call_release(
                    worker,
                    call.id.clone(),
                    progress.clone(),
                ));
            }
            tokio::select! {
                biased;
                () = progress.ended() => return,
                Some(call_result) = calls.join_next() => match call_result {
                    Ok(true) => {
                        self.counters.releases_taken.up();
                        log::debug!(
                            "request {}: {:?} released after {:?}",
                            call.id,
                            permit.reason(),
                            started_at.elapsed()
                        );
                        return progress.set_done();
                    }
                    _ => fanout.note_failure(Instant::now()),
                },
                () = tokio::time::sleep_until(fanout.next_wave_at()) => {}
            }
        }
        if progress.is_active() {
            progress.stop();
            self.counters.releases_failed.up();
            log::warn!(
                "request {}: no model host accepted the release of its KV state within {} s; giving up",
                call.id,
                RELEASE_DEADLINE.as_secs()
            );
        }
    }

    /// Calls one host to release a request; returns whether it accepted.
    async fn call_release(
        self,
        worker: WorkerId,
        id: String,
        progress: Rc<ReleaseProgress>,
    ) -> bool {
        let request =
            Request::delete(format!("/internal/reservations/{id}")).header("host", "model-host");
        let (Some(mut target), Ok(request)) =
            (self.target(&worker), request.body(Full::new(Bytes::new())))
        else {
            return false;
        };
        target.may_use_reserve = true;
        let state = || CallState::Release {
            is_active: progress.is_active(),
        };
        let pending_call = self.unary_call(Some(&target), request, 0, state);
        tokio::pin!(pending_call);
        let answer = if let Ok(answer) = tokio::time::timeout(HEDGE_DELAY, &mut pending_call).await
        {
            Ok(answer)
        } else {
            self.pool.mark_unreachable(&worker);
            tokio::time::timeout(RELEASE_CALL_TIMEOUT, pending_call).await
        };
        match answer {
            // A host that rejects the call has released nothing.
            Ok(Ok(status)) => status.is_success(),
            Ok(Err(error)) => {
                log::debug!("request {id}: release call to {} failed: {error}", worker.0);
                false
            }
            Err(_) => false,
        }
    }

    /// Tracks an attempt that ended without a response, since its request may still reach the host. This is done even
    /// if the host has answered other calls meanwhile: only this connection, or only the path to the host, may have
    /// stalled.
    pub(super) fn track_late_arrival(&self, attempt: &Attempt, outcome: AttemptOutcome) {
        // After any other outcome nothing can arrive: the response has come, or the peer has closed the connection.
        if !matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        ) {
            return;
        }
        let (id, now) = (attempt.upstream_request.id.clone(), Instant::now());
        self.late_arrivals
            .update(|late_arrivals| late_arrivals.note_abandoned(&attempt.worker, id, now));
        if !self.late_arrivals.is_task_running.replace(true) {
            tokio::task::spawn_local(self.clone().run_late_arrivals());
        }
    }

    /// The task that runs the rounds of the late arrivals; ends when none is left.
    async fn run_late_arrivals(self) {
        let late_arrivals = &self.late_arrivals;
        while !late_arrivals.arrivals.borrow().is_empty() {
            let next_call_at = late_arrivals.arrivals.borrow().next_call_at();
            tokio::select! {
                biased;
                () = late_arrivals.schedule_changed.notified() => continue,
                () = async { tokio::time::sleep_until(next_call_at.unwrap_or_else(Instant::now)).await }, if next_call_at.is_some() => {}
            }
            let next_round = late_arrivals
                .arrivals
                .borrow_mut()
                .next_round(Instant::now());
            if let Some(round) = next_round {
                tokio::task::spawn_local(self.clone().run_round(round));
            }
        }
        late_arrivals.is_task_running.set(false);
    }

    /// Releases the requests of one round at its host. The first failure ends the round.
    async fn run_round(self, round: ReleaseRound) {
        let mut round_result = CallResult::Answered;
        for requests in round.requests.chunks(MAX_PARALLEL_LATE_CALLS) {
            let calls = requests
                .iter()
                .map(|id| self.call_late_release(&round.worker, id));
            for call in futures_util::future::join_all(calls).await {
                round_result = if round_result == CallResult::Answered {
                    call
                } else {
                    round_result
                };
            }
            if round_result != CallResult::Answered {
                break;
            }
        }
        let (worker, now) = (&round.worker, Instant::now());
        self.late_arrivals
            .update(|late_arrivals| match round_result {
                CallResult::Answered => late_arrivals.note_answered(worker, now),
                CallResult::NoResponse => late_arrivals.note_unanswered(worker, now),
                CallResult::Gone => late_arrivals.note_gone(worker),
            });
    }

    /// Calls one host to release a request that it may have received late.
    async fn call_late_release(&self, worker: &WorkerId, id: &str) -> CallResult {
        let request =
            Request::delete(format!("/internal/reservations/{id}")).header("host", "model-host");
        let (Some(mut target), Ok(request)) =
            (self.target(worker), request.body(Full::new(Bytes::new())))
        else {
            return CallResult::Gone;
        };
        target.may_use_reserve = true;
        self.counters.late_releases.up();
        match tokio::time::timeout(
            LATE_CALL_TIMEOUT,
            self.unary_call(Some(&target), request, 0, || CallState::LateRelease),
        )
        .await
        {
            Ok(Ok(_)) => CallResult::Answered,
            Ok(Err(error)) if is_connection_refused(&error) => CallResult::Gone,
            Ok(Err(_)) | Err(_) => CallResult::NoResponse,
        }
    }
}

/// Whether a call failed because the connection was refused.
fn is_connection_refused(error: &CallError) -> bool {
    match error {
        CallError::Connect(ConnectError::Io(error)) => {
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}
