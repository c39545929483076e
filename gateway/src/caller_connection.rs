//! Server side of one connection from a caller.
//!
//! Pipelined requests that may be repeated are served concurrently; responses are written in
//! request order. A request that must not run twice starts only after all earlier responses are
//! written, because a caller resends the requests behind a response that closes the connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use carobshore_http::body::BodyReader;
use carobshore_http::head::RequestHead;
use carobshore_http::message_error::MessageError;
use carobshore_http::socket;
use carobshore_http::socket::KeepAliveOptions;
use carobshore_lib::call_limits::CallLimits;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::accept_loop;
use crate::admission;
use crate::admission::ReceivedRequest;
use crate::body_memory::ReservedBody;
use crate::gateway::Gateway;
use crate::in_flight::InFlightGuard;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Requests of one connection that are served concurrently.
const MAX_PIPELINED: usize = 32;
/// Size of one read, in bytes.
const READ_SIZE: usize = 16 << 10;
/// Largest number of bytes that are read ahead while earlier requests are served.
const READ_AHEAD: usize = 256 << 10;
/// How long input is still read after the last response, so that the caller receives the response
/// even if it is still sending.
const LINGER: Duration = Duration::from_secs(1);

/// A response that may still be in progress, queued in request order.
struct PendingReply {
    /// The reply. The channel closes without one if the call ends without a response.
    reply: oneshot::Receiver<Reply>,
    /// Whether the caller asked to close the connection after the response.
    last: bool,
    in_flight: InFlightGuard,
}

/// State shared by the reader and the writer of a connection.
struct Shared {
    gateway: Rc<Gateway>,
    /// Set to `true` when the caller has disconnected.
    caller_gone: watch::Sender<bool>,
    /// Number of requests whose response is not written yet.
    unanswered: Cell<usize>,
    /// Notified when a response is written, and when the connection ends.
    answered: Notify,
    /// Whether no further request is accepted.
    closing: Cell<bool>,
}

/// Accepts connections from callers until the process exits.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) -> eyre::Result<()> {
    let serve = |stream| serve(Rc::clone(&gateway), stream);
    accept_loop::run(listener, "callers", serve).await
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    if let Err(error) = socket::configure(&stream, KeepAliveOptions::SHORT) {
        log::debug!(reason:% = error; "cannot set socket options for a caller");
        return;
    }
    let (read, write) = stream.into_split();
    let (pending, replies) = mpsc::channel(MAX_PIPELINED);
    let (caller_gone, _) = watch::channel(false);
    let shared = Rc::new(Shared {
        gateway,
        caller_gone,
        unanswered: Cell::new(0),
        answered: Notify::new(),
        closing: Cell::new(false),
    });
    ntex::rt::spawn(write_replies(Rc::clone(&shared), write, replies));
    let mut reader = Reader {
        shared: Rc::clone(&shared),
        read,
        buffer: BytesMut::new(),
        pending,
    };
    reader.run().await;
}

/// Writes the responses in the order of the requests.
async fn write_replies(
    shared: Rc<Shared>,
    mut write: OwnedWriteHalf,
    mut replies: mpsc::Receiver<PendingReply>,
) {
    while let Some(pending) = replies.recv().await {
        // The call ended without a response because the caller has disconnected.
        let Ok(mut reply) = pending.reply.await else {
            break;
        };
        let stopping = shared.gateway.exit.borrow().is_stopping();
        reply.close |= pending.last || stopping;
        let sent = write.write_all(&reply.to_bytes()).await;
        drop(pending.in_flight);
        shared.unanswered.set(shared.unanswered.get() - 1);
        shared.answered.notify_one();
        if sent.is_err() || reply.close {
            break;
        }
    }
    shared.closing.set(true);
    let _ = write.shutdown().await;
    shared.answered.notify_one();
}

/// Reads the requests of a connection.
struct Reader {
    shared: Rc<Shared>,
    read: OwnedReadHalf,
    buffer: BytesMut,
    pending: mpsc::Sender<PendingReply>,
}

/// What the reader does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextStep {
    Request,
    Linger,
    End,
}

