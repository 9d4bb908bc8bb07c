//! The JSON-RPC messages that the router writes: responses, errors and notifications to clients, and responses to the tool
//! calls of decode workers.

use crate::front::ledger::CallError;
use crate::routing::types::Micros;
use hyper::StatusCode;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

/// Deserializes a field so that `null` is `Some` and only a missing field (by `serde(default)`) is `None`.
pub(in crate::front) fn deserialize_present<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(deserializer).map(Some)
}

/// [`deserialize_present`] for a field that borrows from the input.
pub(super) fn deserialize_borrowed<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<&'de RawValue>, D::Error> {
    <&RawValue>::deserialize(deserializer).map(Some)
}

pub(super) fn is_id(id: &RawValue) -> bool {
    !id.get().starts_with(['{', '[', 't', 'f'])
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct ErrorObject {
    pub(super) code: i32,
    pub(super) message: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) data: Option<RetryAfter>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct RetryAfter {
    pub(super) retry_after: f64,
}

/// A JSON-RPC error, with the HTTP status that tells intermediaries the same.
#[derive(Clone, Debug)]
pub(super) struct ErrorResponse {
    pub(super) status: StatusCode,
    pub(super) error: ErrorObject,
}

impl ErrorResponse {
    pub(super) const fn new(status: StatusCode, code: i32, message: &'static str) -> Self {
        let error = ErrorObject {
            code,
            message,
            data: None,
        };
        ErrorResponse { status, error }
    }

    pub(super) fn rejected(retry_after: Option<Micros>) -> Self {
        let data = retry_after.map(|t| RetryAfter {
            retry_after: t as f64 / 1e6,
        });
        let error = ErrorObject {
            code: -32000,
            message: "refused; trying again is harmless",
            data,
        };
        ErrorResponse {
            status: StatusCode::SERVICE_UNAVAILABLE,
            error,
        }
    }
}

pub(super) const PARSE_ERROR: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32700, "parse error");

pub(super) const INVALID_REQUEST: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32600, "invalid request");

pub(super) const METHOD_NOT_FOUND: ErrorResponse =
    ErrorResponse::new(StatusCode::NOT_FOUND, -32601, "method not found");

pub(super) const INVALID_PARAMS: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32602, "invalid params");

pub(super) const PROMPT_TOO_LONG: ErrorResponse =
    ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, -32602, "prompt too long");

pub(super) const ALREADY_IN_PROGRESS: ErrorResponse = ErrorResponse::new(
    StatusCode::CONFLICT,
    -32003,
    "a request of this name is in hand",
);

pub(super) const FAILED: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_GATEWAY, -32001, "failed; it may have run");

pub(super) const CANCELLED: ErrorResponse = ErrorResponse::new(StatusCode::OK, -32002, "cancelled");

pub(super) const TEXT_NOT_KEPT: ErrorResponse = ErrorResponse::new(
    StatusCode::GONE,
    -32005,
    "ended; its text is not kept any more",
);

pub(super) const STREAM_BROKEN: ErrorResponse = ErrorResponse::new(
    StatusCode::BAD_GATEWAY,
    -32004,
    "the stream broke; ask for the rest",
);

/// A JSON-RPC response or notification to the client.
#[derive(Serialize)]
pub(super) struct OutgoingMessage<'a, R: Serialize> {
    pub(super) jsonrpc: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) method: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) params: Option<NotificationParams<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) id: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) result: Option<R>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) error: Option<&'a ErrorObject>,
}

#[derive(Serialize)]
pub(super) struct NotificationParams<'a> {
    pub(super) request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) ordinal: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) state: Option<&'static str>,
}

#[derive(Serialize)]
pub(super) struct CompletionResult<'a> {
    pub(super) request: &'a str,
    pub(super) finish: &'a str,
    pub(super) calls: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) usage: Option<&'a RawValue>,
}

/// The recorded part of an answer's final line (stored data).
#[derive(Serialize, Deserialize)]
pub(super) struct FinalLine {
    pub(super) finish: String,
    pub(super) calls: u32,
    #[serde(default, deserialize_with = "deserialize_present")]
    pub(super) usage: Option<Box<RawValue>>,
}

impl FinalLine {
    pub(super) fn line(&self, id: &RawValue, request: &str, text: Option<&str>) -> Vec<u8> {
        let FinalLine {
            finish,
            calls,
            usage,
        } = self;
        result_line(
            id,
            CompletionResult {
                request,
                finish,
                calls: *calls,
                text,
                usage: usage.as_deref(),
            },
        )
    }
}

/// The response to a decode worker's tool call.
#[derive(Serialize)]
pub(super) struct ToolReply<'a> {
    pub(super) jsonrpc: &'static str,
    pub(super) id: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) result: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) error: Option<ToolReplyError<'a>>,
}

#[derive(Serialize)]
#[serde(untagged)]
pub(super) enum ToolReplyError<'a> {
    Tool(&'a RawValue),
    Router(&'a CallError),
}

pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serialization of these types cannot fail: they have no maps with non-string keys and no non-finite numbers.
    serde_json::to_vec(message).unwrap_or_default()
}

pub(super) fn error_line(id: Option<&RawValue>, error: &ErrorObject) -> Vec<u8> {
    // The specification requires an id in every response; it is null if none could be read.
    let id = Some(id.unwrap_or(RawValue::NULL));
    encode(&OutgoingMessage::<()> {
        jsonrpc: "2.0",
        method: None,
        params: None,
        id,
        result: None,
        error: Some(error),
    })
}

pub(super) fn notification_line(method: &'static str, params: NotificationParams<'_>) -> Vec<u8> {
    let (method, params) = (Some(method), Some(params));
    encode(&OutgoingMessage::<()> {
        jsonrpc: "2.0",
        method,
        params,
        id: None,
        result: None,
        error: None,
    })
}

pub(super) fn result_line(id: &RawValue, result: impl Serialize) -> Vec<u8> {
    encode(&OutgoingMessage {
        jsonrpc: "2.0",
        method: None,
        params: None,
        id: Some(id),
        result: Some(result),
        error: None,
    })
}
