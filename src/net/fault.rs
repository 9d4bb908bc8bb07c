//! What a failed system call says: of this machine, of one connection, or of the host at the other end.
//!
//! The one classification that all call sites use, by the calls and error numbers of Linux's manual pages (accept(2),
//! socket(2), connect(2), tcp(7), ip(7)). The table in `docs/system-calls.md` lists them with what the program does.

use std::io;
use std::time::Duration;

/// Before the next accept after one that failed for want of something on this machine.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The system call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// accept(2), accept4(2).
    Accept,
    /// socket(2) and connect(2), the handshake included.
    Connect,
}

/// What a failure concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorScope {
    /// This machine, for a moment: descriptors, memory, ports, routes. It says nothing of the other end, and the same
    /// call may succeed soon.
    Local,
    /// The one connection: the next call may go on at once.
    Connection,
    /// The host at the other end, or the way there.
    Host,
    /// The call can't succeed on this socket any more, or at this address.
    Fatal,
}

/// Classifies a failed call.
pub fn classify_error(call: SystemCall, error: &io::Error) -> ErrorScope {
    let Some(number) = error.raw_os_error() else {
        return without_number(error);
    };
    match (call, number) {
        (_, libc::EINTR) => ErrorScope::Connection,
        (_, libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => ErrorScope::Local,
        (_, libc::EBADF | libc::EINVAL | libc::ENOTSOCK | libc::EFAULT) => ErrorScope::Fatal,
        // accept(2) hands on errors that wait on the new connection; they are to be taken like EAGAIN.
        (SystemCall::Accept, libc::EOPNOTSUPP) => ErrorScope::Fatal,
        (SystemCall::Accept, _) => ErrorScope::Connection,
        // No port, no route or no permission here; the request has not left this machine.
        (SystemCall::Connect, libc::EADDRNOTAVAIL | libc::EADDRINUSE | libc::EAGAIN) => {
            ErrorScope::Local
        }
        (SystemCall::Connect, libc::ENETUNREACH | libc::ENETDOWN) => ErrorScope::Local,
        (SystemCall::Connect, libc::EPERM | libc::EACCES) => ErrorScope::Local,
        (SystemCall::Connect, libc::EAFNOSUPPORT | libc::EPROTONOSUPPORT | libc::EPROTOTYPE) => {
            ErrorScope::Fatal
        }
        // ECONNREFUSED, ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN.
        (SystemCall::Connect, _) => ErrorScope::Host,
    }
}

/// How long to wait before the next accept after one that failed; `None`: the failure was of one connection, and the
/// next may be accepted at once.
pub fn accept_retry_delay(error: &io::Error) -> Option<Duration> {
    (classify_error(SystemCall::Accept, error) != ErrorScope::Connection).then_some(ACCEPT_PAUSE)
}

/// Errors that the runtime made itself carry no number.
fn without_number(error: &io::Error) -> ErrorScope {
    match error.kind() {
        io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock => ErrorScope::Connection,
        _ => ErrorScope::Host,
    }
}

#[cfg(test)]
mod tests;
