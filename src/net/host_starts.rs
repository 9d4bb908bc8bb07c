//! Start times of model hosts, converted to this process's monotonic clock.
//!
//! Lists give start times as Unix time, and this machine's wall clock may be stepped, by an hour or more, at any time.
//! So each start time is converted to the monotonic clock once, when it is first received, and then stays fixed. The
//! age that results from the wall clock is checked for plausibility: no host starts in the future, and a host that is
//! new to a process that watches the list has started since the last message, or before it by at most the delay of
//! lists. An implausible age shows that the clock was stepped, and the host is assumed to have started just now. That
//! wastes some of its capacity during slow start, while a start time that is too early overloads the host.
//!
//! In the first lists that a process receives, a long age cannot be distinguished from a forward step of the clock. For
//! that reason the wall clock is compared with the `Date` header of discovery's responses (RFC 9110). If the two
//! differ, start times are read by discovery's clock, extrapolated by the monotonic clock. If no response has the
//! header, a process that starts with its clock an hour ahead treats hosts in slow start as warm.

use crate::routing::types::{Micros, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum delay of a list update, in microseconds.
const MAX_LIST_DELAY: Micros = 15_000_000;
/// Difference from discovery's clock, in microseconds, up to which this machine's clock counts as correct: `Date` has a
/// resolution of one second, and responses are delayed.
const MAX_CLOCK_DIFFERENCE: Micros = 3_000_000;
/// Maximum number of start times kept; the oldest is removed first.
const MAX_STARTS: usize = 16_384;

/// Simultaneous readings of a wall clock and of the dispatcher's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// The wall clock: microseconds since the Unix epoch.
    pub wall: Micros,
    /// The dispatcher's monotonic clock, in microseconds.
    pub now: Micros,
}

impl ClockReading {
    /// Reads this machine's wall clock. `now` is the current time of the dispatcher's clock.
    pub fn at(now: Micros) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        ClockReading {
            wall: since_epoch.as_micros() as Micros,
            now,
        }
    }

    /// Extrapolates the wall clock to another time of the dispatcher's clock.
    fn wall_at(self, now: Micros) -> Micros {
        (self.wall + now).saturating_sub(self.now)
    }
}

/// The start time of one incarnation of a host, as first converted.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// As given by the list: microseconds since the Unix epoch.
    listed_start: Micros,
    /// By the dispatcher's clock, in microseconds.
    local_start: Micros,
}

/// The start times received so far.
#[derive(Debug, Default)]
pub struct HostStarts {
    starts: BTreeMap<WorkerId, KnownStart>,
    insertion_order: VecDeque<WorkerId>,
    last_message_at: Option<Micros>,
    /// The last reading of discovery's clock; `None` while this machine's clock agrees with it.
    discovery_clock: Option<ClockReading>,
}

impl HostStarts {
    /// Returns the start time of a host by the dispatcher's clock. `listed_start` is its start time as given by the
    /// list, in microseconds since the Unix epoch; `is_change` states whether the message contains only changes since
    /// the previous one.
    pub fn local_start(
        &mut self,
        worker: &WorkerId,
        listed_start: Micros,
        reading: ClockReading,
        is_change: bool,
    ) -> Micros {
        if let Some(known_start) = self
            .starts
            .get(worker)
            .filter(|known_start| known_start.listed_start == listed_start)
        {
            return known_start.local_start;
        }
        let wall = self
            .discovery_clock
            .map_or(reading.wall, |discovery_clock| {
                discovery_clock.wall_at(reading.now)
            });
        let age = wall.saturating_sub(listed_start);
        let since_last_message = self
            .last_message_at
            .filter(|_| is_change)
            .map(|last_message_at| reading.now.saturating_sub(last_message_at));
        let max_age = since_last_message.map_or(Micros::MAX, |since_message| {
            since_message.saturating_add(MAX_LIST_DELAY)
        });
        let age = if age > max_age { 0 } else { age };
        let local_start = reading.now.saturating_sub(age);
        if self
            .starts
            .insert(
                worker.clone(),
                KnownStart {
                    listed_start,
                    local_start,
                },
            )
            .is_none()
        {
            self.insertion_order.push_back(worker.clone());
        }
        if self.insertion_order.len() > MAX_STARTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.starts.remove(&oldest);
        }
        local_start
    }

    /// Takes the date of a response of discovery, in microseconds since the Unix epoch. Returns whether the full list
    /// has to be fetched again, because start times were converted by this machine's clock and it has turned out to be
    /// wrong.
    pub fn note_discovery_date(&mut self, date: Micros, reading: ClockReading) -> bool {
        let is_different = reading.wall.abs_diff(date) > MAX_CLOCK_DIFFERENCE;
        let discovery_clock = is_different.then_some(ClockReading {
            wall: date,
            now: reading.now,
        });
        let previous = std::mem::replace(&mut self.discovery_clock, discovery_clock);
        let has_changed = previous.is_none() && is_different;
        if has_changed {
            self.starts.clear();
            self.insertion_order.clear();
        }
        has_changed
    }

    /// Records that a message of discovery was applied at `now`, by the dispatcher's clock in microseconds.
    pub fn note_message(&mut self, now: Micros) {
        self.last_message_at = Some(now);
    }
}

#[cfg(test)]
mod tests;
