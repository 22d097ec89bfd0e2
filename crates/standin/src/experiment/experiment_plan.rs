//! The plan file of an experiment, as in `examples/experiments`.

use serde::Deserialize;
use serde::Serialize;

use crate::deployment::DeploymentKind;
use crate::experiment::TimedFault;
use crate::target_standin::TargetBehaviour;

const DEFAULT_RATE_SHARE: f64 = 0.6;
const MAX_SECONDS: f64 = 600.0;

/// A deployment, a load and faults at set times, as read from a plan file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Name of the experiment in its report.
    pub name: Box<str>,
    /// Example deployment that is started; `--deployment` overrides it.
    #[serde(default)]
    pub deployment: DeploymentKind,
    /// Time during which callers start requests, in seconds; over 0 and at most 600.
    pub seconds: f64,
    /// Seed of the random choices of the load, so that a run can be repeated.
    #[serde(default)]
    pub seed: u64,
    /// Share of each customer's configured rate that its callers send, from 0 to 1; 0.6 if it is left out.
    #[serde(default = "default_rate_share")]
    pub rate_share: f64,
    /// Periods in which a customer sends several times its usual load.
    #[serde(default)]
    pub surges: Vec<PlannedSurge>,
    /// Behaviour of targets in place of the default one; `slots` is replaced by the slots of the configuration.
    #[serde(default)]
    pub targets: Option<TargetBehaviour>,
    /// Cap on shifts that overrides the cap of every profile, in percent per minute. A higher cap lets a drain end within
    /// a short run.
    #[serde(default)]
    pub shift_cap_percent_per_minute: Option<f64>,
    /// Delay after which a change of a host shows in the platform's host list, in milliseconds.
    #[serde(default)]
    pub host_list_lag_ms: u64,
    /// Faults to inject, ordered by time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A period in which a customer sends several times its usual load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedSurge {
    /// Index of the customer in the configuration, from 0; a surge of an index that does not exist is ignored.
    pub customer: usize,
    /// Start of the period, in seconds since the start of the load.
    pub from_s: f64,
    /// End of the period, in seconds since the start of the load.
    pub to_s: f64,
    /// Multiple of the usual load that the customer sends in the period.
    pub factor: f64,
}

impl ExperimentPlan {
    /// Parses a plan from JSON with comments and checks its length and the order of its faults.
    ///
    /// # Errors
    ///
    /// Fails with a message for the author of the plan if it is invalid.
    pub fn parse(text: &str) -> Result<Self, Box<str>> {
        let plan: Self = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| error.to_string())?;
        match plan.faults.is_sorted_by(|one, other| one.at_s <= other.at_s) {
            _ if !(plan.seconds > 0.0 && plan.seconds <= MAX_SECONDS) => {
                Err(format!("`seconds` must be over 0 and at most {MAX_SECONDS}").into())
            }
            false => Err("`faults` must be ordered by `at_s`".into()),
            true => Ok(plan),
        }
    }
}

fn default_rate_share() -> f64 {
    DEFAULT_RATE_SHARE
}
