//! Bodies between VMs that are compressed if they are long.

use std::io;
use std::io::Read;
use std::io::Write;

use carobshore_http::fields::Fields;
use carobshore_http::persistent_client::MAX_BODY;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::reply::Reply;

/// Header field of an answer with a compressed body.
const ENCODING_FIELD: &str = "Content-Encoding";
const DEFLATE: &str = "deflate";
/// Length from which on a body is compressed, in bytes.
const MIN_COMPRESSED: usize = 1 << 10;
/// Largest length of an uncompressed body, in bytes.
const MAX_TEXT: u64 = MAX_BODY as u64;

/// A body as it is sent.
#[derive(Clone, Debug, Default)]
pub struct CompressedBody {
    bytes: Vec<u8>,
    compressed: bool,
}

impl CompressedBody {
    /// Creates a body that is sent as it is.
    pub fn plain(bytes: Vec<u8>) -> Self {
        Self {
            bytes,
            compressed: false,
        }
    }

    /// Creates a body that is compressed if it is long.
    pub fn new(bytes: Vec<u8>) -> io::Result<Self> {
        if bytes.len() < MIN_COMPRESSED {
            return Ok(Self::plain(bytes));
        }
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&bytes)?;
        Ok(Self {
            bytes: encoder.finish()?,
            compressed: true,
        })
    }

    /// Returns the response with the body.
    pub fn reply(&self) -> Reply {
        let reply = Reply::text(200, self.bytes.clone());
        match self.compressed {
            true => reply.with_field(ENCODING_FIELD, DEFLATE),
            false => reply,
        }
    }
}

/// Returns the body of an answer with these header fields as it was before it was compressed.
pub fn decode(fields: &Fields, body: &[u8]) -> io::Result<Vec<u8>> {
    if fields.text(ENCODING_FIELD) != Some(DEFLATE) {
        return Ok(body.to_vec());
    }
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(body).take(MAX_TEXT);
    decoder.read_to_end(&mut text)?;
    Ok(text)
}
