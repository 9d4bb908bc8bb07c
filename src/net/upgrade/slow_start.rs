//! Which of two processes of one router may send to model hosts in slow start. Their shares of a host's budget are one
//! share, so never both: the older one may until it stops, and the newer one from then on.

use super::lock_file::Phase;

/// What one process knows of that right.
pub struct SlowStartRight {
    is_newer: bool,
    told: Option<bool>,
}

impl SlowStartRight {
    /// Of a process that starts; `beside` says whether another one was there before it.
    pub fn new(beside: bool) -> Self {
        SlowStartRight {
            is_newer: beside,
            told: None,
        }
    }

    /// Takes in how far both processes are; whether this one may send now, if that has changed. One that stops with no
    /// other beside it keeps the right: what it has in hand may need a model host in slow start.
    pub fn update(&mut self, own: Phase, other: Option<Phase>) -> Option<bool> {
        if other.is_none_or(|phase| phase == Phase::Stopping) {
            self.is_newer = false;
        }
        let hands_over = own == Phase::Stopping && other.is_some();
        let allowed = !hands_over && !self.is_newer;
        (self.told.replace(allowed) != Some(allowed)).then_some(allowed)
    }
}

#[cfg(test)]
mod tests;
