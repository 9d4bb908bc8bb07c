//! Routing configuration: worker kinds, request classes, tenants, limits.

use super::Micros;

/// Stages that a kind of worker serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Processes prompts and holds the resulting KV state in its memory.
    Prefill,
    /// Fetches KV state from a prefill worker and streams the response.
    Decode,
    /// Serves both stages: reads prompts and streams responses.
    #[default]
    Mixed,
}

/// A kind of worker, such as a hardware type.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKind {
    /// Name by which endpoint lists refer to the kind.
    pub name: String,
    /// Stages that workers of this kind serve.
    pub role: Role,
    /// KV memory of a worker in tokens; `None` if the deployment does not state it.
    pub memory_tokens: Option<u64>,
}

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be retried without restriction.
    #[default]
    Idempotent,
    /// Carries a key by which the workers of the given scope drop duplicates during the class's deduplication
    /// window.
    WithKey(DeduplicationScope),
    /// Must never run more than once.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a retry is safe at any worker and at any time.
    pub fn is_harmless_to_repeat(self) -> bool {
        matches!(
            self,
            Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
        )
    }
}

/// Set of workers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers of the deployment.
    All,
    /// Workers in the same zone; a key is unknown in other zones.
    Zone,
    /// Workers in the same cell; a key is unknown in other cells.
    Cell,
}

/// A class of requests with common objectives and retry rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Name by which requests refer to the class.
    pub name: String,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// How long workers remember an idempotency key, counted from the first send that may have run.
    pub deduplication_window: Micros,
    /// Time-to-first-token objective without the part that depends on the prompt's length.
    pub ttft_objective: Micros,
    /// Added to the time-to-first-token objective for each 1,000 prompt tokens.
    pub ttft_objective_per_1000_tokens: Micros,
    /// Objective for the time between two output tokens.
    pub inter_token_objective: Micros,
    /// How long a client keeps trying, including all its retries.
    pub client_timeout: Micros,
    /// Priority of a request relative to other queued requests.
    pub priority_weight: f64,
    /// Fraction of the weight that a response after the objective is still worth.
    pub late_value_share: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name by which requests refer to the tenant.
    pub name: String,
    /// Quota in requests per second, summed over all routers.
    pub quota_per_s: f64,
}

/// How workers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Workers report no load at all, neither in responses nor in results of health checks.
    #[default]
    None,
    /// Workers report load only in results of health checks.
    HealthChecks,
    /// Workers report load in responses and in results of health checks.
    Responses,
}

/// Routing configuration. Durations are in microseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Index of this router among all routers, from 0; `None` if not configured.
    pub index: Option<u32>,
    /// Number of routers that serve this deployment.
    pub routers: u32,
    /// Zone in which this router runs.
    pub zone: String,
    /// Kinds of workers in this deployment.
    pub kinds: Vec<WorkerKind>,
    /// Request classes. Requests of other classes are treated as non-idempotent and get no weight.
    pub classes: Vec<RequestClass>,
    /// Tenants that have a quota; may be empty.
    pub tenants: Vec<Tenant>,
    /// Factor on the class's weight for a request whose tenant is over quota.
    pub over_quota_weight: f64,
    /// How workers report their load.
    pub load_reporting: LoadReporting,
    /// Whether discovery sends endpoint updates only to routers that have subscribed.
    pub endpoints_require_subscription: bool,
    /// Time after which every router is expected to know of an endpoint change.
    pub endpoint_update_limit: Micros,
    /// Whether the router may send health checks to workers.
    pub health_checks_allowed: bool,
    /// Whether routers may send messages to each other.
    pub gossip_allowed: bool,
    /// Whether the router may cancel attempts.
    pub cancellation_allowed: bool,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Whether decode workers prefill a prompt themselves if there is no KV state to fetch.
    pub decode_workers_prefill: bool,
    /// Whether rejections tell the client when to retry.
    pub advises_retry_after: bool,
    /// Longest retry delay that clients respect.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// Minimum time between two batches of events.
    pub batch_interval: Micros,
    /// Maximum time for which KV state may be held while no attempt is in flight.
    pub kv_state_hold_limit: Micros,
    /// Time after the client's deadline within which a final response still counts.
    pub response_grace: Micros,
    /// Time after a worker was listed as draining or gone within which new requests may still reach it.
    pub drain_grace: Micros,
    /// Minimum fraction of its full capacity that a worker has when it starts.
    pub slow_start_initial_capacity: f64,
    /// Duration of slow start, counted from the start of a worker.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails if it is sent more than this multiple of its current capacity within
    /// `overload_window`.
    pub overload_factor: f64,
    /// Window over which the load on a worker in slow start is measured.
    pub overload_window: Micros,
}

impl RoutingConfig {
    /// Whether the load that other routers cause at a worker is unknown. Reports in health checks don't
    /// count: each of many routers would have to send checks.
    pub fn load_unknown(&self) -> bool {
        self.load_reporting != LoadReporting::Responses
    }
}
