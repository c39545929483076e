//! The keys that this VM has accepted, with their outcomes.

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

/// The largest response that is kept for replay, with its headers.
pub const MAX_STORED_RESPONSE: ByteSize = ByteSize(4_096);

/// The most duplicates that wait for one request.
pub const MAX_WAITERS: u32 = 32;

/// One header of a stored response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredHeader {
    /// The header's name.
    pub name: Box<str>,
    /// The header's value.
    pub value: Box<[u8]>,
}

/// A target's complete response, kept so that duplicates get the same one.
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
    /// Returns the memory that the response takes.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers = headers.map(|header| header.name.len() + header.value.len());
        self.body.len() + headers.sum::<usize>()
    }
}

/// How a request with a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredOutcome {
    /// The target's complete response was received; it is absent when it was too large to keep.
    Whole(Option<StoredResponse>),
    /// The request did not run. The key is free again.
    NotRun(ResultCode),
    /// The request may have run.
    MayHaveRun(ResultCode),
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run it, and report its end with [`KeyTable::finish`] in every case.
    Run,
    /// Wait for the end of the request with the same key that is running.
    Wait,
    /// Answer with the first request's response.
    Replay(StoredResponse),
    /// Refuse it.
    Refuse {
        /// What is known about this request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
}

/// A request's key and what else has to be the same for a duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// The key.
    pub key: RequestKey,
    /// A hash of the caller, the method and the path. A key that comes back with another
    /// fingerprint is not a duplicate, and its caller must not get the first one's response.
    pub fingerprint: u64,
}

/// Limits of a key table's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// The most keys that are kept.
    pub keys: usize,
    /// The most memory for responses.
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
/// Keys sort by their creation time, so the oldest outcomes are given up first. No key created
/// before `floor` is accepted, and `floor` lies after every key whose outcome was given up. It
/// never goes back, also when the wall clock does, so such a key is never taken for a new one.
#[derive(Clone, Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    guard: ClockStepDetector,
    born: SystemTime,
    floor: SystemTime,
    running: HashMap<RequestKey, Running>,
    done: BTreeMap<RequestKey, Done>,
    answers: BTreeSet<RequestKey>,
    response_bytes: usize,
}

impl KeyTable {
    /// Builds an empty table.
    ///
    /// Keys created before it are refused: an earlier table of this VM, lost when the component
    /// that owned it was restarted, may have accepted them.
    pub fn new(now: Instant, wall: SystemTime, limits: KeyLimits) -> Self {
        Self {
            limits,
            guard: ClockStepDetector::new(now, wall),
            born: wall + SKEW_MARGIN,
            floor: SystemTime::UNIX_EPOCH,
            running: HashMap::new(),
            done: BTreeMap::new(),
            answers: BTreeSet::new(),
            response_bytes: 0,
        }
    }

