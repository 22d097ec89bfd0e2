//! An entry host of a deployment, which can be stopped and started again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::StreamDialer;
use buckthornturn::settings::HostSettings;
use serde_json::Value;
use serde_json::json;

use crate::deployment::DeploymentError;
use crate::deployment::host_thread::HostThread;

/// Identity and addresses of an entry host, and its process while it runs.
pub struct HostSlot {
    /// Name of the host in its settings and in the host list.
    pub name: Box<str>,
    /// Failure domain in which the host runs.
    pub failure_domain: Box<str>,
    /// Region of the failure domain.
    pub region: Box<str>,
    /// Address of the listener for callers; port 0 before the first start.
    pub callers: SocketAddr,
    /// Address of the listener for operators; port 0 before the first start.
    pub operators: SocketAddr,
    /// Address of the listener for other hosts; port 0 before the first start.
    pub mesh: SocketAddr,
    process: Option<HostThread>,
}

impl HostSlot {
    /// Creates a slot without a process. The system chooses the ports at the first start.
    pub fn new(name: Box<str>, failure_domain: Box<str>, region: Box<str>) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (callers, operators, mesh) = (any_port, any_port, any_port);
        Self { name, failure_domain, region, callers, operators, mesh, process: None }
    }

    /// Lets the system choose new ports at the next start.
    pub fn reset_addresses(&mut self) {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        (self.callers, self.operators, self.mesh) = (any_port, any_port, any_port);
    }

    /// Starts the host with its own settings and those in `common_settings`, which are the same for all hosts.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid or the host does not start, for instance because an address is in use.
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

    /// Ends the host without a graceful shutdown, as a kill signal would. Does nothing if it does not run.
    pub fn kill(&mut self) {
        drop(self.process.take());
    }

    /// Shuts the host down gracefully and waits for the end. Does nothing if it does not run.
    pub async fn stop(&mut self) {
        if let Some(process) = self.process.take() {
            process.stop().await;
        }
    }

    /// Suspends every task of the host for `duration`. Does nothing if it does not run.
    pub fn pause(&self, duration: Duration) {
        if let Some(process) = &self.process {
            process.pause(duration);
        }
    }

    /// Returns whether the host was started and not ended since; a paused host counts as running.
    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Returns the entry of the host in the platform's host list, in the form that the store serves.
    pub fn host_list_entry(&self, leaving: bool) -> Value {
        json!({
            "host": self.name, "failure_domain": self.failure_domain, "region": self.region,
            "mesh": self.mesh, "leaving": leaving,
        })
    }
}
