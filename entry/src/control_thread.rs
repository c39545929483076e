//! The control thread: an ntex system whose components are restarted by a supervisor.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobshore_lib::prelude::*;
use carobshore_platform::log_client::LogClient;
use carobshore_platform::vm_list_client::VmListClient;
use eyre::WrapErr;
use jsonrpsee::server::ServerBuilder;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::timeout;

use crate::control::Control;
use crate::control_channels::ControlChannels;
use crate::control_channels::PlatformClients;
use crate::control_dump::control_dump;
use crate::rpc::RpcCall;
use crate::rpc::RpcRelay;
use crate::rpc::VmRpcServer;
use crate::settings::Settings;
use crate::view::DataReport;
use crate::view::DataRequest;

/// Interval between the ticks of the state machines.
const TICK: Duration = Duration::from_millis(100);
/// How often the platform's list of VMs is read. A leaving target must get no new requests after
/// 3 s.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// How often the peers from the settings are asked until this VM is ready.
const PEER_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of remote procedure calls that wait for the control thread.
const MAX_QUEUED_CALLS: usize = 1_024;
/// How long a dump waits for the data thread's part.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the control thread until it is stopped. Blocks the calling thread.
pub(crate) fn run(
    settings: Arc<Settings>,
    vm: VmId,
    channels: ControlChannels,
) -> eyre::Result<()> {
    System::build()
        .name("control")
        .disable_signals()
        .panic_handling(false)
        .build(DefaultRuntime)
        .block_on(async move { serve(settings, vm, channels).await })
}

async fn serve(settings: Arc<Settings>, vm: VmId, channels: ControlChannels) -> eyre::Result<()> {
    let platform = PlatformClients {
        log: LogClient::new(settings.log),
        vm_list: VmListClient::new(settings.vm_list),
    };
    let control = Control::new(settings, Rc::new(SystemClock), vm, platform, channels.data);
    let (relay, calls) = RpcRelay::channel(MAX_QUEUED_CALLS);
    channels
        .rpc
        .set_nonblocking(true)
        .wrap_err("cannot make the RPC listener non-blocking")?;
    spawn_ticker(&control);
    spawn_list(&control);
    spawn_peers(&control);
    spawn_calls(&control, calls);
    spawn_reports(&control, channels.reports);
    spawn_rpc(&control, channels.rpc, relay);
    // An error means that the sender was dropped, which ends the thread as well.
    let _ = channels.stop.await;
    Ok(())
}

fn spawn_ticker(control: &Rc<Control>) {
    let component = Rc::clone(control);
    let started = Rc::new(std::cell::Cell::new(false));
    control.supervisor.spawn("decisions", move || {
        let control = Rc::clone(&component);
        if started.replace(true) {
            control.recover();
        }
        async move {
            let mut ticks = interval(TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                control.tick();
            }
        }
    });
}

fn spawn_list(control: &Rc<Control>) {
    let component = Rc::clone(control);
    control.supervisor.spawn("vm-list", move || {
        let control = Rc::clone(&component);
        async move {
            let mut ticks = interval(VM_LIST_INTERVAL);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                control.read_vm_list().await;
            }
        }
    });
}

fn spawn_peers(control: &Rc<Control>) {
    let component = Rc::clone(control);
    control.supervisor.spawn("peers", move || {
        let control = Rc::clone(&component);
        async move {
            while !control.follower.borrow().is_ready() {
                for addr in &control.settings.peers {
                    control.query_peer(*addr).await;
                }
                tokio::time::sleep(PEER_QUERY_INTERVAL).await;
            }
            Ok(())
        }
    });
}

fn spawn_calls(control: &Rc<Control>, calls: mpsc::Receiver<RpcCall>) {
    let component = Rc::clone(control);
    let calls = Rc::new(Mutex::new(calls));
    control.supervisor.spawn("procedures", move || {
        let control = Rc::clone(&component);
        let calls = Rc::clone(&calls);
        async move {
            let mut calls = calls.lock().await;
            while let Some(call) = calls.recv().await {
                answer_call(&control, call);
            }
            Ok(())
        }
    });
}

/// Answers a remote procedure call. It is no error if the caller has gone away.
fn answer_call(control: &Rc<Control>, call: RpcCall) {
    match call {
        RpcCall::Heartbeat(beat, sender) => {
            control.on_heartbeat(beat);
            let _ = sender.send(control.heartbeat(0));
        }
        RpcCall::RecordsSince(from, sender) => {
            let _ = sender.send(control.follower.borrow().records_since(from));
        }
        RpcCall::Snapshot(sender) => {
            let _ = sender.send(control.follower.borrow().snapshot());
        }
        RpcCall::Dump(sender) => {
            let control = Rc::clone(control);
            ntex::rt::spawn(async move {
                let _ = sender.send(dump(&control).await);
            });
        }
    }
}

async fn dump(control: &Control) -> serde_json::Value {
    let (sender, receiver) = oneshot::channel();
    let _ = control.data.requests.send(DataRequest::Dump(sender));
    let data = timeout(DUMP_TIMEOUT, receiver).await;
    let mut state = control_dump(control);
    // If the data thread has ended or is busy, the rest of the dump is still useful.
    state["data"] = data.ok().and_then(Result::ok).unwrap_or_default();
    state
}

fn spawn_reports(control: &Rc<Control>, reports: mpsc::UnboundedReceiver<DataReport>) {
    let component = Rc::clone(control);
    let reports = Rc::new(Mutex::new(reports));
    control.supervisor.spawn("reports", move || {
        let control = Rc::clone(&component);
        let reports = Rc::clone(&reports);
        async move {
            let mut reports = reports.lock().await;
            while let Some(report) = reports.recv().await {
                control.on_report(report);
            }
            Ok(())
        }
    });
}

fn spawn_rpc(control: &Rc<Control>, listener: TcpListener, relay: RpcRelay) {
    let addr: SocketAddr = control.settings.rpc;
    control.supervisor.spawn("rpc-server", move || {
        let listener = listener.try_clone();
        let relay = relay.clone();
        async move {
            let listener = listener
                .wrap_err_with(|| format!("cannot duplicate the RPC listener on {addr}"))?;
            let server = ServerBuilder::default().build_from_tcp(listener)?;
            server.start(relay.into_rpc()).stopped().await;
            Err(eyre::eyre!("the RPC server on {addr} has stopped"))
        }
    });
}
