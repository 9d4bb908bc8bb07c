use super::super::Bounds;
use super::*;
use crate::fleet::{Incarnation, MemberName};
use rstest::rstest;

const NO_BOUNDS: Bounds = Bounds {
    records: u64::MAX,
    bytes: u64::MAX,
};

fn who(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

fn claim() -> Command {
    Command::Claim {
        name: "r".into(),
        once: true,
        resumes: true,
        bounds: NO_BOUNDS,
    }
}

fn call() -> Command {
    Command::Call {
        name: "r".into(),
        generation: 1,
        ordinal: 0,
        arguments: 7,
        bounds: NO_BOUNDS,
    }
}

struct Side(WorkRecorder, Vec<Action>);

impl Side {
    fn start() -> Side {
        let mut side = Side(WorkRecorder::new(who("c1"), 4), Vec::new());
        side.tell(0, Event::MayAct(true));
        side
    }

    fn tell(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.0.handle(now, event, &mut self.1);
        std::mem::take(&mut self.1)
    }

    fn ask(&mut self, ticket: u64, command: Command, until: Micros) -> Vec<Action> {
        self.tell(
            0,
            Event::Ask {
                ticket: OperationId(ticket),
                command,
                until,
            },
        )
    }

    fn reply(&mut self, now: Micros, ticket: u64, reply: Reply) -> Vec<Action> {
        self.tell(
            now,
            Event::Reply {
                ticket: OperationId(ticket),
                reply: Some(reply),
            },
        )
    }
}

fn verdict(ticket: u64, verdict: Decision) -> Action {
    Action::Verdict {
        ticket: OperationId(ticket),
        verdict,
    }
}

#[test]
fn a_call_in_flight_elsewhere_is_waited_for_and_asked_for_anew() {
    let mut side = Side::start();
    assert_eq!(
        side.ask(1, call(), 100),
        [Action::Propose {
            ticket: OperationId(1),
            command: call()
        }]
    );
    assert!(side.reply(1, 1, Reply::Known(CallState::Out)).is_empty());
    let other = RecordChange::CallEnded {
        name: "r".into(),
        ordinal: 1,
    };
    assert!(side.tell(2, Event::Notice(other)).is_empty());
    let ended = RecordChange::CallEnded {
        name: "r".into(),
        ordinal: 0,
    };
    let again = side.tell(2, Event::Notice(ended));
    assert_eq!(
        again,
        [Action::Propose {
            ticket: OperationId(1),
            command: call()
        }]
    );
    let known = side.reply(3, 1, Reply::Known(CallState::Unknown));
    assert_eq!(known, [verdict(1, Decision::Known(CallState::Unknown))]);
}

#[rstest]
#[case::in_time(50, true)]
#[case::too_late(100, false)]
fn a_request_in_other_hands_is_waited_for_until_its_time(
    #[case] at: Micros,
    #[case] asked_again: bool,
) {
    let mut side = Side::start();
    side.ask(1, claim(), 100);
    assert!(
        side.reply(1, 1, Reply::Refused(Rejection::InHand(who("c2"))))
            .is_empty()
    );
    let actions = side.tell(at, Event::Notice(RecordChange::Open { name: "r".into() }));
    let wanted = if asked_again {
        Action::Propose {
            ticket: OperationId(1),
            command: claim(),
        }
    } else {
        verdict(1, Decision::InHand(who("c2")))
    };
    assert_eq!(actions, [wanted]);
}

/// Guards against a wait for what has happened already.
#[test]
fn an_answer_that_a_notice_has_overtaken_is_asked_for_anew() {
    let mut side = Side::start();
    side.ask(1, claim(), 100);
    assert!(
        side.tell(1, Event::Notice(RecordChange::Open { name: "r".into() }))
            .is_empty()
    );
    let again = side.reply(2, 1, Reply::Refused(Rejection::InHand(who("c2"))));
    assert_eq!(
        again,
        [Action::Propose {
            ticket: OperationId(1),
            command: claim()
        }]
    );
}

/// Guards against a call that goes out when nobody waits for it, and against one that then nobody may make.
#[test]
fn what_is_granted_too_late_goes_out_nowhere_and_is_given_back() {
    let mut side = Side::start();
    side.ask(1, call(), 100);
    assert_eq!(side.tell(100, Event::Tick), [verdict(1, Decision::Late)]);
    let actions = side.reply(101, 1, Reply::Go);
    let back = Command::CallEnded {
        name: "r".into(),
        ordinal: 0,
        outcome: None,
    };
    assert!(
        matches!(&actions[..], [Action::Propose { command, .. }] if *command == back),
        "{actions:?}"
    );
}

#[test]
fn without_a_life_lease_nothing_goes_out() {
    let mut side = Side::start();
    side.ask(1, call(), 100);
    assert_eq!(
        side.tell(1, Event::MayAct(false)),
        [verdict(1, Decision::Cut)]
    );
    assert_eq!(side.ask(2, call(), 100), [verdict(2, Decision::Cut)]);
    assert!(
        side.reply(2, 1, Reply::Go)
            .iter()
            .all(|a| !matches!(a, Action::Verdict { .. }))
    );
}

#[test]
fn a_process_that_was_stopped_past_the_time_is_not_let_out_by_an_old_answer() {
    let mut side = Side::start();
    side.ask(1, call(), 100);
    let actions = side.reply(5_000, 1, Reply::Go);
    assert_eq!(actions[0], verdict(1, Decision::Late));
}

#[test]
fn questions_are_bounded_and_what_is_told_is_told_until_it_is_written() {
    let mut side = Side::start();
    for ticket in 0..4 {
        side.ask(ticket, call(), 100);
    }
    assert_eq!(
        side.ask(9, call(), 100),
        [verdict(9, Decision::Refused(Rejection::Full))]
    );
    let tell = Event::Tell {
        ticket: OperationId(10),
        command: claim(),
    };
    assert_eq!(
        side.tell(0, tell),
        [Action::Propose {
            ticket: OperationId(10),
            command: claim()
        }]
    );
    let again = side.tell(
        1,
        Event::Reply {
            ticket: OperationId(10),
            reply: None,
        },
    );
    assert_eq!(
        again,
        [Action::Propose {
            ticket: OperationId(10),
            command: claim()
        }]
    );
    assert!(side.reply(2, 10, Reply::Done).is_empty());
    assert_eq!(side.0.waiting(), 4);
}
