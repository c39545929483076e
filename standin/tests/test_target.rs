//! The simulated target: injected faults, execution counts and service times.

mod http;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use carobshore_standin::TargetFaults;
use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use carobshore_standin::Trigger;
use carobshore_standin::blob;
use carobshore_standin::executions::RunCount;
use carobshore_standin::noise::Noise;
use carobshore_standin::service_time::ServiceTime;
use carobshore_standin::target_faults::Load;
use http::Conn;
use http::call;
use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

const MEAN: Duration = Duration::from_millis(20);

fn start_with(edit: impl FnOnce(&mut TargetSettings)) -> TargetStandin {
    let mut settings = TargetSettings {
        mean: MEAN,
        sigma: 0.0,
        ..TargetSettings::default()
    };
    edit(&mut settings);
    TargetStandin::start(settings).expect("a free port")
}

fn start(faults: TargetFaults) -> TargetStandin {
    let target = start_with(|_| {});
    target.set_faults(faults);
    target
}

/// Waits up to 5 s for a state that the target reaches shortly after a reply or a close.
fn wait_until(what: &str, check: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !check() {
        assert!(Instant::now() < end, "not reached: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn the_echo_names_the_request_and_digests_its_body() {
    let target = start(TargetFaults::default());
    let body = vec![7; 300_000];
    let reply = call(target.addr(), "POST /x", &[("x-request-id", "r1")], &body).unwrap();
    assert_eq!(reply.status, 200);
    let echo = reply.json();
    assert_eq!(
        (&echo["target"], &echo["id"]),
        (&"target".into(), &"r1".into())
    );
    assert_eq!(echo["bytes"], 300_000);
    assert_eq!(echo["digest"], format!("{:016x}", xxh3_64(&body)));
    assert_eq!(reply.header("target-load"), Some("in-flight=0, queued=0"));
    let count = RunCount { started: 1, ran: 1 };
    assert_eq!(target.executions().counts["r1"], count);
}

#[test]
fn blob_is_complete_and_belongs_to_its_request() {
    let target = start(TargetFaults::default());
    let get = |id| {
        call(
            target.addr(),
            "GET /blob?size=100001",
            &[("x-request-id", id)],
            b"",
        )
        .unwrap()
    };
    assert_eq!(get("a").body, blob::chunk("a", 0, 100_001));
    assert_ne!(get("a").body, get("b").body);
    assert_eq!(blob::chunk("a", 3, 20), blob::chunk("a", 0, 23).slice(3..));
}

#[test]
fn requests_above_slots_and_queue_are_shed_and_not_run() {
    let target = start_with(|settings| settings.queue = 1);
    let mut conns: Vec<Conn> = (0..5).map(|_| Conn::open(target.addr())).collect();
    for (conn, id) in conns.iter_mut().zip(["0", "1", "2", "3", "4"]) {
        conn.send("GET /x", &[("x-request-id", id)], b"");
    }
    let replies: Vec<_> = conns
        .iter_mut()
        .map(|conn| conn.receive().unwrap())
        .collect();
    let shed = replies
        .iter()
        .filter(|reply| reply.header("target-refused") == Some("shed"));
    assert_eq!(shed.count(), 2);
    let executions = target.executions();
    assert_eq!((executions.ran, executions.shed), (3, 2));
    assert_eq!(executions.counts.len(), 3);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_and_not_run() {
    let target = start_with(|settings| settings.slots = 1);
    let mut busy = Conn::open(target.addr());
    busy.send("GET /x", &[], b"");
    wait_until("the slot is taken", || target.in_flight() == 1);
    let headers = [("x-request-id", "late"), ("carobshore-deadline-ms", "5")];
    let reply = call(target.addr(), "GET /x", &headers, b"").unwrap();
    assert_eq!(
        (reply.status, reply.header("target-refused")),
        (503, Some("deadline"))
    );
    busy.receive().unwrap();
    let executions = target.executions();
    assert_eq!((executions.ran, executions.late), (1, 1));
    assert!(!executions.counts.contains_key("late"));
}

#[test]
fn draining_target_reports_it_and_refuses_if_configured() {
    let target = start(TargetFaults {
        drain: true,
        ..TargetFaults::default()
    });
    let reply = call(target.addr(), "GET /x", &[], b"").unwrap();
    assert_eq!(
        (reply.status, reply.header("target-drain")),
        (200, Some("yes"))
    );
    target.set_faults(TargetFaults {
        refuse_drain: true,
        ..TargetFaults::default()
    });
    let reply = call(target.addr(), "GET /x", &[], b"").unwrap();
    assert_eq!(
        (reply.status, reply.header("target-refused")),
        (503, Some("drain"))
    );
    assert_eq!(target.executions().ran, 1);
}

/// Guards against silencing new connections too, and against running requests of silent ones.
#[test]
fn a_silent_connection_does_not_answer_while_a_new_one_does() {
    let target = start(TargetFaults::default());
    let mut idle = Conn::open(target.addr());
    let mut used = Conn::open(target.addr());
    used.call("GET /x", &[], b"").unwrap();
    wait_until("both are accepted", || target.connections() == 2);
    target.set_faults(TargetFaults {
        silence: true,
        ..TargetFaults::default()
    });
    let mut fresh = Conn::open(target.addr());
    for conn in [&mut idle, &mut used] {
        conn.set_read_timeout(MEAN * 10);
        conn.send("GET /x", &[("x-request-id", "silent")], b"");
    }
    assert_eq!(fresh.call("GET /x", &[], b"").unwrap().status, 200);
    for conn in [&mut idle, &mut used] {
        let error = conn.receive().err().expect("no answer");
        assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    }
    assert!(!target.executions().counts.contains_key("silent"));
}

#[test]
fn in_flight_request_is_lost_when_its_connection_is_silenced() {
    let target = start(TargetFaults::default());
    let mut conn = Conn::open(target.addr());
    conn.set_read_timeout(MEAN * 10);
    conn.send("GET /x", &[("x-request-id", "lost")], b"");
    wait_until("the work began", || target.executions().ran == 1);
    target.set_faults(TargetFaults {
        silence: true,
        ..TargetFaults::default()
    });
    assert!(conn.receive().is_err());
    assert_eq!(target.executions().counts["lost"].ran, 1);
}

#[test]
fn a_cut_response_declares_more_than_it_sends() {
    let target = start(TargetFaults {
        cut: Trigger::next(2),
        ..TargetFaults::default()
    });
    let reply = call(target.addr(), "GET /blob?size=100000", &[], b"").unwrap();
    assert_eq!((reply.declared, reply.body.len()), (100_000, 50_000));
    let reply = call(target.addr(), "GET /x", &[], b"").unwrap();
    assert!(reply.body.len() < reply.declared);
    wait_until("the slots are free", || target.in_flight() == 0);
    let reply = call(target.addr(), "GET /x", &[], b"").unwrap();
    assert_eq!(reply.body.len(), reply.declared);
}

#[test]
fn a_fast_failure_takes_no_service_time_but_counts_as_run() {
    let target = start_with(|settings| settings.mean = Duration::from_secs(60));
    target.set_faults(TargetFaults {
        fail: Trigger::next(1),
        ..TargetFaults::default()
    });
    let reply = call(
        target.addr(),
        "POST /x",
        &[("idempotency-key", "\"k\"")],
        b"",
    )
    .unwrap();
    assert_eq!(reply.status, 500);
    assert_eq!(target.executions().counts["k"].ran, 1);
}

/// Guards against missing an execution because the load balancer dropped the idempotency key.
#[test]
fn a_request_is_counted_by_its_key_and_by_its_id() {
    let target = start(TargetFaults::default());
    let headers = [("idempotency-key", "k"), ("x-request-id", "r")];
    call(target.addr(), "POST /x", &headers, b"").unwrap();
    call(target.addr(), "POST /x", &headers[1..], b"").unwrap();
    let executions = target.executions();
    assert_eq!((executions.ran, executions.max_runs()), (2, 2));
    assert_eq!(executions.counts["k"].ran, 1);
    assert_eq!(executions.counts["r"].ran, 2);
}

#[test]
fn a_closed_connection_releases_the_slot() {
    let target = start_with(|settings| settings.mean = Duration::from_secs(60));
    for body in [&b""[..], b"upload"] {
        let mut conn = Conn::open(target.addr());
        conn.send("POST /x", &[], body);
        wait_until("the slot is taken", || target.in_flight() == 1);
        drop(conn);
        wait_until("the slot is free", || target.in_flight() == 0);
    }
}

#[test]
fn a_straggler_and_a_cold_target_are_slower() {
    let timed = |target: &TargetStandin| {
        let began = Instant::now();
        call(target.addr(), "GET /x", &[], b"").unwrap();
        began.elapsed()
    };
    let straggler = start(TargetFaults {
        straggle: 5.0,
        ..TargetFaults::default()
    });
    assert!(timed(&straggler) >= MEAN * 5);
    let cold = start_with(|settings| {
        settings.cold = Duration::from_secs(60);
        settings.cold_factor = 4.0;
    });
    assert!(timed(&cold) >= MEAN * 4);
}

#[test]
fn reported_load_can_be_wrong_or_delayed() {
    let lie = Some(Load {
        in_flight: 0,
        queued: 77,
    });
    let target = start(TargetFaults {
        lie,
        ..TargetFaults::default()
    });
    let load = |target: &TargetStandin| {
        let reply = call(target.addr(), "GET /x", &[], b"").unwrap();
        reply.header("target-load").unwrap().to_owned()
    };
    assert_eq!(load(&target), "in-flight=0, queued=77");
    let target = start(TargetFaults {
        straggle: 100.0,
        ..TargetFaults::default()
    });
    let mut busy = Conn::open(target.addr());
    busy.send("GET /x", &[], b"");
    wait_until("the work began", || target.executions().ran == 1);
    target.set_faults(TargetFaults {
        load_lag_ms: 60_000,
        ..TargetFaults::default()
    });
    assert_eq!(load(&target), "in-flight=0, queued=0");
    target.set_faults(TargetFaults::default());
    assert_eq!(load(&target), "in-flight=1, queued=0");
}

#[test]
fn probes_take_slot_time_that_is_counted_by_second() {
    let target = start_with(|settings| settings.probe = Duration::from_millis(30));
    let began = Instant::now();
    for _ in 0..3 {
        let reply = call(target.addr(), "GET /probe", &[], b"").unwrap();
        assert_eq!(reply.header("target-load"), Some("in-flight=0, queued=0"));
    }
    assert!(began.elapsed() >= Duration::from_millis(90));
    let reply = call(target.addr(), "GET /executions", &[], b"").unwrap();
    let seconds = reply.json()["probe_seconds"].as_array().unwrap().clone();
    let total: f64 = seconds.iter().map(|value| value.as_f64().unwrap()).sum();
    assert!((total - 0.09).abs() < 1e-9, "{total}");
    assert_eq!(
        (target.executions().probes, target.executions().ran),
        (3, 0)
    );
}

#[test]
fn faults_are_switched_over_http_and_unknown_ones_are_refused() {
    let target = start(TargetFaults::default());
    let json = [("content-type", "application/json")];
    let put = |body: &[u8]| {
        call(target.addr(), "PUT /faults", &json, body)
            .unwrap()
            .status
    };
    assert_eq!(put(br#"{"straggle":3.0,"cut":{"next":2}}"#), 204);
    assert_eq!(target.faults().cut, Trigger::next(2));
    assert_eq!(put(br#"{"straggel":3.0}"#), 400);
    assert_eq!(target.faults().straggle, 3.0);
}

#[test]
fn service_times_have_the_stated_mean_and_repeat_with_the_seed() {
    let times = ServiceTime::new(MEAN, 1.0);
    let draw = |seed| {
        let mut random = StdRng::seed_from_u64(seed);
        (0..100_000)
            .map(|_| times.draw(&mut random))
            .sum::<Duration>()
    };
    let mean = draw(3) / 100_000;
    assert!(
        mean > MEAN.mul_f64(0.97) && mean < MEAN.mul_f64(1.03),
        "{mean:?}"
    );
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

#[test]
fn noise_stretches_work_by_its_average_and_shifts_between_periods() {
    let noise = Noise {
        period: Duration::from_millis(5),
        max_factor: 3.0,
        seed: 1,
    };
    let second = Duration::from_secs(1);
    let long = noise.stretch(Duration::ZERO, second * 10);
    // The slowdown is uniform from 1 to 3, so the mean speed is ln(3) / 2.
    let expected = second.mul_f64(10.0 * 2.0 / 3f64.ln());
    assert!(
        long > expected.mul_f64(0.95) && long < expected.mul_f64(1.05),
        "{long:?}"
    );
    let short = Duration::from_millis(1);
    let first = noise.stretch(Duration::ZERO, short);
    let shifted =
        (1..20).any(|step| noise.stretch(Duration::from_millis(5 * step), short) != first);
    assert!(shifted);
    assert!(first >= short && first <= short * 3);
}

#[test]
fn refusals_and_failed_probes_can_be_injected() {
    let target = start(TargetFaults {
        shed: Trigger::next(1),
        probe_fail: Trigger::next(1),
        ..TargetFaults::default()
    });
    let status = |line| call(target.addr(), line, &[], b"").unwrap().status;
    assert_eq!((status("GET /x"), status("GET /x")), (503, 200));
    assert_eq!((status("GET /probe"), status("GET /probe")), (500, 200));
    let executions = target.executions();
    assert_eq!(
        (executions.ran, executions.shed, executions.probes),
        (1, 1, 1)
    );
}

#[test]
fn a_trigger_hits_the_next_requests_and_then_its_share() {
    let mut random = StdRng::seed_from_u64(1);
    let mut trigger = Trigger { next: 3, rate: 0.2 };
    assert!((0..3).all(|_| trigger.fires(&mut random)));
    let hits = (0..10_000).filter(|_| trigger.fires(&mut random)).count();
    assert!((1_900..2_100).contains(&hits), "{hits}");
    let mut never = Trigger::NEVER;
    assert!((0..100).all(|_| !never.fires(&mut random)));
}
