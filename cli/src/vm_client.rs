//! Fetches the state of entry VMs over RPC.

use std::net::SocketAddr;
use std::time::Duration;

use carobshore_lib::prelude::*;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use serde_json::Value;

/// The size limit of a dump; fetching a larger one fails.
const MAX_DUMP_BYTES: u32 = 256 * 1024 * 1024;

/// The result of fetching a VM's dump.
#[derive(Debug)]
pub(crate) struct VmDump {
    /// The control address that was queried.
    pub(crate) addr: SocketAddr,
    /// The dump, or why it could not be fetched.
    pub(crate) dump: Result<Value>,
}

/// Fetches the dump of each VM, one after the other.
pub(crate) async fn fetch_dumps(vms: &[SocketAddr], timeout: Duration) -> Vec<VmDump> {
    let mut dumps = Vec::new();
    for addr in vms.iter().copied() {
        let dump = fetch_dump(addr, timeout).await;
        dumps.push(VmDump { addr, dump });
    }
    dumps
}

async fn fetch_dump(addr: SocketAddr, timeout: Duration) -> Result<Value> {
    let unreachable = |error: jsonrpsee::core::client::Error| {
        Error::new(
            ResultCode::PeerUnavailable,
            format!("the VM at {addr} gave no dump: {error}"),
            "check the address of its control port; the platform's VM list shows whether it is live",
        )
    };
    let client = HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_response_size(MAX_DUMP_BYTES)
        .build(format!("http://{addr}"))
        .map_err(unreachable)?;
    client
        .request("dump", rpc_params![])
        .await
        .map_err(unreachable)
}
