//! Another VM whose feed is polled.

use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_platform::store_client::Topic;

use crate::feed::Poll;
use crate::feed_client::FeedClient;
use crate::feed_client::PollFailure;
use crate::feed_client::PollNews;
use crate::feed_client::PolledChanges;
use crate::feed_format::FeedFormat;

/// Another VM that is polled.
pub(crate) struct Peer {
    /// The client of its feed.
    pub(crate) client: FeedClient,
    /// Whether it is itself only waiting for the store to recover.
    pub(crate) isolated: bool,
    /// Whether it may read changes from this VM, or is in another failure domain. Its records are
    /// used, but this VM keeps looking for a source.
    pub(crate) indirect: bool,
    /// The format in which it sends changes.
    pub(crate) format: FeedFormat,
}

impl Peer {
    async fn poll(
        &mut self,
        topic: Topic,
        from: Option<StorePosition>,
        newest: StoreEra,
        news: &PollNews,
    ) -> Result<PolledChanges, PollFailure> {
        let poll = Poll {
            topic,
            from,
            newest: Some(newest),
            patient: self.isolated,
            format: self.format,
        };
        self.client.poll(poll, news).await
    }
}

/// Polls the peer, or never completes if there is none.
pub(crate) async fn poll_if_any(
    peer: Option<Peer>,
    topic: Topic,
    from: Option<StorePosition>,
    newest: StoreEra,
    news: PollNews,
) -> (Peer, Result<PolledChanges, PollFailure>) {
    let Some(mut peer) = peer else {
        return std::future::pending().await;
    };
    let polled = peer.poll(topic, from, newest, &news).await;
    (peer, polled)
}
