use super::*;
use crate::fleet::{Incarnation, MemberName};
use rstest::rstest;

fn instance(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

fn live_members(names: &[&str]) -> BTreeSet<MemberInstance> {
    names.iter().map(|n| instance(n)).collect()
}

fn propose(nonce: u64, content: &str, base: u64) -> Command {
    let (content, difference) = (content.to_owned(), String::new());
    Command::Propose {
        nonce,
        content,
        base,
        only_check: false,
        at_us: 1,
        difference,
    }
}

const YES_VOTE: Command = Command::Vote {
    proposal: 2,
    refusal: None,
};

/// A fleet of c1, c2 and c3, with epoch 1 in force and proposal 2 of c1 open: the table, the live members, and the
/// notices so far.
struct TestFleet(Table, BTreeSet<MemberInstance>, Vec<Notice>);

impl TestFleet {
    fn start() -> TestFleet {
        let mut fleet = TestFleet(
            Table::default(),
            live_members(&["c1", "c2", "c3"]),
            Vec::new(),
        );
        assert_eq!(fleet.apply("c1", propose(1, "one", 0)), Reply::Accepted(1));
        assert_eq!(fleet.0.epoch(), 1);
        assert_eq!(fleet.apply("c1", propose(2, "two", 1)), Reply::Accepted(2));
        fleet.2.clear();
        fleet
    }

    fn apply(&mut self, name: &str, command: Command) -> Reply {
        self.0.apply(&instance(name), &self.1, command, &mut self.2)
    }

    fn apply_by_all(&mut self, command: &Command) {
        for name in ["c1", "c2", "c3"] {
            self.apply(name, command.clone());
        }
    }
}

#[test]
fn a_proposal_is_in_force_once_all_have_voted_and_then_all_have_confirmed() {
    let mut fleet = TestFleet::start();
    // A confirmation before the proposal is closing is refused.
    assert_eq!(
        fleet.apply("c1", Command::Closed { proposal: 2 }),
        Reply::Refused(Refusal::NotInProgress)
    );
    fleet.apply_by_all(&YES_VOTE);
    assert_eq!(fleet.2, [Notice::Closing { proposal: 2 }]);
    fleet.apply("c1", Command::Closed { proposal: 2 });
    fleet.apply("c2", Command::Closed { proposal: 2 });
    assert_eq!(fleet.0.epoch(), 1);
    fleet.apply("c3", Command::Closed { proposal: 2 });
    let in_force = Notice::InForce {
        epoch: 2,
        content: "two".into(),
    };
    assert_eq!((fleet.0.epoch(), fleet.2.last()), (2, Some(&in_force)));
    assert_eq!(fleet.0.finished().last().unwrap().digest, digest("two"));
}

#[rstest]
#[case::a_refusal("c3", Command::Vote { proposal: 2, refusal: Some("no room".into()) }, "c3 refuses: no room")]
#[case::an_abort("c2", Command::Abort { proposal: 2, cause: "given up".into() }, "given up")]
fn one_refusal_or_an_abort_ends_a_proposal_without_effect(
    #[case] by: &str,
    #[case] command: Command,
    #[case] expected: &str,
) {
    let mut fleet = TestFleet::start();
    fleet.apply("c1", YES_VOTE);
    fleet.apply(by, command);
    fleet.apply_by_all(&YES_VOTE);
    assert_eq!(
        fleet.2,
        [Notice::Rejected {
            proposal: 2,
            why: expected.into()
        }]
    );
    assert_eq!((fleet.0.epoch(), fleet.0.content()), (1, "one"));
}

/// A member whose session has ended is not waited for. Its new incarnation has to vote or confirm again.
#[rstest]
#[case::votes(false)]
#[case::closing(true)]
fn an_ended_incarnation_is_not_awaited_but_its_new_one_is(#[case] closing: bool) {
    let mut fleet = TestFleet::start();
    let command = if closing {
        Command::Closed { proposal: 2 }
    } else {
        YES_VOTE
    };
    if closing {
        fleet.apply_by_all(&YES_VOTE);
    }
    fleet.apply("c1", command.clone());
    fleet.apply("c3", command.clone());
    let new_incarnation = MemberInstance {
        incarnation: Incarnation(2),
        ..instance("c3")
    };
    fleet.1 = [instance("c1"), new_incarnation.clone()].into();
    fleet.0.settle(&fleet.1, &mut fleet.2);
    assert_eq!(
        fleet.0.awaited_members(&fleet.1),
        std::slice::from_ref(&new_incarnation)
    );
    fleet
        .0
        .apply(&new_incarnation, &fleet.1, command, &mut fleet.2);
    assert_eq!(fleet.0.epoch(), if closing { 2 } else { 1 });
    assert!(closing || fleet.0.open().unwrap().closing);
}

#[test]
fn a_proposal_ends_without_effect_when_its_proposer_s_session_ends() {
    let mut fleet = TestFleet::start();
    fleet.apply_by_all(&YES_VOTE);
    fleet.1 = live_members(&["c2", "c3"]);
    fleet.0.settle(&fleet.1, &mut fleet.2);
    assert!(matches!(
        fleet.2.last(),
        Some(Notice::Rejected { proposal: 2, .. })
    ));
}

#[rstest]
#[case::two_at_once("c2", propose(3, "three", 1), Refusal::Busy { proposal: 2, by: instance("c1") })]
#[case::no_session("c9", propose(3, "three", 1), Refusal::NoSession)]
#[case::late_vote("c2", Command::Vote { proposal: 1, refusal: None }, Refusal::NotInProgress)]
fn a_refused_command_changes_nothing(
    #[case] by: &str,
    #[case] command: Command,
    #[case] expected: Refusal,
) {
    let mut fleet = TestFleet::start();
    let before = fleet.0.clone();
    assert_eq!(fleet.apply(by, command), Reply::Refused(expected));
    assert_eq!(fleet.0, before);
}

#[rstest]
#[case::old_base(propose(3, "three", 0), Refusal::StaleBase { base: 0, epoch: 1 })]
#[case::empty(propose(3, "", 1), Refusal::Size)]
#[case::long(propose(3, &"x".repeat(MAX_CONTENT_BYTES + 1), 1), Refusal::Size)]
#[case::same(propose(3, "one", 1), Refusal::Unchanged(1))]
fn an_invalid_proposal_is_refused_and_not_opened(
    #[case] command: Command,
    #[case] expected: Refusal,
) {
    let mut fleet = TestFleet::start();
    fleet.apply(
        "c1",
        Command::Abort {
            proposal: 2,
            cause: "off".into(),
        },
    );
    assert_eq!(fleet.apply("c1", command), Reply::Refused(expected));
    assert!(fleet.0.open().is_none());
}
