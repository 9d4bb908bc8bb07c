//! File operations that the store needs, and their implementation on a real directory.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// One directory of files, held by one process. Written data survives a crash only after [`Disk::sync`]; a new name or a
/// removal only after [`Disk::sync_directory`]. Before that, any part of it may survive.
pub trait Disk {
    /// Names of all files, in any order.
    fn file_names(&mut self) -> io::Result<Vec<String>>;
    /// Creates an empty file, replacing one of that name.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Length of a file, in bytes.
    fn length(&mut self, name: &str) -> io::Result<u64>;
    /// Fills `bytes` from `offset`; an error if the file ends before.
    fn read(&mut self, name: &str, offset: u64, bytes: &mut [u8]) -> io::Result<()>;
    /// Writes `bytes` at `offset`. After an error any part may have been written.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file off.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's data durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file atomically, replacing one of that name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes all creations, renames and removals durable.
    fn sync_directory(&mut self) -> io::Result<()>;
    /// 64 random bits, for a store's id.
    fn random_u64(&mut self) -> io::Result<u64>;
}

/// A directory of the file system, locked against other processes and other stores of this process.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    directory: File,
    files: BTreeMap<String, File>,
    /// Released by the system when the file is closed, also when the process dies.
    _lock: File,
}

impl Directory {
    /// Name of the lock file.
    pub const LOCK_FILE: &str = "lock";

    /// Opens a directory, creating it if necessary, and locks it. `Ok(None)`: another store holds the lock.
    ///
    /// # Errors
    /// The directory or its lock file can't be opened.
    pub fn open(path: &Path) -> io::Result<Option<Self>> {
        create_durably(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(Self::LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Ok(None),
            Err(TryLockError::Error(error)) => return Err(error),
        }
        let directory = File::open(path)?;
        Ok(Some(Directory {
            path: path.into(),
            directory,
            files: BTreeMap::new(),
            _lock: lock,
        }))
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new()
                .read(true)
                .write(true)
                .open(self.path.join(name))?;
            self.files.insert(name.into(), file);
        }
        Ok(&self.files[name])
    }
}

/// Creates a directory and its parents, and makes their names durable.
fn create_durably(path: &Path) -> io::Result<()> {
    if path.is_dir() {
        return Ok(());
    }
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    create_durably(parent)?;
    match fs::create_dir(path) {
        Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
        _ => {}
    }
    File::open(parent)?.sync_all()
}

impl Disk for Directory {
    fn file_names(&mut self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&self.path)?;
        entries
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut options = OpenOptions::new();
        let file = options
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(self.path.join(name))?;
        self.files.insert(name.into(), file);
        Ok(())
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        Ok(self.file(name)?.metadata()?.len())
    }

    fn read(&mut self, name: &str, offset: u64, bytes: &mut [u8]) -> io::Result<()> {
        self.file(name)?.read_exact_at(bytes, offset)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.files.remove(to);
        if let Some(file) = self.files.remove(from) {
            self.files.insert(to.into(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.directory.sync_all()
    }

    fn random_u64(&mut self) -> io::Result<u64> {
        let mut bytes = [0; 8];
        File::open("/dev/urandom")?.read_exact(&mut bytes)?;
        Ok(u64::from_le_bytes(bytes))
    }
}
