/// Longest text from outside in a line of the log, in bytes.
const MAX_BYTES: usize = 400;

/// The beginning of a text, for the log. Texts that others have written may be of any length.
pub(super) fn excerpt(text: &str) -> &str {
    let mut end = text.len().min(MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
