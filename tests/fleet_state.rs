//! The log's state under any commands in any order: bounded, the same after a snapshot, and each proposal once.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use whinhaven::fleet::lease::{self, LeaseChangeKind, SESSION_LEASE_PREFIX};
use whinhaven::fleet::state::{
    Bounds, Command, FleetState, Origin, Proposal, ProposalRejection, ProposalResult, StateChange,
};
use whinhaven::fleet::{Incarnation, Index, LeaseName, MemberInstance, MemberName, Token};

fn bounds() -> Bounds {
    Bounds {
        max_members: 3,
        max_leases: 4,
        max_waiters: 2,
        max_lease_duration_ms: 1_000,
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
                duration_ms: more * 400,
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
            origin: Origin {
                proposer: who,
                sequence: seq,
            },
            settled_below: settled,
            command: Command::Lease(command),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::with_cases(256) })]
    #[test]
    fn commands_respect_bounds_and_tokens_increase(proposals in prop::collection::vec(proposal(), 1..80)) {
        let mut state = FleetState::new();
        let who = MemberInstance { name: MemberName::try_from("a").unwrap(), incarnation: Incarnation(1) };
        let first = Proposal { origin: Origin { proposer: who, sequence: 0 }, settled_below: 0, command: Command::Bounds(bounds()) };
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
            let refused = matches!(again.last(), Some(StateChange::ProposalDecided { result: ProposalResult::Rejected(_), .. }));
            prop_assert!(refused, "{:?}", again.last());
            prop_assert_eq!(state.leases(), copy.leases());

            for effect in &effects {
                let StateChange::Lease(change) = effect else { continue };
                let last = highest.insert(change.name.clone(), change.token).unwrap_or_default();
                let new = change.kind == LeaseChangeKind::Offered || (change.kind == LeaseChangeKind::Granted && change.token.0 == index.0);
                prop_assert!(if new { change.token > last } else { change.token == last }, "{change:?} after {last:?}");
            }
            prop_assert!(state.leases().grants().count() <= 4);
            for (name, grant) in state.leases().grants() {
                prop_assert!(state.leases().waiters(name).count() <= 2);
                // Nobody holds anything without its life, and a life is only its own.
                let life = state.leases().session(&grant.holder.name);
                prop_assert!(life.is_some_and(|life| life.holder == grant.holder), "{name} is held by the dead");
                prop_assert!(!state.leases().is_session_ended(&grant.holder));
                let owner = name.as_str().strip_prefix(SESSION_LEASE_PREFIX);
                prop_assert!(owner.is_none_or(|owner| owner == grant.holder.name.as_str()));
            }
        }
    }

    #[test]
    fn corrupt_bytes_are_rejected_or_decoded_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Some(proposal) = Proposal::decode(&bytes) {
            FleetState::new().apply(Index(1), proposal, &mut Vec::new());
        }
        if let Some(mut state) = FleetState::decode(&bytes) {
            state.skip(Index(1));
        }
    }
}

#[test]
fn proposals_of_a_stale_incarnation_are_rejected() {
    let mut state = FleetState::new();
    let mut answer = |index, incarnation, seq| {
        let who = MemberInstance {
            name: MemberName::try_from("a").unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let command = lease::Command::Acquire {
            name: lease::session_lease(&who.name).unwrap(),
            duration_ms: 500,
        };
        let proposal = Proposal {
            origin: Origin {
                proposer: who,
                sequence: seq,
            },
            settled_below: 0,
            command: Command::Lease(command),
        };
        let mut out = Vec::new();
        state.apply(Index(index), proposal, &mut out);
        out.pop()
    };
    let is = |effect: Option<StateChange>, expected| matches!(effect, Some(StateChange::ProposalDecided { result: answer, .. }) if answer == expected);
    assert!(is(
        answer(1, 7, 1),
        ProposalResult::Lease(lease::Outcome::Held(Token(1)))
    ));
    assert!(is(
        answer(2, 8, 1),
        ProposalResult::Lease(lease::Outcome::Waiting)
    ));
    assert!(is(
        answer(3, 7, 2),
        ProposalResult::Rejected(ProposalRejection::StaleIncarnation)
    ));
}
