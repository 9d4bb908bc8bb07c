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
mod batch;
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
use super::run_table::{RunDenial, RunName, RunOptions, RunRecord};
use super::shared::{RETRY_AFTER_CUT_OFF, RETRY_AFTER_OVERLOAD, Shared};
use crate::config::ToolSettings;
use crate::exchange::{
    Answer, DisconnectNotifier, Frame, StreamReceiver, UpstreamRequest, frame_channel,
};
use crate::fleet::transport::work::TakeoverClient;
use crate::fleet::work::FinalResponse;
use crate::memory::Buffer;
use crate::routing::types::{Micros, RequestId, RequestSpec};
use active::{ActiveGuard, ActiveRequest, StopSignal};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use messages::{
    ALREADY_IN_PROGRESS, CANCELLED, ErrorResponse, FAILED, FinalLine, INVALID_PARAMS,
    METHOD_NOT_FOUND, NotificationParams, RetryAfter, STREAM_BROKEN, TEXT_NOT_KEPT, error_line,
    notification_line, result_line,
};
use relay::StreamingRequest;
use request::{ClientBody, ClientMessage, CompletionRequest, InvalidMessage};
use serde_json::value::RawValue;
use sink::Sink;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
        id: Rc<RawValue>,
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
        let ledger = Ledger::new(
            settings,
            connect_timeout,
            shared.counters.clone(),
            shared.body_budget.clone(),
        );
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
    pub async fn respond(self: Rc<Self>, body: Buffer, arrived: Micros) -> Response<AnswerBody> {
        match ClientBody::decode(body, arrived, &self.shared) {
            Ok(ClientBody::Single(Ok(message))) => self.respond_to_message(message).await,
            Ok(ClientBody::Single(Err(InvalidMessage { id, error }))) => {
                self.error_response(id.as_deref(), error)
            }
            Ok(ClientBody::Batch(messages)) => self.respond_to_batch(messages).await,
            Err(error) => self.error_response(None, error),
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
        let mut response = self.json_response(status, error_line(id, &error));
        if let Some(RetryAfter { retry_after }) = error.data {
            let micros = (retry_after * 1e6) as u64;
            if let Some(value) = refusal(Some(micros)).headers_mut().remove("retry-after") {
                response.headers_mut().insert("retry-after", value);
            }
        }
        response
    }

    /// A response with a JSON body, which counts against the memory budget until it is written to the client.
    fn json_response(&self, status: StatusCode, mut body: Vec<u8>) -> Response<AnswerBody> {
        body.push(b'\n');
        let body = Buffer::overdrawn(body, &self.shared.body_budget).freeze();
        let mut response = Response::new(AnswerBody::Fixed(Some(body)));
        *response.status_mut() = status;
        response
            .headers_mut()
            .insert("content-type", HeaderValue::from_static("application/json"));
        response
    }

    async fn respond_to_message(self: Rc<Self>, message: ClientMessage) -> Response<AnswerBody> {
        let request = match message {
            // By the specification, a notification gets no response, not even an error.
            ClientMessage::Notification { cancels } => {
                self.handle_notification(cancels.as_deref());
                return no_content();
            }
            ClientMessage::Cancel { id, request } => {
                return match self.cancel(request.as_deref()) {
                    Ok(was_active) => {
                        self.json_response(StatusCode::OK, result_line(&id, was_active))
                    }
                    Err(error) => self.error_response(Some(&id), error),
                };
            }
            ClientMessage::Completion(request) => *request,
        };
        let id = request.id.clone();
        match self.start_request(request).await {
            Err(error) => self.error_response(Some(&id), error),
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
                body.extend(last.line(&id, &name, None));
                let mut response = self.json_response(StatusCode::OK, body);
                let content_type = HeaderValue::from_static("application/x-ndjson");
                response.headers_mut().insert("content-type", content_type);
                response
            }
            Ok(StartedRequest::Streaming(request, stream, notifier)) => {
                let (lines, body) = frame_channel();
                tokio::task::spawn_local(async move {
                    let mut sink = Sink::Lines(lines.clone());
                    match self.relay(request, stream, notifier, &mut sink).await {
                        Ok(last) => {
                            if sink.send_line(last, &self.shared.body_budget).await.is_ok() {
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

    fn handle_notification(&self, cancels: Option<&str>) {
        if self.cancel(cancels).is_err() {
            self.shared.counters.bad_requests.up();
            log::debug!("json-rpc: ignoring a notification: unknown method or invalid params");
        }
    }

    /// Cancels a request, its attempts and its tool calls in flight. Returns whether the request was active.
    fn cancel(&self, request: Option<&str>) -> Result<bool, ErrorResponse> {
        let request = request.ok_or(INVALID_PARAMS)?;
        let active = self.active.borrow();
        let previous_signal = active
            .get(request)
            .map(|a| a.stop.send_replace(StopSignal::Cancelled));
        self.ledger.cancel(request);
        Ok(previous_signal.is_some())
    }

    /// Claims a request, submits it and waits until its answer starts or fails.
    async fn start_request(
        self: &Rc<Self>,
        request: CompletionRequest,
    ) -> Result<StartedRequest, ErrorResponse> {
        let name = RunName::JsonRpc(request.name.clone());
        let is_resume = request.resume.is_some();
        if let Some(denial) = self.shared.find_earlier_run(&name, is_resume) {
            return Err(run_denied(denial));
        }
        if !(self.shared.may_serve)() {
            self.shared.counters.cut_off.up();
            return Err(ErrorResponse::rejected(Some(RETRY_AFTER_CUT_OFF)));
        }
        // Before the request is registered: a rejected request must not end a running stream of the same name.
        let permit = self
            .shared
            .admit(&request.name)
            .map_err(|advice| ErrorResponse::rejected(Some(advice)))?;
        let mut guard = self.register(request.name.clone(), request.resume.is_some())?;
        let pass = tokio::select! {
            pass = self.shared.begin(request.deadline) => pass.map_err(|advice| ErrorResponse::rejected(Some(advice)))?,
            _ = guard.stop.wait_for(|s| *s != StopSignal::None) => return Err(CANCELLED),
        };
        if !self.shared.has_class(&request.class) {
            return Err(METHOD_NOT_FOUND);
        }
        let at_most_once = self.shared.is_at_most_once(&request.class);
        let claim = match self.claim(at_most_once, &request, &mut guard).await? {
            Ok(claim) => claim,
            Err(answer) => return recorded_answer(&request, answer),
        };
        let run_record = self.begin_run(&request)?;
        // A reload (SIGHUP) may have changed the class in the meantime; the claim and the
        // dispatcher would then disagree on whether the request may run more than once.
        if !self.shared.has_class(&request.class)
            || self.shared.is_at_most_once(&request.class) != at_most_once
        {
            claim.iter().for_each(Claim::mark_not_executed);
            return Err(ErrorResponse::rejected(Some(RETRY_AFTER_OVERLOAD)));
        }
        // Estimate: four bytes per token.
        let prompt_tokens = request
            .prompt_tokens
            .unwrap_or(request.prompt.len() as u64 / 4);
        let spec = RequestSpec {
            request: RequestId(0),
            deadline: request.deadline,
            session: request.session.map(Into::into),
            prefix: request.prefix.map(Into::into),
            prefix_tokens: request.prefix_tokens.min(prompt_tokens),
            prompt_tokens,
            max_tokens: request.max_tokens,
            duration_hint: None,
            class: request.class,
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
            body: request.prompt.into(),
            lifetime_guards: None,
            run_record,
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
        let (calls, text) = request
            .resume
            .map_or((0, String::new()), |r| (r.calls, r.text));
        match answer {
            Answer::Rejected {
                may_have_run,
                retry_after,
            } if !(may_have_run && at_most_once && claim.is_some()) => {
                claim.iter().for_each(Claim::mark_not_executed);
                Err(ErrorResponse::rejected(retry_after))
            }
            // Rejected, which is harmless while its window lasts: but nobody knows for how long the client waits, so the
            // record says that it has failed, and the client hears the same.
            Answer::Failed | Answer::Rejected { .. } => {
                claim
                    .iter()
                    .for_each(|claim| claim.complete_in_background(FinalResponse::Failed));
                Err(FAILED)
            }
            Answer::Stream(stream) => {
                guard.streaming.set(true);
                claim.iter().for_each(Claim::response_started);
                Ok(StartedRequest::Streaming(
                    StreamingRequest {
                        id: request.id,
                        name: guard.name.clone(),
                        calls,
                        text: claim.is_some().then_some(text),
                        claim,
                        memory: request.memory,
                        guard,
                    },
                    stream,
                    notifier,
                ))
            }
        }
    }

    /// Enters a request that is not harmless to repeat among those in progress. With `[takeover]` the fleet's record, which a
    /// claim waits for before anything is sent, says more than this router knows.
    fn begin_run(
        &self,
        request: &CompletionRequest,
    ) -> Result<Option<Rc<RunRecord>>, ErrorResponse> {
        let retention = self.shared.run_retention(&request.class);
        if self.work.is_some() || retention.is_none() {
            return Ok(None);
        }
        let options = RunOptions {
            retention,
            is_resume: request.resume.is_some(),
        };
        let name = RunName::JsonRpc(request.name.clone());
        let begun = self.shared.begin_run(name, options);
        begun.map(Some).map_err(run_denied)
    }

    /// Claims the request in the fleet. Returns `Ok(Ok(None))` if the fleet keeps no records, and `Ok(Err(_))` with the
    /// final response if one is already recorded.
    async fn claim(
        &self,
        at_most_once: bool,
        request: &CompletionRequest,
        guard: &mut ActiveGuard,
    ) -> Result<Result<Option<Claim>, FinalResponse>, ErrorResponse> {
        let Some(work) = self.work.clone() else {
            return Ok(Ok(None));
        };
        let (name, is_resume) = (request.name.clone(), request.resume.is_some());
        let deadline = request.deadline;
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

/// What the client hears when a request must not begin.
fn run_denied(denial: RunDenial) -> ErrorResponse {
    match denial {
        RunDenial::InProgress => ALREADY_IN_PROGRESS,
        RunDenial::MayHaveRun => FAILED,
        RunDenial::HasStarted => STREAM_BROKEN,
        RunDenial::Full => ErrorResponse::rejected(Some(RETRY_AFTER_OVERLOAD)),
    }
}

/// Answers a request whose final response is already recorded: with the part of the text that the client does not have.
fn recorded_answer(
    request: &CompletionRequest,
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
    let remaining_text = text
        .as_deref()
        .and_then(|text| text.strip_prefix(request.received_text()))
        .ok_or(TEXT_NOT_KEPT)?
        .to_owned();
    let last = serde_json::from_slice(&last).map_err(|_| TEXT_NOT_KEPT)?;
    Ok(StartedRequest::Recorded {
        id: request.id.clone(),
        name: request.name.clone(),
        remaining_text,
        last,
    })
}

fn no_content() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Fixed(None));
    *response.status_mut() = StatusCode::NO_CONTENT;
    response
}
