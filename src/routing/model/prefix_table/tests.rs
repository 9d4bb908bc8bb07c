use super::*;
use crate::routing::types::RequestId;

const SECOND: Micros = 1_000_000;
const LOAD_HALF_LIFE: Micros = 30 * SECOND;

fn spec(prefix: &str, session: &str) -> RequestSpec {
    RequestSpec {
        request: RequestId(1),
        deadline: 0,
        session: Some(session.into()),
        prefix: Some(prefix.into()),
        prefix_tokens: 1_000,
        prompt_tokens: 1_500,
        max_tokens: 0,
        duration_hint: None,
        class: "chat".into(),
        tenant: None,
    }
}

fn worker(name: &str) -> WorkerId {
    WorkerId(name.into())
}

#[test]
fn longer_match_of_prefix_and_session_is_used() {
    let mut table = PrefixTable::default();
    table.insert(&spec("p", "s"), &worker("a"), SECOND);
    assert_eq!(
        table.cached_tokens(&spec("p", "s"), &worker("a"), 0),
        1_500.0
    );
    assert_eq!(
        table.cached_tokens(&spec("p", "other"), &worker("a"), 0),
        1_000.0
    );
    assert_eq!(
        table.cached_tokens(&spec("other", "other"), &worker("a"), 0),
        0.0
    );
    assert_eq!(table.cached_tokens(&spec("p", "s"), &worker("b"), 0), 0.0);
    assert_eq!(table.total_cached_tokens(&worker("a")), 1_000.0);
}

#[test]
fn expired_entries_and_removed_workers_do_not_count() {
    let mut table = PrefixTable::default();
    table.insert(&spec("p", "s"), &worker("a"), SECOND);
    table.insert(&spec("q", "t"), &worker("b"), 3 * SECOND);
    assert_eq!(
        table.cached_tokens(&spec("p", "s"), &worker("a"), 2 * SECOND),
        0.0
    );
    table.expire(2 * SECOND);
    assert!(!table.has_session(&spec("p", "s")));
    assert!(table.has_session(&spec("q", "t")));
    table.remove_worker(&worker("b"));
    assert!(!table.has_session(&spec("q", "t")));
    assert_eq!(table.total_cached_tokens(&worker("b")), 0.0);
}

#[test]
fn prefix_share_excludes_the_request_itself() {
    let mut table = PrefixTable::default();
    for prefix in ["p", "p", "p", "q"] {
        table.record_request(&spec(prefix, "s"), SECOND, LOAD_HALF_LIFE);
    }
    assert_eq!(
        table.request_share(&spec("p", "s"), SECOND, LOAD_HALF_LIFE),
        0.5
    );
    assert_eq!(
        table.request_share(&spec("q", "s"), SECOND, LOAD_HALF_LIFE),
        0.0
    );
    assert_eq!(
        table.request_share(&spec("never", "s"), SECOND, LOAD_HALF_LIFE),
        0.0
    );
}
