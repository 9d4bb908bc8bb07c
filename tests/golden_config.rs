//! Pins the forms in which a router is configured: operators' files, the platform's JSON, HAProxy's configuration.
//!
//! The data files in `tests/golden/config/` are fixed. Code that reads or writes one of them otherwise has changed
//! a format that others rely on, and is at fault; the files are not to be written anew for it.

use rstest::rstest;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;
use whinhaven::config::Config;
use whinhaven::fleet::sites::describe::Fleet;
use whinhaven::haproxy;
use whinhaven::routing::types::{
    DeduplicationScope, Idempotency, LoadReporting, Role, RoutingConfig, Status,
};

const OPERATOR: &str = include_str!("../deploy/operator.toml");
const SITES: &str = include_str!("../deploy/sites.toml");
const HAPROXY: &str = include_str!("../examples/haproxy.cfg");
const HAPROXY_IMPORTED: &str = include_str!("golden/config/haproxy.imported.toml");
const PLATFORM: &str = include_str!("golden/config/platform.json");

fn operator() -> Config {
    Config::from_toml(OPERATOR).unwrap()
}

fn platform() -> Config {
    Config::from_json(PLATFORM, |_| None).unwrap()
}

fn sites() -> Fleet {
    let settings = Config::from_toml(SITES).unwrap().settings;
    Fleet::from_toml(SITES, &settings).unwrap()
}

fn kinds(settings: &RoutingConfig) -> Vec<(&str, Role, Option<u64>)> {
    settings
        .kinds
        .iter()
        .map(|kind| (kind.name.as_str(), kind.role, kind.memory_tokens))
        .collect()
}

fn with(text: &str, line: &str, instead: &str) -> String {
    assert!(text.contains(line), "{line:?} is not in the file");
    text.replacen(line, instead, 1)
}

#[test]
fn operator_file_gives_the_router_s_addresses_and_limits() {
    let config = operator();
    assert_eq!(config.name, "edge-1");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8080");
    assert_eq!((config.discovery, config.ops), (None, None));
    assert_eq!(config.seed, 0);
    assert_eq!(config.limits.memory_mb, 192);
    assert_eq!(config.limits.sockets, 1024);
    assert_eq!(config.idle_close, Duration::from_secs(30));
    assert!(config.fleet.is_none() && config.sites.is_none());
}

#[test]
fn operator_file_gives_the_settings_of_decisions() {
    let settings = operator().settings;
    assert_eq!(
        kinds(&settings),
        [
            ("prompt", Role::Prefill, Some(200_000)),
            ("answer", Role::Decode, Some(150_000))
        ]
    );
    assert_eq!(settings.index, None);
    assert_eq!((settings.zone.as_str(), settings.routers), ("here", 1));
    assert!(
        !settings.endpoints_require_subscription
            && settings.cancellation_allowed
            && settings.advises_retry_after
    );
    assert!(
        !settings.hedging_allowed && !settings.health_checks_allowed && !settings.gossip_allowed
    );
    assert!(!settings.decode_workers_prefill);
    assert_eq!(settings.load_reporting, LoadReporting::None);
    assert_eq!(settings.max_attempts, 6);
    assert_eq!(settings.max_retry_after, 2_000_000);
    assert_eq!(settings.connect_timeout, 250_000);
    assert_eq!(settings.kv_state_hold_limit, 500_000);
    assert_eq!(settings.response_grace, 16_000);
    assert_eq!(settings.drain_grace, 1_000_000);
    assert_eq!(
        (
            settings.slow_start_initial_capacity,
            settings.slow_start_duration
        ),
        (0.3, 9_000_000)
    );
    assert_eq!(
        (settings.overload_factor, settings.overload_window),
        (2.5, 1_000_000)
    );
}

#[test]
fn operator_file_gives_the_classes() {
    let classes = operator().settings.classes;
    assert_eq!(classes.len(), 2);
    let [explain, send] = [&classes[0], &classes[1]];
    assert_eq!(
        (explain.name.as_str(), explain.idempotency),
        ("explain", Idempotency::Idempotent)
    );
    assert_eq!(
        (explain.ttft_objective, explain.client_timeout),
        (1_500_000, 6_000_000)
    );
    assert_eq!(
        (explain.priority_weight, explain.inter_token_objective),
        (3.0, 60_000)
    );
    assert_eq!(
        (send.name.as_str(), send.idempotency),
        ("send", Idempotency::NonIdempotent)
    );
    assert_eq!(
        (send.ttft_objective, send.client_timeout),
        (2_500_000, 10_000_000)
    );
    assert_eq!(
        (send.priority_weight, send.inter_token_objective),
        (2.0, 80_000)
    );
}

