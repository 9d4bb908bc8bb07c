use super::*;

#[test]
fn digest_depends_on_values_but_not_on_spacing_or_key_order() {
    let raw = |text: &str| RawValue::from_string(text.to_owned()).unwrap();
    let expected = digest("m", Some(&raw(r#"{"a":1,"b":[2]}"#)));
    assert_eq!(expected, digest("m", Some(&raw(r#"{ "b": [2], "a": 1 }"#))));
    assert_ne!(expected, digest("m", Some(&raw(r#"{"a":1,"b":[3]}"#))));
    assert_ne!(expected, digest("n", Some(&raw(r#"{"a":1,"b":[2]}"#))));
}
