use std::sync::Arc;

use super::{Excess, Fingerprint};
use crate::types::Millis;

/// What routing decisions need of a caller's request; the host keeps the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DirectRequest {
    /// Number of the request in this process.
    pub id: u64,
    /// Request id from the caller, for logs.
    pub label: String,
    /// Fingerprint of the request without its client account.
    pub fingerprint: Fingerprint,
    /// Segments of the prompt that other requests may share, in order: all but the last one.
    pub segments: Vec<Fingerprint>,
    /// Requested host.
    pub host: String,
    /// Requested path.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds, if it says so.
    pub wait_ms: Option<Millis>,
    /// Requested model.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer; 0 if unknown.
    pub answer_tokens: u32,
    /// Id of the last stream event that the caller already has.
    pub last_event: Option<u64>,
    /// What was too large of it, if anything was: it can't be sent.
    pub excess: Option<Excess>,
}
