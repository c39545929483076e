//! Tests of the life cycle of a request.

use std::time::Duration;

use carobshore_lib::exchange::MAX_ATTEMPTS;
use carobshore_lib::prelude::*;
use carobshore_testutils::keys::key_at;
use carobshore_testutils::manual_clock::ManualClock;
use rand::RngExt;
use rand::SeedableRng;

use ExchangeAction::*;
use ExchangeEvent::*;

const A: AttemptId = AttemptId(1);
const B: AttemptId = AttemptId(2);
const DEADLINE: Duration = Duration::from_secs(10);

struct Fixture {
    clock: ManualClock,
    exchange: Exchange,
}

impl Fixture {
    fn new(repeatable: bool, keyed: bool) -> Self {
        let clock = ManualClock::default();
        let exchange = Exchange::new(CallSpec {
            attempts: MAX_ATTEMPTS,
            repeatable,
            key: keyed.then(|| key_at(clock.wall(), 1)),
            deadline: clock.now() + DEADLINE,
        });
        Self { clock, exchange }
    }

    fn run_once() -> Self {
        Self::new(false, false)
    }

    fn idempotent() -> Self {
        Self::new(true, false)
    }

    fn handle(&mut self, event: ExchangeEvent) -> Vec<ExchangeAction> {
        let mut out = Vec::new();
        self.exchange.handle(self.clock.now(), event, &mut out);
        out
    }

    fn sent(mut self, attempt: AttemptId) -> Self {
        assert_eq!(self.handle(Started { attempt }), []);
        assert_eq!(self.handle(Sent { attempt }), []);
        self
    }
}

fn failed(outcome: Outcome, code: ResultCode) -> [ExchangeAction; 2] {
    [Fail { outcome, code }, Done { outcome, code }]
}

fn not_run(code: ResultCode) -> [ExchangeAction; 2] {
    failed(Outcome::NotRun, code)
}

fn may_have_run(code: ResultCode) -> [ExchangeAction; 2] {
    failed(Outcome::MayHaveRun, code)
}

/// Guards against a run-once request that is sent again after an attempt that may have run.
#[test]
fn a_run_once_request_is_over_when_its_attempt_may_have_run() {
    let ends = [
        (Broken { attempt: A }, ResultCode::ConnectionBroken),
        (TimedOut, ResultCode::DeadlinePassed),
        (
            MayHaveRun {
                attempt: A,
                code: ResultCode::AnswerCut,
            },
            ResultCode::AnswerCut,
        ),
    ];
    for (event, code) in ends {
        let mut fixture = Fixture::run_once().sent(A);
        let mut actions = fixture.handle(event);
        actions.retain(|action| *action != Cancel { attempt: A });
        assert_eq!(actions, may_have_run(code), "{event:?}");
        assert_eq!(
            fixture.handle(Started { attempt: B }),
            [Cancel { attempt: B }]
        );
        assert_eq!(fixture.handle(Sent { attempt: B }), [Cancel { attempt: B }]);
    }
}

/// Guards against a request that fails, or is reported as "may have run", although a refusal proves
/// that it did not run.
#[test]
fn proof_of_not_run_allows_another_attempt() {
    for by in [RefusedBy::Shed, RefusedBy::Drain] {
        let mut fixture = Fixture::run_once().sent(A);
        assert_eq!(fixture.handle(Refused { attempt: A, by }), [Retry]);
        assert_eq!(fixture.handle(Started { attempt: B }), []);
        assert_eq!(fixture.handle(ConnectFailed { attempt: B }), [Retry]);
        let code = ResultCode::RetryBudgetSpent;
        assert_eq!(fixture.handle(Rejected { code }), not_run(code));
    }
    let code = ResultCode::QueueFull;
    let final_refusal = RefusedBy::Vm { code, retry: false };
    let mut fixture = Fixture::run_once().sent(A);
    let refused = Refused {
        attempt: A,
        by: final_refusal,
    };
    assert_eq!(fixture.handle(refused), not_run(code));
    let mut fixture = Fixture::run_once().sent(A);
    let refused = Refused {
        attempt: A,
        by: RefusedBy::Deadline,
    };
    assert_eq!(
        fixture.handle(refused),
        not_run(ResultCode::DeadlineTooClose)
    );
}

