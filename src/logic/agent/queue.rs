use std::collections::BTreeMap;
use std::sync::Arc;

use super::Job;

/// Scale of virtual time, so that shares divide without loss.
const VIRTUAL_UNIT: u64 = 1_000_000;

/// Waiting requests: strict order between priorities, fair shares inside one.
///
/// Fairness is start-time fair queueing: each start moves the account's
/// virtual time on by one unit over its share, and the smallest goes first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JobQueue {
    jobs: Vec<Job>,
    used: BTreeMap<(u8, Arc<str>), u64>,
    floor: BTreeMap<u8, u64>,
}

impl JobQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Waiting requests in order of arrival.
    pub fn jobs(&self) -> &[Job] {
        &self.jobs
    }

    /// Waiting requests, to change them.
    pub fn jobs_mut(&mut self) -> &mut [Job] {
        &mut self.jobs
    }

    /// Number of waiting requests of one priority.
    pub fn count(&self, priority: u8) -> u32 {
        let waiting = self.jobs.iter().filter(|j| j.priority == priority);
        waiting.count() as u32
    }

    /// Appends a request.
    pub fn push(&mut self, job: Job) {
        let floor = self.floor.get(&job.priority).copied().unwrap_or(0);
        let key = (job.priority, job.order.account.clone());
        let used = self.used.entry(key).or_insert(floor);
        *used = (*used).max(floor);
        self.jobs.push(job);
    }

    /// Puts a paused request back in front of its class.
    pub fn push_front(&mut self, job: Job) {
        self.jobs.insert(0, job);
    }

    /// Index of the request to start next: by class and share, or by arrival.
    pub fn next_index(&self, by_class: bool) -> Option<usize> {
        if !by_class {
            return (!self.jobs.is_empty()).then_some(0);
        }
        (0..self.jobs.len()).min_by_key(|i| {
            let job = &self.jobs[*i];
            let key = (job.priority, job.order.account.clone());
            (job.priority, self.used.get(&key).copied().unwrap_or(0), *i)
        })
    }

    /// Takes a request out to start it and charges its account.
    pub fn start(&mut self, index: usize) -> Job {
        let job = self.jobs.remove(index);
        let key = (job.priority, job.order.account.clone());
        let used = self.used.entry(key).or_insert(0);
        self.floor.insert(job.priority, *used);
        *used += VIRTUAL_UNIT / u64::from(job.order.share.max(1));
        job
    }

    /// Takes out every request for which `wanted` holds.
    pub fn take(&mut self, wanted: impl Fn(&Job) -> bool) -> Vec<Job> {
        let (taken, kept) = self.jobs.drain(..).partition(|j| wanted(j));
        self.jobs = kept;
        if self.jobs.is_empty() {
            self.used.clear();
            self.floor.clear();
        }
        taken
    }
}
