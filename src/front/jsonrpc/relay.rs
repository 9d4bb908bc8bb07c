//! Relays a decode worker's stream to a client, and the tool calls in it to the tool server.

use super::Front;
use super::active::{ActiveGuard, StopSignal};
use super::events::{DecodeEvent, EventParser, MAX_EVENT_BYTES, ToolCall};
use super::messages::{
    CANCELLED, FAILED, FinalLine, NotificationParams, ToolReply, ToolReplyError, encode,
    error_line, notification_line,
};
use super::sink::{CollectError, Sink};
use crate::exchange::{DisconnectNotifier, Frame, StreamReceiver};
use crate::fleet::work::FinalResponse;
use crate::front::ledger::{CallKey, Outcome, StartedCall};
use crate::front::record::Claim;
use crate::memory::{Buffer, Reservation};
use serde_json::value::RawValue;
use std::rc::Rc;
use tokio::sync::watch;

/// Why relaying a stream failed or was stopped.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum RelayError {
    /// The client disconnected or stalled, or the request continues elsewhere.
    ClientGone,
    /// The decode worker's stream ended early or is malformed.
    StreamBroken,
    /// The client cancelled the request.
    Cancelled,
    /// The decode worker's answer is complete, but the fleet did not record it in time. The client asks for it again.
    NotRecorded,
}

/// A request whose answer streams.
pub(super) struct StreamingRequest {
    pub(super) id: Rc<RawValue>,
    pub(super) name: Rc<str>,
    /// The number of tool calls so far, including those that the client had before it resumed.
    pub(super) calls: u32,
    pub(super) claim: Option<Claim>,
    /// The answer's text so far; `None` without a claim, or once it is too long to be recorded.
    pub(super) text: Option<String>,
    /// The reservation for the id and the text.
    pub(super) memory: Reservation,
    pub(super) guard: ActiveGuard,
}

impl StreamingRequest {
    /// Adds to the text that is recorded with the final response; drops all of it once it is too long to be recorded, or
    /// the memory budget has no room for it.
    pub(super) fn append_text(&mut self, piece: &str) {
        let max_bytes = self.claim.as_ref().map_or(0, Claim::max_text_bytes);
        if let Some(text) = &mut self.text {
            let is_recordable = text.len() + piece.len() <= max_bytes;
            if is_recordable && self.memory.grow(piece.len()).is_ok() {
                text.push_str(piece);
            } else {
                self.text = None;
            }
        }
    }
}

/// What the final line needs from the events of a stream.
pub(super) struct StreamSummary {
    pub(super) finish: String,
    pub(super) usage: Option<Box<RawValue>>,
}

pub(super) fn stop_error(stop: &watch::Receiver<StopSignal>) -> RelayError {
    if *stop.borrow() == StopSignal::Cancelled {
        RelayError::Cancelled
    } else {
        RelayError::ClientGone
    }
}

/// A tool call whose outcome the decode worker waits for.
struct PendingToolCall {
    /// The number of calls before this one in the request's answer.
    ordinal: u32,
    started: StartedCall,
    /// The id that the response to the decode worker must have; `None` if it expects no response.
    reply_id: Option<Box<RawValue>>,
}

