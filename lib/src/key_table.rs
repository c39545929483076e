//! The idempotency keys that this VM has accepted, with the outcomes of their requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::byte_size::ByteSize;
use crate::clock_step_detector::ClockStepDetector;
use crate::key_history::FUTURE_LIMIT;
use crate::key_history::KEY_LIFETIME;
use crate::key_history::Ownership;
use crate::key_history::SKEW_MARGIN;
use crate::outcome::Outcome;
use crate::read_lease::ReadLease;
use crate::request_key::RequestKey;
use crate::result_code::ResultCode;

/// Maximum size of a response that is kept for replay, including headers.
pub const MAX_STORED_RESPONSE: ByteSize = ByteSize(4_096);

/// Maximum number of duplicates that wait for one request.
pub const MAX_WAITERS: u32 = 32;

/// One header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHeader {
    /// The header's name.
    pub name: Box<str>,
    /// The header's value.
    pub value: Box<[u8]>,
}

/// A target's complete response, kept so that duplicates get the same response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The response's headers.
    pub headers: Vec<StoredHeader>,
    /// The response's body.
    pub body: Box<[u8]>,
}

impl StoredResponse {
    /// Returns the size of the response in memory, in bytes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// The target's complete response was received. The response is `None` if it was too large to
    /// keep.
    Whole(Option<StoredResponse>),
    /// The request did not run, and the key may be used again.
    NotRun(ResultCode),
    /// The request may have run.
    MayHaveRun(ResultCode),
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run the request, and report its end with [`KeyTable::finish`] in every case.
    Run,
    /// Wait for the end of the running request with the same key.
    Wait,
    /// Respond with the response to the first request.
    Replay(StoredResponse),
    /// Refuse the request.
    Refuse {
        /// What is known about this request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
}

/// A request's key, and a fingerprint of what else a duplicate has to have in common with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// The key.
    pub key: RequestKey,
    /// A hash of the caller, the method and the path. A request that reuses a key with another
    /// fingerprint is not a duplicate, and its caller must not get the response to the first
    /// request.
    pub fingerprint: u64,
}

/// Memory limits of a key table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// Maximum number of keys.
    pub keys: usize,
    /// Maximum memory for stored responses.
    pub responses: ByteSize,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            keys: 200_000,
            responses: ByteSize(32 << 20),
        }
    }
}

#[derive(Clone, Debug)]
struct Running {
    fingerprint: u64,
    waiters: u32,
}

#[derive(Clone, Debug)]
struct Done {
    fingerprint: u64,
    outcome: StoredOutcome,
}

/// The keys of one service that this VM accepted.
///
/// Keys are ordered by creation time, so the oldest outcomes are evicted first. No key created
/// before `floor` is accepted, and `floor` is later than every key whose outcome was evicted. It
/// never decreases, even if the wall clock steps back, so an evicted key is never mistaken for a
/// new one.
#[derive(Clone, Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    step_detector: ClockStepDetector,
    min_created: SystemTime,
    floor: SystemTime,
    running: HashMap<RequestKey, Running>,
    done: BTreeMap<RequestKey, Done>,
    with_response: BTreeSet<RequestKey>,
    response_bytes: usize,
}

impl KeyTable {
    /// Creates an empty table.
    ///
    /// Keys created before the table are refused: an earlier table of this VM, which was lost when
    /// the component that owned it was restarted, may have accepted them.
    pub fn new(now: Instant, wall: SystemTime, limits: KeyLimits) -> Self {
        Self {
            limits,
            step_detector: ClockStepDetector::new(now, wall),
            min_created: wall + SKEW_MARGIN,
            floor: SystemTime::UNIX_EPOCH,
            running: HashMap::new(),
            done: BTreeMap::new(),
            with_response: BTreeSet::new(),
            response_bytes: 0,
        }
    }

