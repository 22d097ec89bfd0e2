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

/// A running stand-in of the store; dropping it ends it, and what it holds is gone.
pub struct StoreStandin {
    server: HttpServer,
    service: Arc<StoreService>,
}

impl StoreStandin {
    /// Starts a store with nothing in it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
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

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Puts faults in place of those in force.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.service.set_faults(plan);
    }

    /// Puts a host into the host list.
    pub fn put_host(&self, name: &str, row: Value) {
        self.service.host_list().put_row(name, row, Instant::now());
    }

    /// Takes a host out of the host list.
    pub fn remove_host(&self, name: &str) {
        self.service.host_list().remove_row(name, Instant::now());
    }

    /// Sets how far the host list lags.
    pub fn set_host_lag(&self, lag: Duration) {
        self.service.host_list().set_lag(lag);
    }

    /// Counts of calls as answered by `GET /counters`.
    pub fn counters(&self) -> Value {
        self.service.counters().report()
    }
}
