//! Requests that peers serve for this host, or this host for peers.

use coordination::fleet::ConfigurationPosition;
use http::Request;
use http::Response;

use crate::callers::AnswerBody;
use crate::callers::CallerBody;
use crate::callers::Refusal;
use crate::entry::OutgoingRequest;
use crate::entry::ProxyService;
use crate::entry::UNREACHABLE_REASON;
use crate::entry::mark_refused;
use crate::entry::peer_forwarder::CONFIGURATION_WAIT;
use crate::entry::peer_forwarder::behind_refusal;
use crate::entry::proxy_refusals::unavailable_refusal;
use crate::entry::request_record::RequestRecord;
use crate::entry::run_outcome::SettledResult;
use crate::entry::set_peer_position;

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

    /// Serves a request that a peer forwarded, unless this host reaches no target either or does not get the configuration in
    /// time that the peer checked the request against.
    pub(super) async fn serve_for_peer(
        &self,
        request: Request<CallerBody>,
        position: ConfigurationPosition,
    ) -> Response<AnswerBody> {
        let refusal = match self.state.lock().reach.is_lost() {
            true => Some(unavailable_refusal(UNREACHABLE_REASON).retry_after(CONFIGURATION_WAIT)),
            false => None,
        };
        let refusal = match refusal {
            None if !self.state.wait_for_configuration(position, CONFIGURATION_WAIT).await => {
                Some(behind_refusal())
            }
            refusal => refusal,
        };
        if let Some(refusal) = refusal {
            let mut response = self.refusal_response(&refusal);
            mark_refused(response.headers_mut(), refusal.reason);
            return response;
        }
        let mut response = self.serve_request(request, true).await;
        let position = self.state.lock().configuration_position();
        set_peer_position(response.headers_mut(), &position);
        response
    }
}
