//! The protocol between instances: heartbeats, configuration copies, forwarded calls and tickets,
//! over tarpc.
//!
//! A connection starts with a proof of the shared token; one that fails is closed and counted.

pub mod client;
pub mod message;
pub mod server;

pub use client::{PeerClients, PeerError};
pub use message::{
    ConfigCopy, ForwardAnswer, ForwardCall, PeerLink, PeerLinkClient, TicketBatch, TicketInquiry,
};
pub use server::{PeerHandler, TokenProof, accept_peers};
