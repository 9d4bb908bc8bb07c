//! What a policy says: the part of the table `[settings]` that all conductors share, as one canonical text.
//!
//! Validation is strict, because a field that one version knows and another drops would make two policies of one. All
//! errors are one line that names the field.

use crate::config::read_table;
use crate::routing::types::RoutingConfig;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// What each conductor has of its own, or counts from a start only: no part of a policy.
const OWN: [&str; 13] = [
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

/// The fields of a policy, with what each has to be. `[]` stands for any place in a list.
const FIELDS: [(&str, Kind); 27] = [
    ("over_share_worth", Kind::Number(1e9)),
    ("classes[].name", Kind::Name),
    (
        "classes[].effect",
        Kind::Word(&["read_like", "non_idempotent", "idempotency_key"]),
    ),
    (
        "classes[].dedup_scope",
        Kind::Word(&["all", "zone", "cell"]),
    ),
    ("classes[].repeat_window_us", Kind::Number(DAY_US)),
    ("classes[].objective_us", Kind::Number(DAY_US)),
    ("classes[].give_up_us", Kind::Number(DAY_US)),
    ("classes[].value", Kind::Number(1e9)),
    ("classes[].late_share", Kind::Number(1.0)),
    ("tenants[].name", Kind::Name),
    ("tenants[].quota_rps", Kind::Number(1e9)),
    ("family_info.token_aim_us[]", Kind::Number(DAY_US)),
    (
        "family_info.aim_us_per_1000_prompt_tokens[]",
        Kind::Number(DAY_US),
    ),
    ("permissions.probes", Kind::Flag),
    ("permissions.may_tell", Kind::Flag),
    ("permissions.may_cancel", Kind::Flag),
    ("permissions.second_copies", Kind::Flag),
    ("permissions.retry_after", Kind::Flag),
    ("permissions.max_retry_after_us", Kind::Number(DAY_US)),
    ("permissions.max_attempts", Kind::Count(100)),
    ("rules.ask_within_us", Kind::Number(DAY_US)),
    ("rules.answer_slack_us", Kind::Number(DAY_US)),
    ("rules.drain_grace_us", Kind::Number(DAY_US)),
    ("rules.cold_from", Kind::Number(1.0)),
    ("rules.cold_us", Kind::Number(DAY_US)),
    ("rules.fall_multiple", Kind::Number(1e6)),
    ("rules.fall_us", Kind::Number(DAY_US)),
];

const DAY_US: f64 = 86_400e6;
/// Most classes, and most tenants.
const MOST_LISTED: usize = 256;

#[derive(Clone, Copy)]
enum Kind {
    /// From 0 to this.
    Number(f64),
    /// A whole number from 1 to this.
    Count(u64),
    Flag,
    Name,
    Word(&'static [&'static str]),
}

impl Kind {
    /// What is wrong with a value.
    fn fault(self, value: &Value) -> Option<String> {
        match (self, value) {
            (Kind::Number(most), Value::Number(n)) => {
                let n = n.as_f64().unwrap_or(f64::NAN);
                (!(0.0..=most).contains(&n)).then(|| format!("{n} is not in 0 to {most}"))
            }
            (Kind::Count(most), Value::Number(n)) => {
                let fits = n.as_u64().is_some_and(|n| (1..=most).contains(&n));
                (!fits).then(|| format!("{n} is no whole number from 1 to {most}"))
            }
            (Kind::Flag, Value::Bool(_)) => None,
            (Kind::Name, Value::String(name)) => {
                let plain = name.chars().all(|c| c.is_ascii_graphic() && c != ',');
                (name.is_empty() || name.len() > 64 || !plain)
                    .then(|| "1 to 64 printable characters without a comma are needed".to_owned())
            }
            (Kind::Word(words), Value::String(word)) => (!words.contains(&word.as_str()))
                .then(|| format!("{word:?} is none of {}", words.join(", "))),
            (Kind::Number(_) | Kind::Count(_), other) => Some(format!("{other} is no number")),
            (Kind::Flag, other) => Some(format!("{other} is neither true nor false")),
            (Kind::Name | Kind::Word(_), other) => Some(format!("{other} is no text")),
        }
    }
}

