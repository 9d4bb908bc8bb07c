use super::*;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

#[test]
fn digest_depends_on_values_but_not_on_spacing_or_key_order() {
    let raw = |text: &str| RawValue::from_string(text.to_owned()).unwrap();
    let expected = digest("m", Some(&raw(r#"{"a":1,"b":[2]}"#)));
    assert_eq!(expected, digest("m", Some(&raw(r#"{ "b": [2], "a": 1 }"#))));
    assert_ne!(expected, digest("m", Some(&raw(r#"{"a":1,"b":[3]}"#))));
    assert_ne!(expected, digest("n", Some(&raw(r#"{"a":1,"b":[2]}"#))));
}

fn ledger(dial: SocketAddr) -> Rc<Ledger> {
    let table = format!("dial = \"{dial}\"");
    let settings: ToolSettings = toml::from_str(&table).unwrap();
    let timeout = Duration::from_secs(5);
    Ledger::new(settings, timeout, Rc::default(), Budget::new(1_000_000))
}

fn key(request: &str) -> CallKey {
    CallKey {
        request: request.into(),
        ordinal: 0,
    }
}

/// Guards against a tool call that begins after its client has left; and against one that a resumed stream cannot make any
/// more because it was not made then.
#[tokio::test]
async fn a_call_that_has_not_begun_is_not_made_when_its_client_has_left() {
    let tool_server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let ledger = ledger(tool_server.local_addr().unwrap());
    let run = async {
        let started = ledger.start(key("order"), None, "charge", None);
        drop(started);
        while ledger.is_busy() {
            tokio::task::yield_now().await;
        }
        assert_eq!(ledger.counters.tool_runs.get(), 0);
        let _resumed = ledger.start(key("order"), None, "charge", None);
        while ledger.counters.tool_runs.get() == 0 {
            tokio::task::yield_now().await;
        }
    };
    LocalSet::new().run_until(run).await;
}
