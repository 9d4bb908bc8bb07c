//! A holder's record of one lease.

use crate::fleet::Token;
use crate::fleet::lease::config::RenewalPath;
use crate::fleet::lease::view::LeaseStatus;
use crate::routing::types::Micros;
use std::collections::VecDeque;

/// Maximum number of requests of one lease whose sending time is remembered while their answers are missing.
const MAX_SENT_REQUESTS: usize = 4;

/// A request, and when it was first sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    sequence: u64,
    sent_at: Micros,
}

/// A grant to this member, as the log shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldGrant {
    pub(super) token: Token,
    /// When the request that it is based on was sent; `None` if that isn't known: then it isn't valid.
    pub(super) based_on: Option<Micros>,
}

impl HeldGrant {
    /// Token and sending time, if the grant is valid or was once.
    pub(super) fn with_base(self) -> Option<(Token, Micros)> {
        Some((self.token, self.based_on?))
    }
}

/// What a member wants, has requested, and holds of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HolderLease {
    pub(super) is_wanted: bool,
    /// The request whose answer is awaited.
    pub(super) pending_request: Option<u64>,
    /// The latest requests, oldest first.
    sent: VecDeque<SentRequest>,
    pub(super) held: Option<HeldGrant>,
    /// The grant that this member asked to release: it is never valid again, whatever comes of that request.
    pub(super) released: Option<Token>,
    /// No new request is sent before this time.
    pub(super) backoff_until: Micros,
    /// When the next request is due, if there is one.
    pub(super) next_request_at: Option<Micros>,
    /// Consecutive rejections.
    pub(super) rejections: u32,
    /// Renewals sent to the leader since the last one that it answered.
    pub(super) unanswered_renewals: u32,
    /// The status as last reported.
    pub(super) status: LeaseStatus,
    /// Until when the lease was valid as last reported; 0 if it was not.
    pub(super) reported_until: Micros,
}

impl HolderLease {
    pub(super) fn new() -> Self {
        HolderLease {
            is_wanted: true,
            pending_request: None,
            sent: VecDeque::new(),
            held: None,
            released: None,
            backoff_until: 0,
            next_request_at: None,
            rejections: 0,
            unanswered_renewals: 0,
            status: LeaseStatus::NotHeld,
            reported_until: 0,
        }
    }

    /// Marks the lease as not wanted; the grant isn't valid from now on.
    pub(super) fn release(&mut self) {
        self.is_wanted = false;
        self.released = self.token();
    }

    pub(super) fn token(&self) -> Option<Token> {
        self.held.map(|held| held.token)
    }

    pub(super) fn is_idle(&self) -> bool {
        !self.is_wanted && self.held.is_none() && self.pending_request.is_none()
    }

    /// Whether the next renewal is a message to the leader: only for a lease that is valid by the log already.
    pub(super) fn renews_at_leader(&self, path: RenewalPath) -> bool {
        path == RenewalPath::Leader && self.held.and_then(HeldGrant::with_base).is_some()
    }

    pub(super) fn record_sent(&mut self, sequence: u64, now: Micros) {
        self.pending_request = Some(sequence);
        self.sent.push_back(SentRequest {
            sequence,
            sent_at: now,
        });
        while self.sent.len() > MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
    }

    /// When this request was first sent, if that is still known.
    pub(super) fn sent_at(&self, sequence: u64) -> Option<Micros> {
        let request = self
            .sent
            .iter()
            .find(|request| request.sequence == sequence)?;
        Some(request.sent_at)
    }

    /// When the pending request was sent.
    pub(super) fn pending_sent_at(&self) -> Option<Micros> {
        self.pending_request?;
        self.sent.back().map(|request| request.sent_at)
    }

    pub(super) fn forget_sent_before(&mut self, sequence: u64) {
        self.sent.retain(|request| request.sequence >= sequence);
    }
}
