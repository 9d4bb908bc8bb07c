//! Decides which of two processes of one router may send to model hosts in slow start. Both count as one router in a
//! model host's slow-start budget, so only one of them may send: the older one until it stops, then the newer one.

use super::lock_file::ProcessPhase;

/// One process's view of that permission.
pub struct SlowStartPermission {
    is_newer: bool,
    last_reported: Option<bool>,
}

impl SlowStartPermission {
    /// Creates the state of a process that starts; `other_exists` states whether another process was running before
    /// it.
    pub fn new(other_exists: bool) -> Self {
        SlowStartPermission {
            is_newer: other_exists,
            last_reported: None,
        }
    }

    /// Updates both phases; returns the permission if it has changed. A process that stops keeps the permission if no
    /// other process runs: its requests may need a model host in slow start.
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
