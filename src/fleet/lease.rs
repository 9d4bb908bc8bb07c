//! Leases: rights that end by themselves, with rising tokens.
//!
//! Three machines. [`Table`] is what the log says of leases; it knows no time. [`Holder`] is a member's own side: it
//! asks, renews, and says with [`Holder::may_act`] whether the member may act now, by the member's own clock, counted
//! from the moment at which it sent the request. [`Watch`] is the leader's side: it counts by its own clock from the
//! moment at which it applied a grant, and asks the log to end it. Why two holders never act at once:
//! `docs/design/leases.md`.

mod guard;
mod holder;
mod rights;
mod table;
mod watch;

pub use guard::Guard;
pub use holder::{Action, Event, Holder};
pub use rights::{Cause, LeaseChange, Rights, Standing};
pub use table::{Change, Command, Grant, Outcome, Refusal, Table, Waiter, What};
pub use watch::Watch;

use crate::fleet::state::Retry;
use crate::fleet::{LeaseName, MAX_NAME_LENGTH, MemberName};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

/// What the names of life leases begin with.
pub const LIFE: &str = "life/";
/// The life lease of a member: its right to act as itself. `None` if the name is too long to have one.
pub fn life(member: &MemberName) -> Option<LeaseName> {
    LeaseName::try_from(format!("{LIFE}{member}")).ok()
}

/// The longest name of a member that can have a life lease, in bytes.
pub const MOST_MEMBER_NAME: usize = MAX_NAME_LENGTH - LIFE.len();

/// How a holder renews.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RenewalPath {
    /// By an entry of the log.
    #[default]
    Log,
    /// By a message that the leader answers; see [`crate::fleet::renewal`].
    Leader,
}

/// How leases are asked for, held and ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// For how long a lease is granted, in milliseconds. It travels with the request, so members may differ.
    pub granted_for_ms: u64,
    /// How far any member's clock may run too fast or too slow, in millionths.
    pub drift_ppm: u32,
    /// The holder stops this much earlier and the leader waits this much longer, in milliseconds: at least the time
    /// from the holder's last look at the clock to the end of its act.
    pub margin_ms: u64,
    /// A lease handed to the next in line that it does not take up within this time goes on to the one after, in
    /// milliseconds. Nobody acts on it before, so it needs no margin.
    pub offer_ms: u64,
    /// When a request without an answer is sent again.
    pub retry: Retry,
    /// How a lease that is held is renewed.
    pub renewal: RenewalPath,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            granted_for_ms: 5_000,
            drift_ppm: 1_000,
            margin_ms: 250,
            offer_ms: 1_000,
            retry: Retry::default(),
            renewal: RenewalPath::Log,
        }
    }
}

impl Settings {
    /// How long a holder may act after it sent a request, by its own clock, in microseconds.
    pub fn hold(&self) -> Micros {
        let span = self.granted_for_ms.saturating_mul(1000);
        span.saturating_sub(drift(span, self.drift_ppm))
            .saturating_sub(self.margin_ms.saturating_mul(1000))
    }

    /// How long a leader waits after it applied a grant of `granted_for_ms`, by its own clock, in microseconds.
    pub fn wait(&self, granted_for_ms: u64) -> Micros {
        let span = granted_for_ms.saturating_mul(1000);
        span.saturating_add(drift(span, self.drift_ppm))
            .saturating_add(self.margin_ms.saturating_mul(1000))
    }

    /// When a holder renews, counted from the request that its right rests on, in microseconds.
    pub fn renew(&self) -> Micros {
        self.granted_for_ms.saturating_mul(1000) / 3
    }
}

/// What a span may be off by, rounded up.
fn drift(span: Micros, ppm: u32) -> Micros {
    (span as u128 * ppm as u128)
        .div_ceil(1_000_000)
        .min(u64::MAX as u128) as u64
}
