//! Settings that change at SIGHUP, between a conductor and scripted peers on loopback sockets.

mod support;

use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use support::*;

/// A class as the operator's file has it.
fn class(name: &str, effect: &str) -> String {
    format!(
        "[[settings.classes]]\nname = \"{name}\"\neffect = \"{effect}\"\nobjective_us = 1500000\n\
         give_up_us = 6000000\nvalue = 1.0\n"
    )
}

/// An operator's file with these classes, from one in which `explain` is safe and `send` is not.
fn with_classes(file: &str, classes: &[String]) -> String {
    let (begin, end) = (
        file.find("[[settings.classes]]").unwrap(),
        file.find("[known]").unwrap(),
    );
    format!("{}{}{}", &file[..begin], classes.concat(), &file[end..])
}

fn with_attempts(file: &str, attempts: &str) -> String {
    assert!(file.contains("max_attempts = 6\n"));
    file.replace(
        "max_attempts = 6\n",
        &format!("max_attempts = {attempts}\n"),
    )
}

/// A writer that answers all requests.
fn writer() -> Peer {
    Peer::start(|_, conn| {
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    })
}

/// Writers that break off every other request, counted over all of them, with the request taken whole and not
/// answered: the first one only when told to.
struct Breaking {
    peers: Vec<Peer>,
    sends: Arc<AtomicU32>,
    begins: mpsc::Receiver<()>,
    go: mpsc::Sender<()>,
}

impl Breaking {
    fn start() -> Breaking {
        let (begun, begins) = mpsc::channel();
        let (go, goes) = mpsc::channel::<()>();
        let goes = Arc::new(Mutex::new(goes));
        let sends = Arc::<AtomicU32>::default();
        let peer = |_| {
            let (begun, goes, sends) = (Mutex::new(begun.clone()), goes.clone(), sends.clone());
            Peer::start(move |message, conn| {
                if message.method() != "POST" {
                    conn.answer("204 No Content", "", "");
                    return true;
                }
                let send = sends.fetch_add(1, Ordering::SeqCst) + 1;
                if send == 1 {
                    begun.lock().unwrap().send(()).unwrap();
                    let _ = goes.lock().unwrap().recv();
                }
                if send % 2 == 1 {
                    return false;
                }
                conn.begin_stream();
                conn.end_stream();
                true
            })
        };
        Breaking {
            peers: (0..4).map(peer).collect(),
            sends: sends.clone(),
            begins,
            go,
        }
    }

    fn file(&self, reader: &Peer) -> String {
        let writers: Vec<_> = self.peers.iter().map(|peer| peer.address).collect();
        operator_file(&[reader.address], &writers, "")
    }

    fn sends(&self) -> u32 {
        self.sends.load(Ordering::SeqCst)
    }
}

fn begin(conductor: &Conductor, id: &str, class: &str) -> TcpStream {
    let mut client = conductor.connect();
    client
        .write_all(request(id, class, "hello").as_bytes())
        .unwrap();
    client
}

fn end(client: TcpStream) -> u16 {
    Message::read(&mut BufReader::new(client)).unwrap().status()
}

#[test]
fn classes_are_added_and_dropped_at_sighup() {
    let (reader, writer) = (Peer::reader(), writer());
    let file = operator_file(&[reader.address], &[writer.address], "");
    let conductor = Conductor::start(&file);
    assert_eq!(conductor.ask("id-1", "send").status(), 200);
    assert_eq!(conductor.ask("id-2", "plan").status(), 400);
    conductor.reload(&with_classes(
        &file,
        &[class("explain", "read_like"), class("plan", "read_like")],
    ));
    let line = conductor.wait_for("reload: new settings");
    assert!(
        line.contains("class plan added, class send dropped"),
        "{line}"
    );
    assert_eq!(conductor.ask("id-3", "plan").status(), 200);
    assert_eq!(conductor.ask("id-4", "explain").status(), 200);
    assert_eq!(conductor.ask("id-5", "send").status(), 400);
    // Back to the first.
    conductor.reload(&file);
    conductor.wait_for("reload: new settings");
    assert_eq!(conductor.ask("id-6", "send").status(), 200);
    let counters = conductor.stop();
    assert_eq!(
        ["reloads", "bad_requests", "taken"].map(|c| counters.get(c)),
        [2, 2, 4]
    );
}

/// Guards against open requests that go by the new rules: an unsafe one that may have run would be sent again
/// since its class became safe or was dropped, or a safe one failed for nothing.
#[rstest]
#[case::unsafe_becomes_safe("send", &[("explain", "read_like"), ("send", "read_like")], 502, 1)]
#[case::unsafe_is_dropped("send", &[("explain", "read_like")], 502, 1)]
#[case::safe_becomes_unsafe("explain", &[("explain", "non_idempotent"), ("send", "non_idempotent")], 200, 2)]
#[case::safe_is_dropped("explain", &[("send", "non_idempotent")], 200, 2)]
fn open_requests_keep_the_effect_of_their_class(
    #[case] name: &str,
    #[case] classes: &[(&str, &str)],
    #[case] status: u16,
    #[case] sends: u32,
) {
    let (reader, writers) = (Peer::reader(), Breaking::start());
    let file = writers.file(&reader);
    let conductor = Conductor::start(&file);
    let client = begin(&conductor, "id-1", name);
    writers.begins.recv().unwrap();
    let classes: Vec<String> = classes
        .iter()
        .map(|(name, effect)| class(name, effect))
        .collect();
    conductor.reload(&with_classes(&file, &classes));
    conductor.wait_for("reload: new settings");
    writers.go.send(()).unwrap();
    assert_eq!((end(client), writers.sends()), (status, sends));
}

