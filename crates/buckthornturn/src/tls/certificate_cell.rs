//! Certificate and private key that can be replaced while listeners use them.

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

/// Certificate chain with its private key. `reload` replaces it when the files have changed; established connections
/// keep the certificate that they were opened with.
pub struct CertificateCell {
    certificate_path: PathBuf,
    key_path: PathBuf,
    current: ArcSwap<CertifiedKey>,
}

impl CertificateCell {
    /// Reads the certificate chain and the private key from PEM files.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, or the key does not belong to the certificate.
    pub fn open(certificate: &Path, key: &Path) -> Result<Self, TlsError> {
        let current = ArcSwap::from_pointee(read_certified_key(certificate, key)?);
        Ok(Self { certificate_path: certificate.into(), key_path: key.into(), current })
    }

    /// Reads the files again and returns whether the certificate has changed. On an error the current certificate stays
    /// in use. A new key for an unchanged certificate is not loaded.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as `open`.
    pub fn reload(&self) -> Result<bool, TlsError> {
        let next = read_certified_key(&self.certificate_path, &self.key_path)?;
        if next.cert == self.current.load().cert {
            return Ok(false);
        }
        self.current.store(Arc::new(next));
        Ok(true)
    }

    /// Path of the certificate file.
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

/// Reads all certificates of a PEM file; a file without any is an error.
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
