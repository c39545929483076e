//! Guards against small organisations that wait behind large ones, less urgent requests that are served
//! before more urgent ones, and requests that are refused although they could be served.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::request_queue::entry_id::EntryId;
use carobshore_lib::request_queue::fair_share::FairShare;
use carobshore_lib::request_queue::priority::Priority;
use carobshore_lib::request_queue::queue_action::QueueAction;
use carobshore_lib::request_queue::queue_refusal::RefusalCause;
use carobshore_lib::request_queue::queued_request::QueuedRequest;
use carobshore_lib::request_queue::return_times::ReturnTimes;
use carobshore_lib::request_queue::service_queue::SEARCHERS;
use carobshore_lib::request_queue::service_queue::ServiceQueue;
use carobshore_lib::request_queue::urgent_share::UrgentShare;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Resolution of the simulation, and how often a VM looks for free slots.
const STEP: Duration = Duration::from_millis(5);
const STEPS_PER_LOOK: usize = 4;
/// Organisations of the first customer, the first of which are hot, and their usual requests a second.
const ORGANISATIONS: usize = 83;
const HOT: usize = 3;
const HOT_FACTOR: f64 = 7.0;
/// Slots of a target, and targets that one look asks.
const SLOTS: u32 = 6;
const ASKED: usize = 16;
/// Seconds in which VMs learn who wants how much, before the shares are measured.
const LEARNING: u64 = 15;
/// Steps per simulated second.
const PER_SECOND: f64 = 200.0;

/// A kind of request: its priority, requests a second, work and longest wait in milliseconds.
#[derive(Clone, Copy)]
struct Kind(u32, f64, u64, u64);

/// The kinds of the first customer; the wait is what `CallTimes` leaves of the latency.
const CUE_READ: Kind = Kind(1, 503.0, 430, 226);
const RENDER_COMMIT: Kind = Kind(2, 246.0, 560, 1_992);
const DELIVERY_RELEASE: Kind = Kind(0, 175.0, 300, 260);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn organisation(index: usize) -> OrganisationId {
    format!("org-{index}").parse().expect("an id")
}

fn queued(kind: Kind, organisation_index: usize, now: Instant) -> QueuedRequest {
    QueuedRequest {
        priority: Priority::from(kind.0),
        organisation: Some(organisation(organisation_index)),
        above_share: false,
        work: ms(kind.2),
        wait_end: now + ms(kind.3),
    }
}

#[derive(Clone, Copy)]
struct Request {
    kind: Kind,
    organisation: usize,
    wait_end: Instant,
}

/// VMs with a queue each in front of common slots. Only a VM whose attempt ends knows at once.
struct Simulation {
    now: Instant,
    random: StdRng,
    vms: Vec<(ServiceQueue, BTreeMap<EntryId, Request>)>,
    /// Requests on each target.
    targets: Vec<u32>,
    /// End, VM and target of each attempt.
    running: Vec<(Instant, usize, usize)>,
    /// What each VM has learned of more urgent demand.
    urgent: Vec<UrgentShare>,
    /// What each VM has learned of the organisations.
    fair: Vec<FairShare>,
    /// Sent and served requests, by priority and organisation.
    counts: BTreeMap<(u32, usize), (u32, u32)>,
}

impl Simulation {
    fn new(seed: u64, vms: usize, slots: usize) -> Self {
        Self {
            now: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            vms: (0..vms).map(|_| Default::default()).collect(),
            targets: vec![0; slots / SLOTS as usize],
            running: Vec::new(),
            urgent: vec![UrgentShare::default(); vms],
            fair: vec![FairShare::default(); vms],
            counts: BTreeMap::new(),
        }
    }

    /// Simulates a time with the given kinds, and shares of the organisations in their requests.
    fn run(&mut self, seconds: u64, kinds: &[Kind], shares: &[f64]) {
        for step in 0..seconds as usize * PER_SECOND as usize {
            self.now += STEP;
            self.end_attempts();
            for kind in kinds {
                for (index, share) in shares.iter().enumerate() {
                    if self.random.random_bool(kind.1 * share / PER_SECOND) {
                        self.arrive(*kind, index);
                    }
                }
            }
            let first = self.random.random_range(0..self.vms.len());
            for offset in 0..self.vms.len() {
                let vm = (first + offset) % self.vms.len();
                if (step + vm).is_multiple_of(STEPS_PER_LOOK) {
                    self.look(vm, usize::MAX);
                }
            }
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |(end, ..)| *end <= now)
            .collect();
        for (_, vm, target) in ended {
            self.targets[target] -= 1;
            self.look(vm, 1);
        }
    }

