//! Permits for calls other than attempts: releases of KV state, tool calls and their results.
//!
//! Writing such a call to a connection requires a [`CallPermit`]. Only [`permit_call`] creates one, after the
//! connection has been established, since the conditions may have changed since the call was decided. This
//! module also decides whether a release may start ([`ReleaseHistory::permit`]).

use crate::routing::types::{AttemptOutcome, ReleaseReason};

/// Permission to start a release of all KV state held for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasePermit {
    reason: ReleaseReason,
}

impl ReleasePermit {
    /// Why the KV state is released.
    pub fn reason(self) -> ReleaseReason {
        self.reason
    }
}

/// Error: no release may start, because the one in progress covers all KV state of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a release that covers all KV state of the request is already in progress")]
pub struct ReleaseInProgress;

/// Decides when another release may start for one request.
#[derive(Debug, Default)]
pub struct ReleaseHistory {
    /// An attempt that may have arrived has ended since the latest release started. It may have left KV state
    /// behind, or may have prevented that release from taking effect.
    is_outdated: bool,
}

impl ReleaseHistory {
    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.is_outdated |= outcome.may_have_arrived();
    }

    /// Decides whether a release may start. `is_in_progress` states whether the latest release is still in
    /// progress.
    ///
    /// # Errors
    /// Returns an error if the release in progress covers all KV state of the request.
    pub fn permit(
        &mut self,
        reason: ReleaseReason,
        is_in_progress: bool,
    ) -> Result<ReleasePermit, ReleaseInProgress> {
        let is_outdated = std::mem::take(&mut self.is_outdated);
        if is_in_progress && !is_outdated {
            Err(ReleaseInProgress)
        } else {
            Ok(ReleasePermit { reason })
        }
    }
}

/// Kind of a call, and what is known when it is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// A release of KV state.
    Release {
        /// Whether the release has been neither accepted by a worker nor stopped. After that, the call could
        /// release KV state of the next prefill.
        is_active: bool,
    },
    /// The release of an attempt that may arrive at its worker after the router has ended it.
    LateRelease,
    /// The result of a tool call, sent to the worker that streams the response.
    ToolResult {
        /// Whether the stream is still running and its client is connected.
        is_streaming: bool,
    },
    /// A call of a tool.
    ToolCall {
        /// Whether the call was already written before.
        may_have_run: bool,
        /// Whether the stream that makes the call is still running and its client is connected.
        is_wanted: bool,
    },
}

/// Why a call is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallDenial {
    /// A worker has accepted the release, or the release was stopped.
    #[error("the release has already been accepted or stopped")]
    ReleaseEnded,
    /// The stream has ended, or its client has disconnected.
    #[error("the stream has ended or its client has disconnected")]
    StreamEnded,
    /// The tool may have run already.
    #[error("the tool may have run already")]
    MayHaveRun,
}

/// Permission to write one call to a connection.
#[derive(Debug)]
pub struct CallPermit(());

/// Decides whether a call may be written now.
///
/// # Errors
/// Returns the reason if the call may not be written.
pub fn permit_call(state: CallState) -> Result<CallPermit, CallDenial> {
    match state {
        CallState::Release { is_active: false } => Err(CallDenial::ReleaseEnded),
        CallState::ToolResult {
            is_streaming: false,
        } => Err(CallDenial::StreamEnded),
        CallState::ToolCall {
            may_have_run: true, ..
        } => Err(CallDenial::MayHaveRun),
        CallState::ToolCall {
            is_wanted: false, ..
        } => Err(CallDenial::StreamEnded),
        CallState::Release { is_active: true }
        | CallState::LateRelease
        | CallState::ToolResult { is_streaming: true }
        | CallState::ToolCall {
            may_have_run: false,
            is_wanted: true,
        } => Ok(CallPermit(())),
    }
}

#[cfg(test)]
mod tests;
