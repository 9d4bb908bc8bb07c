//! The JSON-RPC 2.0 front end, for clients on unreliable links, with tool calls that are relayed in the middle of a
//! response stream.
//!
//! A client posts a request whose method names a request class. The response body has one JSON object per line: `delta`
//! and `tool` notifications while the answer streams, then the JSON-RPC response. A decode worker's stream may contain a
//! JSON-RPC request: it is sent to the tool server through the [ledger](super::ledger), its outcome is sent back to the
//! decode worker, and the stream continues. When a stream breaks, the client's connection is closed without the last
//! chunk; the client then repeats its request under the same name (`request` in the parameters) and states in `resume`
//! how much of the answer it has.

use super::ledger::{CallKey, Ledger, Outcome};
use super::platform::{AnswerBody, refusal};
use super::record::{Claim, ClaimResult};
use super::shared::{MAX_BODY_BYTES, RETRY_AFTER_CUT_OFF, RETRY_AFTER_OVERLOAD, Shared};
use crate::config::ToolSettings;
use crate::exchange::{
    Answer, DisconnectNotifier, Frame, StreamReceiver, UpstreamRequest, is_plain_id,
};
use crate::fleet::transport::work::TakeoverClient;
use crate::fleet::work::FinalResponse;
use crate::routing::types::{Micros, RequestId, RequestSpec};
use bytes::{Bytes, BytesMut};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of messages in a batch.
const MAX_BATCH_REQUESTS: usize = 16;
/// The maximum length of an event in a decode worker's stream, and the amount that may be buffered while a tool runs.
const MAX_EVENT_BYTES: usize = 128 * 1024;
/// The maximum text of one answer in a batch, which is collected before it is sent.
const MAX_BATCH_TEXT_BYTES: usize = 256 * 1024;
/// The number of lines that may be queued for a slow client.
const MAX_QUEUED_LINES: usize = 16;
/// A client that reads nothing for this long is treated as disconnected.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The longest accepted deadline, relative to the request's arrival.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Deserializes a field so that `null` is `Some` and only a missing field (by `serde(default)`) is `None`.
pub(super) fn deserialize_present<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(deserializer).map(Some)
}

/// A JSON-RPC request or notification, from a client or a decode worker.
#[derive(Debug, Deserialize)]
struct Message {
    jsonrpc: String,
    #[serde(default, deserialize_with = "deserialize_present")]
    id: Option<Box<RawValue>>,
    method: String,
    #[serde(default, deserialize_with = "deserialize_present")]
    params: Option<Box<RawValue>>,
    /// The arrival time; the client's deadline is relative to it.
    #[serde(skip)]
    arrived: Micros,
}

impl Message {
    /// Checks the requirements of the specification that the field types do not express.
    fn is_valid(&self) -> bool {
        let id = self.id.as_ref().is_none_or(|id| is_id(id));
        let params = self
            .params
            .as_ref()
            .is_none_or(|p| p.get().starts_with(['{', '[']));
        self.jsonrpc == "2.0" && id && params
    }
}

fn is_id(id: &RawValue) -> bool {
    !id.get().starts_with(['{', '[', 't', 'f'])
}

/// The parameters of a client's request.
#[derive(Debug, Deserialize)]
struct Params {
    request: String,
    deadline_ms: u64,
    session: Option<String>,
    prefix: Option<String>,
    #[serde(default)]
    prefix_len: u64,
    prompt_len: Option<u64>,
    #[serde(default)]
    max_out: u64,
    messages: Box<RawValue>,
    resume: Option<Resume>,
}

/// The part of an answer that the client received before the stream broke.
#[derive(Debug, Deserialize, Serialize)]
struct Resume {
    /// The number of `tool` notifications with the state `calling` that the client received before its last `delta`.
    calls: u32,
    /// The text received so far.
    text: String,
}

#[derive(Deserialize)]
struct CancelParams {
    request: String,
}

/// The request body for model hosts.
#[derive(Serialize)]
struct Prompt<'a> {
    model: &'a str,
    stream: bool,
    #[serde(skip_serializing_if = "is_zero")]
    max_tokens: u64,
    messages: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<&'a Resume>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// An event of a decode worker's stream: a piece of the answer or a tool call.
#[derive(Deserialize)]
struct DecodeEvent {
    jsonrpc: Option<String>,
    #[serde(default, deserialize_with = "deserialize_present")]
    id: Option<Box<RawValue>>,
    method: Option<String>,
    #[serde(default, deserialize_with = "deserialize_present")]
    params: Option<Box<RawValue>>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Clone, Debug, Serialize)]
struct ErrorObject {
    code: i32,
    message: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<RetryAfter>,
}

#[derive(Clone, Debug, Serialize)]
struct RetryAfter {
    retry_after: f64,
}

/// A JSON-RPC error, with the HTTP status that tells intermediaries the same.
#[derive(Clone, Debug)]
struct ErrorResponse(StatusCode, ErrorObject);

