//! Writing logs never blocks the process.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use runrail::observe::LogWriter;

/// A log destination that blocks until its gate is released.
#[derive(Clone, Default)]
struct BlockedSink {
    gate: Arc<Mutex<()>>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _open = self.gate.lock().expect("a gate");
        self.text.lock().expect("text").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_log_destination_blocks_no_writer_and_dropped_lines_are_counted() {
    let sink = BlockedSink::default();
    let closed_gate = sink.gate.lock().expect("a gate");
    let (mut log, end) = LogWriter::start(sink.clone()).expect("a thread");
    let since = Instant::now();
    for n in 0..5_000 {
        log.write_all(format!("INFO line {n}\n").as_bytes())
            .expect("taken");
    }
    log.write_all(b"ERROR the last\n").expect("taken");
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "writing the log blocked"
    );
    drop(closed_gate);
    end.wait(Duration::from_secs(10));
    let text = String::from_utf8(sink.text.lock().expect("text").clone()).expect("text");
    assert!(
        text.contains("log lines dropped count="),
        "the count of dropped lines is missing"
    );
    assert!(text.contains("ERROR the last"), "an error line was dropped");
    assert!(text.lines().count() < 1_000);
}
