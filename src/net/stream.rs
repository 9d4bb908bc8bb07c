//! Reads and writes on connections, by what the system says and nothing else.
//!
//! Calls may be interrupted (EINTR), which says nothing of the connection, and reads and writes may be short. The runtime's
//! own streams hand the first on as an error, and take a read that did not fill its buffer for the last that there is: they
//! wait for more, though bytes are there. Here a call is made anew until it would block.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Makes a call anew for as long as it is interrupted.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Reads what there is, or waits.
pub fn poll_read(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match retry_interrupted(|| stream.try_read_buf(buf)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done.map(drop)),
        }
    }
}

/// Writes as much as the system takes, or waits.
pub fn poll_write(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    bufs: &[IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match retry_interrupted(|| stream.try_write_vectored(bufs)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Ends the sending of a connection.
pub fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).shutdown(Shutdown::Write)
}

/// A connection that reads and writes so.
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
