//! What can be wrong with a message.

/// Why a message can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    UnsupportedVersion,
    /// The budget for what is buffered is spent.
    BufferBudgetSpent,
}
