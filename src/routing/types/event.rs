//! Events: the inputs of the routing state machine.

use super::{
    AttemptIndex, AttemptOutcome, Endpoint, EndpointUpdate, Micros, RequestId, RequestSpec,
    TimerId, WorkerId,
};

/// A worker's report of its load; values that are not reported are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it has, those with KV state held included.
    pub active_requests: Option<f64>,
    /// Requests in its queue.
    pub queued_requests: Option<f64>,
    /// Share of its memory in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Prompt tokens queued for prefill or fetch, cached ones included.
    pub queued_tokens: Option<f64>,
}

/// An attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompleted {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// Time since its send.
    pub elapsed: Micros,
    /// Whether the whole request has ended.
    pub request_finished: bool,
    /// Prompt tokens found in the prefix cache, with `Prefilled` and `Served`.
    pub cached_tokens: u64,
    /// The worker's load, if reported.
    pub report: Option<LoadReport>,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointsUpdated {
        /// Its kind.
        update: EndpointUpdate,
        /// The endpoints listed.
        endpoints: Vec<Endpoint>,
    },
    /// A client has sent a request.
    RequestArrived(RequestSpec),
    /// The first output token of a response has come.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
        /// Time since its send.
        elapsed: Micros,
    },
    /// An attempt has ended.
    AttemptCompleted(AttemptCompleted),
    /// The answer to a reservation of capacity. Only the simulator's wire brings it about; it is ignored.
    ReservationResult {
        /// The request.
        request: RequestId,
        /// The worker asked.
        worker: WorkerId,
        /// Whether the capacity is reserved.
        held: bool,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer has expired.
    Timer(TimerId),
    /// The result of a health check. Only the simulator's wire brings it about.
    HealthCheckCompleted {
        /// The worker.
        worker: WorkerId,
        /// `Served` or what went wrong.
        outcome: AttemptOutcome,
        /// The worker's load, if reported.
        report: Option<LoadReport>,
    },
    /// Whether this process may send to workers in slow start: of two processes of one router, one may. Not
    /// allowed until this event says so.
    SlowStart {
        /// It may, after a pause of one slow start window.
        allowed: bool,
    },
    /// A message of another router. Only the simulator's wire brings it about; it is ignored.
    GossipReceived {
        /// The sender's index.
        from: u32,
        /// Its bytes.
        payload: Vec<u8>,
    },
}
