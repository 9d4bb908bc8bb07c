//! How late this machine lets a thread run: what times of other processes can be held against.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::history::unix_micros;

/// Between two looks.
const EVERY: Duration = Duration::from_millis(5);
/// Less than this is how any machine runs.
const USUAL: Duration = Duration::from_millis(10);

/// A moment at which a thread ran late.
#[derive(Clone, Copy, Debug)]
pub struct Late {
    /// When it ran, in microseconds since 1970.
    pub at_us: u64,
    /// How late that was, in microseconds.
    pub by_us: u64,
}

/// A thread that measures how late it runs.
pub struct Lateness {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Late>>,
}

impl Lateness {
    /// Begins to measure.
    pub fn start() -> Lateness {
        let stop = Arc::new(AtomicBool::new(false));
        let is_over = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut all = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let due = Instant::now() + EVERY;
                std::thread::sleep(EVERY);
                let by = due.elapsed();
                if by > USUAL {
                    all.push(Late {
                        at_us: unix_micros(),
                        by_us: by.as_micros() as u64,
                    });
                }
            }
            all
        });
        Lateness { stop, thread }
    }

    /// What was measured.
    ///
    /// # Panics
    /// The measuring thread has panicked.
    pub fn stop(self) -> Vec<Late> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("it only sleeps")
    }
}

/// The lateness between two moments, all of it together, in microseconds.
pub fn between(all: &[Late], from_us: u64, to_us: u64) -> u64 {
    all.iter()
        .filter(|late| late.at_us >= from_us && late.at_us <= to_us + late.by_us)
        .map(|late| late.by_us)
        .sum()
}
