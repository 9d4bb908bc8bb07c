//! Which of two processes of one router may send to model hosts in slow start. Their limit of a host's budget are one
//! share, so never both: the older one may until it stops, and the newer one from then on.

use super::lock_file::ProcessPhase;

/// What one process knows of that right.
pub struct SlowStartPermission {
    is_newer: bool,
    last_reported: Option<bool>,
}

impl SlowStartPermission {
    /// Of a process that starts; `other_exists` says whether another one was there before it.
    pub fn new(other_exists: bool) -> Self {
        SlowStartPermission {
            is_newer: other_exists,
            last_reported: None,
        }
    }

    /// Takes in how far both processes are; whether this one may send now, if that has changed. One that stops with no
    /// other other_exists it keeps the right: what it has in hand may need a model host in slow start.
    pub fn update(&mut self, own: ProcessPhase, other: Option<ProcessPhase>) -> Option<bool> {
        if other.is_none_or(|phase| phase == ProcessPhase::Stopping) {
            self.is_newer = false;
        }
        let hands_over = own == ProcessPhase::Stopping && other.is_some();
        let allowed = !hands_over && !self.is_newer;
        (self.last_reported.replace(allowed) != Some(allowed)).then_some(allowed)
    }
}

#[cfg(test)]
mod tests;
