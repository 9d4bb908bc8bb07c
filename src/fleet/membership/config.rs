//! Configuration of the membership protocol.

use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1000;
/// Longest configurable protocol period: one hour.
const MAX_PERIOD_MS: u64 = 3_600_000;
const MAX_MEMBERS: usize = 65_536;
const MIN_DATAGRAM_BYTES: usize = 512;
const MAX_DATAGRAM_BYTES: usize = 65_000;
/// Upper bounds of computed durations, so that adding them to a clock reading cannot overflow.
const MAX_INTERVAL: Micros = 1 << 50;
const MAX_SHORTEST_SUSPICION: Micros = 1 << 56;
const MAX_LONGEST_SUSPICION: Micros = 1 << 57;

/// Configuration of the membership protocol. Durations are in milliseconds. The serde names are operators' settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The protocol period: one member is probed in each.
    pub period_ms: u64,
    /// How long to wait for a direct ack before indirect pings are sent. Must be below half a period.
    pub probe_timeout_ms: u64,
    /// Number of members asked to ping an unresponsive target (`k` in the SWIM paper).
    #[serde(rename = "indirect")]
    pub indirect_probes: usize,
    /// The shortest suspicion timeout is this many periods, times the decimal logarithm of the number of members
    /// (Lifeguard's alpha).
    pub suspicion_multiplier: u32,
    /// The longest suspicion timeout, as a multiple of the shortest (Lifeguard's beta). An unconfirmed suspicion lasts
    /// that long.
    #[serde(rename = "suspicion_longest")]
    pub suspicion_max_multiplier: u32,
    /// Number of independent confirmations that bring a suspicion to the shortest timeout (Lifeguard's `k`).
    pub confirmations: u32,
    /// An update is sent this many times, times the decimal logarithm of the number of members, rounded up.
    pub retransmit_multiplier: u32,
    /// Interval of push-pull with a random live member; longer above 32 members. 0 turns it off.
    pub push_pull_ms: u64,
    /// Interval of pings to a dead or left member, or to a seed that is not known to be alive. The ping carries the
    /// receiver's status here, so that it can refute and partitions heal. 0 turns it off.
    pub reconnect_ms: u64,
    /// Most pings in a period that verify indirect updates.
    #[serde(rename = "verify")]
    pub max_verification_pings: u32,
    /// How long dead and left members stay in the table.
    #[serde(rename = "forget_ms")]
    pub reap_after_ms: u64,
    /// Upper bound of the local health multiplier (Lifeguard's `S`).
    #[serde(rename = "most_health")]
    pub max_health_multiplier: u32,
    /// Most members in the table, including the local one.
    #[serde(rename = "most_members")]
    pub max_members: usize,
    /// Most bytes of a message that is sent as a datagram.
    #[serde(rename = "most_bytes")]
    pub max_datagram_bytes: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            period_ms: 500,
            probe_timeout_ms: 150,
            indirect_probes: 3,
            suspicion_multiplier: 4,
            suspicion_max_multiplier: 6,
            confirmations: 3,
            retransmit_multiplier: 4,
            push_pull_ms: 30_000,
            reconnect_ms: 2_000,
            max_verification_pings: 16,
            reap_after_ms: 86_400_000,
            max_health_multiplier: 8,
            max_members: 1024,
            max_datagram_bytes: 1200,
        }
    }
}

/// A configuration that cannot work. The text names the setting by its serde name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// `period_ms` is 0.
    #[error("period_ms must be above 0")]
    ZeroPeriod,
    /// `period_ms` is longer than an hour.
    #[error("period_ms must be at most an hour")]
    PeriodTooLong,
    /// `probe_timeout_ms` is 0.
    #[error("probe_timeout_ms must be above 0")]
    ZeroProbeTimeout,
    /// `probe_timeout_ms` leaves no time for indirect pings.
    #[error("probe_timeout_ms must be below half of period_ms")]
    ProbeTimeoutTooLong,
    /// `suspicion_multiplier` is 0.
    #[error("suspicion_multiplier must be above 0")]
    ZeroSuspicionMultiplier,
    /// `suspicion_longest` is 0.
    #[error("suspicion_longest must be above 0")]
    ZeroSuspicionMaxMultiplier,
    /// `retransmit_multiplier` is 0.
    #[error("retransmit_multiplier must be above 0")]
    ZeroRetransmitMultiplier,
    /// `most_members` is below 2.
    #[error("most_members must be at least 2")]
    TooFewMembers,
    /// `most_members` is above the supported number.
    #[error("most_members must be at most 65536")]
    TooManyMembers,
    /// `most_bytes` is below the smallest useful datagram.
    #[error("most_bytes must be at least 512")]
    DatagramTooSmall,
    /// `most_bytes` does not fit a UDP datagram.
    #[error("most_bytes must be at most 65000")]
    DatagramTooLarge,
}

