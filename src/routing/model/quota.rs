//! Tenant quotas: one token bucket per tenant, refilled at this router's share of the tenant's rate.

use crate::routing::types::{Micros, RoutingConfig, Tenant};
use std::collections::BTreeMap;

/// Minimum capacity of a bucket, in requests. Smaller bursts are random fluctuation, not excess load.
const MIN_QUOTA_BURST: f64 = 10.0;
/// Capacity of a bucket in seconds of the tenant's rate, if that is more than `MIN_QUOTA_BURST`.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket in which one token admits one request within the quota.
#[derive(Clone, Copy)]
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Takes a token. Returns false if the bucket is empty.
    fn try_take(&mut self, now: Micros) -> bool {
        let refill = self.rate_per_s * (now - self.refilled_at) as f64 / 1e6;
        let capacity = MIN_QUOTA_BURST.max(self.rate_per_s * BURST_SECONDS);
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// The token buckets of all tenants.
#[derive(Default)]
pub(crate) struct TenantQuotas(BTreeMap<String, TokenBucket>);

impl TenantQuotas {
    /// Applies the rates of a new configuration. Tenants that are still configured keep their tokens.
    pub fn update_config(&mut self, config: &RoutingConfig) {
        let bucket = |tenant: &Tenant| {
            let rate_per_s = tenant.quota_per_s / f64::from(config.routers.max(1));
            match self.0.get(&tenant.name) {
                Some(bucket) => TokenBucket {
                    rate_per_s,
                    ..*bucket
                },
                None => TokenBucket {
                    rate_per_s,
                    tokens: f64::MAX,
                    refilled_at: 0,
                },
            }
        };
        let buckets = config
            .tenants
            .iter()
            .map(|tenant| (tenant.name.clone(), bucket(tenant)));
        self.0 = buckets.collect();
    }

    /// Takes a token for a request of a tenant. Returns false if the request is over quota. Requests of
    /// tenants without a quota never are.
    pub fn try_take(&mut self, tenant: Option<&str>, now: Micros) -> bool {
        tenant
            .and_then(|name| self.0.get_mut(name))
            .is_none_or(|bucket| bucket.try_take(now))
    }

    /// This router's share of the sum of all quotas, in requests per second.
    pub fn total_rate_per_s(&self) -> f64 {
        self.0.values().map(|bucket| bucket.rate_per_s).sum::<f64>()
    }
}
