//! Selection of the entry hosts that a caller is sent to.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use spdlog::debug;

use crate::callers::SteerAnswer;
use crate::callers::SteerHost;
use crate::configuration::ConfigurationCell;
use crate::interface::MemberView;
use crate::interface::SteerLookup;
use crate::interface::SteerSource;
use crate::steering::SteeringPlan;
use crate::steering::block_counters::BlockCounters;
use crate::steering::block_counters::block_hash;
use crate::steering::block_counters::mix_hashes;
use crate::steering::host_directory::DirectoryDomain;
use crate::steering::host_directory::HostDirectory;

/// Time for which a caller may use an answer, in seconds.
const TTL_SECONDS: u64 = 5;
/// Time after which the counts of look-ups are halved, equal to the lifetime of an answer.
const DECAY_INTERVAL: Duration = Duration::from_secs(TTL_SECONDS);
/// Largest number of hosts in one answer.
const MAX_HOSTS: usize = 4;
/// Weight below which a failure domain counts as having no capacity; also the smallest divisor of a score.
const MIN_DOMAIN_WEIGHT: f64 = 1e-6;

/// Answers look-ups: failure domains drawn by weight for the caller's block, and hosts drawn within each.
///
/// Every host draws with the same hashes, so a caller gets the same answer from each of them, and keeps its hosts while
/// the weights do not change. Only a block with many look-ups is spread over more hosts, see `BlockCounters`.
pub struct CallerSteering {
    own_host: SteerHost,
    configuration: ConfigurationCell,
    plan: Arc<ArcSwap<SteeringPlan>>,
    directory: ArcSwap<HostDirectory>,
    block_counters: BlockCounters,
    decayed_at: Mutex<Instant>,
}

struct RankedDomain<'a> {
    domain: &'a DirectoryDomain,
    region_rank: usize,
    has_no_capacity: bool,
    score: f64,
}

impl CallerSteering {
    /// Creates the steering of `own_host`, which is the only host in answers while no other is known.
    pub fn new(
        own_host: SteerHost,
        configuration: ConfigurationCell,
        plan: Arc<ArcSwap<SteeringPlan>>,
    ) -> Self {
        Self {
            own_host,
            configuration,
            plan,
            directory: ArcSwap::default(),
            block_counters: BlockCounters::default(),
            decayed_at: Mutex::new(Instant::now()),
        }
    }

    /// Replaces the hosts that callers may be sent to by the usable ones among `members`.
    pub fn set_members(&self, members: &MemberView) {
        let directory = HostDirectory::new(members);
        if **self.directory.load() != directory {
            self.directory.store(Arc::new(directory));
        }
    }

    /// Halves the counts of look-ups if `DECAY_INTERVAL` has passed since the last time.
    pub(crate) fn decay_block_counts(&self, now: Instant) {
        let mut decayed_at = self.decayed_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.saturating_duration_since(*decayed_at) >= DECAY_INTERVAL {
            *decayed_at = now;
            self.block_counters.halve_counts();
        }
    }

    /// Failure domains, best first: those with capacity for the service's callers before the others, then by the order
    /// of regions for the caller's address, then by weighted rendezvous hashing.
    fn rank_domains<'a>(
        &self,
        directory: &'a HostDirectory,
        lookup: &SteerLookup,
        seed: u64,
    ) -> Vec<RankedDomain<'a>> {
        let plan = self.plan.load();
        let state = self.configuration.load();
        let regions = state.regions_for(lookup.caller);
        let service = lookup.service.as_ref().and_then(|service| plan.services.get(service));
        let mut ranked_domains: Vec<_> = directory
            .domains
            .iter()
            .map(|(name, domain)| {
                let weight = match service {
                    None => 1.0,
                    Some(domains) => domains.get(name).map_or(0.0, |planned| {
                        f64::from(planned.slots) * planned.position.caller_weight()
                    }),
                };
                let region_rank = regions.iter().position(|region| *region == domain.region);
                RankedDomain {
                    domain,
                    region_rank: region_rank.unwrap_or(regions.len()),
                    has_no_capacity: weight < MIN_DOMAIN_WEIGHT,
                    score: exponential_sample(mix_hashes(seed, domain.hash))
                        / weight.max(MIN_DOMAIN_WEIGHT),
                }
            })
            .collect();
        ranked_domains.sort_by(|a, b| {
            let order = (a.has_no_capacity, a.region_rank).cmp(&(b.has_no_capacity, b.region_rank));
            order.then(a.score.total_cmp(&b.score))
        });
        ranked_domains
    }
}

impl SteerSource for CallerSteering {
    fn steer(&self, lookup: &SteerLookup) -> SteerAnswer {
        let block = block_hash(lookup.caller);
        let seed = mix_hashes(block, self.block_counters.count_lookup(block));
        let directory = self.directory.load();
        let ranked_domains = self.rank_domains(&directory, lookup, seed);
        let (nearest, rest) = ranked_domains.split_at(ranked_domains.len().min(MAX_HOSTS / 2));
        let host_pairs: Vec<_> =
            nearest.iter().map(|ranked| two_best_hosts(ranked.domain, seed)).collect();
        let firsts = host_pairs.iter().filter_map(|pair| pair[0]);
        let seconds = host_pairs.iter().filter_map(|pair| pair[1]);
        let others = rest.iter().filter_map(|ranked| two_best_hosts(ranked.domain, seed)[0]);
        let mut hosts: Vec<SteerHost> =
            firsts.chain(seconds).chain(others).take(MAX_HOSTS).cloned().collect();
        if hosts.is_empty() {
            hosts.push(self.own_host.clone());
        }
        debug!("callers steered", kv: {
            service:? = lookup.service, first: = hosts[0].address, domains = ranked_domains.len()
        });
        SteerAnswer { hosts, ttl_seconds: TTL_SECONDS }
    }
}

/// The two hosts of a failure domain with the lowest hashes for `seed`, lowest first.
fn two_best_hosts(domain: &DirectoryDomain, seed: u64) -> [Option<&SteerHost>; 2] {
    let mut best: [Option<(u64, &SteerHost)>; 2] = [None, None];
    for entry in &domain.hosts {
        let candidate = (mix_hashes(seed, entry.hash), &entry.host);
        match best {
            [Some(first), second] if first.0 <= candidate.0 => {
                if second.is_none_or(|second| candidate.0 < second.0) {
                    best[1] = Some(candidate);
                }
            }
            [first, _] => best = [Some(candidate), first],
        }
    }
    best.map(|candidate| candidate.map(|(_, host)| host))
}

/// Converts evenly distributed bits to an exponentially distributed number. If several such numbers are each divided by
/// a weight, the probability that a number is the smallest is proportional to its weight.
fn exponential_sample(bits: u64) -> f64 {
    let uniform = ((bits >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln()
}
