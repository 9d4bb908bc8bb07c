use super::*;
use crate::fleet::{Incarnation, Index, MemberInstance, MemberName};
use rstest::rstest;

const CAPACITY: Capacity = Capacity {
    records: 100,
    bytes: 100_000,
};

fn member(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

/// A table and a log that drives it.
#[derive(Default)]
struct Log {
    table: Table,
    index: u64,
    changes: Vec<RecordChange>,
    ended: Vec<MemberInstance>,
}

impl Log {
    fn apply(&mut self, by: &str, command: Command) -> Reply {
        self.index += 1;
        let alive = !self.ended.contains(&member(by));
        let reply = self.table.apply(
            Index(self.index),
            &member(by),
            alive,
            command,
            &mut self.changes,
        );
        assert_eq!(self.table.bytes(), self.counted());
        reply
    }

    fn end_incarnation(&mut self, name: &str) {
        self.index += 1;
        self.ended.push(member(name));
        self.table
            .on_incarnation_ended(Index(self.index), &member(name), &mut self.changes);
    }

    fn counted(&self) -> u64 {
        let sent: u64 = self
            .table
            .upstream_sends
            .keys()
            .map(|id| RECORD_OVERHEAD_BYTES + id.len() as u64)
            .sum();
        sent + self
            .table
            .client_requests
            .iter()
            .map(|(n, r)| r.size_bytes(n))
            .sum::<u64>()
    }

    fn claim(&mut self, by: &str, resumes: bool) -> Reply {
        self.apply(
            by,
            Command::Claim {
                name: "r".into(),
                at_most_once: true,
                resume: resumes,
                capacity: CAPACITY,
            },
        )
    }

    fn send(&mut self, by: &str, generation: u64, reads: bool) -> Reply {
        let name = Some(("r".to_owned(), generation));
        let (id, worker) = (format!("id-{by}"), "w".to_owned());
        self.apply(
            by,
            Command::StartSend {
                id,
                worker,
                name,
                read_only: reads,
                max_attempts: 3,
                capacity: CAPACITY,
            },
        )
    }

    fn call(&mut self, by: &str, generation: u64, arguments: u128) -> Reply {
        let name = "r".to_owned();
        self.apply(
            by,
            Command::StartCall {
                name,
                generation,
                ordinal: 0,
                arguments,
                capacity: CAPACITY,
            },
        )
    }

    fn call_ended(&mut self, by: &str, outcome: Option<&[u8]>) -> Reply {
        let outcome = outcome.map(<[u8]>::to_vec);
        self.apply(
            by,
            Command::CompleteCall {
                name: "r".into(),
                ordinal: 0,
                outcome,
            },
        )
    }
}

fn generation(reply: Reply) -> u64 {
    match reply {
        Reply::Claimed(record) => record.generation,
        other => panic!("not claimed: {other:?}"),
    }
}

#[rstest]
#[case::nothing_went_out(None, false)]
#[case::only_a_read(Some(true), false)]
#[case::a_write_that_may_have_run(Some(false), true)]
fn request_of_dead_owner_is_settled_by_its_stage(#[case] sent: Option<bool>, #[case] failed: bool) {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    if let Some(reads) = sent {
        assert_eq!(log.send("c1", g, reads), Reply::Recorded);
    }
    assert_eq!(
        log.claim("c2", false),
        Reply::Rejected(Rejection::OwnedBy(member("c1")))
    );
    log.end_incarnation("c1");
    let reply = log.claim("c2", false);
    if failed {
        // The same at every member, however often the client asks.
        assert_eq!(reply, Reply::Completed(FinalResponse::Failed));
        assert_eq!(
            log.claim("c3", true),
            Reply::Completed(FinalResponse::Failed)
        );
    } else {
        assert_eq!(generation(reply), g + 1);
    }
    // Late writes of an owner that was only stopped are rejected.
    assert_eq!(
        log.send("c1", g, false),
        Reply::Rejected(Rejection::IncarnationEnded)
    );
}

/// Guards against a read that makes the record forget that the request may have run, and against the entry of an earlier read
/// that is committed late.
#[rstest]
#[case::owner_died(true)]
#[case::client_left(false)]
fn request_that_may_have_run_fails_though_its_prompt_is_read_again(#[case] owner_dies: bool) {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    for reads in [true, false, true] {
        assert_eq!(log.send("c1", g, reads), Reply::Recorded);
    }
    if owner_dies {
        log.end_incarnation("c1");
    } else {
        log.apply("c1", release(g, false));
    }
    assert_eq!(
        log.claim("c2", false),
        Reply::Completed(FinalResponse::Failed)
    );
}

