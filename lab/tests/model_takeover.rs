//! Model check of requests in flight: [`Table`] and [`WorkRecorder`] over a log that commits proposals in every order, with
//! late replies, owners that die, and owners that were only stopped and run on.
//!
//! The log itself is checked by the Raft model. Modelled here besides the state machines is the protocol layer: it acts on
//! [`Decision::Proceed`], and its client retries at another member when its connection ends. A stopped incarnation is
//! told nothing: only the records keep it from running something a second time.
//!
//! Requests with a key may run again within a scope of workers and a window of time. Each router is in a zone of its own, and
//! the window ends at any moment after the first send. A router knows the scope and the window of what it sent itself
//! under its claim, as the routing policy does; of all else it knows what the record says.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use whinhaven::fleet::transport::policy::non_repeatable_classes;
use whinhaven::fleet::work::recorder::{Action, Decision, Event, OperationId, WorkRecorder};
use whinhaven::fleet::work::*;
use whinhaven::fleet::{Incarnation, Index, MemberInstance, MemberName};
use whinhaven::routing::types::{DeduplicationScope, Idempotency, RequestClass};
use whinhaven_lab::explore::explore;

/// No record is removed here, so log entries need not differ, which keeps the state space small.
const ENTRY: Index = Index(1);
const CAPACITY: Capacity = Capacity {
    records: 1_000,
    bytes: 1_000_000,
};

fn member(router: usize) -> MemberInstance {
    let name = MemberName::try_from(["c1", "c2", "c3"][router]).unwrap();
    MemberInstance {
        name,
        incarnation: Incarnation(1),
    }
}

/// The next step of a router's protocol layer for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Claim,
    Send,
    Call,
    Answer,
    Read,
    /// Sent to a writing worker, which has not begun its response.
    Wait,
}

/// A request at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClientHandler {
    step: Step,
    generation: u64,
    /// The writing worker's connection was lost: the request may have run.
    lost: bool,
    /// The record of a read was not decided in time, and the read was tried again.
    retried: bool,
}

impl ClientHandler {
    const NEW: ClientHandler = ClientHandler {
        step: Step::Claim,
        generation: 0,
        lost: false,
        retried: false,
    };
}

/// A send of a request with a key to a writing worker, before its response started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyedSend {
    zone: usize,
    is_in_window: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    recorder: WorkRecorder,
    now: u64,
    /// The process is gone.
    crashed: bool,
    handlers: BTreeMap<u8, ClientHandler>,
    /// Applied entries that it has not seen yet, in log order.
    inbox: Vec<Event>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    ended: BTreeSet<usize>,
    /// Routers that received a request; the death of any other changes nothing.
    involved: BTreeSet<usize>,
    routers: Vec<Router>,
    /// Proposals in flight to the log, unordered.
    proposals: BTreeSet<(usize, OperationId, String, OrderedCommand)>,
    /// How often each request was sent to a writing worker before its response started.
    first_runs: BTreeMap<u8, u8>,
    /// The sends of each request with a key, in order.
    keyed_sends: BTreeMap<u8, Vec<KeyedSend>>,
    /// The window after the first send of a request with a key has ended.
    is_window_over: bool,
    /// How often each request's tool call ran.
    tool_runs: BTreeMap<u8, u8>,
    /// Final responses that clients received.
    received: BTreeMap<u8, BTreeSet<String>>,
    /// How often each client has sent its request.
    client_attempts: BTreeMap<u8, u8>,
}

/// A command with an order, so that it can be an element of a set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OrderedCommand(Command);

