//! Events for the dispatcher, and the handle by which other parts send them.

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

/// An event for the dispatcher.
pub enum DispatcherEvent {
    /// A request was accepted.
    RequestArrived {
        /// What routing is told of it.
        spec: RequestSpec,
        /// What is forwarded.
        call: Rc<UpstreamRequest>,
        /// Takes the final answer.
        answer: AnswerHandle,
        /// Set when the client disconnects.
        client_disconnected: Rc<Cell<bool>>,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// The first event of a stream has arrived.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// The stream.
        stream: StreamReceiver,
    },
    /// An attempt has completed.
    AttemptCompleted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// How it completed.
        outcome: AttemptOutcome,
        /// Prompt tokens that the worker found in its prefix cache.
        cached_tokens: u64,
        /// The worker's load, if reported.
        load_report: Option<LoadReport>,
    },
    /// New requests begin under this configuration; open ones keep theirs.
    ConfigChanged(Box<RoutingConfig>),
    /// Discovery has sent an update of the endpoint list.
    EndpointsUpdated {
        /// Kind of the update.
        update: EndpointUpdate,
        /// Endpoints in it.
        endpoints: Vec<Endpoint>,
    },
    /// Whether this process may send to workers in slow start.
    SlowStart {
        /// Of two processes of one router, only one may.
        allowed: bool,
    },
    /// Asks how many listed workers routing avoids now.
    CountAvoidedWorkers(oneshot::Sender<usize>),
}

/// Sends events to the dispatcher.
#[derive(Clone)]
pub struct DispatcherHandle {
    events: mpsc::UnboundedSender<DispatcherEvent>,
    next_request: Rc<Cell<u64>>,
    /// The dispatcher's clock.
    pub clock: Clock,
}

impl DispatcherHandle {
    /// A handle, and the queue that the dispatcher reads. The queue is unbounded; the number of open requests is bounded.
    pub fn channel(clock: Clock) -> (Self, mpsc::UnboundedReceiver<DispatcherEvent>) {
        let (events, queue) = mpsc::unbounded_channel();
        let handle = DispatcherHandle {
            events,
            next_request: Rc::new(Cell::new(1)),
            clock,
        };
        (handle, queue)
    }

    /// Sends an event.
    pub fn send(&self, event: DispatcherEvent) {
        // The queue is closed only when the process ends.
        let _ = self.events.send(event);
    }

    /// Submits a request that was admitted; its number is filled in.
    pub fn submit(
        &self,
        mut spec: RequestSpec,
        call: UpstreamRequest,
        _: AdmissionPermit,
    ) -> PendingAnswer {
        let request = RequestId(self.next_request.get());
        self.next_request.set(request.0 + 1);
        spec.request = request;
        let client_disconnected = Rc::<Cell<bool>>::default();
        let (server, answer) = open(self.on_disconnect(request, client_disconnected.clone()));
        self.send(DispatcherEvent::RequestArrived {
            spec,
            call: Rc::new(call),
            answer,
            client_disconnected,
        });
        server
    }

    /// What is called when the client of a request disconnects.
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
