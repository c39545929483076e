//! A short summary of a list of VMs, by which two VMs see whether their lists differ.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;
use crate::vm_roster::VmRoster;

/// The number of VMs and a hash of their names, whatever their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RosterDigest {
    vms: usize,
    hash: u64,
}

impl From<&VmRoster> for RosterDigest {
    fn from(roster: &VmRoster) -> Self {
        let hashes = roster.iter().map(|vm| xxh3_64(vm.name.as_bytes()));
        Self {
            vms: roster.len().unwrap_or(0),
            hash: hashes.fold(0, u64::wrapping_add),
        }
    }
}

impl fmt::Display for RosterDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.vms, self.hash)
    }
}

impl FromStr for RosterDigest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let parts = text.split_once('-').and_then(|(vms, hash)| {
            let hash = u64::from_str_radix(hash, 16).ok()?;
            Some((vms.parse().ok()?, hash))
        });
        let (vms, hash) = parts.ok_or_else(|| {
            Error::new(
                ResultCode::BadRecord,
                format!("`{}` is not a digest of a list of VMs", text.escape_debug()),
                "use the number of VMs, a dash and a hash in hexadecimal",
            )
        })?;
        Ok(Self { vms, hash })
    }
}
