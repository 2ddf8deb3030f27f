//! The protocol between instances over tarpc: heartbeats, copies of the configuration, forwarded
//! requests and tickets.
//!
//! A client first sends a proof that it knows the shared token. A connection whose proof is wrong is
//! closed and counted.

pub mod client;
pub mod message;
pub mod server;

pub use client::{PeerClients, PeerError};
pub use message::{
    ConfigCopy, ForwardCall, ForwardReply, PeerLink, PeerLinkClient, TicketBatch, TicketInquiry,
};
pub use server::{PeerHandler, TokenProof, accept_peers};
