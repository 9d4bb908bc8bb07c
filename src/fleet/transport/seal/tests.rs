use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeSet;

fn name(text: &str) -> MemberName {
    MemberName::try_from(text).unwrap()
}

fn who(text: &str, life: u64) -> MemberInstance {
    MemberInstance {
        name: name(text),
        incarnation: Incarnation(life),
    }
}

fn keys(bytes: &[u8]) -> Keys {
    Keys(bytes.iter().map(|b| vec![*b; MIN_KEY_BYTES]).collect())
}

fn c1(life: u64, limits: &FrameLimits) -> Sealer {
    Sealer::new(who("c1", life), keys(&[1]), limits)
}

fn small() -> FrameLimits {
    FrameLimits {
        max_datagram_bytes: 40,
        max_stream_payload_bytes: 60,
        max_senders: 2,
        frames_per_second: 1000,
        burst: 3000,
    }
}

/// Whatever `opener` says of the frame, it must refuse it and stay as it is.
fn refuses(opener: &mut Opener, frame: &[u8], what: &str) -> FrameError {
    let before = opener.clone();
    let refused = opener.datagram(5, frame).expect_err(what);
    assert_eq!(*opener, before, "{what}: {refused}");
    refused
}

#[test]
fn only_the_very_bytes_that_a_member_sealed_for_this_one_open_and_only_once() {
    let limits = small();
    let mut opener = Opener::new(name("c2"), keys(&[1]), limits.clone());
    let mut sealer = c1(7, &limits);
    let frame = sealer.seal(&name("c2"), 9, b"news").unwrap();
    // Before the sender is known, and after: forged frames reach no table in either case.
    for round in ["new sender", "known sender"] {
        for bit in 0..frame.len() * 8 {
            let mut flipped = frame.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            refuses(&mut opener, &flipped, &format!("{round}, bit {bit}"));
        }
        for cut in 0..frame.len() {
            refuses(
                &mut opener,
                &frame[..cut],
                &format!("{round}, cut at {cut}"),
            );
            refuses(
                &mut opener,
                &frame[cut + 1..],
                &format!("{round}, begun at {cut}"),
            );
        }
        for extra in 1..200 {
            refuses(
                &mut opener,
                &[&frame[..], &vec![0; extra]].concat(),
                "longer",
            );
        }
        let mut other_key = Sealer::new(who("c1", 7), keys(&[3]), &limits);
        let forged = other_key.seal(&name("c2"), 9, b"news").unwrap();
        assert_eq!(
            refuses(&mut opener, &forged, "another key"),
            FrameError::Mac
        );
        let elsewhere = sealer.seal(&name("c3"), 9, b"news").unwrap();
        assert_eq!(
            refuses(&mut opener, &elsewhere, "another receiver"),
            FrameError::Receiver
        );
        let own = Sealer::new(who("c2", 1), keys(&[1]), &limits)
            .seal(&name("c2"), 9, b"news")
            .unwrap();
        assert_eq!(refuses(&mut opener, &own, "own name"), FrameError::OwnName);
        if round == "new sender" {
            assert_eq!(opener.senders(), 0);
            let opened = opener.datagram(5, &frame).unwrap();
            assert_eq!(
                (opened.from, opened.kind, opened.payload),
                (who("c1", 7), 9, &b"news"[..])
            );
        }
        if round == "known sender" {
            assert_eq!(refuses(&mut opener, &frame, "replay"), FrameError::Replay);
        }
    }
    assert_eq!(
        sealer.seal(&name("c2"), 9, &[0; 41]),
        Err(FrameError::TooLong)
    );
    let roomy = FrameLimits {
        max_datagram_bytes: 41,
        ..small()
    };
    let long = c1(7, &roomy).seal(&name("c2"), 9, &[0; 41]).unwrap();
    assert_eq!(refuses(&mut opener, &long, "too long"), FrameError::TooLong);
}

