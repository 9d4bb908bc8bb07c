//! Two processes at one client address, while a new version takes over from a running one.
//!
//! Each process holds one of two [`lock_file`]s in the temporary folder and publishes its phase and its descriptor
//! limit there. [`share`] computes from both statuses how many descriptors each may hold; [`socket`] opens and closes
//! a listener that shares its address with another one.

pub mod lock_file;
pub mod share;
pub mod slow_start;
pub mod socket;

use super::connections::Connections;
use super::pool::Pool;
use super::server::MAX_REFUSED_CONNECTIONS;
use crate::config::ConfigError;
use crate::dispatch::DispatcherEvent;
use crate::front::shared::Shared;
use crate::memory::Reservation;
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

/// Interval at which the status of the other process is read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval while this process waits for a change by the other one.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a start waits for a lock file, and then for descriptors, that an earlier upgrade still holds.
const STARTUP_WAIT: Duration = Duration::from_secs(5);
/// How long a start waits for discovery's list although the configured list is sufficient. The discovery agent runs
/// on the same machine and answers at once; it sends nothing if nothing has changed.
const DISCOVERY_LIST_WAIT: Duration = Duration::from_millis(300);

/// Whether this process may share its client address with another process.
pub enum AddressOwnership {
    /// No second process can serve the address.
    Exclusive,
    /// A second process may start, or is running.
    Shared(LockFile),
}

impl AddressOwnership {
    /// Acquires a lock file for the address. Port 0 gives a new address each time, so there is nothing to share. If a
    /// lock file cannot be used, logs a warning and returns [`AddressOwnership::Exclusive`].
    ///
    /// # Errors
    /// Both lock files stay held by other processes for longer than an upgrade takes.
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

    /// Returns how many descriptors this process may hold at first, and whether another process is running.
    ///
    /// # Errors
    /// The other process leaves too few descriptors.
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
                let what = "the running process leaves too few descriptors to start a second one";
                let advice = "wait until it has fewer connections, or raise the limit of both";
                return Err(ConfigError(format!("limits.sockets: {what}; {advice}")));
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Opens the listener of a process that runs alone.
    ///
    /// # Errors
    /// The system's error, or the address is in use by another program.
    pub fn listen_alone(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let alone = socket::listen(address, false)?;
        match self {
            AddressOwnership::Exclusive => Ok(alone),
            AddressOwnership::Shared(_) => {
                // Opened without SO_REUSEPORT first, which fails if a program that does not use the lock files has
                // the address: its listener must not be joined.
                drop(alone);
                socket::listen(address, true)
            }
        }
    }

    /// Status of the other process; `None` if no other process holds a lock file.
    pub fn other_process(&self) -> Option<ProcessStatus> {
        match self {
            AddressOwnership::Exclusive => None,
            AddressOwnership::Shared(lock_file) => lock_file.other_process(),
        }
    }
}

/// The limits that two processes share, as applied to this one.
pub struct LimitSharing {
    /// Lock file of this process, if the address can be shared.
    pub ownership: AddressOwnership,
    /// Descriptor limit of both processes together.
    pub limit: DescriptorLimit,
    /// Number of descriptors used for neither clients nor model hosts.
    pub reserved: usize,
    /// Pool of connections to model hosts.
    pub pool: Pool,
    /// Table of client connections, whose limit follows this process's share of the descriptors.
    pub connections: Rc<Connections>,
    /// Shared state with the memory budget of bodies.
    pub shared: Rc<Shared>,
    /// Bytes of the body budget that are left to the other process while there is one.
    pub body_bytes_for_other: usize,
    /// Life-cycle phase of this process.
    pub phase: Cell<ProcessPhase>,
    /// Whether the other process serves the address; updated here, read by the listener and the shutdown.
    pub other_process_serves: Rc<Cell<bool>>,
    /// Decides whether this process may send to model hosts in slow start.
    pub slow_start: RefCell<SlowStartPermission>,
}

impl LimitSharing {
    /// Applies the shared limits until the process exits.
    pub async fn run(self: Rc<Self>) {
        let mut budget: Option<Reservation> = None;
        let mut had_other = false;
        loop {
            let has_other = self.update();
            if std::mem::replace(&mut had_other, has_other) != has_other {
                self.report(has_other);
            }
            if !has_other {
                budget = None;
            } else if budget.is_none() {
                let mut part = Reservation::new(&self.shared.body_budget);
                budget = part.grow(self.body_bytes_for_other).is_ok().then_some(part);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Enters a phase, publishes it, and reads the status of the other process at once.
    pub fn enter_phase(&self, phase: ProcessPhase) {
        self.phase.set(phase);
        self.update();
    }

    /// Waits until this process can serve in parallel with the other one: workers are known and discovery has sent
    /// its list, or `DISCOVERY_LIST_WAIT` has passed. A process that cannot serve does not listen, so the kernel
    /// assigns it no connections. Returns at once when the other process is gone.
    pub async fn wait_until_able_to_serve(
        &self,
        has_workers: impl Fn() -> bool,
        has_list: impl Fn() -> bool,
    ) {
        let begun = Instant::now();
        while self.ownership.other_process().is_some() {
            let is_waiting_for_list = begun.elapsed() < DISCOVERY_LIST_WAIT;
            if has_workers() && (has_list() || !is_waiting_for_list) {
                return;
            }
            tokio::time::sleep(WAIT_POLL_INTERVAL).await;
        }
    }

    /// Sets the limits to what the other process leaves; returns whether there is one.
    fn update(&self) -> bool {
        let other = self.ownership.other_process();
        let permission = self
            .slow_start
            .borrow_mut()
            .update(self.phase.get(), other.map(|status| status.phase));
        if let Some(allowed) = permission {
            self.shared
                .dispatcher
                .send(DispatcherEvent::SlowStart { allowed });
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
        // Descriptors in use cannot be given up, so the status states what is held, not the target.
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
                "upgrade: two processes share the limits; this one may use {sockets} sockets for model hosts"
            );
        } else {
            log::info!(
                "upgrade: this process is the only one; it may use {sockets} sockets for model hosts"
            );
        }
    }
}

#[cfg(test)]
mod tests;
