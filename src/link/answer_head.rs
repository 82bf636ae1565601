//! Checks of the heads of answers that the HTTP client takes as they come.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode};
use hyper::ext::ReasonPhrase;

/// How a status line begins, up to the minor version; a digit, a space and the status follow.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Why the head of an answer can't be used; none if it can. `label` is that of the request, if it has one.
///
/// A peer that breaks off a head and goes on with its next answer makes one head of both: the status of
/// the first, and the headers of the second, whose status line is left in a text of the first.
pub(super) fn find_fault<B>(answer: &Response<B>, label: Option<&str>) -> Option<&'static str> {
    if answer.status() == StatusCode::SWITCHING_PROTOCOLS {
        return Some("a switch to another protocol");
    }
    let reason = answer.extensions().get::<ReasonPhrase>();
    let texts = reason.into_iter().map(ReasonPhrase::as_bytes);
    let mut texts = texts.chain(answer.headers().values().map(|v| v.as_bytes()));
    // Callers choose their labels, which may read like anything.
    let is_label = |text: &[u8]| label.is_some_and(|l| l.as_bytes() == text);
    let is_joined = texts.any(|text| has_status_line(text) && !is_label(text));
    is_joined.then_some("a status line inside the head")
}

fn has_status_line(text: &[u8]) -> bool {
    let is_start = |text: &[u8]| match text.strip_prefix(STATUS_LINE) {
        Some([minor, b' ', status @ ..]) => {
            let status = status.get(..3).unwrap_or(b"x");
            minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    };
    (0..text.len()).any(|at| is_start(&text[at..]))
}

/// Whether the end of an answer's body is told apart from that of the connection: by a length or chunks,
/// or as the answer has no body by its nature.
pub(super) fn is_framed(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    if method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    {
        return true;
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match encodings.next_back() {
        // Any other last encoding ends with the connection, whatever length is named.
        Some(last) => {
            let last = last.as_bytes().rsplit(|b| *b == b',').next().unwrap_or(b"");
            last.trim_ascii().eq_ignore_ascii_case(b"chunked")
        }
        None => headers.contains_key(CONTENT_LENGTH),
    }
}