    fn arrive(&mut self, kind: Kind, organisation: usize) {
        let vm = self.random.random_range(0..self.vms.len());
        self.counts.entry((kind.0, organisation)).or_default().0 += 1;
        let mut request = queued(kind, organisation, self.now);
        let owner = request.organisation.as_ref();
        request.above_share = self.fair[vm].is_over(request.priority, owner);
        let wait_end = request.wait_end;
        let entry = Request {
            kind,
            organisation,
            wait_end,
        };
        self.urgent[vm].observe(self.now, request.priority, request.work);
        self.fair[vm].wanted(self.now, &request);
        if self.vms[vm].0.may_search_at_once(request.priority)
            && let Some(target) = self.target_for(vm, &entry)
        {
            return self.start(vm, entry, target);
        }
        let (queue, requests) = &mut self.vms[vm];
        let (id, actions) = queue.enter(self.now, request);
        requests.insert(id, entry);
        drop_refused(requests, &actions);
    }

    /// Lets a VM take free slots, and refuses requests whose time is over.
    fn look(&mut self, vm: usize, most: usize) {
        for _ in 0..most {
            let (queue, requests) = &mut self.vms[vm];
            let head = requests
                .keys()
                .find(|id| queue.search_rank(**id) == Some(0))
                .copied();
            let Some((head, request)) = head.map(|head| (head, requests[&head])) else {
                break;
            };
            let Some(target) = self.target_for(vm, &request) else {
                break;
            };
            let (queue, requests) = &mut self.vms[vm];
            let actions = queue.found(self.now, head);
            requests.remove(&head);
            drop_refused(requests, &actions);
            self.start(vm, request, target);
        }
        let (queue, requests) = &mut self.vms[vm];
        let over = requests
            .iter()
            .filter(|(_, request)| request.wait_end <= self.now);
        for id in over.map(|(id, _)| *id).collect::<Vec<_>>() {
            requests.remove(&id);
            drop_refused(requests, &queue.leave(self.now, id));
        }
        drop_refused(requests, &queue.review(self.now));
    }

    /// Returns the emptiest of some targets if it has a slot for the request.
    fn target_for(&mut self, vm: usize, request: &Request) -> Option<usize> {
        let held: u32 = self.targets.iter().sum();
        let per_slot = f64::from(held) / f64::from(self.targets.len() as u32 * SLOTS);
        let priority = Priority::from(request.kind.0);
        let owner = Some(organisation(request.organisation));
        let urgent = self.urgent[vm].kept_free(priority, SLOTS, per_slot);
        let free = urgent.max(self.fair[vm].kept_free(priority, owner.as_ref(), SLOTS, per_slot));
        let count = self.targets.len();
        let some: Vec<_> = (0..ASKED)
            .map(|_| self.random.random_range(0..count))
            .collect();
        let emptiest = some
            .into_iter()
            .min_by_key(|target| self.targets[*target])?;
        (self.targets[emptiest] + free < SLOTS).then_some(emptiest)
    }

    fn start(&mut self, vm: usize, request: Request, target: usize) {
        self.targets[target] += 1;
        let given = queued(request.kind, request.organisation, self.now);
        self.fair[vm].given(self.now, &given);
        self.running
            .push((self.now + ms(request.kind.2), vm, target));
        let key = (request.kind.0, request.organisation);
        self.counts.entry(key).or_default().1 += 1;
    }

    /// Returns the served share of the requests that the condition selects.
    fn served(&self, select: impl Fn(u32, usize) -> bool) -> f64 {
        let selected = self
            .counts
            .iter()
            .filter(|((priority, org), _)| select(*priority, *org));
        let (sent, served) = selected.fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
        f64::from(served) / f64::from(sent)
    }
}

fn drop_refused(requests: &mut BTreeMap<EntryId, Request>, actions: &[QueueAction]) {
    for action in actions {
        if let QueueAction::Refuse(id, _) = action {
            requests.remove(id);
        }
    }
}

/// Returns the usual shares of the organisations, of which a few are large; the first three are as
/// large as the mean and send [`HOT_FACTOR`] times as much as usual.
fn hot_shares() -> Vec<f64> {
    let usual = |index: usize| if index >= ORGANISATIONS - 4 { 8.0 } else { 1.0 };
    let all: f64 = (0..ORGANISATIONS).map(usual).sum();
    let factor = |index: usize| if index < HOT { HOT_FACTOR } else { 1.0 };
    (0..ORGANISATIONS)
        .map(|index| usual(index) * factor(index) / all)
        .collect()
}

