//! One target of a deployment, which can be ended and started again.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::deployment::DeploymentError;
use crate::target_standin::ExecutionLedger;
use crate::target_standin::TargetBehaviour;
use crate::target_standin::TargetCounts;
use crate::target_standin::TargetStandin;

/// Place of one target. Its ledger outlives its process.
pub struct TargetSlot {
    /// Name.
    pub name: Box<str>,
    /// Service.
    pub service: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Address.
    pub address: SocketAddr,
    behaviour: TargetBehaviour,
    ledger: Arc<ExecutionLedger>,
    process: Option<TargetStandin>,
}

impl TargetSlot {
    /// Starts a target on an address chosen by the system.
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
        let listen = |source| DeploymentError::Listen { part: name.clone(), source };
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let process =
            TargetStandin::start(name.clone(), any, behaviour.clone()).await.map_err(listen)?;
        let address = process.address();
        let ledger = process.ledger();
        let process = Some(process);
        Ok(Self { name, service, failure_domain, address, behaviour, ledger, process })
    }

    /// Ends the process as if it were killed.
    pub fn kill(&mut self) {
        drop(self.process.take());
        self.ledger.set_running(false);
    }

    /// Starts it again, cold, on the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address has been taken.
    pub async fn restart(&mut self) -> Result<(), DeploymentError> {
        self.kill();
        let (name, behaviour) = (self.name.clone(), self.behaviour.clone());
        let listen = |source| DeploymentError::Listen { part: self.name.clone(), source };
        let ledger = Arc::clone(&self.ledger);
        let process =
            TargetStandin::resume(name, self.address, behaviour, ledger).await.map_err(listen)?;
        self.process = Some(process);
        Ok(())
    }

    /// Changes how it behaves, now and after a restart.
    pub fn change(&mut self, change: impl FnOnce(&mut TargetBehaviour)) {
        change(&mut self.behaviour);
        if let Some(process) = &self.process {
            process.set_behaviour(self.behaviour.clone());
        }
    }

    /// Counts so far, those of earlier processes included.
    pub fn counts(&self) -> TargetCounts {
        self.ledger.counts()
    }

    /// Ledger of what it executed.
    pub fn ledger(&self) -> &ExecutionLedger {
        &self.ledger
    }

    /// Ledger to share.
    pub fn shared_ledger(&self) -> Arc<ExecutionLedger> {
        Arc::clone(&self.ledger)
    }

    /// Requests that it may run at once.
    pub fn slots(&self) -> u32 {
        self.behaviour.slots
    }
}
