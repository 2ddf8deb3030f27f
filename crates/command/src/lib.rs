//! The operators' query and command language: text to typed statements, and statements applied to
//! a configuration document as a whole or not at all.
//!
//! The crate is pure: it knows neither the store nor the network.

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
