//! Timers of the dispatcher, ordered by due time.

use crate::routing::types::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Number of deadline timers that may remain set after their requests have ended.
pub(super) const MAX_STALE_DEADLINES: usize = 1024;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Set by the routing policy.
    Routing(TimerId),
    /// Latest time for the final answer of a request, independent of the routing policy.
    AnswerDeadline(RequestId),
}

/// Timers that have not fired yet.
#[derive(Default)]
pub(super) struct TimerQueue {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
}

impl TimerQueue {
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.push(Reverse((at, timer)));
    }

    /// Due time of the next timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        if self.next_due()? > now {
            return None;
        }
        self.queue.pop().map(|Reverse((_, timer))| timer)
    }

    /// Removes the deadline timers of requests that have ended, as soon as these timers may be the majority. Clients
    /// may state deadlines of minutes, although most requests end much earlier.
    pub fn purge_deadlines(&mut self, open_count: usize, is_open: impl Fn(&RequestId) -> bool) {
        if self.queue.len() <= 2 * open_count + MAX_STALE_DEADLINES {
            return;
        }
        self.queue.retain(|Reverse((_, timer))| match timer {
            Timer::Routing(_) => true,
            Timer::AnswerDeadline(request) => is_open(request),
        });
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.queue.len()
    }
}
