//! Tests of the built program over sockets.

mod common;
mod protocol_rules;
mod races;
mod service;
