//! Writes the log to standard output without blocking requests.

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

/// Capacity of the queue of lines for standard output. Lines that do not fit are counted and left
/// out.
const QUEUE_LINES: usize = 2_048;

/// How long a flush at the end of the process waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Starts the logger. The handle must live as long as the process.
pub fn start(level: LevelFilter) -> eyre::Result<LoggerHandle> {
    let (lines, received) = sync_channel::<Vec<u8>>(QUEUE_LINES);
    let left_out = Arc::new(AtomicU64::new(0));
    let writer_left_out = Arc::clone(&left_out);
    let queued = Arc::new(AtomicU64::new(0));
    let writer_queued = Arc::clone(&queued);
    let writer = thread::Builder::new().name("log".to_owned());
    writer
        .spawn(move || {
            let mut out = io::stdout();
            while let Ok(line) = received.recv() {
                let written = out.write_all(&line).and_then(|()| out.flush());
                if written.is_err() {
                    writer_left_out.fetch_add(1, Ordering::Relaxed);
                }
                writer_queued.fetch_sub(1, Ordering::Release);
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
            left_out,
            queued,
        }))
        .start()
        .wrap_err("cannot start the logger")
}

/// Log writer that puts lines into a bounded queue.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    /// Lines left out since the last line that was queued.
    left_out: Arc<AtomicU64>,
    /// Queued lines that are not written yet.
    queued: Arc<AtomicU64>,
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut line = Vec::with_capacity(512);
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            writeln!(
                line,
                "{{\"text\":\"log lines left out\",\"count\":{left_out}}}"
            )?;
        }
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        self.queued.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.left_out.fetch_add(left_out + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the queued lines are written, for [`FLUSH_TIMEOUT`] at most.
    fn flush(&self) -> io::Result<()> {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while self.queued.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}
