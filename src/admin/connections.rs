//! Open connections of the admin endpoint. Above the limit, a new connection displaces the oldest one without a
//! complete request.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of concurrent connections. One more is accepted, and then an older one is displaced.
pub const MAX_CONNECTIONS: usize = 32;
/// Minimum age at which a connection may be displaced, since a request that it has sent may not have been read before.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(50);

/// A connection of the admin endpoint.
pub struct Connection {
    accepted_at: Instant,
    /// Whether the request is complete and its response is being prepared.
    pub is_answering: Cell<bool>,
    /// Notified when the connection has to make room for another one.
    pub displaced: Notify,
}

/// The open connections, in the order in which they were accepted.
#[derive(Default)]
pub struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    next_number: Cell<u64>,
    closed: Notify,
}

impl Connections {
    /// Adds a connection that was just accepted.
    pub fn enter(self: &Rc<Self>) -> ConnectionSlot {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(Connection {
            accepted_at: Instant::now(),
            is_answering: Cell::new(false),
            displaced: Notify::new(),
        });
        self.open.borrow_mut().insert(number, connection.clone());
        ConnectionSlot {
            connections: self.clone(),
            connection,
            number,
        }
    }

    /// Waits until at most [`MAX_CONNECTIONS`] are open, displacing the oldest ones without a complete request.
    pub async fn make_room(&self) {
        while self.open.borrow().len() > MAX_CONNECTIONS {
            let oldest = self
                .open
                .borrow()
                .values()
                .find(|connection| !connection.is_answering.get())
                .cloned();
            let displace = async {
                let Some(oldest) = oldest else {
                    return tokio::time::sleep(MIN_CONNECTION_AGE).await;
                };
                tokio::time::sleep_until(oldest.accepted_at + MIN_CONNECTION_AGE).await;
                if !oldest.is_answering.get() {
                    oldest.displaced.notify_one();
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                biased;
                () = self.closed.notified() => {}
                () = displace => {}
            }
        }
    }
}

/// Guard of an open connection; dropping it removes the connection from [`Connections`].
pub struct ConnectionSlot {
    connections: Rc<Connections>,
    pub connection: Rc<Connection>,
    number: u64,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
        self.connections.closed.notify_one();
    }
}

#[cfg(test)]
mod tests;
