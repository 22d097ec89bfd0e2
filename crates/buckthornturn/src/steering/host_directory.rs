//! Entry hosts that callers may be sent to.

use coordination::ids::DomainId;
use indexmap::IndexMap;

use crate::callers::SteerHost;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::steering::block_counters::hash_text;

/// One entry host, with the hash of its name by which it is drawn.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DirectoryHost {
    pub(crate) host: SteerHost,
    pub(crate) hash: u64,
}

/// Entry hosts of one failure domain, with the hash of the domain's name by which it is drawn.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct DirectoryDomain {
    pub(crate) hash: u64,
    pub(crate) region: Box<str>,
    pub(crate) hosts: Vec<DirectoryHost>,
}

/// Entry hosts that callers may be sent to, by failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct HostDirectory {
    pub(crate) domains: IndexMap<DomainId, DirectoryDomain>,
}

impl HostDirectory {
    /// Lists the live hosts that accept callers, and the suspect ones of failure domains without a live host. Leaving
    /// hosts are never listed.
    pub(crate) fn new(view: &MemberView) -> Self {
        let mut directory = Self::default();
        for health in [MemberHealth::Live, MemberHealth::Suspect] {
            let domains_with_hosts: Vec<DomainId> = directory.domains.keys().cloned().collect();
            for member in view.members.iter().filter(|member| member.health == health) {
                let Some(address) = member.callers else { continue };
                if domains_with_hosts.contains(&member.failure_domain) {
                    continue;
                }
                let domain = directory.domains.entry(member.failure_domain.clone());
                let domain = domain.or_insert_with(|| DirectoryDomain {
                    hash: hash_text(&member.failure_domain),
                    region: member.region.clone(),
                    hosts: Vec::new(),
                });
                let host = SteerHost {
                    address,
                    failure_domain: member.failure_domain.clone(),
                    region: member.region.clone(),
                };
                domain.hosts.push(DirectoryHost { host, hash: hash_text(&member.host) });
            }
        }
        directory
    }
}
