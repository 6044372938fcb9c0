//! Under construction; see `docs/design/`.

pub mod grant;
pub mod ticket;
