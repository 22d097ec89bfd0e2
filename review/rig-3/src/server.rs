//! Stand-ins of the platform's servers.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Head;
use crate::store::Store;

/// Time for which a crashed server is away.
const CRASH_TIME: Duration = Duration::from_secs(3);

/// What a server does after a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// It reads the next request of the connection.
    Keep,
    /// It closes the connection.
    Close,
    /// Its process ends, with all connections, and starts again after some seconds under a new id.
    Crash,
}

/// Runs a request whose head was read.
pub type Work =
    Arc<dyn Fn(&Server, &Head, &mut BufReader<TcpStream>, &mut TcpStream) -> Next + Send + Sync>;

/// A server of one service.
pub struct Server {
    pub number: usize,
    pub service: &'static str,
    zone: &'static str,
    pub slots: usize,
    address: SocketAddr,
    store: Arc<Store>,
    work: Work,
    lifetime: AtomicU64,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server and registers it.
    pub fn start(
        number: usize,
        service: &'static str,
        zone: &'static str,
        slots: usize,
        store: &Arc<Store>,
        work: Work,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let server = Arc::new(Self {
            number,
            service,
            zone,
            slots,
            address: listener.local_addr()?,
            store: Arc::clone(store),
            work,
            lifetime: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        server.clone().listen(listener);
        server.register();
        Ok(server)
    }

    /// Id of the present lifetime.
    pub fn id(&self) -> String {
        format!("i-{:04x}{:04x}", self.number, self.lifetime.load(Ordering::SeqCst))
    }

    /// Writes the entry to the store.
    fn register(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let Self { address, service, zone, slots, .. } = self;
        let entry = format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"backend_service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":1,\"cold_remaining_ms\":0}}}}"
        );
        self.store.put("servers", &self.id(), &entry);
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        let _ = listener.set_nonblocking(true);
        std::thread::spawn(move || {
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let server = Arc::clone(&self);
                        let _ = std::thread::Builder::new()
                            .stack_size(128 << 10)
                            .spawn(move || server.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            std::thread::sleep(CRASH_TIME);
            self.store.delete("servers", &self.id());
            self.lifetime.fetch_add(1, Ordering::SeqCst);
            self.is_down.store(false, Ordering::SeqCst);
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.clone().listen(listener);
                self.register();
            }
        });
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut output), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.streams.lock().unwrap().push(kept);
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut input) {
            let is_other = head.get("x-target-instance").is_some_and(|id| id != self.id());
            let next = match is_other {
                true => self.answer(&mut output, &head, "421 Misdirected Request", "", b""),
                false => (self.work)(self, &head, &mut input, &mut output),
            };
            match next {
                Next::Keep => {}
                Next::Close => break,
                Next::Crash => {
                    self.is_down.store(true, Ordering::SeqCst);
                    for stream in self.streams.lock().unwrap().drain(..) {
                        let _ = stream.shutdown(Shutdown::Both);
                    }
                    return;
                }
            }
        }
        let _ = output.shutdown(Shutdown::Both);
        let own = output.peer_addr().ok();
        self.streams.lock().unwrap().retain(|stream| {
            let peer = stream.peer_addr().ok();
            peer.is_some() && peer != own
        });
    }

    /// Writes an answer with its length, and with the proof unless the request was not run.
    pub fn answer(
        &self,
        output: &mut TcpStream,
        head: &Head,
        status: &str,
        fields: &str,
        body: &[u8],
    ) -> Next {
        let id = head.get("x-attempt-id").unwrap_or_default();
        let proof = match fields.contains("x-not-executed") || status.starts_with("421") {
            true => String::new(),
            false => format!("x-server-signature: {}.{id}\r\n", self.id()),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nx-attempt-id: {id}\r\n{proof}{fields}content-length: {}\r\n\r\n",
            body.len()
        );
        match output.write_all(head.as_bytes()).and_then(|()| output.write_all(body)) {
            Ok(()) => Next::Keep,
            Err(_) => Next::Close,
        }
    }

    /// Writes a successful answer of that length up to a part of it. Returns whether that was written.
    pub fn answer_part(
        &self,
        output: &mut TcpStream,
        head: &Head,
        length: usize,
        part: usize,
    ) -> bool {
        let id = head.get("x-attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: {}.{id}\r\n\
             content-length: {length}\r\n\r\n",
            self.id()
        );
        output.write_all(head.as_bytes()).and_then(|()| output.write_all(&vec![b'p'; part])).is_ok()
    }
}
