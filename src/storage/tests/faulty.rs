//! A disk in memory that loses what a real one may lose.

use crate::storage::disk::Disk;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// Numbers that depend on a seed only.
pub struct RandomSource(pub u64, u64);

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource(seed, 0)
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.1 += 1;
        (xxhash_rust::xxh3::xxh3_64_with_seed(&self.1.to_le_bytes(), self.0) % bound.max(1) as u64)
            as usize
    }
}

/// The files of a disk at rest.
pub type Image = BTreeMap<String, Vec<u8>>;
type Names = BTreeMap<String, usize>;

#[derive(Clone)]
enum Change {
    Write(usize, Vec<u8>),
    Cut(usize),
}

fn change(bytes: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Write(at, new) => {
            bytes.resize(bytes.len().max(at + new.len()), 0);
            bytes[*at..at + new.len()].copy_from_slice(new);
        }
        Change::Cut(length) => bytes.resize(*length, 0),
    }
}

#[derive(Default)]
struct File {
    now: Vec<u8>,
    durable: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Default)]
struct State {
    files: Vec<File>,
    names: Names,
    durable_names: Names,
    unsynced_names: Vec<Names>,
    spent: u64,
    power: Option<u64>,
    room: Option<usize>,
    most_bytes: usize,
    draws: u64,
    failing_syncs: u64,
}

/// Its clones are the same disk.
#[derive(Clone, Default)]
pub struct Faulty(Rc<RefCell<State>>);

impl Faulty {
    /// A disk that holds this already, durably.
    pub fn with(image: &Image) -> Self {
        let disk = Faulty::default();
        let mut state = disk.0.borrow_mut();
        for (file, (name, bytes)) in image.iter().enumerate() {
            state.files.push(File {
                now: bytes.clone(),
                durable: bytes.clone(),
                unsynced: vec![],
            });
            state.names.insert(name.clone(), file);
        }
        state.durable_names = state.names.clone();
        drop(state);
        disk
    }

    /// Fails for good after so many steps from now: a byte written is one, and each other operation.
    pub fn power(self, steps: u64) -> Self {
        let at = self.spent() + steps;
        self.0.borrow_mut().power = Some(at);
        self
    }

    /// Holds so many bytes at the most.
    pub fn room(self, bytes: Option<usize>) -> Self {
        self.0.borrow_mut().room = bytes;
        self
    }

    /// So many of the next syncs fail, and the system lets go of what they were to make durable: what was written is seen
    /// still, and no later sync writes it.
    pub fn fail_syncs(&self, syncs: u64) {
        self.0.borrow_mut().failing_syncs = syncs;
    }

    /// Steps that were made.
    pub fn spent(&self) -> u64 {
        self.0.borrow().spent
    }

    /// The most bytes that it ever held.
    pub fn most_bytes(&self) -> usize {
        self.0.borrow().most_bytes
    }

    /// What is there after the process was killed: all that was written, to the byte.
    pub fn after_kill(&self) -> Image {
        let state = self.0.borrow();
        state
            .names
            .iter()
            .map(|(name, file)| (name.clone(), state.files[*file].now.clone()))
            .collect()
    }

    /// What may be there after the power was lost: what was synced, and of the rest a beginning of each file and of the
    /// names. Of the write it ends in: either a beginning, or any of its sectors with the file as long as it would be.
    pub fn after_power_loss(&self, random: &mut RandomSource) -> Image {
        let state = self.0.borrow();
        let kept = random.below(state.unsynced_names.len() + 1);
        let names = if kept == 0 {
            &state.durable_names
        } else {
            &state.unsynced_names[kept - 1]
        };
        let mut survivor = |file: &File| {
            let mut bytes = file.durable.clone();
            let kept = random.below(file.unsynced.len() + 1);
            file.unsynced[..kept]
                .iter()
                .for_each(|c| change(&mut bytes, c));
            if let Some(Change::Write(at, new)) = file.unsynced.get(kept) {
                let cut = random.below(new.len());
                if random.below(2) == 0 {
                    change(&mut bytes, &Change::Write(*at, new[..cut].to_vec()));
                } else {
                    let mut written = bytes.clone();
                    change(&mut written, &Change::Write(*at, new.clone()));
                    bytes.resize(written.len(), 0);
                    for (old, new) in bytes.chunks_mut(512).zip(written.chunks(512)) {
                        if random.below(2) == 0 {
                            old.copy_from_slice(new);
                        }
                    }
                }
            }
            bytes
        };
        names
            .iter()
            .map(|(name, file)| (name.clone(), survivor(&state.files[*file])))
            .collect()
    }
}

