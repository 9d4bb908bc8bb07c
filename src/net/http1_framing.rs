//! Follows the framing of HTTP/1 messages in one direction of a connection: heads, bodies of a stated length, chunks and
//! trailers.
//!
//! hyper decodes the framing and hides it: it drops one of two contradicting headers, and hands the bytes of a chunk on
//! although the rest of the chunk may never come. [`FramingScan`] sees the same bytes as hyper and accepts what hyper
//! accepts. It does no I/O and reads no clock. Bodies are skipped by their length, not byte by byte.

use std::collections::VecDeque;
use std::fmt;

/// Number of bytes of a header line that are examined; framing headers are far shorter.
const MAX_HEADER_LINE_BYTES: usize = 256;
/// Maximum length of a chunk's size line, its extension included.
pub const MAX_SIZE_LINE_BYTES: usize = 4 * 1024;

/// The direction that is scanned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a client. A head that neither states a length nor is chunked has no body.
    Requests,
    /// From a server. Interim (1xx) heads are skipped; a body without a stated length ends with the connection.
    Responses,
}

/// Why the framing of a message is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingFault {
    /// A chunk is stated to be longer than any sound one.
    #[error("a chunk of {0} bytes or more is announced")]
    ChunkTooLong(u64),
    /// A body is stated to be longer than any sound one.
    #[error("a body of {0} bytes is announced")]
    BodyTooLong(u64),
    /// The size line of a chunk is too long.
    #[error("the size line of a chunk exceeds {MAX_SIZE_LINE_BYTES} bytes")]
    SizeLineTooLong,
    /// The size of a chunk can't be read.
    #[error("the size of a chunk can't be read")]
    InvalidSize,
    /// A chunk is longer than its size.
    #[error("a chunk does not end after its stated size")]
    InvalidChunkEnd,
    /// The trailer does not end as it has to.
    #[error("the trailer can't be read")]
    InvalidTrailer,
}

/// Where the framing became spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpoiltAt {
    /// How it is spoilt.
    pub fault: FramingFault,
    /// How many of the bytes that were scanned last precede the byte that shows it.
    pub sound_bytes: usize,
}

/// A part of a chunked body that has begun and is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenPart {
    /// The size line of a chunk.
    SizeLine,
    /// The data of a chunk.
    Data {
        /// Number of bytes of the body that precede this chunk.
        body_offset: u64,
        /// The chunk's stated size.
        size: u64,
        /// Number of bytes of it that are still to come.
        left: u64,
    },
    /// The last chunk's line or the trailer behind it.
    Trailer,
}

impl fmt::Display for OpenPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OpenPart::SizeLine => "an incomplete size line of a chunk",
            OpenPart::Data { .. } => "an incomplete chunk",
            OpenPart::Trailer => "an incomplete trailer",
        })
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Within a head, or before its first byte.
    #[default]
    Head,
    /// In a body, with this many bytes to come.
    Body(u64),
    Chunked(ChunkState),
    /// In a body that ends with the connection.
    UntilClose,
    /// Not tracked: the framing is spoilt or refused.
    Untracked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// Before the first digit of a size.
    Start,
    /// Within the digits.
    Size,
    /// In white space behind the digits.
    SizeBlank,
    Extension,
    /// At the line feed of the size line.
    SizeLf,
    /// With this many bytes to come.
    Data(u64),
    DataCr,
    DataLf,
    /// At the begin of a trailer line, or of the blank line that ends the body.
    TrailerStart,
    TrailerLine,
    TrailerLf,
    /// At the line feed of the last, blank line.
    EndLf,
}

/// Follows the framing of one direction of a connection.
#[derive(Debug)]
pub struct FramingScan {
    direction: Direction,
    /// The longest chunk or body that is sound.
    max_stated_bytes: u64,
    state: State,
    line: Vec<u8>,
    /// Number of non-blank lines of the current head.
    line_count: usize,
    /// Whether a byte of the current head was received.
    is_head_begun: bool,
    is_interim: bool,
    has_no_body: bool,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    is_chunked: bool,
    is_ambiguous: bool,
    /// For each complete request head, whether it is unambiguous.
    verdicts: VecDeque<bool>,
    chunk_size: u64,
    size_line_bytes: usize,
    /// Number of chunks that began, in all messages.
    chunks_begun: u64,
    /// Number of heads that began.
    heads_begun: u64,
    /// Number of messages that are complete, interim ones not counted.
    messages_ended: u64,
    /// Number of bytes of the current body so far.
    body_bytes: u64,
    /// The value of `body_bytes` at the begin of the current chunk.
    chunk_offset: u64,
}

