//! Shapes of the etcd v3 JSON API; numbers of 64 bits are strings, bytes base64.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::logic::router::{StoreCall, StoreChange, StoreEntry, StoreReply};

/// Path and body of a call.
pub(super) fn request(call: &StoreCall) -> (&'static str, Value) {
    match call {
        StoreCall::Read { key, prefix } => ("/v3/kv/range", range(key, *prefix)),
        StoreCall::Transaction {
            checks,
            puts,
            deletes,
            reads,
        } => {
            let compare: Vec<_> = checks
                .iter()
                .map(|c| {
                    json!({
                        "key": encode(&c.key),
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": c.revision.to_string(),
                    })
                })
                .collect();
            let puts = puts.iter().map(|p| {
                let mut put = json!({ "key": encode(&p.key), "value": encode(&p.value) });
                if let Some(lease) = p.lease {
                    put["lease"] = Value::String(lease.to_string());
                }
                json!({ "request_put": put })
            });
            let deletes = deletes
                .iter()
                .map(|k| json!({ "request_delete_range": { "key": encode(k) } }));
            let success: Vec<_> = puts.chain(deletes).collect();
            let failure: Vec<_> = reads
                .iter()
                .map(|k| json!({ "request_range": range(k, false) }))
                .collect();
            let body = json!({ "compare": compare, "success": success, "failure": failure });
            ("/v3/kv/txn", body)
        }
        StoreCall::Grant { ttl_s } => (
            "/v3/lease/grant",
            json!({ "TTL": ttl_s.to_string(), "ID": "0" }),
        ),
        StoreCall::Revoke { lease } => ("/v3/lease/revoke", json!({ "ID": lease.to_string() })),
        StoreCall::Renew { lease } => ("/v3/lease/keepalive", json!({ "ID": lease.to_string() })),
    }
}

/// Body of a watch over a prefix.
pub(super) fn watch(prefix: &str, from: i64) -> Value {
    let mut create = range(prefix, true);
    create["start_revision"] = Value::String(from.to_string());
    create["progress_notify"] = Value::Bool(true);
    json!({ "create_request": create })
}

/// Reads the answer of a call.
pub(super) fn reply(call: &StoreCall, body: &Value) -> Option<StoreReply> {
    match call {
        StoreCall::Read { .. } => Some(StoreReply::Entries {
            revision: revision(body)?,
            entries: entries(&body["kvs"])?,
        }),
        StoreCall::Transaction { .. } => {
            let mut read = Vec::new();
            for response in list(&body["responses"]) {
                read.extend(entries(&response["response_range"]["kvs"])?);
            }
            Some(StoreReply::Transaction {
                done: body["succeeded"].as_bool().unwrap_or(false),
                revision: revision(body)?,
                entries: read,
            })
        }
        StoreCall::Grant { .. } => lease(body),
        StoreCall::Revoke { lease } => Some(StoreReply::Lease {
            lease: *lease,
            ttl_s: 0,
        }),
        StoreCall::Renew { .. } => lease(&body["result"]),
    }
}

/// Reads one line of a watch.
pub(super) fn changes(line: &Value) -> Option<Vec<StoreChange>> {
    let result = line.get("result")?;
    if result["canceled"].as_bool().unwrap_or(false) {
        return None;
    }
    let mut found = Vec::new();
    for event in list(&result["events"]) {
        let kv = &event["kv"];
        let deleted = event["type"].as_str() == Some("DELETE");
        let value = if deleted {
            None
        } else {
            Some(decode(&kv["value"])?)
        };
        found.push(StoreChange {
            key: decode(&kv["key"])?,
            value,
            revision: number(&kv["mod_revision"])?,
        });
    }
    Some(found)
}

fn range(key: &str, prefix: bool) -> Value {
    let mut body = json!({ "key": encode(key) });
    if prefix {
        body["range_end"] = Value::String(STANDARD.encode(prefix_end(key)));
    }
    body
}

/// First key behind all keys with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

fn lease(body: &Value) -> Option<StoreReply> {
    Some(StoreReply::Lease {
        lease: number(&body["ID"])?,
        // A lease that has ended comes without a time to live.
        ttl_s: number(&body["TTL"]).unwrap_or(0).max(0) as u64,
    })
}

fn revision(body: &Value) -> Option<i64> {
    number(&body["header"]["revision"])
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |v| v.as_slice())
}

fn entries(kvs: &Value) -> Option<Vec<StoreEntry>> {
    list(kvs)
        .iter()
        .map(|kv| {
            Some(StoreEntry {
                key: decode(&kv["key"])?,
                value: decode(&kv["value"])?,
                revision: number(&kv["mod_revision"])?,
            })
        })
        .collect()
}

fn number(value: &Value) -> Option<i64> {
    match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    }
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn decode(value: &Value) -> Option<String> {
    // An empty value is left out of the JSON.
    let Some(text) = value.as_str() else {
        return Some(String::new());
    };
    String::from_utf8(STANDARD.decode(text).ok()?).ok()
}
