//! A target of a deployment, which can be killed and started again.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::deployment::DeploymentError;
use crate::target_standin::ExecutionLedger;
use crate::target_standin::TargetBehaviour;
use crate::target_standin::TargetCounts;
use crate::target_standin::TargetStandin;

/// Identity and behaviour of a target, and its process while it runs. The ledger of executions outlives the process. Dropping it
/// panics if the target has read another request than a caller sent.
pub struct TargetSlot {
    /// Name of the target in the configuration.
    pub name: Box<str>,
    /// Service whose requests the target executes.
    pub service: Box<str>,
    /// Failure domain in which the target runs.
    pub failure_domain: Box<str>,
    /// Address of the listener, which a restart keeps.
    pub address: SocketAddr,
    behaviour: TargetBehaviour,
    ledger: Arc<ExecutionLedger>,
    process: Option<TargetStandin>,
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.ledger.bodies().assert_unchanged(&self.name);
    }
}

impl TargetSlot {
    /// Starts a target on a loopback port chosen by the system.
    ///
    /// # Errors
    ///
    /// Fails if no listener can be opened.
    pub async fn start(
        name: Box<str>,
        service: Box<str>,
        failure_domain: Box<str>,
        behaviour: TargetBehaviour,
    ) -> Result<Self, DeploymentError> {
        let listen_error = |source| DeploymentError::Listen { part: name.clone(), source };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = TargetStandin::start(name.clone(), any_port, behaviour.clone())
            .await
            .map_err(listen_error)?;
        let address = process.address();
        let ledger = process.ledger();
        let process = Some(process);
        Ok(Self { name, service, failure_domain, address, behaviour, ledger, process })
    }

    /// Ends the target without notice; requests that it runs are cut. Does nothing if it does not run.
    pub fn kill(&mut self) {
        drop(self.process.take());
        self.ledger.set_running(false);
    }

    /// Ends the target if it runs and starts it again on the same address. It starts cold, with its current behaviour.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn restart(&mut self) -> Result<(), DeploymentError> {
        self.kill();
        let (name, behaviour) = (self.name.clone(), self.behaviour.clone());
        let listen_error = |source| DeploymentError::Listen { part: self.name.clone(), source };
        let ledger = Arc::clone(&self.ledger);
        let process = TargetStandin::resume(name, self.address, behaviour, ledger)
            .await
            .map_err(listen_error)?;
        self.process = Some(process);
        Ok(())
    }

    /// Changes the behaviour of the target, now and after a restart.
    pub fn update_behaviour(&mut self, update: impl FnOnce(&mut TargetBehaviour)) {
        update(&mut self.behaviour);
        if let Some(process) = &self.process {
            process.set_behaviour(self.behaviour.clone());
        }
    }

    /// Returns the counters of the target since its first start, including those from before restarts.
    pub fn counts(&self) -> TargetCounts {
        self.ledger.counts()
    }

    /// Returns the ledger of the requests that the target executed.
    pub fn ledger(&self) -> &ExecutionLedger {
        &self.ledger
    }

    /// Returns a shared reference to the ledger, for a task that outlives the borrow of the slot.
    pub fn shared_ledger(&self) -> Arc<ExecutionLedger> {
        Arc::clone(&self.ledger)
    }

    /// Returns the number of requests that the target may run at the same time.
    pub fn slots(&self) -> u32 {
        self.behaviour.slots
    }
}
