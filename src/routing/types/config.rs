//! The configuration of routing: worker kinds, request classes, tenants, limits.

use super::Micros;

/// The stages that a kind of worker serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts; holds the resulting KV state in its memory.
    Prefill,
    /// Fetches KV state and streams the response.
    Decode,
    /// Both stages.
    #[default]
    Mixed,
}

/// A kind of worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKind {
    /// Its name in endpoint lists.
    pub name: String,
    /// The stages that it serves.
    pub role: Role,
    /// Its KV memory in tokens, where the deployment states it.
    pub memory_tokens: Option<u64>,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be retried at will.
    #[default]
    Idempotent,
    /// Carries a key by which the workers of one scope drop duplicates for a time.
    WithKey(DeduplicationScope),
    /// Must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a retry does no harm, wherever and whenever it arrives.
    pub fn is_harmless_to_repeat(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
        )
    }
}

/// The workers that share their record of idempotency keys.
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
    /// Whether a request may run twice.
    pub idempotency: Idempotency,
    /// How long workers remember an idempotency key, from the first send that may have run.
    pub deduplication_window: Micros,
    /// Time-to-first-token objective, without the part that grows with the prompt.
    pub ttft_objective: Micros,
    /// Added to the time-to-first-token objective for each 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: Micros,
    /// Objective for the time between output tokens.
    pub inter_token_objective: Micros,
    /// How long a client keeps trying, over all its retries.
    pub client_timeout: Micros,
    /// Weight of a request against others that wait.
    pub priority_weight: f64,
    /// Share of the weight that a late response is still worth.
    pub late_value_share: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within the quota, over all routers.
    pub quota_per_s: f64,
}

/// How workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Never.
    #[default]
    None,
    /// With results of health checks only.
    HealthChecks,
    /// With responses and results of health checks.
    Responses,
}

/// The configuration of routing. Durations are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// This router's index among `routers`, from 0; `None`: not configured.
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
    /// Weight of a request over its tenant's quota, as a factor on its class's weight.
    pub over_quota_weight: f64,
    /// How workers report their load.
    pub load_reporting: LoadReporting,
    /// Whether endpoint updates come only after a subscription.
    pub endpoints_require_subscription: bool,
    /// A router counts as informed of an endpoint change this long after it.
    pub endpoint_update_limit: Micros,
    /// Whether the router may send health checks.
    pub health_checks_allowed: bool,
    /// Whether routers may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Whether decode workers prefill a prompt themselves when there is no KV state to fetch.
    pub decode_workers_prefill: bool,
    /// Whether rejections carry retry advice.
    pub advises_retry_after: bool,
    /// The longest retry advice that a client follows.
    pub max_retry_after: Micros,
    /// Attempts allowed for each request.
    pub max_attempts: u32,
    /// Timeout of a connection attempt.
    pub connect_timeout: Micros,
    /// Shortest time between two batches of events.
    pub batch_interval: Micros,
    /// Longest time that KV state may be held while no attempt is in flight.
    pub kv_state_hold_limit: Micros,
    /// A final response still counts this long after the client's deadline.
    pub response_grace: Micros,
    /// Nothing new may reach a worker later than this after it was listed as draining or gone.
    pub drain_grace: Micros,
    /// Fraction of its capacity that a worker has at its start, at least.
    pub slow_start_initial_capacity: f64,
    /// Duration of slow start, from a worker's start.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails when it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this window.
    pub overload_window: Micros,
}

impl RoutingConfig {
    /// Whether the load that other routers cause is unknown. Health checks don't help: of many routers,
    /// each would send them.
    pub fn load_unknown(&self) -> bool {
        self.load_reporting != LoadReporting::Responses
    }
}
