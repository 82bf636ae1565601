use serde_json::{json, Value};

/// Levels of a document that is nested too deeply for most parsers.
const DEEP: usize = 20_000;

/// Bytes of a name that is far too long.
const LONG_NAME: usize = 100_000;

/// Unknown fields, models or members of an entry that has too many.
const MANY: usize = 5_000;

/// An entry of the endpoint list that another writer has got wrong in one way.
pub struct OddEntry {
    /// What is odd about it.
    pub kind: String,
    /// The value of its key.
    pub value: String,
    /// Whether it can be an endpoint's own: each of its values is in range.
    pub plausible: bool,
}

/// Kinds that are plausible.
const PLAUSIBLE: [&str; 7] = [
    "a later start",
    "ColdLeftMs -1",
    "ColdLeftMs -1e300",
    "Domain 1e308",
    "members by the thousand",
    "no start",
    "too many heartbeats",
];

impl OddEntry {
    /// All kinds, made from the text of a valid entry.
    ///
    /// # Panics
    /// When that text isn't a JSON object.
    pub fn all(entry: &str) -> Vec<Self> {
        let valid: Value = serde_json::from_str(entry).expect("a valid entry");
        assert!(valid.is_object(), "{entry}");
        let mut all = unreadable();
        all.extend(with_fields(&valid));
        all.extend(with_seats(&valid));
        all.extend(with_sizes(&valid));
        all.extend(with_lives(&valid));
        all
    }
}

fn odd(kind: impl Into<String>, value: impl Into<String>) -> OddEntry {
    let kind = kind.into();
    OddEntry {
        plausible: PLAUSIBLE.contains(&kind.as_str()),
        value: value.into(),
        kind,
    }
}

/// Values that aren't entries.
fn unreadable() -> Vec<OddEntry> {
    let deep = format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP));
    let deep_field = format!(
        "{{\"Service\":{}1{}}}",
        "{\"a\":".repeat(DEEP),
        "}".repeat(DEEP)
    );
    vec![
        odd("empty", ""),
        odd("a number", "7"),
        odd("null", "null"),
        odd("an array for a name", "{\"Service\":[]}"),
        odd("control characters", "\u{1}\u{2}"),
        odd("a lone surrogate", "{\"Service\":\"\\ud800\"}"),
        odd("deep arrays", deep),
        odd("deep objects in a field", deep_field),
    ]
}

/// The valid entry with one field replaced by text that may be no valid JSON number.
fn replaced(valid: &Value, field: &str, text: &str) -> String {
    let mut entry = valid.clone();
    entry[field] = json!("@");
    entry.to_string().replace("\"@\"", text)
}

fn with_fields(valid: &Value) -> Vec<OddEntry> {
    let max = u64::MAX.to_string();
    let nested = format!("{}1{}", "[".repeat(100), "]".repeat(100));
    let fields: [(&str, &[&str]); 8] = [
        (
            "Seq",
            &[
                &max,
                "9007199254740993",
                "1e300",
                "-1",
                "1.5",
                "\"5\"",
                "NaN",
            ],
        ),
        ("born", &[&max, "4102444800000000", "1e19", "-1", "\"now\""]),
        (
            "ColdLeftMs",
            &[
                "1e300", "1e19", "-1", "-1e300", "1e400", "\"NaN\"", "Infinity",
            ],
        ),
        ("Slots", &["4294967295", "4294967296", "-1", "0.5"]),
        (
            "Address",
            &[
                "\"127.0.0.1:70000\"",
                "\"127.0.0.1:0\"",
                "\"127.0.0.1:-1\"",
                "\"0.0.0.0:80\"",
                "\"[::]:80\"",
                "\"224.0.0.1:80\"",
                "\"255.255.255.255:80\"",
                "\"somewhere:80\"",
                "7",
            ],
        ),
        ("State", &["\"resting\"", "7", &nested]),
        ("Domain", &[&nested, "true", "1e308"]),
        ("Models", &["7", "[[]]", "[{\"Name\":7}]", "[{}]"]),
    ];
    let all = fields.iter().flat_map(|(field, texts)| {
        let of = move |text: &&str| {
            let kind = format!("{field} {}", &text[..text.len().min(30)]);
            odd(kind, replaced(valid, field, text))
        };
        texts.iter().map(of)
    });
    all.collect()
}

fn with_seats(valid: &Value) -> Vec<OddEntry> {
    let seat = |kind: &str, changes: Value| {
        let mut entry = valid.clone();
        let mut group = json!({"Name": "odd", "epoch": 1, "rank": 0, "State": "ready"});
        for (name, value) in changes.as_object().into_iter().flatten() {
            group[name] = value.clone();
        }
        entry["group"] = group;
        odd(kind, entry.to_string())
    };
    vec![
        seat(
            "an epoch near the largest number",
            json!({"epoch": u64::MAX - 1}),
        ),
        seat("an epoch of a fraction", json!({"epoch": 1.5})),
        seat("a rank of billions", json!({"rank": 4_000_000_000_u64})),
        seat("a rank near the largest number", json!({"rank": u64::MAX})),
        seat("a negative rank", json!({"rank": -1})),
        seat("an unknown state of a seat", json!({"State": "resting"})),
        seat(
            "a group with a long name",
            json!({"Name": "g".repeat(LONG_NAME)}),
        ),
        seat(
            "members by the thousand",
            json!({"Members": vec!["m"; MANY]}),
        ),
    ]
}

fn with_sizes(valid: &Value) -> Vec<OddEntry> {
    let long = "n".repeat(LONG_NAME);
    let with = |field: &str, value: Value| {
        let mut entry = valid.clone();
        entry[field] = value;
        odd(format!("a long {field}"), entry.to_string())
    };
    let names = (0..MANY).map(|n| format!("model-{n}"));
    let mut many = valid.clone();
    for n in 0..MANY {
        many[format!("Unknown{n}")] = json!(n);
    }
    let mut long_field = valid.clone();
    long_field[&long] = json!(1);
    vec![
        with("Service", json!(long)),
        with("Zone", json!(long)),
        with("Domain", json!(long)),
        with("State", json!(long)),
        with("Address", json!(long)),
        with("Version", json!(long)),
        with("Models", json!([{ "Name": long }])),
        with("Staged", json!(names.collect::<Vec<_>>())),
        odd("unknown fields by the thousand", many.to_string()),
        odd("an unknown field with a long name", long_field.to_string()),
    ]
}

/// Entries that seem to be of another process of the endpoint, or of a later time.
fn with_lives(valid: &Value) -> Vec<OddEntry> {
    let later = |field: &str, by: u64| valid[field].as_u64().map(|n| json!(n + by));
    let with = |kind: &str, field: &str, value: Option<Value>| {
        let mut entry = valid.clone();
        entry[field] = value.unwrap_or_default();
        odd(kind, entry.to_string())
    };
    vec![
        with("a later start", "born", later("born", 1_000)),
        with("no start", "born", None),
        with("too many heartbeats", "Seq", later("Seq", 1_000)),
    ]
}
