/// Kind of a [`CliError`](super::CliError).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CliErrorKind {
    /// The command line is wrong.
    Usage,
    /// A file can't be read or has faults.
    File,
    /// The request was refused or failed.
    Refused,
    /// The result is unknown.
    Unknown,
}