/// Returns the largest part of the capacity that an organisation gets, if no one gets more than it
/// wants and the rest is divided equally.
fn fair_level(demands: &[f64], capacity: f64) -> f64 {
    let mut level = 0.0;
    for _ in 0..ORGANISATIONS {
        let (small, large): (Vec<f64>, Vec<f64>) = demands.iter().partition(|d| **d <= level);
        if large.is_empty() {
            break;
        }
        level = (capacity - small.iter().sum::<f64>()) / large.len() as f64;
    }
    level
}

/// Load: three of 83 organisations at 7 times their demand, and slots for the usual demand only.
#[test]
fn a_hot_organisation_takes_nothing_from_the_others() {
    for (vms, seed) in [(1, 1), (20, 3), (131, 2)] {
        let Kind(_, rate, work, _) = CUE_READ;
        let slots = (rate * work as f64 / 1e3).round() as usize;
        let mut simulation = Simulation::new(seed, vms, slots);
        let shares = hot_shares();
        simulation.run(LEARNING, &[CUE_READ], &shares);
        simulation.counts.clear();
        simulation.run(60, &[CUE_READ], &shares);
        let level = fair_level(
            &shares,
            simulation.served(|_, _| true) * shares.iter().sum::<f64>(),
        );
        let worst = (HOT..ORGANISATIONS)
            .map(|index| {
                simulation.served(|_, org| org == index) / (level / shares[index]).min(1.0)
            })
            .fold(1.0, f64::min);
        let hot = simulation.served(|_, org| org < HOT) / (level / shares[0]);
        println!("{vms} VMs, seed {seed}: parts of the fair share: worst {worst:.3}, hot {hot:.3}");
        assert!(worst >= 0.9, "{vms} VMs, seed {seed}: {worst}");
    }
}

/// Load: all kinds of the first customer on too few slots, at several degrees of shortage.
#[test]
fn a_less_urgent_kind_is_never_served_more_often() {
    let kinds = [DELIVERY_RELEASE, CUE_READ, RENDER_COMMIT];
    let needed: f64 = kinds.iter().map(|kind| kind.1 * kind.2 as f64 / 1e3).sum();
    let shares = [1.0 / ORGANISATIONS as f64; ORGANISATIONS];
    for (vms, seed) in [(1, 1), (131, 2)] {
        for part in [0.95, 0.6] {
            let mut simulation = Simulation::new(seed, vms, (needed * part) as usize);
            simulation.run(8, &kinds, &shares);
            let served =
                [0, 1, 2].map(|wanted| simulation.served(|priority, _| priority == wanted));
            println!("{vms} VMs, {part} of the slots: served {served:.3?}");
            assert!(
                served[0] >= served[1] && served[1] >= served[2],
                "{part}: {served:?}"
            );
        }
    }
}

/// Load: a burst of five times the usual `cue-read` for 5 s, on slots for 1.2 times the usual load.
#[test]
fn a_burst_of_one_kind_leaves_a_more_urgent_one_alone() {
    let kinds = [DELIVERY_RELEASE, CUE_READ, RENDER_COMMIT];
    let needed: f64 = kinds.iter().map(|kind| kind.1 * kind.2 as f64 / 1e3).sum();
    let shares = [1.0 / ORGANISATIONS as f64; ORGANISATIONS];
    let mut simulation = Simulation::new(5, 20, (needed * 1.2) as usize);
    let burst = Kind(CUE_READ.0, CUE_READ.1 * 5.0, CUE_READ.2, CUE_READ.3);
    simulation.run(5, &kinds, &shares);
    simulation.run(5, &[DELIVERY_RELEASE, burst, RENDER_COMMIT], &shares);
    simulation.run(5, &kinds, &shares);
    let served = [0, 1, 2].map(|wanted| simulation.served(|priority, _| priority == wanted));
    println!("burst: served {served:.3?}");
    assert!(served[0] >= 0.95, "{served:?}");
}

