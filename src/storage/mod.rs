//! The store on disk: a log of records with checksums, a snapshot that stands for its beginning, and a hard state.
//!
//! Each call is durable when it returns `Ok`, and then it outlives a kill and a loss of power at any moment. What a
//! crash left half-written is cut off at the next opening and said ([`Torn`]). A record that was acknowledged and can't
//! be read any more is refused by file and offset ([`StoreError::Corrupt`]), never skipped or read as something else.
//! Calls block; the caller gives them a thread. Why it is so, and figures: `docs/design/store.md`.
//!
//! In the directory: `log-N` (all that is kept; its form is in `frame.rs`), `synced` (how much of it was acknowledged, a hint),
//! `lock`. A snapshot, or a log with too much in it that no longer counts, is written as a whole new `log-N+1` that
//! takes the old one's place by renaming.

pub mod disk;
mod frame;
#[cfg(test)]
mod tests;

use disk::{Directory, Disk};
use frame::{FRAME, HEAD, Live, Op, Salt};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

const SYNCED: &str = "synced";
const SYNCED_BYTES: u64 = 1024;
const UNFINISHED: &str = "log.tmp";

/// Bounds of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Bytes of all files together. The log itself has half of it, since its next file is written beside it; of that
    /// half a sixteenth is left for hard states.
    pub most_bytes: u64,
    /// Bytes of one record, or of the hard state.
    pub most_record_bytes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            most_bytes: 64 << 20,
            most_record_bytes: 1 << 20,
        }
    }
}

/// What the store held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restored {
    /// Drawn when the directory was formatted: an emptied disk comes back with another one.
    pub store_id: u64,
    /// Whether this opening formatted it, so that nothing is remembered.
    pub fresh: bool,
    /// The last one set.
    pub hard_state: Option<Vec<u8>>,
    /// Stands for all records up to this index.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The index of the first of `records`: the snapshot's plus 1, or 1.
    pub first: u64,
    /// All that came after the snapshot.
    pub records: Vec<Vec<u8>>,
    /// What a crash had left half-written, and was cut off.
    pub torn: Option<Torn>,
}

/// The end of a log that was being written when the process or the machine stopped. Nobody was told that it is there.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {bytes} bytes at {offset} were half-written, cut off")]
pub struct Torn {
    /// The file's name in the store's directory.
    pub file: String,
    /// Where it began; the file is this long now.
    pub offset: u64,
    /// How long it was.
    pub bytes: u64,
}

/// Why the store can't be opened, or has not taken a write.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another store, in this process or another, has the directory.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// What was acknowledged can't be read any more. Nothing was changed; a voter comes back with an emptied directory
    /// as another voter.
    #[error("{file}: corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// The file's name in the store's directory.
        file: String,
        /// Where the frame begins that is not right, in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// A file that was acknowledged is gone.
    #[error("{file}: missing")]
    Missing {
        /// The file's name in the store's directory.
        file: String,
    },
    /// The store would outgrow [`Settings::most_bytes`]; nothing was changed. A snapshot makes room.
    #[error("full: {needed} bytes needed, {left} left")]
    Full {
        /// Bytes that the write takes.
        needed: u64,
        /// Bytes that the log may still grow by.
        left: u64,
    },
    /// A record or hard state over [`Settings::most_record_bytes`]; nothing was changed.
    #[error("{bytes} bytes in one record, at most {most}")]
    TooLong {
        /// Bytes of it.
        bytes: usize,
        /// Bytes allowed.
        most: u32,
    },
    /// An index that does not join what is there (`first` to `next`); nothing was changed.
    #[error("index {index} does not join the log, which has {first} up to {next}")]
    Gap {
        /// The index that was asked for.
        index: u64,
        /// The index of the first record.
        first: u64,
        /// The index that comes next.
        next: u64,
    },
    /// A write failed such that what is on the disk is not known. Nothing is taken until the store is opened anew.
    #[error("an earlier write failed; the store has to be opened anew")]
    Broken,
    /// The system's answer. The write is not acknowledged; what was acknowledged before is there.
    #[error("{file}: {error}")]
    Io {
        /// The file's name in the store's directory.
        file: String,
        /// What the system said.
        error: io::Error,
    },
}

