use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use super::call::call;
use super::Router;

/// Pause of a caller between two streams.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Callers that send streams, one to each router, until this is dropped.
pub struct Streams {
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Streams {
    /// Starts one caller for each router.
    pub fn start(routers: &[Router]) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let callers = routers.iter().map(|router| {
            let (addr, stopped) = (router.callers, stopped.clone());
            std::thread::spawn(move || send_streams(addr, &stopped))
        });
        let callers = callers.collect();
        Self { stopped, callers }
    }
}

fn send_streams(addr: SocketAddr, stopped: &AtomicBool) {
    let mut n = 0;
    while !stopped.load(Ordering::Relaxed) {
        call(addr, "POST", "/stream/x", &format!("stream-{addr}-{n}"));
        n += 1;
        std::thread::sleep(CALL_INTERVAL);
    }
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            // A caller that has panicked sends nothing more either.
            let _ = caller.join();
        }
    }
}
