//! The content of a policy: the part of the `[settings]` table that all routers share, as one canonical text.
//!
//! Validation is strict, because with a field that one version knows and another one ignores, routers would run
//! different policies under the same text. Each error is one line that names the field.

use crate::config::read_table;
use crate::routing::types::RoutingConfig;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Fields that differ between routers, or that take effect at a start only. They are not part of a policy.
const ROUTER_FIELDS: [&str; 13] = [
    "my_zone",
    "self_index",
    "replicas_of_me",
    "registry_mode",
    "skus",
    "load_report",
    "tick_us",
    "family_info.role_by_kind",
    "family_info.kv_tokens",
    "family_info.release_us",
    "family_info.self_prefill",
    "permissions.connect_timeout_us",
    "permissions.idle_close_us",
];

/// The fields of a policy, with the kind of their values. `[]` stands for any index in a list.
const FIELDS: [(&str, FieldKind); 27] = [
    ("over_share_worth", FieldKind::Number(1e9)),
    ("classes[].name", FieldKind::Name),
    (
        "classes[].effect",
        FieldKind::OneOf(&["read_like", "non_idempotent", "idempotency_key"]),
    ),
    (
        "classes[].dedup_scope",
        FieldKind::OneOf(&["all", "zone", "cell"]),
    ),
    ("classes[].repeat_window_us", FieldKind::Number(DAY_US)),
    ("classes[].objective_us", FieldKind::Number(DAY_US)),
    ("classes[].give_up_us", FieldKind::Number(DAY_US)),
    ("classes[].value", FieldKind::Number(1e9)),
    ("classes[].late_share", FieldKind::Number(1.0)),
    ("tenants[].name", FieldKind::Name),
    ("tenants[].quota_rps", FieldKind::Number(1e9)),
    ("family_info.token_aim_us[]", FieldKind::Number(DAY_US)),
    (
        "family_info.aim_us_per_1000_prompt_tokens[]",
        FieldKind::Number(DAY_US),
    ),
    ("permissions.probes", FieldKind::Flag),
    ("permissions.may_tell", FieldKind::Flag),
    ("permissions.may_cancel", FieldKind::Flag),
    ("permissions.second_copies", FieldKind::Flag),
    ("permissions.retry_after", FieldKind::Flag),
    ("permissions.max_retry_after_us", FieldKind::Number(DAY_US)),
    ("permissions.max_attempts", FieldKind::Count(100)),
    ("rules.ask_within_us", FieldKind::Number(DAY_US)),
    ("rules.answer_slack_us", FieldKind::Number(DAY_US)),
    ("rules.drain_grace_us", FieldKind::Number(DAY_US)),
    ("rules.cold_from", FieldKind::Number(1.0)),
    ("rules.cold_us", FieldKind::Number(DAY_US)),
    ("rules.fall_multiple", FieldKind::Number(1e6)),
    ("rules.fall_us", FieldKind::Number(DAY_US)),
];

const DAY_US: f64 = 86_400e6;
/// Maximum number of classes, and of tenants.
const MAX_LIST_LENGTH: usize = 256;

#[derive(Clone, Copy)]
enum FieldKind {
    /// A number from 0 to this.
    Number(f64),
    /// A whole number from 1 to this.
    Count(u64),
    Flag,
    Name,
    OneOf(&'static [&'static str]),
}

impl FieldKind {
    /// Why the value is not of this kind; `None`: it is.
    fn fault(self, value: &Value) -> Option<String> {
        match (self, value) {
            (FieldKind::Number(max), Value::Number(n)) => {
                let n = n.as_f64().unwrap_or(f64::NAN);
                (!(0.0..=max).contains(&n)).then(|| format!("{n} is not in 0 to {max}"))
            }
            (FieldKind::Count(max), Value::Number(n)) => {
                let fits = n.as_u64().is_some_and(|n| (1..=max).contains(&n));
                (!fits).then(|| format!("{n} is not a whole number from 1 to {max}"))
            }
            (FieldKind::Flag, Value::Bool(_)) => None,
            (FieldKind::Name, Value::String(name)) => {
                let plain = name.chars().all(|c| c.is_ascii_graphic() && c != ',');
                (name.is_empty() || name.len() > 64 || !plain).then(|| {
                    "has to be 1 to 64 printable ASCII characters without spaces and commas"
                        .to_owned()
                })
            }
            (FieldKind::OneOf(words), Value::String(word)) => (!words.contains(&word.as_str()))
                .then(|| format!("{word:?} is not one of {}", words.join(", "))),
            (FieldKind::Number(_) | FieldKind::Count(_), other) => {
                Some(format!("{other} is not a number"))
            }
            (FieldKind::Flag, other) => Some(format!("{other} is neither true nor false")),
            (FieldKind::Name | FieldKind::OneOf(_), other) => {
                Some(format!("{other} is not a string"))
            }
        }
    }
}

/// Extracts the policy from a settings table. Returns its canonical text and the names of the fields left out because
/// they differ between routers.
///
/// # Errors
/// `settings` is not a table.
pub fn extract_policy(settings: &Value) -> Result<(String, Vec<String>), String> {
    let Value::Object(fields) = settings else {
        return Err("settings: not a table".to_owned());
    };
    let mut own = Vec::new();
    let mut policy = Map::new();
    for (name, value) in fields {
        if ROUTER_FIELDS.contains(&name.as_str()) {
            own.push(name.clone());
            continue;
        }
        let Value::Object(inner) = value else {
            policy.insert(name.clone(), value.clone());
            continue;
        };
        let mut kept = inner.clone();
        kept.retain(|field, _| {
            let path = format!("{name}.{field}");
            let is_own = ROUTER_FIELDS.contains(&path.as_str());
            if is_own {
                own.push(path);
            }
            !is_own
        });
        if !kept.is_empty() {
            policy.insert(name.clone(), Value::Object(kept));
        }
    }
    Ok((canonical(&Value::Object(policy)).to_string(), own))
}

