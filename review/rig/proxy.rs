//! Link to the store that can be cut.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::socket::reset_on_close;

#[derive(Default)]
struct Link {
    is_cut: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// Passes connections on to one address. While it is cut, it resets them.
#[derive(Clone, Default)]
pub struct Proxy {
    link: Arc<Link>,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let proxy = Self::default();
        let listener = TcpListener::bind(address)?;
        let link = Arc::clone(&proxy.link);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                reset_on_close(&near);
                if link.is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                for stream in [&near, &far] {
                    let _ = stream.set_nodelay(true);
                    link.streams.lock().unwrap().extend(stream.try_clone());
                }
                if let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) {
                    thread::spawn(move || pass_on(near, far));
                    thread::spawn(move || pass_on(far_copy, near_copy));
                }
            }
        });
        Ok(proxy)
    }

    pub fn cut(&self) {
        self.link.is_cut.store(true, Ordering::Relaxed);
        for stream in self.link.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.link.is_cut.store(false, Ordering::Relaxed);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream) {
    let mut part = vec![0; 64 << 10];
    while let Ok(bytes) = from.read(&mut part) {
        if bytes == 0 || to.write_all(&part[..bytes]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