/// Guards against a VM that was paused and writes after its lease lapsed or its deadline passed.
#[test]
fn nothing_is_written_after_the_deadline_or_without_the_lease() {
    let mut fixture = Fixture::new(false, true);
    fixture.handle(Started { attempt: A });
    let code = ResultCode::LeaseLapsed;
    assert_eq!(
        fixture.handle(Withdrawn { attempt: A, code }),
        not_run(code)
    );
    let mut fixture = Fixture::run_once();
    fixture.handle(Started { attempt: A });
    fixture.clock.advance(DEADLINE);
    assert_eq!(fixture.handle(Sent { attempt: A }), [Cancel { attempt: A }]);
    let mut actions = fixture.handle(TimedOut);
    actions.retain(|action| *action != Cancel { attempt: A });
    assert_eq!(actions, not_run(ResultCode::DeadlineTooClose));
}

/// Guards against two responses to one request, and against events of a cancelled attempt.
#[test]
fn the_first_head_wins_and_late_events_are_ignored() {
    let fixture = Fixture::idempotent().sent(A);
    assert!(fixture.exchange.may_hedge(fixture.clock.now()));
    let mut fixture = fixture.sent(B);
    assert!(!fixture.exchange.may_hedge(fixture.clock.now()));
    let head = fixture.handle(Head {
        attempt: B,
        status: 200,
    });
    assert_eq!(head, [Cancel { attempt: A }, Relay { attempt: B }]);
    for late in [
        Head {
            attempt: A,
            status: 200,
        },
        Broken { attempt: A },
        Ended { attempt: A },
        Refused {
            attempt: A,
            by: RefusedBy::Shed,
        },
    ] {
        assert_eq!(fixture.handle(late), [], "{late:?}");
    }
    let (outcome, code) = (Outcome::Whole, ResultCode::Ok);
    assert_eq!(
        fixture.handle(Ended { attempt: B }),
        [Done { outcome, code }]
    );
    assert_eq!(fixture.handle(TimedOut), []);
    assert!(
        !Fixture::run_once()
            .sent(A)
            .exchange
            .may_hedge(fixture.clock.now())
    );
}

/// Guards against a truncated response that is passed on as complete.
#[test]
fn a_truncated_response_aborts_the_caller() {
    let (outcome, code) = (Outcome::MayHaveRun, ResultCode::AnswerCut);
    for mut fixture in [Fixture::run_once().sent(A), Fixture::idempotent().sent(A)] {
        fixture.handle(Head {
            attempt: A,
            status: 200,
        });
        let truncated = fixture.handle(Broken { attempt: A });
        assert_eq!(truncated, [Abort, Done { outcome, code }]);
    }
    let mut fixture = Fixture::idempotent().sent(A);
    fixture.handle(Head {
        attempt: A,
        status: 200,
    });
    let late = [Cancel { attempt: A }, Abort, Done { outcome, code }];
    assert_eq!(fixture.handle(TimedOut), late);
}

/// Guards against unbounded retries of idempotent requests, and against a false "not run" after an
/// earlier attempt that may have run.
#[test]
fn idempotent_requests_retry_and_keep_the_outcome_may_have_run() {
    let mut fixture = Fixture::idempotent();
    for n in 1..MAX_ATTEMPTS {
        fixture = fixture.sent(AttemptId(n.into()));
        let attempt = AttemptId(n.into());
        assert_eq!(fixture.handle(Broken { attempt }), [Retry]);
    }
    fixture = fixture.sent(A);
    let refused = fixture.handle(Refused {
        attempt: A,
        by: RefusedBy::Shed,
    });
    assert_eq!(refused, may_have_run(ResultCode::ConnectionBroken));
    let mut fixture = Fixture::idempotent().sent(A).sent(B);
    assert_eq!(
        fixture.handle(Broken { attempt: A }),
        [],
        "the hedged attempt may still respond"
    );
    assert_eq!(fixture.handle(Broken { attempt: B }), [Retry]);
}

