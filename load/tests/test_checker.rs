//! The checker has to notice every wrong response; each test feeds it one.

use carobshore_load::arrival::Kind;
use carobshore_load::audit::Audit;
use carobshore_load::audit::Claim;
use carobshore_load::checker::Checker;
use carobshore_load::checker::Expected;
use carobshore_load::checker::ExpectedBody;
use carobshore_load::checker::Head;
use carobshore_load::checker::Verdict;
use carobshore_standin::blob;
use carobshore_standin::executions::Executions;
use carobshore_standin::target_body::Echo;

const DIGEST: &str = "00000000000000aa";

fn echo(id: &str) -> Echo {
    Echo {
        target: "t".into(),
        id: id.into(),
        bytes: 3,
        digest: DIGEST.into(),
    }
}

fn head(outcome: &str, code: &str, status: u16) -> Head {
    Head {
        status,
        id: None,
        target: None,
        outcome: Some(outcome.into()),
        code: Some(code.into()),
    }
}

fn checker(body: ExpectedBody) -> Checker {
    Checker::new(Expected {
        id: "mine".into(),
        body,
        has_outcome: true,
    })
}

/// Judges an echo to a request whose body has 3 bytes and the digest `DIGEST`.
fn judge(head: Head, echo: &Echo) -> Verdict {
    let mut checker = checker(ExpectedBody::Echo {
        bytes: 3,
        digest: DIGEST.into(),
    });
    checker.head(head);
    checker.chunk(&serde_json::to_vec(echo).unwrap());
    checker.end(true)
}

fn judge_blob(id: &str, size: usize) -> Verdict {
    let mut checker = checker(ExpectedBody::Blob { size: 50_000 });
    checker.head(head("whole", "0", 200));
    for chunk in blob::chunk(id, 0, size).chunks(1_001) {
        checker.chunk(chunk);
    }
    checker.end(true)
}

#[test]
fn the_own_complete_response_is_whole() {
    assert_eq!(
        judge(head("whole", "0", 200), &echo("mine")),
        Verdict::Whole
    );
    assert_eq!(judge_blob("mine", 50_000), Verdict::Whole);
}

#[test]
fn a_response_to_another_request_is_mixed_up() {
    assert_eq!(
        judge(head("whole", "0", 200), &echo("other")),
        Verdict::MixedUp
    );
    let mut other = head("whole", "0", 200);
    other.id = Some("other".into());
    assert_eq!(judge(other, &echo("mine")), Verdict::MixedUp);
    assert_eq!(judge_blob("other", 50_000), Verdict::WrongBody);
}

#[test]
fn a_body_that_only_looks_complete_is_wrong() {
    assert_eq!(judge_blob("mine", 49_999), Verdict::WrongBody);
    assert_eq!(judge_blob("mine", 50_001), Verdict::WrongBody);
    let short = Echo {
        bytes: 2,
        ..echo("mine")
    };
    assert_eq!(judge(head("whole", "0", 200), &short), Verdict::WrongBody);
    let altered = Echo {
        digest: "00000000000000ab".into(),
        ..echo("mine")
    };
    assert_eq!(judge(head("whole", "0", 200), &altered), Verdict::WrongBody);
    let mut empty = checker(ExpectedBody::Echo {
        bytes: 3,
        digest: DIGEST.into(),
    });
    empty.head(head("whole", "0", 200));
    assert_eq!(empty.end(true), Verdict::WrongBody);
}

#[test]
fn a_response_that_breaks_off_is_cut_and_none_is_missing() {
    let mut cut = checker(ExpectedBody::Blob { size: 10 });
    assert_eq!(cut.end(false), Verdict::Missing);
    cut.head(head("whole", "0", 200));
    cut.chunk(&blob::chunk("mine", 0, 5));
    assert_eq!(cut.end(false), Verdict::Cut);
}

#[test]
fn outcome_headers_that_are_absent_or_disagree_are_reported() {
    let none = Head {
        status: 200,
        ..Head::default()
    };
    assert_eq!(judge(none, &echo("mine")), Verdict::BadOutcome);
    for (outcome, code, status) in [
        ("whole", "4001", 200),
        ("not-run", "5001", 503),
        ("not-run", "4001", 200),
        ("may-have-run", "4001", 502),
        ("may-have-run", "0", 502),
        ("done", "0", 200),
        ("whole", "none", 200),
        ("not-run", "4999", 503),
    ] {
        let verdict = judge(head(outcome, code, status), &echo("mine"));
        assert_eq!(verdict, Verdict::BadOutcome, "{outcome} {code} {status}");
        assert!(verdict.is_violation());
    }
}

#[test]
fn refusals_and_target_errors_are_told_apart() {
    let judge = |outcome, code, status| judge(head(outcome, code, status), &echo("mine"));
    assert_eq!(judge("not-run", "4001", 503), Verdict::NotRun);
    assert_eq!(judge("not-run", "3002", 404), Verdict::NotRun);
    assert_eq!(judge("may-have-run", "5001", 502), Verdict::MayHaveRun);
    assert_eq!(judge("whole", "0", 500), Verdict::TargetError);
}

fn claim(execution: &str, kind: Kind, verdict: Verdict) -> Claim {
    Claim {
        execution: execution.into(),
        kind,
        verdict,
    }
}

/// Guards against an audit that looks at each target alone.
#[test]
fn the_audit_finds_each_contradiction_across_targets() {
    let (mut one, mut two) = (Executions::default(), Executions::default());
    for id in ["twice", "read", "refused"] {
        one.record_start([id]);
        one.record_run([id]);
    }
    for id in ["twice", "read"] {
        two.record_start([id]);
        two.record_run([id]);
    }
    let claims = [
        claim("twice", Kind::Once, Verdict::Whole),
        claim("read", Kind::Read, Verdict::Whole),
        claim("refused", Kind::Post, Verdict::NotRun),
        claim("ghost", Kind::Read, Verdict::Whole),
        claim("lost", Kind::Post, Verdict::MayHaveRun),
    ];
    let audit = Audit::check(&claims, &[one, two]);
    let found = (audit.ran_twice, audit.ran_after_all, audit.never_ran);
    assert_eq!(found, (1, 1, 1));
    assert_eq!(audit.violations(), 3);
}
