//! Reloads the settings file of a running gateway node and publishes changed settings.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cuminlb::ops::load_gateway_settings;
use cuminlb_config::GatewaySettings;
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How often the file is reloaded without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(2);

/// The settings file of a running node. Changes take effect with or without a signal.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    path: PathBuf,
    settings: watch::Sender<Arc<GatewaySettings>>,
}

impl SettingsFile {
    /// Creates the watcher of a file from which `settings` were loaded.
    pub(crate) fn new(path: PathBuf, settings: GatewaySettings) -> Self {
        Self {
            path,
            settings: watch::Sender::new(Arc::new(settings)),
        }
    }

    /// Returns a receiver of the current settings and of later changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<GatewaySettings>> {
        self.settings.subscribe()
    }

    /// Reloads the file at each SIGHUP and after each [`RELOAD_PERIOD`] without one.
    ///
    /// Returns only if the handler for SIGHUP can't be installed.
    pub(crate) async fn reload_on_change(&self) {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(error) => {
                warn!("failed to install the SIGHUP handler; settings won't be reloaded: {error}");
                return;
            }
        };
        loop {
            let is_signal = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(RELOAD_PERIOD) => false,
            };
            self.reload(is_signal);
        }
    }

    /// Reloads the file; an invalid one changes nothing. `is_signal` tells whether a signal asked for it.
    pub(crate) fn reload(&self, is_signal: bool) {
        match load_gateway_settings(&self.path) {
            Ok(settings) => {
                let is_changed = **self.settings.borrow() != settings;
                if is_changed {
                    self.settings.send_replace(Arc::new(settings));
                }
                if is_changed || is_signal {
                    info!(is_signal = is_signal, is_changed = is_changed; "settings read again");
                }
            }
            Err(error) => warn!(is_signal = is_signal; "keeping the current settings: {error}"),
        }
    }
}
