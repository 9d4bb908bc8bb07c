//! JSON-RPC 2.0 for devices on poor links, with tool calls relayed mid-stream.
//!
//! A client posts a request whose method is a class; it gets one JSON object a line: `delta` and `tool`
//! notifications while the answer streams, then the response. A writer's stream may carry a JSON-RPC request:
//! that goes to the tool side through the [ledger](super::ledger), its outcome goes back to the writer, and the
//! stream goes on. When a stream breaks, the client's connection ends without its last chunk; the client comes
//! again under the same lasting name and says how much it has.

use super::ledger::{CallKey, Ledger, Outcome};
use super::platform::{AnswerBody, refusal};
use super::record::{Claim, Claimed};
use super::shared::{MAX_BODY_BYTES, RETRY_AFTER_CUT_OFF, RETRY_AFTER_OVERLOAD, Shared};
use crate::config::ToolSettings;
use crate::exchange::{
    Answer, DisconnectNotifier, Frame, StreamReceiver, UpstreamRequest, is_plain_id,
};
use crate::fleet::transport::work::Work;
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

/// Most requests of one batch.
const MOST_BATCH: usize = 16;
/// The longest event of a writer's stream, and what may pile up while a tool is at work.
const MOST_EVENT: usize = 128 * 1024;
/// The most text that a batch collects for one answer.
const MOST_TEXT: usize = 256 * 1024;
/// Lines that may wait for a slow client.
const LINES: usize = 16;
/// A client that takes nothing for this long is gone.
const CLIENT_STALLED: Duration = Duration::from_secs(30);
/// The longest deadline that is believed.
const MOST_DEADLINE_MS: u64 = 600_000;

/// Keeps `null` apart from a field that isn't there.
pub(super) fn present<'de, D: Deserializer<'de>>(
    from: D,
) -> Result<Option<Box<RawValue>>, D::Error> {
    Box::<RawValue>::deserialize(from).map(Some)
}

/// A JSON-RPC request or notification, from a client or from a writer.
#[derive(Debug, Deserialize)]
struct Message {
    jsonrpc: String,
    #[serde(default, deserialize_with = "present")]
    id: Option<Box<RawValue>>,
    method: String,
    #[serde(default, deserialize_with = "present")]
    params: Option<Box<RawValue>>,
    /// When it came: its client's deadline runs from then on.
    #[serde(skip)]
    arrived: Micros,
}

impl Message {
    /// What the specification asks beyond the fields' types.
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

/// What a client asks for.
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

/// What a client has of an answer that broke.
#[derive(Debug, Deserialize, Serialize)]
struct Resume {
    /// `tool` notifications with the state `calling` that came before the last `delta`.
    calls: u32,
    /// The text so far.
    text: String,
}

#[derive(Deserialize)]
struct CancelParams {
    request: String,
}

/// What model hosts get.
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

/// An event of a writer's stream: a piece of the answer or a tool call.
#[derive(Deserialize)]
struct WriterEvent {
    jsonrpc: Option<String>,
    #[serde(default, deserialize_with = "present")]
    id: Option<Box<RawValue>>,
    method: Option<String>,
    #[serde(default, deserialize_with = "present")]
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

/// A refusal or a mistake, with the HTTP status that says the same to what stands between.
#[derive(Clone, Debug)]
struct Fault(StatusCode, ErrorObject);

impl Fault {
    const fn new(status: StatusCode, code: i32, message: &'static str) -> Self {
        Fault(
            status,
            ErrorObject {
                code,
                message,
                data: None,
            },
        )
    }

