//! Request classes across configuration updates.

use super::Request;
use crate::routing::types::{Idempotency, RequestClass};
use std::collections::BTreeMap;

/// The index of the class with this name. For names that are not configured it is the index of the last
/// class.
pub(crate) fn class_index(classes: &[RequestClass], name: &str) -> usize {
    classes
        .iter()
        .position(|class| class.name == name && !name.is_empty())
        .unwrap_or(classes.len() - 1)
}

/// Returns the classes of a new configuration, followed by the classes of the requests in flight, and updates
/// the class index of each request. A request keeps the idempotency, weight and objectives under which it
/// arrived.
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
            // The empty name keeps new requests from matching this class.
            merged.push(RequestClass {
                name: String::new(),
                ..old[old_index].clone()
            });
            merged.len() - 1
        });
    }
    // The last class is for names that are not configured: not idempotent, and without weight.
    merged.push(RequestClass {
        idempotency: Idempotency::NonIdempotent,
        ..RequestClass::default()
    });
    merged
}
