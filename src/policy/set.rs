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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Ask, Event, RequestId};

    fn settings(names: &[&str], effect: Effect, max_attempts: u32) -> Settings {
        let class = |name: &&str| Class { name: (*name).to_owned(), effect, ..Class::default() };
        Settings { classes: names.iter().map(class).collect(), max_attempts, ..Settings::default() }
    }

    fn ask(policy: &mut Policy, number: u64, class: &str) {
        let ask = Ask {
            request: RequestId(number),
            deadline: 60_000_000,
            session: None,
            prefix: None,
            prefix_tokens: 0,
            prompt_tokens: 10,
            max_tokens: 0,
            hint: None,
            class: class.to_owned(),
            tenant: None,
        };
        policy.handle(1, Event::Ask(ask), &mut Vec::new());
    }

    fn held(policy: &Policy, number: u64) -> (Effect, u32) {
        let request = &policy.requests[&RequestId(number)];
        (policy.set.classes[request.class].effect, request.most_attempts)
    }

    /// Guards against a repeat of what must not run twice, because the class was changed while it was in hand.
    #[test]
    fn requests_in_hand_end_as_they_began_and_new_ones_begin_as_set() {
        let mut policy = Policy::new(settings(&["explain", "send"], Effect::Unsafe, 6), 1);
        ask(&mut policy, 1, "send");
        policy.set(settings(&["send", "new"], Effect::Safe, 2));
        ask(&mut policy, 2, "send");
        ask(&mut policy, 3, "explain");
        policy.set(settings(&["send"], Effect::Safe, 3));
        ask(&mut policy, 4, "send");
        let wanted = [(Effect::Unsafe, 6), (Effect::Safe, 2), (Effect::Unsafe, 2), (Effect::Safe, 3)];
        assert_eq!([1, 2, 3, 4].map(|number| held(&policy, number)), wanted);
        // What no request in hand needs is gone, however often it is set.
        (0..9).for_each(|_| policy.set(settings(&["send"], Effect::Safe, 3)));
        assert_eq!(policy.set.classes.len(), 1 + 4 + 1);
    }
}
