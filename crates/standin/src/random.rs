//! The seeded random number generator of the stand-ins and the testbed.

use rand::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Number of random bits in a draw: as many as the mantissa of an `f64` holds.
const MANTISSA_BITS: u32 = 53;

/// A xoshiro256++ generator; the same seed gives the same draws on every machine.
pub struct RandomSource(Xoshiro256PlusPlus);

impl RandomSource {
    /// Creates a generator; equal seeds give equal sequences of draws.
    pub fn from_seed(seed: u64) -> RandomSource {
        RandomSource(Xoshiro256PlusPlus::seed_from_u64(seed))
    }

    /// Draws a number from [0, 1), uniformly.
    pub fn unit(&mut self) -> f64 {
        let bits = self.0.next_u64() >> (u64::BITS - MANTISSA_BITS);
        bits as f64 / (1u64 << MANTISSA_BITS) as f64
    }

    /// Draws from the exponential distribution with mean 1, by inversion: `-ln(1 - u)`.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }

    /// Draws an integer from `0..count`, uniformly; returns 0 if `count` is 0.
    pub fn integer_below(&mut self, count: usize) -> usize {
        (self.unit() * count as f64) as usize
    }

    /// Draws one of `values`, uniformly.
    ///
    /// # Panics
    ///
    /// If `values` is empty.
    pub fn choose<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.integer_below(values.len())]
    }
}
