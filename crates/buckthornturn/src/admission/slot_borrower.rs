//! Background task that adjusts the slots borrowed by this host to its demand.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use spdlog::debug;
use spdlog::info;

use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;
use crate::admission::slot_leasing::LeaseMessage;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;

/// Longest time between two checks of the demand; a queued request causes one at once.
const BORROW_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a lease request to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Borrows slots ahead of demand, renews their leases and returns idle ones.
pub(crate) async fn borrow_slots(shared: Arc<GateShared>) {
    loop {
        let members = shared.peers.members();
        let messages =
            shared.lock_core().plan_lease_messages(&members, &*shared.weights, runtime_now());
        for message in messages {
            tokio::spawn(send_message(Arc::clone(&shared), message));
        }
        let _ = tokio::time::timeout(BORROW_INTERVAL, shared.slots_wanted.notified()).await;
    }
}

async fn send_message(shared: Arc<GateShared>, message: LeaseMessage) {
    let sent_at = runtime_now();
    let request =
        PeerRequest::LeaseSlots { sequence: message.sequence, wanted: message.wanted.clone() };
    match shared.peers.call(&message.owner, request, CALL_TIMEOUT).await {
        Ok(PeerReply::SlotsLeased { leases }) => {
            log_leases(&message, leases.iter().map(|lease| lease.slots).sum(), sent_at);
            let services =
                shared.lock_core().apply_leases(&message, &leases, sent_at, runtime_now());
            shared.dispatch_waiting(services.iter().map(|service| &**service));
        }
        result => {
            let reason = match result {
                Err(error) => error.to_string(),
                Ok(_) => "unexpected answer".into(),
            };
            info!("slots not leased", kv: { owner: = message.owner, reason: });
            shared.lock_core().record_lease_failure(&message, runtime_now());
        }
    }
}

fn log_leases(message: &LeaseMessage, granted: u32, sent_at: Instant) {
    let wanted: u32 = message.wanted.iter().map(|(_, wanted)| wanted).sum();
    let elapsed_us = runtime_now().saturating_duration_since(sent_at).as_micros() as u64;
    debug!("slots leased", kv: { owner: = message.owner, wanted, granted, took_us = elapsed_us });
}
