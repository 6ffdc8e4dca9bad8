//! The testbed: many processes of the node as it is shipped, between stand-ins, with faults put
//! between them and never into them. A scenario file says what happens and what is expected; the
//! referee judges what the stand-ins recorded.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cluster;
pub mod node;
pub mod referee;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod soak;
