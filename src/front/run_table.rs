//! The requests of this router that are in progress or may have run, by the names that their clients gave them.
//!
//! A client may leave and come again under the same name, on whatever connection. A request that is not harmless to repeat
//! and may have run must not run again then. Its name is kept for as long as its class lets a client come again; the
//! table is bounded, and rejects new requests rather than forget a name. It is lost with the process.

use crate::dispatch::Clock;
use crate::memory::{Budget, Reservation};
use crate::routing::types::{Micros, RequestClass};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// The memory that is accounted for an entry in addition to its name, which is held three times.
const ENTRY_OVERHEAD_BYTES: usize = 320;
/// The kept names may take one in this many bytes of the memory budget.
const BUDGET_DIVISOR: usize = 8;

/// A client's name for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RunName {
    /// The id of a request in the platform's protocol.
    Platform(Rc<str>),
    /// The name of a JSON-RPC request, the same over all resumes.
    JsonRpc(Rc<str>),
}

impl RunName {
    fn bytes(&self) -> usize {
        let (RunName::Platform(name) | RunName::JsonRpc(name)) = self;
        ENTRY_OVERHEAD_BYTES + 3 * name.len()
    }
}

/// Why a request must not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RunDenial {
    /// A request of this name is in progress.
    #[error("a request of this name is in progress")]
    InProgress,
    /// A request of this name may have run, and its answer did not begin.
    #[error("a request of this name may have run")]
    MayHaveRun,
    /// The answer of a request of this name began; only its rest can be asked for.
    #[error("the answer of a request of this name has begun")]
    HasStarted,
    /// No more names can be kept. Nothing was done; a retry is harmless.
    #[error("no more names of requests can be kept")]
    Full,
}

/// How a request begins.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// How long the name is kept after a request that may have run; `None` if it is harmless to repeat.
    pub retention: Option<Micros>,
    /// Whether the client asks for the rest of an answer that has begun.
    pub is_resume: bool,
}

/// How long a client of this class may come again; `None` if its requests are harmless to repeat.
pub fn retention_of(class: &RequestClass) -> Option<Micros> {
    let is_harmless = class.idempotency.is_harmless_to_repeat();
    (!is_harmless).then_some(class.client_timeout)
}

/// An entry of the table.
struct Entry {
    /// Tells the entry's request from a resume of it.
    serial: u64,
    /// Whether an answer has begun, by this request or the one that it resumes.
    has_started: bool,
    /// Until when the name is kept; `None` while the request is in progress.
    kept_until: Option<Micros>,
    memory: Option<Reservation>,
}

impl Entry {
    /// Whether another request of this name may begin.
    fn permit(&self, is_resume: bool) -> Result<(), RunDenial> {
        match self.kept_until {
            _ if is_resume && self.has_started => Ok(()),
            None => Err(RunDenial::InProgress),
            Some(_) if self.has_started => Err(RunDenial::HasStarted),
            Some(_) => Err(RunDenial::MayHaveRun),
        }
    }
}

/// The table of names.
pub struct RunTable {
    entries: RefCell<HashMap<RunName, Entry>>,
    /// The names that are kept, in the order in which they expire.
    expiries: RefCell<BTreeSet<(Micros, RunName)>>,
    next_serial: Cell<u64>,
    budget: Budget,
    /// The bytes that names of requests that are not harmless to repeat take, and may take.
    bytes: Cell<usize>,
    max_bytes: usize,
}

impl RunTable {
    /// An empty table, whose names count against `budget`.
    pub fn new(budget: &Budget) -> Rc<Self> {
        Rc::new(RunTable {
            entries: RefCell::default(),
            expiries: RefCell::default(),
            next_serial: Cell::new(0),
            budget: budget.clone(),
            bytes: Cell::new(0),
            max_bytes: budget.left() / BUDGET_DIVISOR,
        })
    }

    /// Begins a request, unless one of the same name forbids it.
    ///
    /// # Errors
    /// The reason why the request must not be sent to a model host.
    pub fn begin(
        self: &Rc<Self>,
        name: RunName,
        options: RunOptions,
        clock: Clock,
    ) -> Result<RunRecord, RunDenial> {
        let (serial, has_started) = self.insert(&name, options, clock.now())?;
        Ok(RunRecord {
            table: self.clone(),
            name,
            serial,
            retention: options.retention,
            clock,
            may_have_run: Cell::new(false),
            has_started: Cell::new(false),
            resumes_started: has_started,
            is_ended: Cell::new(false),
        })
    }

