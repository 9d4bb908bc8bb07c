//! The JSON-RPC 2.0 front end, for clients on unreliable links, with tool calls that are relayed in the middle of a
//! response stream.
//!
//! A client posts a request whose method names a request class. The response body has one JSON object per line: `delta`
//! and `tool` notifications while the answer streams, then the JSON-RPC response. A decode worker's stream may contain a
//! JSON-RPC request: it is sent to the tool server through the [ledger](super::ledger), its outcome is sent back to the
//! decode worker, and the stream continues. When a stream breaks, the client's connection is closed without the last
//! chunk; the client then repeats its request under the same name (`request` in the parameters) and states in `resume`
//! how much of the answer it has.

mod active;
mod events;
mod messages;
mod relay;
mod request;
mod sink;
#[cfg(test)]
mod tests;

pub(super) use messages::deserialize_present;

use super::ledger::Ledger;
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
use active::{ActiveGuard, ActiveRequest, StopSignal};
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use messages::{
    ALREADY_IN_PROGRESS, CANCELLED, ErrorResponse, FAILED, FinalLine, INVALID_PARAMS,
    INVALID_REQUEST, METHOD_NOT_FOUND, NotificationParams, PARSE_ERROR, PROMPT_TOO_LONG,
    RetryAfter, STREAM_BROKEN, TEXT_NOT_KEPT, encode, error_line, is_id, notification_line,
    result_line,
};
use relay::StreamingRequest;
use request::{CancelParams, Message, Params, Prompt};
use serde::Deserialize;
use serde_json::value::RawValue;
use sink::{MAX_QUEUED_LINES, Sink};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of messages in a batch.
const MAX_BATCH_REQUESTS: usize = 16;
/// The longest accepted deadline, relative to the request's arrival.
const MAX_DEADLINE_MS: u64 = 600_000;

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
        ErrorResponse { status, error }: ErrorResponse,
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
            Err((id, ErrorResponse { error, .. })) => {
                return Some(error_line(id.as_deref(), &error));
            }
        };
        if message.id.is_none() {
            self.handle_notification(&message);
            return None;
        }
        let id = message.id.clone();
        let encode_error =
            |ErrorResponse { error, .. }: ErrorResponse| Some(error_line(id.as_deref(), &error));
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
