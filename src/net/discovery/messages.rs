//! Splits the bytes of a watch into messages: one JSON object each, on a single line or indented over several lines.

use super::ListMessage;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;

/// An incremental decoder that parses each byte once, however the bytes are split.
///
/// A truncated message must not consume the messages after it. So an incomplete message is discarded with an error at
/// an empty line, at a line end inside a string (no valid message contains either), and when an object that starts at
/// the beginning of a line turns out to be a complete message.
#[derive(Default)]
pub(super) struct MessageDecoder {
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were parsed.
    parsed: usize,
    /// Number of open objects and arrays; 0 between messages.
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    /// Number of bytes of the current line that were parsed.
    column: usize,
    /// Whether the current line contains anything but whitespace.
    line_has_content: bool,
    /// Whether the remainder of the current line is skipped as invalid.
    skips_line: bool,
    /// The last object within the open message that starts at the beginning of a line: its offset, and the depth
    /// outside it. Decoding can restart there.
    restart_at: Option<(usize, usize)>,
    decoded: VecDeque<Result<ListMessage, String>>,
}

impl MessageDecoder {
    /// Appends received bytes and decodes the messages that they complete.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
        while let Some(byte) = self.buffer.get(self.parsed).copied() {
            self.parsed += 1;
            self.push_byte(byte);
        }
        if self.depth == 0 {
            self.discard_parsed();
        }
    }

    /// The next decoded message, or the reason why one was discarded; `None` if more bytes are needed.
    pub(super) fn next(&mut self) -> Option<Result<ListMessage, String>> {
        self.decoded.pop_front()
    }

    /// Number of bytes buffered of an incomplete message.
    pub(super) fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    fn push_byte(&mut self, byte: u8) {
        let (starts_line, is_empty_line) = (self.column == 0, !self.line_has_content);
        if byte == b'\n' {
            (self.column, self.line_has_content) = (0, false);
        } else {
            self.column += 1;
            self.line_has_content |= !byte.is_ascii_whitespace();
        }
        match byte {
            _ if self.depth == 0 => self.push_byte_between_messages(byte),
            b'\n' if self.in_string || is_empty_line => {
                self.decoded.push_back(Err("truncated message".into()));
                self.discard_parsed();
            }
            _ if self.in_string => {
                self.in_string = byte != b'"' || self.is_escaped;
                self.is_escaped = byte == b'\\' && !self.is_escaped;
            }
            b'"' => self.in_string = true,
            b'{' | b'[' => {
                if starts_line && byte == b'{' {
                    self.restart_at = Some((self.parsed - 1, self.depth));
                }
                self.depth += 1;
            }
            b'}' | b']' => {
                self.depth -= 1;
                self.end_object();
            }
            _ => {}
        }
    }

    fn push_byte_between_messages(&mut self, byte: u8) {
        match byte {
            b'\n' => self.skips_line = false,
            _ if self.skips_line || byte.is_ascii_whitespace() => {}
            b'{' => {
                self.buffer.advance(self.parsed - 1);
                (self.parsed, self.depth) = (1, 1);
            }
            _ => {
                self.skips_line = true;
                self.decoded
                    .push_back(Err("line is not a JSON object".into()));
            }
        }
    }

    /// Handles the end of an object or an array: it may complete the message, or a message after a truncated one.
    fn end_object(&mut self) {
        if self.depth == 0 {
            let message =
                serde_json::from_slice(&self.buffer[..self.parsed]).map_err(|e| e.to_string());
            self.skips_line = message.is_err();
            self.decoded.push_back(message);
            self.discard_parsed();
        } else if let Some((start, _)) = self.restart_at.take_if(|(_, depth)| *depth == self.depth)
            && let Ok(message) = serde_json::from_slice(&self.buffer[start..self.parsed])
        {
            self.decoded.push_back(Err("truncated message".into()));
            self.decoded.push_back(Ok(message));
            self.discard_parsed();
        }
    }

    /// Discards the parsed bytes and resets the state to between messages.
    fn discard_parsed(&mut self) {
        self.buffer.advance(self.parsed);
        (
            self.parsed,
            self.depth,
            self.in_string,
            self.is_escaped,
            self.restart_at,
        ) = (0, 0, false, false, None);
    }
}
