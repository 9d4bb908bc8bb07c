//! Whom a release asks, and when: a fan-out without I/O.
//!
//! `DELETE /internal/reservations/ID` may go to any model host, and the last byte of one such call has to reach a
//! running host within the release limit. Which hosts run is known only as of the last connection to them: a zone may
//! have been cut off, or a fifth of the hosts fallen silent, in this very moment. One further host after each pause
//! would meet only as many hosts as pauses fit into the limit, all of which may be silent. So each wave asks twice as
//! many as the one before, over zones in turn ([`super::reachability::Reachability::order`]), and within four waves some fifteen
//! hosts of all zones have been asked. On an ordinary day the first host takes it and no second one hears of it.
//!
//! A call without an answer has two explanations: a host that is silent, or a process that is held up and has not looked
//! yet. Where a wave comes late, the second one holds: more hosts at once would only add to the work of a process that has
//! too much already. And where some host has answered another call since the last wave, that one is asked alone: it runs.

use crate::routing::types::WorkerId;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Before the next wave: far longer than a call takes at a host that runs, and a fifth of the platform's slack.
pub const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Before the next wave where all of one have failed already: a host that refuses is worth no waiting.
const AFTER_FAILURE: Duration = Duration::from_millis(10);
/// A wave that comes later than this past its time shows that the process was held up.
const HELD_UP: Duration = Duration::from_millis(20);
/// Hosts of a wave at the most: they have sockets and the rest of the fleet sends releases as well.
const WIDEST: usize = 8;
/// Between two rounds over all hosts at the most: a host that runs again takes it soon after.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// One release, from its order until some host has taken it.
#[derive(Debug)]
pub struct ReleaseFanout {
    asked: BTreeSet<WorkerId>,
    /// Calls of the wave that have neither failed nor been taken.
    open: usize,
    width: usize,
    due: Instant,
    pause: Duration,
    /// When the last wave was asked.
    last_wave: Option<Instant>,
    /// The next wave has been put off once, for the process was held up.
    is_put_off: bool,
}

impl ReleaseFanout {
    /// A release whose first call is due now.
    pub fn new(now: Instant) -> Self {
        ReleaseFanout {
            asked: BTreeSet::new(),
            open: 0,
            width: 1,
            due: now,
            pause: AFTER_FAILURE,
            last_wave: None,
            is_put_off: false,
        }
    }

    /// When [`ReleaseFanout::wave`] has something to do next.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// The hosts to ask now, out of all that there are, best first; `answered_since` tells whether a host has answered
    /// any call since a moment. Once all have been asked in vain, the next round begins after a pause, which grows up to
    /// a quarter of a second.
    pub fn wave(
        &mut self,
        now: Instant,
        hosts: &[WorkerId],
        answered_since: impl Fn(&WorkerId, Instant) -> bool,
    ) -> Vec<WorkerId> {
        if now < self.due {
            return Vec::new();
        }
        if self.open > 0
            && now > self.due + HELD_UP
            && !std::mem::replace(&mut self.is_put_off, true)
        {
            self.due = now + HEDGE_DELAY / 2;
            return Vec::new();
        }
        self.is_put_off = false;
        let fresh = || hosts.iter().filter(|h| !self.asked.contains(h));
        let answers = |h: &&WorkerId| self.last_wave.is_some_and(|wave| answered_since(h, wave));
        let running = fresh().find(answers).cloned();
        let wave: Vec<WorkerId> = match &running {
            Some(worker) => vec![worker.clone()],
            None => fresh().take(self.width).cloned().collect(),
        };
        if wave.is_empty() {
            (self.asked, self.width, self.open) = (BTreeSet::new(), 1, 0);
            self.due = now + self.pause;
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            return wave;
        }
        self.asked.extend(wave.iter().cloned());
        self.open += wave.len();
        if running.is_none() {
            self.width = (self.width * 2).min(WIDEST);
        }
        self.last_wave = Some(now);
        self.due = now + HEDGE_DELAY;
        wave
    }

    /// A call has failed: once all have, the next wave need not wait.
    pub fn failed(&mut self, now: Instant) {
        self.open = self.open.saturating_sub(1);
        if self.open == 0 {
            self.due = self.due.min(now + AFTER_FAILURE);
        }
    }
}

#[cfg(test)]
mod tests;
