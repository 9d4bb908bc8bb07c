//! Permits to close client connections.
//!
//! Closing a connection loses a request that was read and has no response, and one whose bytes had reached
//! this machine. A connection is closed by a [`ClosePermit`], which only [`permit_close`] makes from the
//! state of its socket.

/// Why a client's connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed it, or it is broken.
    ClientDisconnected,
    /// A timeout has passed: idle, sending the request, or reading the response.
    TimedOut,
    /// The router drains or shuts down.
    ShuttingDown,
}

/// What is known of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request is in progress on it.
    Idle {
        /// The socket has bytes that were not read yet.
        has_unread_bytes: bool,
    },
    /// A request has been received in part.
    ReceivingRequest,
    /// A request has been received and has no response yet.
    AwaitingResponse,
}

/// Why a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseDenial {
    /// The unread bytes may be a request.
    #[error("bytes wait that were not read")]
    UnreadBytes,
    /// A request is being received, and has time left.
    #[error("a request is coming")]
    ReceivingRequest,
    /// A request has no response yet.
    #[error("a request has no answer")]
    AwaitingResponse,
}

/// Permission to close one connection.
#[derive(Debug)]
pub struct ClosePermit(());

/// Whether a connection may be closed now.
///
/// # Errors
/// Why it may not.
pub fn permit_close(cause: CloseCause, state: ConnectionState) -> Result<ClosePermit, CloseDenial> {
    match (cause, state) {
        (CloseCause::ClientDisconnected, _) => Ok(ClosePermit(())),
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
