//! Brings a fold up to the end of the log.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::follower::Follower;
use carobshore_lib::follower_message::FollowerAction;
use carobshore_lib::follower_message::FollowerEvent;
use carobshore_lib::follower_message::FollowerSettings;
use carobshore_lib::prelude::*;
use ntex::time::Millis;
use ntex::time::sleep;

use carobshore_platform::log_client::LogClient;
use carobshore_platform::log_client::ReadAnswer;

/// The pause after which the follower is asked again whether a read is due.
const TICK: Millis = Millis(50);

/// The time between two reads while the log does not answer.
const POLL: Duration = Duration::from_millis(200);

/// Returns a follower whose fold holds every record that is on the log now.
pub(crate) async fn follow(log: &LogClient, limit: Duration) -> Result<Follower> {
    let settings = FollowerSettings {
        poll_interval: POLL,
        ..FollowerSettings::default()
    };
    let mut follower = Follower::new(Instant::now(), settings);
    catch_up(log, &mut follower, limit).await?;
    Ok(follower)
}

/// Reads the log until the fold holds every record that was on it at the call.
pub(crate) async fn catch_up(
    log: &LogClient,
    follower: &mut Follower,
    limit: Duration,
) -> Result<()> {
    let started = Instant::now();
    let mut events = VecDeque::from([FollowerEvent::Tick]);
    while follower
        .caught_up_at()
        .is_none_or(|issued| issued < started)
    {
        if started.elapsed() >= limit {
            return Err(unavailable(log, limit));
        }
        let Some(event) = events.pop_front() else {
            sleep(TICK).await;
            events.push_back(FollowerEvent::Tick);
            continue;
        };
        let mut actions = Vec::new();
        follower.handle(Instant::now(), event, &mut actions);
        for action in actions {
            match action {
                FollowerAction::Read { from, max } => events.push_back(read(log, from, max).await),
                // A client has no peer that could fill a gap. A snapshot that cannot be used is not
                // the end, because an older one may be.
                FollowerAction::Report(error) if error.code == ResultCode::LogGap => {
                    return Err(error);
                }
                _ => {}
            }
        }
    }
    Ok(())
}

async fn read(log: &LogClient, from: Offset, max: u32) -> FollowerEvent {
    let issued = Instant::now();
    match log.read(from, max).await {
        ReadAnswer::Page(page) => FollowerEvent::Page { from, issued, page },
        ReadAnswer::Expired(first) => FollowerEvent::Expired { first },
        ReadAnswer::Failed => FollowerEvent::ReadFailed,
    }
}

fn unavailable(log: &LogClient, limit: Duration) -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!(
            "the log at {} did not answer within {} s",
            log.addr(),
            limit.as_secs()
        ),
        "the configuration in force is not affected; check --log or CAROBSHORE_LOG and repeat the \
         command when the log answers",
    )
}
