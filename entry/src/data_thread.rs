//! The data thread: an ntex system that serves callers, other entry VMs and the admin endpoints.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::planned_stop::StopAction;
use carobshore_lib::planned_stop::StopEvent;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use tokio::sync::watch;
use tokio::sync::watch::Receiver;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::call_head::Port;
use crate::data_plane::DataPlane;
use crate::http_server;
use crate::http_server::Serving;
use crate::listeners::Listeners;
use crate::metrics::Metrics;
use crate::refusal::ClosingRefusal;
use crate::settings::Settings;
use crate::stop_signal::StopSignal;
use crate::view::DataChannels;
use crate::view::DataReport;
use crate::view::DataRequest;
use crate::view::ReportSender;

/// Interval between the ticks of the planned stop.
const TICK: Duration = Duration::from_millis(100);
/// Longest time for which assigning homes may hold up calls at a time.
const UPDATE_BUDGET: Duration = Duration::from_micros(300);
/// How often idle connections are closed, keys expired and loads reported, in ticks.
const HOUSEKEEPING_TICKS: u32 = 10;

/// Serves until a planned stop has ended. Blocks the calling thread.
pub fn run(
    settings: Arc<Settings>,
    listeners: Listeners,
    channels: DataChannels,
    control: ReportSender,
    stop: StopSignal,
) -> eyre::Result<()> {
    System::build()
        .name("data")
        .disable_signals()
        .panic_handling(false)
        .build(DefaultRuntime)
        .block_on(async move {
            let view = Arc::clone(&channels.views.borrow());
            let plane = DataPlane::new(settings, Metrics::new()?, &view, control);
            DataThread::start(plane, listeners)
                .run(channels, stop)
                .await;
            Ok(())
        })
}

/// The servers of the data thread and the state of its planned stop.
struct DataThread {
    plane: Rc<DataPlane>,
    serving: watch::Sender<Serving>,
    /// The admin endpoints answer until the end of a planned stop.
    admin: watch::Sender<Serving>,
    servers: JoinSet<std::io::Result<()>>,
    leaving: bool,
    ending: Option<Ending>,
}

/// How the thread ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Graceful,
    CutOff,
}

impl DataThread {
    fn start(plane: Rc<DataPlane>, listeners: Listeners) -> Self {
        let (serving, calls) = watch::channel(Serving::Accepting);
        let (admin_serving, admin_calls) = watch::channel(Serving::Accepting);
        let mut data = Self {
            plane,
            serving,
            admin: admin_serving,
            servers: JoinSet::new(),
            leaving: false,
            ending: None,
        };
        data.serve(listeners.callers, calls.clone(), |plane, request| {
            plane.call(request, Port::Callers)
        });
        data.serve(listeners.peers, calls, |plane, request| {
            plane.call(request, Port::Peers)
        });
        data.serve(listeners.admin, admin_calls, async |plane, request| {
            Ok(admin(&plane, &request))
        });
        data
    }

    fn serve<H, R>(&mut self, listener: TcpListener, serving: Receiver<Serving>, handler: H)
    where
        H: Fn(Rc<DataPlane>, Request) -> R + Copy + 'static,
        R: Future<Output = Result<Response, ClosingRefusal>> + 'static,
    {
        let plane = Rc::clone(&self.plane);
        let settings = Arc::clone(&plane.settings);
        self.servers.spawn_local(async move {
            let handler = async move |request| handler(Rc::clone(&plane), request).await;
            http_server::serve(listener, &settings, serving, handler).await
        });
    }

