//! The numbered result codes that callers and operators see.

use std::fmt;

use serde::Serialize;
use serde::Serializer;

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal,)*) => {
        /// A numbered result code. `docs/result-codes.md` has a row for each.
        ///
        /// The first digit is the group: 0 success, 1 settings and usage, 2 configuration and log,
        /// 3 the caller's request, 4 not run, 5 may have run, 6 membership and internal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$meta])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the code's name as the documentation spells it.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }
        }
    };
}

result_codes! {
    /// The target's complete response was forwarded.
    Ok = 0,
    /// A name is not a valid id.
    BadName = 1001,
    /// A number is malformed or out of range.
    BadNumber = 1002,
    /// A setting has a value that is not allowed.
    BadSetting = 1003,
    /// The command line is invalid.
    BadUsage = 1004,
    /// A record id is malformed.
    BadRecordId = 2001,
    /// A log record cannot be decoded.
    BadRecord = 2002,
    /// An intent cannot be applied to the configuration.
    BadIntent = 2003,
    /// The versions on which the plan is based have changed: another confirm came first.
    StalePlan = 2004,
    /// No intent has the given record id.
    UnknownIntent = 2005,
    /// The log is unreachable or does not answer in time.
    LogUnavailable = 2006,
    /// Required records have expired from the log.
    LogGap = 2007,
    /// A snapshot is incomplete or does not match its digest.
    BadSnapshot = 2008,
    /// The record was appended before; only the first copy takes effect.
    DuplicateRecord = 2009,
    /// The digest or the items of the confirm do not match the plan.
    DigestMismatch = 2010,
    /// The platform's VM list cannot be read.
    VmListUnavailable = 2015,
    /// The request cannot be parsed or is ambiguous.
    BadRequest = 3001,
    /// The requested service is unknown.
    UnknownService = 3002,
    /// The `Idempotency-Key` is not a UUIDv7.
    BadRequestKey = 3003,
    /// A header that the load balancer defines has a value that is not allowed.
    BadHeader = 3004,
    /// The request's header or body exceeds the limit.
    TooLarge = 3005,
    /// The `Idempotency-Key` was created too far in the future.
    KeyFromFuture = 3006,
    /// The `Idempotency-Key` was used before for another request.
    KeyReused = 3007,
    /// The queue is full.
    QueueFull = 4001,
    /// The request could not have started before its deadline.
    DeadlineTooClose = 4002,
    /// No target of the service may get new requests.
    NoTarget = 4003,
    /// No connection to a target could be opened.
    ConnectFailed = 4004,
    /// The target refused the request before it started.
    TargetRefused = 4005,
    /// The retry budget is exhausted.
    RetryBudgetSpent = 4006,
    /// The VM does not own the key at this time.
    NotKeyOwner = 4007,
    /// The VM's read lease has expired because the log cannot be read.
    LeaseLapsed = 4008,
    /// Ownership of the key is being transferred between VMs.
    OwnershipMoving = 4009,
    /// The VM has no configuration yet or is stopping.
    NotReady = 4010,
    /// The body cannot be resent, because the part already read is too large.
    BodyNotReplayable = 4011,
    /// The caller disconnected before the request started.
    CallerGone = 4012,
    /// The home VM that must run the request cannot be reached.
    HomeUnreachable = 4013,
    /// The VM's wall clock stepped and cannot be used to check the age of keys yet.
    ClockStepped = 4014,
    /// The connection broke after the request was sent to the target.
    ConnectionBroken = 5001,
    /// The deadline passed after the request was sent to the target.
    DeadlinePassed = 5002,
    /// The response ended prematurely.
    AnswerCut = 5003,
    /// The key is older than the VM's ownership of it.
    KeyBeforeOwnership = 5004,
    /// A request with this key ran before, but its response was not kept.
    AnswerNotKept = 5005,
    /// The key is older than the retention time of outcomes.
    KeyTooOld = 5006,
    /// A request with this key is still running.
    StillRunning = 5007,
    /// The VM is not, or no longer, in the roster.
    NotInRoster = 6001,
    /// A peer VM cannot be reached.
    PeerUnavailable = 6002,
    /// A part of the process failed and is being restarted.
    PartFailed = 6003,
    /// An internal error of carobshore.
    Internal = 6004,
}

impl ResultCode {
    /// Returns the number that is used in headers, logs and documentation.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.number().fmt(f)
    }
}

impl Serialize for ResultCode {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}
