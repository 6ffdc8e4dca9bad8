//! Testbed that runs many processes of the unmodified node program between stand-ins for its
//! clients, its backends and its discovery service. Faults are injected around the processes, never
//! into the program. A scenario file defines the steps of a run and the expected results; the
//! referee checks the records of the stand-ins.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cluster;
pub mod config_file;
pub mod node;
pub mod referee;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod soak;
