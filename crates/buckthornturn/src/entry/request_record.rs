//! Fields of a request's log line that are collected while the request is served.

use std::time::Duration;

use coordination::fleet::ObjectWarmth;
use coordination::fleet::PlacementChoice;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::TokenGrant;
use coordination::ids::HostId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;

/// Fields of a request's log line. Those of the target describe the one that was chosen last.
pub(super) struct RequestRecord {
    /// Source of the customer's token: `own`, or a value of [`token_source`].
    pub(super) tokens: &'static str,
    pub(super) service: Option<ServiceId>,
    pub(super) target: Option<TargetId>,
    /// Host that served the request instead of this one.
    pub(super) peer: Option<HostId>,
    pub(super) tries: u64,
    pub(super) wait: Duration,
    pub(super) load: f64,
    pub(super) pressure: f64,
    pub(super) warmth: &'static str,
    pub(super) expected_ms: u64,
}

impl RequestRecord {
    /// Creates the record of a request that no service or target was chosen for yet.
    pub(super) fn new() -> Self {
        Self {
            tokens: "own",
            service: None,
            target: None,
            peer: None,
            tries: 0,
            wait: Duration::ZERO,
            load: 0.0,
            pressure: 0.0,
            warmth: "-",
            expected_ms: 0,
        }
    }

    /// Records the target that the request is sent to next, and counts the try.
    pub(super) fn set_choice(&mut self, choice: &PlacementChoice) {
        self.target = Some(choice.target.clone());
        self.tries += 1;
        self.wait = choice.wait;
        self.load = choice.load;
        self.pressure = choice.pressure;
        self.warmth = warmth_name(choice.warmth);
        self.expected_ms = choice.expected_time.as_millis() as u64;
    }

    /// Records the wait and the pressure by which placement refused the request.
    pub(super) fn set_refusal(&mut self, refusal: PlacementRefusal) {
        match refusal {
            PlacementRefusal::Busy { wait, pressure, .. }
            | PlacementRefusal::Deferred { wait, pressure, .. } => {
                (self.wait, self.pressure) = (wait, pressure)
            }
            PlacementRefusal::Limited { wait } | PlacementRefusal::Paused { wait } => {
                self.wait = wait
            }
            PlacementRefusal::NoTarget => {}
        }
    }
}

fn warmth_name(warmth: ObjectWarmth) -> &'static str {
    match warmth {
        ObjectWarmth::Known => "known",
        ObjectWarmth::Likely => "likely",
        ObjectWarmth::Unlikely => "unlikely",
    }
}

/// Source of a token after a request to the keeper, as named in logs and metrics. `None` means that the keeper did not
/// answer.
pub(super) fn token_source(grant: Option<TokenGrant>) -> &'static str {
    match grant {
        None => "reserve-unanswered",
        Some(TokenGrant::NotKept) => "reserve-no-keeper",
        Some(TokenGrant::Empty { .. }) => "keeper-refused",
        Some(TokenGrant::Tokens(_)) => "keeper",
    }
}
