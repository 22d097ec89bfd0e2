//! Reads the configuration of a peer whose answer shows that this host serves by an earlier one.

use std::sync::Arc;

use coordination::fleet::ConfigurationPosition;
use spdlog::info;
use spdlog::warn;

use crate::entry::EntryState;
use crate::entry::PeerReader;
use crate::interface::StatePart;

const PART: StatePart = StatePart::Configuration;

/// Task that catches up with peers beside the follower of the configuration, which may be waiting for the store.
pub struct CatchUpReader {
    state: Arc<EntryState>,
    peers: PeerReader,
}

impl CatchUpReader {
    /// Creates a reader that asks other hosts through `peers`.
    pub fn new(state: Arc<EntryState>, peers: PeerReader) -> Self {
        Self { state, peers }
    }

    /// Catches up until the future is dropped.
    pub async fn run(mut self) {
        loop {
            self.state.catch_up.notified().await;
            let ahead = self.state.lock().peer_ahead(PART);
            let Some(peer) = ahead else { continue };
            match self.peers.read(peer, PART).await {
                Ok(snapshot) => {
                    let latest = snapshot.latest_version();
                    let is_applied = self.state.apply_snapshot(PART, snapshot);
                    info!("state read from another host", kv: {
                        part: = PART.name(), peer:, latest:, is_applied:
                    });
                }
                Err(error) => warn!("failed to read the state from another host", kv: {
                    part: = PART.name(), peer:, reason: = error
                }),
            }
        }
    }
}

impl EntryState {
    /// Records the configuration by which a peer answered, and returns whether it is later than the one of this host, which
    /// is then read from the peer at once.
    pub fn record_peer_position(&self, host: &str, position: ConfigurationPosition) -> bool {
        let mut core = self.lock();
        let is_ahead = position.supersedes(&core.configuration_position());
        if is_ahead {
            core.roster.record_position(host, position);
            self.catch_up.notify_one();
        }
        is_ahead
    }
}
