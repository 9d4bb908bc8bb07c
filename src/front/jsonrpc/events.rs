//! The events of a decode worker's stream.

use super::messages::deserialize_present;
use super::relay::RelayError;
use bytes::BytesMut;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The maximum length of an event in a decode worker's stream, and the amount that may be buffered while a tool runs.
pub(super) const MAX_EVENT_BYTES: usize = 128 * 1024;

/// An event of a decode worker's stream: a piece of the answer or a tool call.
#[derive(Deserialize)]
pub(super) struct DecodeEvent {
    pub(super) jsonrpc: Option<String>,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(super) id: Option<Box<RawValue>>,
    pub(super) method: Option<String>,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(super) params: Option<Box<RawValue>>,
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
    pub(super) usage: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
pub(super) struct Choice {
    #[serde(default)]
    pub(super) delta: Delta,
    pub(super) finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
pub(super) struct Delta {
    pub(super) content: Option<String>,
}

/// An incremental parser of server-sent events.
#[derive(Default)]
pub(super) struct EventParser {
    pub(super) bytes: BytesMut,
}

impl EventParser {
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), RelayError> {
        self.bytes.extend_from_slice(data);
        if self.bytes.len() > 2 * MAX_EVENT_BYTES {
            Err(RelayError::StreamBroken)
        } else {
            Ok(())
        }
    }

    /// Returns the data of the next complete event, or `None` if more bytes are needed. Comments and other fields are
    /// ignored.
    pub(super) fn next_event(&mut self) -> Result<Option<String>, RelayError> {
        let mut data = String::new();
        let mut consumed = 0;
        while let Some(end) = self.bytes[consumed..].iter().position(|b| *b == b'\n') {
            let line = std::str::from_utf8(&self.bytes[consumed..consumed + end])
                .map_err(|_| RelayError::StreamBroken)?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            consumed += end + 1;
            if line.is_empty() {
                let _ = self.bytes.split_to(consumed);
                return Ok(Some(data));
            }
            if let Some(value) = line.strip_prefix("data:") {
                if !data.is_empty() {
                    data.push('\n');
                }
                data.push_str(value.strip_prefix(' ').unwrap_or(value));
            }
        }
        if self.bytes.len() > MAX_EVENT_BYTES {
            Err(RelayError::StreamBroken)
        } else {
            Ok(None)
        }
    }
}
