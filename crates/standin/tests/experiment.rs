//! Checks that the committed experiments parse, that cuts of the network act on connections, and that a run reports.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::StreamDialer;
use standin::experiment::ExperimentPlan;
use standin::experiment::run_experiment;
use standin::log_output::redirect_log;
use standin::network::LinkLatency;
use standin::network::LinkTable;
use standin::network::RelayedDialer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SILENCE_PERIOD: Duration = Duration::from_millis(100);
const RECEIVE_LIMIT: Duration = Duration::from_secs(10);

struct NetworkFixture {
    links: Arc<LinkTable>,
    dialer: RelayedDialer,
    listener: TcpListener,
    address: SocketAddr,
}

impl NetworkFixture {
    async fn start() -> Self {
        let links = Arc::new(LinkTable::new(LinkLatency::default()));
        for (domain, region) in [("a", "north"), ("b", "north"), ("c", "south")] {
            links.add_domain(domain, region);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        links.add_address(address, "c");
        let dialer = RelayedDialer::new(Arc::clone(&links), "a".into());
        Self { links, dialer, listener, address }
    }

    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = self.dialer.dial(self.address).await.unwrap();
        let (far, _) = self.listener.accept().await.unwrap();
        (near, far)
    }
}

async fn read_byte(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    tokio::time::timeout(limit, stream.read_u8()).await.ok()?.ok()
}

macro_rules! network_case {
    ($name:ident, |$fixture:ident| $body:block) => {
        #[tokio::test]
        async fn $name() {
            let $fixture = NetworkFixture::start().await;
            $body
        }
    };
}

network_case!(open_connection_is_silent_while_cut, |fixture| {
    let (mut near, mut far) = fixture.connect().await;
    near.write_u8(1).await.unwrap();
    assert_eq!(read_byte(&mut far, RECEIVE_LIMIT).await, Some(1));
    fixture.links.cut_domain("c");
    near.write_u8(2).await.unwrap();
    assert_eq!(read_byte(&mut far, SILENCE_PERIOD).await, None);
    fixture.links.heal();
    assert_eq!(read_byte(&mut far, RECEIVE_LIMIT).await, Some(2));
});

network_case!(new_connection_waits_while_cut, |fixture| {
    fixture.links.cut_region("south");
    let dialing = fixture.dialer.dial(fixture.address);
    assert!(tokio::time::timeout(SILENCE_PERIOD, dialing).await.is_err());
    fixture.links.heal();
    fixture.connect().await;
});

network_case!(cut_of_another_domain_has_no_effect, |fixture| {
    fixture.links.cut_domain("b");
    let (mut near, mut far) = fixture.connect().await;
    far.write_u8(3).await.unwrap();
    assert_eq!(read_byte(&mut near, RECEIVE_LIMIT).await, Some(3));
});

network_case!(refused_connection_is_reported, |fixture| {
    drop(fixture.listener);
    assert!(fixture.dialer.dial(fixture.address).await.is_err());
});

#[test]
fn committed_experiments_are_valid() {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiments");
    let mut count = 0;
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let plan = ExperimentPlan::parse(&std::fs::read_to_string(&path).unwrap());
        assert!(plan.is_ok(), "{}: {plan:?}", path.display());
        count += 1;
    }
    assert!(count > 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_host_and_target_leave_a_complete_report() {
    redirect_log(None).unwrap();
    let plan = r#"{
        "name": "short", "seconds": 2, "seed": 3,
        "faults": [
            { "at_s": 0.5, "do": "kill_hosts", "hosts": [3] },
            { "at_s": 0.6, "do": "kill_targets", "targets": [0] },
            { "at_s": 1.2, "do": "start_targets", "targets": [0] },
            { "at_s": 1.3, "do": "start_hosts", "hosts": [3] },
        ]
    }"#;
    let report = run_experiment(&ExperimentPlan::parse(plan).unwrap()).await.unwrap();
    assert_eq!(report.faults.len(), 4);
    assert!(report.faults.iter().all(|fault| fault.error.is_none()), "{:?}", report.faults);
    assert!(report.load.answered > 0);
    assert_eq!((report.load.executed_twice, report.load.wrong_answers), (0, 0));
    assert_eq!((report.load.false_not_run, report.targets.keys_seen), (0, 0));
}