impl State {
    /// How many of these steps can be made.
    fn spend(&mut self, steps: usize) -> usize {
        let left = self.power.map_or(u64::MAX, |power| power - self.spent);
        let made = left.min(steps as u64);
        self.spent += made;
        made as usize
    }

    fn step(&mut self) -> io::Result<()> {
        if self.spend(1) == 1 {
            Ok(())
        } else {
            Err(io::Error::other("no power"))
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let file = *self.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[file])
    }

    fn name(&mut self, change: impl FnOnce(&mut Names)) {
        change(&mut self.names);
        self.unsynced_names.push(self.names.clone());
    }

    fn change(&mut self, name: &str, what: Change) -> io::Result<()> {
        let file = self.file(name)?;
        change(&mut file.now, &what);
        file.unsynced.push(what);
        self.most_bytes = self.most_bytes.max(self.bytes());
        Ok(())
    }

    fn bytes(&self) -> usize {
        self.names
            .values()
            .map(|file| self.files[*file].now.len())
            .sum()
    }
}

impl Disk for Faulty {
    fn file_names(&mut self) -> io::Result<Vec<String>> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        state.files.push(File::default());
        let file = state.files.len() - 1;
        state.name(|names| {
            names.insert(name.into(), file);
        });
        Ok(())
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        Ok(state.file(name)?.now.len() as u64)
    }

    fn read(&mut self, name: &str, offset: u64, bytes: &mut [u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        let from = state
            .file(name)?
            .now
            .get(offset as usize..)
            .unwrap_or_default();
        bytes.copy_from_slice(from.get(..bytes.len()).ok_or(ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        let end = offset as usize + bytes.len();
        let grows = end.saturating_sub(state.file(name)?.now.len());
        let room = state
            .room
            .map_or(usize::MAX, |room| room.saturating_sub(state.bytes()));
        let fits = bytes.len() - grows.saturating_sub(room);
        let made = state.spend(fits);
        state.change(name, Change::Write(offset as usize, bytes[..made].to_vec()))?;
        match made {
            _ if made == bytes.len() => Ok(()),
            _ if made == fits => Err(ErrorKind::StorageFull.into()),
            _ => Err(io::Error::other("no power")),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        state.change(name, Change::Cut(length as usize))
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        let fails = state.failing_syncs > 0;
        state.failing_syncs = state.failing_syncs.saturating_sub(1);
        let file = state.file(name)?;
        let changes = std::mem::take(&mut file.unsynced);
        if fails {
            return Err(io::Error::other("I/O error"));
        }
        changes
            .iter()
            .for_each(|written| change(&mut file.durable, written));
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        let file = *state.names.get(from).ok_or(ErrorKind::NotFound)?;
        state.name(|names| {
            names.remove(from);
            names.insert(to.into(), file);
        });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        state.file(name)?;
        state.name(|names| {
            names.remove(name);
        });
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        state.durable_names = state.names.clone();
        state.unsynced_names.clear();
        Ok(())
    }

    fn random_u64(&mut self) -> io::Result<u64> {
        let mut state = self.0.borrow_mut();
        state.step()?;
        state.draws += 1;
        Ok(state.draws)
    }
}
