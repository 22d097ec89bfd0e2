//! Errors of certificates and keys.

use std::path::PathBuf;

use rustls::pki_types::pem;
use snafu::Snafu;

/// Why TLS cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A PEM file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadPem {
        /// File.
        path: PathBuf,
        /// Cause.
        source: pem::Error,
    },
    /// A file holds no certificate.
    #[snafu(display("{} holds no certificate", path.display()))]
    NoCertificate {
        /// File.
        path: PathBuf,
    },
    /// Certificate and key do not fit each other, or cannot be used.
    #[snafu(display("{} with its key cannot be used: {source}", path.display()))]
    UnusableCertificate {
        /// File of the certificate.
        path: PathBuf,
        /// Cause.
        source: rustls::Error,
    },
    /// The authority cannot be used.
    #[snafu(display("the authority in {} cannot be used: {reason}", path.display()))]
    UnusableAuthority {
        /// File.
        path: PathBuf,
        /// Cause.
        reason: Box<str>,
    },
}
