//! Which call of the process fails, and how: read from the environment and from a file that a test rewrites.

use std::ffi::c_int;
use std::os::fd::RawFd;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this error number, and does nothing.
    Fail(c_int),
    /// It moves a part of the bytes.
    Short,
    /// It moves half of the bytes, and the process is killed.
    HalfThenKill,
}

impl Effect {
    /// `short`, `kill`, or an error number.
    fn parse(text: &str) -> Option<Effect> {
        match text {
            "short" => Some(Effect::Short),
            "kill" => Some(Effect::HalfThenKill),
            number => Some(Effect::Fail(number.parse().ok()?)),
        }
    }
}

/// A call that has an effect now and then, by the environment: `FAULT_SHIM` lists `CALL:EFFECT:EVERY`, separated by
/// commas.
pub struct Rate {
    call: &'static str,
    set: OnceLock<Option<(Effect, u64)>>,
    calls: AtomicU64,
}

impl Rate {
    /// The rate of one call.
    pub const fn of(call: &'static str) -> Rate {
        Rate {
            call,
            set: OnceLock::new(),
            calls: AtomicU64::new(0),
        }
    }

    fn read(&self) -> Option<(Effect, u64)> {
        let all = std::env::var("FAULT_SHIM").ok()?;
        let one = all
            .split(',')
            .find_map(|fault| fault.strip_prefix(self.call)?.strip_prefix(':'))?;
        let (effect, every) = one.split_once(':')?;
        Some((Effect::parse(effect)?, every.parse().ok()?))
    }

    /// What happens to the call that is made now.
    pub fn strike(&self) -> Option<Effect> {
        let (effect, every) = (*self.set.get_or_init(|| self.read()))?;
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        (every > 0 && call.is_multiple_of(every)).then_some(effect)
    }
}

/// What happens to each call on files of a folder, by the file that `FAULT_SHIM_FILES` names: lines of
/// `CALL:EFFECT:FOLDER`, read anew at each call, so that a test sets and clears them.
pub fn strike_file(call: &str, file: RawFd) -> Option<Effect> {
    let lines = std::fs::read_to_string(control_file()?).ok()?;
    let path = std::fs::read_link(format!("/proc/self/fd/{file}")).ok()?;
    strike_in(&lines, call, &path)
}

/// The same for a call that names its file.
pub fn strike_path(call: &str, path: &std::path::Path) -> Option<Effect> {
    strike_in(&std::fs::read_to_string(control_file()?).ok()?, call, path)
}

fn control_file() -> Option<&'static String> {
    static FILE: OnceLock<Option<String>> = OnceLock::new();
    FILE.get_or_init(|| std::env::var("FAULT_SHIM_FILES").ok())
        .as_ref()
}

fn strike_in(lines: &str, call: &str, path: &std::path::Path) -> Option<Effect> {
    let of_call = lines
        .lines()
        .filter_map(|line| line.strip_prefix(call)?.strip_prefix(':'));
    let mut faults = of_call.filter_map(|fault| fault.split_once(':'));
    let (effect, _) = faults.find(|(_, folder)| path.starts_with(folder))?;
    Effect::parse(effect)
}

/// The step of the wall clock in seconds, by the file that `FAULT_SHIM_WALL` names.
pub fn wall_step() -> i64 {
    static FILE: OnceLock<Option<String>> = OnceLock::new();
    let file = FILE.get_or_init(|| std::env::var("FAULT_SHIM_WALL").ok());
    let text = file
        .as_ref()
        .and_then(|file| std::fs::read_to_string(file).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}