impl StoreError {
    /// Whether the same folder may be opened later without anybody doing something about what it holds: it failed, or is
    /// held by a write that has not ended.
    pub fn may_pass(&self) -> bool {
        match self {
            StoreError::InUse(_) | StoreError::Broken | StoreError::Io { .. } => true,
            StoreError::Corrupt { .. }
            | StoreError::Missing { .. }
            | StoreError::Full { .. }
            | StoreError::TooLong { .. }
            | StoreError::Gap { .. } => false,
        }
    }

    /// Whether room is what is missing: the store's own bound, or the disk's.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        match self {
            StoreError::Full { .. } => true,
            StoreError::Io { error, .. } => {
                matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
            }
            _ => false,
        }
    }
}

/// One of the changes that [`Store::write`] makes together.
#[derive(Clone, Copy, Debug)]
pub enum Write<'a> {
    /// As [`Store::set_hard_state`].
    HardState(&'a [u8]),
    /// As [`Store::append`].
    Append {
        /// The index of the first of the records.
        first: u64,
        /// What to add.
        records: &'a [Vec<u8>],
    },
}

/// A store that is open. Its memory: 4 bytes a record; all that it holds only while it is opened or rewritten.
#[derive(Debug)]
pub struct Store<D = Directory> {
    disk: D,
    settings: Settings,
    salt: Salt,
    /// Bytes of the log file, all of them durable.
    length: u64,
    first: u64,
    /// Bytes of each record.
    records: Vec<u32>,
    hard_bytes: u64,
    snapshot_bytes: u64,
    /// Which half of the file `synced` is written next.
    half: u64,
    broken: bool,
}

impl Store {
    /// Opens the store in a directory, which is made and formatted if it holds none.
    pub fn open(path: &Path, settings: Settings) -> Result<(Store, Restored), StoreError> {
        match Directory::open(path) {
            Ok(Some(disk)) => Store::open_on(disk, settings),
            Ok(None) => Err(StoreError::InUse(path.into())),
            Err(error) => Err(StoreError::Io {
                file: path.display().to_string(),
                error,
            }),
        }
    }
}

fn log_name(generation: u64) -> String {
    format!("log-{generation:020}")
}

fn generation_of(name: &str) -> Option<u64> {
    let digits = name
        .strip_prefix("log-")
        .filter(|digits| digits.len() == 20)?;
    digits.parse().ok()
}

fn io_of<T>(file: &str, result: io::Result<T>) -> Result<T, StoreError> {
    result.map_err(|error| StoreError::Io {
        file: file.into(),
        error,
    })
}

impl<D: Disk> Store<D> {
    /// Opens the store on a disk that nobody else holds.
    pub fn open_on(mut disk: D, settings: Settings) -> Result<(Self, Restored), StoreError> {
        let names = io_of(".", disk.names())?;
        let generation = names.iter().filter_map(|name| generation_of(name)).max();
        let hint = read_synced(&mut disk, &names);
        let known = hint.map_or(0, |(salt, _)| salt.generation);
        let Some(generation) = generation.filter(|newest| *newest >= known) else {
            if known > 0 {
                return Err(StoreError::Missing {
                    file: log_name(known),
                });
            }
            return Self::format(disk, settings, &names);
        };
        let name = log_name(generation);
        let synced = hint
            .filter(|(salt, _)| salt.generation == generation)
            .map_or(0, |(_, length)| length);
        let read = frame::read_file(&mut disk, &name, generation, synced)?;
        let torn = (read.length > read.end).then(|| Torn {
            file: name.clone(),
            offset: read.end,
            bytes: read.length - read.end,
        });
        if torn.is_some() {
            io_of(&name, disk.cut(&name, read.end))?;
        }
        rewrite(&mut disk, &name, synced, read.end)?;
        // A name may not be durable either.
        io_of(&name, disk.sync(&name))?;
        io_of(".", disk.sync_names())?;
        for old in names.iter().filter(|old| **old != name) {
            if old == UNFINISHED || generation_of(old).is_some() {
                io_of(old, disk.remove(old))?;
            }
        }
        let mut store = Self::of(disk, settings, read.salt);
        store.stand(&read.live, read.end);
        store.prepare_synced(&names)?;
        Ok((store, Self::restored(read.salt, read.live, false, torn)))
    }

