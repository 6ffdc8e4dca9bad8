//! Tests of the balancer through its public interface. Each bug that was found has a small
//! regression test here.

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
