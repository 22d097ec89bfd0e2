//! Socket options that the standard library does not have.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

/// Address as the C library has it.
#[repr(C)]
struct RawAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const RawAddress, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the receive buffer of a connection, which bounds its window.
pub fn set_window(stream: &TcpStream, bytes: i32) {
    // SAFETY: the socket is open and the value outlives the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

/// Opens a connection whose window is small from the start.
pub fn connect_with_window(address: SocketAddrV4, bytes: i32) -> io::Result<TcpStream> {
    // SAFETY: the call takes no pointers.
    let descriptor = unsafe { socket(AF_INET.into(), SOCK_STREAM, 0) };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor is new and owned by nothing else.
    let stream = unsafe { TcpStream::from_raw_fd(descriptor) };
    set_window(&stream, bytes);
    let raw = RawAddress {
        family: AF_INET,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the socket is open, and the address outlives the call and has the given length.
    match unsafe { connect(descriptor, &raw, 16) } {
        0 => Ok(stream),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: the socket is open, and the value outlives the call and has the given length.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}
