//! Decodes the JSON-RPC messages of clients.
//!
//! Messages borrow from the HTTP body that they came in. What a request keeps while it waits is copied out of it once and
//! is reserved from the memory budget, so the body can be dropped as soon as its messages are decoded.

use super::messages::{
    ErrorResponse, INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, PARSE_ERROR, PROMPT_TOO_LONG,
    deserialize_borrowed, is_id,
};
use crate::exchange::is_plain_id;
use crate::front::shared::{MAX_BODY_BYTES, RETRY_AFTER_OVERLOAD, Shared};
use crate::memory::{Buffer, Reservation};
use crate::routing::types::Micros;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::rc::Rc;

/// The maximum number of messages in a batch.
const MAX_BATCH_REQUESTS: usize = 16;
/// The longest accepted deadline, relative to the request's arrival.
const MAX_DEADLINE_MS: u64 = 600_000;
/// The longest accepted session or prefix key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Room for the field names of a [`Prompt`] beside the text that it takes over from the client's parameters.
const PROMPT_FIELDS_BYTES: usize = 128;

/// A message in a client's body.
#[derive(Debug, Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    jsonrpc: Cow<'a, str>,
    #[serde(borrow, default, deserialize_with = "deserialize_borrowed")]
    id: Option<&'a RawValue>,
    #[serde(borrow)]
    method: Cow<'a, str>,
    #[serde(borrow, default, deserialize_with = "deserialize_borrowed")]
    params: Option<&'a RawValue>,
}

impl Message<'_> {
    /// Checks the requirements of the specification that the field types do not express.
    fn is_valid(&self) -> bool {
        is_valid_message(&self.jsonrpc, self.id, self.params)
    }
}

/// Whether a message satisfies the requirements of the specification on its version, id and parameters.
pub(super) fn is_valid_message(
    jsonrpc: &str,
    id: Option<&RawValue>,
    params: Option<&RawValue>,
) -> bool {
    jsonrpc == "2.0"
        && id.is_none_or(is_id)
        && params.is_none_or(|params| params.get().starts_with(['{', '[']))
}

/// The parameters of a request.
#[derive(Debug, Deserialize)]
struct Params<'a> {
    request: String,
    deadline_ms: u64,
    session: Option<String>,
    prefix: Option<String>,
    #[serde(default)]
    prefix_len: u64,
    prompt_len: Option<u64>,
    #[serde(default)]
    max_out: u64,
    #[serde(borrow)]
    messages: &'a RawValue,
    resume: Option<Resume>,
}

impl Params<'_> {
    fn is_valid(&self) -> bool {
        let is_short = |key: &Option<String>| key.as_ref().is_none_or(|k| k.len() <= MAX_KEY_BYTES);
        is_plain_id(&self.request)
            && (1..=MAX_DEADLINE_MS).contains(&self.deadline_ms)
            && self.messages.get().starts_with('[')
            && is_short(&self.session)
            && is_short(&self.prefix)
    }

    /// The length of all texts but `messages`.
    fn text_bytes(&self) -> usize {
        let key_bytes = |key: &Option<String>| key.as_ref().map_or(0, String::len);
        self.request.len()
            + key_bytes(&self.session)
            + key_bytes(&self.prefix)
            + self.resume.as_ref().map_or(0, |resume| resume.text.len())
    }
}

/// The part of an answer that the client received before the stream broke.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct Resume {
    /// The number of `tool` notifications with the state `calling` that the client received before its last `delta`.
    pub(super) calls: u32,
    /// The text received so far.
    pub(super) text: String,
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

/// The messages of one HTTP body.
pub(super) enum ClientBody {
    Single(Result<ClientMessage, InvalidMessage>),
    Batch(Vec<Result<ClientMessage, InvalidMessage>>),
}

/// A decoded message, which does not refer to the body that it came in.
pub(super) enum ClientMessage {
    /// A notification: the request that it cancels, or `None` if it is not understood.
    Notification { cancels: Option<String> },
    /// A call of `cancel`: the request to cancel, or `None` if the parameters are invalid.
    Cancel {
        id: Rc<RawValue>,
        request: Option<String>,
    },
    /// A request for a completion.
    Completion(Box<CompletionRequest>),
}

/// A message that is answered with an error.
pub(super) struct InvalidMessage {
    /// The message's id, if it has a valid one.
    pub(super) id: Option<Rc<RawValue>>,
    pub(super) error: ErrorResponse,
}

/// A client's request for a completion.
pub(super) struct CompletionRequest {
    pub(super) id: Rc<RawValue>,
    /// The client's name for the request, the same over all resumes.
    pub(super) name: Rc<str>,
    pub(super) class: String,
    pub(super) deadline: Micros,
    pub(super) session: Option<String>,
    pub(super) prefix: Option<String>,
    pub(super) prefix_tokens: u64,
    /// The prompt's length, if the client stated it.
    pub(super) prompt_tokens: Option<u64>,
    /// The maximum length of the answer; 0 if the client stated none.
    pub(super) max_tokens: u64,
    pub(super) resume: Option<Resume>,
    /// The body for model hosts. It carries its own reservation.
    pub(super) prompt: Bytes,
    /// The reservation for the other fields.
    pub(super) memory: Reservation,
}

