//! What all tasks of the process share.
//!
//! Lock order: the registry of lanes, then the ledgers kept as a standby, then one lane's state, then
//! leaves (loads, leases, grants, idle and peer connections, announcements). No lock is held over
//! an await.

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

/// What all tasks of the process share.
pub struct Shared {
    /// The settings.
    pub settings: settings::Settings,
    /// The mark of the deployment.
    pub deployment: codec::Deployment,
    /// The version in force.
    pub current: current::Current,
    /// Connections to peers.
    pub peers: peers::Peers,
    /// The loads of lanes, as far as this host knows them.
    pub loads: choose::Loads,
    /// The lanes that this host holds.
    pub lanes: lanes::Lanes,
    /// The heartbeats of targets since the last report.
    pub announcements: announce::Announcements,
    /// How far the process is in its life.
    pub phase: watch::Sender<Phase>,
    /// Requests of callers in flight.
    pub in_flight: sync::atomic::AtomicUsize,
    /// Tells this start of the process apart from others.
    pub process_start: message::Start,
    start: time::Instant,
}

/// How far the process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes in the current version.
    Starting,
    /// It serves.
    Ready,
    /// It takes no new callers, hands its lanes over and finishes what is in flight.
    Stopping,
    /// It has ended.
    Stopped,
}

impl Shared {
    /// Returns the shared state of a process that starts now.
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

    /// Returns the instant at a time since the process started.
    pub fn instant(&self, at: Duration) -> time::Instant {
        self.start + at
    }

    /// Returns how far the process is in its life.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
}
