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
use carobshore_lib::memory_budget::phase::Phase;
use carobshore_lib::memory_budget::pipeline_bounds::OwedResponses;
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
use crate::clients::ClientConnection;
use crate::gateway::Gateway;
use crate::held_bytes::HeldBytes;
use crate::in_flight::InFlightGuard;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::reply_writer;

/// Size of the first read of a request, in bytes: most heads are shorter.
const FIRST_READ: usize = 1 << 10;
/// Size of one read of a head, in bytes.
const HEAD_READ: usize = 4 << 10;
/// Size of one read of a body, in bytes.
const BODY_READ: usize = 16 << 10;
/// Least size of one read of a body in tiny chunks, in bytes.
const MIN_READ: usize = 1 << 10;
/// What a caller must send of a body until it counts as progress, in bytes.
const PROGRESS_STEP: usize = 16 << 10;
/// What a decoded head takes, as a multiple of its length.
const HEAD_FACTOR: u64 = 2;
/// What the kernel may take of a response before the caller has read it, in bytes. The kernel takes up
/// to 4 MB of memory for a connection otherwise, which no account of the process shows.
const SEND_BUFFER: usize = 128 << 10;
/// How long input is still read after the last response, so that the caller receives the response
/// even if it is still sending.
const LINGER: Duration = Duration::from_secs(1);

/// A response that may still be in progress, queued in request order.
struct PendingReply {
    /// The reply. The channel closes without one if the call ends without a response.
    reply: oneshot::Receiver<HeldReply>,
    /// Whether the caller asked to close the connection after the response.
    last: bool,
    in_flight: InFlightGuard,
}

/// A reply, and what is held for it until it is written.
struct HeldReply {
    reply: Reply,
    held: HeldBytes,
}

/// State shared by the reader and the writer of a connection.
struct Shared {
    gateway: Rc<Gateway>,
    /// Set to `true` when the caller has disconnected.
    caller_gone: watch::Sender<bool>,
    /// The connection, as all connections of callers are counted.
    client: ClientConnection,
    /// The responses that are not written yet.
    owed: Cell<OwedResponses>,
    /// Whether a response is being written.
    writing: Cell<bool>,
    /// Notified when a response is written, and when the connection ends.
    answered: Notify,
    /// Whether no further request is accepted.
    closing: Cell<bool>,
}

/// Accepts connections from callers until the process exits.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) -> eyre::Result<()> {
    let clients = gateway.clients.clone();
    let serve = |stream, client| serve(Rc::clone(&gateway), stream, client);
    accept_loop::run(listener, "callers", clients, serve).await
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, client: ClientConnection) {
    let configured = socket::configure(&stream, KeepAliveOptions::SHORT)
        .and_then(|()| socket::limit_send_buffer(&stream, SEND_BUFFER));
    if let Err(error) = configured {
        log::debug!(reason:% = error; "cannot set socket options for a caller");
        return;
    }
    let (read, write) = stream.into_split();
    let pipelined = gateway.client_settings.pipeline.requests as usize;
    let (pending, replies) = mpsc::channel(pipelined);
    let (caller_gone, _) = watch::channel(false);
    let shared = Rc::new(Shared {
        gateway,
        caller_gone,
        client,
        owed: Cell::default(),
        writing: Cell::new(false),
        answered: Notify::new(),
        closing: Cell::new(false),
    });
    ntex::rt::spawn(write_replies(Rc::clone(&shared), write, replies));
    let mut reader = Reader {
        shared: Rc::clone(&shared),
        read,
        held: shared.client.hold(),
        buffer: BytesMut::new(),
        pending,
    };
    reader.run().await;
}

impl Shared {
    /// Records that a request has begun to be served.
    fn begin(&self) {
        let mut owed = self.owed.get();
        owed.unanswered += 1;
        self.owed.set(owed);
        self.rest();
    }

