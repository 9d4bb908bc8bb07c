use super::*;

#[test]
fn nested_settings_flatten_to_paths_of_the_init_message() {
    let value = serde_json::json!({"a": {"b": [1.5, 2], "c": null, "name": "x y"},
        "classes": [{"n": "p"}, {"n": "q"}], "none": [], "on": true});
    let mut pairs = Vec::new();
    flatten("", &value, &mut pairs);
    let text: Vec<String> = pairs.into_iter().map(|(k, v)| format!("{k}={v}")).collect();
    let expected = [
        "a.b=1.5,2",
        "a.name=x_y",
        "classes.count=2",
        "classes.0.n=p",
        "classes.1.n=q",
        "none=",
        "on=true",
    ];
    assert_eq!(text, expected);
}

/// Routers on the platform share no state, so a `fleet` table in the platform's file must not enable a fleet.
#[test]
fn platform_file_ignores_the_fleet_table() {
    let file = include_str!("../../deploy/fleet/c1.toml");
    assert!(Config::from_toml(file).unwrap().fleet.is_some());
    let value: Value = toml::from_str(file).unwrap();
    assert!(value["fleet"].is_object());
    assert!(
        Config::from_json(&value.to_string(), |_| None)
            .unwrap()
            .fleet
            .is_none()
    );
}

/// Guards against an admin endpoint that is opened without being configured, or at an address other than the file's.
#[test]
fn admin_address_of_the_file_overrides_the_environment_and_defaults_to_none() {
    let file = |ops: Option<&str>| {
        let mut value: Value = toml::from_str(include_str!("../../deploy/fleet/c1.toml")).unwrap();
        if let Some(ops) = ops {
            value["ops"] = ops.into();
        }
        value.to_string()
    };
    let read = |ops: Option<&str>, env: Option<&str>| {
        let env = env.map(str::to_owned);
        Config::from_json(&file(ops), |name| {
            env.clone().filter(|_| name == "NODE_OPS")
        })
    };
    let admin_address = |ops, env| {
        read(ops, env)
            .unwrap()
            .ops
            .map(|address| address.to_string())
    };
    assert_eq!(admin_address(None, None), None);
    assert_eq!(
        admin_address(None, Some("127.0.0.1:9000")).as_deref(),
        Some("127.0.0.1:9000")
    );
    assert_eq!(
        admin_address(Some("127.0.0.1:9001"), Some("127.0.0.1:9000")).as_deref(),
        Some("127.0.0.1:9001")
    );
    assert!(
        read(None, Some("nowhere"))
            .unwrap_err()
            .to_string()
            .contains("NODE_OPS")
    );
    let (without_admin, with_admin) = (
        read(None, None).unwrap(),
        read(None, Some("127.0.0.1:9000")).unwrap(),
    );
    assert_eq!(without_admin.differences(&with_admin), ["ops"]);
}
