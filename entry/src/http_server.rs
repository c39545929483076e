//! Accepts connections and serves HTTP/1.1 on them with the protocol service of ntex.
//!
//! The accept loop runs in the data thread. The server of ntex is not used, because its accept
//! thread and its worker share no state: the limits, the planned stop and several VMs in one
//! process would need locks.

use std::cell::Cell;
use std::io;
use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::time::Duration;

use carobshore_http::socket;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use ntex::SharedCfg;
use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::body::Body;
use ntex::http::error::DecodeError;
use ntex::http::h1::Control;
use ntex::http::h1::ControlAck;
use ntex::http::h1::ProtocolError;
use ntex::http::h1::control::Reason;
use ntex::io::Io;
use ntex::io::IoConfig;
use ntex::io::Layer;
use ntex::service::Pipeline;
use ntex::service::ServiceFactory;
use ntex::service::fn_service;
use ntex::time::Seconds;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::io_monitor::IoMonitor;
use crate::io_monitor::IoMonitorFilter;
use crate::refusal::ClosingRefusal;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::socket_options::TCP_TIMEOUTS;

/// Pause after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The response to a caller when too many connections are open.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    carobshore-outcome: not-run\r\ncarobshore-code: 4001\r\ncarobshore-retry: no\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// An accepted connection with its monitor.
type MonitoredIo = Layer<IoMonitorFilter>;

/// Whether a server accepts connections and serves requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Serving {
    /// It accepts connections.
    Accepting,
    /// It accepts no connections, and serves the open ones.
    Closed,
    /// It closes the open connections after their current response.
    Ended,
}

/// Serves a socket until `serving` is `Ended` and all connections are closed.
pub(crate) async fn serve<F>(
    listener: StdListener,
    settings: &Settings,
    serving: watch::Receiver<Serving>,
    handler: F,
) -> io::Result<()>
where
    F: AsyncFn(Request) -> Result<Response, ClosingRefusal> + Clone + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let config = config(settings);
    let service = HttpService::h1(fn_service(move |request| {
        let handler = handler.clone();
        async move { handler(request).await }
    }))
    .control(fn_service(
        async |control: Control<MonitoredIo, ClosingRefusal>| {
            Ok::<_, io::Error>(on_control(control))
        },
    ));
    let service = service.create(config.clone()).await;
    let service = service.map_err(|()| io::Error::other("the HTTP service did not start"))?;
    let service = Pipeline::new(service);
    let drain_timeout = settings.timeouts.body;
    accept(listener, &service, &config, settings, serving.clone()).await;
    let mut serving = serving;
    let _ = serving.wait_for(|state| *state == Serving::Ended).await;
    // Responses in send buffers get as much time as a body may pause.
    let _ = timeout(drain_timeout, service.shutdown::<Io<MonitoredIo>>()).await;
    Ok(())
}

async fn accept<S>(
    listener: TcpListener,
    service: &Pipeline<S>,
    config: &SharedCfg,
    settings: &Settings,
    mut serving: watch::Receiver<Serving>,
) where
    S: ntex::Service<Io<MonitoredIo>> + 'static,
{
    let open = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            biased;
            _ = serving.wait_for(|state| *state != Serving::Accepting) => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= settings.limits.connections {
            let _ = stream.try_write(TOO_MANY_CONNECTIONS);
            continue;
        }
        let max_head = settings.limits.header.as_usize();
        let Ok(io) = monitored_io(stream, config, max_head) else {
            continue;
        };
        let guard = OpenConnection::new(&open);
        let call = service.call_nowait(io);
        ntex::rt::spawn(async move {
            let _ = call.await;
            drop(guard);
        });
    }
}

fn monitored_io(
    stream: TcpStream,
    config: &SharedCfg,
    max_head: usize,
) -> io::Result<Io<MonitoredIo>> {
    socket::configure(&stream, TCP_TIMEOUTS)?;
    let io = ntex::rt::from_tcp_stream(stream.into_std()?, config.clone())?;
    let monitor = Rc::new(IoMonitor::of_requests(max_head));
    let io = io.add_filter(IoMonitorFilter(Rc::clone(&monitor)));
    let disconnect = io.on_disconnect();
    ntex::rt::spawn(async move {
        disconnect.await;
        monitor.close();
    });
    Ok(io)
}

/// Counts one open connection until it is dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn config(settings: &Settings) -> SharedCfg {
    let seconds = |time: Duration| Seconds(u16::try_from(time.as_secs()).unwrap_or(u16::MAX));
    let header = seconds(settings.timeouts.header);
    let http = HttpServiceConfig::new()
        .set_max_buf_size(settings.limits.header.as_usize())
        .set_keepalive_timeout(seconds(settings.timeouts.keep_alive))
        .set_client_timeout(header)
        .set_headers_read_rate(header, header, u32::MAX);
    let io = IoConfig::new().set_disconnect_timeout(seconds(settings.timeouts.body));
    SharedCfg::new("entry").add(http).add(io).into()
}

/// Responds to malformed requests, and refuses upgrades.
fn on_control(control: Control<MonitoredIo, ClosingRefusal>) -> ControlAck<MonitoredIo> {
    match control {
        Control::Upgrade(upgrade) => {
            let error = Error::new(
                ResultCode::BadRequest,
                "the field `upgrade` is not supported",
                "send the request without it",
            );
            let refusal = closing_refusal(Outcome::NotRun, error);
            upgrade.fail_with(refusal.response_with(StatusCode::NOT_IMPLEMENTED))
        }
        Control::Disconnect(Reason::ProtocolError(error)) => {
            let response = protocol_error_response(error.err());
            error.fail_with(response)
        }
        control => control.ack(),
    }
}

fn protocol_error_response(error: &ProtocolError) -> Response {
    let (status, code, help) = match error {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => (
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ResultCode::TooLarge,
            "send fewer and shorter header fields",
        ),
        ProtocolError::Decode(_) => (
            StatusCode::BAD_REQUEST,
            ResultCode::BadRequest,
            "send a valid HTTP/1.1 request (RFC 9112)",
        ),
        ProtocolError::SlowRequestTimeout | ProtocolError::SlowPayloadTimeout => (
            StatusCode::REQUEST_TIMEOUT,
            ResultCode::BadRequest,
            "send the whole header section without pauses",
        ),
        ProtocolError::Encode(_) | ProtocolError::ResponsePayload(_) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            ResultCode::Internal,
            "look at the dump and the log of this VM",
        ),
    };
    let outcome = match error {
        // The chunks of a body are decoded while the request may already be running.
        ProtocolError::Decode(DecodeError::InvalidInput(_) | DecodeError::Incomplete)
        | ProtocolError::SlowPayloadTimeout
        | ProtocolError::Encode(_)
        | ProtocolError::ResponsePayload(_) => Outcome::MayHaveRun,
        _ => Outcome::NotRun,
    };
    let error = Error::new(code, error.to_string(), help);
    closing_refusal(outcome, error).response_with(status)
}

fn closing_refusal(outcome: Outcome, error: Error) -> Refusal {
    Refusal {
        outcome,
        close: true,
        ..Refusal::of_request(error)
    }
}

/// Builds a plain text response.
pub(crate) fn text(status: StatusCode, text: String) -> Response {
    let mut response = Response::with_body(status, Body::from(text));
    let fields = response.headers_mut();
    crate::headers::set(fields, "content-type", "text/plain; version=0.0.4");
    response
}
