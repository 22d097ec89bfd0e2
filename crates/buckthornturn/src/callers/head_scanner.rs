//! Finds the heads of requests in the input of a connection as it passes to the HTTP server.

use std::time::Instant;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::Version;
use http::header;

const HEAD_END: &[u8] = b"\r\n\r\n";
/// Input that is kept while it waits to be scanned. Callers that send more ahead have their requests run one after another, so
/// that thousands of connections fit on the smallest host.
const MAX_PENDING_BYTES: usize = 8 << 10;
/// Longest path that the HTTP server accepts.
const MAX_URI_BYTES: usize = u16::MAX as usize - 1;

/// Bounds of a head that the HTTP server accepts.
#[derive(Clone, Copy, Debug)]
pub struct HeadBounds {
    /// Maximum size of a head, in bytes.
    pub max_bytes: usize,
    /// Maximum number of headers.
    pub max_headers: usize,
}

/// Head that was found in the input.
#[derive(Debug)]
pub struct ScannedHead {
    /// Method, URI and headers.
    pub request: Request<()>,
    /// Length of the body that follows the head.
    pub body_bytes: u64,
    /// When the end of the head was read from the connection, or a little later.
    pub arrived_at: Instant,
}

/// Finds heads with the parser of the HTTP server. It ends for good at any input whose meaning is not beyond doubt, so that
/// it never takes other bytes for a request.
pub struct HeadScanner {
    bounds: HeadBounds,
    pending: BytesMut,
    /// Start of the pending input in which no end of a head was found.
    searched_bytes: usize,
    body_left: u64,
    has_ended: bool,
}

impl HeadScanner {
    /// Creates a scanner at the start of a connection.
    pub fn new(bounds: HeadBounds) -> Self {
        Self { bounds, pending: BytesMut::new(), searched_bytes: 0, body_left: 0, has_ended: false }
    }

    /// Creates a scanner that finds nothing.
    pub fn disabled() -> Self {
        let bounds = HeadBounds { max_bytes: 0, max_headers: 0 };
        Self { has_ended: true, ..Self::new(bounds) }
    }

    /// Whether no further head will be found.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether no input is kept.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Ends the scan.
    pub fn end(&mut self) {
        self.has_ended = true;
        self.pending = BytesMut::new();
    }

    /// Adds input that follows what was added before.
    pub fn add(&mut self, bytes: &[u8]) {
        if self.has_ended {
            return;
        }
        let skipped = self.body_left.min(bytes.len() as u64);
        self.body_left -= skipped;
        self.pending.extend_from_slice(&bytes[skipped as usize..]);
        if self.pending.len() > MAX_PENDING_BYTES {
            self.end();
        }
    }

    /// Takes the next head out of the input; `None` if it is not complete, or the scan has ended.
    pub fn take_head(&mut self) -> Option<ScannedHead> {
        if self.has_ended || self.pending.is_empty() {
            return None;
        }
        if !self.holds_head_end() {
            if self.pending.len() >= self.bounds.max_bytes {
                self.end();
            }
            return None;
        }
        let Ok(parsed) = parse_head(&self.pending, self.bounds) else {
            self.end();
            return None;
        };
        self.searched_bytes = 0;
        self.pending.advance(parsed.head_bytes);
        if parsed.is_last {
            self.end();
        }
        self.body_left = parsed.body_bytes;
        let skipped = self.body_left.min(self.pending.len() as u64);
        self.body_left -= skipped;
        self.pending.advance(skipped as usize);
        if self.pending.is_empty() {
            self.pending = BytesMut::new();
        }
        let (request, body_bytes) = (parsed.request, parsed.body_bytes);
        Some(ScannedHead { request, body_bytes, arrived_at: Instant::now() })
    }

    fn holds_head_end(&mut self) -> bool {
        let start = self.searched_bytes.saturating_sub(HEAD_END.len() - 1);
        self.searched_bytes = self.pending.len();
        self.pending[start..].windows(HEAD_END.len()).any(|part| part == HEAD_END)
    }
}

struct ParsedHead {
    request: Request<()>,
    head_bytes: usize,
    body_bytes: u64,
    is_last: bool,
}

/// The input is no head, or one whose end or body the scanner does not follow.
struct Unclear;

fn parse_head(input: &[u8], bounds: HeadBounds) -> Result<ParsedHead, Unclear> {
    // Empty lines ahead of a head are skipped by the HTTP server in some states only.
    if !input[0].is_ascii_uppercase() {
        return Err(Unclear);
    }
    let mut headers = vec![httparse::EMPTY_HEADER; bounds.max_headers];
    let mut head = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(head_bytes)) = head.parse(input) else {
        return Err(Unclear);
    };
    let text = &input[..head_bytes];
    let (method, path) = (head.method.ok_or(Unclear)?, head.path.ok_or(Unclear)?);
    if head.version != Some(1)
        || head_bytes > bounds.max_bytes
        || path.len() > MAX_URI_BYTES
        || has_bare_line_feed(text)
    {
        return Err(Unclear);
    }
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(method.as_bytes()).map_err(|_| Unclear)?;
    *request.uri_mut() =
        Uri::from_maybe_shared(Bytes::copy_from_slice(path.as_bytes())).map_err(|_| Unclear)?;
    *request.version_mut() = Version::HTTP_11;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(|_| Unclear)?;
        let value = HeaderValue::from_bytes(header.value).map_err(|_| Unclear)?;
        request.headers_mut().append(name, value);
    }
    let body_bytes = body_length(&request)?;
    let is_last = !keeps_alive(request.headers());
    Ok(ParsedHead { request, head_bytes, body_bytes, is_last })
}

fn has_bare_line_feed(text: &[u8]) -> bool {
    text.windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r')
}

/// Length of the body of a request whose length is stated once and plainly.
fn body_length(request: &Request<()>) -> Result<u64, Unclear> {
    let headers = request.headers();
    let is_unclear = request.method() == Method::CONNECT
        || [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT]
            .iter()
            .any(|name| headers.contains_key(name));
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    match (lengths.next(), lengths.next()) {
        _ if is_unclear => Err(Unclear),
        (None, _) => Ok(0),
        (Some(length), None) => {
            let is_plain = length.as_bytes().iter().all(u8::is_ascii_digit);
            let length = length.to_str().ok().filter(|_| is_plain && length.len() <= 15);
            length.and_then(|text| text.parse().ok()).ok_or(Unclear)
        }
        (Some(_), Some(_)) => Err(Unclear),
    }
}

/// Whether the connection certainly goes on behind the request.
fn keeps_alive(headers: &HeaderMap) -> bool {
    let mut options = headers.get_all(header::CONNECTION).iter();
    options.all(|value| value.as_bytes().eq_ignore_ascii_case(b"keep-alive"))
}
