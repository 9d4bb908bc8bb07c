//! The one way by which settings change while the process runs.
//!
//! A policy epoch of the fleet and a configuration read at SIGHUP both end in [`LiveSettings::replace`].

use crate::dispatch::{DispatcherEvent, DispatcherHandle};
use crate::routing::types::RoutingConfig;
use std::cell::RefCell;
use std::rc::Rc;

type Subscriber = Box<dyn Fn(&RoutingConfig)>;

/// Tells every part that follows the settings of new ones.
pub struct LiveSettings {
    dispatcher: DispatcherHandle,
    subscribers: RefCell<Vec<Subscriber>>,
}

impl LiveSettings {
    /// Settings of which the dispatcher is told; others follow by [`LiveSettings::on_change`].
    pub fn new(dispatcher: DispatcherHandle) -> Rc<Self> {
        Rc::new(LiveSettings {
            dispatcher,
            subscribers: RefCell::default(),
        })
    }

    /// Has a function called with all settings to come.
    pub fn on_change(&self, subscriber: impl Fn(&RoutingConfig) + 'static) {
        self.subscribers.borrow_mut().push(Box::new(subscriber));
    }

    /// Puts new settings into force. The core reads its inputs in order: requests handed to it before this
    /// keep their rules, those handed to it afterwards begin under the new ones.
    pub fn replace(&self, settings: RoutingConfig) {
        self.subscribers
            .borrow()
            .iter()
            .for_each(|subscriber| subscriber(&settings));
        self.dispatcher
            .tell(DispatcherEvent::ConfigChanged(Box::new(settings)));
    }
}
