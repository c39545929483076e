//! One request's life at the VM that dispatches it.

use std::time::Instant;

use crate::outcome::Outcome;
use crate::pool_event::AttemptId;
use crate::request_key::RequestKey;
use crate::result_code::ResultCode;
use crate::send_permit::RefusedBy;
use crate::send_permit::SendPermit;
use crate::send_permit::SpentPermit;

/// The most attempts of one request that any route allows.
pub const MAX_ATTEMPTS: u32 = 4;

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSpec {
    /// Whether the request may run more than once (idempotent). Never true with a key.
    pub repeatable: bool,
    /// The request's key.
    pub key: Option<RequestKey>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The most attempts; [`MAX_ATTEMPTS`] if nothing else is said.
    pub attempts: u32,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent {
    /// A slot was granted, and a connection is looked for. Nothing may be written if the response
    /// is `Cancel` for this attempt.
    Started {
        /// The new attempt.
        attempt: AttemptId,
    },
    /// No slot was granted for the first attempt or for the last `Retry`.
    Rejected {
        /// Why.
        code: ResultCode,
    },
    /// No connection could be opened for the attempt. No byte was handed over.
    ConnectFailed {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The attempt was given up before its first byte, for example because the lease lapsed.
    Withdrawn {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        code: ResultCode,
    },
    /// The first byte is about to be handed to a connection. It has to be reported before the
    /// write, and nothing may be written if the response is `Cancel` for this attempt.
    Sent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The whole body of the request was handed over.
    BodySent,
    /// More of the body was consumed than is kept, so it cannot be sent again.
    BodyNotKept,
    /// The receiver refused the request before it started.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Who refused, and why.
        by: RefusedBy,
    },
    /// A forwarded attempt's response says that the request may have run.
    MayHaveRun {
        /// The attempt.
        attempt: AttemptId,
        /// The other VM's code.
        code: ResultCode,
    },
    /// The complete head of a response arrived.
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

/// What has to be done for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeAction {
    /// Ask for a slot for another attempt, marked as a retry.
    Retry,
    /// Pass this attempt's response on to the caller.
    Answer {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer the caller without a response of the target.
    Fail {
        /// What is known about the request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
    /// Close the attempt's connection, if it has one, and ignore the attempt from now on.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Abort the caller's connection, because the response was cut off.
    Abort,
    /// The request is over; nothing else follows. Reported exactly once, also when the caller has
    /// gone, so that the key table and the counters get the outcome.
    Done {
        /// What is known about the request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
}

#[derive(Debug)]
enum Once {
    Idle(SendPermit),
    Opening(AttemptId, SendPermit),
    Sent(AttemptId, SpentPermit),
}

#[derive(Debug)]
enum Attempts {
    /// A run-once request: at most one attempt, and none after one that may have run.
    Once(Option<Once>),
    /// An idempotent request: the attempts in flight, and whether each was sent.
    Many(Vec<(AttemptId, bool)>),
}

/// One request over all of its attempts.
#[derive(Debug)]
pub struct Exchange {
    spec: CallSpec,
    attempts: Attempts,
    started: u32,
    /// The first failure of an attempt that may have run.
    unsure: Option<ResultCode>,
    answering: bool,
    body_sent: bool,
    body_lost: bool,
    caller_gone: bool,
    done: bool,
}

/// How an attempt ended without a response.
#[derive(Clone, Copy, Debug)]
struct Failure {
    code: ResultCode,
    retry: bool,
}

impl Exchange {
    /// Starts a request. A slot for its first attempt is asked for by the caller of this method.
    pub fn new(spec: CallSpec) -> Self {
        let attempts = match spec.repeatable && spec.key.is_none() {
            true => Attempts::Many(Vec::new()),
            false => Attempts::Once(Some(Once::Idle(SendPermit::for_new_request()))),
        };
        Self {
            spec,
            attempts,
            started: 0,
            unsure: None,
            answering: false,
            body_sent: false,
            body_lost: false,
            caller_gone: false,
            done: false,
        }
    }

    /// Takes an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Instant, event: ExchangeEvent, out: &mut Vec<ExchangeAction>) {
        match event {
            ExchangeEvent::Started { attempt } => self.start(now, attempt, out),
            ExchangeEvent::Sent { attempt } => self.send(now, attempt, out),
            ExchangeEvent::BodySent => self.body_sent = true,
            ExchangeEvent::BodyNotKept => self.body_lost = true,
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
            ExchangeEvent::CallerGone => self.gone(out),
        }
    }

    /// Returns whether a second copy may be sent now.
    pub fn may_hedge(&self, now: Instant) -> bool {
        let in_flight = match &self.attempts {
            Attempts::Once(_) => 0,
            Attempts::Many(attempts) => attempts.len(),
        };
        in_flight == 1 && !self.answering && self.may_start(now)
    }

    /// Returns whether the request is over.
    pub fn is_done(&self) -> bool {
        self.done
    }

    fn may_start(&self, now: Instant) -> bool {
        let alive = !self.done && !self.caller_gone && !self.answering;
        alive && !self.body_lost && self.started < self.spec.attempts && now < self.spec.deadline
    }

    fn start(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        let allowed = self.may_start(now);
        match &mut self.attempts {
            Attempts::Once(once) if allowed => match once.take() {
                Some(Once::Idle(right)) => *once = Some(Once::Opening(attempt, right)),
                other => {
                    *once = other;
                    out.push(ExchangeAction::Cancel { attempt });
                    return;
                }
            },
            Attempts::Many(attempts) if allowed => attempts.push((attempt, false)),
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
                Attempts::Once(once) => match once.take() {
                    Some(Once::Opening(opening, right)) if opening == attempt => {
                        *once = Some(Once::Sent(attempt, right.spend()));
                        true
                    }
                    other => {
                        *once = other;
                        false
                    }
                },
                Attempts::Many(attempts) => {
                    let found = attempts.iter_mut().find(|(id, _)| *id == attempt);
                    found.map(|(_, sent)| *sent = true).is_some()
                }
            };
        if !allowed {
            out.push(ExchangeAction::Cancel { attempt });
        }
    }

    /// Ends an attempt of which no byte was handed over.
    fn withdraw(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        failure: Failure,
        out: &mut Vec<ExchangeAction>,
    ) {
        let unsent = match &mut self.attempts {
            Attempts::Once(once) => match once.take() {
                Some(Once::Opening(opening, right)) if opening == attempt => {
                    *once = Some(Once::Idle(right));
                    true
                }
                other => {
                    *once = other;
                    false
                }
            },
            Attempts::Many(attempts) => remove(attempts, attempt, false).is_some(),
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
        let known = !self.answering
            && match &mut self.attempts {
                Attempts::Once(once) => match once.take() {
                    Some(Once::Sent(sent, right)) if sent == attempt => {
                        *once = Some(Once::Idle(right.reclaim(by)));
                        true
                    }
                    other => {
                        *once = other;
                        false
                    }
                },
                Attempts::Many(attempts) => remove(attempts, attempt, true).is_some(),
            };
        if known {
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
        if self.answering {
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
        self.unsure.get_or_insert(code);
        let repeatable = match &mut self.attempts {
            Attempts::Once(once) => {
                *once = None;
                false
            }
            Attempts::Many(attempts) => remove(attempts, attempt, true).is_some(),
        };
        let failure = Failure {
            code,
            retry: repeatable,
        };
        self.retry_or_fail(now, failure, out);
    }

    fn rejected(&mut self, code: ResultCode, out: &mut Vec<ExchangeAction>) {
        if self.any_in_flight() || self.answering {
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
        let body = failure.retry && self.body_lost && self.unsure.is_none();
        let code = match body {
            true => ResultCode::BodyNotReplayable,
            false => failure.code,
        };
        self.fail(code, out);
    }

    fn head(&mut self, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        if self.answering || self.in_flight(attempt) != Some(true) {
            return;
        }
        self.answering = true;
        if let Attempts::Many(attempts) = &mut self.attempts {
            let losers = attempts.iter().filter(|(id, _)| *id != attempt);
            out.extend(losers.map(|(id, _)| ExchangeAction::Cancel { attempt: *id }));
            attempts.retain(|(id, _)| *id == attempt);
        }
        out.push(ExchangeAction::Answer { attempt });
    }

    fn ended(&mut self, attempt: AttemptId, out: &mut Vec<ExchangeAction>) {
        if self.answering && self.in_flight(attempt).is_some() {
            self.finish(Outcome::Whole, ResultCode::Ok, out);
        }
    }

    fn timed_out(&mut self, out: &mut Vec<ExchangeAction>) {
        let sent = self.cancel_all(out);
        if self.answering {
            out.push(ExchangeAction::Abort);
            self.finish(Outcome::MayHaveRun, ResultCode::AnswerCut, out);
            return;
        }
        if sent {
            self.unsure.get_or_insert(ResultCode::DeadlinePassed);
        }
        self.fail(ResultCode::DeadlineTooClose, out);
    }

    /// A request with a key that was handed over completely runs on: its duplicates wait for it.
    fn gone(&mut self, out: &mut Vec<ExchangeAction>) {
        self.caller_gone = true;
        let sent = matches!(&self.attempts, Attempts::Once(Some(Once::Sent(..))));
        if sent && self.body_sent && self.spec.key.is_some() {
            return;
        }
        if self.cancel_all(out) {
            self.unsure.get_or_insert(ResultCode::ConnectionBroken);
        }
        let (outcome, code) = self.verdict(ResultCode::CallerGone);
        self.finish(outcome, code, out);
    }

    /// Cancels every attempt and returns whether one was sent.
    fn cancel_all(&mut self, out: &mut Vec<ExchangeAction>) -> bool {
        let attempts = match &mut self.attempts {
            Attempts::Once(once) => match once.take() {
                Some(Once::Opening(attempt, _)) => vec![(attempt, false)],
                Some(Once::Sent(attempt, _)) => vec![(attempt, true)],
                Some(Once::Idle(_)) | None => Vec::new(),
            },
            Attempts::Many(attempts) => std::mem::take(attempts),
        };
        let cancels = attempts.iter();
        out.extend(cancels.map(|(attempt, _)| ExchangeAction::Cancel { attempt: *attempt }));
        attempts.iter().any(|(_, sent)| *sent)
    }

    fn in_flight(&self, attempt: AttemptId) -> Option<bool> {
        match &self.attempts {
            Attempts::Once(Some(Once::Opening(id, _))) if *id == attempt => Some(false),
            Attempts::Once(Some(Once::Sent(id, _))) if *id == attempt => Some(true),
            Attempts::Once(_) => None,
            Attempts::Many(attempts) => {
                let found = attempts.iter().find(|(id, _)| *id == attempt);
                found.map(|(_, sent)| *sent)
            }
        }
    }

    fn any_in_flight(&self) -> bool {
        match &self.attempts {
            Attempts::Once(once) => matches!(once, Some(Once::Opening(..) | Once::Sent(..))),
            Attempts::Many(attempts) => !attempts.is_empty(),
        }
    }

    /// Returns the outcome of a request that has no response: an attempt that may have run weighs
    /// more than any later proof about another attempt.
    fn verdict(&self, code: ResultCode) -> (Outcome, ResultCode) {
        match self.unsure {
            Some(unsure) => (Outcome::MayHaveRun, unsure),
            None => (Outcome::NotRun, code),
        }
    }

    fn fail(&mut self, code: ResultCode, out: &mut Vec<ExchangeAction>) {
        let (outcome, code) = self.verdict(code);
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
