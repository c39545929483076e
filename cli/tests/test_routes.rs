//! Tests of setting a route. They guard against a route that comes into force without being shown in
//! a plan, and against errors that name no next step.

mod session;

use expect_test::expect;
use session::Session;

#[test]
fn a_route_is_planned_confirmed_and_listed() {
    let mut session = Session::new();
    session.publish_and_confirm(
        "carys",
        &[
            "add-service booking measuring=30ms/s",
            "add-target booking/b-1 addr=10.0.0.1:80 domain=muscat-a slots=2",
            "add-service gallery measuring=30ms/s",
            "add-target gallery/g-1 addr=10.0.0.2:80 domain=muscat-a slots=2",
        ],
    );
    let change = "set-route seats host=desk.example prefix=/seats/ to=booking:9,gallery:1 \
                  kind=unsafe timeout=1500 attempts=2";
    session.run("carys", &["intent", change]);
    let (intent, digest) = session.intent("gwen", &[change]);
    session.run("gwen", &["confirm", &intent, "--digest", &digest]);
    session.run("gwen", &["intent", "remove-service gallery"]);
    session.run(
        "gwen",
        &[
            "intent",
            "set-route seats host=desk.example to=booking kind=unsafe",
        ],
    );
    session.run(
        "gwen",
        &[
            "intent",
            "set-route a host=x prefix=/a/ to=booking kind=once",
        ],
    );
    session.run("gwen", &["history"]);
    expect![[r#"
        carys$ carobshore intent 'set-route seats host=desk.example prefix=/seats/ to=booking:9,gallery:1 kind=unsafe timeout=1500 attempts=2'
        published at offset 2, not in force yet
        intent ID-0 by carys
        digest 01ead364dee9201ee84fbad29a1a0873fb06147d45c06e41291043629275eade

        + route seats for desk.example/seats/
          + services booking:9,gallery:1
          + kind unsafe
          + timeout 1.5s
          + attempts 2

        next: carobshore confirm ID-0 --digest 01ead364dee9201ee84fbad29a1a0873fb06147d45c06e41291043629275eade
        [0]

        gwen$ carobshore confirm ID-1 --digest 01ead364dee9201ee84fbad29a1a0873fb06147d45c06e41291043629275eade
        in force since offset 4: route/seats version 1
        [0]

        gwen$ carobshore intent 'remove-service gallery'
        error [2003]: route `seats` sends requests to `gallery`, which does not exist after the plan
          next: add the service, or change or remove the route in the same intent
        [1]

        gwen$ carobshore intent 'set-route seats host=desk.example to=booking kind=unsafe'
        error: invalid value 'set-route seats host=desk.example to=booking kind=unsafe' for '[CHANGE]...': [1004] `prefix=` is missing in `set-route seats host=desk.example to=booking kind=unsafe`; a change has one of these forms: add-service SERVICE measuring=BUDGET [connections=N]; remove-service SERVICE; set-measuring SERVICE BUDGET; set-connections SERVICE N; add-target SERVICE/TARGET addr=IP:PORT domain=DOMAIN slots=N; remove-target SERVICE/TARGET; mark-leaving SERVICE/TARGET; set-slots SERVICE/TARGET N; set-route ROUTE host=HOST prefix=/PATH/ to=SERVICE[:WEIGHT][,SERVICE:WEIGHT] kind=safe|unsafe|upload [timeout=MS] [attempts=N]; remove-route ROUTE

        For more information, try '--help'.
        [2]

        gwen$ carobshore intent 'set-route a host=x prefix=/a/ to=booking kind=once'
        error: invalid value 'set-route a host=x prefix=/a/ to=booking kind=once' for '[CHANGE]...': [1004] `once` is not a kind of request; use `safe` if a request may run more than once, otherwise `unsafe`, or `upload` for large bodies

        For more information, try '--help'.
        [2]

        gwen$ carobshore history
        offset  operator  result    touches          intent                                note
        1       carys     in force  booking gallery  ID-2
        4       gwen      in force  route/seats      ID-1
        [0]

    "#]].assert_eq(&session.transcript());
}
