//! Settings of TLS: certificates of callers', operators' and mesh listeners.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

const DEFAULT_RELOAD_SECONDS: u64 = 30;

/// Certificates of a host's listeners. A listener without a certificate uses plain TCP.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate of the listener for callers.
    pub callers: Option<ServerTlsSettings>,
    /// Certificate of the listener for operators.
    pub operators: Option<ServerTlsSettings>,
    /// Certificate and authority for connections between hosts, in both directions.
    pub mesh: Option<MeshTlsSettings>,
    /// Time between checks whether the files have changed, in seconds; 30 if not given.
    pub reload_seconds: Option<u64>,
}

impl TlsSettings {
    /// Time between checks whether the files have changed.
    pub fn reload_interval(&self) -> Duration {
        Duration::from_secs(self.reload_seconds.unwrap_or(DEFAULT_RELOAD_SECONDS))
    }
}

/// Files of a listener's certificate and private key.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerTlsSettings {
    /// PEM file of the certificate chain: the certificate, followed by the intermediate certificates.
    pub certificate: PathBuf,
    /// PEM file of the certificate's private key.
    pub key: PathBuf,
}

/// Files with which a host authenticates itself to other hosts and verifies them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MeshTlsSettings {
    /// PEM file of the certificate, which must be issued for the IP address of the mesh listener.
    pub certificate: PathBuf,
    /// PEM file of the certificate's private key.
    pub key: PathBuf,
    /// PEM file of the certificate authority. It must certify hosts only, as each of its certificates is accepted as a
    /// host.
    pub authority: PathBuf,
}
