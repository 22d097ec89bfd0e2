//! Requests' bodies with content derived from the request's identifier, and how they are sent.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sha2::Digest;
use sha2::Sha256;

use crate::body_check::RequestStamp;
use crate::load::RequestTemplate;
use crate::target_standin::AnswerContent;

const PIECE_BYTES: usize = 16 * 1024;
/// Power of a uniform number that makes the mean length of mixed uploads a sixth of the longest.
const LENGTH_POWER: i32 = 5;
const CHUNKED_SHARE: f64 = 0.5;
const SLOW_SHARE: f64 = 0.3;
const BREAK_SHARE: f64 = 0.1;

/// Body type of all callers' requests; an error ends the connection.
pub type CallerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Body of one request and how its caller sends it.
pub struct SentBody {
    /// Whole content, also if the caller breaks off.
    pub content: Bytes,
    /// Method, path, query and body.
    pub stamp: RequestStamp,
    /// Whether no length is sent ahead.
    pub is_chunked: bool,
    /// Number of bytes after which the caller breaks off; `None` if it sends all of them.
    pub broken_off_at: Option<usize>,
    pause: Duration,
}

impl SentBody {
    /// Creates the body of the request `id`, which a mixed template draws from the identifier.
    pub fn new(template: &RequestTemplate, id: &str) -> Self {
        let seed = Sha256::digest(id.as_bytes()).into();
        let mut rng = ChaCha8Rng::from_seed(seed);
        let mixed = template.mixed;
        let length = match mixed {
            true => template.body_bytes as f64 * rng.random_range(0.0..=1.0_f64).powi(LENGTH_POWER),
            false => template.body_bytes as f64,
        };
        let content = AnswerContent::new(id).bytes(0, length as usize);
        let stamp = RequestStamp::keeping(&template.method, &template.path, &content);
        let is_slow = !mixed || rng.random_bool(SLOW_SHARE);
        let is_broken = mixed && rng.random_bool(BREAK_SHARE) && !content.is_empty();
        Self {
            is_chunked: mixed && rng.random_bool(CHUNKED_SHARE),
            broken_off_at: is_broken.then(|| rng.random_range(0..content.len())),
            pause: Duration::from_millis(if is_slow { template.body_pause_ms } else { 0 }),
            content,
            stamp,
        }
    }

    /// Stream of the body; a pause precedes each piece of a slow one.
    pub fn stream(&self) -> CallerBody {
        if self.content.is_empty() {
            return empty_body();
        }
        let (end, pause) = (self.broken_off_at.unwrap_or(self.content.len()), self.pause);
        let (left, is_broken) = (self.content.slice(..end), self.broken_off_at.is_some());
        let pieces = stream::unfold((left, is_broken), move |(mut left, is_broken)| async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let piece = left.split_to(left.len().min(PIECE_BYTES));
            match piece.is_empty() {
                false => Some((Ok(Frame::data(piece)), (left, is_broken))),
                true if is_broken => {
                    Some((Err(io::ErrorKind::ConnectionAborted.into()), (left, false)))
                }
                true => None,
            }
        });
        StreamBody::new(pieces.boxed()).boxed_unsync()
    }
}

/// Body of requests without content.
pub fn empty_body() -> CallerBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}
