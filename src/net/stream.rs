//! Socket reads and writes that tolerate interrupted calls and short reads.
//!
//! System calls may be interrupted (EINTR), which is not a failure of the connection, and reads and writes may be short.
//! Tokio's streams return EINTR as an error, and after a read that did not fill the buffer they assume that the socket
//! is drained and wait for more, although bytes may be pending. The functions here repeat a call until it would block.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Repeats a system call while it returns EINTR.
pub fn retry_interrupted<T>(mut syscall: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match syscall() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// The maximum number of bytes of one read: less than hyper's first buffer of 8 KB. hyper enlarges a connection's buffer when
/// a read fills it, and keeps it while the connection is open, so this bounds the memory of hundreds of connections.
pub(super) const MAX_READ_BYTES: usize = 8 * 1024 - 1;

thread_local! {
    /// Receives reads that could fill more than [`MAX_READ_BYTES`] of their buffer.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(Vec::with_capacity(MAX_READ_BYTES));
}

/// Reads available bytes into `buf`, at most [`MAX_READ_BYTES`]; returns their number.
fn try_read(stream: &TcpStream, buf: &mut ReadBuf<'_>) -> io::Result<usize> {
    if buf.remaining() <= MAX_READ_BYTES {
        return stream.try_read_buf(buf);
    }
    READ_BUFFER.with_borrow_mut(|part| {
        part.clear();
        let length = stream.try_read_buf(part)?;
        buf.put_slice(part);
        Ok(length)
    })
}

/// Reads available bytes into `buf`; pending while there are none.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match retry_interrupted(|| try_read(stream, buf)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result.map(drop)),
        }
    }
}

/// Writes as many bytes as the socket accepts and returns their number; pending while it accepts none.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bufs: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match retry_interrupted(|| stream.try_write_vectored(bufs)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Shuts down the write half of a connection.
pub fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)
}

/// A TCP connection that reads and writes by [`poll_read`] and [`poll_write`].
#[derive(Debug)]
pub struct RetryingStream(pub TcpStream);

impl AsyncRead for RetryingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.0, cx, buf)
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write(&self.0, cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown_write(&self.0))
    }
}
