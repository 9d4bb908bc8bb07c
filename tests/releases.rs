//! What is held is let go of whatever else happens: releases between scripted peers on loopback sockets.

mod support;

use bytes::Bytes;
use rstest::rstest;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};
use support::*;
use tokio::sync::oneshot;
use whinhaven::counters::Counters as Counts;
use whinhaven::dispatch::{Attempt, Clock, DispatcherEvent, DispatcherHandle, Outbound};
use whinhaven::exchange::UpstreamRequest;
use whinhaven::memory::Budget;
use whinhaven::net::client::HostClient;
use whinhaven::net::discovery::{Directory, Listing};
use whinhaven::net::event_memory::EventMemory;
use whinhaven::net::pool::Pool;
use whinhaven::routing::types::*;

/// A host of both kinds: reads what it is sent, fails what it is to write, and lets `release` answer a release.
fn host(release: impl Fn(&mut Conn) -> bool + Send + Sync + 'static) -> Peer {
    let posts = AtomicU32::new(0);
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            return release(conn);
        }
        if posts.fetch_add(1, Ordering::SeqCst) == 0 {
            conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        } else {
            conn.answer("500 Internal Server Error", "", "");
        }
        true
    })
}

/// Guards against a state that nobody lets go of any more: a release was given up after 2 s, to be begun anew with
/// the next attempt that ends, and a request that is over has none.
#[test]
fn a_release_outlives_its_request_until_a_host_takes_it() {
    let (tell, told) = mpsc::channel();
    let first = Arc::new(Mutex::new((None::<Instant>, tell)));
    let host = host(move |conn| {
        let mut first = first.lock().unwrap();
        let begun = *first.0.get_or_insert_with(Instant::now);
        if begun.elapsed() < Duration::from_millis(2_300) {
            return false;
        }
        conn.answer("204 No Content", "", "");
        let _ = first.1.send(());
        true
    });
    let conductor = Conductor::start(&operator_file(&[host.address], &[host.address], ""));
    assert_eq!(conductor.ask("id-1", "send").status(), 502);
    told.recv_timeout(STUCK)
        .expect("the state is held for good");
    assert_eq!(conductor.stop().get("releases_failed"), 0);
}

/// Guards against an end of the process before what its last requests left is let go of: it waited for 50 ms.
#[rstest]
#[case::refused(false)]
#[case::turned_away(true)]
fn the_end_waits_for_releases_that_are_under_way(#[case] turned_away: bool) {
    let (tell, told) = mpsc::channel();
    let (tell, calls) = (Mutex::new(tell), AtomicU32::new(0));
    let host = host(move |conn| {
        // By the pauses between calls alone that takes longer than new connections are accepted for after SIGTERM.
        if calls.fetch_add(1, Ordering::SeqCst) < 15 {
            if turned_away {
                conn.answer("503 Service Unavailable", "x-not-run: 1\r\n", "");
            }
            return turned_away;
        }
        conn.answer("204 No Content", "", "");
        let _ = tell.lock().unwrap().send(());
        true
    });
    let conductor = Conductor::start(&operator_file(&[host.address], &[host.address], ""));
    assert_eq!(conductor.ask("id-1", "send").status(), 502);
    conductor.stop();
    told.try_recv()
        .expect("the process ended before its release was taken");
}

/// The permit of a module's first send to a worker.
fn permit_to_send_to(entry: Endpoint) -> SendPermit {
    let settings = RoutingConfig {
        routers: 1,
        classes: vec![RequestClass {
            name: "chat".into(),
            ttft_objective: 1_000_000,
            ..RequestClass::default()
        }],
        max_attempts: 6,
        kv_state_hold_limit: 500_000,
        ..RoutingConfig::default()
    };
    let ask = RequestSpec {
        request: RequestId(1),
        deadline: 60_000_000,
        session: None,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        duration_hint: None,
        class: "chat".into(),
        tenant: None,
    };
    let (mut module, mut actions) = (whinhaven::Policy::new(settings, 1), Vec::new());
    module.handle(
        0,
        Event::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints: vec![entry],
        },
        &mut actions,
    );
    module.handle(0, Event::RequestArrived(ask), &mut actions);
    let permit = |action| {
        if let Action::Send { permit, .. } = action {
            Some(permit)
        } else {
            None
        }
    };
    actions.into_iter().find_map(permit).expect("a send")
}

/// Guards against work for nobody: an attempt that was ordered before its client left, and waits for a connection or a
/// release meanwhile, also where attempts may not be dropped.
#[rstest]
#[case::there(false, 1, AttemptOutcome::Prefilled)]
#[case::gone(true, 0, AttemptOutcome::NotSent)]
fn nothing_is_sent_for_a_client_that_has_left(
    #[case] left: bool,
    #[case] sent: usize,
    #[case] ended: AttemptOutcome,
) {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let peer = Peer::start(move |message, conn| {
        let _ = tell.lock().unwrap().send(message.line.clone());
        conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        true
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let outcome = tokio::task::LocalSet::new().block_on(&runtime, async {
        let (dispatcher, mut queue) = DispatcherHandle::channel(Clock::start());
        let (counters, directory) = (Rc::<Counts>::default(), Rc::<Directory>::default());
        let worker = WorkerId("prompt-0".into());
        let (zone, kind) = (String::new(), "prompt".into());
        let entry = Endpoint {
            worker: worker.clone(),
            zone,
            kind,
            cell: 0,
            status: Status::Ready,
            weight: 1.0,
            started: None,
        };
        directory.apply(&Listing {
            seq: 1,
            is_full: true,
            entries: vec![(entry.clone(), Some(peer.address))],
        });
        let wait = Duration::from_secs(5);
        let event_memory =
            EventMemory::new(Budget::new(1024 * 1024), Rc::default(), counters.clone());
        let hosts = HostClient {
            directory,
            pool: Pool::new(64, wait, wait, counters.clone()),
            dispatcher: dispatcher.clone(),
            counters,
            resubscribe: Rc::default(),
            pending_releases: Rc::default(),
            late_arrivals: Rc::default(),
            event_memory,
        };
        let (id, target, body) = (
            "id-1".to_owned(),
            "/".to_owned(),
            Bytes::from_static(b"hello"),
        );
        let (_cancel, cancelled) = oneshot::channel();
        hosts.send(Attempt {
            request: RequestId(1),
            attempt: AttemptIndex(0),
            worker,
            upstream_request: Rc::new(UpstreamRequest {
                id,
                target,
                headers: hyper::HeaderMap::new(),
                body: body.into(),
                lifetime_guards: None,
                run_record: None,
                claim_key: None,
            }),
            max_attempts: 6,
            first_event_deadline: dispatcher.clock.now() + 60_000_000,
            permit: permit_to_send_to(entry),
            wait_for_release: None,
            cancelled,
            client_disconnected: Rc::new(Cell::new(left)),
        });
        match queue.recv().await {
            Some(DispatcherEvent::AttemptCompleted { outcome, .. }) => outcome,
            _ => panic!("no end of the attempt"),
        }
    });
    assert_eq!(outcome, ended);
    drop(peer);
    assert_eq!(told.try_iter().count(), sent);
}
