//! Watch of the keys that operators write: the routing, and the data halls that are evacuated.

use std::cell::Cell;
use std::rc::Rc;

use super::operator_keys;
use super::run_direct::log_event;
use super::shared::Shared;
use super::store::PrefixEntries;
use super::watches::{self, ReadFrom, WatchPace};
use super::OperatorKey;
use crate::logic::direct::{DirectEvent, HallChange};
use crate::logic::router::StoreChange;
use crate::logic::LogCode;
use crate::types::StorePosition;

/// Passes the operators' routing and evacuations to the reducer until the process ends. What is
/// invalid is logged and changes nothing.
pub(super) async fn follow(shared: Rc<Shared>, pace: WatchPace) {
    let reader = Reader {
        shared: shared.clone(),
        newest_valid: Cell::new(true),
    };
    watches::follow(
        shared.clone(),
        shared.adapter.operator_prefix,
        pace,
        |read, from| reader.on_entries(read, from),
        |at, changes| reader.on_changes(at, changes),
    )
    .await;
}

struct Reader {
    shared: Rc<Shared>,
    /// Whether the newest routing is valid; if not, the one in force is not the newest.
    newest_valid: Cell<bool>,
}

impl Reader {
    /// Handles all keys. Evacuations come first, so that no request is sent by the first routing
    /// without them.
    fn on_entries(&self, read: PrefixEntries, from: ReadFrom) {
        operator_keys::keep(&self.shared, &read);
        let at = read.position;
        let mut routing = None;
        let mut halls = Vec::new();
        for entry in read.entries {
            match self.parse_key(&entry.key) {
                Some(OperatorKey::Evacuation(hall)) => halls.push(hall),
                Some(OperatorKey::Routing) => routing = Some(entry.value),
                None => {}
            }
        }
        self.shared
            .send_direct(DirectEvent::HallsRead { at, halls });
        if let Some(value) = routing {
            self.apply_routing(&value, from);
        }
    }

    fn on_changes(&self, at: StorePosition, changes: Vec<StoreChange>) {
        operator_keys::keep_changes(&self.shared, at, &changes);
        let mut routing = None;
        let mut halls = Vec::new();
        for change in changes {
            match self.parse_key(&change.key) {
                Some(OperatorKey::Evacuation(hall)) => halls.push(HallChange {
                    hall,
                    revision: change.revision,
                    evacuated: change.value.is_some(),
                }),
                // Of several versions in one answer only the last one counts.
                Some(OperatorKey::Routing) => routing = change.value.or(routing),
                None => {}
            }
        }
        self.shared
            .send_direct(DirectEvent::HallChanges { at, changes: halls });
        if let Some(value) = routing {
            self.apply_routing(&value, ReadFrom::Store);
        }
        if self.newest_valid.get() {
            self.shared.send_direct(DirectEvent::RoutingRead);
        }
    }

    fn apply_routing(&self, value: &str, from: ReadFrom) {
        let routing = (self.shared.adapter.parse_routing)(value);
        self.newest_valid.set(routing.is_ok());
        match routing {
            Ok(routing) => {
                let place = "field of the routing";
                let unknown = &routing.unknown_fields;
                self.shared.unknown.record(place, unknown, "operators");
                self.shared.limits.set(routing.limits);
                let routing = routing.into();
                self.shared.send_direct(match from {
                    ReadFrom::Store => DirectEvent::Routing(routing),
                    ReadFrom::Router => DirectEvent::RoutingRelayed(routing),
                });
            }
            Err(why) => log_event(LogCode::RoutingUnread, &why),
        }
    }

    /// Parses a key; an unknown one is logged the first time.
    fn parse_key(&self, key: &str) -> Option<OperatorKey> {
        let why = match (self.shared.adapter.parse_operator_key)(key) {
            Ok(key) => return Some(key),
            Err(why) => why,
        };
        if self.shared.unknown.is_new("key of operators", key) {
            log_event(LogCode::OperatorKeyUnknown, &why);
        }
        None
    }
}
