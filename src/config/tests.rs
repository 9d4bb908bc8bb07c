use super::*;

#[test]
fn nested_settings_flatten_to_the_wire_s_paths() {
    let value = serde_json::json!({"a": {"b": [1.5, 2], "c": null, "name": "x y"},
        "classes": [{"n": "p"}, {"n": "q"}], "none": [], "on": true});
    let mut pairs = Vec::new();
    flatten("", &value, &mut pairs);
    let text: Vec<String> = pairs.into_iter().map(|(k, v)| format!("{k}={v}")).collect();
    let wanted = [
        "a.b=1.5,2",
        "a.name=x_y",
        "classes.count=2",
        "classes.0.n=p",
        "classes.1.n=q",
        "none=",
        "on=true",
    ];
    assert_eq!(text, wanted);
}

/// Guards against a fleet on the platform, where conductors share nothing.
#[test]
fn the_platform_switches_no_fleet_on() {
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

/// Guards against a door that opens where nobody asked for one, or elsewhere than the file says.
#[test]
fn the_file_s_door_outranks_the_environment_s_and_without_either_there_is_none() {
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
    let door = |ops, env| {
        read(ops, env)
            .unwrap()
            .ops
            .map(|address| address.to_string())
    };
    assert_eq!(door(None, None), None);
    assert_eq!(
        door(None, Some("127.0.0.1:9000")).as_deref(),
        Some("127.0.0.1:9000")
    );
    assert_eq!(
        door(Some("127.0.0.1:9001"), Some("127.0.0.1:9000")).as_deref(),
        Some("127.0.0.1:9001")
    );
    assert!(
        read(None, Some("nowhere"))
            .unwrap_err()
            .to_string()
            .contains("NODE_OPS")
    );
    let (none, one) = (
        read(None, None).unwrap(),
        read(None, Some("127.0.0.1:9000")).unwrap(),
    );
    assert_eq!(none.differences(&one), ["ops"]);
}
