//! State on which routing decisions are based. Contains data and estimators only: decisions and their tuning
//! constants are in `src/routing/policy.rs`.

mod classes;
mod learned;
mod prefix_table;
mod quota;
mod request;
mod statistics;
mod worker;

pub(crate) use classes::{class_index, merge_classes};
pub(crate) use learned::{DecodeTimeouts, Distance, LearnedRates, PerRole, TimeoutBackoff};
pub(crate) use prefix_table::PrefixTable;
pub(crate) use quota::TenantQuotas;
pub(crate) use request::{Attempt, Phase, Request};
pub(crate) use statistics::{DecayingSum, Ewma, RecentSends, decay, median};
pub(crate) use worker::{CapacityKey, LocalDecodeShare, Worker};

use crate::routing::types::{LoadReport, RequestId, RequestSpec};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Removes values that are negative, infinite or NaN from a load report.
pub(crate) fn without_invalid_values(report: LoadReport) -> LoadReport {
    let valid = |value: Option<f64>| value.filter(|value| value.is_finite() && *value >= 0.0);
    LoadReport {
        memory_share: valid(report.memory_share),
        queued_tokens: valid(report.queued_tokens),
        ..report
    }
}

/// Removes all items that are not preferred, unless no item is preferred.
pub(crate) fn retain_preferred<T>(items: &mut Vec<T>, is_preferred: impl Fn(&T) -> bool) {
    if items.iter().any(&is_preferred) {
        items.retain(is_preferred);
    }
}

/// Maps a hash to a number between 0 and 1, both exclusive.
pub(crate) fn hash_to_unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The key by which a request is hashed to workers. Routers agree on it: with a prefix it is derived from the
/// prefix and from which of the prefix's `owner_count` owners serves the session; without a prefix from the
/// session. This router's seed stands in for a missing session.
pub(crate) fn affinity_key(spec: &RequestSpec, router_seed: u64, owner_count: u64) -> u64 {
    let RequestId(id) = spec.request;
    let session = spec
        .session
        .as_ref()
        .map_or(id ^ router_seed, |session| xxh3_64(session.as_bytes()));
    match &spec.prefix {
        Some(prefix) if owner_count > 1 => {
            xxh3_64_with_seed(prefix.as_bytes(), session % owner_count)
        }
        Some(prefix) => xxh3_64(prefix.as_bytes()),
        None => session,
    }
}

#[cfg(test)]
mod tests;
