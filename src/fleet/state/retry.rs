//! Exponential backoff of requests without an answer.

use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};

/// The delay stops doubling after this many attempts.
const MAX_DOUBLINGS: u32 = 16;
/// Upper limit of a configured delay: one hour, in milliseconds.
const MAX_DELAY_MS: u64 = 3_600_000;
const MICROS_PER_MILLI: Micros = 1_000;

/// When a request without an answer is sent again: exponential backoff, each delay drawn from its upper half.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Retry {
    /// The first delay, in milliseconds; each later one is twice as long.
    #[serde(rename = "first_ms")]
    pub initial_delay_ms: u64,
    /// The longest delay, in milliseconds.
    #[serde(rename = "most_ms")]
    pub max_delay_ms: u64,
}

impl Retry {
    /// The longest delay after this many earlier attempts.
    pub(super) fn delay(&self, attempts: u32) -> Micros {
        let doubled = self
            .initial_delay_ms
            .saturating_mul(1 << attempts.min(MAX_DOUBLINGS));
        doubled.min(self.max_delay_ms).clamp(1, MAX_DELAY_MS) * MICROS_PER_MILLI
    }
}

impl Default for Retry {
    fn default() -> Self {
        Retry {
            initial_delay_ms: 100,
            max_delay_ms: 1000,
        }
    }
}
