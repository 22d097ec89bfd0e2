//! Injects the faults of an experiment at their times.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::deployment::DeploymentError;
use crate::deployment::FleetDeployment;
use crate::experiment::FaultAction;
use crate::experiment::TimedFault;
use crate::experiment::fault_action::part_name;
use crate::target_standin::TargetBehaviour;

/// Largest weight that racing operators give a customer; the next one after it is 1.
const MAX_RACED_WEIGHT: u64 = 8;

/// A fault as it was injected, for the report.
#[derive(Clone, Debug, Serialize)]
pub struct AppliedFault {
    /// Time at which the injection began, in seconds since the start of the load.
    pub at_s: f64,
    /// Time at which the fault was in effect or, for an action of an operator, accepted, in seconds since the start of the
    /// load.
    pub done_s: f64,
    /// Description of the fault with the names of the parts concerned.
    pub what: Box<str>,
    /// Error if the fault could not be injected.
    pub error: Option<Box<str>>,
    /// Targets covered by a drain that starts here; empty for all other faults.
    pub drained_targets: Vec<Box<str>>,
    /// Whether this removes all drains, so that drained targets may get requests again.
    pub ends_drains: bool,
    /// Customer whose key was withdrawn; `None` for all other faults.
    pub withdrawn_customer: Option<Box<str>>,
}

/// Injects faults into a running deployment.
pub struct FaultRunner<'a> {
    deployment: &'a mut FleetDeployment,
    key_ids: IndexMap<Box<str>, Box<str>>,
    behaviour: TargetBehaviour,
    start: Instant,
}

impl<'a> FaultRunner<'a> {
    /// Creates a runner. `key_ids` are the identifiers of the keys that callers send, by customer; `behaviour` is what
    /// healed targets go back to; `start` is the start of the load.
    pub fn new(
        deployment: &'a mut FleetDeployment,
        key_ids: IndexMap<Box<str>, Box<str>>,
        behaviour: TargetBehaviour,
        start: Instant,
    ) -> Self {
        Self { deployment, key_ids, behaviour, start }
    }

    /// Injects the faults in order, each at its time or as soon after it as the one before is done. A fault that fails is
    /// recorded with its error and does not end the run.
    pub async fn run(mut self, faults: &[TimedFault]) -> Vec<AppliedFault> {
        let mut applied = Vec::new();
        for fault in faults {
            let due = self.start + Duration::from_secs_f64(fault.at_s);
            tokio::time::sleep_until(due.into()).await;
            let mut record = AppliedFault {
                at_s: self.start.elapsed().as_secs_f64(),
                done_s: 0.0,
                what: "".into(),
                error: None,
                drained_targets: Vec::new(),
                ends_drains: matches!(fault.action, FaultAction::Undrain),
                withdrawn_customer: None,
            };
            if let Err(error) = self.apply(&fault.action, &mut record).await {
                record.error = Some(error.to_string().into());
            }
            record.done_s = self.start.elapsed().as_secs_f64();
            applied.push(record);
        }
        applied
    }

    async fn apply(
        &mut self,
        action: &FaultAction,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        match action {
            FaultAction::KillHosts { .. }
            | FaultAction::StartHosts { .. }
            | FaultAction::PauseHost { .. }
            | FaultAction::ReplaceHosts { .. } => self.apply_to_hosts(action, record).await,
            FaultAction::CutDomain { .. }
            | FaultAction::CutRegion { .. }
            | FaultAction::HealNetwork
            | FaultAction::LoseRegion { .. }
            | FaultAction::ReturnRegion { .. } => {
                self.apply_to_network_or_region(action, record).await
            }
            FaultAction::Store { faults } => {
                record.what = format!("store {}", faults.summary()).into();
                self.deployment.store.set_faults(faults.clone());
                Ok(())
            }
            FaultAction::WithdrawKey { .. }
            | FaultAction::DrainDomain { .. }
            | FaultAction::DrainRegion { .. }
            | FaultAction::DrainTarget { .. }
            | FaultAction::Undrain
            | FaultAction::RaceOperators { .. } => self.apply_as_operator(action, record).await,
            _ => self.apply_to_targets(action, record).await,
        }
    }

