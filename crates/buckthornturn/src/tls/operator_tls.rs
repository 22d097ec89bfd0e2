//! Client side of TLS connections to an operators' listener.

use std::io;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::crypto::ring;
use rustls::pki_types::ServerName;
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

use crate::tls::mesh_tls::read_roots;

/// Performs the TLS handshake with a host, whose certificate must come from the authority and name its IP address.
///
/// # Errors
///
/// Fails if the file of the authority cannot be read, or the authority did not certify the host.
pub async fn connect_tls(
    stream: TcpStream,
    address: IpAddr,
    authority: &Path,
) -> io::Result<TlsStream<TcpStream>> {
    let roots = read_roots(authority).map_err(io::Error::other)?;
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    TlsConnector::from(Arc::new(config)).connect(ServerName::from(address), stream).await
}
