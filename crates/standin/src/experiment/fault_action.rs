//! The faults and operator actions that an experiment can inject, in the form of its plan file.

use serde::Deserialize;
use serde::Serialize;

use crate::deployment::DeploymentError;
use crate::deployment::FleetDeployment;
use crate::store::FaultPlan;

/// A fault or operator action with the time at which it is injected.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TimedFault {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Fault or operator action to inject.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// A fault or operator action. Hosts, targets, customers, failure domains and regions are given by their index in the
/// deployment, from 0, so that one file serves every deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultAction {
    /// Ends hosts without a graceful shutdown and removes them from the host list.
    KillHosts {
        /// Indexes of the hosts.
        hosts: Vec<usize>,
    },
    /// Starts hosts that were ended, without any state but their settings.
    StartHosts {
        /// Indexes of the hosts.
        hosts: Vec<usize>,
    },
    /// Suspends all tasks of a host for a time, while its sockets stay open.
    PauseHost {
        /// Index of the host.
        host: usize,
        /// Length of the pause, in milliseconds.
        for_ms: u64,
    },
    /// Restarts all hosts one after another with a graceful shutdown, as a rolling update does.
    ReplaceHosts {
        /// Pause after the start of each host, in milliseconds.
        pause_ms: u64,
    },
    /// Ends targets without notice.
    KillTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
    },
    /// Restarts targets, which are then cold; those that still run are killed first.
    StartTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
    },
    /// Makes targets accept requests and never answer.
    HangTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
    },
    /// Makes targets answer 500 at once.
    FailTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
    },
    /// Makes targets report that they are healthy and idle, whatever their state, and changes how long a request takes.
    MisleadTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
        /// Time that a request takes on these targets, in milliseconds.
        work_ms: u64,
    },
    /// Makes targets shed a share of requests although slots are free.
    ShedTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
        /// Share of requests to shed, in percent.
        percent: f64,
    },
    /// Restores the behaviour that targets had at the start. Targets that were killed stay down.
    HealTargets {
        /// Indexes of the targets.
        targets: Vec<usize>,
    },
    /// Stops or resumes the answers of all targets at their health and load endpoints.
    SilenceReports {
        /// `true` stops the answers, `false` resumes them.
        silent: bool,
    },
    /// Cuts the links between a failure domain and all others.
    CutDomain {
        /// Index of the failure domain.
        domain: usize,
    },
    /// Cuts the links between a region and all others.
    CutRegion {
        /// Index of the region.
        region: usize,
    },
    /// Restores all links that were cut.
    HealNetwork,
    /// Kills every host and target of a region.
    LoseRegion {
        /// Index of the region.
        region: usize,
    },
    /// Starts every host and target of a region that was lost.
    ReturnRegion {
        /// Index of the region.
        region: usize,
    },
    /// Replaces the faults of the store; an empty plan ends them.
    Store {
        /// Faults that the store shows from then on.
        faults: FaultPlan,
    },
    /// Withdraws the key of a customer, whose callers continue to send it.
    WithdrawKey {
        /// Index of the customer.
        customer: usize,
    },
    /// Drains a failure domain through the operator API.
    DrainDomain {
        /// Index of the failure domain.
        domain: usize,
    },
    /// Drains a region through the operator API.
    DrainRegion {
        /// Index of the region.
        region: usize,
    },
    /// Drains one target through the operator API.
    DrainTarget {
        /// Index of the target.
        target: usize,
    },
    /// Removes all drains through the operator API.
    Undrain,
    /// Lets two operators change the same customer at the same time through different hosts, several times in a row.
    RaceOperators {
        /// Number of times that both operators send a change.
        rounds: usize,
    },
}

/// Returns the name at index `number`; `kind` names the part in the error.
///
/// # Errors
///
/// Fails if there are no more than `number` names.
pub fn part_name<'a>(
    kind: &'static str,
    mut names: impl Iterator<Item = &'a Box<str>>,
    number: usize,
) -> Result<Box<str>, DeploymentError> {
    let missing = || DeploymentError::Unknown { kind, name: number.to_string().into() };
    names.nth(number).cloned().ok_or_else(missing)
}

impl FleetDeployment {
    /// Returns the names of targets by their indexes in the deployment.
    ///
    /// # Errors
    ///
    /// Fails if a target of one of the indexes does not exist.
    pub fn target_names(&self, numbers: &[usize]) -> Result<Vec<Box<str>>, DeploymentError> {
        numbers.iter().map(|number| part_name("target", self.targets.keys(), *number)).collect()
    }

    /// Returns the names of hosts by their indexes in the deployment.
    ///
    /// # Errors
    ///
    /// Fails if a host of one of the indexes does not exist.
    pub fn host_names(&self, numbers: &[usize]) -> Result<Vec<Box<str>>, DeploymentError> {
        numbers.iter().map(|number| part_name("host", self.hosts.keys(), *number)).collect()
    }
}
