//! The slots of a target and the queue for them.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Why a request did not get a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// The queue is full.
    Shed,
    /// No slot became free in time.
    Deadline,
}

/// A held slot. Dropping it frees the slot.
#[derive(Debug)]
pub struct SlotGuard {
    _permit: OwnedSemaphorePermit,
}

/// Slots granted in order of arrival.
#[derive(Debug)]
pub struct SlotQueue {
    slots: usize,
    free: Arc<Semaphore>,
    queued: AtomicUsize,
    limit: usize,
}

/// A position in the queue. Dropping it decrements the queue length.
struct QueuedGuard<'a>(&'a AtomicUsize);

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SlotQueue {
    /// Builds a queue for `slots` slots that sheds requests once `limit` are waiting.
    pub fn new(slots: usize, limit: usize) -> Self {
        Self {
            slots,
            free: Arc::new(Semaphore::new(slots)),
            queued: AtomicUsize::new(0),
            limit,
        }
    }

    /// Returns how many slots are taken.
    pub fn in_flight(&self) -> usize {
        self.slots.saturating_sub(self.free.available_permits())
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Waits up to `timeout` for a slot; without a timeout, waits indefinitely.
    pub async fn acquire(&self, timeout: Option<Duration>) -> Result<SlotGuard, SlotRefusal> {
        if timeout.is_some_and(|timeout| timeout.is_zero()) {
            return Err(SlotRefusal::Deadline);
        }
        if let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(SlotGuard { _permit: permit });
        }
        if self.queued() >= self.limit {
            return Err(SlotRefusal::Shed);
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        let _queued = QueuedGuard(&self.queued);
        let acquire = Arc::clone(&self.free).acquire_owned();
        let acquired = match timeout {
            Some(timeout) => tokio::time::timeout(timeout, acquire).await.ok(),
            None => Some(acquire.await),
        };
        let permit = acquired.and_then(Result::ok);
        permit
            .map(|permit| SlotGuard { _permit: permit })
            .ok_or(SlotRefusal::Deadline)
    }
}
