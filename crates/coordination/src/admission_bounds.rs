//! Bounds of the connections and bytes of a whole process.

/// Purpose of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionRole {
    /// From a caller, with requests to targets.
    Caller,
    /// With look-ups.
    LookUp,
    /// With readiness checks.
    Readiness,
    /// From another host.
    Mesh,
    /// With scrapes of metrics.
    Metrics,
    /// To a target, to another host or to the store.
    Outgoing,
}

impl ConnectionRole {
    /// All roles, in the order of their declaration.
    pub const ALL: [Self; 6] =
        [Self::Caller, Self::LookUp, Self::Readiness, Self::Mesh, Self::Metrics, Self::Outgoing];

    /// Name of the role in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "callers",
            Self::LookUp => "look-ups",
            Self::Readiness => "readiness",
            Self::Mesh => "mesh",
            Self::Metrics => "metrics",
            Self::Outgoing => "outgoing",
        }
    }

    /// Whether a connection may be evicted. Outgoing ones carry requests that run.
    pub fn is_evictable(self) -> bool {
        self != Self::Outgoing
    }
}

/// Connections of all roles where the settings state no descriptors. Callers are bounded apart from it.
const DEFAULT_CONNECTIONS: usize = 16_384;
/// Descriptors that the platform reserves on each machine.
const RESERVED_DESCRIPTORS: usize = 200;
/// Descriptors of the process that are no connections: listeners, poll, timers, output.
const OWN_DESCRIPTORS: usize = 36;
/// Most evicted connections that are not closed yet.
const MAX_CLOSING: usize = 64;
/// Memory of a process at rest, in bytes.
const REST_BYTES: usize = 32 << 20;
/// Bytes that an idle connection takes: read buffer, write buffer and the state of its task.
const CONNECTION_BYTES: usize = 16 << 10;
/// Fewest connections and bytes of buffers, however small the limits are.
const MIN_CONNECTIONS: usize = 64;
const MIN_BYTES: usize = 2 << 20;

/// Bounds of the connections and bytes of a whole process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionBounds {
    /// Largest number of connections of all roles, without evicted ones that are still open.
    pub connections: usize,
    /// Largest number of evicted connections that are still open.
    pub closing: usize,
    /// Largest number of bytes of all buffers.
    pub bytes: usize,
}

impl Default for AdmissionBounds {
    fn default() -> Self {
        Self { connections: DEFAULT_CONNECTIONS, closing: MAX_CLOSING, bytes: usize::MAX }
    }
}

impl AdmissionBounds {
    /// Bounds of a process that may take so much memory and so many descriptors; `None` leaves the default.
    pub fn from_limits(memory_mb: Option<u64>, max_descriptors: Option<u64>) -> Self {
        let default = Self::default();
        let number = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let by_descriptors = max_descriptors.map_or(default.connections, |descriptors| {
            let taken = RESERVED_DESCRIPTORS + OWN_DESCRIPTORS + default.closing;
            number(descriptors).saturating_sub(taken)
        });
        let Some(memory) = memory_mb.map(|megabytes| number(megabytes).saturating_mul(1 << 20))
        else {
            return Self { connections: by_descriptors.max(MIN_CONNECTIONS), ..default };
        };
        // An eighth is left for what the allocator cannot use again; connections take at most two thirds of the rest.
        let usable = (memory - memory / 8).saturating_sub(REST_BYTES);
        let by_memory = usable / 3 * 2 / CONNECTION_BYTES;
        let connections = by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        let bytes = usable.saturating_sub((connections + default.closing) * CONNECTION_BYTES);
        Self { connections, bytes: bytes.max(MIN_BYTES), ..default }
    }

    /// Connections of a role that no other role can take.
    pub fn assured_connections(&self, role: ConnectionRole) -> usize {
        match role {
            ConnectionRole::Caller => self.connections / 4,
            ConnectionRole::Outgoing => self.connections / 8,
            ConnectionRole::LookUp | ConnectionRole::Readiness | ConnectionRole::Mesh => {
                self.connections / 32
            }
            ConnectionRole::Metrics => self.connections / 64,
        }
    }

    /// Largest number of connections of a role.
    pub fn max_connections(&self, role: ConnectionRole) -> usize {
        match role {
            ConnectionRole::Caller | ConnectionRole::Outgoing => self.connections,
            ConnectionRole::LookUp | ConnectionRole::Readiness | ConnectionRole::Mesh => {
                self.connections / 4
            }
            ConnectionRole::Metrics => self.connections / 32,
        }
    }

    /// Largest number of bytes for a use.
    pub(crate) fn max_bytes(&self, byte_use: ByteUse) -> usize {
        match byte_use {
            ByteUse::Optional => self.bytes / 4 * 3,
            ByteUse::Needed => self.bytes,
        }
    }
}

/// Purpose of buffered bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ByteUse {
    /// The request can go on without them: a start that is kept for a retry, or an answer that is read ahead.
    Optional,
    /// The request is refused without them.
    Needed,
}
