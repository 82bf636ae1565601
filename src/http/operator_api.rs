use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tiny_http::{Method, Request, Response};

use super::body;
use super::problem_json::{self, header};
use crate::host::{HostEvent, Inbox, Inspect};
use crate::logic::router::{OperatorCall, OperatorReply, Problem};
use crate::types::{Approval, Bundle, BundleBody};

/// Maximum length of a bundle; the key-value service stores values of up to 1 MB.
const MAX_BUNDLE_BYTES: usize = 900 * 1024;
/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Path prefix of the API.
const PATH_PREFIX: &str = "/operator/v1/";

/// The API for operators: bundles, status, events and metrics.
pub struct OperatorApi {
    inbox: Inbox,
    /// Operators' names by the SHA-256 of their tokens.
    operators: BTreeMap<String, String>,
}

/// A bundle as `runrail bundle status` lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRow {
    /// Number.
    pub number: u64,
    /// Title.
    pub title: String,
    /// Operator who submitted it.
    pub author: String,
    /// Operator who approved it.
    pub approved_by: Option<String>,
    /// Whether it is in force at this router.
    pub in_force: bool,
}

impl OperatorApi {
    /// An API for operators, each given as a name and the SHA-256 of a token.
    pub fn new(inbox: Inbox, operators: &[(String, String)]) -> Self {
        let by_token = operators.iter().map(|(n, t)| (t.clone(), n.clone()));
        Self {
            inbox,
            operators: by_token.collect(),
        }
    }

    /// Serves one HTTP request and returns when it is answered.
    pub fn serve(&self, mut request: Request) {
        let response = match self.handle(&mut request) {
            Ok(value) => Response::from_data(value.to_string())
                .with_header(header("Content-Type", "application/json")),
            Err(problem) => problem_json::response(&problem, None),
        };
        // If the operator has disconnected, nobody needs the response.
        let _ = request.respond(response);
    }

    fn handle(&self, request: &mut Request) -> Result<Value, Problem> {
        let operator = self.operator(request)?;
        let url = request.url().to_string();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        let Some(path) = path.strip_prefix(PATH_PREFIX) else {
            return Err(Problem::not_run(
                404,
                format!("expected a path below {PATH_PREFIX}"),
            ));
        };
        let parts: Vec<_> = path.split('/').collect();
        let post = *request.method() == Method::Post;
        match (post, parts.as_slice()) {
            (false, ["status"]) => self.call(OperatorCall::Status),
            (false, ["bundles"]) => self.call(OperatorCall::Bundles),
            (false, ["events"]) => {
                let about = query.strip_prefix("about=").unwrap_or("");
                self.inspect(Inspect::Events(unescape_slashes(about)))
            }
            (false, ["metrics"]) => self.inspect(Inspect::Metrics),
            (true, ["bundles"]) => {
                let body = Box::new(read_bundle(request)?);
                self.call(OperatorCall::Submit { by: operator, body })
            }
            (true, ["bundles", number, verb @ ("approve" | "roll")]) => {
                let number = number.parse().map_err(|_| {
                    Problem::not_run(400, format!("found bundle {number:?}, expected a number"))
                })?;
                self.call(match *verb {
                    "approve" => OperatorCall::Approve {
                        by: operator,
                        number,
                    },
                    _ => OperatorCall::Roll {
                        by: operator,
                        number,
                    },
                })
            }
            _ => {
                let detail = format!("no such resource: {} {path}", request.method());
                Err(Problem::not_run(404, detail))
            }
        }
    }

    fn operator(&self, request: &Request) -> Result<String, Problem> {
        let token = body::bearer_token(request).map(body::sha256_hex);
        let name = token.and_then(|t| self.operators.get(&t).cloned());
        name.ok_or_else(|| Problem::not_run(401, "the token belongs to no operator"))
    }

    fn call(&self, call: OperatorCall) -> Result<Value, Problem> {
        let (reply, answer) = channel();
        self.inbox.send(HostEvent::Operator { call, reply });
        match answer.recv_timeout(CALL_TIMEOUT) {
            Ok(reply) => reply_json(reply),
            Err(_) => Err(Problem::unknown(504, "the router did not answer in time")),
        }
    }

    fn inspect(&self, what: Inspect) -> Result<Value, Problem> {
        let (reply, answer) = channel();
        self.inbox.send(HostEvent::Inspect { what, reply });
        let answer = answer.recv_timeout(CALL_TIMEOUT);
        answer.map_err(|_| Problem::unknown(504, "the router did not answer in time"))
    }
}

fn read_bundle(request: &mut Request) -> Result<BundleBody, Problem> {
    let text = body::read(request, MAX_BUNDLE_BYTES)?;
    serde_json::from_str(&text)
        .map_err(|e| Problem::not_run(422, format!("the bundle can't be parsed: {e}")))
}

fn reply_json(reply: OperatorReply) -> Result<Value, Problem> {
    match reply {
        OperatorReply::Submitted(number) => Ok(json!({ "submitted": number })),
        OperatorReply::Approved(number) => Ok(json!({ "approved": number })),
        OperatorReply::Rolled(number) => Ok(json!({ "rolled": number })),
        OperatorReply::Bundles {
            bundles,
            approvals,
            head,
        } => {
            let rows: Vec<_> = bundles
                .iter()
                .map(|b| bundle_row(b, &approvals, head))
                .collect();
            Ok(json!({ "head": head, "bundles": rows }))
        }
        OperatorReply::Status(status) => Ok(json!(status)),
        OperatorReply::Problem(problem) => Err(problem),
    }
}

fn bundle_row(bundle: &Bundle, approvals: &[Approval], head: u64) -> BundleRow {
    let approval = approvals.iter().find(|a| a.number == bundle.number);
    BundleRow {
        number: bundle.number,
        title: bundle.body.title.clone(),
        author: bundle.author.clone(),
        approved_by: approval.map(|a| a.by.clone()),
        in_force: bundle.number == head,
    }
}

/// Decodes `%2F`, the only escape that subjects of events need.
fn unescape_slashes(text: &str) -> String {
    text.replace("%2F", "/").replace("%2f", "/")
}
