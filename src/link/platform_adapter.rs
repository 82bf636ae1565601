use bytes::Bytes;
use http::{request, response, HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;

use super::{OperatorKey, ParsedEntry, ParsedReport, ReplyHead, StorePage, WatchResult};
use crate::logic::direct::{DirectRequest, GroupOrder, OrderResult, Problem, RunRequest};
use crate::logic::router::{StoreCall, StoreEntry, StoreResult};
use crate::types::{InstanceId, Millis, RequestRate, Routing};

/// Platform adapter: pure functions that convert between the platform's messages and the
/// product's types, one for each message.
///
/// Functions that build a call to a given address take that address as text, for the `host`
/// header.
#[derive(Clone, Copy)]
pub struct PlatformAdapter {
    /// Prefix of the keys that operators write in the store.
    pub operator_prefix: &'static str,
    /// Prefix of the endpoint list's keys.
    pub list_prefix: &'static str,
    /// Prefix of the product's own keys.
    pub own_prefix: &'static str,
    /// Path of the balancer's readiness check.
    pub ready_path: &'static str,
    /// Parses the name of a key that operators write; an error tells why it is unknown.
    pub parse_operator_key: fn(&str) -> Result<OperatorKey, String>,
    /// Parses the operators' routing; an error tells why it is invalid.
    pub parse_routing: fn(&str) -> Result<Routing, String>,
    /// Parses an entry of the endpoint list; an error tells why it is invalid.
    pub parse_entry: fn(&StoreEntry) -> Result<ParsedEntry, String>,
    /// Parses a caller's request.
    pub parse_request: fn(&request::Parts, &[u8]) -> DirectRequest,
    /// Builds the request to an endpoint for a caller's request.
    pub build_run: fn(&RunRequest, &request::Parts, Bytes) -> Request<Full<Bytes>>,
    /// Parses the head of an endpoint's answer to the request with a label.
    pub parse_reply: fn(&response::Parts, &str) -> ReplyHead,
    /// Whether an endpoint's answer names the label of a request.
    pub has_label: fn(&HeaderMap) -> bool,
    /// Whether an answer to a call for an endpoint is from that endpoint; another one may have its
    /// address.
    pub is_answer_of: fn(StatusCode, &HeaderMap, &InstanceId) -> bool,
    /// Parses how many requests a second an endpoint takes from all routers, if its answer
    /// has that limit; an error tells why it is invalid.
    pub parse_rate: fn(&HeaderMap) -> Result<Option<RequestRate>, String>,
    /// Parses how much longer an endpoint is cold, in milliseconds, if its answer says so; an error
    /// tells why it is invalid.
    pub parse_cold: fn(&HeaderMap) -> Result<Option<Millis>, String>,
    /// Parses for how many milliseconds an endpoint wants no requests from this router, if its answer
    /// says so; an error tells why it is invalid.
    pub parse_hold_off: fn(StatusCode, &HeaderMap) -> Result<Option<Millis>, String>,
    /// Parses whether an endpoint is leaving, by its answer; an error tells why that is invalid.
    pub parse_leaving: fn(&HeaderMap) -> Result<bool, String>,
    /// Lists the headers of an endpoint's answer that this version doesn't know.
    pub unknown_headers: fn(&HeaderMap) -> Vec<String>,
    /// Builds the head of a caller's answer from that of an endpoint.
    pub build_head: fn(&response::Parts) -> response::Parts,
    /// Builds the answer that the router itself gives to a request instead of an endpoint.
    pub build_problem: fn(Problem) -> Response<Bytes>,
    /// Builds the request for an endpoint's report.
    pub build_probe: fn(&InstanceId, &str) -> Request<Full<Bytes>>,
    /// Parses a report; an error tells why it is invalid.
    pub parse_report: fn(StatusCode, &[u8]) -> Result<ParsedReport, String>,
    /// Builds an order to an endpoint.
    pub build_order: fn(&InstanceId, &str, &GroupOrder) -> Request<Full<Bytes>>,
    /// Parses the answer to an order.
    pub parse_order: fn(StatusCode) -> OrderResult,
    /// Builds a call to the store.
    pub build_call: fn(&str, &StoreCall) -> Request<Full<Bytes>>,
    /// Parses the answer to a call; an error tells why it is invalid.
    pub parse_call: fn(&StoreCall, StatusCode, &[u8]) -> Result<StoreResult, String>,
    /// Parses the era in an answer of the store, if it has one; an error tells why it is
    /// invalid.
    pub parse_era: fn(&HeaderMap) -> Result<Option<u64>, String>,
    /// Builds the request for a page of the keys with a prefix, beginning after a key.
    pub build_page: fn(&str, &str, Option<&str>) -> Request<Full<Bytes>>,
    /// Parses a page, if the answer has one; an error tells why it is invalid.
    pub parse_page: fn(StatusCode, &[u8]) -> Result<Option<StorePage>, String>,
    /// Builds the call that waits for changes of a prefix after a revision, for some
    /// milliseconds.
    pub build_watch: fn(&str, &str, i64, u64) -> Request<Full<Bytes>>,
    /// Parses the answer to a watch call; an error tells why it is invalid.
    pub parse_watch: fn(StatusCode, &[u8]) -> Result<WatchResult, String>,
}
