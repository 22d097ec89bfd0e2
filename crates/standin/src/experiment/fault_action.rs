//! Faults that an experiment brings about.

use serde::Deserialize;
use serde::Serialize;

use crate::deployment::DeploymentError;
use crate::deployment::FleetDeployment;
use crate::store::FaultPlan;

/// A fault at its time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TimedFault {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// What is done.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What is done. Parts are named by their number in the deployment, from 0, so that one file serves every deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultAction {
    /// Ends hosts without notice.
    KillHosts {
        /// Hosts.
        hosts: Vec<usize>,
    },
    /// Starts hosts that were ended, with nothing but their settings.
    StartHosts {
        /// Hosts.
        hosts: Vec<usize>,
    },
    /// Stops a host for a while without ending it.
    PauseHost {
        /// Host.
        host: usize,
        /// How long, in milliseconds.
        for_ms: u64,
    },
    /// Ends each host gracefully and starts it again, one after another.
    ReplaceHosts {
        /// Pause between two hosts, in milliseconds.
        pause_ms: u64,
    },
    /// Ends targets without notice.
    KillTargets {
        /// Targets.
        targets: Vec<usize>,
    },
    /// Starts targets again, cold.
    StartTargets {
        /// Targets.
        targets: Vec<usize>,
    },
    /// Targets take requests and never answer.
    HangTargets {
        /// Targets.
        targets: Vec<usize>,
    },
    /// Targets answer 500 at once.
    FailTargets {
        /// Targets.
        targets: Vec<usize>,
    },
    /// Targets claim to be healthy and idle, whatever they are, and work several times slower.
    MisleadTargets {
        /// Targets.
        targets: Vec<usize>,
        /// Time that a request takes there, in milliseconds.
        work_ms: u64,
    },
    /// Targets shed a share of requests without need.
    ShedTargets {
        /// Targets.
        targets: Vec<usize>,
        /// Share, in percent.
        percent: f64,
    },
    /// Targets behave as at the start again.
    HealTargets {
        /// Targets.
        targets: Vec<usize>,
    },
    /// No target answers its health and load endpoint, or every one does so again.
    SilenceReports {
        /// Whether they are silent.
        silent: bool,
    },
    /// Cuts a failure domain off from every other.
    CutDomain {
        /// Failure domain.
        domain: usize,
    },
    /// Cuts a region off from every other.
    CutRegion {
        /// Region.
        region: usize,
    },
    /// Ends every cut.
    HealNetwork,
    /// Ends every host and target of a region.
    LoseRegion {
        /// Region.
        region: usize,
    },
    /// Starts them again.
    ReturnRegion {
        /// Region.
        region: usize,
    },
    /// Puts faults of the store in place of those in force.
    Store {
        /// Faults.
        faults: FaultPlan,
    },
    /// Withdraws the key of a customer's callers, who go on showing it.
    WithdrawKey {
        /// Customer.
        customer: usize,
    },
    /// Orders a failure domain to be drained.
    DrainDomain {
        /// Failure domain.
        domain: usize,
    },
    /// Orders a region to be drained.
    DrainRegion {
        /// Region.
        region: usize,
    },
    /// Orders one target to be drained.
    DrainTarget {
        /// Target.
        target: usize,
    },
    /// Takes every drain order back.
    Undrain,
    /// Two operators change the same customer through different hosts at once, several times.
    RaceOperators {
        /// Rounds.
        rounds: usize,
    },
}

/// Name of a part by its number.
///
/// # Errors
///
/// Fails if there is no such number.
pub fn part_name<'a>(
    kind: &'static str,
    mut names: impl Iterator<Item = &'a Box<str>>,
    number: usize,
) -> Result<Box<str>, DeploymentError> {
    let missing = || DeploymentError::Unknown { kind, name: number.to_string().into() };
    names.nth(number).cloned().ok_or_else(missing)
}

impl FleetDeployment {
    /// Names of targets by their numbers.
    ///
    /// # Errors
    ///
    /// Fails if there is no such number.
    pub fn target_names(&self, numbers: &[usize]) -> Result<Vec<Box<str>>, DeploymentError> {
        numbers.iter().map(|number| part_name("target", self.targets.keys(), *number)).collect()
    }

    /// Names of hosts by their numbers.
    ///
    /// # Errors
    ///
    /// Fails if there is no such number.
    pub fn host_names(&self, numbers: &[usize]) -> Result<Vec<Box<str>>, DeploymentError> {
        numbers.iter().map(|number| part_name("host", self.hosts.keys(), *number)).collect()
    }
}
