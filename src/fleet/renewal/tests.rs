use super::*;

fn member(name: &str) -> MemberName {
    MemberName::try_from(name).expect("a name")
}

fn voter(name: &str) -> VoterId {
    VoterId {
        name: member(name),
        store: 1,
    }
}

fn three() -> VoterConfig {
    VoterConfig {
        voters: ["v1", "v2", "v3"].map(voter).into(),
        ..VoterConfig::default()
    }
}

fn renewal(holder: &str, number: u64) -> Renewal {
    let name = LeaseName::try_from(format!("life/{holder}")).expect("a name");
    Renewal {
        holder: member(holder),
        name,
        token: Token(3),
        number,
    }
}

struct Leader {
    confirmation: Confirmation,
    voters: VoterConfig,
}

impl Leader {
    fn new() -> Leader {
        Leader {
            confirmation: Confirmation::default(),
            voters: three(),
        }
    }

    fn turn(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.confirmation
            .turn(now, &voter("v1"), Term(5), &self.voters, &mut out);
        out
    }

    /// MemberInstance is answered.
    fn answered(&mut self, now: Micros) -> Vec<(String, Vec<u64>)> {
        let numbers = |renewals: &[Renewal]| renewals.iter().map(|r| r.number).collect();
        let answer = |out: &Outgoing| match &out.message {
            Message::Renewed(renewals) => Some((out.to.to_string(), numbers(renewals))),
            _ => None,
        };
        self.turn(now).iter().filter_map(answer).collect()
    }
}

#[test]
fn a_renewal_is_answered_once_a_majority_has_confirmed() {
    let mut leader = Leader::new();
    leader.confirmation.take(member("c1"), renewal("c1", 1));
    let asked: Vec<String> = leader
        .turn(0)
        .iter()
        .map(|out| out.to.to_string())
        .collect();
    assert_eq!(asked, ["v2", "v3"]);
    leader.confirmation.confirmed(voter("v3"), 1);
    assert_eq!(leader.answered(10), [("c1".to_owned(), vec![1])]);
    assert_eq!(leader.answered(20), []);
}

/// One that came behind the question was perhaps sent behind the confirmation: it needs the next round.
#[test]
fn a_renewal_that_comes_behind_a_round_waits_for_the_next() {
    let mut leader = Leader::new();
    leader.confirmation.take(member("c1"), renewal("c1", 1));
    leader.turn(0);
    leader.confirmation.take(member("c2"), renewal("c2", 7));
    leader.confirmation.confirmed(voter("v2"), 1);
    assert_eq!(leader.answered(10), [("c1".to_owned(), vec![1])]);
    leader.confirmation.confirmed(voter("v3"), 1);
    assert_eq!(leader.answered(20), []);
    leader.confirmation.confirmed(voter("v3"), 2);
    assert_eq!(leader.answered(30), [("c2".to_owned(), vec![7])]);
}

#[test]
fn a_voter_with_another_store_or_none_of_the_voters_confirms_nothing() {
    let mut leader = Leader::new();
    leader.confirmation.take(member("c1"), renewal("c1", 1));
    leader.turn(0);
    leader.confirmation.confirmed(
        VoterId {
            name: member("v2"),
            store: 2,
        },
        1,
    );
    leader.confirmation.confirmed(voter("v9"), 1);
    assert_eq!(leader.answered(10), []);
}

#[test]
fn a_voter_that_does_not_answer_is_asked_again() {
    let mut leader = Leader::new();
    leader.confirmation.take(member("c1"), renewal("c1", 1));
    assert_eq!(leader.turn(0).len(), 2);
    assert_eq!(leader.turn(ASK_AGAIN - 1).len(), 0);
    assert_eq!(leader.confirmation.timeout(), Some(ASK_AGAIN));
    assert_eq!(leader.turn(ASK_AGAIN).len(), 2);
}

#[test]
fn who_ceases_to_lead_answers_nothing_more() {
    let mut leader = Leader::new();
    leader.confirmation.take(member("c1"), renewal("c1", 1));
    leader.turn(0);
    leader.confirmation.clear();
    leader.confirmation.confirmed(voter("v2"), 1);
    assert_eq!(
        (leader.answered(10), leader.confirmation.timeout()),
        (vec![], None)
    );
}

#[test]
fn answers_go_back_the_way_the_renewals_came_in_one_message() {
    let mut leader = Leader::new();
    for (from, holder) in [("relay", "c1"), ("c3", "c3"), ("relay", "c2")] {
        leader.confirmation.take(member(from), renewal(holder, 4));
    }
    leader.turn(0);
    leader.confirmation.confirmed(voter("v2"), 1);
    assert_eq!(
        leader.answered(1),
        [("c3".to_owned(), vec![4]), ("relay".to_owned(), vec![4, 4])]
    );
}

#[test]
fn a_relay_sends_on_together_what_it_gathers_and_no_more_than_its_bound() {
    let mut gathering = Gathering::default();
    gathering.take(0, vec![renewal("c1", 1)]);
    gathering.take(
        GATHER / 2,
        (0..MOST_RENEWALS as u64)
            .map(|number| renewal("c2", number))
            .collect(),
    );
    assert_eq!(gathering.due(GATHER - 1), None);
    let Some(Message::Renew {
        renewals,
        relayed: true,
    }) = gathering.due(GATHER)
    else {
        panic!("sent on")
    };
    assert_eq!(renewals.len(), MOST_RENEWALS);
    assert_eq!(
        (gathering.due(2 * GATHER), gathering.timeout()),
        (None, None)
    );
}
