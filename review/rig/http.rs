//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;

pub struct Head {
    /// First line of a request or an answer.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the connection ends before it.
    pub fn read(source: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut start = String::new();
        if source.read_line(&mut start)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if source.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end().split_once(':') {
                Some((name, value)) => {
                    headers.push((name.to_ascii_lowercase(), value.trim().to_owned()))
                }
                None => return Ok(Some(Self { start: start.trim_end().to_owned(), headers })),
            }
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Word of the first line by its place.
    pub fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
    }
}

/// Reads the size of the next chunk.
pub fn read_chunk_size(source: &mut impl BufRead) -> io::Result<usize> {
    let mut line = String::new();
    source.read_line(&mut line)?;
    usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Reads a whole body by its length or in chunks.
pub fn read_body(source: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if !head.is_chunked() {
        body.resize(head.length().unwrap_or(0), 0);
        source.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let size = read_chunk_size(source)?;
        let mut chunk = vec![0; size + 2];
        source.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Value of a name in a query.
pub fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|pair| pair.1)
}
