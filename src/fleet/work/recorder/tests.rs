use super::super::Capacity;
use super::*;
use crate::fleet::{Incarnation, MemberName};
use rstest::rstest;

const NO_BOUNDS: Capacity = Capacity {
    records: u64::MAX,
    bytes: u64::MAX,
};

fn member(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

fn claim() -> Command {
    Command::Claim {
        name: "r".into(),
        at_most_once: true,
        resume: true,
        capacity: NO_BOUNDS,
    }
}

fn call() -> Command {
    Command::StartCall {
        name: "r".into(),
        generation: 1,
        ordinal: 0,
        arguments: 7,
        capacity: NO_BOUNDS,
    }
}

struct TestRecorder(WorkRecorder, Vec<Action>);

impl TestRecorder {
    fn start() -> TestRecorder {
        let mut recorder = TestRecorder(WorkRecorder::new(member("c1"), 4), Vec::new());
        recorder.handle(0, Event::LeaseValid(true));
        recorder
    }

    fn handle(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.0.handle(now, event, &mut self.1);
        std::mem::take(&mut self.1)
    }

    fn request(&mut self, operation: u64, command: Command, deadline: Micros) -> Vec<Action> {
        self.handle(
            0,
            Event::Request {
                operation: OperationId(operation),
                command,
                deadline,
            },
        )
    }

    fn reply(&mut self, now: Micros, operation: u64, reply: Reply) -> Vec<Action> {
        self.handle(
            now,
            Event::Reply {
                operation: OperationId(operation),
                reply: Some(reply),
            },
        )
    }
}

fn decided(operation: u64, decision: Decision) -> Action {
    Action::Decided {
        operation: OperationId(operation),
        decision,
    }
}

#[test]
fn call_in_flight_elsewhere_is_awaited_and_proposed_again() {
    let mut recorder = TestRecorder::start();
    assert_eq!(
        recorder.request(1, call(), 100),
        [Action::Propose {
            operation: OperationId(1),
            command: call()
        }]
    );
    assert!(
        recorder
            .reply(1, 1, Reply::KnownCall(CallState::InFlight))
            .is_empty()
    );
    let other = RecordChange::CallCompleted {
        name: "r".into(),
        ordinal: 1,
    };
    assert!(recorder.handle(2, Event::RecordChanged(other)).is_empty());
    let ended = RecordChange::CallCompleted {
        name: "r".into(),
        ordinal: 0,
    };
    let again = recorder.handle(2, Event::RecordChanged(ended));
    assert_eq!(
        again,
        [Action::Propose {
            operation: OperationId(1),
            command: call()
        }]
    );
    let known = recorder.reply(3, 1, Reply::KnownCall(CallState::OutcomeUnknown));
    assert_eq!(
        known,
        [decided(1, Decision::KnownCall(CallState::OutcomeUnknown))]
    );
}

#[rstest]
#[case::in_time(50, true)]
#[case::too_late(100, false)]
fn request_of_other_owner_is_awaited_until_deadline(#[case] at: Micros, #[case] asked_again: bool) {
    let mut recorder = TestRecorder::start();
    recorder.request(1, claim(), 100);
    assert!(
        recorder
            .reply(1, 1, Reply::Rejected(Rejection::OwnedBy(member("c2"))))
            .is_empty()
    );
    let actions = recorder.handle(
        at,
        Event::RecordChanged(RecordChange::Released { name: "r".into() }),
    );
    let wanted = if asked_again {
        Action::Propose {
            operation: OperationId(1),
            command: claim(),
        }
    } else {
        decided(1, Decision::OwnedBy(member("c2")))
    };
    assert_eq!(actions, [wanted]);
}

/// Guards against waiting for a change that has already happened.
#[test]
fn reply_overtaken_by_change_is_proposed_again() {
    let mut recorder = TestRecorder::start();
    recorder.request(1, claim(), 100);
    assert!(
        recorder
            .handle(
                1,
                Event::RecordChanged(RecordChange::Released { name: "r".into() })
            )
            .is_empty()
    );
    let again = recorder.reply(2, 1, Reply::Rejected(Rejection::OwnedBy(member("c2"))));
    assert_eq!(
        again,
        [Action::Propose {
            operation: OperationId(1),
            command: claim()
        }]
    );
}

/// Guards against a call that goes out without a waiter, and against one that then nobody may make.
#[test]
fn late_grant_is_given_back() {
    let mut recorder = TestRecorder::start();
    recorder.request(1, call(), 100);
    assert_eq!(
        recorder.handle(100, Event::Tick),
        [decided(1, Decision::TimedOut)]
    );
    let actions = recorder.reply(101, 1, Reply::Proceed);
    let back = Command::CompleteCall {
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
fn operations_are_rejected_without_session_lease() {
    let mut recorder = TestRecorder::start();
    recorder.request(1, call(), 100);
    assert_eq!(
        recorder.handle(1, Event::LeaseValid(false)),
        [decided(1, Decision::LeaseLost)]
    );
    assert_eq!(
        recorder.request(2, call(), 100),
        [decided(2, Decision::LeaseLost)]
    );
    assert!(
        recorder
            .reply(2, 1, Reply::Proceed)
            .iter()
            .all(|a| !matches!(a, Action::Decided { .. }))
    );
}

#[test]
fn reply_after_deadline_does_not_grant() {
    let mut recorder = TestRecorder::start();
    recorder.request(1, call(), 100);
    let actions = recorder.reply(5_000, 1, Reply::Proceed);
    assert_eq!(actions[0], decided(1, Decision::TimedOut));
}

#[test]
fn pending_operations_are_bounded_and_reports_are_retried() {
    let mut recorder = TestRecorder::start();
    for ticket in 0..4 {
        recorder.request(ticket, call(), 100);
    }
    assert_eq!(
        recorder.request(9, call(), 100),
        [decided(9, Decision::Rejected(Rejection::CapacityExceeded))]
    );
    let tell = Event::Report {
        operation: OperationId(10),
        command: claim(),
    };
    assert_eq!(
        recorder.handle(0, tell),
        [Action::Propose {
            operation: OperationId(10),
            command: claim()
        }]
    );
    let again = recorder.handle(
        1,
        Event::Reply {
            operation: OperationId(10),
            reply: None,
        },
    );
    assert_eq!(
        again,
        [Action::Propose {
            operation: OperationId(10),
            command: claim()
        }]
    );
    assert!(recorder.reply(2, 10, Reply::Recorded).is_empty());
    assert_eq!(recorder.0.pending_count(), 4);
}