/// Guards against resending an incomplete body.
#[test]
fn a_consumed_body_is_not_sent_again() {
    let mut fixture = Fixture::run_once().sent(A);
    assert_eq!(fixture.handle(BodyNotKept), []);
    let refused = fixture.handle(Refused {
        attempt: A,
        by: RefusedBy::Shed,
    });
    assert_eq!(refused, not_run(ResultCode::BodyNotReplayable));
    let mut fixture = Fixture::idempotent().sent(A);
    fixture.handle(BodyNotKept);
    let broken = fixture.handle(Broken { attempt: A });
    assert_eq!(broken, may_have_run(ResultCode::ConnectionBroken));
}

/// Guards against duplicates that wait for a request that was cancelled when its caller
/// disconnected.
#[test]
fn a_keyed_request_continues_without_its_caller() {
    let mut fixture = Fixture::new(false, true).sent(A);
    fixture.handle(BodySent);
    assert_eq!(fixture.handle(CallerGone), []);
    assert_eq!(
        fixture.handle(Head {
            attempt: A,
            status: 200
        }),
        [Relay { attempt: A }]
    );
    let (outcome, code) = (Outcome::Whole, ResultCode::Ok);
    assert_eq!(
        fixture.handle(Ended { attempt: A }),
        [Done { outcome, code }]
    );
    let (outcome, code) = (Outcome::MayHaveRun, ResultCode::ConnectionBroken);
    let mut fixture = Fixture::new(false, true).sent(A);
    let half_body = [Cancel { attempt: A }, Done { outcome, code }];
    assert_eq!(fixture.handle(CallerGone), half_body);
    let mut fixture = Fixture::run_once();
    let (outcome, code) = (Outcome::NotRun, ResultCode::CallerGone);
    assert_eq!(fixture.handle(CallerGone), [Done { outcome, code }]);
}

/// Runs seeded random sequences of events, in any order that faults and races can produce. Compares
/// what a target sees with what the caller is told.
#[test]
fn no_order_of_events_breaks_an_invariant() {
    for seed in 0..20_000 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let repeatable = rng.random_bool(0.5);
        let mut fixture = Fixture::new(repeatable, !repeatable && rng.random_bool(0.5));
        let (mut written, mut proofs, mut dones) = (Vec::new(), Vec::new(), 0);
        for _ in 0..rng.random_range(1..30) {
            let attempt = AttemptId(rng.random_range(0..4));
            let fresh = !written.contains(&attempt);
            let event = match rng.random_range(0..15) {
                0..3 => Started { attempt },
                3..6 if fresh => Sent { attempt },
                6 if !fresh && !proofs.contains(&attempt) => Refused {
                    attempt,
                    by: RefusedBy::Shed,
                },
                7 => ConnectFailed { attempt },
                8 => Broken { attempt },
                9 => Head {
                    attempt,
                    status: 200,
                },
                10 => Ended { attempt },
                11 => TimedOut,
                12 => CallerGone,
                13 => Rejected {
                    code: ResultCode::QueueFull,
                },
                _ => BodySent,
            };
            let done = fixture.exchange.is_done();
            let actions = fixture.handle(event);
            let refused = actions.contains(&Cancel { attempt });
            match event {
                Sent { attempt } if !refused => written.push(attempt),
                Refused { attempt, .. } => proofs.push(attempt),
                _ => {}
            }
            let may_run = written.iter().filter(|sent| !proofs.contains(sent)).count();
            assert!(
                repeatable || may_run <= 1,
                "seed {seed}: more than one attempt may have run"
            );
            for action in actions {
                assert!(
                    !done || matches!(action, Cancel { .. }),
                    "seed {seed}: action after `Done`"
                );
                match action {
                    Fail {
                        outcome: Outcome::NotRun,
                        ..
                    }
                    | Done {
                        outcome: Outcome::NotRun,
                        ..
                    } => {
                        assert_eq!(
                            may_run, 0,
                            "seed {seed}: `not run` reported for a request that may have run"
                        );
                    }
                    _ => {}
                }
                dones += u32::from(matches!(action, Done { .. }));
            }
            assert!(dones <= 1, "seed {seed}: more than one `Done`");
        }
    }
}
