use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::{agents, head, CallPurpose, Keys, RouterState, StoreCall, StoreChange, StoreEntry};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Approval, Bundle, DomainRecord, GroupId, GroupRecord, Head, Millis};

/// A value of the key-value service with the revision of its last change.
type Versioned<T> = (T, i64);

/// A router's copy of what the key-value service holds below `fleet/`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fleet {
    /// Whether a complete read has been applied since the last one was requested.
    pub is_read: bool,
    /// Domain records by name.
    pub domains: BTreeMap<Arc<str>, Versioned<DomainRecord>>,
    /// Bundles by number.
    pub bundles: BTreeMap<u64, Versioned<Arc<Bundle>>>,
    /// Approvals by number.
    pub approvals: BTreeMap<u64, Versioned<Approval>>,
}

impl Fleet {
    /// A group's record.
    pub fn find_group(&self, id: &GroupId) -> Option<&GroupRecord> {
        self.domains.get(&id.domain)?.0.group(id)
    }

    /// Every group's record.
    pub fn groups(&self) -> impl Iterator<Item = &GroupRecord> {
        self.domains.values().flat_map(|(record, _)| &record.groups)
    }

    /// Data hall of a domain.
    pub fn hall_of(&self, domain: &Arc<str>) -> Option<&Arc<str>> {
        self.domains.get(domain).map(|(record, _)| &record.hall)
    }
}

/// Starts to read everything again, unless such a read is in flight.
pub(super) fn start_read(state: &mut RouterState, out: &mut Vec<Effect>) {
    state.fleet.is_read = false;
    if state.has_call(|p| *p == CallPurpose::ReadFleet) {
        return;
    }
    let op = StoreCall::Read {
        key: Keys::FLEET.to_string(),
        prefix: true,
    };
    state.call_store(CallPurpose::ReadFleet, op, out);
}

/// Applies a complete read and starts the watch from the revision after it.
///
/// Domains that are known but weren't read count as deleted.
pub(super) fn on_read(
    state: &mut RouterState,
    now: Millis,
    revision: i64,
    entries: Vec<StoreEntry>,
    out: &mut Vec<Effect>,
) {
    state.fleet.is_read = true;
    let read_keys: Vec<_> = entries.iter().map(|e| e.key.clone()).collect();
    let gone: Vec<_> = state
        .fleet
        .domains
        .keys()
        .map(|d| Keys::domain(d))
        .filter(|k| !read_keys.contains(k))
        .collect();
    let mut changes: Vec<_> = gone
        .into_iter()
        .map(|key| StoreChange {
            key,
            value: None,
            revision,
        })
        .collect();
    changes.extend(entries.into_iter().map(StoreChange::from));
    on_changes(state, now, changes, out);
    out.push(Effect::Watch { from: revision + 1 });
}

/// Applies changes in order, the head last, so that its bundle is known.
pub(super) fn on_changes(
    state: &mut RouterState,
    now: Millis,
    changes: Vec<StoreChange>,
    out: &mut Vec<Effect>,
) {
    let mut heads = Vec::new();
    for change in changes {
        if change.key == Keys::HEAD {
            heads.push(change);
        } else {
            on_change(state, now, change, out);
        }
    }
    for change in heads {
        if let Some(newest) = change.value.as_deref().and_then(parse::<Head>) {
            head::on_head(state, now, newest, change.revision, out);
        }
    }
}

fn on_change(state: &mut RouterState, now: Millis, change: StoreChange, out: &mut Vec<Effect>) {
    let StoreChange {
        key,
        value,
        revision,
    } = change;
    if let Some(domain) = key.strip_prefix(Keys::DOMAINS) {
        let record = value.as_deref().and_then(parse::<DomainRecord>);
        on_domain_change(state, now, domain, record, revision, out);
    } else if key.starts_with(Keys::BUNDLES) {
        if let Some(bundle) = value.as_deref().and_then(parse::<Bundle>) {
            let number = bundle.number;
            state
                .fleet
                .bundles
                .insert(number, (Arc::new(bundle), revision));
        }
    } else if key.starts_with(Keys::APPROVALS) {
        if let Some(approval) = value.as_deref().and_then(parse::<Approval>) {
            state
                .fleet
                .approvals
                .insert(approval.number, (approval, revision));
        }
    }
}

fn parse<T: DeserializeOwned>(text: &str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// Applies a changed domain record, unless a newer one is known, and notifies the leaders.
///
/// A record that names an instance twice is logged and not used.
pub(super) fn on_domain_change(
    state: &mut RouterState,
    now: Millis,
    domain: &str,
    record: Option<DomainRecord>,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    let known = state.fleet.domains.get(domain).map(|(_, r)| *r);
    if known.is_some_and(|known| revision < known) {
        return;
    }
    let Some(record) = record else {
        state.fleet.domains.remove(domain);
        return;
    };
    if let Some(instance) = record.shared_instance() {
        let event = LogEvent::new(LogCode::RecordInvalid)
            .with("domain", domain)
            .with("instance", instance);
        out.push(Effect::Log(event));
        return;
    }
    let name = record.domain.clone();
    state.fleet.domains.insert(name.clone(), (record, revision));
    agents::schedule_dial(state, now);
    agents::notify_leaders(state, &name, out);
}
