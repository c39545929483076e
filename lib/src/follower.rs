//! Keeps the replicated state up to date from the log and from peers.

use std::time::Instant;

use crate::error::Error;
use crate::follower_message::FollowerAction;
use crate::follower_message::FollowerEvent;
use crate::follower_message::FollowerSettings;
use crate::key_history::Handover;
use crate::log_page::LogPage;
use crate::log_page::LogRecord;
use crate::offset::Offset;
use crate::peer_offsets::PeerOffsets;
use crate::recent_records::RecentRecords;
use crate::record::Body;
use crate::record::Record;
use crate::replicated_state::ApplyOutcome;
use crate::replicated_state::ReplicatedState;
use crate::result_code::ResultCode;
use crate::roster::Roster;
use crate::snapshot::Snapshot;
use crate::snapshot_schedule::SnapshotSchedule;
use crate::snapshot_search::SearchProgress;
use crate::snapshot_search::SnapshotSearch;
use crate::vm_id::VmId;

/// Holds the replicated state and decides from which source it is updated.
///
/// The state only ever advances to higher offsets, whatever the log or a peer answers. The log is
/// the preferred source; peers are asked if the log does not answer or no longer retains the
/// records.
#[derive(Clone, Debug)]
pub struct Follower {
    settings: FollowerSettings,
    state: ReplicatedState,
    /// Whether the state was built from the beginning of the log or from a snapshot. Before that it
    /// is empty and must not be used.
    loaded: bool,
    ready: bool,
    search: Option<SnapshotSearch>,
    /// Whether a search for a snapshot has ended. A log without a snapshot is then applied from its
    /// beginning.
    searched: bool,
    /// Whether records that are still to be applied have expired from the log.
    gap: bool,
    /// The oldest offset that the log is known to retain.
    first: Offset,
    started: Instant,
    /// When the read in flight was issued.
    reading: Option<Instant>,
    /// The earliest time of the next read.
    next_read: Instant,
    /// The maximum number of records of the next read. Failures halve it, because the records may
    /// be too large to arrive before the timeout; successes double it again.
    page_size: u32,
    /// When the log last answered.
    answered_at: Option<Instant>,
    /// When the last read was issued after which the state was complete.
    caught_up: Option<Instant>,
    /// The peer that was asked last and has not answered, and when it was asked.
    fetching: Option<(VmId, Instant)>,
    offsets: PeerOffsets,
    recent: RecentRecords,
    schedule: SnapshotSchedule,
}

impl Follower {
    /// Returns a follower that has applied no records and is not ready.
    pub fn new(now: Instant, settings: FollowerSettings) -> Self {
        let schedule = SnapshotSchedule::new(
            now,
            settings.snapshot_every,
            settings.snapshot_age,
            settings.rank_delay,
        );
        let recent = RecentRecords::new(settings.recent_records, settings.recent_bytes);
        Self {
            page_size: settings.page_size,
            settings,
            state: ReplicatedState::default(),
            loaded: false,
            ready: false,
            search: None,
            searched: false,
            gap: false,
            first: Offset(0),
            started: now,
            reading: None,
            next_read: now,
            answered_at: None,
            caught_up: None,
            fetching: None,
            offsets: PeerOffsets::default(),
            recent,
            schedule,
        }
    }

    /// Returns the replicated state, which must not be used before the follower is ready.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Returns whether the VM may serve.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns when the last read was issued after which every record on the log had been applied.
    pub fn caught_up_at(&self) -> Option<Instant> {
        self.caught_up
    }

    /// Returns the applied offset to report to peers; `None` while there is no state to offer them.
    pub fn applied_offset(&self) -> Option<Offset> {
        self.loaded.then(|| self.state.applied())
    }

    /// Answers a peer's `snapshot` call; `None` while there is no state to offer.
    pub fn snapshot(&self) -> Option<Vec<Record>> {
        self.loaded.then(|| Snapshot::encode(&self.state))
    }

