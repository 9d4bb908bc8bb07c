//! Classifies failed system calls by what they concern: this machine, one connection, or the peer.
//!
//! All call sites use this one classification. It follows the error numbers in Linux's manual pages accept(2),
//! socket(2), connect(2), tcp(7) and ip(7). `docs/system-calls.md` lists them with the program's reactions.

use std::io;
use std::time::Duration;

/// Delay before the next accept after one that failed for lack of a local resource.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// accept(2) or accept4(2), on a listening socket.
    Accept,
    /// socket(2) and connect(2), including the TCP handshake.
    Connect,
}

/// What an error concerns, and so what the caller may do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorScope {
    /// This machine, temporarily: file descriptors, memory, ports or routes are lacking. The peer may be healthy, and
    /// the same call may succeed soon.
    Local,
    /// A single connection; the next call can be made at once.
    Connection,
    /// The peer, or the network path to it.
    Peer,
    /// The socket or the address: the call can never succeed on it.
    Fatal,
}

/// Classifies the error of a failed system call.
pub fn classify_error(call: SystemCall, error: &io::Error) -> ErrorScope {
    let Some(errno) = error.raw_os_error() else {
        return scope_by_kind(error);
    };
    match (call, errno) {
        (_, libc::EINTR) => ErrorScope::Connection,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => ErrorScope::Local,
        (_, libc::EBADF | libc::EINVAL | libc::ENOTSOCK | libc::EFAULT) => ErrorScope::Fatal,
        // accept(2) returns pending network errors of the new connection; they are to be treated like EAGAIN.
        (SystemCall::Accept, libc::EOPNOTSUPP) => ErrorScope::Fatal,
        (SystemCall::Accept, _) => ErrorScope::Connection,
        // No free port, no route or no permission on this machine; nothing was sent.
        (SystemCall::Connect, libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN) => {
            ErrorScope::Local
        }
        (SystemCall::Connect, libc::ENETUNREACH | libc::ENETDOWN) => ErrorScope::Local,
        (SystemCall::Connect, libc::EPERM | libc::EACCES) => ErrorScope::Local,
        (SystemCall::Connect, libc::EAFNOSUPPORT | libc::EPROTONOSUPPORT | libc::EPROTOTYPE) => {
            ErrorScope::Fatal
        }
        // ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN.
        (SystemCall::Connect, _) => ErrorScope::Peer,
    }
}

/// How long to wait before the next accept after a failed one; `None` if only a single connection failed, so that the
/// next accept can follow at once.
pub fn accept_retry_delay(error: &io::Error) -> Option<Duration> {
    (classify_error(SystemCall::Accept, error) != ErrorScope::Connection)
        .then_some(ACCEPT_RETRY_DELAY)
}

/// Classifies an error without an error number, as the runtime creates them itself.
fn scope_by_kind(error: &io::Error) -> ErrorScope {
    match error.kind() {
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => ErrorScope::Connection,
        _ => ErrorScope::Peer,
    }
}

#[cfg(test)]
mod tests;
