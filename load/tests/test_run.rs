//! The load tool against targets and against a balancer that misbehaves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use carobshore_load::checker::Verdict;
use carobshore_load::mix::Mix;
use carobshore_load::runner;
use carobshore_load::schedule;
use carobshore_load::schedule::ScheduleSpec;
use carobshore_load::sender::Sender;
use carobshore_load::sender::SenderSettings;
use carobshore_load::tally::Tally;
use carobshore_standin::TargetFaults;
use carobshore_standin::TargetSettings;
use carobshore_standin::TargetStandin;
use carobshore_standin::Trigger;
use carobshore_standin::server::ANY_PORT;
use carobshore_standin::server::Server;
use ntex::web;
use ntex::web::App;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;

const MIX: &str = "read=4,blob=2,once=2,post=1,upload=1";

fn settings(entry: SocketAddr, direct: bool) -> SenderSettings {
    SenderSettings {
        entries: vec![entry],
        services: vec!["status".into()],
        direct,
        deadline: Duration::from_secs(10),
        upload: 100_000,
        blob: 100_000,
        run: "run".into(),
    }
}

fn send(settings: SenderSettings, mix: &str, limit: usize, audited: &[SocketAddr]) -> (Tally, u64) {
    let spec = ScheduleSpec {
        seed: 5,
        rate: 200.0,
        length: Duration::from_secs(1),
        mix: mix.parse::<Mix>().unwrap(),
        entries: 1,
        services: 1,
    };
    let schedule = schedule::draw(&spec);
    let audited = audited.to_vec();
    runner::block_on(async move {
        let sender = Rc::new(Sender::new(settings).await.unwrap());
        let tally = runner::send_all(sender, schedule, limit).await;
        let audit = runner::audit(&tally, &audited).await.unwrap();
        (tally, audit.violations())
    })
}

fn target() -> TargetStandin {
    let settings = TargetSettings {
        slots: 64,
        queue: 10_000,
        mean: Duration::from_millis(2),
        ..TargetSettings::default()
    };
    TargetStandin::start(settings).unwrap()
}

#[test]
fn every_response_of_a_sound_target_is_whole() {
    let target = target();
    let (tally, violations) = send(settings(target.addr(), true), MIX, 10_000, &[target.addr()]);
    assert!(tally.sent > 100);
    assert_eq!(tally.count(Verdict::Whole), tally.sent);
    assert_eq!(violations, 0);
    assert_eq!(tally.targets["target"], tally.sent);
    assert_eq!(tally.kinds.len(), 5);
}

#[test]
fn cut_responses_and_target_errors_are_counted() {
    let target = target();
    target.set_faults(TargetFaults {
        cut: Trigger::next(10),
        ..TargetFaults::default()
    });
    let (tally, _) = send(settings(target.addr(), true), MIX, 10_000, &[]);
    assert_eq!(tally.count(Verdict::Cut), 10);
    target.set_faults(TargetFaults {
        fail: Trigger::next(10),
        ..TargetFaults::default()
    });
    // Without uploads: the target fails before it has read the body, and an upload may then break
    // off before its response is read.
    let mix = "read=4,blob=2,once=2,post=1";
    let (tally, _) = send(settings(target.addr(), true), mix, 10_000, &[]);
    assert_eq!(tally.count(Verdict::TargetError), 10);
    assert_eq!(tally.count(Verdict::Missing), 0);
    assert_eq!(tally.violations(), 0);
}

#[test]
fn a_target_that_is_gone_leaves_responses_missing() {
    let mut target = target();
    target.stop();
    let (tally, _) = send(settings(target.addr(), true), MIX, 10_000, &[]);
    assert_eq!(tally.count(Verdict::Missing), tally.sent);
}