    /// Records that a response is complete, and holds its memory until it is written.
    fn complete(&self, reply: Reply) -> HeldReply {
        let mut held = self.client.hold();
        held.force(reply.memory());
        let mut owed = self.owed.get();
        owed.waiting += held.bytes();
        owed.longest = owed.longest.max(held.bytes());
        self.owed.set(owed);
        HeldReply { reply, held }
    }

    /// Records that a response is written or given up.
    fn written(&self, bytes: u64) {
        let mut owed = self.owed.get();
        owed.unanswered -= 1;
        owed.waiting -= bytes;
        self.owed.set(owed);
        self.writing.set(false);
        self.rest();
        self.answered.notify_one();
    }

    /// Records that the connection waits: for responses, or for the next request.
    fn rest(&self) {
        if !self.writing.get() {
            self.client.progress(match self.owed.get().unanswered {
                0 => Phase::Idle,
                _ => Phase::Serving,
            });
        }
    }

    /// Records that a request arrives. Earlier responses decide while there are some.
    fn receive(&self) {
        if self.owed.get().unanswered == 0 {
            self.client.progress(Phase::Receiving);
        }
    }
}

/// Writes the responses in the order of the requests.
async fn write_replies(
    shared: Rc<Shared>,
    mut write: OwnedWriteHalf,
    mut replies: mpsc::Receiver<PendingReply>,
) {
    tokio::select! {
        biased;
        () = shared.client.closed() => {}
        () = write_all(&shared, &mut write, &mut replies) => {}
    }
    shared.closing.set(true);
    let _ = write.shutdown().await;
    shared.answered.notify_one();
}

async fn write_all(
    shared: &Shared,
    write: &mut OwnedWriteHalf,
    replies: &mut mpsc::Receiver<PendingReply>,
) {
    let stall = shared.gateway.client_settings.stall;
    while let Some(pending) = replies.recv().await {
        // The call ended without a response because the caller has disconnected.
        let Ok(HeldReply { mut reply, held }) = pending.reply.await else {
            return;
        };
        let stopping = shared.gateway.exit.borrow().is_stopping();
        reply.close |= pending.last || stopping;
        shared.writing.set(true);
        let sent = reply_writer::write(&shared.client, write, &reply, stall).await;
        drop(pending.in_flight);
        shared.written(held.bytes());
        if sent.is_err() || reply.close {
            return;
        }
    }
}

