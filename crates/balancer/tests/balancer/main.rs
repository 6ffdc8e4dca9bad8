//! Tests of the decisions through the interface: each failure found has a small test here.

mod admission;
mod discovery;
mod ejection;
mod limits;
mod properties;
mod requests;
mod retries;
mod slow_start;
mod split;
mod support;
