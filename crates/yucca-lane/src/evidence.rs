//! Health of the target, derived from the lane's own observations.

use std::time::Duration;

/// Interval at which a silent target is dialled.
const DIAL_INTERVAL: Duration = Duration::from_millis(200);

/// Time since the last contact after which an idle target is dialled.
const IDLE_DIAL_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a result after which a dial is repeated.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of failed or overdue exchanges since the last answer after which a target may count as
/// frozen. A frozen target accepts connections but answers no request.
const FROZEN_FAILURES: u32 = 3;

/// Minimum time since the last answer for a target to count as frozen.
const FROZEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which a frozen target that accepts connections gets one trial request.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// State of the target as the lane sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The target answers.
    Alive,
    /// An exchange failed or is overdue. A new connection is tried, to tell a faulty connection
    /// from a faulty target.
    Suspect,
    /// New connections fail, or are accepted but no request is answered. Nothing is sent.
    Silent,
}

/// Observations about a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    state: State,
    last_dial: Option<Duration>,
    failures: u32,
    last_contact: Duration,
    /// Number of exchanges that failed or became overdue since the last answer.
    unanswered: u32,
    last_answer: Duration,
    /// Time at which the target was found to be frozen.
    frozen_since: Option<Duration>,
    /// Whether the target gets only one request at a time.
    on_trial: bool,
}

impl Evidence {
    /// Creates the evidence about a target that is assumed to be alive.
    pub fn new(now: Duration) -> Self {
        Self {
            state: State::Alive,
            last_dial: None,
            failures: 0,
            last_contact: now,
            unanswered: 0,
            last_answer: now,
            frozen_since: None,
            on_trial: false,
        }
    }

    /// Returns the state of the target.
    pub fn state(&self) -> State {
        match self.frozen_since {
            Some(_) => State::Silent,
            None => self.state,
        }
    }

    /// Returns whether the target was frozen and has not answered since, so that it gets only one
    /// request at a time.
    pub fn is_on_trial(&self) -> bool {
        self.on_trial
    }

    /// Returns whether an exchange failed and no new connection has succeeded since, so that it is
    /// unknown whether the connection or the target was at fault.
    pub fn has_unexplained_failure(&self) -> bool {
        self.state != State::Alive && self.failures > 0
    }

    /// Returns the number of failed exchanges since the last contact.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns the time of the last answer or new connection.
    pub fn last_contact(&self) -> Duration {
        self.last_contact
    }

    /// Records that the target answered a request.
    pub fn record_answer(&mut self, now: Duration) {
        self.record_connection(now);
        self.unanswered = 0;
        self.last_answer = now;
        self.frozen_since = None;
        self.on_trial = false;
    }

    /// Marks the target as frozen if enough exchanges failed for long enough by `now`.
    pub fn update_frozen(&mut self, now: Duration) {
        let due = self.next_frozen_check().is_some_and(|at| now >= at);
        if due {
            self.frozen_since = Some(now);
            self.last_dial = Some(now);
        }
    }

    /// Returns the time at which the target counts as frozen unless it answers before.
    pub fn next_frozen_check(&self) -> Option<Duration> {
        let failed = self.unanswered >= FROZEN_FAILURES && self.frozen_since.is_none();
        failed.then_some(self.last_answer + FROZEN_TIMEOUT)
    }

    /// Records that the target accepted a new connection. As a frozen target does so too, it stays
    /// frozen until the trial interval has passed.
    pub fn record_connection(&mut self, now: Duration) {
        self.state = State::Alive;
        self.last_dial = None;
        self.failures = 0;
        self.last_contact = now;
        let frozen = self.frozen_since;
        if frozen.is_some_and(|since| now >= since + TRIAL_INTERVAL) {
            self.frozen_since = None;
            self.on_trial = true;
            self.unanswered = FROZEN_FAILURES - 1;
        }
    }

    /// Records that an exchange failed. Returns whether to open a new connection.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.record_unanswered(now)
    }

    /// Records that an exchange failed or is overdue. Returns whether to open a new connection.
    pub fn record_unanswered(&mut self, now: Duration) -> bool {
        self.unanswered = self.unanswered.saturating_add(1);
        self.update_frozen(now);
        if self.state == State::Alive {
            self.state = State::Suspect;
        }
        let pending = self.last_dial.is_some_and(|at| now < at + DIAL_TIMEOUT);
        if pending {
            return false;
        }
        self.last_dial = Some(now);
        true
    }

    /// Records that a new connection failed.
    pub fn record_connect_failure(&mut self, now: Duration) {
        self.state = State::Silent;
        self.last_dial = Some(now);
    }

    /// Returns the time of the next dial.
    pub fn next_dial(&self) -> Option<Duration> {
        match self.state() {
            State::Alive => {
                Some(self.last_contact.max(self.last_dial.unwrap_or_default()) + IDLE_DIAL_INTERVAL)
            }
            State::Suspect => self.last_dial.map(|at| at + DIAL_TIMEOUT),
            State::Silent => {
                let last = self.last_dial.unwrap_or_default().max(self.last_contact);
                Some(last + DIAL_INTERVAL)
            }
        }
    }

    /// Returns whether a dial is due, and if so counts it as made.
    pub fn dial_due(&mut self, now: Duration) -> bool {
        let due = self.next_dial().is_some_and(|at| now >= at);
        if due {
            self.last_dial = Some(now);
        }
        due
    }
}