/// Why a request was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unread {
    /// It is refused for this reason.
    Refused(Refusal),
    /// The connection has ended, so that no response can reach the caller.
    Ended,
}

impl From<MessageError> for Unread {
    fn from(error: MessageError) -> Self {
        match error {
            MessageError::Malformed(_) => Self::Refused(Refusal::BadRequest),
            MessageError::HeadTooLarge => Self::Refused(Refusal::HeadTooLarge),
            MessageError::BodyTooLarge => Self::Refused(Refusal::BodyTooLarge),
            MessageError::NoMemory => Self::Refused(Refusal::NoMemory),
            MessageError::Closed | MessageError::NoMessage | MessageError::Broken(_) => Self::Ended,
        }
    }
}

impl Reader {
    async fn run(&mut self) {
        let mut next = NextStep::Request;
        while next == NextStep::Request {
            next = self.request().await;
        }
        if next == NextStep::Linger {
            self.linger().await;
        }
        self.shared.caller_gone.send_replace(true);
    }

    /// Reads one request and starts to serve it.
    async fn request(&mut self) -> NextStep {
        let limits = self.shared.gateway.routes.borrow().config().limits;
        if self.buffer.is_empty() && !self.first_bytes(limits.idle_time).await {
            return self.after_idle();
        }
        let at = Instant::now();
        let gateway = Rc::clone(&self.shared.gateway);
        let in_flight = gateway.in_flight.enter();
        let read = tokio::select! {
            read = self.read_request(at, &limits) => read,
            () = gateway.stop_deadline_passed() => Err(Unread::Refused(Refusal::Stopping)),
        };
        match read {
            Ok((received, reserved)) => self.start(received, in_flight, reserved).await,
            Err(Unread::Refused(refusal)) => self.refuse(refusal, in_flight).await,
            Err(Unread::Ended) => NextStep::End,
        }
    }

    /// Reads one request, whose first byte arrived at `at`.
    async fn read_request(
        &mut self,
        at: Instant,
        limits: &CallLimits,
    ) -> Result<(ReceivedRequest, ReservedBody), Unread> {
        let head = timeout(limits.header_time, self.head(limits)).await;
        let head = head.map_err(|_| Unread::Refused(Refusal::TooSlow))??;
        let length = head.fields.text("content-length");
        let length = length.and_then(|length| length.parse::<u64>().ok());
        let reserved = self.shared.gateway.reserve_body(length.unwrap_or(0));
        let mut reserved = reserved.ok_or(Unread::Refused(Refusal::NoMemory))?;
        let body = self.body(&head, limits, &mut reserved).await?;
        Ok((ReceivedRequest { head, body, at }, reserved))
    }

    /// Waits for the first bytes of a request. Returns whether any arrived. The idle limit does not
    /// apply while earlier requests are served.
    async fn first_bytes(&mut self, idle: Duration) -> bool {
        loop {
            let busy = self.shared.unanswered.get() > 0;
            let shared = Rc::clone(&self.shared);
            tokio::select! {
                result = read_some(&mut self.read, &mut self.buffer) => return result.is_ok(),
                () = shared.answered.notified() => if shared.closing.get() {
                    return false;
                },
                () = tokio::time::sleep(idle), if !busy => return false,
            }
        }
    }

    /// Returns the next step if no further request arrived.
    fn after_idle(&self) -> NextStep {
        match self.shared.closing.get() {
            true => NextStep::Linger,
            false => NextStep::End,
        }
    }

    async fn head(&mut self, limits: &CallLimits) -> Result<RequestHead, MessageError> {
        loop {
            let max_len = limits.header.as_usize();
            if let Some(head) = RequestHead::take(&mut self.buffer, max_len)? {
                return Ok(head);
            }
            read_some(&mut self.read, &mut self.buffer).await?;
        }
    }

