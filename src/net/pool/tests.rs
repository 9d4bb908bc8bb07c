use super::*;

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
