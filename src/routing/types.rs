//! What goes into the decision module and what comes out: settings, events and actions.
//!
//! Everything here is plain data in the words of the domain. Times are microseconds on the caller's clock.

pub use crate::routing::policy::call_permit::{
    CallDenial, CallPermit, CallState, ReleasePermit, permit_call,
};
pub use crate::routing::policy::send_permit::{SendDenial, SendPermit, WritePermit, WriteState};
use std::sync::Arc;

/// Microseconds: a moment on the caller's monotonic clock, or a length of time.
pub type Micros = u64;

/// A worker's name, the same at every router and across restarts of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// A request's number; a client's retry carries a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The index of an attempt within its request, counted from 0 in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

/// A timer set by the module, handed back when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// What a kind of worker does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts; the read state waits in its memory.
    Prefill,
    /// Takes a read state over and streams the answer.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}

/// A kind of worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKind {
    /// Its name in worker lists.
    pub name: String,
    /// What it does.
    pub role: Role,
    /// Its memory in tokens, where the deployment states it.
    pub memory_tokens: Option<u64>,
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated at will.
    #[default]
    Idempotent,
    /// Repeats are dropped by the workers of one group for a time.
    WithKey(DeduplicationScope),
    /// Must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a repeat does no harm, wherever and whenever it comes.
    pub fn is_harmless_to_repeat(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
        )
    }
}

/// The workers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// How long workers remember a keyed request, from the first send that may have run.
    pub deduplication_window: Micros,
    /// First token wanted within this, before the share that grows with the prompt.
    pub ttft_objective: Micros,
    /// Added to the aim for each 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: Micros,
    /// Wanted time between tokens.
    pub inter_token_objective: Micros,
    /// A client's patience over all its tries.
    pub client_timeout: Micros,
    /// Worth of a request, per request or per unit of work.
    pub priority_weight: f64,
    /// Share of the worth that a late answer still earns.
    pub late_value_share: f64,
}

/// A tenant and its share of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its share, over all routers.
    pub quota_per_s: f64,
}

/// How workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Never.
    #[default]
    None,
    /// With probe results only.
    HealthChecks,
    /// With outcomes and probe results.
    Responses,
}

/// What a deployment states at start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// This router's number among `routers`, from 0; `None`: the settings state none.
    pub index: Option<u32>,
    /// How many routers serve this deployment.
    pub routers: u32,
    /// This router's zone.
    pub zone: String,
    /// The kinds of worker.
    pub kinds: Vec<WorkerKind>,
    /// The classes of request.
    pub classes: Vec<RequestClass>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// How load is reported.
    pub load_reporting: LoadReporting,
    /// Whether list changes come only after a subscription.
    pub endpoints_on_request: bool,
    /// A router without subscription counts as told of list changes this long after they happened.
    pub endpoint_update_limit: Micros,
    /// Whether probes are allowed.
    pub health_checks_allowed: bool,
    /// Whether routers may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be dropped.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be out at once.
    pub hedging_allowed: bool,
    /// Whether a writer reads a prompt itself when there is no state to take.
    pub decode_workers_prefill: bool,
    /// Whether clients hear retry advice.
    pub advises_retry_after: bool,
    /// The longest advice that a client follows.
    pub max_retry_after: Micros,
    /// Attempts allowed for each request.
    pub max_attempts: u32,
    /// A connection that is not made by then has failed.
    pub connect_timeout: Micros,
    /// The least time between two batches of events.
    pub batch_interval: Micros,
    /// A state or place held while no attempt is out must be taken or let go within this.
    pub kv_state_hold_limit: Micros,
    /// A final answer still counts this long after the client's deadline.
    pub response_grace: Micros,
    /// Nothing new may reach a draining or gone worker later than this after the news.
    pub drain_grace: Micros,
    /// A worker starts with at least this part of its capacity.
    pub slow_start_initial_capacity: f64,
    /// A worker is warm this long after its start.
    pub slow_start_duration: Micros,
    /// A cold worker falls over when sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...over this long.
    pub overload_window: Micros,
}

impl RoutingConfig {
    /// Whether nothing tells this router of the load that the others make: it asks nobody, since of many routers
    /// each would.
    pub fn load_unknown(&self) -> bool {
        self.load_reporting != LoadReporting::Responses
    }
}

/// Whether a worker may be sent work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// In service.
    Ready,
    /// Completes what it has; nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One worker in a list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: String,
    /// Its kind, a name of [`RoutingConfig::kinds`].
    pub kind: String,
    /// Its cell: workers near each other.
    pub cell: u64,
    /// Whether it may be sent work.
    pub status: Status,
    /// Its size against others of its role.
    pub weight: f64,
    /// When its process last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// How a list of workers came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as an earlier life of this router last had it; may be stale.
    Restored,
    /// A call or the subscription failed; the list stands.
    Failed,
}

