//! The exchange: channels between the server side, which talks to clients, and the upstream side, which talks to model
//! hosts.
//!
//! [`open`] creates a [`PendingAnswer`] for the code that accepted the request and an [`AnswerHandle`] for the code
//! that answers it. Answering consumes the handle, so a request can't have more than one final answer. Dropping the
//! handle without an answer fails the request, so that it always gets one.

mod frames;

pub use frames::{Frame, FrameReceiver, FrameSender, ReceiverGone, WeakFrameSender, frame_channel};

use crate::front::run_table::RunRecord;
use crate::routing::types::Micros;
use bytes::Bytes;
use hyper::HeaderMap;
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Whether an id can be used in a path and in a header without escaping: 1 to 64 ASCII letters, digits, `-`, `_` or
/// `.`.
pub fn is_plain_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 64
        && id
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// A request as it is forwarded to model hosts, unchanged.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// Id by which model hosts know the request.
    pub id: String,
    /// Path and query of the request's URI.
    pub target: String,
    /// The client's end-to-end headers (see [`crate::front::platform::end_to_end_headers`]).
    pub headers: HeaderMap,
    /// Body that is sent to the model host with each attempt.
    pub body: RequestBody,
    /// Resources that are held until nothing of the request is in progress any more, which may be after its answer: the
    /// memory that its headers count against.
    pub lifetime_guards: Option<Rc<dyn Any>>,
    /// The request's entry among those that are in progress or may have run; `None` if nothing has to be known of it.
    pub run_record: Option<Rc<RunRecord>>,
    /// For requests that the fleet records: the name under which the client may send the request again, and the
    /// generation of this router's claim to it. Otherwise `None`.
    pub claim_key: Option<(String, u64)>,
}

/// The body of a request, which is released when no further attempt is sent.
#[derive(Clone, Debug)]
pub struct RequestBody(RefCell<Option<Bytes>>);

impl RequestBody {
    /// The body; `None` once it was released.
    pub fn get(&self) -> Option<Bytes> {
        self.0.borrow().clone()
    }

    /// Releases the body. Attempts that are being written keep it until they are done.
    pub fn release(&self) {
        self.0.take();
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        RequestBody(RefCell::new(Some(bytes)))
    }
}

/// The final answer of a request, or the start of a streamed one.
#[derive(Debug)]
pub enum Answer {
    /// The request is rejected; a retry is safe by the rules of its class.
    Rejected {
        /// Whether the request may have run. Then a retry is safe only because its class can be repeated anywhere.
        may_have_run: bool,
        /// Delay after which the client should retry; `None` if retry advice is not configured.
        retry_after: Option<Micros>,
    },
    /// The request has failed and may have had an effect.
    Failed,
    /// A model host streams the response. No other attempt follows.
    Stream(StreamReceiver),
}

/// A message about the request that the server side sends back to the model host that streams the response.
#[derive(Debug)]
pub struct Reply {
    /// Body of the message, as it is sent to the model host.
    pub body: Bytes,
    /// Receives whether the model host accepted the message.
    pub accepted: oneshot::Sender<bool>,
}

/// Receiving end of a response stream, used by the server side.
#[derive(Debug)]
pub struct StreamReceiver {
    /// Content type that the model host stated, if any.
    pub content_type: Option<String>,
    frames: FrameReceiver,
    replies: mpsc::Sender<Reply>,
    is_paused: Rc<Cell<bool>>,
}

impl StreamReceiver {
    /// Sets whether the model host waits for a reply. While it does, a silent stream is no failure.
    pub fn set_paused(&self, is_paused: bool) {
        self.is_paused.set(is_paused);
    }

    /// Receives the next frame; `None` if the stream is broken.
    pub async fn next(&mut self) -> Option<Frame> {
        self.frames.recv().await
    }

