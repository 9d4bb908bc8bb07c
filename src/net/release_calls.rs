//! Carries releases out: the calls that [`super::release_fanout`] and [`super::late_arrivals`] decide on.

use super::client::{CallError, HostClient, SETTLE};
use super::late_arrivals::{LATE_CALL_TIMEOUT, LateArrivals, Round};
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

/// A call of a release that has had no answer by then is not waited for any longer: its host is asked again later.
const RELEASE_CALL: Duration = Duration::from_secs(1);
/// A release that no host has taken is given up then. Its limit is long past, but what is held must not fill a host's
/// memory for good: the longest cut or hang that operators have recorded is over by then.
const RELEASE_WITHIN: Duration = Duration::from_secs(30);
/// Calls to one host at once for what it may have got late.
const LATE_CALLS: usize = 16;

/// How a host met a call of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallResult {
    /// It answered.
    Answered,
    /// It did not, in time.
    Silent,
    /// Its process is gone: connections are refused.
    Gone,
}

/// Attempts that may arrive late, and the task that follows them.
#[derive(Default)]
pub struct LateArrivalTracker {
    arrivals: RefCell<LateArrivals>,
    /// Tells the task that something is due at another moment.
    changed: Notify,
    is_followed: Cell<bool>,
}

impl LateArrivalTracker {
    fn change(&self, change: impl FnOnce(&mut LateArrivals)) {
        change(&mut self.arrivals.borrow_mut());
        self.changed.notify_one();
    }
}

impl HostClient {
    /// Releases what is held for a request, at whichever hosts take it, until one has.
    pub(super) async fn release_now(
        &self,
        call: &UpstreamRequest,
        permit: ReleasePermit,
        releasing: Rc<ReleaseProgress>,
    ) {
        tokio::time::sleep(SETTLE).await;
        // The calls end with this: one that arrives later would take what the next read leaves.
        let mut calls = tokio::task::JoinSet::new();
        let begun = Instant::now();
        let mut fanout = ReleaseFanout::new(begun);
        let spread = xxh3_64(call.id.as_bytes());
        while releasing.is_active() && begun.elapsed() < RELEASE_WITHIN {
            // Which hosts were just heard from may change meanwhile, and so may the list.
            let hosts = self
                .pool
                .order_by_reachability(self.directory.release_targets(), spread);
            let answered_since = |worker: &WorkerId, since| self.pool.answered_since(worker, since);
            for worker in fanout.wave(Instant::now(), &hosts, answered_since) {
                calls.spawn_local(self.clone().ask_release(
                    worker,
                    call.id.clone(),
                    releasing.clone(),
                ));
            }
            tokio::select! {
                biased;
                () = releasing.ended() => return,
                Some(asked) = calls.join_next() => match asked {
                    Ok(true) => {
                        self.counters.releases_taken.up();
                        log::debug!("request {}: {:?} released after {:?}", call.id, permit.reason(), begun.elapsed());
                        return releasing.set_done();
                    }
                    _ => fanout.failed(Instant::now()),
                },
                () = tokio::time::sleep_until(fanout.due()) => {}
            }
        }
        if releasing.is_active() {
            releasing.stop();
            self.counters.releases_failed.up();
            log::warn!(
                "request {}: no model host took the release of its state",
                call.id
            );
        }
    }

    /// One call of a release; whether the host took it.
    async fn ask_release(
        self,
        worker: WorkerId,
        id: String,
        releasing: Rc<ReleaseProgress>,
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
            is_active: releasing.is_active(),
        };
        let calling = self.small_call(Some(&target), request, 0, state);
        tokio::pin!(calling);
        let answer = if let Ok(answer) = tokio::time::timeout(HEDGE_DELAY, &mut calling).await {
            Ok(answer)
        } else {
            self.pool.mark_unreachable(&worker);
            tokio::time::timeout(RELEASE_CALL, calling).await
        };
        match answer {
            // One that is turned away has let go of nothing.
            Ok(Ok(status)) => status.is_success(),
            Ok(Err(error)) => {
                log::debug!("request {id}: release at {}: {error}", worker.0);
                false
            }
            Err(_) => false,
        }
    }

    /// Remembers an attempt that has ended with nothing heard of it. That its host has answered other calls meanwhile
    /// says nothing: its connection, or the way there alone, may have been silent.
    pub(super) fn note_if_it_may_arrive_late(&self, attempt: &Attempt, outcome: AttemptOutcome) {
        // A connection that its other end has broken carries nothing any more.
        if !matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        ) {
            return;
        }
        let (id, now) = (attempt.upstream_request.id.clone(), Instant::now());
        self.late_arrivals
            .change(|late| late.abandoned(&attempt.worker, id, now));
        if !self.late_arrivals.is_followed.replace(true) {
            tokio::task::spawn_local(self.clone().follow_late_arrivals());
        }
    }

    /// Asks hosts about attempts that may arrive late, for as long as there are any.
    async fn follow_late_arrivals(self) {
        let late = &self.late_arrivals;
        while !late.arrivals.borrow().is_empty() {
            let due = late.arrivals.borrow().due();
            tokio::select! {
                biased;
                () = late.changed.notified() => continue,
                () = async { tokio::time::sleep_until(due.unwrap_or_else(Instant::now)).await }, if due.is_some() => {}
            }
            let next = late.arrivals.borrow_mut().next(Instant::now());
            if let Some(round) = next {
                tokio::task::spawn_local(self.clone().release_late(round));
            }
        }
        late.is_followed.set(false);
    }

    /// Releases at one host what it may have got late.
    async fn release_late(self, round: Round) {
        let mut met = CallResult::Answered;
        for requests in round.requests.chunks(LATE_CALLS) {
            let calls = requests.iter().map(|id| self.release_at(&round.worker, id));
            for call in futures_util::future::join_all(calls).await {
                met = if met == CallResult::Answered {
                    call
                } else {
                    met
                };
            }
            if met != CallResult::Answered {
                break;
            }
        }
        let (worker, now) = (&round.worker, Instant::now());
        self.late_arrivals.change(|late| match met {
            CallResult::Answered => late.answered(worker, now),
            CallResult::Silent => late.unanswered(worker, now),
            CallResult::Gone => late.gone(worker),
        });
    }

    /// Asks one host to release a request.
    async fn release_at(&self, worker: &WorkerId, id: &str) -> CallResult {
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
            self.small_call(Some(&target), request, 0, || CallState::LateRelease),
        )
        .await
        {
            Ok(Ok(_)) => CallResult::Answered,
            Ok(Err(error)) if is_refusal(&error) => CallResult::Gone,
            Ok(Err(_)) | Err(_) => CallResult::Silent,
        }
    }
}

/// Whether a call failed since nobody listens.
fn is_refusal(error: &CallError) -> bool {
    match error {
        CallError::Connect(ConnectError::Io(error)) => {
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        _ => false,
    }
}
