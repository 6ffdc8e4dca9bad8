//! Stand-ins and helpers for the cases of the second review: the nodes as separate processes,
//! discovery, backends and clients, all on loopback and on the real clock.

pub mod backend;
pub mod discovery;
pub mod http;
pub mod node;
pub mod record;
pub mod settings;

use std::time::{SystemTime, UNIX_EPOCH};

/// Whether the run has its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A small source of random numbers (xorshift64*), seeded from the clock.
pub struct Random(u64);

impl Random {
    /// A source whose seed is drawn from the clock and `salt`.
    pub fn new(salt: u64) -> Random {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let nanos = now.map_or(1, |time| time.as_nanos() as u64);
        Random(nanos ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// The next number.
    pub fn bits(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// A number from `from` to below `to`.
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The number of a listener's port on loopback that is free now.
///
/// # Errors
///
/// Those of binding a socket.
pub fn free_port() -> std::io::Result<u16> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?
        .local_addr()?
        .port())
}

/// Sleeps until `at` seconds after the start of the record.
pub fn sleep_until(record: &record::Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        std::thread::sleep(std::time::Duration::from_secs_f64(left));
    }
}
