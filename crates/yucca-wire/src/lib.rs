//! Types exchanged between yuccahill's processes, callers, targets and operators.
//!
//! The types that targets and operators write are generated from `schema/` ([`announce`],
//! [`ticket`]). Those between yuccahill's own processes are defined here and encoded by [`codec`].

#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used)]
mod generated {
    #[rustfmt::skip]
    pub mod announce;
    #[rustfmt::skip]
    pub mod ticket;
}

pub mod auth;
pub mod codec;
pub mod finding;
pub mod grant;
pub mod head;
pub mod id;
pub mod key;
pub mod problem;
pub mod report;
pub mod shards;
pub mod table;
pub mod unit;

pub use generated::{announce, ticket};
