//! The members of a log: voters, learners, and membership changes, which are made one at a time.

mod rule;
pub mod spread;

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use yucca_wire::id;

pub use rule::{Status, next_change, quorum_holds_local};

/// Approximate encoded size of one member, in bytes.
pub(crate) const MEMBER_BYTES: usize = 32;

/// One incarnation of a host as a member of a log.
///
/// A host that lost its records returns with a new incarnation, so that it is not mistaken for the
/// replica whose votes and acknowledgements were lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The host.
    pub host: id::Host,
    /// Distinguishes the replicas that the host has run for this log.
    pub incarnation: u64,
}

impl fmt::Display for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation)
    }
}

/// The members of a log. They are sorted, so that equal memberships have equal encodings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members {
    voters: Vec<Replica>,
    learners: Vec<Replica>,
}

impl Members {
    /// Returns a membership with these voters and no learners.
    pub fn new(voters: impl IntoIterator<Item = Replica>) -> Self {
        let mut voters: Vec<Replica> = voters.into_iter().collect();
        voters.sort();
        voters.dedup();
        Self {
            voters,
            learners: Vec::new(),
        }
    }

    /// Returns the voters, sorted.
    pub fn voters(&self) -> &[Replica] {
        &self.voters
    }

    /// Returns the learners, which receive the log but do not count towards a quorum, sorted.
    pub fn learners(&self) -> &[Replica] {
        &self.learners
    }

    /// Returns all members, voters first.
    pub fn iter(&self) -> impl Iterator<Item = &Replica> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.voters.len() + self.learners.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the replica is a voter.
    pub fn is_voter(&self, replica: &Replica) -> bool {
        self.voters.contains(replica)
    }

    /// Returns whether the replica is a learner.
    pub fn is_learner(&self, replica: &Replica) -> bool {
        self.learners.contains(replica)
    }

    /// Returns whether the replica is a member.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.is_voter(replica) || self.is_learner(replica)
    }

    /// Returns whether the given replicas include a quorum of the voters.
    pub fn is_quorum(&self, granted: &IndexSet<Replica>) -> bool {
        let count = self.voters.iter().filter(|voter| granted.contains(*voter));
        count.count() >= self.quorum()
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    /// Fails if the change is not valid for this membership.
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

/// A membership change of one replica. Quorums before and after it always overlap.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner, which receives the log but does not count towards a quorum.
    AddLearner(Replica),
    /// Makes a learner that has caught up a voter.
    Promote(Replica),
    /// Removes a member.
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

/// The reason why a change is not valid for a membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The replica is already a member.
    Present(Replica),
    /// The replica is not a member.
    Absent(Replica),
    /// The replica to promote is not a learner.
    NotLearner(Replica),
    /// Another incarnation of the host is still a voter.
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
