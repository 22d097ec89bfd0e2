//! TLS for the listeners of one host.

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

/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// ALPN protocols that callers may choose from, in order of preference.
const CALLER_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];
/// ALPN protocols that operators may choose from.
const OPERATOR_PROTOCOLS: [&[u8]; 1] = [b"http/1.1"];

/// TLS for the listeners of one host. A listener without it accepts plain TCP.
#[derive(Clone, Default)]
pub struct HostTls {
    /// Acceptor for callers; `None` means plain TCP.
    pub callers: Option<TlsAcceptor>,
    /// Acceptor for operators; `None` means plain TCP.
    pub operators: Option<TlsAcceptor>,
    /// TLS for connections between hosts; `None` means plain TCP.
    pub mesh: Option<MeshTls>,
    certificates: Vec<Arc<CertificateCell>>,
    reload_interval: Duration,
}

impl HostTls {
    /// Reads the certificates and keys named in the settings.
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

    /// Reloads the certificates at the interval of the settings, until the task is dropped. A certificate that cannot be
    /// reloaded stays in use, and the failure is logged.
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

    /// Whether any listener has a certificate that may need to be reloaded.
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

/// Performs the TLS handshake on an accepted connection; without an acceptor the connection stays plain.
///
/// # Errors
///
/// Fails if the handshake fails or exceeds `HANDSHAKE_TIMEOUT`.
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
