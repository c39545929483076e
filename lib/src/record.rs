//! The records of the platform's log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain_id::DomainId;
use crate::error::Error;
use crate::error::Result;
use crate::intent::Intent;
use crate::item_id::ItemId;
use crate::offset::Offset;
use crate::operator_id::OperatorId;
use crate::plan_digest::PlanDigest;
use crate::record_id::RecordId;
use crate::result_code::ResultCode;
use crate::version::Version;
use crate::vm_id::VmId;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The id by which duplicates are detected, chosen by the writer.
    pub id: RecordId,
    /// The content.
    pub body: Body,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Body {
    /// An operator proposes changes of the configuration.
    Intent(Intent),
    /// An operator puts an intent into force.
    Confirm(Confirm),
    /// A part of a snapshot of the replicated state.
    Snapshot(Chunk),
    /// A VM joins the roster.
    Join(Join),
    /// A VM leaves the roster after a planned stop.
    Leave {
        /// The VM that leaves.
        vm: VmId,
    },
    /// A VM removes another one, which sends no heartbeats, from the roster.
    Displace {
        /// The VM that is removed.
        vm: VmId,
        /// The VM that watched it.
        by: VmId,
    },
}

/// Puts the plan of an intent into force if its bases are current.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirm {
    /// The operator who confirms.
    pub operator: OperatorId,
    /// The intent's record id.
    pub intent: RecordId,
    /// The digest of the plan that the operator saw.
    pub digest: PlanDigest,
    /// The version of each changed service and route on which the plan is based.
    pub bases: BTreeMap<ItemId, Version>,
}

/// One part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The offset below which all records are covered by the snapshot.
    pub upto: Offset,
    /// The index of this chunk in the set, from 0.
    pub index: u32,
    /// The number of chunks in the set.
    pub count: u32,
    /// The SHA-256 digest of the whole encoded snapshot.
    pub digest: PlanDigest,
    /// The bytes of this chunk in base64.
    pub data: Box<str>,
}

/// Adds a VM to the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// The VM's id, new at each start.
    pub vm: VmId,
    /// The failure domain in which it runs.
    pub domain: DomainId,
    /// The address for control messages from its peers.
    pub rpc: SocketAddr,
    /// The address for forwarded calls.
    pub forward: SocketAddr,
}

impl Record {
    /// Decodes a record from JSON.
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|error| {
            Error::new(
                ResultCode::BadRecord,
                format!("the log record cannot be decoded: {error}"),
                "every VM skips the record; look for a writer of another release",
            )
        })
    }

    /// Encodes the record as JSON, the form in which it is appended to the log.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("records have string keys and no failing serializer")
    }
}
