//! The platform's HTTP protocol: decodes request headers into a [`RequestSpec`] for the routing policy and encodes
//! [`Answer`]s as HTTP responses.

use crate::exchange::{
    Answer, DisconnectNotifier, Frame, FrameReceiver, StreamReceiver, is_plain_id,
};
use crate::routing::types::{Micros, RequestId, RequestSpec};
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::{Body, Frame as BodyFrame, SizeHint};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The HTTP path of completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// The longest accepted deadline, relative to the request's arrival.
const MAX_DEADLINE: Micros = 600_000_000;
/// The largest accepted token count in `X-Extras`.
const MAX_TOKENS: u64 = 100_000_000;

/// A response body.
pub enum AnswerBody {
    /// A body that is complete from the start; `None` is an empty body.
    Fixed(Option<Bytes>),
    /// A model host's stream. If it is dropped before its end, the notifier reports that the client disconnected.
    Stream(StreamReceiver, DisconnectNotifier),
    /// A stream that a front end has re-encoded.
    Lines(FrameReceiver),
    /// A stream that broke; the next poll returns [`StreamBroken`].
    Breaking,
}

/// The model host's stream ended early. The client's connection is closed without the last chunk.
#[derive(Debug, thiserror::Error)]
#[error("the model host's stream broke")]
pub struct StreamBroken;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, StreamBroken>>> {
        let body = self.get_mut();
        let next = match body {
            AnswerBody::Fixed(bytes) => {
                return Poll::Ready(bytes.take().map(|b| Ok(BodyFrame::data(b))));
            }
            AnswerBody::Stream(stream, notifier) => match stream.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => {
                    // The stream ended or broke on the model host's side, so dropping the body no longer means that
                    // the client disconnected.
                    if !matches!(frame, Some(Frame::Data(_))) {
                        notifier.finished();
                    }
                    frame
                }
            },
            AnswerBody::Lines(lines) => match lines.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            },
            AnswerBody::Breaking => return Poll::Ready(Some(Err(StreamBroken))),
        };
        match next {
            Some(Frame::Data(data)) => Poll::Ready(Some(Ok(BodyFrame::data(data)))),
            Some(Frame::End) => Poll::Ready(None),
            None => {
                // When a body fails, hyper discards everything that it has not written yet, even the response head:
                // a stream that broke right after its first event would look like a missing response. Returning
                // `Pending` once makes hyper flush before it sees the error.
                *body = AnswerBody::Breaking;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Fixed(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Fixed(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            _ => SizeHint::default(),
        }
    }
}

/// The decoded headers of a request.
#[derive(Debug)]
pub struct DecodedRequest {
    /// The request id (`X-Request-Id`), which is also sent to model hosts.
    pub id: String,
    /// The input of the routing policy. If the client stated no prompt length, `prompt_tokens` is 0 until the caller
    /// estimates it from the body.
    pub spec: RequestSpec,
    /// Whether the client stated the prompt's length (`prompt_len` in `X-Extras`).
    pub has_prompt_length: bool,
}

/// Headers that are not forwarded, in addition to those that `Connection` names: they are hop-by-hop, or the router sets
/// them for each attempt.
const NOT_FORWARDED: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline",
    "x-request-id",
];

/// Returns the end-to-end headers of a request, which an intermediary must forward even if it does not know them. For
/// example, model hosts detect repeats of a request by its `Idempotency-Key`; without that header, each repeat would run.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok());
    let connection_options: Vec<&str> = connection
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    let is_hop_by_hop = |name: &str| {
        NOT_FORWARDED.contains(&name)
            || connection_options
                .iter()
                .any(|option| option.eq_ignore_ascii_case(name))
    };
    let forwarded = headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Decodes the headers of a request that arrived at `now`; its deadline runs from then on.
///
/// # Errors
/// The error text for the client if a header is missing or malformed.
pub fn decode(headers: &HeaderMap, now: Micros) -> Result<DecodedRequest, &'static str> {
    let header_text = |name: &str, error: &'static str| match headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(|v| Some(v.trim())).map_err(|_| error),
    };
    let id = header_text("x-request-id", "bad X-Request-Id")?.ok_or("X-Request-Id is missing")?;
    if !is_plain_id(id) || headers.get_all("x-request-id").iter().count() > 1 {
        return Err("bad X-Request-Id");
    }
    let class = header_text("x-class", "bad X-Class")?.ok_or("X-Class is missing")?;
    let deadline = header_text("x-deadline", "bad X-Deadline")?.ok_or("X-Deadline is missing")?;
    let deadline = parse_deadline(deadline).ok_or("bad X-Deadline")?;
    let is_valid_key = |v: &&str| !v.is_empty() && v.len() <= 256;
    let mut spec = RequestSpec {
        request: RequestId(0),
        deadline: now + deadline,
        session: header_text("x-key", "bad X-Key")?
            .filter(is_valid_key)
            .map(Into::into),
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 0,
        max_tokens: 0,
        duration_hint: None,
        class: class.to_owned(),
        tenant: header_text("x-tenant", "bad X-Tenant")?
            .filter(is_valid_key)
            .map(Into::into),
    };
    let mut has_prompt_length = false;
    for pair in header_text("x-extras", "bad X-Extras")?
        .unwrap_or("")
        .split(',')
        .filter(|p| !p.trim().is_empty())
    {
        let (name, value) = pair.trim().split_once('=').ok_or("bad X-Extras")?;
        let token_count = || {
            value
                .parse()
                .ok()
                .filter(|n| *n <= MAX_TOKENS)
                .ok_or("bad X-Extras")
        };
        match name {
            "prefix" if is_valid_key(&value) => spec.prefix = Some(value.into()),
            "prompt_len" => (spec.prompt_tokens, has_prompt_length) = (token_count()?, true),
            "prefix_len" => spec.prefix_tokens = token_count()?,
            "max_out" => spec.max_tokens = token_count()?,
            _ => {}
        }
    }
    spec.prefix_tokens = if has_prompt_length {
        spec.prefix_tokens.min(spec.prompt_tokens)
    } else {
        spec.prefix_tokens
    };
    Ok(DecodedRequest {
        id: id.to_owned(),
        spec,
        has_prompt_length,
    })
}

fn parse_deadline(text: &str) -> Option<Micros> {
    let (number, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1_000),
        b'u' => (&text[..text.len() - 1], 1),
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    number
        .parse::<Micros>()
        .ok()?
        .checked_mul(unit)
        .filter(|d| (1..=MAX_DEADLINE).contains(d))
}

/// Encodes an answer as an HTTP response. For a stream, `notifier` reports it if the client disconnects early.
pub fn encode(answer: Answer, notifier: DisconnectNotifier) -> Response<AnswerBody> {
    match answer {
        Answer::Rejected { retry_after, .. } => refusal(retry_after),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::Stream(stream) => {
            let content_type = stream.content_type.clone();
            let mut response = Response::new(AnswerBody::Stream(stream, notifier));
            if let Some(value) = content_type.and_then(|t| t.parse().ok()) {
                response.headers_mut().insert("content-type", value);
            }
            response
        }
    }
}

/// A 503 response, which promises that the request did not run and may be retried. `retry_after` goes into the
/// `Retry-After` header.
pub fn refusal(retry_after: Option<Micros>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(value) = retry_after.and_then(|t| format!("{:.3}", t as f64 / 1e6).parse().ok()) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}

/// A plain-text response with a fixed body.
pub fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Fixed(Some(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/plain"),
    );
    response
}
