//! Two processes at one clients' address, while a new version takes over from a running one.
//!
//! Each process holds one of two [`lock_file`]s, files in the temporary folder with an advisory lock, and says there how far
//! it is and how many descriptors it may hold. [`share`] decides from both claims how many that are; [`socket`] opens
//! and closes a listener beside another one.

pub mod lock_file;
pub mod share;
pub mod slow_start;
pub mod socket;

use super::connections::Connections;
use super::pool::Pool;
use super::server::MAX_REFUSED_CONNECTIONS;
use crate::config::ConfigError;
use crate::dispatch::DispatcherEvent;
use crate::front::shared::{Held, Shared};
use lock_file::{LockFile, LockFileError, ProcessPhase, ProcessStatus};
use share::{DescriptorLimit, SocketSplit};
use slow_start::SlowStartPermission;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How often the other process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same while this process waits for something of the other one.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a start waits for a seat, and then for descriptors, that an earlier upgrade still holds.
const STARTUP_WAIT: Duration = Duration::from_secs(5);
/// How long a start waits for discovery's list where the list of its configuration would do. Discovery's agent is on the
/// same machine and answers at once; it tells nothing where nothing has changed.
const DISCOVERY_LIST_WAIT: Duration = Duration::from_millis(300);

/// This process's part in the service of an address.
pub enum AddressOwnership {
    /// No second process can serve the address.
    Exclusive,
    /// Another process can come, or is there.
    Shared(LockFile),
}

impl AddressOwnership {
    /// Takes a seat for an address. Port 0 is a new address each time, so there is nothing to share.
    ///
    /// # Errors
    /// Two other processes hold the seats, for longer than an upgrade takes.
    pub async fn acquire(
        folder: &Path,
        address: SocketAddr,
    ) -> Result<AddressOwnership, ConfigError> {
        if address.port() == 0 {
            return Ok(AddressOwnership::Exclusive);
        }
        let begun = Instant::now();
        loop {
            match LockFile::acquire(folder, address) {
                Ok(lock_file) => return Ok(AddressOwnership::Shared(lock_file)),
                Err(LockFileError::AllHeld) if begun.elapsed() < STARTUP_WAIT => {
                    tokio::time::sleep(WAIT_POLL_INTERVAL).await;
                }
                Err(error @ LockFileError::AllHeld) => {
                    return Err(ConfigError(format!("listen {address}: {error}")));
                }
                Err(error) => {
                    log::warn!("upgrade: {error}; no second process can serve {address}");
                    return Ok(AddressOwnership::Exclusive);
                }
            }
        }
    }

