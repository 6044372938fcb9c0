//! Small specifications of the core protocols, searched exhaustively.

pub mod grant;
pub mod permit;
pub mod quorum;
pub mod replica;
pub mod search;
pub mod spread;
pub mod ticket;
