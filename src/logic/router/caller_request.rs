use std::sync::Arc;

use crate::types::{Millis, ModelKind, RequestId};

/// A request as it comes from a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallerRequest {
    /// Id given by the host.
    pub id: RequestId,
    /// SHA-256 of the bearer key, in hexadecimal.
    pub key_sha256: String,
    /// Model or service.
    pub model: Arc<str>,
    /// Kind of endpoint, from the caller's path.
    pub kind: ModelKind,
    /// Class; the account's first one when absent.
    pub class: Option<Arc<str>>,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Body for the endpoint.
    pub body: Arc<str>,
    /// Time until the deadline; the class's default when absent.
    pub deadline_ms: Option<Millis>,
    /// The caller's idempotency key; the request then runs at most once.
    pub idempotency_key: Option<String>,
}
