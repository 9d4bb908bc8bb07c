//! The checker passes a good history of each promise and catches each way in which it is broken.

use rstest::rstest;
use std::path::Path;
use whinhaven_lab::checker::{Limits, Report, check};
use whinhaven_lab::history::{parse, read};

fn text(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/histories")
        .join(name)
        .with_extension("jsonl");
    std::fs::read_to_string(path).unwrap()
}

fn report(text: &str) -> Report {
    check(&parse(text.as_bytes()).unwrap(), &Limits::default())
}

#[rstest]
#[case(1, "view", 3)]
#[case(2, "lease", 9)]
#[case(4, "takeover", 1)]
#[case(5, "policy", 6)]
#[case(7, "bounds", 6)]
fn a_good_history_is_passed_and_was_looked_at(
    #[case] promise: u8,
    #[case] name: &str,
    #[case] checked: u64,
) {
    let report = report(&text(name));
    assert!(report.is_kept(), "{report}");
    assert_eq!(
        (
            report.verdict(promise).checked,
            report.verdict(promise).open
        ),
        (checked, 0),
        "{report}"
    );
}

/// Each case spoils a good history: a part of the record of that number and of those behind it is replaced, or the
/// record is left out.
#[rstest]
#[case::a_member_is_never_seen(
    1,
    "view",
    8,
    "",
    "",
    "no agreement in 1000000 us: c1 does not see c2"
)]
#[case::a_dead_one_stays_alive(
    1,
    "view",
    18,
    "dead",
    "alive",
    "c1 sees c3 alive, and it is not running"
)]
#[case::a_live_one_stays_dead(
    1,
    "view",
    25,
    "\"to\": \"alive\"",
    "\"to\": \"dead\"",
    "c1 sees c3 dead"
)]
#[case::an_old_life_is_seen(
    1,
    "view",
    25,
    "\"peer_incarnation\": 23",
    "\"peer_incarnation\": 13",
    "in its life 13"
)]
#[case::agreement_comes_late(
    1,
    "view",
    25,
    "\"at_us\": 3006000",
    "\"at_us\": 5000000",
    "no agreement"
)]
#[case::a_live_one_is_taken_for_dead_later(
    1,
    "view",
    27,
    "\"source\": \"lab\", \"event\": \"lab.end\"",
    "\"source\": \"c1\", \"event\": \"view.change\", \"peer\": \"c2\", \"peer_incarnation\": 12, \"to\": \"dead\"",
    "c1 still sees c2 dead"
)]
#[case::a_zombie_acts(2, "lease", 12, "lease.lost", "lease.act", "two holders at a time")]
#[case::the_clocks_tell_of_an_overlap(
    2,
    "lease",
    6,
    "\"at_us\": 1006000",
    "\"at_us\": 1009500",
    "two holders at a time"
)]
#[case::one_token_for_two(
    2,
    "lease",
    8,
    "\"token\": 6",
    "\"token\": 5",
    "token 5 was granted to c1@11 and to c2@12"
)]
#[case::tokens_fall(
    2,
    "lease",
    17,
    "\"token\": 7",
    "\"token\": 4",
    "after c2@12 had under 6"
)]
#[case::an_act_without_a_grant(2, "lease", 8, "", "", "never granted to it")]
#[case::an_act_after_the_release(
    2,
    "lease",
    16,
    "\"source\": \"c1\", \"event\": \"life.gained\", \"incarnation\": 21, \"token\": 2",
    "\"source\": \"c2\", \"event\": \"lease.act\", \"incarnation\": 12, \"lease\": \"duty\", \"token\": 6",
    "after it had ended"
)]
#[case::an_act_of_the_dead(
    2,
    "lease",
    2,
    "life.gained",
    "life.lost",
    "c2@12 acted though it may not act"
)]
#[case::an_act_of_one_whose_life_was_ended(
    2,
    "lease",
    11,
    "\"source\": \"lab\", \"event\": \"fault.cont\"",
    "\"source\": \"c1\", \"event\": \"life.ended\", \"peer\": \"c2\", \"peer_incarnation\": 12",
    "c2@12 acted after its life was ended"
)]
#[case::an_act_without_a_life_lease(
    2,
    "lease",
    2,
    "\"event\": \"life.gained\", \"incarnation\": 12, \"token\": 1",
    "\"event\": \"lease.lost\", \"incarnation\": 12, \"lease\": \"life/c2\", \"token\": 1",
    "c2@12 acted though it may not act"
)]
#[case::a_second_run(
    4,
    "takeover",
    9,
    "\"source\": \"client\", \"event\": \"client.broke\"",
    "\"source\": \"tool\", \"event\": \"tool.ran\", \"call\": \"order-1/0\"",
    "ran 2 times"
)]
#[case::two_answers(
    4,
    "takeover",
    15,
    "all of it",
    "some of it",
    "c2 answered \"all of it\", c3 answered \"some of it\""
)]
#[case::an_answer_and_an_error(
    4,
    "takeover",
    15,
    "\"kind\": \"text\", \"text\": \"all of it\"",
    "\"kind\": \"error\", \"code\": -32001",
    "c3 answered error -32001"
)]
#[case::an_unsafe_one_sent_again(
    4,
    "takeover",
    13,
    "\"resumed\": true",
    "\"resumed\": false",
    "sent again after it had run"
)]
#[case::a_state_that_stays(4, "takeover", 10, "", "", "order-2: its state was held")]
#[case::no_answer(
    4,
    "takeover",
    14,
    "client.final",
    "client.gave_up",
    "order-1 has no final answer"
)]
#[case::begun_under_the_old_after_the_new(
    5,
    "policy",
    7,
    "\"at_us\": 1007000",
    "\"at_us\": 1010500",
    "c3 began a request under epoch 1 after c1 had begun one under 2"
)]
#[case::begun_without_the_epoch(
    5,
    "policy",
    11,
    "",
    "",
    "c2@12 began a request under epoch 2 and holds 1"
)]
#[case::begun_in_a_new_life_under_the_old(
    5,
    "policy",
    15,
    "\"policy.epoch\"",
    "\"policy.begin\"",
    "c3@23 began a request under epoch 2 and holds 1"
)]
#[case::two_contents_of_one_epoch(5, "policy", 11, "bb", "cc", "epoch 2 is bb at c1 and cc at c2")]
#[case::an_epoch_falls(
    5,
    "policy",
    15,
    "\"epoch\": 2",
    "\"epoch\": 1",
    "c3@23 went from epoch 1 to 1"
)]
#[case::a_stranger_is_let_in(
    7,
    "bounds",
    8,
    "\"peer\": \"c2\"",
    "\"peer\": \"c9\"",
    "c1 sees c9 suspect, who has no key"
)]
#[case::forgery_works(7, "bounds", 7, "", "", "by messages that nobody sent")]
#[case::a_flood_of_lines(7, "bounds", 5, "66000000", "6000000", "more than once a minute")]
#[case::memory_grows(7, "bounds", 6, "50000000", "500000000", "more than 200000000")]
fn a_broken_history_is_caught(
    #[case] promise: u8,
    #[case] name: &str,
    #[case] order: usize,
    #[case] part: &str,
    #[case] spoilt: &str,
    #[case] wanted: &str,
) {
    let mut lines: Vec<String> = text(name).lines().map(str::to_owned).collect();
    // Line 1 says what the history is of.
    assert!(lines[order].contains(part), "{}", lines[order]);
    if part.is_empty() {
        lines[order].clear();
    } else {
        lines[order..]
            .iter_mut()
            .for_each(|line| *line = line.replace(part, spoilt));
    }
    let report = report(&lines.join("\n"));
    let violations = &report.verdict(promise).violations;
    assert!(
        violations.iter().any(|v| v.what.contains(wanted)),
        "{wanted:?} is not in\n{report}"
    );
    assert!(report.unread.is_empty(), "{report}");
}

#[test]
fn a_fact_without_its_fields_is_reported_and_not_passed_over() {
    let spoilt = text("lease").replace("\"token\": 6", "\"token\": \"six\"");
    let report = report(&spoilt);
    assert!(!report.is_kept() && report.unread.len() == 5, "{report}");
}

/// The program as it was before conductors took over from each other: the client of a conductor that died with a tool
/// call out comes to another one, and the tool runs again.
#[test]
fn the_recorded_double_run_of_conductors_that_share_nothing_is_caught() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/histories/double_run.jsonl");
    let report = check(&read(&path).unwrap(), &Limits::default());
    let what: Vec<&str> = report
        .verdict(4)
        .violations
        .iter()
        .map(|v| v.what.as_str())
        .collect();
    assert_eq!(what, ["tool call order-2/0 ran 2 times"], "{report}");
}
