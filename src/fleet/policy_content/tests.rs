use super::*;
use rstest::rstest;

fn own() -> Value {
    let file: Value = toml::from_str(include_str!("../../../deploy/fleet/c1.toml")).unwrap();
    file["settings"].clone()
}

#[test]
fn a_file_s_policy_is_read_back_on_another_conductor_s_own_settings() {
    let (content, left) = extract_policy(&own()).unwrap();
    assert!(left.contains(&"my_zone".to_owned()) && !content.contains("north"));
    let mut other = own();
    other["my_zone"] = "south".into();
    other["classes"][0]["value"] = 99.0.into();
    let settings = parse(&content, &other).unwrap();
    assert_eq!(
        (settings.zone.as_str(), settings.classes[0].priority_weight),
        ("south", 3.0)
    );
}

#[rstest]
#[case::unknown("rules", "newest_rule", "1".into(), "rules.newest_rule: this conductor knows no such field")]
#[case::type_of_flag("permissions", "may_cancel", "yes".into(), "permissions.may_cancel: \"yes\" is neither")]
#[case::absurd("rules", "cold_us", 1e300.into(), "rules.cold_us: ")]
#[case::negative("permissions", "max_attempts", (-1).into(), "permissions.max_attempts: -1 is no whole")]
#[case::no_number("rules", "fall_us", Value::String("1".into()), "rules.fall_us: \"1\" is no number")]
fn what_is_wrong_is_refused_by_its_field(
    #[case] table: &str,
    #[case] field: &str,
    #[case] value: Value,
    #[case] wanted: &str,
) {
    let mut settings = own();
    settings[table][field] = value;
    let (content, _) = extract_policy(&settings).unwrap();
    let fault = parse(&content, &own()).unwrap_err();
    assert!(fault.starts_with(wanted), "{fault}");
}

#[test]
fn what_is_cut_short_missing_or_there_twice_is_refused() {
    let (content, _) = extract_policy(&own()).unwrap();
    assert!(
        parse(&content[..content.len() / 2], &own())
            .unwrap_err()
            .starts_with("policy: cut short")
    );
    assert_eq!(parse("{}", &own()).unwrap_err(), "classes: there is none");
    let twice = content.replace("\"send\"", "\"explain\"");
    assert_eq!(
        parse(&twice, &own()).unwrap_err(),
        "classes[1].name: \"explain\" is there twice"
    );
    let less = content.replace("\"max_attempts\":6,", "");
    assert_ne!(less, content);
    assert!(
        parse(&less, &own())
            .unwrap_err()
            .contains("permissions.max_attempts")
    );
}

#[test]
fn differences_are_told_field_by_field() {
    let (content, _) = extract_policy(&own()).unwrap();
    let other = content.replace("non_idempotent", "read_like");
    let wanted = ["classes[1].effect: \"non_idempotent\" -> \"read_like\""];
    assert_eq!(differences(&content, &other), wanted);
}
