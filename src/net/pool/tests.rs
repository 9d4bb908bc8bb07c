use super::*;

/// Guards against good answers cut off since a host has said early that it goes on.
#[test]
fn a_head_is_timed_from_its_first_byte_and_those_of_1xx_are_not_it() {
    let ahead = b"HTTP/1.1 102 Processing\r\na: b\r\n\r\n";
    let wire = [&ahead[..], b"HTTP/1.1 200 OK\r\n\r\n"].concat();
    for cut in 1..wire.len() {
        let mut head = Head::default();
        assert!(
            head.take(&wire[..cut]) == (cut != ahead.len()),
            "cut at {cut}"
        );
        head.take(&wire[cut..]);
        assert!(head.start.starts_with(b"HTTP/1.1 2"), "cut at {cut}");
    }
}

/// Guards against a release that has no socket since requests hold them all.
#[tokio::test]
async fn a_release_has_a_socket_where_nothing_else_has_one() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let wait = Duration::from_secs(5);
    let pool = Pool::new(2 * RESERVE, wait, wait, Rc::default());
    let target = |reserved| Target {
        worker: WorkerId("a".into()),
        address,
        connect_timeout: None,
        may_use_reserve: reserved,
        requires_new: false,
    };
    let ask = |reserved| pool.clone().connect(target(reserved));
    let run = async {
        let mut open = Vec::new();
        for _ in 0..2 * RESERVE - 2 {
            open.push(ask(false).await.unwrap());
        }
        assert!(matches!(ask(false).await, Err(ConnectError::OverBound)));
        for _ in 0..2 {
            open.push(ask(true).await.unwrap());
        }
        assert!(matches!(ask(true).await, Err(ConnectError::OverBound)));
    };
    tokio::task::LocalSet::new().run_until(run).await;
}

#[test]
fn a_request_is_complete_with_its_last_byte_and_not_before() {
    let meter = Meter::default();
    let wire = b"POST / HTTP/1.1\r\nA: b\r\n\r\nbody";
    for cut in 1..wire.len() {
        let counters = Rc::<Counters>::default();
        meter.begin(4, Some(counters.clone()));
        meter.count(&wire[..cut]);
        assert!(!meter.complete(), "after {cut} bytes");
        assert_eq!(counters.written_whole.get(), 0, "after {cut} bytes");
        meter.count(&wire[cut..]);
        assert!(meter.complete(), "cut at {cut}");
        assert_eq!(counters.written_whole.get(), 1, "cut at {cut}");
    }
}

/// Guards against releases and probes in the count of attempts, and against an attempt counted for the next request.
#[test]
fn what_is_no_attempt_is_not_counted_as_one() {
    let (meter, counters) = (Meter::default(), Rc::<Counters>::default());
    let wire = b"DELETE / HTTP/1.1\r\nA: b\r\n\r\n";
    meter.begin(0, Some(counters.clone()));
    meter.count(&wire[..9]);
    meter.begin(0, None);
    meter.count(wire);
    assert!(meter.complete());
    assert_eq!(counters.written_whole.get(), 0);
}

/// Guards against requests that a lowered bound cuts off, and against two processes that hold more than they share.
#[tokio::test]
async fn a_bound_comes_down_as_what_is_in_use_ends_and_goes_up_at_once() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let wait = Duration::from_secs(5);
    let whole = 2 * RESERVE;
    let pool = Pool::new(whole, wait, wait, Rc::default());
    let target = Target {
        worker: WorkerId("a".into()),
        address,
        connect_timeout: None,
        may_use_reserve: false,
        requires_new: false,
    };
    let run = async {
        let mut open = Vec::new();
        for _ in 0..whole / 2 {
            open.push(pool.clone().connect(target.clone()).await.unwrap());
        }
        pool.resize(whole / 4);
        let reserve = whole / RESERVE;
        assert_eq!(pool.size(), whole / 2 + reserve, "what is in use stays");
        let refused = pool.clone().connect(target.clone()).await;
        assert!(matches!(refused, Err(ConnectError::OverBound)));
        open.truncate(1);
        pool.resize(whole / 4);
        assert_eq!(pool.size(), whole / 4);
        // What idles goes first.
        pool.put_back(&target, open.pop().unwrap());
        pool.resize(reserve);
        assert_eq!(pool.size(), reserve);
        pool.resize(whole);
        assert_eq!(pool.size(), whole);
        pool.clone().connect(target.clone()).await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(run).await;
}
