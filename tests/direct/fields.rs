//! Each field of the platform's documents: removed, in another spelling, of a wrong type.

use runrail::logic::router::StoreEntry;
use runrail::platform::adapter;
use serde_json::{json, Value};

/// Fields that may be absent without an error or a missing value, each with its reason.
const OPTIONAL: [(&str, &str); 12] = [
    ("Routes[0].Resumable", "absent means no"),
    ("Routes[0].Public", "absent means no"),
    ("Routes[0].Sticky", "isn't used"),
    ("Routes[0].Priority", "the middle priority is the default"),
    ("Routes[1].GapTargetMs", "this route doesn't stream"),
    ("Services[0].HealthPath", "isn't used"),
    ("Services[0].Engine.chunk", "isn't used"),
    ("Limits", "the defaults are used"),
    ("Tenants", "without accounts no caller needs a key"),
    (
        "Tenants[0].ApiKeys",
        "no caller can use an account without keys",
    ),
    ("Tenants[0].Priority", "the route's priority is used"),
    ("Services[0].Engine", "a plain service"),
];

/// Lists that may be empty: an early configuration has no routes or services yet.
const LISTS: [&str; 3] = ["Routes", "Services", "Services[0].Engine.Models"];

fn config() -> Value {
    json!({
        "Version": 7,
        "Routes": [
            {"Name": "r1", "Host": "a.example", "PathPrefix": "/x/", "Kind": "streaming",
             "TimeoutMs": 8000, "SloMs": 300, "Priority": 1, "MaxAttempts": 2, "Public": false,
             "Sticky": true, "Resumable": true, "GapTargetMs": 300,
             "Split": [{"Service": "m", "Weight": 90}, {"Service": "s", "Weight": 10}]},
            {"Name": "r2", "Host": "a.example", "PathPrefix": "/y/", "Kind": "unsafe",
             "TimeoutMs": 600, "SloMs": 100, "MaxAttempts": 1, "GapTargetMs": 100,
             "Service": "s"}],
        "Services": [
            {"Name": "m", "HealthPath": "/health", "MaxConns": 562, "Engine": {
                "Slots": 48, "Stride": 6, "step_ms": 5.95, "per_seq_ms": 0.04,
                "read_per_s": 50700.0, "LoadsPerS": 3.0, "loads_at_once": 6, "chunk": 2048,
                "usual": {"prompt": 1038, "answer": 167}, "Retains": 1, "FormMs": 300.0,
                "Models": [{"Name": "big", "size": 4, "Share": 0.57, "pace": 1.0,
                            "LoadS": 16.0, "WarmupS": 1.6}]}},
            {"Name": "s", "MaxConns": 110}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "ann", "ApiKeys": ["k1"], "Priority": 0}],
    })
}

/// Adds the paths of all fields to `found`, lists and objects included.
fn add_paths(value: &Value, at: &str, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let path = if at.is_empty() {
                    name.clone()
                } else {
                    format!("{at}.{name}")
                };
                found.push(path.clone());
                add_paths(inner, &path, found);
            }
        }
        Value::Array(items) => {
            for (n, inner) in items.iter().enumerate() {
                add_paths(inner, &format!("{at}[{n}]"), found);
            }
        }
        _ => {}
    }
}

/// The object that holds the field at a path, and the field's name.
fn holder<'a>(document: &'a mut Value, path: &str) -> (&'a mut Value, String) {
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    let pointer: String = parent
        .replace('[', ".")
        .replace(']', "")
        .split('.')
        .filter(|part| !part.is_empty())
        .map(|part| format!("/{part}"))
        .collect();
    let holder = document.pointer_mut(&pointer).expect("the holder");
    (holder, name.to_string())
}

fn all_paths() -> Vec<String> {
    let mut found = Vec::new();
    add_paths(&config(), "", &mut found);
    found
}

#[test]
fn a_field_that_is_missing_is_an_error_or_a_recorded_missing_value_that_names_its_place() {
    for path in all_paths() {
        let mut document = config();
        let (holder, name) = holder(&mut document, &path);
        holder.as_object_mut().expect("an object").remove(&name);
        let allowed = OPTIONAL.iter().any(|(o, _)| *o == path) || LISTS.contains(&&*path);
        match (adapter().parse_routing)(&document.to_string()) {
            Err(error) => assert!(error.contains(&name) || name == "Split", "{path}: {error}"),
            Ok(routing) => {
                let recorded = routing
                    .missing_values
                    .iter()
                    .any(|g| g.place.starts_with(&path));
                assert!(
                    recorded || allowed,
                    "{path}: neither an error nor a missing value"
                );
            }
        }
    }
}

