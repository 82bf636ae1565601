use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::logic::{LogCode, LogEvent};

/// Maximum number of lines that wait to be written.
const MAX_WAITING: u64 = 1_024;

/// Number of waiting lines at which other lines than warnings and errors are dropped.
const DROP_THRESHOLD: u64 = MAX_WAITING / 2;

/// Writes log lines from a thread of its own, so that a reader of the log that stops reading
/// never blocks the process.
///
/// Lines wait in a bounded queue. While it is half full or more, only warnings and errors are
/// accepted; when it is full, every line is dropped. Before the next line that is written, a
/// log event reports the number of dropped lines. Each line has to begin with its level.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

/// Waits at the end of a process until the last lines are written.
#[derive(Clone)]
pub struct LogEnd {
    counts: Arc<LineCounts>,
}

#[derive(Default)]
struct LineCounts {
    accepted: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// Returns the error where the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, LogEnd)> {
        let (lines, waiting) = sync_channel(MAX_WAITING as usize);
        let counts = Arc::new(LineCounts::default());
        let end = LogEnd {
            counts: counts.clone(),
        };
        let thread_counts = counts.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &waiting, &thread_counts))?;
        Ok((Self { lines, counts }, end))
    }
}

fn write_all(mut out: impl Write, lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    for line in lines {
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            // An error is ignored: the line below can't be written then either.
            let event = LogEvent::new(LogCode::LogLinesDropped).with("count", dropped);
            let _ = writeln!(out, "{} {event}", event.code.level());
        }
        // Errors are ignored: the reader of the log may be gone.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counts.written.fetch_add(1, Ordering::Relaxed);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let counts = &self.counts;
        let waiting =
            counts.accepted.load(Ordering::Relaxed) - counts.written.load(Ordering::Relaxed);
        let is_severe = line.starts_with(b"WARN") || line.starts_with(b"ERROR");
        let accepted =
            (is_severe || waiting < DROP_THRESHOLD) && self.lines.try_send(line.to_vec()).is_ok();
        let count = if accepted {
            &counts.accepted
        } else {
            &counts.dropped
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogEnd {
    /// Waits until all accepted lines are written, at most for `timeout`.
    pub fn wait(&self, timeout: Duration) {
        let since = Instant::now();
        let counts = &self.counts;
        let done =
            || counts.written.load(Ordering::Relaxed) >= counts.accepted.load(Ordering::Relaxed);
        while !done() && since.elapsed() < timeout {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
