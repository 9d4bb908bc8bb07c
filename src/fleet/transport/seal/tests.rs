use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeSet;

fn name(text: &str) -> MemberName {
    MemberName::try_from(text).unwrap()
}

fn instance(text: &str, incarnation: u64) -> MemberInstance {
    MemberInstance {
        name: name(text),
        incarnation: Incarnation(incarnation),
    }
}

fn keys(bytes: &[u8]) -> Keys {
    Keys(bytes.iter().map(|b| vec![*b; MIN_KEY_BYTES]).collect())
}

fn c1(incarnation: u64, limits: &FrameLimits) -> Sealer {
    Sealer::new(instance("c1", incarnation), keys(&[1]), limits)
}

fn small_limits() -> FrameLimits {
    FrameLimits {
        max_datagram_bytes: 40,
        max_stream_payload_bytes: 60,
        max_senders: 2,
        frames_per_second: 1000,
        burst: 3000,
    }
}

/// Asserts that `opener` refuses the datagram and that its state does not change. Returns the error.
fn assert_refused(opener: &mut Opener, frame: &[u8], what: &str) -> FrameError {
    let before = opener.clone();
    let refused = opener.open_datagram(5, frame).expect_err(what);
    assert_eq!(*opener, before, "{what}: {refused}");
    refused
}

#[test]
fn a_datagram_opens_once_and_only_unmodified_at_its_receiver() {
    let limits = small_limits();
    let mut opener = Opener::new(name("c2"), keys(&[1]), limits.clone());
    let mut sealer = c1(7, &limits);
    let frame = sealer.seal(&name("c2"), 9, b"news").unwrap();
    // Forged frames change no state, neither before nor after the sender is in the table.
    for round in ["new sender", "known sender"] {
        for bit in 0..frame.len() * 8 {
            let mut flipped = frame.clone();
            flipped[bit / 8] ^= 1 << (bit % 8);
            assert_refused(&mut opener, &flipped, &format!("{round}, bit {bit}"));
        }
        for cut in 0..frame.len() {
            assert_refused(
                &mut opener,
                &frame[..cut],
                &format!("{round}, cut at {cut}"),
            );
            assert_refused(
                &mut opener,
                &frame[cut + 1..],
                &format!("{round}, without the first {} bytes", cut + 1),
            );
        }
        for extra in 1..200 {
            assert_refused(
                &mut opener,
                &[&frame[..], &vec![0; extra]].concat(),
                "longer",
            );
        }
        let mut other_key = Sealer::new(instance("c1", 7), keys(&[3]), &limits);
        let forged = other_key.seal(&name("c2"), 9, b"news").unwrap();
        assert_eq!(
            assert_refused(&mut opener, &forged, "another key"),
            FrameError::Mac
        );
        let elsewhere = sealer.seal(&name("c3"), 9, b"news").unwrap();
        assert_eq!(
            assert_refused(&mut opener, &elsewhere, "another receiver"),
            FrameError::Receiver
        );
        let own = Sealer::new(instance("c2", 1), keys(&[1]), &limits)
            .seal(&name("c2"), 9, b"news")
            .unwrap();
        assert_eq!(
            assert_refused(&mut opener, &own, "own name"),
            FrameError::OwnName
        );
        if round == "new sender" {
            assert_eq!(opener.sender_count(), 0);
            let opened = opener.open_datagram(5, &frame).unwrap();
            assert_eq!(
                (opened.from, opened.kind, opened.payload),
                (instance("c1", 7), 9, &b"news"[..])
            );
        }
        if round == "known sender" {
            assert_eq!(
                assert_refused(&mut opener, &frame, "replay"),
                FrameError::Replay
            );
        }
    }
    assert_eq!(
        sealer.seal(&name("c2"), 9, &[0; 41]),
        Err(FrameError::TooLong)
    );
    let larger_limits = FrameLimits {
        max_datagram_bytes: 41,
        ..small_limits()
    };
    let long = c1(7, &larger_limits)
        .seal(&name("c2"), 9, &[0; 41])
        .unwrap();
    assert_eq!(
        assert_refused(&mut opener, &long, "too long"),
        FrameError::TooLong
    );
}

