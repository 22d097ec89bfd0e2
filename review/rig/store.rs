//! Stand-in for the platform's metadata store: lists, watches, and writes of the system's own kinds.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::query_value;
use crate::http::read_body;
use crate::http::Head;

/// Objects in one page of a list.
const PAGE_SIZE: usize = 500;

#[derive(Default)]
struct Contents {
    revision: u64,
    /// Objects by kind and name, each with the revision of its last change and its `spec` as it was written.
    objects: BTreeMap<(String, String), (u64, Vec<u8>)>,
    /// Revision, kind and bytes of each event.
    events: Vec<(u64, String, Vec<u8>)>,
}

#[derive(Default)]
struct Shared {
    contents: Mutex<Contents>,
    changed: Condvar,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; `spec` is kept as the writer sent it. Returns once the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let mut contents = self.shared.contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        contents.objects.insert((kind.into(), name.into()), (revision, spec.to_vec()));
        let event = event_bytes(false, name, revision, spec);
        contents.events.push((revision, kind.into(), event));
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut contents = self.shared.contents.lock().unwrap();
        let Some((_, spec)) = contents.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        contents.revision += 1;
        let revision = contents.revision;
        let event = event_bytes(true, name, revision, &spec);
        contents.events.push((revision, kind.into(), event));
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else { return };
            let (status, answer) = self.answer(&head, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            let bytes = [text.as_bytes(), &answer].concat();
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, Vec<u8>) {
        let target = head.word(1);
        let path = target.split('?').next().unwrap_or_default();
        let Some(place) = path.strip_prefix("/objects/") else { return (404, b"{}".to_vec()) };
        let (kind, name) = place.split_once('/').unwrap_or((place, ""));
        let number = |name: &str| query_value(target, name).and_then(|value| value.parse::<u64>().ok());
        match (head.word(0), number("watch")) {
            ("GET", Some(after)) => (200, self.watch(kind, after, number("wait_ms").unwrap_or(0))),
            ("GET", None) if name.is_empty() => {
                (200, self.list(kind, query_value(target, "after").unwrap_or_default()))
            }
            ("GET", None) => self.get(kind, name),
            ("POST" | "PUT", _) => {
                let text = String::from_utf8_lossy(body);
                let named = text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
                let name = if name.is_empty() { named.unwrap_or_default() } else { name };
                let is_known = self.get(kind, name).0 == 200;
                match head.word(0) {
                    "POST" if is_known => (409, b"{}".to_vec()),
                    "PUT" if !is_known => (404, b"{}".to_vec()),
                    _ => {
                        let spec = text.split("\"spec\":").nth(1).map(|rest| rest.trim_end_matches('}'));
                        let spec = spec.map_or("{}".into(), |spec| format!("{spec}}}"));
                        self.put(kind, name, spec.as_bytes());
                        (200, b"{}".to_vec())
                    }
                }
            }
            ("DELETE", _) => match self.get(kind, name).0 {
                200 => {
                    self.remove(kind, name);
                    (200, b"{}".to_vec())
                }
                status => (status, b"{}".to_vec()),
            },
            _ => (404, b"{}".to_vec()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Vec<u8>) {
        let contents = self.shared.contents.lock().unwrap();
        match contents.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object_bytes(name, *revision, spec)),
            None => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let contents = self.shared.contents.lock().unwrap();
        let mut rest =
            contents.objects.iter().filter(|(key, _)| key.0 == kind && key.1.as_str() > after).peekable();
        let mut items = Vec::new();
        while let (true, Some((key, (revision, spec)))) = (items.len() < PAGE_SIZE, rest.peek()) {
            items.push(object_bytes(&key.1, *revision, spec));
            rest.next();
        }
        let more = rest.peek().is_some();
        let end = format!("],\"more\":{more},\"current_rev\":{}}}", contents.revision);
        [b"{\"items\":[", items.join(&b',').as_slice(), end.as_bytes()].concat()
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Vec<u8> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut contents = self.shared.contents.lock().unwrap();
        loop {
            let events = contents.events.iter().filter(|event| event.0 > after && event.1 == kind);
            let events: Vec<Vec<u8>> = events.map(|event| event.2.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let end = format!("],\"current_rev\":{}}}", contents.revision);
                return [b"{\"events\":[", events.join(&b',').as_slice(), end.as_bytes()].concat();
            }
            contents = self.shared.changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

fn object_bytes(name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let start = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_rev\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":"
    );
    [start.as_bytes(), spec, b",\"status\":null}"].concat()
}

fn event_bytes(is_deleted: bool, name: &str, revision: u64, spec: &[u8]) -> Vec<u8> {
    let start = format!("{{\"deleted\":{is_deleted},\"object\":");
    [start.as_bytes(), &object_bytes(name, revision, spec), b"}"].concat()
}
