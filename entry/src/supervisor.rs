//! Restarts the components of a thread when they fail.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::backoff::Backoff;
use serde::Serialize;

/// Delay before the first restart of a failed component.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two restarts of a component.
const LONGEST_DELAY: Duration = Duration::from_secs(10);
/// A component that ran for at least this long before it failed is restarted with the first delay
/// again.
const HEALTHY_AFTER: Duration = Duration::from_secs(30);

/// The state of one supervised component, as the dump shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct ChildStatus {
    /// Whether the component is running, and not waiting for its restart.
    pub(crate) running: bool,
    /// The number of restarts.
    pub(crate) restarts: u64,
    /// The reason of the last failure.
    pub(crate) failure: Option<Box<str>>,
}

/// Starts the components of one thread and restarts those that fail.
///
/// The failure of a component does not end the thread, and callers continue to be served with the
/// last view that the control thread published.
#[derive(Clone, Debug)]
pub(crate) struct Supervisor {
    thread: &'static str,
    children: Rc<RefCell<BTreeMap<&'static str, ChildStatus>>>,
}

impl Supervisor {
    /// Creates the supervisor of the thread with the given name.
    pub(crate) fn new(thread: &'static str) -> Self {
        Self {
            thread,
            children: Rc::default(),
        }
    }

    /// Runs the component until it returns `Ok`, and restarts it with a growing delay after each
    /// failure.
    pub(crate) fn spawn<F, Fut>(&self, name: &'static str, start: F)
    where
        F: Fn() -> Fut + 'static,
        Fut: Future<Output = eyre::Result<()>> + 'static,
    {
        let supervisor = self.clone();
        ntex::rt::spawn(async move { supervisor.run(name, start).await });
    }

    /// Returns the state of each component by name.
    pub(crate) fn children(&self) -> BTreeMap<&'static str, ChildStatus> {
        self.children.borrow().clone()
    }

    async fn run<F, Fut>(&self, name: &'static str, start: F)
    where
        F: Fn() -> Fut + 'static,
        Fut: Future<Output = eyre::Result<()>> + 'static,
    {
        let mut backoff = Backoff::new(FIRST_DELAY, LONGEST_DELAY);
        loop {
            self.update(name, |child| child.running = true);
            let started = Instant::now();
            // A panic ends only the component's own task and arrives here as a join error.
            let failure = match ntex::rt::spawn(start()).await {
                Ok(Ok(())) => {
                    self.update(name, |child| child.running = false);
                    return;
                }
                Ok(Err(error)) => format!("{error:#}"),
                Err(_) => "panic".to_owned(),
            };
            if started.elapsed() >= HEALTHY_AFTER {
                backoff.succeeded();
            }
            let delay = backoff.failed();
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            log::warn!(thread = self.thread, component = name, delay_ms = millis, reason = failure.as_str(); "component failed; restarting it");
            self.update(name, |child| {
                child.running = false;
                child.restarts += 1;
                child.failure = Some(failure.into());
            });
            ntex::time::sleep(delay).await;
        }
    }

    fn update(&self, name: &'static str, change: impl FnOnce(&mut ChildStatus)) {
        change(self.children.borrow_mut().entry(name).or_default());
    }
}
