//! How a decode worker of the stall soak answers: soundly, slowly, or with spoilt framing.

use super::behaviour::{Behaviour, Opening, Pace, SoundFraming, SpoiltFrame};
use super::hosts::HostEnd;
use crate::peer::Conn;
use socket2::SockRef;
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Between two pieces of a trickle, and two events at the usual pace.
const PERIOD: Duration = Duration::from_millis(250);
/// Between two events of the beginning of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Between two pieces of an event that is written slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// A host that trickles or is silent waits this long for the router to close.
const PATIENCE: Duration = Duration::from_secs(30);
/// What a host writes at once at full speed.
const LUMP_BYTES: usize = 4 * 1024;
/// How long a host waits for a tool's result.
const TOOL_PATIENCE: Duration = Duration::from_secs(10);

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
const DONE: &str = "data: [DONE]\n\n";
const TOOL_CALL: &str =
    "data: {\"jsonrpc\":\"2.0\",\"id\":\"w-1\",\"method\":\"annex.fetch\",\"params\":{}}\n\n";

/// Tool results that reached the hosts, by request id.
#[derive(Default)]
pub struct ToolResults {
    ids: Mutex<HashSet<String>>,
    arrived: Condvar,
}

impl ToolResults {
    /// The result for a request has come.
    pub fn put(&self, id: &str) {
        let mut ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        ids.insert(id.to_owned());
        self.arrived.notify_all();
    }

    fn wait_for(&self, id: &str) {
        let ids = self.ids.lock().unwrap_or_else(PoisonError::into_inner);
        let is_missing = |ids: &mut HashSet<String>| !ids.contains(id);
        drop(
            self.arrived
                .wait_timeout_while(ids, TOOL_PATIENCE, is_missing),
        );
    }
}

/// One answer of a decode worker.
pub struct Answer<'a> {
    /// The connection that the request came on.
    pub conn: &'a mut Conn,
    /// The client's mark of the request.
    pub mark: &'a str,
    /// The request's id.
    pub id: &'a str,
    /// Tool results that came on other connections.
    pub tool_results: &'a ToolResults,
    /// Called right before the first spoilt byte is written.
    pub on_spoilt: &'a dyn Fn(),
}

type Played = Result<(), HostEnd>;

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn ended_if(is_closed: bool) -> Played {
    if is_closed {
        Err(HostEnd::Closed)
    } else {
        Ok(())
    }
}

