use serde_json::{json, Value};

/// API key of the account that floods the fleet in a soak.
pub(crate) const FLOOD_KEY: &str = "k2";

/// The configuration document: `/stream/` goes to service `pool`, whose model `big` runs in groups
/// of three members; `/once/` (not repeatable) and `/safe/` go to the plain service `gate`.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"Name": name, "Host": "a.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 6000, "SloMs": 2000, "Priority": 1, "Service": service, "MaxAttempts": 3,
            "Resumable": kind == "streaming", "GapTargetMs": 300})
    };
    json!({"Version": version,
        "Routes": [route("stream", "streaming", "pool"), route("once", "unsafe", "gate"), route("safe", "safe", "gate")],
        "Services": [{"Name": "gate", "MaxConns": 50}, {"Name": "pool", "MaxConns": 50, "Engine": {
            "Slots": 8, "Stride": 1, "step_ms": 5.0, "read_per_s": 50000.0, "LoadsPerS": 50.0, "loads_at_once": 9,
            "Retains": 1, "FormMs": 60.0,
            "Models": [{"Name": "big", "size": 3, "Share": 1.0, "pace": 1.0, "LoadS": 0.3, "WarmupS": 0.15}]}}],
        "Tenants": [{"Name": "ann", "ApiKeys": ["k1"]}, {"Name": "crowd", "ApiKeys": [FLOOD_KEY]}]})
    .to_string()
}

/// The same with few slots and a short objective, and with accounts `t0` to `t9` whose names are
/// their keys.
pub fn contended_config(version: u64) -> String {
    let mut document: Value = serde_json::from_str(&config(version)).expect("JSON");
    document["Services"][1]["Engine"]["Slots"] = json!(2);
    document["Routes"][0]["SloMs"] = json!(400);
    let tenants = (0..10).map(|n| format!("t{n}"));
    let tenants = tenants.map(|name| json!({"Name": name, "ApiKeys": [name]}));
    let ann = json!({"Name": "ann", "ApiKeys": ["k1"]});
    document["Tenants"] = std::iter::once(ann).chain(tenants).collect();
    document.to_string()
}