    /// Answers a peer's `records_since` call from the most recently applied records; `first` of the
    /// page is the oldest one that is kept.
    pub fn records_since(&self, from: Offset) -> LogPage {
        let max = self.settings.page_size as usize;
        self.recent.page(from, self.state.applied(), max)
    }

    /// Processes an event and pushes the resulting actions to `actions`. A `Tick` every 100 ms is
    /// enough, because reads that should follow at once are requested while the event before is
    /// processed.
    pub fn handle(
        &mut self,
        now: Instant,
        event: FollowerEvent,
        actions: &mut Vec<FollowerAction>,
    ) {
        match event {
            FollowerEvent::Tick => {}
            FollowerEvent::Page { from, issued, page } => {
                self.handle_page(now, from, issued, page, actions);
            }
            FollowerEvent::Expired { first } => self.expired(now, first),
            FollowerEvent::ReadFailed => self.read_failed(now),
            FollowerEvent::PeerOffset { vm, applied } => self.offsets.set(vm, applied),
            FollowerEvent::PeerRecords { vm, page } => self.peer_records(now, vm, page, actions),
            FollowerEvent::PeerSnapshot { vm, records } => {
                self.peer_snapshot(now, &vm, &records, actions);
            }
            FollowerEvent::PeerFailed { vm } => self.peer_failed(&vm),
        }
        self.read_if_due(now, actions);
        self.ask_peer(now, actions);
        self.become_ready(now, actions);
        self.append_snapshot(now, actions);
    }

    fn read_if_due(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        let timeout = self.settings.timeout;
        if self.reading.is_some_and(|issued| now >= issued + timeout) {
            self.read_failed(now);
        }
        if self.reading.is_some() || now < self.next_read {
            return;
        }
        self.reading = Some(now);
        self.next_read = now + self.settings.poll_interval;
        let (from, max) = match &self.search {
            Some(search) => (search.at(), search.limit(self.page_size)),
            None => (self.state.applied(), self.page_size),
        };
        actions.push(FollowerAction::Read { from, max });
    }

    fn read_failed(&mut self, now: Instant) {
        self.reading = None;
        self.page_size = (self.page_size / 2).max(1);
        self.next_read = self.next_read.max(now + self.settings.poll_interval);
    }

    fn handle_page(
        &mut self,
        now: Instant,
        from: Offset,
        issued: Instant,
        page: LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        self.reading = None;
        if page.first > from {
            self.expired(now, page.first);
            return;
        }
        self.first = self.first.max(page.first);
        self.page_size = (self.page_size * 2).min(self.settings.page_size);
        self.answered_at = Some(now);
        if self.search.is_some() {
            self.search_page(now, from, &page, actions);
            return;
        }
        if page.next < from {
            // The log held all records below `from` when they were applied, so it was replaced or
            // emptied.
            actions.push(FollowerAction::Report(log_truncated(from, page.next)));
            return;
        }
        if from > self.state.applied() {
            return;
        }
        if !self.loaded && !self.searched && page.next.0 > self.span() {
            // Applying a long log from its beginning would delay the start too much.
            self.search = Some(SnapshotSearch::new(page.first, self.span()));
            self.next_read = now;
            return;
        }
        // The log retains every record that is still to be applied. If none has been applied yet,
        // the log is complete from its beginning.
        self.loaded = true;
        self.gap = false;
        let next = page.next;
        let before = self.state.applied();
        if !self.apply(page.records, actions) {
            return;
        }
        if self.state.applied() >= next {
            self.caught_up = self.caught_up.max(Some(issued));
            actions.push(FollowerAction::CaughtUp { issued });
        } else if self.state.applied() > before {
            // Read on at once, but only after progress, so that a faulty log is not read in a busy
            // loop.
            self.next_read = now;
        }
    }

