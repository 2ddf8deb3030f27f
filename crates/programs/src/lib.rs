//! The thin programs around the libraries: shared parts of their command lines.

pub mod demo;
pub mod load;
pub mod logs;
pub mod operator;