    async fn apply_to_hosts(
        &mut self,
        action: &FaultAction,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        match action {
            FaultAction::KillHosts { hosts } => {
                let names = self.deployment.host_names(hosts)?;
                record.what = format!("kill host {}", names.join(", ")).into();
                for name in names {
                    self.kill_host(&name)?;
                }
            }
            FaultAction::StartHosts { hosts } => {
                let names = self.deployment.host_names(hosts)?;
                record.what = format!("start host {}", names.join(", ")).into();
                for name in names {
                    self.deployment.start_host(&name).await?;
                }
            }
            FaultAction::PauseHost { host, for_ms } => {
                let names = self.deployment.host_names(&[*host])?;
                record.what = format!("pause host {} for {for_ms} ms", names.join("")).into();
                self.deployment.host_mut(&names[0])?.pause(Duration::from_millis(*for_ms));
            }
            FaultAction::ReplaceHosts { pause_ms } => {
                record.what = "replace all hosts, one after another".into();
                let names: Vec<_> = self.deployment.hosts.keys().cloned().collect();
                for name in names {
                    let row = self.deployment.host_mut(&name)?.host_list_entry(true);
                    self.deployment.store.put_host(&name, row);
                    self.deployment.host_mut(&name)?.stop().await;
                    self.deployment.start_host(&name).await?;
                    tokio::time::sleep(Duration::from_millis(*pause_ms)).await;
                }
            }
            _ => {}
        }
        Ok(())
    }

    async fn apply_to_network_or_region(
        &mut self,
        action: &FaultAction,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        match action {
            FaultAction::CutDomain { domain } => {
                let name = self.domain_name(*domain)?;
                record.what = format!("cut off {name}").into();
                self.deployment.links.cut_domain(&name);
            }
            FaultAction::CutRegion { region } => {
                let name = self.region_name(*region)?;
                record.what = format!("cut off region {name}").into();
                self.deployment.links.cut_region(&name);
            }
            FaultAction::HealNetwork => {
                record.what = "network whole".into();
                self.deployment.links.heal();
            }
            FaultAction::LoseRegion { region } => {
                let name = self.region_name(*region)?;
                record.what = format!("lose region {name}").into();
                for host in self.hosts_in_region(&name) {
                    self.kill_host(&host)?;
                }
                for target in self.targets_in_region(&name) {
                    self.deployment.target_mut(&target)?.kill();
                }
            }
            FaultAction::ReturnRegion { region } => {
                let name = self.region_name(*region)?;
                record.what = format!("region {name} returns").into();
                for target in self.targets_in_region(&name) {
                    self.deployment.target_mut(&target)?.restart().await?;
                }
                for host in self.hosts_in_region(&name) {
                    self.deployment.start_host(&host).await?;
                }
            }
            _ => {}
        }
        Ok(())
    }

    async fn apply_to_targets(
        &mut self,
        action: &FaultAction,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        let (verb, numbers) = match action {
            FaultAction::KillTargets { targets } => ("kill", targets.clone()),
            FaultAction::StartTargets { targets } => ("start", targets.clone()),
            FaultAction::HangTargets { targets } => ("hang", targets.clone()),
            FaultAction::FailTargets { targets } => ("fail", targets.clone()),
            FaultAction::MisleadTargets { targets, .. } => ("mislead about", targets.clone()),
            FaultAction::ShedTargets { targets, .. } => ("shed at", targets.clone()),
            FaultAction::HealTargets { targets } => ("heal", targets.clone()),
            _ => ("silence reports of", (0..self.deployment.targets.len()).collect()),
        };
        let names = self.deployment.target_names(&numbers)?;
        let listed = if names.len() > 4 { "many targets".into() } else { names.join(", ") };
        record.what = format!("{verb} {listed}").into();
        for name in names {
            let original = TargetBehaviour {
                slots: self.deployment.target_mut(&name)?.slots(),
                ..self.behaviour.clone()
            };
            let target = self.deployment.target_mut(&name)?;
            match action {
                FaultAction::KillTargets { .. } => target.kill(),
                FaultAction::StartTargets { .. } => target.restart().await?,
                FaultAction::HangTargets { .. } => {
                    target.update_behaviour(|behaviour| behaviour.hang = true)
                }
                FaultAction::FailTargets { .. } => {
                    target.update_behaviour(|behaviour| behaviour.fail_status = 500);
                }
                FaultAction::MisleadTargets { work_ms, .. } => {
                    target.update_behaviour(|behaviour| {
                        behaviour.work_ms = *work_ms;
                        behaviour.report.healthy = Some(true);
                        behaviour.report.in_flight = Some(0);
                    })
                }
                FaultAction::ShedTargets { percent, .. } => {
                    target.update_behaviour(|behaviour| behaviour.shed_percent = *percent);
                }
                FaultAction::SilenceReports { silent } => {
                    target.update_behaviour(|behaviour| behaviour.report.absent = *silent);
                }
                _ => target.update_behaviour(|behaviour| *behaviour = original),
            }
        }
        Ok(())
    }

