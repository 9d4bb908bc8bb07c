//! Interprets a model host's response to an attempt.

use super::event_memory::EventMemory;
use super::events::EventStream;
use super::host_socket::IoMeter;
use crate::routing::types::{AttemptOutcome, LoadReport};
use crate::wire::read_report;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::rc::Rc;
use std::time::Duration;

/// Maximum body length of a response that is not a stream.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Limit on reading the body of a response that is not a stream: such bodies are short and are sent with the head.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of bytes at the end of a stream that are searched for the usage report with the cached prompt tokens.
const TAIL_BYTES: usize = 512;

/// How an attempt ended, with what the response reported.
pub(super) struct AttemptEnd {
    /// The outcome for the dispatcher.
    pub outcome: AttemptOutcome,
    /// Number of prompt tokens that the host found in its cache; 0 if it did not report any.
    pub cached_tokens: u64,
    /// The host's load, if the response has a valid `x-load` header.
    pub load: Option<LoadReport>,
}

impl From<AttemptOutcome> for AttemptEnd {
    fn from(outcome: AttemptOutcome) -> Self {
        AttemptEnd {
            outcome,
            cached_tokens: 0,
            load: None,
        }
    }
}

/// A streamed response of which the first event was received.
pub(super) struct StartedStream {
    /// The first event, with complete events that were received together with it.
    pub first_events: Bytes,
    /// Receives the events that follow `first_events`.
    pub events: EventStream,
    /// The response's `content-type` header, if it has one.
    pub content_type: Option<String>,
    /// Whether the body is chunked or has a content length, so that its end differs from a closed connection.
    pub is_framed: bool,
}

/// A model host's response, read to its end or to the first event of a stream.
pub(super) enum HostResponse {
    /// The response is complete. `is_reusable`: whether the connection can carry another request.
    Complete { end: AttemptEnd, is_reusable: bool },
    /// The first event of a stream has arrived, and more events may follow.
    Stream(Box<StartedStream>),
}

impl HostResponse {
    /// Reads a response after its head; `meter` is that of its connection.
    ///
    /// # Errors
    /// The body is not a valid event stream, or the connection broke.
    pub async fn read(
        response: Response<Incoming>,
        meter: Rc<IoMeter>,
        memory: Rc<EventMemory>,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            return Self::read_stream(&head.headers, body, meter, memory).await;
        }
        // The status determines the outcome. A missing or incomplete body only makes the connection unusable.
        let collected = tokio::time::timeout(
            BODY_TIMEOUT,
            Limited::new(body, MAX_RESPONSE_BYTES).collect(),
        )
        .await;
        let body = collected
            .ok()
            .and_then(Result::ok)
            .map(http_body_util::Collected::to_bytes);
        let outcome = outcome_of(head.status, &head.headers);
        let cached_tokens = match (outcome, &body) {
            (AttemptOutcome::Prefilled, Some(body)) => {
                serde_json::from_slice::<PrefillResult>(body)
                    .map_or(0, |result| result.cached_tokens as u64)
            }
            _ => 0,
        };
        let load = head
            .headers
            .get("x-load")
            .and_then(|value| read_report(value.to_str().ok()?).ok());
        Ok(HostResponse::Complete {
            end: AttemptEnd {
                outcome,
                cached_tokens,
                load,
            },
            is_reusable: body.is_some(),
        })
    }

    async fn read_stream(
        headers: &HeaderMap,
        body: Incoming,
        meter: Rc<IoMeter>,
        memory: Rc<EventMemory>,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let chunked = headers.get("transfer-encoding").is_some();
        let is_framed = chunked || body.size_hint().exact().is_some();
        let content_type = headers
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let is_event_stream = content_type
            .as_ref()
            .is_some_and(|content_type| content_type.starts_with("text/event-stream"));
        let mut events = EventStream::new(body, is_event_stream, meter, memory);
        // Until the first event, nothing was sent to the client, and the router can still retry the request.
        match events.first().await? {
            Some(first_events) => Ok(HostResponse::Stream(Box::new(StartedStream {
                first_events,
                events,
                content_type,
                is_framed,
            }))),
            None => Ok(HostResponse::Complete {
                end: AttemptOutcome::ConnectionLost.into(),
                is_reusable: false,
            }),
        }
    }
}

/// The outcome of a response that is not a stream. The request counts as not run only if the host says so
/// (`x-not-run`).
fn outcome_of(status: StatusCode, headers: &HeaderMap) -> AttemptOutcome {
    let not_run = headers.get("x-not-run").is_some_and(|value| value == "1");
    match status {
        StatusCode::ACCEPTED => AttemptOutcome::Prefilled,
        StatusCode::GONE if not_run => AttemptOutcome::KvStateMissing,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            AttemptOutcome::Rejected
        }
        _ => AttemptOutcome::Error,
    }
}

#[derive(Deserialize)]
struct PrefillResult {
    cached_tokens: f64,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: PrefillResult,
}

/// The last [`TAIL_BYTES`] bytes of the events of a stream.
pub(super) struct StreamTail(Vec<u8>);

impl StreamTail {
    pub fn new() -> Self {
        StreamTail(Vec::with_capacity(2 * TAIL_BYTES))
    }

    /// Appends the bytes of the next events.
    pub fn push(&mut self, data: &[u8]) {
        if data.len() >= TAIL_BYTES {
            self.0.clear();
        }
        self.0
            .extend_from_slice(&data[data.len().saturating_sub(TAIL_BYTES)..]);
        if self.0.len() > TAIL_BYTES {
            self.0.drain(..self.0.len() - TAIL_BYTES);
        }
    }

    /// Whether the last event is `data: [DONE]`, with or without a comment behind it.
    pub fn ends_with_done(&self) -> bool {
        let mut lines = self.0.rsplit(|byte| *byte == b'\n');
        let last_data = lines.find(|line| line.starts_with(b"data"));
        last_data.is_some_and(|line| line.trim_ascii_end() == b"data: [DONE]")
    }

    /// The number of cached prompt tokens in the last usage report; 0 if there is none.
    pub fn cached_tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.0);
        let mut events = text
            .lines()
            .rev()
            .filter_map(|line| line.strip_prefix("data: "));
        let usage_event = events.find_map(|event| serde_json::from_str::<UsageEvent>(event).ok());
        usage_event.map_or(0, |event| {
            event.usage.prompt_tokens_details.cached_tokens as u64
        })
    }
}
