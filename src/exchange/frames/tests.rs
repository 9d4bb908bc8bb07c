use super::*;
use futures_util::FutureExt;

fn data(length: usize) -> Frame {
    Frame::Data(Bytes::from(vec![7; length]))
}

/// Guards against memory that fills while a client does not read: a few long frames fill the channel like many short ones.
#[tokio::test]
async fn a_channel_takes_no_more_than_its_bytes() {
    let (sender, mut receiver) = frame_channel();
    let half = MAX_QUEUED_BYTES / 2;
    assert_eq!(sender.send(data(half)).now_or_never(), Some(Ok(())));
    assert_eq!(sender.send(data(half)).now_or_never(), Some(Ok(())));
    assert_eq!(sender.send(data(1)).now_or_never(), None);
    receiver.recv().await.unwrap();
    assert_eq!(sender.send(data(1)).now_or_never(), Some(Ok(())));
}

/// Guards against a long event that is never sent.
#[tokio::test]
async fn a_frame_longer_than_the_channel_is_sent_when_the_channel_is_empty() {
    let (sender, mut receiver) = frame_channel();
    sender.send(data(1)).await.unwrap();
    let long = sender.send(data(4 * MAX_QUEUED_BYTES));
    tokio::pin!(long);
    assert!(long.as_mut().now_or_never().is_none());
    receiver.recv().await.unwrap();
    assert_eq!(long.now_or_never(), Some(Ok(())));
    assert!(
        matches!(receiver.recv().await, Some(Frame::Data(data)) if data.len() == 4 * MAX_QUEUED_BYTES)
    );
}

/// Guards against a sender that waits for a client that has gone.
#[tokio::test]
async fn a_waiting_sender_learns_that_its_receiver_is_gone() {
    let (sender, receiver) = frame_channel();
    sender.send(data(MAX_QUEUED_BYTES)).await.unwrap();
    let waiting = sender.send(data(1));
    tokio::pin!(waiting);
    assert!(waiting.as_mut().now_or_never().is_none());
    drop(receiver);
    assert_eq!(waiting.now_or_never(), Some(Err(ReceiverGone)));
    assert_eq!(sender.closed().now_or_never(), Some(()));
}