#[test]
fn a_life_before_the_last_one_heard_is_refused_and_a_full_table_takes_no_new_sender() {
    let limits = small();
    let mut opener = Opener::new(name("c2"), keys(&[1]), limits.clone());
    let (mut old, mut new) = (c1(7, &limits), c1(8, &limits));
    let to = name("c2");
    let (first, late) = (
        old.seal(&to, 0, b"a").unwrap(),
        old.seal(&to, 0, b"b").unwrap(),
    );
    opener.datagram(0, &first).unwrap();
    opener
        .datagram(0, &new.seal(&to, 0, b"c").unwrap())
        .unwrap();
    assert_eq!(
        refuses(&mut opener, &late, "old life"),
        FrameError::OldIncarnation
    );
    for (sender, taken) in [("c3", true), ("c4", false), ("c5", false), ("c3", true)] {
        let mut sealer = Sealer::new(who(sender, 2), keys(&[1]), &limits);
        sealer.next = 1 + opener.senders() as u64;
        let frame = sealer.seal(&to, 0, b"").unwrap();
        assert_eq!(opener.datagram(0, &frame).is_ok(), taken, "{sender}");
        assert!(opener.senders() <= 2);
    }
    opener.forget(&name("c3"));
    let c4 = Sealer::new(who("c4", 2), keys(&[1]), &limits)
        .seal(&to, 0, b"")
        .unwrap();
    opener.datagram(0, &c4).unwrap();
}

#[test]
fn both_keys_open_during_a_rotation_and_the_old_one_no_more_after_it() {
    let limits = small();
    let to = name("c2");
    // c1's and c2's key files are changed one after the other; at each step they understand each other.
    let steps: [&[u8]; 5] = [&[1], &[1, 2], &[2, 1], &[2], &[2]];
    for (step, both) in steps.windows(2).enumerate() {
        for (from, at) in [(both[0], both[1]), (both[1], both[0])] {
            let frame = Sealer::new(who("c1", 1), keys(from), &limits)
                .seal(&to, 0, b"x")
                .unwrap();
            let mut opener = Opener::new(to.clone(), keys(at), limits.clone());
            assert!(
                opener.datagram(0, &frame).is_ok(),
                "step {step}: {from:?} to {at:?}"
            );
        }
    }
    let frame = Sealer::new(who("c1", 1), keys(&[1, 2]), &limits)
        .seal(&to, 0, b"x")
        .unwrap();
    let refused = Opener::new(to.clone(), keys(&[2]), limits)
        .datagram(0, &frame)
        .unwrap_err();
    assert_eq!(refused, FrameError::Mac);
}

#[test]
fn a_connection_takes_its_frames_in_order_from_one_life_and_none_of_another_connection() {
    let limits = small();
    let to = name("c2");
    let mut opener = Opener::new(to.clone(), keys(&[1]), limits.clone());
    let (here, there) = (ConnectionNonce([1; 16]), ConnectionNonce([2; 16]));
    let sealer = |from, session| StreamSealer::new(from, to.clone(), keys(&[1]), &limits, session);
    let mut c1s = sealer(who("c1", 7), here);
    let frames: Vec<_> = (0..4)
        .map(|kind| c1s.seal(kind, &[kind; 60]).unwrap())
        .collect();
    assert_eq!(c1s.seal(0, &[0; 61]), Err(FrameError::TooLong));
    let mut inbound = Inbound::new(here);
    let elsewhere = sealer(who("c1", 7), there).seal(0, b"x").unwrap();
    let mut other_life = sealer(who("c1", 8), here);
    other_life.next = 2;
    let wrong = [
        (elsewhere, FrameError::Mac),
        (
            c1(7, &limits).seal(&to, 0, b"x").unwrap(),
            FrameError::Channel,
        ),
        (frames[2].clone(), FrameError::Order),
        (frames[0].clone(), FrameError::Order),
        (other_life.seal(0, b"x").unwrap(), FrameError::OtherSender),
    ];
    opener.stream(0, &mut inbound, &frames[0]).unwrap();
    for (frame, why) in wrong {
        let before = (opener.clone(), inbound.clone());
        assert_eq!(opener.stream(0, &mut inbound, &frame).unwrap_err(), why);
        assert_eq!((opener.clone(), inbound.clone()), before);
    }
    for (kind, frame) in frames.iter().enumerate().skip(1) {
        assert_eq!(frame_length(length_prefix(frame), &limits), Ok(frame.len()));
        let opened = opener.stream(0, &mut inbound, frame).unwrap();
        assert_eq!(
            (opened.kind, opened.payload),
            (kind as u8, &[kind as u8; 60][..])
        );
    }
    // A new life heard anywhere ends the old one's connections.
    opener
        .datagram(0, &c1(8, &limits).seal(&to, 0, b"x").unwrap())
        .unwrap();
    let late = c1s.seal(0, b"x").unwrap();
    assert_eq!(
        opener.stream(0, &mut inbound, &late).unwrap_err(),
        FrameError::OldIncarnation
    );
    assert_eq!(frame_length([255; 4], &limits), Err(FrameError::TooLong));
    assert_eq!(
        frame_length([1, 0, 0, 0], &limits),
        Err(FrameError::Malformed)
    );
}

