//! Uploads to hosts that stop while they pass them on.

use std::thread::JoinHandle;
use std::time::Duration;

use buckthornturn::entry::EntryProcess;
use futures::future::join;
use futures::future::join_all;
use standin::network::LinkCut;
use standin::platform::AnswerStep;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio_util::context::TokioContext;

use crate::entry_fleet::EntryFleet;
use crate::upload_caller::UploadCall;
use crate::upload_caller::UploadFraming;
use crate::uploads::UploadFleet;

/// Uploads that are under way when the host stops, and the time between the starts of two of them.
const UPLOADS: u32 = 12;
const UPLOAD_PAUSE: Duration = Duration::from_millis(17);
/// Time from the first upload until the host stops.
const STOP_TIME: Duration = Duration::from_millis(250);

/// How a host stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HostStop {
    /// In order; its uploads end before its time limit.
    Ordered,
    /// In order; its uploads last longer than its time limit.
    Overrun,
    /// At once.
    AtOnce,
}

macro_rules! stops {
    ($($name:ident: $stop:ident of host $stopped:literal of $hosts:literal, in $framing:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_stop(HostStop::$stop, $stopped, $hosts, UploadFraming::$framing).await;
        }
    )*};
}

stops! {
    bodies_are_whole_while_a_host_ends: Ordered of host 0 of 1, in Length;
    chunked_bodies_are_whole_while_a_host_ends: Ordered of host 0 of 1, in Chunks;
    chunked_bodies_are_whole_while_a_host_that_forwards_ends: Ordered of host 0 of 2, in Chunks;
    chunked_bodies_are_whole_while_their_peer_ends: Ordered of host 1 of 2, in Chunks;
    bodies_that_outlast_the_end_of_a_host_are_not_complete: Overrun of host 0 of 1, in Length;
    chunked_bodies_that_outlast_the_end_of_a_host_are_not_complete: Overrun of host 0 of 1, in Chunks;
    chunked_bodies_that_outlast_the_end_of_a_host_that_forwards_are_not_complete: Overrun of host 0 of 2, in Chunks;
    chunked_bodies_that_outlast_the_end_of_their_peer_are_not_complete: Overrun of host 1 of 2, in Chunks;
    bodies_at_a_host_that_is_killed_are_not_complete: AtOnce of host 0 of 1, in Length;
    chunked_bodies_at_a_host_that_is_killed_are_not_complete: AtOnce of host 0 of 1, in Chunks;
    chunked_bodies_at_a_host_that_forwards_and_is_killed_are_not_complete: AtOnce of host 0 of 2, in Chunks;
    chunked_bodies_at_a_peer_that_is_killed_are_not_complete: AtOnce of host 1 of 2, in Chunks;
}

/// Thread with a runtime of its own, as the process of a host has it. Its tasks end with it at once.
struct HostThread {
    handle: Handle,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl HostThread {
    fn start() -> Self {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let _ = runtime.block_on(stopped);
        });
        Self { handle, stop, thread }
    }

    async fn stop(self, process: EntryProcess, stop: HostStop) {
        match stop {
            HostStop::Ordered | HostStop::Overrun => {
                let is_answered = self.handle.spawn(process.shutdown()).await.unwrap();
                assert_eq!(is_answered, stop == HostStop::Ordered, "all requests were answered");
            }
            HostStop::AtOnce => std::mem::forget(process),
        }
        self.stop.send(()).unwrap();
        tokio::task::spawn_blocking(|| self.thread.join().unwrap()).await.unwrap();
    }
}

/// Starts hosts, one of them on a thread of its own. The first one forwards to the second one if there is one.
async fn start_fleet(hosts: usize, stopped: usize, thread: &HostThread) -> UploadFleet {
    let mut fleet = EntryFleet::start(0, 0).await;
    for host in 0..hosts {
        let store = fleet.store.address();
        let starts = fleet.start_host(host, store);
        match host == stopped {
            true => TokioContext::new(starts, thread.handle.clone()).await,
            false => starts.await,
        }
        fleet.wait_until("the host is ready", async || fleet.is_ready(host).await).await;
    }
    let fleet = UploadFleet::with_targets(fleet, &[AnswerStep::RUN]).await;
    if hosts > 1 {
        fleet.fleet.cut_host(0, LinkCut::Resetting);
        fleet
            .fleet
            .wait_until("the host forwards", async || fleet.send_page(0).await.is_some())
            .await;
    }
    fleet
}

/// Uploads to host 0 while a host stops.
async fn check_stop(stop: HostStop, stopped: usize, hosts: usize, framing: UploadFraming) {
    let thread = HostThread::start();
    let mut fleet = start_fleet(hosts, stopped, &thread).await;
    let before = fleet.ledger.arrivals().len();
    let bytes = if stop == HostStop::Overrun { 140_000 } else { 30_000 };
    let call = UploadCall {
        part_bytes: 500,
        pause: Duration::from_millis(10),
        ..UploadCall::new(bytes, framing)
    };
    let process = fleet.fleet.hosts.remove(stopped);
    let address = fleet.fleet.ports[0].callers;
    let uploads = (0..UPLOADS).map(async |number| {
        tokio::time::sleep(UPLOAD_PAUSE * number).await;
        call.send(address, &fleet.ledger).await
    });
    let stops = async {
        tokio::time::sleep(STOP_TIME).await;
        thread.stop(process, stop).await;
    };
    let (statuses, ()) = join(join_all(uploads), stops).await;
    fleet.check().await;
    let arrivals = fleet.ledger.arrivals();
    let complete = arrivals[before..].iter().filter(|arrival| arrival.is_complete).count();
    assert!(arrivals.len() >= before + UPLOADS as usize, "{} arrivals", arrivals.len() - before);
    match stop {
        HostStop::Ordered => {
            assert!(statuses.iter().all(|status| *status == Some(200)), "{statuses:?}")
        }
        HostStop::Overrun | HostStop::AtOnce => {
            assert_eq!(complete, 0, "{statuses:?}");
            assert!(statuses.iter().all(|status| *status != Some(503)), "{statuses:?}");
        }
    }
}
