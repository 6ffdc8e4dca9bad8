//! The rig: many processes of the node as it is shipped, between stand-ins, with faults put between
//! them and never into them. A scenario file says what happens and what is expected; the referee
//! judges the ledgers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cluster;
pub mod node;
pub mod referee;
pub mod scale;
pub mod scenario;
pub mod soak;
