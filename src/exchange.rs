//! The exchange: the one object in which the server side and the client side of a request meet.
//!
//! [`open`] gives a [`PendingAnswer`] to whoever took the request, and an [`AnswerHandle`] that travels to whoever
//! ends it. The handle is consumed by its use, so there is one final answer by construction; dropped unused,
//! it fails the request rather than losing it.

use crate::routing::types::Micros;
use bytes::Bytes;
use hyper::HeaderMap;
use std::any::Any;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Frames of a stream that may wait for a slow client before the model host is made to wait.
const FRAMES: usize = 16;

/// Whether an id may stand in a path and a header as it is.
pub fn is_plain_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 64
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// A request as it is passed on to model hosts, unchanged.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The id under which model hosts know it.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// The client's headers that are meant for whoever answers (see [`crate::front::platform::end_to_end_headers`]).
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What lasts for as long as anything of the request does, after its answer too: its id, the room it takes.
    pub lifetime_guards: Option<Rc<dyn Any>>,
    /// The lasting name under which its client may ask again, and the generation of this conductor's claim to it.
    pub claim_key: Option<(String, u64)>,
}

/// The final answer, or the beginning of one.
#[derive(Debug)]
pub enum Answer {
    /// Trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// No promise about the effect.
    Failed,
    /// A model host's stream; it belongs to the client from here on.
    Stream(StreamReceiver),
}

/// A part of a stream.
#[derive(Debug)]
pub enum Frame {
    /// Bytes, as they came.
    Data(Bytes),
    /// The whole stream has passed. A feed that closes without this one is broken.
    End,
}

/// What a server side sends back to the model host that streams: the body of a message about this request.
#[derive(Debug)]
pub struct Reply {
    /// Its body.
    pub body: Bytes,
    /// Told whether the model host took it.
    pub accepted: oneshot::Sender<bool>,
}

/// The server side's end of a stream.
#[derive(Debug)]
pub struct StreamReceiver {
    /// The stream's type, as the model host named it.
    pub content_type: Option<String>,
    frames: mpsc::Receiver<Frame>,
    replies: mpsc::Sender<Reply>,
    paused: Rc<Cell<bool>>,
}

impl StreamReceiver {
    /// Whether the model host is being waited for, or itself waits for a reply: then its silence is no failure.
    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
    }

    /// The next frame; `None` when the stream is broken.
    pub async fn next(&mut self) -> Option<Frame> {
        self.frames.recv().await
    }

    /// The same, for callers that poll.
    pub fn poll_next(&mut self, cx: &mut std::task::Context<'_>) -> std::task::Poll<Option<Frame>> {
        self.frames.poll_recv(cx)
    }

    /// Sends a message back to the model host that streams; whether it took it.
    pub async fn reply(&self, body: Bytes) -> bool {
        let (accepted, reply_accepted) = oneshot::channel();
        self.replies.send(Reply { body, accepted }).await.is_ok()
            && reply_accepted.await.unwrap_or(false)
    }
}

/// The client side's end of a stream.
#[derive(Debug)]
pub struct StreamSender {
    /// Frames for the server side.
    pub frames: mpsc::Sender<Frame>,
    /// What comes back.
    pub replies: mpsc::Receiver<Reply>,
    /// Whether the model host is known to wait for a reply.
    pub paused: Rc<Cell<bool>>,
}

/// A stream's two ends.
pub fn stream_channel(content_type: Option<String>) -> (StreamSender, StreamReceiver) {
    let (tx, frames) = mpsc::channel(FRAMES);
    let (replies, back) = mpsc::channel(1);
    let paused = Rc::new(Cell::new(false));
    let source = StreamSender {
        frames: tx,
        replies: back,
        paused: paused.clone(),
    };
    (
        source,
        StreamReceiver {
            content_type,
            frames,
            replies,
            paused,
        },
    )
}

/// Gives the final answer. Every way of giving one consumes it.
#[derive(Debug)]
pub struct AnswerHandle(Option<oneshot::Sender<Answer>>);

impl AnswerHandle {
    /// Refuses: trying again is harmless.
    pub fn reject(self, retry_after: Option<Micros>) {
        self.give(Answer::Rejected { retry_after });
    }

    /// Fails: no promise about the effect.
    pub fn fail(self) {
        self.give(Answer::Failed);
    }

    /// Hands a stream over; whether anybody was there to take it.
    pub fn stream(self, feed: StreamReceiver) -> bool {
        self.give(Answer::Stream(feed))
    }

    fn give(mut self, answer: Answer) -> bool {
        self.0.take().is_some_and(|tx| tx.send(answer).is_ok())
    }
}

impl Drop for AnswerHandle {
    fn drop(&mut self) {
        // Whoever held it has gone wrong (a panic, say): the client hears of a failure, not of nothing.
        if let Some(tx) = self.0.take() {
            let _ = tx.send(Answer::Failed);
        }
    }
}

/// Tells the dispatcher, when dropped before [`DisconnectNotifier::finished`], that the client has left.
pub struct DisconnectNotifier(Option<Rc<dyn Fn()>>);

impl DisconnectNotifier {
    /// The client has its whole answer.
    pub fn finished(&mut self) {
        self.0 = None;
    }
}

impl Drop for DisconnectNotifier {
    fn drop(&mut self) {
        if let Some(left) = self.0.take() {
            left();
        }
    }
}

/// The end that waits for the answer. Dropping it, or the presence taken from it, tells that the client left.
pub struct PendingAnswer {
    answer: oneshot::Receiver<Answer>,
    presence: DisconnectNotifier,
}

impl PendingAnswer {
    /// Waits for the answer; the presence must live as long as the client is being answered.
    pub async fn answer(mut self) -> (Answer, DisconnectNotifier) {
        let answer = (&mut self.answer).await.unwrap_or(Answer::Failed);
        if !matches!(answer, Answer::Stream(_)) {
            self.presence.finished();
        }
        (answer, self.presence)
    }
}

/// Opens an exchange; `left` is called if the client leaves early.
pub fn open(left: Rc<dyn Fn()>) -> (PendingAnswer, AnswerHandle) {
    let (tx, answer) = oneshot::channel();
    (
        PendingAnswer {
            answer,
            presence: DisconnectNotifier(Some(left)),
        },
        AnswerHandle(Some(tx)),
    )
}

#[cfg(test)]
mod tests;