    /// Why a request of this name, which is not in progress any more, must not begin again; `None` if it may. Ask before anything
    /// rejects a request: a rejection promises that it has not run.
    pub fn find_earlier_run(
        &self,
        name: &RunName,
        is_resume: bool,
        now: Micros,
    ) -> Option<RunDenial> {
        self.expire(now);
        let denial = self.entries.borrow().get(name)?.permit(is_resume).err()?;
        (denial != RunDenial::InProgress).then_some(denial)
    }

    /// Inserts an entry, or takes over the one of the request that is resumed. Returns its serial number, and whether an
    /// answer has begun.
    fn insert(
        &self,
        name: &RunName,
        options: RunOptions,
        now: Micros,
    ) -> Result<(u64, bool), RunDenial> {
        self.expire(now);
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(name) {
            entry.permit(options.is_resume)?;
            entry.serial = serial;
            if let Some(kept_until) = entry.kept_until.take() {
                let expiry = (kept_until, name.clone());
                self.expiries.borrow_mut().remove(&expiry);
            }
            return Ok((serial, true));
        }
        let memory = match options.retention {
            Some(_) => Some(self.reserve(name.bytes())?),
            None => None,
        };
        let entry = Entry {
            serial,
            has_started: false,
            kept_until: None,
            memory,
        };
        entries.insert(name.clone(), entry);
        Ok((serial, false))
    }

    fn reserve(&self, bytes: usize) -> Result<Reservation, RunDenial> {
        let in_all = self.bytes.get() + bytes;
        let mut memory = Reservation::new(&self.budget);
        if in_all > self.max_bytes || memory.grow(bytes).is_err() {
            return Err(RunDenial::Full);
        }
        self.bytes.set(in_all);
        Ok(memory)
    }

    /// Removes the names that have been kept long enough. Call it regularly, so that they also expire when nothing arrives.
    pub fn expire(&self, now: Micros) {
        let mut expiries = self.expiries.borrow_mut();
        while let Some((kept_until, name)) = expiries.pop_first() {
            if kept_until > now {
                expiries.insert((kept_until, name));
                return;
            }
            self.remove(&name);
        }
    }

    fn remove(&self, name: &RunName) {
        let removed = self.entries.borrow_mut().remove(name);
        if let Some(memory) = removed.and_then(|entry| entry.memory) {
            self.bytes.set(self.bytes.get() - memory.bytes());
        }
    }

    fn note_started(&self, name: &RunName, serial: u64) {
        let mut entries = self.entries.borrow_mut();
        if let Some(entry) = entries.get_mut(name).filter(|entry| entry.serial == serial) {
            entry.has_started = true;
        }
    }

    /// Ends a request: its name is kept until `kept_until`, or forgotten.
    fn end(&self, name: &RunName, serial: u64, has_started: bool, kept_until: Option<Micros>) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(name).filter(|entry| entry.serial == serial) else {
            return;
        };
        match kept_until {
            Some(until) => {
                entry.has_started = has_started;
                entry.kept_until = Some(until);
                self.expiries.borrow_mut().insert((until, name.clone()));
            }
            None => {
                drop(entries);
                self.remove(name);
            }
        }
    }
}

/// A request in progress. When it is dropped, nothing of the request is in progress any more, not even a release.
pub struct RunRecord {
    table: Rc<RunTable>,
    name: RunName,
    serial: u64,
    retention: Option<Micros>,
    clock: Clock,
    may_have_run: Cell<bool>,
    has_started: Cell<bool>,
    /// Whether the request resumes one whose answer had begun.
    resumes_started: bool,
    is_ended: Cell<bool>,
}

impl RunRecord {
    /// Sets whether the request may have run, by its attempts so far.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Notes that the answer has begun.
    pub fn note_started(&self) {
        self.has_started.set(true);
        self.table.note_started(&self.name, self.serial);
    }

    /// Notes that the request has its final answer and no attempt in flight. Its KV state may still be released, which concerns a
    /// repeat only if model hosts know both by the same id.
    pub fn note_attempts_ended(&self) {
        if let RunName::JsonRpc(_) = self.name {
            self.end();
        }
    }

    fn end(&self) {
        if self.is_ended.replace(true) {
            return;
        }
        // A resume that has not run leaves behind what it resumed.
        let may_have_run = self.may_have_run.get();
        let has_started = self.has_started.get() || self.resumes_started && !may_have_run;
        let retention = self.retention.filter(|_| may_have_run || has_started);
        let kept_until = retention.map(|retention| self.clock.now().saturating_add(retention));
        self.table
            .end(&self.name, self.serial, has_started, kept_until);
    }
}

impl std::fmt::Debug for RunRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("RunRecord").field(&self.name).finish()
    }
}

impl Drop for RunRecord {
    fn drop(&mut self) {
        self.end();
    }
}

#[cfg(test)]
mod tests;
