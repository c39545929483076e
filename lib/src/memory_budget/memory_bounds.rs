//! How many bytes a process may hold for clients.

use crate::byte_size::ByteSize;
use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The share of the process's memory that is for clients, in percent.
pub const DEFAULT_PERCENT: u8 = 33;
/// The largest share, in percent.
pub const MAX_PERCENT: u8 = 60;
/// The reserve for clients that hold little is the memory for clients divided by this.
const RESERVE_DIVISOR: u64 = 5;
/// One response may take the memory for clients divided by this.
const RESPONSE_DIVISOR: u64 = 4;
/// A client that holds alone may take the memory of the process divided by this, less the reserve. So
/// the largest body of the configuration (64 MiB) fits into the smallest VM (160 MiB).
const LONE_DIVISOR: u64 = 2;
/// A client that holds no more than this holds little, in bytes.
const SMALL: u64 = 64 << 10;

/// How many bytes a process may hold for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBounds {
    /// For all clients together.
    pub total: ByteSize,
    /// The part of the total that only clients that hold little use.
    pub reserve: ByteSize,
    /// For one client while no other one holds much.
    pub lone: ByteSize,
    /// For one response of a target.
    pub response: ByteSize,
    /// What a client that holds little holds at most.
    pub small: ByteSize,
}

impl TryFrom<(ByteSize, u8)> for MemoryBounds {
    type Error = Error;

    /// Takes the memory of the process, and the share of it that is for clients, in percent.
    fn try_from((memory, percent): (ByteSize, u8)) -> Result<Self> {
        if !(1..=MAX_PERCENT).contains(&percent) {
            return Err(Error::new(
                ResultCode::BadNumber,
                format!("{percent} percent of the memory"),
                format!("use a number from 1 to {MAX_PERCENT}"),
            ));
        }
        let total = memory.0 / 100 * u64::from(percent);
        let reserve = total / RESERVE_DIVISOR;
        Ok(Self {
            total: ByteSize(total),
            reserve: ByteSize(reserve),
            lone: ByteSize((memory.0 / LONE_DIVISOR).saturating_sub(reserve)),
            response: ByteSize(total / RESPONSE_DIVISOR),
            small: ByteSize(SMALL),
        })
    }
}
