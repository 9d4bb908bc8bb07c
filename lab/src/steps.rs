//! The steps of a request's life, as its records name them: where a fault can strike.
//!
//! A fault that is put on a step strikes inside whoever noted it, before that one goes on: a conductor killed at
//! [`Step::ToolRan`] dies when the tool has run and has not answered.

use crate::history::{History, Record};
use std::collections::BTreeMap;

/// A step in the life of a named request with a tool call, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A client has begun to send it.
    Sent,
    /// A reader has all of it.
    ReadBegun,
    /// It is read, its state is held, and nobody has been told.
    Held,
    /// A writer has taken the state.
    Taken,
    /// The writer runs it; nothing of its answer is out.
    RunBegun,
    /// The first event is out.
    First,
    /// The writer asks for the tool.
    Call,
    /// The client was told that its request is taken.
    Told,
    /// The client was told of the tool call.
    Calling,
    /// The tool has run and not answered.
    ToolRan,
    /// The tool is about to answer.
    ToolAnswered,
    /// The writer has the tool's result and has not said so.
    Result,
    /// The writer has written all but the end.
    Done,
    /// The client has its final answer.
    Final,
}

impl Step {
    /// All steps in order.
    pub const ALL: [Step; 14] = [
        Step::Sent,
        Step::ReadBegun,
        Step::Held,
        Step::Taken,
        Step::RunBegun,
        Step::First,
        Step::Call,
        Step::Told,
        Step::Calling,
        Step::ToolRan,
        Step::ToolAnswered,
        Step::Result,
        Step::Done,
        Step::Final,
    ];

    /// The event of its record.
    pub fn event(self) -> &'static str {
        match self {
            Step::Sent => "client.sent",
            Step::ReadBegun => "read.begun",
            Step::Held => "state.held",
            Step::Taken => "state.taken",
            Step::RunBegun => "run.begun",
            Step::First => "run.first",
            Step::Call => "run.call",
            Step::Told => "client.taken",
            Step::Calling => "client.calling",
            Step::ToolRan => "tool.ran",
            Step::ToolAnswered => "tool.answered",
            Step::Result => "host.result",
            Step::Done => "run.done",
            Step::Final => "client.final",
        }
    }

    /// Whether a record is this step of the request `name`.
    pub fn is(self, record: &Record, name: &str) -> bool {
        let call = || {
            record
                .text("call")
                .rsplit_once('/')
                .is_some_and(|(request, _)| request == name)
        };
        record.event == self.event() && (record.text("name") == name || call())
    }
}

/// Puts a fault on the first time that the request `name` comes to a step.
pub fn strike(history: &History, step: Step, name: &str, fault: impl FnOnce() + Send + 'static) {
    let name = name.to_owned();
    history.once(move |r| step.is(r, &name), move |_| fault());
}

/// How often each step was hit by a fault over many rounds.
#[derive(Clone, Debug, Default)]
pub struct Hits(BTreeMap<Step, u64>);

impl Hits {
    /// Counts one.
    pub fn hit(&mut self, step: Step) {
        *self.0.entry(step).or_default() += 1;
    }

    /// How often a step was hit.
    pub fn of(&self, step: Step) -> u64 {
        self.0.get(&step).copied().unwrap_or(0)
    }

    /// Steps that were never hit.
    pub fn missed(&self) -> Vec<Step> {
        Step::ALL.into_iter().filter(|s| self.of(*s) == 0).collect()
    }
}

impl std::fmt::Display for Hits {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        Step::ALL
            .iter()
            .try_for_each(|step| write!(f, "{step:?} {}, ", self.of(*step)))
    }
}
