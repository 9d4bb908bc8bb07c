//! The dispatcher's timers, ordered by when they are due.

use crate::routing::types::{Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Deadlines that are kept without checking whether their requests are still open.
pub(super) const MAX_STALE_DEADLINES: usize = 1024;

/// What a timer is for.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that routing has set.
    Routing(TimerId),
    /// The last moment for the final answer of a request, whatever routing does.
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

    /// When the next timer is due.
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

    /// Removes deadlines of requests that have ended, once they may be the majority. Deadlines stand for as long as clients
    /// state, minutes perhaps, though most requests end long before.
    pub fn purge_deadlines(&mut self, open: usize, is_open: impl Fn(&RequestId) -> bool) {
        if self.queue.len() <= 2 * open + MAX_STALE_DEADLINES {
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
