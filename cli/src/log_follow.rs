//! Reads the log to its end into a replicated state.

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

/// The interval at which the follower checks whether a read is due.
const TICK_INTERVAL: Millis = Millis(50);

/// The time between two reads while the log does not respond.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Returns a follower whose state includes every record that is on the log at the call.
pub(crate) async fn follow(log: &LogClient, timeout: Duration) -> Result<Follower> {
    let settings = FollowerSettings {
        poll_interval: POLL_INTERVAL,
        ..FollowerSettings::default()
    };
    let mut follower = Follower::new(Instant::now(), settings);
    catch_up(log, &mut follower, timeout).await?;
    Ok(follower)
}

/// Reads the log until the follower's state includes every record that was on it at the call.
/// Fails after `timeout`, or if needed records have expired and no snapshot covers them.
pub(crate) async fn catch_up(
    log: &LogClient,
    follower: &mut Follower,
    timeout: Duration,
) -> Result<()> {
    let started = Instant::now();
    let mut events = VecDeque::from([FollowerEvent::Tick]);
    while follower
        .caught_up_at()
        .is_none_or(|issued| issued < started)
    {
        if started.elapsed() >= timeout {
            return Err(unavailable(log, timeout));
        }
        let Some(event) = events.pop_front() else {
            sleep(TICK_INTERVAL).await;
            events.push_back(FollowerEvent::Tick);
            continue;
        };
        let mut actions = Vec::new();
        follower.handle(Instant::now(), event, &mut actions);
        for action in actions {
            match action {
                FollowerAction::Read { from, max } => events.push_back(read(log, from, max).await),
                // A client has no peer that could supply expired records. An unusable snapshot is not
                // fatal, because an older one may be usable.
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

fn unavailable(log: &LogClient, timeout: Duration) -> Error {
    Error::new(
        ResultCode::LogUnavailable,
        format!(
            "the log at {} did not answer within {} s",
            log.addr(),
            timeout.as_secs()
        ),
        "the configuration in force is not affected; check --log or CAROBSHORE_LOG and repeat the \
         command when the log answers",
    )
}