/// A request as it came in.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its number.
    pub request: RequestId,
    /// When the client abandons this try.
    pub deadline: Micros,
    /// The session it belongs to.
    pub session: Option<Arc<str>>,
    /// The shared text with which it begins.
    pub prefix: Option<Arc<str>>,
    /// Prompt tokens that belong to the shared text.
    pub prefix_tokens: u64,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have; 0 when unstated.
    pub max_tokens: u64,
    /// A guess at the answer's length, as time at the class's token aim.
    pub hint: Option<Micros>,
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer reached the client.
    Served,
    /// Prompt read; the state waits at the reader.
    Prefilled,
    /// The worker returned an error; may have run.
    Error,
    /// No room, or draining; did not run.
    Rejected,
    /// Nothing there to take over; did not run.
    KvStateMissing,
    /// No reply in time; may have run.
    TimedOut,
    /// Never reached the worker.
    ConnectFailed,
    /// The connection broke; may have run.
    ConnectionLost,
    /// Dropped by the router; may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_no_run(self) -> bool {
        use AttemptOutcome::*;
        matches!(
            self,
            Prefilled | Rejected | KvStateMissing | ConnectFailed | NotSent
        )
    }

    /// Whether this outcome proves that an attempt at a writer had no effect. A writer has no prompts to read: one that
    /// says that it did is not believed.
    pub fn proves_no_run_at_decode_worker(self) -> bool {
        self.proves_no_run() && self != AttemptOutcome::Prefilled
    }

    /// Whether this outcome proves that the attempt had arrived at a worker that runs: the worker has answered. That
    /// its bytes were written, or that the connection broke behind them, proves nothing.
    pub fn proves_arrival(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Served | Prefilled | Error | Rejected | KvStateMissing)
    }

    /// Whether the attempt may have arrived: its last byte was written.
    pub fn may_have_arrived(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// Why what is held for a request is let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// No writer took it in time.
    HoldExpiring,
    /// The send that is to take it has not been answered in time, so that it may not have arrived.
    SendUnanswered,
    /// An attempt has ended that may have left something, or did not find it.
    AttemptEnded,
    /// The request is over.
    RequestFinished,
    /// The conductor that had the request has died, and another one has adopted it.
    RouterFailed,
}

/// Why a request ends without an answer of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline has come, or is too near for anything more.
    DeadlineExceeded,
    /// All its attempts are spent.
    AttemptsExhausted,
    /// It may have run, and no worker may repeat it.
    RetryNotAllowed,
    /// It can't begin before its client leaves.
    DeadlineUnreachable,
    /// It can't be in time, or its tenant asks for more than its share, and there is no room now.
    NoCapacity,
}

/// A worker's report of its load; values that are not reported are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests it holds, waiting states included.
    pub active_requests: Option<f64>,
    /// Requests that wait in its queue.
    pub queued_requests: Option<f64>,
    /// Share of its memory that is held.
    pub memory_share: Option<f64>,
    /// Prompt tokens that wait to be read or fetched.
    pub queued_tokens: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCompleted {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptIndex,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since its send.
    pub elapsed: Micros,
    /// Whether the request is finished.
    pub request_finished: bool,
    /// Prompt tokens found kept, with `Read` and `Served`.
    pub cached_tokens: u64,
    /// The worker's load, if told.
    pub report: Option<LoadReport>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the worker list.
    EndpointsUpdated {
        /// How it came.
        kind: EndpointUpdate,
        /// Its entries.
        entries: Vec<Endpoint>,
    },
    /// A client asks.
    RequestArrived(RequestSpec),
    /// An answer has begun to stream.
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
    /// The answer to a hold of a place.
    ReservationResult {
        /// The request.
        request: RequestId,
        /// The worker asked.
        worker: WorkerId,
        /// Whether the place is held.
        held: bool,
    },
    /// The client has left.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A timer is due.
    Timer(TimerId),
    /// A probe's result.
    HealthCheckCompleted {
        /// The worker.
        worker: WorkerId,
        /// `Served` or what went wrong.
        outcome: AttemptOutcome,
        /// The worker's load, if told.
        report: Option<LoadReport>,
    },
    /// Whether this process may send to workers in slow start: of two processes of one router, one may. It may not until
    /// it is told so.
    SlowStart {
        /// It may, a pause from now on.
        allowed: bool,
    },
    /// A message of another router.
    GossipReceived {
        /// The sender's index.
        from: u32,
        /// Its bytes.
        payload: Vec<u8>,
    },
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's time-out; `None`: the client's deadline.
        timeout: Option<Micros>,
        /// What the send must keep to.
        permit: SendPermit,
    },
    /// A send that was decided is not permitted: nothing to do, but to tell the operators.
    SendDenied {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Why.
        refusal: SendDenial,
    },
    /// Refuse: trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
        /// When the client should come back.
        retry_after: Option<Micros>,
    },
    /// Fail: no promise about the effect.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptIndex,
    },
    /// Let go of every state and place held for the request.
    Release {
        /// The request.
        request: RequestId,
        /// Why.
        reason: ReleaseReason,
    },
    /// Hand a timer back at that moment.
    Timer {
        /// When.
        at: Micros,
        /// Which.
        timer: TimerId,
    },
    /// Subscribe to list changes.
    Subscribe,
}