    fn refused(retry_after: Option<Micros>) -> Self {
        let data = retry_after.map(|t| RetryAfter {
            retry_after: t as f64 / 1e6,
        });
        let error = ErrorObject {
            code: -32000,
            message: "refused; trying again is harmless",
            data,
        };
        Fault(StatusCode::SERVICE_UNAVAILABLE, error)
    }
}

const PARSE: Fault = Fault::new(StatusCode::BAD_REQUEST, -32700, "parse error");
const INVALID: Fault = Fault::new(StatusCode::BAD_REQUEST, -32600, "invalid request");
const NO_METHOD: Fault = Fault::new(StatusCode::NOT_FOUND, -32601, "method not found");
const PARAMS: Fault = Fault::new(StatusCode::BAD_REQUEST, -32602, "invalid params");
const TOO_LONG: Fault = Fault::new(StatusCode::PAYLOAD_TOO_LARGE, -32602, "prompt too long");
const IN_HAND: Fault = Fault::new(
    StatusCode::CONFLICT,
    -32003,
    "a request of this name is in hand",
);
const FAILED: Fault = Fault::new(StatusCode::BAD_GATEWAY, -32001, "failed; it may have run");
const CANCELLED: Fault = Fault::new(StatusCode::OK, -32002, "cancelled");
const NOT_KEPT: Fault = Fault::new(
    StatusCode::GONE,
    -32005,
    "ended; its text is not kept any more",
);
const BROKEN: Fault = Fault::new(
    StatusCode::BAD_GATEWAY,
    -32004,
    "the stream broke; ask for the rest",
);

/// A response or a notification to the client.
#[derive(Serialize)]
struct Line<'a, R: Serialize> {
    jsonrpc: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    method: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<Notice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<R>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a ErrorObject>,
}

#[derive(Serialize)]
struct Notice<'a> {
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ordinal: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    state: Option<&'static str>,
}

#[derive(Serialize)]
struct Finished<'a> {
    request: &'a str,
    finish: &'a str,
    calls: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<&'a RawValue>,
}

/// What is recorded of an answer's last line.
#[derive(Serialize, Deserialize)]
struct Last {
    finish: String,
    calls: u32,
    #[serde(default, deserialize_with = "present")]
    usage: Option<Box<RawValue>>,
}

