use super::*;
use rstest::rstest;

fn own_settings() -> Value {
    let file: Value = toml::from_str(include_str!("../../../deploy/fleet/c1.toml")).unwrap();
    file["settings"].clone()
}

#[test]
fn an_extracted_policy_is_combined_with_another_router_s_own_settings() {
    let (content, own_fields) = extract_policy(&own_settings()).unwrap();
    assert!(own_fields.contains(&"my_zone".to_owned()) && !content.contains("north"));
    let mut other = own_settings();
    other["my_zone"] = "south".into();
    other["classes"][0]["value"] = 99.0.into();
    let settings = parse(&content, &other).unwrap();
    assert_eq!(
        (settings.zone.as_str(), settings.classes[0].priority_weight),
        ("south", 3.0)
    );
}

#[rstest]
#[case::unknown("rules", "newest_rule", "1".into(), "rules.newest_rule: this router knows no such field")]
#[case::type_of_flag("permissions", "may_cancel", "yes".into(), "permissions.may_cancel: \"yes\" is neither")]
#[case::absurd("rules", "cold_us", 1e300.into(), "rules.cold_us: ")]
#[case::negative("permissions", "max_attempts", (-1).into(), "permissions.max_attempts: -1 is not a whole")]
#[case::no_number("rules", "fall_us", Value::String("1".into()), "rules.fall_us: \"1\" is not a number")]
fn an_invalid_field_is_refused_with_its_path(
    #[case] table: &str,
    #[case] field: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut settings = own_settings();
    settings[table][field] = value;
    let (content, _) = extract_policy(&settings).unwrap();
    let fault = parse(&content, &own_settings()).unwrap_err();
    assert!(fault.starts_with(expected), "{fault}");
}

#[test]
fn a_truncated_policy_and_missing_or_duplicate_items_are_refused() {
    let (content, _) = extract_policy(&own_settings()).unwrap();
    assert!(
        parse(&content[..content.len() / 2], &own_settings())
            .unwrap_err()
            .starts_with("policy: not valid JSON")
    );
    assert_eq!(
        parse("{}", &own_settings()).unwrap_err(),
        "classes: none is given, at least one is needed"
    );
    let with_duplicate = content.replace("\"send\"", "\"explain\"");
    assert_eq!(
        parse(&with_duplicate, &own_settings()).unwrap_err(),
        "classes[1].name: \"explain\" is given twice"
    );
    let without_max_attempts = content.replace("\"max_attempts\":6,", "");
    assert_ne!(without_max_attempts, content);
    assert!(
        parse(&without_max_attempts, &own_settings())
            .unwrap_err()
            .contains("permissions.max_attempts")
    );
}

#[test]
fn differences_are_listed_field_by_field() {
    let (content, _) = extract_policy(&own_settings()).unwrap();
    let other = content.replace("non_idempotent", "read_like");
    let expected = ["classes[1].effect: \"non_idempotent\" -> \"read_like\""];
    assert_eq!(differences(&content, &other), expected);
}
