//! Reads the send state of TCP connections from the kernel.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::PoisonError;

use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

use crate::sockets::SendState;
use crate::sockets::SocketOption;

/// Numbers of Linux's `sock_diag` interface (`man 7 sock_diag`).
const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const AF_INET6: u8 = 10;
const IPPROTO_TCP: u8 = 6;
/// Bit that asks for `INET_DIAG_INFO`, the `tcp_info` of `man 7 tcp`, and the type of its attribute.
const INFO_BIT: u8 = 1 << 1;
const INFO_ATTRIBUTE: u16 = 2;
const REQUEST_BYTES: u32 = 72;
/// Places of the fields in an answer, counted from the start of the netlink header.
const TYPE_PLACE: usize = 4;
const SEQUENCE_PLACE: usize = 8;
const TIMER_PLACE: usize = 18;
const PROBES_PLACE: usize = 19;
const QUEUED_PLACE: usize = 76;
const ATTRIBUTES_PLACE: usize = 88;
/// Places in `tcp_info`.
const LAST_ACK_PLACE: usize = 56;
const SEND_WINDOW_PLACE: usize = 228;
/// Most bytes of an answer that are read. One with the attributes of a TCP connection has about 400.
const MAX_ANSWER_BYTES: usize = 1_024;
/// Values of the timer field.
const TIMER_NONE: u8 = 0;
const TIMER_RETRANSMIT: u8 = 1;
const TIMER_KEEPALIVE: u8 = 2;
const TIMER_WINDOW_PROBE: u8 = 4;
/// Age of the last acknowledgement up to which the other end counts as alive while bytes are sent again to a closed window.
const MAX_ACK_AGE_MS: u32 = 500;
/// Answers to earlier requests that are skipped.
const MAX_SKIPPED_ANSWERS: usize = 8;

static SOCK_DIAG: SocketOption = SocketOption::new("NETLINK_SOCK_DIAG");

/// Reads the send state of the process's own TCP connections. It uses `sock_diag` since the standard library and the crates in use
/// read `TCP_INFO` through no safe interface.
pub struct KernelProbe {
    channel: Mutex<ProbeChannel>,
}

struct ProbeChannel {
    socket: Socket,
    sequence: u32,
}

impl KernelProbe {
    /// Probe of this process; `None` if the system has no `sock_diag`.
    pub fn shared() -> Option<&'static Self> {
        static SHARED: OnceLock<Option<KernelProbe>> = OnceLock::new();
        let open = || match Self::open() {
            Ok(probe) => Some(probe),
            Err(error) => {
                SOCK_DIAG.check(Err(error));
                None
            }
        };
        SHARED.get_or_init(open).as_ref()
    }

    fn open() -> io::Result<Self> {
        let (domain, protocol) = (Domain::from(AF_NETLINK), Protocol::from(NETLINK_SOCK_DIAG));
        let socket = Socket::new(domain, Type::DGRAM, Some(protocol))?;
        socket.set_nonblocking(true)?;
        Ok(Self { channel: Mutex::new(ProbeChannel { socket, sequence: 0 }) })
    }

    /// Send state of the connection between two addresses; `None` if the kernel does not tell it.
    pub fn send_state(&self, local: SocketAddr, remote: SocketAddr) -> Option<SendState> {
        let mut channel = self.channel.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = channel.ask(local, remote);
        drop(channel);
        match answer {
            Ok(answer) => decode_answer(&answer),
            Err(error) => {
                SOCK_DIAG.check(Err(error));
                None
            }
        }
    }
}

impl ProbeChannel {
    /// Sends a request. The kernel has answered it when the call returns.
    fn ask(&mut self, local: SocketAddr, remote: SocketAddr) -> io::Result<[u8; MAX_ANSWER_BYTES]> {
        self.sequence = self.sequence.wrapping_add(1);
        (&self.socket).write_all(&encode_request(self.sequence, local, remote))?;
        for _ in 0..MAX_SKIPPED_ANSWERS {
            let mut answer = [0; MAX_ANSWER_BYTES];
            let bytes = (&self.socket).read(&mut answer)?;
            if bytes > SEQUENCE_PLACE && read_number(&answer, SEQUENCE_PLACE) == self.sequence {
                return Ok(answer);
            }
        }
        Err(io::ErrorKind::InvalidData.into())
    }
}

fn encode_request(sequence: u32, local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let family = if local.is_ipv4() { AF_INET } else { AF_INET6 };
    let mut request = Vec::with_capacity(REQUEST_BYTES as usize);
    request.extend(REQUEST_BYTES.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    request.extend(sequence.to_ne_bytes());
    request.extend(0_u32.to_ne_bytes());
    request.extend([family, IPPROTO_TCP, INFO_BIT, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    request.extend(address_bytes(local.ip()));
    request.extend(address_bytes(remote.ip()));
    request.extend(0_u32.to_ne_bytes());
    request.extend([u8::MAX; 8]);
    request
}

fn address_bytes(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V6(address) => address.octets(),
        IpAddr::V4(address) => {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&address.octets());
            bytes
        }
    }
}

/// Reads an answer; `None` if it tells that the connection is not known.
fn decode_answer(answer: &[u8; MAX_ANSWER_BYTES]) -> Option<SendState> {
    let kind = u16::from_ne_bytes([answer[TYPE_PLACE], answer[TYPE_PLACE + 1]]);
    if kind != SOCK_DIAG_BY_FAMILY {
        return None;
    }
    let queued_bytes = read_number(answer, QUEUED_PLACE).into();
    Some(match answer[TIMER_PLACE] {
        TIMER_NONE | TIMER_KEEPALIVE => SendState::Acknowledged,
        TIMER_WINDOW_PROBE => {
            SendState::WindowClosed { is_answered: answer[PROBES_PLACE] == 0, queued_bytes }
        }
        TIMER_RETRANSMIT => match shrunk_window_ack_age(answer) {
            Some(age) => {
                SendState::WindowClosed { is_answered: age <= MAX_ACK_AGE_MS, queued_bytes }
            }
            None => SendState::Unacknowledged,
        },
        _ => SendState::Unacknowledged,
    })
}

/// Age of the last acknowledgement, in milliseconds, of a connection whose other end has closed its window over bytes that are under
/// way, as it does when its buffer has no room for them. `None` if the window is open, or the kernel does not tell it.
fn shrunk_window_ack_age(answer: &[u8; MAX_ANSWER_BYTES]) -> Option<u32> {
    let length = (read_number(answer, 0) as usize).min(MAX_ANSWER_BYTES);
    let mut place = ATTRIBUTES_PLACE;
    while place + 4 <= length {
        let bytes = usize::from(u16::from_ne_bytes([answer[place], answer[place + 1]]));
        let kind = u16::from_ne_bytes([answer[place + 2], answer[place + 3]]);
        let (info, end) = (place + 4, place + bytes);
        if kind == INFO_ATTRIBUTE && info + SEND_WINDOW_PLACE + 4 <= end.min(length) {
            let is_closed = read_number(answer, info + SEND_WINDOW_PLACE) == 0;
            return is_closed.then(|| read_number(answer, info + LAST_ACK_PLACE));
        }
        place += bytes.next_multiple_of(4).max(4);
    }
    None
}

fn read_number(answer: &[u8; MAX_ANSWER_BYTES], place: usize) -> u32 {
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&answer[place..place + 4]);
    u32::from_ne_bytes(bytes)
}