    /// Decides what to do with a request.
    ///
    /// `wall` has to be read before `now`. A pause between the two readings then makes the lease
    /// look older, but not the key. A request that is already known gets its result from the table
    /// even if the VM no longer owns the key, because nothing runs.
    pub fn begin(
        &mut self,
        now: Instant,
        wall: SystemTime,
        call: KeyedCall,
        ownership: Ownership,
        lease: &ReadLease,
    ) -> KeyDecision {
        let trusted = self.tick(now, wall);
        if let Some(known) = self.known(call) {
            return known;
        }
        let refusal = check_clock(trusted)
            .or_else(|| self.check_age(call.key.created(), wall))
            .or_else(|| self.check_lease(now, lease))
            .or_else(|| check_ownership(ownership))
            .or_else(|| self.check_capacity());
        if let Some(refused) = refusal {
            return refused;
        }
        let running = Running {
            fingerprint: call.fingerprint,
            waiters: 0,
        };
        self.running.insert(call.key, running);
        KeyDecision::Run
    }

    /// Returns whether an accepted request may still be written to a connection. This has to be
    /// checked just before the first byte is written.
    pub fn may_send(&mut self, now: Instant, wall: SystemTime, lease: &ReadLease) -> bool {
        let trusted = self.tick(now, wall);
        trusted && self.check_lease(now, lease).is_none()
    }

    /// Records the end of a request and returns the decision for the duplicates that waited for it.
    pub fn finish(&mut self, key: RequestKey, outcome: StoredOutcome) -> KeyDecision {
        let Some(running) = self.running.remove(&key) else {
            return refuse(Outcome::MayHaveRun, ResultCode::AnswerNotKept);
        };
        let outcome = drop_oversized(outcome);
        let decision = decision_for(&outcome);
        if matches!(outcome, StoredOutcome::NotRun(_)) {
            return decision;
        }
        if let StoredOutcome::Whole(Some(response)) = &outcome {
            self.with_response.insert(key);
            self.response_bytes += response.size();
        }
        let done = Done {
            fingerprint: running.fingerprint,
            outcome,
        };
        self.done.insert(key, done);
        self.evict();
        decision
    }

    /// Records that a duplicate stopped waiting.
    pub fn waiter_gone(&mut self, key: &RequestKey) {
        if let Some(running) = self.running.get_mut(key) {
            running.waiters = running.waiters.saturating_sub(1);
        }
    }

