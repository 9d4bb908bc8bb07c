//! Relays a model host's stream to the server side until one of the two ends it.

use super::answer::{AttemptEnd, StartedStream, StreamTail};
use super::client::HostClient;
use super::events::{EventStream, Received, StreamError};
use super::host_socket::OpenFrame;
use super::stream_progress::StreamProgress;
use crate::dispatch::{Attempt, DispatcherEvent};
use crate::exchange::{Frame, ReceiverGone, Reply, StreamSender, stream_channel};
use crate::routing::types::AttemptOutcome;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// A client that reads nothing of its stream for this long is considered disconnected.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a stream ended.
enum StreamEnd {
    /// The model host has completed it.
    Complete,
    /// The client has disconnected, or the request was cancelled.
    ClientLeft,
    /// The client has read nothing for [`CLIENT_STALL_TIMEOUT`].
    ClientStalled,
    /// The model host sent no event in time.
    TimedOut,
    /// A part of the framing was not complete in time.
    FrameTimedOut(OpenFrame),
    /// The stream is broken or corrupt.
    Broken(StreamError),
    /// The connection ended before the stream was complete.
    EndedEarly,
}

/// One stream under way.
struct StreamRelay<'a> {
    client: &'a HostClient,
    attempt: &'a mut Attempt,
    events: EventStream,
    /// Whether the body is chunked or has a content length.
    is_framed: bool,
    channel: StreamSender,
    /// A frame that the client has no room for yet, and since when.
    unsent: Option<(Frame, Instant)>,
    progress: StreamProgress,
    tail: StreamTail,
    /// Whether `[DONE]` was received, which is the last event.
    is_done: bool,
    /// Number of bytes since the last event that completed none.
    bytes_since_event: usize,
}

impl HostClient {
    /// Relays a stream's events unchanged, without a deadline, until one side ends it. Returns the attempt's end and
    /// whether the connection can be reused.
    pub(super) async fn relay_stream(
        &self,
        attempt: &mut Attempt,
        stream: StartedStream,
    ) -> (AttemptEnd, bool) {
        let StartedStream {
            first_events,
            events,
            content_type,
            is_framed,
        } = stream;
        let (channel, receiver) = stream_channel(content_type);
        self.dispatcher.send(DispatcherEvent::StreamStarted {
            request: attempt.request,
            attempt: attempt.attempt,
            stream: receiver,
        });
        let mut relay = StreamRelay {
            client: self,
            attempt,
            events,
            is_framed,
            channel,
            unsent: None,
            progress: StreamProgress::new(Instant::now()),
            tail: StreamTail::new(),
            is_done: false,
            bytes_since_event: 0,
        };
        relay.on_received(Received {
            blocks: first_events,
            has_event: true,
            partial_data: 0,
        });
        let end = relay.run().await;
        relay.finish(end).await
    }
}