    async fn run(mut self, channels: DataChannels, mut stop: StopSignal) {
        let DataChannels {
            mut views,
            mut requests,
        } = channels;
        let mut ticks = 0_u32;
        let mut signals = 0;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let in_flight = Rc::clone(&self.plane.in_flight);
        let mut pending = false;
        while self.ending.is_none() {
            tokio::select! {
                () = tokio::task::yield_now(), if pending => {
                    pending = self.plane.update_pending(UPDATE_BUDGET);
                }
                // If the control thread has ended, calls continue with the last view.
                Ok(()) = views.changed() => {
                    let view = Arc::clone(&views.borrow_and_update());
                    self.plane.update(&view);
                    pending = true;
                    self.check_leave();
                }
                Some(request) = requests.recv() => self.on_request(request),
                count = stop.beyond(signals) => {
                    (signals..count).for_each(|_| self.handle_stop_event(StopEvent::Signal));
                    signals = count;
                    self.report_in_flight();
                }
                () = in_flight.ended() => self.report_in_flight(),
                _ = tick.tick() => {
                    ticks = ticks.wrapping_add(1);
                    self.handle_stop_event(StopEvent::Tick);
                    if ticks.is_multiple_of(HOUSEKEEPING_TICKS) {
                        self.plane.connections.sweep(Instant::now());
                        self.plane.expire_keys();
                        self.plane.report_loads();
                    }
                }
            }
        }
        if self.ending == Some(Ending::Graceful) {
            self.serving.send_replace(Serving::Ended);
            self.admin.send_replace(Serving::Ended);
            while self.servers.join_next().await.is_some() {}
        }
    }

    fn on_request(&self, request: DataRequest) {
        match request {
            DataRequest::Dump(reply) => {
                let _ = reply.send(self.plane.dump());
            }
        }
    }

    fn report_in_flight(&mut self) {
        let in_flight = &self.plane.in_flight;
        let event = StopEvent::InFlight {
            keyed: in_flight.keyed(),
            other: in_flight.other(),
        };
        self.handle_stop_event(event);
    }

    /// Reports to the planned stop when the roster no longer has this VM, after it asked to leave.
    fn check_leave(&mut self) {
        let view = self.plane.view();
        if self.leaving && !view.roster.contains(&view.me) {
            self.leaving = false;
            self.handle_stop_event(StopEvent::LeaveAppended);
        }
    }

    fn handle_stop_event(&mut self, event: StopEvent) {
        let mut actions = Vec::new();
        let now = Instant::now();
        self.plane
            .stop
            .borrow_mut()
            .handle(now, event, &mut actions);
        for action in actions {
            self.run_stop_action(action);
        }
    }

    fn run_stop_action(&mut self, action: StopAction) {
        let in_flight = &self.plane.in_flight;
        log::info!(keyed = in_flight.keyed(), other = in_flight.other(); "planned stop: {action:?}");
        match action {
            StopAction::Announce => self.plane.announce_stop(),
            StopAction::StopAccepting => {
                self.serving.send_replace(Serving::Closed);
            }
            StopAction::AppendLeave => {
                self.leaving = true;
                self.plane.control.send(DataReport::KeyedIdle);
            }
            StopAction::CutOff => self.ending = Some(Ending::CutOff),
            StopAction::Exit => {
                self.ending.get_or_insert(Ending::Graceful);
            }
        }
    }
}

/// Serves the admin endpoints.
fn admin(plane: &DataPlane, request: &Request) -> Response {
    match request.path() {
        "/live" => http_server::text(StatusCode::OK, "live\n".into()),
        "/ready" if plane.is_ready() => http_server::text(StatusCode::OK, "ready\n".into()),
        "/ready" => http_server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => {
            let in_flight = plane.in_flight.keyed() + plane.in_flight.other();
            plane.record_state();
            match plane.metrics.text(in_flight, plane.connections.count()) {
                Ok(text) => http_server::text(StatusCode::OK, text),
                Err(error) => {
                    let text = format!("{error}\n");
                    http_server::text(StatusCode::INTERNAL_SERVER_ERROR, text)
                }
            }
        }
        _ => http_server::text(
            StatusCode::NOT_FOUND,
            "use /live, /ready or /metrics\n".into(),
        ),
    }
}
