//! Tells an other end that reads slowly from one that is gone.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::sockets::KernelProbe;
use crate::sockets::SendState;
use crate::sockets::SocketOption;

/// Time after a write until the state is first read, before the first keepalive probe; most requests are answered within it.
const FIRST_CHECK: Duration = Duration::from_millis(500);
/// Pause between checks while bytes are not acknowledged. Receivers answer a window probe only each half second, so that an answered
/// state must be looked for several times within a user timeout.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

static USER_TIMEOUT: SocketOption = SocketOption::new("TCP_USER_TIMEOUT");

/// Adjusts the user timeout of a connection to what the kernel knows of the other end. The kernel ends a connection at its user
/// timeout also while the other end keeps its window closed, and after a single lost keepalive probe. Where the kernel's state can't be
/// read, the timeout that the dialer has set stays.
pub(super) struct PeerWatch {
    probe: &'static KernelProbe,
    local: SocketAddr,
    remote: SocketAddr,
    /// User timeout of the dialer, which holds while bytes are not acknowledged.
    limit: Duration,
    /// User timeout in force; `None` leaves the end of a silent connection to its keepalive probes.
    timeout: Option<Duration>,
    timer: Option<Pin<Box<Sleep>>>,
    written_bytes: u64,
    closed_window: Option<ClosedWindow>,
}

/// Time since which the other end takes no bytes.
#[derive(Clone, Copy)]
struct ClosedWindow {
    since: Instant,
    acknowledged_bytes: u64,
}

impl PeerWatch {
    /// Watch of a connection; `None` if its dialer has set no user timeout, or the kernel's state can't be read.
    pub(super) fn new(stream: &TcpStream, probe: Option<&'static KernelProbe>) -> Option<Self> {
        let probe = probe?;
        let limit = SockRef::from(stream).tcp_user_timeout().ok().flatten()?;
        let (local, remote) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        probe.send_state(local, remote)?;
        let (timeout, timer, written_bytes) = (Some(limit), None, 0);
        let closed_window = None;
        Some(Self { probe, local, remote, limit, timeout, timer, written_bytes, closed_window })
    }

    /// Starts to watch bytes that were written.
    pub(super) fn record_written(
        &mut self,
        stream: &TcpStream,
        bytes: usize,
        context: &mut Context<'_>,
    ) {
        self.written_bytes += bytes as u64;
        if self.timer.is_none() {
            self.set_timeout(stream, Some(self.limit));
            self.timer = Some(Box::pin(tokio::time::sleep(FIRST_CHECK)));
            self.check_if_due(stream, context);
        }
    }

    /// Reads the kernel's state when it is time, and asks to be polled again.
    pub(super) fn check_if_due(&mut self, stream: &TcpStream, context: &mut Context<'_>) {
        while let Some(timer) = &mut self.timer
            && timer.as_mut().poll(context).is_ready()
        {
            match self.check(stream) {
                true => timer_reset(&mut self.timer),
                false => self.timer = None,
            }
        }
    }

    /// Adjusts the user timeout. Returns whether bytes are still to be acknowledged.
    fn check(&mut self, stream: &TcpStream) -> bool {
        let state = self.probe.send_state(self.local, self.remote);
        let timeout = match state {
            Some(SendState::Acknowledged) => None,
            Some(SendState::WindowClosed { is_answered, queued_bytes }) => {
                let closed_for = self.record_closed(queued_bytes);
                match is_answered {
                    true => Some(closed_for + CHECK_INTERVAL + self.limit),
                    false => self.timeout,
                }
            }
            Some(SendState::Unacknowledged) | None => Some(self.limit),
        };
        if !matches!(state, Some(SendState::WindowClosed { .. })) {
            self.closed_window = None;
        }
        self.set_timeout(stream, timeout);
        matches!(state, Some(SendState::WindowClosed { .. } | SendState::Unacknowledged))
    }

    /// Time for which the window has been closed without a break. The kernel counts its user timeout from then on.
    fn record_closed(&mut self, queued_bytes: u64) -> Duration {
        let acknowledged_bytes = self.written_bytes.saturating_sub(queued_bytes);
        let now = Instant::now();
        let window = match self.closed_window {
            Some(window) if window.acknowledged_bytes == acknowledged_bytes => window,
            _ => ClosedWindow { since: now, acknowledged_bytes },
        };
        self.closed_window = Some(window);
        now.duration_since(window.since)
    }

    fn set_timeout(&mut self, stream: &TcpStream, timeout: Option<Duration>) {
        let is_set = self.timeout == timeout
            || USER_TIMEOUT.check(SockRef::from(stream).set_tcp_user_timeout(timeout));
        if is_set {
            self.timeout = timeout;
        }
    }
}

fn timer_reset(timer: &mut Option<Pin<Box<Sleep>>>) {
    if let Some(timer) = timer {
        timer.as_mut().reset(Instant::now() + CHECK_INTERVAL);
    }
}
