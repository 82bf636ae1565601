use super::Verdict;
use crate::types::Millis;

/// A caller that is refused within its objective divided by this has a full second attempt.
const EARLY_DIVISOR: Millis = 4;

/// Part of the objective that any request may wait, whatever the forecast: its objective divided by
/// this. Where the forecast alone exceeds an objective, no admission makes its requests timely, and
/// these would get nothing.
const MIN_SLACK_DIVISOR: Millis = 6;

/// Forecast that a request with this objective is judged by; most of the objective if there is none.
pub fn usable_forecast(forecast: Option<Millis>, target: Millis) -> Millis {
    let max = target - target / MIN_SLACK_DIVISOR;
    forecast.map_or(max, |forecast| forecast.min(max))
}

/// A request that found no room, as far as the decision about it depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitingCase {
    /// Time since its arrival.
    pub waited: Millis,
    /// Its objective: time from arrival to the first event.
    pub target: Millis,
    /// Forecast time from sending to the first event.
    pub forecast: Millis,
    /// Time until it is sent by its place in the order; none if nothing is being sent.
    pub send_delay: Option<Millis>,
    /// Whether other requests of its pool became late or were refused within the last second.
    pub contended: bool,
}

impl WaitingCase {
    /// Whether it can't begin within its objective even if it is sent now.
    pub fn is_late(&self) -> bool {
        self.waited + self.forecast > self.target
    }

    /// Decides whether it waits. Where there is contention, it is refused as soon as it is known
    /// that it can't begin in time. After a quarter of its objective a refusal is no longer early,
    /// and it waits as long as it can still be sent in time.
    pub fn verdict(&self) -> Verdict {
        let is_early = self.waited <= self.target / EARLY_DIVISOR;
        let begins = |delay: Millis| self.waited + delay + self.forecast;
        let fits = self.send_delay.is_some_and(|d| begins(d) <= self.target);
        if self.contended && (self.is_late() || (is_early && !fits)) {
            Verdict::Refuse
        } else {
            Verdict::Wait
        }
    }
}
