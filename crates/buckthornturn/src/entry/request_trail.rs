//! What a request's log line says beside its end.

use std::time::Duration;

use coordination::fleet::PlacementChoice;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::TokenGrant;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;

/// What a request's log line says beside its end.
pub(super) struct RequestTrail {
    /// Where the customer's token came from.
    pub(super) tokens: &'static str,
    pub(super) service: Option<ServiceId>,
    pub(super) target: Option<TargetId>,
    pub(super) tries: u64,
    pub(super) wait: Duration,
    pub(super) load: f64,
    pub(super) pressure: f64,
    pub(super) is_warm: bool,
    pub(super) expected_ms: u64,
}

impl RequestTrail {
    /// The trail of a request that nothing was done for.
    pub(super) fn new() -> Self {
        Self {
            tokens: "own",
            service: None,
            target: None,
            tries: 0,
            wait: Duration::ZERO,
            load: 0.0,
            pressure: 0.0,
            is_warm: false,
            expected_ms: 0,
        }
    }

    /// Takes note of where the request goes next.
    pub(super) fn note(&mut self, choice: &PlacementChoice) {
        self.target = Some(choice.target.clone());
        self.tries += 1;
        self.wait = choice.wait;
        self.load = choice.load;
        self.pressure = choice.pressure;
        self.is_warm = choice.is_warm;
        self.expected_ms = choice.expected_time.as_millis() as u64;
    }

    /// Takes note of what decided a refusal.
    pub(super) fn note_refusal(&mut self, refusal: PlacementRefusal) {
        if let PlacementRefusal::Busy { wait, pressure } = refusal {
            (self.wait, self.pressure) = (wait, pressure);
        }
    }
}

/// Where a token comes from after a keeper was asked, as logs and metrics name it.
pub(super) fn token_source(grant: Option<TokenGrant>) -> &'static str {
    match grant {
        None => "reserve-unanswered",
        Some(TokenGrant::NotKept) => "reserve-no-keeper",
        Some(TokenGrant::Empty { .. }) => "keeper-refused",
        Some(TokenGrant::Tokens(_)) => "keeper",
    }
}