    /// Decides what to do with a request.
    ///
    /// `wall` has to be read before `now`: a pause between the two readings then makes the lease
    /// look older and not the key. A request that is already known is answered from the table even
    /// when the VM no longer owns the key, because that runs nothing.
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
        let verdict = check_clock(trusted)
            .or_else(|| self.check_age(call.key.created(), wall))
            .or_else(|| self.check_lease(now, lease))
            .or_else(|| check_ownership(ownership))
            .or_else(|| self.check_room());
        if let Some(refusal) = verdict {
            return refusal;
        }
        let running = Running {
            fingerprint: call.fingerprint,
            waiters: 0,
        };
        self.running.insert(call.key, running);
        KeyDecision::Run
    }

    /// Returns whether a request that was accepted may still be handed to a connection. It has to
    /// be asked just before the first byte is written.
    pub fn may_send(&mut self, now: Instant, wall: SystemTime, lease: &ReadLease) -> bool {
        let trusted = self.tick(now, wall);
        trusted && self.check_lease(now, lease).is_none()
    }

    /// Takes note of a request's end and returns the decision for the duplicates that waited.
    pub fn finish(&mut self, key: RequestKey, outcome: StoredOutcome) -> KeyDecision {
        let Some(running) = self.running.remove(&key) else {
            return refuse(Outcome::MayHaveRun, ResultCode::AnswerNotKept);
        };
        let outcome = drop_large(outcome);
        let decision = decide(&outcome);
        if matches!(outcome, StoredOutcome::NotRun(_)) {
            return decision;
        }
        if let StoredOutcome::Whole(Some(answer)) = &outcome {
            self.answers.insert(key);
            self.response_bytes += answer.size();
        }
        let done = Done {
            fingerprint: running.fingerprint,
            outcome,
        };
        self.done.insert(key, done);
        self.shrink();
        decision
    }

    /// Takes note that a duplicate no longer waits.
    pub fn waiter_gone(&mut self, key: &RequestKey) {
        if let Some(running) = self.running.get_mut(key) {
            running.waiters = running.waiters.saturating_sub(1);
        }
    }

    /// Compares the clocks, drops expired outcomes, and returns whether the wall clock is trusted.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> bool {
        let trusted = self.guard.observe(now, wall);
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

    /// Returns the number of running requests, for which a planned stop waits.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.running.len() + self.done.len()
    }

    /// Returns whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the memory that stored responses take.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns how many steps of the wall clock were noticed.
    pub fn clock_steps(&self) -> u64 {
        self.guard.steps()
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
            true => Some(decide(&done.outcome)),
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
        (created < self.born).then(|| refuse(Outcome::MayHaveRun, ResultCode::KeyBeforeOwnership))
    }

    fn check_lease(&self, now: Instant, lease: &ReadLease) -> Option<KeyDecision> {
        let current = match self.guard.last_step() {
            Some(step) => lease.issued_after(step),
            None => true,
        };
        let holds = current && lease.holds(now);
        (!holds).then(|| refuse(Outcome::NotRun, ResultCode::LeaseLapsed))
    }

    fn check_room(&self) -> Option<KeyDecision> {
        let full = self.running.len() >= self.limits.keys;
        full.then(|| refuse(Outcome::NotRun, ResultCode::QueueFull))
    }

    fn shrink(&mut self) {
        while self.response_bytes > self.limits.responses.as_usize() {
            let Some(key) = self.answers.first().copied() else {
                return;
            };
            self.drop_answer(&key);
        }
        while self.done.len() > self.limits.keys {
            self.drop_oldest();
        }
    }

    fn drop_answer(&mut self, key: &RequestKey) {
        self.answers.remove(key);
        let Some(done) = self.done.get_mut(key) else {
            return;
        };
        if let StoredOutcome::Whole(Some(answer)) = &done.outcome {
            self.response_bytes -= answer.size();
            done.outcome = StoredOutcome::Whole(None);
        }
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.done.keys().next().copied() else {
            return;
        };
        self.drop_answer(&key);
        self.done.remove(&key);
        self.floor = self.floor.max(key.created() + KEY_TICK);
    }
}

/// Returns what a caller may be told about a request with a key.
///
/// A refusal proves that this delivery did not run. An earlier delivery with the same key may have
/// run through another VM, so the caller is told "not run" only when the owner of the key knows
/// that none has (`unused`).
pub fn reported_outcome(outcome: Outcome, unused: bool) -> Outcome {
    match outcome {
        Outcome::NotRun if !unused => Outcome::MayHaveRun,
        outcome => outcome,
    }
}

/// The resolution of a key's creation time.
const KEY_TICK: Duration = Duration::from_millis(1);

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

fn drop_large(outcome: StoredOutcome) -> StoredOutcome {
    match outcome {
        StoredOutcome::Whole(Some(answer)) if answer.size() > MAX_STORED_RESPONSE.as_usize() => {
            StoredOutcome::Whole(None)
        }
        outcome => outcome,
    }
}

fn decide(outcome: &StoredOutcome) -> KeyDecision {
    match outcome {
        StoredOutcome::Whole(Some(answer)) => KeyDecision::Replay(answer.clone()),
        StoredOutcome::Whole(None) => refuse(Outcome::MayHaveRun, ResultCode::AnswerNotKept),
        StoredOutcome::NotRun(code) => refuse(Outcome::NotRun, *code),
        StoredOutcome::MayHaveRun(code) => refuse(Outcome::MayHaveRun, *code),
    }
}

fn refuse(outcome: Outcome, code: ResultCode) -> KeyDecision {
    KeyDecision::Refuse { outcome, code }
}
