//! Events of the dispatcher, and the handle through which other modules send them.

use super::Clock;
use crate::exchange::{AnswerHandle, PendingAnswer, StreamReceiver, UpstreamRequest, open};
use crate::routing::types::{
    AttemptIndex, AttemptOutcome, Endpoint, EndpointUpdate, LoadReport, RequestId, RequestSpec,
    RoutingConfig,
};
use crate::shutdown::AdmissionPermit;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// An input of the dispatcher.
pub enum DispatcherEvent {
    /// A request was accepted from a client and is to be routed.
    RequestArrived {
        /// Description of the request for the routing policy.
        spec: RequestSpec,
        /// Content of the request that is forwarded to workers.
        upstream_request: Rc<UpstreamRequest>,
        /// Handle for the final answer.
        answer: AnswerHandle,
        /// Set when the client disconnects.
        client_disconnected: Rc<Cell<bool>>,
    },
    /// The client of this request has disconnected.
    ClientDisconnected(RequestId),
    /// The first event of a stream has arrived.
    StreamStarted {
        /// Request whose response has started.
        request: RequestId,
        /// Attempt that streams the response.
        attempt: AttemptIndex,
        /// Receives the frames of the stream.
        stream: StreamReceiver,
    },
    /// An attempt of a request has ended, successfully or not.
    AttemptCompleted {
        /// Request to which the attempt belongs.
        request: RequestId,
        /// Index within the request of the attempt that has completed.
        attempt: AttemptIndex,
        /// How the attempt ended, with the kind of failure if it failed.
        outcome: AttemptOutcome,
        /// Prompt tokens that the worker found in its prefix cache.
        cached_tokens: u64,
        /// Load report that came with the response, if any.
        load_report: Option<LoadReport>,
    },
    /// The configuration has changed. It applies to new requests; open ones keep the values under which they were
    /// accepted.
    ConfigChanged(Box<RoutingConfig>),
    /// Discovery has sent an update of the endpoint list.
    EndpointsUpdated {
        /// Whether the update is complete, incremental, restored or failed.
        update: EndpointUpdate,
        /// Endpoints contained in the update.
        endpoints: Vec<Endpoint>,
    },
    /// Whether this process may send to workers in slow start. Of two processes of one router only one may.
    SlowStart {
        /// If true, sends are allowed after a pause of one slow start window.
        allowed: bool,
    },
    /// Requests the number of listed workers that the policy currently avoids.
    CountAvoidedWorkers(oneshot::Sender<usize>),
}

/// Sends events to the dispatcher.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::UnboundedSender<DispatcherEvent>,
    next_request: Rc<Cell<u64>>,
    /// Clock by which the dispatcher sets and compares deadlines.
    pub clock: Clock,
}

impl DispatcherHandle {
    /// Creates a handle and the queue from which the dispatcher reads. The queue is unbounded, because the number of
    /// open requests is bounded.
    pub fn channel(clock: Clock) -> (Self, mpsc::UnboundedReceiver<DispatcherEvent>) {
        let (events, queue) = mpsc::unbounded_channel();
        let handle = DispatcherHandle {
            events,
            next_request: Rc::new(Cell::new(1)),
            clock,
        };
        (handle, queue)
    }

    /// Sends an event to the dispatcher.
    pub fn send(&self, event: DispatcherEvent) {
        // Fails only when the process is exiting, which closes the queue.
        let _ = self.events.send(event);
    }

    /// Submits an admitted request. Assigns its number; the one in `spec` is ignored.
    pub fn submit(
        &self,
        mut spec: RequestSpec,
        upstream_request: UpstreamRequest,
        _: AdmissionPermit,
    ) -> PendingAnswer {
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        spec.request = request;
        let client_disconnected = Rc::<Cell<bool>>::default();
        let (pending_answer, answer) =
            open(self.on_disconnect(request, client_disconnected.clone()));
        self.send(DispatcherEvent::RequestArrived {
            spec,
            upstream_request: Rc::new(upstream_request),
            answer,
            client_disconnected,
        });
        pending_answer
    }

    /// Creates the callback that is called when the client of a request disconnects.
    fn on_disconnect(
        &self,
        request: RequestId,
        client_disconnected: Rc<Cell<bool>>,
    ) -> Rc<dyn Fn()> {
        let events = self.events.clone();
        Rc::new(move || {
            client_disconnected.set(true);
            let _ = events.send(DispatcherEvent::ClientDisconnected(request));
        })
    }
}
