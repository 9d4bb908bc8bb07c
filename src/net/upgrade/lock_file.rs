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
const MAGIC: &str = "whinhaven-seat-1";
/// A line is filled up to this length, so that each one replaces the one before as a whole.
const LINE_BYTES: usize = 64;

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// It doesn't listen yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has.
    Stopping,
}

impl ProcessPhase {
    const ALL: [(ProcessPhase, &str); 3] = [
        (ProcessPhase::Starting, "starting"),
        (ProcessPhase::Serving, "serving"),
        (ProcessPhase::Stopping, "stopping"),
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
pub struct ProcessStatus {
    /// How far it is.
    pub phase: ProcessPhase,
    /// The most descriptors that it may hold.
    pub sockets: usize,
}

/// A seat's line is none that this version writes.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a seat's line")]
pub struct InvalidStatus;

impl FromStr for ProcessStatus {
    type Err = InvalidStatus;

    fn from_str(line: &str) -> Result<Self, InvalidStatus> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let [MAGIC, phase, sockets] = words[..] else {
            return Err(InvalidStatus);
        };
        let (phase, _) = ProcessPhase::ALL
            .into_iter()
            .find(|(_, word)| *word == phase)
            .ok_or(InvalidStatus)?;
        let sockets = sockets.parse().map_err(|_| InvalidStatus)?;
        Ok(ProcessStatus { phase, sockets })
    }
}

impl std::fmt::Display for ProcessStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{MAGIC} {} {}", self.phase.word(), self.sockets)
    }
}

/// Why there is no lock_file.
#[derive(Debug, thiserror::Error)]
pub enum LockFileError {
    /// Two processes hold them.
    #[error("two other processes serve there")]
    AllHeld,
    /// A file can't be used.
    #[error("{0}: {1}")]
    Unusable(PathBuf, io::Error),
}

/// A seat that this process holds.
pub struct LockFile {
    own: File,
    other: File,
    other_path: PathBuf,
    published: Cell<Option<ProcessStatus>>,
    /// Content of the other's file that was reported as unreadable.
    reported_error: RefCell<String>,
}

impl LockFile {
    /// Takes the free seat of an address.
    ///
    /// # Errors
    /// There is none.
    pub fn acquire(folder: &Path, address: SocketAddr) -> Result<LockFile, LockFileError> {
        let paths = [0, 1].map(|number| folder.join(format!("whinhaven-{address}.seat{number}")));
        for (own, other) in [(0, 1), (1, 0)] {
            let file = open(&paths[own])?;
            match file.try_lock() {
                Ok(()) => {}
                Err(TryLockError::WouldBlock) => continue,
                Err(TryLockError::Error(error)) => {
                    return Err(LockFileError::Unusable(paths[own].clone(), error));
                }
            }
            let lock_file = LockFile {
                own: file,
                other: open(&paths[other])?,
                other_path: paths[other].clone(),
                published: Cell::default(),
                reported_error: RefCell::default(),
            };
            lock_file.publish(ProcessStatus {
                phase: ProcessPhase::Starting,
                sockets: 0,
            });
            return Ok(lock_file);
        }
        Err(LockFileError::AllHeld)
    }

    /// Says how far this process is.
    pub fn publish(&self, status: ProcessStatus) {
        if self.published.replace(Some(status)) == Some(status) {
            return;
        }
        let line = format!("{:<width$}\n", status.to_string(), width = LINE_BYTES - 1);
        let written = self
            .own
            .write_all_at(line.as_bytes(), 0)
            .and_then(|()| self.own.set_len(LINE_BYTES as u64));
        if let Err(error) = written {
            log::warn!("upgrade: own seat not written: {error}");
            self.published.set(None);
        }
    }

    /// What the process in the other seat says of itself; `None` without one.
    pub fn other_process(&self) -> Option<ProcessStatus> {
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
    fn read_other(&self) -> ProcessStatus {
        let mut line = [0; LINE_BYTES];
        let length = self.other.read_at(&mut line, 0).unwrap_or(0);
        let text = String::from_utf8_lossy(&line[..length]);
        text.parse().unwrap_or_else(|error: InvalidStatus| {
            self.report_unreadable(&error.to_string());
            ProcessStatus {
                phase: ProcessPhase::Starting,
                sockets: 0,
            }
        })
    }

    /// Logs one line for each thing that is wrong, not one for each look.
    fn report_unreadable(&self, what: &str) {
        if self.reported_error.replace(what.to_owned()) != what {
            log::warn!("upgrade: {}: {what}; ignored", self.other_path.display());
        }
    }
}

fn open(path: &Path) -> Result<File, LockFileError> {
    let mut options = OpenOptions::new();
    options
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .mode(0o600);
    options
        .open(path)
        .map_err(|error| LockFileError::Unusable(path.to_owned(), error))
}

#[cfg(test)]
mod tests;
