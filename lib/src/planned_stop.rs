//! The sequence of a planned stop of an entry VM.

use std::time::Duration;
use std::time::Instant;

/// How long requests are still accepted after readiness started to fail, unless a setting says
/// otherwise, so that the platform's load balancer notices.
pub const DRAIN_NOTICE: Duration = Duration::from_secs(5);

/// How long the stop waits for the log to accept the `leave` after everything else has ended.
/// Without the record, the watchers displace the VM.
pub const LEAVE_APPEND_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the process continues after the `leave` was appended, so that its peers have read it
/// and forward no more requests. A request that arrived during the exit would have to be reported
/// as "may have run".
pub const LEAVE_NOTICE: Duration = Duration::from_secs(2);

/// The time before the end of the grace period at which the last responses have to be sent, and that
/// at which the process exits, whatever is in flight. The second one is longer than the pause between
/// two ticks.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Input events of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopEvent {
    /// SIGTERM or SIGINT arrived.
    Signal,
    /// The number of requests that were accepted and have not ended, including queued ones.
    InFlight {
        /// Requests with a key that this VM owns.
        keyed: usize,
        /// All other requests.
        other: usize,
    },
    /// The log acknowledged the `leave`.
    LeaveAppended,
    /// Time passed.
    Tick,
}

/// Actions that a planned stop requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAction {
    /// Report "not ready", and refuse new requests with keys that this VM owns as "not run".
    Announce,
    /// Refuse all new requests as "not run" and close the listeners.
    StopAccepting,
    /// Append a `leave` for this VM. From now on the VM accepts no keys, even if the append fails:
    /// its record may still take effect at any later time.
    AppendLeave,
    /// Abort the requests in flight.
    CutOff,
    /// End the process with exit status 0.
    Exit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leave {
    Waiting,
    Requested,
    Appended { at: Instant },
}

/// A planned stop, from the first signal to the exit.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    notice: Duration,
    /// The time from the signal after which the platform kills the process, if it does.
    grace: Option<Duration>,
    signalled: Option<Instant>,
    accepting: bool,
    leave: Leave,
    /// The numbers of keyed and other requests in flight. `None` until they are reported after the
    /// announcement.
    in_flight: Option<(usize, usize)>,
    /// Since when only the `leave` is outstanding.
    idle_since: Option<Instant>,
    exited: bool,
}

impl Default for PlannedStop {
    fn default() -> Self {
        Self::new(DRAIN_NOTICE, None)
    }
}

impl PlannedStop {
    /// Creates a stop that accepts requests for `notice` after readiness started to fail. If the
    /// platform kills the process `grace` after the signal, all requests are answered before that, and
    /// requests are accepted for half of that time at most.
    pub fn new(notice: Duration, grace: Option<Duration>) -> Self {
        let notice = grace.map_or(notice, |grace| notice.min(grace / 2));
        Self {
            notice,
            grace,
            signalled: None,
            accepting: true,
            leave: Leave::Waiting,
            in_flight: None,
            idle_since: None,
            exited: false,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    ///
    /// The numbers of requests in flight have to be reported after each change. The first report
    /// after `Announce` may only follow once the announcement has taken effect.
    pub fn handle(&mut self, now: Instant, event: StopEvent, out: &mut Vec<StopAction>) {
        if self.exited {
            return;
        }
        match event {
            StopEvent::Signal => return self.signal(now, out),
            StopEvent::InFlight { keyed, other } => self.in_flight = Some((keyed, other)),
            StopEvent::LeaveAppended => self.leave = Leave::Appended { at: now },
            StopEvent::Tick => {}
        }
        self.advance(now, out);
    }

    /// Returns whether the stop has begun. From then on, readiness fails and no new keys are
    /// accepted.
    pub fn is_stopping(&self) -> bool {
        self.signalled.is_some()
    }

    /// Returns whether new requests without a key are accepted.
    pub fn is_accepting(&self) -> bool {
        self.accepting
    }

    /// Returns when all requests have to be answered; nothing if no stop has begun or it has no limit.
    pub fn deadline(&self) -> Option<Instant> {
        Some(self.signalled? + self.grace?.saturating_sub(RESPONSE_MARGIN))
    }

    /// Returns the given deadline, or that of the stop if it is earlier.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.deadline().map_or(deadline, |end| end.min(deadline))
    }

    /// Returns whether the platform is about to kill the process.
    fn is_over(&self, now: Instant) -> bool {
        let times = self.signalled.zip(self.grace);
        times.is_some_and(|(at, grace)| now >= at + grace.saturating_sub(EXIT_MARGIN))
    }

    fn signal(&mut self, now: Instant, out: &mut Vec<StopAction>) {
        if self.signalled.is_none() {
            self.signalled = Some(now);
            self.in_flight = None;
            out.push(StopAction::Announce);
            return;
        }
        self.cut_off(out);
    }

    /// Ends the process although requests are in flight.
    fn cut_off(&mut self, out: &mut Vec<StopAction>) {
        if self.accepting {
            self.accepting = false;
            out.push(StopAction::StopAccepting);
        }
        out.push(StopAction::CutOff);
        self.exit(out);
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<StopAction>) {
        let Some(signalled) = self.signalled else {
            return;
        };
        if self.is_over(now) {
            return self.cut_off(out);
        }
        if self.accepting && now >= signalled + self.notice {
            self.accepting = false;
            out.push(StopAction::StopAccepting);
        }
        let no_keyed = matches!(self.in_flight, Some((0, _)));
        if self.leave == Leave::Waiting && no_keyed {
            self.leave = Leave::Requested;
            out.push(StopAction::AppendLeave);
        }
        let ended = !self.accepting && self.in_flight == Some((0, 0));
        if !ended {
            self.idle_since = None;
            return;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        let due = match self.leave {
            Leave::Appended { at } => at + LEAVE_NOTICE,
            Leave::Waiting | Leave::Requested => idle_since + LEAVE_APPEND_TIMEOUT,
        };
        if now >= due {
            self.exit(out);
        }
    }

    fn exit(&mut self, out: &mut Vec<StopAction>) {
        self.exited = true;
        out.push(StopAction::Exit);
    }
}
