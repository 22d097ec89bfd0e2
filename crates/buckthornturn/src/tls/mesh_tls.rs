//! Mutual TLS between hosts: both ends present a certificate of the mesh's authority.

use std::io;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::ServerName;
use rustls::server::WebPkiClientVerifier;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::client;
use tokio_rustls::server;

use crate::settings::MeshTlsSettings;
use crate::tls::CertificateCell;
use crate::tls::TlsError;
use crate::tls::certificate_cell::read_certificates;
use crate::tls::tls_error::UnusableCertificateSnafu;

/// Mutual TLS between hosts. A peer is accepted if its certificate comes from the mesh's authority. The certificate of a
/// peer that this host connects to must also name the IP address of the connection.
#[derive(Clone)]
pub struct MeshTls {
    acceptor: TlsAcceptor,
    connector: TlsConnector,
}

impl MeshTls {
    /// Reads the files named in the settings. Also returns the cell of this host's certificate, which the caller reloads
    /// when its files change; the authority is read only here.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or used.
    pub fn open(settings: &MeshTlsSettings) -> Result<(Self, Arc<CertificateCell>), TlsError> {
        let cell = Arc::new(CertificateCell::open(&settings.certificate, &settings.key)?);
        let roots = Arc::new(read_roots(&settings.authority)?);
        let provider = Arc::new(ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(|error| authority_error(&settings.authority, &error.to_string()))?;
        let path = &settings.certificate;
        let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .context(UnusableCertificateSnafu { path })?
            .with_client_cert_verifier(verifier)
            .with_cert_resolver(Arc::clone(&cell) as _);
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .context(UnusableCertificateSnafu { path })?
            .with_root_certificates(roots)
            .with_client_cert_resolver(Arc::clone(&cell) as _);
        let tls = Self {
            acceptor: TlsAcceptor::from(Arc::new(server)),
            connector: TlsConnector::from(Arc::new(client)),
        };
        Ok((tls, cell))
    }

    /// Performs the server side of the handshake with a peer. It has no timeout of its own.
    ///
    /// # Errors
    ///
    /// Fails if the peer presents no certificate of the authority.
    pub async fn accept(&self, stream: TcpStream) -> io::Result<server::TlsStream<TcpStream>> {
        self.acceptor.accept(stream).await
    }

    /// Performs the client side of the handshake with the peer at `address`. It has no timeout of its own.
    ///
    /// # Errors
    ///
    /// Fails if the peer presents no certificate of the authority for that address.
    pub async fn connect(
        &self,
        stream: TcpStream,
        address: IpAddr,
    ) -> io::Result<client::TlsStream<TcpStream>> {
        self.connector.connect(ServerName::from(address), stream).await
    }
}

/// Reads an authority's certificates from a PEM file.
pub(crate) fn read_roots(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(path)? {
        roots.add(certificate).map_err(|error| authority_error(path, &error.to_string()))?;
    }
    Ok(roots)
}

fn authority_error(path: &Path, reason: &str) -> TlsError {
    TlsError::UnusableAuthority { path: path.into(), reason: reason.into() }
}
