//! Durations of leases and tolerances of clocks.

use crate::fleet::state::Retry;
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

pub(super) const MICROS_PER_MILLI: Micros = 1_000;
/// A holder renews this many times in a lease's duration.
const RENEWALS_PER_DURATION: Micros = 3;

/// How a holder renews.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RenewalPath {
    /// By an entry of the Raft log.
    #[default]
    Log,
    /// By a message that the leader answers; see [`crate::fleet::renewal`].
    Leader,
}

/// Durations of leases and tolerances of clocks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Duration of a lease, in milliseconds. It is sent with the request, so members may differ.
    #[serde(rename = "granted_for_ms")]
    pub duration_ms: u64,
    /// Maximum error of any member's clock rate, in millionths.
    pub drift_ppm: u32,
    /// Safety margin in milliseconds: the holder stops this much earlier, and the leader waits this much longer. At
    /// least the time from the holder's check of the lease to the end of the protected operation.
    pub margin_ms: u64,
    /// Time within which a waiting member must accept a lease that was offered to it, in milliseconds; then it is
    /// offered to the next one. An offer isn't valid before it is accepted, so this needs no margin.
    pub offer_ms: u64,
    /// When a request without an answer is sent again.
    pub retry: Retry,
    /// How held leases are renewed.
    pub renewal: RenewalPath,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            duration_ms: 5_000,
            drift_ppm: 1_000,
            margin_ms: 250,
            offer_ms: 1_000,
            retry: Retry::default(),
            renewal: RenewalPath::Log,
        }
    }
}

impl Config {
    /// How long a lease is valid for its holder after it sent the request, by the holder's clock.
    pub fn holder_duration(&self) -> Micros {
        let duration = self.duration_ms.saturating_mul(MICROS_PER_MILLI);
        duration
            .saturating_sub(max_drift(duration, self.drift_ppm))
            .saturating_sub(self.margin_ms.saturating_mul(MICROS_PER_MILLI))
    }

    /// How long the leader waits after it applied a grant of `duration_ms` before it ends it, by the leader's clock.
    pub fn expiry_duration(&self, duration_ms: u64) -> Micros {
        let duration = duration_ms.saturating_mul(MICROS_PER_MILLI);
        duration
            .saturating_add(max_drift(duration, self.drift_ppm))
            .saturating_add(self.margin_ms.saturating_mul(MICROS_PER_MILLI))
    }

    /// Time from the request that a holder's lease is based on to the next renewal.
    pub fn renewal_interval(&self) -> Micros {
        self.duration_ms.saturating_mul(MICROS_PER_MILLI) / RENEWALS_PER_DURATION
    }
}

/// Maximum error of a duration that is measured with a clock off by up to `drift_ppm`, rounded up.
fn max_drift(duration: Micros, drift_ppm: u32) -> Micros {
    let drift = (u128::from(duration) * u128::from(drift_ppm)).div_ceil(1_000_000);
    Micros::try_from(drift).unwrap_or(Micros::MAX)
}
