//! Batches: several messages in one HTTP body, whose answers are collected into one response.

use super::messages::{ErrorResponse, STREAM_BROKEN, error_line, result_line};
use super::request::{ClientMessage, CompletionRequest, InvalidMessage};
use super::sink::Sink;
use super::{Front, StartedRequest, no_content};
use crate::front::platform::AnswerBody;
use crate::front::shared::RETRY_AFTER_OVERLOAD;
use crate::memory::Buffer;
use hyper::{Response, StatusCode};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::task::JoinSet;

impl Front {
    /// Handles the messages of a batch concurrently, and responds when all of them have their answers.
    pub(super) async fn respond_to_batch(
        self: Rc<Self>,
        messages: Vec<Result<ClientMessage, InvalidMessage>>,
    ) -> Response<AnswerBody> {
        // When the client disconnects, this future is dropped, and with the set all messages that are in progress.
        let mut tasks = JoinSet::new();
        for (index, message) in messages.into_iter().enumerate() {
            let answer = self.clone().answer_in_batch(message);
            tasks.spawn_local(async move { (index, answer.await) });
        }
        let mut answers = BTreeMap::new();
        while let Some(result) = tasks.join_next().await {
            if let Ok((index, Some(answer))) = result {
                answers.insert(index, answer);
            }
        }
        if answers.is_empty() {
            return no_content();
        }
        self.json_response(StatusCode::OK, join(answers.into_values().collect()))
    }

    /// Handles one message of a batch, and returns the answer; `None` for a notification.
    async fn answer_in_batch(
        self: Rc<Self>,
        message: Result<ClientMessage, InvalidMessage>,
    ) -> Option<Buffer> {
        let answer = match message {
            Ok(ClientMessage::Notification { cancels }) => {
                self.handle_notification(cancels.as_deref());
                return None;
            }
            Ok(ClientMessage::Cancel { id, request }) => self
                .cancel(request.as_deref())
                .map_or_else(error_answer(&id), |was_active| result_line(&id, was_active)),
            Ok(ClientMessage::Completion(request)) => {
                let id = request.id.clone();
                self.clone()
                    .complete_in_batch(*request)
                    .await
                    .unwrap_or_else(error_answer(&id))
            }
            Err(InvalidMessage { id, error }) => error_line(id.as_deref(), &error.error),
        };
        Some(Buffer::overdrawn(answer, &self.shared.body_budget))
    }

    async fn complete_in_batch(
        self: Rc<Self>,
        request: CompletionRequest,
    ) -> Result<Vec<u8>, ErrorResponse> {
        let mut sink =
            Sink::collecting(request.max_tokens, &self.shared.body_budget).map_err(|error| {
                self.shared.counters.over_bound.up();
                log::debug!("request {}: rejected: {error}", request.name);
                ErrorResponse::rejected(Some(RETRY_AFTER_OVERLOAD))
            })?;
        match self.start_request(request).await? {
            StartedRequest::Recorded {
                id,
                name,
                remaining_text,
                last,
            } => Ok(last.line(&id, &name, Some(&remaining_text))),
            StartedRequest::Streaming(request, stream, notifier) => self
                .relay(request, stream, notifier, &mut sink)
                .await
                .map_err(|_| STREAM_BROKEN),
        }
    }
}

fn error_answer(id: &RawValue) -> impl FnOnce(ErrorResponse) -> Vec<u8> {
    |error| error_line(Some(id), &error.error)
}

/// Joins the answers into a JSON array, and drops each one as it is copied.
fn join(answers: Vec<Buffer>) -> Vec<u8> {
    let length: usize = answers.iter().map(|answer| answer.len() + 1).sum();
    let mut array = Vec::with_capacity(length + 2);
    for answer in answers {
        array.push(if array.is_empty() { b'[' } else { b',' });
        array.extend_from_slice(answer.as_ref());
    }
    array.push(b']');
    array
}