/// Guards against records in snapshots of earlier versions, whose stage was set back by a read. Reads alone never hide a send.
#[rstest]
#[case::two_reads(2, false)]
#[case::a_read_a_send_and_a_read(3, true)]
fn record_of_an_earlier_version_may_hide_a_send(#[case] attempts: u32, #[case] failed: bool) {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.table.client_requests.get_mut("r").unwrap().attempts = attempts;
    log.end_incarnation("c1");
    let reply = log.claim("c2", false);
    if failed {
        assert_eq!(reply, Reply::Completed(FinalResponse::Failed));
    } else {
        assert_eq!(generation(reply), g + 1);
    }
}

/// Guards against a request that is known not to have run and fails for its earlier reads.
#[test]
fn request_released_as_not_executed_starts_with_no_attempts() {
    let mut log = Log::default();
    let mut g = generation(log.claim("c1", false));
    for _ in 0..2 {
        for _ in 0..3 {
            assert_eq!(log.send("c1", g, true), Reply::Recorded);
        }
        log.apply("c1", release(g, true));
        let next = generation(log.claim("c1", false));
        assert_eq!(next, g + 1);
        g = next;
    }
}

fn release(generation: u64, not_executed: bool) -> Command {
    Command::Release {
        name: "r".into(),
        generation,
        not_executed,
    }
}

/// Guards against a record of an earlier version, by which a request with a key could be repeated without an end.
#[rstest]
#[case::owner_died(true)]
#[case::same_owner_claims_anew(false)]
fn claim_that_must_not_repeat_overrules_the_record(#[case] owner_dies: bool) {
    let mut log = Log::default();
    let claim = |at_most_once| Command::Claim {
        name: "r".into(),
        at_most_once,
        resume: false,
        capacity: CAPACITY,
    };
    let g = generation(log.apply("c1", claim(false)));
    log.send("c1", g, false);
    let next = if owner_dies {
        log.end_incarnation("c1");
        "c2"
    } else {
        "c1"
    };
    assert_eq!(
        log.apply(next, claim(true)),
        Reply::Completed(FinalResponse::Failed)
    );
}

#[test]
fn request_released_as_not_executed_may_be_claimed_again() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    log.apply(
        "c1",
        Command::Release {
            name: "r".into(),
            generation: g,
            not_executed: true,
        },
    );
    assert_eq!(generation(log.claim("c2", false)), g + 1);
}

/// Found by the model: the owner timed out after its send, and the same client asked it again.
#[test]
fn second_claim_by_owner_after_send_fails_request() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    assert_eq!(
        log.claim("c1", false),
        Reply::Completed(FinalResponse::Failed)
    );
    // Waiters at other members see the change.
    assert_eq!(log.changes, [RecordChange::Completed { name: "r".into() }]);
}

#[test]
fn started_at_most_once_request_can_only_be_resumed() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    log.apply(
        "c1",
        Command::ResponseStarted {
            name: "r".into(),
            generation: g,
        },
    );
    log.apply(
        "c1",
        Command::Release {
            name: "r".into(),
            generation: g,
            not_executed: false,
        },
    );
    assert_eq!(
        log.claim("c2", false),
        Reply::Rejected(Rejection::AlreadyStarted)
    );
    assert_eq!(generation(log.claim("c2", true)), g + 1);
}

#[test]
fn tool_call_goes_out_once_across_owners() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    log.send("c1", g1, false);
    log.apply(
        "c1",
        Command::ResponseStarted {
            name: "r".into(),
            generation: g1,
        },
    );
    assert_eq!(log.call("c1", g1, 7), Reply::Proceed);
    // The client moves on while c1 lives: c2 owns the request, the call remains c1's.
    let g2 = generation(log.claim("c2", true));
    assert!(log.changes.contains(&RecordChange::Moved {
        name: "r".into(),
        from: member("c1"),
        to: member("c2")
    }));
    assert_eq!(log.call("c2", g2, 7), Reply::KnownCall(CallState::InFlight));
    assert_eq!(
        log.call("c2", g2, 8),
        Reply::Rejected(Rejection::ArgumentsDiffer)
    );
    assert_eq!(
        log.call("c1", g1, 7),
        Reply::Rejected(Rejection::Superseded)
    );
    assert_eq!(
        log.call_ended("c2", Some(b"x")),
        Reply::Rejected(Rejection::Superseded)
    );
    assert_eq!(log.call_ended("c1", Some(b"out")), Reply::Recorded);
    assert_eq!(
        log.call("c2", g2, 7),
        Reply::KnownCall(CallState::Completed(b"out".to_vec()))
    );
}

