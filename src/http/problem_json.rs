use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::ReplyBody;
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
pub(super) fn response(problem: &Problem, request: Option<&str>) -> Response<ReplyBody> {
    let body = serde_json::to_vec(&problem_json(problem, request)).unwrap_or_default();
    let mut response = reply(problem.status, "application/problem+json", body);
    if let Some(ms) = problem.retry_ms {
        let seconds = ms.div_ceil(1_000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    match request {
        Some(id) => with_request(response, id),
        None => response,
    }
}

/// HTTP response with a complete body.
pub(super) fn reply(
    status: u16,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole(body));
    // Statuses come from here or were checked as an endpoint's.
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Adds the id of the request to a response.
pub(super) fn with_request<B>(mut response: Response<B>, id: &str) -> Response<B> {
    // Ids are plain ASCII.
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("runrail-request", value);
    }
    response
}
