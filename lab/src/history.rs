//! The history: what every process, stand-in and fault did, in one order and on one clock.
//!
//! A [`Record`] is one JSON line. Stand-ins and the harness write theirs with [`History::note`]; the lines that a
//! conductor writes on standard error come in by [`History::line`]. Tests wait for records, scripts fire on them, and
//! the [checker](crate::checker) reads nothing else.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing that a test waits for takes this long on a loaded machine; what waits longer has failed.
pub const STUCK: Duration = Duration::from_secs(30);

/// Microseconds since 1970 by this machine's clock, which all processes of a lab share.
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Place in the order in which the lab heard of things; the first is 1.
    #[serde(default)]
    pub order: u64,
    /// When it happened by the clock of whoever did it, in microseconds since 1970.
    #[serde(default)]
    pub at_us: u64,
    /// Who did it: a conductor's name, `host/reader-1`, `tool`, `client`, `lab`.
    #[serde(default)]
    pub source: String,
    /// What happened; `log` for a line of a conductor that is no event.
    pub event: String,
    /// The rest, by the event.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

impl Record {
    /// A field as text, `""` where there is none.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A field as a whole number, written as a number or as text.
    pub fn number(&self, field: &str) -> Option<u64> {
        let value = self.fields.get(field)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }

    /// Whether it is this event of this source.
    pub fn is(&self, source: &str, event: &str) -> bool {
        self.source == source && self.event == event
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "#{} {} {}", self.order, self.source, self.event)?;
        self.fields.iter().try_for_each(|(k, v)| match v {
            Value::String(text) => write!(f, " {k}={text}"),
            other => write!(f, " {k}={other}"),
        })
    }
}

type Wanted = Box<dyn Fn(&Record) -> bool + Send>;
type Reaction = Box<dyn FnOnce(&Record) + Send>;

#[derive(Default)]
struct Inner {
    records: Vec<Record>,
    reactions: Vec<(Wanted, Reaction)>,
    file: Option<BufWriter<File>>,
}

/// A growing history, shared by all that write and read it.
#[derive(Clone, Default)]
pub struct History {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl History {
    /// An empty history in memory.
    pub fn new() -> History {
        History::default()
    }

    /// A history that is also written to a file, a JSON line a record.
    ///
    /// # Errors
    /// The file can't be made.
    pub fn to_file(path: &Path) -> std::io::Result<History> {
        let history = History::new();
        history.lock().file = Some(BufWriter::new(File::create(path)?));
        Ok(history)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A test that panicked holds nothing half-done here: records are pushed whole.
        self.inner.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a record; `fields` is a JSON object. What reacts to it has acted when this returns: a stand-in that
    /// notes its step before it goes on can be killed, cut off or held at exactly that step.
    pub fn note(&self, source: &str, event: &str, fields: Value) {
        let fields = if let Value::Object(fields) = fields {
            fields
        } else {
            Map::new()
        };
        self.add(Record {
            order: 0,
            at_us: unix_micros(),
            source: source.into(),
            event: event.into(),
            fields,
        });
    }

    /// Takes a line that a conductor wrote: a JSON object with `event` is a record, all else is a `log`.
    pub fn line(&self, source: &str, line: &str) {
        let parsed = serde_json::from_str::<Map<String, Value>>(line).ok();
        let Some(mut fields) = parsed else {
            return self.note(source, "log", serde_json::json!({ "line": line }));
        };
        let at_us = fields
            .remove("at_us")
            .and_then(|v| v.as_u64())
            .unwrap_or_else(unix_micros);
        let event = match fields.remove("event") {
            Some(Value::String(event)) => event,
            _ => "log".to_owned(),
        };
        if event == "log" {
            let text = fields.remove("message").unwrap_or_else(|| line.into());
            fields.insert("line".into(), text);
        }
        self.add(Record {
            order: 0,
            at_us,
            source: source.into(),
            event,
            fields,
        });
    }

    fn add(&self, mut record: Record) {
        let mut inner = self.lock();
        record.order = inner.records.len() as u64 + 1;
        if let Some(file) = &mut inner.file {
            // A full disk must not end the run: what is in memory is checked all the same.
            let _ = serde_json::to_writer(&mut *file, &record).map(|()| file.write_all(b"\n"));
        }
        let mut fired = Vec::new();
        let waiting = std::mem::take(&mut inner.reactions);
        for (wanted, reaction) in waiting {
            if wanted(&record) {
                fired.push(reaction);
            } else {
                inner.reactions.push((wanted, reaction));
            }
        }
        inner.records.push(record.clone());
        drop(inner);
        self.inner.1.notify_all();
        fired.into_iter().for_each(|reaction| reaction(&record));
    }

    /// Once a record comes that is wanted, `reaction` runs in the thread that notes it, before that thread goes on.
    pub fn once(
        &self,
        wanted: impl Fn(&Record) -> bool + Send + 'static,
        reaction: impl FnOnce(&Record) + Send + 'static,
    ) {
        self.lock()
            .reactions
            .push((Box::new(wanted), Box::new(reaction)));
    }

    /// How many records there are: a place to wait from.
    pub fn len(&self) -> usize {
        self.lock().records.len()
    }

    /// Whether nothing has happened yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All records so far.
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.clone()
    }

