//! The life cycle of one request, over all of its attempts, at the VM that dispatches it.

use std::time::Instant;

use crate::outcome::Outcome;
use crate::pool_event::AttemptId;
use crate::request_key::RequestKey;
use crate::result_code::ResultCode;
use crate::send_permit::RefusedBy;
use crate::send_permit::SendPermit;
use crate::send_permit::SpentPermit;

/// Maximum number of attempts of one request on any route.
pub const MAX_ATTEMPTS: u32 = 4;

/// What a request permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// Whether the request is idempotent and may run more than once. Never true with a key.
    pub repeatable: bool,
    /// The request's idempotency key.
    pub key: Option<RequestKey>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Maximum number of attempts; [`MAX_ATTEMPTS`] unless the route sets another one.
    pub attempts: u32,
}

/// Events in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// A slot was granted, and a connection is being acquired. Nothing may be written if the
    /// resulting action is `Cancel` for this attempt.
    Started {
        /// The new attempt.
        attempt: AttemptId,
    },
    /// No slot was granted for the first attempt, or for the last `Retry`.
    Rejected {
        /// Why.
        code: ResultCode,
    },
    /// No connection could be opened for the attempt. No byte was written.
    ConnectFailed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt was abandoned before its first byte, for example because the lease lapsed.
    Withdrawn {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        code: ResultCode,
    },
    /// The first byte is about to be written to a connection. This has to be reported before the
    /// write, and nothing may be written if the resulting action is `Cancel` for this attempt.
    Sent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The whole request body was written.
    BodySent,
    /// More of the request body was consumed than is buffered, so it cannot be sent again.
    BodyNotKept,
    /// The receiver refused the request before executing it.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Who refused, and why.
        by: RefusedBy,
    },
    /// The response to a forwarded attempt says that the request may have run.
    MayHaveRun {
        /// The attempt.
        attempt: AttemptId,
        /// The other VM's code.
        code: ResultCode,
    },
    /// The complete head of a response was received.
    Head {
        /// The attempt.
        attempt: AttemptId,
        /// The response's status.
        status: u16,
    },
    /// The response is complete.
    Ended {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt's connection broke before the response was complete.
    Broken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The deadline passed.
    TimedOut,
    /// The caller's connection was closed.
    CallerGone,
}

