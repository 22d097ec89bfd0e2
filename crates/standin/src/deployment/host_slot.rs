//! One entry host of a deployment, which can be ended and started again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::StreamDialer;
use buckthornturn::settings::HostSettings;
use serde_json::Value;
use serde_json::json;

use crate::deployment::DeploymentError;
use crate::deployment::host_thread::HostThread;

/// Place of one entry host: its settings, and its process while it runs.
pub struct HostSlot {
    /// Name.
    pub name: Box<str>,
    /// Failure domain.
    pub failure_domain: Box<str>,
    /// Region.
    pub region: Box<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other hosts.
    pub mesh: SocketAddr,
    process: Option<HostThread>,
}

impl HostSlot {
    /// A place without a process; the system chooses its addresses at the first start.
    pub fn new(name: Box<str>, failure_domain: Box<str>, region: Box<str>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (callers, operators, mesh) = (any_port, any_port, any_port);
        Self { name, failure_domain, region, callers, operators, mesh, process: None }
    }

    /// Lets the system choose addresses anew at the next start.
    pub fn reset_addresses(&mut self) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        (self.callers, self.operators, self.mesh) = (any_port, any_port, any_port);
    }

    /// Starts a process with settings in the place of one that has ended.
    ///
    /// # Errors
    ///
    /// Fails if the host does not start.
    pub async fn start(
        &mut self,
        common_settings: &Value,
        dialer: Arc<dyn StreamDialer>,
    ) -> Result<(), DeploymentError> {
        let start_error = |reason: String| DeploymentError::Host {
            host: self.name.clone(),
            reason: reason.into(),
        };
        let mut settings = json!({
            "host": self.name,
            "failure_domain": self.failure_domain,
            "region": self.region,
            "listeners": {
                "callers": self.callers, "operators": self.operators, "mesh": self.mesh,
            },
        });
        if let (Value::Object(settings), Value::Object(common_settings)) =
            (&mut settings, common_settings)
        {
            settings.extend(common_settings.clone());
        }
        let settings: HostSettings =
            serde_json::from_value(settings).map_err(|error| start_error(error.to_string()))?;
        let thread = HostThread::start(settings, dialer)
            .await
            .map_err(|reason| start_error(reason.into_string()))?;
        let addresses = thread.addresses();
        (self.callers, self.operators, self.mesh) =
            (addresses.callers, addresses.operators, addresses.mesh);
        self.process = Some(thread);
        Ok(())
    }

    /// Ends the process as if it were killed.
    pub fn kill(&mut self) {
        drop(self.process.take());
    }

    /// Ends the process gracefully.
    pub async fn stop(&mut self) {
        if let Some(process) = self.process.take() {
            process.stop().await;
        }
    }

    /// Stops everything in the process for a while.
    pub fn pause(&self, duration: Duration) {
        if let Some(process) = &self.process {
            process.pause(duration);
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Its row in the platform's host list.
    pub fn host_list_entry(&self, leaving: bool) -> Value {
        json!({
            "host": self.name, "failure_domain": self.failure_domain, "region": self.region,
            "mesh": self.mesh, "leaving": leaving,
        })
    }
}
