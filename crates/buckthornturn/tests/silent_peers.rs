//! When a connection to a target ends because its other end does not respond: a target that reads slowly, or misses keepalive
//! probes, is not taken for a dead one. A socket filter on the target's end drops packets, as a link that lost them would.

#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::entry::KeepaliveDialer;
use buckthornturn::interface::StreamDialer;
use buckthornturn::sockets::KernelProbe;
use buckthornturn::sockets::OutgoingStream;
use socket2::SockFilter;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Instruction of a socket filter that drops the packet: return 0.
const DROP_PACKET: SockFilter = SockFilter::new(0x06, 0, 0, 0);
/// More bytes than the socket buffers of both ends hold.
const BODY_BYTES: usize = 24 << 20;
/// Time from the start of a test until a target that read nothing becomes silent.
const CLOSED_TIME: Duration = Duration::from_secs(3);

/// A connection as hosts open it, with the target's end.
struct WatchedLink {
    host: OutgoingStream,
    target: TcpStream,
}

impl WatchedLink {
    async fn open(probe: Option<&'static KernelProbe>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let dial = KeepaliveDialer.dial(listener.local_addr().unwrap());
        let (dialed, accepted) = tokio::join!(dial, listener.accept());
        let (host, _socket) = OutgoingStream::with_probe(dialed.unwrap(), probe);
        Self { host, target: accepted.unwrap().0 }
    }

    async fn open_watched() -> Self {
        let probe = KernelProbe::shared();
        assert!(probe.is_some(), "the system tells no state of sockets");
        Self::open(probe).await
    }
}

fn lose_packets(stream: &TcpStream) {
    SockRef::from(stream).attach_filter(&[DROP_PACKET]).unwrap();
}

fn deliver_packets(stream: &TcpStream) {
    SockRef::from(stream).detach_filter().unwrap();
}

/// A closed window counted as unacknowledged data, and ended uploads after 2 s.
#[tokio::test]
async fn a_target_that_reads_nothing_for_a_while_gets_the_whole_body() {
    let WatchedLink { mut host, mut target } = WatchedLink::open_watched().await;
    let body = vec![b'b'; BODY_BYTES];
    let read = async {
        tokio::time::sleep(Duration::from_secs(8)).await;
        let mut received = vec![0; BODY_BYTES];
        target.read_exact(&mut received).await
    };
    let (written, read) = tokio::join!(host.write_all(&body), read);
    written.unwrap();
    assert_eq!(read.unwrap(), BODY_BYTES);
}

/// The window of the target is closed over bytes that are under way, since its buffer has become smaller. The kernel's buffers hold the
/// rest of a body after the last byte was written, so that no write waits for the target.
#[tokio::test]
async fn a_target_that_reads_nothing_gets_the_rest_of_a_written_body() {
    let WatchedLink { mut host, mut target } = WatchedLink::open_watched().await;
    SockRef::from(&target).set_recv_buffer_size(16 << 10).unwrap();
    host.write_all(&vec![b'b'; 256 << 10]).await.unwrap();
    let answer = async {
        tokio::time::sleep(Duration::from_secs(5)).await;
        target.read_exact(&mut vec![0; 256 << 10]).await.unwrap();
        target.write_all(b"ok").await.unwrap();
    };
    let mut received = [0; 2];
    let (read, ()) = tokio::join!(host.read_exact(&mut received), answer);
    assert_eq!(read.unwrap(), 2);
}

/// The user timeout ended a connection after one lost keepalive probe.
#[tokio::test]
async fn two_lost_keepalive_probes_are_tolerated() {
    let WatchedLink { mut host, mut target } = WatchedLink::open_watched().await;
    host.write_all(b"request").await.unwrap();
    target.read_exact(&mut [0; 7]).await.unwrap();
    let answer = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        lose_packets(&target);
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        deliver_packets(&target);
        tokio::time::sleep(Duration::from_secs(4)).await;
        target.write_all(b"ok").await.unwrap();
    };
    let mut received = [0; 2];
    let (read, ()) = tokio::join!(host.read_exact(&mut received), answer);
    assert_eq!(read.unwrap(), 2);
}

/// Each case: whether the kernel's state is read, what the host has sent to the target before that becomes silent, and within
/// how many seconds the connection fails.
macro_rules! silent_targets {
    ($($name:ident: $probe:expr, $state:ident => $earliest:literal to $latest:literal s;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let link = WatchedLink::open($probe).await;
            let (error, time) = fail_silently(link, SentState::$state).await;
            assert_eq!(error, ErrorKind::TimedOut);
            assert!(($earliest..=$latest).contains(&time.as_secs_f64()), "after {time:?}");
        }
    )*};
}

silent_targets! {
    a_target_that_acknowledges_no_bytes_is_dead: KernelProbe::shared(), Nothing => 1.5 to 3.0 s;
    a_target_that_answers_no_keepalive_probes_is_dead: KernelProbe::shared(), Request => 3.0 to 4.5 s;
    a_target_that_goes_silent_while_it_reads_nothing_is_dead: KernelProbe::shared(), ClosedWindow => 0.5 to 4.5 s;
    without_kernel_state_unacknowledged_bytes_end_a_connection: None, Nothing => 1.5 to 3.0 s;
    without_kernel_state_a_lost_probe_ends_a_connection: None, Request => 1.5 to 3.0 s;
}

/// What a target has received when it becomes silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SentState {
    Nothing,
    Request,
    ClosedWindow,
}

/// Lets a target become silent. Returns how and how long after that the connection failed.
async fn fail_silently(link: WatchedLink, state: SentState) -> (ErrorKind, Duration) {
    let WatchedLink { mut host, mut target } = link;
    if state == SentState::Nothing {
        lose_packets(&target);
    }
    let sends = tokio::spawn(async move {
        let bytes = if state == SentState::ClosedWindow { BODY_BYTES } else { 7 };
        let body = vec![b'b'; bytes];
        match host.write_all(&body).await {
            Ok(()) => host.read_u8().await.unwrap_err().kind(),
            Err(error) => error.kind(),
        }
    });
    match state {
        SentState::Nothing => {}
        SentState::Request => {
            target.read_exact(&mut [0; 7]).await.unwrap();
            lose_packets(&target);
        }
        SentState::ClosedWindow => {
            tokio::time::sleep(CLOSED_TIME).await;
            lose_packets(&target);
        }
    }
    let silent_since = Instant::now();
    let kind = sends.await.unwrap();
    (kind, silent_since.elapsed())
}
