//! Bodies that callers of this process have sent lately, by digest.

use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use indexmap::IndexMap;

/// Most bytes kept; the oldest bodies are dropped first.
const MAX_KEPT_BYTES: usize = 64 << 20;

static BODIES: Mutex<KeptBodies> = Mutex::new(KeptBodies { bodies: None, bytes: 0 });

struct KeptBodies {
    bodies: Option<IndexMap<Box<str>, Bytes>>,
    bytes: usize,
}

/// Keeps a body under its digest.
pub fn keep_body(digest: &str, body: &Bytes) {
    let mut kept = BODIES.lock().unwrap_or_else(PoisonError::into_inner);
    let mut bodies = kept.bodies.take().unwrap_or_default();
    if bodies.insert(digest.into(), body.clone()).is_none() {
        kept.bytes += body.len();
    }
    while kept.bytes > MAX_KEPT_BYTES {
        kept.bytes -= bodies.shift_remove_index(0).map_or(0, |(_, body)| body.len());
    }
    kept.bodies = Some(bodies);
}

/// Body with a digest; `None` if none was sent by a caller of this process lately.
pub fn kept_body(digest: &str) -> Option<Bytes> {
    let kept = BODIES.lock().unwrap_or_else(PoisonError::into_inner);
    kept.bodies.as_ref()?.get(digest).cloned()
}
