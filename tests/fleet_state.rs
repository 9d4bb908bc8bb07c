//! The log's state under any commands in any order: bounded, the same after a snapshot, and each proposal once.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use whinhaven::fleet::lease::{self, LIFE, What};
use whinhaven::fleet::state::{
    Answer, Bounds, Command, Effect, FleetState, Origin, Proposal, Refusal,
};
use whinhaven::fleet::{Incarnation, Index, LeaseName, MemberInstance, MemberName, Token};

fn bounds() -> Bounds {
    Bounds {
        most_members: 3,
        most_leases: 4,
        most_waiters: 2,
        most_granted_for_ms: 1_000,
    }
}

fn proposal() -> impl Strategy<Value = Proposal> {
    let names = prop::sample::select(vec!["life/a", "life/b", "life/c", "life/d", "x", "y", "z"]);
    let command = (names, 0..4u8, 0..60u64, 0..3u64).prop_map(|(name, kind, token, more)| {
        let name = LeaseName::try_from(name).unwrap();
        let token = Token(token);
        match kind {
            0 => lease::Command::Acquire {
                name,
                granted_for_ms: more * 400,
            },
            1 => lease::Command::Renew { name, token },
            2 => lease::Command::Release { name },
            _ => lease::Command::Expire {
                name,
                token,
                renewals: more,
            },
        }
    });
    let who = (prop::sample::select(vec!["a", "b", "c", "d"]), 1..4u64);
    (who, 1..30u64, 0..30u64, command).prop_map(|((name, life), seq, settled, command)| {
        let who = MemberInstance {
            name: MemberName::try_from(name).unwrap(),
            incarnation: Incarnation(life),
        };
        Proposal {
            origin: Origin { who, seq },
            settled,
            command: Command::Lease(command),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::with_cases(256) })]
    #[test]
    fn any_commands_keep_the_bounds_and_raise_the_tokens(proposals in prop::collection::vec(proposal(), 1..80)) {
        let mut state = FleetState::new();
        let who = MemberInstance { name: MemberName::try_from("a").unwrap(), incarnation: Incarnation(1) };
        let first = Proposal { origin: Origin { who, seq: 0 }, settled: 0, command: Command::Bounds(bounds()) };
        state.apply(Index(1), first, &mut Vec::new());
        prop_assert_eq!(state.bounds(), &bounds());
        let mut highest: BTreeMap<LeaseName, Token> = BTreeMap::new();
        for (n, proposal) in proposals.into_iter().enumerate() {
            let index = Index(n as u64 + 2);
            let mut copy = FleetState::decode(&state.encode()).expect("a snapshot reads as it was written");
            let (mut effects, mut again) = (Vec::new(), Vec::new());
            state.apply(index, proposal.clone(), &mut effects);
            copy.apply(index, proposal.clone(), &mut again);
            prop_assert_eq!(&effects, &again);
            prop_assert_eq!(&state, &copy);

            // The same proposal once more, as a retry that comes late: nothing but its answer.
            copy.apply(Index(index.0 + 1), proposal.clone(), &mut again);
            let refused = matches!(again.last(), Some(Effect::Answered { answer: Answer::Refused(_), .. }));
            prop_assert!(refused, "{:?}", again.last());
            prop_assert_eq!(state.leases(), copy.leases());

            for effect in &effects {
                let Effect::Lease(change) = effect else { continue };
                let last = highest.insert(change.name.clone(), change.token).unwrap_or_default();
                let new = change.what == What::Offered || (change.what == What::Granted && change.token.0 == index.0);
                prop_assert!(if new { change.token > last } else { change.token == last }, "{change:?} after {last:?}");
            }
            prop_assert!(state.leases().grants().count() <= 4);
            for (name, grant) in state.leases().grants() {
                prop_assert!(state.leases().waiters(name).count() <= 2);
                // Nobody holds anything without its life, and a life is only its own.
                let life = state.leases().life(&grant.holder.name);
                prop_assert!(life.is_some_and(|life| life.holder == grant.holder), "{name} is held by the dead");
                prop_assert!(!state.leases().ended(&grant.holder));
                let owner = name.as_str().strip_prefix(LIFE);
                prop_assert!(owner.is_none_or(|owner| owner == grant.holder.name.as_str()));
            }
        }
    }

    #[test]
    fn garbled_bytes_are_refused_or_read_without_harm(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(proposal) = Proposal::decode(&bytes) {
            FleetState::new().apply(Index(1), proposal, &mut Vec::new());
        }
        if let Some(mut state) = FleetState::decode(&bytes) {
            state.skip(Index(1));
        }
    }
}

#[test]
fn an_older_life_proposes_nothing_once_a_later_one_has() {
    let mut state = FleetState::new();
    let mut answer = |index, incarnation, seq| {
        let who = MemberInstance {
            name: MemberName::try_from("a").unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let command = lease::Command::Acquire {
            name: lease::life(&who.name).unwrap(),
            granted_for_ms: 500,
        };
        let proposal = Proposal {
            origin: Origin { who, seq },
            settled: 0,
            command: Command::Lease(command),
        };
        let mut out = Vec::new();
        state.apply(Index(index), proposal, &mut out);
        out.pop()
    };
    let is = |effect: Option<Effect>, expected| matches!(effect, Some(Effect::Answered { answer, .. }) if answer == expected);
    assert!(is(
        answer(1, 7, 1),
        Answer::Lease(lease::Outcome::Held(Token(1)))
    ));
    assert!(is(answer(2, 8, 1), Answer::Lease(lease::Outcome::Waiting)));
    assert!(is(answer(3, 7, 2), Answer::Refused(Refusal::OldLife)));
}