impl ErrorResponse {
    const fn new(status: StatusCode, code: i32, message: &'static str) -> Self {
        ErrorResponse(
            status,
            ErrorObject {
                code,
                message,
                data: None,
            },
        )
    }

    fn rejected(retry_after: Option<Micros>) -> Self {
        let data = retry_after.map(|t| RetryAfter {
            retry_after: t as f64 / 1e6,
        });
        let error = ErrorObject {
            code: -32000,
            message: "refused; trying again is harmless",
            data,
        };
        ErrorResponse(StatusCode::SERVICE_UNAVAILABLE, error)
    }
}

const PARSE_ERROR: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32700, "parse error");
const INVALID_REQUEST: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32600, "invalid request");
const METHOD_NOT_FOUND: ErrorResponse =
    ErrorResponse::new(StatusCode::NOT_FOUND, -32601, "method not found");
const INVALID_PARAMS: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_REQUEST, -32602, "invalid params");
const PROMPT_TOO_LONG: ErrorResponse =
    ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, -32602, "prompt too long");
const ALREADY_IN_PROGRESS: ErrorResponse = ErrorResponse::new(
    StatusCode::CONFLICT,
    -32003,
    "a request of this name is in hand",
);
const FAILED: ErrorResponse =
    ErrorResponse::new(StatusCode::BAD_GATEWAY, -32001, "failed; it may have run");
const CANCELLED: ErrorResponse = ErrorResponse::new(StatusCode::OK, -32002, "cancelled");
const TEXT_NOT_KEPT: ErrorResponse = ErrorResponse::new(
    StatusCode::GONE,
    -32005,
    "ended; its text is not kept any more",
);
const STREAM_BROKEN: ErrorResponse = ErrorResponse::new(
    StatusCode::BAD_GATEWAY,
    -32004,
    "the stream broke; ask for the rest",
);

/// A JSON-RPC response or notification to the client.
#[derive(Serialize)]
struct OutgoingMessage<'a, R: Serialize> {
    jsonrpc: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    method: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<NotificationParams<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<R>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a ErrorObject>,
}

#[derive(Serialize)]
struct NotificationParams<'a> {
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ordinal: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<&'static str>,
}

#[derive(Serialize)]
struct CompletionResult<'a> {
    request: &'a str,
    finish: &'a str,
    calls: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<&'a RawValue>,
}

/// The recorded part of an answer's final line (stored data).
#[derive(Serialize, Deserialize)]
struct FinalLine {
    finish: String,
    calls: u32,
    #[serde(default, deserialize_with = "deserialize_present")]
    usage: Option<Box<RawValue>>,
}

/// The response to a decode worker's tool call.
#[derive(Serialize)]
struct ToolReply<'a> {
    jsonrpc: &'static str,
    id: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<ToolReplyError<'a>>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ToolReplyError<'a> {
    Tool(&'a RawValue),
    Router(&'a super::ledger::CallError),
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Serialization of these types cannot fail: they have no maps with non-string keys and no non-finite numbers.
    serde_json::to_vec(message).unwrap_or_default()
}

fn error_line(id: Option<&RawValue>, error: &ErrorObject) -> Vec<u8> {
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

/// A named request that this router is processing.
struct ActiveRequest {
    stop: watch::Sender<StopSignal>,
    /// Whether the answer has started to stream; shared with the [`ActiveGuard`].
    streaming: Rc<Cell<bool>>,
    /// Tells this request from a later one with the same name.
    serial: u64,
}

/// Why a request has to stop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopSignal {
    None,
    /// The client cancelled the request.
    Cancelled,
    /// The request continues elsewhere: in a newer request of the same name, or at another router.
    Moved,
}

/// The JSON-RPC front end.
pub struct Front {
    shared: Rc<Shared>,
    ledger: Rc<Ledger>,
    active: RefCell<HashMap<Rc<str>, ActiveRequest>>,
    next_serial: Cell<u64>,
    seed: u64,
    /// The fleet's request records, if other routers can take over this router's requests.
    work: Option<Rc<TakeoverClient>>,
    /// The HTTP path on which clients reach the front end.
    pub path: String,
}

/// Removes a request from [`Front::active`] on drop.
struct ActiveGuard {
    front: Rc<Front>,
    name: Rc<str>,
    serial: u64,
    streaming: Rc<Cell<bool>>,
    stop: watch::Receiver<StopSignal>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut active = self.front.active.borrow_mut();
        if active
            .get(&self.name)
            .is_some_and(|a| a.serial == self.serial)
        {
            active.remove(&self.name);
        }
    }
}

/// The destination of an answer: lines that are sent to the client as they arrive, or (in a batch) one collected text.
enum Sink {
    Lines(mpsc::Sender<Frame>),
    Text(String),
}

impl Sink {
    async fn send_line(&mut self, mut line: Vec<u8>) -> Result<(), RelayError> {
        let Sink::Lines(lines) = self else {
            return Ok(());
        };
        line.push(b'\n');
        let send = lines.send(Frame::Data(line.into()));
        match tokio::time::timeout(CLIENT_STALL_TIMEOUT, send).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(RelayError::ClientGone),
        }
    }

    /// Resolves when the client has disconnected.
    fn closed(&self) -> impl Future<Output = ()> + use<> {
        let lines = if let Sink::Lines(lines) = self {
            Some(lines.clone())
        } else {
            None
        };
        async move {
            match lines {
                Some(lines) => lines.closed().await,
                None => std::future::pending().await,
            }
        }
    }
}

