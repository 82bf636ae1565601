use super::Problem;

/// Part of the answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AnswerPart {
    /// The next piece of text.
    Piece(String),
    /// The answer is complete.
    End {
        /// HTTP status of the endpoint.
        status: u16,
    },
    /// The request ends without a complete answer.
    Problem(Problem),
}
