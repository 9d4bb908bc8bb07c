use super::*;
use crate::fleet::{Incarnation, MemberName};
use rstest::rstest;

fn who(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

fn living(names: &[&str]) -> BTreeSet<MemberInstance> {
    names.iter().map(|n| who(n)).collect()
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

const YES: Command = Command::Vote {
    proposal: 2,
    refusal: None,
};

/// Epoch 1 in force and proposal 2 of c1 under way, among c1, c2 and c3.
struct Side(Table, BTreeSet<MemberInstance>, Vec<Notice>);

impl Side {
    fn start() -> Side {
        let mut side = Side(Table::default(), living(&["c1", "c2", "c3"]), Vec::new());
        assert_eq!(side.tell("c1", propose(1, "one", 0)), Reply::Accepted(1));
        assert_eq!(side.0.epoch(), 1);
        assert_eq!(side.tell("c1", propose(2, "two", 1)), Reply::Accepted(2));
        side.2.clear();
        side
    }

    fn tell(&mut self, name: &str, command: Command) -> Reply {
        self.0.apply(&who(name), &self.1, command, &mut self.2)
    }

    fn all(&mut self, command: &Command) {
        for name in ["c1", "c2", "c3"] {
            self.tell(name, command.clone());
        }
    }
}

#[test]
fn in_force_when_all_have_voted_and_then_all_have_stopped_beginning() {
    let mut side = Side::start();
    // A word that comes before its time counts for nothing.
    assert_eq!(
        side.tell("c1", Command::Closed { proposal: 2 }),
        Reply::Refused(Refusal::NotInProgress)
    );
    side.all(&YES);
    assert_eq!(side.2, [Notice::Closing { proposal: 2 }]);
    side.tell("c1", Command::Closed { proposal: 2 });
    side.tell("c2", Command::Closed { proposal: 2 });
    assert_eq!(side.0.epoch(), 1);
    side.tell("c3", Command::Closed { proposal: 2 });
    let switch = Notice::InForce {
        epoch: 2,
        content: "two".into(),
    };
    assert_eq!((side.0.epoch(), side.2.last()), (2, Some(&switch)));
    assert_eq!(side.0.finished().last().unwrap().digest, digest("two"));
}

#[rstest]
#[case::a_no("c3", Command::Vote { proposal: 2, refusal: Some("no room".into()) }, "c3 refuses: no room")]
#[case::an_abort("c2", Command::Abort { proposal: 2, cause: "given up".into() }, "given up")]
fn one_word_against_it_is_nowhere(#[case] by: &str, #[case] word: Command, #[case] wanted: &str) {
    let mut side = Side::start();
    side.tell("c1", YES);
    side.tell(by, word);
    side.all(&YES);
    assert_eq!(
        side.2,
        [Notice::Rejected {
            proposal: 2,
            why: wanted.into()
        }]
    );
    assert_eq!((side.0.epoch(), side.0.content()), (1, "one"));
}

/// Whoever has died is waited for no longer; a new life has to give its word anew.
#[rstest]
#[case::votes(false)]
#[case::closing(true)]
fn the_dead_drop_out_and_a_new_life_is_waited_for(#[case] closing: bool) {
    let mut side = Side::start();
    let word = if closing {
        Command::Closed { proposal: 2 }
    } else {
        YES
    };
    if closing {
        side.all(&YES);
    }
    side.tell("c1", word.clone());
    side.tell("c3", word.clone());
    let again = MemberInstance {
        incarnation: Incarnation(2),
        ..who("c3")
    };
    side.1 = [who("c1"), again.clone()].into();
    side.0.settle(&side.1, &mut side.2);
    assert_eq!(
        side.0.awaited_members(&side.1),
        std::slice::from_ref(&again)
    );
    side.0.apply(&again, &side.1, word, &mut side.2);
    assert_eq!(side.0.epoch(), if closing { 2 } else { 1 });
    assert!(closing || side.0.open().unwrap().closing);
}

#[test]
fn without_its_proposer_it_is_nowhere() {
    let mut side = Side::start();
    side.all(&YES);
    side.1 = living(&["c2", "c3"]);
    side.0.settle(&side.1, &mut side.2);
    assert!(matches!(
        side.2.last(),
        Some(Notice::Rejected { proposal: 2, .. })
    ));
}

#[rstest]
#[case::two_at_once("c2", propose(3, "three", 1), Refusal::Busy { proposal: 2, by: who("c1") })]
#[case::no_life("c9", propose(3, "three", 1), Refusal::NoSession)]
#[case::late_word("c2", Command::Vote { proposal: 1, refusal: None }, Refusal::NotInProgress)]
fn what_has_no_place_changes_nothing(
    #[case] by: &str,
    #[case] command: Command,
    #[case] wanted: Refusal,
) {
    let mut side = Side::start();
    let before = side.0.clone();
    assert_eq!(side.tell(by, command), Reply::Refused(wanted));
    assert_eq!(side.0, before);
}

#[rstest]
#[case::old_base(propose(3, "three", 0), Refusal::StaleBase { base: 0, epoch: 1 })]
#[case::empty(propose(3, "", 1), Refusal::Size)]
#[case::long(propose(3, &"x".repeat(MAX_CONTENT_BYTES + 1), 1), Refusal::Size)]
#[case::same(propose(3, "one", 1), Refusal::Unchanged(1))]
fn a_proposal_is_refused_whole(#[case] command: Command, #[case] wanted: Refusal) {
    let mut side = Side::start();
    side.tell(
        "c1",
        Command::Abort {
            proposal: 2,
            cause: "off".into(),
        },
    );
    assert_eq!(side.tell("c1", command), Reply::Refused(wanted));
    assert!(side.0.open().is_none());
}
