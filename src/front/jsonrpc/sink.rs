//! Where an answer goes: to the client line by line, or into one element of a batch's response.

use super::relay::RelayError;
use crate::exchange::{Frame, FrameSender};
use crate::memory::{Budget, BudgetExhausted, Buffer};
use std::time::Duration;

/// A client that reads nothing for this long is treated as disconnected.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum text of one answer in a batch, which is collected before it is sent.
const MAX_BATCH_TEXT_BYTES: usize = 256 * 1024;

/// The expected length of a token's text.
const BYTES_PER_TOKEN: u64 = 4;

/// The expected length of an answer whose maximum the client did not state.
const UNSTATED_ANSWER_TOKENS: u64 = 4096;

/// The destination of an answer: lines that are sent to the client as they arrive, or (in a batch) one collected text.
pub(super) enum Sink {
    Lines(FrameSender),
    Text(Buffer),
}

/// Why an answer in a batch cannot be collected any further.
#[derive(Debug, thiserror::Error)]
pub(super) enum CollectError {
    #[error("an answer in a batch exceeds {MAX_BATCH_TEXT_BYTES} bytes")]
    TooLong,
    #[error(transparent)]
    Memory(#[from] BudgetExhausted),
}

impl Sink {
    /// Creates the destination of an answer in a batch, with a reservation for a text of up to `max_tokens` tokens (0:
    /// unknown), so that an answer that has begun seldom lacks memory.
    pub(super) fn collecting(max_tokens: u64, budget: &Budget) -> Result<Self, BudgetExhausted> {
        let tokens = if max_tokens == 0 {
            UNSTATED_ANSWER_TOKENS
        } else {
            max_tokens
        };
        let bytes = tokens
            .saturating_mul(BYTES_PER_TOKEN)
            .min(MAX_BATCH_TEXT_BYTES as u64);
        Buffer::with_reservation(bytes as usize, budget).map(Sink::Text)
    }

    /// Adds to the collected text, if there is one.
    pub(super) fn collect(&mut self, text: &str) -> Result<(), CollectError> {
        let Sink::Text(collected) = self else {
            return Ok(());
        };
        if collected.len() + text.len() > MAX_BATCH_TEXT_BYTES {
            return Err(CollectError::TooLong);
        }
        collected.extend_in_progress(text.as_bytes(), MAX_BATCH_TEXT_BYTES)?;
        Ok(())
    }

    /// The collected text.
    pub(super) fn text(&self) -> Option<&str> {
        match self {
            Sink::Lines(_) => None,
            // Valid UTF-8, because only whole texts are added.
            Sink::Text(collected) => std::str::from_utf8(collected.as_ref()).ok(),
        }
    }

    /// Sends a line, which counts against `budget` until it is written to the client.
    pub(super) async fn send_line(
        &mut self,
        mut line: Vec<u8>,
        budget: &Budget,
    ) -> Result<(), RelayError> {
        let Sink::Lines(lines) = self else {
            return Ok(());
        };
        line.push(b'\n');
        let line = Buffer::overdrawn(line, budget).freeze();
        let send = lines.send(Frame::Data(line));
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