impl PartialOrd for OrderedCommand {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedCommand {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        format!("{:?}", self.0).cmp(&format!("{:?}", other.0))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Transition {
    /// A client sends its request to a router; it resume if that is not the first time.
    ClientRequest(u8, usize),
    /// The log commits a proposal.
    Commit(usize, OperationId),
    /// A router sees the next applied entry.
    Receive(usize),
    /// The deadlines of a router's pending operations pass.
    TimeOut(usize),
    /// A process dies.
    Crash(usize),
    /// The log ends an incarnation, whether its process is dead or only stopped.
    EndIncarnation(usize),
    /// A writing worker begins its response.
    Respond(u8, usize),
    /// The connection to a writing worker is lost before its response began.
    LoseConnection(u8, usize),
    /// The client's connection to a router ends.
    ClientLeaves(u8, usize),
    /// The deduplication window after the first send ends.
    WindowEnds,
}

/// A fault in the protocol layer that the checker has to detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// A call is made although the proposal timed out.
    CallsAfterTimeout,
    /// A call whose outcome is unknown is made again.
    RepeatsUnknownCall,
    /// A request goes out before it is recorded.
    SendsBeforeRecord,
}

struct Case {
    requests: u8,
    deaths: usize,
    asks: u8,
    time_outs: u64,
    flaw: Flaw,
    idempotency: Idempotency,
    /// Whether connections to writing workers are lost before their responses begin.
    losses: bool,
}

impl Case {
    /// Requests of a class with a key are modelled with their reads, lost connections and clients that leave.
    fn is_keyed(&self) -> bool {
        matches!(self.idempotency, Idempotency::WithKey(_))
    }

    fn is_at_most_once(&self) -> bool {
        let class = RequestClass {
            idempotency: self.idempotency,
            ..RequestClass::default()
        };
        non_repeatable_classes(&[class]).next().is_some()
    }

    /// The operation of a request's current step: no two are alike.
    fn operation(world: &World, request: u8, handler: ClientHandler, step: u64) -> OperationId {
        let attempt = u64::from(world.client_attempts[&request]);
        let tries = u64::from(handler.lost) * 2 + u64::from(handler.retried);
        OperationId(((attempt * 8 + step) * 4 + tries) * 16 + u64::from(request))
    }

    /// A writing worker receives the request, unless the router itself knows that it must not be sent again.
    fn send_keyed(&self, world: &mut World, c: usize, request: u8) {
        let handler = world.routers[c].handlers[&request];
        if handler.lost && world.is_window_over {
            return self.give_up(world, c, request);
        }
        let send = KeyedSend {
            zone: c,
            is_in_window: !world.is_window_over,
        };
        world.keyed_sends.entry(request).or_default().push(send);
        self.set_step(world, c, request, Step::Wait);
    }

    fn set_step(&self, world: &mut World, c: usize, request: u8, step: Step) {
        if let Some(handler) = world.routers[c].handlers.get_mut(&request) {
            handler.step = step;
        }
    }

    /// The router releases its claim, as when its client has left.
    fn give_up(&self, world: &mut World, c: usize, request: u8) {
        let Some(handler) = world.routers[c].handlers.get(&request).copied() else {
            return;
        };
        let release = Command::Release {
            name: request.to_string(),
            generation: handler.generation,
            not_executed: false,
        };
        self.report(world, c, request, release);
        world.routers[c].handlers.remove(&request);
    }

    fn act(&self, world: &mut World, c: usize, event: Event) {
        let mut actions = Vec::new();
        let router = &mut world.routers[c];
        router.recorder.handle(router.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Propose { operation, command } => {
                    let key = format!("{command:?}");
                    world
                        .proposals
                        .insert((c, operation, key, OrderedCommand(command)));
                }
                Action::Decided {
                    operation,
                    decision,
                } => self.on_decision(world, c, operation, decision),
                Action::RequestMoved { name } => {
                    if let Ok(request) = name.parse() {
                        world.routers[c].handlers.remove(&request);
                    }
                }
            }
        }
    }

    fn request(&self, world: &mut World, c: usize, request: u8, command: Command) {
        // The id is made of the request, its client's attempt and the step: a counter would multiply the states.
        let handler = world.routers[c].handlers.get(&request).copied();
        let handler = handler.unwrap_or(ClientHandler::NEW);
        let operation = Self::operation(world, request, handler, handler.step as u64);
        let until = world.routers[c].now + 1;
        self.act(
            world,
            c,
            Event::Request {
                operation,
                command,
                deadline: until,
            },
        );
    }

