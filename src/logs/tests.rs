use super::*;

#[test]
fn log_line_is_one_json_object_with_typed_key_values() {
    let values: &[(&str, Value)] = &[
        ("token", Value::from(7u64)),
        ("peer", Value::from("c\"2")),
        ("up", Value::from(true)),
    ];
    let record = log::Record::builder()
        .args(format_args!("two\nlines"))
        .level(log::Level::Warn)
        .target("t")
        .key_values(&values)
        .build();
    let text = String::from_utf8(json_object(&record, "now")).unwrap();
    assert!(!text.contains('\n'));
    let parsed: Json = serde_json::from_str(&text).unwrap();
    let expected = serde_json::json!({"time": "now", "level": "WARN", "target": "t", "message": "two\nlines",
        "token": 7, "peer": "c\"2", "up": true});
    assert_eq!(parsed, expected);
}