#[test]
fn an_older_incarnation_is_refused_and_a_full_table_accepts_no_new_sender() {
    let limits = small_limits();
    let mut opener = Opener::new(name("c2"), keys(&[1]), limits.clone());
    let (mut old, mut new) = (c1(7, &limits), c1(8, &limits));
    let to = name("c2");
    let (first, late) = (
        old.seal(&to, 0, b"a").unwrap(),
        old.seal(&to, 0, b"b").unwrap(),
    );
    opener.open_datagram(0, &first).unwrap();
    opener
        .open_datagram(0, &new.seal(&to, 0, b"c").unwrap())
        .unwrap();
    assert_eq!(
        assert_refused(&mut opener, &late, "old incarnation"),
        FrameError::OldIncarnation
    );
    for (sender, accepted) in [("c3", true), ("c4", false), ("c5", false), ("c3", true)] {
        let mut sealer = Sealer::new(instance(sender, 2), keys(&[1]), &limits);
        sealer.next_sequence = 1 + opener.sender_count() as u64;
        let frame = sealer.seal(&to, 0, b"").unwrap();
        assert_eq!(
            opener.open_datagram(0, &frame).is_ok(),
            accepted,
            "{sender}"
        );
        assert!(opener.sender_count() <= 2);
    }
    opener.forget(&name("c3"));
    let c4 = Sealer::new(instance("c4", 2), keys(&[1]), &limits)
        .seal(&to, 0, b"")
        .unwrap();
    opener.open_datagram(0, &c4).unwrap();
}

#[test]
fn both_keys_are_accepted_during_a_rotation_and_the_old_one_is_refused_after_it() {
    let limits = small_limits();
    let to = name("c2");
    // The key files of c1 and c2 are changed one after the other; frames have to open both ways at each step.
    let steps: [&[u8]; 5] = [&[1], &[1, 2], &[2, 1], &[2], &[2]];
    for (step, both) in steps.windows(2).enumerate() {
        for (from, at) in [(both[0], both[1]), (both[1], both[0])] {
            let frame = Sealer::new(instance("c1", 1), keys(from), &limits)
                .seal(&to, 0, b"x")
                .unwrap();
            let mut opener = Opener::new(to.clone(), keys(at), limits.clone());
            assert!(
                opener.open_datagram(0, &frame).is_ok(),
                "step {step}: {from:?} to {at:?}"
            );
        }
    }
    let frame = Sealer::new(instance("c1", 1), keys(&[1, 2]), &limits)
        .seal(&to, 0, b"x")
        .unwrap();
    let refused = Opener::new(to.clone(), keys(&[2]), limits)
        .open_datagram(0, &frame)
        .unwrap_err();
    assert_eq!(refused, FrameError::Mac);
}

#[test]
fn a_connection_accepts_only_its_own_frames_in_order_from_one_incarnation() {
    let limits = small_limits();
    let to = name("c2");
    let mut opener = Opener::new(to.clone(), keys(&[1]), limits.clone());
    let (this_nonce, other_nonce) = (ConnectionNonce([1; 16]), ConnectionNonce([2; 16]));
    let sealer = |from, session| StreamSealer::new(from, to.clone(), keys(&[1]), &limits, session);
    let mut c1_sealer = sealer(instance("c1", 7), this_nonce);
    let frames: Vec<_> = (0..4)
        .map(|kind| c1_sealer.seal(kind, &[kind; 60]).unwrap())
        .collect();
    assert_eq!(c1_sealer.seal(0, &[0; 61]), Err(FrameError::TooLong));
    let mut inbound = Inbound::new(this_nonce);
    let elsewhere = sealer(instance("c1", 7), other_nonce)
        .seal(0, b"x")
        .unwrap();
    let mut other_incarnation = sealer(instance("c1", 8), this_nonce);
    other_incarnation.next_sequence = 2;
    let refused_frames = [
        (elsewhere, FrameError::Mac),
        (
            c1(7, &limits).seal(&to, 0, b"x").unwrap(),
            FrameError::Channel,
        ),
        (frames[2].clone(), FrameError::Order),
        (frames[0].clone(), FrameError::Order),
        (
            other_incarnation.seal(0, b"x").unwrap(),
            FrameError::OtherSender,
        ),
    ];
    opener
        .open_stream_frame(0, &mut inbound, &frames[0])
        .unwrap();
    for (frame, why) in refused_frames {
        let before = (opener.clone(), inbound.clone());
        assert_eq!(
            opener
                .open_stream_frame(0, &mut inbound, &frame)
                .unwrap_err(),
            why
        );
        assert_eq!((opener.clone(), inbound.clone()), before);
    }
    for (kind, frame) in frames.iter().enumerate().skip(1) {
        assert_eq!(frame_length(length_prefix(frame), &limits), Ok(frame.len()));
        let opened = opener.open_stream_frame(0, &mut inbound, frame).unwrap();
        assert_eq!(
            (opened.kind, opened.payload),
            (kind as u8, &[kind as u8; 60][..])
        );
    }
    // A frame of a newer incarnation, even a datagram, makes frames on the older one's connections invalid.
    opener
        .open_datagram(0, &c1(8, &limits).seal(&to, 0, b"x").unwrap())
        .unwrap();
    let late = c1_sealer.seal(0, b"x").unwrap();
    assert_eq!(
        opener
            .open_stream_frame(0, &mut inbound, &late)
            .unwrap_err(),
        FrameError::OldIncarnation
    );
    assert_eq!(frame_length([255; 4], &limits), Err(FrameError::TooLong));
    assert_eq!(
        frame_length([1, 0, 0, 0], &limits),
        Err(FrameError::Malformed)
    );
}

