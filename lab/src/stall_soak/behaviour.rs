//! What a decode worker of the stall soak does with one request.

use rand::Rng;

/// Blocks that are no events, and data that is none after the last event.
const TRICKLES: [&str; 7] = [
    ": ping\n\n",
    "\n",
    "id: 7\n\n",
    "event: ping\n\n",
    "data:\n\n",
    ": half",
    "data: x",
];

/// Stated sizes of chunks that are never whole, on both sides of the longest sound one.
const SPOILT_SIZES: [u64; 8] = [
    3_000_000_000,
    1 << 60,
    100_000_000,
    1_000_000,
    MAX_SOUND_BYTES + 1,
    MAX_SOUND_BYTES,
    60_000,
    4_000,
];

/// The longest body that the protocol allows.
pub const MAX_SOUND_BYTES: u64 = 256 * 1024;

/// How a sound stream is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoundFraming {
    /// Interim heads ahead of it, and a load report that can't be read.
    Interim,
    /// A second answer right behind it.
    SecondAnswer,
    /// All events in one chunk.
    OneChunk { events: usize },
    /// A chunk for each byte.
    ByteChunks,
    /// Sizes with zeros in front, and extensions.
    Extensions,
    /// A trailer.
    Trailer,
    /// A stated length in place of chunks.
    Sized,
    /// A chunk with one event of `bytes` bytes that is written within `span_ms`.
    SlowChunk { bytes: usize, span_ms: u64 },
}

/// What comes in place of a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// Bytes that are no HTTP.
    Noise,
    /// A status that is none.
    Unreadable,
    /// A head without an end.
    Endless,
}

/// How fast a host writes inside a frame that is never whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// An event now and then.
    Usual,
    /// An event and a comment now and then.
    WithComments,
    /// As fast as the router reads.
    Full,
}

/// A part of the framing that is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpoiltFrame {
    /// A chunk that is never whole, with sound events inside. `suffix` follows the size.
    Chunk {
        size: u64,
        zeros: usize,
        suffix: &'static str,
        pace: Pace,
    },
    /// A body of a stated length that is never whole, from the head on.
    Sized { length: u64 },
    /// A size that is none.
    UnreadableSize,
    /// A chunk that is longer than its size.
    SizeTooSmall,
    /// A chunk that is shorter than its size, and swallows the next one.
    SizeTooLarge,
    /// A size line without an end: `begin`, and `piece` again and again.
    SizeLine {
        begin: &'static str,
        piece: &'static str,
        pace: Pace,
    },
    /// A trailer without an end.
    Trailer { pace: Pace },
}

impl SpoiltFrame {
    /// Whether a single byte of it shows that it is spoilt, whatever follows.
    pub fn is_evident(self) -> bool {
        match self {
            SpoiltFrame::Chunk { size, .. } => size > MAX_SOUND_BYTES,
            SpoiltFrame::Sized { .. } | SpoiltFrame::UnreadableSize | SpoiltFrame::SizeTooSmall => {
                true
            }
            SpoiltFrame::SizeTooLarge
            | SpoiltFrame::SizeLine { .. }
            | SpoiltFrame::Trailer { .. } => false,
        }
    }
}

/// What a decode worker does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Streams events with this pause between them, and comments in the pauses if `comments`.
    Stream {
        events: u32,
        pause_ms: u64,
        comments: bool,
    },
    /// Writes one event of `bytes` within `span_ms`, in a chunk for each piece.
    SlowEvent { bytes: usize, span_ms: u64 },
    /// Streams soundly, with unusual framing.
    Unusual(SoundFraming),
    /// Calls a tool in the middle of its stream, on the JSON-RPC front; if `is_spoilt`, in a chunk that is never whole.
    ToolCall { is_spoilt: bool },
    /// Streams some events, then sends `piece` again and again.
    Trickle { events: u32, piece: &'static str },
    /// Streams some events and falls silent, in the middle of an event or chunk if there is a beginning.
    Silent {
        events: u32,
        beginning: &'static str,
    },
    /// Sends something else in place of a head, and stays.
    SpoiltOpening(Opening),
    /// Streams some events and goes on with spoilt framing.
    Spoilt { events: u32, frame: SpoiltFrame },
    /// Streams some events and breaks its connection, by a reset if `is_reset`.
    BreakOff { events: u32, is_reset: bool },
    /// Refuses: the request has not run.
    NotRun,
    /// Fails: it may have run.
    Fail,
}

fn pick<T: Copy>(random: &mut impl Rng, from: &[T]) -> T {
    from[random.random_range(0..from.len())]
}