#[test]
fn the_case_of_a_name_and_its_underscores_change_nothing() {
    let expected = (adapter().parse_routing)(&config().to_string()).expect("readable");
    assert!(
        expected.missing_values.is_empty(),
        "{:?}",
        expected.missing_values
    );
    let snake = |name: &str| {
        let mut out = String::new();
        for c in name.chars() {
            if c.is_uppercase() && !out.is_empty() {
                out.push('_');
            }
            out.extend(c.to_lowercase());
        }
        out
    };
    let camel = |name: &str| -> String {
        name.split('_')
            .map(|p| p[..1].to_uppercase() + &p[1..])
            .collect()
    };
    for path in all_paths() {
        for spelling in [&snake as &dyn Fn(&str) -> String, &camel] {
            let mut document = config();
            let (holder, name) = holder(&mut document, &path);
            let fields = holder.as_object_mut().expect("an object");
            let value = fields.remove(&name).expect("the field");
            fields.insert(spelling(&name), value);
            let read = (adapter().parse_routing)(&document.to_string()).expect("readable");
            assert_eq!(read, expected, "{path}");
        }
    }
}

#[test]
fn a_field_of_a_wrong_type_is_an_error_that_names_its_place() {
    let unused = [
        "Routes[0].Sticky",
        "Services[0].HealthPath",
        "Services[0].Engine.chunk",
    ];
    for path in all_paths() {
        let mut document = config();
        let (holder, name) = holder(&mut document, &path);
        holder[&name] = json!([[1]]);
        let read = (adapter().parse_routing)(&document.to_string());
        if unused.contains(&&*path) || (path == "Routes[1].Service" && read.is_ok()) {
            continue;
        }
        let error = read.expect_err(&path);
        assert!(error.contains(&name), "{path}: {error}");
    }
}

#[test]
fn a_rate_of_zero_counts_as_missing_and_the_default_is_used() {
    let mut document = config();
    document["Services"][0]["Engine"]["read_per_s"] = json!(0.0);
    let routing = (adapter().parse_routing)(&document.to_string()).expect("readable");
    let engine = routing.services["m"].engine.as_ref().expect("an engine");
    assert!(engine.read_rate > 10_000);
    assert_eq!(routing.missing_values.len(), 1);
    assert_eq!(routing.missing_values[0].found, "0");
}

#[test]
fn an_entry_of_the_list_without_a_field_it_needs_names_it() {
    let entry = json!({"Service": "m", "Address": "10.0.0.9:80", "Zone": "h", "Slots": 48,
        "Version": "v1", "ColdLeftMs": 0, "born": 1_790_000_000_000_u64,
        "State": "ready", "Seq": 4, "Domain": "d0", "Staged": ["big"],
        "Models": [{"Name": "big"}],
        "group": {"Name": "g7", "epoch": 12, "rank": 0, "State": "open"}});
    let read = |value: &Value| {
        (adapter().parse_entry)(&StoreEntry {
            key: "servers/i-1".to_string(),
            value: value.to_string(),
            revision: 3,
        })
    };
    assert!(read(&entry).is_ok());
    let mut found = Vec::new();
    add_paths(&entry, "", &mut found);
    // A plain service has none of these but `born`, which not all platforms give. A group
    // without a name counts as no group.
    let optional = ["born", "Domain", "Staged", "Models", "group", "group.Name"];
    for path in found {
        let mut wrong_type = entry.clone();
        let (parent, name) = holder(&mut wrong_type, &path);
        parent[&name] = json!(true);
        let error = read(&wrong_type).expect_err(&path);
        assert!(error.contains(&name), "{path} of another type: {error}");
        let mut entry = entry.clone();
        let (holder, name) = holder(&mut entry, &path);
        holder.as_object_mut().expect("an object").remove(&name);
        match read(&entry) {
            Ok(_) => assert!(optional.contains(&&*path), "{path}"),
            Err(error) => assert!(
                error.contains("servers/i-1") && error.contains(&name),
                "{path}: {error}"
            ),
        }
    }
    let mut fraction = entry.clone();
    fraction["born"] = json!(1_790_000_000_000.5);
    assert!(read(&fraction).expect_err("born").contains("born"));
    let mut wrong_state = entry.clone();
    wrong_state["State"] = json!("asleep");
    assert!(read(&wrong_state).expect_err("a state").contains("asleep"));
}
