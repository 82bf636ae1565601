use std::collections::BTreeMap;

use super::{PoolKey, RETURN_WINDOW_MS};
use crate::logic::direct::Fingerprint;
use crate::types::Millis;

/// Largest number of appointments. Beyond it, the one whose time is over longest is evicted; where no
/// time is over, a further one isn't remembered, so that many requests don't evict those to come.
const MAX_APPOINTMENTS: usize = 4_096;

/// Appointments of refused requests by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AppointmentTable {
    times: BTreeMap<Fingerprint, Millis>,
    pools: BTreeMap<(Millis, Fingerprint), PoolKey>,
    /// Requests that kept an appointment and were refused again, with their deadlines.
    spent: BTreeMap<Fingerprint, Millis>,
}

impl AppointmentTable {
    /// Number of appointments.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
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
            let Some(over) = self.longest_over(now) else {
                return false;
            };
            self.remove(&over);
        }
        self.pools.insert((at, request), pool.clone());
        self.times.insert(request, at);
        true
    }

    /// Removes the appointment of a request.
    pub fn remove(&mut self, request: &Fingerprint) {
        if let Some(at) = self.times.remove(request) {
            self.pools.remove(&(at, *request));
        }
    }

    /// The time of a request's appointment that is still to come.
    pub fn upcoming(&self, now: Millis, request: &Fingerprint) -> Option<Millis> {
        self.times.get(request).copied().filter(|at| now < *at)
    }

    /// Handles a request that has come; returns the time of its appointment if it is in time for it.
    /// The appointment is then used up; one that is still to come remains.
    pub fn keep(&mut self, now: Millis, request: &Fingerprint) -> Option<Millis> {
        let at = self.times.get(request).copied().filter(|at| *at <= now)?;
        self.remove(request);
        (!is_over(at, now)).then_some(at)
    }

    /// Records a request that has kept its appointment and was refused again, so that it gets no other
    /// one before its deadline.
    pub fn record_spent(&mut self, request: Fingerprint, deadline: Millis) {
        if self.spent.len() < MAX_APPOINTMENTS {
            self.spent.insert(request, deadline);
        }
    }

    /// Whether a request has kept an appointment and was refused again.
    pub fn is_spent(&self, now: Millis, request: &Fingerprint) -> bool {
        let deadline = self.spent.get(request);
        deadline.is_some_and(|deadline| now < *deadline)
    }

    /// Forgets what is known of a request, which was sent to an endpoint.
    pub fn forget(&mut self, request: &Fingerprint) {
        self.remove(request);
        self.spent.remove(request);
    }

    /// Times of a pool's appointments that are still to come, in order.
    pub fn times(&self, now: Millis, pool: &PoolKey) -> Vec<Millis> {
        let upcoming = self.pools.range((now + 1, Fingerprint::default())..);
        let of_pool = upcoming.filter(|(_, p)| *p == pool);
        of_pool.map(|((at, _), _)| *at).collect()
    }

    /// Removes the appointments whose time is over, and the records of requests past their deadlines.
    pub fn remove_over(&mut self, now: Millis) {
        while let Some(request) = self.longest_over(now) {
            self.remove(&request);
        }
        self.spent.retain(|_, deadline| now < *deadline);
    }

    /// The request whose appointment is over longest.
    fn longest_over(&self, now: Millis) -> Option<Fingerprint> {
        let ((at, request), _) = self.pools.first_key_value()?;
        is_over(*at, now).then_some(*request)
    }
}

/// Whether a request that comes now is too late for an appointment.
fn is_over(at: Millis, now: Millis) -> bool {
    at + RETURN_WINDOW_MS < now
}