    fn format(
        disk: D,
        settings: Settings,
        names: &[String],
    ) -> Result<(Self, Restored), StoreError> {
        let mut store = Self::of(
            disk,
            settings,
            Salt {
                store_id: 0,
                generation: 0,
            },
        );
        store.salt.store_id = io_of(".", store.disk.draw())?;
        store.write_generation(&Live::default())?;
        store.prepare_synced(names)?;
        let restored = Self::restored(store.salt, Live::default(), true, None);
        Ok((store, restored))
    }

    fn of(disk: D, settings: Settings, salt: Salt) -> Self {
        Store {
            disk,
            settings,
            salt,
            length: 0,
            first: 1,
            records: Vec::new(),
            hard_bytes: 0,
            snapshot_bytes: 0,
            half: 0,
            broken: false,
        }
    }

    fn restored(salt: Salt, live: Live, fresh: bool, torn: Option<Torn>) -> Restored {
        let first = live.first();
        let Live {
            hard_state,
            snapshot,
            records,
        } = live;
        Restored {
            store_id: salt.store_id,
            fresh,
            hard_state,
            snapshot,
            first,
            records: records.into(),
            torn,
        }
    }

    /// Drops all records from `first` on, then adds these; with none it only drops. `first` is at most the next index
    /// and above the snapshot's.
    pub fn append(&mut self, first: u64, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.write(&[Write::Append { first, records }])
    }

    /// Sets the hard state.
    pub fn set_hard_state(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.write(&[Write::HardState(state)])
    }

    /// Makes several changes with one wait for the disk: after a crash all of them are there or none.
    pub fn write(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        self.check(writes)?;
        let ops: Vec<Op> = writes
            .iter()
            .map(|write| match *write {
                Write::HardState(state) => Op::HardState(state),
                Write::Append { first, records } => Op::Append { first, records },
            })
            .collect();
        let needed = frame::frame_bytes(&ops);
        let adds = writes
            .iter()
            .any(|w| matches!(w, Write::Append { records, .. } if !records.is_empty()));
        let limit = self.limit() - if adds { self.limit() / 16 } else { 0 };
        let (name, left) = (
            log_name(self.salt.generation),
            limit.saturating_sub(self.length),
        );
        if needed > left {
            // Worth it only where it gives back a part of the room, so that not every call rewrites all.
            let after = self.live_bytes_after(writes);
            if after > limit || self.length.saturating_sub(after) < self.limit() / 32 {
                return Err(StoreError::Full { needed, left });
            }
            let mut live = self.read_live()?;
            ops.iter().for_each(|op| live.take(op));
            return self.write_generation(&live);
        }
        let frame =
            frame::frame(self.salt, self.length, &ops).ok_or(StoreError::Full { needed, left })?;
        if let Err(error) = self.disk.write(&name, self.length, &frame) {
            // What got there is cut off again; where even that fails, it would be in the way of the next write.
            self.broken = self.disk.cut(&name, self.length).is_err();
            return Err(StoreError::Io { file: name, error });
        }
        if let Err(error) = self.disk.sync(&name) {
            // The system may have let go of the pages; a second try that succeeds would say nothing.
            self.broken = true;
            return Err(StoreError::Io { file: name, error });
        }
        self.length += needed;
        for write in writes {
            match write {
                Write::HardState(state) => self.hard_bytes = state.len() as u64,
                Write::Append { first, records } => {
                    self.records.truncate((first - self.first) as usize);
                    self.records
                        .extend(records.iter().map(|record| record.len() as u32));
                }
            }
        }
        self.note_synced();
        Ok(())
    }

