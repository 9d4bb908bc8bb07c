use super::*;
use crate::fleet::{Incarnation, MemberName};
use rstest::rstest;

const ROOM: Bounds = Bounds {
    records: 100,
    bytes: 100_000,
};

fn who(name: &str) -> MemberInstance {
    MemberInstance {
        name: MemberName::try_from(name).unwrap(),
        incarnation: Incarnation(1),
    }
}

/// A table driven by a log of its own.
#[derive(Default)]
struct Log {
    table: Table,
    index: u64,
    notices: Vec<RecordChange>,
    ended: Vec<MemberInstance>,
}

impl Log {
    fn put(&mut self, by: &str, command: Command) -> Reply {
        self.index += 1;
        let alive = !self.ended.contains(&who(by));
        let reply = self.table.apply(
            Index(self.index),
            &who(by),
            alive,
            command,
            &mut self.notices,
        );
        assert_eq!(self.table.bytes(), self.counted());
        reply
    }

    fn end(&mut self, life: &str) {
        self.index += 1;
        self.ended.push(who(life));
        self.table
            .life_ended(Index(self.index), &who(life), &mut self.notices);
    }

    fn counted(&self) -> u64 {
        let sent: u64 = self
            .table
            .sent
            .keys()
            .map(|id| RECORD_OVERHEAD_BYTES + id.len() as u64)
            .sum();
        sent + self
            .table
            .named
            .iter()
            .map(|(n, r)| r.bytes(n))
            .sum::<u64>()
    }

    fn claim(&mut self, by: &str, resumes: bool) -> Reply {
        self.put(
            by,
            Command::Claim {
                name: "r".into(),
                once: true,
                resumes,
                bounds: ROOM,
            },
        )
    }

    fn send(&mut self, by: &str, generation: u64, reads: bool) -> Reply {
        let name = Some(("r".to_owned(), generation));
        let (id, worker) = (format!("id-{by}"), "w".to_owned());
        self.put(
            by,
            Command::Send {
                id,
                worker,
                name,
                reads,
                most_attempts: 3,
                bounds: ROOM,
            },
        )
    }

    fn call(&mut self, by: &str, generation: u64, arguments: u128) -> Reply {
        let name = "r".to_owned();
        self.put(
            by,
            Command::Call {
                name,
                generation,
                ordinal: 0,
                arguments,
                bounds: ROOM,
            },
        )
    }

    fn call_ended(&mut self, by: &str, outcome: Option<&[u8]>) -> Reply {
        let outcome = outcome.map(<[u8]>::to_vec);
        self.put(
            by,
            Command::CallEnded {
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
fn a_dead_owner_s_request_is_settled_by_how_far_it_came(
    #[case] sent: Option<bool>,
    #[case] failed: bool,
) {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    if let Some(reads) = sent {
        assert_eq!(log.send("c1", g, reads), Reply::Done);
    }
    assert_eq!(
        log.claim("c2", false),
        Reply::Refused(Rejection::InHand(who("c1")))
    );
    log.end("c1");
    let reply = log.claim("c2", false);
    if failed {
        // The same at whichever conductor its client asks, however often.
        assert_eq!(reply, Reply::Ended(FinalResponse::Failed));
        assert_eq!(log.claim("c3", true), Reply::Ended(FinalResponse::Failed));
    } else {
        assert_eq!(generation(reply), g + 1);
    }
    // Late writes of an owner that was only stopped.
    assert_eq!(
        log.send("c1", g, false),
        Reply::Refused(Rejection::LifeEnded)
    );
}

#[test]
fn a_request_that_was_refused_may_be_tried_again() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    log.put(
        "c1",
        Command::LetGo {
            name: "r".into(),
            generation: g,
            harmless: true,
        },
    );
    assert_eq!(generation(log.claim("c2", false)), g + 1);
}

/// Found by the model: a front that gave up waiting after its send, and was asked again by the same client.
#[test]
fn an_owner_that_asks_anew_after_a_send_that_may_have_run_does_not_send_again() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    assert_eq!(log.claim("c1", false), Reply::Ended(FinalResponse::Failed));
    // Whoever waits for it at another conductor hears of that.
    assert_eq!(log.notices, [RecordChange::Ended { name: "r".into() }]);
}

#[test]
fn what_must_not_run_twice_and_has_begun_is_not_begun_anew() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, false);
    log.put(
        "c1",
        Command::Began {
            name: "r".into(),
            generation: g,
        },
    );
    log.put(
        "c1",
        Command::LetGo {
            name: "r".into(),
            generation: g,
            harmless: false,
        },
    );
    assert_eq!(log.claim("c2", false), Reply::Refused(Rejection::Begun));
    assert_eq!(generation(log.claim("c2", true)), g + 1);
}