impl Front {
    /// Relays an answer and its tool calls to `sink`, and returns the final line, which the caller sends.
    pub(super) async fn relay(
        self: &Rc<Self>,
        mut request: StreamingRequest,
        mut stream: StreamReceiver,
        mut notifier: DisconnectNotifier,
        sink: &mut Sink,
    ) -> Result<Vec<u8>, RelayError> {
        let (mut stop, stop_state) = (request.guard.stop.clone(), request.guard.stop.clone());
        let mut events = EventParser::new(&self.shared.body_budget);
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
                            return Ok(error_line(Some(&request.id), &FAILED.error));
                        }
                        Some(FinalResponse::Cancelled) => {
                            return Ok(error_line(Some(&request.id), &CANCELLED.error));
                        }
                        None => return Err(RelayError::NotRecorded),
                    }
                }
                Ok(last.line(&request.id, &request.name, sink.text()))
            }
            // A cancelled request still gets a response.
            Err(RelayError::Cancelled) => {
                request
                    .claim
                    .iter()
                    .for_each(|claim| claim.complete_in_background(FinalResponse::Cancelled));
                Ok(error_line(Some(&request.id), &CANCELLED.error))
            }
            Err(error) => Err(error),
        }
    }

    /// Counts and logs why an answer in a batch ends early.
    fn cannot_collect(&self, error: &CollectError) -> RelayError {
        if let CollectError::Memory(_) = error {
            self.shared.counters.over_bound.up();
        }
        log::info!("json-rpc: {error}; it ends as a broken stream");
        RelayError::StreamBroken
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
        while let Some(data) = events.next_event()? {
            if data.is_empty() || data == "[DONE]" {
                continue;
            }
            let mut event = DecodeEvent::parse(&data)?;
            if let Some(call) = event.take_tool_call()? {
                let call = self.start_tool_call(call, request);
                // The call may take long; its arguments are not needed here any more.
                drop(event);
                drop(data);
                self.finish_tool_call(call, events, request, stream, sink)
                    .await?;
                continue;
            }
            summary.usage = event.usage.or(summary.usage.take());
            let choices = event.choices;
            // A client may be slow to take the texts; the event is not needed until then.
            drop(data);
            for choice in choices {
                if let Some(text) = choice.delta.content.filter(|t| !t.is_empty()) {
                    self.relay_text(text, request, sink).await?;
                }
                if let Some(reason) = choice.finish_reason {
                    summary.finish = reason;
                }
            }
        }
        Ok(())
    }

    /// Relays a part of the answer's text.
    async fn relay_text(
        &self,
        text: String,
        request: &mut StreamingRequest,
        sink: &mut Sink,
    ) -> Result<(), RelayError> {
        request.append_text(&text);
        sink.collect(&text)
            .map_err(|error| self.cannot_collect(&error))?;
        let line = notification_line(
            "delta",
            NotificationParams {
                request: &request.name,
                text: Some(&text),
                ordinal: None,
                state: None,
            },
        );
        drop(text);
        sink.send_line(line, &self.shared.body_budget).await
    }

    /// Starts a tool call before the client is notified, so that a stalled client does not delay the tool.
    fn start_tool_call(&self, call: ToolCall, request: &mut StreamingRequest) -> PendingToolCall {
        let ordinal = request.calls;
        request.calls += 1;
        let key = CallKey {
            request: request.name.clone(),
            ordinal,
        };
        let started = self
            .ledger
            .start(key, request.claim.clone(), &call.method, call.params);
        PendingToolCall {
            ordinal,
            started,
            reply_id: call.id,
        }
    }

    /// Relays the outcome of a tool call. If the decode worker fails, or the client disconnects, this returns early, but
    /// the call continues and its outcome is kept in the ledger. (A cancellation by the client cancels the call, too.)
    async fn finish_tool_call(
        self: &Rc<Self>,
        call: PendingToolCall,
        events: &mut EventParser,
        request: &mut StreamingRequest,
        stream: &mut StreamReceiver,
        sink: &mut Sink,
    ) -> Result<(), RelayError> {
        let tool_notice = |state| NotificationParams {
            request: &request.name,
            text: None,
            ordinal: Some(call.ordinal),
            state: Some(state),
        };
        let (mut stop, stop_state) = (request.guard.stop.clone(), request.guard.stop.clone());
        let client_gone = sink.closed();
        tokio::pin!(client_gone);
        let pending_outcome = self.ledger.outcome(call.started);
        tokio::pin!(pending_outcome);
        stream.set_paused(true);
        let mut unsent_notice = Some(notification_line("tool", tool_notice("calling")));
        let mut stream_ended = false;
        let outcome = loop {
            tokio::select! {
                biased;
                outcome = &mut pending_outcome => break outcome,
                sent = async { sink.send_line(unsent_notice.clone().unwrap_or_default(), &self.shared.body_budget).await }, if unsent_notice.is_some() => {
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
            sink.send_line(line, &self.shared.body_budget).await?;
        }
        if let Some(id) = &call.reply_id {
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
            let reply = Buffer::overdrawn(reply, &self.shared.body_budget).freeze();
            if !stream.reply(reply).await {
                return Err(RelayError::StreamBroken);
            }
        }
        stream.set_paused(false);
        let state = if matches!(outcome, Outcome::Result(_)) {
            "done"
        } else {
            "error"
        };
        let line = notification_line("tool", tool_notice(state));
        sink.send_line(line, &self.shared.body_budget).await?;
        // The stream ended before its tool call was answered, so the answer cannot be complete.
        if stream_ended {
            Err(RelayError::StreamBroken)
        } else {
            Ok(())
        }
    }
}
