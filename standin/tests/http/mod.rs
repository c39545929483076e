//! A blocking HTTP client that uses a single connection.

#![allow(dead_code)]

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) declared: usize,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

pub(crate) struct Conn(BufReader<TcpStream>);

impl Conn {
    pub(crate) fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("the simulator accepts connections");
        Self(BufReader::new(stream))
    }

    pub(crate) fn set_read_timeout(&mut self, timeout: Duration) {
        let stream = self.0.get_ref();
        stream.set_read_timeout(Some(timeout)).expect("a timeout");
    }

    pub(crate) fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) {
        let mut head = format!(
            "{line} HTTP/1.1\r\nhost: test\r\ncontent-length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.0
            .get_mut()
            .write_all(head.as_bytes())
            .expect("an open connection");
        self.0
            .get_mut()
            .write_all(body)
            .expect("an open connection");
    }

    /// Reads a reply. A truncated body is returned as far as it was received.
    pub(crate) fn receive(&mut self) -> io::Result<Reply> {
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line[9..12].parse().expect("a status");
        let mut headers = Vec::new();
        loop {
            line.clear();
            self.0.read_line(&mut line)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let declared = length.map_or(0, |(_, value)| value.parse().expect("a length"));
        let mut body = Vec::new();
        let _ = (&mut self.0).take(declared as u64).read_to_end(&mut body);
        Ok(Reply {
            status,
            headers,
            declared,
            body,
        })
    }

    pub(crate) fn call(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Reply> {
        self.send(line, headers, body);
        self.receive()
    }
}

/// Sends one request on a new connection.
pub(crate) fn call(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Reply> {
    Conn::open(addr).call(line, headers, body)
}