#[test]
fn a_sender_is_limited_to_its_burst_and_rate_without_affecting_others() {
    let limits = FrameLimits {
        frames_per_second: 10,
        burst: 5,
        ..small_limits()
    };
    let to = name("c2");
    let mut opener = Opener::new(to.clone(), keys(&[1]), limits.clone());
    let mut sealer = c1(1, &limits);
    let mut send_100 = |opener: &mut Opener, now| {
        (0..100)
            .filter(|_| {
                opener
                    .open_datagram(now, &sealer.seal(&to, 0, b"").unwrap())
                    .is_ok()
            })
            .count()
    };
    assert_eq!(send_100(&mut opener, 0), 5);
    assert_eq!(send_100(&mut opener, 99_999), 0);
    assert_eq!(send_100(&mut opener, 100_000), 1);
    assert_eq!(send_100(&mut opener, 90_000), 0);
    assert_eq!(send_100(&mut opener, 400_000), 3);
    assert_eq!(send_100(&mut opener, u64::MAX), 5);
    // A new incarnation has the same limit, and other senders are not affected.
    let again = c1(2, &limits).seal(&to, 0, b"").unwrap();
    assert_eq!(
        opener.open_datagram(u64::MAX, &again).unwrap_err(),
        FrameError::Rate
    );
    let c3 = Sealer::new(instance("c3", 1), keys(&[1]), &limits)
        .seal(&to, 0, b"")
        .unwrap();
    opener.open_datagram(u64::MAX, &c3).unwrap();
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
fn a_key_file_is_parsed_or_refused_without_revealing_its_content(
    #[case] text: &str,
    #[case] expected: Result<usize, &str>,
) {
    let text = text
        .replace('K', &"0a".repeat(32))
        .replace('L', &"B1".repeat(40));
    match (Keys::parse(&text), expected) {
        (Ok(keys), Ok(count)) => assert_eq!((keys.0.len(), &keys.0[0]), (count, &vec![10; 32])),
        (Err(error), Err(part)) => {
            let text = format!("{error} {error:?}");
            assert!(
                text.contains(part) && !text.contains("secretsecret"),
                "{text}"
            );
        }
        (read, _) => panic!("{read:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(22), failure_persistence: None, ..ProptestConfig::default() })]

    /// Under any reordering, loss and repetition, no datagram is accepted twice, and each one that arrives for the
    /// first time within the window is accepted.
    #[test]
    fn the_window_accepts_each_datagram_once_in_any_order(steps in prop::collection::vec((0u64..3, 0u64..2500), 1..200)) {
        let (mut window, mut taken, mut highest) = (ReplayWindow::new(), BTreeSet::new(), 1u64);
        for (direction, distance) in steps {
            let sequence = match direction {
                0 => highest + distance % 5,
                1 => highest.saturating_sub(distance),
                _ => highest + distance,
            };
            let expected = sequence > 0 && sequence + REPLAY_WINDOW > highest && !taken.contains(&sequence);
            prop_assert_eq!(window.is_fresh(sequence), expected, "{} below {}", sequence, highest);
            if expected {
                window.take(sequence);
                taken.insert(sequence);
                highest = highest.max(sequence);
            }
        }
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_change_the_opener(bytes in prop::collection::vec(any::<u8>(), 0..120), lengths in any::<(u8, u8)>()) {
        let mut opener = Opener::new(name("c2"), keys(&[1]), small_limits());
        let mut framed = [&[VERSION, DATAGRAM_CHANNEL, 0, lengths.0 % 9, lengths.1 % 9][..], &bytes].concat();
        assert_refused(&mut opener, &bytes, "random bytes");
        assert_refused(&mut opener, &framed, "random bytes after a valid header");
        framed[1] = STREAM_CHANNEL;
        let mut inbound = Inbound::new(ConnectionNonce([0; 16]));
        prop_assert!(opener.open_stream_frame(0, &mut inbound, &framed).is_err());
        prop_assert_eq!(inbound, Inbound::new(ConnectionNonce([0; 16])));
    }
}
