//! The operators' query and command language. Parses text into typed statements, and applies a
//! batch of statements to a configuration document, completely or not at all.
//!
//! The crate does no I/O and does not depend on the store or the network.

pub mod apply;
pub mod lex;
pub mod parse;
pub mod statement;

pub use apply::{ApplyError, apply_batch};
pub use parse::{ParseError, parse_batch};
pub use statement::{
    BatchKind, ChangeBatch, ChangeStatement, QueryStatement, RuleChange, ServerChange,
    ServiceChange,
};
