//! Small specifications of the core protocols, searched exhaustively.

pub mod quorum;
pub mod replica;
pub mod search;