/// What goes back to a writer.
#[derive(Serialize)]
struct ToWriter<'a> {
    jsonrpc: &'static str,
    id: &'a RawValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    result: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<ToWriterError<'a>>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ToWriterError<'a> {
    Tool(&'a RawValue),
    Own(&'a super::ledger::ToolError),
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Nothing here can fail to be written: no maps with odd keys, no numbers that JSON lacks.
    serde_json::to_vec(message).unwrap_or_default()
}

fn error_line(id: Option<&RawValue>, error: &ErrorObject) -> Vec<u8> {
    // The specification wants an id in every response, null where none could be read.
    let id = Some(id.unwrap_or(RawValue::NULL));
    encode(&Line::<()> {
        jsonrpc: "2.0",
        method: None,
        params: None,
        id,
        result: None,
        error: Some(error),
    })
}

/// A request that this conductor has in hand under a lasting name.
struct Active {
    stop: watch::Sender<Stop>,
    streaming: Rc<Cell<bool>>,
    number: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stop {
    No,
    Cancelled,
    Moved,
}

/// The front.
pub struct Front {
    shared: Rc<Shared>,
    ledger: Rc<Ledger>,
    active: RefCell<HashMap<Rc<str>, Active>>,
    next: Cell<u64>,
    seed: u64,
    /// The fleet's records, where other conductors take work over.
    work: Option<Rc<Work>>,
    /// Where clients reach it.
    pub path: String,
}

/// Takes a request out of the table when it is over.
struct InHand {
    front: Rc<Front>,
    name: Rc<str>,
    number: u64,
    streaming: Rc<Cell<bool>>,
    stop: watch::Receiver<Stop>,
}

impl Drop for InHand {
    fn drop(&mut self) {
        let mut active = self.front.active.borrow_mut();
        if active
            .get(&self.name)
            .is_some_and(|a| a.number == self.number)
        {
            active.remove(&self.name);
        }
    }
}

/// Where the lines of an answer go: to the client as they come, or into one text.
enum Sink {
    Lines(mpsc::Sender<Frame>),
    Text(String),
}

impl Sink {
    async fn line(&mut self, mut line: Vec<u8>) -> Result<(), Ended> {
        let Sink::Lines(lines) = self else {
            return Ok(());
        };
        line.push(b'\n');
        let sending = lines.send(Frame::Data(line.into()));
        match tokio::time::timeout(CLIENT_STALLED, sending).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Ended::Left),
        }
    }

    /// Resolves when the client is gone.
    fn gone(&self) -> impl Future<Output = ()> + use<> {
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

/// Why a relay ended before its stream did.
#[derive(Debug, PartialEq, Eq)]
enum Ended {
    /// The client is gone.
    Left,
    /// The writer is gone or talks nonsense.
    Broken,
    /// The client took the request back.
    Cancelled,
}

/// A request that was let in, or that ended before.
enum Begun {
    /// It streams.
    Streams(Job, StreamReceiver, DisconnectNotifier),
    /// It has its answer on record: the rest of its text, and its last line.
    Recorded {
        id: Option<Box<RawValue>>,
        name: Rc<str>,
        rest: String,
        last: Last,
    },
}

/// A request that was let in.
struct Job {
    id: Option<Box<RawValue>>,
    name: Rc<str>,
    calls: u32,
    claim: Option<Claim>,
    /// The answer's text so far, while it may be kept with the record.
    text: Option<String>,
    in_hand: InHand,
}

impl Front {
    /// A front over what the server's connections share. With `work`, requests are recorded for other conductors.
    pub fn new(
        shared: Rc<Shared>,
        settings: ToolSettings,
        connect_timeout: Duration,
        seed: u64,
        work: Option<Rc<Work>>,
    ) -> Rc<Self> {
        let path = settings.listen_path.clone();
        let ledger = Ledger::new(settings, connect_timeout, shared.counters.clone());
        let (active, next) = (RefCell::default(), Cell::new(1));
        let front = Rc::new(Front {
            shared,
            ledger,
            active,
            next,
            seed,
            work: work.clone(),
            path,
        });
        if let Some(work) = work {
            let moved = Rc::downgrade(&front);
            work.on_moved(move |name| {
                if let Some(front) = moved.upgrade() {
                    front.end(name, Stop::Moved);
                }
            });
        }
        front
    }

    /// A planned stop: ends the connections of what still streams, so that clients ask elsewhere for the rest.
    pub fn hand_over(&self) {
        let names: Vec<Rc<str>> = self.active.borrow().keys().cloned().collect();
        names.iter().for_each(|name| self.end(name, Stop::Moved));
    }

    /// Whether a tool call is out, or its outcome not on record yet.
    pub fn is_calling(&self) -> bool {
        self.ledger.is_busy()
    }

    fn end(&self, name: &str, stop: Stop) {
        if let Some(active) = self.active.borrow().get(name) {
            active.stop.send_replace(stop);
        }
    }

    /// Lets go of what has had its time, also when no call comes any more.
    pub fn sweep(&self) {
        self.ledger.sweep();
    }

    /// Answers one HTTP message: a request, a notification or a batch.
    pub async fn respond(self: Rc<Self>, body: Bytes, arrived: Micros) -> Response<AnswerBody> {
        if !body.trim_ascii_start().starts_with(b"[") {
            return match serde_json::from_slice::<Box<RawValue>>(&body) {
                Err(_) => self.fault(None, PARSE),
                Ok(raw) => match self.decode(&raw, arrived) {
                    Err((id, fault)) => self.fault(id.as_deref(), fault),
                    Ok(message) => self.single(message).await,
                },
            };
        }
        let items = match serde_json::from_slice::<Vec<Box<RawValue>>>(&body) {
            Err(_) => return self.fault(None, PARSE),
            Ok(items) if items.is_empty() || items.len() > MOST_BATCH => {
                return self.fault(None, INVALID);
            }
            Ok(items) => items,
        };
        let mut running = Vec::new();
        for raw in items {
            let front = self.clone();
            running.push(tokio::task::spawn_local(async move {
                front.of_batch(&raw, arrived).await
            }));
        }
        let mut answers = Vec::new();
        for task in running {
            if let Ok(Some(answer)) = task.await {
                answers.push(answer);
            }
        }
        if answers.is_empty() {
            return empty();
        }
        let mut body = vec![b'['];
        body.extend(answers.join(&b','));
        body.push(b']');
        fixed(StatusCode::OK, body)
    }

    fn decode(
        &self,
        raw: &RawValue,
        arrived: Micros,
    ) -> Result<Message, (Option<Box<RawValue>>, Fault)> {
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
            _ => Err((id(), INVALID)),
        }
    }

    fn fault(&self, id: Option<&RawValue>, fault: Fault) -> Response<AnswerBody> {
        let Fault(status, error) = fault;
        if status.is_client_error() {
            self.shared.counters.bad_requests.up();
        }
        let mut response = fixed(status, error_line(id, &error));
        if let Some(RetryAfter { retry_after }) = error.data {
            let micros = (retry_after * 1e6) as u64;
            if let Some(value) = refusal(Some(micros)).headers_mut().remove("retry-after") {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }

    async fn single(self: Rc<Self>, message: Message) -> Response<AnswerBody> {
        // By the specification nothing answers a notification, whatever becomes of it.
        if message.id.is_none() {
            self.notified(&message);
            return empty();
        }
        let id = message.id.clone();
        if message.method == "cancel" {
            let known = self.cancel(&message);
            return match known {
                Ok(known) => fixed(StatusCode::OK, result_line(id.as_deref(), known)),
                Err(fault) => self.fault(id.as_deref(), fault),
            };
        }
        match self.begin(message).await {
            Err(fault) => self.fault(id.as_deref(), fault),
            Ok(Begun::Recorded {
                id,
                name,
                rest,
                last,
            }) => {
                let mut body = Vec::new();
                if !rest.is_empty() {
                    let text = Some(rest.as_str());
                    body = notice(
                        "delta",
                        Notice {
                            request: &name,
                            text,
                            ordinal: None,
                            state: None,
                        },
                    );
                    body.push(b'\n');
                }
                body.extend(last.line(id.as_deref(), &name, None));
                let mut response = fixed(StatusCode::OK, body);
                let kind = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert("content-type", kind);
                response
            }
            Ok(Begun::Streams(job, feed, presence)) => {
                let (lines, body) = mpsc::channel(LINES);
                tokio::task::spawn_local(async move {
                    let mut sink = Sink::Lines(lines.clone());
                    match self.relay(job, feed, presence, &mut sink).await {
                        Ok(last) => {
                            if sink.line(last).await.is_ok() {
                                let _ = lines.send(Frame::End).await;
                            }
                        }
                        // Dropped without its end: the client's connection breaks off, and it comes again.
                        Err(ended) => {
                            log::info!("tool-call front: a stream ended early: {ended:?}");
                        }
                    }
                });
                let mut response = Response::new(AnswerBody::Lines(body));
                let kind = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert("content-type", kind);
                response
            }
        }
    }

    async fn of_batch(self: Rc<Self>, raw: &RawValue, arrived: Micros) -> Option<Vec<u8>> {
        let message = match self.decode(raw, arrived) {
            Ok(message) => message,
            Err((id, Fault(_, error))) => return Some(error_line(id.as_deref(), &error)),
        };
        if message.id.is_none() {
            self.notified(&message);
            return None;
        }
        let id = message.id.clone();
        let faulty = |Fault(_, error): Fault| Some(error_line(id.as_deref(), &error));
        if message.method == "cancel" {
            return self
                .cancel(&message)
                .map_or_else(faulty, |known| Some(result_line(id.as_deref(), known)));
        }
        match self.clone().begin(message).await {
            Err(fault) => faulty(fault),
            Ok(Begun::Recorded {
                id,
                name,
                rest,
                last,
            }) => Some(last.line(id.as_deref(), &name, Some(&rest))),
            Ok(Begun::Streams(job, feed, presence)) => {
                let mut sink = Sink::Text(String::new());
                self.relay(job, feed, presence, &mut sink)
                    .await
                    .map_or_else(|_| faulty(BROKEN), Some)
            }
        }
    }

    fn notified(&self, message: &Message) {
        if message.method != "cancel" || self.cancel(message).is_err() {
            self.shared.counters.bad_requests.up();
            log::debug!("notification {:?} is of no use here", message.method);
        }
    }

    /// Takes a request back: its attempts are dropped, and so are its tool calls in flight.
    fn cancel(&self, message: &Message) -> Result<bool, Fault> {
        let params = message
            .params
            .as_ref()
            .and_then(|p| serde_json::from_str::<CancelParams>(p.get()).ok());
        let request = params.ok_or(PARAMS)?.request;
        let active = self.active.borrow();
        let known = active
            .get(request.as_str())
            .map(|a| a.stop.send_replace(Stop::Cancelled));
        self.ledger.cancel(&request);
        Ok(known.is_some())
    }

    /// Checks a request and takes it to its first event.
    async fn begin(self: &Rc<Self>, message: Message) -> Result<Begun, Fault> {
        // What no epoch names is told at once; what one of two names, when it begins.
        if self.shared.gate.is_none() && !self.shared.has_class(&message.method) {
            return Err(NO_METHOD);
        }
        let params = message.params.as_ref().ok_or(PARAMS)?;
        let params: Params = serde_json::from_str(params.get()).map_err(|_| PARAMS)?;
        let short = |v: &Option<String>| v.as_ref().is_none_or(|v| v.len() <= 256);
        let sane = is_plain_id(&params.request)
            && (1..=MOST_DEADLINE_MS).contains(&params.deadline_ms)
            && params.messages.get().starts_with('[')
            && short(&params.session)
            && short(&params.prefix);
        if !sane {
            return Err(PARAMS);
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
            return Err(TOO_LONG);
        }
        if !(self.shared.may_serve)() {
            self.shared.counters.cut_off.up();
            return Err(Fault::refused(Some(RETRY_AFTER_CUT_OFF)));
        }
        // First of all: what is rejected must not take a stream from its client.
        let permit = self
            .shared
            .admit(&params.request)
            .map_err(|advice| Fault::refused(Some(advice)))?;
        let mut in_hand =
            self.take_in_hand(params.request.as_str().into(), params.resume.is_some())?;
        let deadline = message.arrived + params.deadline_ms * 1000;
        let pass = tokio::select! {
            pass = self.shared.begin(deadline) => pass.map_err(|advice| Fault::refused(Some(advice)))?,
            _ = in_hand.stop.wait_for(|s| *s != Stop::No) => return Err(CANCELLED),
        };
        if !self.shared.has_class(&message.method) {
            return Err(NO_METHOD);
        }
        let once = self.shared.is_at_most_once(&message.method);
        let claim = match self.claim(once, &params, deadline, &mut in_hand).await? {
            Ok(claim) => claim,
            Err(answer) => return recorded(message.id, in_hand.name.clone(), &params, answer),
        };
        // SIGHUP may have changed the class meanwhile, and the claim would promise what the dispatcher does not keep.
        if !self.shared.has_class(&message.method)
            || self.shared.is_at_most_once(&message.method) != once
        {
            claim.iter().for_each(Claim::refused);
            return Err(Fault::refused(Some(RETRY_AFTER_OVERLOAD)));
        }
        // One token is four characters.
        let prompt_tokens = params.prompt_len.unwrap_or(body.len() as u64 / 4);
        let ask = RequestSpec {
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
        // Fresh for every try, as on the platform; what lasts is the client's name for the request.
        let id = format!(
            "{:016x}",
            xxh3_64_with_seed(&in_hand.number.to_le_bytes(), self.seed)
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
        let waiting = self.shared.dispatcher.submit(ask, call, permit).answer();
        drop(pass);
        let (answer, presence) = tokio::select! {
            answered = waiting => answered,
            stop = async { in_hand.stop.wait_for(|s| *s != Stop::No).await.map_or(Stop::Moved, |s| *s) } => {
                if let Some(claim) = claim.filter(|_| stop == Stop::Cancelled) {
                    claim.ends(FinalResponse::Cancelled);
                }
                return Err(CANCELLED);
            }
        };
        let (calls, text) = params
            .resume
            .map_or((0, String::new()), |r| (r.calls, r.text));
        match answer {
            Answer::Rejected { retry_after } => {
                claim.iter().for_each(Claim::refused);
                Err(Fault::refused(retry_after))
            }
            Answer::Failed => {
                claim
                    .iter()
                    .for_each(|claim| claim.ends(FinalResponse::Failed));
                Err(FAILED)
            }
            Answer::Stream(feed) => {
                in_hand.streaming.set(true);
                claim.iter().for_each(Claim::began);
                let (id, name, text) = (
                    message.id,
                    in_hand.name.clone(),
                    claim.is_some().then_some(text),
                );
                Ok(Begun::Streams(
                    Job {
                        id,
                        name,
                        calls,
                        claim,
                        text,
                        in_hand,
                    },
                    feed,
                    presence,
                ))
            }
        }
    }

    /// Asks the fleet for the request, where it keeps records: a claim, or the answer that it has had already.
    async fn claim(
        &self,
        once: bool,
        params: &Params,
        deadline: Micros,
        in_hand: &mut InHand,
    ) -> Result<Result<Option<Claim>, FinalResponse>, Fault> {
        let Some(work) = self.work.clone() else {
            return Ok(Ok(None));
        };
        let (name, resumes) = (params.request.clone(), params.resume.is_some());
        // A task of its own: a claim that comes when nobody waits any more has to be let go of.
        let asking = tokio::task::spawn_local(async move {
            Claim::ask(&work, &name, once, resumes, deadline).await
        });
        let claimed = tokio::select! {
            claimed = asking => claimed.unwrap_or(Claimed::NotNow),
            _ = in_hand.stop.wait_for(|s| *s != Stop::No) => return Err(CANCELLED),
        };
        match claimed {
            Claimed::Mine(claim) => Ok(Ok(Some(claim))),
            Claimed::Ended(answer) => Ok(Err(answer)),
            Claimed::InHand => Err(IN_HAND),
            Claimed::Begun => Err(BROKEN),
            Claimed::NotNow => Err(Fault::refused(Some(RETRY_AFTER_CUT_OFF))),
        }
    }

    fn take_in_hand(self: &Rc<Self>, name: Rc<str>, resumes: bool) -> Result<InHand, Fault> {
        let number = self.next.get();
        self.next.set(number + 1);
        let (stop, stopped) = watch::channel(Stop::No);
        let streaming = Rc::new(Cell::new(false));
        let mut active = self.active.borrow_mut();
        if let Some(before) = active.get(&name) {
            // Asking for the rest moves a stream that runs. What hasn't begun has no rest: a second try beside
            // it could run twice what must not.
            if !resumes || !before.streaming.get() {
                return Err(IN_HAND);
            }
            before.stop.send_replace(Stop::Moved);
        }
        active.insert(
            name.clone(),
            Active {
                stop,
                streaming: streaming.clone(),
                number,
            },
        );
        drop(active);
        Ok(InHand {
            front: self.clone(),
            name,
            number,
            streaming,
            stop: stopped,
        })
    }

    /// Passes an answer on, with its tool calls, and gives its last line.
    async fn relay(
        self: &Rc<Self>,
        mut job: Job,
        mut feed: StreamReceiver,
        mut presence: DisconnectNotifier,
        sink: &mut Sink,
    ) -> Result<Vec<u8>, Ended> {
        let (mut stop, now) = (job.in_hand.stop.clone(), job.in_hand.stop.clone());
        let mut events = Events::default();
        let mut answer = Progress {
            finish: String::from("stop"),
            usage: None,
        };
        let ended = loop {
            let frame = tokio::select! {
                biased;
                _ = stop.wait_for(|s| *s != Stop::No) => break Err(stopped(&now)),
                () = sink.gone() => break Err(Ended::Left),
                frame = feed.next() => frame,
            };
            match frame {
                Some(Frame::Data(data)) => events.take(&data)?,
                Some(Frame::End) => {
                    presence.finished();
                    break Ok(());
                }
                None => {
                    presence.finished();
                    break Err(Ended::Broken);
                }
            }
            if let Err(ended) = self
                .events(&mut events, &mut job, &mut feed, sink, &mut answer)
                .await
            {
                break Err(ended);
            }
        };
        match ended {
            Ok(()) => {
                let Progress { finish, usage } = answer;
                let mut last = Last {
                    finish,
                    calls: job.calls,
                    usage,
                };
                if let Some(claim) = &job.claim {
                    // On record before the client hears it: it is the same then at whichever conductor it asks.
                    let answer = FinalResponse::Completed {
                        text: job.text.take(),
                        last_line: encode(&last),
                    };
                    match claim.end(answer).await {
                        Some(FinalResponse::Completed {
                            last_line: stands, ..
                        }) => {
                            last = serde_json::from_slice(&stands).map_err(|_| Ended::Broken)?;
                        }
                        Some(FinalResponse::Failed) => {
                            return Ok(error_line(job.id.as_deref(), &FAILED.1));
                        }
                        Some(FinalResponse::Cancelled) => {
                            return Ok(error_line(job.id.as_deref(), &CANCELLED.1));
                        }
                        None => return Err(Ended::Broken),
                    }
                }
                let text = if let Sink::Text(text) = &*sink {
                    Some(text.as_str())
                } else {
                    None
                };
                Ok(last.line(job.id.as_deref(), &job.name, text))
            }
            // A request taken back has its response all the same.
            Err(Ended::Cancelled) => {
                job.claim
                    .iter()
                    .for_each(|claim| claim.ends(FinalResponse::Cancelled));
                Ok(error_line(job.id.as_deref(), &CANCELLED.1))
            }
            Err(ended) => Err(ended),
        }
    }

    async fn events(
        self: &Rc<Self>,
        events: &mut Events,
        job: &mut Job,
        feed: &mut StreamReceiver,
        sink: &mut Sink,
        answer: &mut Progress,
    ) -> Result<(), Ended> {
        while let Some(event) = events.next()? {
            if event.is_empty() || event == "[DONE]" {
                continue;
            }
            let event: WriterEvent = serde_json::from_str(&event).map_err(|_| Ended::Broken)?;
            if let Some(method) = event.method {
                let message = Message {
                    jsonrpc: event.jsonrpc.unwrap_or_default(),
                    id: event.id,
                    method,
                    params: event.params,
                    arrived: self.shared.dispatcher.clock.now(),
                };
                if !message.is_valid() {
                    return Err(Ended::Broken);
                }
                self.tool_call(message, events, job, feed, sink).await?;
                continue;
            }
            answer.usage = event.usage.or(answer.usage.take());
            for choice in event.choices {
                if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
                    job.keep(&text);
                    if let Sink::Text(all) = sink {
                        if all.len() + text.len() > MOST_TEXT {
                            return Err(Ended::Broken);
                        }
                        all.push_str(&text);
                    }
                    sink.line(notice(
                        "delta",
                        Notice {
                            request: &job.name,
                            text: Some(&text),
                            ordinal: None,
                            state: None,
                        },
                    ))
                    .await?;
                }
                if let Some(reason) = choice.finish_reason {
                    answer.finish = reason;
                }
            }
        }
        Ok(())
    }

    /// Relays one tool call and its outcome. The writer may die, the client may leave or take its request back
    /// meanwhile: this ends then, the call does not, and its outcome waits in the ledger.
    async fn tool_call(
        self: &Rc<Self>,
        call: Message,
        events: &mut Events,
        job: &mut Job,
        feed: &mut StreamReceiver,
        sink: &mut Sink,
    ) -> Result<(), Ended> {
        let ordinal = job.calls;
        job.calls += 1;
        let told = |state| Notice {
            request: &job.name,
            text: None,
            ordinal: Some(ordinal),
            state: Some(state),
        };
        let key = CallKey {
            request: job.name.clone(),
            ordinal,
        };
        let (mut stop, now) = (job.in_hand.stop.clone(), job.in_hand.stop.clone());
        let gone = sink.gone();
        tokio::pin!(gone);
        // Begun before the client hears of it: a client that stalls must not keep the tool waiting.
        let calling =
            self.ledger
                .call(key, job.claim.clone(), &call.method, call.params.as_deref());
        tokio::pin!(calling);
        feed.set_paused(true);
        let mut notify = Some(notice("tool", told("calling")));
        let mut over = false;
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = &mut calling => break outcome,
                sent = async { sink.line(notify.clone().unwrap_or_default()).await }, if notify.is_some() => {
                    sent?;
                    notify = None;
                }
                _ = stop.wait_for(|s| *s != Stop::No) => return Err(stopped(&now)),
                () = &mut gone => return Err(Ended::Left),
                // What the writer says meanwhile is kept for later; past its bound the writer has to wait.
                frame = feed.next(), if !over && events.len() < MOST_EVENT => match frame {
                    Some(Frame::Data(data)) => events.take(&data)?,
                    Some(Frame::End) => over = true,
                    None => return Err(Ended::Broken),
                },
            }
        };
        if let Some(line) = notify {
            sink.line(line).await?;
        }
        if let Some(id) = &call.id {
            let (result, error) = match &outcome {
                Outcome::Result(raw) => (Some(&**raw), None),
                Outcome::ToolSaid(raw) => (None, Some(ToWriterError::Tool(raw))),
                Outcome::Error(error) => (None, Some(ToWriterError::Own(error))),
            };
            let reply = encode(&ToWriter {
                jsonrpc: "2.0",
                id,
                result,
                error,
            });
            if !feed.reply(reply.into()).await {
                return Err(Ended::Broken);
            }
        }
        feed.set_paused(false);
        let state = if matches!(outcome, Outcome::Result(_)) {
            "done"
        } else {
            "error"
        };
        sink.line(notice("tool", told(state))).await?;
        // A stream that ended before its call was answered has nothing more to say.
        if over { Err(Ended::Broken) } else { Ok(()) }
    }
}

impl Job {
    /// Keeps a piece of the answer's text for the record, while there is room for the whole.
    fn keep(&mut self, piece: &str) {
        let most = self.claim.as_ref().map_or(0, Claim::most_text);
        if let Some(text) = &mut self.text {
            if text.len() + piece.len() <= most {
                text.push_str(piece);
            } else {
                self.text = None;
            }
        }
    }
}

impl Last {
    fn line(&self, id: Option<&RawValue>, request: &str, text: Option<&str>) -> Vec<u8> {
        let Last {
            finish,
            calls,
            usage,
        } = self;
        result_line(
            id,
            Finished {
                request,
                finish,
                calls: *calls,
                text,
                usage: usage.as_deref(),
            },
        )
    }
}

/// What a client gets that asks for an answer on record: the part that it does not have.
fn recorded(
    id: Option<Box<RawValue>>,
    name: Rc<str>,
    params: &Params,
    answer: FinalResponse,
) -> Result<Begun, Fault> {
    let (text, last) = match answer {
        FinalResponse::Failed => return Err(FAILED),
        FinalResponse::Cancelled => return Err(CANCELLED),
        FinalResponse::Completed {
            text,
            last_line: last,
        } => (text, last),
    };
    let has = params.resume.as_ref().map_or("", |r| r.text.as_str());
    let rest = text
        .as_deref()
        .and_then(|text| text.strip_prefix(has))
        .ok_or(NOT_KEPT)?
        .to_owned();
    let last = serde_json::from_slice(&last).map_err(|_| NOT_KEPT)?;
    Ok(Begun::Recorded {
        id,
        name,
        rest,
        last,
    })
}

fn stopped(stop: &watch::Receiver<Stop>) -> Ended {
    if *stop.borrow() == Stop::Cancelled {
        Ended::Cancelled
    } else {
        Ended::Left
    }
}

struct Progress {
    finish: String,
    usage: Option<Box<RawValue>>,
}

/// Server-sent events out of a stream of bytes.
#[derive(Default)]
struct Events {
    bytes: BytesMut,
}

impl Events {
    fn len(&self) -> usize {
        self.bytes.len()
    }

    fn take(&mut self, data: &[u8]) -> Result<(), Ended> {
        self.bytes.extend_from_slice(data);
        if self.bytes.len() > 2 * MOST_EVENT {
            Err(Ended::Broken)
        } else {
            Ok(())
        }
    }

    /// The data of the next whole event; comments and other fields are skipped.
    fn next(&mut self) -> Result<Option<String>, Ended> {
        let mut data = String::new();
        let mut at = 0;
        while let Some(end) = self.bytes[at..].iter().position(|b| *b == b'\n') {
            let line = std::str::from_utf8(&self.bytes[at..at + end]).map_err(|_| Ended::Broken)?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            at += end + 1;
            if line.is_empty() {
                let _ = self.bytes.split_to(at);
                return Ok(Some(data));
            }
            if let Some(part) = line.strip_prefix("data:") {
                if !data.is_empty() {
                    data.push('\n');
                }
                data.push_str(part.strip_prefix(' ').unwrap_or(part));
            }
        }
        if self.bytes.len() > MOST_EVENT {
            Err(Ended::Broken)
        } else {
            Ok(None)
        }
    }
}

fn notice(method: &'static str, params: Notice<'_>) -> Vec<u8> {
    let (method, params) = (Some(method), Some(params));
    encode(&Line::<()> {
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
    encode(&Line {
        jsonrpc: "2.0",
        method: None,
        params: None,
        id,
        result: Some(result),
        error: None,
    })
}

fn fixed(status: StatusCode, mut body: Vec<u8>) -> Response<AnswerBody> {
    body.push(b'\n');
    let mut response = Response::new(AnswerBody::Fixed(Some(body.into())));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert("content-type", HeaderValue::from_static("application/json"));
    response
}

fn empty() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Fixed(None));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}

#[cfg(test)]
mod tests;
