//! Requests that peers serve for this host, or this host for peers.

use std::time::Duration;

use coordination::fleet::ConfigurationPosition;
use http::StatusCode;

use crate::callers::Refusal;
use crate::entry::OutgoingRequest;
use crate::entry::ProxyService;
use crate::entry::UNREACHABLE_REASON;
use crate::entry::request_record::RequestRecord;
use crate::entry::run_outcome::SettledResult;

/// Longest wait for the configuration that a peer checked a forwarded request against.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);

impl ProxyService {
    /// Whether a request that this host refuses may still go to a peer: it did not run, or may run again within the retry
    /// budget.
    pub(super) fn may_forward_after(
        &self,
        request: &OutgoingRequest,
        record: &RequestRecord,
        refusal: &Refusal,
    ) -> bool {
        let mut core = self.state.lock();
        let may_repeat = request.facts.route.is_repeatable && request.upload.progress().has_start;
        match &record.service {
            _ if !core.reach.is_lost() => false,
            _ if refusal.not_run => true,
            Some(service) if may_repeat => core.take_retry(service),
            _ => false,
        }
    }

    /// Lets a peer serve a request while this host reaches no target; `None` if this host is to go on with it.
    pub(super) async fn forward_to_peer(
        &self,
        request: &OutgoingRequest,
        record: &mut RequestRecord,
    ) -> Option<SettledResult> {
        if request.is_forwarded || !self.state.lock().reach.is_lost() {
            return None;
        }
        let (peer, result) = self.forwarder.forward(request).await?;
        record.peer = Some(peer);
        Some(request.outcome.settle(result))
    }

    /// Refusal of a request that a peer forwarded if this host reaches no target either, or does not get the configuration
    /// in time that the peer checked the request against.
    pub(super) async fn refusal_for_peer(
        &self,
        position: ConfigurationPosition,
    ) -> Option<Refusal> {
        let is_lost = self.state.lock().reach.is_lost();
        let reason = match is_lost {
            true => UNREACHABLE_REASON,
            false if self.state.wait_for_configuration(position, CONFIGURATION_WAIT).await => {
                return None;
            }
            false => "configuration-behind",
        };
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        Some(refusal.retry_after(CONFIGURATION_WAIT))
    }
}
