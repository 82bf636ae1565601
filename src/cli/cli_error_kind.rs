/// Kind of a [`CliError`](super::CliError).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CliErrorKind {
    /// The command line is wrong.
    Usage,
    /// A file is wrong.
    File,
    /// The request was refused or failed.
    Refused,
    /// The result isn't known.
    Unknown,
}
