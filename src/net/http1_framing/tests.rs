use super::*;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[rstest]
#[case::plain("Content-Length: 3\r\n\r\nabc", &[true])]
#[case::repeated_length("Content-Length: 3\r\ncontent-length:3\r\n\r\nabc", &[true])]
#[case::conflicting_lengths("Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", &[false])]
#[case::negative("Content-Length: -3\r\n\r\n", &[false])]
#[case::huge("Content-Length: 99999999999999999999999\r\n\r\n", &[false])]
#[case::length_before_coding("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::coding_before_length("transfer-encoding: chunked\nCONTENT-LENGTH: 3\n\n", &[false])]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", &[true])]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n\r\n", &[false])]
#[case::chunked_twice("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", &[false])]
#[case::second_request("Content-Length: 1\r\n\r\na\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", &[true, false])]
fn ambiguous_framing_is_detected_wherever_the_input_is_split(
    #[case] headers: &str,
    #[case] expected: &[bool],
) {
    let input = format!("\r\nPOST /a:b HTTP/1.1\r\nHost: a\r\n{headers}");
    for split in 0..input.len() {
        let mut framing = FramingScan::new(Direction::Requests, u64::MAX);
        framing.scan(&input.as_bytes()[..split]).unwrap();
        framing.scan(&input.as_bytes()[split..]).unwrap();
        assert_eq!(framing.verdicts, expected, "split at {split}");
    }
}

const MAX_BYTES: u64 = 1_000;

/// What a scan has seen in the end.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    fault: Option<FramingFault>,
    open_part: Option<OpenPart>,
    responses: u64,
    chunks: u64,
    body_bytes: u64,
}

fn scan_pieces<'a>(pieces: impl IntoIterator<Item = &'a [u8]>, max_bytes: u64) -> Seen {
    let mut scan = FramingScan::new(Direction::Responses, max_bytes);
    let results: Vec<_> = pieces.into_iter().map(|piece| scan.scan(piece)).collect();
    let fault = results.into_iter().find_map(Result::err);
    Seen {
        fault: fault.map(|spoilt| spoilt.fault),
        open_part: scan.open_part(),
        responses: scan.messages_ended(),
        chunks: scan.chunks_begun(),
        body_bytes: scan.body_bytes,
    }
}

fn chunked(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}")
}

#[rstest]
#[case::too_long("c0000000\r\n", FramingFault::ChunkTooLong(0xc00))]
#[case::longer_than_a_number("fffffffffffffffffffff\r\n", FramingFault::ChunkTooLong(0xfff))]
#[case::one_too_long("3e9\r\n", FramingFault::ChunkTooLong(1_001))]
#[case::behind_zeros("00000003e9\r\n", FramingFault::ChunkTooLong(1_001))]
#[case::behind_another("1\r\na\r\n3e9", FramingFault::ChunkTooLong(1_001))]
#[case::no_digit("\r\n", FramingFault::InvalidSize)]
#[case::no_hexadecimal_digit("1g\r\n", FramingFault::InvalidSize)]
#[case::negative("-1\r\n", FramingFault::InvalidSize)]
#[case::digit_behind_a_blank("1 1\r\n", FramingFault::InvalidSize)]
#[case::line_feed_alone("1\na", FramingFault::InvalidSize)]
#[case::size_too_small("1\r\nab\r\n", FramingFault::InvalidChunkEnd)]
#[case::trailer("0\r\na: b\r\r\n", FramingFault::InvalidTrailer)]
fn a_spoilt_chunk_is_a_fault_wherever_the_input_is_split(
    #[case] body: &str,
    #[case] fault: FramingFault,
) {
    let input = chunked(body);
    for split in 0..=input.len() {
        let (first, second) = input.as_bytes().split_at(split);
        let seen = scan_pieces([first, second], MAX_BYTES);
        assert_eq!(seen.fault, Some(fault), "split at {split}");
        assert_eq!(seen.responses, 0);
    }
}

#[test]
fn the_longest_chunk_and_body_are_sound() {
    let body = "x".repeat(MAX_BYTES as usize);
    let seen = scan_pieces(
        [chunked(&format!("3e8\r\n{body}\r\n")).as_bytes()],
        MAX_BYTES,
    );
    assert_eq!((seen.fault, seen.body_bytes), (None, MAX_BYTES));
    let head = |length| format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    let seen = scan_pieces([head(MAX_BYTES).as_bytes(), body.as_bytes()], MAX_BYTES);
    assert_eq!((seen.fault, seen.responses), (None, 1));
    let seen = scan_pieces([head(MAX_BYTES + 1).as_bytes()], MAX_BYTES);
    assert_eq!(seen.fault, Some(FramingFault::BodyTooLong(MAX_BYTES + 1)));
}

/// Guards against a size line without an end that occupies the processor.
#[rstest]
#[case::zeros("0")]
#[case::blanks("5 ")]
#[case::extension("5;")]
fn a_size_line_is_bounded(#[case] begin: &str) {
    let filler = if begin == "5;" {
        "a"
    } else {
        &begin[begin.len() - 1..]
    };
    let line = chunked(begin) + &filler.repeat(MAX_SIZE_LINE_BYTES);
    let seen = scan_pieces([line.as_bytes()], MAX_BYTES);
    assert_eq!(seen.fault, Some(FramingFault::SizeLineTooLong));
}

#[test]
fn what_precedes_a_fault_is_told_apart() {
    let sound = chunked("5\r\nhello\r\n3");
    let input = format!("{sound}fffff\r\nworld");
    let mut scan = FramingScan::new(Direction::Responses, 0x3f);
    let spoilt = scan.scan(input.as_bytes()).unwrap_err();
    assert_eq!(spoilt.sound_bytes, sound.len() + 1);
}

