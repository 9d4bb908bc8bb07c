//! Work in hand, checked exhaustively: the very [`Table`] and [`Hands`] that run, over a log that commits proposals in
//! every order, with answers that come late, owners that die, and owners that were only stopped and run on.
//!
//! That the log is one log is the group's own model's business. What is modelled here besides the machines is the front:
//! it acts when it is told `Go`, and its client comes to another conductor when its connection ends. A stopped life is
//! told nothing: here nothing but the records stands between a zombie and a second run.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use whinhaven::fleet::work::recorder::{Action, Decision, Event, OperationId, WorkRecorder};
use whinhaven::fleet::work::*;
use whinhaven::fleet::{Incarnation, Index, MemberInstance, MemberName};
use whinhaven_lab::explore::explore;

/// Nothing is forgotten here, so places in the log need not differ, which keeps states few.
const AT: Index = Index(1);
const ROOM: Bounds = Bounds {
    records: 1_000,
    bytes: 1_000_000,
};

fn who(conductor: usize) -> MemberInstance {
    let name = MemberName::try_from(["c1", "c2", "c3"][conductor]).unwrap();
    MemberInstance {
        name,
        incarnation: Incarnation(1),
    }
}

/// What the front of a conductor does next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Claim,
    Send,
    Call,
    Answer,
}

/// A request at one conductor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Front {
    step: Step,
    generation: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Conductor {
    hands: WorkRecorder,
    now: u64,
    /// The process is gone.
    crashed: bool,
    fronts: BTreeMap<u8, Front>,
    /// What it has not yet heard of what the log has applied, in the log's order.
    inbox: Vec<Event>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    ended: BTreeSet<usize>,
    /// Conductors that were asked; the death of another changes nothing.
    involved: BTreeSet<usize>,
    conductors: Vec<Conductor>,
    /// On their way to the log, in no order.
    proposals: BTreeSet<(usize, OperationId, String, CommandBox)>,
    /// Times that each request was sent to a writer before its answer had begun.
    first_runs: BTreeMap<u8, u8>,
    /// Times that each request's tool call ran.
    tool_runs: BTreeMap<u8, u8>,
    /// Final answers that clients have heard.
    heard: BTreeMap<u8, BTreeSet<String>>,
    /// Times that each client has asked.
    asked: BTreeMap<u8, u8>,
}

/// A command with an order, for the set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CommandBox(Command);

impl PartialOrd for CommandBox {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for CommandBox {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        format!("{:?}", self.0).cmp(&format!("{:?}", other.0))
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    /// A client asks at a conductor, for the rest if it was asked before.
    Ask(u8, usize),
    /// The log takes a proposal.
    Commit(usize, OperationId),
    /// A conductor hears the next of what the log has applied.
    Hear(usize),
    /// A conductor's questions run out of time.
    TimeOut(usize),
    /// A process dies.
    Crash(usize),
    /// The group ends a life, be its process dead or only stopped.
    EndLife(usize),
}

/// A fault put into the front, for the checker to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// A call is made when the group has not answered in time.
    CallsOnHope,
    /// A call whose outcome is unknown is made again.
    RepeatsUnknown,
    /// A request goes out before it is written down.
    SendsFirst,
}

struct Case {
    requests: u8,
    deaths: usize,
    asks: u8,
    time_outs: u64,
    flaw: Flaw,
}

