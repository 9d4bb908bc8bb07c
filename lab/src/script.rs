//! Commands for a running fleet, from the keyboard or a script.
//!
//! | command | what it does |
//! | --- | --- |
//! | `kill NAME`, `stop NAME`, `cont NAME`, `term NAME` | SIGKILL, SIGSTOP, SIGCONT, SIGTERM; `kill` takes hosts too |
//! | `restart NAME`, `restart NAME emptied` | starts it again from its disk, or from an emptied one |
//! | `cut A B`, `cut A B one-way` | cuts the links between two names, or from the first to the second; `*` is all |
//! | `isolate NAME` | cuts a conductor from the other conductors |
//! | `lose SITE` | cuts all of a site from all else |
//! | `loss P A B`, `delay MS A B`, `jitter MS A B`, `duplicate P A B`, `reorder P A B`, `garble P A B`, `drip BYTES A B` | makes links bad, both ways; without names all links between conductors |
//! | `hold A B`, `release A B` | holds all on its way, and lets it go in a burst |
//! | `heal` | ends all faults of links |
//! | `tool hold`, `tool release` | the tool side keeps its answers back, and gives them |
//! | `quiet NAME...` | notes that faults have stopped and who should be seen alive |
//! | `status`, `quit` | shows how things stand; ends |
//!
//! In a script, a line may begin with when it is done: `at 2.5s: COMMAND` so long after the script's start, `on SOURCE
//! EVENT FIELD=VALUE...: COMMAND` once such a record comes, with the script going on meanwhile. `wait SOURCE EVENT
//! FIELD=VALUE...` waits for one that comes after the script's last line was done; `*` is any source. `#` begins a
//! remark.

use crate::fleet::Fleet;
use crate::history::{Record, STUCK};
use crate::network::Faults;
use serde_json::json;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why a line can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// It is no command.
    #[error("no command: {0:?}")]
    Unknown(String),
    /// What was waited for never came, or something could not be started.
    #[error("{0}")]
    Failed(String),
}

/// A record that is waited for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    source: String,
    event: String,
    fields: Vec<(String, String)>,
}

impl Pattern {
    fn read(words: &[&str]) -> Option<Pattern> {
        let [source, event, fields @ ..] = words else {
            return None;
        };
        let pair = |w: &&str| w.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
        let fields = fields.iter().map(pair).collect::<Option<_>>()?;
        Some(Pattern {
            source: (*source).to_owned(),
            event: (*event).to_owned(),
            fields,
        })
    }

    /// Whether a record fits.
    pub fn fits(&self, record: &Record) -> bool {
        let field = |(name, value): &(String, String)| match record.fields.get(name) {
            Some(serde_json::Value::String(text)) => text == value,
            Some(other) => format!("{other}") == *value,
            None => false,
        };
        (self.source == "*" || self.source == record.source)
            && self.event == record.event
            && self.fields.iter().all(field)
    }
}

/// A change of links' faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// Part of the datagrams that are lost.
    Loss(f64),
    /// Part that comes twice.
    Duplicate(f64),
    /// Part that is overtaken.
    Reorder(f64),
    /// Part with a flipped bit.
    Garble(f64),
    /// Milliseconds under way.
    Delay(f64),
    /// Milliseconds more at most.
    Jitter(f64),
    /// Bytes a second.
    Drip(f64),
    /// Held or not.
    Held(bool),
}

impl Change {
    fn make(self, faults: &mut Faults) {
        let time = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 1e7) / 1000.0);
        match self {
            Change::Loss(part) => faults.loss = part,
            Change::Duplicate(part) => faults.duplicate = part,
            Change::Reorder(part) => faults.reorder = part,
            Change::Garble(part) => faults.garble = part,
            Change::Delay(ms) => faults.delay = time(ms),
            Change::Jitter(ms) => faults.jitter = time(ms),
            Change::Drip(bytes) => faults.drip = bytes.max(0.0) as u64,
            Change::Held(held) => faults.held = held,
        }
    }
}

/// What can be done to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// SIGKILL, or the end of a host.
    Kill(String),
    /// SIGSTOP.
    Stop(String),
    /// SIGCONT.
    Cont(String),
    /// SIGTERM.
    Term(String),
    /// A new start, with an emptied disk or not.
    Restart(String, bool),
    /// A cut between two, one way or both.
    Cut(String, String, bool),
    /// A cut from all other conductors.
    Isolate(String),
    /// A cut of a site from all else.
    Lose(String),
    /// Bad links, between two or between all conductors.
    Links(Change, Option<(String, String)>),
    /// All links are good.
    Heal,
    /// The tool side keeps its answers back, or gives them.
    Tool(bool),
    /// Faults have stopped.
    Quiet(Vec<String>),
    /// How things stand; for the caller.
    Status,
    /// The end; for the caller.
    Quit,
}

