//! The platform's protocol: headers into what the module is told, answers into responses.

use crate::exchange::{Answer, DisconnectNotifier, Frame, StreamReceiver, is_plain_id};
use crate::routing::types::{Micros, RequestId, RequestSpec};
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::body::{Body, Frame as BodyFrame, SizeHint};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The path that is served.
pub const PATH: &str = "/v1/chat/completions";
/// The longest deadline that is believed.
const MOST_DEADLINE: Micros = 600_000_000;
/// The largest count of tokens that is believed.
const MOST_TOKENS: u64 = 100_000_000;

/// A body of an answer: fixed bytes or a model host's stream.
pub enum AnswerBody {
    /// Fixed bytes.
    Fixed(Option<Bytes>),
    /// A stream; dropped early, it tells that the client left.
    Stream(StreamReceiver, DisconnectNotifier),
    /// A stream that a front has written anew.
    Lines(tokio::sync::mpsc::Receiver<Frame>),
    /// A stream that has broken and says so at the next poll.
    Breaking,
}

/// A stream that broke: the client's connection ends without the last chunk.
#[derive(Debug, thiserror::Error)]
#[error("the model host's stream broke")]
pub struct Broken;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<BodyFrame<Bytes>, Broken>>> {
        let body = self.get_mut();
        let next = match body {
            AnswerBody::Fixed(bytes) => {
                return Poll::Ready(bytes.take().map(|b| Ok(BodyFrame::data(b))));
            }
            AnswerBody::Stream(feed, presence) => match feed.poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => {
                    // Whole or broken at its other end, the stream is over: nobody needs to hear of it.
                    if !matches!(frame, Some(Frame::Data(_))) {
                        presence.finished();
                    }
                    frame
                }
            },
            AnswerBody::Lines(lines) => match lines.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            },
            AnswerBody::Breaking => return Poll::Ready(Some(Err(Broken))),
        };
        match next {
            Some(Frame::Data(data)) => Poll::Ready(Some(Ok(BodyFrame::data(data)))),
            Some(Frame::End) => Poll::Ready(None),
            None => {
                // hyper drops what it has not written yet when a body fails, even the head: a stream that broke
                // right after its first event looked like no answer at all. Pending once, it writes all out first.
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

/// A request's headers, decoded.
#[derive(Debug)]
pub struct Intake {
    /// The id under which model hosts know the request.
    pub id: String,
    /// What the module is told; lengths that were not stated are guessed once the body is there.
    pub ask: RequestSpec,
    /// Whether the prompt's length was stated.
    pub stated: bool,
}

/// Headers that concern one connection alone, or are written anew for each attempt, beside those that `Connection` names.
const NOT_PASSED_ON: [&str; 13] = [
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

/// The headers of a request that an intermediary passes on. Guards against a loss of what it does not know: model hosts
/// tell the repeats of a request by its `Idempotency-Key`, and without it each of them runs.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok());
    let named: Vec<&str> = connection
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    let stays = |name: &str| {
        NOT_PASSED_ON.contains(&name) || named.iter().any(|n| n.eq_ignore_ascii_case(name))
    };
    let passed = headers.iter().filter(|(name, _)| !stays(name.as_str()));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Decodes the headers of a request that came at `now`.
///
/// # Errors
/// What is wrong, for the client to read.
pub fn decode(headers: &HeaderMap, now: Micros) -> Result<Intake, &'static str> {
    let text = |name: &str, wrong: &'static str| match headers.get(name) {
        None => Ok(None),
        Some(value) => value.to_str().map(|v| Some(v.trim())).map_err(|_| wrong),
    };
    let id = text("x-request-id", "bad X-Request-Id")?.ok_or("X-Request-Id is missing")?;
    if !is_plain_id(id) || headers.get_all("x-request-id").iter().count() > 1 {
        return Err("bad X-Request-Id");
    }
    let class = text("x-class", "bad X-Class")?.ok_or("X-Class is missing")?;
    let deadline = text("x-deadline", "bad X-Deadline")?.ok_or("X-Deadline is missing")?;
    let deadline = parse_deadline(deadline).ok_or("bad X-Deadline")?;
    let short = |v: &&str| !v.is_empty() && v.len() <= 256;
    let mut ask = RequestSpec {
        request: RequestId(0),
        deadline: now + deadline,
        session: text("x-key", "bad X-Key")?.filter(short).map(Into::into),
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 0,
        max_tokens: 0,
        duration_hint: None,
        class: class.to_owned(),
        tenant: text("x-tenant", "bad X-Tenant")?
            .filter(short)
            .map(Into::into),
    };
    let mut stated = false;
    for pair in text("x-extras", "bad X-Extras")?
        .unwrap_or("")
        .split(',')
        .filter(|p| !p.trim().is_empty())
    {
        let (name, value) = pair.trim().split_once('=').ok_or("bad X-Extras")?;
        let tokens = || {
            value
                .parse()
                .ok()
                .filter(|n| *n <= MOST_TOKENS)
                .ok_or("bad X-Extras")
        };
        match name {
            "prefix" if short(&value) => ask.prefix = Some(value.into()),
            "prompt_len" => (ask.prompt_tokens, stated) = (tokens()?, true),
            "prefix_len" => ask.prefix_tokens = tokens()?,
            "max_out" => ask.max_tokens = tokens()?,
            _ => {}
        }
    }
    ask.prefix_tokens = if stated {
        ask.prefix_tokens.min(ask.prompt_tokens)
    } else {
        ask.prefix_tokens
    };
    Ok(Intake {
        id: id.to_owned(),
        ask,
        stated,
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
        .filter(|d| (1..=MOST_DEADLINE).contains(d))
}

/// Encodes an answer.
pub fn encode(answer: Answer, presence: DisconnectNotifier) -> Response<AnswerBody> {
    match answer {
        Answer::Rejected { retry_after } => refusal(retry_after),
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::Stream(feed) => {
            let content_type = feed.content_type.clone();
            let mut response = Response::new(AnswerBody::Stream(feed, presence));
            if let Some(value) = content_type.and_then(|t| t.parse().ok()) {
                response.headers_mut().insert("content-type", value);
            }
            response
        }
    }
}

/// A refusal: trying again is harmless.
pub fn refusal(retry_after: Option<Micros>) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
    if let Some(value) = retry_after.and_then(|t| format!("{:.3}", t as f64 / 1e6).parse().ok()) {
        response.headers_mut().insert("retry-after", value);
    }
    response
}

/// A short answer in plain text.
pub fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Fixed(Some(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/plain"),
    );
    response
}
