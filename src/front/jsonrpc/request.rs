//! The JSON-RPC messages that the router reads: requests and notifications of clients, and tool calls of decode workers.

use super::messages::{deserialize_present, is_id};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A JSON-RPC request or notification, from a client or a decode worker.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub(super) jsonrpc: String,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(super) id: Option<Box<RawValue>>,
    pub(super) method: String,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(super) params: Option<Box<RawValue>>,
    /// The arrival time; the client's deadline is relative to it.
    #[serde(skip)]
    pub(super) arrived: Micros,
}

impl Message {
    /// Checks the requirements of the specification that the field types do not express.
    pub(super) fn is_valid(&self) -> bool {
        let id = self.id.as_ref().is_none_or(|id| is_id(id));
        let params = self
            .params
            .as_ref()
            .is_none_or(|p| p.get().starts_with(['{', '[']));
        self.jsonrpc == "2.0" && id && params
    }
}

/// The parameters of a client's request.
#[derive(Debug, Deserialize)]
pub(super) struct Params {
    pub(super) request: String,
    pub(super) deadline_ms: u64,
    pub(super) session: Option<String>,
    pub(super) prefix: Option<String>,
    #[serde(default)]
    pub(super) prefix_len: u64,
    pub(super) prompt_len: Option<u64>,
    #[serde(default)]
    pub(super) max_out: u64,
    pub(super) messages: Box<RawValue>,
    pub(super) resume: Option<Resume>,
}

/// The part of an answer that the client received before the stream broke.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Resume {
    /// The number of `tool` notifications with the state `calling` that the client received before its last `delta`.
    pub(super) calls: u32,
    /// The text received so far.
    pub(super) text: String,
}

#[derive(Deserialize)]
pub(super) struct CancelParams {
    pub(super) request: String,
}

/// The request body for model hosts.
#[derive(Serialize)]
pub(super) struct Prompt<'a> {
    pub(super) model: &'a str,
    pub(super) stream: bool,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) max_tokens: u64,
    pub(super) messages: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) resume: Option<&'a Resume>,
}

pub(super) fn is_zero(n: &u64) -> bool {
    *n == 0
}