/// The value with its fields sorted by name and without nulls.
fn canonical(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let sorted: BTreeMap<&String, &Value> =
                fields.iter().filter(|(_, v)| !v.is_null()).collect();
            Value::Object(
                sorted
                    .into_iter()
                    .map(|(k, v)| (k.clone(), canonical(v)))
                    .collect(),
            )
        }
        Value::Array(items) => Value::Array(items.iter().map(canonical).collect()),
        plain => plain.clone(),
    }
}

/// Validates a policy and combines it with the fields of `own` that are not part of a policy.
///
/// # Errors
/// One line that names the first field at fault.
pub fn parse(content: &str, own: &Value) -> Result<RoutingConfig, String> {
    let value: Value =
        serde_json::from_str(content).map_err(|e| format!("policy: not valid JSON: {e}"))?;
    let Value::Object(policy) = &value else {
        return Err("policy: not a table".to_owned());
    };
    let fields = flatten(&value);
    for (path, value) in &fields {
        let field_name = without_indices(path);
        match FIELDS.iter().find(|(field, _)| *field == field_name) {
            None => return Err(format!("{path}: this router knows no such field")),
            Some((_, kind)) => {
                if let Some(fault) = kind.fault(value) {
                    return Err(format!("{path}: {fault}"));
                }
            }
        }
    }
    for list in ["classes", "tenants"] {
        let items = policy
            .get(list)
            .and_then(Value::as_array)
            .map_or(&[][..], Vec::as_slice);
        if items.len() > MAX_LIST_LENGTH {
            return Err(format!(
                "{list}: {} are given, at most {MAX_LIST_LENGTH} are allowed",
                items.len()
            ));
        }
        let mut seen = BTreeSet::new();
        for (i, item) in items.iter().enumerate() {
            match item["name"].as_str() {
                None => return Err(format!("{list}[{i}].name: is missing")),
                Some(name) if !seen.insert(name) => {
                    return Err(format!("{list}[{i}].name: {name:?} is given twice"));
                }
                Some(_) => {}
            }
        }
        if list == "classes" && items.is_empty() {
            return Err("classes: none is given, at least one is needed".to_owned());
        }
    }
    // Takes the router's own fields from `own`, and all other fields from the policy only.
    let mut combined = Map::new();
    if let Value::Object(own) = own {
        for (name, value) in own {
            if ROUTER_FIELDS.contains(&name.as_str()) {
                combined.insert(name.clone(), value.clone());
            } else if let Value::Object(inner) = value {
                let mut inner = inner.clone();
                inner
                    .retain(|field, _| ROUTER_FIELDS.contains(&format!("{name}.{field}").as_str()));
                combined.insert(name.clone(), Value::Object(inner));
            }
        }
    }
    for (name, value) in policy {
        match (combined.get_mut(name), value) {
            (Some(Value::Object(existing)), Value::Object(inner)) => {
                existing.extend(inner.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            _ => _ = combined.insert(name.clone(), value.clone()),
        }
    }
    let settings = read_table(&Value::Object(combined))?;
    Ok(settings)
}

/// The differences between two policies, one line per field.
pub fn differences(from: &str, to: &str) -> Vec<String> {
    let read = |text: &str| {
        serde_json::from_str::<Value>(text)
            .map(|v| flatten(&v))
            .unwrap_or_default()
    };
    let (from, to) = (read(from), read(to));
    let paths: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let display = |value: Option<&Value>| value.map_or("none".to_owned(), Value::to_string);
    let changed = paths
        .into_iter()
        .filter(|path| from.get(*path) != to.get(*path));
    changed
        .map(|path| {
            format!(
                "{path}: {} -> {}",
                display(from.get(path)),
                display(to.get(path))
            )
        })
        .collect()
}

/// All values that are neither tables nor lists, by their paths, such as `classes[1].effect`.
fn flatten(value: &Value) -> BTreeMap<String, Value> {
    fn walk(path: &str, value: &Value, out: &mut BTreeMap<String, Value>) {
        match value {
            Value::Object(fields) if !fields.is_empty() => {
                for (name, value) in fields {
                    let path = if path.is_empty() {
                        name.clone()
                    } else {
                        format!("{path}.{name}")
                    };
                    walk(&path, value, out);
                }
            }
            Value::Array(items) if !items.is_empty() => {
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, item)| walk(&format!("{path}[{i}]"), item, out));
            }
            // An empty list or table contains no values.
            Value::Array(_) | Value::Object(_) => {}
            plain => _ = out.insert(path.to_owned(), plain.clone()),
        }
    }
    let mut out = BTreeMap::new();
    walk("", value, &mut out);
    out
}

/// Removes the list indices from a path: `classes[1].effect` becomes `classes[].effect`.
fn without_indices(path: &str) -> String {
    let mut in_brackets = false;
    path.chars()
        .filter(|c| {
            in_brackets = match c {
                '[' => true,
                ']' => false,
                _ => in_brackets,
            };
            !in_brackets || *c == '['
        })
        .collect()
}

#[cfg(test)]
mod tests;
