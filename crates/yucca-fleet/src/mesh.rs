//! What the processes of a deployment say to each other, over TCP connections that each of them
//! opens and keeps open.

pub mod link;
pub mod message;
