//! Discovery between scripted peers on loopback sockets: how its news may come, and be lost.

mod support;

use rstest::rstest;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, mpsc};
use support::*;

fn writer() -> Peer {
    Peer::start(|_, conn| {
        conn.begin_stream();
        conn.delta("one");
        conn.end_stream();
        true
    })
}

/// Guards against sends to a host whose drain was told in another form, or told by halves before the connection ended.
#[rstest]
#[case::in_one_line(|text: &str| format!("{text}\n"), false)]
#[case::indented(|text: &str| text.replace('{', "{\n  ").replace(',', ",\n  ").replace('}', "\n}") + "\n", false)]
#[case::not_indented(|text: &str| text.replace('{', "{\n").replace(',', ",\n").replace('}', "\n}") + "\n", false)]
#[case::with_no_line_end(|text: &str| text.to_owned(), false)]
#[case::after_half_of_it(|text: &str| format!("{text}\n"), true)]
fn a_drain_is_heard_in_whatever_form_it_comes(
    #[case] print: fn(&str) -> String,
    #[case] cut: bool,
) {
    let (tell, told) = mpsc::channel();
    let tell = Mutex::new(tell);
    let old = Peer::start(move |message, conn| {
        if message.line.starts_with("POST") {
            tell.lock().unwrap().send(()).unwrap();
        } else {
            conn.answer("204 No Content", "", "");
        }
        false
    });
    let (new, reader) = (writer(), Peer::reader());
    let change = format!(
        r#"{{"seq":2,"whole":false,"hosts":[{{"host":"answer-0","health":"draining","class":"answer","site":"here"}},{{"host":"answer-9","dial":"{}","health":"ready","class":"answer","site":"here"}}]}}"#,
        new.address
    );
    let (ask, asked) = mpsc::channel();
    let (ask, count) = (Mutex::new(ask), AtomicU32::new(0));
    let discovery = Peer::start(move |message, conn| {
        ask.lock().unwrap().send(message.line.clone()).unwrap();
        conn.begin_stream();
        if cut && count.fetch_add(1, Ordering::SeqCst) == 0 {
            conn.chunk(&change[..change.len() / 2]);
            return false;
        }
        conn.chunk("\n");
        let text = print(&change);
        let (first, rest) = text.split_at(text.len() / 3);
        conn.chunk(first);
        conn.chunk(rest);
        conn.is_closed();
        false
    });
    let more = format!("discovery = \"{}\"", discovery.address);
    let conductor = Conductor::start(&operator_file(&[reader.address], &[old.address], &more));
    let mut news = String::new();
    while !news.contains("discovery: answer-9") {
        news = conductor.wait_for("discovery: ");
        assert!(!news.contains("can't be"), "{news}");
    }
    for i in 0..3 {
        assert_eq!(conductor.ask(&format!("id-{i}"), "send").status(), 200);
    }
    assert_eq!(told.try_iter().count(), 0);
    let asked: Vec<String> = asked.try_iter().collect();
    assert!(
        asked
            .iter()
            .take(1 + usize::from(cut))
            .all(|line| line.contains("watch=1&after=1 ")),
        "{asked:?}"
    );
}