#[test]
fn operator_file_gives_the_known_hosts() {
    let known = operator().known;
    assert_eq!((known.seq, known.is_full), (1, true));
    let hosts: Vec<_> = known
        .entries
        .iter()
        .map(|(entry, address)| {
            (
                &*entry.worker.0,
                entry.kind.as_str(),
                address.unwrap().port(),
            )
        })
        .collect();
    assert_eq!(
        hosts,
        [("reader-1", "prompt", 9101), ("writer-1", "answer", 9201)]
    );
}

#[test]
fn operator_file_gives_the_front_for_tool_calls() {
    let tools = operator().tools.unwrap();
    assert_eq!(tools.dial.to_string(), "127.0.0.1:9300");
    assert_eq!(
        (tools.path.as_str(), tools.listen_path.as_str()),
        ("/", "/rpc")
    );
    assert_eq!(tools.call_timeout_ms, 10_000);
    assert_eq!(tools.max_call_bytes, 65_536);
    assert_eq!(tools.max_result_bytes, 65_536);
    assert_eq!((tools.max_calls, tools.max_calls_at_once), (16, 64));
    assert_eq!((tools.remember_s, tools.max_entries), (900, 10_000));
    assert_eq!(tools.max_ledger_bytes, 16_777_216);
}

#[test]
fn sites_file_gives_sites_links_and_capacity() {
    let fleet = sites();
    let names: Vec<&str> = (0..fleet.site_count())
        .map(|site| fleet.site_name(site))
        .collect();
    assert_eq!(names, ["west", "east", "north"]);
    assert_eq!(fleet.tables.site[0].routers, 3);
    assert_eq!(fleet.tables.site[0].falls_to["east"], 0.6);
    assert_eq!(fleet.links[0][1], Some((120_000.0, 1.2)));
    assert_eq!(fleet.links[1][0], Some((120_000.0, 1.2)));
    assert_eq!(fleet.links[0][2], Some((60_000.0, 2.1)));
    assert_eq!(fleet.capacity[0].prefill_tokens_per_s, 72_000.0);
    assert_eq!(fleet.capacity[0].prefill_memory_tokens, 800_000.0);
    assert_eq!(fleet.capacity[0].decode_tokens_per_s, 9_600.0);
    assert_eq!(fleet.capacity[2].decode_memory_tokens, 1_500_000.0);
}

#[test]
fn sites_file_gives_demand_shares_and_pace() {
    let fleet = sites();
    assert_eq!(fleet.class_count(), 2);
    assert_eq!(fleet.worth, [3.0, 2.0]);
    assert_eq!(fleet.tenants, ["", "abacus", "brass"]);
    assert_eq!(fleet.guaranteed, [0.0, 20.0, 12.0]);
    assert_eq!(fleet.demand[0][1], [14.0, 12.0, 0.0]);
    assert_eq!(fleet.demand[1][2], [0.0, 16.0, 10.0]);
    assert_eq!((fleet.tables.fill, fleet.tables.hold_s), (0.9, 0.3));
    assert_eq!(fleet.tables.price_per_ms, 0.002);
    assert_eq!(fleet.tables.price_per_1000_tokens, 0.005);
    assert_eq!(fleet.tables.watch.lost_after_ms, 2_000);
    assert_eq!(fleet.tables.watch.hold_down_ms, 5_000);
    assert_eq!(
        (fleet.tables.ramp.steps, fleet.tables.ramp.step_ms),
        (8, 3_000)
    );
    assert_eq!(fleet.tables.ramp.cold_part, 0.8);
}

#[test]
fn haproxy_configuration_gives_the_recorded_operator_file() {
    let imported = haproxy::import(HAPROXY).unwrap();
    assert_eq!(imported.file, HAPROXY_IMPORTED);
    Config::from_toml(&imported.file).unwrap();
}

#[test]
fn platform_document_gives_the_router_s_addresses_and_limits() {
    let config = platform();
    assert_eq!(config.name, "node-17");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8117");
    assert_eq!(config.discovery.unwrap().to_string(), "127.0.0.1:8500");
    assert_eq!(config.ops.unwrap().to_string(), "127.0.0.1:9117");
    assert_eq!(config.seed, 0x00c0_ffee_1234_5678);
    assert_eq!(config.limits.memory_mb, 256);
    assert_eq!(config.limits.sockets, 2048);
    assert_eq!(config.idle_close, Duration::from_secs(45));
    assert!(config.fleet.is_none() && config.tools.is_none());
}

