//! Tests of two operators changing the same services at once, as at the handover at noon.

mod session;

use std::time::Duration;

use carobshore_standin::LogFaults;
use carobshore_standin::Trigger;
use expect_test::expect;
use session::Session;

const STATUS: &[&str] = &[
    "add-service status measuring=30ms/s connections=240",
    "add-target status/status-1 addr=10.0.0.1:80 domain=tawe-a slots=2",
    "add-target status/status-2 addr=10.0.0.2:80 domain=tawe-b slots=2",
    "add-target status/status-3 addr=10.0.0.3:80 domain=tawe-c slots=2",
];

/// Guards against a confirm taking effect although another operator has changed the configuration
/// that its plan was computed from, and against an error that names no next step.
#[test]
fn a_stale_confirm_names_the_earlier_one_and_prints_a_fresh_plan() {
    let mut session = Session::new();
    session.publish_and_confirm("gwen", STATUS);
    let more = "add-target status/status-4 addr=10.0.0.4:80 domain=tawe-a slots=2";
    session.run(
        "gwen",
        &[
            "intent",
            "--note",
            "status-1 is serviced",
            "mark-leaving status/status-1",
            more,
        ],
    );
    session.run(
        "salma",
        &[
            "intent",
            "set-slots status/status-1 4",
            "set-measuring status 60ms/s",
        ],
    );
    session.run("salma", &["plan"]);
    let waiting = session.json("salma", &["plan"]);
    let id = |index: usize| waiting[index]["intent"].as_str().unwrap().to_owned();
    let digest = |session: &Session, id: &str| {
        let plan = session.json("salma", &["plan", id]);
        plan["digest"].as_str().unwrap().to_owned()
    };
    let (gwen, salma) = (id(0), id(1));
    let (gwen_digest, salma_digest) = (digest(&session, &gwen), digest(&session, &salma));
    session.run("gwen", &["confirm", &gwen, "--digest", &gwen_digest[..12]]);
    session.run("salma", &["confirm", &salma, "--digest", &salma_digest]);
    session.run("salma", &["plan", &salma]);
    let fresh = digest(&session, &salma);
    session.run("salma", &["confirm", &salma, "--digest", &fresh]);
    session.run("gwen", &["confirm", &salma, "--digest", &fresh]);
    session.run("gwen", &["history"]);
    expect![[r#"
        gwen$ carobshore intent --note 'status-1 is serviced' 'mark-leaving status/status-1' 'add-target status/status-4 addr=10.0.0.4:80 domain=tawe-a slots=2'
        published at offset 2, not in force yet
        intent ID-0 by gwen
        note   status-1 is serviced
        digest fb85a70d38cf602ffc8e1097e203d9ec54accc2d3274143603404c63bf771f15

        ~ service status, version 1 -> 2
          ~ target status-1 is leaving and gets no new work
          + target status-4 at 10.0.0.4:80 in tawe-a, 2 slots
          = capacity: 6 slots on 3 targets -> 6 slots on 3 targets; 4 left if tawe-a is lost
          = measuring: 30000us/s, 0.50% of the slots' time

        next: carobshore confirm ID-0 --digest fb85a70d38cf602ffc8e1097e203d9ec54accc2d3274143603404c63bf771f15
        [0]

        salma$ carobshore intent 'set-slots status/status-1 4' 'set-measuring status 60ms/s'
        published at offset 3, not in force yet
        intent ID-1 by salma
        digest 7b51ecbe000accf8e950df44e78641ec3618cb8aa59ff883d072113ace026dd2

        ~ service status, version 1 -> 2
          ~ measuring budget 30000us/s -> 60000us/s
          ~ target status-1 slots 2 -> 4
          = capacity: 6 slots on 3 targets -> 8 slots on 3 targets; 4 left if tawe-a is lost
          = measuring: 60000us/s, 0.75% of the slots' time

        next: carobshore confirm ID-1 --digest 7b51ecbe000accf8e950df44e78641ec3618cb8aa59ff883d072113ace026dd2
        [0]

        salma$ carobshore plan
        intent                                offset  operator  touches  note
        ID-0  2       gwen      status   status-1 is serviced
        ID-1  3       salma     status
        [0]

        gwen$ carobshore confirm ID-0 --digest fb85a70d38cf
        in force since offset 4: status version 2
        [0]

        salma$ carobshore confirm ID-1 --digest 7b51ecbe000accf8e950df44e78641ec3618cb8aa59ff883d072113ace026dd2
        not published [2004]: the digest is not that of the present plan; the last confirm of its services is that of gwen at offset 4
        fresh plan:

        intent ID-1 by salma
        digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e

        ~ service status, version 2 -> 3
          ~ measuring budget 30000us/s -> 60000us/s
          ~ target status-1 slots 2 -> 4
          = capacity: 6 slots on 3 targets -> 6 slots on 3 targets; 4 left if tawe-a is lost
          = measuring: 60000us/s, 1.00% of the slots' time

        next: carobshore confirm ID-1 --digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e
        [1]

        salma$ carobshore plan ID-1
        intent ID-1 by salma
        digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e

        ~ service status, version 2 -> 3
          ~ measuring budget 30000us/s -> 60000us/s
          ~ target status-1 slots 2 -> 4
          = capacity: 6 slots on 3 targets -> 6 slots on 3 targets; 4 left if tawe-a is lost
          = measuring: 60000us/s, 1.00% of the slots' time

        next: carobshore confirm ID-1 --digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e
        [0]

        salma$ carobshore confirm ID-1 --digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e
        in force since offset 5: status version 3
        [0]

        gwen$ carobshore confirm ID-1 --digest 577ccd2af78aec70cd3013114a01ae6333802843e90991cf626755ba99e4a03e
        error [2004]: intent ID-1 is already in force by the confirm of salma at offset 5
          next: nothing is left to do for it; `carobshore history` shows the confirm
        [1]

        gwen$ carobshore history
        offset  operator  result    touches  intent                                note
        1       gwen      in force  status   ID-2
        4       gwen      in force  status   ID-0  status-1 is serviced
        5       salma     in force  status   ID-1
        [0]

    "#]].assert_eq(&session.transcript());
}

/// Guards against reporting both of two concurrent confirms as in force.
#[test]
fn only_one_of_two_concurrent_confirms_is_in_force() {
    let mut session = Session::new();
    session.publish_and_confirm("gwen", STATUS);
    let (first, first_digest) = session.intent("gwen", &["set-slots status/status-1 4"]);
    let (second, second_digest) = session.intent("salma", &["set-slots status/status-1 3"]);
    session.log.set_faults(LogFaults {
        slow: Trigger::next(1),
        delay_ms: 1_200,
        ..LogFaults::default()
    });
    // The log serves Gwen's read before Salma confirms but delays the response, so that Gwen's
    // confirm is appended after Salma's.
    let gwen = session.start("gwen", &["confirm", &first, "--digest", &first_digest]);
    let read_delayed = (0..2_000).any(|_| {
        std::thread::sleep(Duration::from_millis(5));
        session.log.faults().slow.next == 0
    });
    assert!(read_delayed, "the log was not read within 10 s");
    let salma = ["confirm", &second, "--digest", &second_digest];
    session.run("salma", &salma);
    session.finish(gwen);
    session.run("gwen", &["history"]);
    expect![[r#"
        salma$ carobshore confirm ID-0 --digest 48f94d2895ea0c4c59f2603e963cd8a154f365bd1a851297c5bf8cbd9375b666
        in force since offset 4: status version 2
        [0]

        gwen$ carobshore confirm ID-1 --digest 02380f1bc987828796d8b047e2612ce1d42492a50672491dd7d24fde38b2733b
        not in force [2004]: the confirm of salma at offset 4 came first (yours is at offset 5)
        fresh plan:

        intent ID-1 by gwen
        digest b58c2e424c6fb1347c269b9d4e32d46240ce90d8e560f9ec7d8bdafc63cb937a

        ~ service status, version 2 -> 3
          ~ target status-1 slots 3 -> 4
          = capacity: 7 slots on 3 targets -> 8 slots on 3 targets; 4 left if tawe-a is lost
          = measuring: 30000us/s, 0.37% of the slots' time

        next: carobshore confirm ID-1 --digest b58c2e424c6fb1347c269b9d4e32d46240ce90d8e560f9ec7d8bdafc63cb937a
        [1]

        gwen$ carobshore history
        offset  operator  result                                         touches  intent                                note
        1       gwen      in force                                       status   ID-2
        4       salma     in force                                       status   ID-0
        5       gwen      rejected [2004], salma at offset 4 came first  status   ID-1
        [0]

    "#]].assert_eq(&session.transcript());
}

/// Guards against publishing an intent twice, or reporting a failure, when the response to an append
/// is lost.
#[test]
fn a_lost_append_response_is_invisible_to_the_operator() {
    let session = Session::new();
    session.log.set_faults(LogFaults {
        lose: Trigger::next(1),
        ..LogFaults::default()
    });
    let (intent, digest) = session.intent("gwen", STATUS);
    session.log.set_faults(LogFaults {
        lose: Trigger::next(1),
        refuse: Trigger::next(1),
        ..LogFaults::default()
    });
    let confirmed = session.json("gwen", &["confirm", &intent, "--digest", &digest]);
    assert_eq!(confirmed["in_force"], true);
    assert_eq!(session.log.records().len(), 2);
    assert_eq!(
        session.json("gwen", &["history"]).as_array().unwrap().len(),
        1
    );
}