    /// Applies records in order; returns false if one is missing among them.
    fn apply(&mut self, records: Vec<LogRecord>, actions: &mut Vec<FollowerAction>) -> bool {
        let before = self.state.applied();
        let fingerprint = self.fingerprint();
        let mut complete = true;
        for record in records {
            let members = self.state.roster().members.len();
            let applied = self.state.apply_text(record.offset, &record.data);
            // A record adds or removes at most one member, so the count reveals every change.
            if self.state.roster().members.len() != members {
                actions.push(roster_changed(self.state.roster(), &record.data));
            }
            match applied {
                ApplyOutcome::Gap { expected } => {
                    actions.push(FollowerAction::Report(missing_record(
                        expected,
                        record.offset,
                    )));
                    complete = false;
                    break;
                }
                ApplyOutcome::Duplicate if record.offset.next() != self.state.applied() => {}
                ApplyOutcome::Applied | ApplyOutcome::Duplicate | ApplyOutcome::Rejected { .. } => {
                    self.recent.push(record);
                }
            }
        }
        if self.state.applied() > before {
            self.push_advanced(&fingerprint, actions);
        }
        complete
    }

    fn fingerprint(&self) -> (u64, Vec<Offset>) {
        let roster = self.state.roster().members.values();
        (
            self.state.confirms(),
            roster.map(|member| member.joined).collect(),
        )
    }

    fn push_advanced(&mut self, before: &(u64, Vec<Offset>), actions: &mut Vec<FollowerAction>) {
        let after = self.fingerprint();
        actions.push(FollowerAction::Advanced {
            config: before.0 != after.0,
            roster: before.1 != after.1,
        });
    }

    fn expired(&mut self, now: Instant, first: Offset) {
        self.reading = None;
        self.answered_at = Some(now);
        self.first = self.first.max(first);
        if self.search.is_none() && first <= self.state.applied() {
            return;
        }
        self.gap = true;
        // This restarts a search whose next records have expired.
        self.search = Some(SnapshotSearch::new(first, self.span()));
        self.next_read = now;
    }

    /// Returns the number of records at the end of the log in which a snapshot is searched first: a
    /// little more than the interval between two snapshots.
    fn span(&self) -> u64 {
        self.settings.snapshot_every + self.settings.snapshot_every / 4
    }

    fn search_page(
        &mut self,
        now: Instant,
        from: Offset,
        page: &LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        let search = self.search.as_mut().filter(|search| search.at() == from);
        let Some(search) = search else {
            return;
        };
        self.next_read = now;
        let SearchProgress::Finished { state, error } = search.page(page) else {
            return;
        };
        self.search = None;
        self.searched = true;
        actions.extend(error.map(FollowerAction::Report));
        let installed = state.is_some_and(|state| self.install(*state, actions));
        let from_start = !self.loaded && self.first == Offset(0);
        if !installed && !from_start {
            actions.push(FollowerAction::Report(no_snapshot(
                self.state.applied(),
                self.first,
            )));
            self.next_read = now + self.settings.rescan_delay;
        }
    }

    /// Installs the state of a snapshot if it is newer than the present one; returns whether it is.
    fn install(&mut self, state: ReplicatedState, actions: &mut Vec<FollowerAction>) -> bool {
        let newer = state.applied() > self.state.applied();
        if self.loaded && !newer {
            return false;
        }
        let fingerprint = self.fingerprint();
        self.state = state;
        self.loaded = true;
        self.gap = false;
        self.search = None;
        self.recent.clear();
        actions.push(FollowerAction::SnapshotInstalled);
        self.push_advanced(&fingerprint, actions);
        true
    }

    fn log_answers(&self, now: Instant) -> bool {
        let since = self.answered_at.unwrap_or(self.started);
        now.saturating_duration_since(since) < self.settings.log_timeout
    }

    fn ask_peer(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        let timeout = self.settings.timeout;
        if let Some((vm, asked)) = &self.fetching
            && now >= *asked + timeout
        {
            let vm = vm.clone();
            self.peer_failed(&vm);
        }
        // A VM that has caught up with the log but is not ready knows of a peer that is ahead, and
        // fetches what that peer has.
        let ahead = !self.ready && self.caught_up.is_some();
        let needed = self.gap || ahead || !self.log_answers(now);
        if self.fetching.is_some() || !needed {
            return;
        }
        let Some((vm, applied)) = self.offsets.best() else {
            return;
        };
        if self.loaded && applied <= self.state.applied() {
            return;
        }
        let vm = vm.clone();
        self.fetching = Some((vm.clone(), now));
        actions.push(match self.loaded && !self.gap {
            true => FollowerAction::FetchRecords {
                vm,
                from: self.state.applied(),
            },
            false => FollowerAction::FetchSnapshot { vm },
        });
    }