impl FramingScan {
    /// A scan at the begin of a connection. A stated length above `max_stated_bytes` is a fault.
    pub fn new(direction: Direction, max_stated_bytes: u64) -> Self {
        FramingScan {
            direction,
            max_stated_bytes,
            state: State::Head,
            line: Vec::new(),
            line_count: 0,
            is_head_begun: false,
            is_interim: false,
            has_no_body: false,
            content_length: None,
            has_transfer_encoding: false,
            is_chunked: false,
            is_ambiguous: false,
            verdicts: VecDeque::new(),
            chunk_size: 0,
            size_line_bytes: 0,
            chunks_begun: 0,
            heads_begun: 0,
            messages_ended: 0,
            body_bytes: 0,
            chunk_offset: 0,
        }
    }

    /// Whether the connection is between two messages.
    pub fn is_between_messages(&self) -> bool {
        self.state == State::Head && !self.is_head_begun
    }

    /// Whether a body is in progress, or the framing can't be tracked.
    pub fn is_in_body(&self) -> bool {
        self.state != State::Head
    }

    /// Whether bytes of an incomplete head were received, blank lines before it not counted.
    pub fn has_partial_head(&self) -> bool {
        self.state == State::Head && (self.line_count > 0 || !self.line.is_empty())
    }

    /// Whether the bytes behind the last message can't begin another request.
    pub fn has_excess_bytes(&self) -> bool {
        let method = self.line.split(|b| *b == b' ').next().unwrap_or_default();
        self.state == State::Head
            && self.verdicts.is_empty()
            && self.line_count == 0
            && !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
    }

    /// For each complete request head that was not taken, whether it is unambiguous.
    pub fn verdicts(&mut self) -> &mut VecDeque<bool> {
        &mut self.verdicts
    }

    /// Number of chunks that have begun so far, the last chunk of each body included.
    pub fn chunks_begun(&self) -> u64 {
        self.chunks_begun
    }

    /// Number of heads that have begun so far, interim ones included.
    pub fn heads_begun(&self) -> u64 {
        self.heads_begun
    }

    /// Number of messages that are complete; interim ones don't count.
    pub fn messages_ended(&self) -> u64 {
        self.messages_ended
    }

    /// The incomplete part of a chunked body; `None` between chunks, at the line end behind a chunk's data, and elsewhere.
    pub fn open_part(&self) -> Option<OpenPart> {
        let State::Chunked(state) = self.state else {
            return None;
        };
        match state {
            ChunkState::Start | ChunkState::DataCr | ChunkState::DataLf => None,
            ChunkState::Data(left) => Some(OpenPart::Data {
                body_offset: self.chunk_offset,
                size: self.chunk_size,
                left,
            }),
            ChunkState::TrailerStart
            | ChunkState::TrailerLine
            | ChunkState::TrailerLf
            | ChunkState::EndLf => Some(OpenPart::Trailer),
            ChunkState::Size
            | ChunkState::SizeBlank
            | ChunkState::Extension
            | ChunkState::SizeLf => Some(OpenPart::SizeLine),
        }
    }