    fn report(&self, world: &mut World, c: usize, request: u8, command: Command) {
        let step = if matches!(command, Command::ResponseStarted { .. }) {
            6
        } else {
            7
        };
        let operation = Self::operation(world, request, ClientHandler::NEW, step);
        self.act(world, c, Event::Report { operation, command });
    }

    fn start_step(&self, world: &mut World, c: usize, request: u8) {
        let Some(handler) = world.routers[c].handlers.get(&request).copied() else {
            return;
        };
        let (name, generation) = (request.to_string(), handler.generation);
        let resume = world.client_attempts[&request] > 1;
        let command = match handler.step {
            Step::Claim => Command::Claim {
                name,
                at_most_once: self.is_at_most_once(),
                resume,
                capacity: CAPACITY,
            },
            Step::Wait => return,
            Step::Send | Step::Read => {
                if self.flaw == Flaw::SendsBeforeRecord {
                    *world.first_runs.entry(request).or_default() += 1;
                }
                let id = format!("{c}-{request}");
                let (name, worker) = (Some((name, generation)), "w".to_owned());
                Command::StartSend {
                    id,
                    worker,
                    name,
                    read_only: handler.step == Step::Read,
                    max_attempts: 9,
                    capacity: CAPACITY,
                }
            }
            Step::Call => Command::StartCall {
                name,
                generation,
                ordinal: 0,
                arguments: 7,
                capacity: CAPACITY,
            },
            Step::Answer => {
                let answer = FinalResponse::Completed {
                    text: Some(format!("by {c}")),
                    last_line: Vec::new(),
                };
                Command::Complete {
                    name,
                    generation,
                    response: answer,
                }
            }
        };
        self.request(world, c, request, command);
    }

    /// The protocol layer's reaction to a decision.
    fn on_decision(&self, world: &mut World, c: usize, operation: OperationId, decision: Decision) {
        let request = (operation.0 % 16) as u8;
        let Some(handler) = world.routers[c].handlers.get_mut(&request) else {
            return;
        };
        let name = request.to_string();
        let finish = |world: &mut World, answer: &FinalResponse| {
            world
                .received
                .entry(request)
                .or_default()
                .insert(format!("{answer:?}"));
            world.routers[c].handlers.remove(&request);
        };
        match (handler.step, decision) {
            (Step::Claim, Decision::Claimed(record)) => {
                handler.generation = record.generation;
                handler.step = if record.stage == RequestStage::Responding {
                    Step::Call
                } else if self.is_keyed() {
                    Step::Read
                } else {
                    Step::Send
                };
                self.start_step(world, c, request);
            }
            (Step::Read, Decision::Proceed) => {
                handler.step = Step::Send;
                self.start_step(world, c, request);
            }
            // The routing policy tries another worker; the first record may still be committed.
            (Step::Read, Decision::TimedOut) if !handler.retried => {
                handler.retried = true;
                self.start_step(world, c, request);
            }
            (Step::Send, Decision::Proceed) if self.is_keyed() => {
                self.send_keyed(world, c, request);
            }
            (_, Decision::Completed(answer)) => finish(world, &answer),
            (Step::Send, Decision::Proceed) => {
                handler.step = Step::Call;
                let generation = handler.generation;
                if self.flaw != Flaw::SendsBeforeRecord {
                    *world.first_runs.entry(request).or_default() += 1;
                }
                self.report(
                    world,
                    c,
                    request,
                    Command::ResponseStarted { name, generation },
                );
                self.start_step(world, c, request);
            }
            (Step::Call, Decision::Proceed) => {
                handler.step = Step::Answer;
                *world.tool_runs.entry(request).or_default() += 1;
                self.report(
                    world,
                    c,
                    request,
                    Command::CompleteCall {
                        name,
                        ordinal: 0,
                        outcome: Some(vec![1]),
                    },
                );
                self.start_step(world, c, request);
            }
            (Step::Call, Decision::KnownCall(stage)) if stage != CallState::InFlight => {
                handler.step = Step::Answer;
                if self.flaw == Flaw::RepeatsUnknownCall && stage == CallState::OutcomeUnknown {
                    *world.tool_runs.entry(request).or_default() += 1;
                }
                self.start_step(world, c, request);
            }
            (Step::Call, Decision::TimedOut) if self.flaw == Flaw::CallsAfterTimeout => {
                handler.step = Step::Answer;
                *world.tool_runs.entry(request).or_default() += 1;
                self.start_step(world, c, request);
            }
            (Step::Answer, Decision::Proceed) => {
                let answer = FinalResponse::Completed {
                    text: Some(format!("by {c}")),
                    last_line: Vec::new(),
                };
                finish(world, &answer);
            }
            // Rejected, timed out or without a lease: the client receives nothing final from here and retries.
            _ => _ = world.routers[c].handlers.remove(&request),
        }
    }
}

