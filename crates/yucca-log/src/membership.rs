//! Who takes part in a log: voters, learners and how both change, one at a time.

mod rule;

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

pub use rule::{Status, next_change, quorum_holds_local};

/// The approximate encoded size of one member, in bytes.
pub(crate) const MEMBER_BYTES: usize = 32;

/// One life of a host as a member of the log.
///
/// A host that lost its records comes back with another incarnation, so that nobody takes it for
/// the replica that made the lost promises.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The host.
    pub host: id::Host,
    /// Tells the lives of the host apart.
    pub incarnation: u64,
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation)
    }
}

/// The members of a log. Members are kept in order, so equal memberships are equal in bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    voters: Vec<Replica>,
    learners: Vec<Replica>,
}

impl Members {
    /// Returns a membership of these voters and no learner.
    pub fn new(voters: impl IntoIterator<Item = Replica>) -> Self {
        let mut voters: Vec<Replica> = voters.into_iter().collect();
        voters.sort();
        voters.dedup();
        Self {
            voters,
            learners: Vec::new(),
        }
    }

    /// Returns the voters in order.
    pub fn voters(&self) -> &[Replica] {
        &self.voters
    }

    /// Returns the learners, which receive the log and do not count.
    pub fn learners(&self) -> &[Replica] {
        &self.learners
    }

    /// Returns all members.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Tells whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Tells whether the replica votes.
    pub fn is_voter(&self, replica: &Replica) -> bool {
        self.voters.contains(replica)
    }

    /// Tells whether the replica learns.
    pub fn is_learner(&self, replica: &Replica) -> bool {
        self.learners.contains(replica)
    }

    /// Tells whether the replica is a member.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.is_voter(replica) || self.is_learner(replica)
    }

    /// Tells whether the given voters make a quorum.
    pub fn is_quorum(&self, granted: &IndexSet<Replica>) -> bool {
        let count = self.voters.iter().filter(|voter| granted.contains(*voter));
        count.count() >= self.quorum()
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    /// Fails where the change does not fit the membership.
    pub fn with(&self, change: &Change) -> Result<Self, Error> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(replica) => next.add_learner(replica)?,
            Change::Promote(replica) => next.promote(replica)?,
            Change::Remove(replica) => next.remove(replica)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, replica: &Replica) -> Result<(), Error> {
        if self.contains(replica) {
            return Err(Error::Present(replica.clone()));
        }
        self.learners.push(replica.clone());
        self.learners.sort();
        Ok(())
    }

    fn promote(&mut self, replica: &Replica) -> Result<(), Error> {
        if !self.is_learner(replica) {
            return Err(Error::NotLearner(replica.clone()));
        }
        let other = self.voters.iter().find(|voter| voter.host == replica.host);
        if let Some(other) = other {
            return Err(Error::SameHost(other.clone()));
        }
        self.learners.retain(|learner| learner != replica);
        self.voters.push(replica.clone());
        self.voters.sort();
        Ok(())
    }

    fn remove(&mut self, replica: &Replica) -> Result<(), Error> {
        if !self.contains(replica) {
            return Err(Error::Absent(replica.clone()));
        }
        if self.voters.as_slice() == std::slice::from_ref(replica) {
            return Err(Error::LastVoter(replica.clone()));
        }
        self.learners.retain(|learner| learner != replica);
        self.voters.retain(|voter| voter != replica);
        Ok(())
    }
}

impl fmt::Display for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("voters")?;
        for voter in &self.voters {
            write!(f, " {voter}")?;
        }
        f.write_str(", learners")?;
        for learner in &self.learners {
            write!(f, " {learner}")?;
        }
        Ok(())
    }
}

/// One change of the membership. Quorums before and after it always overlap.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Sends the log to a replica that does not count yet.
    AddLearner(Replica),
    /// Counts a learner that has caught up.
    Promote(Replica),
    /// Drops a member.
    Remove(Replica),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddLearner(replica) => write!(f, "add learner {replica}"),
            Self::Promote(replica) => write!(f, "promote {replica}"),
            Self::Remove(replica) => write!(f, "remove {replica}"),
        }
    }
}

/// Why a change does not fit the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The replica is already a member.
    Present(Replica),
    /// The replica is no member.
    Absent(Replica),
    /// The replica to promote is no learner.
    NotLearner(Replica),
    /// Another life of the host still votes.
    SameHost(Replica),
    /// The replica is the only voter.
    LastVoter(Replica),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Present(replica) => write!(f, "{replica} is already a member"),
            Self::Absent(replica) => write!(f, "{replica} is not a member; add it first"),
            Self::NotLearner(replica) => {
                write!(f, "{replica} is not a learner; add it as one first")
            }
            Self::SameHost(other) => {
                write!(f, "{other} votes for the same host; remove it first")
            }
            Self::LastVoter(replica) => {
                write!(f, "{replica} is the only voter; promote another first")
            }
        }
    }
}

impl std::error::Error for Error {}
