//! Fan-out of a release: decides, without I/O, which model hosts a release is sent to, and when.
//!
//! `DELETE /internal/reservations/ID` may go to any model host, and the last byte of one such call has to reach a
//! running host within the release limit. Which hosts run is known only as of the last connection to them: a zone may
//! just have been partitioned off, or a fifth of the hosts may have stopped responding. With one further host after
//! each delay, only as many hosts would be tried as delays fit into the limit, and none of those may respond. So each
//! wave of calls is twice as wide as the one before and alternates between zones
//! ([`super::reachability::Reachability::order`]): four waves reach about fifteen hosts over all zones. Normally the
//! first host accepts the release and no other is called.
//!
//! A missing response has two explanations: the host does not respond, or this process has stalled and has not read the
//! response yet. If a wave is late, the process has stalled, and calling more hosts would only add to its load; so the
//! wave is deferred once. If a host has answered any call since the last wave, it is known to run, and the next wave
//! consists of that host only.

use crate::routing::types::WorkerId;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Delay between two waves: far longer than a call to a running host takes, and a fifth of the slack that the platform
/// allows.
pub const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Delay before the next wave if all open calls have failed: there is no response left to wait for.
const DELAY_AFTER_FAILURE: Duration = Duration::from_millis(10);
/// A wave that is later than this shows that the process has stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);
/// Maximum number of hosts in a wave. It limits the sockets used, and other routers send releases to the same hosts.
const MAX_WAVE_WIDTH: usize = 8;
/// Maximum pause between two rounds over all hosts: short enough that a host that recovers gets the release soon.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(250);

/// The fan-out of one release.
#[derive(Debug)]
pub struct ReleaseFanout {
    /// Hosts called in the current round.
    tried: BTreeSet<WorkerId>,
    /// Calls that have neither failed nor succeeded.
    open_calls: usize,
    /// Number of hosts in the next wave.
    width: usize,
    next_wave_at: Instant,
    /// Pause before the next round.
    round_pause: Duration,
    last_wave_at: Option<Instant>,
    /// Whether the next wave has been deferred because the process had stalled.
    is_deferred: bool,
}

impl ReleaseFanout {
    /// Starts the fan-out of a release. The first wave is due at `now`.
    pub fn new(now: Instant) -> Self {
        ReleaseFanout {
            tried: BTreeSet::new(),
            open_calls: 0,
            width: 1,
            next_wave_at: now,
            round_pause: DELAY_AFTER_FAILURE,
            last_wave_at: None,
            is_deferred: false,
        }
    }

    /// When [`ReleaseFanout::next_wave`] has to be called next.
    pub fn next_wave_at(&self) -> Instant {
        self.next_wave_at
    }

    /// Returns the hosts to call now; empty if the next wave is not due or is deferred. `hosts` are all candidates,
    /// best first; `answered_since` returns whether a host has answered any call after the given time. When all hosts
    /// have been tried, the next round begins after a pause that doubles up to a quarter of a second.
    pub fn next_wave(
        &mut self,
        now: Instant,
        hosts: &[WorkerId],
        answered_since: impl Fn(&WorkerId, Instant) -> bool,
    ) -> Vec<WorkerId> {
        if now < self.next_wave_at {
            return Vec::new();
        }
        if self.open_calls > 0
            && now > self.next_wave_at + STALL_THRESHOLD
            && !std::mem::replace(&mut self.is_deferred, true)
        {
            self.next_wave_at = now + HEDGE_DELAY / 2;
            return Vec::new();
        }
        self.is_deferred = false;
        let untried = || hosts.iter().filter(|host| !self.tried.contains(host));
        let has_answered = |host: &&WorkerId| {
            self.last_wave_at
                .is_some_and(|last_wave_at| answered_since(host, last_wave_at))
        };
        let responsive = untried().find(has_answered).cloned();
        let next_wave: Vec<WorkerId> = match &responsive {
            Some(worker) => vec![worker.clone()],
            None => untried().take(self.width).cloned().collect(),
        };
        if next_wave.is_empty() {
            (self.tried, self.width, self.open_calls) = (BTreeSet::new(), 1, 0);
            self.next_wave_at = now + self.round_pause;
            self.round_pause = (self.round_pause * 2).min(MAX_ROUND_PAUSE);
            return next_wave;
        }
        self.tried.extend(next_wave.iter().cloned());
        self.open_calls += next_wave.len();
        if responsive.is_none() {
            self.width = (self.width * 2).min(MAX_WAVE_WIDTH);
        }
        self.last_wave_at = Some(now);
        self.next_wave_at = now + HEDGE_DELAY;
        next_wave
    }

    /// Records that a call has failed. When no call is open any more, the next wave is brought forward.
    pub fn note_failure(&mut self, now: Instant) {
        self.open_calls = self.open_calls.saturating_sub(1);
        if self.open_calls == 0 {
            self.next_wave_at = self.next_wave_at.min(now + DELAY_AFTER_FAILURE);
        }
    }
}

#[cfg(test)]
mod tests;