    /// Checks the wall clock for steps, drops expired outcomes, and returns whether the wall clock
    /// is trusted.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> bool {
        let trusted = self.step_detector.observe(now, wall);
        if !trusted {
            return false;
        }
        let oldest = wall - KEY_LIFETIME;
        while let Some(entry) = self.done.first_entry() {
            if entry.key().created() >= oldest {
                break;
            }
            self.drop_oldest();
        }
        true
    }

    /// Returns the number of running requests. A planned stop waits for them.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of running and finished keys.
    pub fn len(&self) -> usize {
        self.running.len() + self.done.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory used by stored responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns the number of detected steps of the wall clock.
    pub fn clock_steps(&self) -> u64 {
        self.step_detector.steps()
    }

    fn known(&mut self, call: KeyedCall) -> Option<KeyDecision> {
        if let Some(running) = self.running.get_mut(&call.key) {
            if running.fingerprint != call.fingerprint {
                return Some(refuse(Outcome::NotRun, ResultCode::KeyReused));
            }
            if running.waiters >= MAX_WAITERS {
                return Some(refuse(Outcome::MayHaveRun, ResultCode::StillRunning));
            }
            running.waiters += 1;
            return Some(KeyDecision::Wait);
        }
        let done = self.done.get(&call.key)?;
        match done.fingerprint == call.fingerprint {
            true => Some(decision_for(&done.outcome)),
            false => Some(refuse(Outcome::NotRun, ResultCode::KeyReused)),
        }
    }

    fn check_age(&self, created: SystemTime, wall: SystemTime) -> Option<KeyDecision> {
        if created > wall + FUTURE_LIMIT {
            return Some(refuse(Outcome::NotRun, ResultCode::KeyFromFuture));
        }
        if created < self.floor || created < wall - KEY_LIFETIME {
            return Some(refuse(Outcome::MayHaveRun, ResultCode::KeyTooOld));
        }
        (created < self.min_created)
            .then(|| refuse(Outcome::MayHaveRun, ResultCode::KeyBeforeOwnership))
    }

    fn check_lease(&self, now: Instant, lease: &ReadLease) -> Option<KeyDecision> {
        let current = match self.step_detector.last_step() {
            Some(step) => lease.issued_after(step),
            None => true,
        };
        let holds = current && lease.holds(now);
        (!holds).then(|| refuse(Outcome::NotRun, ResultCode::LeaseLapsed))
    }

    fn check_capacity(&self) -> Option<KeyDecision> {
        let full = self.running.len() >= self.limits.keys;
        full.then(|| refuse(Outcome::NotRun, ResultCode::QueueFull))
    }

    fn evict(&mut self) {
        while self.response_bytes > self.limits.responses.as_usize() {
            let Some(key) = self.with_response.first().copied() else {
                return;
            };
            self.drop_response(&key);
        }
        while self.done.len() > self.limits.keys {
            self.drop_oldest();
        }
    }

    fn drop_response(&mut self, key: &RequestKey) {
        self.with_response.remove(key);
        let Some(done) = self.done.get_mut(key) else {
            return;
        };
        if let StoredOutcome::Whole(Some(response)) = &done.outcome {
            self.response_bytes -= response.size();
            done.outcome = StoredOutcome::Whole(None);
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.done.keys().next().copied() else {
            return;
        };
        self.drop_response(&key);
        self.done.remove(&key);
        self.floor = self.floor.max(key.created() + KEY_TIME_RESOLUTION);
    }
}

/// Returns the outcome to report to the caller of a request with a key.
///
/// A refusal proves that this delivery did not run. An earlier delivery with the same key may have
/// run through another VM, so the caller is told "not run" only if the owner of the key knows that
/// no delivery has run (`unused`).
pub fn reported_outcome(outcome: Outcome, unused: bool) -> Outcome {
    match outcome {
        Outcome::NotRun if !unused => Outcome::MayHaveRun,
        outcome => outcome,
    }
}

/// The resolution of a key's creation time.
const KEY_TIME_RESOLUTION: Duration = Duration::from_millis(1);

fn check_clock(trusted: bool) -> Option<KeyDecision> {
    (!trusted).then(|| refuse(Outcome::NotRun, ResultCode::ClockStepped))
}

fn check_ownership(ownership: Ownership) -> Option<KeyDecision> {
    match ownership {
        Ownership::Owned => None,
        Ownership::Moving => Some(refuse(Outcome::NotRun, ResultCode::OwnershipMoving)),
        Ownership::EarlierOwner => {
            Some(refuse(Outcome::MayHaveRun, ResultCode::KeyBeforeOwnership))
        }
        Ownership::NotOwner => Some(refuse(Outcome::NotRun, ResultCode::NotKeyOwner)),
    }
}

fn drop_oversized(outcome: StoredOutcome) -> StoredOutcome {
    match outcome {
        StoredOutcome::Whole(Some(response))
            if response.size() > MAX_STORED_RESPONSE.as_usize() =>
        {
            StoredOutcome::Whole(None)
        }
        outcome => outcome,
    }
}

fn decision_for(outcome: &StoredOutcome) -> KeyDecision {
    match outcome {
        StoredOutcome::Whole(Some(response)) => KeyDecision::Replay(response.clone()),
        StoredOutcome::Whole(None) => refuse(Outcome::MayHaveRun, ResultCode::AnswerNotKept),
        StoredOutcome::NotRun(code) => refuse(Outcome::NotRun, *code),
        StoredOutcome::MayHaveRun(code) => refuse(Outcome::MayHaveRun, *code),
    }
}

fn refuse(outcome: Outcome, code: ResultCode) -> KeyDecision {
    KeyDecision::Refuse { outcome, code }
}