/// Why relaying a stream failed or was stopped.
#[derive(Debug, PartialEq, Eq)]
enum RelayError {
    /// The client disconnected or stalled, or the request continues elsewhere.
    ClientGone,
    /// The decode worker's stream ended early or is malformed.
    StreamBroken,
    /// The client cancelled the request.
    Cancelled,
}

/// The result of starting a request.
enum StartedRequest {
    /// The answer streams.
    Streaming(StreamingRequest, StreamReceiver, DisconnectNotifier),
    /// The final response was already recorded.
    Recorded {
        id: Option<Box<RawValue>>,
        name: Rc<str>,
        /// The text that the client does not have yet.
        remaining_text: String,
        last: FinalLine,
    },
}

/// A request whose answer streams.
struct StreamingRequest {
    id: Option<Box<RawValue>>,
    name: Rc<str>,
    /// The number of tool calls so far, including those that the client had before it resumed.
    calls: u32,
    claim: Option<Claim>,
    /// The answer's text so far; `None` without a claim, or once it is too long to be recorded.
    text: Option<String>,
    guard: ActiveGuard,
}

impl Front {
    /// Creates the front end. With `work`, requests are recorded in the fleet, so that other routers can take them over.
    pub fn new(
        shared: Rc<Shared>,
        settings: ToolSettings,
        connect_timeout: Duration,
        seed: u64,
        work: Option<Rc<TakeoverClient>>,
    ) -> Rc<Self> {
        let path = settings.listen_path.clone();
        let ledger = Ledger::new(settings, connect_timeout, shared.counters.clone());
        let (active, next_serial) = (RefCell::default(), Cell::new(1));
        let front = Rc::new(Front {
            shared,
            ledger,
            active,
            next_serial,
            seed,
            work: work.clone(),
            path,
        });
        if let Some(work) = work {
            let weak_front = Rc::downgrade(&front);
            work.on_request_moved(move |name| {
                if let Some(front) = weak_front.upgrade() {
                    front.stop_request(name, StopSignal::Moved);
                }
            });
        }
        front
    }

    /// Ends all active requests for a planned shutdown, so that their clients resume them at another router.
    pub fn hand_over(&self) {
        let names: Vec<Rc<str>> = self.active.borrow().keys().cloned().collect();
        names
            .iter()
            .for_each(|name| self.stop_request(name, StopSignal::Moved));
    }

    /// Whether a tool call is in flight or its outcome is not recorded yet.
    pub fn is_calling(&self) -> bool {
        self.ledger.is_busy()
    }

    fn stop_request(&self, name: &str, signal: StopSignal) {
        if let Some(active) = self.active.borrow().get(name) {
            active.stop.send_replace(signal);
        }
    }

    /// Removes expired ledger entries. Call it regularly, so that entries also expire when no calls arrive.
    pub fn sweep(&self) {
        self.ledger.sweep();
    }

    /// Responds to the body of one HTTP request: a JSON-RPC request, notification or batch. Deadlines are relative to
    /// `arrived`.
    pub async fn respond(self: Rc<Self>, body: Bytes, arrived: Micros) -> Response<AnswerBody> {
        if !body.trim_ascii_start().starts_with(b"[") {
            return match serde_json::from_slice::<Box<RawValue>>(&body) {
                Err(_) => self.error_response(None, PARSE_ERROR),
                Ok(raw) => match self.decode(&raw, arrived) {
                    Err((id, error)) => self.error_response(id.as_deref(), error),
                    Ok(message) => self.respond_to_message(message).await,
                },
            };
        }
        let items = match serde_json::from_slice::<Vec<Box<RawValue>>>(&body) {
            Err(_) => return self.error_response(None, PARSE_ERROR),
            Ok(items) if items.is_empty() || items.len() > MAX_BATCH_REQUESTS => {
                return self.error_response(None, INVALID_REQUEST);
            }
            Ok(items) => items,
        };
        let mut tasks = Vec::new();
        for raw in items {
            let front = self.clone();
            tasks.push(tokio::task::spawn_local(async move {
                front.respond_in_batch(&raw, arrived).await
            }));
        }
        let mut answers = Vec::new();
        for task in tasks {
            if let Ok(Some(answer)) = task.await {
                answers.push(answer);
            }
        }
        if answers.is_empty() {
            return no_content();
        }
        let mut body = vec![b'['];
        body.extend(answers.join(&b','));
        body.push(b']');
        json_response(StatusCode::OK, body)
    }