    /// Takes the next bytes of the connection.
    ///
    /// # Errors
    /// The framing is spoilt. What follows is not tracked.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<(), SpoiltAt> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let taken = match self.state {
                State::Untracked => return Ok(()),
                State::UntilClose => {
                    self.body_bytes += rest.len() as u64;
                    return Ok(());
                }
                State::Body(left) => Ok(self.skip_body(left, rest)),
                State::Head => self.scan_head(rest),
                State::Chunked(state) => self.scan_chunked(state, rest),
            };
            match taken {
                Ok(taken) => rest = &rest[taken..],
                Err(fault) => {
                    self.state = State::Untracked;
                    let sound_bytes = bytes.len() - rest.len();
                    return Err(SpoiltAt { fault, sound_bytes });
                }
            }
        }
        Ok(())
    }

    fn skip_body(&mut self, left: u64, bytes: &[u8]) -> usize {
        let part = left.min(bytes.len() as u64);
        self.body_bytes += part;
        if part == left {
            self.end_message();
        } else {
            self.state = State::Body(left - part);
        }
        part as usize
    }

    fn end_message(&mut self) {
        self.state = State::Head;
        self.messages_ended += 1;
    }

    /// Takes bytes of a head up to the end of its line; returns how many.
    fn scan_head(&mut self, bytes: &[u8]) -> Result<usize, FramingFault> {
        if !self.is_head_begun {
            self.is_head_begun = true;
            self.heads_begun += 1;
        }
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = MAX_HEADER_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        match end {
            Some(end) => self.end_line().map(|()| end + 1),
            None => Ok(bytes.len()),
        }
    }

    fn end_line(&mut self) -> Result<(), FramingFault> {
        let mut line = std::mem::take(&mut self.line);
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        let mut result = Ok(());
        if !text.is_empty() {
            self.line_count += 1;
            if self.line_count == 1 {
                self.read_first_line(text);
            } else {
                self.read_header(text);
            }
        } else if self.line_count > 0 {
            // Blank lines before a message are skipped, as in hyper.
            result = self.end_head();
        }
        line.clear();
        self.line = line;
        result
    }

    fn read_first_line(&mut self, line: &[u8]) {
        if self.direction == Direction::Requests {
            return;
        }
        let status = line.split(|b| *b == b' ').nth(1).unwrap_or_default();
        self.is_interim = status.first() == Some(&b'1') && status != b"101";
        self.has_no_body = matches!(status, b"101" | b"204" | b"304");
    }

    fn read_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        // A request with blanks about the name is suspicious. In a response hyper ignores an invalid line.
        let name = match self.direction {
            Direction::Requests => name.trim_ascii(),
            Direction::Responses => name,
        };
        if name.eq_ignore_ascii_case(b"content-length") {
            self.read_content_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            let coding = value.rsplit(|b| *b == b',').next().unwrap_or_default();
            self.is_chunked = coding.trim_ascii().eq_ignore_ascii_case(b"chunked");
            self.is_ambiguous |=
                self.has_transfer_encoding || !value.eq_ignore_ascii_case(b"chunked");
            self.has_transfer_encoding = true;
        }
    }

    fn read_content_length(&mut self, value: &[u8]) {
        let parse = |digits: &[u8]| {
            let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let digits = std::str::from_utf8(digits).ok().filter(|_| is_number)?;
            digits.parse::<u64>().ok()
        };
        let length = match self.direction {
            Direction::Requests => parse(value),
            // hyper takes a list of the same value.
            Direction::Responses => {
                let first = value.split(|b| *b == b',').next().unwrap_or_default();
                parse(first.trim_ascii())
            }
        };
        self.is_ambiguous |=
            length.is_none() || self.content_length.is_some_and(|l| Some(l) != length);
        self.content_length = length;
    }

    fn end_head(&mut self) -> Result<(), FramingFault> {
        let is_interim = std::mem::take(&mut self.is_interim);
        let has_no_body = std::mem::take(&mut self.has_no_body);
        let content_length = self.content_length.take();
        let has_transfer_encoding = std::mem::take(&mut self.has_transfer_encoding);
        let is_chunked = std::mem::take(&mut self.is_chunked);
        let is_ambiguous = std::mem::take(&mut self.is_ambiguous);
        self.line_count = 0;
        self.is_head_begun = false;
        if is_interim {
            return Ok(());
        }
        self.body_bytes = 0;
        if self.direction == Direction::Requests {
            let is_sound = !(is_ambiguous || has_transfer_encoding && content_length.is_some());
            self.verdicts.push_back(is_sound);
            if !is_sound {
                self.state = State::Untracked;
                return Ok(());
            }
        }
        match content_length {
            _ if has_no_body => self.end_message(),
            _ if is_chunked => self.state = State::Chunked(ChunkState::Start),
            Some(length) if !has_transfer_encoding => return self.begin_body(length),
            None if self.direction == Direction::Requests => self.end_message(),
            _ => self.state = State::UntilClose,
        }
        Ok(())
    }

    fn begin_body(&mut self, length: u64) -> Result<(), FramingFault> {
        if length > self.max_stated_bytes {
            return Err(FramingFault::BodyTooLong(length));
        }
        if length == 0 {
            self.end_message();
        } else {
            self.state = State::Body(length);
        }
        Ok(())
    }

    /// Takes bytes of a chunked body; returns how many.
    fn scan_chunked(&mut self, state: ChunkState, bytes: &[u8]) -> Result<usize, FramingFault> {
        if let ChunkState::Data(left) = state {
            let part = left.min(bytes.len() as u64);
            self.body_bytes += part;
            self.state = State::Chunked(match left - part {
                0 => ChunkState::DataCr,
                left => ChunkState::Data(left),
            });
            return Ok(part as usize);
        }
        if state == ChunkState::TrailerLine {
            // A trailer line is skipped up to its end.
            let end = bytes.iter().position(|b| *b == b'\r');
            if end.is_some() {
                self.state = State::Chunked(ChunkState::TrailerLf);
            }
            return Ok(end.map_or(bytes.len(), |end| end + 1));
        }
        match self.next_chunk_state(state, bytes[0])? {
            Some(next) => self.state = State::Chunked(next),
            None => self.end_message(),
        }
        Ok(1)
    }

    /// The state after a byte of a line; `None` at the end of the body.
    fn next_chunk_state(
        &mut self,
        state: ChunkState,
        byte: u8,
    ) -> Result<Option<ChunkState>, FramingFault> {
        let next = match (state, byte) {
            (ChunkState::Start, _) => {
                self.chunks_begun += 1;
                self.chunk_offset = self.body_bytes;
                self.chunk_size = 0;
                self.size_line_bytes = 0;
                self.read_digit(byte)?;
                ChunkState::Size
            }
            (ChunkState::Size | ChunkState::SizeBlank, b'\t' | b' ') => {
                self.count_size_line_byte()?;
                ChunkState::SizeBlank
            }
            (ChunkState::Size | ChunkState::SizeBlank, b';') => ChunkState::Extension,
            (ChunkState::Size | ChunkState::SizeBlank | ChunkState::Extension, b'\r') => {
                ChunkState::SizeLf
            }
            (ChunkState::Size, _) => {
                self.read_digit(byte)?;
                ChunkState::Size
            }
            (ChunkState::SizeBlank, _) | (ChunkState::Extension, b'\n') => {
                return Err(FramingFault::InvalidSize);
            }
            (ChunkState::Extension, _) => {
                self.count_size_line_byte()?;
                ChunkState::Extension
            }
            (ChunkState::SizeLf, b'\n') if self.chunk_size == 0 => ChunkState::TrailerStart,
            (ChunkState::SizeLf, b'\n') => ChunkState::Data(self.chunk_size),
            (ChunkState::SizeLf, _) => return Err(FramingFault::InvalidSize),
            (ChunkState::DataCr, b'\r') => ChunkState::DataLf,
            (ChunkState::DataLf, b'\n') => ChunkState::Start,
            (ChunkState::DataCr | ChunkState::DataLf, _) => {
                return Err(FramingFault::InvalidChunkEnd);
            }
            (ChunkState::TrailerStart, b'\r') => ChunkState::EndLf,
            (ChunkState::TrailerStart, _) => ChunkState::TrailerLine,
            (ChunkState::TrailerLf, b'\n') => ChunkState::TrailerStart,
            (ChunkState::EndLf, b'\n') => return Ok(None),
            // Data and trailer lines are skipped as a whole.
            (
                ChunkState::TrailerLf
                | ChunkState::EndLf
                | ChunkState::Data(_)
                | ChunkState::TrailerLine,
                _,
            ) => {
                return Err(FramingFault::InvalidTrailer);
            }
        };
        Ok(Some(next))
    }

    fn read_digit(&mut self, byte: u8) -> Result<(), FramingFault> {
        let digit = char::from(byte).to_digit(16);
        let digit = digit.ok_or(FramingFault::InvalidSize)?;
        let size = self.chunk_size.saturating_mul(16);
        self.chunk_size = size.saturating_add(u64::from(digit));
        if self.chunk_size > self.max_stated_bytes {
            return Err(FramingFault::ChunkTooLong(self.chunk_size));
        }
        self.count_size_line_byte()
    }

    fn count_size_line_byte(&mut self) -> Result<(), FramingFault> {
        self.size_line_bytes += 1;
        if self.size_line_bytes > MAX_SIZE_LINE_BYTES {
            return Err(FramingFault::SizeLineTooLong);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
