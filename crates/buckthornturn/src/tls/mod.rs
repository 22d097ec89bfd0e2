//! TLS for listeners and for connections between hosts. Renewed certificates are loaded without a restart.

mod certificate_cell;
mod host_tls;
mod mesh_tls;
mod operator_tls;
#[cfg(test)]
mod tests;
mod tls_error;

pub use certificate_cell::CertificateCell;
pub use host_tls::HostTls;
pub use host_tls::accept_tls;
pub use mesh_tls::MeshTls;
pub use operator_tls::connect_tls;
pub use tls_error::TlsError;
