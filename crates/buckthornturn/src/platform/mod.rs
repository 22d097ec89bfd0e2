//! The adapter to the users' platform: the only place that knows the names on its wire. It decodes each message once into
//! types of the product.

mod config_document;
mod store_answer;
mod store_source;
mod target_document;
mod wire_dialect;

pub use config_document::decode_configuration;
pub use store_source::StoreSource;
pub use target_document::decode_target;
pub use wire_dialect::WireDialect;

#[cfg(test)]
mod tests;
