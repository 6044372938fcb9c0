//! Retry budget: limits retries to a share of recent successes.

/// Number of recent successes that count.
const RECENT_SUCCESSES: f64 = 100.0;

/// Minimum capacity in retries, so that a small share still allows one.
const MIN_CAPACITY: f64 = 1.0;

/// A token bucket that successes fill and retries empty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget of `share` retries for each success.
    pub fn new(share: f64) -> Self {
        let mut budget = Self { share, tokens: 0.0 };
        budget.tokens = budget.capacity();
        budget
    }

    /// Changes the share. Tokens above the new capacity are discarded.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the tokens of a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity());
    }

    /// Takes one retry out of the budget. Returns whether there was one.
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
