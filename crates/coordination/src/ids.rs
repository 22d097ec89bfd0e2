//! Identifier types that all modules share.

/// Name of an entry host, unique in the fleet.
pub type HostId = Box<str>;
/// Name of a failure domain.
pub type DomainId = Box<str>;
/// Name of a region.
pub type RegionId = Box<str>;
/// Name of a customer.
pub type CustomerId = Box<str>;
/// Name of a target.
pub type TargetId = Box<str>;
/// Name of a service.
pub type ServiceId = Box<str>;
/// Name of a route within its service.
pub type RouteId = Box<str>;
/// Name of a steering profile.
pub type ProfileId = Box<str>;
/// Public identifier of a caller's key; the key itself is never stored.
pub type KeyId = Box<str>;
/// Random identifier of one change, chosen by the host that appends it.
pub type ChangeId = Box<str>;
/// Number of a process start; a later process under the same host name has a larger number.
pub type Incarnation = u64;
/// Position in the configuration log; 0 means that no configuration is known.
pub type Revision = u64;
/// Era of the platform's store, which rises each time it comes back from an older copy; 0 for a store that names none.
pub type Era = u64;
/// Number that operators give a configuration; a later one has a larger number. 0 means that it is not known.
pub type ConfigurationNumber = u64;
/// Fencing number of an owner; a later owner has a larger number.
pub type Epoch = u64;
