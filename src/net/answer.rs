//! What a model host's answer says about the attempt that it ends.

use super::events::EventStream;
use crate::routing::types::{AttemptOutcome, LoadReport};
use crate::wire::read_report;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Response, StatusCode};
use serde::Deserialize;
use std::time::Duration;

/// The longest answer that is not a stream.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// The short body of an answer that is no stream comes with its head.
const BODY_BEHIND: Duration = Duration::from_millis(500);
/// Bytes at the end of a stream in which the report of kept tokens is looked for.
const TAIL: usize = 512;

/// An attempt's end, and what it found.
pub(super) struct End {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Prompt tokens found kept.
    pub kept: u64,
    /// The host's load, if told.
    pub report: Option<LoadReport>,
}

impl From<AttemptOutcome> for End {
    fn from(outcome: AttemptOutcome) -> Self {
        End {
            outcome,
            kept: 0,
            report: None,
        }
    }
}

/// A stream whose first event has come.
pub(super) struct Stream {
    /// That event.
    pub first: Bytes,
    /// Those behind it.
    pub events: EventStream,
    /// The stream's type, as the host named it.
    pub content_type: Option<String>,
    /// Whether its end can be told from a connection that breaks.
    pub framed: bool,
}

/// A model host's answer, up to its end or to the first event of a stream.
pub(super) enum Answered {
    /// It is over; whether its connection may carry another request.
    Whole { end: End, reusable: bool },
    /// It goes on.
    Stream(Stream),
}

impl Answered {
    /// Reads an answer whose head has come.
    ///
    /// # Errors
    /// What came is no answer, or the connection broke.
    pub async fn read(response: Response<Incoming>) -> Result<Self, Box<dyn std::error::Error>> {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            return Self::read_stream(&head.headers, body).await;
        }
        // The status says it all: a body that doesn't come, or not to an end, costs the connection alone.
        let whole = tokio::time::timeout(
            BODY_BEHIND,
            Limited::new(body, MAX_RESPONSE_BYTES).collect(),
        )
        .await;
        let body = whole
            .ok()
            .and_then(Result::ok)
            .map(http_body_util::Collected::to_bytes);
        let outcome = outcome_of(head.status, &head.headers);
        let kept = match (outcome, &body) {
            (AttemptOutcome::Prefilled, Some(body)) => {
                serde_json::from_slice::<ReadDone>(body).map_or(0, |r| r.cached_tokens as u64)
            }
            _ => 0,
        };
        let report = head
            .headers
            .get("x-load")
            .and_then(|v| read_report(v.to_str().ok()?).ok());
        Ok(Answered::Whole {
            end: End {
                outcome,
                kept,
                report,
            },
            reusable: body.is_some(),
        })
    }

    async fn read_stream(
        headers: &HeaderMap,
        body: Incoming,
    ) -> Result<Self, Box<dyn std::error::Error>> {
        let chunked = headers.get("transfer-encoding").is_some();
        let framed = chunked || body.size_hint().exact().is_some();
        let content_type = headers
            .get("content-type")
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned);
        let checked = content_type
            .as_ref()
            .is_some_and(|t| t.starts_with("text/event-stream"));
        let mut events = EventStream::new(body, checked);
        // The head alone is no event: until one has come, the attempt is still this conductor's.
        match events.next().await? {
            Some(first) => Ok(Answered::Stream(Stream {
                first,
                events,
                content_type,
                framed,
            })),
            None => Ok(Answered::Whole {
                end: AttemptOutcome::ConnectionLost.into(),
                reusable: false,
            }),
        }
    }
}

/// What an answer that is no stream says. That the request has not run counts only where the host says so itself.
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
struct ReadDone {
    cached_tokens: f64,
}

#[derive(Deserialize)]
struct LastEvent {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: ReadDone,
}

/// The last bytes of a stream.
pub(super) struct Tail(Vec<u8>);

impl Tail {
    /// Of a stream that has just begun.
    pub fn new() -> Self {
        Tail(Vec::with_capacity(2 * TAIL))
    }

    /// Takes the next bytes in.
    pub fn keep(&mut self, data: &[u8]) {
        if data.len() >= TAIL {
            self.0.clear();
        }
        self.0
            .extend_from_slice(&data[data.len().saturating_sub(TAIL)..]);
        if self.0.len() > TAIL {
            self.0.drain(..self.0.len() - TAIL);
        }
    }

    /// Whether the stream says that it is over.
    pub fn ends_done(&self) -> bool {
        self.0.trim_ascii_end().ends_with(b"data: [DONE]")
    }

    /// The prompt tokens found kept, as the last events report them.
    pub fn kept_tokens(&self) -> u64 {
        let text = String::from_utf8_lossy(&self.0);
        let mut events = text
            .lines()
            .rev()
            .filter_map(|line| line.strip_prefix("data: "));
        let last = events.find_map(|event| serde_json::from_str::<LastEvent>(event).ok());
        last.map_or(0, |event| {
            event.usage.prompt_tokens_details.cached_tokens as u64
        })
    }
}
