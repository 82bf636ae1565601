/// Whether a final answer may have a status; a caller can't tell what any other one means.
pub(crate) fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}
