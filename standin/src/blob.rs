//! Bytes that depend on a request's id, so that a client recognises the body of its own request.

use ntex::util::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK: usize = 8;

/// Returns the bytes from `offset` on of the blob that belongs to the request id.
pub fn chunk(id: &str, offset: u64, length: usize) -> Bytes {
    let seed = xxh3_64(id.as_bytes());
    let skip = (offset % BLOCK as u64) as usize;
    let first = offset / BLOCK as u64;
    let count = (skip + length).div_ceil(BLOCK);
    let mut bytes = Vec::with_capacity(count * BLOCK);
    for block in (first..).take(count) {
        let value = xxh3_64_with_seed(&block.to_le_bytes(), seed);
        bytes.extend_from_slice(&value.to_le_bytes());
    }
    Bytes::copy_from_slice(&bytes[skip..skip + length])
}
