use std::collections::BTreeMap;
use std::sync::Arc;

use super::Job;

/// Virtual time that a start costs an account with a share of 1; large, so that dividing it by a
/// share loses little.
const VIRTUAL_UNIT: u64 = 1_000_000;

/// Waiting requests: strictly by priority, and by fair shares of the accounts within one priority.
///
/// This is start-time fair queueing: each start advances the account's virtual time by
/// `VIRTUAL_UNIT` divided by its share, and the account with the smallest virtual time goes first.
/// An account that has been idle starts at the virtual time at which the last request of the
/// priority was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JobQueue {
    jobs: Vec<Job>,
    account_times: BTreeMap<(u8, Arc<str>), u64>,
    priority_times: BTreeMap<u8, u64>,
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

    /// Waiting requests in order of arrival, paused ones first.
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
        let priority_time = self.priority_times.get(&job.priority).copied().unwrap_or(0);
        let key = (job.priority, job.order.account.clone());
        let account_time = self.account_times.entry(key).or_insert(priority_time);
        *account_time = (*account_time).max(priority_time);
        self.jobs.push(job);
    }

    /// Puts a paused request back, at the front of the order of arrival.
    pub fn push_front(&mut self, job: Job) {
        self.jobs.insert(0, job);
    }

    /// Index of the request to start next: by priority and share, or by arrival.
    pub fn next_index(&self, by_class: bool) -> Option<usize> {
        if !by_class {
            return (!self.jobs.is_empty()).then_some(0);
        }
        (0..self.jobs.len()).min_by_key(|i| {
            let job = &self.jobs[*i];
            let key = (job.priority, job.order.account.clone());
            (
                job.priority,
                self.account_times.get(&key).copied().unwrap_or(0),
                *i,
            )
        })
    }

    /// Removes a request to start it, and charges its account.
    pub fn dequeue(&mut self, index: usize) -> Job {
        let job = self.jobs.remove(index);
        let key = (job.priority, job.order.account.clone());
        let account_time = self.account_times.entry(key).or_insert(0);
        self.priority_times.insert(job.priority, *account_time);
        *account_time += VIRTUAL_UNIT / u64::from(job.order.share.max(1));
        job
    }

    /// Removes and returns every request for which `wanted` holds.
    pub fn remove_matching(&mut self, wanted: impl Fn(&Job) -> bool) -> Vec<Job> {
        let (removed, kept) = self.jobs.drain(..).partition(|j| wanted(j));
        self.jobs = kept;
        if self.jobs.is_empty() {
            self.account_times.clear();
            self.priority_times.clear();
        }
        removed
    }
}
