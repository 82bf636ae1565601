use bytes::Bytes;
use http::{request, response, HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;

use super::{Page, Reply, Watched};
use crate::logic::direct::{
    DirectRequest, GroupOrder, LookResult, OrderResult, Problem, RunRequest,
};
use crate::logic::router::{StoreCall, StoreEntry, StoreResult};
use crate::types::{EndpointEntry, InstanceId, RequestRate, Routing};

/// How a platform says what the product means: pure functions, one a message.
///
/// `host` is the address that a call goes to, as text.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Key under which the operators' routing lies.
    pub routing_key: &'static str,
    /// Prefix of the list of endpoints.
    pub list_prefix: &'static str,
    /// Prefix of the product's own keys.
    pub own_prefix: &'static str,
    /// Path at which the balancer asks whether this router takes callers.
    pub ready_path: &'static str,
    /// Reads the operators' routing.
    pub routing: fn(&str) -> Result<Routing, String>,
    /// Reads an entry of the list.
    pub entry: fn(&StoreEntry) -> Result<(InstanceId, EndpointEntry), String>,
    /// Reads a caller's request.
    pub request: fn(&request::Parts, &[u8]) -> DirectRequest,
    /// Writes a caller's request for an endpoint.
    pub run: fn(&RunRequest, &request::Parts, Bytes) -> Request<Full<Bytes>>,
    /// Reads the head of an endpoint's answer to the request with a label.
    pub reply: fn(&response::Parts, &str) -> Reply,
    /// Reads how many requests a second an endpoint takes from all routers, where its
    /// answer says so; an error tells why that can't be read.
    pub rate: fn(&HeaderMap) -> Result<Option<RequestRate>, String>,
    /// Writes the head of an endpoint's answer for a caller.
    pub head: fn(&response::Parts) -> response::Parts,
    /// Writes an answer of the router's own.
    pub problem: fn(Problem) -> Response<Bytes>,
    /// Asks an endpoint for its report.
    pub look: fn(&InstanceId, &str) -> Request<Full<Bytes>>,
    /// Reads a report; an error tells why one that came can't be read.
    pub looked: fn(StatusCode, &[u8]) -> Result<LookResult, String>,
    /// Writes an order to an endpoint.
    pub order: fn(&InstanceId, &str, &GroupOrder) -> Request<Full<Bytes>>,
    /// Reads the answer to an order.
    pub ordered: fn(StatusCode) -> OrderResult,
    /// Writes a call to the store.
    pub call: fn(&str, &StoreCall) -> Request<Full<Bytes>>,
    /// Reads the answer to a call; an error tells why one that came can't be read.
    pub reply_of: fn(&StoreCall, StatusCode, &[u8]) -> Result<StoreResult, String>,
    /// Reads the era that an answer of the store names, where it does; an error tells why
    /// one that came can't be read.
    pub store_era: fn(&HeaderMap) -> Result<Option<u64>, String>,
    /// Asks for a page of keys with a prefix, from behind a key.
    pub page: fn(&str, &str, Option<&str>) -> Request<Full<Bytes>>,
    /// Reads a page, where there is one; an error tells why one that came can't be read.
    pub paged: fn(StatusCode, &[u8]) -> Result<Option<Page>, String>,
    /// Waits for changes of a prefix behind a revision, for some milliseconds.
    pub watch: fn(&str, &str, i64, u64) -> Request<Full<Bytes>>,
    /// Reads what a watch brought; an error tells why it can't be read.
    pub watched: fn(StatusCode, &[u8]) -> Result<Watched, String>,
}
