//! Cache of the look-ups that name the entry hosts of a service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Request;
use http_body_util::BodyExt;
use http_body_util::Limited;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::Deserialize;
use tokio::sync::Mutex as AsyncMutex;

use crate::load::connection_pool::ConnectionPool;
use crate::load::request_body::empty_body;

const LOOK_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a host that failed to answer is tried after all others.
const AVOID_DURATION: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// One entry host in the answer to a look-up.
#[derive(Clone, Debug, Deserialize)]
pub struct SteeredHost {
    /// Address on which the host accepts callers.
    pub address: SocketAddr,
    /// Failure domain of the host; `None` if the answer does not name it.
    #[serde(default)]
    pub failure_domain: Option<Box<str>>,
}

#[derive(Deserialize)]
struct SteeringAnswer {
    hosts: Vec<SteeredHost>,
    ttl_seconds: f64,
}

#[derive(Clone)]
struct CachedAnswer {
    hosts: Arc<[SteeredHost]>,
    expires_at: Instant,
}

/// Answers to look-ups by service, each valid for the time to live that it states.
pub struct SteeringCache {
    entry_hosts: Vec<SocketAddr>,
    pool: ConnectionPool,
    answers: Mutex<IndexMap<Box<str>, CachedAnswer>>,
    failed_until: Mutex<IndexMap<SocketAddr, Instant>>,
    look_up_lock: AsyncMutex<()>,
}

impl SteeringCache {
    /// Creates a cache that sends look-ups to `entry_hosts` over connections of `pool`.
    pub fn new(entry_hosts: Vec<SocketAddr>, pool: ConnectionPool) -> Self {
        Self {
            entry_hosts,
            pool,
            answers: Mutex::default(),
            failed_until: Mutex::default(),
            look_up_lock: AsyncMutex::default(),
        }
    }

    /// Hosts for a service in the order of the answer, those that failed recently at the end.
    pub async fn hosts_for(&self, service: &str) -> Vec<SteeredHost> {
        let mut hosts = self.current_answer(service).await.to_vec();
        let now = Instant::now();
        let failed_until = self.failed_until.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.sort_by_key(|host| failed_until.get(&host.address).is_some_and(|until| now < *until));
        hosts
    }

    /// Records that a host failed to answer, so that others are tried before it for `AVOID_DURATION`.
    pub fn record_failure(&self, address: SocketAddr) {
        let mut failed_until = self.failed_until.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        failed_until.retain(|_, until| now < *until);
        failed_until.insert(address, now + AVOID_DURATION);
    }

    /// Returns the current hosts of a service. An expired answer stays in use while another look-up is in progress or if no
    /// host answers the look-up. Without any answer the entry hosts are used.
    async fn current_answer(&self, service: &str) -> Arc<[SteeredHost]> {
        let cached = self.cached(service);
        let guard = match &cached {
            Some(answer) if Instant::now() < answer.expires_at => return Arc::clone(&answer.hosts),
            Some(answer) => match self.look_up_lock.try_lock() {
                Ok(guard) => guard,
                Err(_) => return Arc::clone(&answer.hosts),
            },
            None => self.look_up_lock.lock().await,
        };
        let fresh = self.cached(service).filter(|answer| Instant::now() < answer.expires_at);
        let answer = match fresh {
            Some(answer) => Some(answer),
            None => self.look_up(service).await,
        };
        drop(guard);
        match answer.or(cached) {
            Some(answer) => {
                self.answers().insert(service.into(), answer.clone());
                answer.hosts
            }
            None => {
                let host =
                    |address: &SocketAddr| SteeredHost { address: *address, failure_domain: None };
                self.entry_hosts.iter().map(host).collect()
            }
        }
    }

    /// Expires the answer for a service, so that the next request sends a new look-up.
    pub fn expire_answer(&self, service: &str) {
        if let Some(answer) = self.answers().get_mut(service) {
            answer.expires_at = Instant::now();
        }
    }

    fn cached(&self, service: &str) -> Option<CachedAnswer> {
        self.answers().get(service).cloned()
    }

    fn answers(&self) -> MutexGuard<'_, IndexMap<Box<str>, CachedAnswer>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn look_up(&self, service: &str) -> Option<CachedAnswer> {
        let mut addresses = self.entry_hosts.clone();
        addresses.shuffle(&mut rand::rng());
        for address in addresses {
            let answer =
                tokio::time::timeout(LOOK_UP_TIMEOUT, self.request_hosts(address, service)).await;
            match answer.ok().flatten() {
                Some(body) if !body.hosts.is_empty() => {
                    let expires_at =
                        Instant::now() + Duration::from_secs_f64(body.ttl_seconds.max(0.1));
                    return Some(CachedAnswer { hosts: body.hosts.into(), expires_at });
                }
                _ => {}
            }
        }
        None
    }

    async fn request_hosts(&self, address: SocketAddr, service: &str) -> Option<SteeringAnswer> {
        let mut sender = self.pool.acquire(address).await?;
        let request = Request::get(format!("/.well-known/buckthornturn/steer?service={service}"))
            .header("host", address.to_string())
            .body(empty_body())
            .ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await.ok()?;
        self.pool.release(address, sender);
        serde_json::from_slice(&body.to_bytes()).ok()
    }
}
