//! Whether the target answers, judged by what the lane sees itself.

use std::time::Duration;

/// How often a silent target is dialled.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a target may go unheard before it is dialled.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// How long a dial may go without a result before another is made.
const DIAL_PATIENCE: Duration = Duration::from_millis(400);

/// What is known of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It answers.
    Alive,
    /// An exchange failed; a new connection is being tried before the target is blamed.
    Suspect,
    /// New connections fail too; nothing is sent.
    Silent,
}

/// The evidence about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    state: State,
    dialled: Option<Duration>,
    failures: u32,
    heard: Duration,
}

impl Evidence {
    /// Returns the evidence about a target that is thought alive.
    pub fn new(now: Duration) -> Self {
        Self {
            state: State::Alive,
            dialled: None,
            failures: 0,
            heard: now,
        }
    }

    /// Returns what is known of the target.
    pub fn state(&self) -> State {
        self.state
    }

    /// Tells whether the failure of an exchange has not been explained yet.
    pub fn is_blamed(&self) -> bool {
        self.state != State::Alive && self.failures > 0
    }

    /// Returns how many exchanges failed since the last answer.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when the target was last heard.
    pub fn heard(&self) -> Duration {
        self.heard
    }

    /// The target answered, or accepted a new connection.
    pub fn alive(&mut self, now: Duration) {
        self.state = State::Alive;
        self.dialled = None;
        self.failures = 0;
        self.heard = now;
    }

    /// An exchange failed. Returns whether to dial anew.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.suspect(now)
    }

    /// Something is odd about an exchange. Returns whether to dial anew.
    pub fn suspect(&mut self, now: Duration) -> bool {
        if self.state == State::Alive {
            self.state = State::Suspect;
        }
        let pending = self.dialled.is_some_and(|at| now < at + DIAL_PATIENCE);
        if pending {
            return false;
        }
        self.dialled = Some(now);
        true
    }

    /// A new connection failed.
    pub fn silent(&mut self, now: Duration) {
        self.state = State::Silent;
        self.dialled = Some(now);
    }

    /// Returns when to dial again.
    pub fn next_dial(&self) -> Option<Duration> {
        match self.state {
            State::Alive => Some(self.heard.max(self.dialled.unwrap_or_default()) + IDLE_INTERVAL),
            State::Suspect => self.dialled.map(|at| at + DIAL_PATIENCE),
            State::Silent => self.dialled.map(|at| at + DIAL_INTERVAL),
        }
    }

    /// Returns whether to dial again now.
    pub fn dial_due(&mut self, now: Duration) -> bool {
        let due = self.next_dial().is_some_and(|at| now >= at);
        if due {
            self.dialled = Some(now);
        }
        due
    }
}
