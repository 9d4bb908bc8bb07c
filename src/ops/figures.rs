//! Figures for operators: how requests of each class ended, what is in hand, what is known of model hosts.
//!
//! [`Figures`] hands out one [`Tally`] for each request as its head arrives. The tally is ended once, by the
//! status of a short answer or by the end of a stream, where the answer leaves for the client: whoever worded
//! it, it is counted.

use crate::counters::Count;
use crate::routing::types::RequestClass;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served: the whole stream was handed over.
    Passed,
    /// Refused: trying again is harmless.
    Dropped,
    /// Failed: any other status, and a stream that broke.
    BadGateway,
}

impl Ending {
    /// What a short answer of this status means to its client. A stream's status says nothing of its end.
    pub fn of_status(status: StatusCode) -> Self {
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ending::Dropped,
            _ => Ending::BadGateway,
        }
    }
}

/// Ended requests of one class.
#[derive(Debug, Default)]
struct ClassFigures {
    passed: Count,
    dropped: Count,
    bad_gateway: Count,
}

impl ClassFigures {
    fn count(&self, ending: Ending) {
        match ending {
            Ending::Passed => self.passed.up(),
            Ending::Dropped => self.dropped.up(),
            Ending::BadGateway => self.bad_gateway.up(),
        }
    }
}

/// The figures of this process from its start on. Classes that the settings no longer name keep what they
/// counted.
#[derive(Debug, Default)]
pub struct Figures {
    classes: RefCell<BTreeMap<String, Rc<ClassFigures>>>,
    in_progress: Cell<u64>,
}

impl Figures {
    /// Begins the tally of a request of this class. Names that the settings don't have are not counted:
    /// clients may make up any number of them.
    pub fn begin(self: &Rc<Self>, class: Option<&str>, known: &[RequestClass]) -> Rc<Tally> {
        let class = class.filter(|name| known.iter().any(|c| c.name == *name));
        let class = class.map(|name| self.class(name));
        Rc::new(Tally {
            figures: self.clone(),
            class,
            taken: Cell::new(false),
            ended: Cell::new(false),
        })
    }

    fn class(&self, name: &str) -> Rc<ClassFigures> {
        let mut classes = self.classes.borrow_mut();
        if let Some(class) = classes.get(name) {
            return class.clone();
        }
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// The figures as they are now, also of classes of which nothing has ended yet.
    pub fn report(&self, known: &[RequestClass], gauges: Gauges) -> Report {
        known.iter().for_each(|class| _ = self.class(&class.name));
        let mut samples = Vec::new();
        for (name, class) in &*self.classes.borrow() {
            let mut sample = |figure, count: &Count| {
                samples.push(Sample {
                    figure,
                    class: Some(name.clone()),
                    value: count.get(),
                });
            };
            sample("passed", &class.passed);
            sample("dropped", &class.dropped);
            sample("bad_gateway", &class.bad_gateway);
        }
        let whole = [
            ("upstream_tries", gauges.upstream_tries),
            ("in_progress", self.in_progress.get()),
            ("known_model_hosts", gauges.known_model_hosts),
            ("skipped_model_hosts", gauges.skipped_model_hosts),
            ("loads", gauges.loads),
            ("load_errors", gauges.load_errors),
        ];
        samples.extend(whole.map(|(figure, value)| Sample {
            figure,
            class: None,
            value,
        }));
        Report(samples)
    }
}

/// Figures that are kept elsewhere, read for one report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Attempts written whole to model hosts.
    pub upstream_tries: u64,
    /// Model hosts in the list.
    pub known_model_hosts: u64,
    /// Those of them that the conductor avoids.
    pub skipped_model_hosts: u64,
    /// Configurations taken on SIGHUP.
    pub loads: u64,
    /// Configurations turned down on SIGHUP.
    pub load_errors: u64,
}

/// One figure of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sample {
    figure: &'static str,
    class: Option<String>,
    value: u64,
}

/// The figures at one moment; displayed as one `conductor.NAME=VALUE` a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report(Vec<Sample>);

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Sample {
            figure,
            class,
            value,
        } in &self.0
        {
            match class {
                Some(class) => writeln!(f, "conductor.{figure}.{class}={value}")?,
                None => writeln!(f, "conductor.{figure}={value}")?,
            }
        }
        Ok(())
    }
}

/// One request on its way through the conductor. Dropped without an ending, its client has left: it is not
/// counted.
#[derive(Debug)]
pub struct Tally {
    figures: Rc<Figures>,
    /// The class, if the settings had it.
    class: Option<Rc<ClassFigures>>,
    taken: Cell<bool>,
    ended: Cell<bool>,
}

impl Tally {
    /// The request has come whole: it is in progress from here on.
    pub fn take(&self) {
        if !self.ended.get() && !self.taken.replace(true) {
            self.figures
                .in_progress
                .set(self.figures.in_progress.get() + 1);
        }
    }

    /// The request has ended; only the first ending counts.
    pub fn end(&self, ending: Ending) {
        if self.ended.replace(true) {
            return;
        }
        self.leave();
        if let Some(class) = &self.class {
            class.count(ending);
        }
    }

    fn leave(&self) {
        if self.taken.replace(false) {
            self.figures
                .in_progress
                .set(self.figures.in_progress.get() - 1);
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.leave();
    }
}

#[cfg(test)]
mod tests;
