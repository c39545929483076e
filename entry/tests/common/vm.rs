//! Data threads whose view is set by the test.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_entry::control_counts::ControlCounts;
use carobshore_entry::data_thread;
use carobshore_entry::flags::Flags;
use carobshore_entry::listeners::Listeners;
use carobshore_entry::settings::Settings;
use carobshore_entry::stop_signal::StopHandle;
use carobshore_entry::view::DataChannels;
use carobshore_entry::view::DataReport;
use carobshore_entry::view::DataRequest;
use carobshore_entry::view::ReportSender;
use carobshore_entry::view::View;
use carobshore_lib::config::Config;
use carobshore_lib::homes::Homes;
use carobshore_lib::homes::HomesSettings;
use carobshore_lib::key_history::Handover;
use carobshore_lib::key_ownership::KeyOwnership;
use carobshore_lib::prelude::Offset;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetTime;
use carobshore_lib::prelude::Version;
use carobshore_lib::prelude::VmId;
use carobshore_lib::read_lease::ReadLease;
use carobshore_lib::roster::Member;
use carobshore_lib::roster::Roster;
use carobshore_lib::service::Service;
use carobshore_lib::target::Target;
use carobshore_lib::target::TargetState;
use clap::Parser;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

/// A running data thread.
pub struct Vm {
    pub listen: SocketAddr,
    pub forward: SocketAddr,
    pub admin: SocketAddr,
    pub views: watch::Sender<Arc<View>>,
    pub reports: mpsc::UnboundedReceiver<DataReport>,
    pub stop: StopHandle,
    requests: mpsc::UnboundedSender<DataRequest>,
    thread: Option<JoinHandle<()>>,
}

/// Returns the settings of a VM without a platform. The kernel chooses all ports.
pub fn settings(extra: &[&str]) -> Settings {
    let fixed = ["--domain=a", "--log=127.0.0.1:1", "--vm-list=127.0.0.1:1"];
    let named = extra.iter().any(|arg| arg.starts_with("--vm-name"));
    let name: &[&str] = if named { &[] } else { &["--vm-name=entry-1"] };
    settings_of(&[&fixed, name, extra].concat())
}

/// Returns the settings for the flags. The kernel chooses all ports.
pub fn settings_of(flags: &[&str]) -> Settings {
    let fixed = [
        "carobshore-entry",
        "--listen=127.0.0.1:0",
        "--forward=127.0.0.1:0",
        "--rpc=127.0.0.1:0",
        "--admin=127.0.0.1:0",
    ];
    let flags = Flags::parse_from(fixed.iter().chain(flags));
    Settings::try_from(flags).unwrap()
}

/// Returns a configuration in which one service has targets at the given addresses.
pub fn config(service: &str, targets: &[SocketAddr]) -> Config {
    let target = |addr: &SocketAddr| Target {
        addr: *addr,
        domain: "a".parse().unwrap(),
        slots: 2.try_into().unwrap(),
        generation: 1,
        state: TargetState::Serving,
    };
    let targets = targets.iter().enumerate();
    let service_spec = Service {
        version: Version(1),
        targets: targets
            .map(|(at, addr)| (format!("t{at}").parse::<TargetId>().unwrap(), target(addr)))
            .collect(),
        measuring: TargetTime::default(),
        connections: 220,
    };
    let id = service.parse::<ServiceId>().unwrap();
    Config {
        services: BTreeMap::from([(id, service_spec.into())]),
        ..Config::default()
    }
}

/// Returns a roster of VMs with their forward addresses; all of them are in domain `a`.
pub fn roster(vms: &[(&VmId, SocketAddr)]) -> Roster {
    let member = |forward| Member {
        domain: "a".parse().unwrap(),
        rpc: forward,
        forward,
        joined: Offset(1),
    };
    let members = vms.iter().map(|(vm, addr)| ((*vm).clone(), member(*addr)));
    Roster {
        members: members.collect(),
    }
}