/// Actions that the dispatcher has to carry out for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeAction {
    /// Request a slot for another attempt, marked as a retry.
    Retry,
    /// Forward this attempt's response to the caller.
    Relay {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Respond to the caller without a response from the target.
    Fail {
        /// What is known about the request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
    /// Close the attempt's connection, if it has one, and ignore its later events.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Abort the caller's connection, because the target's response was truncated.
    Abort,
    /// The request is over and no other action follows. Returned exactly once, even if the caller
    /// has disconnected, so that the key table and the counters get the outcome.
    Done {
        /// What is known about the request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
}

#[derive(Debug)]
enum RunOnce {
    Idle(SendPermit),
    Opening(AttemptId, SendPermit),
    Sent(AttemptId, SpentPermit),
}

#[derive(Debug)]
enum Attempts {
    /// A run-once request: at most one attempt, and none after one that may have run.
    RunOnce(Option<RunOnce>),
    /// An idempotent request: the attempts in flight, and whether each has been sent.
    Idempotent(Vec<(AttemptId, bool)>),
}

/// One request with all of its attempts.
#[derive(Debug)]
pub struct Exchange {
    spec: CallSpec,
    attempts: Attempts,
    started: u32,
    /// The code of the first failed attempt that may have run.
    may_have_run: Option<ResultCode>,
    relaying: bool,
    body_sent: bool,
    body_not_kept: bool,
    caller_gone: bool,
    done: bool,
}

/// Why an attempt ended without a response, and whether a retry may help.
#[derive(Clone, Copy, Debug)]
struct Failure {
    code: ResultCode,
    retry: bool,
}

impl Exchange {
    /// Creates the state of a new request. The caller of this method requests the slot for its
    /// first attempt.
    pub fn new(spec: CallSpec) -> Self {
        let attempts = match spec.repeatable && spec.key.is_none() {
            true => Attempts::Idempotent(Vec::new()),
            false => Attempts::RunOnce(Some(RunOnce::Idle(SendPermit::for_new_request()))),
        };
        Self {
            spec,
            attempts,
            started: 0,
            may_have_run: None,
            relaying: false,
            body_sent: false,
            body_not_kept: false,
            caller_gone: false,
            done: false,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: ExchangeEvent, out: &mut Vec<ExchangeAction>) {
        match event {
            ExchangeEvent::Started { attempt } => self.start(now, attempt, out),
            ExchangeEvent::Sent { attempt } => self.send(now, attempt, out),
            ExchangeEvent::BodySent => self.body_sent = true,
            ExchangeEvent::BodyNotKept => self.body_not_kept = true,
            _ if self.done => {}
            ExchangeEvent::Rejected { code } => self.rejected(code, out),
            ExchangeEvent::ConnectFailed { attempt } => {
                let failure = Failure {
                    code: ResultCode::ConnectFailed,
                    retry: true,
                };
                self.withdraw(now, attempt, failure, out);
            }
            ExchangeEvent::Withdrawn { attempt, code } => {
                let failure = Failure { code, retry: false };
                self.withdraw(now, attempt, failure, out);
            }
            ExchangeEvent::Refused { attempt, by } => self.refused(now, attempt, by, out),
            ExchangeEvent::MayHaveRun { attempt, code } => self.broken(now, attempt, code, out),
            ExchangeEvent::Broken { attempt } => {
                self.broken(now, attempt, ResultCode::ConnectionBroken, out);
            }
            ExchangeEvent::Head { attempt, .. } => self.head(attempt, out),
            ExchangeEvent::Ended { attempt } => self.ended(attempt, out),
            ExchangeEvent::TimedOut => self.timed_out(out),
            ExchangeEvent::CallerGone => self.caller_closed(out),
        }
    }

    /// Returns whether a hedged attempt may be sent now.
    pub fn may_hedge(&self, now: Instant) -> bool {
        let in_flight = match &self.attempts {
            Attempts::RunOnce(_) => 0,
            Attempts::Idempotent(attempts) => attempts.len(),
        };
        in_flight == 1 && !self.relaying && self.may_start(now)
    }

    /// Returns whether the request is over.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn may_start(&self, now: Instant) -> bool {
        let active = !self.done && !self.caller_gone && !self.relaying;
        active
            && !self.body_not_kept
            && self.started < self.spec.attempts
            && now < self.spec.deadline
    }

    fn start(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        let allowed = self.may_start(now);
        match &mut self.attempts {
            Attempts::RunOnce(state) if allowed => match state.take() {
                Some(RunOnce::Idle(permit)) => *state = Some(RunOnce::Opening(attempt, permit)),
                other => {
                    *state = other;
                    out.push(ExchangeAction::Cancel { attempt });
                    return;
                }
            },
            Attempts::Idempotent(attempts) if allowed => attempts.push((attempt, false)),
            _ => {
                out.push(ExchangeAction::Cancel { attempt });
                return;
            }
        }
        self.started += 1;
    }

    fn send(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        let in_time = !self.done && now < self.spec.deadline;
        let allowed = in_time
            && match &mut self.attempts {
                Attempts::RunOnce(state) => match state.take() {
                    Some(RunOnce::Opening(opening, permit)) if opening == attempt => {
                        *state = Some(RunOnce::Sent(attempt, permit.spend()));
                        true
                    }
                    other => {
                        *state = other;
                        false
                    }
                },
                Attempts::Idempotent(attempts) => {
                    let found = attempts.iter_mut().find(|(id, _)| *id == attempt);
                    found.map(|(_, sent)| *sent = true).is_some()
                }
            };
        if !allowed {
            out.push(ExchangeAction::Cancel { attempt });
        }
    }

    /// Ends an attempt that has not written any byte.
    fn withdraw(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: Failure,
        out: &mut Vec<ExchangeAction>,
    ) {
        let unsent = match &mut self.attempts {
            Attempts::RunOnce(state) => match state.take() {
                Some(RunOnce::Opening(opening, permit)) if opening == attempt => {
                    *state = Some(RunOnce::Idle(permit));
                    true
                }
                other => {
                    *state = other;
                    false
                }
            },
            Attempts::Idempotent(attempts) => remove(attempts, attempt, false).is_some(),
        };
        if unsent {
            self.retry_or_fail(now, failure, out);
        }
    }

    fn refused(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        by: RefusedBy,
        out: &mut Vec<ExchangeAction>,
    ) {
        let pending = !self.relaying
            && match &mut self.attempts {
                Attempts::RunOnce(state) => match state.take() {
                    Some(RunOnce::Sent(sent, permit)) if sent == attempt => {
                        *state = Some(RunOnce::Idle(permit.reclaim(by)));
                        true
                    }
                    other => {
                        *state = other;
                        false
                    }
                },
                Attempts::Idempotent(attempts) => remove(attempts, attempt, true).is_some(),
            };
        if pending {
            let failure = Failure {
                code: by.code(),
                retry: by.allows_retry(),
            };
            self.retry_or_fail(now, failure, out);
        }
    }

    fn broken(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        code: ResultCode,
        out: &mut Vec<ExchangeAction>,
    ) {
        let Some(sent) = self.in_flight(attempt) else {
            return;
        };
        if self.relaying {
            out.push(ExchangeAction::Abort);
            self.finish(Outcome::MayHaveRun, ResultCode::AnswerCut, out);
            return;
        }
        if !sent {
            let failure = Failure {
                code: ResultCode::ConnectFailed,
                retry: true,
            };
            self.withdraw(now, attempt, failure, out);
            return;
        }
        self.may_have_run.get_or_insert(code);
        let repeatable = match &mut self.attempts {
            Attempts::RunOnce(state) => {
                *state = None;
                false
            }
            Attempts::Idempotent(attempts) => remove(attempts, attempt, true).is_some(),
        };
        let failure = Failure {
            code,
            retry: repeatable,
        };
        self.retry_or_fail(now, failure, out);
    }

    fn rejected(&mut self, code: ResultCode, out: &mut Vec<ExchangeAction>) {
        if self.any_in_flight() || self.relaying {
            return;
        }
        self.fail(code, out);
    }

    fn retry_or_fail(&mut self, now: Instant, failure: Failure, out: &mut Vec<ExchangeAction>) {
        if self.any_in_flight() {
            return;
        }
        if failure.retry && self.may_start(now) {
            out.push(ExchangeAction::Retry);
            return;
        }
        let body_missing = failure.retry && self.body_not_kept && self.may_have_run.is_none();
        let code = match body_missing {
            true => ResultCode::BodyNotReplayable,
            false => failure.code,
        };
        self.fail(code, out);
    }

    fn head(&mut self, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        if self.relaying || self.in_flight(attempt) != Some(true) {
            return;
        }
        self.relaying = true;
        if let Attempts::Idempotent(attempts) = &mut self.attempts {
            let others = attempts.iter().filter(|(id, _)| *id != attempt);
            out.extend(others.map(|(id, _)| ExchangeAction::Cancel { attempt: *id }));
            attempts.retain(|(id, _)| *id == attempt);
        }
        out.push(ExchangeAction::Relay { attempt });
    }

    fn ended(&mut self, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        if self.relaying && self.in_flight(attempt).is_some() {
            self.finish(Outcome::Whole, ResultCode::Ok, out);
        }
    }

    fn timed_out(&mut self, out: &mut Vec<ExchangeAction>) {
        let sent = self.cancel_all(out);
        if self.relaying {
            out.push(ExchangeAction::Abort);
            self.finish(Outcome::MayHaveRun, ResultCode::AnswerCut, out);
            return;
        }
        if sent {
            self.may_have_run.get_or_insert(ResultCode::DeadlinePassed);
        }
        self.fail(ResultCode::DeadlineTooClose, out);
    }

    /// A request with a key whose body was fully sent continues, because duplicates may wait for
    /// its result.
    fn caller_closed(&mut self, out: &mut Vec<ExchangeAction>) {
        self.caller_gone = true;
        let sent = matches!(&self.attempts, Attempts::RunOnce(Some(RunOnce::Sent(..))));
        if sent && self.body_sent && self.spec.key.is_some() {
            return;
        }
        if self.cancel_all(out) {
            self.may_have_run
                .get_or_insert(ResultCode::ConnectionBroken);
        }
        let (outcome, code) = self.failure_outcome(ResultCode::CallerGone);
        self.finish(outcome, code, out);
    }

    /// Cancels all attempts and returns whether any of them was sent.
    fn cancel_all(&mut self, out: &mut Vec<ExchangeAction>) -> bool {
        let attempts = match &mut self.attempts {
            Attempts::RunOnce(state) => match state.take() {
                Some(RunOnce::Opening(attempt, _)) => vec![(attempt, false)],
                Some(RunOnce::Sent(attempt, _)) => vec![(attempt, true)],
                Some(RunOnce::Idle(_)) | None => Vec::new(),
            },
            Attempts::Idempotent(attempts) => std::mem::take(attempts),
        };
        let cancels = attempts.iter();
        out.extend(cancels.map(|(attempt, _)| ExchangeAction::Cancel { attempt: *attempt }));
        attempts.iter().any(|(_, sent)| *sent)
    }

    fn in_flight(&self, attempt: AttemptId) -> Option<bool> {
        match &self.attempts {
            Attempts::RunOnce(Some(RunOnce::Opening(id, _))) if *id == attempt => Some(false),
            Attempts::RunOnce(Some(RunOnce::Sent(id, _))) if *id == attempt => Some(true),
            Attempts::RunOnce(_) => None,
            Attempts::Idempotent(attempts) => {
                let found = attempts.iter().find(|(id, _)| *id == attempt);
                found.map(|(_, sent)| *sent)
            }
        }
    }

    fn any_in_flight(&self) -> bool {
        match &self.attempts {
            Attempts::RunOnce(state) => {
                matches!(state, Some(RunOnce::Opening(..) | RunOnce::Sent(..)))
            }
            Attempts::Idempotent(attempts) => !attempts.is_empty(),
        }
    }

    /// Returns the outcome of a request without a response. An attempt that may have run takes
    /// precedence over any later proof that another attempt did not run.
    fn failure_outcome(&self, code: ResultCode) -> (Outcome, ResultCode) {
        match self.may_have_run {
            Some(uncertain_code) => (Outcome::MayHaveRun, uncertain_code),
            None => (Outcome::NotRun, code),
        }
    }

    fn fail(&mut self, code: ResultCode, out: &mut Vec<ExchangeAction>) {
        let (outcome, code) = self.failure_outcome(code);
        if !self.caller_gone {
            out.push(ExchangeAction::Fail { outcome, code });
        }
        self.finish(outcome, code, out);
    }

    fn finish(&mut self, outcome: Outcome, code: ResultCode, out: &mut Vec<ExchangeAction>) {
        self.done = true;
        out.push(ExchangeAction::Done { outcome, code });
    }
}

fn remove(attempts: &mut Vec<(AttemptId, bool)>, attempt: AttemptId, sent: bool) -> Option<()> {
    let at = attempts
        .iter()
        .position(|found| *found == (attempt, sent))?;
    attempts.remove(at);
    Some(())
}