    /// Takes a snapshot that stands for all records up to `index`, and drops those. It may be beyond the last record.
    /// Records after `index` are kept; where they are not to be, [`Store::append`] nothing at `index + 1` first.
    pub fn install_snapshot(&mut self, index: u64, data: &[u8]) -> Result<(), StoreError> {
        let next = self.next();
        if self.broken {
            return Err(StoreError::Broken);
        }
        if index == u64::MAX || index + 1 < self.first {
            return Err(StoreError::Gap {
                index,
                first: self.first,
                next,
            });
        }
        let mut live = self.read_live()?;
        live.take_snapshot(index, data.to_vec());
        self.write_generation(&live)
    }

    /// The index that the next record gets.
    pub fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Bytes of the log file.
    pub fn bytes(&self) -> u64 {
        self.length
    }

    /// Whether a write failed such that the store has to be opened anew.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    fn check(&self, writes: &[Write]) -> Result<(), StoreError> {
        if self.broken {
            return Err(StoreError::Broken);
        }
        let mut next = self.next();
        let most = self.settings.most_record_bytes;
        let fits = |bytes: usize| match bytes {
            _ if bytes as u64 > u64::from(most) => Err(StoreError::TooLong { bytes, most }),
            _ => Ok(()),
        };
        for write in writes {
            match *write {
                Write::HardState(state) => fits(state.len())?,
                Write::Append { first, records } => {
                    if first < self.first || first > next {
                        return Err(StoreError::Gap {
                            index: first,
                            first: self.first,
                            next,
                        });
                    }
                    records.iter().try_for_each(|record| fits(record.len()))?;
                    next = first + records.len() as u64;
                }
            }
        }
        Ok(())
    }

    /// Bytes that the log file may have.
    fn limit(&self) -> u64 {
        self.settings.most_bytes.saturating_sub(SYNCED_BYTES) / 2
    }

    /// Bytes that a file with only what counts after these writes would have.
    fn live_bytes_after(&self, writes: &[Write]) -> u64 {
        let mut hard = self.hard_bytes;
        let mut records: Vec<u64> = self.records.iter().map(|bytes| u64::from(*bytes)).collect();
        for write in writes {
            match *write {
                Write::HardState(state) => hard = state.len() as u64,
                Write::Append {
                    first,
                    records: new,
                } => {
                    records.truncate((first - self.first) as usize);
                    records.extend(new.iter().map(|record| record.len() as u64));
                }
            }
        }
        let body =
            31 + self.snapshot_bytes + hard + records.iter().map(|bytes| bytes + 4).sum::<u64>();
        HEAD + FRAME + body.next_multiple_of(FRAME)
    }

    /// Reads what counts back from the file, checksums and all, so that nothing that has rotted is written anew.
    fn read_live(&mut self) -> Result<Live, StoreError> {
        let name = log_name(self.salt.generation);
        let read = frame::read_file(&mut self.disk, &name, self.salt.generation, self.length);
        self.broken |= matches!(read, Err(StoreError::Corrupt { .. }));
        Ok(read?.live)
    }

    /// Writes a new file with what counts, and puts it in the old one's place.
    fn write_generation(&mut self, live: &Live) -> Result<(), StoreError> {
        let salt = Salt {
            generation: self.salt.generation + 1,
            ..self.salt
        };
        let records: Vec<Vec<u8>> = live.records.iter().cloned().collect();
        let mut ops = Vec::new();
        if let Some((index, data)) = &live.snapshot {
            ops.push(Op::Snapshot {
                index: *index,
                data,
            });
        }
        if let Some(state) = &live.hard_state {
            ops.push(Op::HardState(state));
        }
        if !records.is_empty() {
            ops.push(Op::Append {
                first: live.first(),
                records: &records,
            });
        }
        let needed = HEAD
            + if ops.is_empty() {
                0
            } else {
                frame::frame_bytes(&ops)
            };
        let full = || StoreError::Full {
            needed,
            left: self.limit(),
        };
        if needed > self.limit() {
            return Err(full());
        }
        let mut bytes = frame::file_head(salt, needed);
        if !ops.is_empty() {
            bytes.extend(frame::frame(salt, HEAD, &ops).ok_or_else(full)?);
        }
        let written = self
            .disk
            .create(UNFINISHED)
            .and_then(|()| self.disk.write(UNFINISHED, 0, &bytes))
            .and_then(|()| self.disk.sync(UNFINISHED));
        if let Err(error) = written {
            // If it stays, the next opening removes it.
            let _ = self.disk.remove(UNFINISHED);
            return Err(StoreError::Io {
                file: UNFINISHED.into(),
                error,
            });
        }
        let (old, new) = (log_name(self.salt.generation), log_name(salt.generation));
        let renamed = self
            .disk
            .rename(UNFINISHED, &new)
            .and_then(|()| self.disk.sync_names());
        if let Err(error) = renamed {
            self.broken = true;
            return Err(StoreError::Io { file: new, error });
        }
        // Only now, that the new one's name is durable. If the old one stays, the next opening removes it.
        let _ = self.disk.remove(&old);
        self.salt = salt;
        self.stand(live, needed);
        self.note_synced();
        Ok(())
    }

    /// Counts what the file holds.
    fn stand(&mut self, live: &Live, length: u64) {
        self.length = length;
        self.first = live.first();
        self.records = live
            .records
            .iter()
            .map(|record| record.len() as u32)
            .collect();
        self.hard_bytes = live
            .hard_state
            .as_ref()
            .map_or(0, |state| state.len() as u64);
        self.snapshot_bytes = live
            .snapshot
            .as_ref()
            .map_or(0, |(_, data)| data.len() as u64);
    }

    /// Makes the file for [`Store::note_synced`], with its place on the disk taken.
    fn prepare_synced(&mut self, names: &[String]) -> Result<(), StoreError> {
        if !names.iter().any(|name| name == SYNCED) {
            let made = self
                .disk
                .create(SYNCED)
                .and_then(|()| self.disk.write(SYNCED, 0, &[0; SYNCED_BYTES as usize]))
                .and_then(|()| self.disk.sync(SYNCED))
                .and_then(|()| self.disk.sync_names());
            io_of(SYNCED, made)?;
        }
        self.note_synced();
        Ok(())
    }

    /// Notes how much is acknowledged. Not made durable, so that it costs no second wait for the disk: it outlives a
    /// kill, and of a loss of power it tells what it can. Two places in turn, one of which is whole at any time.
    fn note_synced(&mut self) {
        let mut note = Vec::with_capacity(28);
        for number in [self.salt.store_id, self.salt.generation, self.length] {
            note.extend_from_slice(&number.to_le_bytes());
        }
        note.extend_from_slice(&crc32fast::hash(&note).to_le_bytes());
        let _ = self.disk.write(SYNCED, self.half * SYNCED_BYTES / 2, &note);
        self.half ^= 1;
    }
}

