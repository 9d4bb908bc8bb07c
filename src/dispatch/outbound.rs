//! Interface between the dispatcher and the upstream side, which talks to model hosts.

use super::ReleaseProgress;
use crate::exchange::UpstreamRequest;
use crate::routing::types::{AttemptIndex, Micros, ReleasePermit, RequestId, SendPermit, WorkerId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One attempt of a request, to be sent by the upstream side.
pub struct Attempt {
    /// Number of the request of which this is an attempt.
    pub request: RequestId,
    /// Index of the attempt within the request.
    pub attempt: AttemptIndex,
    /// Worker to which the attempt is sent.
    pub worker: WorkerId,
    /// Content of the request that is forwarded to the worker.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Maximum number of attempts by the configuration under which the request was accepted.
    pub max_attempts: u32,
    /// Time at which the attempt times out if no event of its response has arrived.
    pub first_event_deadline: Micros,
    /// Permission to send, with its time limits.
    pub permit: SendPermit,
    /// Release that must end before the attempt is sent, if any. If the release arrived during a prefill, it could
    /// release the KV state of that prefill. The release continues regardless of this attempt, which may never arrive.
    pub wait_for_release: Option<Rc<ReleaseProgress>>,
    /// Completes when the attempt is cancelled, by a message or because its sender is dropped.
    pub cancelled: oneshot::Receiver<()>,
    /// Set as soon as the client has disconnected, before the dispatcher is notified. It is set even if attempts may
    /// not be cancelled, so that nothing is sent for a client that has disconnected.
    pub client_disconnected: Rc<Cell<bool>>,
}

/// Sends attempts and releases to model hosts. No method blocks; results return as
/// [`DispatcherEvent`](super::DispatcherEvent)s.
pub trait Outbound {
    /// Sends an attempt. Results in exactly one
    /// [`DispatcherEvent::AttemptCompleted`](super::DispatcherEvent::AttemptCompleted).
    fn send(&self, attempt: Attempt);
    /// Releases all KV state that model hosts hold for a request. Tries hosts until one has accepted the release or
    /// `progress` is stopped.
    fn release(
        &self,
        request: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        progress: Rc<ReleaseProgress>,
    );
    /// Subscribes to endpoint changes at discovery.
    fn subscribe(&self);
}