    /// Polling variant of [`next`](Self::next), for callers that implement a stream or a body.
    pub fn poll_next(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Frame>> {
        self.frames.poll_recv(cx)
    }

    /// Sends a message to the model host that streams the response. Returns whether the model host accepted it.
    pub async fn reply(&self, body: Bytes) -> bool {
        let (accepted, reply_accepted) = oneshot::channel();
        self.replies.send(Reply { body, accepted }).await.is_ok()
            && reply_accepted.await.unwrap_or(false)
    }
}

/// Sending end of a response stream, used by the upstream side.
#[derive(Debug)]
pub struct StreamSender {
    /// Sends frames to the server side.
    pub frames: FrameSender,
    /// Receives messages that are to be sent to the model host.
    pub replies: mpsc::Receiver<Reply>,
    /// Whether the model host waits for a reply, so that a silent stream is no failure.
    pub is_paused: Rc<Cell<bool>>,
}

/// Creates the two ends of a response stream.
pub fn stream_channel(content_type: Option<String>) -> (StreamSender, StreamReceiver) {
    let (frame_sender, frames) = frame_channel();
    let (replies, reply_receiver) = mpsc::channel(1);
    let is_paused = Rc::new(Cell::new(false));
    let source = StreamSender {
        frames: frame_sender,
        replies: reply_receiver,
        is_paused: is_paused.clone(),
    };
    (
        source,
        StreamReceiver {
            content_type,
            frames,
            replies,
            is_paused,
        },
    )
}

/// Gives the final answer of a request. Each method that answers consumes the handle.
#[derive(Debug)]
pub struct AnswerHandle(Option<oneshot::Sender<Answer>>);

impl AnswerHandle {
    /// Rejects the request, which tells the client that a retry is safe.
    pub fn reject(self, may_have_run: bool, retry_after: Option<Micros>) {
        self.answer(Answer::Rejected {
            may_have_run,
            retry_after,
        });
    }

    /// Fails the request, which makes no promise about its effect.
    pub fn fail(self) {
        self.answer(Answer::Failed);
    }

    /// Answers with a stream. Returns whether the server side was still waiting for it.
    pub fn stream(self, stream: StreamReceiver) -> bool {
        self.answer(Answer::Stream(stream))
    }

    fn answer(mut self, answer: Answer) -> bool {
        self.0
            .take()
            .is_some_and(|sender| sender.send(answer).is_ok())
    }
}

impl Drop for AnswerHandle {
    fn drop(&mut self) {
        // The code that held the handle did not answer, for example because of a panic. The client must still get an
        // answer.
        if let Some(sender) = self.0.take() {
            let _ = sender.send(Answer::Failed);
        }
    }
}

/// Notifies the dispatcher that the client has disconnected if it is dropped before [`DisconnectNotifier::finished`].
pub struct DisconnectNotifier(Option<Rc<dyn Fn()>>);

impl DisconnectNotifier {
    /// Records that the client has received its complete answer, after which dropping notifies nobody.
    pub fn finished(&mut self) {
        self.0 = None;
    }
}

impl Drop for DisconnectNotifier {
    fn drop(&mut self) {
        if let Some(on_disconnect) = self.0.take() {
            on_disconnect();
        }
    }
}

/// Waits for the answer of a request. Dropping it, or the [`DisconnectNotifier`] taken from it, means that the client
/// has disconnected.
pub struct PendingAnswer {
    answer: oneshot::Receiver<Answer>,
    disconnect: DisconnectNotifier,
}

impl PendingAnswer {
    /// Waits for the answer. The caller must keep the [`DisconnectNotifier`] until the client has received the complete
    /// answer.
    pub async fn answer(mut self) -> (Answer, DisconnectNotifier) {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        if !matches!(answer, Answer::Stream(_)) {
            self.disconnect.finished();
        }
        (answer, self.disconnect)
    }
}

/// Opens an exchange. `on_disconnect` is called if the client disconnects before it has its complete answer.
pub fn open(on_disconnect: Rc<dyn Fn()>) -> (PendingAnswer, AnswerHandle) {
    let (answer_sender, answer) = oneshot::channel();
    (
        PendingAnswer {
            answer,
            disconnect: DisconnectNotifier(Some(on_disconnect)),
        },
        AnswerHandle(Some(answer_sender)),
    )
}

#[cfg(test)]
mod tests;