/// Returns the view of a VM that has been in the roster for a minute and holds the read lease.
pub fn view(me: &VmId, config: Config, roster: Roster) -> View {
    let now = Instant::now();
    let joined = now - Duration::from_secs(60);
    let wall = SystemTime::now() - Duration::from_secs(60);
    let mut ownership = KeyOwnership::new(me.clone());
    ownership.config_changed(&config);
    ownership.roster_changed(joined, wall, roster.clone(), Handover::Lease);
    let mut lease = ReadLease::default();
    lease.read_ok(now, true);
    View {
        me: me.clone(),
        domain: "a".parse().unwrap(),
        config: Arc::new(config),
        roster: Arc::new(roster),
        applied: Offset(1),
        keys: Arc::new(ownership.histories().clone()),
        lease,
        leaving: Arc::new(BTreeSet::new()),
        down: Arc::new(BTreeSet::new()),
        loads: Vec::new(),
        counts: ControlCounts::default(),
        ready: true,
    }
}

impl Vm {
    /// Starts a single VM that serves `status` with the given targets.
    pub fn alone(targets: &[SocketAddr], extra: &[&str]) -> Self {
        let me: VmId = "entry-1.00000001".parse().unwrap();
        let settings = settings(extra);
        let listeners = Listeners::bind(&settings).unwrap();
        let forward = listeners.forward().unwrap();
        let roster = roster(&[(&me, forward)]);
        let view = view(&me, config("status", targets), roster);
        Self::start(settings, listeners, view)
    }

    /// Starts two VMs in one failure domain that serve `status` with the given targets. The first
    /// one is the home of the service.
    pub fn pair(targets: &[SocketAddr], extra: &[&str]) -> [Self; 2] {
        let ids = ["entry-1.00000001", "entry-2.00000001"].map(|id| id.parse::<VmId>().unwrap());
        let names = ["--vm-name=entry-1", "--vm-name=entry-2"];
        let starts = names.map(|name| {
            let settings = settings(&[extra, &[name]].concat());
            let listeners = Listeners::bind(&settings).unwrap();
            (settings, listeners)
        });
        let forwards = starts
            .each_ref()
            .map(|(_, listeners)| listeners.forward().unwrap());
        let roster = roster(&[(&ids[0], forwards[0]), (&ids[1], forwards[1])]);
        let config = config("status", targets);
        let id = "status".parse().unwrap();
        let spec = &config.services[&id];
        let homes = Homes::assign(&id, spec, &roster, &HomesSettings::default());
        let home = homes.vms().next().unwrap().clone();
        let mut starts = starts.into_iter();
        let mut vms = ids.map(|me| {
            let (settings, listeners) = starts.next().unwrap();
            let is_home = me == home;
            let view = view(&me, config.clone(), roster.clone());
            (is_home, Self::start(settings, listeners, view))
        });
        vms.sort_by_key(|(is_home, _)| !is_home);
        vms.map(|(_, vm)| vm)
    }

    /// Starts a VM with the given view.
    pub fn start(settings: Settings, listeners: Listeners, view: View) -> Self {
        let (views, view_receiver) = watch::channel(Arc::new(view));
        let (requests, request_receiver) = mpsc::unbounded_channel();
        let (control, reports) = ReportSender::channel();
        let (stop, signal) = StopHandle::channel();
        let channels = DataChannels {
            views: view_receiver,
            requests: request_receiver,
        };
        let [listen, forward, admin] = [
            listeners.listen().unwrap(),
            listeners.forward().unwrap(),
            listeners.admin().unwrap(),
        ];
        let thread = thread::spawn(move || {
            data_thread::run(Arc::new(settings), listeners, channels, control, signal).unwrap();
        });
        Self {
            listen,
            forward,
            admin,
            views,
            reports,
            stop,
            requests,
            thread: Some(thread),
        }
    }

    /// Changes the view.
    pub fn update(&self, change: impl FnOnce(&mut View)) {
        self.views.send_modify(|view| {
            let mut next = View::clone(view);
            change(&mut next);
            *view = Arc::new(next);
        });
    }

    /// Returns the dump.
    pub fn dump(&self) -> serde_json::Value {
        let (reply, dump) = oneshot::channel();
        self.requests.send(DataRequest::Dump(reply)).unwrap();
        dump.blocking_recv().unwrap()
    }

    /// Returns whether the thread has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.stop.request();
        self.stop.request();
        if let Some(thread) = self.thread.take() {
            let joined = thread.join();
            assert!(joined.is_ok() || thread::panicking());
        }
    }
}
