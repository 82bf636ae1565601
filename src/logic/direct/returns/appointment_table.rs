use std::collections::{BTreeMap, BTreeSet};

use super::{PoolKey, RETURN_WINDOW_MS};
use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Largest number of appointments. Beyond it, the one whose time is over longest is evicted; where no
/// time is over, a further one isn't remembered, so that many requests don't evict those to come.
const MAX_APPOINTMENTS: usize = 4_096;

/// Appointments of refused requests by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AppointmentTable {
    appointments: BTreeMap<Fingerprint, (Millis, PoolKey)>,
    by_time: BTreeSet<(Millis, Fingerprint)>,
}

impl AppointmentTable {
    /// Number of appointments.
    pub fn len(&self) -> usize {
        self.appointments.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.appointments.is_empty()
    }

    /// Adds the appointment of a request, in place of an earlier one; false if there is no room.
    pub fn insert(
        &mut self,
        now: Millis,
        request: Fingerprint,
        at: Millis,
        pool: &PoolKey,
    ) -> bool {
        self.remove(&request);
        if self.len() >= MAX_APPOINTMENTS {
            let first = self.by_time.first().copied();
            let Some((_, over)) = first.filter(|(at, _)| is_over(*at, now)) else {
                return false;
            };
            self.remove(&over);
        }
        self.by_time.insert((at, request));
        self.appointments.insert(request, (at, pool.clone()));
        true
    }

    /// Removes the appointment of a request.
    pub fn remove(&mut self, request: &Fingerprint) {
        if let Some((at, _)) = self.appointments.remove(request) {
            self.by_time.remove(&(at, *request));
        }
    }

    /// The time of a request's appointment that is still to come.
    pub fn upcoming(&self, now: Millis, request: &Fingerprint) -> Option<Millis> {
        let (at, _) = self.appointments.get(request)?;
        Some(*at).filter(|at| now < *at)
    }

    /// Handles a request that has come; returns the time of its appointment if it is in time for it.
    /// The appointment is then used up; one that is still to come remains.
    pub fn keep(&mut self, now: Millis, request: &Fingerprint) -> Option<Millis> {
        let (at, _) = self.appointments.get(request)?;
        let at = Some(*at).filter(|at| *at <= now)?;
        self.remove(request);
        (!is_over(at, now)).then_some(at)
    }

    /// Times of a pool's appointments that are still to come, in order.
    pub fn times(&self, now: Millis, pool: &PoolKey) -> Vec<Millis> {
        let upcoming = self.by_time.iter().rev().take_while(|(at, _)| now < *at);
        let is_of_pool = |(_, request): &&(Millis, Fingerprint)| {
            let appointment = self.appointments.get(request);
            appointment.is_some_and(|(_, p)| p == pool)
        };
        let mut times: Vec<_> = upcoming.filter(is_of_pool).map(|(at, _)| *at).collect();
        times.reverse();
        times
    }

    /// Removes the appointments whose time is over.
    pub fn remove_over(&mut self, now: Millis) {
        while let Some((_, request)) = self.by_time.first().filter(|(at, _)| is_over(*at, now)) {
            let request = *request;
            self.remove(&request);
        }
    }
}

/// Whether a request that comes now is too late for an appointment.
fn is_over(at: Millis, now: Millis) -> bool {
    at + RETURN_WINDOW_MS < now
}
