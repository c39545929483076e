//! The types that nearly every module uses.

pub use crate::byte_size::ByteSize;
pub use crate::clock::Clock;
pub use crate::clock::SystemClock;
pub use crate::domain_id::DomainId;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::offset::Offset;
pub use crate::outcome::Outcome;
pub use crate::record_id::RecordId;
pub use crate::region_id::RegionId;
pub use crate::request_key::RequestKey;
pub use crate::result_code::ResultCode;
pub use crate::service_id::ServiceId;
pub use crate::slots::Slots;
pub use crate::target_id::TargetId;
pub use crate::target_time::TargetTime;
pub use crate::version::Version;
pub use crate::vm_id::VmId;
