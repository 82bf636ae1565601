//! Logs never hold the process up.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use runrail::observe::LogWriter;

/// A reader that has stopped until its gate is opened.
#[derive(Clone, Default)]
struct Stuck {
    gate: Arc<Mutex<()>>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
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
fn a_reader_that_stops_blocks_nobody_and_what_was_left_out_is_counted() {
    let stuck = Stuck::default();
    let shut = stuck.gate.lock().expect("a gate");
    let (mut log, end) = LogWriter::start(stuck.clone()).expect("a thread");
    let since = Instant::now();
    for n in 0..5_000 {
        log.write_all(format!("INFO line {n}\n").as_bytes())
            .expect("taken");
    }
    log.write_all(b"ERROR the last\n").expect("taken");
    assert!(since.elapsed() < Duration::from_secs(5), "it blocked");
    drop(shut);
    end.wait(Duration::from_secs(10));
    let text = String::from_utf8(stuck.text.lock().expect("text").clone()).expect("text");
    assert!(text.contains("log lines left out count="), "it is said");
    assert!(text.contains("ERROR the last"), "failures go last");
    assert!(text.lines().count() < 1_000);
}
