//! Running statistics: a moving mean, a decayed sum and a histogram. They use no clock and no
//! random numbers.

/// A mean over about the last `window` values, and the minimum of the mean since the window was
/// first full.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MovingMean {
    /// Mean of about the last `window` values; 0 before the first value.
    pub(crate) mean: f64,
    /// Number of values in the mean, up to the window.
    pub(crate) count: f64,
    /// Minimum of the mean since the window was first full; before that, the mean itself.
    pub(crate) minimum: f64,
}

impl MovingMean {
    /// Adds a value to a mean over about `window` values.
    pub(crate) fn add(&mut self, value: f64, window: f64) {
        self.count = (self.count + 1.0).min(window);
        self.mean += (value - self.mean) / self.count;
        self.minimum = if self.count < window {
            self.mean
        } else {
            self.minimum.min(self.mean)
        };
    }

    /// Raises the minimum by `fraction` of itself, but not above the mean, so that it follows a
    /// mean that stays higher.
    pub(crate) fn raise_minimum(&mut self, fraction: f64) {
        self.minimum = (self.minimum * (1.0 + fraction)).min(self.mean);
    }
}

/// A sum whose terms lose weight with time, and the number of terms, decayed likewise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayedSum {
    /// Decayed number of terms.
    pub(crate) count: f64,
    /// Decayed sum of the terms.
    pub(crate) sum: f64,
}

impl DecayedSum {
    /// Adds `count` terms that sum up to `sum`.
    pub(crate) fn add(&mut self, count: f64, sum: f64) {
        self.count += count;
        self.sum += sum;
    }

    /// Multiplies the weight of past terms by `decay_factor`, from 0 to 1.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.count *= decay_factor;
        self.sum *= decay_factor;
    }

    /// Mean of the terms and `prior` additional terms of value 1.
    pub(crate) fn prior_weighted_mean(&self, prior: f64) -> f64 {
        (self.sum + prior) / (self.count + prior)
    }
}

/// A histogram of fractions from 0 to 1, whose counts decay with each new value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FractionHistogram {
    buckets: [f64; FractionHistogram::BUCKETS + 1],
}

impl Default for FractionHistogram {
    fn default() -> Self {
        FractionHistogram {
            buckets: [0.0; FractionHistogram::BUCKETS + 1],
        }
    }
}

impl FractionHistogram {
    const BUCKETS: usize = 32;
    /// Number of values that count after decay.
    const WINDOW: f64 = 256.0;

    /// Adds a value, limited to the range from 0 to 1. Returns whether the value is in the most
    /// frequent bucket or in one next to that bucket.
    pub(crate) fn add(&mut self, fraction: f64) -> bool {
        self.buckets
            .iter_mut()
            .for_each(|count| *count *= 1.0 - 1.0 / FractionHistogram::WINDOW);
        let bucket = (fraction.clamp(0.0, 1.0) * FractionHistogram::BUCKETS as f64) as usize;
        self.buckets[bucket] += 1.0;
        let mode = (0..=FractionHistogram::BUCKETS)
            .max_by(|a, b| self.buckets[*a].total_cmp(&self.buckets[*b]));
        mode.is_some_and(|mode| mode.abs_diff(bucket) <= 1)
    }
}

#[cfg(test)]
#[path = "statistics_tests.rs"]
mod tests;
