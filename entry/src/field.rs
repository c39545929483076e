//! Names of the header fields that carobshore and its targets define.

/// The service that the request is for.
pub const SERVICE: &str = "carobshore-service";
/// Time until the caller stops waiting, in milliseconds.
pub const DEADLINE: &str = "carobshore-deadline-ms";
/// Whether the request may run more than once.
pub const REPEATABLE: &str = "carobshore-repeatable";
/// The caller, for fair queueing.
pub const CALLER: &str = "carobshore-caller";
/// How many entry VMs have forwarded the call.
pub const HOPS: &str = "carobshore-hops";
/// The largest number of attempts that the receiving VM makes.
pub const ATTEMPTS: &str = "carobshore-attempts";
/// The entry VM that received the call from its caller.
pub const ORIGIN: &str = "carobshore-origin";
/// What is known about whether the request ran.
pub const OUTCOME: &str = "carobshore-outcome";
/// The number of the result code.
pub const CODE: &str = "carobshore-code";
/// `no` if layers above must not retry.
pub const RETRY: &str = "carobshore-retry";
/// Free slots of the home that responds.
pub const FREE: &str = "carobshore-free";
/// Queue length of the home that responds.
pub const QUEUED: &str = "carobshore-queued";
/// The key of a run-once request.
pub const KEY: &str = "idempotency-key";
/// The key of a run-once request that the owner of the key passes on to another home. It is only
/// for the target.
pub const TARGET_KEY: &str = "carobshore-target-key";
/// `unused` when the owner of the key knows that no request with it has run.
pub const KEY_STATE: &str = "carobshore-key-state";
/// The target's requests in flight and in its queue.
pub const TARGET_LOAD: &str = "target-load";
/// `yes` if the target is draining.
pub const TARGET_DRAIN: &str = "target-drain";
/// Why the target refused the request without starting it.
pub const TARGET_REFUSED: &str = "target-refused";

/// Request fields that are for entry VMs and are not sent to targets.
pub const ENTRY_ONLY: [&str; 9] = [
    SERVICE, DEADLINE, CALLER, HOPS, ATTEMPTS, ORIGIN, FREE, QUEUED, TARGET_KEY,
];

/// Response fields that are for homes and are not sent to callers.
pub const HOME_ONLY: [&str; 3] = [TARGET_LOAD, TARGET_DRAIN, TARGET_REFUSED];
