//! The signals that operators send: SIGTERM and SIGINT, SIGHUP, SIGUSR1.
//!
//! They are blocked in all threads, and a thread of their own waits for them. A handler would have to write to a pipe, and
//! the runtime's own ends the process when a read of that pipe fails, if only since it was interrupted.

use nix::errno::Errno;
use nix::sys::signal::{SigSet, Signal};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Notify;
use whinhaven::shutdown::StopRequest;

/// Signals, each remembered until it is seen; several of a kind count as one.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// SIGTERM and SIGINT: end in order.
    pub stop: Arc<Notify>,
    /// When the first of these came.
    pub stop_request: StopRequest,
    /// SIGHUP: read the configuration again.
    pub reload: Arc<Notify>,
    /// SIGUSR1: log the counters.
    pub report: Arc<Notify>,
}

impl Signals {
    /// Takes the signals over from the system, for the process's whole life. To be called before there is a second thread,
    /// since threads inherit what is blocked.
    ///
    /// # Errors
    /// The system refuses, or has no thread for it.
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
                Ok(Signal::SIGUSR1) => self.report.notify_one(),
                Ok(_) => {
                    self.stop_request.record(Instant::now());
                    self.stop.notify_one();
                }
                Err(Errno::EINTR) => {}
                Err(error) => return log::error!("signals are not followed any more: {error}"),
            }
        }
    }
}
