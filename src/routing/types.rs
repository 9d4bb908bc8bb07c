//! The public types of routing: configuration, events (inputs), actions (outputs).
//!
//! Plain data. All times are microseconds on the caller's monotonic clock.

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

/// A moment on the caller's monotonic clock, or a duration, in microseconds.
pub type Micros = u64;

/// A worker's name: the same at every router and across restarts of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub Arc<str>);

/// A request's number; a client's retry has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The index of an attempt within its request, counted from 0 in the order of the sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptIndex(pub u32);

/// A timer set by an action, handed back when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);
