//! The checker: holds a history against the promises, from outside. It knows the records alone, nothing of the
//! program's insides.
//!
//! [`facts`] says which records it reads and what is in them. Each promise is a module with a `check` that goes
//! through all [`Act`]s and writes a [`Verdict`]; a new one is added to [`PROMISES`].

pub mod bounds;
pub mod facts;
pub mod lease;
pub mod policy;
pub mod takeover;
pub mod view;

use crate::history::Record;
use facts::Fact;
use std::collections::BTreeMap;
use std::fmt;

/// Figures that a promise is held against; times in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Views agree so long after a `lab.quiet` that names no time of its own.
    pub settle_us: u64,
    /// A state is let go so long after its read or the last fault before that.
    pub release_us: u64,
    /// Classes whose requests must not run twice.
    pub unsafe_classes: Vec<String>,
    /// Between two lines of one member on refused messages of one peer.
    pub refusals_apart_us: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            settle_us: 30_000_000,
            release_us: 30_000_000,
            unsafe_classes: vec!["send".to_owned()],
            refusals_apart_us: 59_000_000,
        }
    }
}

/// A record as the checker reads it.
#[derive(Clone, Debug)]
pub struct Act {
    /// Its place in the history.
    pub order: u64,
    /// When it happened, in microseconds since 1970.
    pub at_us: u64,
    /// Who did it.
    pub source: String,
    /// In which life, for members; 0 for all others.
    pub incarnation: u64,
    /// What was done.
    pub fact: Fact,
}

/// Where a promise was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The record that shows it.
    pub order: u64,
    /// What is wrong, with names.
    pub what: String,
}

/// What became of one promise.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Its number in `docs/fleet.md`.
    pub promise: u8,
    /// Its name there.
    pub name: &'static str,
    /// How many things were held against it; 0 means that the history says nothing of it.
    pub checked: u64,
    /// Things that the history ends too early to judge.
    pub open: u64,
    /// Where it was broken.
    pub violations: Vec<Violation>,
    /// Counts and times that came out by the way.
    pub figures: BTreeMap<&'static str, u64>,
}

impl Verdict {
    /// Notes a breach.
    pub fn broken(&mut self, order: u64, what: String) {
        self.violations.push(Violation { order, what });
    }

    /// Keeps the largest value of a figure.
    pub fn most(&mut self, figure: &'static str, value: u64) {
        let held = self.figures.entry(figure).or_insert(0);
        *held = value.max(*held);
    }

    /// Counts one more.
    pub fn count(&mut self, figure: &'static str) {
        *self.figures.entry(figure).or_insert(0) += 1;
    }
}

/// A promise: its number and name, and what holds a history against it. Acts come in the order of the history.
pub struct Promise {
    /// Its number in `docs/fleet.md`.
    pub number: u8,
    /// Its name there.
    pub name: &'static str,
    /// Its check.
    pub check: fn(&[Act], &Limits, &mut Verdict),
}

/// All promises that are checked.
pub const PROMISES: &[Promise] = &[
    Promise {
        number: 1,
        name: "view",
        check: view::check,
    },
    Promise {
        number: 2,
        name: "lease",
        check: lease::check,
    },
    Promise {
        number: 4,
        name: "takeover",
        check: takeover::check,
    },
    Promise {
        number: 5,
        name: "policy",
        check: policy::check,
    },
    Promise {
        number: 7,
        name: "bounds",
        check: bounds::check,
    },
];

/// What the checker says of a history.
#[derive(Clone, Debug)]
pub struct Report {
    /// One verdict a promise.
    pub verdicts: Vec<Verdict>,
    /// Records that should be facts and are not: their promises can't be judged by them.
    pub unread: Vec<Violation>,
}

impl Report {
    /// Whether nothing is broken and everything could be read.
    pub fn is_kept(&self) -> bool {
        self.unread.is_empty() && self.verdicts.iter().all(|v| v.violations.is_empty())
    }

    /// A promise's verdict.
    ///
    /// # Panics
    /// No such promise is checked.
    pub fn verdict(&self, promise: u8) -> &Verdict {
        let found = self.verdicts.iter().find(|v| v.promise == promise);
        found.unwrap_or_else(|| panic!("promise {promise} is not checked"))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for v in &self.verdicts {
            let verdict = match (v.violations.len(), v.checked) {
                (0, 0) => "nothing to judge".to_owned(),
                (0, n) => format!("kept ({n} checked)"),
                (broken, n) => format!("BROKEN {broken} times ({n} checked)"),
            };
            write!(f, "promise {} {}: {verdict}", v.promise, v.name)?;
            if v.open > 0 {
                write!(f, ", {} open at the end", v.open)?;
            }
            v.figures
                .iter()
                .try_for_each(|(name, value)| write!(f, ", {name} {value}"))?;
            writeln!(f)?;
            for violation in v.violations.iter().take(20) {
                writeln!(f, "  record {}: {}", violation.order, violation.what)?;
            }
        }
        for unread in self.unread.iter().take(20) {
            writeln!(f, "record {} can't be read: {}", unread.order, unread.what)?;
        }
        Ok(())
    }
}

/// Reads records as facts; those that should be facts and are not come beside.
pub fn acts(records: &[Record]) -> (Vec<Act>, Vec<Violation>) {
    let (mut acts, mut unread) = (Vec::new(), Vec::new());
    for record in records {
        match Fact::read(record) {
            Ok(fact) => acts.push(Act {
                order: record.order,
                at_us: record.at_us,
                source: record.source.clone(),
                incarnation: record.number("incarnation").unwrap_or(0),
                fact,
            }),
            Err(error) => {
                unread.push(Violation {
                    order: record.order,
                    what: format!("{}: {error}", record.event),
                });
            }
        }
    }
    (acts, unread)
}

/// Holds a history against all promises.
pub fn check(records: &[Record], limits: &Limits) -> Report {
    let (acts, unread) = acts(records);
    let verdicts = PROMISES.iter().map(|promise| {
        let mut verdict = Verdict {
            promise: promise.number,
            name: promise.name,
            ..Verdict::default()
        };
        (promise.check)(&acts, limits, &mut verdict);
        verdict
    });
    Report {
        verdicts: verdicts.collect(),
        unread,
    }
}
