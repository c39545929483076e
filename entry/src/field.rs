//! The names of the header fields that carobshore and its targets use.

/// The service that the caller asks for.
pub const SERVICE: &str = "carobshore-service";
/// Milliseconds until the caller stops waiting.
pub const DEADLINE: &str = "carobshore-deadline-ms";
/// Whether the request may run more than once.
pub const REPEATABLE: &str = "carobshore-repeatable";
/// Who calls, for fair queueing.
pub const CALLER: &str = "carobshore-caller";
/// How many entry VMs have forwarded the call.
pub const HOPS: &str = "carobshore-hops";
/// How many copies of the call the VM that receives it sends at most.
pub const ATTEMPTS: &str = "carobshore-attempts";
/// The entry VM that took the call from its caller.
pub const ORIGIN: &str = "carobshore-origin";
/// What is known about whether the request ran.
pub const OUTCOME: &str = "carobshore-outcome";
/// The number of the result.
pub const CODE: &str = "carobshore-code";
/// Whether a layer above may retry.
pub const RETRY: &str = "carobshore-retry";
/// Free slots of the answering home.
pub const FREE: &str = "carobshore-free";
/// Queue length of the answering home.
pub const QUEUED: &str = "carobshore-queued";
/// The key of a run-once request.
pub const KEY: &str = "idempotency-key";
/// The key of a run-once request that its owner passes on to another home for the target.
pub const TARGET_KEY: &str = "carobshore-target-key";
/// `unused` when the owner of the key knows that no request with it has run.
pub const KEY_STATE: &str = "carobshore-key-state";
/// The target's load.
pub const TARGET_LOAD: &str = "target-load";
/// Whether the target leaves.
pub const TARGET_DRAIN: &str = "target-drain";
/// Why the target refused before it started.
pub const TARGET_REFUSED: &str = "target-refused";

/// Fields that are for the entry VM that receives the request, and not for the target.
pub const ENTRY_ONLY: [&str; 9] = [
    SERVICE, DEADLINE, CALLER, HOPS, ATTEMPTS, ORIGIN, FREE, QUEUED, TARGET_KEY,
];

/// Fields that are for the home that receives the response, and not for the caller.
pub const HOME_ONLY: [&str; 3] = [TARGET_LOAD, TARGET_DRAIN, TARGET_REFUSED];
