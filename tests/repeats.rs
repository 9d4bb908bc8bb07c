//! Clients that leave and come again under the same id or name, at the same router.

mod support;

use rstest::rstest;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, mpsc};
use support::*;

/// A decode worker that tells of each request, and holds it until its connection is closed.
fn holding_writer() -> (Peer, mpsc::Receiver<String>) {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let writer = Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        let _ = tell.lock().unwrap().send(message.text());
        conn.is_closed();
        false
    });
    (writer, told)
}

fn platform(name: &str, _: &str) -> String {
    request(name, "send", name)
}

fn json_rpc(name: &str, more: &str) -> String {
    rpc_request(&format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"send","params":{{"request":"{name}","deadline_ms":8000,"messages":[]{more}}}}}"#
    ))
}

/// Asks until the first request of this name is no longer in progress, and returns that answer.
fn ask_until_it_is_over(router: &Conductor, request: &str) -> Message {
    loop {
        let answer = router.raw(request.as_bytes());
        let text = answer.text();
        if !text.contains("in hand") {
            return answer;
        }
    }
}

fn start_router(writer: &Peer) -> (Conductor, Peer) {
    let reader = Peer::reader();
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let file = operator_file(&[reader.address], &[writer.address], &tools);
    (Conductor::start(&file), reader)
}

fn leave(client: TcpStream) {
    drop(client);
}

/// Guards against a request that must not run twice and does, since its client has left and comes again.
#[rstest]
#[case::platform(platform, "", 409)]
#[case::json_rpc(json_rpc, "", 502)]
#[case::json_rpc_resume(json_rpc, r#","resume":{"text":"","calls":0}"#, 502)]
fn an_id_that_may_have_run_does_not_run_again(
    #[case] front: fn(&str, &str) -> String,
    #[case] more: &str,
    #[case] status: u16,
) {
    let (writer, told) = holding_writer();
    let (router, _reader) = start_router(&writer);
    for number in 0..4 {
        let name = format!("order-{number}");
        let mut client = router.connect();
        client.write_all(front(&name, "").as_bytes()).unwrap();
        told.recv_timeout(STUCK).unwrap();
        leave(client);
        let answer = ask_until_it_is_over(&router, &front(&name, more));
        assert_eq!(answer.status(), status, "{}", answer.text());
        if status == 502 {
            assert!(answer.text().contains("-32001"), "{}", answer.text());
        }
    }
    let counters = router.stop();
    assert_eq!(counters.get("runs_not_repeated"), 4);
    assert!(told.try_recv().is_err(), "a request ran twice");
}

/// A name whose request has proved not to have run can be used again.
#[rstest]
fn a_request_that_has_not_run_can_come_again(
    #[values(platform, json_rpc)] front: fn(&str, &str) -> String,
) {
    let writer = Peer::start(|message, conn| {
        let status = match message.method() {
            "POST" => "503 Service Unavailable",
            _ => "204 No Content",
        };
        conn.answer(status, "x-not-run: 1\r\n", "");
        true
    });
    let (router, _reader) = start_router(&writer);
    for _ in 0..3 {
        let answer = ask_until_it_is_over(&router, &front("order-1", ""));
        assert_eq!(answer.status(), 503, "{}", answer.text());
    }
    assert_eq!(router.stop().get("runs_not_repeated"), 0);
}

/// Guards against a rejection, which promises that nothing has run, of a request that may have run: the router is stopping when
/// its client comes again.
#[rstest]
#[case::platform(platform, 409)]
#[case::json_rpc(json_rpc, 502)]
fn a_stopping_router_does_not_reject_what_may_have_run(
    #[case] front: fn(&str, &str) -> String,
    #[case] status: u16,
) {
    let (writer, told) = holding_writer();
    let (router, _reader) = start_router(&writer);
    let mut client = router.connect();
    client.write_all(front("order-1", "").as_bytes()).unwrap();
    told.recv_timeout(STUCK).unwrap();
    leave(client);
    ask_until_it_is_over(&router, &front("order-1", ""));
    // A connection whose request is under way is open until that is answered, however long the router is stopping.
    let late = front("order-1", "");
    let (first, last) = late.split_at(late.len() - 1);
    let mut again = router.connect();
    again.write_all(first.as_bytes()).unwrap();
    router.signal("-TERM");
    router.wait_for("to Rejecting");
    again.write_all(last.as_bytes()).unwrap();
    let answer = Message::read(&mut std::io::BufReader::new(again)).unwrap();
    assert_eq!(answer.status(), status, "{}", answer.text());
}
