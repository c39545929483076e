//! Snapshots of the replicated state, which allow older records of the log to expire.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use uuid::Builder;

use crate::error::Error;
use crate::error::Result;
use crate::plan_digest::PlanDigest;
use crate::record::Body;
use crate::record::Chunk;
use crate::record::Record;
use crate::record_id::RecordId;
use crate::replicated_state::ReplicatedState;
use crate::result_code::ResultCode;
use crate::snapshot_marks::MAX_CHUNKS;

/// The number of encoded bytes per chunk. In base64 this gives records of about 86 KiB.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// The version of the encoding: the one that this release writes and the only one that it reads.
const FORMAT: u32 = 1;

const UUID_BYTES: usize = 16;

/// Encodes and decodes snapshots.
///
/// The bytes depend only on the state, and the record ids only on the bytes, so VMs that append a
/// snapshot of the same state append identical records.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot;

#[derive(Serialize)]
struct EncodedRef<'a> {
    format: u32,
    #[serde(rename = "fold")]
    state: &'a ReplicatedState,
}

#[derive(Deserialize)]
struct Encoded {
    #[serde(rename = "fold")]
    state: ReplicatedState,
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

impl Snapshot {
    /// Encodes the state as chunks.
    pub fn encode(state: &ReplicatedState) -> Vec<Record> {
        let encoded = EncodedRef {
            format: FORMAT,
            state,
        };
        let bytes = serde_json::to_vec(&encoded).expect("no serializer of the state fails");
        let digest = PlanDigest(Sha256::digest(&bytes).into());
        let parts: Vec<_> = bytes.chunks(CHUNK_BYTES).collect();
        let count = parts.len() as u32;
        let chunk = |(index, part): (usize, &&[u8])| Chunk {
            upto: state.applied(),
            index: index as u32,
            count,
            digest,
            data: STANDARD.encode(part).into(),
        };
        let chunks = parts.iter().enumerate().map(chunk);
        chunks
            .map(|chunk| Record {
                id: chunk_id(&digest, chunk.index),
                body: Body::Snapshot(chunk),
            })
            .collect()
    }

    /// Decodes the state from one complete set of chunks, in any order. Duplicates are ignored.
    pub fn decode(records: &[Record]) -> Result<ReplicatedState> {
        let mut chunks = BTreeMap::new();
        for record in records {
            let Body::Snapshot(chunk) = &record.body else {
                return Err(bad_snapshot("a record is not a snapshot chunk"));
            };
            chunks.insert(chunk.index, chunk);
        }
        let Some(head) = chunks.values().next().copied() else {
            return Err(bad_snapshot("there are no chunks"));
        };
        if records.len() > MAX_CHUNKS as usize * 2 {
            return Err(bad_snapshot("there are too many chunks"));
        }
        for record in records {
            let Body::Snapshot(chunk) = &record.body else {
                continue;
            };
            let same_set =
                chunk.digest == head.digest && chunk.count == head.count && chunk.upto == head.upto;
            if !same_set {
                return Err(bad_snapshot("the chunks belong to different snapshots"));
            }
        }
        if !chunks.keys().copied().eq(0..head.count) {
            return Err(bad_snapshot(&format!(
                "only {} of {} chunks are present",
                chunks.len(),
                head.count
            )));
        }
        let mut bytes = Vec::new();
        for chunk in chunks.values() {
            let part = STANDARD.decode(chunk.data.as_bytes());
            bytes.extend(part.map_err(|_| bad_snapshot("a chunk is not base64"))?);
        }
        let state = decode_bytes(&bytes, &head.digest)?;
        if state.applied() != head.upto {
            return Err(bad_snapshot(
                "the offset in the chunks differs from that of the state",
            ));
        }
        Ok(state)
    }
}

fn decode_bytes(bytes: &[u8], digest: &PlanDigest) -> Result<ReplicatedState> {
    if Sha256::digest(bytes)[..] != digest.0 {
        return Err(bad_snapshot("the bytes do not match the digest"));
    }
    let format: Format = serde_json::from_slice(bytes)
        .map_err(|_| bad_snapshot("the bytes do not state a format"))?;
    if format.format != FORMAT {
        return Err(bad_snapshot(&format!(
            "format {} is not known to this release, which reads format {FORMAT}",
            format.format
        )));
    }
    let encoded: Encoded = serde_json::from_slice(bytes)
        .map_err(|error| bad_snapshot(&format!("the state cannot be decoded: {error}")))?;
    Ok(encoded.state)
}

fn chunk_id(digest: &PlanDigest, index: u32) -> RecordId {
    let mut hash = Sha256::new();
    hash.update(digest.0);
    hash.update(index.to_be_bytes());
    let mut bytes = [0; UUID_BYTES];
    bytes.copy_from_slice(&hash.finalize()[..UUID_BYTES]);
    RecordId(Builder::from_custom_bytes(bytes).into_uuid())
}

fn bad_snapshot(reason: &str) -> Error {
    Error::new(
        ResultCode::BadSnapshot,
        format!("the snapshot cannot be used: {reason}"),
        "an older snapshot or a peer's is used instead; if there is none, start a VM of the \
         release that wrote it",
    )
}
