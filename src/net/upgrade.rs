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
use super::server::OVER;
use crate::config::ConfigError;
use crate::dispatch::DispatcherEvent;
use crate::front::shared::{BudgetReservation, Shared};
use lock_file::{Claim, Phase, Seat, SeatError};
use share::{Shares, Split};
use slow_start::SlowStartRight;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// How often the other process is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// The same while this process waits for something of the other one.
const LOOK_CLOSELY: Duration = Duration::from_millis(10);
/// How long a start waits for a seat, and then for descriptors, that an earlier upgrade still holds.
const SEAT_WAIT: Duration = Duration::from_secs(5);
/// How long a start waits for discovery's list where the list of its configuration would do. Discovery's agent is on the
/// same machine and answers at once; it tells nothing where nothing has changed.
const LIST_WAIT: Duration = Duration::from_millis(300);

/// This process's part in the service of an address.
pub enum Place {
    /// No second process can serve the address.
    Exclusive,
    /// Another process can come, or is there.
    Shared(Seat),
}

impl Place {
    /// Takes a seat for an address. Port 0 is a new address each time, so there is nothing to share.
    ///
    /// # Errors
    /// Two other processes hold the seats, for longer than an upgrade takes.
    pub async fn take(folder: &Path, address: SocketAddr) -> Result<Place, ConfigError> {
        if address.port() == 0 {
            return Ok(Place::Exclusive);
        }
        let begun = Instant::now();
        loop {
            match Seat::take(folder, address) {
                Ok(seat) => return Ok(Place::Shared(seat)),
                Err(SeatError::Taken) if begun.elapsed() < SEAT_WAIT => {
                    tokio::time::sleep(LOOK_CLOSELY).await;
                }
                Err(error @ SeatError::Taken) => {
                    return Err(ConfigError(format!("listen {address}: {error}")));
                }
                Err(error) => {
                    log::warn!("upgrade: {error}; no second process can serve {address}");
                    return Ok(Place::Exclusive);
                }
            }
        }
    }

    /// How many descriptors this process may hold at first, and whether another process serves already.
    ///
    /// # Errors
    /// The other process leaves too few.
    pub async fn first_share(&self, shares: Shares) -> Result<(usize, bool), ConfigError> {
        let Place::Shared(seat) = self else {
            return Ok((shares.whole(), false));
        };
        let begun = Instant::now();
        loop {
            let other = seat.other();
            if let Some(first) = shares.first(other) {
                seat.tell(Claim {
                    phase: Phase::Starting,
                    sockets: first,
                });
                return Ok((first, other.is_some()));
            }
            if begun.elapsed() >= SEAT_WAIT {
                let what = "the process that serves already holds nearly all descriptors";
                return Err(ConfigError(format!("limits.sockets: {what}")));
            }
            tokio::time::sleep(LOOK_CLOSELY).await;
        }
    }

    /// Opens the listener of a process that is the only one.
    ///
    /// # Errors
    /// The system's, or the address is taken by another program.
    pub fn listen_alone(&self, address: SocketAddr) -> std::io::Result<TcpListener> {
        let alone = socket::listen(address, false)?;
        match self {
            Place::Exclusive => Ok(alone),
            Place::Shared(_) => {
                // Whoever shares no seats with this process must not be joined.
                drop(alone);
                socket::listen(address, true)
            }
        }
    }

    /// What the other process says of itself, while it holds its seat.
    pub fn other(&self) -> Option<Claim> {
        match self {
            Place::Exclusive => None,
            Place::Shared(seat) => seat.other(),
        }
    }
}

/// What two processes share out between them, as far as this one holds it.
pub struct Sharing {
    /// The seat.
    pub place: Place,
    /// The limits of both.
    pub shares: Shares,
    /// Descriptors for everything that is neither a client nor a model host.
    pub spare: usize,
    /// Connections to model hosts.
    pub pool: Pool,
    /// Connections of clients.
    pub open: Rc<Connections>,
    /// The budget of bodies.
    pub shared: Rc<Shared>,
    /// Bytes of bodies that are left to the other process while there is one.
    pub left_to_other: usize,
    /// How far this process is.
    pub phase: Cell<Phase>,
    /// Whether the other process serves.
    pub other_serves: Rc<Cell<bool>>,
    /// Whether this process may send to model hosts in slow start.
    pub slow_start: RefCell<SlowStartRight>,
}

impl Sharing {
    /// Looks after the shares for good.
    pub async fn look_after(self: Rc<Self>) {
        let mut budget: Option<BudgetReservation> = None;
        let mut had_other = false;
        loop {
            let has_other = self.look();
            if std::mem::replace(&mut had_other, has_other) != has_other {
                self.report(has_other);
            }
            if !has_other {
                budget = None;
            } else if budget.is_none() {
                let mut part = BudgetReservation::new(self.shared.clone());
                budget = part.grow(self.left_to_other).then_some(part);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Says how far this process is, and looks at the other one at once.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.look();
    }

    /// Waits until this process can serve beside the other one: hosts are known and, for a while, until discovery has
    /// told its list. A process that can't serve never listens, so the system hands it nothing. When the other one has
    /// gone there is nothing to wait for.
    pub async fn wait_to_serve(&self, able: impl Fn() -> bool, has_list: impl Fn() -> bool) {
        let begun = Instant::now();
        while self.place.other().is_some() {
            let is_patient = begun.elapsed() < LIST_WAIT;
            if able() && (has_list() || !is_patient) {
                return;
            }
            tokio::time::sleep(LOOK_CLOSELY).await;
        }
    }

    /// Moves the bounds to what the other process leaves; whether there is one.
    fn look(&self) -> bool {
        let other = self.place.other();
        let right = self
            .slow_start
            .borrow_mut()
            .update(self.phase.get(), other.map(|claim| claim.phase));
        if let Some(allowed) = right {
            self.shared
                .dispatcher
                .send(DispatcherEvent::SlowStart { allowed });
        }
        let Place::Shared(seat) = &self.place else {
            return false;
        };
        self.other_serves
            .set(other.is_some_and(|claim| claim.phase == Phase::Serving));
        let split = Split::of(self.shares.target(other), self.spare);
        self.pool.resize(split.hosts);
        self.open
            .bound_to(split.clients - OVER, &self.shared.counters);
        // What is in hand can't be given back: the other process learns what is held, not what is aimed at.
        let sockets = self.spare + self.pool.size() + self.open.count().max(split.clients);
        seat.tell(Claim {
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