    /// Reads the body of a request. `reserved` grows with it if its length is not stated.
    async fn body(
        &mut self,
        head: &RequestHead,
        limits: &CallLimits,
        reserved: &mut ReservedBody,
    ) -> Result<Vec<u8>, MessageError> {
        let mut body = BodyReader::new(head.framing()?, limits.body.as_usize())?;
        while !body.advance(&mut self.buffer)? {
            let limit = self.shared.gateway.body_limit();
            if !reserved.grow_to(body.memory() as u64, limit) {
                return Err(MessageError::NoMemory);
            }
            let read = read_some(&mut self.read, &mut self.buffer);
            let in_time = timeout(limits.idle_time, read).await;
            in_time.map_err(|_| MessageError::Closed)??;
        }
        Ok(body.into_body())
    }

    /// Starts to serve a completely received request.
    async fn start(
        &mut self,
        received: ReceivedRequest,
        in_flight: InFlightGuard,
        reserved: ReservedBody,
    ) -> NextStep {
        let last = !received.head.keep_alive;
        let gateway = Rc::clone(&self.shared.gateway);
        // The route is looked up again when the request starts, because the configuration may
        // change while the request waits.
        let route = admission::route(&gateway, &received.head);
        let repeatable = route.is_ok_and(|route| route.rule.kind.is_repeatable());
        if !repeatable && !self.wait_until_answered().await {
            return self.after_idle();
        }
        let (sender, reply) = oneshot::channel();
        let caller_gone = self.shared.caller_gone.subscribe();
        let pending = PendingReply {
            reply,
            last,
            in_flight,
        };
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        if self.pending.send(pending).await.is_err() {
            return NextStep::Linger;
        }
        ntex::rt::spawn(async move {
            let reply = admission::serve(gateway, received, caller_gone).await;
            drop(reserved);
            if let Some(reply) = reply {
                // The connection may have ended in the meantime.
                let _ = sender.send(reply);
            }
        });
        match last {
            true => NextStep::Linger,
            false => NextStep::Request,
        }
    }

    /// Waits until all earlier requests are answered. Returns whether another one may follow.
    async fn wait_until_answered(&mut self) -> bool {
        while self.shared.unanswered.get() > 0 && !self.shared.closing.get() {
            let shared = Rc::clone(&self.shared);
            if self.buffer.len() >= READ_AHEAD {
                shared.answered.notified().await;
                continue;
            }
            tokio::select! {
                () = shared.answered.notified() => {}
                result = read_some(&mut self.read, &mut self.buffer) => if result.is_err() {
                    return false;
                },
            }
        }
        !self.shared.closing.get()
    }

    /// Refuses a request that was not read completely, and ends the connection.
    async fn refuse(&mut self, refusal: Refusal, in_flight: InFlightGuard) -> NextStep {
        let now = Instant::now();
        if let Some(left_out) = self.shared.gateway.take_log_line(now, true) {
            log::info!(outcome = refusal.as_str(), status = refusal.status(), left_out; "request not read");
        }
        let (sender, reply) = oneshot::channel();
        let _ = sender.send(Reply::from_refusal(refusal, None, None));
        let pending = PendingReply {
            reply,
            last: true,
            in_flight,
        };
        self.shared.unanswered.set(self.shared.unanswered.get() + 1);
        let _ = self.pending.send(pending).await;
        NextStep::Linger
    }

    /// Reads and discards input until the caller closes the connection, or for [`LINGER`] after the
    /// last response. Closing at once would reset the connection and could lose the response.
    async fn linger(&mut self) {
        loop {
            self.buffer.clear();
            let closing = self.shared.closing.get();
            let shared = Rc::clone(&self.shared);
            tokio::select! {
                result = read_some(&mut self.read, &mut self.buffer) => if result.is_err() {
                    return;
                },
                () = shared.answered.notified() => {}
                () = tokio::time::sleep(LINGER), if closing => return,
            }
        }
    }
}

/// Reads the available bytes. The end of the connection is an error.
async fn read_some(read: &mut OwnedReadHalf, buffer: &mut BytesMut) -> Result<(), MessageError> {
    buffer.reserve(READ_SIZE);
    match read.read_buf(buffer).await {
        Ok(0) => Err(MessageError::Closed),
        Ok(_) => Ok(()),
        Err(error) => Err(io::Error::into(error)),
    }
}
