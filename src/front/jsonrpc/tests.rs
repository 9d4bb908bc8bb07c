use super::events::EventParser;
use super::sink::{CollectError, Sink};
use crate::memory::{Budget, BudgetExhausted};

#[test]
fn events_are_parsed_regardless_of_chunk_boundaries() {
    let wire = b": hello\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata: one\ndata: two\n\ndata: rest";
    for cut in 0..wire.len() {
        let mut parser = EventParser::new(&Budget::new(1_000_000));
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

/// Guards against answers of batches that are collected in memory and that no budget counts.
#[test]
fn an_answer_in_a_batch_is_reserved_in_advance_and_counts_as_it_grows() {
    let budget = Budget::new(10_000);
    let mut sink = Sink::collecting(1_024, &budget).unwrap();
    assert_eq!(budget.left(), 5_904);
    sink.collect(&"a".repeat(3_000)).unwrap();
    assert_eq!(budget.left(), 5_904);
    sink.collect(&"a".repeat(4_000)).unwrap();
    assert!(budget.left() <= 3_000);
    sink.collect(&"a".repeat(8_000)).unwrap();
    assert_eq!(
        (sink.text().map(str::len), budget.left()),
        (Some(15_000), 0)
    );
    let error = sink.collect(&"a".repeat(9_000)).unwrap_err();
    assert!(matches!(error, CollectError::Memory(BudgetExhausted)));
    assert_eq!(sink.text().map(str::len), Some(15_000));
    drop(sink);
    assert_eq!(budget.left(), 10_000);
}

/// Guards against a batch that is started although its answers have no room: it is rejected before anything runs.
#[test]
fn an_answer_in_a_batch_without_room_is_not_begun() {
    let budget = Budget::new(10_000);
    assert!(matches!(
        Sink::collecting(3_000, &budget),
        Err(BudgetExhausted)
    ));
    assert!(matches!(Sink::collecting(0, &budget), Err(BudgetExhausted)));
    assert_eq!(budget.left(), 10_000);
}
