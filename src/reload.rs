//! Reloads the configuration at SIGHUP.

use crate::run::ConfigSource;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use whinhaven::config::replacement::{SettingsChange, describe_changes};
use whinhaven::config::{Config, ConfigError};
use whinhaven::counters::Counters;
use whinhaven::live_settings::LiveSettings;

/// State that a reload reads and changes.
pub struct Reload {
    /// Where the configuration is loaded from at each reload.
    pub source: ConfigSource,
    /// The configuration in force, which a valid new one replaces as far as its values can be reloaded.
    pub current: Config,
    /// Sends the address of the discovery service, or `None` if none is configured.
    pub discovery: watch::Sender<Option<SocketAddr>>,
    /// Settings for new requests, replaced when a reload changes them.
    pub live_settings: Rc<LiveSettings>,
    /// Counters of the process, among them those of successful and failed reloads.
    pub counters: Rc<Counters>,
}

impl Reload {
    /// Reads the configuration and applies it: discovery moves to its new address, and new requests use the new
    /// settings. A configuration that is invalid changes nothing.
    pub fn run(&mut self) {
        let new = match self.load() {
            Ok(new) => new,
            Err(error) => {
                self.counters.reloads_failed.up();
                log::error!("reload: {error}; keeping the current configuration");
                return;
            }
        };
        self.counters.reloads.up();
        let not_reloadable = self.current.differences(&new);
        if !not_reloadable.is_empty() {
            log::warn!(
                "reload: {} changed; the new value takes effect at the next start",
                not_reloadable.join(", ")
            );
        }
        self.apply(new);
    }

    fn load(&self) -> Result<Config, ConfigError> {
        let new = self.source.load()?;
        self.current.check_replacement(&new)?;
        Ok(new)
    }

    fn apply(&mut self, new: Config) {
        let before = self.current.settings.clone();
        match self.current.replace_with(new) {
            SettingsChange::None => {}
            SettingsChange::New(settings) => {
                log::info!(
                    "reload: new settings: {}",
                    describe_changes(&before, &settings)
                );
                self.live_settings.replace(*settings);
            }
            SettingsChange::LeftToFleetPolicy => log::warn!(
                "reload: new settings ignored, since the policy of the fleet is in force; propose them to the fleet"
            ),
        }
        self.move_discovery();
    }

    fn move_discovery(&self) {
        let address = self.current.discovery;
        let moved = self
            .discovery
            .send_if_modified(|current| std::mem::replace(current, address) != address);
        match address {
            Some(address) if moved => log::info!("reload: discovery is now at {address}"),
            None if moved => {
                log::info!("reload: discovery removed; keeping the current worker list");
            }
            _ => log::info!("reload: discovery stays unchanged"),
        }
    }
}
