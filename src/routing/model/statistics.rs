//! Estimators over time: decaying sums, moving averages, and a window of recent sends.

use crate::routing::types::Micros;
use std::collections::VecDeque;

/// The fraction that exponential decay leaves at `now` of a value recorded at `recorded_at`.
pub(crate) fn decay(now: Micros, recorded_at: Micros, half_life: Micros) -> f64 {
    0.5f64.powf(now.saturating_sub(recorded_at) as f64 / half_life as f64)
}

/// An exponentially decaying sum that is never negative.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    value: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// The sum, decayed to `now`.
    pub fn value_at(&self, now: Micros, half_life: Micros) -> f64 {
        self.value * decay(now, self.updated_at, half_life)
    }

    /// Adds `amount`, which may be negative.
    pub fn add(&mut self, now: Micros, half_life: Micros, amount: f64) {
        *self = DecayingSum {
            value: (self.value_at(now, half_life) + amount).max(0.0),
            updated_at: now,
        };
    }

    /// Time of the latest addition.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }
}

/// An exponentially weighted moving average that starts as the arithmetic mean of its first samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    value: f64,
    samples: f64,
}

impl Ewma {
    /// An average that starts as if `samples` samples of `value` had been added.
    pub fn from_prior(value: f64, samples: f64) -> Self {
        Ewma { value, samples }
    }

    /// Adds a sample with `weight`, or with weight 1/n as the n-th sample while that is larger.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.value += (sample - self.value) * weight.max(1.0 / self.samples);
    }

    /// The average, or `default` if there are no samples.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.samples > 0.0 {
            self.value
        } else {
            default
        }
    }
}

/// Times of recent sends, oldest first.
#[derive(Default)]
pub(crate) struct RecentSends(VecDeque<Micros>);

impl RecentSends {
    /// Records a send and removes those older than `retention`.
    pub fn push(&mut self, now: Micros, retention: Micros) {
        self.0.retain(|at| at.saturating_add(retention) >= now);
        self.0.push_back(now);
    }

    /// The number of sends within the window that ends now, including both ends.
    pub fn count_within(&self, now: Micros, window: Micros) -> usize {
        self.0
            .iter()
            .rev()
            .take_while(|at| at.saturating_add(window) >= now)
            .count()
    }
}

/// The median (of an even number of values, the upper one), or 1 if there are no values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    if values.is_empty() {
        return 1.0;
    }
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
