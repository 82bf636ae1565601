use std::sync::Arc;

use super::Fingerprint;
use crate::types::Millis;

/// A caller's request, as far as decisions need it; the host keeps the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct DirectRequest {
    /// Number in this process.
    pub id: u64,
    /// The caller's id of the request, for logs.
    pub label: String,
    /// Fingerprint of what was sent, without the account that the key belongs to.
    pub content: Fingerprint,
    /// Host that was asked for.
    pub host: String,
    /// Path that was asked for.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Milliseconds that the caller waits.
    pub wait_ms: Option<Millis>,
    /// Model that is asked for.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer, as far as can be guessed.
    pub answer: u32,
    /// Last event of the stream that the caller has.
    pub last_event: Option<u64>,
}