#[test]
fn platform_document_gives_the_settings_of_decisions() {
    let settings = platform().settings;
    assert_eq!(
        kinds(&settings),
        [
            ("lens", Role::Prefill, Some(160_000)),
            ("quill", Role::Decode, Some(120_000)),
            ("both", Role::Mixed, Some(90_000))
        ]
    );
    assert_eq!((settings.index, settings.routers), (Some(2), 5));
    assert_eq!(
        (settings.zone.as_str(), settings.batch_interval),
        ("oak", 4_000)
    );
    assert_eq!(settings.load_reporting, LoadReporting::Responses);
    assert!(
        settings.endpoints_require_subscription
            && settings.health_checks_allowed
            && settings.cancellation_allowed
    );
    assert!(
        settings.hedging_allowed && settings.decode_workers_prefill && settings.advises_retry_after
    );
    assert!(!settings.gossip_allowed);
    assert_eq!(
        (settings.endpoint_update_limit, settings.kv_state_hold_limit),
        (2_000_000, 400_000)
    );
    assert_eq!(settings.max_retry_after, 1_500_000);
    assert_eq!(
        (settings.max_attempts, settings.connect_timeout),
        (5, 200_000)
    );
    assert_eq!(
        (settings.response_grace, settings.drain_grace),
        (16_000, 800_000)
    );
    assert_eq!(
        (
            settings.slow_start_initial_capacity,
            settings.slow_start_duration
        ),
        (0.25, 6_000_000)
    );
    assert_eq!(
        (settings.overload_factor, settings.overload_window),
        (2.5, 900_000)
    );
}

#[test]
fn platform_document_gives_classes_and_tenants() {
    let settings = platform().settings;
    let [talk, note, pay] = [0, 1, 2].map(|number| &settings.classes[number]);
    assert_eq!(
        (talk.name.as_str(), talk.idempotency),
        ("talk", Idempotency::Idempotent)
    );
    assert_eq!(
        (talk.ttft_objective, talk.client_timeout),
        (900_000, 5_000_000)
    );
    assert_eq!(
        (
            talk.inter_token_objective,
            talk.ttft_objective_per_1000_tokens
        ),
        (50_000, 120_000)
    );
    assert_eq!((talk.priority_weight, talk.late_value_share), (2.5, 0.3));
    assert_eq!(
        (note.name.as_str(), note.idempotency),
        ("note", Idempotency::WithKey(DeduplicationScope::Zone))
    );
    assert_eq!(
        (note.deduplication_window, note.priority_weight),
        (3_000_000, 1.0)
    );
    assert_eq!(
        (pay.name.as_str(), pay.idempotency),
        ("pay", Idempotency::NonIdempotent)
    );
    let tenants: Vec<_> = settings
        .tenants
        .iter()
        .map(|tenant| (tenant.name.as_str(), tenant.quota_per_s))
        .collect();
    assert_eq!(tenants, [("mill", 9.5), ("forge", 4.0)]);
    assert_eq!(settings.over_quota_weight, 0.25);
}

#[test]
fn platform_document_gives_the_known_hosts() {
    let known = platform().known;
    assert_eq!((known.seq, known.is_full), (41, true));
    let (lens, address) = &known.entries[0];
    assert_eq!(
        (&*lens.worker.0, lens.zone.as_str(), lens.kind.as_str()),
        ("lens-a", "oak", "lens")
    );
    assert_eq!(
        (lens.cell, lens.weight, lens.started),
        (3, 1.5, Some(6_100_000))
    );
    assert_eq!(address.unwrap().to_string(), "127.0.0.1:9101");
    let (quill, _) = &known.entries[1];
    assert_eq!((quill.cell, quill.weight, quill.started), (0, 1.0, None));
    let statuses: Vec<Status> = known
        .entries
        .iter()
        .map(|(entry, _)| entry.status)
        .collect();
    assert_eq!(statuses, [Status::Ready, Status::Draining, Status::Gone]);
    assert_eq!(known.entries[2].1, None);
}

