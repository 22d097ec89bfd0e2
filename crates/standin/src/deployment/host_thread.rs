//! Runs a host on a thread of its own, so that it can be paused as a separate process could be.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use buckthornturn::HostProcess;
use buckthornturn::interface::StreamDialer;
use buckthornturn::settings::HostSettings;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Longest time for which a graceful shutdown waits for running requests.
const GRACEFUL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Request to end a host, with or without a graceful shutdown.
enum ShutdownRequest {
    Kill,
    Stop(oneshot::Sender<()>),
}

/// Addresses of the listeners of a running host, with the ports chosen by the system.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for other hosts.
    pub mesh: SocketAddr,
}

/// A running host. Dropping it ends the host without a graceful shutdown.
pub struct HostThread {
    runtime: Handle,
    addresses: HostAddresses,
    shutdown_sender: Option<oneshot::Sender<ShutdownRequest>>,
}

impl HostThread {
    /// Starts a host on a new thread and waits until its listeners are open.
    ///
    /// # Errors
    ///
    /// Fails with the text of the error if the thread or the host does not start.
    pub async fn start(
        settings: HostSettings,
        dialer: Arc<dyn StreamDialer>,
    ) -> Result<Self, Box<str>> {
        let (start_sender, start_receiver) = oneshot::channel();
        let (shutdown_sender, shutdown_receiver) = oneshot::channel();
        let error_text = |error: &dyn std::fmt::Display| -> Box<str> { error.to_string().into() };
        thread::Builder::new()
            .name(settings.host.to_string())
            .spawn(move || {
                let runtime = match Builder::new_current_thread().enable_all().build() {
                    Ok(runtime) => runtime,
                    Err(error) => return drop(start_sender.send(Err(error_text(&error)))),
                };
                let handle = runtime.handle().clone();
                runtime.block_on(async move {
                    match HostProcess::start_with_dialer(settings, dialer).await {
                        Ok(process) => {
                            let _ = start_sender.send(Ok((handle, bound_addresses(&process))));
                            run_until_shutdown(process, shutdown_receiver).await;
                        }
                        Err(error) => drop(start_sender.send(Err(error_text(&error)))),
                    }
                });
                runtime.shutdown_background();
            })
            .map_err(|error| error_text(&error))?;
        let (runtime, addresses) = start_receiver.await.map_err(|error| error_text(&error))??;
        Ok(Self { runtime, addresses, shutdown_sender: Some(shutdown_sender) })
    }

    /// Returns the addresses of the listeners.
    pub fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    /// Blocks the only thread of the host's runtime for `duration`: no task runs and no timer fires, but sockets stay open.
    pub fn pause(&self, duration: Duration) {
        self.runtime.spawn(async move { thread::sleep(duration) });
    }

    /// Shuts the host down gracefully and waits for the end.
    pub async fn stop(mut self) {
        let (stopped_sender, stopped_receiver) = oneshot::channel();
        if let Some(shutdown_sender) = self.shutdown_sender.take() {
            let _ = shutdown_sender.send(ShutdownRequest::Stop(stopped_sender));
            let _ = stopped_receiver.await;
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        if let Some(shutdown_sender) = self.shutdown_sender.take() {
            let _ = shutdown_sender.send(ShutdownRequest::Kill);
        }
    }
}

fn bound_addresses(process: &HostProcess) -> HostAddresses {
    HostAddresses {
        callers: process.caller_address(),
        operators: process.operator_address(),
        mesh: process.mesh_address(),
    }
}

async fn run_until_shutdown(
    process: HostProcess,
    shutdown_receiver: oneshot::Receiver<ShutdownRequest>,
) {
    match shutdown_receiver.await {
        Ok(ShutdownRequest::Stop(stopped_sender)) => {
            process.shutdown_gracefully(GRACEFUL_SHUTDOWN_TIMEOUT).await;
            let _ = stopped_sender.send(());
        }
        _ => drop(process),
    }
}
