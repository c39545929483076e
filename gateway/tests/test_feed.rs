//! The feed of store changes for other VMs.

use std::time::Duration;
use std::time::Instant;

use carobshore_gateway::feed::Feed;
use carobshore_gateway::feed::Poll;
use carobshore_gateway::feed::SourceState;
use carobshore_gateway::feed::Told;
use carobshore_gateway::feed_format::FeedFormat;
use carobshore_lib::prelude::StoreEra;
use carobshore_lib::prelude::StorePosition;
use carobshore_platform::store_client::Topic;

/// When the source is lost, late in a poll.
const LOST_AFTER: Duration = Duration::from_millis(450);
/// How long the feed needs to find another source.
const SEARCH_TIME: Duration = Duration::from_millis(200);

/// Guards against followers that all call the store when their source loses its own: a poll that
/// has been held for a while waits for the new source as long as a new poll does.
#[test]
fn a_poll_that_was_held_waits_for_a_source_that_is_found_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        let feed = Feed::default();
        let position = StorePosition::new(StoreEra::default(), 5);
        feed.update(|mirror| mirror.load(Vec::new(), position));
        feed.set_state(SourceState::Found);
        let poll = Poll {
            topic: Topic::Targets,
            from: Some(position),
            newest: Some(StoreEra::default()),
            patient: false,
            format: FeedFormat::Plain,
        };
        let mut told = Told::default();
        let started = Instant::now();
        let source = async {
            tokio::time::sleep(LOST_AFTER).await;
            feed.set_state(SourceState::Searching);
            tokio::time::sleep(SEARCH_TIME).await;
            feed.set_state(SourceState::Found);
        };
        let (reply, ()) = tokio::join!(feed.answer(poll, &mut told), source);
        assert_eq!(reply.status, 200);
        assert!(started.elapsed() >= LOST_AFTER + SEARCH_TIME);
    });
}

/// Guards against VMs that take records of an earlier era of the store from each other, and with them an
/// offset that the store gives out again.
#[test]
fn a_vm_hands_on_nothing_of_an_earlier_era_than_a_poll_states() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    let era = |number: &str| number.parse::<StoreEra>().expect("an era");
    let feed = Feed::default();
    let known = StorePosition::new(era("1"), 5);
    feed.update(|mirror| mirror.load(Vec::new(), known));
    feed.set_state(SourceState::Found);
    let answer = |newest, from| {
        let poll = Poll {
            topic: Topic::Operators,
            from,
            newest: Some(newest),
            patient: false,
            format: FeedFormat::Plain,
        };
        runtime
            .block_on(feed.answer(poll, &mut Told::default()))
            .status
    };
    assert_eq!(answer(era("1"), Some(known)), 200);
    let later = StorePosition::new(era("2"), 5);
    assert_eq!(answer(era("2"), Some(later)), 503);
    assert_eq!(answer(era("2"), None), 503);
    feed.update(|mirror| mirror.load(Vec::new(), StorePosition::new(era("2"), 3)));
    assert_eq!(answer(era("2"), Some(later)), 200);
    assert_eq!(answer(era("1"), Some(known)), 200, "it gets all records");
}
