use super::*;
use proptest::prelude::*;
use std::time::Duration;

const RETENTION: Micros = 10_000_000;
const KEPT: RunOptions = RunOptions {
    retention: Some(RETENTION),
    is_resume: false,
};
const RESUME: RunOptions = RunOptions {
    is_resume: true,
    ..KEPT
};

fn name(text: &str) -> RunName {
    RunName::JsonRpc(text.into())
}

/// A table with room for this many names of one letter, and a paused clock.
fn table(names: usize) -> (Rc<RunTable>, Budget, Clock) {
    let budget = Budget::new(names * name("a").bytes() * BUDGET_DIVISOR);
    (RunTable::new(&budget), budget, Clock::start())
}

fn begin(
    table: &Rc<RunTable>,
    text: &str,
    options: RunOptions,
    clock: Clock,
) -> Result<RunRecord, RunDenial> {
    table.begin(name(text), options, clock)
}

#[tokio::test(start_paused = true)]
async fn a_name_is_kept_after_a_possible_run_and_no_longer_than_its_class_says() {
    let (table, budget, clock) = table(4);
    let bytes = budget.left();
    let record = begin(&table, "a", KEPT, clock).unwrap();
    assert_eq!(
        begin(&table, "a", KEPT, clock).unwrap_err(),
        RunDenial::InProgress
    );
    record.set_may_have_run(true);
    drop(record);
    for options in [KEPT, RESUME] {
        assert_eq!(
            begin(&table, "a", options, clock).unwrap_err(),
            RunDenial::MayHaveRun
        );
    }
    tokio::time::advance(Duration::from_micros(RETENTION)).await;
    assert!(begin(&table, "a", KEPT, clock).is_ok());
    assert_eq!(budget.left(), bytes, "what did not run is forgotten");
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_has_begun_can_be_resumed_but_not_repeated() {
    let (table, _, clock) = table(4);
    let first = begin(&table, "a", KEPT, clock).unwrap();
    first.set_may_have_run(true);
    first.note_started();
    // While it streams, a resume takes it over; its own end then changes nothing.
    let second = begin(&table, "a", RESUME, clock).unwrap();
    drop(first);
    assert_eq!(
        begin(&table, "a", KEPT, clock).unwrap_err(),
        RunDenial::InProgress
    );
    // A resume that has not run leaves the name as it was.
    drop(second);
    assert_eq!(
        begin(&table, "a", KEPT, clock).unwrap_err(),
        RunDenial::HasStarted
    );
    let third = begin(&table, "a", RESUME, clock).unwrap();
    third.set_may_have_run(true);
    drop(third);
    assert_eq!(
        begin(&table, "a", RESUME, clock).unwrap_err(),
        RunDenial::MayHaveRun
    );
}

#[tokio::test(start_paused = true)]
async fn a_full_table_rejects_new_names_and_keeps_the_old_ones() {
    let (table, budget, clock) = table(2);
    for text in ["a", "b"] {
        begin(&table, text, KEPT, clock)
            .unwrap()
            .set_may_have_run(true);
    }
    assert_eq!(
        begin(&table, "c", KEPT, clock).unwrap_err(),
        RunDenial::Full
    );
    assert_eq!(
        begin(&table, "a", KEPT, clock).unwrap_err(),
        RunDenial::MayHaveRun
    );
    let harmless = RunOptions {
        retention: None,
        ..KEPT
    };
    begin(&table, "c", harmless, clock)
        .unwrap()
        .set_may_have_run(true);
    assert!(begin(&table, "c", harmless, clock).is_ok());
    tokio::time::advance(Duration::from_micros(RETENTION)).await;
    table.expire(clock.now());
    assert_eq!(table.bytes.get(), 0);
    assert!(budget.left() > 0 && table.entries.borrow().is_empty());
}

#[derive(Clone, Debug)]
enum Step {
    /// A client sends a request, or asks for the rest of an answer.
    Arrive {
        name: usize,
        is_resume: bool,
    },
    /// The oldest request of a name is sent to a decode worker.
    Send(usize),
    /// The worker has proved that it has not run.
    NotRun(usize),
    /// Its answer begins.
    Start(usize),
    /// It ends: completed, cancelled, or its client has left.
    End(usize),
    Wait(u64),
}

const NAMES: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    let name = 0..NAMES;
    prop_oneof![
        4 => (name.clone(), any::<bool>()).prop_map(|(name, is_resume)| Step::Arrive { name, is_resume }),
        3 => name.clone().prop_map(Step::Send),
        1 => name.clone().prop_map(Step::NotRun),
        2 => name.clone().prop_map(Step::Start),
        3 => name.prop_map(Step::End),
        1 => (1_000_000..12_000_000_u64).prop_map(Step::Wait),
    ]
}

