use std::collections::BTreeMap;
use std::sync::Arc;

use super::decaying::{Decaying, STEP_MS};
use super::AccountUse;
use crate::types::Millis;

/// Most accounts that are kept.
const MAX_ACCOUNTS: usize = 1_024;

/// Most accounts in one message to another router.
pub const MAX_REPORTED: usize = 12;

/// Age from which the use at other routers no longer counts.
pub const REPORT_VALID_MS: Millis = 2_000;

/// What client accounts have used: the cost of their requests that were sent, in microseconds of
/// engine time, with a half-life of 2 s.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UsageTable {
    /// Use through this router.
    own: BTreeMap<Arc<str>, Decaying>,
    /// Use of the largest accounts through other routers.
    others: BTreeMap<Arc<str>, Decaying>,
    /// When the use through other routers was last reported.
    others_at: Option<Millis>,
}

impl UsageTable {
    /// Charges an account. If the table is full, the account with the least use is evicted for a
    /// new one; returns whether that happened.
    pub fn charge(&mut self, now: Millis, account: &Arc<str>, cost: u64) -> bool {
        let step = now / STEP_MS;
        if let Some(used) = self.own.get_mut(account) {
            let value = used.at(step).saturating_add(cost);
            *used = Decaying { value, step };
            return false;
        }
        let is_full = self.own.len() >= MAX_ACCOUNTS;
        if is_full {
            let least = self.own.iter().min_by_key(|(_, used)| used.at(step));
            if let Some(least) = least.map(|(account, _)| account.clone()) {
                self.own.remove(&least);
            }
        }
        self.own
            .insert(account.clone(), Decaying { value: cost, step });
        is_full
    }

    /// Use of an account through all routers, as far as it is known.
    pub fn of(&self, now: Millis, account: &str) -> u64 {
        let step = now / STEP_MS;
        let used = |table: &BTreeMap<_, Decaying>| table.get(account).map_or(0, |u| u.at(step));
        let is_fresh = self.others_at.is_some_and(|at| now < at + REPORT_VALID_MS);
        let others = if is_fresh { used(&self.others) } else { 0 };
        used(&self.own).saturating_add(others)
    }

    /// Use of all accounts through this router.
    pub fn own(&self, now: Millis) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let step = now / STEP_MS;
        self.own.iter().map(move |(a, used)| (a, used.at(step)))
    }

    /// Handles the use of the largest accounts through all routers, this one included.
    pub fn on_totals(&mut self, now: Millis, totals: &[AccountUse]) {
        let step = now / STEP_MS;
        let own = |account: &Arc<str>| self.own.get(account).map_or(0, |u| u.at(step));
        let others = totals.iter().take(MAX_REPORTED).map(|total| {
            let value = total.used.saturating_sub(own(&total.account));
            (total.account.clone(), Decaying { value, step })
        });
        self.others = others.collect();
        self.others_at = Some(now);
    }

    /// Forgets accounts whose use has decayed to nothing.
    pub fn on_tick(&mut self, now: Millis) {
        let step = now / STEP_MS;
        self.own.retain(|_, used| used.at(step) > 0);
    }

    /// Number of accounts that are kept.
    pub fn len(&self) -> usize {
        self.own.len()
    }

    /// Whether no account is kept.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty()
    }
}

/// Adds up reports of accounts' use and returns the largest accounts, the largest first.
pub fn largest_accounts<'a>(reports: impl Iterator<Item = (&'a Arc<str>, u64)>) -> Vec<AccountUse> {
    let mut sums: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
    for (account, used) in reports.filter(|(_, used)| *used > 0) {
        let sum = sums.entry(account).or_default();
        *sum = sum.saturating_add(used);
    }
    let account_use = |(account, used): (&Arc<str>, u64)| AccountUse {
        account: account.clone(),
        used,
    };
    let mut largest: Vec<AccountUse> = sums.into_iter().map(account_use).collect();
    largest.sort_by(|a, b| b.used.cmp(&a.used).then_with(|| a.account.cmp(&b.account)));
    largest.truncate(MAX_REPORTED);
    largest
}
