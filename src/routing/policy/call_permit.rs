//! Permits for calls beside the attempts: releases of KV state, tool calls and their results.
//!
//! Writing such a call to a connection needs a [`CallPermit`], which only [`permit_call`] makes, once the
//! connection is up: what held when the call was decided may no longer hold by then. Whether a release may
//! begin is decided here as well ([`ReleaseHistory::permit`]).

use crate::routing::types::{AttemptOutcome, ReleaseReason};

/// Permission to begin the release of all KV state held for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasePermit {
    reason: ReleaseReason,
}

impl ReleasePermit {
    /// The reason of the release.
    pub fn reason(self) -> ReleaseReason {
        self.reason
    }
}

/// The release in progress covers all KV state of the request; no other may begin beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the release under way lets go of all that there is")]
pub struct ReleaseInProgress;

/// What matters for the releases of one request.
#[derive(Debug, Default)]
pub struct ReleaseHistory {
    /// An attempt that may have arrived has ended since the latest release was ordered: it may have left KV
    /// state, or may have kept that release from taking effect.
    is_outdated: bool,
}

impl ReleaseHistory {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.is_outdated |= outcome.may_have_arrived();
    }

    /// Whether a release may begin; `is_under_way`: the latest one is still in progress.
    ///
    /// # Errors
    /// The one in progress suffices.
    pub fn permit(
        &mut self,
        reason: ReleaseReason,
        is_under_way: bool,
    ) -> Result<ReleasePermit, ReleaseInProgress> {
        let is_outdated = std::mem::take(&mut self.is_outdated);
        if is_under_way && !is_outdated {
            Err(ReleaseInProgress)
        } else {
            Ok(ReleasePermit { reason })
        }
    }
}

/// A call beside the attempts, and what is known when it is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// A call that is part of a release.
    Release {
        /// The release was neither taken nor stopped. After that, a call could release what the next
        /// prefill leaves.
        is_active: bool,
    },
    /// The release of an attempt that may arrive after its end.
    LateRelease,
    /// The result of a tool call, for a stream.
    ToolResult {
        /// The stream goes on, and its client is connected.
        is_streaming: bool,
    },
    /// A tool call.
    ToolCall {
        /// An earlier attempt was written.
        may_have_run: bool,
    },
}

/// Why a call is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallDenial {
    /// Another worker has taken the release, or it was stopped.
    #[error("its release is over")]
    ReleaseEnded,
    /// The stream has ended, or its client has disconnected.
    #[error("its stream is over")]
    StreamEnded,
    /// The tool may have run.
    #[error("it may have run")]
    MayHaveRun,
}

/// Permission to write one call.
#[derive(Debug)]
pub struct CallPermit(());

/// Whether a call may be written now.
///
/// # Errors
/// Why it may not.
pub fn permit_call(state: CallState) -> Result<CallPermit, CallDenial> {
    match state {
        CallState::Release { is_active: false } => Err(CallDenial::ReleaseEnded),
        CallState::ToolResult {
            is_streaming: false,
        } => Err(CallDenial::StreamEnded),
        CallState::ToolCall { may_have_run: true } => Err(CallDenial::MayHaveRun),
        CallState::Release { is_active: true }
        | CallState::LateRelease
        | CallState::ToolResult { is_streaming: true }
        | CallState::ToolCall {
            may_have_run: false,
        } => Ok(CallPermit(())),
    }
}

#[cfg(test)]
mod tests;