/// The range in which a suspicion timeout lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionTimeouts {
    /// Timeout once enough members have confirmed the suspicion.
    pub shortest: Micros,
    /// Timeout of an unconfirmed suspicion.
    pub longest: Micros,
}

impl Config {
    /// Checks that the values can work. [`super::Membership`] itself accepts any values and uses the nearest valid ones.
    ///
    /// # Errors
    /// The first setting that cannot work.
    pub fn validate(&self) -> Result<(), ConfigError> {
        reject_if(self.period_ms == 0, ConfigError::ZeroPeriod)?;
        reject_if(self.period_ms > MAX_PERIOD_MS, ConfigError::PeriodTooLong)?;
        reject_if(self.probe_timeout_ms == 0, ConfigError::ZeroProbeTimeout)?;
        reject_if(
            self.probe_timeout_ms * 2 >= self.period_ms,
            ConfigError::ProbeTimeoutTooLong,
        )?;
        reject_if(
            self.suspicion_multiplier == 0,
            ConfigError::ZeroSuspicionMultiplier,
        )?;
        reject_if(
            self.suspicion_max_multiplier == 0,
            ConfigError::ZeroSuspicionMaxMultiplier,
        )?;
        reject_if(
            self.retransmit_multiplier == 0,
            ConfigError::ZeroRetransmitMultiplier,
        )?;
        reject_if(self.max_members < 2, ConfigError::TooFewMembers)?;
        reject_if(self.max_members > MAX_MEMBERS, ConfigError::TooManyMembers)?;
        reject_if(
            self.max_datagram_bytes < MIN_DATAGRAM_BYTES,
            ConfigError::DatagramTooSmall,
        )?;
        reject_if(
            self.max_datagram_bytes > MAX_DATAGRAM_BYTES,
            ConfigError::DatagramTooLarge,
        )
    }

    /// The range of suspicion timeouts in a fleet of `members` (Lifeguard, "Local Health Aware Suspicion").
    pub fn suspicion_timeouts(&self, members: usize) -> SuspicionTimeouts {
        let log_members = (members.max(10) as f64).log10();
        let multiplier = f64::from(self.suspicion_multiplier.max(1));
        let shortest = (multiplier * log_members * self.period() as f64) as Micros;
        let shortest = shortest.min(MAX_SHORTEST_SUSPICION);
        let longest = shortest.saturating_mul(u64::from(self.suspicion_max_multiplier.max(1)));
        SuspicionTimeouts {
            shortest,
            longest: longest.min(MAX_LONGEST_SUSPICION),
        }
    }

    /// How often an update is sent in a fleet of `members`.
    pub fn retransmits(&self, members: usize) -> u32 {
        let log_members = ((members + 1) as f64).log10().ceil() as u32;
        self.retransmit_multiplier
            .saturating_mul(log_members.max(1))
    }

    pub(super) fn period(&self) -> Micros {
        interval(self.period_ms)
    }

    pub(super) fn probe_timeout(&self) -> Micros {
        interval(self.probe_timeout_ms).min((self.period() / 2).max(1))
    }

    /// `None` if push-pull is turned off.
    pub(super) fn push_pull_interval(&self) -> Option<Micros> {
        (self.push_pull_ms > 0).then(|| interval(self.push_pull_ms))
    }

    /// `None` if reconnecting is turned off.
    pub(super) fn reconnect_interval(&self) -> Option<Micros> {
        (self.reconnect_ms > 0).then(|| interval(self.reconnect_ms))
    }

    pub(super) fn reap_after(&self) -> Micros {
        interval(self.reap_after_ms)
    }
}

fn reject_if(violated: bool, error: ConfigError) -> Result<(), ConfigError> {
    if violated { Err(error) } else { Ok(()) }
}

fn interval(millis: u64) -> Micros {
    millis
        .saturating_mul(MICROS_PER_MILLI)
        .clamp(1, MAX_INTERVAL)
}
