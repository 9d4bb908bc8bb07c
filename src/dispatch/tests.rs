use super::timers::MAX_STALE_DEADLINES;
use super::*;
use crate::exchange::UpstreamRequest;
use crate::routing::types::*;
use crate::shutdown::{AdmissionPermit, Shutdown, StopRequest};
use bytes::Bytes;
use std::rc::Rc;

struct NullOutbound;

impl Outbound for NullOutbound {
    fn send(&self, _: Attempt) {}
    fn release(&self, _: Rc<UpstreamRequest>, _: ReleasePermit, _: Rc<ReleaseProgress>) {}
    fn subscribe(&self) {}
}

/// Guards against memory that grows with each request for as long as the longest deadline that clients state.
#[tokio::test]
async fn finished_requests_leave_no_deadline_timers() {
    let clock = Clock::start();
    let (handle, mut queue) = DispatcherHandle::channel(clock);
    let mut dispatcher = Dispatcher::new(
        RoutingConfig::default(),
        1,
        clock,
        Rc::new(NullOutbound),
        Rc::default(),
    );
    for _ in 0..5 * MAX_STALE_DEADLINES {
        let spec = RequestSpec {
            request: RequestId(0),
            deadline: clock.now() + 600_000_000,
            session: None,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            duration_hint: None,
            class: String::new(),
            tenant: None,
        };
        let target = String::new();
        let upstream_request = UpstreamRequest {
            id: String::new(),
            target,
            headers: hyper::HeaderMap::new(),
            body: Bytes::new().into(),
            lifetime_guards: None,
            run_record: None,
            claim_key: None,
        };
        drop(handle.submit(spec, upstream_request, permit()));
        while let Ok(event) = queue.try_recv() {
            dispatcher.on_event(event);
        }
    }
    assert!(dispatcher.open_requests.is_empty());
    assert!(
        dispatcher.timers.len() <= MAX_STALE_DEADLINES + 1,
        "{}",
        dispatcher.timers.len()
    );
}

/// An admission permit of a process that is not stopping.
fn permit() -> AdmissionPermit {
    let shutdown = Shutdown::new(StopRequest::default(), Clock::start());
    shutdown.permit_admission().unwrap()
}

/// Records attempts instead of sending them.
#[derive(Default)]
struct RecordingOutbound(std::cell::RefCell<Vec<Attempt>>);

impl Outbound for RecordingOutbound {
    fn send(&self, attempt: Attempt) {
        self.0.borrow_mut().push(attempt);
    }
    fn release(&self, _: Rc<UpstreamRequest>, _: ReleasePermit, _: Rc<ReleaseProgress>) {}
    fn subscribe(&self) {}
}

/// Guards against a configuration change that lowers the attempt limit of an open request, which the fleet's record of
/// the request would then apply.
#[tokio::test]
async fn attempts_carry_the_attempt_limit_of_their_request() {
    let clock = Clock::start();
    let (handle, mut queue) = DispatcherHandle::channel(clock);
    let class = RequestClass {
        name: "chat".into(),
        ttft_objective: 1_000_000,
        client_timeout: 8_000_000,
        ..RequestClass::default()
    };
    let config = |max_attempts| RoutingConfig {
        routers: 1,
        kinds: vec![WorkerKind {
            name: "k".into(),
            role: Role::Mixed,
            memory_tokens: None,
        }],
        classes: vec![class.clone()],
        max_attempts,
        kv_state_hold_limit: 500_000,
        ..RoutingConfig::default()
    };
    let outbound = Rc::<RecordingOutbound>::default();
    let mut dispatcher = Dispatcher::new(config(6), 1, clock, outbound.clone(), Rc::default());
    let endpoints = (0..4).map(|i| Endpoint {
        worker: WorkerId(format!("w{i}").into()),
        zone: String::new(),
        kind: "k".into(),
        cell: 0,
        status: Status::Ready,
        weight: 1.0,
        started: None,
    });
    dispatcher.on_event(DispatcherEvent::EndpointsUpdated {
        update: EndpointUpdate::Full,
        endpoints: endpoints.collect(),
    });
    let submit = || {
        let spec = RequestSpec {
            request: RequestId(0),
            deadline: clock.now() + 8_000_000,
            session: None,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: 10,
            max_tokens: 10,
            duration_hint: None,
            class: "chat".into(),
            tenant: None,
        };
        let (id, target, body) = (String::new(), String::new(), Bytes::new());
        handle.submit(
            spec,
            UpstreamRequest {
                id,
                target,
                headers: hyper::HeaderMap::new(),
                body: body.into(),
                lifetime_guards: None,
                run_record: None,
                claim_key: None,
            },
            permit(),
        )
    };
    let _open_request = submit();
    dispatcher.on_event(queue.try_recv().unwrap());
    dispatcher.on_event(DispatcherEvent::ConfigChanged(Box::new(config(2))));
    let (request, attempt) = outbound
        .0
        .borrow()
        .first()
        .map(|attempt| (attempt.request, attempt.attempt))
        .unwrap();
    let outcome = AttemptOutcome::ConnectFailed;
    dispatcher.on_event(DispatcherEvent::AttemptCompleted {
        request,
        attempt,
        outcome,
        cached_tokens: 0,
        load_report: None,
    });
    let _new_request = submit();
    dispatcher.on_event(queue.try_recv().unwrap());
    let sent: Vec<_> = outbound
        .0
        .borrow()
        .iter()
        .map(|attempt| (attempt.request.0, attempt.max_attempts))
        .collect();
    assert_eq!(sent, [(1, 6), (1, 6), (2, 2)]);
}
