//! Request classes across configuration updates.

use super::Request;
use crate::routing::types::{Idempotency, RequestClass};
use std::collections::BTreeMap;

/// The index of a class by name; the last class stands for names that are not configured.
pub(crate) fn class_index(classes: &[RequestClass], name: &str) -> usize {
    classes
        .iter()
        .position(|class| class.name == name && !name.is_empty())
        .unwrap_or(classes.len() - 1)
}

/// The classes of a new configuration, followed by those of requests in flight, which keep the class (with
/// its idempotency, weight and objectives) under which they arrived. Re-indexes the requests.
pub(crate) fn merge_classes<'a>(
    old: &[RequestClass],
    new: &[RequestClass],
    requests: impl Iterator<Item = &'a mut Request>,
) -> Vec<RequestClass> {
    let mut merged = new.to_vec();
    let mut new_index_by_old = BTreeMap::new();
    for request in requests {
        let old_index = request.class;
        request.class = *new_index_by_old.entry(old_index).or_insert_with(|| {
            // Without a name, new requests don't find it.
            merged.push(RequestClass {
                name: String::new(),
                ..old[old_index].clone()
            });
            merged.len() - 1
        });
    }
    // The last one is for names that are not configured: never repeated, of no weight.
    merged.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..RequestClass::default()
    });
    merged
}
