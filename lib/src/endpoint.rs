//! An address to which connections can be opened.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::Deserialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The address of one process: neither port 0, nor an address that stands for all or several hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "SocketAddr")]
pub struct Endpoint(SocketAddr);

impl Endpoint {
    /// Returns the address.
    pub fn addr(self) -> SocketAddr {
        self.0
    }
}

impl TryFrom<SocketAddr> for Endpoint {
    type Error = Error;

    fn try_from(addr: SocketAddr) -> Result<Self> {
        let ip = addr.ip();
        match addr.port() > 0 && !ip.is_unspecified() && !ip.is_multicast() {
            true => Ok(Self(addr)),
            false => Err(bad_endpoint(&addr)),
        }
    }
}

impl FromStr for Endpoint {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let addr: SocketAddr = text.parse().map_err(|_| bad_endpoint(&text))?;
        addr.try_into()
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

fn bad_endpoint(addr: &dyn fmt::Debug) -> Error {
    Error::new(
        ResultCode::BadNumber,
        format!("{addr:?} is not the address of one process"),
        "use an IP address of one host and a port from 1 to 65535",
    )
}
