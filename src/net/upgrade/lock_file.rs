//! The two lock files of an address, in the temporary folder. A process keeps an advisory lock on its file for its
//! whole life. The system releases the lock however the process ends, so the content of a file is valid only while
//! the file is locked.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// First word of a status line; it names the format version.
const MAGIC: &str = "whinhaven-seat-1";
/// Length to which a status line is padded, so that each write replaces the previous line completely.
const LINE_BYTES: usize = 64;

/// Life-cycle phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// The process does not listen yet.
    Starting,
    /// The process accepts and serves clients.
    Serving,
    /// The process is shutting down and finishes its requests.
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

/// Status that a process publishes in its lock file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Whether the process is starting, serves clients or is shutting down.
    pub phase: ProcessPhase,
    /// Maximum number of descriptors that the process may hold.
    pub sockets: usize,
}

/// The content of a lock file is not a status line of this version.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a status line of this version")]
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

/// Why no lock file could be acquired.
#[derive(Debug, thiserror::Error)]
pub enum LockFileError {
    /// Two other processes hold both lock files.
    #[error("two other processes already serve this address; stop one of them first")]
    AllHeld,
    /// The file at this path cannot be opened or locked.
    #[error("{0}: {1}")]
    Unusable(PathBuf, io::Error),
}

/// A lock file held by this process.
pub struct LockFile {
    own_file: File,
    other_file: File,
    other_path: PathBuf,
    published: Cell<Option<ProcessStatus>>,
    /// Error that was last logged for the other process's file.
    reported_error: RefCell<String>,
}

impl LockFile {
    /// Acquires the free lock file of an address.
    ///
    /// # Errors
    /// Both are held by other processes, or a file cannot be used.
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
                own_file: file,
                other_file: open(&paths[other])?,
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

    /// Publishes the status of this process. A failed write is logged and retried at the next call.
    pub fn publish(&self, status: ProcessStatus) {
        if self.published.replace(Some(status)) == Some(status) {
            return;
        }
        let line = format!("{:<width$}\n", status.to_string(), width = LINE_BYTES - 1);
        let written = self
            .own_file
            .write_all_at(line.as_bytes(), 0)
            .and_then(|()| self.own_file.set_len(LINE_BYTES as u64));
        if let Err(error) = written {
            log::warn!(
                "upgrade: cannot write the own lock file: {error}; retrying at the next update"
            );
            self.published.set(None);
        }
    }

    /// Status of the process that holds the other lock file; `None` if no process holds it.
    pub fn other_process(&self) -> Option<ProcessStatus> {
        match self.other_file.try_lock_shared() {
            Ok(()) => {
                let _ = self.other_file.unlock();
                None
            }
            Err(TryLockError::WouldBlock) => Some(self.read_other()),
            Err(TryLockError::Error(error)) => {
                self.report_unreadable(&error.to_string());
                None
            }
        }
    }

    /// A process whose status line cannot be parsed is treated as one that has just started.
    fn read_other(&self) -> ProcessStatus {
        let mut line = [0; LINE_BYTES];
        let length = self.other_file.read_at(&mut line, 0).unwrap_or(0);
        let text = String::from_utf8_lossy(&line[..length]);
        text.parse().unwrap_or_else(|error: InvalidStatus| {
            self.report_unreadable(&error.to_string());
            ProcessStatus {
                phase: ProcessPhase::Starting,
                sockets: 0,
            }
        })
    }

    /// Logs each error once, not at each read.
    fn report_unreadable(&self, error: &str) {
        if self.reported_error.replace(error.to_owned()) != error {
            log::warn!("upgrade: {}: {error}; ignored", self.other_path.display());
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
