//! What a router learns of the fleet as a whole, by worker role and by distance.

use super::{DecayingSum, Ewma};
use crate::routing::types::{Micros, Role};
use std::ops::{Index, IndexMut};

/// One value for each worker role.
#[derive(Default)]
pub(crate) struct PerRole<T>([T; 3]);

impl<T> Index<Role> for PerRole<T> {
    type Output = T;

    fn index(&self, role: Role) -> &T {
        &self.0[role as usize]
    }
}

impl<T> IndexMut<Role> for PerRole<T> {
    fn index_mut(&mut self, role: Role) -> &mut T {
        &mut self.0[role as usize]
    }
}

/// How far KV state moves from its prefill worker to a decode worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// Within a cell.
    SameCell,
    /// To another cell of the zone.
    SameZone,
    /// To another zone, or there is no KV state to move.
    Remote,
}

impl Distance {
    /// The next larger distance.
    pub fn farther(self) -> Distance {
        match self {
            Distance::SameCell => Distance::SameZone,
            Distance::SameZone | Distance::Remote => Distance::Remote,
        }
    }
}

/// One value for each distance.
#[derive(Default)]
pub(crate) struct PerDistance<T>([T; 3]);

impl<T> Index<Distance> for PerDistance<T> {
    type Output = T;

    fn index(&self, distance: Distance) -> &T {
        &self.0[distance as usize]
    }
}

impl<T> IndexMut<Distance> for PerDistance<T> {
    fn index_mut(&mut self, distance: Distance) -> &mut T {
        &mut self.0[distance as usize]
    }
}

/// Averages that this router has measured over all workers.
#[derive(Default)]
pub(crate) struct LearnedRates {
    /// Time that a prefill takes for each token of its work, in microseconds.
    pub prefill_us_per_token: Ewma,
    /// Time from the send to the first output token for each token of its work, in microseconds.
    pub first_token_us_per_token: PerDistance<Ewma>,
    /// The same over all distances.
    pub mean_first_token_us_per_token: Ewma,
    /// Requests that one warm worker of weight 1 completes in a microsecond.
    pub completions_per_us: PerRole<Ewma>,
    /// The median of the workers' latency factors.
    pub median_latency_factor: PerRole<f64>,
    /// Prompt tokens of a request that its prefill worker had not cached.
    pub uncached_tokens: Ewma,
    /// Prompt tokens of a request.
    pub prompt_tokens: Ewma,
}

/// Exponents of the attempts' timeouts, one for each stage: up with each timeout, down with each answer.
#[derive(Default)]
pub(crate) struct TimeoutBackoff {
    prefill: u32,
    decode: u32,
}

impl TimeoutBackoff {
    /// The exponent by which the expected time is doubled; the first timeout does not count.
    pub fn doublings(&self, is_decode: bool) -> u32 {
        if is_decode { self.decode } else { self.prefill }.saturating_sub(1)
    }

    /// An attempt was answered in time.
    pub fn decrease(&mut self, is_decode: bool) {
        let exponent = self.exponent(is_decode);
        *exponent = exponent.saturating_sub(1);
    }

    /// An attempt timed out.
    pub fn increase(&mut self, is_decode: bool, max: u32) {
        let exponent = self.exponent(is_decode);
        *exponent = (*exponent + 1).min(max);
    }

    fn exponent(&mut self, is_decode: bool) -> &mut u32 {
        if is_decode {
            &mut self.decode
        } else {
            &mut self.prefill
        }
    }
}

/// Recent timeouts of sends to decode workers, by whether the KV state had to leave its cell.
#[derive(Default)]
pub(crate) struct DecodeTimeouts {
    same_cell: DecayingSum,
    farther: DecayingSum,
}

impl DecodeTimeouts {
    /// A send over this distance has timed out.
    pub fn record(&mut self, distance: Distance, now: Micros, half_life: Micros) {
        let timeouts = if distance == Distance::SameCell {
            &mut self.same_cell
        } else {
            &mut self.farther
        };
        timeouts.add(now, half_life, 1.0);
    }

    /// Decayed number of timeouts within the cell.
    pub fn same_cell(&self, now: Micros, half_life: Micros) -> f64 {
        self.same_cell.value_at(now, half_life)
    }

    /// Decayed number of timeouts beyond the cell.
    pub fn farther(&self, now: Micros, half_life: Micros) -> f64 {
        self.farther.value_at(now, half_life)
    }
}
