use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::floor_plan::FloorPlan;
use coordination::ids::HostId;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::Response;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::*;
use crate::callers::SteerHost;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::PeerCaller;
use crate::interface::PeerError;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::interface::PlanCell;
use crate::interface::TargetWeights;
use crate::steering::SteeringParts;

fn members(hosts: &[&str]) -> MemberView {
    let member = |host: &&str| MemberEntry {
        host: (**host).into(),
        incarnation: 1,
        failure_domain: "d".into(),
        region: "r".into(),
        callers: None,
        mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
        health: MemberHealth::Live,
        revision: 1,
        heard_ago: None,
        plan_shrunk: 0,
        store_reached: true,
        confirmation_age: None,
    };
    MemberView { members: hosts.iter().map(member).collect() }
}

fn plan(hosts: &[&str]) -> FloorPlan {
    FloorPlan {
        domain: "d".into(),
        epoch: 1,
        holders: hosts.iter().map(|host| ((*host).into(), 1)).collect(),
        awaited: IndexMap::new(),
        gone: IndexMap::new(),
    }
}

#[test]
fn two_hosts_poll_a_target_and_the_holder_is_one_of_them() {
    let members = members(&["h1", "h2", "h3", "h4", "h5"]);
    let plan = plan(&["h3"]);
    let assignment = PollAssignment::new("d", &members, Some(&plan));
    let mut seconds: Vec<HostId> = Vec::new();
    for number in 0..50 {
        let pollers = assignment.pollers(&format!("t{number}"));
        assert_eq!(pollers.len(), 2);
        assert_eq!(&*pollers[0], "h3");
        seconds.push(pollers[1].clone());
    }
    seconds.sort();
    seconds.dedup();
    assert_eq!(seconds.len(), 4, "{seconds:?}");
}

#[test]
fn a_host_of_another_domain_polls_nothing() {
    let members = members(&["h1"]);
    let assignment = PollAssignment::new("other", &members, None);
    assert!(assignment.pollers("t").is_empty());
}

struct FixedMembers(Arc<MemberView>);

impl PeerCaller for FixedMembers {
    fn call<'a>(
        &'a self,
        peer: &'a str,
        _request: PeerRequest,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, PeerError>> {
        async move { Err(PeerError::TimedOut { peer: peer.into() }) }.boxed()
    }

    fn members(&self) -> Arc<MemberView> {
        Arc::clone(&self.0)
    }
}

/// Starts a server that answers every request with `text`.
async fn serve_text(text: &'static str, tasks: &mut JoinSet<()>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tasks.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(move |_| async move {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(text))))
            });
            let server = hyper::server::conn::http1::Builder::new();
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Weight of a target that reports `text`: as soon as it becomes 0, or else 3 s after the start.
async fn weight_after_reports(text: &'static str) -> f64 {
    let mut tasks = JoinSet::new();
    let address = serve_text(text, &mut tasks).await;
    let mut state = ConfigurationState { revision: 1, ..Default::default() };
    for object in [
        json!({ "kind": "domain", "name": "d", "region": "r" }),
        json!({ "kind": "service", "name": "s", "hosts": ["s"], "routes": [] }),
        json!({
            "kind": "target", "name": "t", "service": "s", "failure_domain": "d",
            "address": address, "slots": 4,
        }),
    ] {
        state.put(serde_json::from_value(object).unwrap());
    }
    let cell = ConfigurationCell::new();
    cell.replace_if_newer(Arc::new(state));
    let peers: Arc<dyn PeerCaller> = Arc::new(FixedMembers(Arc::new(members(&["h"]))));
    let own = SteerHost { address, failure_domain: "d".into(), region: "r".into() };
    let parts = SteeringParts::new(own, cell.clone(), Arc::clone(&peers));
    let steering = Arc::clone(&parts.targets);
    parts.spawn(&mut tasks);
    let plans = PlanCell::default();
    let poller =
        TargetPoller::new("h".into(), "d".into(), cell, plans, peers, Arc::clone(&steering));
    poller.spawn_polling(&mut tasks);
    let start = Instant::now();
    while steering.weight("t", Instant::now()) == 0.0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(start.elapsed() < Duration::from_secs(10), "the target never got a weight");
    }
    while steering.weight("t", Instant::now()) > 0.0 && start.elapsed() < Duration::from_secs(3) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    steering.weight("t", Instant::now())
}

macro_rules! report_cases {
    ($($name:ident: $text:expr => $weight:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            assert_eq!(weight_after_reports($text).await, $weight);
        }
    )*};
}

report_cases! {
    a_target_that_reports_draining_gets_no_new_work:
        r#"{"healthy":true,"draining":true,"in_flight":1,"slots":4}"# => 0.0;
    a_report_without_fields_changes_nothing: "{}" => 1.0;
    a_malformed_report_changes_nothing: "<html>" => 1.0;
}