    fn decode(
        &self,
        raw: &RawValue,
        arrived: Micros,
    ) -> Result<Message, (Option<Box<RawValue>>, ErrorResponse)> {
        #[derive(Deserialize)]
        struct IdOnly {
            id: Option<Box<RawValue>>,
        }
        let id = || {
            serde_json::from_str::<IdOnly>(raw.get())
                .ok()
                .and_then(|m| m.id)
                .filter(|id| is_id(id))
        };
        match serde_json::from_str::<Message>(raw.get()) {
            Ok(message) if message.is_valid() => Ok(Message { arrived, ..message }),
            _ => Err((id(), INVALID_REQUEST)),
        }
    }

    fn error_response(
        &self,
        id: Option<&RawValue>,
        ErrorResponse(status, error): ErrorResponse,
    ) -> Response<AnswerBody> {
        if status.is_client_error() {
            self.shared.counters.bad_requests.up();
        }
        let mut response = json_response(status, error_line(id, &error));
        if let Some(RetryAfter { retry_after }) = error.data {
            let micros = (retry_after * 1e6) as u64;
            if let Some(value) = refusal(Some(micros)).headers_mut().remove("retry-after") {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }

    async fn respond_to_message(self: Rc<Self>, message: Message) -> Response<AnswerBody> {
        // By the specification, a notification gets no response, not even an error.
        if message.id.is_none() {
            self.handle_notification(&message);
            return no_content();
        }
        let id = message.id.clone();
        if message.method == "cancel" {
            let cancelled = self.cancel(&message);
            return match cancelled {
                Ok(was_active) => {
                    json_response(StatusCode::OK, result_line(id.as_deref(), was_active))
                }
                Err(error) => self.error_response(id.as_deref(), error),
            };
        }
        match self.start_request(message).await {
            Err(error) => self.error_response(id.as_deref(), error),
            Ok(StartedRequest::Recorded {
                id,
                name,
                remaining_text,
                last,
            }) => {
                let mut body = Vec::new();
                if !remaining_text.is_empty() {
                    let text = Some(remaining_text.as_str());
                    body = notification_line(
                        "delta",
                        NotificationParams {
                            request: &name,
                            text,
                            ordinal: None,
                            state: None,
                        },
                    );
                    body.push(b'\n');
                }
                body.extend(last.line(id.as_deref(), &name, None));
                let mut response = json_response(StatusCode::OK, body);
                let content_type = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert("content-type", content_type);
                response
            }
            Ok(StartedRequest::Streaming(request, stream, notifier)) => {
                let (lines, body) = mpsc::channel(MAX_QUEUED_LINES);
                tokio::task::spawn_local(async move {
                    let mut sink = Sink::Lines(lines.clone());
                    match self.relay(request, stream, notifier, &mut sink).await {
                        Ok(last) => {
                            if sink.send_line(last).await.is_ok() {
                                let _ = lines.send(Frame::End).await;
                            }
                        }
                        // Dropping the sender without `Frame::End` closes the client's connection without the last
                        // chunk, so the client resumes the request.
                        Err(error) => {
                            log::info!(
                                "json-rpc: response stream ended early ({error:?}); closing the client's connection"
                            );
                        }
                    }
                });
                let mut response = Response::new(AnswerBody::Lines(body));
                let content_type = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert("content-type", content_type);
                response
            }
        }
    }

    async fn respond_in_batch(self: Rc<Self>, raw: &RawValue, arrived: Micros) -> Option<Vec<u8>> {
        let message = match self.decode(raw, arrived) {
            Ok(message) => message,
            Err((id, ErrorResponse(_, error))) => return Some(error_line(id.as_deref(), &error)),
        };
        if message.id.is_none() {
            self.handle_notification(&message);
            return None;
        }
        let id = message.id.clone();
        let encode_error =
            |ErrorResponse(_, error): ErrorResponse| Some(error_line(id.as_deref(), &error));
        if message.method == "cancel" {
            return self
                .cancel(&message)
                .map_or_else(encode_error, |was_active| {
                    Some(result_line(id.as_deref(), was_active))
                });
        }
        match self.clone().start_request(message).await {
            Err(error) => encode_error(error),
            Ok(StartedRequest::Recorded {
                id,
                name,
                remaining_text,
                last,
            }) => Some(last.line(id.as_deref(), &name, Some(&remaining_text))),
            Ok(StartedRequest::Streaming(request, stream, notifier)) => {
                let mut sink = Sink::Text(String::new());
                self.relay(request, stream, notifier, &mut sink)
                    .await
                    .map_or_else(|_| encode_error(STREAM_BROKEN), Some)
            }
        }
    }

    fn handle_notification(&self, message: &Message) {
        if message.method != "cancel" || self.cancel(message).is_err() {
            self.shared.counters.bad_requests.up();
            log::debug!(
                "json-rpc: ignoring notification {:?}: unknown method or invalid params",
                message.method
            );
        }
    }

    /// Cancels a request, its attempts and its tool calls in flight. Returns whether the request was active.
    fn cancel(&self, message: &Message) -> Result<bool, ErrorResponse> {
        let params = message
            .params
            .as_ref()
            .and_then(|p| serde_json::from_str::<CancelParams>(p.get()).ok());
        let request = params.ok_or(INVALID_PARAMS)?.request;
        let active = self.active.borrow();
        let previous_signal = active
            .get(request.as_str())
            .map(|a| a.stop.send_replace(StopSignal::Cancelled));
        self.ledger.cancel(&request);
        Ok(previous_signal.is_some())
    }

    /// Validates a request, claims it, submits it and waits until its answer starts or fails.
    async fn start_request(
        self: &Rc<Self>,
        message: Message,
    ) -> Result<StartedRequest, ErrorResponse> {
        // Without a fleet policy, an unknown class fails at once. With one, the class is checked only after the request has
        // passed the gate, under the policy epoch that is then in force.
        if self.shared.gate.is_none() && !self.shared.has_class(&message.method) {
            return Err(METHOD_NOT_FOUND);
        }
        let params = message.params.as_ref().ok_or(INVALID_PARAMS)?;
        let params: Params = serde_json::from_str(params.get()).map_err(|_| INVALID_PARAMS)?;
        let is_short = |v: &Option<String>| v.as_ref().is_none_or(|v| v.len() <= 256);
        let is_valid = is_plain_id(&params.request)
            && (1..=MAX_DEADLINE_MS).contains(&params.deadline_ms)
            && params.messages.get().starts_with('[')
            && is_short(&params.session)
            && is_short(&params.prefix);
        if !is_valid {
            return Err(INVALID_PARAMS);
        }
        let prompt = Prompt {
            model: &message.method,
            stream: true,
            max_tokens: params.max_out,
            messages: &params.messages,
            resume: params.resume.as_ref(),
        };
        let body = Bytes::from(encode(&prompt));
        if body.len() > MAX_BODY_BYTES {
            return Err(PROMPT_TOO_LONG);
        }
        if !(self.shared.may_serve)() {
            self.shared.counters.cut_off.up();
            return Err(ErrorResponse::rejected(Some(RETRY_AFTER_CUT_OFF)));
        }
        // Before the request is registered: a rejected request must not end a running stream of the same name.
        let permit = self
            .shared
            .admit(&params.request)
            .map_err(|advice| ErrorResponse::rejected(Some(advice)))?;
        let mut guard = self.register(params.request.as_str().into(), params.resume.is_some())?;
        let deadline = message.arrived + params.deadline_ms * 1000;
        let pass = tokio::select! {
            pass = self.shared.begin(deadline) => pass.map_err(|advice| ErrorResponse::rejected(Some(advice)))?,
            _ = guard.stop.wait_for(|s| *s != StopSignal::None) => return Err(CANCELLED),
        };
        if !self.shared.has_class(&message.method) {
            return Err(METHOD_NOT_FOUND);
        }
        let at_most_once = self.shared.is_at_most_once(&message.method);
        let claim = match self
            .claim(at_most_once, &params, deadline, &mut guard)
            .await?
        {
            Ok(claim) => claim,
            Err(answer) => return recorded_answer(message.id, guard.name.clone(), &params, answer),
        };
        // A reload (SIGHUP) may have changed the class in the meantime; the claim and the
        // dispatcher would then disagree on whether the request may run more than once.
        if !self.shared.has_class(&message.method)
            || self.shared.is_at_most_once(&message.method) != at_most_once
        {
            claim.iter().for_each(Claim::mark_not_executed);
            return Err(ErrorResponse::rejected(Some(RETRY_AFTER_OVERLOAD)));
        }
        // Estimate: four bytes per token.
        let prompt_tokens = params.prompt_len.unwrap_or(body.len() as u64 / 4);
        let spec = RequestSpec {
            request: RequestId(0),
            deadline,
            session: params.session.map(Into::into),
            prefix: params.prefix.map(Into::into),
            prefix_tokens: params.prefix_len.min(prompt_tokens),
            prompt_tokens,
            max_tokens: params.max_out,
            duration_hint: None,
            class: message.method,
            tenant: None,
        };
        // A new id for each client request, as in the platform's protocol; across resumes, the request is identified by
        // the client's name for it.
        let id = format!(
            "{:016x}",
            xxh3_64_with_seed(&guard.serial.to_le_bytes(), self.seed)
        );
        let target = super::platform::COMPLETIONS_PATH.to_owned();
        let call = UpstreamRequest {
            id,
            target,
            headers: HeaderMap::from_iter([(
                CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            )]),
            body,
            lifetime_guards: None,
            claim_key: claim.as_ref().map(Claim::key),
        };
        let pending_answer = self.shared.dispatcher.submit(spec, call, permit).answer();
        drop(pass);
        let (answer, notifier) = tokio::select! {
            result = pending_answer => result,
            stop = async { guard.stop.wait_for(|s| *s != StopSignal::None).await.map_or(StopSignal::Moved, |s| *s) } => {
                if let Some(claim) = claim.filter(|_| stop == StopSignal::Cancelled) {
                    claim.complete_in_background(FinalResponse::Cancelled);
                }
                return Err(CANCELLED);
            }
        };
        let (calls, text) = params
            .resume
            .map_or((0, String::new()), |r| (r.calls, r.text));
        match answer {
            Answer::Rejected { retry_after } => {
                claim.iter().for_each(Claim::mark_not_executed);
                Err(ErrorResponse::rejected(retry_after))
            }
            Answer::Failed => {
                claim
                    .iter()
                    .for_each(|claim| claim.complete_in_background(FinalResponse::Failed));
                Err(FAILED)
            }
            Answer::Stream(stream) => {
                guard.streaming.set(true);
                claim.iter().for_each(Claim::response_started);
                let (id, name, text) = (
                    message.id,
                    guard.name.clone(),
                    claim.is_some().then_some(text),
                );
                Ok(StartedRequest::Streaming(
                    StreamingRequest {
                        id,
                        name,
                        calls,
                        claim,
                        text,
                        guard,
                    },
                    stream,
                    notifier,
                ))
            }
        }
    }

    /// Claims the request in the fleet. Returns `Ok(Ok(None))` if the fleet keeps no records, and `Ok(Err(_))` with the
    /// final response if one is already recorded.
    async fn claim(
        &self,
        at_most_once: bool,
        params: &Params,
        deadline: Micros,
        guard: &mut ActiveGuard,
    ) -> Result<Result<Option<Claim>, FinalResponse>, ErrorResponse> {
        let Some(work) = self.work.clone() else {
            return Ok(Ok(None));
        };
        let (name, is_resume) = (params.request.clone(), params.resume.is_some());
        // In a separate task: a claim that is granted after this future was dropped must still be released.
        let acquire = tokio::task::spawn_local(async move {
            Claim::acquire(&work, &name, at_most_once, is_resume, deadline).await
        });
        let result = tokio::select! {
            result = acquire => result.unwrap_or(ClaimResult::Unavailable),
            _ = guard.stop.wait_for(|s| *s != StopSignal::None) => return Err(CANCELLED),
        };
        match result {
            ClaimResult::Granted(claim) => Ok(Ok(Some(claim))),
            ClaimResult::Completed(answer) => Ok(Err(answer)),
            ClaimResult::OwnedElsewhere => Err(ALREADY_IN_PROGRESS),
            ClaimResult::AlreadyStarted => Err(STREAM_BROKEN),
            ClaimResult::Unavailable => Err(ErrorResponse::rejected(Some(RETRY_AFTER_CUT_OFF))),
        }
    }

    /// Registers a request as active; a resume replaces the stream of the same name.
    fn register(
        self: &Rc<Self>,
        name: Rc<str>,
        is_resume: bool,
    ) -> Result<ActiveGuard, ErrorResponse> {
        let serial = self.next_serial.get();
        self.next_serial.set(serial + 1);
        let (stop, stop_receiver) = watch::channel(StopSignal::None);
        let streaming = Rc::new(Cell::new(false));
        let mut active = self.active.borrow_mut();
        if let Some(previous) = active.get(&name) {
            // A resume takes over a running stream. A request that is not streaming yet has nothing to resume; starting
            // it again in parallel could run an at-most-once request twice.
            if !is_resume || !previous.streaming.get() {
                return Err(ALREADY_IN_PROGRESS);
            }
            previous.stop.send_replace(StopSignal::Moved);
        }
        active.insert(
            name.clone(),
            ActiveRequest {
                stop,
                streaming: streaming.clone(),
                serial,
            },
        );
        drop(active);
        Ok(ActiveGuard {
            front: self.clone(),
            name,
            serial,
            streaming,
            stop: stop_receiver,
        })
    }

    /// Relays an answer and its tool calls to `sink`, and returns the final line, which the caller sends.
    async fn relay(
        self: &Rc<Self>,
        mut request: StreamingRequest,
        mut stream: StreamReceiver,
        mut notifier: DisconnectNotifier,
        sink: &mut Sink,
    ) -> Result<Vec<u8>, RelayError> {
        let (mut stop, stop_state) = (request.guard.stop.clone(), request.guard.stop.clone());
        let mut events = EventParser::default();
        let mut summary = StreamSummary {
            finish: String::from("stop"),
            usage: None,
        };
        let result = loop {
            let frame = tokio::select! {
                biased;
                _ = stop.wait_for(|s| *s != StopSignal::None) => break Err(stop_error(&stop_state)),
                () = sink.closed() => break Err(RelayError::ClientGone),
                frame = stream.next() => frame,
            };
            match frame {
                Some(Frame::Data(data)) => events.push(&data)?,
                Some(Frame::End) => {
                    notifier.finished();
                    break Ok(());
                }
                None => {
                    notifier.finished();
                    break Err(RelayError::StreamBroken);
                }
            }
            if let Err(error) = self
                .relay_events(&mut events, &mut request, &mut stream, sink, &mut summary)
                .await
            {
                break Err(error);
            }
        };
        match result {
            Ok(()) => {
                let StreamSummary { finish, usage } = summary;
                let mut last = FinalLine {
                    finish,
                    calls: request.calls,
                    usage,
                };
                if let Some(claim) = &request.claim {
                    // Recorded before it is sent, so that the client gets the same answer from every router.
                    let answer = FinalResponse::Completed {
                        text: request.text.take(),
                        last_line: encode(&last),
                    };
                    match claim.complete(answer).await {
                        Some(FinalResponse::Completed {
                            last_line: recorded,
                            ..
                        }) => {
                            last = serde_json::from_slice(&recorded)
                                .map_err(|_| RelayError::StreamBroken)?;
                        }
                        Some(FinalResponse::Failed) => {
                            return Ok(error_line(request.id.as_deref(), &FAILED.1));
                        }
                        Some(FinalResponse::Cancelled) => {
                            return Ok(error_line(request.id.as_deref(), &CANCELLED.1));
                        }
                        None => return Err(RelayError::StreamBroken),
                    }
                }
                let text = if let Sink::Text(text) = &*sink {
                    Some(text.as_str())
                } else {
                    None
                };
                Ok(last.line(request.id.as_deref(), &request.name, text))
            }
            // A cancelled request still gets a response.
            Err(RelayError::Cancelled) => {
                request
                    .claim
                    .iter()
                    .for_each(|claim| claim.complete_in_background(FinalResponse::Cancelled));
                Ok(error_line(request.id.as_deref(), &CANCELLED.1))
            }
            Err(error) => Err(error),
        }
    }

    /// Relays the events that are complete in `events`.
    async fn relay_events(
        self: &Rc<Self>,
        events: &mut EventParser,
        request: &mut StreamingRequest,
        stream: &mut StreamReceiver,
        sink: &mut Sink,
        summary: &mut StreamSummary,
    ) -> Result<(), RelayError> {
        while let Some(event) = events.next_event()? {
            if event.is_empty() || event == "[DONE]" {
                continue;
            }
            let event: DecodeEvent =
                serde_json::from_str(&event).map_err(|_| RelayError::StreamBroken)?;
            if let Some(method) = event.method {
                let message = Message {
                    jsonrpc: event.jsonrpc.unwrap_or_default(),
                    id: event.id,
                    method,
                    params: event.params,
                    arrived: self.shared.dispatcher.clock.now(),
                };
                if !message.is_valid() {
                    return Err(RelayError::StreamBroken);
                }
                self.tool_call(message, events, request, stream, sink)
                    .await?;
                continue;
            }
            summary.usage = event.usage.or(summary.usage.take());
            for choice in event.choices {
                if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
                    request.append_text(&text);
                    if let Sink::Text(collected) = sink {
                        if collected.len() + text.len() > MAX_BATCH_TEXT_BYTES {
                            return Err(RelayError::StreamBroken);
                        }
                        collected.push_str(&text);
                    }
                    sink.send_line(notification_line(
                        "delta",
                        NotificationParams {
                            request: &request.name,
                            text: Some(&text),
                            ordinal: None,
                            state: None,
                        },
                    ))
                    .await?;
                }
                if let Some(reason) = choice.finish_reason {
                    summary.finish = reason;
                }
            }
        }
        Ok(())
    }

    /// Relays one tool call and its outcome. If the decode worker fails, or the client disconnects, this returns early, but
    /// the call continues and its outcome is kept in the ledger. (A cancellation by the client cancels the call, too.)
    async fn tool_call(
        self: &Rc<Self>,
        call: Message,
        events: &mut EventParser,
        request: &mut StreamingRequest,
        stream: &mut StreamReceiver,
        sink: &mut Sink,
    ) -> Result<(), RelayError> {
        let ordinal = request.calls;
        request.calls += 1;
        let tool_notice = |state| NotificationParams {
            request: &request.name,
            text: None,
            ordinal: Some(ordinal),
            state: Some(state),
        };
        let key = CallKey {
            request: request.name.clone(),
            ordinal,
        };
        let (mut stop, stop_state) = (request.guard.stop.clone(), request.guard.stop.clone());
        let client_gone = sink.closed();
        tokio::pin!(client_gone);
        // The call is started before the client is notified, so that a stalled client does not delay the tool.
        let pending_outcome = self.ledger.call(
            key,
            request.claim.clone(),
            &call.method,
            call.params.as_deref(),
        );
        tokio::pin!(pending_outcome);
        stream.set_paused(true);
        let mut unsent_notice = Some(notification_line("tool", tool_notice("calling")));
        let mut stream_ended = false;
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = &mut pending_outcome => break outcome,
                sent = async { sink.send_line(unsent_notice.clone().unwrap_or_default()).await }, if unsent_notice.is_some() => {
                    sent?;
                    unsent_notice = None;
                }
                _ = stop.wait_for(|s| *s != StopSignal::None) => return Err(stop_error(&stop_state)),
                () = &mut client_gone => return Err(RelayError::ClientGone),
                // Buffer what the decode worker sends in the meantime; at the limit, stop reading, so that it has to wait.
                frame = stream.next(), if !stream_ended && events.len() < MAX_EVENT_BYTES => match frame {
                    Some(Frame::Data(data)) => events.push(&data)?,
                    Some(Frame::End) => stream_ended = true,
                    None => return Err(RelayError::StreamBroken),
                },
            }
        };
        if let Some(line) = unsent_notice {
            sink.send_line(line).await?;
        }
        if let Some(id) = &call.id {
            let (result, error) = match &outcome {
                Outcome::Result(raw) => (Some(&**raw), None),
                Outcome::ToolError(raw) => (None, Some(ToolReplyError::Tool(raw))),
                Outcome::Error(error) => (None, Some(ToolReplyError::Router(error))),
            };
            let reply = encode(&ToolReply {
                jsonrpc: "2.0",
                id,
                result,
                error,
            });
            if !stream.reply(reply.into()).await {
                return Err(RelayError::StreamBroken);
            }
        }
        stream.set_paused(false);
        let state = if matches!(outcome, Outcome::Result(_)) {
            "done"
        } else {
            "error"
        };
        sink.send_line(notification_line("tool", tool_notice(state)))
            .await?;
        // The stream ended before its tool call was answered, so the answer cannot be complete.
        if stream_ended {
            Err(RelayError::StreamBroken)
        } else {
            Ok(())
        }
    }
}

