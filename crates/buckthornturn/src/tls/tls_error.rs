//! Errors in certificates and private keys.

use std::path::PathBuf;

use rustls::pki_types::pem;
use snafu::Snafu;

/// Why TLS cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TlsError {
    /// A PEM file cannot be read or parsed.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadPem {
        /// Path of the PEM file.
        path: PathBuf,
        /// Error of the file system or the PEM parser.
        source: pem::Error,
    },
    /// A PEM file contains no certificate.
    #[snafu(display("{} contains no certificate", path.display()))]
    NoCertificate {
        /// Path of the PEM file.
        path: PathBuf,
    },
    /// A certificate and its private key do not match, or TLS cannot use them.
    #[snafu(display("the certificate in {} cannot be used with its key: {source}", path.display()))]
    UnusableCertificate {
        /// Path of the certificate file.
        path: PathBuf,
        /// Error of the TLS library.
        source: rustls::Error,
    },
    /// The certificates of an authority cannot be used to verify others.
    #[snafu(display("the authority in {} cannot be used: {reason}", path.display()))]
    UnusableAuthority {
        /// Path of the authority's PEM file.
        path: PathBuf,
        /// Message of the TLS library.
        reason: Box<str>,
    },
}