impl Case {
    fn act(&self, world: &mut World, c: usize, event: Event) {
        let mut actions = Vec::new();
        let conductor = &mut world.conductors[c];
        conductor.hands.handle(conductor.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Propose { ticket, command } => {
                    let key = format!("{command:?}");
                    world
                        .proposals
                        .insert((c, ticket, key, CommandBox(command)));
                }
                Action::Verdict { ticket, verdict } => self.verdict(world, c, ticket, verdict),
                Action::Moved { name } => {
                    if let Ok(request) = name.parse() {
                        world.conductors[c].fronts.remove(&request);
                    }
                }
            }
        }
    }

    fn ask(&self, world: &mut World, c: usize, request: u8, command: Command) {
        // The request, its client's try and the step name the question: no number that only counts is kept, which
        // would make one state many.
        let step = world.conductors[c]
            .fronts
            .get(&request)
            .map_or(0, |f| f.step as u64);
        let ticket =
            OperationId((u64::from(world.asked[&request]) * 8 + step) * 16 + u64::from(request));
        let until = world.conductors[c].now + 1;
        self.act(
            world,
            c,
            Event::Ask {
                ticket,
                command,
                until,
            },
        );
    }

    fn tell(&self, world: &mut World, c: usize, request: u8, command: Command) {
        let step = if matches!(command, Command::Began { .. }) {
            6
        } else {
            7
        };
        let ticket =
            OperationId((u64::from(world.asked[&request]) * 8 + step) * 16 + u64::from(request));
        self.act(world, c, Event::Tell { ticket, command });
    }

    fn next(&self, world: &mut World, c: usize, request: u8) {
        let Some(front) = world.conductors[c].fronts.get(&request).copied() else {
            return;
        };
        let (name, generation) = (request.to_string(), front.generation);
        let resumes = world.asked[&request] > 1;
        let command = match front.step {
            Step::Claim => Command::Claim {
                name,
                once: true,
                resumes,
                bounds: ROOM,
            },
            Step::Send => {
                if self.flaw == Flaw::SendsFirst {
                    *world.first_runs.entry(request).or_default() += 1;
                }
                let id = format!("{c}-{request}");
                let (name, worker) = (Some((name, generation)), "w".to_owned());
                Command::Send {
                    id,
                    worker,
                    name,
                    reads: false,
                    most_attempts: 9,
                    bounds: ROOM,
                }
            }
            Step::Call => Command::Call {
                name,
                generation,
                ordinal: 0,
                arguments: 7,
                bounds: ROOM,
            },
            Step::Answer => {
                let answer = FinalResponse::Done {
                    text: Some(format!("by {c}")),
                    last: Vec::new(),
                };
                Command::Answer {
                    name,
                    generation,
                    answer,
                }
            }
        };
        self.ask(world, c, request, command);
    }

    /// The front's part: what it does when it hears that it may, or may not.
    fn verdict(&self, world: &mut World, c: usize, ticket: OperationId, verdict: Decision) {
        let request = (ticket.0 % 16) as u8;
        let Some(front) = world.conductors[c].fronts.get_mut(&request) else {
            return;
        };
        let name = request.to_string();
        let said = |world: &mut World, answer: &FinalResponse| {
            world
                .heard
                .entry(request)
                .or_default()
                .insert(format!("{answer:?}"));
            world.conductors[c].fronts.remove(&request);
        };
        match (front.step, verdict) {
            (Step::Claim, Decision::Claimed(record)) => {
                front.generation = record.generation;
                front.step = if record.stage == RequestStage::Began {
                    Step::Call
                } else {
                    Step::Send
                };
                self.next(world, c, request);
            }
            (_, Decision::Ended(answer)) => said(world, &answer),
            (Step::Send, Decision::Go) => {
                front.step = Step::Call;
                let generation = front.generation;
                if self.flaw != Flaw::SendsFirst {
                    *world.first_runs.entry(request).or_default() += 1;
                }
                self.tell(world, c, request, Command::Began { name, generation });
                self.next(world, c, request);
            }
            (Step::Call, Decision::Go) => {
                front.step = Step::Answer;
                *world.tool_runs.entry(request).or_default() += 1;
                self.tell(
                    world,
                    c,
                    request,
                    Command::CallEnded {
                        name,
                        ordinal: 0,
                        outcome: Some(vec![1]),
                    },
                );
                self.next(world, c, request);
            }
            (Step::Call, Decision::Known(stage)) if stage != CallState::Out => {
                front.step = Step::Answer;
                if self.flaw == Flaw::RepeatsUnknown && stage == CallState::Unknown {
                    *world.tool_runs.entry(request).or_default() += 1;
                }
                self.next(world, c, request);
            }
            (Step::Call, Decision::Late) if self.flaw == Flaw::CallsOnHope => {
                front.step = Step::Answer;
                *world.tool_runs.entry(request).or_default() += 1;
                self.next(world, c, request);
            }
            (Step::Answer, Decision::Go) => {
                let answer = FinalResponse::Done {
                    text: Some(format!("by {c}")),
                    last: Vec::new(),
                };
                said(world, &answer);
            }
            // Refused, late, cut off: its client hears nothing final from here and comes again.
            _ => _ = world.conductors[c].fronts.remove(&request),
        }
    }
}

