//! A certificate with its key, read again when its files change.

use std::fmt::Debug;
use std::fmt::Formatter;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rustls::SignatureScheme;
use rustls::client::ResolvesClientCert;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::ClientHello;
use rustls::server::ResolvesServerCert;
use rustls::sign::CertifiedKey;
use snafu::OptionExt;
use snafu::ResultExt;

use crate::tls::TlsError;
use crate::tls::tls_error::NoCertificateSnafu;
use crate::tls::tls_error::ReadPemSnafu;
use crate::tls::tls_error::UnusableCertificateSnafu;

/// A certificate with its key. A change of the files is taken by `reload`; connections made before keep what they
/// were made with.
pub struct CertificateCell {
    certificate_path: PathBuf,
    key_path: PathBuf,
    current: ArcSwap<CertifiedKey>,
}

impl CertificateCell {
    /// Reads certificate and key.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or they do not fit each other.
    pub fn open(certificate: &Path, key: &Path) -> Result<Self, TlsError> {
        let current = ArcSwap::from_pointee(read_certified_key(certificate, key)?);
        Ok(Self { certificate_path: certificate.into(), key_path: key.into(), current })
    }

    /// Reads the files again; returns whether the certificate is another one. What was there stays if they cannot
    /// be used.
    ///
    /// # Errors
    ///
    /// Fails as `open` does.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let next = read_certified_key(&self.certificate_path, &self.key_path)?;
        if next.cert == self.current.load().cert {
            return Ok(false);
        }
        self.current.store(Arc::new(next));
        Ok(true)
    }

    /// File of the certificate.
    pub fn certificate_path(&self) -> &Path {
        &self.certificate_path
    }
}

impl Debug for CertificateCell {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CertificateCell")
            .field("certificate", &self.certificate_path)
            .finish()
    }
}

impl ResolvesServerCert for CertificateCell {
    fn resolve(&self, _hello: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.load_full())
    }
}

impl ResolvesClientCert for CertificateCell {
    fn resolve(&self, _hints: &[&[u8]], _schemes: &[SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.current.load_full())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

/// Reads all certificates of a PEM file.
pub(crate) fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let certificates: Vec<_> = CertificateDer::pem_file_iter(path)
        .context(ReadPemSnafu { path })?
        .collect::<Result<_, _>>()
        .context(ReadPemSnafu { path })?;
    certificates.first().context(NoCertificateSnafu { path })?;
    Ok(certificates)
}

fn read_certified_key(certificate: &Path, key: &Path) -> Result<CertifiedKey, TlsError> {
    let chain = read_certificates(certificate)?;
    let private_key = PrivateKeyDer::from_pem_file(key).context(ReadPemSnafu { path: key })?;
    CertifiedKey::from_der(chain, private_key, &ring::default_provider())
        .context(UnusableCertificateSnafu { path: certificate })
}
