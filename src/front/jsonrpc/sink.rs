//! Where an answer goes: to the client line by line, or into one element of a batch's response.

use super::relay::RelayError;
use crate::exchange::Frame;
use std::time::Duration;
use tokio::sync::mpsc;

/// The number of lines that may be queued for a slow client.
pub(super) const MAX_QUEUED_LINES: usize = 16;

/// A client that reads nothing for this long is treated as disconnected.
pub(super) const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The destination of an answer: lines that are sent to the client as they arrive, or (in a batch) one collected text.
pub(super) enum Sink {
    Lines(mpsc::Sender<Frame>),
    Text(String),
}

impl Sink {
    pub(super) async fn send_line(&mut self, mut line: Vec<u8>) -> Result<(), RelayError> {
        let Sink::Lines(lines) = self else {
            return Ok(());
        };
        line.push(b'\n');
        let send = lines.send(Frame::Data(line.into()));
        match tokio::time::timeout(CLIENT_STALL_TIMEOUT, send).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(RelayError::ClientGone),
        }
    }

    /// Resolves when the client has disconnected.
    pub(super) fn closed(&self) -> impl Future<Output = ()> + use<> {
        let lines = if let Sink::Lines(lines) = self {
            Some(lines.clone())
        } else {
            None
        };
        async move {
            match lines {
                Some(lines) => lines.closed().await,
                None => std::future::pending().await,
            }
        }
    }
}
