//! Requests, the outcomes of their attempts, and the reasons for which they end.

use super::{Micros, RequestId};
use std::sync::Arc;

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Its number.
    pub request: RequestId,
    /// When the client gives up.
    pub deadline: Micros,
    /// The session it belongs to.
    pub session: Option<Arc<str>>,
    /// The shared prefix of its prompt.
    pub prefix: Option<Arc<str>>,
    /// Prompt tokens of the shared prefix.
    pub prefix_tokens: u64,
    /// Prompt tokens in all.
    pub prompt_tokens: u64,
    /// Largest number of output tokens; 0: not stated.
    pub max_tokens: u64,
    /// The client's estimate of the response's length, as time at the class's inter-token objective.
    pub duration_hint: Option<Micros>,
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: Option<String>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The response reached the client.
    Served,
    /// The prompt was processed; its KV state is held at the prefill worker.
    Prefilled,
    /// The worker returned an error; may have run.
    Error,
    /// The worker has no capacity, or drains; did not run.
    Rejected,
    /// The decode worker found no KV state; did not run.
    KvStateMissing,
    /// No answer in time; may have run.
    TimedOut,
    /// The connection did not come up; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    ConnectionLost,
    /// Cancelled by the router; may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn proves_no_run(self) -> bool {
        use AttemptOutcome::{ConnectFailed, KvStateMissing, NotSent, Prefilled, Rejected};
        matches!(
            self,
            Prefilled | Rejected | KvStateMissing | ConnectFailed | NotSent
        )
    }

    /// Whether this outcome proves that an attempt at a decode worker had no effect. A decode worker is not
    /// asked for a prefill alone: if it reports one, the request may have run.
    pub fn proves_no_run_at_decode_worker(self) -> bool {
        self.proves_no_run() && self != AttemptOutcome::Prefilled
    }

    /// Whether this outcome proves that the attempt had arrived at a worker that runs: the worker has
    /// answered. That its bytes were written, or that the connection broke behind them, proves nothing.
    pub fn proves_arrival(self) -> bool {
        use AttemptOutcome::{Error, KvStateMissing, Prefilled, Rejected, Served};
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

/// Why KV state is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// No decode worker fetched it in time.
    HoldExpiring,
    /// The send to the decode worker was not answered in time, so that it may not have arrived.
    SendUnanswered,
    /// An attempt has ended that may have left KV state, or did not find it.
    AttemptEnded,
    /// The request has ended.
    RequestFinished,
    /// The router that had the request has failed, and another one has taken it over.
    RouterFailed,
}

/// Why a request ends without a worker's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline has passed, or is too near for another attempt.
    DeadlineExceeded,
    /// All its attempts have been made.
    AttemptsExhausted,
    /// It may have run, and no worker may run it again.
    RetryNotAllowed,
    /// It can't be answered before its client gives up.
    DeadlineUnreachable,
    /// There is no capacity now, and it can't meet its objective or its tenant is over quota.
    NoCapacity,
}