/// Load: many requests at once, before the pace of the queue is known, and then none that finds a
/// target.
#[test]
fn nothing_is_refused_before_the_pace_is_known() {
    let (mut queue, start) = (ServiceQueue::default(), Instant::now());
    for index in 0..500 {
        let (_, actions) = queue.enter(start, queued(RENDER_COMMIT, index % 7, start));
        let refused = actions
            .iter()
            .any(|action| matches!(action, QueueAction::Refuse(..)));
        assert!(!refused, "{index} was refused on a guess");
    }
    // No target in 1.9 s: hardly more than 3 requests a second can be expected.
    let actions = queue.review(start + ms(1_900));
    let refused = actions
        .iter()
        .filter(|action| matches!(action, QueueAction::Refuse(..)));
    assert_eq!((refused.count(), queue.len()), (500 - SEARCHERS, SEARCHERS));
}

/// Load: a steady 20 requests a second find a target, and requests come that need that pace.
#[test]
fn a_request_that_can_be_served_in_time_is_not_refused() {
    let (mut queue, mut now) = (ServiceQueue::default(), Instant::now());
    let mut waiting = Vec::new();
    let long = Kind(1, 0.0, 100, 60_000);
    for index in 0..400 {
        waiting.push(queue.enter(now, queued(long, index % 5, now)).0);
    }
    let head = |queue: &ServiceQueue, waiting: &mut Vec<EntryId>| {
        let index = waiting
            .iter()
            .position(|id| queue.search_rank(*id) == Some(0));
        waiting.swap_remove(index.expect("a head"))
    };
    for _ in 0..200 {
        now += ms(50);
        let id = head(&queue, &mut waiting);
        assert!(
            !queue
                .found(now, id)
                .iter()
                .any(|a| matches!(a, QueueAction::Refuse(..)))
        );
    }
    // 200 wait, which takes 10 s: a request with 11 s is served, one with 2 s is refused at once.
    let (_, actions) = queue.enter(now, queued(Kind(1, 0.0, 100, 11_000), 0, now));
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, QueueAction::Refuse(..)))
    );
    // The shortest of many times, so that other work of the machine doesn't count.
    let mut shortest = Duration::MAX;
    for index in 0..100 {
        let before = Instant::now();
        let (id, actions) = queue.enter(now, queued(Kind(2, 0.0, 100, 2_000), index, now));
        shortest = shortest.min(before.elapsed());
        let [QueueAction::Refuse(refused, refusal)] = &actions[..] else {
            panic!("{actions:?}");
        };
        assert_eq!((*refused, refusal.ahead), (id, 201));
        assert_eq!(refusal.cause, RefusalCause::OnArrival);
    }
    println!("a refusal with 201 requests waiting takes {shortest:?}");
    assert!(shortest < ms(1), "a refusal takes {shortest:?}");
    // A more urgent request doesn't wait behind them.
    let (id, _) = queue.enter(now, queued(Kind(0, 0.0, 100, 200), 0, now));
    assert_eq!(queue.search_rank(id), Some(0));
}

/// Load: callers that disconnect before their turn. Their organisation must not pay for them.
#[test]
fn a_caller_that_leaves_costs_its_organisation_nothing() {
    let (mut queue, now) = (ServiceQueue::default(), Instant::now());
    let left: Vec<_> = (0..50)
        .map(|_| queue.enter(now, queued(CUE_READ, 0, now)).0)
        .collect();
    let other = queue.enter(now, queued(CUE_READ, 1, now)).0;
    assert_eq!(queue.search_rank(other), Some(1));
    for id in &left[..49] {
        queue.leave(now, *id);
    }
    // Nothing of its organisation has been served, and it came first.
    assert_eq!(queue.search_rank(left[49]), Some(0));
    assert_eq!(queue.search_rank(other), Some(1));
    queue.leave(now, other);
    queue.leave(now, left[49]);
    assert!(queue.is_empty() && queue.may_search_at_once(Priority::from(9)));
}