/// Guards against coordinated omission: requests that are due while the target is slow count with
/// their whole wait, and requests above the limit do not disappear.
#[test]
fn a_slow_target_shows_in_the_latencies_of_all_requests_that_were_due() {
    let slow = TargetSettings {
        slots: 1,
        queue: 10_000,
        mean: Duration::from_millis(20),
        sigma: 0.0,
        ..TargetSettings::default()
    };
    let target = TargetStandin::start(slow).unwrap();
    // About 200 requests of 20 ms one after the other need about 4 s.
    let (tally, _) = send(settings(target.addr(), true), "read=1", 10_000, &[]);
    assert_eq!(tally.unsent, 0);
    assert!(tally.whole.quantile(0.9) > Duration::from_secs(2));
    let (tally, _) = send(settings(target.addr(), true), "read=1", 8, &[]);
    assert!(tally.unsent > 50, "{}", tally.unsent);
}

/// Answers as the service name asks for: with another id, without outcome, refusing or soundly.
async fn misbehave(request: HttpRequest) -> HttpResponse {
    let id = request.headers().get("x-request-id").unwrap();
    let id = id.to_str().unwrap();
    let other = id.replace("run-", "run-1");
    let echo = |id: &str| {
        let digest = "2d06800538d394c2";
        format!(r#"{{"target":"t","id":"{id}","bytes":0,"digest":"{digest}"}}"#)
    };
    let mut response = HttpResponse::Ok();
    match request
        .headers()
        .get("carobshore-service")
        .unwrap()
        .to_str()
        .unwrap()
    {
        "mixed" => response
            .header("carobshore-outcome", "whole")
            .header("carobshore-code", "0")
            .body(echo(&other)),
        "silent" => response.body(echo(id)),
        "claims" => response
            .status(ntex::http::StatusCode::SERVICE_UNAVAILABLE)
            .header("carobshore-outcome", "not-run")
            .header("carobshore-code", "4001")
            .finish(),
        _ => response
            .header("carobshore-outcome", "whole")
            .header("carobshore-code", "0")
            .body(echo(id)),
    }
}

/// A tool that passes everything would pass these responses as well.
#[test]
fn a_balancer_that_mixes_up_responses_or_omits_outcomes_is_found_out() {
    let app = async || App::new().default_service(web::to(misbehave));
    let balancer = Server::start(ANY_PORT, app, |_| {}).unwrap();
    let verdict = |service: &str, verdict| {
        let mut settings = settings(balancer.addr(), false);
        settings.services = vec![service.into()];
        let (tally, _) = send(settings, "read=1", 10_000, &[]);
        assert_eq!(
            tally.count(verdict),
            tally.sent,
            "{service}: {:?}",
            tally.verdicts
        );
    };
    verdict("sound", Verdict::Whole);
    verdict("mixed", Verdict::MixedUp);
    verdict("silent", Verdict::BadOutcome);
    verdict("claims", Verdict::NotRun);
}

/// The balancer says that nothing ran, or that all ran, and the target knows otherwise.
#[test]
fn the_audit_of_a_run_finds_false_claims() {
    let target = target();
    let (_, violations) = send(settings(target.addr(), true), "post=1", 10_000, &[]);
    assert_eq!(
        violations as usize,
        schedule_length("post=1"),
        "no target was asked"
    );
    let app = async || App::new().default_service(web::to(misbehave));
    let balancer = Server::start(ANY_PORT, app, |_| {}).unwrap();
    let mut settings = settings(balancer.addr(), false);
    settings.services = vec!["claims".into()];
    let (tally, violations) = send(settings, "post=1", 10_000, &[target.addr()]);
    assert_eq!(
        violations, tally.sent,
        "they ran in the first half of this test"
    );
}

fn schedule_length(mix: &str) -> usize {
    let spec = ScheduleSpec {
        seed: 5,
        rate: 200.0,
        length: Duration::from_secs(1),
        mix: mix.parse().unwrap(),
        entries: 1,
        services: 1,
    };
    schedule::draw(&spec).len()
}
