//! HTTP client of the platform's object store, with a call budget, a circuit breaker and coalesced reads.

mod connection_pool;
mod http_reader;
mod http_store;
mod read_coalescer;
mod store_guard;

pub(crate) use connection_pool::ConnectionPool;
pub(crate) use http_reader::HttpReader;
pub use http_store::HttpStore;
pub use store_guard::StoreCallCount;
pub use store_guard::StoreCallKind;
pub use store_guard::StoreGuard;

#[cfg(test)]
mod tests;
