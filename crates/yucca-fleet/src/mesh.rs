//! Messages between the processes of a deployment, over TCP connections that stay open.

pub mod link;
pub mod message;
