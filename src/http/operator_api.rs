use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::problem_json::{self, reply};
use super::{body, Checked, HttpServer, ReplyBody, ServerLimits};
use crate::host::{HostEvent, Inbox, Inspect};
use crate::intake::LimitCounts;
use crate::logic::router::{OperatorCall, OperatorReply, Problem};
use crate::types::{Approval, Bundle, BundleBody};

/// Maximum length of a bundle; the key-value service stores values of up to 1 MB.
const MAX_BUNDLE_BYTES: usize = 900 * 1024;
/// Timeout of an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Path prefix of the API.
const PATH_PREFIX: &str = "/operator/v1/";

/// The API for operators: bundles, status, events and metrics.
pub(crate) struct OperatorApi {
    inbox: Inbox,
    /// Operators' names by the SHA-256 of their tokens.
    operators: BTreeMap<String, String>,
}

/// What the head of a call says.
struct OperatorHead {
    operator: String,
    method: Method,
    /// Path below the prefix.
    path: String,
    query: String,
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

    /// Listens for operators.
    ///
    /// # Errors
    /// Returns the error of the listening socket or of the thread that serves calls.
    pub fn serve(
        self,
        listen: SocketAddr,
        limits: ServerLimits,
        counts: Arc<LimitCounts>,
    ) -> std::io::Result<HttpServer> {
        let api = Arc::new(self);
        let checking = api.clone();
        let check = move |head: &Parts| checking.check(head);
        let answer = move |head, body| {
            let api = api.clone();
            async move {
                match api.handle(head, body).await {
                    Ok(value) => reply(200, "application/json", value.to_string()),
                    Err(problem) => problem_json::response(&problem, None),
                }
            }
        };
        let limits = ServerLimits {
            body_bytes: MAX_BUNDLE_BYTES,
            ..limits
        };
        HttpServer::start(listen, limits, counts, check, answer)
    }

    fn check(&self, head: &Parts) -> Result<Checked<OperatorHead>, Box<Response<ReplyBody>>> {
        let checked = self.parse_head(head);
        checked.map_err(|p| Box::new(problem_json::response(&p, None)))
    }

    fn parse_head(&self, head: &Parts) -> Result<Checked<OperatorHead>, Problem> {
        let operator = self.operator(&head.headers)?;
        let Some(path) = head.uri.path().strip_prefix(PATH_PREFIX) else {
            let detail = format!("expected a path below {PATH_PREFIX}");
            return Err(Problem::not_run(404, detail));
        };
        Ok(Checked {
            wait: None,
            head: OperatorHead {
                operator,
                method: head.method.clone(),
                path: path.to_string(),
                query: head.uri.query().unwrap_or_default().to_string(),
            },
        })
    }

    async fn handle(
        &self,
        head: OperatorHead,
        body: Result<Bytes, Problem>,
    ) -> Result<Value, Problem> {
        let (body, operator) = (body?, head.operator);
        let parts: Vec<_> = head.path.split('/').collect();
        match (head.method == Method::POST, parts.as_slice()) {
            (false, ["status"]) => self.call(OperatorCall::Status).await,
            (false, ["bundles"]) => self.call(OperatorCall::Bundles).await,
            (false, ["events"]) => {
                let about = head.query.strip_prefix("about=").unwrap_or("");
                self.inspect(Inspect::Events(unescape_slashes(about))).await
            }
            (false, ["metrics"]) => self.inspect(Inspect::Metrics).await,
            (true, ["bundles"]) => {
                let body = Box::new(read_bundle(&body)?);
                self.call(OperatorCall::Submit { by: operator, body }).await
            }
            (true, ["bundles", number, verb @ ("approve" | "roll")]) => {
                let number = number.parse().map_err(|_| {
                    Problem::not_run(400, format!("found bundle {number:?}, expected a number"))
                })?;
                let by = operator;
                let call = match *verb {
                    "approve" => OperatorCall::Approve { by, number },
                    _ => OperatorCall::Roll { by, number },
                };
                self.call(call).await
            }
            _ => {
                let detail = format!("no such resource: {} {}", head.method, head.path);
                Err(Problem::not_run(404, detail))
            }
        }
    }

    fn operator(&self, headers: &HeaderMap) -> Result<String, Problem> {
        let token = body::bearer_token(headers).map(body::sha256_hex);
        let name = token.and_then(|t| self.operators.get(&t).cloned());
        name.ok_or_else(|| Problem::not_run(401, "the token belongs to no operator"))
    }

    async fn call(&self, call: OperatorCall) -> Result<Value, Problem> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(HostEvent::Operator { call, reply });
        reply_json(in_time(answer).await?)
    }

    async fn inspect(&self, what: Inspect) -> Result<Value, Problem> {
        let (reply, answer) = oneshot::channel();
        self.inbox.send(HostEvent::Inspect { what, reply });
        in_time(answer).await
    }
}

/// Waits for the answer of the actor.
async fn in_time<T>(answer: oneshot::Receiver<T>) -> Result<T, Problem> {
    match timeout(CALL_TIMEOUT, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        _ => Err(Problem::unknown(504, "the router did not answer in time")),
    }
}

fn read_bundle(bytes: &[u8]) -> Result<BundleBody, Problem> {
    serde_json::from_str(body::text(bytes)?)
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