impl FromStr for Command {
    type Err = ScriptError;

    fn from_str(line: &str) -> Result<Command, ScriptError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let unknown = || ScriptError::Unknown(line.to_owned());
        let own = |w: &str| w.to_owned();
        let links = |change: fn(f64) -> Change, value: &str, between: &[&str]| {
            let value: f64 = value.parse().map_err(|_| unknown())?;
            let between = match between {
                [] => None,
                [a, b] => Some((own(a), own(b))),
                _ => return Err(unknown()),
            };
            Ok(Command::Links(change(value), between))
        };
        Ok(match words.as_slice() {
            ["kill", name] => Command::Kill(own(name)),
            ["stop", name] => Command::Stop(own(name)),
            ["cont", name] => Command::Cont(own(name)),
            ["term", name] => Command::Term(own(name)),
            ["restart", name] => Command::Restart(own(name), false),
            ["restart", name, "emptied"] => Command::Restart(own(name), true),
            ["cut", a, b] => Command::Cut(own(a), own(b), false),
            ["cut", a, b, "one-way"] => Command::Cut(own(a), own(b), true),
            ["isolate", name] => Command::Isolate(own(name)),
            ["lose", site] => Command::Lose(own(site)),
            ["loss", part, between @ ..] => links(Change::Loss, part, between)?,
            ["duplicate", part, between @ ..] => links(Change::Duplicate, part, between)?,
            ["reorder", part, between @ ..] => links(Change::Reorder, part, between)?,
            ["garble", part, between @ ..] => links(Change::Garble, part, between)?,
            ["delay", ms, between @ ..] => links(Change::Delay, ms, between)?,
            ["jitter", ms, between @ ..] => links(Change::Jitter, ms, between)?,
            ["drip", bytes, between @ ..] => links(Change::Drip, bytes, between)?,
            ["hold", a, b] => Command::Links(Change::Held(true), Some((own(a), own(b)))),
            ["release", a, b] => Command::Links(Change::Held(false), Some((own(a), own(b)))),
            ["heal"] => Command::Heal,
            ["tool", "hold"] => Command::Tool(true),
            ["tool", "release"] => Command::Tool(false),
            ["quiet", names @ ..] => Command::Quiet(names.iter().map(|n| own(n)).collect()),
            ["status"] => Command::Status,
            ["quit" | "exit"] => Command::Quit,
            _ => return Err(unknown()),
        })
    }
}

impl Command {
    /// Does it to a fleet; [`Command::Status`] and [`Command::Quit`] are the caller's.
    ///
    /// # Errors
    /// Nobody has that name, or a process does not start or end.
    pub fn carry_out(&self, fleet: &Fleet) -> Result<(), ScriptError> {
        let failed = |e: &dyn fmt::Display| ScriptError::Failed(e.to_string());
        let conductor = |name: &str| {
            fleet
                .conductors
                .get(name)
                .ok_or_else(|| ScriptError::Failed(format!("no conductor {name:?}")))
        };
        match self {
            Command::Kill(name) => fleet.kill(name).map_err(|e| failed(&e))?,
            Command::Stop(name) => conductor(name)?.stop(),
            Command::Cont(name) => conductor(name)?.cont(),
            Command::Term(name) => _ = conductor(name)?.terminate().map_err(|e| failed(&e))?,
            Command::Restart(name, _) if fleet.hosts.contains_key(name) => {
                fleet.hosts[name].restart().map_err(|e| failed(&e))?;
            }
            Command::Restart(name, emptied) => {
                conductor(name)?;
                fleet.restart(name, *emptied).map_err(|e| failed(&e))?;
            }
            Command::Cut(a, b, false) => fleet.network.cut(a, b),
            Command::Cut(a, b, true) => fleet.network.cut_one_way(a, b),
            Command::Isolate(name) => {
                conductor(name)?;
                fleet.isolate(name);
            }
            Command::Lose(site) if fleet.site_names(site).is_empty() => {
                return Err(ScriptError::Failed(format!("no site {site:?}")));
            }
            Command::Lose(site) => fleet.lose_site(site),
            Command::Links(change, between) => {
                fleet.history.note(
                    "lab",
                    "fault.links",
                    json!({ "change": format!("{change:?}"), "between": between }),
                );
                if let Some((a, b)) = between {
                    fleet.network.set_both(a, b, |f| change.make(f));
                } else {
                    let names = fleet.names();
                    for (a, b) in names
                        .iter()
                        .flat_map(|a| names.iter().map(move |b| (a, b)))
                        .filter(|(a, b)| a != b)
                    {
                        fleet.network.set(a, b, |f| change.make(f));
                    }
                }
            }
            Command::Heal => fleet.network.heal(),
            Command::Tool(true) => fleet.tool.hold(),
            Command::Tool(false) => fleet.tool.release(),
            Command::Quiet(names) => {
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                fleet.quiet(&names, STUCK);
            }
            Command::Status | Command::Quit => {}
        }
        Ok(())
    }
}

