//! Whether a client's connection may be closed now.
//!
//! A request that was read and is closed without an answer is lost, and so is one whose bytes had reached
//! this machine when its connection was closed. A connection is closed by a [`ClosePermit`], which only
//! [`permit_close`] makes from what its socket says at that moment.

/// Why a client's connection is to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed it, or it is broken.
    ClientGone,
    /// The time is over that its client had to say something, to send its request, or to take its answer.
    TimeOver,
    /// The conductor drains or ends.
    Ending,
}

/// What is known of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// No request is under way on it.
    Resting {
        /// The system holds bytes that were not read yet.
        has_unread: bool,
    },
    /// A request has begun to come and is not whole.
    Arriving,
    /// A request has come whole and has no answer yet.
    InHand,
}

/// Why a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseDenial {
    /// What has come may be a request.
    #[error("bytes wait that were not read")]
    Unread,
    /// A request is coming, and has time left.
    #[error("a request is coming")]
    Arriving,
    /// A request has no answer yet.
    #[error("a request has no answer")]
    InHand,
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
        (CloseCause::ClientGone, _) => Ok(ClosePermit(())),
        (_, ConnectionState::InHand) => Err(CloseDenial::InHand),
        (_, ConnectionState::Resting { has_unread: true }) => Err(CloseDenial::Unread),
        (CloseCause::Ending, ConnectionState::Arriving) => Err(CloseDenial::Arriving),
        (CloseCause::TimeOver, ConnectionState::Arriving)
        | (_, ConnectionState::Resting { has_unread: false }) => Ok(ClosePermit(())),
    }
}

#[cfg(test)]
mod tests;
