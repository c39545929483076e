//! The daemon: listeners, background tasks and planned stop.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use carobshore_lib::domain_choice::crossing_settings::CrossingSettings;
use carobshore_platform::boot_settings::BootSettings;
use carobshore_platform::store_client::Topic;
use eyre::WrapErr;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::admin_server;
use crate::apply_records;
use crate::caller_connection;
use crate::client_settings::ClientSettings;
use crate::gateway::Gateway;
use crate::registrar;
use crate::store_restart;
use crate::store_watch;
use crate::vm_list_sync;
use crate::vm_registration;

/// Interval of periodic work.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which a planned stop checks whether it is complete.
const STOP_TICK: Duration = Duration::from_millis(20);
/// Ticks between two sweeps of idle connections and checks of the settings file.
const SWEEP_TICKS: u32 = 10;
/// Pause after a failed registration.
const REGISTRATION_PAUSE: Duration = Duration::from_secs(2);
/// Length of the accept queue of a listener.
const BACKLOG: u32 = 1_024;

/// The daemon's settings.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Settings provided by the platform.
    pub boot: BootSettings,
    /// Path of the file with those settings, which is reloaded when it changes.
    pub path: PathBuf,
    /// Log lines of successful requests per second.
    pub log_rate: u32,
    /// Which requests leave the failure domain.
    pub crossing: CrossingSettings,
    /// What clients may make the process hold.
    pub clients: ClientSettings,
}

/// Serves until a planned stop is complete. Blocks the calling thread.
pub fn run(settings: DaemonSettings) -> eyre::Result<()> {
    System::build()
        .name("data")
        .disable_signals()
        .build(DefaultRuntime)
        .block_on(async move { Daemon::start(settings)?.run().await })
}

struct Daemon {
    gateway: Rc<Gateway>,
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl Daemon {
    fn start(settings: DaemonSettings) -> eyre::Result<Self> {
        let boot = settings.boot;
        log::info!(
            vm = &*boot.vm_name, domain = boot.domain.as_str(), callers:% = boot.callers,
            store:% = boot.store, crossing:% = settings.crossing.mode; "the gateway starts"
        );
        let callers = listen(boot.callers).wrap_err("cannot listen for callers")?;
        let readiness = listen(boot.readiness).wrap_err("cannot listen for readiness")?;
        let admin = listen(boot.admin()).wrap_err("cannot listen for metrics")?;
        let control = boot.control.map(listen).transpose();
        let control = control.wrap_err("cannot listen for other VMs")?;
        let gateway = Gateway::new(
            boot,
            settings.clients,
            settings.log_rate,
            settings.crossing,
            rand::random(),
        )?;
        spawn(
            "callers",
            caller_connection::accept(Rc::clone(&gateway), callers),
        );
        spawn(
            "readiness",
            admin_server::accept(Rc::clone(&gateway), readiness, "readiness"),
        );
        spawn(
            "admin",
            admin_server::accept(Rc::clone(&gateway), admin, "admin"),
        );
        if let Some(control) = control {
            spawn(
                "control",
                admin_server::accept(Rc::clone(&gateway), control, "control"),
            );
        }
        spawn("store", store_restart::watch(Rc::clone(&gateway)));
        spawn("store", follow_store(Rc::clone(&gateway)));
        let modified = modified(&settings.path);
        Ok(Self {
            gateway,
            path: settings.path,
            modified,
        })
    }

    async fn run(mut self) -> eyre::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut tick = tokio::time::interval(TICK);
        let mut ticks = 0_u32;
        loop {
            let stopping = self.gateway.exit.borrow().is_stopping();
            tokio::select! {
                _ = terminate.recv() => self.stop(),
                _ = interrupt.recv() => self.stop(),
                _ = hangup.recv() => self.reload("signal"),
                _ = tick.tick() => {
                    ticks = ticks.wrapping_add(1);
                    self.on_tick(ticks);
                }
                () = tokio::time::sleep(STOP_TICK), if stopping => {}
            }
            if self.may_exit() {
                break;
            }
        }
        // Nothing may run between the last check of the requests in flight and the exit: a request
        // that is read in between would be lost.
        log::info!("the gateway ends");
        Ok(())
    }

    /// Does periodic work.
    fn on_tick(&mut self, ticks: u32) {
        let now = Instant::now();
        apply_records::expire(&self.gateway, now);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            self.gateway.sweep(now);
            if modified(&self.path) != self.modified {
                self.reload("change");
            }
        }
    }

    /// Returns whether a planned stop is complete.
    fn may_exit(&self) -> bool {
        let now = Instant::now();
        let in_flight = self.gateway.in_flight.count();
        let exit = self.gateway.exit.borrow();
        if in_flight > 0 && exit.is_over(now) {
            log::warn!(in_flight; "the grace period is over; requests are cut off");
        }
        exit.may_exit(now, in_flight)
    }

    fn stop(&self) {
        let in_flight = self.gateway.in_flight.count();
        log::info!(in_flight; "planned stop");
        self.gateway.begin_stop();
    }

    /// Reloads the settings file. Listener addresses change only at the next start.
    fn reload(&mut self, cause: &str) {
        self.modified = modified(&self.path);
        match BootSettings::read(&self.path) {
            Ok(boot) => {
                log::info!(cause, store:% = boot.store; "settings read again");
                self.gateway.set_boot(boot);
            }
            Err(error) => log::warn!(cause, reason:% = error; "reload failed; old settings kept"),
        }
    }
}

/// Registers this VM, loads the list of VMs and follows the store.
///
/// A VM asks one that its settings name for the list, and then follows the store through a VM of its
/// failure domain. One that others ask reads the list in the store, and so does one that can ask no
/// other. On the first start of the whole system it follows the store after that. On later starts
/// it does so at once: callers are waiting, and all VMs may have restarted at the same time.
async fn follow_store(gateway: Rc<Gateway>) -> eyre::Result<()> {
    let first_start = gateway.boot.borrow().first_start;
    let asks = !gateway.is_seed() && !gateway.seeds().is_empty();
    let mut registered = asks && vm_registration::ask_others(&gateway).await;
    if first_start && !registered {
        registered = vm_registration::register(&gateway).await;
    }
    for topic in [Topic::Operators, Topic::Targets] {
        spawn("store", store_watch::follow(Rc::clone(&gateway), topic));
    }
    if !registered {
        registered = vm_registration::register(&gateway).await;
    }
    spawn("registrar", registrar::serve(Rc::clone(&gateway)));
    // Without the list, this VM would read the store on its own for good.
    while !registered {
        tokio::time::sleep(REGISTRATION_PAUSE).await;
        registered = asks && vm_registration::ask_others(&gateway).await
            || vm_registration::register(&gateway).await;
    }
    spawn("list", vm_list_sync::follow_store(Rc::clone(&gateway)));
    spawn("registration", vm_registration::keep_registered(gateway));
    Ok(())
}

fn listen(addr: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

fn modified(path: &std::path::Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

/// Runs a component until the process exits. If the component fails, the process exits, so that the
/// platform restarts it.
fn spawn(name: &'static str, component: impl Future<Output = eyre::Result<()>> + 'static) {
    ntex::rt::spawn(async move {
        if let Err(error) = component.await {
            log::error!(component = name, reason:% = error; "a component failed");
            std::process::exit(1);
        }
    });
}