    /// The records behind the first `after`.
    pub fn since(&self, after: usize) -> Vec<Record> {
        self.lock()
            .records
            .get(after..)
            .unwrap_or_default()
            .to_vec()
    }

    /// How many records so far are wanted.
    pub fn count(&self, wanted: impl Fn(&Record) -> bool) -> usize {
        self.lock().records.iter().filter(|r| wanted(r)).count()
    }

    /// Waits for a wanted record behind the first `after`.
    ///
    /// # Errors
    /// None came in time; the text holds the last records.
    pub fn wait_for(
        &self,
        after: usize,
        patience: Duration,
        wanted: impl Fn(&Record) -> bool,
    ) -> Result<Record, NotSeen> {
        let mut next = after;
        let found = self.wait_until(patience, |records| {
            let found = records[next.min(records.len())..]
                .iter()
                .find(|r| wanted(r))
                .cloned();
            next = records.len();
            found
        });
        found.ok_or_else(|| self.not_seen(patience))
    }

    /// Waits until `all` gives something out of all records so far; `None` when it takes too long. Asked again after
    /// each new record.
    pub fn wait_until<T>(
        &self,
        patience: Duration,
        mut all: impl FnMut(&[Record]) -> Option<T>,
    ) -> Option<T> {
        let until = Instant::now() + patience;
        let mut inner = self.lock();
        loop {
            if let Some(found) = all(&inner.records) {
                return Some(found);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let waited = self.inner.1.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// The last records as an error: what a failed test shows.
    pub fn not_seen(&self, patience: Duration) -> NotSeen {
        let inner = self.lock();
        let from = inner.records.len().saturating_sub(40);
        NotSeen {
            patience,
            last: inner.records[from..]
                .iter()
                .map(|r| format!("\n  {r}"))
                .collect(),
        }
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        if let Some(file) = &mut self.lock().file {
            let _ = file.flush();
        }
    }

    /// Writes all records to a file, a JSON line each.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for record in &self.lock().records {
            serde_json::to_writer(&mut file, record)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

/// Nothing that was waited for came.
#[derive(Debug, thiserror::Error)]
#[error("nothing of the kind in {patience:?}; the last records:{last}")]
pub struct NotSeen {
    patience: Duration,
    last: String,
}

/// A file is no history.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It can't be read.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// A line is no record.
    #[error("line {0}: {1}")]
    Line(usize, serde_json::Error),
}

/// Reads a history from its lines. Records without `order` are numbered by their lines.
///
/// # Errors
/// A line that is no record, by its number.
pub fn parse(lines: impl BufRead) -> Result<Vec<Record>, ReadError> {
    let mut records = Vec::new();
    for (i, line) in lines.lines().enumerate() {
        let line = line?;
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let mut record: Record =
            serde_json::from_str(&line).map_err(|e| ReadError::Line(i + 1, e))?;
        if record.order == 0 {
            record.order = i as u64 + 1;
        }
        records.push(record);
    }
    Ok(records)
}

/// Reads a history's file.
///
/// # Errors
/// It can't be read, or a line is no record.
pub fn read(path: &Path) -> Result<Vec<Record>, ReadError> {
    parse(BufReader::new(File::open(path)?))
}
