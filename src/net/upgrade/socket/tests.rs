use super::*;
use std::io::ErrorKind;

const CLIENTS: usize = 64;

/// A connection that is on its way; its end is not waited for.
fn begin(address: SocketAddr) -> Socket {
    let client = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    client.set_nonblocking(true).unwrap();
    let _ = client.connect(&address.into());
    client
}

async fn pair() -> (TcpListener, TcpListener) {
    let first = listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let second = listen(first.local_addr().unwrap(), true).unwrap();
    (first, second)
}

#[tokio::test]
async fn a_listener_alone_admits_none_beside_it() {
    let alone = listen("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = alone.local_addr().unwrap();
    for beside in [true, false] {
        assert_eq!(
            listen(address, beside).unwrap_err().kind(),
            ErrorKind::AddrInUse
        );
    }
}

/// Guards against clients that are reset as the first of two listeners closes.
#[tokio::test]
async fn what_one_listener_turns_away_comes_to_the_other() {
    let (first, second) = pair().await;
    let address = first.local_addr().unwrap();
    let first = first.into_std().unwrap();
    drop_new_connections(&first).unwrap();
    let clients: Vec<Socket> = (0..CLIENTS).map(|_| begin(address)).collect();
    assert_eq!(
        first.accept().unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "the system hands it nothing"
    );
    drop(first);
    for _ in &clients {
        second.accept().await.unwrap();
    }
}

/// What came before is not touched.
#[tokio::test]
async fn what_waits_to_be_accepted_is_kept_as_new_ones_are_turned_away() {
    let (first, second) = pair().await;
    let _clients: Vec<Socket> = (0..CLIENTS)
        .map(|_| begin(first.local_addr().unwrap()))
        .collect();
    let (first, second) = (first.into_std().unwrap(), second.into_std().unwrap());
    drop_new_connections(&first).unwrap();
    let count =
        |listener: &std::net::TcpListener| std::iter::from_fn(|| listener.accept().ok()).count();
    let counts = [count(&first), count(&second)];
    assert_eq!(counts.iter().sum::<usize>(), CLIENTS);
    assert!(counts.iter().all(|n| *n > 0), "{counts:?}");
}
