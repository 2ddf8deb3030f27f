//! Parts shared by the command-line programs: load, demo, log reports and the operators' client.

pub mod demo;
pub mod load;
pub mod logs;
pub mod operator;
pub mod preview;
