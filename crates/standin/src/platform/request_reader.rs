//! Reads HTTP/1.1 requests from a socket, with a body of known length or in chunks.

use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

/// Largest head or chunk line that is read, in bytes.
const MAX_LINES_BYTES: usize = 16 << 10;
/// Size of the pieces that are read from the socket, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// What is left of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFraming {
    /// So many bytes of a body of known length.
    Length(usize),
    /// So many bytes of a chunk, and the line end after it.
    Chunk(usize),
    /// The line with the length of the next chunk.
    ChunkLine,
    /// Nothing.
    Complete,
}

/// Fields of a request's head.
#[derive(Clone, Debug)]
pub(super) struct HeadFields {
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    pub attempt_id: Box<str>,
    /// Name in the `x-target-instance` header.
    pub target: Box<str>,
    pub framing: BodyFraming,
}

/// Why nothing more can be read from a connection.
#[derive(Clone, Debug)]
pub(super) enum ReadFault {
    /// The connection ended.
    Ended,
    /// These bytes are no HTTP.
    NoHttp(Box<[u8]>),
}

/// Reader of the requests on one connection. Bytes after a body are kept for the next head.
pub(super) struct RequestReader {
    socket: OwnedReadHalf,
    buffer: Vec<u8>,
}

impl RequestReader {
    pub fn new(socket: OwnedReadHalf) -> Self {
        Self { socket, buffer: Vec::new() }
    }

    /// Reads the next head; `None` if the connection ended before it.
    pub async fn read_head(&mut self) -> Result<Option<HeadFields>, ReadFault> {
        let lines = loop {
            match find(&self.buffer, b"\r\n\r\n") {
                Some(end) => break self.buffer.drain(..end + 4).collect::<Vec<_>>(),
                None if !may_start_head(&self.buffer) || self.buffer.len() > MAX_LINES_BYTES => {
                    return Err(ReadFault::NoHttp(self.buffer.as_slice().into()));
                }
                None if self.buffer.is_empty() => match self.fill().await {
                    Ok(()) => {}
                    Err(_) => return Ok(None),
                },
                None => self.fill().await?,
            }
        };
        match HeadFields::parse(&lines) {
            Some(head) => Ok(Some(head)),
            None => Err(ReadFault::NoHttp(lines.into())),
        }
    }

    /// Reads the next bytes of a body and takes them from `framing`.
    pub async fn read_body(&mut self, framing: &mut BodyFraming) -> Result<Vec<u8>, ReadFault> {
        match *framing {
            BodyFraming::Length(left) => {
                let bytes = self.take(left).await?;
                *framing = length_framing(left - bytes.len());
                Ok(bytes)
            }
            BodyFraming::Chunk(0) => {
                self.read_line_end().await?;
                *framing = BodyFraming::ChunkLine;
                Ok(Vec::new())
            }
            BodyFraming::Chunk(left) => {
                let bytes = self.take(left).await?;
                *framing = BodyFraming::Chunk(left - bytes.len());
                Ok(bytes)
            }
            BodyFraming::ChunkLine => {
                *framing = match self.read_chunk_length().await? {
                    0 => {
                        self.read_line_end().await?;
                        BodyFraming::Complete
                    }
                    length => BodyFraming::Chunk(length),
                };
                Ok(Vec::new())
            }
            BodyFraming::Complete => Ok(Vec::new()),
        }
    }

    async fn take(&mut self, most: usize) -> Result<Vec<u8>, ReadFault> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        let count = self.buffer.len().min(most);
        Ok(self.buffer.drain(..count).collect())
    }

    async fn read_chunk_length(&mut self) -> Result<usize, ReadFault> {
        let line = loop {
            match find(&self.buffer, b"\r\n") {
                Some(end) => break self.buffer.drain(..end + 2).collect::<Vec<_>>(),
                None if self.buffer.len() > MAX_LINES_BYTES => {
                    return Err(ReadFault::NoHttp(self.buffer.as_slice().into()));
                }
                None => self.fill().await?,
            }
        };
        let length = std::str::from_utf8(&line).ok().and_then(|line| {
            let digits = line.trim_end().split(';').next()?;
            usize::from_str_radix(digits, 16).ok()
        });
        length.ok_or_else(|| ReadFault::NoHttp(line.into()))
    }

    async fn read_line_end(&mut self) -> Result<(), ReadFault> {
        while self.buffer.len() < 2 {
            self.fill().await?;
        }
        match self.buffer.drain(..2).collect::<Vec<_>>() {
            end if end == b"\r\n" => Ok(()),
            other => Err(ReadFault::NoHttp(other.into())),
        }
    }

    async fn fill(&mut self) -> Result<(), ReadFault> {
        let mut piece = vec![0; PIECE_BYTES];
        match self.socket.read(&mut piece).await {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(())
            }
            _ => Err(ReadFault::Ended),
        }
    }
}

impl HeadFields {
    /// Reads the fields from the lines of a head; `None` if they are no head of HTTP/1.1.
    fn parse(lines: &[u8]) -> Option<Self> {
        let mut lines = std::str::from_utf8(lines).ok()?.split("\r\n");
        let mut words = lines.next()?.split(' ');
        let (method, path) = (words.next()?, words.next()?);
        let is_request = words.next() == Some("HTTP/1.1") && path.starts_with('/');
        let mut head = Self {
            method: method.into(),
            path: path.into(),
            attempt_id: Box::default(),
            target: Box::default(),
            framing: BodyFraming::Complete,
        };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':')?;
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "x-attempt-id" => head.attempt_id = value.into(),
                "x-target-instance" => head.target = value.into(),
                "content-length" => head.framing = length_framing(value.parse().ok()?),
                "transfer-encoding" => head.framing = BodyFraming::ChunkLine,
                _ => {}
            }
        }
        is_request.then_some(head)
    }
}

fn length_framing(left: usize) -> BodyFraming {
    match left {
        0 => BodyFraming::Complete,
        left => BodyFraming::Length(left),
    }
}

/// Whether bytes can be the start of a head: a method in capital letters and a space.
fn may_start_head(bytes: &[u8]) -> bool {
    let method = bytes.iter().take_while(|byte| byte.is_ascii_uppercase()).count();
    method == bytes.len() || method > 0 && bytes[method] == b' '
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
