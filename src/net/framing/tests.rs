use super::*;
use rstest::rstest;

#[rstest]
#[case::plain("Content-Length: 3\r\n\r\nabc", &[true])]
#[case::twice_the_same("Content-Length: 3\r\ncontent-length:3\r\n\r\nabc", &[true])]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", &[false])]
#[case::negative("Content-Length: -3\r\n\r\n", &[false])]
#[case::huge("Content-Length: 99999999999999999999999\r\n\r\n", &[false])]
#[case::length_first("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::coding_first("transfer-encoding: chunked\nCONTENT-LENGTH: 3\n\n", &[false])]
#[case::coded("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", &[true])]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", &[false])]
#[case::coded_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::the_next_one("Content-Length: 1\r\n\r\na\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", &[true, false])]
fn framing_that_can_be_read_in_two_ways_is_seen_wherever_the_bytes_are_cut(
    #[case] rest: &str,
    #[case] wanted: &[bool],
) {
    let wire = format!("\r\nPOST /a:b HTTP/1.1\r\nHost: a\r\n{rest}");
    for cut in 0..wire.len() {
        let mut scan = FramingScan::default();
        scan.scan(&wire.as_bytes()[..cut]);
        scan.scan(&wire.as_bytes()[cut..]);
        assert_eq!(scan.verdicts, wanted, "cut at {cut}");
    }
}
