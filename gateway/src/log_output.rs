//! Writes the log to standard output without ever blocking a request.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use flexi_logger::DeferredNow;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::LevelFilter;
use log::Record;

/// Lines that wait for a reader of standard output. Further lines are counted and left out.
const WAITING_LINES: usize = 2_048;

/// How long the end of the process waits for a reader of the last lines.
const LAST_LINES: Duration = Duration::from_millis(200);
const LAST_LINES_PAUSE: Duration = Duration::from_millis(1);

/// Starts the log. The handle has to live as long as the process.
pub fn start(level: LevelFilter) -> eyre::Result<LoggerHandle> {
    let (lines, received) = sync_channel::<Vec<u8>>(WAITING_LINES);
    let lost = Arc::new(AtomicU64::new(0));
    let reported = Arc::clone(&lost);
    let waiting = Arc::new(AtomicU64::new(0));
    let unwritten = Arc::clone(&waiting);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || {
            let mut out = io::stdout();
            while let Ok(line) = received.recv() {
                let written = out.write_all(&line).and_then(|()| out.flush());
                if written.is_err() {
                    reported.fetch_add(1, Ordering::Relaxed);
                }
                unwritten.fetch_sub(1, Ordering::Release);
            }
        })
        .wrap_err("cannot start the log thread")?;
    let spec = LogSpecification::builder()
        .default(level)
        .module("ntex", LevelFilter::Warn)
        .module("ntex_rt", LevelFilter::Warn)
        .build();
    Logger::with(spec)
        .log_to_writer(Box::new(QueueWriter {
            lines,
            lost,
            waiting,
        }))
        .start()
        .wrap_err("cannot start the logger")
}

/// Puts lines into a bounded queue.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    /// Lines that were left out since the last one that was not.
    lost: Arc<AtomicU64>,
    /// Lines that are not written yet.
    waiting: Arc<AtomicU64>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if lost > 0 {
            writeln!(line, "{{\"text\":\"log lines left out\",\"count\":{lost}}}")?;
        }
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        self.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.lost.fetch_add(lost + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits for a bounded time until the lines so far are written.
    fn flush(&self) -> io::Result<()> {
        let until = Instant::now() + LAST_LINES;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(LAST_LINES_PAUSE);
        }
        Ok(())
    }
}
