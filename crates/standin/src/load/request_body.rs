//! Request bodies with content derived from the request's identifier.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use sha2::Digest;
use sha2::Sha256;

use crate::target_standin::AnswerContent;

const PIECE_BYTES: u64 = 16 * 1024;

/// Body type of all callers' requests.
pub type CallerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Creates a body of `length` bytes with the content that belongs to `id`; `pause` precedes each piece.
pub fn caller_body(id: &str, length: u64, pause: Duration) -> CallerBody {
    if length == 0 {
        return Empty::new().boxed_unsync();
    }
    let content = AnswerContent::new(id);
    let pieces = stream::unfold(0, move |sent| {
        let content = content.clone();
        async move {
            let piece = (length - sent).min(PIECE_BYTES);
            if piece == 0 {
                return None;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            Some((Ok(Frame::data(content.bytes(sent, piece as usize))), sent + piece))
        }
    });
    StreamBody::new(pieces.boxed()).boxed_unsync()
}

/// SHA-256 of the body that `caller_body` creates, in lower-case hex.
pub fn body_digest(id: &str, length: u64) -> Box<str> {
    let content = AnswerContent::new(id);
    let mut digest = Sha256::new();
    let mut sent = 0;
    while sent < length {
        let piece = (length - sent).min(PIECE_BYTES);
        digest.update(content.bytes(sent, piece as usize));
        sent += piece;
    }
    digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect::<String>().into()
}