    async fn apply_as_operator(
        &mut self,
        action: &FaultAction,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        match action {
            FaultAction::WithdrawKey { customer } => {
                let name = part_name("customer", self.key_ids.keys(), *customer)?;
                record.what = format!("withdraw the key of {name}").into();
                let path = format!("/v1/keys/{}", self.key_ids[&name]);
                record.withdrawn_customer = Some(name);
                self.deployment.call_operator_api(Method::DELETE, &path, Value::Null).await?;
            }
            FaultAction::DrainDomain { domain } => {
                let name = self.domain_name(*domain)?;
                self.add_drain("domain", &name, record).await?;
            }
            FaultAction::DrainRegion { region } => {
                let name = self.region_name(*region)?;
                self.add_drain("region", &name, record).await?;
            }
            FaultAction::DrainTarget { target } => {
                let name = part_name("target", self.deployment.targets.keys(), *target)?;
                self.add_drain("target", &name, record).await?;
            }
            FaultAction::Undrain => {
                record.what = "undrain all".into();
                self.remove_drains().await?;
            }
            FaultAction::RaceOperators { rounds } => {
                let accepted = self.race_operators(*rounds).await?;
                record.what =
                    format!("operators race: {accepted} of {} changes accepted", 2 * rounds).into();
            }
            _ => {}
        }
        Ok(())
    }

    async fn add_drain(
        &mut self,
        scope: &str,
        name: &str,
        record: &mut AppliedFault,
    ) -> Result<(), DeploymentError> {
        record.what = format!("drain {scope} {name}").into();
        let covered = self.deployment.targets.values().filter(|target| match scope {
            "target" => *target.name == *name,
            "domain" => *target.failure_domain == *name,
            _ => self.deployment.links.region_of(&target.failure_domain).as_deref() == Some(name),
        });
        record.drained_targets = covered.map(|target| target.name.clone()).collect();
        let body = json!({ "scope": scope, "name": name });
        self.deployment.call_operator_api(Method::POST, "/v1/drains", body).await.map(drop)
    }

    async fn remove_drains(&mut self) -> Result<(), DeploymentError> {
        let state = self
            .deployment
            .call_operator_api(Method::GET, "/v1/configuration", Value::Null)
            .await?;
        let orders = state["drains"].as_object().cloned().unwrap_or_default();
        for order in orders.values() {
            let body = json!({ "scope": order["scope"], "name": order["name"] });
            self.deployment.call_operator_api(Method::POST, "/v1/undrains", body).await?;
        }
        Ok(())
    }

    /// Lets two operators give the same customer different weights with the same expected revision, `rounds` times.
    /// Returns how many changes were accepted; more than one per round is a fault.
    async fn race_operators(&mut self, rounds: usize) -> Result<usize, DeploymentError> {
        let mut accepted = 0;
        for _ in 0..rounds {
            let state = self
                .deployment
                .call_operator_api(Method::GET, "/v1/configuration", Value::Null)
                .await?;
            let customer =
                state["customers"].as_object().and_then(|customers| customers.values().next());
            let customer = customer.cloned().unwrap_or_default();
            let weight = customer["weight"].as_u64().unwrap_or(1);
            let body = |step: u64| {
                let mut object = customer.clone();
                object["kind"] = "customer".into();
                object["weight"] = json!((weight + step) % MAX_RACED_WEIGHT + 1);
                let change = json!({ "operation": "put", "object": object });
                json!({ "changes": [change], "expected": state["revision"] })
            };
            let (first_result, last_result) = tokio::join!(
                self.deployment.call_operator_api(Method::POST, "/v1/apply", body(0)),
                self.deployment.call_operator_api_on_last_host(Method::POST, "/v1/apply", body(1))
            );
            accepted += usize::from(first_result.is_ok()) + usize::from(last_result.is_ok());
        }
        Ok(accepted)
    }

    fn kill_host(&mut self, name: &str) -> Result<(), DeploymentError> {
        self.deployment.host_mut(name)?.kill();
        self.deployment.store.remove_host(name);
        Ok(())
    }

    fn hosts_in_region(&self, region: &str) -> Vec<Box<str>> {
        let hosts = self.deployment.hosts.values().filter(|host| *host.region == *region);
        hosts.map(|host| host.name.clone()).collect()
    }

    fn targets_in_region(&self, region: &str) -> Vec<Box<str>> {
        let links = &self.deployment.links;
        let targets = self.deployment.targets.values();
        targets
            .filter(|target| links.region_of(&target.failure_domain).as_deref() == Some(region))
            .map(|target| target.name.clone())
            .collect()
    }

    fn domain_name(&self, number: usize) -> Result<Box<str>, DeploymentError> {
        part_name("failure domain", self.deployment.links.domains().iter(), number)
    }

    fn region_name(&self, number: usize) -> Result<Box<str>, DeploymentError> {
        part_name("region", self.deployment.links.regions().iter(), number)
    }
}