impl Model for Case {
    type State = World;
    type Action = Transition;

    fn init_states(&self) -> Vec<World> {
        let router = |c| {
            let mut recorder = WorkRecorder::new(member(c), 8);
            recorder.handle(0, Event::LeaseValid(true), &mut Vec::new());
            Router {
                recorder,
                now: 0,
                crashed: false,
                handlers: BTreeMap::new(),
                inbox: Vec::new(),
            }
        };
        vec![World {
            table: Table::default(),
            ended: BTreeSet::new(),
            involved: BTreeSet::new(),
            routers: (0..3).map(router).collect(),
            proposals: BTreeSet::new(),
            first_runs: BTreeMap::new(),
            keyed_sends: BTreeMap::new(),
            is_window_over: false,
            tool_runs: BTreeMap::new(),
            received: BTreeMap::new(),
            client_attempts: (0..self.requests).map(|r| (r, 0)).collect(),
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Transition>) {
        if !world.is_window_over && !world.keyed_sends.is_empty() {
            actions.push(Transition::WindowEnds);
        }
        for (request, client_attempts) in &world.client_attempts {
            if *client_attempts < self.asks {
                let free = |c: &usize| {
                    !world.routers[*c].crashed && !world.routers[*c].handlers.contains_key(request)
                };
                // Routers that nobody has client_attempts are alike: one of them stands for all.
                let fresh = (0..3).find(|c| !world.involved.contains(c));
                let at = world.involved.iter().copied().chain(fresh);
                actions.extend(
                    at.filter(free)
                        .map(|c| Transition::ClientRequest(*request, c)),
                );
            }
        }
        actions.extend(
            world
                .proposals
                .iter()
                .map(|(c, operation, ..)| Transition::Commit(*c, *operation)),
        );
        for (c, router) in world.routers.iter().enumerate() {
            if router.crashed {
                if !world.ended.contains(&c) {
                    actions.push(Transition::EndIncarnation(c));
                }
                continue;
            }
            if !router.inbox.is_empty() {
                actions.push(Transition::Receive(c));
            }
            for (request, handler) in router.handlers.iter().filter(|_| self.is_keyed()) {
                if handler.step == Step::Wait {
                    actions.push(Transition::Respond(*request, c));
                    if self.losses && !handler.lost {
                        actions.push(Transition::LoseConnection(*request, c));
                    }
                }
                if handler.generation > 0 && self.deaths == 0 {
                    actions.push(Transition::ClientLeaves(*request, c));
                }
            }
            if router.now < self.time_outs && router.recorder.pending_count() > 0 {
                actions.push(Transition::TimeOut(c));
            }
            let deaths = world
                .ended
                .iter()
                .chain(
                    (0..3)
                        .filter(|c| world.routers[*c].crashed)
                        .collect::<Vec<_>>()
                        .iter(),
                )
                .collect::<BTreeSet<_>>()
                .len();
            if deaths < self.deaths && world.involved.contains(&c) {
                actions.push(Transition::Crash(c));
                if !world.ended.contains(&c) {
                    actions.push(Transition::EndIncarnation(c));
                }
            }
        }
    }

    fn next_state(&self, last: &World, action: Transition) -> Option<World> {
        let mut world = last.clone();
        match action {
            Transition::ClientRequest(request, c) => {
                *world.client_attempts.get_mut(&request)? += 1;
                world.involved.insert(c);
                world.routers[c]
                    .handlers
                    .insert(request, ClientHandler::NEW);
                self.start_step(&mut world, c, request);
            }
            Transition::Respond(request, c) => {
                let generation = world.routers[c].handlers.get(&request)?.generation;
                let name = request.to_string();
                let started = Command::ResponseStarted { name, generation };
                self.report(&mut world, c, request, started);
                // What follows a response that has begun is the same for all classes.
                world.routers[c].handlers.remove(&request);
            }
            Transition::LoseConnection(request, c) => {
                world.routers[c].handlers.get_mut(&request)?.lost = true;
                self.set_step(&mut world, c, request, Step::Read);
                self.start_step(&mut world, c, request);
            }
            Transition::ClientLeaves(request, c) => self.give_up(&mut world, c, request),
            Transition::WindowEnds => world.is_window_over = true,
            Transition::Commit(c, operation) => {
                let found = world
                    .proposals
                    .iter()
                    .find(|p| p.0 == c && p.1 == operation)
                    .cloned()?;
                world.proposals.remove(&found);
                let mut changes = Vec::new();
                let alive = !world.ended.contains(&c);
                let (entry, OrderedCommand(command)) = (ENTRY, found.3);
                let reply = world
                    .table
                    .apply(entry, &member(c), alive, command, &mut changes);
                world.routers[c].inbox.push(Event::Reply {
                    operation,
                    reply: Some(reply),
                });
                deliver(&mut world, changes);
            }
            Transition::Receive(c) => {
                let event = world.routers[c].inbox.remove(0);
                self.act(&mut world, c, event);
            }
            Transition::TimeOut(c) => {
                world.routers[c].now += 1;
                self.act(&mut world, c, Event::Tick);
            }
            Transition::Crash(c) => {
                let router = &mut world.routers[c];
                router.crashed = true;
                router.handlers.clear();
                router.inbox.clear();
            }
            Transition::EndIncarnation(c) => {
                world.ended.insert(c);
                let mut changes = Vec::new();
                world
                    .table
                    .on_incarnation_ended(ENTRY, &member(c), &mut changes);
                deliver(&mut world, changes);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no tool call runs twice", |_, w: &World| {
                w.tool_runs.values().all(|n| *n <= 1)
            }),
            Property::always("no at-most-once request is sent twice", |_, w: &World| {
                w.first_runs.values().all(|n| *n <= 1)
            }),
            Property::always(
                "no keyed request is sent outside its window",
                |_, w: &World| {
                    let repeats = w
                        .keyed_sends
                        .values()
                        .flat_map(|sends| sends.iter().skip(1));
                    repeats.into_iter().all(|send| send.is_in_window)
                },
            ),
            Property::always(
                "no keyed request is sent outside its scope",
                |case: &Case, w: &World| {
                    let is_everywhere =
                        case.idempotency == Idempotency::WithKey(DeduplicationScope::All);
                    let is_one_zone = |sends: &Vec<KeyedSend>| {
                        sends.iter().all(|send| send.zone == sends[0].zone)
                    };
                    is_everywhere || w.keyed_sends.values().all(is_one_zone)
                },
            ),
            Property::always("one final response", |_, w: &World| {
                w.received.values().all(|h| h.len() <= 1)
            }),
            Property::sometimes(
                "a response is completed by another router",
                |_, w: &World| {
                    let by_other = |a: &String| a.contains("by 1") || a.contains("by 2");
                    w.crashed(0) && w.received.values().flatten().any(by_other)
                },
            ),
            Property::sometimes("a request that may have run fails", |_, w: &World| {
                w.received.values().flatten().any(|a| a.contains("Failed"))
            }),
        ]
    }
}

impl World {
    fn crashed(&self, c: usize) -> bool {
        self.routers[c].crashed
    }
}

fn deliver(world: &mut World, changes: Vec<RecordChange>) {
    // A change has no effect where nothing waits or will wait.
    let idle =
        |c: &Router| c.recorder.pending_count() == 0 && c.inbox.is_empty() && c.handlers.is_empty();
    for router in world.routers.iter_mut().filter(|c| !c.crashed && !idle(c)) {
        router
            .inbox
            .extend(changes.iter().cloned().map(Event::RecordChanged));
    }
}

fn check(case: Case, until: HasDiscoveries) -> impl Checker<Case> {
    let name = format!(
        "{} requests, {} deaths, {:?}",
        case.requests, case.deaths, case.flaw
    );
    explore(&name, case, until)
}

#[test]
fn one_request_and_one_crash_keep_all_properties() {
    check(
        Case {
            requests: 1,
            deaths: 1,
            asks: 2,
            time_outs: 0,
            flaw: Flaw::None,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

/// Guards against a request with a key that another router, or the same one, sends again outside its scope or window: the
/// record had neither, and a read made it forget that the request may have run.
#[rstest::rstest]
#[case::all_workers_and_a_crash(DeduplicationScope::All, 1, 0, false)]
#[case::lost_connection_and_a_crash(DeduplicationScope::All, 1, 0, true)]
#[case::one_zone_and_a_crash(DeduplicationScope::Zone, 1, 0, true)]
#[case::one_zone_and_a_late_read(DeduplicationScope::Zone, 0, 1, true)]
fn keyed_request_is_repeated_only_within_its_scope_and_window(
    #[case] scope: DeduplicationScope,
    #[case] deaths: usize,
    #[case] time_outs: u64,
    #[case] losses: bool,
) {
    let checker = check(
        Case {
            requests: 1,
            deaths,
            asks: 2,
            time_outs,
            flaw: Flaw::None,
            idempotency: Idempotency::WithKey(scope),
            losses,
        },
        HasDiscoveries::AnyFailures,
    );
    checker.assert_no_discovery("no keyed request is sent outside its window");
    checker.assert_no_discovery("no keyed request is sent outside its scope");
    checker.assert_no_discovery("one final response");
}

/// Minutes: by hand, in a release build.
#[test]
#[ignore = "minutes; run it with --release"]
fn more_crashes_requests_and_late_replies_keep_all_properties() {
    check(
        Case {
            requests: 1,
            deaths: 2,
            asks: 2,
            time_outs: 0,
            flaw: Flaw::None,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
    check(
        Case {
            requests: 1,
            deaths: 2,
            asks: 2,
            time_outs: 1,
            flaw: Flaw::None,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
    check(
        Case {
            requests: 2,
            deaths: 2,
            asks: 2,
            time_outs: 0,
            flaw: Flaw::None,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
    check(
        Case {
            requests: 1,
            deaths: 2,
            asks: 3,
            time_outs: 2,
            flaw: Flaw::None,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

#[rstest::rstest]
#[case::calls_after_timeout(Flaw::CallsAfterTimeout, "no tool call runs twice")]
#[case::repeats_unknown_call(Flaw::RepeatsUnknownCall, "no tool call runs twice")]
#[case::sends_before_record(Flaw::SendsBeforeRecord, "no at-most-once request is sent twice")]
fn faulty_protocol_layer_is_detected(#[case] flaw: Flaw, #[case] property: &'static str) {
    let time_outs = u64::from(flaw == Flaw::CallsAfterTimeout);
    let checker = check(
        Case {
            requests: 1,
            deaths: 1,
            asks: 2,
            time_outs,
            flaw,
            idempotency: Idempotency::NonIdempotent,
            losses: false,
        },
        HasDiscoveries::AnyFailures,
    );
    assert!(
        checker.discovery(property).is_some(),
        "{flaw:?} was not detected"
    );
}
