//! A store in memory, scripted backend servers and a plain client, for tests of whole instances on
//! the loopback interface.

#![allow(dead_code)] // Each test file uses a part.

pub mod backend;
pub mod client;
pub mod fixture;
pub mod memory_store;
