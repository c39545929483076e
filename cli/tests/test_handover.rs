//! The noon handover: two operators change the same services.

mod session;

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

/// Guards against the second operator's plan coming into force on a view that the first has
/// changed, and against a message that leaves the second one without a next step.
#[test]
fn the_second_operator_is_told_who_came_first_and_gets_a_fresh_plan() {
    let mut session = Session::new();
    session.put("gwen", STATUS);
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
        intent                                offset  operator  services  note
        ID-0  2       gwen      status    status-1 is serviced
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
        offset  operator  result    services  intent                                note
        1       gwen      in force  status    ID-2
        4       gwen      in force  status    ID-0  status-1 is serviced
        5       salma     in force  status    ID-1
        [0]

    "#]].assert_eq(&session.transcript());
}

/// Guards against two confirms that cross on their way to the log both being reported in force.
#[test]
fn of_two_confirms_that_cross_one_is_in_force() {
    let mut session = Session::new();
    session.put("gwen", STATUS);
    let (first, first_digest) = session.intent("gwen", &["set-slots status/status-1 4"]);
    let (second, second_digest) = session.intent("salma", &["set-slots status/status-1 3"]);
    session.log.set_faults(LogFaults {
        slow: Trigger::next(2),
        delay_ms: 1_400,
        ..LogFaults::default()
    });
    // Both have read the log before either appends, because their reads are answered late.
    let gwen = session.start("gwen", &["confirm", &first, "--digest", &first_digest]);
    let salma = session.start("salma", &["confirm", &second, "--digest", &second_digest]);
    let (gwen, gwen_text) = session.finish(gwen);
    let (salma, salma_text) = session.finish(salma);
    let (winner, text) = match (gwen, salma) {
        (0, 1) => ("gwen", salma_text),
        (1, 0) => ("salma", gwen_text),
        other => panic!("{other:?}: {gwen_text}{salma_text}"),
    };
    let told = format!("not in force [2004]: the confirm of {winner} at offset 4 came first");
    assert!(text.starts_with(&told), "{text}");
    assert!(text.contains("fresh plan:") && text.contains("next: carobshore confirm"));
    let history = session.json("gwen", &["history"]);
    let verdicts: Vec<_> = history
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| &entry["verdict"]["verdict"])
        .collect();
    assert_eq!(verdicts, ["in-force", "in-force", "rejected"]);
}

/// Guards against a lost answer publishing an intent twice or reporting a failure.
#[test]
fn a_lost_answer_changes_nothing_for_the_operator() {
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
