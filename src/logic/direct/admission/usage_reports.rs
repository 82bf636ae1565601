//! Use of the largest accounts, exchanged between routers.
//!
//! Each router reports the largest accounts of its subtree to its parent in the tree, with its
//! demand; the planner sends the largest of all with its digests. What a report doesn't name counts
//! with what a router knows by itself.

use std::net::SocketAddr;

use super::usage_table::{largest_accounts, MAX_REPORTED, REPORT_VALID_MS};
use super::AccountUse;
use crate::logic::direct::encoded_size::encoded_size;
use crate::logic::direct::{DirectState, FeatureMode, Mechanism};
use crate::types::Millis;

/// Whether admission is switched on for any service.
pub(in crate::logic::direct) fn is_enabled(state: &DirectState) -> bool {
    let params = &state.params;
    params.features.mode(Mechanism::Admission) != FeatureMode::Off
        && params.is_enabled(Mechanism::Admission)
}

/// The largest accounts of the routers in this router's subtree, itself included.
fn subtree_accounts(state: &DirectState, now: Millis) -> Vec<AccountUse> {
    if !is_enabled(state) {
        return Vec::new();
    }
    let reports = state.admission.reports.values();
    let fresh = reports.filter(|(at, _)| now < at + REPORT_VALID_MS);
    let reported = fresh.flat_map(|(_, accounts)| accounts);
    let reported = reported.map(|a| (&a.account, a.used));
    largest_accounts(state.admission.usage.own(now).chain(reported))
}

/// Handles the report of another router about its subtree.
pub(in crate::logic::direct) fn on_report(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    mut accounts: Vec<AccountUse>,
) {
    accounts.truncate(MAX_REPORTED);
    let reports = &mut state.admission.reports;
    reports.retain(|_, (at, _)| now < *at + REPORT_VALID_MS);
    if !accounts.is_empty() {
        reports.insert(from, (now, accounts));
    }
}

/// The planner's report to all routers, of at most so many bytes; it counts for the planner itself
/// as well.
pub(in crate::logic::direct) fn totals_to_send(
    state: &mut DirectState,
    now: Millis,
    max_bytes: usize,
) -> Vec<AccountUse> {
    let mut accounts = subtree_accounts(state, now);
    on_totals(state, now, &accounts);
    keep_within(&mut accounts, max_bytes);
    accounts
}

/// The report to the parent in the tree, of at most so many bytes.
pub(in crate::logic::direct) fn report_to_send(
    state: &DirectState,
    now: Millis,
    max_bytes: usize,
) -> Vec<AccountUse> {
    let mut accounts = subtree_accounts(state, now);
    keep_within(&mut accounts, max_bytes);
    accounts
}

/// Drops accounts that don't fit so many bytes, the ones with the least use first.
fn keep_within(accounts: &mut Vec<AccountUse>, max_bytes: usize) {
    let mut left = max_bytes;
    accounts.retain(|account| {
        let rest = encoded_size(account).and_then(|bytes| left.checked_sub(bytes));
        left = rest.unwrap_or(left);
        rest.is_some()
    });
}

/// Handles the largest accounts of all routers.
pub(in crate::logic::direct) fn on_totals(
    state: &mut DirectState,
    now: Millis,
    accounts: &[AccountUse],
) {
    if !accounts.is_empty() && is_enabled(state) {
        state.admission.usage.on_totals(now, accounts);
    }
}
