//! When model hosts started, on this process's own clock.
//!
//! Lists give a start as Unix time, and the wall clock of this machine may be stepped, by an hour or more, at any moment.
//! So each start is turned once, when it is first told, into a moment of the monotonic clock, and stays there. The age
//! that the wall clock gives is believed as far as it can be so: nothing starts in the future, and what is news to a
//! process that follows the list has started since the last message, or at most as long before as lists come late. What
//! can't be so shows that the clock was stepped, and the host is taken to have started just now: that costs some of what
//! it could do, where a start too early costs the host.
//!
//! Nothing in the lists that a process gets first tells a long age from a step forward. There the wall clock is compared
//! with the `Date` that discovery's answers carry (RFC 9110): where the two differ, discovery's clock, carried on by the
//! monotonic one, is the one by which lists are read. Where no answer carries it, a process that starts with its clock an
//! hour ahead takes hosts in slow start for warm ones.

use crate::routing::types::{Micros, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

/// Lists are told this late at the most.
const LATE: Micros = 15_000_000;
/// A clock that differs by less from discovery's is right: `Date` counts whole seconds, and answers take their time.
const IN_STEP: Micros = 3_000_000;
/// Starts that are remembered; the oldest is forgotten first.
const MOST: usize = 16_384;

/// The wall clock and this process's own, read together.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Microseconds since 1970.
    pub wall: Micros,
    /// The dispatcher's monotonic clock.
    pub now: Micros,
}

impl ClockReading {
    /// Reads the wall clock beside a moment of the dispatcher's clock.
    pub fn at(now: Micros) -> Self {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        ClockReading {
            wall: since.as_micros() as Micros,
            now,
        }
    }

    /// What the wall clock of this reading shows at another moment.
    fn wall_at(self, now: Micros) -> Micros {
        (self.wall + now).saturating_sub(self.now)
    }
}

/// The start of one life of a host, as it was first judged.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// As the list gives it: microseconds since 1970.
    born: Micros,
    /// On the dispatcher's clock.
    at: Micros,
}

/// All starts that were told.
#[derive(Debug, Default)]
pub struct HostStarts {
    starts: BTreeMap<WorkerId, Start>,
    order: VecDeque<WorkerId>,
    last_told: Option<Micros>,
    /// Discovery's clock as it was last read, where this machine's differs from it.
    discovery_clock: Option<ClockReading>,
}

impl HostStarts {
    /// When a host that the list says was born at `born` started. `is_change` where the message tells what has changed
    /// since the one before.
    pub fn judge(
        &mut self,
        worker: &WorkerId,
        born: Micros,
        reading: ClockReading,
        is_change: bool,
    ) -> Micros {
        if let Some(known) = self.starts.get(worker).filter(|known| known.born == born) {
            return known.at;
        }
        let wall = self
            .discovery_clock
            .map_or(reading.wall, |clock| clock.wall_at(reading.now));
        let age = wall.saturating_sub(born);
        let since_told = self
            .last_told
            .filter(|_| is_change)
            .map(|told| reading.now.saturating_sub(told));
        let most = since_told.map_or(Micros::MAX, |since| since.saturating_add(LATE));
        let age = if age > most { 0 } else { age };
        let at = reading.now.saturating_sub(age);
        if self
            .starts
            .insert(worker.clone(), Start { born, at })
            .is_none()
        {
            self.order.push_back(worker.clone());
        }
        if self.order.len() > MOST
            && let Some(oldest) = self.order.pop_front()
        {
            self.starts.remove(&oldest);
        }
        at
    }

    /// An answer of discovery carries this date. Whether starts have to be told again: they were read by a clock that
    /// differs from the one that counts now.
    pub fn note_discovery_date(&mut self, date: Micros, reading: ClockReading) -> bool {
        let differs = reading.wall.abs_diff(date) > IN_STEP;
        let clock = differs.then_some(ClockReading {
            wall: date,
            now: reading.now,
        });
        let before = std::mem::replace(&mut self.discovery_clock, clock);
        let is_news = before.is_none() && differs;
        if is_news {
            self.starts.clear();
            self.order.clear();
        }
        is_news
    }

    /// A message of the list was taken in.
    pub fn told(&mut self, now: Micros) {
        self.last_told = Some(now);
    }
}

#[cfg(test)]
mod tests;