#[test]
fn a_call_goes_out_once_whoever_asks_for_it_again() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    log.send("c1", g1, false);
    log.put(
        "c1",
        Command::Began {
            name: "r".into(),
            generation: g1,
        },
    );
    assert_eq!(log.call("c1", g1, 7), Reply::Go);
    // Its client moves on while c1 lives: c2 has the request, the call stays c1's.
    let g2 = generation(log.claim("c2", true));
    assert!(log.notices.contains(&RecordChange::Moved {
        name: "r".into(),
        from: who("c1"),
        to: who("c2")
    }));
    assert_eq!(log.call("c2", g2, 7), Reply::Known(CallState::Out));
    assert_eq!(
        log.call("c2", g2, 8),
        Reply::Refused(Rejection::OtherArguments)
    );
    assert_eq!(log.call("c1", g1, 7), Reply::Refused(Rejection::Superseded));
    assert_eq!(
        log.call_ended("c2", Some(b"x")),
        Reply::Refused(Rejection::Superseded)
    );
    assert_eq!(log.call_ended("c1", Some(b"out")), Reply::Done);
    assert_eq!(
        log.call("c2", g2, 7),
        Reply::Known(CallState::Ended(b"out".to_vec()))
    );
}

#[test]
fn a_call_whose_conductor_died_is_unknown_for_good_and_one_that_never_left_may_go() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    assert_eq!(log.call("c1", g1, 7), Reply::Go);
    assert_eq!(log.call_ended("c1", None), Reply::Done);
    assert_eq!(log.call("c1", g1, 7), Reply::Go);
    log.end("c1");
    assert_eq!(
        log.call_ended("c1", Some(b"late")),
        Reply::Refused(Rejection::LifeEnded)
    );
    let g2 = generation(log.claim("c2", true));
    assert_eq!(log.call("c2", g2, 7), Reply::Known(CallState::Unknown));
}

#[test]
fn what_a_dead_life_left_is_adopted_by_one_and_again_when_that_one_dies() {
    let mut log = Log::default();
    let g = generation(log.claim("c1", false));
    log.send("c1", g, true);
    assert_eq!(
        log.put("c2", Command::Adopt { dead: who("c1") }),
        Reply::Refused(Rejection::Nothing)
    );
    log.end("c1");
    let left = Reply::Adopted(vec![("id-c1".into(), "w".into())]);
    assert_eq!(log.put("c2", Command::Adopt { dead: who("c1") }), left);
    assert_eq!(
        log.put("c3", Command::Adopt { dead: who("c1") }),
        Reply::Refused(Rejection::Nothing)
    );
    log.end("c2");
    assert_eq!(log.put("c3", Command::Adopt { dead: who("c2") }), left);
    log.put(
        "c3",
        Command::Over {
            ids: vec!["id-c1".into()],
        },
    );
    assert!(log.table.sent("id-c1").is_none());
    log.end("c3");
    assert_eq!(log.table.orphaned().count(), 0);
}

#[test]
fn attempts_belong_to_the_request_and_the_first_final_answer_stands() {
    let mut log = Log::default();
    let g1 = generation(log.claim("c1", false));
    log.send("c1", g1, true);
    log.send("c1", g1, true);
    log.end("c1");
    let g2 = generation(log.claim("c2", false));
    assert_eq!(log.send("c2", g2, true), Reply::Done);
    assert_eq!(log.send("c2", g2, true), Reply::Refused(Rejection::Spent));
    let done = FinalResponse::Done {
        text: Some("text".into()),
        last: b"{}".to_vec(),
    };
    let answer = |answer: &FinalResponse| Command::Answer {
        name: "r".into(),
        generation: g2,
        answer: answer.clone(),
    };
    assert_eq!(log.put("c2", answer(&done)), Reply::Done);
    assert_eq!(
        log.put("c2", answer(&FinalResponse::Failed)),
        Reply::Ended(done.clone())
    );
    assert_eq!(log.claim("c3", true), Reply::Ended(done));
}

#[test]
fn full_means_nothing_new_and_nothing_recorded_is_dropped() {
    let mut log = Log::default();
    let bounds = Bounds {
        records: 1,
        bytes: 100_000,
    };
    let claim = |name: &str| Command::Claim {
        name: name.into(),
        once: true,
        resumes: false,
        bounds,
    };
    generation(log.put("c1", claim("a")));
    assert_eq!(log.put("c1", claim("b")), Reply::Refused(Rejection::Full));
    assert!(log.table.named("a").is_some());
    let narrow = Bounds {
        records: 9,
        bytes: log.table.bytes(),
    };
    let call = Command::Call {
        name: "a".into(),
        generation: 1,
        ordinal: 0,
        arguments: 1,
        bounds: narrow,
    };
    assert_eq!(log.put("c1", call), Reply::Refused(Rejection::Full));
}

#[test]
fn a_record_is_forgotten_only_when_it_rests_for_the_time_set() {
    let (mut log, mut keeper) = (Log::default(), RetentionTracker::default());
    generation(log.claim("c1", false));
    assert!(keeper.due(0, 10, 9, &log.table).is_empty());
    log.end("c1");
    assert!(keeper.due(5, 10, 9, &log.table).is_empty());
    let due = keeper.due(15, 10, 9, &log.table);
    generation(log.claim("c2", false));
    // Taken up again meanwhile: what was due is void.
    assert_eq!(
        log.put("c3", due[0].clone()),
        Reply::Refused(Rejection::Superseded)
    );
    log.end("c2");
    keeper.due(20, 10, 9, &log.table);
    let due = keeper.due(30, 10, 9, &log.table);
    assert_eq!(log.put("c3", due[0].clone()), Reply::Done);
    assert!(log.table.is_empty() && log.table.bytes() == 0);
}
