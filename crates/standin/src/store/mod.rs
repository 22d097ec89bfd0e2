//! Stand-in for the platform's object store.

mod call_counters;
mod fault_plan;
mod host_list;
mod object_table;
mod store_service;
mod write_condition;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

pub use crate::store::call_counters::CallCounters;
pub use crate::store::fault_plan::AnswerLoss;
pub use crate::store::fault_plan::FaultPlan;
pub use crate::store::host_list::HostList;
pub use crate::store::object_table::ObjectTable;
pub use crate::store::object_table::TableError;
pub use crate::store::write_condition::WriteCondition;

use crate::http_server::HttpServer;
use crate::store::store_service::StoreService;

/// Running stand-in for the store. Dropping it stops the server and deletes all objects.
pub struct StoreStandin {
    server: HttpServer,
    service: Arc<StoreService>,
}

impl StoreStandin {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Arc::new(StoreService::default());
        let shared = Arc::clone(&service);
        let server = HttpServer::start(address, move |request| {
            let service = Arc::clone(&shared);
            async move { service.serve(request).await }
        })
        .await?;
        Ok(Self { server, service })
    }

    /// Address that the server listens on, with the port that was chosen.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.service.set_faults(plan);
    }

    /// Adds a host's row to the host list or replaces it; readers see it after the lag.
    pub fn put_host(&self, name: &str, row: Value) {
        self.service.host_list().put_row(name, row, Instant::now());
    }

    /// Removes a host from the host list; readers see it after the lag.
    pub fn remove_host(&self, name: &str) {
        self.service.host_list().remove_row(name, Instant::now());
    }

    /// Sets the delay after which readers see changes of the host list.
    pub fn set_host_lag(&self, lag: Duration) {
        self.service.host_list().set_lag(lag);
    }

    /// Counts of calls in the JSON form of `GET /counters`.
    pub fn counters(&self) -> Value {
        self.service.counters().report()
    }
}
