use std::io::Read;

use sha2::{Digest, Sha256};
use tiny_http::Request;

use crate::logic::router::Problem;

/// Reads the body of a request as UTF-8 text of at most `limit` bytes.
pub(super) fn read(request: &mut Request, limit: usize) -> Result<String, Problem> {
    let too_long = || {
        let detail = format!("the body is longer than the limit of {limit} bytes");
        Problem::not_run(413, detail)
    };
    if request.body_length().is_some_and(|n| n > limit) {
        return Err(too_long());
    }
    let mut bytes = Vec::new();
    request
        .as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut bytes)
        .map_err(|e| Problem::not_run(400, format!("the body couldn't be read: {e}")))?;
    if bytes.len() > limit {
        return Err(too_long());
    }
    String::from_utf8(bytes).map_err(|e| {
        let at = e.utf8_error().valid_up_to();
        Problem::not_run(400, format!("the body is not UTF-8 at byte {at}"))
    })
}

/// Value of the first header with a name.
pub(super) fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Bearer token of a request.
pub(super) fn bearer_token(request: &Request) -> Option<&str> {
    header(request, "Authorization")?.strip_prefix("Bearer ")
}

/// SHA-256 of a text in lower-case hexadecimal.
pub(super) fn sha256_hex(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}
