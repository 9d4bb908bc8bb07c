//! Whether a call beside the attempts may be made now: releases, calls of tools and their results.
//!
//! What puts such a call on a connection needs a [`CallPermit`], which only [`permit_call`] makes, and asks
//! for it when the connection is up: what was known when the call was decided may not hold any more by
//! then. When a release begins is decided here as well ([`ReleaseHistory::permit`]).

use crate::routing::types::{AttemptOutcome, ReleaseReason};

/// Permission to begin releasing all that is held for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasePermit {
    reason: ReleaseReason,
}

impl ReleasePermit {
    /// Why it is released.
    pub fn reason(self) -> ReleaseReason {
        self.reason
    }
}

/// The release under way lets go of all that there is: no other is begun beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the release under way lets go of all that there is")]
pub struct ReleaseUnderWay;

/// What matters of one request for its releases.
#[derive(Debug, Default)]
pub struct ReleaseHistory {
    /// An attempt that may have arrived has ended since the latest release was ordered: it may have left
    /// something behind, or may have kept that release from having an effect.
    is_outdated: bool,
}

impl ReleaseHistory {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.is_outdated |= outcome.may_have_arrived();
    }

    /// Whether a release may begin; `is_under_way`: the latest one goes on still.
    ///
    /// # Errors
    /// The one under way does as well.
    pub fn permit(
        &mut self,
        reason: ReleaseReason,
        is_under_way: bool,
    ) -> Result<ReleasePermit, ReleaseUnderWay> {
        let is_outdated = std::mem::take(&mut self.is_outdated);
        if is_under_way && !is_outdated {
            Err(ReleaseUnderWay)
        } else {
            Ok(ReleasePermit { reason })
        }
    }
}

/// A call beside the attempts, and what is known at the moment in which it is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// A call of a release.
    Release {
        /// The release was neither taken nor stopped: a later one could take what the next read leaves.
        is_going: bool,
    },
    /// The release of an attempt that may arrive after its end.
    LateRelease,
    /// A tool's result, for a stream.
    ToolResult {
        /// The stream goes on, and its client is there.
        is_streaming: bool,
    },
    /// A call of a tool.
    ToolCall {
        /// An earlier try of it was written.
        may_have_run: bool,
    },
}

/// Why a call is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallDenial {
    /// The release was taken by another host, or stopped.
    #[error("its release is over")]
    ReleaseOver,
    /// The stream has ended, or its client has left.
    #[error("its stream is over")]
    StreamOver,
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
        CallState::Release { is_going: false } => Err(CallDenial::ReleaseOver),
        CallState::ToolResult {
            is_streaming: false,
        } => Err(CallDenial::StreamOver),
        CallState::ToolCall { may_have_run: true } => Err(CallDenial::MayHaveRun),
        CallState::Release { is_going: true }
        | CallState::LateRelease
        | CallState::ToolResult { is_streaming: true }
        | CallState::ToolCall {
            may_have_run: false,
        } => Ok(CallPermit(())),
    }
}

#[cfg(test)]
mod tests;
