//! A request router in front of a language model that separate prefill and decode workers serve.
//!
//! All routing decisions are made by [`Policy`], which the simulator's adapter ([`wire`]) and the router program share. In
//! the router program [`dispatch`] drives the policy, the server and the client side of [`net`] are connected only by an
//! [`exchange`] for each request, and [`front`] implements the protocols that clients use.
//!
//! [`Policy`] is a state machine without I/O: the caller passes it events with their time, and performs the actions that
//! it returns. The same events always give the same actions. Settings, events and actions are in [`routing::types`].
//!
//! ```
//! use whinhaven::Policy;
//! use whinhaven::routing::types::*;
//!
//! let kind = |name: &str, role| WorkerKind { name: name.into(), role, memory_tokens: Some(200_000) };
//! let config = RoutingConfig {
//!     routers: 1,
//!     kinds: vec![kind("prefill", Role::Prefill), kind("decode", Role::Decode)],
//!     classes: vec![RequestClass {
//!         name: "chat".into(),
//!         ttft_objective: 1_000_000,
//!         ..RequestClass::default()
//!     }],
//!     max_attempts: 4,
//!     kv_state_hold_limit: 500_000,
//!     connect_timeout: 250_000,
//!     ..RoutingConfig::default()
//! };
//! let mut policy = Policy::new(config, 42);
//! let mut actions = Vec::new();
//! let endpoint = |name: &str, kind: &str| Endpoint {
//!     worker: WorkerId(name.into()),
//!     zone: "here".into(),
//!     kind: kind.into(),
//!     cell: 0,
//!     status: Status::Ready,
//!     weight: 1.0,
//!     started: None,
//! };
//! let endpoints = vec![endpoint("a:1", "prefill"), endpoint("b:1", "decode")];
//! policy.handle(0, Event::EndpointsUpdated { update: EndpointUpdate::Full, endpoints }, &mut actions);
//!
//! let spec = RequestSpec {
//!     request: RequestId(1),
//!     deadline: 4_000_000,
//!     session: None,
//!     prefix: None,
//!     prefix_tokens: 0,
//!     prompt_tokens: 900,
//!     max_tokens: 200,
//!     duration_hint: None,
//!     class: "chat".into(),
//!     tenant: None,
//! };
//! policy.handle(1_000, Event::RequestArrived(spec), &mut actions);
//! let sent_to_prefill_worker = actions
//!     .iter()
//!     .any(|action| matches!(action, Action::Send { worker, .. } if &*worker.0 == "a:1"));
//! assert!(sent_to_prefill_worker);
//! ```

pub mod admin;
pub mod config;
pub mod counters;
pub mod dispatch;
pub mod exchange;
pub mod fleet;
pub mod front;
pub mod haproxy;
pub mod live_settings;
pub mod memory;
pub mod net;
pub mod routing;
pub mod shutdown;
pub mod storage;
pub mod wire;

pub use routing::policy::Policy;
