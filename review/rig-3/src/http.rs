//! The little of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::Read;

/// Start line and headers of a message; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read(input: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return match head.line.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let line = line.trim_end();
            match line.split_once(':') {
                _ if line.is_empty() && head.line.is_empty() => {}
                _ if line.is_empty() => return Ok(Some(head)),
                _ if head.line.is_empty() => head.line = line.to_owned(),
                Some((name, value)) => {
                    head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                }
                None => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Reads the body that belongs to the head. An answer without a length ends with its connection.
    pub fn read_body(&self, input: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if !self.is_chunked() {
            let length = self.length();
            input.take(length as u64).read_to_end(&mut body)?;
            return match body.len() == length {
                true => Ok(body),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
            let mut part = vec![0; size + 2];
            input.read_exact(&mut part)?;
            body.extend_from_slice(&part[..size]);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}