/// Writes what lies between two offsets of a file anew. It may have been written whole and not made durable before a kill;
/// and where a sync of it had failed, the system shows what was written and takes it for durable, so that another sync alone
/// would say nothing.
fn rewrite(disk: &mut impl Disk, name: &str, from: u64, to: u64) -> Result<(), StoreError> {
    let mut bytes = vec![0; to.saturating_sub(from) as usize];
    if bytes.is_empty() {
        return Ok(());
    }
    io_of(name, disk.read(name, from, &mut bytes))?;
    io_of(name, disk.write(name, from, &bytes))
}

/// The furthest that [`Store::note_synced`] tells of, if anything.
fn read_synced(disk: &mut impl Disk, names: &[String]) -> Option<(Salt, u64)> {
    names.iter().find(|name| *name == SYNCED)?;
    let halves = [0, SYNCED_BYTES / 2].into_iter().filter_map(|at| {
        let mut note = [0; 28];
        disk.read(SYNCED, at, &mut note).ok()?;
        let number = |at: usize| u64::from_le_bytes(note[at..at + 8].try_into().expect("8 bytes"));
        let crc = crc32fast::hash(&note[..24]).to_le_bytes();
        let right = note[24..] == crc && number(8) > 0;
        right.then(|| {
            (
                Salt {
                    store_id: number(0),
                    generation: number(8),
                },
                number(16),
            )
        })
    });
    halves.max_by_key(|(salt, length)| (salt.generation, *length))
}
