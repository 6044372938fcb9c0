//! Under construction; see `docs/design/`.
pub mod leave;

pub mod grant;
pub mod ticket;
