//! The retry budget: retries are a share of recent successes.

/// How many recent successes count.
const RECENT_SUCCESSES: f64 = 100.0;

/// The fewest retries that a full budget holds, so that a small share still allows one.
const MIN_CAPACITY: f64 = 1.0;

/// A token bucket that successes fill and retries empty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Returns a full budget of `share` retries for each success.
    pub fn new(share: f64) -> Self {
        let mut budget = Self { share, tokens: 0.0 };
        budget.tokens = budget.capacity();
        budget
    }

    /// Changes the share; what was saved above the new capacity is lost.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Counts a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity());
    }

    /// Takes a retry out; tells whether there was one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn capacity(&self) -> f64 {
        if self.share > 0.0 {
            (self.share * RECENT_SUCCESSES).max(MIN_CAPACITY)
        } else {
            0.0
        }
    }
}
