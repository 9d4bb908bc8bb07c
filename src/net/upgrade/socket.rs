//! Listeners that share their address with the listener of another process.

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Length of the kernel's accept queue.
const BACKLOG: i32 = 1024;

/// Opens a listener; with `reuse_port`, other listeners may bind the same address (SO_REUSEPORT).
///
/// # Errors
/// The system's error, for example if the address is in use.
pub fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(reuse_port)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Has the kernel drop the first packet (SYN) of each new connection that it assigns to this listener. The client
/// retransmits it after a second, and by then the kernel assigns it to the remaining listener. Without this, closing
/// the listener resets the connections that arrive between its last accept and the close.
///
/// # Errors
/// The system does not support packet filters. New connections then arrive as before.
pub fn drop_new_connections(listener: &std::net::TcpListener) -> io::Result<()> {
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const TCP_FLAGS_AT: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    // The last packet of a handshake carries no SYN and passes, so handshakes under way complete.
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_AT),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}

#[cfg(test)]
mod tests;