#[test]
fn a_sender_gets_its_burst_and_then_its_rate_and_takes_nothing_from_others() {
    let limits = FrameLimits {
        frames_per_second: 10,
        burst: 5,
        ..small()
    };
    let to = name("c2");
    let mut opener = Opener::new(to.clone(), keys(&[1]), limits.clone());
    let mut sealer = c1(1, &limits);
    let mut flood = |opener: &mut Opener, now| {
        (0..100)
            .filter(|_| {
                opener
                    .datagram(now, &sealer.seal(&to, 0, b"").unwrap())
                    .is_ok()
            })
            .count()
    };
    assert_eq!(flood(&mut opener, 0), 5);
    assert_eq!(flood(&mut opener, 99_999), 0);
    assert_eq!(flood(&mut opener, 100_000), 1);
    assert_eq!(flood(&mut opener, 90_000), 0);
    assert_eq!(flood(&mut opener, 400_000), 3);
    assert_eq!(flood(&mut opener, u64::MAX), 5);
    // Neither does a new life help, nor does it cost another sender anything.
    let again = c1(2, &limits).seal(&to, 0, b"").unwrap();
    assert_eq!(
        opener.datagram(u64::MAX, &again).unwrap_err(),
        FrameError::Rate
    );
    let c3 = Sealer::new(who("c3", 1), keys(&[1]), &limits)
        .seal(&to, 0, b"")
        .unwrap();
    opener.datagram(u64::MAX, &c3).unwrap();
}

#[rstest]
#[case::toml("# ours\nkeys = [\"K\", \"L\"]\n", Ok(2))]
#[case::lines("K # the new one\n\n  L\n", Ok(2))]
#[case::one("K", Ok(1))]
#[case::three("K\nL\nK", Err("3 keys"))]
#[case::none("# nothing\n", Err("0 keys"))]
#[case::short("K\nabcdef", Err("key 2 has 3 bytes"))]
#[case::not_hex("secretsecretsecretsecretsecretsecret", Err("key 1 is not hex"))]
#[case::no_toml("keys = secretsecret", Err("not of the form"))]
#[case::no_list("keys = \"secretsecret\"", Err("not of the form"))]
fn a_key_file_is_read_or_refused_without_telling_what_is_in_it(
    #[case] text: &str,
    #[case] wanted: Result<usize, &str>,
) {
    let text = text
        .replace('K', &"0a".repeat(32))
        .replace('L', &"B1".repeat(40));
    match (Keys::parse(&text), wanted) {
        (Ok(keys), Ok(count)) => assert_eq!((keys.0.len(), &keys.0[0]), (count, &vec![10; 32])),
        (Err(error), Err(part)) => {
            let said = format!("{error} {error:?}");
            assert!(
                said.contains(part) && !said.contains("secretsecret"),
                "{said}"
            );
        }
        (read, _) => panic!("{read:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::default() })]

    /// Any order, loss and repetition of datagrams: none is taken twice, and each that comes less than a window
    /// late for the first time is taken.
    #[test]
    fn the_window_takes_each_datagram_once_in_any_order(steps in prop::collection::vec((0u64..3, 0u64..2500), 1..200)) {
        let (mut window, mut taken, mut highest) = (Window::new(), BTreeSet::new(), 1u64);
        for (how, by) in steps {
            let sequence = match how {
                0 => highest + by % 5,
                1 => highest.saturating_sub(by),
                _ => highest + by,
            };
            let wanted = sequence > 0 && sequence + REPLAY_WINDOW > highest && !taken.contains(&sequence);
            prop_assert_eq!(window.is_fresh(sequence), wanted, "{} below {}", sequence, highest);
            if wanted {
                window.take(sequence);
                taken.insert(sequence);
                highest = highest.max(sequence);
            }
        }
    }

    #[test]
    fn no_bytes_at_all_make_the_opener_panic_or_change(bytes in prop::collection::vec(any::<u8>(), 0..120), lengths in any::<(u8, u8)>()) {
        let mut opener = Opener::new(name("c2"), keys(&[1]), small());
        let mut framed = [&[VERSION, DATAGRAM, 0, lengths.0 % 9, lengths.1 % 9][..], &bytes].concat();
        refuses(&mut opener, &bytes, "noise");
        refuses(&mut opener, &framed, "noise behind a head");
        framed[1] = STREAM;
        let mut inbound = Inbound::new(ConnectionNonce([0; 16]));
        prop_assert!(opener.stream(0, &mut inbound, &framed).is_err());
        prop_assert_eq!(inbound, Inbound::new(ConnectionNonce([0; 16])));
    }
}
