//! The only way in which settings change while the process runs.
//!
//! A policy epoch of the fleet and a configuration reloaded at SIGHUP both end in [`LiveSettings::replace`].

use crate::dispatch::{DispatcherEvent, DispatcherHandle};
use crate::routing::types::RoutingConfig;
use std::cell::RefCell;
use std::rc::Rc;

type Subscriber = Box<dyn Fn(&RoutingConfig)>;

/// Distributes new settings to every part that uses them.
pub struct LiveSettings {
    dispatcher: DispatcherHandle,
    subscribers: RefCell<Vec<Subscriber>>,
}

impl LiveSettings {
    /// Creates a distributor that notifies the dispatcher; other parts subscribe with [`LiveSettings::on_change`].
    pub fn new(dispatcher: DispatcherHandle) -> Rc<Self> {
        Rc::new(LiveSettings {
            dispatcher,
            subscribers: RefCell::default(),
        })
    }

    /// Registers a function that is called with all later settings.
    pub fn on_change(&self, subscriber: impl Fn(&RoutingConfig) + 'static) {
        self.subscribers.borrow_mut().push(Box::new(subscriber));
    }

    /// Puts new settings into force. The dispatcher processes its inputs in order: requests submitted before this
    /// call keep the old settings, those submitted after it use the new ones.
    pub fn replace(&self, settings: RoutingConfig) {
        self.subscribers
            .borrow()
            .iter()
            .for_each(|subscriber| subscriber(&settings));
        self.dispatcher
            .send(DispatcherEvent::ConfigChanged(Box::new(settings)));
    }
}
