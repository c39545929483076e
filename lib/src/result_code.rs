//! The numbered results that callers and operators see.

use std::fmt;

use serde::Serialize;
use serde::Serializer;

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal,)*) => {
        /// A numbered result. `docs/result-codes.md` has a row for each.
        ///
        /// The first digit tells the group: 0 success, 1 settings and usage, 2 configuration and
        /// log, 3 the caller's request, 4 not run, 5 may have run, 6 membership and internal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$meta])* $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in the order of their numbers.
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
    /// The target's whole answer was passed on.
    Ok = 0,
    /// A name breaks the rules for ids.
    BadName = 1001,
    /// A number is malformed or out of range.
    BadNumber = 1002,
    /// A setting has a value that is not allowed.
    BadSetting = 1003,
    /// The command line asks for something that does not exist.
    BadUsage = 1004,
    /// A record id is malformed.
    BadRecordId = 2001,
    /// A log record cannot be decoded.
    BadRecord = 2002,
    /// An intent does not fit the configuration.
    BadIntent = 2003,
    /// The plan's base is no longer current: another confirm came first.
    StalePlan = 2004,
    /// No intent has the given record id.
    UnknownIntent = 2005,
    /// The log cannot be reached or does not answer in time.
    LogUnavailable = 2006,
    /// Records that are needed have expired from the log.
    LogGap = 2007,
    /// A snapshot is incomplete or does not match its digest.
    BadSnapshot = 2008,
    /// The record was appended before; the first copy counts.
    DuplicateRecord = 2009,
    /// The digest of the confirm is not the digest of the plan.
    DigestMismatch = 2010,
    /// The platform's VM list cannot be read.
    VmListUnavailable = 2015,
    /// The request cannot be parsed or is ambiguous.
    BadRequest = 3001,
    /// The request names no known service.
    UnknownService = 3002,
    /// The `Idempotency-Key` is not a UUIDv7.
    BadRequestKey = 3003,
    /// A header of the balancer's own has a value that is not allowed.
    BadHeader = 3004,
    /// The request's header or body is above the limit.
    TooLarge = 3005,
    /// The `Idempotency-Key` was created too far in the future.
    KeyFromFuture = 3006,
    /// The `Idempotency-Key` was used before for another request.
    KeyReused = 3007,
    /// The queue is full.
    QueueFull = 4001,
    /// The request could not have started before its deadline.
    DeadlineTooClose = 4002,
    /// No target of the service may take new work.
    NoTarget = 4003,
    /// No connection to a target could be opened.
    ConnectFailed = 4004,
    /// The target refused the request before it started.
    TargetRefused = 4005,
    /// The retry budget is spent.
    RetryBudgetSpent = 4006,
    /// The VM does not own the key at this time.
    NotKeyOwner = 4007,
    /// The VM's read lease has lapsed because the log cannot be read.
    LeaseLapsed = 4008,
    /// Ownership of the key is moving between VMs.
    OwnershipMoving = 4009,
    /// The VM has no configuration yet or is stopping.
    NotReady = 4010,
    /// The consumed part of the body is too large to be sent again.
    BodyNotReplayable = 4011,
    /// The caller went away before the request started.
    CallerGone = 4012,
    /// The home that has to run the request cannot be reached.
    HomeUnreachable = 4013,
    /// The VM's wall clock stepped and does not yet serve to judge keys.
    ClockStepped = 4014,
    /// The connection broke after the request was handed over.
    ConnectionBroken = 5001,
    /// The deadline passed after the request was handed over.
    DeadlinePassed = 5002,
    /// The answer broke off before its end.
    AnswerCut = 5003,
    /// The key is older than the VM's ownership of it.
    KeyBeforeOwnership = 5004,
    /// A request with this key ran before, but its answer was not kept.
    AnswerNotKept = 5005,
    /// The key is older than the time for which outcomes are kept.
    KeyTooOld = 5006,
    /// A request with this key is still running.
    StillRunning = 5007,
    /// The VM is not, or no longer, in the roster.
    NotInRoster = 6001,
    /// A peer VM cannot be reached.
    PeerUnavailable = 6002,
    /// A part of the process failed and is being restarted.
    PartFailed = 6003,
    /// A fault inside carobshore.
    Internal = 6004,
}

impl ResultCode {
    /// Returns the number that headers, logs and documentation use.
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