impl Answer<'_> {
    /// Answers; how it ended.
    pub fn play(&mut self, behaviour: Behaviour) -> HostEnd {
        let _ = self.conn.0.set_write_timeout(Some(PATIENCE));
        self.try_play(behaviour)
            .map_or_else(|end| end, |()| HostEnd::Done)
    }

    fn try_play(&mut self, behaviour: Behaviour) -> Played {
        match behaviour {
            Behaviour::Stream {
                events,
                pause_ms,
                comments,
            } => self.stream(events, pause_ms, comments),
            Behaviour::SlowEvent { bytes, span_ms } => self.slow_event(bytes, span_ms),
            Behaviour::Unusual(framing) => self.unusual(framing),
            Behaviour::ToolCall { is_spoilt } => self.tool_call(is_spoilt),
            Behaviour::Trickle { events, piece } => {
                self.begin(events)?;
                let until = Instant::now() + PATIENCE;
                while Instant::now() < until {
                    self.conn.chunk(piece);
                    self.pause(PERIOD)?;
                }
                Ok(())
            }
            Behaviour::Silent { events, beginning } => {
                self.begin(events)?;
                if !beginning.is_empty() {
                    self.conn.chunk(beginning);
                }
                self.pause(PATIENCE)
            }
            Behaviour::SpoiltOpening(opening) => self.spoilt_opening(opening),
            Behaviour::Spoilt { events, frame } => self.spoilt(events, frame),
            Behaviour::BreakOff { events, is_reset } => {
                self.begin(events)?;
                if is_reset {
                    let _ = SockRef::from(&self.conn.0).set_linger(Some(Duration::ZERO));
                }
                Ok(())
            }
            Behaviour::NotRun => {
                let headers = "x-not-run: 1\r\n";
                self.conn.answer("503 Service Unavailable", headers, "");
                Ok(())
            }
            Behaviour::Fail => {
                self.conn.answer("500 Internal Server Error", "", "");
                Ok(())
            }
        }
    }

    fn pause(&mut self, period: Duration) -> Played {
        ended_if(self.conn.closes_within(period))
    }

    fn write(&mut self, bytes: &str) -> Played {
        ended_if(self.conn.0.write_all(bytes.as_bytes()).is_err())
    }

    /// An event with the request's mark, and `more` behind the mark.
    fn event(&self, more: &str) -> String {
        format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"[{}]{more}\"}},\"finish_reason\":null}}]}}\n\n",
            self.mark
        )
    }

    /// Begins a stream with some events, each in a chunk.
    fn begin(&mut self, events: u32) -> Played {
        self.conn.begin_stream();
        let event = chunk(&self.event(""));
        (0..events).try_for_each(|_| {
            self.write(&event)?;
            self.pause(EVENT_PAUSE)
        })
    }

    fn stream(&mut self, events: u32, pause_ms: u64, comments: bool) -> Played {
        let event = chunk(&self.event(""));
        self.conn.begin_stream();
        for _ in 0..events {
            self.write(&event)?;
            let pauses = if comments { 2 } else { 1 };
            for number in 0..pauses {
                if number > 0 {
                    self.conn.chunk(": working\n\n");
                }
                self.pause(Duration::from_millis(pause_ms / pauses))?;
            }
        }
        self.conn.end_stream();
        Ok(())
    }

    fn slow_event(&mut self, bytes: usize, span_ms: u64) -> Played {
        self.begin(1)?;
        let pieces = (span_ms as usize / PIECE_PAUSE.as_millis() as usize).max(1);
        self.conn.chunk(&format!(
            r#"data: {{"choices":[{{"index":0,"delta":{{"content":"[{}]"#,
            self.mark
        ));
        for _ in 0..pieces {
            self.conn.chunk(&"x".repeat(bytes / pieces));
            self.pause(PIECE_PAUSE)?;
        }
        self.conn.chunk("\"},\"finish_reason\":null}]}\n\n");
        self.conn.end_stream();
        Ok(())
    }

    fn unusual(&mut self, framing: SoundFraming) -> Played {
        let event = self.event("");
        let end = chunk(DONE) + "0\r\n\r\n";
        let begin = format!("{HEAD}{CHUNKED}");
        match framing {
            SoundFraming::Interim => {
                let interim = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
                self.write(interim)?;
                self.pause(EVENT_PAUSE)?;
                let head = format!("{interim}{HEAD}x-load: \u{1}none\r\n{CHUNKED}");
                self.write(&(head + &chunk(&event) + &end))
            }
            SoundFraming::SecondAnswer => {
                let second = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
                self.write(&(begin + &chunk(&event) + &end + second))
            }
            SoundFraming::OneChunk { events } => {
                self.write(&(begin + &chunk(&event.repeat(events)) + &end))
            }
            SoundFraming::ByteChunks => {
                let chunks: String = event.chars().map(|c| chunk(&c.to_string())).collect();
                self.write(&(begin + &chunks + &end))
            }
            SoundFraming::Extensions => {
                let size = event.len();
                let chunk = format!("000{size:X} ; name=\"value\"\r\n{event}\r\n");
                self.write(&(begin + &chunk + &end))
            }
            SoundFraming::Trailer => {
                let end = chunk(DONE) + "0\r\na: b\r\n\r\n";
                self.write(&(begin + &chunk(&event) + &end))
            }
            SoundFraming::Sized => {
                let body = event + DONE;
                self.write(&format!(
                    "{HEAD}content-length: {}\r\n\r\n{body}",
                    body.len()
                ))
            }
            SoundFraming::SlowChunk { bytes, span_ms } => {
                self.write(&(begin + &chunk(&event)))?;
                let slow = chunk(&self.event(&"x".repeat(bytes)));
                let pieces = (span_ms as usize / PIECE_PAUSE.as_millis() as usize).max(1);
                for piece in slow.as_bytes().chunks(slow.len().div_ceil(pieces)) {
                    ended_if(self.conn.0.write_all(piece).is_err())?;
                    self.pause(PIECE_PAUSE)?;
                }
                self.write(&end)
            }
        }
    }

    /// Calls a tool in the middle of the stream where the front relays calls. In a spoilt stream the call lies in a chunk that is
    /// never whole.
    fn tool_call(&mut self, is_spoilt: bool) -> Played {
        self.begin(1)?;
        let client = self.mark.split('-').next().unwrap_or_default();
        let is_relayed = client.parse().is_ok_and(|client: usize| client % 2 == 1);
        if is_spoilt {
            (self.on_spoilt)();
            self.write("1000\r\n")?;
            self.write(if is_relayed { TOOL_CALL } else { ": none\n\n" })?;
            return self.write_inside(Pace::Usual, None);
        }
        if is_relayed {
            self.write(&chunk(TOOL_CALL))?;
            self.tool_results.wait_for(self.id);
        }
        let event = chunk(&self.event(""));
        self.write(&event)?;
        self.conn.end_stream();
        Ok(())
    }

    fn spoilt_opening(&mut self, opening: Opening) -> Played {
        (self.on_spoilt)();
        match opening {
            Opening::Noise => self.write("\u{1}\u{2} nothing like HTTP\r\n\r\n")?,
            Opening::Unreadable => self.write("HTTP/1.1 2x0 OK\r\n\r\n")?,
            Opening::Endless => {
                self.write("HTTP/1.1 200 OK\r\na: ")?;
                return self.repeat("b", Pace::Usual, None);
            }
        }
        self.pause(PATIENCE)
    }

    fn spoilt(&mut self, events: u32, frame: SpoiltFrame) -> Played {
        if let SpoiltFrame::Sized { length } = frame {
            (self.on_spoilt)();
            self.write(&format!("{HEAD}content-length: {length}\r\n\r\n"))?;
            return self.write_inside(Pace::Usual, None);
        }
        self.begin(events)?;
        (self.on_spoilt)();
        let spoilt = self.event("!");
        match frame {
            SpoiltFrame::Chunk {
                size,
                zeros,
                suffix,
                pace,
            } => {
                let zeros = "0".repeat(zeros);
                self.write(&format!("{zeros}{size:x}{suffix}\r\n"))?;
                self.write_inside(pace, Some(size as usize - 1))
            }
            SpoiltFrame::UnreadableSize => {
                self.write(&format!("zz\r\n{spoilt}\r\n"))?;
                self.pause(PATIENCE)
            }
            SpoiltFrame::SizeTooSmall => {
                self.write(&format!("5\r\n{spoilt}\r\n"))?;
                self.pause(PATIENCE)
            }
            SpoiltFrame::SizeTooLarge => {
                let (size, next) = (spoilt.len() + 40, chunk(&spoilt));
                self.write(&format!("{size:x}\r\n{spoilt}\r\n{next}"))?;
                self.pause(PATIENCE)
            }
            SpoiltFrame::SizeLine { begin, piece, pace } => {
                self.write(begin)?;
                self.repeat(piece, pace, None)
            }
            SpoiltFrame::Trailer { pace } => {
                self.write("0\r\na: ")?;
                self.repeat("b", pace, None)
            }
            SpoiltFrame::Sized { .. } => Ok(()),
        }
    }

    /// Writes spoilt events in a frame that has begun, at most `bytes`, and waits for the router to close.
    fn write_inside(&mut self, pace: Pace, bytes: Option<usize>) -> Played {
        let event = self.event("!");
        let piece = match pace {
            Pace::WithComments => format!(": working\n\n{event}"),
            Pace::Usual | Pace::Full => event,
        };
        self.repeat(&piece, pace, bytes)
    }

    /// Writes a piece again and again, at most `bytes` in all, and waits for the router to close.
    fn repeat(&mut self, piece: &str, pace: Pace, bytes: Option<usize>) -> Played {
        let until = Instant::now() + PATIENCE;
        let lump = match pace {
            Pace::Full => piece.repeat(LUMP_BYTES.div_ceil(piece.len())),
            Pace::Usual | Pace::WithComments => piece.to_owned(),
        };
        let mut left = bytes.unwrap_or(usize::MAX);
        while Instant::now() < until {
            let part = &lump[..lump.len().min(left)];
            left -= part.len();
            self.write(part)?;
            if left == 0 {
                return self.pause(PATIENCE);
            }
            if pace != Pace::Full {
                self.pause(PERIOD)?;
            }
        }
        Ok(())
    }
}
