use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::call::{call, Answer};
use super::{Router, Standin};
use crate::soak::Received;

/// A caller that sends requests to routers in turn, and knows which router each was sent to.
pub struct Caller {
    begin: Instant,
    /// Index of the router, and times of sending and of the answer in milliseconds, by attempt id.
    sent: HashMap<String, (usize, u64, u64)>,
}

impl Caller {
    /// A caller that has sent nothing.
    pub fn new() -> Self {
        Self {
            begin: Instant::now(),
            sent: HashMap::new(),
        }
    }

    /// Sends requests to the routers in turn for some time, with a pause after each; returns the
    /// answers.
    pub fn send_for(
        &mut self,
        time: Duration,
        pause: Duration,
        routers: &[Router],
        path: &str,
    ) -> Vec<Option<Answer>> {
        let end = Instant::now() + time;
        let mut answers = Vec::new();
        while Instant::now() < end {
            let n = self.sent.len();
            let (at, attempt) = (n % routers.len(), format!("attempt-{n}"));
            let sent_ms = self.now_ms();
            answers.push(call(routers[at].callers, "GET", path, &attempt));
            self.sent.insert(attempt, (at, sent_ms, self.now_ms()));
            std::thread::sleep(pause);
        }
        answers
    }

    fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    /// The requests of this caller that reached an endpoint.
    pub fn received(&self, standin: &Standin, id: &str) -> Vec<Received> {
        let world = standin.world();
        let received = world.requests(id).iter().filter_map(|arrival| {
            let (router, sent_ms, done_ms) = *self.sent.get(&arrival.attempt)?;
            Some(Received {
                endpoint: id.to_string(),
                life: arrival.life,
                router,
                sent_ms,
                done_ms,
                at_ms: arrival.at.duration_since(self.begin).as_millis() as u64,
                hold_off_ms: arrival.hold_off.map(|time| time.as_millis() as u64),
                leaving: arrival.leaving,
            })
        });
        received.collect()
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}
