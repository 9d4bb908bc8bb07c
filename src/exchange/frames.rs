//! The channel for the frames of a response stream. It is bounded by the number of frames and by their bytes: while it is
//! full, the sender waits, so that a slow client slows the model host down instead of filling memory.

use bytes::Bytes;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// The maximum number of frames in a channel.
const MAX_QUEUED_FRAMES: usize = 16;
/// The maximum number of bytes in a channel. A longer frame is sent when the channel is empty.
const MAX_QUEUED_BYTES: usize = 32 * 1024;

/// A part of a response stream.
#[derive(Debug)]
pub enum Frame {
    /// Bytes of the stream, unchanged.
    Data(Bytes),
    /// The stream is complete. A stream that closes without this frame is broken.
    End,
}

impl Frame {
    /// The number of bytes that the frame occupies in a channel.
    fn queued_bytes(&self) -> u32 {
        match self {
            Frame::Data(data) => data.len().min(MAX_QUEUED_BYTES) as u32,
            Frame::End => 0,
        }
    }
}

#[derive(Debug)]
struct QueuedFrame {
    frame: Frame,
    /// Returns the frame's bytes to the channel on drop.
    _permit: OwnedSemaphorePermit,
}

/// The receiver of the frames was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the receiver of the stream is gone")]
pub struct ReceiverGone;

/// Room for one frame in a channel.
pub struct FramePermit<'a> {
    slot: mpsc::Permit<'a, QueuedFrame>,
    bytes: OwnedSemaphorePermit,
}

impl FramePermit<'_> {
    /// Sends the frame that the room was reserved for.
    pub fn send(self, frame: Frame) {
        self.slot.send(QueuedFrame {
            frame,
            _permit: self.bytes,
        });
    }
}

/// Sends the frames of a stream.
#[derive(Clone, Debug)]
pub struct FrameSender {
    frames: mpsc::Sender<QueuedFrame>,
    free_bytes: Arc<Semaphore>,
}

impl FrameSender {
    /// Sends a frame as soon as the channel has room for it.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub async fn send(&self, frame: Frame) -> Result<(), ReceiverGone> {
        let permit = self.reserve(&frame).await?;
        permit.send(frame);
        Ok(())
    }

    /// Waits until the channel has room for `frame`. Cancel safe.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub async fn reserve(&self, frame: &Frame) -> Result<FramePermit<'_>, ReceiverGone> {
        let bytes = self.free_bytes.clone();
        let bytes = bytes.acquire_many_owned(frame.queued_bytes()).await;
        let slot = self.frames.reserve().await;
        Ok(FramePermit {
            slot: slot.map_err(|_| ReceiverGone)?,
            bytes: bytes.map_err(|_| ReceiverGone)?,
        })
    }

    /// Resolves when the receiver was dropped.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }

    /// A reference that does not keep the stream open.
    pub fn downgrade(&self) -> WeakFrameSender {
        WeakFrameSender(self.frames.downgrade())
    }
}

/// Refers to a stream without keeping it open.
#[derive(Debug)]
pub struct WeakFrameSender(mpsc::WeakSender<QueuedFrame>);

impl WeakFrameSender {
    /// Whether the stream still has both of its ends.
    pub fn is_open(&self) -> bool {
        self.0.upgrade().is_some_and(|frames| !frames.is_closed())
    }
}

/// Receives the frames of a stream.
#[derive(Debug)]
pub struct FrameReceiver {
    frames: mpsc::Receiver<QueuedFrame>,
    free_bytes: Arc<Semaphore>,
}

impl FrameReceiver {
    /// Receives the next frame; `None` once all senders were dropped.
    pub async fn recv(&mut self) -> Option<Frame> {
        self.frames.recv().await.map(|queued| queued.frame)
    }

    /// Polling variant of [`recv`](Self::recv).
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        let received = self.frames.poll_recv(cx);
        received.map(|queued| queued.map(|queued| queued.frame))
    }
}

impl Drop for FrameReceiver {
    fn drop(&mut self) {
        // Senders that wait for room must learn that nobody makes any.
        self.free_bytes.close();
    }
}

/// Creates a channel for the frames of a stream.
pub fn frame_channel() -> (FrameSender, FrameReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let free_bytes = Arc::new(Semaphore::new(MAX_QUEUED_BYTES));
    (
        FrameSender {
            frames: sender,
            free_bytes: free_bytes.clone(),
        },
        FrameReceiver {
            frames: receiver,
            free_bytes,
        },
    )
}

#[cfg(test)]
mod tests;