/// The same class for the next request: the effect is the new one.
#[rstest]
#[case::unsafe_becomes_safe("send", "read_like", 200, 2)]
#[case::safe_becomes_unsafe("explain", "non_idempotent", 502, 1)]
fn new_requests_have_the_new_effect(
    #[case] name: &str,
    #[case] effect: &str,
    #[case] status: u16,
    #[case] sends: u32,
) {
    let (reader, writers) = (Peer::reader(), Breaking::start());
    let file = writers.file(&reader);
    let conductor = Conductor::start(&file);
    conductor.reload(&with_classes(&file, &[class(name, effect)]));
    conductor.wait_for(&format!("class {name} has another effect"));
    let client = begin(&conductor, "id-1", name);
    writers.begins.recv().unwrap();
    writers.go.send(()).unwrap();
    assert_eq!((end(client), writers.sends()), (status, sends));
}

/// One attempt to read and one to write are left: a request taken before still has its third.
#[test]
fn fewer_attempts_count_for_new_requests() {
    let (reader, writers) = (Peer::reader(), Breaking::start());
    let file = writers.file(&reader);
    let conductor = Conductor::start(&file);
    let client = begin(&conductor, "id-1", "explain");
    writers.begins.recv().unwrap();
    conductor.reload(&with_attempts(&file, "2"));
    conductor.wait_for("max_attempts 6 -> 2");
    writers.go.send(()).unwrap();
    assert_eq!((end(client), writers.sends()), (200, 2));
    assert_ne!(conductor.ask("id-2", "explain").status(), 200);
    assert_eq!(writers.sends(), 3);
}

/// Guards against a bad file that counts in part: none of its classes, and not its discovery either.
#[test]
fn a_bad_file_changes_nothing() {
    let (reader, writer) = (Peer::reader(), writer());
    let calls = Arc::<AtomicU32>::default();
    let count = calls.clone();
    let elsewhere = Peer::start(move |_, _| {
        count.fetch_add(1, Ordering::SeqCst);
        false
    });
    let file = |discovery| {
        let more = format!("discovery = \"{discovery}\"");
        operator_file(&[reader.address], &[writer.address], &more)
    };
    let (nowhere, classes) = (
        Peer::nobody(),
        [class("explain", "read_like"), class("plan", "read_like")],
    );
    let conductor = Conductor::start(&file(nowhere));
    let good = with_classes(&file(elsewhere.address), &classes);
    let without = |line: &str| {
        assert!(good.contains(line));
        good.replacen(line, "", 1)
    };
    let bad = [
        (String::new(), "missing"),
        (good[..good.len() - 1].to_owned(), "cut short"),
        (
            good[..good.find("[known]").unwrap()].to_owned(),
            "known is missing",
        ),
        (without("my_zone = \"here\"\n"), "my_zone"),
        (without("cold_us = 9000000\n"), "cold_us"),
        (
            without("answer_slack_us = 16000\n"),
            "settings.rules.answer_slack_us is missing",
        ),
        (without("give_up_us = 6000000\n"), "give_up_us"),
        (
            good.replace("give_up_us = 6000000", "give_up_us = 0"),
            "0 is not a number above 0",
        ),
        (
            good.replace("give_up_us = 6000000", "give_up_us = \"soon\""),
            "give_up_us",
        ),
        (
            with_attempts(&good, "0"),
            "max_attempts: 0 is not a number above 0",
        ),
        (with_attempts(&good, "-1"), "max_attempts"),
        (with_attempts(&good, "\"many\""), "max_attempts"),
        (good.replace("read_like", "harmless"), "effect"),
        ("{\"listen\":".to_owned(), "line 1"),
    ];
    for (text, why) in &bad {
        conductor.reload(text);
        let line = conductor.wait_for("keeping the current configuration");
        assert!(
            line.contains("reload: ") && line.contains(why),
            "{why}: {line}"
        );
        assert_eq!(conductor.ask("id-1", "plan").status(), 400);
    }
    assert_eq!(conductor.ask("id-2", "send").status(), 200);
    assert_eq!(calls.load(Ordering::SeqCst), 0);
    conductor.reload(&good);
    conductor.wait_for("reload: discovery is now at");
    assert_eq!(conductor.ask("id-3", "plan").status(), 200);
    let counters = conductor.stop();
    assert_eq!(
        [counters.get("reloads"), counters.get("reloads_failed")],
        [1, bad.len() as u64]
    );
}

/// Guards against a new value that seems to be in force where it counts from a start only.
#[test]
fn what_counts_from_a_start_only_is_named() {
    let (reader, writer) = (Peer::reader(), writer());
    let file = operator_file(&[reader.address], &[writer.address], "");
    let conductor = Conductor::start(&file);
    let new = with_attempts(&file, "3")
        .replace("connect_timeout_us = 250000", "connect_timeout_us = 99000");
    for _ in 0..2 {
        conductor.reload(&new);
        conductor.wait_for(
            "reload: settings.permissions.connect_timeout_us changed; the new value takes effect at the next start",
        );
    }
    conductor.wait_for("reload: discovery stays");
}
