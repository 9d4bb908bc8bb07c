//! Cuts what comes on a watch into messages: one JSON object each, over one line or indented over several.

use super::ListMessage;
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;

/// What has come on a watch and is not yet a whole message. Each byte is looked at once, however it arrives.
///
/// A message that was cut off must not swallow those behind it. So the open one ends unread at an empty line and at
/// a line's end inside a string (no message holds either), and where an object that begins a line turns out to be a
/// whole message by itself.
#[derive(Default)]
pub(super) struct Messages {
    text: BytesMut,
    /// Bytes of the text that were looked at.
    seen: usize,
    /// Objects and arrays that are open; none between messages.
    depth: usize,
    string: bool,
    escaped: bool,
    /// Bytes of this line that were looked at.
    column: usize,
    /// Whether this line has anything but blanks.
    written: bool,
    /// The rest of this line is no message.
    spoilt: bool,
    /// Where the last object inside the open message begins that begins a line, and the depth there.
    again: Option<(usize, usize)>,
    found: VecDeque<Result<ListMessage, String>>,
}

impl Messages {
    /// Takes in what came.
    pub(super) fn push(&mut self, data: &[u8]) {
        self.text.extend_from_slice(data);
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            self.look(byte);
        }
        if self.depth == 0 {
            self.forget();
        }
    }

    /// The next message, or why one can't be read.
    pub(super) fn next(&mut self) -> Option<Result<ListMessage, String>> {
        self.found.pop_front()
    }

    /// Bytes of the message that is not yet whole.
    pub(super) fn held(&self) -> usize {
        self.text.len()
    }

    fn look(&mut self, byte: u8) {
        let (begins, empty) = (self.column == 0, !self.written);
        if byte == b'\n' {
            (self.column, self.written) = (0, false);
        } else {
            self.column += 1;
            self.written |= !byte.is_ascii_whitespace();
        }
        match byte {
            _ if self.depth == 0 => self.look_between(byte),
            b'\n' if self.string || empty => {
                self.found
                    .push_back(Err("a message that was cut off".into()));
                self.forget();
            }
            _ if self.string => {
                self.string = byte != b'"' || self.escaped;
                self.escaped = byte == b'\\' && !self.escaped;
            }
            b'"' => self.string = true,
            b'{' | b'[' => {
                if begins && byte == b'{' {
                    self.again = Some((self.seen - 1, self.depth));
                }
                self.depth += 1;
            }
            b'}' | b']' => {
                self.depth -= 1;
                self.closed();
            }
            _ => {}
        }
    }

    fn look_between(&mut self, byte: u8) {
        match byte {
            b'\n' => self.spoilt = false,
            _ if self.spoilt || byte.is_ascii_whitespace() => {}
            b'{' => {
                self.text.advance(self.seen - 1);
                (self.seen, self.depth) = (1, 1);
            }
            _ => {
                self.spoilt = true;
                self.found
                    .push_back(Err("a line that is no message".into()));
            }
        }
    }

    /// An object or an array has ended: the message, or one behind another that was cut off.
    fn closed(&mut self) {
        if self.depth == 0 {
            let message =
                serde_json::from_slice(&self.text[..self.seen]).map_err(|e| e.to_string());
            self.spoilt = message.is_err();
            self.found.push_back(message);
            self.forget();
        } else if let Some((at, _)) = self.again.take_if(|(_, depth)| *depth == self.depth)
            && let Ok(message) = serde_json::from_slice(&self.text[at..self.seen])
        {
            self.found
                .push_back(Err("a message that was cut off".into()));
            self.found.push_back(Ok(message));
            self.forget();
        }
    }

    /// Lets go of what was looked at: no message is open.
    fn forget(&mut self) {
        self.text.advance(self.seen);
        (self.seen, self.depth, self.string, self.escaped, self.again) = (0, 0, false, false, None);
    }
}
