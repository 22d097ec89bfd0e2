//! TLS of one host's listeners.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use rustls::ServerConfig;
use rustls::crypto::ring;
use snafu::ResultExt;
use spdlog::error;
use spdlog::info;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;

use crate::settings::ServerTlsSettings;
use crate::settings::TlsSettings;
use crate::tls::CertificateCell;
use crate::tls::MeshTls;
use crate::tls::TlsError;
use crate::tls::tls_error::UnusableCertificateSnafu;

/// Longest time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
const CALLER_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];
const OPERATOR_PROTOCOLS: [&[u8]; 1] = [b"http/1.1"];

/// TLS of one host's listeners; a listener without it is plain.
#[derive(Clone, Default)]
pub struct HostTls {
    /// For callers.
    pub callers: Option<TlsAcceptor>,
    /// For operators.
    pub operators: Option<TlsAcceptor>,
    /// Between hosts.
    pub mesh: Option<MeshTls>,
    certificates: Vec<Arc<CertificateCell>>,
    reload_interval: Duration,
}

impl HostTls {
    /// TLS as the settings say.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or used.
    pub fn open(settings: &TlsSettings) -> Result<Self, TlsError> {
        let mut tls = Self { reload_interval: settings.reload_interval(), ..Self::default() };
        tls.callers = tls.open_acceptor(settings.callers.as_ref(), &CALLER_PROTOCOLS)?;
        tls.operators = tls.open_acceptor(settings.operators.as_ref(), &OPERATOR_PROTOCOLS)?;
        if let Some(mesh) = &settings.mesh {
            let (mesh, cell) = MeshTls::open(mesh)?;
            tls.mesh = Some(mesh);
            tls.certificates.push(cell);
        }
        Ok(tls)
    }

    /// Takes renewed certificates for as long as the task runs.
    pub async fn reload_certificates(self) {
        loop {
            tokio::time::sleep(self.reload_interval).await;
            for cell in &self.certificates {
                let certificate = cell.certificate_path().display();
                match cell.reload() {
                    Ok(true) => info!("certificate renewed", kv: { certificate: }),
                    Ok(false) => {}
                    Err(reason) => error!("certificate not renewed", kv: { certificate:, reason: }),
                }
            }
        }
    }

    /// Whether there is a certificate to renew.
    pub fn has_certificates(&self) -> bool {
        !self.certificates.is_empty()
    }

    fn open_acceptor(
        &mut self,
        settings: Option<&ServerTlsSettings>,
        protocols: &[&[u8]],
    ) -> Result<Option<TlsAcceptor>, TlsError> {
        let Some(settings) = settings else { return Ok(None) };
        let cell = Arc::new(CertificateCell::open(&settings.certificate, &settings.key)?);
        self.certificates.push(Arc::clone(&cell));
        let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
            .with_safe_default_protocol_versions()
            .context(UnusableCertificateSnafu { path: &settings.certificate })?
            .with_no_client_auth()
            .with_cert_resolver(cell);
        config.alpn_protocols = protocols.iter().map(|protocol| protocol.to_vec()).collect();
        Ok(Some(TlsAcceptor::from(Arc::new(config))))
    }
}

/// Takes a connection, with a handshake if there is an acceptor.
///
/// # Errors
///
/// Fails if the handshake fails or takes too long.
pub async fn accept_tls(
    acceptor: Option<&TlsAcceptor>,
    stream: TcpStream,
) -> io::Result<Either<TcpStream, TlsStream<TcpStream>>> {
    match acceptor {
        None => Ok(Either::Left(stream)),
        Some(acceptor) => {
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
            handshake.await.map_err(io::Error::from)?.map(Either::Right)
        }
    }
}
