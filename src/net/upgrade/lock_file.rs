//! The two seats of an address: a file each in the temporary folder, with an advisory lock that its holder keeps for as
//! long as it lives. The system lets go of the lock however the holder ends, so what a file says counts only while it
//! is locked.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The first word of a seat's line.
const MARK: &str = "whinhaven-seat-1";
/// A line is filled up to this length, so that each one replaces the one before as a whole.
const LINE: usize = 64;

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It doesn't listen yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has.
    Stopping,
}

impl Phase {
    const ALL: [(Phase, &str); 3] = [
        (Phase::Starting, "starting"),
        (Phase::Serving, "serving"),
        (Phase::Stopping, "stopping"),
    ];

    fn word(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(phase, _)| *phase == self)
            .map_or("", |(_, word)| word)
    }
}

/// What a process says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// How far it is.
    pub phase: Phase,
    /// The most descriptors that it may hold.
    pub sockets: usize,
}

/// A seat's line is none that this version writes.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a seat's line")]
pub struct NoClaim;

impl FromStr for Claim {
    type Err = NoClaim;

    fn from_str(line: &str) -> Result<Self, NoClaim> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [MARK, phase, sockets] = words[..] else {
            return Err(NoClaim);
        };
        let (phase, _) = Phase::ALL
            .into_iter()
            .find(|(_, word)| *word == phase)
            .ok_or(NoClaim)?;
        let sockets = sockets.parse().map_err(|_| NoClaim)?;
        Ok(Claim { phase, sockets })
    }
}

impl std::fmt::Display for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{MARK} {} {}", self.phase.word(), self.sockets)
    }
}

/// Why there is no seat.
#[derive(Debug, thiserror::Error)]
pub enum SeatError {
    /// Two processes hold them.
    #[error("two other processes serve there")]
    Taken,
    /// A file can't be used.
    #[error("{0}: {1}")]
    Unusable(PathBuf, io::Error),
}

/// A seat that this process holds.
pub struct Seat {
    own: File,
    other: File,
    other_path: PathBuf,
    told: Cell<Option<Claim>>,
    /// Content of the other's file that was reported as unreadable.
    reported: RefCell<String>,
}

impl Seat {
    /// Takes the free seat of an address.
    ///
    /// # Errors
    /// There is none.
    pub fn take(folder: &Path, address: SocketAddr) -> Result<Seat, SeatError> {
        let paths = [0, 1].map(|number| folder.join(format!("whinhaven-{address}.seat{number}")));
        for (own, other) in [(0, 1), (1, 0)] {
            let file = open(&paths[own])?;
            match file.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock) => continue,
                Err(TryLockError::Error(error)) => {
                    return Err(SeatError::Unusable(paths[own].clone(), error));
                }
            }
            let seat = Seat {
                own: file,
                other: open(&paths[other])?,
                other_path: paths[other].clone(),
                told: Cell::default(),
                reported: RefCell::default(),
            };
            seat.tell(Claim {
                phase: Phase::Starting,
                sockets: 0,
            });
            return Ok(seat);
        }
        Err(SeatError::Taken)
    }

    /// Says how far this process is.
    pub fn tell(&self, claim: Claim) {
        if self.told.replace(Some(claim)) == Some(claim) {
            return;
        }
        let line = format!("{:<width$}\n", claim.to_string(), width = LINE - 1);
        let written = self
            .own
            .write_all_at(line.as_bytes(), 0)
            .and_then(|()| self.own.set_len(LINE as u64));
        if let Err(error) = written {
            log::warn!("upgrade: own seat not written: {error}");
            self.told.set(None);
        }
    }

    /// What the process in the other seat says of itself; `None` without one.
    pub fn other(&self) -> Option<Claim> {
        match self.other.try_lock_shared() {
            Ok(()) => {
                let _ = self.other.unlock();
                None
            }
            Err(TryLockError::WouldBlock) => Some(self.read_other()),
            Err(TryLockError::Error(error)) => {
                self.report_unreadable(&error.to_string());
                None
            }
        }
    }

    /// A process whose line can't be read is taken for one that has just begun.
    fn read_other(&self) -> Claim {
        let mut line = [0; LINE];
        let length = self.other.read_at(&mut line, 0).unwrap_or(0);
        let text = String::from_utf8_lossy(&line[..length]);
        text.parse().unwrap_or_else(|error: NoClaim| {
            self.report_unreadable(&error.to_string());
            Claim {
                phase: Phase::Starting,
                sockets: 0,
            }
        })
    }

    /// Logs one line for each thing that is wrong, not one for each look.
    fn report_unreadable(&self, what: &str) {
        if self.reported.replace(what.to_owned()) != what {
            log::warn!("upgrade: {}: {what}; ignored", self.other_path.display());
        }
    }
}

fn open(path: &Path) -> Result<File, SeatError> {
    let mut options = OpenOptions::new();
    options
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .mode(0o600);
    options
        .open(path)
        .map_err(|error| SeatError::Unusable(path.to_owned(), error))
}

#[cfg(test)]
mod tests;
