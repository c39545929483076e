//! A running entry VM: the control thread and the data thread of the daemon.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use carobshore_lib::prelude::*;
use eyre::WrapErr;
use eyre::eyre;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control_channels::ControlChannels;
use crate::control_channels::DataSenders;
use crate::control_thread;
use crate::data_thread;
use crate::listeners::Listeners;
use crate::settings::Settings;
use crate::stop_signal::StopHandle;
use crate::view::DataChannels;
use crate::view::ReportSender;
use crate::view::View;

/// The addresses on which an entry VM listens. Ports set to 0 are replaced by those that the kernel
/// chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For forwarded calls.
    pub forward: SocketAddr,
    /// For remote procedure calls of peers and operators.
    pub rpc: SocketAddr,
    /// For the admin endpoints.
    pub admin: SocketAddr,
}

/// A running entry VM.
#[derive(Debug)]
pub struct EntryVm {
    id: VmId,
    addresses: Addresses,
    stop: StopHandle,
    data: JoinHandle<eyre::Result<()>>,
    control: JoinHandle<eyre::Result<()>>,
    /// Ends the control thread when it is dropped.
    control_stop: oneshot::Sender<()>,
}

impl EntryVm {
    /// Binds the ports and starts both threads.
    pub fn start(mut settings: Settings) -> eyre::Result<Self> {
        let listeners = Listeners::bind(&settings).wrap_err("cannot bind a port")?;
        let rpc = TcpListener::bind(settings.rpc)
            .wrap_err_with(|| format!("cannot bind the RPC port {}", settings.rpc))?;
        let addresses = Addresses {
            listen: listeners.listen()?,
            forward: listeners.forward()?,
            rpc: rpc.local_addr()?,
            admin: listeners.admin()?,
        };
        settings.listen = addresses.listen;
        settings.forward = addresses.forward;
        settings.rpc = addresses.rpc;
        settings.admin = addresses.admin;
        let id = VmId::with_incarnation(&settings.vm_name, rand::random())?;
        let settings = Arc::new(settings);
        let view = Arc::new(View::empty(id.clone(), settings.domain.clone()));
        let (views, view_receiver) = watch::channel(view);
        let (requests, request_receiver) = mpsc::unbounded_channel();
        let (report_sender, reports) = ReportSender::channel();
        let (control_stop, stopped) = oneshot::channel();
        let (stop, signal) = StopHandle::channel();
        let control_channels = ControlChannels {
            rpc,
            data: DataSenders { views, requests },
            reports,
            stop: stopped,
        };
        let channels = DataChannels {
            views: view_receiver,
            requests: request_receiver,
        };
        log::info!(vm = id.as_str(), listen:% = addresses.listen, rpc:% = addresses.rpc; "entry VM starts");
        let vm = id.clone();
        let control_settings = Arc::clone(&settings);
        let control = spawn("control", move || {
            control_thread::run(control_settings, vm, control_channels)
        })?;
        let data = spawn("data", move || {
            data_thread::run(settings, listeners, channels, report_sender, signal)
        })?;
        Ok(Self {
            id,
            addresses,
            stop,
            data,
            control,
            control_stop,
        })
    }

    /// Returns the id that this VM has in this run.
    pub fn id(&self) -> &VmId {
        &self.id
    }

    /// Returns the addresses on which the VM listens.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns a handle that requests a planned stop.
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }

    /// Waits until the data thread has ended, and then ends the control thread.
    ///
    /// The data thread ends at the end of a planned stop. If it fails instead, the error is
    /// returned: the process should exit with it, so that the platform restarts the process.
    pub fn wait(self) -> eyre::Result<()> {
        let served = join("data", self.data);
        drop(self.control_stop);
        let controlled = join("control", self.control);
        served.and(controlled)
    }
}

fn spawn(
    name: &str,
    run: impl FnOnce() -> eyre::Result<()> + Send + 'static,
) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder
        .spawn(run)
        .wrap_err_with(|| format!("cannot start the {name} thread"))
}

fn join(name: &str, thread: JoinHandle<eyre::Result<()>>) -> eyre::Result<()> {
    let ended = thread.join();
    ended.map_err(|_| eyre!("the {name} thread panicked"))?
}
