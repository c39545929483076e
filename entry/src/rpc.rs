//! The JSON-RPC interface of an entry VM for peers and operators.

use carobshore_lib::heartbeat::Heartbeat;
use carobshore_lib::log_page::LogPage;
use carobshore_lib::prelude::Offset;
use carobshore_lib::record::Record;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// The JSON-RPC error code of a call that arrives while the control thread cannot answer.
const UNAVAILABLE: i32 = -32_000;

/// The remote procedures of an entry VM.
#[rpc(server, client)]
pub trait VmRpc {
    /// Receives a peer's heartbeat and returns the VM's own.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat>;

    /// Returns the recent records of the log, starting at an offset.
    #[method(name = "records_since")]
    async fn records_since(&self, from: Offset) -> RpcResult<LogPage>;

    /// Returns a snapshot of the applied log, in chunks, or nothing if there is none yet.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> RpcResult<Option<Vec<Record>>>;

    /// Returns the whole state of the process.
    #[method(name = "dump")]
    async fn dump(&self) -> RpcResult<Value>;
}

/// A call on its way to the control thread, with the channel for its answer.
#[derive(Debug)]
pub enum RpcCall {
    /// See [`VmRpcServer::heartbeat`].
    Heartbeat(Heartbeat, oneshot::Sender<Heartbeat>),
    /// See [`VmRpcServer::records_since`].
    RecordsSince(Offset, oneshot::Sender<LogPage>),
    /// See [`VmRpcServer::snapshot`].
    Snapshot(oneshot::Sender<Option<Vec<Record>>>),
    /// See [`VmRpcServer::dump`].
    Dump(oneshot::Sender<Value>),
}

/// Passes calls to the control thread, since its state cannot be shared between threads.
#[derive(Clone, Debug)]
pub struct RpcRelay(mpsc::Sender<RpcCall>);

impl RpcRelay {
    /// Creates the relay and the receiver of the calls. At most `waiting` calls are queued; further
    /// ones fail at once.
    pub fn channel(waiting: usize) -> (Self, mpsc::Receiver<RpcCall>) {
        let (sender, receiver) = mpsc::channel(waiting);
        (Self(sender), receiver)
    }

    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> RpcCall) -> RpcResult<T> {
        let (sender, receiver) = oneshot::channel();
        self.0.try_send(call(sender)).map_err(|_| unavailable())?;
        receiver.await.map_err(|_| unavailable())
    }
}

#[async_trait]
impl VmRpcServer for RpcRelay {
    async fn heartbeat(&self, beat: Heartbeat) -> RpcResult<Heartbeat> {
        self.ask(|sender| RpcCall::Heartbeat(beat, sender)).await
    }

    async fn records_since(&self, from: Offset) -> RpcResult<LogPage> {
        self.ask(|sender| RpcCall::RecordsSince(from, sender)).await
    }

    async fn snapshot(&self) -> RpcResult<Option<Vec<Record>>> {
        self.ask(RpcCall::Snapshot).await
    }

    async fn dump(&self) -> RpcResult<Value> {
        self.ask(RpcCall::Dump).await
    }
}

fn unavailable() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(
        UNAVAILABLE,
        "the control thread cannot answer now",
        None::<()>,
    )
}
