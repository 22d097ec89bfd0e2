//! Plan of an experiment, as committed.

use serde::Deserialize;
use serde::Serialize;

use crate::deployment::DeploymentKind;
use crate::experiment::TimedFault;
use crate::target_standin::TargetBehaviour;

const DEFAULT_RATE_SHARE: f64 = 0.6;
const MAX_SECONDS: f64 = 600.0;

/// Plan of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// Name in the report.
    pub name: Box<str>,
    /// Deployment; the command line can choose another.
    #[serde(default)]
    pub deployment: DeploymentKind,
    /// Time during which callers start requests, in seconds.
    pub seconds: f64,
    /// Seed.
    #[serde(default)]
    pub seed: u64,
    /// Part of each customer's rate that its callers send.
    #[serde(default = "default_rate_share")]
    pub rate_share: f64,
    /// Customers that send several times as much for a while.
    #[serde(default)]
    pub surges: Vec<PlannedSurge>,
    /// How targets behave; the slots are those of the configuration.
    #[serde(default)]
    pub targets: Option<TargetBehaviour>,
    /// Cap on shifts in place of the profiles' own, in percent a minute, to see a drain end in a short run.
    #[serde(default)]
    pub shift_cap_percent_per_minute: Option<f64>,
    /// How far the platform's host list lags, in milliseconds.
    #[serde(default)]
    pub host_list_lag_ms: u64,
    /// Faults in order of time.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// A customer that sends several times as much for a while.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedSurge {
    /// Number of the customer, from 0.
    pub customer: usize,
    /// Start, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub to_s: f64,
    /// Factor.
    pub factor: f64,
}

impl ExperimentPlan {
    /// Reads a plan in JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails with the reason if it is invalid.
    pub fn parse(text: &str) -> Result<Self, Box<str>> {
        let plan: Self = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| error.to_string())?;
        match plan.faults.is_sorted_by(|one, other| one.at_s <= other.at_s) {
            _ if !(plan.seconds > 0.0 && plan.seconds <= MAX_SECONDS) => {
                Err(format!("`seconds` must be over 0 and at most {MAX_SECONDS}").into())
            }
            false => Err("`faults` must be in order of time".into()),
            true => Ok(plan),
        }
    }
}

fn default_rate_share() -> f64 {
    DEFAULT_RATE_SHARE
}
