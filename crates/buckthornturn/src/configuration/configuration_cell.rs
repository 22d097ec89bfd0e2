//! Shared access to the configuration in force.

use std::sync::Arc;

use tokio::sync::watch;

use crate::configuration::ConfigurationState;

/// The configuration state in force on this host. Clones share it, and its revision never decreases.
#[derive(Clone, Debug)]
pub struct ConfigurationCell {
    sender: watch::Sender<Arc<ConfigurationState>>,
}

impl ConfigurationCell {
    /// Creates a cell that holds the empty state of revision 0.
    pub fn new() -> Self {
        Self { sender: watch::Sender::new(Arc::default()) }
    }

    /// Returns the state in force without waiting.
    pub fn load(&self) -> Arc<ConfigurationState> {
        Arc::clone(&self.sender.borrow())
    }

    /// Puts a state in force if its revision is higher than the current one and returns whether it was.
    pub fn replace_if_newer(&self, state: Arc<ConfigurationState>) -> bool {
        self.sender.send_if_modified(|current| match state.revision > current.revision {
            true => {
                *current = state;
                true
            }
            false => false,
        })
    }

    /// Returns a receiver that is notified of each newer state.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigurationState>> {
        self.sender.subscribe()
    }
}

impl Default for ConfigurationCell {
    fn default() -> Self {
        Self::new()
    }
}
