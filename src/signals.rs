//! Handling of the operators' signals: SIGTERM and SIGINT, SIGHUP, SIGUSR1.
//!
//! They are blocked in all threads, and a dedicated thread waits for them. A signal handler would have to write to a
//! pipe, and tokio's own implementation ends the process when a read from that pipe fails, even if it was only
//! interrupted.

use nix::errno::Errno;
use nix::sys::signal::{SigSet, Signal};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Notify;
use whinhaven::shutdown::StopRequest;

/// Notifications of received signals. A notification is kept until it is consumed; several of one kind count as one.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// SIGTERM and SIGINT: shut down gracefully.
    pub stop: Arc<Notify>,
    /// When the first SIGTERM or SIGINT was received.
    pub stop_request: StopRequest,
    /// SIGHUP: reload the configuration.
    pub reload: Arc<Notify>,
    /// SIGUSR1: log the counters.
    pub report_counters: Arc<Notify>,
}

impl Signals {
    /// Blocks the signals and starts the thread that waits for them, for the lifetime of the process. Must be called
    /// before a second thread is started, since threads inherit the signal mask.
    ///
    /// # Errors
    /// The system does not allow blocking the signals, or cannot start the thread.
    pub fn install() -> std::io::Result<Signals> {
        let set: SigSet = [
            Signal::SIGTERM,
            Signal::SIGINT,
            Signal::SIGHUP,
            Signal::SIGUSR1,
        ]
        .into_iter()
        .collect();
        set.thread_block()?;
        let signals = Signals::default();
        let receiver = signals.clone();
        std::thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || receiver.run(&set))?;
        Ok(signals)
    }

    fn run(&self, set: &SigSet) {
        loop {
            match set.wait() {
                Ok(Signal::SIGHUP) => self.reload.notify_one(),
                Ok(Signal::SIGUSR1) => self.report_counters.notify_one(),
                Ok(_) => {
                    self.stop_request.record(Instant::now());
                    self.stop.notify_one();
                }
                Err(Errno::EINTR) => {}
                Err(error) => {
                    return log::error!(
                        "signal thread: waiting failed: {error}; signals are ignored from now on"
                    );
                }
            }
        }
    }
}
