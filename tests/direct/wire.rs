//! docs/WIRE.md lists every name of the platform's pages; the adapter does what it says.

use std::collections::BTreeSet;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use runrail::logic::router::StoreEntry;
use runrail::platform::adapter;
use serde_json::{json, Value};

/// Modules of the adapter that parse and build messages.
const SOURCES: [&str; 7] = [
    include_str!("../../platform/config.rs"),
    include_str!("../../platform/list.rs"),
    include_str!("../../platform/mod.rs"),
    include_str!("../../platform/operator.rs"),
    include_str!("../../platform/order.rs"),
    include_str!("../../platform/request.rs"),
    include_str!("../../platform/store.rs"),
];

/// The module that lists what is known.
const KNOWN: &str = include_str!("../../platform/known.rs");

const SETTINGS: &str = include_str!("../../deploy/router.ini");

/// Words in the adapter's sources that aren't names on the wire.
const OTHER_WORDS: [&str; 3] = ["bearer", "nothing", "null"];

/// Headers that concern a single connection, which are never passed on.
const HOP_BY_HOP: [&str; 7] = [
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

struct Row {
    place: String,
    name: String,
    handling: String,
}

fn rows() -> Vec<Row> {
    let table = include_str!("../../docs/WIRE.md");
    let rows = table.lines().filter_map(|line| {
        let cells: Vec<_> = line.split('|').map(str::trim).collect();
        let name = cells.get(2)?.strip_prefix('`')?.strip_suffix('`')?;
        Some(Row {
            place: cells[1].to_string(),
            name: name.to_string(),
            handling: cells[3].to_string(),
        })
    });
    rows.collect()
}

/// A name in the form in which the adapter compares it.
fn normalized(name: &str) -> String {
    name.replace('_', "").to_ascii_lowercase()
}

/// The quoted words of some sources, comments left out.
fn literals<'a>(sources: impl IntoIterator<Item = &'a str>) -> BTreeSet<String> {
    let lines = sources.into_iter().flat_map(str::lines);
    let code = lines.filter(|line| !line.trim_start().starts_with("//"));
    let quoted = code.flat_map(|line| line.split('"').skip(1).step_by(2));
    quoted.map(normalized).collect()
}

/// Whether the adapter uses a header by a constant of the HTTP library.
fn uses_constant(name: &str) -> bool {
    let constant = name.replace('-', "_").to_ascii_uppercase();
    SOURCES.iter().any(|source| source.contains(&constant))
}

#[test]
fn every_name_is_handled_as_the_table_says() {
    let literals = literals(SOURCES);
    let text = SOURCES.concat();
    let rows = rows();
    assert!(rows.len() > 150, "{}", rows.len());
    for Row {
        place,
        name,
        handling,
    } in &rows
    {
        let is_status = place.starts_with("status");
        let in_code = match place.as_str() {
            _ if is_status => true,
            "setting" => SETTINGS.contains(name.as_str()),
            "store field" | "own answer field" => text.contains(name.as_str()),
            place if place.ends_with("header") && uses_constant(name) => true,
            _ => literals.contains(&normalized(name)),
        };
        let is_used_elsewhere = rows
            .iter()
            .any(|r| normalized(&r.name) == normalized(name) && r.handling != "unused");
        match handling.as_str() {
            // The HTTP library reads it.
            "read" if name == "Connection" || name == "Keep-Alive" => {}
            "read" | "sent" | "removed" => assert!(in_code, "{place} {name} is not used"),
            "passed on" => assert!(!in_code, "{place} {name} is used"),
            "unused" => assert!(!in_code || is_used_elsewhere, "{place} {name} is used"),
            other => panic!("{place} {name}: {other:?}"),
        }
    }
}

/// Guards against a name that the adapter handles and the table lacks.
#[test]
fn the_table_lists_every_name_of_the_adapter() {
    let listed: BTreeSet<_> = rows().iter().map(|r| normalized(&r.name)).collect();
    let is_name = |word: &&String| {
        let is_word = word.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        word.len() > 1 && is_word
    };
    let others = OTHER_WORDS.iter().chain(&HOP_BY_HOP);
    let others: BTreeSet<_> = others.map(|word| normalized(word)).collect();
    for word in literals(SOURCES).iter().filter(is_name) {
        assert!(listed.contains(word) || others.contains(word), "{word}");
    }
    let (protocol, _) = KNOWN.split_once("const HTTP_HEADERS").expect("the lists");
    for word in literals([protocol]).iter().filter(is_name) {
        assert!(
            listed.contains(word),
            "{word} is known and not in the table"
        );
    }
}

/// What endpoints and operators may use by the table isn't reported as unknown, and nothing else is
/// taken as known.
#[test]
fn what_the_table_lists_is_known() {
    for Row { place, name, .. } in rows() {
        let unknown = match place.as_str() {
            "answer header" => {
                let lower = name.to_ascii_lowercase();
                let header = HeaderName::from_bytes(lower.as_bytes()).expect("a name");
                let value = HeaderValue::from_static("1");
                let headers: HeaderMap = [(header, value)].into_iter().collect();
                (adapter().unknown_headers)(&headers)
            }
            "list entry field" => unknown_entry_fields(&name),
            "report field" => {
                let mut report = json!({"Other": 1});
                report[&name] = Value::Null;
                let report = report.to_string();
                let parsed = (adapter().parse_report)(StatusCode::OK, report.as_bytes());
                let unknown = parsed.expect("a report").unknown;
                assert!(unknown.contains(&"Other".to_string()));
                unknown.into_iter().filter(|n| n != "Other").collect()
            }
            "configuration field" => {
                let mut inner = json!({"Name": "other", "Other": 1});
                inner[&name] = Value::Null;
                let config = json!({"Version": 1, "Unread": [inner]});
                let routing = (adapter().parse_routing)(&config.to_string()).expect("a routing");
                assert!(routing.unknown_fields.contains(&"Other".to_string()));
                let expected = ["Other", "Unread"];
                let unknown = routing.unknown_fields.into_iter();
                unknown
                    .filter(|n| !expected.contains(&n.as_str()))
                    .collect()
            }
            _ => Vec::new(),
        };
        assert_eq!(unknown, Vec::<String>::new(), "{place} {name}");
    }
}

fn unknown_entry_fields(name: &str) -> Vec<String> {
    let mut entry = json!({"Service": "m", "Address": "10.0.0.9:80", "Zone": "h", "Slots": 4,
        "State": "ready", "Seq": 4, "Version": "v1", "ColdLeftMs": 0, "Other": 1});
    if entry.get(name).is_none() {
        entry[name] = Value::Null;
    }
    let entry = StoreEntry {
        key: "servers/i-1".to_string(),
        value: entry.to_string(),
        revision: 1,
    };
    let parsed = (adapter().parse_entry)(&entry).expect("an entry");
    assert!(parsed.unknown.contains(&"Other".to_string()));
    parsed
        .unknown
        .into_iter()
        .filter(|n| n != "Other")
        .collect()
}
