//! What was refused: counted by reason, and one log line per source and minute.

use super::history::History;
use super::seal::FrameError;
use crate::counters::{Count, FleetCounters};
use crate::routing::types::Micros;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// One line for each source in this time.
const MINUTE: Micros = 60_000_000;
/// Sources that are kept apart. With more, the rest share one line.
const MOST_SOURCES: usize = 64;

/// The sources of the last minutes.
#[derive(Debug, Default)]
pub struct Refusals {
    sources: BTreeMap<String, Source>,
}

#[derive(Debug)]
struct Source {
    told: Micros,
    untold: u64,
}

impl Refusals {
    /// A frame from this address was refused.
    pub fn refused(
        &mut self,
        now: Micros,
        from: IpAddr,
        reason: FrameError,
        count: &FleetCounters,
        log: &History,
    ) {
        counter(count, reason).up();
        self.tell(now, from.to_string(), &reason.to_string(), log);
    }

    /// The payload of a well-sealed frame can't be read.
    pub fn payload(&mut self, now: Micros, from: &str, count: &FleetCounters, log: &History) {
        count.refused_payload.up();
        self.tell(now, from.to_owned(), "payload", log);
    }

    fn tell(&mut self, now: Micros, mut from: String, reason: &str, log: &History) {
        if !self.sources.contains_key(&from) && self.sources.len() >= MOST_SOURCES {
            self.sources
                .retain(|_, source| source.untold > 0 || now - source.told < MINUTE);
            if self.sources.len() >= MOST_SOURCES {
                "others".clone_into(&mut from);
            }
        }
        let fresh = Source {
            told: now.saturating_sub(MINUTE),
            untold: 0,
        };
        let source = self.sources.entry(from.clone()).or_insert(fresh);
        source.untold += 1;
        if now.saturating_sub(source.told) >= MINUTE {
            log.frames_refused(&from, reason, source.untold);
            (source.told, source.untold) = (now, 0);
        }
    }
}

fn counter(count: &FleetCounters, reason: FrameError) -> &Count {
    match reason {
        FrameError::Malformed => &count.refused_malformed,
        FrameError::TooLong => &count.refused_too_long,
        FrameError::Version => &count.refused_version,
        FrameError::Channel => &count.refused_channel,
        FrameError::Receiver => &count.refused_receiver,
        FrameError::OwnName => &count.refused_own_name,
        FrameError::Mac => &count.refused_mac,
        FrameError::OldIncarnation => &count.refused_old_incarnation,
        FrameError::Replay => &count.refused_replay,
        FrameError::Order => &count.refused_order,
        FrameError::OtherSender => &count.refused_other_sender,
        FrameError::TooManySenders => &count.refused_too_many_senders,
        FrameError::Rate => &count.refused_rate,
    }
}
