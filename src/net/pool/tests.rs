use super::*;

/// Guards against valid responses that time out because an earlier 1xx head was counted as their start.
#[test]
fn head_is_timed_from_its_first_byte_and_1xx_heads_are_skipped() {
    let interim = b"HTTP/1.1 102 Processing\r\na: b\r\n\r\n";
    let bytes = [&interim[..], b"HTTP/1.1 200 OK\r\n\r\n"].concat();
    for cut in 1..bytes.len() {
        let mut head = ResponseHead::default();
        assert!(
            head.push(&bytes[..cut]) == (cut != interim.len()),
            "cut at {cut}"
        );
        head.push(&bytes[cut..]);
        assert!(head.prefix.starts_with(b"HTTP/1.1 2"), "cut at {cut}");
    }
}

/// Guards against a release that cannot connect because other requests hold all sockets.
#[tokio::test]
async fn releases_get_a_reserved_socket_when_all_others_are_in_use() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_secs(5);
    let pool = Pool::new(2 * RELEASE_RESERVE_DIVISOR, timeout, timeout, Rc::default());
    let target = |reserved| Target {
        worker: WorkerId("a".into()),
        address,
        connect_timeout: None,
        may_use_reserve: reserved,
        requires_new: false,
    };
    let connect = |reserved| pool.clone().connect(target(reserved));
    let test_body = async {
        let mut connections = Vec::new();
        for _ in 0..2 * RELEASE_RESERVE_DIVISOR - 2 {
            connections.push(connect(false).await.unwrap());
        }
        assert!(matches!(
            connect(false).await,
            Err(ConnectError::SocketLimit)
        ));
        for _ in 0..2 {
            connections.push(connect(true).await.unwrap());
        }
        assert!(matches!(
            connect(true).await,
            Err(ConnectError::SocketLimit)
        ));
    };
    tokio::task::LocalSet::new().run_until(test_body).await;
}

#[test]
fn a_request_counts_as_written_with_its_last_byte_and_not_before() {
    let meter = IoMeter::default();
    let bytes = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 1..bytes.len() {
        let counters = Rc::<Counters>::default();
        meter.begin_request(4, Some(counters.clone()));
        meter.note_written(&bytes[..cut]);
        assert!(!meter.is_written(), "after {cut} bytes");
        assert_eq!(counters.written_whole.get(), 0, "after {cut} bytes");
        meter.note_written(&bytes[cut..]);
        assert!(meter.is_written(), "cut at {cut}");
        assert_eq!(counters.written_whole.get(), 1, "cut at {cut}");
    }
}

/// Guards against releases and probes that are counted as attempts, and against an incomplete attempt that is counted
/// when the next request is complete.
#[test]
fn only_attempts_are_counted_as_written() {
    let (meter, counters) = (IoMeter::default(), Rc::<Counters>::default());
    let bytes = b"DELETE / HTTP/1.1\r\nA: b\r\n\r\n";
    meter.begin_request(0, Some(counters.clone()));
    meter.note_written(&bytes[..9]);
    meter.begin_request(0, None);
    meter.note_written(bytes);
    assert!(meter.is_written());
    assert_eq!(counters.written_whole.get(), 0);
}

/// Guards against a lowered limit that aborts requests in progress, and against two processes that together hold more
/// sockets than the limit they share during an upgrade.
#[tokio::test]
async fn lowering_the_limit_waits_for_connections_in_use_and_raising_it_is_immediate() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_secs(5);
    let limit = 2 * RELEASE_RESERVE_DIVISOR;
    let pool = Pool::new(limit, timeout, timeout, Rc::default());
    let target = Target {
        worker: WorkerId("a".into()),
        address,
        connect_timeout: None,
        may_use_reserve: false,
        requires_new: false,
    };
    let test_body = async {
        let mut connections = Vec::new();
        for _ in 0..limit / 2 {
            connections.push(pool.clone().connect(target.clone()).await.unwrap());
        }
        pool.resize(limit / 4);
        let release_reserve = limit / RELEASE_RESERVE_DIVISOR;
        assert_eq!(
            pool.size(),
            limit / 2 + release_reserve,
            "connections in use stay open"
        );
        let refused = pool.clone().connect(target.clone()).await;
        assert!(matches!(refused, Err(ConnectError::SocketLimit)));
        connections.truncate(1);
        pool.resize(limit / 4);
        assert_eq!(pool.size(), limit / 4);
        // Idle connections are closed first.
        pool.put_back(&target, connections.pop().unwrap());
        pool.resize(release_reserve);
        assert_eq!(pool.size(), release_reserve);
        pool.resize(limit);
        assert_eq!(pool.size(), limit);
        pool.clone().connect(target.clone()).await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(test_body).await;
}