impl Behaviour {
    /// Draws what happens to one request.
    pub fn draw(random: &mut impl Rng, spoilt_percent: u32) -> Behaviour {
        if random.random_range(0..100) < spoilt_percent {
            Behaviour::draw_spoilt(random)
        } else {
            Behaviour::draw_sound(random)
        }
    }

    fn draw_sound(random: &mut impl Rng) -> Behaviour {
        match random.random_range(0..16) {
            0..6 => Behaviour::Stream {
                events: 6,
                pause_ms: 30,
                comments: false,
            },
            6..8 => Behaviour::Stream {
                events: 3,
                pause_ms: random.random_range(500..3_800),
                comments: random.random(),
            },
            8 => Behaviour::SlowEvent {
                bytes: random.random_range(6_000..40_000),
                span_ms: random.random_range(2_000..8_000),
            },
            9 => Behaviour::ToolCall { is_spoilt: false },
            10 => Behaviour::NotRun,
            _ => Behaviour::Unusual(draw_framing(random)),
        }
    }

    fn draw_spoilt(random: &mut impl Rng) -> Behaviour {
        let events = random.random_range(0..4);
        match random.random_range(0..16) {
            0..3 => Behaviour::Trickle {
                events,
                piece: pick(random, &TRICKLES),
            },
            3 => Behaviour::Silent {
                events,
                beginning: pick(random, &["", "data: {\"cho", ": half"]),
            },
            4 => Behaviour::BreakOff {
                events,
                is_reset: random.random(),
            },
            5 => Behaviour::Fail,
            6 => Behaviour::SpoiltOpening(pick(
                random,
                &[Opening::Noise, Opening::Unreadable, Opening::Endless],
            )),
            7 => Behaviour::ToolCall { is_spoilt: true },
            _ => Behaviour::Spoilt {
                events,
                frame: draw_spoilt_frame(random),
            },
        }
    }

    /// Whether its stream is sound and becomes whole.
    pub fn is_sound(self) -> bool {
        matches!(
            self,
            Behaviour::Stream { .. }
                | Behaviour::SlowEvent { .. }
                | Behaviour::Unusual(_)
                | Behaviour::ToolCall { is_spoilt: false }
        )
    }

    /// Whether it writes an event slowly, so that its client waits for longer than for a silent host.
    pub fn is_slow_writer(self) -> bool {
        matches!(
            self,
            Behaviour::SlowEvent { .. } | Behaviour::Unusual(SoundFraming::SlowChunk { .. })
        )
    }

    /// Whether its framing shows a fault by itself, which the router counts.
    pub fn has_framing_fault(self) -> bool {
        matches!(self, Behaviour::Spoilt { frame, .. } if frame.is_evident())
    }

    /// Whether nothing of what it writes in a spoilt frame may reach a client: the frame is the first one, or shows by its first
    /// line that it is spoilt.
    pub fn hides_spoilt_events(self) -> bool {
        matches!(self, Behaviour::Spoilt { events, frame } if events == 0 || frame.is_evident())
    }
}

fn draw_framing(random: &mut impl Rng) -> SoundFraming {
    match random.random_range(0..8) {
        0 => SoundFraming::Interim,
        1 => SoundFraming::SecondAnswer,
        2 => SoundFraming::OneChunk {
            events: pick(random, &[2, 40, 1_200, 2_500]),
        },
        3 => SoundFraming::ByteChunks,
        4 => SoundFraming::Extensions,
        5 => SoundFraming::Trailer,
        6 => SoundFraming::Sized,
        _ => SoundFraming::SlowChunk {
            bytes: pick(random, &[100, 500, 6_000]),
            span_ms: random.random_range(2_000..8_000),
        },
    }
}

fn draw_spoilt_frame(random: &mut impl Rng) -> SpoiltFrame {
    let pace = pick(random, &[Pace::Usual, Pace::WithComments, Pace::Full]);
    match random.random_range(0..12) {
        0..5 => SpoiltFrame::Chunk {
            size: pick(random, &SPOILT_SIZES),
            zeros: random.random_range(0..3),
            suffix: pick(random, &["", ";a=b", " "]),
            pace,
        },
        5 => SpoiltFrame::Sized {
            length: pick(random, &[3_000_000_000, MAX_SOUND_BYTES + 1]),
        },
        6 => SpoiltFrame::UnreadableSize,
        7 => SpoiltFrame::SizeTooSmall,
        8 => SpoiltFrame::SizeTooLarge,
        9 | 10 => {
            let (begin, piece) = pick(random, &[("0", "0"), ("5", " "), ("5;a=", "b")]);
            SpoiltFrame::SizeLine { begin, piece, pace }
        }
        _ => SpoiltFrame::Trailer { pace },
    }
}