/// Takes the policy out of a table of settings: its canonical text, and the names of the fields that are each
/// conductor's own.
///
/// # Errors
/// It is no table.
pub fn extract_policy(settings: &Value) -> Result<(String, Vec<String>), String> {
    let Value::Object(fields) = settings else {
        return Err("settings: not a table".to_owned());
    };
    let mut own = Vec::new();
    let mut policy = Map::new();
    for (name, value) in fields {
        if OWN.contains(&name.as_str()) {
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
            let is_own = OWN.contains(&path.as_str());
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

/// The same value with its fields in order and without nulls.
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

/// Reads a policy strictly, on top of a conductor's own settings.
///
/// # Errors
/// One line that names the field at fault.
pub fn parse(content: &str, own: &Value) -> Result<RoutingConfig, String> {
    let value: Value =
        serde_json::from_str(content).map_err(|e| format!("policy: cut short: {e}"))?;
    let Value::Object(policy) = &value else {
        return Err("policy: not a table".to_owned());
    };
    let fields = flatten(&value);
    for (path, value) in &fields {
        let general = general(path);
        match FIELDS.iter().find(|(field, _)| *field == general) {
            None => return Err(format!("{path}: this conductor knows no such field")),
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
        if items.len() > MOST_LISTED {
            return Err(format!(
                "{list}: {} are more than {MOST_LISTED}",
                items.len()
            ));
        }
        let mut seen = BTreeSet::new();
        for (i, item) in items.iter().enumerate() {
            match item["name"].as_str() {
                None => return Err(format!("{list}[{i}].name: is missing")),
                Some(name) if !seen.insert(name) => {
                    return Err(format!("{list}[{i}].name: {name:?} is there twice"));
                }
                Some(_) => {}
            }
        }
        if list == "classes" && items.is_empty() {
            return Err("classes: there is none".to_owned());
        }
    }
    // What is each conductor's own stays; the rest is the policy's alone.
    let mut whole = Map::new();
    if let Value::Object(own) = own {
        for (name, value) in own {
            if OWN.contains(&name.as_str()) {
                whole.insert(name.clone(), value.clone());
            } else if let Value::Object(inner) = value {
                let mut inner = inner.clone();
                inner.retain(|field, _| OWN.contains(&format!("{name}.{field}").as_str()));
                whole.insert(name.clone(), Value::Object(inner));
            }
        }
    }
    for (name, value) in policy {
        match (whole.get_mut(name), value) {
            (Some(Value::Object(held)), Value::Object(more)) => {
                held.extend(more.iter().map(|(k, v)| (k.clone(), v.clone())));
            }
            _ => _ = whole.insert(name.clone(), value.clone()),
        }
    }
    let settings = read_table(&Value::Object(whole))?;
    Ok(settings)
}

/// What differs between two policies, one line a field.
pub fn differences(from: &str, to: &str) -> Vec<String> {
    let read = |text: &str| {
        serde_json::from_str::<Value>(text)
            .map(|v| flatten(&v))
            .unwrap_or_default()
    };
    let (from, to) = (read(from), read(to));
    let paths: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    let word = |value: Option<&Value>| value.map_or("none".to_owned(), Value::to_string);
    let changed = paths
        .into_iter()
        .filter(|path| from.get(*path) != to.get(*path));
    changed
        .map(|path| format!("{path}: {} -> {}", word(from.get(path)), word(to.get(path))))
        .collect()
}

/// The fields that are no tables by their paths, as `classes[1].effect`.
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
            // Nothing in it: no field.
            Value::Array(_) | Value::Object(_) => {}
            plain => _ = out.insert(path.to_owned(), plain.clone()),
        }
    }
    let mut out = BTreeMap::new();
    walk("", value, &mut out);
    out
}

/// A path without the numbers of places.
fn general(path: &str) -> String {
    let mut inside = false;
    path.chars()
        .filter(|c| {
            inside = match c {
                '[' => true,
                ']' => false,
                _ => inside,
            };
            !inside || *c == '['
        })
        .collect()
}

#[cfg(test)]
mod tests;
