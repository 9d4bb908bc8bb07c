//! Metrics for operators: outcomes of requests by class, requests in progress, and the number of known model hosts.
//!
//! [`Metrics`] creates one [`RequestMetrics`] for each request when its head has arrived. It is ended once, by the status
//! of a short response or by the end of a stream, at the point where the response is sent to the client, so responses of
//! all modules are counted. The names in the report are fixed; see `docs/operations.md`.

use crate::counters::Count;
use crate::routing::types::RequestClass;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// How a request ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole stream was forwarded.
    Served,
    /// Rejected: a retry is harmless.
    Rejected,
    /// Any other status, or a stream that broke.
    Failed,
}

impl RequestOutcome {
    /// The outcome of a short response with this status. Not for streams, whose status does not tell how they end.
    pub fn of_status(status: StatusCode) -> Self {
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                RequestOutcome::Rejected
            }
            _ => RequestOutcome::Failed,
        }
    }
}

/// Counts of ended requests of one class.
#[derive(Debug, Default)]
struct OutcomeCounts {
    passed: Count,
    dropped: Count,
    bad_gateway: Count,
}

impl OutcomeCounts {
    fn count(&self, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::Served => self.passed.up(),
            RequestOutcome::Rejected => self.dropped.up(),
            RequestOutcome::Failed => self.bad_gateway.up(),
        }
    }
}

/// Metrics of this process since its start. Classes that the configuration no longer names keep their counts.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: RefCell<BTreeMap<String, Rc<OutcomeCounts>>>,
    in_progress: Cell<u64>,
}

impl Metrics {
    /// Begins the metrics of a request of this class. Classes that the configuration does not name are not counted, since
    /// clients may send any number of names.
    pub fn begin(
        self: &Rc<Self>,
        class: Option<&str>,
        known: &[RequestClass],
    ) -> Rc<RequestMetrics> {
        let class = class.filter(|name| known.iter().any(|class| class.name == *name));
        let class = class.map(|name| self.class(name));
        Rc::new(RequestMetrics {
            metrics: self.clone(),
            class,
            in_progress: Cell::new(false),
            ended: Cell::new(false),
        })
    }

    fn class(&self, name: &str) -> Rc<OutcomeCounts> {
        let mut classes = self.classes.borrow_mut();
        if let Some(class) = classes.get(name) {
            return class.clone();
        }
        classes.entry(name.to_owned()).or_default().clone()
    }

    /// The current values, including classes of which no request has ended yet.
    pub fn report(&self, known: &[RequestClass], gauges: Gauges) -> MetricsReport {
        known.iter().for_each(|class| _ = self.class(&class.name));
        let mut samples = Vec::new();
        for (class_name, class) in &*self.classes.borrow() {
            let mut sample = |name, count: &Count| {
                samples.push(Sample {
                    name,
                    class: Some(class_name.clone()),
                    value: count.get(),
                });
            };
            sample("passed", &class.passed);
            sample("dropped", &class.dropped);
            sample("bad_gateway", &class.bad_gateway);
        }
        let totals = [
            ("upstream_tries", gauges.upstream_tries),
            ("in_progress", self.in_progress.get()),
            ("known_model_hosts", gauges.known_model_hosts),
            ("skipped_model_hosts", gauges.skipped_model_hosts),
            ("loads", gauges.loads),
            ("load_errors", gauges.load_errors),
        ];
        samples.extend(totals.map(|(name, value)| Sample {
            name,
            class: None,
            value,
        }));
        MetricsReport(samples)
    }
}

/// Metrics that are kept elsewhere, read for one report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Attempts whose last byte was written to a model host.
    pub upstream_tries: u64,
    /// Model hosts in the endpoint list.
    pub known_model_hosts: u64,
    /// Those of them that routing avoids.
    pub skipped_model_hosts: u64,
    /// Configurations applied on SIGHUP.
    pub loads: u64,
    /// Configurations rejected on SIGHUP.
    pub load_errors: u64,
}

/// One value of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Sample {
    name: &'static str,
    class: Option<String>,
    value: u64,
}

/// The values at one instant, formatted with one `conductor.NAME=VALUE` or `conductor.NAME.CLASS=VALUE` per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsReport(Vec<Sample>);

impl fmt::Display for MetricsReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Sample { name, class, value } in &self.0 {
            match class {
                Some(class) => writeln!(f, "conductor.{name}.{class}={value}")?,
                None => writeln!(f, "conductor.{name}={value}")?,
            }
        }
        Ok(())
    }
}

/// Metrics of one request. If it is dropped before [`RequestMetrics::end`], the client has disconnected, and the request is not
/// counted.
#[derive(Debug)]
pub struct RequestMetrics {
    metrics: Rc<Metrics>,
    /// Counts of the request's class; `None` if the configuration does not name the class.
    class: Option<Rc<OutcomeCounts>>,
    in_progress: Cell<bool>,
    ended: Cell<bool>,
}

impl RequestMetrics {
    /// Marks the request as in progress; called once it has been received completely.
    pub fn begin_progress(&self) {
        if !self.ended.get() && !self.in_progress.replace(true) {
            self.metrics
                .in_progress
                .set(self.metrics.in_progress.get() + 1);
        }
    }

    /// Records the outcome of the request; only the first call has an effect.
    pub fn end(&self, outcome: RequestOutcome) {
        if self.ended.replace(true) {
            return;
        }
        self.end_progress();
        if let Some(class) = &self.class {
            class.count(outcome);
        }
    }

    fn end_progress(&self) {
        if self.in_progress.replace(false) {
            self.metrics
                .in_progress
                .set(self.metrics.in_progress.get() - 1);
        }
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.end_progress();
    }
}

#[cfg(test)]
mod tests;
