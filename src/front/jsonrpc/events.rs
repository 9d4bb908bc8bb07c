//! The events of a decode worker's stream.

use super::messages::{deserialize_borrowed, deserialize_present};
use super::relay::RelayError;
use super::request::is_valid_message;
use crate::memory::{Budget, Reservation};
use bytes::BytesMut;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;

/// The maximum length of an event in a decode worker's stream, and the amount that may be buffered while a tool runs.
pub(super) const MAX_EVENT_BYTES: usize = 128 * 1024;

/// An event of a decode worker's stream: a piece of the answer or a tool call.
#[derive(Deserialize)]
pub(super) struct DecodeEvent<'a> {
    #[serde(borrow)]
    jsonrpc: Option<Cow<'a, str>>,
    #[serde(default, deserialize_with = "deserialize_present")]
    id: Option<Box<RawValue>>,
    #[serde(borrow)]
    method: Option<Cow<'a, str>>,
    #[serde(borrow, default, deserialize_with = "deserialize_borrowed")]
    params: Option<&'a RawValue>,
    #[serde(default)]
    pub(super) choices: Vec<Choice>,
    pub(super) usage: Option<Box<RawValue>>,
}

/// A decode worker's call of a tool.
pub(super) struct ToolCall<'a> {
    /// The id that the response must have; a call without one expects no response.
    pub(super) id: Option<Box<RawValue>>,
    pub(super) method: Cow<'a, str>,
    pub(super) params: Option<&'a RawValue>,
}

impl<'a> DecodeEvent<'a> {
    /// Parses the data of an event.
    pub(super) fn parse(data: &'a str) -> Result<Self, RelayError> {
        serde_json::from_str(data).map_err(|_| RelayError::StreamBroken)
    }

    /// Takes the tool call out of the event, if it is one.
    pub(super) fn take_tool_call(&mut self) -> Result<Option<ToolCall<'a>>, RelayError> {
        let Some(method) = self.method.take() else {
            return Ok(None);
        };
        let version = self.jsonrpc.as_deref().unwrap_or_default();
        if !is_valid_message(version, self.id.as_deref(), self.params) {
            return Err(RelayError::StreamBroken);
        }
        Ok(Some(ToolCall {
            id: self.id.take(),
            method,
            params: self.params,
        }))
    }
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

/// An incremental parser of server-sent events. The bytes that it keeps count against the memory budget.
pub(super) struct EventParser {
    bytes: BytesMut,
    memory: Reservation,
}

impl EventParser {
    pub(super) fn new(budget: &Budget) -> Self {
        EventParser {
            bytes: BytesMut::new(),
            memory: Reservation::new(budget),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn push(&mut self, data: &[u8]) -> Result<(), RelayError> {
        self.bytes.extend_from_slice(data);
        let uncounted = self.bytes.capacity().saturating_sub(self.memory.bytes());
        self.memory.overdraw(uncounted);
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
                if self.bytes.is_empty() {
                    // A long event must not keep its memory for as long as the stream lasts.
                    self.bytes = BytesMut::new();
                    self.memory.shrink_to(0);
                }
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
