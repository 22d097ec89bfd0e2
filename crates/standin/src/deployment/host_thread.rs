//! One host on a thread of its own, so that it can be paused as a process can.

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

/// Longest time that a host which is ended gracefully waits for its requests.
const GRACEFUL_LIMIT: Duration = Duration::from_secs(3);

/// How a host is to end.
enum EndOrder {
    Kill,
    Stop(oneshot::Sender<()>),
}

/// Addresses of a running host.
#[derive(Clone, Copy, Debug)]
pub struct HostAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other hosts.
    pub mesh: SocketAddr,
}

/// A running host. Dropping it ends the host as if it were killed.
pub struct HostThread {
    runtime: Handle,
    addresses: HostAddresses,
    order: Option<oneshot::Sender<EndOrder>>,
}

impl HostThread {
    /// Starts a host on a new thread.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the host does not start.
    pub async fn start(
        settings: HostSettings,
        dialer: Arc<dyn StreamDialer>,
    ) -> Result<Self, Box<str>> {
        let (started, start) = oneshot::channel();
        let (order, end) = oneshot::channel();
        let fail = |error: &dyn std::fmt::Display| -> Box<str> { error.to_string().into() };
        thread::Builder::new()
            .name(settings.host.to_string())
            .spawn(move || {
                let runtime = match Builder::new_current_thread().enable_all().build() {
                    Ok(runtime) => runtime,
                    Err(error) => return drop(started.send(Err(fail(&error)))),
                };
                let handle = runtime.handle().clone();
                runtime.block_on(async move {
                    match HostProcess::start_with_dialer(settings, dialer).await {
                        Ok(process) => {
                            let _ = started.send(Ok((handle, addresses_of(&process))));
                            run_to_end(process, end).await;
                        }
                        Err(error) => drop(started.send(Err(fail(&error)))),
                    }
                });
                runtime.shutdown_background();
            })
            .map_err(|error| fail(&error))?;
        let (runtime, addresses) = start.await.map_err(|error| fail(&error))??;
        Ok(Self { runtime, addresses, order: Some(order) })
    }

    /// Its addresses.
    pub fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    /// Stops everything in the host for a while: no task runs and no timer fires, but its sockets stay open.
    pub fn pause(&self, duration: Duration) {
        self.runtime.spawn(async move { thread::sleep(duration) });
    }

    /// Ends the host gracefully.
    pub async fn stop(mut self) {
        let (stopped, stop) = oneshot::channel();
        if let Some(order) = self.order.take() {
            let _ = order.send(EndOrder::Stop(stopped));
            let _ = stop.await;
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        if let Some(order) = self.order.take() {
            let _ = order.send(EndOrder::Kill);
        }
    }
}

fn addresses_of(process: &HostProcess) -> HostAddresses {
    HostAddresses {
        callers: process.caller_address(),
        operators: process.operator_address(),
        mesh: process.mesh_address(),
    }
}

async fn run_to_end(process: HostProcess, end: oneshot::Receiver<EndOrder>) {
    match end.await {
        Ok(EndOrder::Stop(stopped)) => {
            process.shutdown_gracefully(GRACEFUL_LIMIT).await;
            let _ = stopped.send(());
        }
        _ => drop(process),
    }
}
