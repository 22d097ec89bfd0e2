//! Follows the settings file while the host runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use spdlog::info;
use spdlog::warn;
use tokio::signal::unix::Signal;

use crate::document::EntryDocument;
use crate::entry::EntryState;
use crate::logging::ProcessLog;
use crate::settings::EntrySettings;

/// Pause between looks at the file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the settings file: bounds and the log's level apply at once, the rest at the next start.
pub struct SettingsWatch {
    path: PathBuf,
    state: Arc<EntryState>,
    known: EntrySettings,
    text: Box<str>,
    dropped_lines: u64,
}

impl SettingsWatch {
    /// A watch over the file that the host was started with.
    pub fn new(path: PathBuf, state: Arc<EntryState>) -> Self {
        let known = state.settings().clone();
        Self { path, state, known, text: "".into(), dropped_lines: 0 }
    }

    /// Watches until dropped. A signal has the file read at once.
    pub async fn run(mut self, mut hang_up: Signal) {
        let mut looks = tokio::time::interval(LOOK_INTERVAL);
        looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = looks.tick() => {}
                _ = hang_up.recv() => info!("told to read the settings again", kv: {
                    path = self.path.to_string_lossy().as_ref()
                }),
            }
            self.look();
            self.report_dropped();
        }
    }

    fn look(&mut self) {
        let text: Box<str> = match std::fs::read_to_string(&self.path) {
            Ok(text) => text.into(),
            Err(error) => {
                return warn!("settings not read, those known stay", kv: { reason: = error });
            }
        };
        if text == self.text {
            return;
        }
        match EntryDocument::parse(&text) {
            Ok(settings) => self.apply(settings),
            Err(problems) => {
                for problem in problems {
                    warn!("settings not valid, those known stay", kv: { reason: = problem });
                }
            }
        }
        self.text = text;
    }

    fn apply(&mut self, settings: EntrySettings) {
        if settings == self.known {
            return;
        }
        let rest = EntrySettings {
            bounds: self.known.bounds.clone(),
            log: self.known.log.clone(),
            ..settings.clone()
        };
        info!("settings applied", kv: {
            bounds_changed = settings.bounds != self.known.bounds,
            level_changed = settings.log.level != self.known.log.level,
            needs_restart = rest != self.known
        });
        self.state.set_bounds(settings.bounds.clone());
        ProcessLog::set_level(settings.log.level);
        self.known = settings;
    }

    fn report_dropped(&mut self) {
        let dropped = ProcessLog::dropped_lines();
        if dropped > self.dropped_lines {
            warn!("log lines dropped", kv: { count = dropped - self.dropped_lines });
            self.dropped_lines = dropped;
        }
    }
}
