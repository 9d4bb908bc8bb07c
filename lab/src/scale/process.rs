//! What the system says of a process: its processor time and its memory.

use std::io;
use std::time::Duration;

/// Processor time of this process's main thread.
///
/// # Errors
/// The system does not tell.
pub fn processor_time() -> io::Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/schedstat")?;
    let nanoseconds = text
        .split_whitespace()
        .next()
        .and_then(|field| field.parse().ok());
    nanoseconds
        .map(Duration::from_nanos)
        .ok_or(io::ErrorKind::InvalidData.into())
}

/// Resident memory of this process.
///
/// # Errors
/// The system does not tell.
pub fn resident_bytes() -> io::Result<u64> {
    resident_bytes_of("self")
}

/// Processor time of another process, all of its threads, by the system's hundredths of a second.
///
/// # Errors
/// The system does not tell.
pub fn processor_time_of(id: u32) -> io::Result<Duration> {
    const TICK: Duration = Duration::from_millis(10);
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name, in parentheses, may have blanks; user and system time are the 12th and 13th field after it.
    let fields = text
        .rsplit_once(')')
        .map(|(_, rest)| rest)
        .unwrap_or_default();
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok());
    let ticks: Vec<u32> = ticks.collect();
    match ticks[..] {
        [user, system] => Ok(TICK * (user + system)),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Resident memory of a process by its number, or `self`.
///
/// # Errors
/// The system does not tell.
pub fn resident_bytes_of(id: &str) -> io::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kb| kb.parse::<u64>().ok());
    kilobytes
        .map(|kb| kb * 1024)
        .ok_or(io::ErrorKind::InvalidData.into())
}
