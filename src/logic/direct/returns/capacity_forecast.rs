use std::collections::BTreeMap;

use crate::types::Millis;

/// Resolution of appointments.
const STEP_MS: Millis = 10;

/// Parts of one request: thousandths of a request a second, times milliseconds.
const REQUEST: i64 = 1_000_000;

/// What an appointment takes of the forecast: its own request, and a fresh one that comes in the
/// meantime. Without the latter, callers return into the shortage that they were refused in.
const APPOINTMENT: i64 = 2 * REQUEST;

/// Rate at which a pool is expected to take requests, over time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct CapacityForecast {
    /// Changes of the rate by time, in thousandths of a request a second.
    changes: BTreeMap<Millis, i64>,
}

impl CapacityForecast {
    /// Adds a rate from a time on, in thousandths of a request a second.
    pub fn add(&mut self, from: Millis, rate: u64) {
        *self.changes.entry(from).or_default() += as_signed(rate);
    }

    /// Adds a rate from a time on, until another time.
    pub fn add_until(&mut self, from: Millis, until: Millis, rate: u64) {
        if from < until {
            self.add(from, rate);
            *self.changes.entry(until).or_default() -= as_signed(rate);
        }
    }

    /// Rate at a time, in thousandths of a request a second.
    pub fn rate_at(&self, time: Millis) -> u64 {
        let rate: i64 = self.changes.range(..=time).map(|(_, change)| change).sum();
        rate.max(0).unsigned_abs()
    }

    /// The first time from `now` on at which the rate isn't 0; none if that doesn't come.
    pub fn first_capacity(&self, now: Millis) -> Option<Millis> {
        let later = self.changes.range(now + 1..).map(|(at, _)| *at);
        let mut times = std::iter::once(now).chain(later);
        times.find(|time| self.rate_at(*time) > 0)
    }

    /// The earliest free slot from `now` to `latest`, where `waiting` requests go first and `taken`
    /// are the sorted times of the slots that others have. It is at a time from which on what is due
    /// never exceeds what the pool can have taken by then.
    pub fn earliest_free(
        &self,
        now: Millis,
        latest: Millis,
        waiting: u64,
        taken: &[Millis],
    ) -> Option<Millis> {
        let last = taken.last().copied().unwrap_or(0).max(latest);
        let free = self.free_by_step(now, last, waiting, taken);
        let full = free.iter().rposition(|free| *free < APPOINTMENT);
        let first = full.map_or(0, |n| n + 1) as Millis;
        let time = now + first * STEP_MS;
        (time <= latest && time <= last).then_some(time)
    }

    /// What is free by each step from `now` to `last`, in parts of a request.
    fn free_by_step(&self, now: Millis, last: Millis, waiting: u64, taken: &[Millis]) -> Vec<i64> {
        let mut changes = self.changes.range(now + 1..).peekable();
        let mut taken = taken.iter().copied().peekable();
        let mut rate: i64 = self.changes.range(..=now).map(|(_, change)| change).sum();
        let mut free = as_signed(waiting).saturating_mul(-REQUEST);
        let mut steps = Vec::new();
        let mut time = now;
        loop {
            while taken.next_if(|at| *at <= time).is_some() {
                free -= APPOINTMENT;
            }
            steps.push(free);
            if time >= last {
                return steps;
            }
            time += STEP_MS;
            free += rate * as_signed(STEP_MS);
            while let Some((at, change)) = changes.next_if(|(at, _)| **at <= time) {
                rate += change;
                free += change * as_signed(time - at);
            }
        }
    }
}

fn as_signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