#[test]
fn call_of_dead_owner_is_unknown_and_unsent_call_may_be_retried() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    assert_eq!(log.call("c1", g1, 7), Reply::Proceed);
    assert_eq!(log.call_ended("c1", None), Reply::Recorded);
    assert_eq!(log.call("c1", g1, 7), Reply::Proceed);
    log.end_incarnation("c1");
    assert_eq!(
        log.call_ended("c1", Some(b"late")),
        Reply::Rejected(Rejection::IncarnationEnded)
    );
    let g2 = generation(log.claim("c2", true));
    assert_eq!(
        log.call("c2", g2, 7),
        Reply::KnownCall(CallState::OutcomeUnknown)
    );
}

#[test]
fn orphaned_sends_are_taken_over_once_and_again_after_new_owner_dies() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, true);
    assert_eq!(
        log.apply(
            "c2",
            Command::TakeOver {
                ended: member("c1")
            }
        ),
        Reply::Rejected(Rejection::NothingToTakeOver)
    );
    log.end_incarnation("c1");
    let left = Reply::TakenOver(vec![("id-c1".into(), "w".into())]);
    assert_eq!(
        log.apply(
            "c2",
            Command::TakeOver {
                ended: member("c1")
            }
        ),
        left
    );
    assert_eq!(
        log.apply(
            "c3",
            Command::TakeOver {
                ended: member("c1")
            }
        ),
        Reply::Rejected(Rejection::NothingToTakeOver)
    );
    log.end_incarnation("c2");
    assert_eq!(
        log.apply(
            "c3",
            Command::TakeOver {
                ended: member("c2")
            }
        ),
        left
    );
    log.apply(
        "c3",
        Command::CompleteSends {
            ids: vec!["id-c1".into()],
        },
    );
    assert!(log.table.upstream_send("id-c1").is_none());
    log.end_incarnation("c3");
    assert_eq!(log.table.orphaned_incarnations().count(), 0);
}

#[test]
fn attempts_survive_takeover_and_first_final_response_stands() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    log.send("c1", g1, true);
    log.send("c1", g1, true);
    log.end_incarnation("c1");
    let g2 = generation(log.claim("c2", false));
    assert_eq!(log.send("c2", g2, true), Reply::Recorded);
    assert_eq!(
        log.send("c2", g2, true),
        Reply::Rejected(Rejection::AttemptsExhausted)
    );
    let done = FinalResponse::Completed {
        text: Some("text".into()),
        last_line: b"{}".to_vec(),
    };
    let answer = |answer: &FinalResponse| Command::Complete {
        name: "r".into(),
        generation: g2,
        response: answer.clone(),
    };
    assert_eq!(log.apply("c2", answer(&done)), Reply::Recorded);
    assert_eq!(
        log.apply("c2", answer(&FinalResponse::Failed)),
        Reply::Completed(done.clone())
    );
    assert_eq!(log.claim("c3", true), Reply::Completed(done));
}

#[test]
fn full_table_rejects_new_records_and_drops_none() {
    let mut log = Log::default();
    let bounds = Capacity {
        records: 1,
        bytes: 100_000,
    };
    let claim = |name: &str| Command::Claim {
        name: name.into(),
        at_most_once: true,
        resume: false,
        capacity: bounds,
    };
    generation(log.apply("c1", claim("a")));
    assert_eq!(
        log.apply("c1", claim("b")),
        Reply::Rejected(Rejection::CapacityExceeded)
    );
    assert!(log.table.client_request("a").is_some());
    let narrow = Capacity {
        records: 9,
        bytes: log.table.bytes(),
    };
    let call = Command::StartCall {
        name: "a".into(),
        generation: 1,
        ordinal: 0,
        arguments: 1,
        capacity: narrow,
    };
    assert_eq!(
        log.apply("c1", call),
        Reply::Rejected(Rejection::CapacityExceeded)
    );
}

#[test]
fn record_is_removed_only_after_unchanged_retention_time() {
    let (mut log, mut tracker) = (Log::default(), RetentionTracker::default());
    generation(log.claim("c1", false));
    assert!(tracker.due(0, 10, 9, &log.table).is_empty());
    log.end_incarnation("c1");
    assert!(tracker.due(5, 10, 9, &log.table).is_empty());
    let due = tracker.due(15, 10, 9, &log.table);
    generation(log.claim("c2", false));
    // Claimed again meanwhile: the command is void.
    assert_eq!(
        log.apply("c3", due[0].clone()),
        Reply::Rejected(Rejection::Superseded)
    );
    log.end_incarnation("c2");
    tracker.due(20, 10, 9, &log.table);
    let due = tracker.due(30, 10, 9, &log.table);
    assert_eq!(log.apply("c3", due[0].clone()), Reply::Recorded);
    assert!(log.table.is_empty() && log.table.bytes() == 0);
}
