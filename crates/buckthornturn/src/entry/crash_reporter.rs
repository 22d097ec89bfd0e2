//! Tells the other hosts of requests that crash targets, and asks their keepers for trials.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::CrashChange;
use coordination::fleet::CrashReport;
use coordination::fleet::HostPhase;
use coordination::fleet::RequestFingerprint;
use coordination::fleet::TrialGrant;
use coordination::fleet::select_crash_keepers;
use coordination::ids::TargetId;
use indexmap::IndexMap;
use spdlog::info;
use spdlog::warn;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::entry::EntryCore;
use crate::entry::EntryState;
use crate::entry::MeshClient;
use crate::entry::mesh_datagram::MeshDatagram;

/// Wait that is told if the keeper of a request does not answer.
const UNANSWERED_WAIT: Duration = Duration::from_millis(500);

/// Sends and receives reports of crashes over the mesh socket.
pub struct CrashReporter {
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
    client: Arc<MeshClient>,
    archivist: mpsc::Sender<RequestFingerprint>,
}

/// Keepers of a request by mesh address, the one that grants trials first; `None` stands for this host.
type CrashKeepers = Vec<Option<SocketAddr>>;

impl CrashReporter {
    /// Creates a reporter that sends through `socket`, asks through `client`, and tells `archivist` of the requests that
    /// this host keeps.
    pub fn new(
        state: Arc<EntryState>,
        socket: Arc<UdpSocket>,
        client: Arc<MeshClient>,
        archivist: mpsc::Sender<RequestFingerprint>,
    ) -> Self {
        Self { state, socket, client, archivist }
    }

    /// Records that a target closed its connection under a request, and tells the request's keepers.
    pub async fn report_crash(&self, fingerprint: RequestFingerprint, target: &TargetId) {
        let now = Instant::now();
        let (change, report) = {
            let mut core = self.state.lock();
            let before = core.crashes.verdict(fingerprint, now);
            let report = core.crashes.record_crash(fingerprint, target, now);
            (core.crashes.verdict(fingerprint, now) != before, report)
        };
        if let Some(report) = report {
            self.tell_keepers(report, change).await;
        }
    }

    /// Records that a target answered a request, and tells the request's keepers if it was under suspicion.
    pub async fn report_answer(&self, fingerprint: RequestFingerprint) {
        let now = Instant::now();
        let (change, report) = {
            let mut core = self.state.lock();
            let before = core.crashes.verdict(fingerprint, now);
            let report = core.crashes.record_answer(fingerprint, now);
            (core.crashes.verdict(fingerprint, now) != before, report)
        };
        if let Some(report) = report {
            self.tell_keepers(report, change).await;
        }
    }

    /// Merges the reports of another host. A keeper tells all hosts of what changed.
    pub async fn receive_reports(&self, reports: &[CrashReport]) {
        for report in reports {
            let change = {
                let mut core = self.state.lock();
                core.crashes.merge_report(report, Instant::now())
            };
            log_change(report, change);
            let is_keeper = || self.keepers(report.fingerprint).contains(&None);
            if change != CrashChange::None && is_keeper() {
                self.tell_all(report.fingerprint).await;
            }
        }
    }

    /// Answers as the keeper of a request whether another host may try it.
    pub async fn answer_trial(&self, number: u64, report: CrashReport, asker: SocketAddr) {
        self.receive_reports(std::slice::from_ref(&report)).await;
        let grant = self.grant_trial(report.fingerprint).await;
        MeshDatagram::TrialGrant { number, grant }.send(&self.socket, [asker]).await;
    }

    /// Asks the keeper of a request that crashed targets whether this host may try it.
    pub async fn request_trial(&self, fingerprint: RequestFingerprint) -> TrialGrant {
        let grant = match self.keepers(fingerprint).first() {
            None | Some(None) => return self.grant_trial(fingerprint).await,
            Some(Some(keeper)) => {
                let report = self.state.lock().crashes.report(fingerprint, Instant::now());
                self.client.request_trial(*keeper, report).await
            }
        };
        grant.unwrap_or(TrialGrant::Refused { wait: UNANSWERED_WAIT })
    }

    async fn grant_trial(&self, fingerprint: RequestFingerprint) -> TrialGrant {
        let grant = self.state.lock().crashes.grant_trial(fingerprint, Instant::now());
        if grant == TrialGrant::Granted {
            info!("request that crashed targets is tried again", kv: { fingerprint: });
            self.tell_all(fingerprint).await;
        }
        grant
    }

    async fn tell_keepers(&self, report: CrashReport, is_changed: bool) {
        let keepers = self.keepers(report.fingerprint);
        if is_changed && keepers.contains(&None) {
            self.tell_all(report.fingerprint).await;
        }
        let others: Vec<_> = keepers.into_iter().flatten().collect();
        MeshDatagram::Crashes(vec![report]).send(&self.socket, others).await;
    }

    /// Tells all hosts of a request. Heartbeats tell those that a datagram does not reach. The first keeper has it written
    /// outside the hosts as well.
    async fn tell_all(&self, fingerprint: RequestFingerprint) {
        if self.keepers(fingerprint).first() == Some(&None) {
            // With a full queue the hosts alone remember the request.
            let _ = self.archivist.try_send(fingerprint);
        }
        let (report, hosts) = {
            let core = self.state.lock();
            let own = &self.state.identity().host;
            let others = core.roster.known_hosts().filter(|news| news.host != *own);
            let hosts: Vec<_> = others.map(|news| news.mesh).collect();
            (core.crashes.report(fingerprint, Instant::now()), hosts)
        };
        MeshDatagram::Crashes(vec![report]).send(&self.socket, hosts).await;
    }

    fn keepers(&self, fingerprint: RequestFingerprint) -> CrashKeepers {
        let core = self.state.lock();
        let own = &*self.state.identity().host;
        let hosts = serving_hosts(&core, own);
        let names = hosts.keys().copied().chain([own]);
        let keepers = select_crash_keepers(fingerprint, names);
        keepers.into_iter().map(|name| hosts.get(name).copied()).collect()
    }
}

/// Mesh addresses of the other hosts that are live and serve, by name.
fn serving_hosts<'a>(core: &'a EntryCore, own: &str) -> IndexMap<&'a str, SocketAddr> {
    let live = core.roster.live_hosts(Instant::now());
    let serving = live.filter(|news| news.phase == HostPhase::Serving && *news.host != *own);
    serving.map(|news| (&*news.host, news.mesh)).collect()
}

fn log_change(report: &CrashReport, change: CrashChange) {
    let fingerprint = report.fingerprint;
    match change {
        CrashChange::None | CrashChange::Noted => {}
        CrashChange::Refused => {
            warn!("request crashes targets, it is refused", kv: { fingerprint: })
        }
        CrashChange::Cleared => {
            info!("request that crashed targets was answered", kv: { fingerprint: })
        }
    }
}
