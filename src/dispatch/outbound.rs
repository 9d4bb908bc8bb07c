//! What the dispatcher asks of the upstream side.

use super::ReleaseProgress;
use crate::exchange::UpstreamRequest;
use crate::routing::types::{AttemptIndex, Micros, ReleasePermit, RequestId, SendPermit, WorkerId};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One attempt of a request, for the upstream side to carry out.
pub struct Attempt {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt within the request.
    pub attempt: AttemptIndex,
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// The request as it is forwarded.
    pub upstream_request: Rc<UpstreamRequest>,
    /// Attempts allowed for the request, by the configuration under which it began.
    pub max_attempts: u32,
    /// When to stop waiting for the first event.
    pub first_event_deadline: Micros,
    /// Conditions of the send; nothing is sent without a permit.
    pub permit: SendPermit,
    /// A release to wait for: if it arrived while a prefill is out, it could take the KV state that the prefill
    /// leaves. It goes on whatever becomes of this attempt, which may never arrive.
    pub wait_for_release: Option<Rc<ReleaseProgress>>,
    /// Resolves, or its sender is dropped, when the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
    /// Set as soon as the client has disconnected, before the dispatcher is notified, and also where attempts may not be
    /// cancelled: nothing is sent for a client that has gone.
    pub client_disconnected: Rc<Cell<bool>>,
}

/// The upstream side. No method blocks; results come back as
/// [`DispatcherEvent`](super::DispatcherEvent)s.
pub trait Outbound {
    /// Sends a request. Answered by exactly one
    /// [`DispatcherEvent::AttemptCompleted`](super::DispatcherEvent::AttemptCompleted).
    fn send(&self, attempt: Attempt);
    /// Releases everything that is held for a request, at any model host, until `progress` is stopped.
    fn release(
        &self,
        call: Rc<UpstreamRequest>,
        permit: ReleasePermit,
        progress: Rc<ReleaseProgress>,
    );
    /// Subscribes to endpoint changes at discovery.
    fn subscribe(&self);
}
