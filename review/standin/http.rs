//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or response head: the words of the start line and the header fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: Vec<String>,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first field with the name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut named = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A socket with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 65_536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a head. Returns nothing if the connection ends before the first byte of it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines
                    .next()
                    .unwrap_or("")
                    .split(' ')
                    .map(String::from)
                    .collect();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, fields }));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body with a `Content-Length`.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head
            .field("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