impl ClientBody {
    /// Decodes a body that arrived at `arrived`, and drops it.
    ///
    /// # Errors
    /// The body is not JSON, or not a batch of a valid length.
    pub(super) fn decode(
        body: Buffer,
        arrived: Micros,
        shared: &Shared,
    ) -> Result<ClientBody, ErrorResponse> {
        // What is copied out of the body takes over its reservation: the body itself exists only until this returns.
        let (bytes, mut memory) = body.into_parts();
        if !bytes.trim_ascii_start().starts_with(b"[") {
            let raw = serde_json::from_slice(&bytes).map_err(|_| PARSE_ERROR)?;
            let message = ClientMessage::decode(raw, arrived, &mut memory, shared);
            return Ok(ClientBody::Single(message));
        }
        let items: Vec<&RawValue> = serde_json::from_slice(&bytes).map_err(|_| PARSE_ERROR)?;
        if items.is_empty() || items.len() > MAX_BATCH_REQUESTS {
            return Err(INVALID_REQUEST);
        }
        let messages = items
            .into_iter()
            .map(|raw| ClientMessage::decode(raw, arrived, &mut memory, shared));
        Ok(ClientBody::Batch(messages.collect()))
    }
}

impl ClientMessage {
    fn decode(
        raw: &RawValue,
        arrived: Micros,
        memory: &mut Reservation,
        shared: &Shared,
    ) -> Result<ClientMessage, InvalidMessage> {
        let message = serde_json::from_str::<Message>(raw.get())
            .ok()
            .filter(Message::is_valid);
        let Some(message) = message else {
            return Err(InvalidMessage {
                id: id_of_invalid(raw),
                error: INVALID_REQUEST,
            });
        };
        let cancelled_request = || {
            let params = serde_json::from_str::<CancelParams>(message.params?.get());
            params.ok().map(|params| params.request)
        };
        let is_cancel = message.method == "cancel";
        let Some(id) = message.id.map(|id| Rc::from(id.to_owned())) else {
            let cancels = is_cancel.then(cancelled_request).flatten();
            return Ok(ClientMessage::Notification { cancels });
        };
        if is_cancel {
            let request = cancelled_request();
            return Ok(ClientMessage::Cancel { id, request });
        }
        match CompletionRequest::decode(&id, &message, arrived, memory, shared) {
            Ok(request) => Ok(ClientMessage::Completion(Box::new(request))),
            Err(error) => Err(InvalidMessage {
                id: Some(id),
                error,
            }),
        }
    }
}

/// The id of a message that is invalid otherwise.
fn id_of_invalid(raw: &RawValue) -> Option<Rc<RawValue>> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: Option<Box<RawValue>>,
    }
    let message: IdOnly = serde_json::from_str(raw.get()).ok()?;
    message.id.filter(|id| is_id(id)).map(Rc::from)
}

impl CompletionRequest {
    fn decode(
        id: &Rc<RawValue>,
        message: &Message,
        arrived: Micros,
        memory: &mut Reservation,
        shared: &Shared,
    ) -> Result<CompletionRequest, ErrorResponse> {
        // Without a fleet policy, an unknown class fails at once. With one, the class is checked only after the request has
        // passed the gate, under the policy epoch that is then in force.
        if shared.gate.is_none() && !shared.has_class(&message.method) {
            return Err(METHOD_NOT_FOUND);
        }
        let raw_params = message.params.ok_or(INVALID_PARAMS)?.get();
        let params: Params = serde_json::from_str(raw_params).map_err(|_| INVALID_PARAMS)?;
        if !params.is_valid() {
            return Err(INVALID_PARAMS);
        }
        let prompt = encode_prompt(&message.method, &params, raw_params.len());
        if prompt.len() > MAX_BODY_BYTES {
            return Err(PROMPT_TOO_LONG);
        }
        let over_budget = |_| {
            shared.counters.over_bound.up();
            ErrorResponse::rejected(Some(RETRY_AFTER_OVERLOAD))
        };
        let prompt_memory = memory.split(prompt.len()).map_err(over_budget)?;
        let other_bytes = id.get().len() + message.method.len() + params.text_bytes();
        let other_memory = memory.split(other_bytes).map_err(over_budget)?;
        Ok(CompletionRequest {
            id: id.clone(),
            name: params.request.into(),
            class: message.method.clone().into_owned(),
            deadline: arrived + params.deadline_ms * 1000,
            session: params.session,
            prefix: params.prefix,
            prefix_tokens: params.prefix_len,
            prompt_tokens: params.prompt_len,
            max_tokens: params.max_out,
            resume: params.resume,
            prompt: Buffer::from((prompt, prompt_memory)).freeze(),
            memory: other_memory,
        })
    }

    /// The part of the answer's text that the client has.
    pub(super) fn received_text(&self) -> &str {
        self.resume.as_ref().map_or("", |resume| &resume.text)
    }
}

fn encode_prompt(class: &str, params: &Params, params_bytes: usize) -> Vec<u8> {
    let prompt = Prompt {
        model: class,
        stream: true,
        max_tokens: params.max_out,
        messages: params.messages,
        resume: params.resume.as_ref(),
    };
    let mut encoded = Vec::with_capacity(params_bytes + class.len() + PROMPT_FIELDS_BYTES);
    // Serialization of this type cannot fail: it has no maps with non-string keys and no non-finite numbers.
    let _ = serde_json::to_writer(&mut encoded, &prompt);
    encoded.shrink_to_fit();
    encoded
}
