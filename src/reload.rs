//! Reading the configuration again at SIGHUP.

use crate::run::ConfigSource;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use whinhaven::config::replacement::{SettingsChange, describe_changes};
use whinhaven::config::{Config, ConfigError};
use whinhaven::counters::Counters;
use whinhaven::live_settings::LiveSettings;

/// What a reload needs and moves.
pub struct Reload {
    /// Where the configuration is read.
    pub source: ConfigSource,
    /// The configuration in force.
    pub current: Config,
    /// Tells of discovery's address.
    pub discovery: watch::Sender<Option<SocketAddr>>,
    /// Tells of settings.
    pub live: Rc<LiveSettings>,
    /// Counters.
    pub counters: Rc<Counters>,
}

impl Reload {
    /// Reads the configuration once and takes it in: discovery moves, and new requests begin under its
    /// settings. One that can't be used changes nothing.
    pub fn run(&mut self) {
        let new = match self.load() {
            Ok(new) => new,
            Err(error) => {
                self.counters.reloads_failed.up();
                log::error!("reload: {error}; the configuration held stands");
                return;
            }
        };
        self.counters.reloads.up();
        let not_reloadable = self.current.differences(&new);
        if !not_reloadable.is_empty() {
            log::warn!(
                "reload: a new {} counts from the next start on",
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
                self.live.replace(*settings);
            }
            SettingsChange::LeftToFleetPolicy => log::warn!(
                "reload: new settings change nothing here, the fleet's policy is in force: propose them"
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
            None if moved => log::info!("reload: no discovery any more; the list stands"),
            _ => log::info!("reload: discovery stays where it was"),
        }
    }
}