#[rstest]
#[case::size("", None)]
#[case::digits("1f", Some(OpenPart::SizeLine))]
#[case::extension("1;a=b", Some(OpenPart::SizeLine))]
#[case::data("2\r\na", Some(OpenPart::Data { body_offset: 0, size: 2, left: 1 }))]
#[case::data_of_the_second("1\r\na\r\n2\r\nb", Some(OpenPart::Data { body_offset: 1, size: 2, left: 1 }))]
#[case::complete_data("1\r\na", None)]
#[case::last_chunk("0\r\n", Some(OpenPart::Trailer))]
#[case::trailer("0\r\na: b\r\n", Some(OpenPart::Trailer))]
#[case::end("0\r\n\r\n", None)]
fn the_incomplete_part_is_known(#[case] body: &str, #[case] expected: Option<OpenPart>) {
    let input = chunked(body);
    assert_eq!(
        scan_pieces([input.as_bytes()], MAX_BYTES).open_part,
        expected
    );
}

#[test]
fn a_chunked_request_is_followed_to_its_end() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut scan = FramingScan::new(Direction::Requests, MAX_BYTES);
    scan.scan(format!("{head}1;x\r\na\r\n").as_bytes()).unwrap();
    assert!(scan.is_in_body());
    scan.scan(b"0\r\n\r\n").unwrap();
    assert!(!scan.is_in_body() && scan.is_between_messages());
    scan.scan(b"3g").unwrap();
    assert!(!scan.is_in_body());
}

/// A chunk as a host may write it.
fn chunk() -> impl Strategy<Value = String> {
    let extension = prop::sample::select(vec!["", ";a", " ;name=\"value\"", "\t ; x = y", " "]);
    let size = (1usize..40, 0usize..4, any::<bool>());
    (size, extension).prop_map(|((length, zeros, is_upper), extension)| {
        let size = if is_upper {
            format!("{length:X}")
        } else {
            format!("{length:x}")
        };
        format!(
            "{}{size}{extension}\r\n{}\r\n",
            "0".repeat(zeros),
            "\r".repeat(length)
        )
    })
}

/// A whole response: its bytes, and whether its end is told by its framing.
fn response() -> impl Strategy<Value = String> {
    let interim = vec(Just("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"), 0..3);
    let trailer = prop::sample::select(vec!["", "a: b\r\n", "a: b\r\nc: d\r\n"]);
    let chunked_body = (vec(chunk(), 0..5), trailer).prop_map(|(chunks, trailer)| {
        let head = "HTTP/1.1 200 OK\r\nx-load: \u{1}\r\ntransfer-encoding: Chunked\r\n\r\n";
        format!("{head}{}0\r\n{trailer}\r\n", chunks.concat())
    });
    let sized = (0usize..50).prop_map(|length| {
        let body = "\n".repeat(length);
        format!("HTTP/1.1 202 Accepted\r\nContent-Length:{length}\r\n\r\n{body}")
    });
    let empty = Just("HTTP/1.1 204 No Content\r\ncontent-length: 7\r\n\r\n".to_owned());
    (
        interim,
        prop_oneof![3 => chunked_body, 1 => sized, 1 => empty],
    )
        .prop_map(|(interim, answer)| interim.concat() + &answer)
}

/// The body as hyper reads it; `None` if it doesn't accept the response.
fn read_by_hyper(bytes: &[u8]) -> Option<usize> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (near, mut far) = tokio::io::duplex(64 * 1024);
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.ignore_invalid_headers_in_responses(true);
        let (mut sender, connection) = builder.handshake(TokioIo::new(near)).await.ok()?;
        tokio::task::spawn_local(connection);
        let request = Request::post("/")
            .body(Empty::<bytes::Bytes>::new())
            .unwrap();
        let response = sender.send_request(request);
        let answer = async {
            // An answer without a request would be no response.
            far.read_u8().await.unwrap();
            far.write_all(bytes).await.unwrap();
            far.shutdown().await.unwrap();
            std::future::pending::<()>().await;
        };
        let read = async {
            let body = response.await.ok()?.into_body();
            Some(body.collect().await.ok()?.to_bytes().len())
        };
        tokio::select! {
            biased;
            read = read => read,
            () = answer => None,
        }
    })
}

proptest! {
    #[test]
    fn responses_behind_one_another_are_followed_however_they_are_split(
        responses in vec(response(), 1..4),
        cuts in vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let input = responses.concat();
        let whole = scan_pieces([input.as_bytes()], u64::MAX);
        prop_assert_eq!(whole.fault, None);
        prop_assert_eq!(whole.open_part, None);
        prop_assert_eq!(whole.responses, responses.len() as u64);
        prop_assert_eq!(&scan_pieces(input.as_bytes().chunks(1), u64::MAX), &whole);
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut.index(input.len())).collect();
        cuts.extend([0, input.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|pair| &input.as_bytes()[pair[0]..pair[1]]);
        prop_assert_eq!(&scan_pieces(pieces, u64::MAX), &whole);
    }

    #[test]
    fn the_scan_agrees_with_hyper_on_what_hyper_accepts(
        response in response(),
        change in prop::option::of((any::<prop::sample::Index>(), any::<u8>())),
    ) {
        let mut bytes = response.into_bytes();
        if let Some((at, byte)) = change {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let seen = scan_pieces([&bytes[..]], u64::MAX);
        match read_by_hyper(&bytes) {
            Some(length) => {
                prop_assert_eq!(seen.fault, None);
                prop_assert_eq!(seen.body_bytes, length as u64);
            }
            None => prop_assert!(change.is_some(), "hyper accepts an unchanged response"),
        }
    }
}
