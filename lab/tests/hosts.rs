//! The stand-in hosts keep to the platform's protocol, also where it hurts.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use whinhaven_lab::history::{History, Record, STUCK};
use whinhaven_lab::hosts::{Host, HostRole, HostSettings, Plan, States};
use whinhaven_lab::peer::Message;

struct Hosts {
    history: History,
    states: Arc<States>,
}

impl Hosts {
    fn new() -> Hosts {
        Hosts {
            history: History::new(),
            states: Arc::default(),
        }
    }

    fn start(&self, role: HostRole, change: impl Fn(&mut HostSettings)) -> Host {
        let mut settings = HostSettings::quick("h", role, ([127, 0, 0, 1], 0).into());
        change(&mut settings);
        Host::start(settings, self.states.clone(), self.history.clone()).unwrap()
    }

    fn wait(&self, event: &str) -> Record {
        self.history
            .wait_for(0, STUCK, |r| r.event == event)
            .unwrap()
    }
}

fn send(host: &Host, method: &str, path: &str, id: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(host.address()).unwrap();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nx-request-id: {id}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).unwrap();
    stream
}

fn ask(host: &Host, id: &str, body: &str) -> Message {
    Message::read(&mut BufReader::new(send(
        host,
        "POST",
        "/v1/chat/completions",
        id,
        body,
    )))
    .unwrap_or_default()
}

fn release(host: &Host, id: &str) {
    let stream = send(
        host,
        "DELETE",
        &format!("/internal/reservations/{id}"),
        "",
        "",
    );
    assert_eq!(
        Message::read(&mut BufReader::new(stream)).unwrap().status(),
        204
    );
}

#[test]
fn a_state_is_read_held_taken_once_and_let_go_anywhere() {
    let hosts = Hosts::new();
    let reader = hosts.start(HostRole::Reader, |_| {});
    let writer = hosts.start(HostRole::Writer, |_| {});
    let plan = Plan {
        name: "n".into(),
        words: 4,
        calls: 0,
    };
    let body = format!(r#"{{"messages":[{{"content":"{}"}}]}}"#, plan.prompt());
    let turned_away = ask(&writer, "a", &body);
    assert_eq!(
        (turned_away.status(), turned_away.header("x-not-run")),
        (410, Some("1"))
    );
    assert_eq!(ask(&reader, "a", &body).status(), 202);
    assert_eq!(hosts.states.held(), ["a"]);
    let answer = ask(&writer, "a", &body);
    let whole = (0..4).all(|w| {
        answer
            .text()
            .contains(&format!(r#""content":"{}""#, plan.word(w)))
    });
    assert!(
        answer.whole && whole && answer.text().ends_with("data: [DONE]\n\n"),
        "{}",
        answer.text()
    );
    assert_eq!(ask(&writer, "a", &body).status(), 410);
    // Whoever is asked lets go, and a state whose reader died is gone.
    ask(&reader, "b", &body);
    release(&writer, "b");
    ask(&reader, "c", &body);
    reader.kill();
    assert!(hosts.states.held().is_empty() && !reader.is_running());
    assert!(TcpStream::connect(reader.address()).is_err());
    reader.restart().unwrap();
    assert_eq!(ask(&reader, "d", &body).status(), 202);
}

#[test]
fn a_read_whose_conductor_left_is_held_all_the_same_and_a_release_meanwhile_takes_what_it_leaves() {
    let hosts = Hosts::new();
    let reader = hosts.start(HostRole::Reader, |s| s.tokens_per_s = 100.0);
    drop(send(
        &reader,
        "POST",
        "/v1/chat/completions",
        "left",
        &"x".repeat(80),
    ));
    hosts.wait("state.held");
    assert_eq!(hosts.states.held(), ["left"]);
    let reading = send(
        &reader,
        "POST",
        "/v1/chat/completions",
        "freed",
        &"x".repeat(80),
    );
    let begun = |r: &Record| r.event == "read.begun" && r.text("id") == "freed";
    hosts.history.wait_for(0, STUCK, begun).unwrap();
    release(&reader, "freed");
    assert_eq!(
        Message::read(&mut BufReader::new(reading))
            .unwrap()
            .status(),
        202
    );
    assert_eq!(hosts.states.held(), ["left"]);
}

#[test]
fn what_does_not_fit_is_turned_away_and_what_is_far_too_much_fells_a_cold_host() {
    let hosts = Hosts::new();
    let small = hosts.start(HostRole::Reader, |s| s.memory_tokens = 30);
    assert_eq!(ask(&small, "a", &"x".repeat(80)).status(), 202);
    let full = ask(&small, "b", &"x".repeat(80));
    assert_eq!((full.status(), full.header("x-not-run")), (503, Some("1")));
    let cold = hosts.start(HostRole::Reader, |s| {
        (s.name, s.slots, s.tokens_per_s) = ("cold".into(), 1, 1000.0);
        (s.cold_from, s.cold_for) = (0.1, Duration::from_secs(1000));
        (s.fall_multiple, s.fall_after) = (2.5, Duration::from_millis(100));
    });
    // It can do 10 tokens in that time: 20 are borne, 20 more are not.
    assert_eq!(ask(&cold, "c", &"x".repeat(80)).status(), 202);
    let pair = [(); 2].map(|()| send(&cold, "POST", "/v1/chat/completions", "d", &"x".repeat(80)));
    assert!(hosts.wait("host.fell").source == "host/cold" && !cold.is_running());
    drop(pair);
    assert!(TcpStream::connect(cold.address()).is_err());
}
