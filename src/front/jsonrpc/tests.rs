use super::events::EventParser;

#[test]
fn events_are_parsed_regardless_of_chunk_boundaries() {
    let wire = b": hello\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: one\ndata: two\n\ndata: rest";
    for cut in 0..wire.len() {
        let mut parser = EventParser::default();
        let mut parsed = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            parser.push(part).unwrap();
            while let Some(event) = parser.next_event().unwrap() {
                parsed.push(event);
            }
        }
        assert_eq!(parsed, ["{\"a\":1}", "one\ntwo"], "cut at {cut}");
    }
}
