//! Writes responses to a caller, who may read them slowly.

use std::io;
use std::time::Duration;

use carobshore_lib::memory_budget::phase::Phase;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

use crate::clients::ClientConnection;
use crate::clients::CloseReason;
use crate::reply::Reply;

/// Bodies up to this length are sent with their head, in bytes.
const JOINED_BODY: usize = 16 << 10;
/// What a caller must take until it counts as progress, in bytes. With less, a caller that takes a byte
/// at a time would never be one that makes room for others.
const PROGRESS_STEP: usize = 16 << 10;

/// Writes a response. Closes the connection if the caller takes nothing for `stall`.
pub(crate) async fn write(
    client: &ClientConnection,
    write: &mut OwnedWriteHalf,
    reply: &Reply,
    stall: Duration,
) -> io::Result<()> {
    client.progress(Phase::Writing);
    if reply.body_len() <= JOINED_BODY {
        return write_part(client, write, &reply.to_bytes(), stall).await;
    }
    write_part(client, write, &reply.head_bytes(), stall).await?;
    write_part(client, write, &reply.body, stall).await
}

async fn write_part(
    client: &ClientConnection,
    write: &mut OwnedWriteHalf,
    mut rest: &[u8],
    stall: Duration,
) -> io::Result<()> {
    let mut step = 0;
    while !rest.is_empty() {
        let Ok(written) = timeout(stall, write.write(rest)).await else {
            client.close(CloseReason::Stalled);
            return Err(io::ErrorKind::TimedOut.into());
        };
        let written = written?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[written..];
        step += written;
        if step >= PROGRESS_STEP {
            step = 0;
            client.progress(Phase::Writing);
        }
    }
    Ok(())
}
