//! Settings of TLS.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

const DEFAULT_RELOAD_SECONDS: u64 = 30;

/// Certificates of a host's listeners; a listener without one is plain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct TlsSettings {
    /// For callers.
    pub callers: Option<ServerTlsSettings>,
    /// For operators.
    pub operators: Option<ServerTlsSettings>,
    /// Between hosts.
    pub mesh: Option<MeshTlsSettings>,
    /// Time between looks at the files, in seconds; 30 if not given.
    pub reload_seconds: Option<u64>,
}

impl TlsSettings {
    /// Time between looks at the files.
    pub fn reload_interval(&self) -> Duration {
        Duration::from_secs(self.reload_seconds.unwrap_or(DEFAULT_RELOAD_SECONDS))
    }
}

/// A listener's certificate.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerTlsSettings {
    /// PEM file of the certificate and those between it and its authority.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

/// A host's certificate towards other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MeshTlsSettings {
    /// PEM file of the certificate, for the IP address of the mesh listener.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
    /// PEM file of the authority that certifies hosts, and nobody else.
    pub authority: PathBuf,
}
