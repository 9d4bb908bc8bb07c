use super::*;
use crate::routing::types::Idempotency;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use serde_json::json;

fn table() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:8000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"seq": 4, "whole": true, "hosts": []},
        "settings": {
            "my_zone": "here", "registry_mode": "pushed", "replicas_of_me": 3, "skus": ["rd", "wr"],
            "family_info": {"role_by_kind": ["read", "write"], "token_aim_us": [60000, 80000, 80000]},
            "permissions": {"max_attempts": 6, "may_cancel": true, "connect_timeout_us": 250000},
            "rules": {
                "drain_grace_us": 1000000, "cold_from": 0.3, "cold_us": 9000000, "fall_multiple": 2.5,
                "fall_us": 1000000
            },
            "tenants": [{"name": "t1", "quota_rps": 2.5}],
            "classes": [
                {"name": "explain", "effect": "read_like", "objective_us": 1500000, "give_up_us": 6000000},
                {"name": "send", "effect": "non_idempotent", "objective_us": 2500000, "give_up_us": 9000000},
                {
                    "name": "save", "effect": "idempotency_key", "dedup_scope": "zone",
                    "repeat_window_us": 5000000, "objective_us": 2500000, "give_up_us": 9000000
                }
            ]
        }
    })
}

fn read(text: &str) -> Result<Config, ConfigError> {
    Config::from_json(text, |_| None)
}

fn active() -> Config {
    read(&table().to_string()).unwrap()
}

/// Parses a text and checks it as a replacement, as at SIGHUP.
fn load(text: &str) -> Result<Config, ConfigError> {
    let new = read(text)?;
    active().check_replacement(&new)?;
    Ok(new)
}

fn changed(change: impl FnOnce(&mut Value)) -> String {
    let mut table = table();
    change(&mut table);
    table.to_string()
}

fn classes(table: &mut Value) -> &mut Vec<Value> {
    table["settings"]["classes"].as_array_mut().unwrap()
}

/// JSON pointers to all fields of tables, including tables in lists.
fn fields(value: &Value, path: &str) -> Vec<String> {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(table) => table
            .iter()
            .map(|(key, value)| (format!("{path}/{key}"), value))
            .collect(),
        Value::Array(items) => {
            let numbered = items.iter().enumerate();
            return numbered
                .flat_map(|(i, item)| fields(item, &format!("{path}/{i}")))
                .collect();
        }
        _ => Vec::new(),
    };
    children
        .into_iter()
        .flat_map(|(path, value)| [vec![path.clone()], fields(value, &path)].concat())
        .collect()
}

fn remove(table: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    table
        .pointer_mut(parent)
        .unwrap()
        .as_object_mut()
        .unwrap()
        .remove(key)
        .unwrap();
}

#[test]
fn classes_and_attempts_may_change() {
    let text = changed(|table| {
        classes(table)[0]["effect"] = json!("non_idempotent");
        classes(table).remove(1);
        let new =
            json!({"name": "plan", "effect": "read_like", "objective_us": 1, "give_up_us": 0.5});
        classes(table).push(new);
        table["settings"]["permissions"]["max_attempts"] = json!(2);
    });
    let (mut active, before) = (active(), active().settings);
    let SettingsChange::New(settings) = active.replace_with(load(&text).unwrap()) else {
        panic!("no change")
    };
    let effects: Vec<_> = settings
        .classes
        .iter()
        .map(|c| (c.name.as_str(), c.idempotency))
        .collect();
    assert_eq!(effects[0], ("explain", Idempotency::NonIdempotent));
    assert_eq!(effects[2], ("plan", Idempotency::Idempotent));
    assert_eq!((effects.len(), settings.max_attempts), (3, 2));
    assert_eq!(
        describe_changes(&before, &settings),
        "class explain has another effect, class plan added, class send dropped, max_attempts 6 -> 2"
    );
    assert_eq!(active.settings, *settings);
}

#[test]
fn keyed_class_may_change_its_effect_and_drop_the_keys_of_keyed_classes() {
    let effect = |effect: &str| {
        changed(|table| {
            let class = classes(table)[2].as_object_mut().unwrap();
            class.remove("dedup_scope");
            class.remove("repeat_window_us");
            class.insert("effect".into(), json!(effect));
        })
    };
    assert!(load(&effect("read_like")).is_ok());
    assert!(load(&effect("idempotency_key")).is_err());
}

#[test]
fn lists_may_become_empty_but_not_be_removed_and_one_class_is_required() {
    assert!(load(&changed(|table| table["settings"]["tenants"] = json!([]))).is_ok());
    assert!(load(&changed(|table| table["settings"]["tenants"] = json!(null))).is_err());
    assert!(load(&changed(|table| table["settings"]["tenants"] = json!("t1"))).is_err());
    assert!(load(&changed(|table| table["settings"]["classes"] = json!([]))).is_err());
}

/// Guards against defaults that silently replace a key that the file has lost.
#[test]
fn file_without_any_one_key_is_rejected_naming_the_key() {
    let pointers = fields(&table(), "");
    assert!(pointers.len() > 40, "{pointers:?}");
    for pointer in pointers {
        let text = changed(|table| remove(table, &pointer));
        // The classes of the table differ in effect, so each needs all of its keys.
        let error = load(&text).expect_err(&pointer).to_string();
        assert!(!error.contains('\n'), "{error}");
        let key = pointer.rsplit('/').next().unwrap();
        assert!(error.contains(key), "{pointer}: {error}");
    }
}

