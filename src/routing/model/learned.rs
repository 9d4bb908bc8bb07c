//! Estimates that a router makes of all workers, by role and by distance.

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

/// Distance over which KV state is transferred from its prefill worker to a decode worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Distance {
    /// Both workers are in the same cell.
    SameCell,
    /// The workers are in different cells of one zone.
    SameZone,
    /// The workers are in different zones, or there is no KV state to transfer.
    Remote,
}

impl Distance {
    /// The next larger distance; `Remote` if there is none.
    pub fn next_larger(self) -> Distance {
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

/// Averages over all workers, measured by this router.
#[derive(Default)]
pub(crate) struct LearnedRates {
    /// Duration of a prefill per token of its work, in microseconds.
    pub prefill_us_per_token: Ewma,
    /// Time from the send to the first output token per token of the attempt's work, in microseconds.
    pub first_token_us_per_token: PerDistance<Ewma>,
    /// `first_token_us_per_token`, averaged over all distances.
    pub mean_first_token_us_per_token: Ewma,
    /// Requests per microsecond that a warm worker of weight 1 completes.
    pub completions_per_us: PerRole<Ewma>,
    /// Median latency factor of the workers of each role.
    pub median_latency_factor: PerRole<f64>,
    /// Prompt tokens per request that the prefill worker had not cached.
    pub uncached_tokens: Ewma,
    /// Moving average of the prompt tokens per request, over all requests that arrive.
    pub prompt_tokens: Ewma,
}

/// Exponential backoff of attempt timeouts, one exponent per stage. Each timeout increases the exponent, each
/// answer decreases it.
#[derive(Default)]
pub(crate) struct TimeoutBackoff {
    prefill: u32,
    decode: u32,
}

impl TimeoutBackoff {
    /// How often the expected duration is doubled. The first timeout does not count.
    pub fn doublings(&self, is_decode: bool) -> u32 {
        if is_decode { self.decode } else { self.prefill }.saturating_sub(1)
    }

    /// Records that an attempt was answered in time.
    pub fn decrease(&mut self, is_decode: bool) {
        let exponent = self.exponent(is_decode);
        *exponent = exponent.saturating_sub(1);
    }

    /// Records that an attempt timed out; the exponent does not exceed `max`.
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

/// Recent timeouts of sends to decode workers, counted separately for KV transfers within a cell and beyond
/// it.
#[derive(Default)]
pub(crate) struct DecodeTimeouts {
    same_cell: DecayingSum,
    other_cells: DecayingSum,
}

impl DecodeTimeouts {
    /// Records the timeout of a send over this distance.
    pub fn record(&mut self, distance: Distance, now: Micros, half_life: Micros) {
        let timeouts = if distance == Distance::SameCell {
            &mut self.same_cell
        } else {
            &mut self.other_cells
        };
        timeouts.add(now, half_life, 1.0);
    }

    /// Decayed number of timeouts with a KV transfer within the cell.
    pub fn same_cell(&self, now: Micros, half_life: Micros) -> f64 {
        self.same_cell.value_at(now, half_life)
    }

    /// Decayed number of timeouts with a KV transfer to another cell or zone.
    pub fn other_cells(&self, now: Micros, half_life: Micros) -> f64 {
        self.other_cells.value_at(now, half_life)
    }
}