#[test]
fn environment_stands_in_for_what_the_platform_document_leaves_out() {
    let text = with(PLATFORM, "\"listen\": \"127.0.0.1:8117\",", "");
    let text = with(&text, "\"discovery\": \"127.0.0.1:8500\",", "");
    let text = with(&text, "\"name\": \"node-17\",", "");
    let environment = |name: &str| match name {
        "NODE_LISTEN" => Some("127.0.0.1:1".to_owned()),
        "NODE_DISCOVERY" => Some("127.0.0.1:2".to_owned()),
        "NODE_NAME" => Some("node-18".to_owned()),
        _ => None,
    };
    let config = Config::from_json(&text, environment).unwrap();
    assert_eq!(config.name, "node-18");
    assert_eq!(config.listen.port(), 1);
    assert_eq!(config.discovery.unwrap().port(), 2);
}

#[test]
fn unknown_setting_is_skipped() {
    let text = with(
        OPERATOR,
        "my_zone = \"here\"",
        "my_zone = \"here\"\nspeed = 1",
    );
    assert_eq!(
        Config::from_toml(&text).unwrap().settings,
        operator().settings
    );
}

#[rstest]
#[case::missing_key(with(OPERATOR, "my_zone = \"here\"", ""))]
#[case::missing_listen(with(OPERATOR, "listen = \"127.0.0.1:8080\"", ""))]
#[case::negative_number(with(OPERATOR, "drain_grace_us = 1000000", "drain_grace_us = -1"))]
#[case::negative_limit(with(OPERATOR, "memory_mb = 192", "memory_mb = -192"))]
#[case::cut_short(OPERATOR[..OPERATOR.find("[[settings.classes]]").unwrap()].to_owned())]
#[case::cut_inside_a_line(OPERATOR[..OPERATOR.find("objective_us").unwrap() + 5].to_owned())]
fn broken_operator_file_is_an_error(#[case] text: String) {
    assert!(Config::from_toml(&text).is_err());
}

#[rstest]
#[case::missing_key(with(SITES, "delay_ms = 1.2\n", ""))]
#[case::unknown_key(with(SITES, "failures = 3", "failures = 3\nspeed = 1"))]
#[case::negative_number(with(SITES, "tokens_per_s = 120000", "tokens_per_s = -120000"))]
#[case::cut_short(SITES[..SITES.find("[[sites.classes]]").unwrap()].to_owned())]
fn broken_sites_file_is_an_error(#[case] text: String) {
    let settings = Config::from_toml(SITES).unwrap().settings;
    assert!(Fleet::from_toml(&text, &settings).is_err());
}

#[rstest]
#[case::missing_key(with(PLATFORM, "\"max_attempts\": 5,", ""))]
#[case::negative_number(with(PLATFORM, "\"cold_us\": 6000000", "\"cold_us\": -6000000"))]
#[case::unknown_role(with(PLATFORM, "\"read\", \"write\"", "\"skim\", \"write\""))]
#[case::cut_short(PLATFORM[..PLATFORM.len() / 2].to_owned())]
fn broken_platform_document_is_an_error(#[case] text: String) {
    assert!(Config::from_json(&text, |_| None).is_err());
}

#[rstest]
#[case::missing_address(with(HAPROXY, "server r1 127.0.0.1:9101 weight 10", "server r1"))]
#[case::negative_number(with(HAPROXY, "retries 3", "retries -3"))]
#[case::cut_short(HAPROXY[..HAPROXY.find("backend prompt").unwrap()].to_owned())]
fn broken_haproxy_configuration_is_an_error(#[case] text: String) {
    assert!(haproxy::import(&text).is_err());
}

fn check(file: PathBuf) -> Output {
    Command::new(env!("CARGO_BIN_EXE_whinhaven"))
        .arg("check")
        .arg(file)
        .env_remove("NODE_CONFIG")
        .output()
        .unwrap()
}

#[rstest]
#[case("operator.toml")]
#[case("sites.toml")]
fn check_accepts_the_deployed_file(#[case] name: &str) {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy");
    let done = check(directory.join(name));
    assert_eq!(done.status.code(), Some(0));
    assert!(done.stderr.is_empty());
}

#[test]
fn check_refuses_a_broken_file_in_one_line() {
    let name = format!("golden-config-{}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, with(OPERATOR, "my_zone = \"here\"", "")).unwrap();
    let done = check(file.clone());
    std::fs::remove_file(file).unwrap();
    assert!(!done.status.success());
    assert_eq!(String::from_utf8(done.stderr).unwrap().lines().count(), 1);
}