/// What a name has come to, by the steps alone.
#[derive(Clone, Copy, Default)]
struct Model {
    /// When a run that did not begin to answer ended.
    ran_until: Option<Micros>,
    /// When an answer that had begun ended.
    started_until: Option<Micros>,
}

proptest! {
    /// Whatever clients do, no request begins while one of its name is in progress or may have run without an answer, and
    /// none but a resume once an answer has begun; all memory is returned in the end.
    #[test]
    fn no_name_runs_twice(steps in prop::collection::vec(step(), 1..80), room in 1..=NAMES) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
        runtime.block_on(async {
            let (table, budget, clock) = table(room);
            let bytes = budget.left();
            let mut records: [Vec<RunRecord>; NAMES] = Default::default();
            let mut models = [Model::default(); NAMES];
            for step in steps {
                match step {
                    Step::Arrive { name, is_resume } => {
                        let now = clock.now();
                        let is_in_progress = !records[name].is_empty();
                        let streams = records[name].last().is_some_and(|r| r.has_started.get() || r.resumes_started);
                        let ran = models[name].ran_until.is_some_and(|until| now < until + RETENTION);
                        let started = models[name].started_until.is_some_and(|until| now < until + RETENTION);
                        let options = if is_resume { RESUME } else { KEPT };
                        let text = ["a", "b", "c"][name];
                        match begin(&table, text, options, clock) {
                            Ok(record) => {
                                prop_assert!(!is_in_progress || is_resume && streams);
                                prop_assert!(is_in_progress || !ran);
                                prop_assert!(!started || is_resume);
                                records[name].push(record);
                            }
                            Err(RunDenial::Full) => prop_assert!(table.entries.borrow().len() >= room),
                            Err(RunDenial::InProgress) => prop_assert!(is_in_progress),
                            Err(RunDenial::MayHaveRun) => prop_assert!(ran && !is_in_progress),
                            Err(RunDenial::HasStarted) => prop_assert!(started && !is_in_progress),
                        }
                    }
                    Step::Send(name) => records[name].iter().take(1).for_each(|r| r.set_may_have_run(true)),
                    Step::NotRun(name) => records[name].iter().take(1)
                        .filter(|r| !r.has_started.get()).for_each(|r| r.set_may_have_run(false)),
                    Step::Start(name) => records[name].iter().take(1)
                        .filter(|r| r.may_have_run.get()).for_each(RunRecord::note_started),
                    Step::End(name) if !records[name].is_empty() => {
                        let record = records[name].remove(0);
                        let was_taken_over = !records[name].is_empty();
                        let (ran, has_started) = (record.may_have_run.get(), record.has_started.get());
                        let resumed = record.resumes_started;
                        drop(record);
                        if !was_taken_over {
                            let now = Some(clock.now());
                            let has_begun = has_started || resumed && !ran;
                            models[name] = Model {
                                ran_until: now.filter(|_| ran && !has_started),
                                started_until: now.filter(|_| has_begun),
                            };
                        }
                    }
                    Step::End(_) => {}
                    Step::Wait(micros) => tokio::time::advance(Duration::from_micros(micros)).await,
                }
            }
            records.iter_mut().for_each(Vec::clear);
            tokio::time::advance(Duration::from_micros(RETENTION + 1)).await;
            table.expire(clock.now());
            prop_assert!(table.entries.borrow().is_empty() && table.expiries.borrow().is_empty());
            prop_assert_eq!((table.bytes.get(), budget.left()), (0, bytes));
            Ok(())
        })?;
    }
}