/// Load: any arrivals, ends and departures.
fn check_order(operations: &[(u8, u32, usize)]) -> Result<(), TestCaseError> {
    let (mut queue, mut now) = (ServiceQueue::default(), Instant::now());
    let mut waiting: BTreeMap<EntryId, u32> = BTreeMap::new();
    for (operation, priority, index) in operations {
        now += ms(7);
        let some = waiting.keys().nth(index % waiting.len().max(1)).copied();
        let actions = match (operation, some) {
            (0, Some(id)) => {
                waiting.remove(&id);
                queue.leave(now, id)
            }
            (1, Some(id)) if queue.search_rank(id).is_some() => {
                waiting.remove(&id);
                queue.found(now, id)
            }
            _ => {
                let (id, actions) =
                    queue.enter(now, queued(Kind(*priority, 0.0, 100, 900), *index, now));
                waiting.insert(id, *priority);
                actions
            }
        };
        for action in actions {
            if let QueueAction::Refuse(id, refusal) = action {
                prop_assert!(refusal.ahead >= SEARCHERS);
                prop_assert!(waiting.remove(&id).is_some(), "refused twice");
            }
        }
        prop_assert_eq!(queue.len(), waiting.len());
        let looks = |id: &EntryId| queue.search_rank(*id).is_some();
        let (looking, others): (Vec<_>, Vec<_>) = waiting.iter().partition(|(id, _)| looks(id));
        prop_assert_eq!(looking.len(), waiting.len().min(SEARCHERS));
        let last = looking.iter().map(|(_, priority)| **priority).max();
        prop_assert!(others.iter().all(|(_, priority)| Some(**priority) >= last));
        let first = waiting.values().min().copied();
        prop_assert_eq!(
            queue.may_search_at_once(1.into()),
            first.is_none_or(|first| first > 1)
        );
    }
    Ok(())
}

proptest! {
    #[test]
    fn only_the_first_requests_look(
        operations in proptest::collection::vec((0_u8..4, 0_u32..3, 0_usize..9), 1..300)
    ) {
        check_order(&operations)?;
    }
}

/// Load: a third of the work is more urgent, as with `delivery-release` on `cue-render`.
#[test]
fn slots_are_kept_free_only_while_the_service_is_crowded() {
    let (mut urgent, now) = (UrgentShare::default(), Instant::now());
    let (low, high) = (Priority::from(2), Priority::from(0));
    urgent.observe(now, low, ms(600));
    assert_eq!(urgent.kept_free(low, 6, 0.9), 0, "no more urgent demand");
    urgent.observe(now, high, ms(300));
    let kept = |priority, slots, load| urgent.kept_free(priority, slots, load);
    assert_eq!(
        (kept(low, 6, 0.79), kept(low, 6, 0.8), kept(high, 6, 0.9)),
        (0, 2, 0)
    );
    assert_eq!(
        (kept(low, 1, 1.0), kept(low, 2, 1.0), kept(low, 4, 1.0)),
        (0, 1, 1)
    );
    urgent.observe(now, high, ms(9_000));
    assert_eq!(
        urgent.kept_free(low, 6, 1.0),
        3,
        "at most half of the slots"
    );
    urgent.observe(now + ms(60_000), low, ms(600));
    assert_eq!(urgent.kept_free(low, 6, 1.0), 0, "the demand has ended");
}

/// Load: one organisation that gets most of a service, while another one is refused.
#[test]
fn an_organisation_above_its_share_leaves_a_slot_free() {
    let (mut fair, now) = (FairShare::default(), Instant::now());
    let [hot, small] = [0, 1].map(organisation);
    let kept = |fair: &FairShare, owner: &OrganisationId, slots: u32, load: f64| {
        fair.kept_free(Priority::from(1), Some(owner), slots, load)
    };
    for _ in 0..9 {
        fair.wanted(now, &queued(CUE_READ, 0, now));
        fair.given(now, &queued(CUE_READ, 0, now));
    }
    assert_eq!(kept(&fair, &hot, 6, 1.0), 0, "all get what they want");
    fair.wanted(now, &queued(CUE_READ, 1, now));
    assert_eq!(kept(&fair, &hot, 6, 1.0), 1);
    assert_eq!(kept(&fair, &hot, 6, 0.7), 0, "not crowded");
    assert_eq!(kept(&fair, &hot, 1, 1.0), 0, "the only slot");
    assert_eq!(kept(&fair, &small, 6, 1.0), 0);
    fair.given(now, &queued(CUE_READ, 1, now));
    assert_eq!(kept(&fair, &hot, 6, 1.0), 0, "all have got what they want");
}

/// Load: many callers that are refused at once. They must not return at once, nor after their deadlines.
#[test]
fn refused_callers_return_one_after_the_other() {
    let (mut returns, now) = (ReturnTimes::default(), Instant::now());
    let times: Vec<_> = (0..100)
        .map(|_| returns.next(now, ms(1_000), ms(100)))
        .collect();
    let expected = |index: u64| ms(1_000 + index % 31 * 100);
    assert!(
        times
            .iter()
            .zip(0..)
            .all(|(time, index)| *time == expected(index)),
        "{times:?}"
    );
}
