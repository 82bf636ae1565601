use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::logic::{Note, NoteCode};

/// Most lines that wait to be written.
const WAITING: u64 = 1_024;

/// Lines that may wait before only warnings and errors are still taken.
const CALM: u64 = WAITING / 2;

/// Writes log lines from a thread of its own, so that a reader that stops never
/// holds the process up.
///
/// Lines wait in a bounded queue. While more than half of it is full only
/// warnings and errors are taken, when it is full nothing is; how many lines
/// were left out is said as soon as there is room. A line begins with its level.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

/// Waits for the last lines at the end of a process.
#[derive(Clone)]
pub struct LogEnd {
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    taken: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// Returns the error of a thread that can't be had.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<(Self, LogEnd)> {
        let (lines, waiting) = sync_channel(WAITING as usize);
        let counts = Arc::new(Counts::default());
        let end = LogEnd {
            counts: counts.clone(),
        };
        let inside = counts.clone();
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &waiting, &inside))?;
        Ok((Self { lines, counts }, end))
    }
}

fn write_all(mut out: impl Write, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    for line in lines {
        let left_out = counts.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            // Where the line itself can't be written, nor can this.
            let note = Note::new(NoteCode::LinesLeftOut).with("count", left_out);
            let _ = writeln!(out, "{} {note}", note.code.level());
        }
        // A reader that has gone wants no more lines.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        counts.written.fetch_add(1, Ordering::Relaxed);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let counts = &self.counts;
        let waiting = counts.taken.load(Ordering::Relaxed) - counts.written.load(Ordering::Relaxed);
        let grave = line.starts_with(b"WARN") || line.starts_with(b"ERROR");
        let taken = (grave || waiting < CALM) && self.lines.try_send(line.to_vec()).is_ok();
        let count = if taken {
            &counts.taken
        } else {
            &counts.left_out
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogEnd {
    /// Waits until every line that was taken is written, at most for `most`.
    pub fn wait(&self, most: Duration) {
        let since = Instant::now();
        let counts = &self.counts;
        let done =
            || counts.written.load(Ordering::Relaxed) >= counts.taken.load(Ordering::Relaxed);
        while !done() && since.elapsed() < most {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
