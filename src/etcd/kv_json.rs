//! Conversion from and to the etcd v3 JSON API, which has 64-bit integers as strings and
//! bytes in base64.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde_json::{json, Value};

use crate::logic::router::{StoreCall, StoreChange, StoreEntry, StoreReply};

/// Path and body of the request for a call.
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

/// Body of the request for a watch of a prefix, from a revision on.
pub(super) fn watch(prefix: &str, from: i64) -> Value {
    let mut create = range(prefix, true);
    create["start_revision"] = Value::String(from.to_string());
    create["progress_notify"] = Value::Bool(true);
    json!({ "create_request": create })
}

/// Parses the response of a call; `None` if it isn't as expected.
pub(super) fn reply(call: &StoreCall, body: &Value) -> Option<StoreReply> {
    match call {
        StoreCall::Read { .. } => Some(StoreReply::Entries {
            revision: revision(body)?,
            entries: entries(&body["kvs"])?,
        }),
        StoreCall::Transaction { .. } => {
            let mut read = Vec::new();
            for response in array(&body["responses"]) {
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

/// Parses one line of a watch; `None` if the watch was cancelled or the line isn't as
/// expected.
pub(super) fn changes(line: &Value) -> Option<Vec<StoreChange>> {
    let result = line.get("result")?;
    if result["canceled"].as_bool().unwrap_or(false) {
        return None;
    }
    let mut found = Vec::new();
    for event in array(&result["events"]) {
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
            revision: integer(&kv["mod_revision"])?,
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

/// Smallest key after all keys with a prefix.
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
        lease: integer(&body["ID"])?,
        // The service omits the TTL of a lease that has expired.
        ttl_s: integer(&body["TTL"]).unwrap_or(0).max(0) as u64,
    })
}

fn revision(body: &Value) -> Option<i64> {
    integer(&body["header"]["revision"])
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], |v| v.as_slice())
}

fn entries(kvs: &Value) -> Option<Vec<StoreEntry>> {
    array(kvs)
        .iter()
        .map(|kv| {
            Some(StoreEntry {
                key: decode(&kv["key"])?,
                value: decode(&kv["value"])?,
                revision: integer(&kv["mod_revision"])?,
            })
        })
        .collect()
}

fn integer(value: &Value) -> Option<i64> {
    match value {
        Value::String(text) => text.parse().ok(),
        other => other.as_i64(),
    }
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn decode(value: &Value) -> Option<String> {
    // The JSON omits an empty value.
    let Some(text) = value.as_str() else {
        return Some(String::new());
    };
    String::from_utf8(STANDARD.decode(text).ok()?).ok()
}