/// A line of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Done when the script comes to it.
    Now(Command),
    /// Done so long after the script's start.
    At(Duration, Command),
    /// Done once such a record comes.
    On(Pattern, Command),
    /// Nothing more is done until such a record comes.
    Wait(Pattern),
}

impl FromStr for Line {
    type Err = ScriptError;

    fn from_str(line: &str) -> Result<Line, ScriptError> {
        let unknown = || ScriptError::Unknown(line.to_owned());
        if let Some(pattern) = line.strip_prefix("wait ") {
            let words: Vec<&str> = pattern.split_whitespace().collect();
            return Pattern::read(&words).map(Line::Wait).ok_or_else(unknown);
        }
        let Some((when, command)) = line.split_once(": ") else {
            return Ok(Line::Now(line.parse()?));
        };
        let words: Vec<&str> = when.split_whitespace().collect();
        match words.as_slice() {
            ["at", time] => {
                let seconds: Option<f64> = time.strip_suffix('s').and_then(|t| t.parse().ok());
                let seconds = seconds
                    .filter(|s| (0.0..1e6).contains(s))
                    .ok_or_else(unknown)?;
                Ok(Line::At(Duration::from_secs_f64(seconds), command.parse()?))
            }
            ["on", pattern @ ..] => Ok(Line::On(
                Pattern::read(pattern).ok_or_else(unknown)?,
                command.parse()?,
            )),
            _ => Err(unknown()),
        }
    }
}

/// Reads a script.
///
/// # Errors
/// The first line that is none.
pub fn read(text: &str) -> Result<Vec<Line>, ScriptError> {
    let lines = text
        .lines()
        .map(|l| l.split('#').next().unwrap_or("").trim())
        .filter(|l| !l.is_empty());
    lines.map(str::parse).collect()
}

/// Runs a script to its end, or to `quit`.
///
/// # Errors
/// A command fails, or what is waited for does not come.
pub fn run(fleet: &Arc<Fleet>, script: &[Line]) -> Result<(), ScriptError> {
    let begun = Instant::now();
    let mut after = fleet.history.len();
    for line in script {
        let command = match line {
            Line::Now(command) => command,
            Line::At(time, command) => {
                std::thread::sleep(time.saturating_sub(begun.elapsed()));
                command
            }
            Line::On(pattern, command) => {
                let (pattern, command, fleet_there) =
                    (pattern.clone(), command.clone(), Arc::downgrade(fleet));
                fleet.history.once(
                    move |r| pattern.fits(r),
                    move |_| {
                        let Some(fleet) = fleet_there.upgrade() else {
                            return;
                        };
                        // What waits for records can't wait in the thread that brings them.
                        let waits = matches!(command, Command::Restart(..) | Command::Term(_));
                        let act = move || {
                            if let Err(error) = command.carry_out(&fleet) {
                                fleet.history.note(
                                    "lab",
                                    "script.failed",
                                    json!({ "why": error.to_string() }),
                                );
                            }
                        };
                        if waits {
                            _ = std::thread::spawn(act);
                        } else {
                            act();
                        }
                    },
                );
                continue;
            }
            Line::Wait(pattern) => {
                let found = fleet
                    .history
                    .wait_for(after, STUCK * 2, |r| pattern.fits(r));
                found.map_err(|e| ScriptError::Failed(e.to_string()))?;
                continue;
            }
        };
        if *command == Command::Quit {
            return Ok(());
        }
        after = fleet.history.len();
        command.carry_out(fleet)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
