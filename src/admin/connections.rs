//! Connections of the admin endpoint, and how a new one displaces an old one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Most connections at once; one more is accepted to find out which one it displaces.
pub const MAX_CONNECTIONS: usize = 32;
/// A connection is not displaced before: what it has sent may not have been read yet.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(50);

/// A connection of the admin endpoint.
pub struct Connection {
    accepted_at: Instant,
    /// Whether its request is complete and the response is being made.
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

    /// Waits until there are at most [`MAX_CONNECTIONS`]: the oldest one without a complete request is displaced.
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

/// Keeps a connection among the open ones until it is dropped.
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