    /// How many descriptors this process may hold at first, and whether another process serves already.
    ///
    /// # Errors
    /// The other process leaves too few.
    pub async fn initial_share(
        &self,
        limit: DescriptorLimit,
    ) -> Result<(usize, bool), ConfigError> {
        let AddressOwnership::Shared(lock_file) = self else {
            return Ok((limit.total(), false));
        };
        let begun = Instant::now();
        loop {
            let other = lock_file.other_process();
            if let Some(first) = limit.initial_share(other) {
                lock_file.publish(ProcessStatus {
                    phase: ProcessPhase::Starting,
                    sockets: first,
                });
                return Ok((first, other.is_some()));
            }
            if begun.elapsed() >= STARTUP_WAIT {
                let what = "the process that serves already holds nearly all descriptors";
                return Err(ConfigError(format!("limits.sockets: {what}")));
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Opens the listener of a process that is the only one.
    ///
    /// # Errors
    /// The system's, or the address is taken by another program.
    pub fn listen_alone(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let alone = socket::listen(address, false)?;
        match self {
            AddressOwnership::Exclusive => Ok(alone),
            AddressOwnership::Shared(_) => {
                // Whoever limit no seats with this process must not be joined.
                drop(alone);
                socket::listen(address, true)
            }
        }
    }

    /// What the other process says of itself, while it holds its lock_file.
    pub fn other_process(&self) -> Option<ProcessStatus> {
        match self {
            AddressOwnership::Exclusive => None,
            AddressOwnership::Shared(lock_file) => lock_file.other_process(),
        }
    }
}

/// What two processes share out between them, as far as this one holds it.
pub struct LimitSharing {
    /// The lock_file.
    pub ownership: AddressOwnership,
    /// The limits of both.
    pub limit: DescriptorLimit,
    /// Descriptors for everything that is neither a client nor a model host.
    pub reserved: usize,
    /// Connections to model hosts.
    pub pool: Pool,
    /// Connections of clients.
    pub connections: Rc<Connections>,
    /// The budget of bodies.
    pub shared: Rc<Shared>,
    /// Bytes of bodies that are left to the other process while there is one.
    pub body_bytes_for_other: usize,
    /// How far this process is.
    pub phase: Cell<ProcessPhase>,
    /// Whether the other process serves.
    pub other_process_serves: Rc<Cell<bool>>,
    /// Whether this process may send to model hosts in slow start.
    pub slow_start: RefCell<SlowStartPermission>,
}

impl LimitSharing {
    /// Looks after the limit for good.
    pub async fn run(self: Rc<Self>) {
        let mut budget: Option<Held> = None;
        let mut had_other = false;
        loop {
            let has_other = self.update();
            if std::mem::replace(&mut had_other, has_other) != has_other {
                self.report(has_other);
            }
            if !has_other {
                budget = None;
            } else if budget.is_none() {
                let mut part = Held::new(self.shared.clone());
                budget = part.grow(self.body_bytes_for_other).then_some(part);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Says how far this process is, and looks at the other one at once.
    pub fn enter_phase(&self, phase: ProcessPhase) {
        self.phase.set(phase);
        self.update();
    }

    /// Waits until this process can serve beside the other one: hosts are known and, for a while, until discovery has
    /// published its list. A process that can't serve never listens, so the system hands it nothing. When the other one has
    /// gone there is nothing to wait for.
    pub async fn wait_until_able_to_serve(
        &self,
        able: impl Fn() -> bool,
        has_list: impl Fn() -> bool,
    ) {
        let begun = Instant::now();
        while self.ownership.other_process().is_some() {
            let is_patient = begun.elapsed() < DISCOVERY_LIST_WAIT;
            if able() && (has_list() || !is_patient) {
                return;
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Moves the bounds to what the other process leaves; whether there is one.
    fn update(&self) -> bool {
        let other = self.ownership.other_process();
        let right = self
            .slow_start
            .borrow_mut()
            .update(self.phase.get(), other.map(|status| status.phase));
        if let Some(allowed) = right {
            self.shared
                .dispatcher
                .tell(DispatcherEvent::SlowStart { allowed });
        }
        let AddressOwnership::Shared(lock_file) = &self.ownership else {
            return false;
        };
        self.other_process_serves
            .set(other.is_some_and(|status| status.phase == ProcessPhase::Serving));
        let split = SocketSplit::of_share(self.limit.target_share(other), self.reserved);
        self.pool.resize(split.hosts);
        self.connections.set_limit(
            split.clients - MAX_REFUSED_CONNECTIONS,
            &self.shared.counters,
        );
        // What is in hand can't be given back: the other process learns what is held, not what is aimed at.
        let sockets =
            self.reserved + self.pool.size() + self.connections.count().max(split.clients);
        lock_file.publish(ProcessStatus {
            phase: self.phase.get(),
            sockets,
        });
        other.is_some()
    }

    fn report(&self, has_other: bool) {
        let sockets = self.pool.size();
        if has_other {
            log::info!(
                "upgrade: two processes share the limits; {sockets} sockets for model hosts here"
            );
        } else {
            log::info!("upgrade: this process is the only one; {sockets} sockets for model hosts");
        }
    }
}

#[cfg(test)]
mod tests;