#[rstest]
#[case("max_attempts", "/settings/permissions/max_attempts")]
#[case("objective_us", "/settings/classes/1/objective_us")]
#[case("give_up_us", "/settings/classes/2/give_up_us")]
fn deadlines_and_attempts_must_be_numbers_above_0(#[case] key: &str, #[case] pointer: &str) {
    let with = |value: Value| {
        load(&changed(|table| {
            *table.pointer_mut(pointer).unwrap() = value;
        }))
    };
    assert!(with(json!(1)).is_ok());
    for invalid in [
        json!(0),
        json!(-1),
        json!("5"),
        json!(""),
        json!("x"),
        json!(true),
        json!([]),
        json!({}),
    ] {
        let error = with(invalid.clone())
            .expect_err(&invalid.to_string())
            .to_string();
        assert!(error.contains(key), "{invalid}: {error}");
    }
}

#[rstest]
#[case::empty("")]
#[case::blank(" \n")]
#[case::null("null")]
#[case::empty_table("{}")]
#[case::list("[]")]
#[case::not_json("listen = 5")]
#[case::two_files("{}{}")]
fn text_that_is_no_configuration_is_rejected(#[case] text: &str) {
    assert!(load(text).is_err());
}

#[test]
fn settings_that_need_a_restart_are_kept_and_named() {
    let text = changed(|table| {
        table["settings"]["skus"] = json!(["rd", "wr", "all"]);
        table["settings"]["permissions"]["connect_timeout_us"] = json!(90000);
        table["settings"]["permissions"]["max_attempts"] = json!(3);
        table["listen"] = json!("127.0.0.1:8001");
    });
    let (mut active, new) = (active(), load(&text).unwrap());
    let named = [
        "listen",
        "settings.skus",
        "settings.family_info.role_by_kind",
    ];
    let differences = active.differences(&new);
    assert!(
        named.iter().all(|name| differences.contains(name)),
        "{differences:?}"
    );
    assert!(differences.contains(&"settings.permissions.connect_timeout_us"));
    let before = active.settings.clone();
    assert_eq!(
        active.replace_with(new),
        SettingsChange::New(Box::new(RoutingConfig {
            max_attempts: 3,
            ..before
        }))
    );
}

/// Guards against a router whose settings are set both by its file and by the fleet's policy.
#[test]
fn reload_leaves_settings_to_the_fleet_policy() {
    let file = include_str!("../../../deploy/fleet/c1.toml");
    let mut active = Config::from_toml(file).unwrap();
    assert!(
        active
            .fleet
            .as_ref()
            .is_some_and(|fleet| fleet.policy.is_some())
    );
    let mut new = active.clone();
    assert_eq!(active.replace_with(new.clone()), SettingsChange::None);
    new.settings.max_attempts += 1;
    let before = active.settings.clone();
    assert_eq!(active.replace_with(new), SettingsChange::LeftToFleetPolicy);
    assert_eq!(active.settings, before);
}

/// Guards against an operator's file truncated inside a number, which still parses as TOML.
#[test]
fn operator_file_without_final_newline_is_rejected_as_cut_short() {
    let text = toml::to_string(&table()).unwrap() + "max_out = 120\n";
    let active = Config::from_toml(&text).unwrap();
    assert!(active.check_replacement(&active).is_ok());
    let cut = Config::from_toml(&text[..text.len() - 2]).unwrap();
    assert!(
        active
            .check_replacement(&cut)
            .unwrap_err()
            .to_string()
            .contains("cut short")
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    /// Guards against a file that is read while it is being written: a prefix of it is rejected or has the same meaning.
    #[test]
    fn truncated_file_has_the_same_meaning_or_is_rejected(cut in any::<Index>(), indented: bool) {
        let plain = table().to_string();
        let text = if indented { serde_json::to_string_pretty(&table()).unwrap() + "\n" } else { plain };
        if let Ok(new) = load(&text[..cut.index(text.len() + 1)]) {
            prop_assert_eq!(new.document.table, table());
        }
    }

    /// A file that has lost any number of keys, at any depth, is rejected.
    #[test]
    fn file_that_has_lost_keys_is_rejected(lost in prop::collection::vec(any::<Index>(), 0..4)) {
        let mut table = table();
        for index in &lost {
            let remaining = fields(&table, "");
            remove(&mut table, &remaining[index.index(remaining.len())]);
        }
        prop_assert_eq!(load(&table.to_string()).is_ok(), lost.is_empty());
    }

    /// A file that has lost bytes in the middle is rejected, or has classes with usable names and numbers.
    #[test]
    fn file_that_has_lost_bytes_is_usable_or_rejected(from in any::<Index>(), bytes in 1..200usize) {
        let text = table().to_string();
        let from = from.index(text.len());
        let rest = &text[(from + bytes).min(text.len())..];
        if let Ok(new) = load(&format!("{}{rest}", &text[..from])) {
            prop_assert!(new.settings.max_attempts > 0);
            prop_assert!(!new.settings.classes.is_empty());
            let usable = new.settings.classes.iter().all(|c| c.client_timeout > 0 && c.ttft_objective > 0 && !c.name.is_empty());
            prop_assert!(usable, "{:?}", new.settings.classes);
        }
    }
}
