//! Leases with fencing tokens: exclusive rights that expire by themselves.
//!
//! - [`Table`] is the replicated state: what the Raft log says of leases. It knows no time.
//! - [`Holder`] is a member's side: it acquires and renews leases, and [`Holder::valid_token`] tells whether one is
//!   valid now, by the member's own clock, counted from the moment at which the request was sent.
//! - [`ExpiryTracker`] is the leader's side: by its own clock, counted from the moment at which it applied a grant, it
//!   proposes to end leases that were not renewed.
//! - [`FencingGuard`] is the resource's side: it rejects tokens lower than one already seen.
//!
//! Why two members never hold a valid lease at once is shown in `docs/design/leases.md`.

mod expiry;
mod guard;
mod holder;
mod table;
mod view;

pub use expiry::ExpiryTracker;
pub use guard::FencingGuard;
pub use holder::{Action, Event, Holder};
pub use table::{
    Command, Grant, LeaseChange, LeaseChangeKind, LeaseRejection, Outcome, Table, Waiter,
};
pub use view::{LeaseStatus, LeaseStatusChange, LeaseView, StatusChangeCause};

use crate::fleet::state::Retry;
use crate::fleet::{LeaseName, MAX_NAME_LENGTH, MemberName};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: Micros = 1_000;
/// A holder renews this many times in a lease's duration.
const RENEWALS_PER_DURATION: Micros = 3;

/// Prefix of the names of session leases.
pub const SESSION_LEASE_PREFIX: &str = "life/";

/// Maximum length of a member's name that fits into a session lease's name, in bytes.
pub const MAX_MEMBER_NAME_LENGTH: usize = MAX_NAME_LENGTH - SESSION_LEASE_PREFIX.len();

/// The session lease of a member: its right to act under its name, on which its other leases depend. `None` if the
/// member's name is longer than [`MAX_MEMBER_NAME_LENGTH`].
pub fn session_lease(member: &MemberName) -> Option<LeaseName> {
    LeaseName::try_from(format!("{SESSION_LEASE_PREFIX}{member}")).ok()
}

fn is_session_lease(name: &LeaseName) -> bool {
    name.as_str().starts_with(SESSION_LEASE_PREFIX)
}

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
