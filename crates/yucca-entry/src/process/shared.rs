//! State shared by all tasks of the process.
//!
//! Lock order: the map of lanes, the standby ledgers, the state of one lane, and last one of loads,
//! leases, grants, idle connections, peer connections or announcements. No lock is held across an
//! `await`.

use std::sync;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;
use yucca_wire::codec;

use crate::connection::peers;
use crate::process::announce;
use crate::process::lanes;
use crate::process::lanes::message;
use crate::request::choose;
use crate::settings;
use crate::version::current;

/// State shared by all tasks of the process.
pub struct Shared {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Identifier of the deployment in messages.
    pub deployment: codec::Deployment,
    /// Table version in effect.
    pub current: current::Current,
    /// Connections to peers.
    pub peers: peers::Peers,
    /// Loads of lanes, as known to this host.
    pub loads: choose::Loads,
    /// Lanes of this host.
    pub lanes: lanes::Lanes,
    /// Announcements of targets since the last report.
    pub announcements: announce::Announcements,
    /// Lifecycle phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Number of callers' requests in flight.
    pub in_flight: sync::atomic::AtomicUsize,
    /// Random identifier of this start of the process.
    pub process_start: message::Start,
    start: time::Instant,
}

/// Lifecycle phase of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for the routing table.
    Starting,
    /// It serves requests.
    Ready,
    /// It accepts no new callers, hands its lanes over and finishes requests in flight.
    Stopping,
    /// It has ended.
    Stopped,
}

impl Shared {
    /// Returns the state of a process that starts now.
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            deployment: codec::Deployment::new(&settings.deployment),
            current: current::Current::default(),
            peers: peers::Peers::new(&settings.peer_secret).from_local(settings.local),
            loads: choose::Loads::default(),
            lanes: lanes::Lanes::default(),
            announcements: announce::Announcements::default(),
            phase: watch::Sender::new(Phase::Starting),
            in_flight: sync::atomic::AtomicUsize::new(0),
            process_start: message::Start(rand::random()),
            start: time::Instant::now(),
            settings,
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time since the start of the process to an instant.
    pub fn instant(&self, at: Duration) -> time::Instant {
        self.start + at
    }

    /// Returns the lifecycle phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
}
