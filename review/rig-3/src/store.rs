//! Stand-in of the platform's store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;

#[derive(Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind, whether the object was removed, and the object as JSON.
    events: Vec<(u64, String, bool, String)>,
}

/// A store that answers at once and loses nothing.
pub struct Store {
    /// Whether the store takes calls and answers none.
    pub is_silent: AtomicBool,
    objects: Mutex<Objects>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let objects = Objects { revision: 100, ..Objects::default() };
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            is_silent: AtomicBool::new(false),
            objects: Mutex::new(objects),
            changed: Condvar::new(),
            address,
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object; `spec` is JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let object = object_json(name, revision, spec);
        objects.by_name.insert((kind.into(), name.into()), (revision, spec.into()));
        objects.events.push((revision, kind.into(), false, object));
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let mut objects = self.objects.lock().unwrap();
        let Some((_, spec)) = objects.by_name.remove(&(kind.into(), name.into())) else {
            return false;
        };
        objects.revision += 1;
        let revision = objects.revision;
        objects.events.push((revision, kind.into(), true, object_json(name, revision, &spec)));
        self.changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut input) {
            let Ok(body) = head.read_body(&mut input) else { return };
            if self.is_silent.load(Ordering::SeqCst) {
                while self.is_silent.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(20));
                }
                return;
            }
            let (status, answer) = self.answer(&head, &String::from_utf8_lossy(&body));
            let text = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let number = |name: &str| -> Option<u64> {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let mut parts = path.trim_start_matches('/').splitn(3, '/').skip(1);
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        match (head.method(), name, number("watch")) {
            ("GET", None, Some(after)) => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.watch(kind, after, wait))
            }
            ("GET", None, None) => (200, self.list(kind)),
            ("DELETE", Some(name), _) if self.delete(kind, name) => (200, "{}".into()),
            ("POST", None, _) | ("PUT", Some(_), _) => match name_and_spec(body) {
                Some((name, spec)) => {
                    self.put(kind, name, spec);
                    (200, "{}".into())
                }
                None => (400, "{}".into()),
            },
            _ => (404, "{}".into()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.lock().unwrap();
        let listed = objects.by_name.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> = listed
            .map(|((_, name), (revision, spec))| object_json(name, *revision, spec))
            .collect();
        let revision = objects.revision;
        format!("{{\"items\":[{}],\"more\":false,\"current_rev\":{revision}}}", items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let new = objects.events.iter().filter(|(at, known, ..)| *at > after && known == kind);
            let events: Vec<String> = new
                .map(|(_, _, deleted, object)| {
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = objects.revision;
                return format!("{{\"events\":[{}],\"current_rev\":{revision}}}", events.join(","));
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn object_json(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_rev\":{revision},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// Name and spec of an object as the hosts write it: metadata first, the spec last.
fn name_and_spec(body: &str) -> Option<(&str, &str)> {
    let name = body.split_once("\"name\":\"")?.1.split('"').next()?;
    let spec = body.split_once("\"spec\":")?.1.trim_end().strip_suffix('}')?;
    Some((name, spec))
}
