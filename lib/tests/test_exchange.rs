//! Tests of one request's life.

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

    fn once() -> Self {
        Self::new(false, false)
    }

    fn many() -> Self {
        Self::new(true, false)
    }

    fn give(&mut self, event: ExchangeEvent) -> Vec<ExchangeAction> {
        let mut out = Vec::new();
        self.exchange.handle(self.clock.now(), event, &mut out);
        out
    }

    fn sent(mut self, attempt: AttemptId) -> Self {
        assert_eq!(self.give(Started { attempt }), []);
        assert_eq!(self.give(Sent { attempt }), []);
        self
    }
}

fn failed(outcome: Outcome, code: ResultCode) -> [ExchangeAction; 2] {
    [Fail { outcome, code }, Done { outcome, code }]
}

fn not_run(code: ResultCode) -> [ExchangeAction; 2] {
    failed(Outcome::NotRun, code)
}

fn unsure(code: ResultCode) -> [ExchangeAction; 2] {
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
        let mut fixture = Fixture::once().sent(A);
        let mut actions = fixture.give(event);
        actions.retain(|action| *action != Cancel { attempt: A });
        assert_eq!(actions, unsure(code), "{event:?}");
        assert_eq!(
            fixture.give(Started { attempt: B }),
            [Cancel { attempt: B }]
        );
        assert_eq!(fixture.give(Sent { attempt: B }), [Cancel { attempt: B }]);
    }
}

/// Guards against giving up, or claiming that it may have run, in spite of a proof.
#[test]
fn proof_of_not_run_allows_another_attempt() {
    for by in [RefusedBy::Shed, RefusedBy::Drain] {
        let mut fixture = Fixture::once().sent(A);
        assert_eq!(fixture.give(Refused { attempt: A, by }), [Retry]);
        assert_eq!(fixture.give(Started { attempt: B }), []);
        assert_eq!(fixture.give(ConnectFailed { attempt: B }), [Retry]);
        let code = ResultCode::RetryBudgetSpent;
        assert_eq!(fixture.give(Rejected { code }), not_run(code));
    }
    let code = ResultCode::QueueFull;
    let last_word = RefusedBy::Vm { code, retry: false };
    let mut fixture = Fixture::once().sent(A);
    let refused = Refused {
        attempt: A,
        by: last_word,
    };
    assert_eq!(fixture.give(refused), not_run(code));
    let mut fixture = Fixture::once().sent(A);
    let refused = Refused {
        attempt: A,
        by: RefusedBy::Deadline,
    };
    assert_eq!(fixture.give(refused), not_run(ResultCode::DeadlineTooClose));
}

/// Guards against a paused VM that writes after its lease lapsed or its deadline passed.
#[test]
fn nothing_is_written_after_the_deadline_or_without_the_lease() {
    let mut fixture = Fixture::new(false, true);
    fixture.give(Started { attempt: A });
    let code = ResultCode::LeaseLapsed;
    assert_eq!(fixture.give(Withdrawn { attempt: A, code }), not_run(code));
    let mut fixture = Fixture::once();
    fixture.give(Started { attempt: A });
    fixture.clock.advance(DEADLINE);
    assert_eq!(fixture.give(Sent { attempt: A }), [Cancel { attempt: A }]);
    let mut actions = fixture.give(TimedOut);
    actions.retain(|action| *action != Cancel { attempt: A });
    assert_eq!(actions, not_run(ResultCode::DeadlineTooClose));
}

/// Guards against two answers to one request, and against the events of a cancelled attempt.
#[test]
fn the_first_head_wins_and_late_events_are_ignored() {
    let fixture = Fixture::many().sent(A);
    assert!(fixture.exchange.may_hedge(fixture.clock.now()));
    let mut fixture = fixture.sent(B);
    assert!(!fixture.exchange.may_hedge(fixture.clock.now()));
    let head = fixture.give(Head {
        attempt: B,
        status: 200,
    });
    assert_eq!(head, [Cancel { attempt: A }, Answer { attempt: B }]);
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
        assert_eq!(fixture.give(late), [], "{late:?}");
    }
    let (outcome, code) = (Outcome::Whole, ResultCode::Ok);
    assert_eq!(fixture.give(Ended { attempt: B }), [Done { outcome, code }]);
    assert_eq!(fixture.give(TimedOut), []);
    assert!(
        !Fixture::once()
            .sent(A)
            .exchange
            .may_hedge(fixture.clock.now())
    );
}

