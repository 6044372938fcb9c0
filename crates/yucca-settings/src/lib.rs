//! Under construction; see `docs/design/`.
