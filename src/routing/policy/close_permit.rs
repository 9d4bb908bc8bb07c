//! Permits to close client connections.
//!
//! Closing a connection loses requests that were read and have no response yet, and requests whose bytes have
//! reached this machine but were not read. So closing requires a [`ClosePermit`], which only [`permit_close`]
//! creates, from the state of the connection and its socket.

/// Why a client connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed the connection, or the connection is broken.
    ClientDisconnected,
    /// The client has exceeded the timeout for idling or for sending a request.
    TimedOut,
    /// A response was begun, and the client has not read it for too long.
    ResponseUnread,
    /// The router is draining or shutting down.
    ShuttingDown,
}

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request is in progress on the connection.
    Idle {
        /// Whether the socket has bytes that were not read yet.
        has_unread_bytes: bool,
    },
    /// A request has been received partially.
    ReceivingRequest,
    /// A request has been received completely and has no response yet.
    AwaitingResponse,
}

/// Why a connection must stay open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseDenial {
    /// The socket has unread bytes, which may be a request.
    #[error("the socket has unread bytes")]
    UnreadBytes,
    /// A request is being received and has not timed out.
    #[error("a request is being received")]
    ReceivingRequest,
    /// A request has not been answered yet.
    #[error("a request has not been answered yet")]
    AwaitingResponse,
}

/// Permission to close one client connection.
#[derive(Debug)]
pub struct ClosePermit(());

/// Decides whether a client connection may be closed now.
///
/// # Errors
/// Returns the reason if the connection must stay open.
pub fn permit_close(cause: CloseCause, state: ConnectionState) -> Result<ClosePermit, CloseDenial> {
    match (cause, state) {
        (CloseCause::ClientDisconnected | CloseCause::ResponseUnread, _) => Ok(ClosePermit(())),
        (_, ConnectionState::AwaitingResponse) => Err(CloseDenial::AwaitingResponse),
        (
            _,
            ConnectionState::Idle {
                has_unread_bytes: true,
            },
        ) => Err(CloseDenial::UnreadBytes),
        (CloseCause::ShuttingDown, ConnectionState::ReceivingRequest) => {
            Err(CloseDenial::ReceivingRequest)
        }
        (CloseCause::TimedOut, ConnectionState::ReceivingRequest)
        | (
            _,
            ConnectionState::Idle {
                has_unread_bytes: false,
            },
        ) => Ok(ClosePermit(())),
    }
}

#[cfg(test)]
mod tests;
