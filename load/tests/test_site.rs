//! The load tool against whole entry VMs.

use std::rc::Rc;
use std::time::Duration;

use carobshore_lib::prelude::Change;
use carobshore_load::audit::Audit;
use carobshore_load::checker::Verdict;
use carobshore_load::operator_session;
use carobshore_load::runner;
use carobshore_load::schedule;
use carobshore_load::schedule::ScheduleSpec;
use carobshore_load::sender::Sender;
use carobshore_load::sender::SenderSettings;
use carobshore_load::site;
use carobshore_load::site::Site;
use carobshore_load::site::SiteService;
use carobshore_load::tally::Tally;
use carobshore_standin::TargetFaults;
use carobshore_standin::TargetSettings;
use carobshore_standin::Trigger;

const PATIENCE: Duration = Duration::from_secs(20);

async fn start() -> Site {
    let service = SiteService {
        id: "status".parse().unwrap(),
        targets: 3,
        settings: TargetSettings {
            mean: Duration::from_millis(2),
            ..TargetSettings::default()
        },
    };
    let domains = ["a", "b"].map(|name| name.parse().unwrap());
    let site = Site::start(&[service], &domains).unwrap();
    let operator = "carys".parse().unwrap();
    let log = site.log.addr();
    let session = operator_session::run(log, &operator, "test", site.changes()).await;
    assert!(
        session
            .unwrap()
            .lines
            .last()
            .unwrap()
            .starts_with("confirmed")
    );
    let (entries, services) = (site.entries(), site.services());
    site::wait_ready(&entries, &services, PATIENCE)
        .await
        .unwrap();
    site
}

async fn call(site: &Site, mix: &str) -> (Tally, Audit) {
    let settings = SenderSettings {
        entries: site.entries(),
        services: site.services(),
        direct: false,
        deadline: Duration::from_secs(5),
        upload: 200_000,
        blob: 200_000,
        run: mix.into(),
    };
    let schedule = schedule::draw(&ScheduleSpec {
        seed: 1,
        rate: 100.0,
        length: Duration::from_secs(2),
        mix: mix.parse().unwrap(),
        entries: 2,
        services: 1,
    });
    let sender = Rc::new(Sender::new(settings).await.unwrap());
    let tally = runner::send_all(sender, schedule, 1000).await;
    let audit = runner::audit(&tally, &site.target_addrs()).await.unwrap();
    (tally, audit)
}

#[test]
fn calls_through_entry_vms_are_whole_and_run_once() {
    runner::block_on(async {
        let site = start().await;
        let (tally, audit) = call(&site, "read=2,blob=1,post=2,upload=1").await;
        assert!(tally.sent > 100);
        assert_eq!(
            tally.count(Verdict::Whole),
            tally.sent,
            "{:?}",
            tally.failures
        );
        assert_eq!(audit, Audit::default());
        assert_eq!(tally.targets.len(), 3);
    });
}

/// Guards against truncated responses that reach callers as complete ones.
#[test]
fn responses_that_targets_cut_off_never_look_complete() {
    runner::block_on(async {
        let site = start().await;
        for target in &site.targets {
            target.standin.set_faults(TargetFaults {
                cut: Trigger::rate(0.3),
                ..TargetFaults::default()
            });
        }
        let (tally, audit) = call(&site, "blob=1,post=1").await;
        assert_eq!(tally.violations(), 0, "{:?}", tally.verdicts);
        assert_eq!(audit.violations(), 0, "{audit:?}");
        assert!(
            tally.count(Verdict::Whole) < tally.sent,
            "{:?}",
            tally.verdicts
        );
    });
}

#[test]
fn an_intent_that_does_not_fit_is_reported_and_changes_nothing() {
    runner::block_on(async {
        let site = start().await;
        let operator = "idris".parse().unwrap();
        let change = Change::RemoveTarget {
            service: "status".parse().unwrap(),
            target: "nowhere".parse().unwrap(),
        };
        let log = site.log.addr();
        let error = operator_session::run(log, &operator, "", vec![change]).await;
        assert!(error.unwrap_err().to_string().contains("nowhere"));
        let (tally, _) = call(&site, "read=1").await;
        assert_eq!(
            tally.count(Verdict::Whole),
            tally.sent,
            "{:?}",
            tally.failures
        );
    });
}
