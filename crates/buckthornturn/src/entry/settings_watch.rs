//! Reloads the settings file while the host runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use spdlog::warn;
use tokio::signal::unix::Signal;

use crate::document::BoundOverride;
use crate::document::EntryDocument;
use crate::entry::EntryState;
use crate::logging::ProcessLog;
use crate::settings::EntrySettings;

/// Interval at which the file is polled, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the settings file. Changes of bounds and log level apply at once, all others at the next start.
pub struct SettingsWatch {
    path: PathBuf,
    overrides: Box<[BoundOverride]>,
    state: Arc<EntryState>,
    applied: EntrySettings,
    last_text: Box<str>,
    dropped_lines: u64,
}

/// Logs the bounds in force, and the names of those that nothing states.
pub fn log_bounds(state: &EntryState, defaults: &[Box<str>]) {
    let values = state.bounds().values();
    let values: Vec<String> =
        values.iter().map(|(name, value)| format!("{name}={value}")).collect();
    info!("bounds in force", kv: {
        bounds: = values.join(" "), defaults: = defaults.join(" ")
    });
}

impl SettingsWatch {
    /// Creates a watch of the file that the host was started with. The `overrides` take the place of the file's bounds.
    pub fn new(path: PathBuf, overrides: Box<[BoundOverride]>, state: Arc<EntryState>) -> Self {
        let applied = state.settings().clone();
        Self { path, overrides, state, applied, last_text: "".into(), dropped_lines: 0 }
    }

    /// Runs until the future is dropped. A hangup signal triggers an immediate reload.
    pub async fn run(mut self, mut hangup_signal: Signal) {
        let mut polls = tokio::time::interval(POLL_INTERVAL);
        polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = polls.tick() => {}
                _ = hangup_signal.recv() => info!("received a hangup signal, reading the settings again", kv: {
                    path = self.path.to_string_lossy().as_ref()
                }),
            }
            self.reload_if_changed();
            self.report_dropped_lines();
        }
    }

    fn reload_if_changed(&mut self) {
        let text: Box<str> = match std::fs::read_to_string(&self.path) {
            Ok(text) => text.into(),
            Err(error) => {
                return warn!("failed to read the settings, keeping the current ones", kv: { reason: = error });
            }
        };
        if text == self.last_text {
            return;
        }
        match EntryDocument::parse_with(&text, &self.overrides) {
            Ok(settings) => self.apply(settings),
            Err(problems) => {
                for problem in problems {
                    warn!("settings not valid, those known stay", kv: { reason: = problem });
                }
            }
        }
        self.last_text = text;
    }

    fn apply(&mut self, settings: EntrySettings) {
        if settings == self.applied {
            return;
        }
        let rest = EntrySettings {
            bounds: self.applied.bounds.clone(),
            default_bounds: self.applied.default_bounds.clone(),
            log: self.applied.log.clone(),
            ..settings.clone()
        };
        info!("settings applied", kv: {
            bounds_changed = settings.bounds != self.applied.bounds,
            level_changed = settings.log.level != self.applied.log.level,
            needs_restart = rest != self.applied
        });
        self.state.set_bounds(settings.bounds.clone());
        log_bounds(&self.state, &settings.default_bounds);
        ProcessLog::set_level(settings.log.level);
        self.applied = settings;
    }

    fn report_dropped_lines(&mut self) {
        let dropped = ProcessLog::dropped_lines();
        if dropped > self.dropped_lines {
            warn!("log lines dropped", kv: { count = dropped - self.dropped_lines });
            self.dropped_lines = dropped;
        }
    }
}
