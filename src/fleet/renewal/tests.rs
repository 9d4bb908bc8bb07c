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

fn three_voters() -> VoterConfig {
    VoterConfig {
        voters: ["v1", "v2", "v3"].map(voter).into(),
        ..VoterConfig::default()
    }
}

fn renewal(holder: &str, number: u64) -> LeaseRenewal {
    let name = LeaseName::try_from(format!("life/{holder}")).expect("a name");
    LeaseRenewal {
        holder: member(holder),
        name,
        token: Token(3),
        sequence: number,
    }
}

struct Leader {
    confirmation: LeaderConfirmation,
    voters: VoterConfig,
}

impl Leader {
    fn new() -> Leader {
        Leader {
            confirmation: LeaderConfirmation::default(),
            voters: three_voters(),
        }
    }

    fn advance(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut out = Vec::new();
        self.confirmation
            .advance(now, &voter("v1"), Term(5), &self.voters, &mut out);
        out
    }

    /// The members that are answered, and the sequence numbers of their renewals.
    fn answered(&mut self, now: Micros) -> Vec<(String, Vec<u64>)> {
        let numbers = |renewals: &[LeaseRenewal]| renewals.iter().map(|r| r.sequence).collect();
        let answer = |out: &Outgoing| match &out.message {
            Message::Renewed(renewals) => Some((out.to.to_string(), numbers(renewals))),
            _ => None,
        };
        self.advance(now).iter().filter_map(answer).collect()
    }
}

#[test]
fn renewal_is_answered_after_majority_confirmation() {
    let mut leader = Leader::new();
    leader.confirmation.add(member("c1"), renewal("c1", 1));
    let asked: Vec<String> = leader
        .advance(0)
        .iter()
        .map(|out| out.to.to_string())
        .collect();
    assert_eq!(asked, ["v2", "v3"]);
    leader.confirmation.on_confirmed(voter("v3"), 1);
    assert_eq!(leader.answered(10), [("c1".to_owned(), vec![1])]);
    assert_eq!(leader.answered(20), []);
}

/// One that came behind the question was perhaps sent behind the confirmation: it needs the next round.
#[test]
fn renewal_during_a_round_waits_for_the_next_round() {
    let mut leader = Leader::new();
    leader.confirmation.add(member("c1"), renewal("c1", 1));
    leader.advance(0);
    leader.confirmation.add(member("c2"), renewal("c2", 7));
    leader.confirmation.on_confirmed(voter("v2"), 1);
    assert_eq!(leader.answered(10), [("c1".to_owned(), vec![1])]);
    leader.confirmation.on_confirmed(voter("v3"), 1);
    assert_eq!(leader.answered(20), []);
    leader.confirmation.on_confirmed(voter("v3"), 2);
    assert_eq!(leader.answered(30), [("c2".to_owned(), vec![7])]);
}

#[test]
fn confirmations_of_other_stores_and_non_voters_do_not_count() {
    let mut leader = Leader::new();
    leader.confirmation.add(member("c1"), renewal("c1", 1));
    leader.advance(0);
    leader.confirmation.on_confirmed(
        VoterId {
            name: member("v2"),
            store: 2,
        },
        1,
    );
    leader.confirmation.on_confirmed(voter("v9"), 1);
    assert_eq!(leader.answered(10), []);
}

#[test]
fn missing_confirmation_is_requested_again() {
    let mut leader = Leader::new();
    leader.confirmation.add(member("c1"), renewal("c1", 1));
    assert_eq!(leader.advance(0).len(), 2);
    assert_eq!(leader.advance(RETRY_INTERVAL - 1).len(), 0);
    assert_eq!(leader.confirmation.timeout(), Some(RETRY_INTERVAL));
    assert_eq!(leader.advance(RETRY_INTERVAL).len(), 2);
}

#[test]
fn deposed_leader_answers_no_renewals() {
    let mut leader = Leader::new();
    leader.confirmation.add(member("c1"), renewal("c1", 1));
    leader.advance(0);
    leader.confirmation.reset();
    leader.confirmation.on_confirmed(voter("v2"), 1);
    assert_eq!(
        (leader.answered(10), leader.confirmation.timeout()),
        (vec![], None)
    );
}

#[test]
fn answers_return_by_the_same_relay_in_one_message() {
    let mut leader = Leader::new();
    for (from, holder) in [("relay", "c1"), ("c3", "c3"), ("relay", "c2")] {
        leader.confirmation.add(member(from), renewal(holder, 4));
    }
    leader.advance(0);
    leader.confirmation.on_confirmed(voter("v2"), 1);
    assert_eq!(
        leader.answered(1),
        [("c3".to_owned(), vec![4]), ("relay".to_owned(), vec![4, 4])]
    );
}

#[test]
fn relay_batches_renewals_up_to_the_limit() {
    let mut gathering = RenewalBatch::default();
    gathering.add(0, vec![renewal("c1", 1)]);
    gathering.add(
        BATCH_DELAY / 2,
        (0..MAX_RENEWALS as u64)
            .map(|number| renewal("c2", number))
            .collect(),
    );
    assert_eq!(gathering.take_due(BATCH_DELAY - 1), None);
    let Some(Message::Renew {
        renewals,
        relayed: true,
    }) = gathering.take_due(BATCH_DELAY)
    else {
        panic!("sent on")
    };
    assert_eq!(renewals.len(), MAX_RENEWALS);
    assert_eq!(
        (gathering.take_due(2 * BATCH_DELAY), gathering.timeout()),
        (None, None)
    );
}
