//! Other settings for a module at work.

use super::Policy;
use crate::interface::{Class, Effect, Settings};
use std::collections::BTreeMap;

impl Policy {
    /// New requests begin under these settings. A request in hand keeps its class, with effect, worth and times, and
    /// its attempts; what is not the request's own (rules, permissions) is the new for all. What was learned of
    /// workers and prefixes stays; what they lately refused of a class is forgotten.
    pub fn set(&mut self, settings: Settings) {
        let Settings { classes, .. } = &settings;
        // New asks look for their class from the front; behind come the old ones of requests in hand.
        let mut all = classes.clone();
        let mut moved = BTreeMap::new();
        for request in self.requests.values_mut() {
            let old = request.class;
            request.class = *moved.entry(old).or_insert_with(|| {
                // Without a name no new request finds it.
                all.push(Class { name: String::new(), ..self.set.classes[old].clone() });
                all.len() - 1
            });
        }
        // As in `new`: the last one is of requests whose class is not named.
        all.push(Class { effect: Effect::Unsafe, ..Class::default() });
        self.workers.values_mut().for_each(|w| w.answers.clear());
        let part = |quota: f64| quota / f64::from(settings.routers.max(1));
        let tenant = |t: &crate::interface::Tenant| {
            let held = self.tenants.get(&t.name).map_or((f64::MAX, 0), |(_, level, at)| (*level, *at));
            (t.name.clone(), (part(t.quota_per_s), held.0, held.1))
        };
        self.tenants = settings.tenants.iter().map(tenant).collect();
        self.set = Settings { classes: all, ..settings };
    }
}
