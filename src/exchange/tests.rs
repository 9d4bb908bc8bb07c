use super::*;

/// Guards against a request without an answer because the code that had to answer it panicked, and against a disconnect
/// that the dispatcher does not notice.
#[tokio::test]
async fn dropped_handle_fails_the_request_and_dropped_pending_answer_notifies_a_disconnect() {
    let disconnects = Rc::new(Cell::new(0));
    let counter = disconnects.clone();
    let on_disconnect: Rc<dyn Fn()> = Rc::new(move || counter.set(counter.get() + 1));
    let (pending_answer, answer) = open(on_disconnect.clone());
    drop(answer);
    assert!(matches!(pending_answer.answer().await.0, Answer::Failed));
    assert_eq!(disconnects.get(), 0);
    let (pending_answer, _answer) = open(on_disconnect);
    drop(pending_answer);
    assert_eq!(disconnects.get(), 1);
}
