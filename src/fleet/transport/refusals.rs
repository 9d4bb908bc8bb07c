//! Refused frames: counts them by reason, and writes at most one log line per source and minute.

use super::history::History;
use super::seal::FrameError;
use crate::counters::{Count, FleetCounters};
use crate::routing::types::Micros;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Interval of the log lines of one source.
const REPORT_INTERVAL: Micros = 60_000_000;
/// Maximum number of sources with log lines of their own. Further sources share the line of `others`.
const MAX_SOURCES: usize = 64;

/// Sources of frames that were refused in the last minutes.
#[derive(Debug, Default)]
pub struct Refusals {
    sources: BTreeMap<String, Source>,
}

#[derive(Debug)]
struct Source {
    reported_at: Micros,
    unreported: u64,
}

impl Refusals {
    /// Counts a frame from an address that was refused, and reports it if a log line is due.
    pub fn frame_refused(
        &mut self,
        now: Micros,
        from: IpAddr,
        reason: FrameError,
        counters: &FleetCounters,
        history: &History,
    ) {
        counter(counters, reason).up();
        self.report(now, from.to_string(), &reason.to_string(), history);
    }

    /// Counts a valid frame of a member whose payload can't be decoded, and reports it if a log line is due.
    pub fn payload_unreadable(
        &mut self,
        now: Micros,
        from: &str,
        counters: &FleetCounters,
        history: &History,
    ) {
        counters.refused_payload.up();
        self.report(now, from.to_owned(), "payload", history);
    }

    fn report(&mut self, now: Micros, mut from: String, reason: &str, history: &History) {
        if !self.sources.contains_key(&from) && self.sources.len() >= MAX_SOURCES {
            self.sources.retain(|_, source| {
                source.unreported > 0 || now - source.reported_at < REPORT_INTERVAL
            });
            if self.sources.len() >= MAX_SOURCES {
                "others".clone_into(&mut from);
            }
        }
        let new_source = Source {
            reported_at: now.saturating_sub(REPORT_INTERVAL),
            unreported: 0,
        };
        let source = self.sources.entry(from.clone()).or_insert(new_source);
        source.unreported += 1;
        if now.saturating_sub(source.reported_at) >= REPORT_INTERVAL {
            history.frames_refused(&from, reason, source.unreported);
            (source.reported_at, source.unreported) = (now, 0);
        }
    }
}

fn counter(counters: &FleetCounters, reason: FrameError) -> &Count {
    match reason {
        FrameError::Malformed => &counters.refused_malformed,
        FrameError::TooLong => &counters.refused_too_long,
        FrameError::Version => &counters.refused_version,
        FrameError::Channel => &counters.refused_channel,
        FrameError::Receiver => &counters.refused_receiver,
        FrameError::OwnName => &counters.refused_own_name,
        FrameError::Mac => &counters.refused_mac,
        FrameError::OldIncarnation => &counters.refused_old_incarnation,
        FrameError::Replay => &counters.refused_replay,
        FrameError::Order => &counters.refused_order,
        FrameError::OtherSender => &counters.refused_other_sender,
        FrameError::TooManySenders => &counters.refused_too_many_senders,
        FrameError::Rate => &counters.refused_rate,
    }
}
