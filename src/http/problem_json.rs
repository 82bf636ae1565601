use std::io::Cursor;

use serde::{Deserialize, Serialize};
use tiny_http::{Header, Response};

use crate::logic::router::Problem;

/// Body of an error response, as in RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemJson {
    /// Kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// HTTP status.
    pub status: u16,
    /// `not_run`, `unknown` or `failed`.
    pub outcome: String,
    /// What happened and what to try.
    pub detail: String,
    /// Id of the request, which operators can look up.
    pub request: Option<String>,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Converts a problem into the body of its response.
pub fn problem_json(problem: &Problem, request: Option<&str>) -> ProblemJson {
    ProblemJson {
        kind: "about:blank".to_string(),
        status: problem.status,
        outcome: problem.outcome.to_string(),
        detail: problem.detail.clone(),
        request: request.map(str::to_string),
        retry_after_ms: problem.retry_ms,
    }
}

/// HTTP response for a problem.
pub(super) fn response(problem: &Problem, request: Option<&str>) -> Response<Cursor<Vec<u8>>> {
    let body = serde_json::to_vec(&problem_json(problem, request)).unwrap_or_default();
    let mut response = Response::from_data(body)
        .with_status_code(problem.status)
        .with_header(header("Content-Type", "application/problem+json"));
    if let Some(ms) = problem.retry_ms {
        let seconds = ms.div_ceil(1_000).max(1).to_string();
        response = response.with_header(header("Retry-After", &seconds));
    }
    if let Some(id) = request {
        response = response.with_header(header("Runrail-Request", id));
    }
    response
}

pub(super) fn header(name: &str, value: &str) -> Header {
    // Invariant: callers pass only names and values in plain ASCII.
    Header::from_bytes(name, value).expect("header is plain ASCII")
}
