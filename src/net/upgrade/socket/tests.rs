use super::*;
use std::io::ErrorKind;

const CLIENTS: usize = 64;

/// Starts to connect without waiting for the result.
fn start_connecting(address: SocketAddr) -> Socket {
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    client.set_nonblocking(true).unwrap();
    let _ = client.connect(&address.into());
    client
}

async fn listener_pair() -> (TcpListener, TcpListener) {
    let first = listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let second = listen(first.local_addr().unwrap(), true).unwrap();
    (first, second)
}

#[tokio::test]
async fn exclusive_listener_prevents_a_second_one() {
    let exclusive = listen("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = exclusive.local_addr().unwrap();
    for reuse_port in [true, false] {
        assert_eq!(
            listen(address, reuse_port).unwrap_err().kind(),
            ErrorKind::AddrInUse
        );
    }
}

/// Guards against clients that are reset when the first of two listeners closes.
#[tokio::test]
async fn connections_dropped_by_one_listener_reach_the_other() {
    let (first, second) = listener_pair().await;
    let address = first.local_addr().unwrap();
    let first = first.into_std().unwrap();
    drop_new_connections(&first).unwrap();
    let clients: Vec<Socket> = (0..CLIENTS).map(|_| start_connecting(address)).collect();
    assert_eq!(
        first.accept().unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "the kernel assigns it no connection"
    );
    drop(first);
    for _ in &clients {
        second.accept().await.unwrap();
    }
}

/// Connections that arrived before the filter was attached are not affected.
#[tokio::test]
async fn connections_in_the_accept_queue_survive_the_packet_filter() {
    let (first, second) = listener_pair().await;
    let _clients: Vec<Socket> = (0..CLIENTS)
        .map(|_| start_connecting(first.local_addr().unwrap()))
        .collect();
    let (first, second) = (first.into_std().unwrap(), second.into_std().unwrap());
    drop_new_connections(&first).unwrap();
    let count =
        |listener: &std::net::TcpListener| std::iter::from_fn(|| listener.accept().ok()).count();
    let counts = [count(&first), count(&second)];
    assert_eq!(counts.iter().sum::<usize>(), CLIENTS);
    assert!(counts.iter().all(|n| *n > 0), "{counts:?}");
}
