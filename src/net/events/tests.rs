use super::*;
use rstest::rstest;

#[rstest]
#[case::good(
    "data: a\n\n: hi\r\nevent: x\r\ndata: b\r\n\r\ndata\nid:1\n\n",
    "",
    false
)]
#[case::cut("data: a\n\ndata: b\n", "data: b\n", false)]
#[case::a_chunk_head("data: a\n\n\r\n2f\r\ndata: b\n\n", "", true)]
#[case::noise("data: a\n\nx\u{7f}\n", "", true)]
fn whole_events_pass_unchanged_and_nothing_else_does(
    #[case] wire: &str,
    #[case] held: &str,
    #[case] spoilt: bool,
) {
    for cut in 0..wire.len() {
        let mut gate = Gate::default();
        let mut passed = Vec::new();
        let mut bad = false;
        for part in [&wire[..cut], &wire[cut..]] {
            match gate.take(Bytes::copy_from_slice(part.as_bytes())) {
                Ok(bytes) => passed.extend_from_slice(&bytes),
                Err(_) => bad = true,
            }
        }
        assert_eq!(bad, spoilt, "cut at {cut}");
        assert!(passed.ends_with(b"\n") || passed.is_empty());
        if !spoilt {
            assert_eq!(
                passed,
                wire.strip_suffix(held).unwrap().as_bytes(),
                "cut at {cut}"
            );
            assert_eq!(gate.rest().unwrap(), held);
        }
    }
}

#[test]
fn an_event_without_end_is_no_event() {
    let mut gate = Gate::default();
    let part = Bytes::from(vec![b'a'; 1024]);
    assert!(gate.take("data: ".into()).is_ok());
    assert!((0..200).any(|_| gate.take(part.clone()).is_err()));
}
