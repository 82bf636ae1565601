use http::HeaderMap;
use sha2::{Digest, Sha256};

use crate::logic::router::Problem;

/// The bytes of a body as text.
pub(super) fn text(bytes: &[u8]) -> Result<&str, Problem> {
    std::str::from_utf8(bytes).map_err(|e| {
        let at = e.valid_up_to();
        Problem::not_run(400, format!("the body is not UTF-8 at byte {at}"))
    })
}

/// Value of the first header with a name; none if it isn't text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Bearer token of a request.
pub(super) fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    header(headers, "authorization")?.strip_prefix("Bearer ")
}

/// SHA-256 of a text in lower-case hexadecimal.
pub(super) fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}
