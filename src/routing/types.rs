//! Public types of routing: configuration, events (inputs) and actions (outputs).
//!
//! Plain data without behaviour. All times are microseconds on the caller's monotonic clock.

mod action;
mod config;
mod endpoint;
mod event;
mod request;

pub use action::Action;
pub use config::{
    DeduplicationScope, Idempotency, LoadReporting, RequestClass, Role, RoutingConfig, Tenant,
    WorkerKind,
};
pub use endpoint::{Endpoint, EndpointUpdate, Status};
pub use event::{AttemptCompleted, Event, LoadReport};
pub use request::{AttemptOutcome, EndReason, ReleaseReason, RequestSpec};

pub use crate::routing::policy::call_permit::{
    CallDenial, CallPermit, CallState, ReleasePermit, permit_call,
};
pub use crate::routing::policy::send_permit::{SendDenial, SendPermit, WritePermit, WriteState};
use std::sync::Arc;

/// A time on the caller's monotonic clock, or a duration; both in microseconds.
pub type Micros = u64;

/// Name of a worker, identical at every router and stable across restarts of the worker's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// Number of a request at this router. A client's retry is a new request with a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Index of an attempt within its request, counted from 0 in send order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

/// Identifies a timer: set by [`Action::Timer`], returned in [`Event::Timer`] when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
