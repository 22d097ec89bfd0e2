//! Adapter to the users' platform. Only this module uses the names of the platform's wire formats; it decodes each message
//! once into the product's own types.

mod config_document;
mod crash_objects;
mod store_answer;
mod store_source;
mod target_document;
mod unreadable_entries;
mod whole_number;
mod wire_dialect;

pub use config_document::decode_configuration;
pub use store_source::StoreSource;
pub use target_document::decode_target;
pub use wire_dialect::WireDialect;

#[cfg(test)]
mod tests;
