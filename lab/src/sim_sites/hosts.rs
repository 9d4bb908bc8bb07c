//! Hosts that queue, turn away, and fall over when they are sent more than they bear.

use std::collections::VecDeque;

/// Microseconds.
pub(super) type Micros = u64;

/// A cold host does this part of its work at first...
const COLD_FROM: f64 = 0.3;
/// ...and all of it after this long.
const COLD: Micros = 9_000_000;
/// Sent more than this multiple of what it can do now...
const FALL_MULTIPLE: f64 = 2.5;
/// ...over this long, it falls over...
const FALL: Micros = 3_000_000;
/// ...and is down for as long as this.
const DOWN: Micros = 15_000_000;
/// Requests that wait at most.
const MOST_WAITING: usize = 40;

/// What a host says to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Said {
    /// It is served from now on, and done then.
    Until(Micros),
    /// It waits.
    Waits,
    /// No room; it did not run.
    Full,
    /// Nothing is there.
    Silent,
    /// It fell over at this.
    Fell,
}

/// A host.
#[derive(Clone, Debug)]
pub(super) struct Host {
    pub site: usize,
    pub reads: bool,
    /// Counted up with each start: what was there before is gone.
    pub life: u32,
    pub up: bool,
    pub started: Option<Micros>,
    /// Tokens a second when warm.
    pub can: f64,
    pub slots: usize,
    pub memory: f64,
    pub held: f64,
    pub running: usize,
    pub waiting: VecDeque<u32>,
    busy_until: Micros,
    waits: VecDeque<Micros>,
    sent: VecDeque<(Micros, f64)>,
    sent_sum: f64,
    pub fell: u32,
}

impl Host {
    pub fn new(site: usize, reads: bool, can: f64, slots: usize, memory: f64) -> Self {
        Host {
            site,
            reads,
            life: 0,
            up: true,
            started: None,
            can,
            slots,
            memory,
            held: 0.0,
            running: 0,
            waiting: VecDeque::new(),
            busy_until: 0,
            waits: VecDeque::new(),
            sent: VecDeque::new(),
            sent_sum: 0.0,
            fell: 0,
        }
    }

    /// The part of its capacity that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else {
            return 1.0;
        };
        (COLD_FROM + (1.0 - COLD_FROM) * now.saturating_sub(started) as f64 / COLD as f64).min(1.0)
    }

    /// It is gone with all that it holds.
    pub fn stop(&mut self) {
        self.up = false;
        self.life += 1;
        (self.held, self.running, self.busy_until, self.sent_sum) = (0.0, 0, 0, 0.0);
        self.waiting.clear();
        self.waits.clear();
        self.sent.clear();
    }

    /// It is there again, cold.
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.started = Some(now);
    }

    /// How full it looks, for a choice between two.
    pub fn fullness(&self, now: Micros) -> f64 {
        if self.reads {
            self.busy_until.saturating_sub(now) as f64
        } else {
            (self.running + self.waiting.len()) as f64 / self.slots as f64
        }
    }

    /// The part of it that is at work.
    pub fn load(&self, now: Micros) -> f64 {
        if !self.up {
            0.0
        } else if self.reads {
            (self.sent_sum / (self.can * FALL as f64 / 1e6)).min(3.0)
        } else {
            (self.running + self.waiting.len()) as f64
                / self.slots as f64
                / self.warmth(now).max(0.01)
        }
    }

    /// Counts what it is sent; true if that makes it fall. It is down for [`DOWN`] then.
    fn overfilled(&mut self, now: Micros, tokens: f64) -> bool {
        self.sent.push_back((now, tokens));
        self.sent_sum += tokens;
        while self.sent.front().is_some_and(|(at, _)| at + FALL <= now) {
            self.sent_sum -= self.sent.pop_front().map_or(0.0, |(_, tokens)| tokens);
        }
        let bears = self.can * self.warmth(now) * FALL as f64 / 1e6 * FALL_MULTIPLE;
        if self.sent_sum > bears {
            self.fell += 1;
            self.stop();
            return true;
        }
        false
    }

    /// When it is back after it fell.
    pub fn back(now: Micros) -> Micros {
        now + DOWN
    }

    /// A prompt to read.
    pub fn read(&mut self, now: Micros, unread: f64, prompt: f64) -> Said {
        if !self.up {
            return Said::Silent;
        }
        if self.overfilled(now, unread) {
            return Said::Fell;
        }
        self.waits.retain(|done| *done > now);
        if self.held + prompt > self.memory || self.waits.len() >= self.slots + MOST_WAITING {
            return Said::Full;
        }
        self.held += prompt;
        let takes = (unread / (self.can * self.warmth(now)) * 1e6) as Micros;
        self.busy_until = self.busy_until.max(now) + takes;
        self.waits.push_back(self.busy_until);
        Said::Until(self.busy_until)
    }

    /// An answer to write: at once, later, or not. What is waited for is taken up by [`Host::next`].
    pub fn write(&mut self, now: Micros, id: u32, tokens: f64, memory: f64) -> Said {
        if !self.up {
            return Said::Silent;
        }
        if self.overfilled(now, tokens) {
            return Said::Fell;
        }
        if self.has_room(now, memory) && self.waiting.is_empty() {
            self.running += 1;
            self.held += memory;
            return Said::Until(now);
        }
        if self.waiting.len() >= MOST_WAITING {
            return Said::Full;
        }
        self.waiting.push_back(id);
        Said::Waits
    }

    fn has_room(&self, now: Micros, memory: f64) -> bool {
        let slots = (self.slots as f64 * self.warmth(now)) as usize;
        self.running < slots.max(1) && self.held + memory <= self.memory
    }

    /// The next one that waits, if it fits; it runs from now on.
    pub fn next(&mut self, now: Micros, memory: impl Fn(u32) -> f64) -> Option<u32> {
        let id = *self.waiting.front()?;
        let memory = memory(id);
        if !self.has_room(now, memory) {
            return None;
        }
        self.running += 1;
        self.held += memory;
        self.waiting.pop_front()
    }
}