/// Reads the requests of a connection.
struct Reader {
    shared: Rc<Shared>,
    read: OwnedReadHalf,
    /// What is held for the buffer.
    held: HeldBytes,
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
        let shared = Rc::clone(&self.shared);
        tokio::select! {
            biased;
            () = shared.client.closed() => {}
            () = self.serve() => {}
        }
        shared.caller_gone.send_replace(true);
    }

    async fn serve(&mut self) {
        let mut next = NextStep::Request;
        while next == NextStep::Request {
            next = self.request().await;
        }
        if next == NextStep::Linger {
            self.linger().await;
        }
    }

    /// Reads one request and starts to serve it.
    async fn request(&mut self) -> NextStep {
        let limits = self.shared.gateway.routes.borrow().config().limits;
        if self.buffer.is_empty() {
            self.release_buffer();
            if !self.first_bytes(limits.idle_time).await {
                return self.after_idle();
            }
        }
        self.shared.receive();
        let at = Instant::now();
        let gateway = Rc::clone(&self.shared.gateway);
        let in_flight = gateway.in_flight.enter();
        let read = tokio::select! {
            read = self.read_request(at, &limits) => read,
            () = gateway.stop_deadline_passed() => Err(Unread::Refused(Refusal::Stopping)),
        };
        match read {
            Ok((received, held)) => self.start(received, in_flight, held).await,
            Err(Unread::Refused(refusal)) => self.refuse(refusal, in_flight).await,
            Err(Unread::Ended) => NextStep::End,
        }
    }

    /// Reads one request, whose first byte arrived at `at`.
    async fn read_request(
        &mut self,
        at: Instant,
        limits: &CallLimits,
    ) -> Result<(ReceivedRequest, HeldBytes), Unread> {
        let head = timeout(limits.header_time, self.head(limits)).await;
        let (head, head_length) = head.map_err(|_| Unread::Refused(Refusal::TooSlow))??;
        let length = head.fields.text("content-length");
        let length = length.and_then(|length| length.parse::<u64>().ok());
        let mut held = self.shared.client.hold();
        // A body that is too large is refused as that, whether or not there is memory for it.
        let length = length.filter(|length| *length <= limits.body.0);
        let of_head = HEAD_FACTOR * head_length as u64;
        let needed = of_head + length.unwrap_or(0);
        if !self.shared.client.grow(&mut held, needed).await {
            return Err(Unread::Refused(Refusal::NoMemory));
        }
        let body = self.body(&head, limits, &mut held, of_head).await?;
        Ok((ReceivedRequest { head, body, at }, held))
    }

    /// Waits for the first bytes of a request. Returns whether any arrived. The idle limit does not
    /// apply while earlier requests are served.
    async fn first_bytes(&mut self, idle: Duration) -> bool {
        loop {
            let busy = self.shared.owed.get().unanswered > 0;
            let shared = Rc::clone(&self.shared);
            tokio::select! {
                result = self.read_first() => return result.is_ok(),
                () = shared.answered.notified() => if shared.closing.get() {
                    return false;
                },
                () = tokio::time::sleep(idle), if !busy => return false,
            }
        }
    }

    /// Reads the first bytes of a request. A socket may count as readable although all its bytes have
    /// been read, so that only bytes show that a request has begun. Until then no memory is taken.
    async fn read_first(&mut self) -> Result<(), MessageError> {
        let mut bytes = [0; FIRST_READ];
        loop {
            self.read.readable().await?;
            match self.read.try_read(&mut bytes) {
                Ok(0) => return Err(MessageError::Closed),
                Ok(count) => {
                    self.buffer.extend_from_slice(&bytes[..count]);
                    self.held.force(self.buffer.capacity() as u64);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
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

    /// Reads a head. Returns it with its length.
    async fn head(&mut self, limits: &CallLimits) -> Result<(RequestHead, usize), MessageError> {
        loop {
            let max_len = limits.header.as_usize();
            let received = self.buffer.len();
            if let Some(head) = RequestHead::take(&mut self.buffer, max_len)? {
                return Ok((head, received - self.buffer.len()));
            }
            self.read_some(HEAD_READ).await?;
        }
    }

    /// Reads the body of a request. `held` grows with it, above `of_head`, if its length is not stated.
    async fn body(
        &mut self,
        head: &RequestHead,
        limits: &CallLimits,
        held: &mut HeldBytes,
        of_head: u64,
    ) -> Result<Vec<u8>, MessageError> {
        let mut body = BodyReader::new(head.framing()?, limits.body.as_usize())?;
        let mut step = 0;
        let mut most = BODY_READ;
        let mut decoded = 0;
        while !body.advance(&mut self.buffer)? {
            if body.decoded() > 0 {
                // Tiny chunks take much time to decode. Fewer at a time let other callers in between.
                most = (2 * (body.decoded() - decoded)).clamp(MIN_READ, BODY_READ);
                decoded = body.decoded();
            }
            let needed = of_head + body.memory() as u64;
            let enough = needed <= held.bytes();
            if !enough && !self.shared.client.grow(held, needed).await {
                return Err(MessageError::NoMemory);
            }
            let read = self.read_some(most);
            let in_time = timeout(limits.idle_time, read).await;
            step += in_time.map_err(|_| MessageError::Closed)??;
            if step >= PROGRESS_STEP {
                step = 0;
                self.shared.receive();
            }
        }
        Ok(body.into_body())
    }

    /// Starts to serve a completely received request.
    async fn start(
        &mut self,
        received: ReceivedRequest,
        in_flight: InFlightGuard,
        held: HeldBytes,
    ) -> NextStep {
        let last = !received.head.keep_alive;
        let gateway = Rc::clone(&self.shared.gateway);
        // The route is looked up again when the request starts, because the configuration may
        // change while the request waits.
        let route = admission::route(&gateway, &received.head);
        let repeatable = route.is_ok_and(|route| route.rule.kind.is_repeatable());
        if !self.wait_for_turn(repeatable).await {
            return self.after_idle();
        }
        let (sender, reply) = oneshot::channel();
        let caller_gone = self.shared.caller_gone.subscribe();
        let pending = PendingReply {
            reply,
            last,
            in_flight,
        };
        self.shared.begin();
        if self.pending.send(pending).await.is_err() {
            return NextStep::Linger;
        }
        let held = held.detach();
        let shared = Rc::downgrade(&self.shared);
        ntex::rt::spawn(async move {
            let reply = admission::serve(gateway, received, caller_gone).await;
            drop(held);
            // The connection may have ended in the meantime.
            if let (Some(reply), Some(shared)) = (reply, shared.upgrade()) {
                let _ = sender.send(shared.complete(reply));
            }
        });
        match last {
            true => NextStep::Linger,
            false => NextStep::Request,
        }
    }

    /// Waits until a request may start: one that may be repeated when the responses that wait for the
    /// caller allow it, and another one when all earlier requests are answered. Returns whether it may.
    async fn wait_for_turn(&mut self, repeatable: bool) -> bool {
        let bounds = self.shared.gateway.client_settings.pipeline;
        let may_start = |owed: OwedResponses| match repeatable {
            true => bounds.may_start(owed),
            false => owed.unanswered == 0,
        };
        let mut has_memory = true;
        while !may_start(self.shared.owed.get()) && !self.shared.closing.get() {
            let shared = Rc::clone(&self.shared);
            let may_read = has_memory && bounds.may_read(self.buffer.len());
            tokio::select! {
                () = shared.answered.notified() => {}
                result = self.read_some(BODY_READ), if may_read => match result {
                    Ok(_) => {}
                    // Earlier requests still get their responses.
                    Err(MessageError::NoMemory) => has_memory = false,
                    Err(_) => return false,
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
        let refused = Reply::from_refusal(refusal, None, None);
        let _ = sender.send(self.shared.complete(refused));
        let pending = PendingReply {
            reply,
            last: true,
            in_flight,
        };
        self.shared.begin();
        let _ = self.pending.send(pending).await;
        NextStep::Linger
    }

    /// Reads and discards input until the caller closes the connection, or for [`LINGER`] after the
    /// last response. Closing at once would reset the connection and could lose the response.
    async fn linger(&mut self) {
        let mut until = None;
        loop {
            self.buffer.clear();
            if self.shared.closing.get() {
                until.get_or_insert_with(|| Instant::now() + LINGER);
            }
            let end = until.unwrap_or_else(Instant::now);
            let shared = Rc::clone(&self.shared);
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(end.into()), if until.is_some() => return,
                () = shared.answered.notified() => {}
                result = self.read_some(HEAD_READ) => if result.is_err() {
                    return;
                },
            }
        }
    }

    /// Reads the bytes that have arrived, up to `most`. Returns how many. The end of the connection is an
    /// error. Memory for them is taken only once there are some, so that a connection without any holds
    /// none; without memory, nothing is read for a while.
    async fn read_some(&mut self, most: usize) -> Result<usize, MessageError> {
        // A connection with bytes at hand would keep the thread for itself otherwise.
        tokio::task::yield_now().await;
        loop {
            self.read.readable().await?;
            self.grow_buffer(most).await?;
            match self.read.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(MessageError::Closed),
                Ok(count) => return Ok(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    async fn grow_buffer(&mut self, more: usize) -> Result<(), MessageError> {
        let needed = (self.buffer.len() + more) as u64;
        let enough = needed <= self.held.bytes();
        if !enough && !self.shared.client.grow(&mut self.held, needed).await {
            return Err(MessageError::NoMemory);
        }
        self.buffer.reserve(more);
        self.held.force(self.buffer.capacity() as u64);
        Ok(())
    }

    /// Frees the empty buffer, because the connection may be idle for long.
    fn release_buffer(&mut self) {
        self.buffer = BytesMut::new();
        self.held.resize(0);
    }
}