impl Model for Case {
    type State = World;
    type Action = Doing;

    fn init_states(&self) -> Vec<World> {
        let conductor = |c| {
            let mut hands = WorkRecorder::new(who(c), 8);
            hands.handle(0, Event::MayAct(true), &mut Vec::new());
            Conductor {
                hands,
                now: 0,
                crashed: false,
                fronts: BTreeMap::new(),
                inbox: Vec::new(),
            }
        };
        vec![World {
            table: Table::default(),
            ended: BTreeSet::new(),
            involved: BTreeSet::new(),
            conductors: (0..3).map(conductor).collect(),
            proposals: BTreeSet::new(),
            first_runs: BTreeMap::new(),
            tool_runs: BTreeMap::new(),
            heard: BTreeMap::new(),
            asked: (0..self.requests).map(|r| (r, 0)).collect(),
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Doing>) {
        for (request, asked) in &world.asked {
            if *asked < self.asks {
                let free = |c: &usize| {
                    !world.conductors[*c].crashed
                        && !world.conductors[*c].fronts.contains_key(request)
                };
                // Conductors that nobody has asked are alike: one of them stands for all.
                let fresh = (0..3).find(|c| !world.involved.contains(c));
                let at = world.involved.iter().copied().chain(fresh);
                actions.extend(at.filter(free).map(|c| Doing::Ask(*request, c)));
            }
        }
        actions.extend(
            world
                .proposals
                .iter()
                .map(|(c, ticket, ..)| Doing::Commit(*c, *ticket)),
        );
        for (c, conductor) in world.conductors.iter().enumerate() {
            if conductor.crashed {
                if !world.ended.contains(&c) {
                    actions.push(Doing::EndLife(c));
                }
                continue;
            }
            if !conductor.inbox.is_empty() {
                actions.push(Doing::Hear(c));
            }
            if conductor.now < self.time_outs && conductor.hands.waiting() > 0 {
                actions.push(Doing::TimeOut(c));
            }
            let deaths = world
                .ended
                .iter()
                .chain(
                    (0..3)
                        .filter(|c| world.conductors[*c].crashed)
                        .collect::<Vec<_>>()
                        .iter(),
                )
                .collect::<BTreeSet<_>>()
                .len();
            if deaths < self.deaths && world.involved.contains(&c) {
                actions.push(Doing::Crash(c));
                if !world.ended.contains(&c) {
                    actions.push(Doing::EndLife(c));
                }
            }
        }
    }

    fn next_state(&self, last: &World, action: Doing) -> Option<World> {
        let mut world = last.clone();
        match action {
            Doing::Ask(request, c) => {
                *world.asked.get_mut(&request)? += 1;
                world.involved.insert(c);
                world.conductors[c].fronts.insert(
                    request,
                    Front {
                        step: Step::Claim,
                        generation: 0,
                    },
                );
                self.next(&mut world, c, request);
            }
            Doing::Commit(c, ticket) => {
                let found = world
                    .proposals
                    .iter()
                    .find(|p| p.0 == c && p.1 == ticket)
                    .cloned()?;
                world.proposals.remove(&found);
                let mut notices = Vec::new();
                let alive = !world.ended.contains(&c);
                let (at, CommandBox(command)) = (AT, found.3);
                let reply = world.table.apply(at, &who(c), alive, command, &mut notices);
                world.conductors[c].inbox.push(Event::Reply {
                    ticket,
                    reply: Some(reply),
                });
                deliver(&mut world, notices);
            }
            Doing::Hear(c) => {
                let event = world.conductors[c].inbox.remove(0);
                self.act(&mut world, c, event);
            }
            Doing::TimeOut(c) => {
                world.conductors[c].now += 1;
                self.act(&mut world, c, Event::Tick);
            }
            Doing::Crash(c) => {
                let conductor = &mut world.conductors[c];
                conductor.crashed = true;
                conductor.fronts.clear();
                conductor.inbox.clear();
            }
            Doing::EndLife(c) => {
                world.ended.insert(c);
                let mut notices = Vec::new();
                world.table.life_ended(AT, &who(c), &mut notices);
                deliver(&mut world, notices);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no tool runs twice", |_, w: &World| {
                w.tool_runs.values().all(|n| *n <= 1)
            }),
            Property::always("nothing unsafe is sent twice", |_, w: &World| {
                w.first_runs.values().all(|n| *n <= 1)
            }),
            Property::always("one final answer", |_, w: &World| {
                w.heard.values().all(|h| h.len() <= 1)
            }),
            Property::sometimes(
                "an answer is finished by another conductor",
                |_, w: &World| {
                    let by_other = |a: &String| a.contains("by 1") || a.contains("by 2");
                    w.crashed(0) && w.heard.values().flatten().any(by_other)
                },
            ),
            Property::sometimes("what may have run is failed", |_, w: &World| {
                w.heard.values().flatten().any(|a| a.contains("Failed"))
            }),
        ]
    }
}

impl World {
    fn crashed(&self, c: usize) -> bool {
        self.conductors[c].crashed
    }
}

fn deliver(world: &mut World, notices: Vec<RecordChange>) {
    // Where nothing waits or will, a notice changes nothing.
    let idle = |c: &Conductor| c.hands.waiting() == 0 && c.inbox.is_empty() && c.fronts.is_empty();
    for conductor in world
        .conductors
        .iter_mut()
        .filter(|c| !c.crashed && !idle(c))
    {
        conductor
            .inbox
            .extend(notices.iter().cloned().map(Event::Notice));
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
fn one_request_and_a_death_in_every_order() {
    check(
        Case {
            requests: 1,
            deaths: 1,
            asks: 2,
            time_outs: 0,
            flaw: Flaw::None,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

/// Minutes: by hand, in a release build.
#[test]
#[ignore = "minutes; run it with --release"]
fn two_deaths_two_requests_and_late_answers_in_every_order() {
    check(
        Case {
            requests: 1,
            deaths: 2,
            asks: 2,
            time_outs: 0,
            flaw: Flaw::None,
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
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

#[rstest::rstest]
#[case::calls_on_hope(Flaw::CallsOnHope, "no tool runs twice")]
#[case::repeats_unknown(Flaw::RepeatsUnknown, "no tool runs twice")]
#[case::sends_first(Flaw::SendsFirst, "nothing unsafe is sent twice")]
fn a_front_with_a_flaw_is_caught(#[case] flaw: Flaw, #[case] property: &'static str) {
    let time_outs = u64::from(flaw == Flaw::CallsOnHope);
    let checker = check(
        Case {
            requests: 1,
            deaths: 1,
            asks: 2,
            time_outs,
            flaw,
        },
        HasDiscoveries::AnyFailures,
    );
    assert!(
        checker.discovery(property).is_some(),
        "{flaw:?} was not caught"
    );
}
