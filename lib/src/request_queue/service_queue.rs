//! The requests of a service that found no target at once.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::access::organisation_id::OrganisationId;
use crate::request_queue::entry_id::EntryId;
use crate::request_queue::fair_order::FairOrder;
use crate::request_queue::priority::Priority;
use crate::request_queue::queue_action::QueueAction;
use crate::request_queue::queue_refusal::QueueRefusal;
use crate::request_queue::queue_refusal::RefusalCause;
use crate::request_queue::queued_request::QueuedRequest;
use crate::request_queue::return_times::ReturnTimes;
use crate::request_queue::search_pace::SearchPace;
use crate::request_rate::RequestRate;

/// Number of requests that look for a target; the others wait, because health checks are expensive.
/// These are never refused for the pace of the queue: their own search tells more.
pub const SEARCHERS: usize = 3;
/// The wait that is assumed if the queue does not move.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// A queue of requests, of which the first [`SEARCHERS`] look for a target.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    order: FairOrder,
    searchers: Vec<EntryId>,
    pace: SearchPace,
    returns: ReturnTimes,
}

impl ServiceQueue {
    /// Returns whether a new request may look for a target before it waits: no request of its
    /// priority or a more urgent one waits.
    pub fn may_search_at_once(&self, priority: Priority) -> bool {
        let first = self.order.iter().next();
        first.is_none_or(|(waiting, _)| priority < waiting)
    }

    /// Adds a request. The actions may refuse it.
    pub fn enter(&mut self, now: Instant, request: QueuedRequest) -> (EntryId, Vec<QueueAction>) {
        let id = self.order.push(request);
        self.pace.set_waiting(now, true);
        (id, self.review_with(now, Some(id)))
    }

    /// Removes a request that found a target.
    pub fn found(&mut self, now: Instant, id: EntryId) -> Vec<QueueAction> {
        self.order.remove_served(id);
        self.pace.observe_find(now);
        self.review(now)
    }

    /// Removes a request that was refused or whose caller has disconnected.
    pub fn leave(&mut self, now: Instant, id: EntryId) -> Vec<QueueAction> {
        self.order.remove_unserved(id);
        self.review(now)
    }

    /// Refuses the requests that cannot be served in time, and lets the first ones look for a
    /// target. To be called after a search in vain, too, because the queue may have slowed down.
    pub fn review(&mut self, now: Instant) -> Vec<QueueAction> {
        self.review_with(now, None)
    }

    fn review_with(&mut self, now: Instant, newest: Option<EntryId>) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        for (id, ahead) in self.hopeless(now) {
            let cause = match newest == Some(id) {
                true => RefusalCause::OnArrival,
                false => RefusalCause::SlowerQueue,
            };
            self.order.remove_unserved(id);
            actions.push(QueueAction::Refuse(id, self.refusal(now, ahead, cause)));
        }
        if self.order.is_empty() {
            self.pace.set_waiting(now, false);
        }
        let first = self.order.iter().take(SEARCHERS);
        let searchers: Vec<EntryId> = first.map(|(_, id)| id).collect();
        let ranked = searchers.iter().enumerate();
        let changed = ranked.filter(|(rank, id)| self.searchers.get(*rank) != Some(id));
        actions.extend(changed.map(|(_, id)| QueueAction::Wake(*id)));
        self.searchers = searchers;
        actions
    }

    /// Returns the place of a request among those that may look for a target; 0 is the first.
    pub fn search_rank(&self, id: EntryId) -> Option<usize> {
        self.searchers.iter().position(|searcher| *searcher == id)
    }

    /// Returns the request that may look for a target after the one with the rank.
    pub fn next_searcher(&self, rank: usize) -> Option<EntryId> {
        self.searchers.get(rank + 1).copied()
    }

    /// Returns why a request whose time to wait is over is refused.
    pub fn wait_over(&mut self, now: Instant, id: EntryId) -> QueueRefusal {
        let ahead = self.order.iter().take_while(|(_, other)| *other != id);
        let ahead = ahead.count();
        self.refusal(now, ahead, RefusalCause::WaitOver)
    }

    /// Returns how long a caller that is refused now should stay away.
    pub fn return_time(&mut self, now: Instant) -> Duration {
        let pace = self.likely_pace(now);
        let backlog = time_for(self.order.len(), pace);
        self.returns.next(now, backlog, time_for(1, pace))
    }

    /// Returns how many requests of the queue find a target, if it is known.
    pub fn pace(&self, now: Instant) -> Option<RequestRate> {
        self.pace.measured(now)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of waiting requests by priority.
    pub fn by_priority(&self) -> BTreeMap<Priority, usize> {
        let mut counts = BTreeMap::new();
        for (priority, _) in self.order.iter() {
            *counts.entry(priority).or_default() += 1;
        }
        counts
    }

    /// Returns the number of waiting requests by organisation.
    pub fn by_organisation(&self) -> BTreeMap<Option<OrganisationId>, usize> {
        self.order.owners()
    }

    /// Returns the requests that cannot be served in time even at the largest pace that is likely,
    /// with the number of requests before them. In this order the least urgent requests are last,
    /// and among them those of the organisation with most work waiting, so that they are refused
    /// first. Requests that are refused themselves delay nobody.
    fn hopeless(&self, now: Instant) -> Vec<(EntryId, usize)> {
        let pace = self.pace.likely_max(now);
        let mut ahead = 0;
        let mut hopeless = Vec::new();
        for (id, wait_end) in self.order.wait_ends() {
            let left = wait_end.saturating_duration_since(now).as_secs_f64();
            if ahead < SEARCHERS || (ahead + 1) as f64 <= left * pace {
                ahead += 1;
            } else {
                hopeless.push((id, ahead));
            }
        }
        hopeless
    }

    fn refusal(&mut self, now: Instant, ahead: usize, cause: RefusalCause) -> QueueRefusal {
        QueueRefusal {
            ahead,
            pace: self.pace(now),
            wait: time_for(ahead + 1, self.likely_pace(now)),
            retry: self.return_time(now),
            cause,
        }
    }

    fn likely_pace(&self, now: Instant) -> f64 {
        let measured = self.pace.measured(now).map(RequestRate::per_second);
        measured.unwrap_or_else(|| self.pace.likely_max(now))
    }
}

/// Returns how long the queue needs for some requests.
fn time_for(requests: usize, pace: f64) -> Duration {
    let time = Duration::try_from_secs_f64(requests as f64 / pace);
    time.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
}
