//! Under construction; see `docs/design/`.
pub mod leave;
