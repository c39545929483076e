//! Pseudorandom response bodies derived from a request's id, so that a client can verify that a body
//! belongs to its own request.

use ntex::util::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const BLOCK_BYTES: usize = 8;

/// Returns `length` bytes, starting at `offset`, of the blob for the request id.
pub fn chunk(id: &str, offset: u64, length: usize) -> Bytes {
    let seed = xxh3_64(id.as_bytes());
    let skip = (offset % BLOCK_BYTES as u64) as usize;
    let first = offset / BLOCK_BYTES as u64;
    let count = (skip + length).div_ceil(BLOCK_BYTES);
    let mut bytes = Vec::with_capacity(count * BLOCK_BYTES);
    for block in (first..).take(count) {
        let value = xxh3_64_with_seed(&block.to_le_bytes(), seed);
        bytes.extend_from_slice(&value.to_le_bytes());
    }
    Bytes::copy_from_slice(&bytes[skip..skip + length])
}