/// Guards against a part of a response that is passed on as the whole.
#[test]
fn a_cut_response_aborts_the_caller() {
    let (outcome, code) = (Outcome::MayHaveRun, ResultCode::AnswerCut);
    for mut fixture in [Fixture::once().sent(A), Fixture::many().sent(A)] {
        fixture.give(Head {
            attempt: A,
            status: 200,
        });
        let cut = fixture.give(Broken { attempt: A });
        assert_eq!(cut, [Abort, Done { outcome, code }]);
    }
    let mut fixture = Fixture::many().sent(A);
    fixture.give(Head {
        attempt: A,
        status: 200,
    });
    let late = [Cancel { attempt: A }, Abort, Done { outcome, code }];
    assert_eq!(fixture.give(TimedOut), late);
}

/// Guards against retries of idempotent requests without bound, and against a false "not run"
/// after an earlier attempt that may have run.
#[test]
fn idempotent_requests_retry_and_remember_the_doubt() {
    let mut fixture = Fixture::many();
    for n in 1..MAX_ATTEMPTS {
        fixture = fixture.sent(AttemptId(n.into()));
        let attempt = AttemptId(n.into());
        assert_eq!(fixture.give(Broken { attempt }), [Retry]);
    }
    fixture = fixture.sent(A);
    let refused = fixture.give(Refused {
        attempt: A,
        by: RefusedBy::Shed,
    });
    assert_eq!(refused, unsure(ResultCode::ConnectionBroken));
    let mut fixture = Fixture::many().sent(A).sent(B);
    assert_eq!(
        fixture.give(Broken { attempt: A }),
        [],
        "the copy may still answer"
    );
    assert_eq!(fixture.give(Broken { attempt: B }), [Retry]);
}

/// Guards against a resend of half a body.
#[test]
fn a_consumed_body_is_not_sent_again() {
    let mut fixture = Fixture::once().sent(A);
    assert_eq!(fixture.give(BodyNotKept), []);
    let refused = fixture.give(Refused {
        attempt: A,
        by: RefusedBy::Shed,
    });
    assert_eq!(refused, not_run(ResultCode::BodyNotReplayable));
    let mut fixture = Fixture::many().sent(A);
    fixture.give(BodyNotKept);
    let broken = fixture.give(Broken { attempt: A });
    assert_eq!(broken, unsure(ResultCode::ConnectionBroken));
}

/// Guards against a key whose duplicates wait for a request that was cancelled with its caller.
#[test]
fn a_keyed_request_outlives_its_caller() {
    let mut fixture = Fixture::new(false, true).sent(A);
    fixture.give(BodySent);
    assert_eq!(fixture.give(CallerGone), []);
    assert_eq!(
        fixture.give(Head {
            attempt: A,
            status: 200
        }),
        [Answer { attempt: A }]
    );
    let (outcome, code) = (Outcome::Whole, ResultCode::Ok);
    assert_eq!(fixture.give(Ended { attempt: A }), [Done { outcome, code }]);
    let (outcome, code) = (Outcome::MayHaveRun, ResultCode::ConnectionBroken);
    let mut fixture = Fixture::new(false, true).sent(A);
    let half_body = [Cancel { attempt: A }, Done { outcome, code }];
    assert_eq!(fixture.give(CallerGone), half_body);
    let mut fixture = Fixture::once();
    let (outcome, code) = (Outcome::NotRun, ResultCode::CallerGone);
    assert_eq!(fixture.give(CallerGone), [Done { outcome, code }]);
}

/// Seeded sequences of events in any order, as faults and races produce them. Counts what a target
/// sees and compares it with what the caller is told.
#[test]
fn no_order_of_events_breaks_a_promise() {
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
            let actions = fixture.give(event);
            let refused = actions.contains(&Cancel { attempt });
            match event {
                Sent { attempt } if !refused => written.push(attempt),
                Refused { attempt, .. } => proofs.push(attempt),
                _ => {}
            }
            let may_run = written.iter().filter(|sent| !proofs.contains(sent)).count();
            assert!(
                repeatable || may_run <= 1,
                "seed {seed}: two attempts may run"
            );
            for action in actions {
                assert!(
                    !done || matches!(action, Cancel { .. }),
                    "seed {seed}: after the end"
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
                        assert_eq!(may_run, 0, "seed {seed}: a false `not run`");
                    }
                    _ => {}
                }
                dones += u32::from(matches!(action, Done { .. }));
            }
            assert!(dones <= 1, "seed {seed}: two ends");
        }
    }
}
