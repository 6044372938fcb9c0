//! Whether the target answers, judged by what the lane sees itself.

use std::time::Duration;

/// How often a silent target is dialled.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);

/// How long a target may go unheard before it is dialled.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// How long a dial may go without a result before another is made.
const DIAL_PATIENCE: Duration = Duration::from_millis(400);

/// How many exchanges must fail in a row for a target to count as frozen: it accepts connections
/// and answers nothing.
const FROZEN_FAILURES: u32 = 3;

/// How long a target must not have answered to count as frozen.
const FROZEN_SPAN: Duration = Duration::from_millis(500);

/// How long a frozen target gets nothing before one request is tried.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// What is known of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It answers.
    Alive,
    /// An exchange failed; a new connection is being tried before the target is blamed.
    Suspect,
    /// New connections fail too, or are accepted and nothing is answered; nothing is sent.
    Silent,
}

/// The evidence about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    state: State,
    dialled: Option<Duration>,
    failures: u32,
    heard: Duration,
    /// Exchanges that failed or are overdue since the last answer.
    unanswered: u32,
    answered: Duration,
    /// Since when the target is frozen.
    frozen: Option<Duration>,
    /// Whether one request is tried at a time.
    trial: bool,
}

impl Evidence {
    /// Returns the evidence about a target that is thought alive.
    pub fn new(now: Duration) -> Self {
        Self {
            state: State::Alive,
            dialled: None,
            failures: 0,
            heard: now,
            unanswered: 0,
            answered: now,
            frozen: None,
            trial: false,
        }
    }

    /// Returns what is known of the target.
    pub fn state(&self) -> State {
        match self.frozen {
            Some(_) => State::Silent,
            None => self.state,
        }
    }

    /// Tells whether the target was frozen and has not answered since, so that one request is
    /// tried at a time.
    pub fn is_on_trial(&self) -> bool {
        self.trial
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

    /// The target answered a request.
    pub fn answered(&mut self, now: Duration) {
        self.alive(now);
        self.unanswered = 0;
        self.answered = now;
        self.frozen = None;
        self.trial = false;
    }

    /// Takes in that time passed: a target that failed often enough and long enough is frozen.
    pub fn judge(&mut self, now: Duration) {
        let due = self.next_judgement().is_some_and(|at| now >= at);
        if due {
            self.frozen = Some(now);
            self.dialled = Some(now);
        }
    }

    /// Returns when the target counts as frozen unless it answers before.
    pub fn next_judgement(&self) -> Option<Duration> {
        let failed = self.unanswered >= FROZEN_FAILURES && self.frozen.is_none();
        failed.then_some(self.answered + FROZEN_SPAN)
    }

    /// The target accepted a new connection. A frozen one does so too, and gets a trial in time.
    pub fn alive(&mut self, now: Duration) {
        self.state = State::Alive;
        self.dialled = None;
        self.failures = 0;
        self.heard = now;
        let frozen = self.frozen;
        if frozen.is_some_and(|since| now >= since + TRIAL_INTERVAL) {
            self.frozen = None;
            self.trial = true;
            self.unanswered = FROZEN_FAILURES - 1;
        }
    }

    /// An exchange failed. Returns whether to dial anew.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.suspect(now)
    }

    /// Something is odd about an exchange. Returns whether to dial anew.
    pub fn suspect(&mut self, now: Duration) -> bool {
        self.unanswered = self.unanswered.saturating_add(1);
        self.judge(now);
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
        match self.state() {
            State::Alive => Some(self.heard.max(self.dialled.unwrap_or_default()) + IDLE_INTERVAL),
            State::Suspect => self.dialled.map(|at| at + DIAL_PATIENCE),
            State::Silent => {
                let last = self.dialled.unwrap_or_default().max(self.heard);
                Some(last + DIAL_INTERVAL)
            }
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