impl StreamingRequest {
    /// Adds to the text that is recorded with the final response; drops all of it once it is too long to be recorded.
    fn append_text(&mut self, piece: &str) {
        let max_bytes = self.claim.as_ref().map_or(0, Claim::max_text_bytes);
        if let Some(text) = &mut self.text {
            if text.len() + piece.len() <= max_bytes {
                text.push_str(piece);
            } else {
                self.text = None;
            }
        }
    }
}

impl FinalLine {
    fn line(&self, id: Option<&RawValue>, request: &str, text: Option<&str>) -> Vec<u8> {
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

/// Answers a request whose final response is already recorded: with the part of the text that the client does not have.
fn recorded_answer(
    id: Option<Box<RawValue>>,
    name: Rc<str>,
    params: &Params,
    answer: FinalResponse,
) -> Result<StartedRequest, ErrorResponse> {
    let (text, last) = match answer {
        FinalResponse::Failed => return Err(FAILED),
        FinalResponse::Cancelled => return Err(CANCELLED),
        FinalResponse::Completed {
            text,
            last_line: last,
        } => (text, last),
    };
    let received = params.resume.as_ref().map_or("", |r| r.text.as_str());
    let remaining_text = text
        .as_deref()
        .and_then(|text| text.strip_prefix(received))
        .ok_or(TEXT_NOT_KEPT)?
        .to_owned();
    let last = serde_json::from_slice(&last).map_err(|_| TEXT_NOT_KEPT)?;
    Ok(StartedRequest::Recorded {
        id,
        name,
        remaining_text,
        last,
    })
}

fn stop_error(stop: &watch::Receiver<StopSignal>) -> RelayError {
    if *stop.borrow() == StopSignal::Cancelled {
        RelayError::Cancelled
    } else {
        RelayError::ClientGone
    }
}

/// What the final line needs from the events of a stream.
struct StreamSummary {
    finish: String,
    usage: Option<Box<RawValue>>,
}

/// An incremental parser of server-sent events.
#[derive(Default)]
struct EventParser {
    bytes: BytesMut,
}

impl EventParser {
    fn len(&self) -> usize {
        self.bytes.len()
    }

    fn push(&mut self, data: &[u8]) -> Result<(), RelayError> {
        self.bytes.extend_from_slice(data);
        if self.bytes.len() > 2 * MAX_EVENT_BYTES {
            Err(RelayError::StreamBroken)
        } else {
            Ok(())
        }
    }

    /// Returns the data of the next complete event, or `None` if more bytes are needed. Comments and other fields are
    /// ignored.
    fn next_event(&mut self) -> Result<Option<String>, RelayError> {
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

fn notification_line(method: &'static str, params: NotificationParams<'_>) -> Vec<u8> {
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

fn result_line(id: Option<&RawValue>, result: impl Serialize) -> Vec<u8> {
    let id = Some(id.unwrap_or(RawValue::NULL));
    encode(&OutgoingMessage {
        jsonrpc: "2.0",
        method: None,
        params: None,
        id,
        result: Some(result),
        error: None,
    })
}

fn json_response(status: StatusCode, mut body: Vec<u8>) -> Response<AnswerBody> {
    body.push(b'\n');
    let mut response = Response::new(AnswerBody::Fixed(Some(body.into())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    response
}

fn no_content() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Fixed(None));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

#[cfg(test)]
mod tests;
