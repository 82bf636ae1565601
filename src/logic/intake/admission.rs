use crate::types::Millis;

/// What happens with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is taken.
    Taken {
        /// Number of the connection.
        id: u64,
        /// The connection that is to be closed in its favour.
        displaced: Option<u64>,
    },
    /// A connection may be closed in its favour after so many milliseconds.
    Wait(Millis),
    /// It is closed: requests are being answered on all others.
    Full,
}