impl StreamRelay<'_> {
    async fn run(&mut self) -> StreamEnd {
        loop {
            let received = match self.next_step().await {
                Step::Reply(reply) => {
                    self.progress.on_event(Instant::now());
                    let stream = self.channel.frames.downgrade();
                    self.client.post_tool_result(self.attempt, reply, stream);
                    continue;
                }
                Step::HasRoom(Ok(Ok(pause))) => {
                    let frame = self.events.open_frame();
                    self.progress
                        .on_reading_resumed(pause, frame, Instant::now());
                    continue;
                }
                Step::HasRoom(Ok(Err(ReceiverGone))) | Step::ClientLeft => {
                    return StreamEnd::ClientLeft;
                }
                Step::HasRoom(Err(_)) => return StreamEnd::ClientStalled,
                Step::Read(received) => received,
            };
            match received {
                Ok(Ok(Some(received))) => self.on_received(received),
                Ok(Ok(None)) if self.is_framed || self.is_done => return StreamEnd::Complete,
                Ok(Ok(None)) => return StreamEnd::EndedEarly,
                Ok(Err(error)) => return StreamEnd::Broken(error),
                Err(_) if let Some(frame) = self.overdue_frame() => {
                    return StreamEnd::FrameTimedOut(frame);
                }
                // A decode worker that waits for a tool result sends nothing. The call has a timeout of its own.
                Err(_) if self.channel.is_paused.get() => self.progress.on_event(Instant::now()),
                Err(_) => return StreamEnd::TimedOut,
            }
        }
    }

    /// The incomplete part of the framing, and until when it has to be complete.
    fn frame_deadline(&self) -> Option<(OpenFrame, Instant)> {
        let frame = self.events.open_frame()?;
        let is_event_stream = self.events.is_checked();
        let deadline = self.progress.frame_deadline(frame, is_event_stream)?;
        Some((frame, deadline))
    }

    fn overdue_frame(&self) -> Option<OpenFrame> {
        let (frame, deadline) = self.frame_deadline()?;
        (deadline <= Instant::now()).then_some(frame)
    }

    /// When the stream ends if the model host sends nothing. A frame that begins later has a later deadline.
    fn deadline(&self) -> Instant {
        let deadline = self.progress.deadline();
        let frame_deadline = self.frame_deadline();
        frame_deadline.map_or(deadline, |(_, frame)| frame.min(deadline))
    }

    /// Waits for what happens next. While the client has no room for a frame, nothing more is read, so that a slow client
    /// slows the model host down instead of filling memory. Cancel safe.
    async fn next_step(&mut self) -> Step {
        let deadline = self.deadline();
        let StreamSender {
            frames, replies, ..
        } = &mut self.channel;
        let unsent = &mut self.unsent;
        let is_blocked = unsent.is_some();
        let sent = async {
            let Some((frame, since)) = unsent else {
                return Ok(Ok(Duration::ZERO));
            };
            let since = *since;
            let room = timeout_at(since + CLIENT_STALL_TIMEOUT, frames.reserve(frame)).await?;
            Ok(room.map(|room| {
                if let Some((frame, _)) = unsent.take() {
                    room.send(frame);
                }
                since.elapsed()
            }))
        };
        tokio::select! {
            biased;
            _ = &mut self.attempt.cancelled => Step::ClientLeft,
            () = frames.closed() => Step::ClientLeft,
            Some(reply) = replies.recv() => Step::Reply(reply),
            sent = sent, if is_blocked => Step::HasRoom(sent),
            // What was received already counts, even if the deadline has passed.
            received = timeout_at(deadline, self.events.next()), if !is_blocked => Step::Read(received),
        }
    }

    fn on_received(&mut self, received: Received) {
        let now = Instant::now();
        let Received {
            blocks,
            has_event,
            partial_data,
        } = received;
        let frame = self.events.open_frame();
        if !has_event || self.is_done {
            self.bytes_since_event += blocks.len() + partial_data;
            self.progress.on_partial_data(partial_data, frame, now);
        } else {
            self.bytes_since_event = 0;
            self.progress.on_event(now);
            self.progress.on_partial_data(partial_data, frame, now);
            if let Some(frame) = frame.filter(|frame| frame.holds(self.events.events_end())) {
                self.progress.on_event_in_chunk(frame, now);
            }
        }
        if has_event || !self.events.is_checked() {
            self.tail.push(&blocks);
            self.is_done = self.tail.ends_with_done();
        }
        if !blocks.is_empty() {
            self.unsent = Some((Frame::Data(blocks), now));
        }
    }

    /// Logs how the stream ended. Unless it is complete, dropping the channel without [`Frame::End`] aborts the client's
    /// stream before its last chunk.
    async fn finish(self, end: StreamEnd) -> (AttemptEnd, bool) {
        if let StreamEnd::Complete = end {
            let _ = self.channel.frames.send(Frame::End).await;
            let end = AttemptEnd {
                outcome: AttemptOutcome::Served,
                cached_tokens: self.tail.cached_tokens(),
                load: None,
            };
            return (end, self.is_framed);
        }
        let (reason, outcome) = match end {
            StreamEnd::ClientLeft | StreamEnd::Complete => (
                "ended: its client has left".to_owned(),
                AttemptOutcome::Cancelled,
            ),
            StreamEnd::ClientStalled => (
                "ended: its client reads nothing".to_owned(),
                AttemptOutcome::Cancelled,
            ),
            StreamEnd::TimedOut => {
                self.client.counters.streams_timed_out.up();
                (
                    "timed out without an event".to_owned(),
                    AttemptOutcome::ConnectionLost,
                )
            }
            StreamEnd::FrameTimedOut(frame) => {
                self.client.counters.frames_timed_out.up();
                let (part, age) = (frame.part, frame.since.elapsed().as_millis());
                (
                    format!("timed out with {part} that began {age} ms ago"),
                    AttemptOutcome::ConnectionLost,
                )
            }
            StreamEnd::Broken(error) => {
                let fault = self.events.framing_fault();
                let cause = fault.map_or_else(|| error.to_string(), |fault| fault.to_string());
                (format!("broke: {cause}"), AttemptOutcome::ConnectionLost)
            }
            StreamEnd::EndedEarly => (
                "broke: it ended early".to_owned(),
                AttemptOutcome::ConnectionLost,
            ),
        };
        if outcome == AttemptOutcome::ConnectionLost {
            self.client.counters.streams_broken.up();
        }
        log::info!(
            "request {}: stream from {} {reason}; the client's stream is aborted; last event {} ms ago, {} bytes since, unsent: {}",
            self.attempt.upstream_request.id,
            self.attempt.worker.0,
            self.progress.last_event().elapsed().as_millis(),
            self.bytes_since_event,
            self.unsent.is_some()
        );
        (outcome.into(), false)
    }
}

/// What happened next to a stream.
enum Step {
    /// The client has disconnected, or the request was cancelled.
    ClientLeft,
    /// The server side has a tool's result for the model host.
    Reply(Reply),
    /// The client had room for the unsent frame after this time, has disconnected, or has read nothing for too long.
    HasRoom(Result<Result<Duration, ReceiverGone>, Elapsed>),
    /// The model host was read, or sent no event in time.
    Read(Result<Result<Option<Received>, StreamError>, Elapsed>),
}
