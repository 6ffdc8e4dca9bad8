//! The seeded random source of stand-ins and the testbed.

use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Bits of a draw that fit into the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// A xoshiro256++ generator; the same seed gives the same draws on every machine.
pub struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    /// A source whose draws follow from `seed`.
    pub fn from_seed(seed: u64) -> RandomSource {
        RandomSource(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// A draw from [0, 1), uniform.
    pub fn unit(&mut self) -> f64 {
        let bits = self.0.next_u64() >> (u64::BITS - MANTISSA_BITS);
        bits as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// A draw from the exponential distribution with mean 1, by inversion: `-ln(1 - u)`.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    /// An integer from `0..count`, uniform; 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    /// One of several values.
    ///
    /// # Panics
    ///
    /// If there are no values.
    pub fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len())]
    }
}
