//! [`SettingsFile`].

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cuminlb::ops::check_gateway_settings;
use cuminlb_config::GatewaySettings;
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How often the file is read again although no signal has come.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// The settings file of a running node, which may change with or without a signal.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    path: PathBuf,
    settings: watch::Sender<Arc<GatewaySettings>>,
}

impl SettingsFile {
    /// Starts with settings that were read from a file.
    pub(crate) fn new(path: PathBuf, settings: GatewaySettings) -> Self {
        Self {
            path,
            settings: watch::Sender::new(Arc::new(settings)),
        }
    }

    /// Returns a receiver of the settings, present and to come.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<GatewaySettings>> {
        self.settings.subscribe()
    }

    /// Reads the file again at each SIGHUP and now and then.
    pub(crate) async fn follow(&self) {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(hangup) => hangup,
            Err(error) => {
                warn!("SIGHUP can't be heard: {error}");
                return;
            }
        };
        loop {
            let is_signal = tokio::select! {
                _ = hangup.recv() => true,
                () = tokio::time::sleep(READ_PERIOD) => false,
            };
            self.read_again(is_signal);
        }
    }

    fn read_again(&self, is_signal: bool) {
        match check_gateway_settings(&self.path) {
            Ok(settings) => {
                let is_changed = **self.settings.borrow() != settings;
                if is_changed {
                    self.settings.send_replace(Arc::new(settings));
                }
                if is_changed || is_signal {
                    info!(is_signal = is_signal, is_changed = is_changed; "settings read again");
                }
            }
            Err(error) => warn!(is_signal = is_signal; "the settings stay as they are: {error}"),
        }
    }
}
