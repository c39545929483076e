//! Runs an ntex server on its own threads, so that tests on any runtime can start one.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use ntex::http::HttpService;
use ntex::http::HttpServiceConfig;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::ResponseError;
use ntex::http::body::MessageBody;
use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::server::Stream;
use ntex::service::IntoServiceFactory;
use ntex::service::ServiceFactory;
use ntex::service::cfg::SharedCfg;
use ntex::time::Seconds;

/// The address that lets the kernel choose a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Idle timeout of connections. It is longer than any client's idle timeout, so that the client
/// decides when to close.
const KEEP_ALIVE: Seconds = Seconds(120);

/// A running server. Dropping it stops it.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    control: ntex::server::Server,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server with one worker on `addr` and returns once the worker runs. A server loses a
    /// stop that is sent before that.
    ///
    /// `accepted` is called with the peer address of each connection before its first request is read.
    pub fn start<F, I, S, B, A>(addr: SocketAddr, factory: F, accepted: A) -> io::Result<Self>
    where
        F: AsyncFn() -> I + Send + Clone + 'static,
        I: IntoServiceFactory<S, Request, SharedCfg> + 'static,
        S: ServiceFactory<Request, SharedCfg> + 'static,
        S::Error: ResponseError,
        S::InitError: std::fmt::Debug,
        S::Response: Into<Response<B>>,
        B: MessageBody + 'static,
        A: Fn(SocketAddr) + Send + Clone + 'static,
    {
        if !addr.ip().is_loopback() {
            let message = format!("{addr} is not a loopback address; use one in 127.0.0.0/8");
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let (sender, receiver) = mpsc::channel();
        let (running, is_running) = mpsc::channel();
        let thread = thread::Builder::new()
            .name(format!("standin-{}", addr.port()))
            .spawn(move || {
                let runner = System::build()
                    .name("standin")
                    .disable_signals()
                    .build(DefaultRuntime);
                runner.block_on(async move {
                    let control = listen(listener, factory, accepted, running);
                    let started = control.as_ref().map(Clone::clone);
                    let _ = sender.send(
                        started.map_err(|error| io::Error::new(error.kind(), error.to_string())),
                    );
                    if let Ok(control) = control {
                        let _ = control.await;
                    }
                });
            })?;
        let control = receiver.recv().map_err(io::Error::other)??;
        is_running.recv().map_err(io::Error::other)?;
        Ok(Self {
            addr,
            control,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server at once and closes its connections, as a crash does.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        drop(self.control.stop(false));
        let _ = thread.join();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn listen<F, I, S, B, A>(
    listener: TcpListener,
    factory: F,
    accepted: A,
    running: mpsc::Sender<()>,
) -> io::Result<ntex::server::Server>
where
    F: AsyncFn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request, SharedCfg> + 'static,
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: std::fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
    A: Fn(SocketAddr) + Send + Clone + 'static,
{
    let http = HttpServiceConfig::new()
        .set_keepalive_timeout(KEEP_ALIVE)
        .set_client_timeout(Seconds::ZERO);
    let server = ntex::server::build()
        .workers(1)
        .disable_signals()
        .on_accept(async move |_, stream: Stream| {
            if let Stream::Tcp(tcp) = &stream {
                tcp.set_nodelay(true)?;
                accepted(tcp.peer_addr()?);
            }
            Ok::<_, io::Error>(stream)
        })
        .listen("standin", listener, async move |_| {
            let service = factory().await;
            let _ = running.send(());
            HttpService::new(service)
        })?
        .config("standin", SharedCfg::new("standin").add(http));
    Ok(server.run())
}
