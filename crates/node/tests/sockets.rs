//! Tests over sockets, against the program as it is shipped.

mod common;
mod protocol_rules;
mod races;
mod service;