    fn peer_records(
        &mut self,
        now: Instant,
        vm: VmId,
        page: LogPage,
        actions: &mut Vec<FollowerAction>,
    ) {
        if self
            .fetching
            .as_ref()
            .is_some_and(|(asked, _)| *asked == vm)
        {
            self.fetching = None;
        }
        let before = self.state.applied();
        if self.loaded && page.first <= before {
            self.apply(page.records, actions);
        }
        if self.state.applied() > before {
            return;
        }
        if page.next > before && self.fetching.is_none() {
            // The peer no longer keeps the records that are needed.
            self.fetching = Some((vm.clone(), now));
            actions.push(FollowerAction::FetchSnapshot { vm });
        } else {
            self.offsets.set(vm, page.next);
        }
    }

    fn peer_snapshot(
        &mut self,
        now: Instant,
        vm: &VmId,
        records: &[Record],
        actions: &mut Vec<FollowerAction>,
    ) {
        match Snapshot::decode(records) {
            Ok(state) => {
                let applied = state.applied();
                self.offsets.set(vm.clone(), applied);
                self.fetching = None;
                if self.install(state, actions) {
                    self.next_read = now;
                }
            }
            Err(error) => {
                actions.push(FollowerAction::Report(error));
                self.peer_failed(vm);
            }
        }
    }

    fn peer_failed(&mut self, vm: &VmId) {
        self.offsets.remove(vm);
        if self.fetching.as_ref().is_some_and(|(asked, _)| asked == vm) {
            self.fetching = None;
        }
    }

    fn become_ready(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        if self.ready || !self.loaded || self.gap {
            return;
        }
        let waited = now.saturating_duration_since(self.started) >= self.settings.peer_wait;
        let complete = self.caught_up.is_some() || (waited && !self.log_answers(now));
        if complete && self.offsets.none_ahead_of(self.state.applied()) {
            self.ready = true;
            actions.push(FollowerAction::Ready);
        }
    }

    fn append_snapshot(&mut self, now: Instant, actions: &mut Vec<FollowerAction>) {
        let current = self
            .caught_up
            .is_some_and(|at| now.saturating_duration_since(at) < self.settings.log_timeout);
        let rank = self.settings.vm.as_ref();
        let Some(rank) = rank.and_then(|vm| self.state.roster().rank(vm)) else {
            return;
        };
        if current && self.schedule.check(now, &self.state, self.first, rank) {
            let records = Snapshot::encode(&self.state);
            actions.push(FollowerAction::AppendSnapshot { records });
        }
    }
}

fn log_truncated(from: Offset, next: Offset) -> Error {
    Error::new(
        ResultCode::LogGap,
        format!("the log ends at offset {next}, but its records below {from} were applied"),
        "the last configuration stays in force; check that the log's address is that of this \
         installation",
    )
}

fn missing_record(expected: Offset, found: Offset) -> Error {
    Error::new(
        ResultCode::LogGap,
        format!("the log returned record {found} where record {expected} was expected"),
        "the last configuration stays in force and the read is repeated; if the error \
         persists, check the log service",
    )
}

fn no_snapshot(applied: Offset, first: Offset) -> Error {
    Error::new(
        ResultCode::LogGap,
        format!(
            "the log retains only the records from offset {first} on, but those from {applied} on are \
             needed, and it has no usable snapshot"
        ),
        "keep at least one ready VM running: it serves its configuration to the others and appends \
         a snapshot",
    )
}

fn roster_changed(roster: &Roster, text: &str) -> FollowerAction {
    let handover = match Record::parse(text).map(|record| record.body) {
        Ok(Body::Leave { vm }) => Handover::Left(vm),
        _ => Handover::Lease,
    };
    FollowerAction::RosterChanged {
        roster: roster.clone(),
        handover,
    }
}
